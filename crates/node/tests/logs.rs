//! The log under load, and with nobody who reads it.

use node::logs::{Budget, Outlet};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Pipe {
    state: Arc<(Mutex<(bool, Vec<u8>)>, Condvar)>,
}

impl Pipe {
    fn open(&self) {
        self.state
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .0 = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        String::from_utf8_lossy(&state.1).into_owned()
    }
}

impl Write for Pipe {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut state = self
            .state
            .1
            .wait_while(state, |state| !state.0)
            .unwrap_or_else(PoisonError::into_inner);
        state.1.extend_from_slice(bytes);
        Ok(bytes.len())
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
    let mut outlet = Outlet::spawn(pipe.clone(), Arc::clone(&pending));
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
    let budget = Budget::default();
    let taken = |second: u64, count: u32| {
        let lines = (0..count).map(|_| budget.take(Duration::from_secs(second)));
        lines.flatten().collect::<Vec<_>>()
    };
    assert_eq!(taken(1, 5), [0; 5]);
    let second = taken(2, 100);
    assert_eq!((second.len(), second[0]), (20, 0));
    let third = taken(3, 1);
    assert_eq!(third, [80]);
}
