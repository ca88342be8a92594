//! What a backend server ran, for the check of histories.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It has not ended yet, or the process was killed before.
    Running,
    /// It went to its end.
    Completed,
    /// The other side went away, and the work was stopped.
    Cancelled,
    /// Its time was over, and the work was stopped.
    Expired,
    /// It failed as the stand-in was told to.
    Failed,
    /// It ended the process.
    Crashed,
}

/// A call that was run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the run at this backend server.
    pub run: usize,
    /// The `idempotency-key` header, or empty.
    pub key: SmolStr,
    /// The `x-request` header, or empty.
    pub request: SmolStr,
    /// The `bluebellpick-call` header, or empty.
    pub call: SmolStr,
    /// HTTP method.
    pub method: SmolStr,
    /// Path and query.
    pub path: SmolStr,
    /// When the work began, in microseconds of the Unix epoch.
    pub start_us: u64,
    /// When it ended, in microseconds of the Unix epoch.
    pub end_us: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
}

/// All runs of a backend server; clones share them.
#[derive(Debug, Clone)]
pub struct RunLog {
    entries: Arc<Mutex<Vec<Entry>>>,
    file: Option<Arc<Mutex<File>>>,
    /// Where the time of the farewell is written.
    left: Option<Arc<PathBuf>>,
}

/// A run that goes on; dropped before its end, it counts as cancelled.
#[derive(Debug)]
pub struct RunGuard {
    record: RunLog,
    number: usize,
    ended: bool,
}

impl RunLog {
    /// Makes an empty record; with a file, each start and end is also a line there.
    ///
    /// Beside it, in a file with the extension `left`, stands when the first node
    /// answered the farewell.
    ///
    /// # Errors
    ///
    /// When the file can't be made.
    pub fn open(file: Option<&Path>) -> std::io::Result<Self> {
        let left = file.map(|file| Arc::new(file.with_extension("left")));
        let file = file.map(File::create).transpose()?;
        Ok(Self {
            entries: Arc::default(),
            file: file.map(|file| Arc::new(Mutex::new(file))),
            left,
        })
    }

    /// Notes that a node has answered the farewell; only the first time counts.
    pub fn record_leave_acknowledged(&self) {
        let Some(left) = self.left.as_deref().filter(|left| !left.exists()) else {
            return;
        };
        if let Err(error) = std::fs::write(left, now_us().to_string()) {
            log::error!(error:%; "record_failed");
        }
    }

    /// Notes that a run begins; `entry.run` and its times are set here.
    #[must_use]
    pub fn start(&self, mut entry: Entry) -> RunGuard {
        let mut entries = self.entries.lock();
        let run = entries.len();
        entry.run = run;
        entry.start_us = now_us();
        self.write(&entry);
        entries.push(entry);
        RunGuard {
            record: self.clone(),
            number: run,
            ended: false,
        }
    }

    /// Gives all runs so far.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().clone()
    }

    fn end(&self, run: usize, outcome: Outcome) {
        let mut entries = self.entries.lock();
        entries[run].end_us = Some(now_us());
        entries[run].outcome = outcome;
        self.write(&entries[run]);
    }

    /// A process that is killed keeps what it has written to a file.
    fn write(&self, entry: &Entry) {
        let Some(file) = &self.file else { return };
        let mut line = serde_json::to_vec(entry).unwrap_or_default();
        line.push(b'\n');
        if let Err(error) = file.lock().write_all(&line) {
            log::error!(error:%; "record_failed");
        }
    }
}

impl RunGuard {
    /// Gives the run's number.
    #[must_use]
    pub fn number(&self) -> usize {
        self.number
    }

    /// Notes how the run ended.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.record.end(self.number, outcome);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.record.end(self.number, Outcome::Cancelled);
        }
    }
}

fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}
