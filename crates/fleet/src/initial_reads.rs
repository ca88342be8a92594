//! Data that a new root reads from the platform before it serves.
//!
//! A node that is not a root learns from its parent which requests are held in quarantine and which
//! versions are being rolled out. If all nodes restart at once, no node knows this. Without these
//! reads, each node would then run a held request again, and a bad version would get its full share
//! of calls.

use crate::event::{Action, PlatformRequest};
use crate::node::Node;
use std::time::{Duration, Instant};

/// Interval between retries while the platform does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum wait for the responses, after which the process serves without them.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The reads whose responses are still missing.
#[derive(Debug, Default)]
pub(crate) struct InitialReads {
    missing: Vec<PlatformRequest>,
    send_at: Option<Instant>,
    give_up_at: Option<Instant>,
}

impl InitialReads {
    pub(crate) fn is_done(&self) -> bool {
        self.missing.is_empty()
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let all = [self.send_at, self.give_up_at];
        let next = all.into_iter().flatten().min();
        next.filter(|_| !self.is_done())
    }
}

impl Node {
    /// Starts the reads of a root that does not serve yet.
    pub(crate) fn start_initial_reads(&mut self, now: Instant) {
        let rollouts = self
            .settings
            .follows_rollouts
            .then_some(PlatformRequest::Rollouts);
        let wanted = [Some(PlatformRequest::Crashes), rollouts];
        self.initial_reads = InitialReads {
            missing: wanted.into_iter().flatten().collect(),
            send_at: Some(now),
            give_up_at: Some(now + MAX_WAIT),
        };
        self.step_initial_reads(now);
    }

    pub(crate) fn finish_initial_read(&mut self, request: PlatformRequest) {
        self.initial_reads
            .missing
            .retain(|missing| *missing != request);
    }

    pub(crate) fn retry_initial_reads(&mut self, now: Instant) {
        self.initial_reads
            .send_at
            .get_or_insert(now + RETRY_INTERVAL);
    }

    pub(crate) fn step_initial_reads(&mut self, now: Instant) {
        if self.initial_reads.give_up_at.is_some_and(|at| now >= at) {
            self.initial_reads = InitialReads::default();
        }
        if self
            .initial_reads
            .send_at
            .take_if(|at| now >= *at)
            .is_some()
        {
            let missing = self.initial_reads.missing.iter();
            self.actions
                .extend(missing.copied().map(Action::QueryPlatform));
        }
    }
}
