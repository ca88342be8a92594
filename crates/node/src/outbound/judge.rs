//! Counts a failure in the body of a response against the backend server that sent it.
//!
//! The head of a response counts as an answer. Without a judge, a backend server that breaks off
//! all of its bodies would keep its share of calls.

use crate::outbound::service::{BodySize, ServiceClient};
use clock::Clock;
use policy::balance::Key;
use std::sync::Arc;

/// Reports the failure of a body to the balancer that picked its backend server.
#[derive(Debug)]
pub struct Judge<C>
where
    C: Clock,
{
    pub(crate) client: Arc<ServiceClient>,
    pub(crate) clock: C,
    pub(crate) key: Key,
    pub(crate) body_size: BodySize,
}

impl<C> Judge<C>
where
    C: Clock,
{
    /// Records that the backend server broke off the body, or sent what is none.
    pub(crate) fn record_failure(&self) {
        let now = self.clock.now();
        self.client.record_failure(now, self.key, self.body_size);
    }
}
