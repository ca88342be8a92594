//! What a new root reads from the platform before it serves.
//!
//! Other nodes learn from whom they join which requests are held and which versions are under
//! trial. When all restart at once there is nobody to learn it from: without this, a request that
//! was held would run again at all of them, and a bad version would get its full share.

use crate::event::{Action, PlatformRequest};
use crate::node::Node;
use std::time::{Duration, Instant};

/// Time between questions, while the platform doesn't answer.
const ASK_AGAIN: Duration = Duration::from_millis(200);

/// Longest wait for the answers before the process serves without.
const PATIENCE: Duration = Duration::from_secs(2);

/// What is still to be read.
#[derive(Debug, Default)]
pub(crate) struct InitialReads {
    missing: Vec<PlatformRequest>,
    ask_at: Option<Instant>,
    until: Option<Instant>,
}

impl InitialReads {
    pub(crate) fn is_done(&self) -> bool {
        self.missing.is_empty()
    }

    pub(crate) fn deadline(&self) -> Option<Instant> {
        let all = [self.ask_at, self.until];
        let next = all.into_iter().flatten().min();
        next.filter(|_| !self.is_done())
    }
}

impl Node {
    /// Asks the platform for what a root that doesn't serve yet has to know.
    pub(crate) fn start_initial_reads(&mut self, now: Instant) {
        let rollouts = self
            .settings
            .follows_rollouts
            .then_some(PlatformRequest::Rollouts);
        let wanted = [Some(PlatformRequest::Crashes), rollouts];
        self.initial_reads = InitialReads {
            missing: wanted.into_iter().flatten().collect(),
            ask_at: Some(now),
            until: Some(now + PATIENCE),
        };
        self.step_initial_reads(now);
    }

    pub(crate) fn finish_initial_read(&mut self, request: PlatformRequest) {
        self.initial_reads
            .missing
            .retain(|missing| *missing != request);
    }

    pub(crate) fn retry_initial_reads(&mut self, now: Instant) {
        self.initial_reads.ask_at.get_or_insert(now + ASK_AGAIN);
    }

    pub(crate) fn step_initial_reads(&mut self, now: Instant) {
        if self.initial_reads.until.is_some_and(|until| now >= until) {
            self.initial_reads = InitialReads::default();
        }
        if self.initial_reads.ask_at.take_if(|at| now >= *at).is_some() {
            let missing = self.initial_reads.missing.iter();
            self.actions
                .extend(missing.copied().map(Action::QueryPlatform));
        }
    }
}
