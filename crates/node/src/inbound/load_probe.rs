//! Answers load probes: estimates what would happen to a call that hasn't been sent to this node.

use crate::inbound::Inner;
use crate::inbound::report::current_report;
use crate::inbound::run::{deadline_after, percent_of};
use crate::millis::whole_ms;
use clock::Clock;
use policy::admission;
use policy::load_probe::Estimate;
use std::time::Duration;
use wire::call::LoadProbe;

/// Answers a load probe of another node.
pub(crate) fn answer_probe<C>(inner: &Inner<C>, probe: &LoadProbe) -> wire::call::Estimate
where
    C: Clock,
{
    let estimate = estimate(inner, probe);
    wire::call::Estimate {
        serial: probe.serial,
        accepts: estimate.accepts,
        wait_ms: whole_ms(estimate.wait),
        run_ms: estimate.run.map(whole_ms),
        load_percent: percent_of(estimate.load),
        report: current_report(inner),
        pace_percent: estimate.pace.map(percent_of),
    }
}

/// Estimates what would happen to a call; `accepts` is false if the call would be refused whatever
/// the load.
pub(crate) fn estimate<C>(inner: &Inner<C>, probe: &LoadProbe) -> Estimate
where
    C: Clock,
{
    let Ok(backend) = inner.find_backend(&probe.service) else {
        return Estimate {
            accepts: false,
            wait: Duration::ZERO,
            run: None,
            // Full load, because a node that reports itself as idle would attract the calls that
            // are sent without a probe.
            load: 1.0,
            pace: None,
        };
    };
    let request = admission::Request {
        class: probe.class,
        // The caller doesn't matter: fair shares are enforced when the call arrives.
        caller: 0,
        key: 0,
        route: probe.route,
        deadline: deadline_after(inner, probe.timeout_ms),
        target: probe.target_ms.map(|target| deadline_after(inner, target)),
        parent_class: probe.parent_class,
        team: probe.team,
    };
    inner
        .gate
        .adopt_report(&backend, probe.known_report.as_ref());
    inner.gate.estimate(&backend, &request)
}
