//! Which requests are suspected when the process of a backend server ends.

use call::Digest;
use clock::{Clock, Manual};
use policy::in_flight::{Key, Outcome, Request, Suspect, Table};
use std::time::Duration;

fn request(path: &str, is_suspect: bool) -> Request {
    Request {
        digest: Digest::of("", "GET", "", path, b""),
        method: "GET".into(),
        path: path.into(),
        is_suspect,
    }
}

struct Server {
    clock: Manual,
    table: Table,
}

impl Server {
    fn new() -> Self {
        Self {
            clock: Manual::new(),
            table: Table::default(),
        }
    }

    fn start(&mut self, path: &str, is_suspect: bool) -> Key {
        let now = self.clock.now();
        self.table.start(now, 1, request(path, is_suspect))
    }

    fn finish(&mut self, key: Key, outcome: Outcome) {
        self.table.finish(self.clock.now(), key, outcome);
    }

    /// Ends the process; returns the path of each suspect and whether it is the only likely cause.
    fn crash(&mut self) -> Vec<(String, bool)> {
        let suspects = self.table.take_suspects(self.clock.now(), 1).into_iter();
        let summary = |suspect: Suspect| (suspect.request.path.to_string(), suspect.is_alone);
        suspects.map(summary).collect()
    }
}

fn expected(suspects: &[(&str, bool)]) -> Vec<(String, bool)> {
    let owned = suspects
        .iter()
        .map(|(path, is_alone)| ((*path).to_owned(), *is_alone));
    owned.collect()
}

/// The only request in flight at a crash is the only suspect: calls that were answered before the
/// crash, or never started, are not suspected.
#[test]
fn sole_suspect() {
    let mut server = Server::new();
    let before = server.start("/before", false);
    server.finish(before, Outcome::Answered);
    let refused = server.start("/refused", false);
    server.finish(refused, Outcome::NotRun);
    server.start("/deadly", false);
    assert_eq!(server.crash(), expected(&[("/deadly", true)]));
    assert!(
        server.crash().is_empty(),
        "the calls of a process are taken once"
    );
}

/// Two calls with the same request are one suspect; otherwise neither would count as the only
/// likely cause.
#[test]
fn duplicate_calls() {
    let mut server = Server::new();
    server.start("/deadly", false);
    server.start("/deadly", true);
    assert_eq!(server.crash(), expected(&[("/deadly", true)]));
}

/// A request that was in flight together with a known suspect is a less likely cause.
#[test]
fn with_known_suspect() {
    let mut server = Server::new();
    server.start("/innocent", false);
    server.start("/deadly", true);
    let suspects = server.crash();
    assert_eq!(
        suspects,
        expected(&[("/deadly", true), ("/innocent", false)])
    );
}

/// Of two requests without earlier crashes, neither is the only likely cause.
#[test]
fn two_unknown() {
    let mut server = Server::new();
    server.start("/a", false);
    server.start("/b", false);
    assert_eq!(server.crash(), expected(&[("/a", false), ("/b", false)]));
}

/// A call whose caller gave up just before the crash is still a suspect; a call that ended long
/// before the crash is not.
#[test]
fn cancelled_before_crash() {
    let mut server = Server::new();
    let long_ended = server.start("/long-gone", false);
    server.finish(long_ended, Outcome::Unanswered);
    server.clock.advance(Duration::from_secs(2));
    let cancelled = server.start("/deadly", false);
    server.finish(cancelled, Outcome::Unanswered);
    assert!(server.table.has_unanswered(server.clock.now(), 1));
    server.clock.advance(Duration::from_millis(300));
    assert_eq!(server.crash(), expected(&[("/deadly", true)]));
    assert!(!server.table.has_unanswered(server.clock.now(), 1));
}

/// A frequently requested path is in flight at every crash, but its recent answers show that it is
/// not the cause.
#[test]
fn hot_path() {
    let mut server = Server::new();
    let answered = server.start("/hot", false);
    server.finish(answered, Outcome::Answered);
    server.clock.advance(Duration::from_secs(1));
    server.start("/hot", false);
    server.start("/other", false);
    assert_eq!(server.crash(), expected(&[("/other", true)]));
}

/// The number of suspects per crash is bounded, and calls that ended earlier do not displace the
/// call in flight.
#[test]
fn many_cancelled() {
    let mut server = Server::new();
    for number in 0..100 {
        let cancelled = server.start(&format!("/gone/{number}"), false);
        server.finish(cancelled, Outcome::Unanswered);
        server.clock.advance(Duration::from_millis(1));
    }
    server.start("/deadly", false);
    let suspects = server.crash();
    assert_eq!(suspects[0].0, "/deadly");
    assert_eq!(suspects.len(), 64);
}

/// The calls of the next process are not suspected of the crash of the previous one.
#[test]
fn next_process() {
    let mut server = Server::new();
    server.start("/deadly", false);
    let now = server.clock.now();
    server.table.start(now, 2, request("/next", false));
    assert_eq!(server.crash(), expected(&[("/deadly", true)]));
    let next = server.table.take_suspects(now, 2);
    assert_eq!(next.len(), 1);
}
