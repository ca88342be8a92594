//! The log on standard output: one line a decision, with a fixed event name and key-values.
//!
//! Logging never holds a call up. Lines go through a queue of fixed length to
//! a thread of their own; when whoever reads the output stalls, lines are left
//! out and counted, and the count is told once it reads again. Lines that come
//! with calls have a budget a second besides ([`RateLimiter`]).

use env_logger::{Builder, Env, Target};
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Variable that sets the log level, in the manner of `env_logger`.
pub const VARIABLE: &str = "BLUEBELLPICK_LOG";

/// Lines that may wait for the output: 200 kB at some 200 bytes each.
const QUEUE: usize = 1_024;

/// Time over which lines are gathered for one write: on a VM with a fifth of a
/// core each wake-up costs as much as a line.
const GATHER: Duration = Duration::from_millis(50);

/// Longest wait for the last lines at the end of the process.
const LAST: Duration = Duration::from_millis(500);

/// Lines a second of one [`RateLimiter`]: ten times what a node in order writes, and
/// 4 kB a second.
const RATE: u64 = 20;

/// The log while it is open.
#[derive(Debug)]
pub struct Handle {
    pending: Arc<AtomicU64>,
}

/// Starts the log on standard output; level `info` unless the variable says otherwise.
#[must_use]
pub fn open() -> Handle {
    let pending = Arc::new(AtomicU64::new(0));
    let outlet = QueuedWriter::spawn(io::stdout(), Arc::clone(&pending));
    Builder::from_env(Env::new().filter_or(VARIABLE, "info"))
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(outlet)))
        .init();
    Handle { pending }
}

impl Handle {
    /// Waits until the last lines are out, unless nobody reads them.
    pub fn close(self) {
        let until = Instant::now() + LAST;
        while self.pending.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(Duration::from_millis(1));
        }
    }
}

/// The end of the queue that takes lines.
#[derive(Debug)]
pub struct QueuedWriter {
    lines: SyncSender<Vec<u8>>,
    pending: Arc<AtomicU64>,
    left_out: Arc<AtomicU64>,
}

impl QueuedWriter {
    /// Starts to pass lines on to `output`; `pending` counts those on their way.
    #[must_use]
    pub fn spawn<W>(output: W, pending: Arc<AtomicU64>) -> Self
    where
        W: Write + Send + 'static,
    {
        let (lines, queue) = sync_channel(QUEUE);
        let left_out = Arc::new(AtomicU64::new(0));
        let (counted, missing) = (Arc::clone(&pending), Arc::clone(&left_out));
        thread::spawn(move || pass_on(output, &queue, &counted, &missing));
        Self {
            lines,
            pending,
            left_out,
        }
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(buf.to_vec()).is_err() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn pass_on<W>(mut output: W, queue: &Receiver<Vec<u8>>, pending: &AtomicU64, left_out: &AtomicU64)
where
    W: Write,
{
    while let Ok(first) = queue.recv() {
        thread::sleep(GATHER);
        let mut batch = first;
        let mut count = 1;
        while let Ok(line) = queue.try_recv() {
            batch.extend_from_slice(&line);
            count += 1;
        }
        let missing = left_out.swap(0, Ordering::Relaxed);
        if missing > 0 {
            let note = format!("[WARN  node::logs] lines_left_out count={missing}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // With the output gone there is nobody to tell; the node works on.
        let _written = output.write_all(&batch).and_then(|()| output.flush());
        pending.fetch_sub(count, Ordering::AcqRel);
    }
}

/// Bounds the lines of one kind of event that comes with calls.
///
/// *Load pattern:* an overload refuses hundreds of calls a second. *Without it*
/// a node on a small VM would spend its processor time on telling so.
#[derive(Debug, Default)]
pub struct RateLimiter {
    /// Whole seconds since the log began, and the lines asked for in it.
    second: AtomicU64,
    asked: AtomicU64,
}

impl RateLimiter {
    /// Takes a line, if there is one left in this second; gives how many were left out in the last.
    pub fn admit(&self, elapsed: Duration) -> Option<u64> {
        let second = elapsed.as_secs();
        let mut left_out = 0;
        if self.second.swap(second, Ordering::Relaxed) != second {
            left_out = self.asked.swap(0, Ordering::Relaxed).saturating_sub(RATE);
        }
        (self.asked.fetch_add(1, Ordering::Relaxed) < RATE).then_some(left_out)
    }
}
