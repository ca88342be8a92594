//! The log under load and with a stalled reader.

use node::logs::{QueuedWriter, RateLimiter};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What an output has received, and whether it accepts writes.
#[derive(Default)]
struct Received {
    is_open: bool,
    bytes: Vec<u8>,
}

/// An output that blocks writes until it is opened.
#[derive(Clone, Default)]
struct Pipe {
    received: Arc<Mutex<Received>>,
    opened: Arc<Condvar>,
}

impl Pipe {
    fn lock(&self) -> MutexGuard<'_, Received> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) {
        self.lock().is_open = true;
        self.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8_lossy(&self.lock().bytes).into_owned()
    }
}

impl Write for Pipe {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let opened = self
            .opened
            .wait_while(self.lock(), |received| !received.is_open);
        let mut received = opened.unwrap_or_else(PoisonError::into_inner);
        received.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn wait_written(pending: &AtomicU64) {
    let until = Instant::now() + Duration::from_secs(20);
    while pending.load(Ordering::Acquire) > 0 {
        assert!(Instant::now() < until, "lines remain in the queue");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// Guards against a log reader that stalls and thereby blocks calls, which
// happened while each call wrote its own lines to the output.
#[test]
fn stalled_reader() {
    let (pipe, pending) = (Pipe::default(), Arc::new(AtomicU64::new(0)));
    let mut writer = QueuedWriter::spawn(pipe.clone(), Arc::clone(&pending));
    let started = Instant::now();
    for number in 0..5_000 {
        writer
            .write_all(format!("line {number}\n").as_bytes())
            .unwrap();
    }
    assert!(
        started.elapsed() < Duration::from_secs(5),
        "writers must not wait"
    );
    assert!(
        pending.load(Ordering::Acquire) < 5_000,
        "the queue must be bounded"
    );
    pipe.open();
    wait_written(&pending);
    writer.write_all(b"after\n").unwrap();
    wait_written(&pending);
    let text = pipe.text();
    assert!(text.starts_with("line 0\n") && text.contains("after\n"));
    let dropped = text.split("lines_left_out count=").nth(1).unwrap();
    let dropped: usize = dropped.split('\n').next().unwrap().parse().unwrap();
    let written = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert_eq!(written + dropped, 5_000, "dropped lines must be counted");
}

// In an overload a node refuses hundreds of calls per second. The log must keep the first lines of
// each second, and report how many lines it dropped.
#[test]
fn line_rate_limit() {
    let limiter = RateLimiter::default();
    let admitted = |second: u64, count: u32| {
        let lines = (0..count).map(|_| limiter.admit(Duration::from_secs(second)));
        lines.flatten().collect::<Vec<_>>()
    };
    assert_eq!(admitted(1, 5), [0; 5]);
    let second = admitted(2, 100);
    assert_eq!((second.len(), second[0]), (20, 0));
    let third = admitted(3, 1);
    assert_eq!(third, [80]);
}
