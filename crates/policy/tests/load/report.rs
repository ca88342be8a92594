//! Results of a simulated run, as seen by its callers.

use std::ops::Range;

/// A call or its result, as its caller saw it.
#[derive(Debug, Clone, Copy)]
struct Event {
    flow: usize,
    started: f64,
    ended: f64,
    kind: Kind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Offered,
    Answered,
    Refused,
    TimedOut,
}

/// Results of a simulated run, as seen by its callers.
#[derive(Debug)]
pub struct Report {
    events: Vec<Event>,
    /// `Retry-After` of the refusals, in seconds.
    pub retry_afters: Vec<f64>,
    /// Attempts sent: when, to which backend server, and whether to another zone.
    attempts: Vec<(f64, usize, bool)>,
    /// Concurrency limits of each backend server, sampled in the second half of the run.
    pub limits: Vec<Vec<f64>>,
    /// Total busy time of all backend servers, in seconds.
    pub busy_seconds: f64,
    /// Number of hedges sent.
    pub hedges: u32,
    flows: usize,
}

impl Report {
    pub fn new(flows: usize, servers: usize) -> Self {
        Self {
            events: Vec::new(),
            retry_afters: Vec::new(),
            attempts: Vec::new(),
            limits: vec![Vec::new(); servers],
            busy_seconds: 0.0,
            hedges: 0,
            flows,
        }
    }

    fn add(&mut self, flow: usize, started: f64, ended: f64, kind: Kind) {
        self.events.push(Event {
            flow,
            started,
            ended,
            kind,
        });
    }

    pub fn record_call(&mut self, flow: usize, now: f64) {
        self.add(flow, now, now, Kind::Offered);
    }

    pub fn record_answer(&mut self, flow: usize, started: f64, now: f64) {
        self.add(flow, started, now, Kind::Answered);
    }

    pub fn record_refusal(&mut self, flow: usize, started: f64, now: f64, retry_after: f64) {
        self.retry_afters.push(retry_after);
        self.add(flow, started, now, Kind::Refused);
    }

    pub fn record_timeout(&mut self, flow: usize, started: f64, now: f64) {
        self.add(flow, started, now, Kind::TimedOut);
    }

    pub fn record_attempt(&mut self, now: f64, server: usize, is_remote: bool) {
        self.attempts.push((now, server, is_remote));
    }

    /// Returns the number of calls of `flows`, started in `span`, that were answered within
    /// `seconds`.
    pub fn answered_within(&self, flows: Range<usize>, span: Range<f64>, seconds: f64) -> f64 {
        let events = self.events.iter();
        let timely = events.filter(|event| {
            event.kind == Kind::Answered
                && flows.contains(&event.flow)
                && span.contains(&event.started)
                && event.ended - event.started <= seconds
        });
        f64::from(u32::try_from(timely.count()).unwrap_or(u32::MAX))
    }

    /// Returns the mean concurrency limit of a backend server.
    pub fn mean_limit(&self, server: usize) -> f64 {
        self.limits[server].iter().sum::<f64>() / count(&self.limits[server])
    }

    /// Returns the number of attempts sent to a backend server in `span`.
    pub fn sent(&self, server: usize, span: Range<f64>) -> f64 {
        let attempts = self.attempts.iter();
        let matching = attempts.filter(|attempt| attempt.1 == server && span.contains(&attempt.0));
        matching.map(|_| 1.0).sum()
    }

    /// Returns the share of the attempts in `span` that went to another zone.
    pub fn remote_share(&self, span: Range<f64>) -> f64 {
        let attempts = self
            .attempts
            .iter()
            .filter(|attempt| span.contains(&attempt.0));
        let (remote, all) = attempts.fold((0.0, 0.0), |(remote, all), attempt| {
            (remote + f64::from(u8::from(attempt.2)), all + 1.0)
        });
        remote / all
    }

    /// Returns the time from start to end of each matching event, in seconds.
    fn durations(&self, flows: &Range<usize>, span: &Range<f64>, kind: Kind) -> Vec<f64> {
        let matching = self.events.iter().filter(|event| {
            event.kind == kind && flows.contains(&event.flow) && span.contains(&event.started)
        });
        matching.map(|event| event.ended - event.started).collect()
    }

    /// Returns the indices of all flows.
    pub fn all_flows(&self) -> Range<usize> {
        0..self.flows
    }

    /// Returns the number of calls of `flows`, started in `span`, that were answered before their
    /// deadline.
    pub fn answered(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        count(&self.durations(&flows, &span, Kind::Answered))
    }

    /// Returns the number of calls of `flows` in `span`.
    pub fn offered(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        count(&self.durations(&flows, &span, Kind::Offered))
    }

    /// Returns the share of the calls of `flows`, started in `span`, that were answered before
    /// their deadline.
    pub fn answered_share(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        let offered = self.offered(flows.clone(), span.clone());
        self.answered(flows, span) / offered.max(1.0)
    }

    /// Returns the 99th percentile of the time to an answer, in seconds.
    pub fn p99(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        percentile(self.durations(&flows, &span, Kind::Answered), 0.99)
    }

    /// Returns the median time to an answer, in seconds.
    pub fn p50(&self, flows: Range<usize>, span: Range<f64>) -> f64 {
        percentile(self.durations(&flows, &span, Kind::Answered), 0.5)
    }

    /// Returns the 99th percentile of the time to a refusal, in seconds.
    pub fn refusal_p99(&self) -> f64 {
        percentile(
            self.durations(&self.all_flows(), &(0.0..f64::MAX), Kind::Refused),
            0.99,
        )
    }

    /// Returns the number of calls whose deadline passed.
    pub fn timed_out(&self) -> f64 {
        count(&self.durations(&self.all_flows(), &(0.0..f64::MAX), Kind::TimedOut))
    }
}

fn count(events: &[f64]) -> f64 {
    f64::from(u32::try_from(events.len()).expect("a run is short"))
}

fn percentile(mut values: Vec<f64>, quantile: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = quantile * count(&values);
    let mut seen = 0.0;
    values
        .into_iter()
        .find(|_| {
            seen += 1.0;
            seen >= rank
        })
        .unwrap_or(f64::NAN)
}
