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
    /// Tries sent: when, to which backend server, and whether to another zone.
    sends: Vec<(f64, usize, bool)>,
    /// Limits found for each backend server in the second half of the run.
    pub slots: Vec<Vec<f64>>,
    /// Seconds that all backend servers have worked.
    pub worked: f64,
    /// Second copies sent.
    pub hedges: u32,
    flows: usize,
}

impl Report {
    pub fn new(flows: usize, servers: usize) -> Self {
        Self {
            events: Vec::new(),
            retry_afters: Vec::new(),
            sends: Vec::new(),
            slots: vec![Vec::new(); servers],
            worked: 0.0,
            hedges: 0,
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

    pub fn answer(&mut self, flow: usize, born: f64, now: f64) {
        self.add(flow, born, now, Kind::Answered);
    }

    pub fn refuse(&mut self, flow: usize, born: f64, now: f64, retry_after: f64) {
        self.retry_afters.push(retry_after);
        self.add(flow, born, now, Kind::Refused);
    }

    pub fn run_out(&mut self, flow: usize, born: f64, now: f64) {
        self.add(flow, born, now, Kind::RanOut);
    }

    pub fn send(&mut self, now: f64, server: usize, far: bool) {
        self.sends.push((now, server, far));
    }

    /// Counts the answers of `flows` to calls born in `span` that came within so many seconds.
    pub fn within(&self, flows: Range<usize>, span: Range<f64>, seconds: f64) -> f64 {
        let events = self.events.iter();
        let timely = events.filter(|event| {
            event.kind == Kind::Answered
                && flows.contains(&event.flow)
                && span.contains(&event.born)
                && event.ended - event.born <= seconds
        });
        f64::from(u32::try_from(timely.count()).unwrap_or(u32::MAX))
    }

    /// Gives the mean limit found for a backend server.
    pub fn mean_slots(&self, server: usize) -> f64 {
        self.slots[server].iter().sum::<f64>() / count(&self.slots[server])
    }

    /// Gives how many tries went to a backend server in `span`.
    pub fn sent(&self, server: usize, span: Range<f64>) -> f64 {
        let sends = self.sends.iter();
        let there = sends.filter(|send| send.1 == server && span.contains(&send.0));
        there.map(|_| 1.0).sum()
    }

    /// Gives the share of the tries in `span` that went to another zone.
    pub fn far(&self, span: Range<f64>) -> f64 {
        let sends = self.sends.iter().filter(|send| span.contains(&send.0));
        let (far, all) = sends.fold((0.0, 0.0), |(far, all), send| {
            (far + f64::from(u8::from(send.2)), all + 1.0)
        });
        far / all
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
    let wanted = share * count(&values);
    let mut seen = 0.0;
    values
        .into_iter()
        .find(|_| {
            seen += 1.0;
            seen >= wanted
        })
        .unwrap_or(f64::NAN)
}
