//! What the local backend server reports about itself in its responses, and what other nodes know
//! of it.

use crate::announce::apply_reported_leave;
use crate::inbound::Inner;
use crate::self_report;
use crate::shared::Backend;
use clock::Clock;
use http::HeaderMap;
use log::{info, warn};
use policy::self_report::Rate;
use wire::call::ServerReport;

/// Applies what a response of `backend` reports: the rate limit, the load, and that the process
/// leaves.
pub(super) fn apply_response<C>(inner: &Inner<C>, backend: &Backend, headers: &HeaderMap)
where
    C: Clock,
{
    let shared = &inner.shared;
    let reading = self_report::read(headers, shared.settings.server_load);
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
    if reading.leaving {
        apply_reported_leave(shared, backend);
    }
    let Some((report, has_changed)) = inner.gate.record_report(backend.process(), &reading) else {
        return;
    };
    shared.metrics.self_report.set_limit(report.rate_limit);
    if let Some(load) = reading.load {
        let pace = inner.gate.pace().unwrap_or(1.0);
        shared.metrics.self_report.set_load(&load, pace);
    }
    if has_changed && let Some(left_out) = shared.log_limits.reports.admit(elapsed) {
        info!(
            service = backend.service.as_str(),
            process = backend.process(),
            rate_limit:? = report.rate_limit.map(Rate::per_second),
            leaving = report.leaving,
            left_out;
            "backend_reported"
        );
    }
}

/// Returns what other nodes must know of the backend server to call it, if it has reported
/// anything.
pub(super) fn current_report<C>(inner: &Inner<C>) -> Option<ServerReport>
where
    C: Clock,
{
    let report = inner.gate.report();
    let leaving = report.leaving && is_named(inner);
    (leaving || report.rate_limit.is_some()).then(|| ServerReport {
        process: report.process,
        rate_limit: report.rate_limit.map(Rate::as_millis),
        leaving,
    })
}

/// Returns whether the backend server's process can be told from the next process. If not, other
/// nodes must not remember that it leaves.
fn is_named<C>(inner: &Inner<C>) -> bool
where
    C: Clock,
{
    let backend = inner.shared.backend.borrow();
    backend
        .as_ref()
        .is_some_and(|backend| backend.instance.is_some() || backend.incarnation.is_some())
}
