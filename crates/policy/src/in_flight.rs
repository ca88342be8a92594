//! Tracks the calls in flight at a backend server, to find which request crashed it.
//!
//! The process of a backend server may end while it runs several calls, any of which may be the
//! cause. Without tracking them, a request that crashes backend servers cannot be told from the
//! requests that merely fail because of the crash. A call that ended without an answer shortly
//! before the crash is a suspect as well: its caller may have given up before the process ended.

use call::Digest;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a call that ended without an answer remains a suspect.
const UNANSWERED_WINDOW: Duration = Duration::from_millis(500);

/// Maximum number of ended calls without an answer that are tracked.
const MAX_UNANSWERED: usize = 256;

/// Maximum number of suspects per crash.
const MAX_SUSPECTS: usize = 64;

/// How long an answer clears a request of suspicion. A frequently requested path that happens to be
/// in flight at a crash was answered moments before.
const ANSWER_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of recent answers that are tracked.
const MAX_ANSWERS: usize = 256;

/// Identifies a tracked call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

/// The properties of a request that identify it as a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Digest of the content of the request; equal for all its repeats.
    pub digest: Digest,
    /// HTTP method.
    pub method: SmolStr,
    /// Path, without the query.
    pub path: SmolStr,
    /// Whether a backend server has already crashed while it ran this request.
    pub is_suspect: bool,
}

/// Outcome of a call at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer was received.
    Answered,
    /// The backend server never started the call.
    NotRun,
    /// There is no answer: the call was cut off or its caller gave up.
    Unanswered,
}

/// A request that was in flight at a backend server when its process ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The suspected request.
    pub request: Request,
    /// Whether no other request is as likely to be the cause of the crash.
    pub is_alone: bool,
}

/// The calls in flight at the backend server of this VM.
#[derive(Debug, Default)]
pub struct Table {
    calls: BTreeMap<Key, Call>,
    next_key: u64,
    /// Recently answered requests, oldest first.
    answers: VecDeque<(Instant, Digest)>,
}

#[derive(Debug)]
struct Call {
    /// Process that the call was sent to.
    process: u64,
    request: Request,
    /// When the call ended, if it did so without an answer.
    ended_at: Option<Instant>,
}

impl Table {
    /// Registers a call that is sent to a process.
    pub fn start(&mut self, now: Instant, process: u64, request: Request) -> Key {
        self.prune(now);
        let key = Key(self.next_key);
        self.next_key += 1;
        let call = Call {
            process,
            request,
            ended_at: None,
        };
        self.calls.insert(key, call);
        key
    }

    /// Records the outcome of a call.
    pub fn finish(&mut self, now: Instant, key: Key, outcome: Outcome) {
        match outcome {
            Outcome::Answered => {
                if let Some(call) = self.calls.remove(&key) {
                    self.record_answer(now, call.request.digest);
                }
            }
            Outcome::NotRun => drop(self.calls.remove(&key)),
            Outcome::Unanswered => {
                if let Some(call) = self.calls.get_mut(&key) {
                    call.ended_at = Some(now);
                }
            }
        }
    }

    /// Returns whether a call to a process has just ended without an answer.
    #[must_use]
    pub fn has_unanswered(&self, now: Instant, process: u64) -> bool {
        let mut calls = self.calls.values();
        calls
            .any(|call| call.process == process && call.ended_at.is_some() && call.is_relevant(now))
    }

    /// Removes the calls of a process that has ended and returns their requests without
    /// duplicates, the likeliest causes first.
    pub fn take_suspects(&mut self, now: Instant, process: u64) -> Vec<Suspect> {
        let calls = self.calls.extract_if(.., |_, call| call.process == process);
        let mut calls: Vec<_> = calls.map(|(_, call)| call).collect();
        calls.retain(|call| call.is_relevant(now) && !self.was_answered(now, call.request.digest));
        calls.sort_by_key(|call| (!call.request.is_suspect, call.since_ended(now)));
        let mut requests: Vec<Request> = Vec::new();
        for call in calls {
            let mut known = requests.iter();
            if known.all(|request| request.digest != call.request.digest) {
                requests.push(call.request);
            }
        }
        let known_suspects = requests.iter().filter(|request| request.is_suspect).count();
        let count = requests.len();
        let is_alone = |request: &Request| count == 1 || request.is_suspect && known_suspects == 1;
        let suspects = requests
            .into_iter()
            .take(MAX_SUSPECTS)
            .map(|request| Suspect {
                is_alone: is_alone(&request),
                request,
            });
        suspects.collect()
    }

    /// Returns whether a request was answered within the last [`ANSWER_WINDOW`].
    fn was_answered(&self, now: Instant, digest: Digest) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWER_WINDOW;
        let mut answers = self.answers.iter();
        answers.any(|(at, answered)| *answered == digest && is_recent(*at))
    }

    fn record_answer(&mut self, now: Instant, digest: Digest) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back((now, digest));
    }

    /// Drops ended calls that are no longer relevant, and the oldest ones above
    /// [`MAX_UNANSWERED`].
    fn prune(&mut self, now: Instant) {
        self.calls.retain(|_, call| call.is_relevant(now));
        let ended: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.ended_at.is_some())
            .map(|(key, _)| *key)
            .collect();
        for key in ended
            .iter()
            .take(ended.len().saturating_sub(MAX_UNANSWERED))
        {
            self.calls.remove(key);
        }
    }
}

impl Call {
    /// Returns the time since the call ended without an answer; zero if it is in flight.
    fn since_ended(&self, now: Instant) -> Duration {
        self.ended_at
            .map_or(Duration::ZERO, |ended| now.saturating_duration_since(ended))
    }

    /// Returns whether the call is in flight or ended within the last [`UNANSWERED_WINDOW`].
    fn is_relevant(&self, now: Instant) -> bool {
        let is_recent = |ended: Instant| now.saturating_duration_since(ended) < UNANSWERED_WINDOW;
        self.ended_at.is_none_or(is_recent)
    }
}
