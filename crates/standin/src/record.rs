//! Log of the calls that a backend server executed. Tests compare it with what callers were told.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Outcome of a run, which is one execution of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The run has not ended, or the process was killed during the run.
    Running,
    /// The run finished its work.
    Completed,
    /// The peer closed the connection, which stopped the work.
    Cancelled,
    /// The deadline passed, which stopped the work.
    Expired,
    /// The run failed because of an injected fault.
    Failed,
    /// The call was rejected before its work began.
    Rejected,
    /// The run crashed the process.
    Crashed,
}

/// Log entry of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the run, counted from 0 in each log.
    pub run: usize,
    /// Value of the header `idempotency-key`; may be empty.
    pub key: SmolStr,
    /// Value of the header `x-request`; may be empty.
    pub request: SmolStr,
    /// Value of the header `bluebellpick-call`; may be empty.
    pub call: SmolStr,
    /// HTTP method of the call.
    pub method: SmolStr,
    /// Path and query of the call.
    pub path: SmolStr,
    /// Start of the work, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// End of the work, in microseconds since the Unix epoch; `None` until the run has ended.
    pub end_us: Option<u64>,
    /// Outcome of the run so far.
    pub outcome: Outcome,
}

/// Log of all runs of a backend server; clones share it.
#[derive(Debug, Clone)]
pub struct RunLog {
    entries: Arc<Mutex<Vec<Entry>>>,
    file: Option<Arc<Mutex<File>>>,
    /// File for the time at which the leave request was acknowledged.
    leave_time_path: Option<Arc<PathBuf>>,
}

/// A run in progress; recorded as cancelled if dropped before [`RunGuard::end`].
#[derive(Debug)]
pub struct RunGuard {
    log: RunLog,
    number: usize,
    ended: bool,
}

impl RunLog {
    /// Creates an empty log; if a file is given, each start and end of a run appends a line to the
    /// file.
    ///
    /// A second file, with the extension `left`, receives the time at which the first node
    /// acknowledged the leave request.
    ///
    /// # Errors
    ///
    /// If the file can't be created.
    pub fn open(file: Option<&Path>) -> std::io::Result<Self> {
        let leave_time_path = file.map(|file| Arc::new(file.with_extension("left")));
        let file = file.map(File::create).transpose()?;
        Ok(Self {
            entries: Arc::default(),
            file: file.map(|file| Arc::new(Mutex::new(file))),
            leave_time_path,
        })
    }

    /// Records that a node has acknowledged the leave request; later calls have no effect.
    pub fn record_leave_acknowledged(&self) {
        let Some(path) = self
            .leave_time_path
            .as_deref()
            .filter(|path| !path.exists())
        else {
            return;
        };
        if let Err(error) = std::fs::write(path, now_us().to_string()) {
            log::error!(error:%; "record_failed");
        }
    }

    /// Records the start of a run; sets `entry.run` and `entry.start_us`.
    #[must_use]
    pub fn start(&self, mut entry: Entry) -> RunGuard {
        let mut entries = self.entries.lock();
        let run = entries.len();
        entry.run = run;
        entry.start_us = now_us();
        self.write(&entry);
        entries.push(entry);
        RunGuard {
            log: self.clone(),
            number: run,
            ended: false,
        }
    }

    /// Returns the entries of all runs so far.
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

    /// Writes a line to the file without buffering, so that the line survives a kill of the
    /// process.
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
    /// Returns the number of the run.
    #[must_use]
    pub fn number(&self) -> usize {
        self.number
    }

    /// Records the end of the run.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.log.end(self.number, outcome);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.log.end(self.number, Outcome::Cancelled);
        }
    }
}

fn now_us() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
    })
}
