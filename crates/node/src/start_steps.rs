//! The steps of a node's start, each logged with the time that it took to reach it.

use log::info;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// A step of the start, in the usual order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// The node holds a configuration.
    Configuration,
    /// Callers can connect.
    Listener,
    /// The configuration names a backend server to which calls can be sent.
    Endpoint,
    /// A backend server has answered a caller's call.
    Call,
}

impl StartStep {
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Listener => "listener",
            Self::Endpoint => "endpoint",
            Self::Call => "call",
        }
    }
}

/// The steps that a node has reached.
#[derive(Debug, Default)]
pub struct StartSteps(AtomicU8);

impl StartSteps {
    /// Logs a step the first time that it is reached, `elapsed` after the node's start. Returns
    /// whether it was the first time.
    pub fn reach<F>(&self, step: StartStep, elapsed: F) -> bool
    where
        F: FnOnce() -> Duration,
    {
        let bit = 1 << step as u8;
        // Each call passes here, nearly always after the first one.
        let is_first = self.0.load(Ordering::Relaxed) & bit == 0
            && self.0.fetch_or(bit, Ordering::Relaxed) & bit == 0;
        if is_first {
            info!(step = step.name(), elapsed_ms = elapsed().as_millis(); "start_step");
        }
        is_first
    }
}
