//! Counts and logs answers of the backend server that can't be used.

use crate::framing::Flaw;
use crate::inbound::Inner;
use crate::shared::Backend;
use call::Digest;
use clock::Clock;
use log::warn;

/// Records an answer that was rejected; its connection is closed.
pub(crate) fn record_rejected<C>(inner: &Inner<C>, backend: &Backend, request: Digest, flaw: Flaw)
where
    C: Clock,
{
    let shared = &inner.shared;
    let flaw = flaw.name();
    shared.metrics.failures.count_rejected_answer(flaw);
    let elapsed = shared.metrics.elapsed(shared.clock.now());
    if let Some(left_out) = shared.log_limits.gate.admit(elapsed) {
        warn!(
            request:%,
            service = backend.service.as_str(),
            process = backend.process(),
            flaw,
            left_out;
            "answer_rejected"
        );
    }
}
