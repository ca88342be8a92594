//! Recall of the farewells that former processes of this node have acknowledged.
//!
//! A new process announces its backend server only once it knows them: a late report of a process
//! that has left would otherwise make that process look ready again. The platform holds them. While it
//! doesn't answer, another node that still holds the announcement of this node's former process
//! suffices, since nodes get the farewells with the announcement. After all nodes were killed, no
//! node holds one, and the process waits for the platform.

use crate::event::{Action, PlatformRequest};
use crate::node::Node;
use config::{Endpoint, Farewell};
use std::time::{Duration, Instant};

/// Time that the platform has to answer before another node's knowledge suffices.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// First and longest wait before a read that has failed is repeated. 1,000 nodes that start in an
/// outage then send 200 reads per second.
const RETRY_WAIT: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// What a new process knows of the farewells of former ones.
#[derive(Debug)]
pub(crate) struct Recall {
    /// When to read the platform next; `None` while it is being read.
    read_at: Option<Instant>,
    retry_wait: Duration,
    is_answered: bool,
    /// When other nodes suffice.
    answer_due: Option<Instant>,
    /// Whether other nodes hold the announcement of a former process.
    has_witness: bool,
}

impl Recall {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            read_at: Some(now),
            retry_wait: RETRY_WAIT.0,
            is_answered: false,
            answer_due: None,
            has_witness: false,
        }
    }

    pub(crate) fn deadline(&self, now: Instant) -> Option<Instant> {
        let answer_due = self.answer_due.filter(|at| *at > now);
        let next = [self.read_at, answer_due].into_iter().flatten().min();
        next.filter(|_| !self.is_answered)
    }

    /// Returns whether the farewells of former processes are known.
    pub(crate) fn is_done(&self, now: Instant) -> bool {
        let is_late = self.answer_due.is_some_and(|at| now >= at);
        self.is_answered || is_late && self.has_witness
    }
}

impl Node {
    pub(crate) fn step_recall(&mut self, now: Instant) {
        let recall = &mut self.recall;
        if recall.is_answered || recall.read_at.take_if(|at| now >= *at).is_none() {
            return;
        }
        recall.answer_due.get_or_insert(now + ANSWER_TIMEOUT);
        self.actions
            .push(Action::QueryPlatform(PlatformRequest::Farewells));
    }

    pub(crate) fn on_recall_failed(&mut self, now: Instant) {
        let wait = self.recall.retry_wait;
        self.recall.retry_wait = (wait * 2).min(RETRY_WAIT.1);
        self.recall.read_at = Some(now + wait + self.jitter(wait / 4));
    }

    pub(crate) fn on_farewells(&mut self, now: Instant, farewells: &[Farewell]) {
        self.recall.is_answered = true;
        self.learn_farewells(now, farewells);
    }

    /// Takes over what another node holds about this node.
    pub(crate) fn recall_from(&mut self, now: Instant, endpoint: &Endpoint) {
        self.recall.has_witness |= endpoint.incarnation != self.settings.incarnation;
        self.learn_farewells(now, &endpoint.farewells);
    }
}
