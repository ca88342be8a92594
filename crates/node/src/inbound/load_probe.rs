//! Says what would become of a call that has not been sent here.

use crate::inbound::Inner;
use crate::inbound::run::{deadline_of, percent_of};
use crate::millis::whole_ms;
use clock::Clock;
use policy::admission;
use policy::load_probe::Estimate;
use std::time::Duration;
use wire::call::Look;

/// Answers another node's question.
pub(crate) fn tell_outlook<C>(inner: &Inner<C>, look: &Look) -> wire::call::Outlook
where
    C: Clock,
{
    let outlook = estimate(inner, look);
    wire::call::Outlook {
        serial: look.serial,
        takes: outlook.accepts,
        wait_ms: whole_ms(outlook.wait),
        run_ms: outlook.run.map(whole_ms),
        load_percent: percent_of(outlook.load),
    }
}

/// Gives what would become of a call; one that is refused whatever the load is not taken.
pub(crate) fn estimate<C>(inner: &Inner<C>, look: &Look) -> Estimate
where
    C: Clock,
{
    let Ok(backend) = inner.find_backend(&look.service) else {
        return Estimate {
            accepts: false,
            wait: Duration::ZERO,
            run: None,
            // As good as full: told as idle, it would draw the calls that nobody is asked about.
            load: 1.0,
        };
    };
    let asked = admission::Request {
        class: look.class,
        // Nobody in particular: the shares of callers are kept when the call is here.
        caller: 0,
        key: 0,
        route: look.route,
        deadline: deadline_of(inner, look.timeout_ms),
        target: look.target_ms.map(|target| deadline_of(inner, target)),
        nested: look.nested,
    };
    inner.gate.outlook(backend.slots, &asked)
}
