//! What the local backend server last reported about itself in its responses.

use crate::inbound::Inner;
use crate::self_report;
use crate::shared::Backend;
use clock::Clock;
use http::HeaderMap;
use log::{info, warn};
use parking_lot::Mutex;
use policy::self_report::{Rate, RateReading, Reading};

/// What the process `process` of the local backend server last reported.
#[derive(Debug, Default)]
pub(crate) struct ServerState(Mutex<State>);

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct State {
    process: u64,
    limit: Option<Rate>,
    leaving: bool,
}

impl ServerState {
    /// Updates the state; returns the new state if it has changed.
    fn update(&self, process: u64, reading: &Reading) -> Option<State> {
        let mut state = self.0.lock();
        let previous = *state;
        if state.process != process {
            *state = State {
                process,
                ..State::default()
            };
        }
        match reading.rate {
            RateReading::Absent => state.limit = None,
            RateReading::Named(rate) => state.limit = Some(rate),
            RateReading::Unreadable => {}
        }
        // A process that leaves doesn't return.
        state.leaving |= reading.leaving;
        let reported = |state: &State| (state.limit, state.leaving);
        (reported(&state) != reported(&previous)).then_some(*state)
    }
}

/// Records what a response reports about the backend server.
pub(super) fn record_response<C>(inner: &Inner<C>, backend: &Backend, headers: &HeaderMap)
where
    C: Clock,
{
    let shared = &inner.shared;
    let reading = self_report::read(headers);
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if reading.invalid > 0 {
        shared.metrics.self_report.count_invalid(reading.invalid);
        if let Some(left_out) = shared.log_limits.reports.admit(elapsed) {
            warn!(
                service = backend.service.as_str(),
                process = backend.process(),
                values = reading.invalid,
                left_out;
                "backend_report_invalid"
            );
        }
    }
    let Some(state) = inner.server_state.update(backend.process(), &reading) else {
        return;
    };
    shared.metrics.self_report.set_limit(state.limit);
    if let Some(left_out) = shared.log_limits.reports.admit(elapsed) {
        info!(
            service = backend.service.as_str(),
            process = backend.process(),
            rate_limit:? = state.limit.map(Rate::per_second),
            leaving = state.leaving,
            left_out;
            "backend_reported"
        );
    }
}
