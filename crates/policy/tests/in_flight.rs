//! Which requests were in flight at a backend server as it ended.

use call::Digest;
use clock::{Clock, Manual};
use policy::in_flight::{Key, Outcome, Request, Suspect, Table};
use std::time::Duration;

fn request(path: &str, is_suspect: bool) -> Request {
    Request {
        digest: Digest::of("GET", "", path, b""),
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

    fn enter(&mut self, path: &str, is_suspect: bool) -> Key {
        let now = self.clock.now();
        self.table.start(now, 1, request(path, is_suspect))
    }

    fn leave(&mut self, key: Key, outcome: Outcome) {
        self.table.finish(self.clock.now(), key, outcome);
    }

    /// Ends the process; gives the paths with whether they are alone to blame.
    fn end(&mut self) -> Vec<(String, bool)> {
        let found = self.table.take_suspects(self.clock.now(), 1).into_iter();
        let tell = |found: Suspect| (found.request.path.to_string(), found.is_alone);
        found.map(tell).collect()
    }
}

fn paths(found: &[(&str, bool)]) -> Vec<(String, bool)> {
    let own = found
        .iter()
        .map(|(path, alone)| ((*path).to_owned(), *alone));
    own.collect()
}

/// A request that ends a server alone must be found, whoever else has left it before.
#[test]
fn alone() {
    let mut server = Server::new();
    let before = server.enter("/before", false);
    server.leave(before, Outcome::Answered);
    let refused = server.enter("/refused", false);
    server.leave(refused, Outcome::NotRun);
    server.enter("/deadly", false);
    assert_eq!(server.end(), paths(&[("/deadly", true)]));
    assert!(server.end().is_empty(), "a process ends once");
}

/// Copies of one request must not hide each other.
#[test]
fn copies() {
    let mut server = Server::new();
    server.enter("/deadly", false);
    server.enter("/deadly", true);
    assert_eq!(server.end(), paths(&[("/deadly", true)]));
}

/// An innocent request beside a suspect must not be blamed as much as that one.
#[test]
fn beside_suspect() {
    let mut server = Server::new();
    server.enter("/innocent", false);
    server.enter("/deadly", true);
    let found = server.end();
    assert_eq!(found, paths(&[("/deadly", true), ("/innocent", false)]));
}

/// Two that nothing is known of must not be blamed alone.
#[test]
fn two_fresh() {
    let mut server = Server::new();
    server.enter("/a", false);
    server.enter("/b", false);
    assert_eq!(server.end(), paths(&[("/a", false), ("/b", false)]));
}

/// A caller that gives up just before the crash must not take the evidence with it; one that
/// left long before is none.
#[test]
fn gone_before() {
    let mut server = Server::new();
    let long_gone = server.enter("/long-gone", false);
    server.leave(long_gone, Outcome::Unanswered);
    server.clock.advance(Duration::from_secs(2));
    let gone = server.enter("/deadly", false);
    server.leave(gone, Outcome::Unanswered);
    assert!(server.table.has_unanswered(server.clock.now(), 1));
    server.clock.advance(Duration::from_millis(300));
    assert_eq!(server.end(), paths(&[("/deadly", true)]));
    assert!(!server.table.has_unanswered(server.clock.now(), 1));
}

/// A path that all ask for is on each server that ends, and must not be suspected for it.
#[test]
fn hot_path() {
    let mut server = Server::new();
    let answered = server.enter("/hot", false);
    server.leave(answered, Outcome::Answered);
    server.clock.advance(Duration::from_secs(1));
    server.enter("/hot", false);
    server.enter("/other", false);
    assert_eq!(server.end(), paths(&[("/other", true)]));
}

/// One crash must not fill all memories with those that left long before the one to blame.
#[test]
fn many_gone() {
    let mut server = Server::new();
    for number in 0..100 {
        let gone = server.enter(&format!("/gone/{number}"), false);
        server.leave(gone, Outcome::Unanswered);
        server.clock.advance(Duration::from_millis(1));
    }
    server.enter("/deadly", false);
    let found = server.end();
    assert_eq!(found[0].0, "/deadly");
    assert_eq!(found.len(), 64);
}

/// The calls of the process that follows must not count for the one before.
#[test]
fn next_process() {
    let mut server = Server::new();
    server.enter("/deadly", false);
    let now = server.clock.now();
    server.table.start(now, 2, request("/next", false));
    assert_eq!(server.end(), paths(&[("/deadly", true)]));
    let next = server.table.take_suspects(now, 2);
    assert_eq!(next.len(), 1);
}
