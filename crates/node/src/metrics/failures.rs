//! Metrics of calls without an answer, and of the wait at the admission gate.

use crate::metrics::DURATION_BOUNDS;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FlawLabel {
    flaw: &'static str,
}

/// Counts of calls without an answer, and how long calls waited at the admission gate.
#[derive(Debug)]
pub struct FailureMetrics {
    failed_attempts: Family<ReasonLabel, Counter>,
    turned_away: Family<ReasonLabel, Counter>,
    gate_wait: Histogram,
    stalled_readers: Counter,
    rejected_answers: Family<FlawLabel, Counter>,
}

impl Default for FailureMetrics {
    fn default() -> Self {
        Self {
            failed_attempts: Family::default(),
            turned_away: Family::default(),
            gate_wait: Histogram::new(DURATION_BOUNDS),
            stalled_readers: Counter::default(),
            rejected_answers: Family::default(),
        }
    }
}

impl FailureMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Tries of this node's callers' calls that got no answer, by reason";
        registry.register("tries_without_answer", help, self.failed_attempts.clone());
        let help = "Calls that the own backend server's gate turned away, by reason";
        registry.register("gate_turned_away", help, self.turned_away.clone());
        let help = "Time that calls waited at the own backend server's gate before they ran";
        let wait = self.gate_wait.clone();
        registry.register_with_unit("gate_wait", help, Unit::Seconds, wait);
        let help = "Answers given up because their readers took nothing for 5 s";
        registry.register("answers_untaken", help, self.stalled_readers.clone());
        let help = "Answers of the own backend server that were rejected, by flaw";
        registry.register("answers_rejected", help, self.rejected_answers.clone());
    }

    /// Counts an attempt that got no answer.
    pub fn count_failed_attempt(&self, reason: &'static str) {
        self.failed_attempts
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts a call that the admission gate refused.
    pub fn count_gate_refusal(&self, reason: &'static str) {
        self.turned_away
            .get_or_create(&ReasonLabel { reason })
            .inc();
    }

    /// Counts an answer that was dropped because its reader stalled.
    pub(crate) fn count_stalled_reader(&self) {
        self.stalled_readers.inc();
    }

    /// Counts an answer of the backend server that was rejected.
    pub fn count_rejected_answer(&self, flaw: &'static str) {
        self.rejected_answers
            .get_or_create(&FlawLabel { flaw })
            .inc();
    }

    /// Records how long a call waited at the admission gate.
    pub(crate) fn record_gate_wait(&self, waited: Duration) {
        self.gate_wait.observe(waited.as_secs_f64());
    }
}
