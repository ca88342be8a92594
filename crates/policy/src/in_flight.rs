//! Which requests were in flight at a backend server as its process ended.
//!
//! *Load pattern:* a backend server ends in the midst of several calls, one of which
//! may be to blame. *Without it* nobody could tell a request that crashes servers
//! from those that it takes down. A call that left without an answer a moment before
//! counts as well: its caller may have been less patient than the crash took.

use call::Digest;
use smol_str::SmolStr;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// How long a call that left without an answer still counts.
const LINGER: Duration = Duration::from_millis(500);

/// Calls that have left and still count, at most.
const MAX_LEFT: usize = 256;

/// Requests that one crash brings under suspicion, at most.
const MAX_SUSPECTS: usize = 64;

/// How long an answer speaks for a request: a path that many ask for has had one
/// moments before any crash that it is in.
const ANSWERED: Duration = Duration::from_secs(10);

/// Answers that are remembered, at most.
const MAX_ANSWERED: usize = 256;

/// Names a call that is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(u64);

/// A request, as far as evidence against it tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Names it through all its repeats.
    pub digest: Digest,
    /// Its method.
    pub method: SmolStr,
    /// Its path, without the query.
    pub path: SmolStr,
    /// Whether a backend server ended while it ran before.
    pub is_suspect: bool,
}

/// What a call came to at the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Its answer came whole.
    Answered,
    /// The backend server never began with it.
    NotRun,
    /// It has no answer: it broke off, or nobody waited any more.
    Unanswered,
}

/// A request that was in flight at a backend server as it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub request: Request,
    /// Whether no other request is as likely to blame.
    pub is_alone: bool,
}

/// The calls that are in flight at the backend server of this VM.
#[derive(Debug, Default)]
pub struct Table {
    runs: BTreeMap<Key, Run>,
    next: u64,
    /// Requests that were answered, and when.
    answered: VecDeque<(Instant, Digest)>,
}

#[derive(Debug)]
struct Run {
    /// Process that it was given to.
    process: u64,
    request: Request,
    /// When it left without an answer.
    left: Option<Instant>,
}

impl Table {
    /// Counts a call as given to a process.
    pub fn start(&mut self, now: Instant, process: u64, request: Request) -> Key {
        self.drop_old(now);
        let key = Key(self.next);
        self.next += 1;
        let run = Run {
            process,
            request,
            left: None,
        };
        self.runs.insert(key, run);
        key
    }

    /// Takes in what a call came to.
    pub fn finish(&mut self, now: Instant, key: Key, outcome: Outcome) {
        match outcome {
            Outcome::Answered => {
                if let Some(run) = self.runs.remove(&key) {
                    self.note_answer(now, run.request.digest);
                }
            }
            Outcome::NotRun => drop(self.runs.remove(&key)),
            Outcome::Unanswered => {
                if let Some(run) = self.runs.get_mut(&key) {
                    run.left = Some(now);
                }
            }
        }
    }

    /// Tells whether a call left a process without an answer a moment ago.
    #[must_use]
    pub fn has_unanswered(&self, now: Instant, process: u64) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.process == process && run.left.is_some() && run.counts(now))
    }

    /// Takes out the calls of a process that has ended; gives the requests, each once, and
    /// those first that are the likeliest to blame.
    pub fn take_suspects(&mut self, now: Instant, process: u64) -> Vec<Suspect> {
        let ended = self.runs.extract_if(.., |_, run| run.process == process);
        let mut ended: Vec<_> = ended.map(|(_, run)| run).collect();
        ended.retain(|run| run.counts(now) && !self.is_answered(now, run.request.digest));
        ended.sort_by_key(|run| (!run.request.is_suspect, run.since_left(now)));
        let mut requests: Vec<Request> = Vec::new();
        for run in ended {
            let mut known = requests.iter();
            if known.all(|one| one.digest != run.request.digest) {
                requests.push(run.request);
            }
        }
        let suspects = requests.iter().filter(|one| one.is_suspect).count();
        let count = requests.len();
        let is_alone = |one: &Request| count == 1 || one.is_suspect && suspects == 1;
        let found = requests
            .into_iter()
            .take(MAX_SUSPECTS)
            .map(|request| Suspect {
                is_alone: is_alone(&request),
                request,
            });
        found.collect()
    }

    /// Tells whether a request was answered of late.
    fn is_answered(&self, now: Instant, digest: Digest) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < ANSWERED;
        let mut answers = self.answered.iter();
        answers.any(|(at, one)| *one == digest && is_recent(*at))
    }

    fn note_answer(&mut self, now: Instant, digest: Digest) {
        if self.answered.len() == MAX_ANSWERED {
            self.answered.pop_front();
        }
        self.answered.push_back((now, digest));
    }

    fn drop_old(&mut self, now: Instant) {
        self.runs.retain(|_, run| run.counts(now));
        let left: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| run.left.is_some())
            .map(|(key, _)| *key)
            .collect();
        for key in left.iter().take(left.len().saturating_sub(MAX_LEFT)) {
            self.runs.remove(key);
        }
    }
}

impl Run {
    /// Gives how long ago it left; nought for one that is still there.
    fn since_left(&self, now: Instant) -> Duration {
        self.left
            .map_or(Duration::ZERO, |left| now.saturating_duration_since(left))
    }

    fn counts(&self, now: Instant) -> bool {
        let counts = |left: Instant| now.saturating_duration_since(left) < LINGER;
        self.left.is_none_or(counts)
    }
}
