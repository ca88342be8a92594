//! What the callers of a run received.

use std::ops::Range;

/// An answer or refusal as its caller saw it.
#[derive(Debug, Clone, Copy)]
struct Event {
    flow: usize,
    born: f64,
    ended: f64,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Offered,
    Answered,
    Refused,
    RanOut,
}

/// What the callers of a run received.
#[derive(Debug)]
pub struct Report {
    events: Vec<Event>,
    /// Retry-After of the refusals, in seconds.
    pub retry_afters: Vec<f64>,
    /// Calls sent to each backend server.
    pub sent: Vec<u32>,
    /// Seconds that each backend server has worked.
    pub worked: Vec<f64>,
    /// Answers given by each backend server.
    pub answered_by: Vec<u32>,
    /// Calls that were given up on after they had waited.
    pub given_up: u32,
    /// Second copies sent.
    pub hedges: u32,
    /// Calls that callers themselves made again.
    pub returns: u32,
    flows: usize,
}

impl Report {
    pub fn new(flows: usize, servers: usize) -> Self {
        Self {
            events: Vec::new(),
            retry_afters: Vec::new(),
            sent: vec![0; servers],
            worked: vec![0.0; servers],
            answered_by: vec![0; servers],
            given_up: 0,
            hedges: 0,
            returns: 0,
            flows,
        }
    }

    fn add(&mut self, flow: usize, born: f64, ended: f64, kind: Kind) {
        self.events.push(Event {
            flow,
            born,
            ended,
            kind,
        });
    }

    pub fn offer(&mut self, flow: usize, now: f64) {
        self.add(flow, now, now, Kind::Offered);
    }

    pub fn answer(&mut self, flow: usize, server: usize, born: f64, now: f64) {
        self.answered_by[server] += 1;
        self.add(flow, born, now, Kind::Answered);
    }

    pub fn refuse(&mut self, flow: usize, born: f64, now: f64, retry_after: f64) {
        self.retry_afters.push(retry_after);
        self.add(flow, born, now, Kind::Refused);
    }

    pub fn run_out(&mut self, flow: usize, born: f64, now: f64) {
        self.add(flow, born, now, Kind::RanOut);
    }

    pub fn send(&mut self, server: usize) {
        self.sent[server] += 1;
    }

    pub fn work(&mut self, server: usize, seconds: f64) {
        self.worked[server] += seconds;
    }

    pub fn give_up(&mut self) {
        self.given_up += 1;
    }

    pub fn hedge(&mut self) {
        self.hedges += 1;
    }

    pub fn come_again(&mut self) {
        self.returns += 1;
    }

    fn select(&self, flows: &Range<usize>, span: &Range<f64>, kind: Kind) -> Vec<f64> {
        let chosen = self.events.iter().filter(|event| {
            event.kind == kind && flows.contains(&event.flow) && span.contains(&event.born)
        });
        chosen.map(|event| event.ended - event.born).collect()
    }

    /// Gives the number of all flows.
    pub fn all(&self) -> Range<usize> {
        0..self.flows
    }

    /// Gives how many calls of `flows`, born in `span`, were answered in time.
    pub fn answered(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        count(&self.select(&flows, &span, Kind::Answered))
    }

    /// Gives the share of the calls of `flows`, born in `span`, that were answered in time.
    pub fn share(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        let offered = count(&self.select(&flows, &span, Kind::Offered));
        self.answered(flows, span) / offered.max(1.0)
    }

    /// Gives the 99th percentile of the time to an answer, in seconds.
    pub fn p99(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        percentile(self.select(&flows, &span, Kind::Answered), 0.99)
    }

    /// Gives the median of the time to an answer, in seconds.
    pub fn p50(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        percentile(self.select(&flows, &span, Kind::Answered), 0.5)
    }

    /// Gives the 99th percentile of the time to a refusal, in seconds.
    pub fn refusal_p99(&self) -> f64 {
        percentile(
            self.select(&self.all(), &(0.0..f64::MAX), Kind::Refused),
            0.99,
        )
    }

    /// Gives how many calls ran into their deadlines.
    pub fn ran_out(&self) -> f64 {
        count(&self.select(&self.all(), &(0.0..f64::MAX), Kind::RanOut))
    }
}

fn count(events: &[f64]) -> f64 {
    f64::from(u32::try_from(events.len()).expect("a run is short"))
}

fn percentile(mut values: Vec<f64>, share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = share * count(&values);
    let mut before = 0.0;
    let found = values.into_iter().find(|_| {
        before += 1.0;
        before >= rank
    });
    found.unwrap_or(f64::NAN)
}
