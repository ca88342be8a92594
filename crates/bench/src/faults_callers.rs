//! Callers who book and look up, repeat what may not have run, and note what they were told.

use crate::caller::{Answer, Call, Caller};
use crate::error::Error;
use crate::faults_history::{Invocation, Told};
use http::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use standin::backend::fingerprint;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Callers at once.
const CALLERS: usize = 16;

/// Callers that read nothing, in a plan.
const UNREADING: u64 = 2;

/// How long such a caller holds its connection, in milliseconds.
const UNREAD_MS: std::ops::Range<u64> = 500..7_000;

/// Bytes of an answer that no socket on the way holds.
const UNREAD_BYTES: usize = 20 << 20;

/// Requests of one key at most.
const MAX_REQUESTS: u32 = 6;

/// Time that a caller gives a call, in milliseconds.
pub const TIMEOUT_MS: u64 = 2_000;

/// Time after which a caller takes a silent node for lost.
const PATIENCE: Duration = Duration::from_millis(TIMEOUT_MS + 1_000);

/// Characters of an answer that are kept for people.
const MAX_WORDS: usize = 100;

/// Pause between two calls of one caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// Longest that a caller waits because it was told to.
const LONGEST_WAIT: Duration = Duration::from_secs(2);

/// Pause before a repeat, in milliseconds.
const REPEAT_MS: std::ops::Range<u64> = 20..400;

/// What all callers noted so far; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Notes(Arc<Mutex<Vec<Invocation>>>);

impl Notes {
    /// Adds what a caller noted.
    pub fn push(&self, one: Invocation) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        notes.push(one);
    }

    /// Takes all notes.
    #[must_use]
    pub fn take(&self) -> Vec<Invocation> {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// What a backend server tells of the request that it answers.
#[derive(Debug, Deserialize)]
struct Description {
    request: String,
    body_fingerprint: String,
}

/// Gives the time of day, in microseconds of the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

/// Starts all callers, which call as long as `goes_on` holds.
pub(crate) fn spawn<F>(
    seed: u64,
    addresses: &[SocketAddr],
    goes_on: F,
    notes: &Notes,
) -> Vec<JoinHandle<()>>
where
    F: Fn() -> bool + Clone + Send + 'static,
{
    (0..CALLERS)
        .map(|index| {
            let goes_on = goes_on.clone();
            let run = run(index, seed, addresses.to_vec(), goes_on, notes.clone());
            tokio::spawn(run)
        })
        .collect()
}

/// Starts callers that ask for long answers and take nothing of them.
pub(crate) fn spawn_unreading<F>(
    seed: u64,
    addresses: &[SocketAddr],
    goes_on: &F,
) -> Vec<JoinHandle<()>>
where
    F: Fn() -> bool + Clone + Send + 'static,
{
    (0..UNREADING)
        .map(|index| {
            let rng = SmallRng::seed_from_u64(seed.wrapping_sub(index + 1));
            tokio::spawn(read_nothing(rng, addresses.to_vec(), goes_on.clone()))
        })
        .collect()
}

async fn read_nothing<F>(mut rng: SmallRng, addresses: Vec<SocketAddr>, goes_on: F)
where
    F: Fn() -> bool,
{
    while goes_on() {
        let address = addresses[rng.random_range(0..addresses.len())];
        let held = Duration::from_millis(rng.random_range(UNREAD_MS));
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let request = format!(
                "GET /records/unread HTTP/1.1\r\nhost: mesh\r\nx-answer-bytes: {UNREAD_BYTES}\r\n\r\n"
            );
            // A node that is being killed may not take it.
            drop(stream.write_all(request.as_bytes()).await);
            tokio::time::sleep(held).await;
        }
        tokio::time::sleep(held / 2).await;
    }
}

/// Waits until all callers have ended.
///
/// # Errors
///
/// When one of them failed.
pub(crate) async fn join(callers: Vec<JoinHandle<()>>) -> Result<(), Error> {
    for caller in callers {
        if caller.await.is_err() {
            return Err(Error::Unexpected("a caller failed".to_owned()));
        }
    }
    Ok(())
}

/// Calls as long as `goes_on` holds, at nodes drawn anew for each request.
async fn run<F>(index: usize, seed: u64, addresses: Vec<SocketAddr>, goes_on: F, notes: Notes)
where
    F: Fn() -> bool,
{
    let mut one = One {
        index,
        rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
        nodes: addresses.into_iter().map(Caller::new).collect(),
        requests: 0,
        notes,
    };
    let mut calls = 0;
    while goes_on() {
        calls += 1;
        one.make_call(calls).await;
        one.pause(PAUSE_MS).await;
    }
}

/// One caller.
struct One {
    index: usize,
    rng: SmallRng,
    nodes: Vec<Caller>,
    requests: u64,
    notes: Notes,
}

impl One {
    async fn pause(&mut self, range: std::ops::Range<u64>) {
        let pause = Duration::from_millis(self.rng.random_range(range));
        tokio::time::sleep(pause).await;
    }

    async fn make_call(&mut self, number: u64) {
        let books = self.rng.random_bool(0.6);
        let key = books.then(|| format!("key-{}-{number}", self.index));
        let path = match (books, self.rng.random_bool(0.5)) {
            (true, true) => "/claims/release",
            (true, false) => "/jobs/book",
            (false, _) => "/records/gearbox",
        };
        let mut call = Call::new(if books { Method::POST } else { Method::GET }, path);
        if let Some(key) = &key {
            call.body = format!("for {key}").into_bytes().into();
            call.headers.push(("idempotency-key", key.clone()));
        }
        call.headers
            .push(("bluebellpick-timeout-ms", TIMEOUT_MS.to_string()));
        // A few answers are longer than what is sent at once.
        if self.rng.random_ratio(1, 20) {
            let bytes = self.rng.random_range(1_000..200_000);
            call.headers.push(("x-answer-bytes", bytes.to_string()));
        }
        for _ in 0..MAX_REQUESTS {
            let (told, wait) = self.request(&call, key.as_ref()).await;
            let settled = matches!(told, Told::Answered { .. } | Told::Ran);
            if settled || key.is_none() {
                return;
            }
            tokio::time::sleep(wait.min(LONGEST_WAIT)).await;
            self.pause(REPEAT_MS).await;
        }
    }

    /// Sends one request to a node that takes the connection, and notes what came of it.
    ///
    /// Gives what it was told, and the time to wait that it was told.
    async fn request(&mut self, call: &Call, key: Option<&String>) -> (Told, Duration) {
        self.requests += 1;
        let request = format!("r-{}-{}", self.index, self.requests);
        let mut call = call.clone();
        call.headers.push(("x-request", request.clone()));
        let sent_us = now_us();
        let (told, wait, detail) = loop {
            let node = self.rng.random_range(0..self.nodes.len());
            let caller = self.nodes[node].clone();
            match caller.send_within(&call, PATIENCE).await {
                Ok(answer) => break (read(&answer), read_wait(&answer), describe(node, &answer)),
                // Nobody took the connection: nothing was sent.
                Err(Error::Io(_)) => self.pause(REPEAT_MS).await,
                Err(error) => break (Told::Broken, Duration::ZERO, format!("VM {node}: {error}")),
            }
        };
        self.notes.push(Invocation {
            request,
            key: key.cloned(),
            fingerprint: fingerprint(&call.body),
            sent_us,
            told_us: now_us(),
            told: told.clone(),
            detail,
        });
        (told, wait)
    }
}

fn read_wait(answer: &Answer) -> Duration {
    let header = answer.header("bluebellpick-retry-after-ms");
    let wait = header.and_then(|value| value.parse().ok());
    wait.map_or(Duration::ZERO, Duration::from_millis)
}

/// Gives the words of an answer for people.
pub(crate) fn describe(node: usize, answer: &Answer) -> String {
    let words = String::from_utf8_lossy(&answer.body);
    let words: String = words.chars().take(MAX_WORDS).collect();
    format!("VM {node}: {} {words}", answer.status)
}

/// Reads what an answer tells of the call.
pub(crate) fn read(answer: &Answer) -> Told {
    let description = serde_json::from_slice::<Description>(&answer.body);
    match (answer.header("bluebellpick-verdict"), description) {
        (Some("ran"), Ok(description)) if answer.status.is_success() => Told::Answered {
            request: description.request,
            fingerprint: description.body_fingerprint,
        },
        (Some("ran"), _) => Told::Ran,
        (Some("not-run"), _) => Told::NotRun,
        _ => Told::MayHaveRun,
    }
}
