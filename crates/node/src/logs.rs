//! The log on standard output: one line per decision, with a fixed event name and key-value pairs.
//!
//! Logging never blocks a call. Lines go through a bounded queue to a thread that writes them. When
//! the reader of the output stalls, lines are dropped and counted, and the count is logged once
//! the reader continues. Lines about calls are also limited per second ([`RateLimiter`]).

use env_logger::{Builder, Env, Target};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Environment variable with the log level, in the syntax of `env_logger`.
pub const LEVEL_VARIABLE: &str = "BLUEBELLPICK_LOG";

/// Maximum number of queued lines: 200 kB at about 200 bytes per line.
const QUEUE_LENGTH: usize = 1_024;

/// How long lines are collected for one write. On a VM with a fifth of a core, a wake-up of the log
/// thread costs as much as writing a line.
const BATCH_DELAY: Duration = Duration::from_millis(50);

/// How long the end of the process waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Lines per second that one [`RateLimiter`] admits: ten times what a healthy node writes, and
/// about 4 kB per second.
const LINES_PER_SECOND: u64 = 20;

/// The open log.
#[derive(Debug)]
pub struct Handle {
    pending: Arc<AtomicU64>,
}

/// Starts the log on standard output, at level `info` unless [`LEVEL_VARIABLE`] sets another.
#[must_use]
pub fn open() -> Handle {
    let pending = Arc::new(AtomicU64::new(0));
    let writer = QueuedWriter::spawn(io::stdout(), Arc::clone(&pending));
    Builder::from_env(Env::new().filter_or(LEVEL_VARIABLE, "info"))
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(writer)))
        .init();
    Handle { pending }
}

impl Handle {
    /// Waits until the queued lines are written, or for a short time if the reader stalls.
    pub fn close(self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// A writer that passes lines to the log thread and never blocks.
///
/// The writer drops lines while the queue is full.
#[derive(Debug)]
pub struct QueuedWriter {
    lines: SyncSender<Vec<u8>>,
    pending: Arc<AtomicU64>,
    dropped: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts a thread that writes to `output`. `pending` counts the lines that are not written yet.
    #[must_use]
    pub fn spawn<W>(output: W, pending: Arc<AtomicU64>) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(QUEUE_LENGTH);
        let dropped = Arc::new(AtomicU64::new(0));
        let (unwritten, lost) = (Arc::clone(&pending), Arc::clone(&dropped));
        thread::spawn(move || write_batches(output, &queue, &unwritten, &lost));
        Self {
            lines,
            pending,
            dropped,
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_batches<W>(
    mut output: W,
    queue: &Receiver<Vec<u8>>,
    pending: &AtomicU64,
    dropped: &AtomicU64,
) where
    W: Write,
{
    while let Ok(first) = queue.recv() {
        thread::sleep(BATCH_DELAY);
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let line = format!("[WARN  node::logs] lines_left_out count={lost}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        // An error can't be reported anywhere once the output is closed; the node continues.
        let _written = output.write_all(&batch).and_then(|()| output.flush());
        pending.fetch_sub(count, Ordering::AcqRel);
    }
}

/// Limits the lines per second of one kind of event about calls.
///
/// In an overload, a node refuses hundreds of calls per second. Without the limit,
/// a node on a small VM would spend its CPU time on logging them.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Second, counted from the start of the node, in which the last line was requested.
    second: AtomicU64,
    /// Number of lines that were requested in that second.
    requested: AtomicU64,
}

impl RateLimiter {
    /// Requests one line; returns `None` if the line exceeds the limit of the current second.
    ///
    /// Otherwise returns the number of dropped lines to report along with this line. The first line
    /// of a second reports those that were dropped in the last second in which lines were
    /// requested; other lines report 0.
    pub fn admit(&self, elapsed: Duration) -> Option<u64> {
        let second = elapsed.as_secs();
        let mut dropped = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            dropped = self
                .requested
                .swap(0, Ordering::Relaxed)
                .saturating_sub(LINES_PER_SECOND);
        }
        (self.requested.fetch_add(1, Ordering::Relaxed) < LINES_PER_SECOND).then_some(dropped)
    }
}
