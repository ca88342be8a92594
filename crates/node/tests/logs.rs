//! The log under load, and with nobody who reads it.

use node::logs::{QueuedWriter, RateLimiter};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What an output has taken, and whether it takes more.
#[derive(Default)]
struct Taken {
    is_open: bool,
    bytes: Vec<u8>,
}

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Pipe {
    taken: Arc<Mutex<Taken>>,
    opened: Arc<Condvar>,
}

impl Pipe {
    fn lock(&self) -> MutexGuard<'_, Taken> {
        self.taken.lock().unwrap_or_else(PoisonError::into_inner)
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
        let opened = self.opened.wait_while(self.lock(), |taken| !taken.is_open);
        let mut taken = opened.unwrap_or_else(PoisonError::into_inner);
        taken.bytes.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn wait_out(pending: &AtomicU64) {
    let until = Instant::now() + Duration::from_secs(20);
    while pending.load(Ordering::Acquire) > 0 {
        assert!(Instant::now() < until, "lines stay in the queue");
        std::thread::sleep(Duration::from_millis(5));
    }
}

// Whoever collects the log stalls, and calls take as long as it does. Cause:
// each line was written to the output by the call that it is about.
#[test]
fn stalled_reader() {
    let (pipe, pending) = (Pipe::default(), Arc::new(AtomicU64::new(0)));
    let mut outlet = QueuedWriter::spawn(pipe.clone(), Arc::clone(&pending));
    let started = Instant::now();
    for number in 0..5_000 {
        outlet
            .write_all(format!("line {number}\n").as_bytes())
            .unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(5), "nobody waits");
    assert!(
        pending.load(Ordering::Acquire) < 5_000,
        "the queue has an end"
    );
    pipe.open();
    wait_out(&pending);
    outlet.write_all(b"after\n").unwrap();
    wait_out(&pending);
    let text = pipe.text();
    assert!(text.starts_with("line 0\n") && text.contains("after\n"));
    let told = text.split("lines_left_out count=").nth(1).unwrap();
    let told: usize = told.split('\n').next().unwrap().parse().unwrap();
    let kept = text
        .lines()
        .filter(|line| line.starts_with("line "))
        .count();
    assert_eq!(kept + told, 5_000, "what is left out is counted");
}

// In an overload a node refuses hundreds of calls a second. The log keeps the
// first of each second, and says how many it left out.
#[test]
fn lines_bounded() {
    let budget = RateLimiter::default();
    let taken = |second: u64, count: u32| {
        let lines = (0..count).map(|_| budget.admit(Duration::from_secs(second)));
        lines.flatten().collect::<Vec<_>>()
    };
    assert_eq!(taken(1, 5), [0; 5]);
    let second = taken(2, 100);
    assert_eq!((second.len(), second[0]), (20, 0));
    let third = taken(3, 1);
    assert_eq!(third, [80]);
}
