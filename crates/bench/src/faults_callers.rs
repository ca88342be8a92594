//! Callers that send bookings and look-ups, retry bookings that may not have run, and record
//! the outcomes that were reported to the callers.

use crate::caller::{Answer, Call, Caller};
use crate::error::Error;
use crate::faults_history::{Invocation, ReportedOutcome};
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

/// Number of concurrent callers that send bookings and look-ups.
const CALLER_COUNT: usize = 16;

/// Number of additional callers that run while the faults of a plan are injected and don't read
/// their responses.
const STALLED_READER_COUNT: u64 = 2;

/// Range of the time for which a caller that doesn't read its response keeps the connection open,
/// in milliseconds.
const STALL_MS: std::ops::Range<u64> = 500..7_000;

/// Size of a response that exceeds the socket buffers on its path, in bytes.
const STALLED_RESPONSE_BYTES: usize = 20 << 20;

/// Maximum number of requests with the same idempotency key.
const MAX_REQUESTS_PER_KEY: u32 = 6;

/// Timeout that a caller sends with its call, in milliseconds.
pub const CALL_TIMEOUT_MS: u64 = 2_000;

/// Time after which a caller gives up on a node that doesn't respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(CALL_TIMEOUT_MS + 1_000);

/// Maximum number of characters of a response body that are kept for messages.
const MAX_DETAIL_CHARS: usize = 100;

/// Range of the pause between two calls of one caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..40;

/// Maximum time that a caller waits because a response asks for a delay before the retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Range of the pause before a retry, in milliseconds.
const RETRY_DELAY_MS: std::ops::Range<u64> = 20..400;

/// Invocations recorded by all callers so far; clones share them.
#[derive(Debug, Clone, Default)]
pub struct InvocationLog(Arc<Mutex<Vec<Invocation>>>);

impl InvocationLog {
    /// Adds an invocation.
    pub fn record(&self, invocation: Invocation) {
        let mut log = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        log.push(invocation);
    }

    /// Removes and returns all invocations.
    #[must_use]
    pub fn take(&self) -> Vec<Invocation> {
        std::mem::take(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Body of a backend server's response, which describes the request.
#[derive(Debug, Deserialize)]
struct ResponseBody {
    request: String,
    body_fingerprint: String,
}

/// Returns the wall-clock time, in microseconds since the Unix epoch.
#[must_use]
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
    })
}

/// Starts the callers of bookings and look-ups, which send calls as long as `keep_running` returns
/// true.
pub(crate) fn spawn<F>(
    seed: u64,
    addresses: &[SocketAddr],
    keep_running: F,
    log: &InvocationLog,
) -> Vec<JoinHandle<()>>
where
    F: Fn() -> bool + Clone + Send + 'static,
{
    (0..CALLER_COUNT)
        .map(|index| {
            let keep_running = keep_running.clone();
            let run = run(index, seed, addresses.to_vec(), keep_running, log.clone());
            tokio::spawn(run)
        })
        .collect()
}

/// Starts callers that request long responses and don't read them, as long as `keep_running`
/// returns true.
pub(crate) fn spawn_stalled_readers<F>(
    seed: u64,
    addresses: &[SocketAddr],
    keep_running: &F,
) -> Vec<JoinHandle<()>>
where
    F: Fn() -> bool + Clone + Send + 'static,
{
    (0..STALLED_READER_COUNT)
        .map(|index| {
            let rng = SmallRng::seed_from_u64(seed.wrapping_sub(index + 1));
            tokio::spawn(run_stalled_reader(
                rng,
                addresses.to_vec(),
                keep_running.clone(),
            ))
        })
        .collect()
}

async fn run_stalled_reader<F>(mut rng: SmallRng, addresses: Vec<SocketAddr>, keep_running: F)
where
    F: Fn() -> bool,
{
    while keep_running() {
        let address = addresses[rng.random_range(0..addresses.len())];
        let stall = Duration::from_millis(rng.random_range(STALL_MS));
        if let Ok(mut stream) = TcpStream::connect(address).await {
            let request = format!(
                "GET /records/unread HTTP/1.1\r\nhost: mesh\r\nx-answer-bytes: {STALLED_RESPONSE_BYTES}\r\n\r\n"
            );
            // The write may fail because the node is being killed.
            drop(stream.write_all(request.as_bytes()).await);
            tokio::time::sleep(stall).await;
        }
        tokio::time::sleep(stall / 2).await;
    }
}

/// Waits until all callers have ended.
///
/// # Errors
///
/// When the task of a caller panicked.
pub(crate) async fn join(callers: Vec<JoinHandle<()>>) -> Result<(), Error> {
    for caller in callers {
        if caller.await.is_err() {
            return Err(Error::Unexpected("a caller failed".to_owned()));
        }
    }
    Ok(())
}

/// Runs one caller: sends calls as long as `keep_running` returns true, each request to a random
/// node.
async fn run<F>(
    index: usize,
    seed: u64,
    addresses: Vec<SocketAddr>,
    keep_running: F,
    log: InvocationLog,
) where
    F: Fn() -> bool,
{
    let mut task = CallerTask {
        index,
        rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
        nodes: addresses.into_iter().map(Caller::new).collect(),
        requests: 0,
        log,
    };
    let mut calls = 0;
    while keep_running() {
        calls += 1;
        task.run_call(calls).await;
        task.pause(PAUSE_MS).await;
    }
}

/// State of one caller.
struct CallerTask {
    index: usize,
    rng: SmallRng,
    nodes: Vec<Caller>,
    requests: u64,
    log: InvocationLog,
}

impl CallerTask {
    async fn pause(&mut self, range: std::ops::Range<u64>) {
        let pause = Duration::from_millis(self.rng.random_range(range));
        tokio::time::sleep(pause).await;
    }

    async fn run_call(&mut self, number: u64) {
        let is_booking = self.rng.random_bool(0.6);
        let key = is_booking.then(|| format!("key-{}-{number}", self.index));
        let path = match (is_booking, self.rng.random_bool(0.5)) {
            (true, true) => "/claims/release",
            (true, false) => "/jobs/book",
            (false, _) => "/records/gearbox",
        };
        let mut call = Call::new(
            if is_booking {
                Method::POST
            } else {
                Method::GET
            },
            path,
        );
        if let Some(key) = &key {
            call.body = format!("for {key}").into_bytes().into();
            call.headers.push(("idempotency-key", key.clone()));
        }
        call.headers
            .push(("bluebellpick-timeout-ms", CALL_TIMEOUT_MS.to_string()));
        // One in 20 responses is larger; most of the larger responses exceed the size that a node
        // sends without flow-control credit.
        if self.rng.random_ratio(1, 20) {
            let bytes = self.rng.random_range(1_000..200_000);
            call.headers.push(("x-answer-bytes", bytes.to_string()));
        }
        for _ in 0..MAX_REQUESTS_PER_KEY {
            let (told, wait) = self.request(&call, key.as_ref()).await;
            let has_run = matches!(
                told,
                ReportedOutcome::Answered { .. } | ReportedOutcome::Ran
            );
            if has_run || key.is_none() {
                return;
            }
            tokio::time::sleep(wait.min(MAX_RETRY_AFTER)).await;
            self.pause(RETRY_DELAY_MS).await;
        }
    }

    /// Sends one request to a node that accepts the connection, and records the invocation.
    ///
    /// Returns the reported outcome, and the delay before a retry that the response asks for.
    async fn request(&mut self, call: &Call, key: Option<&String>) -> (ReportedOutcome, Duration) {
        self.requests += 1;
        let request = format!("r-{}-{}", self.index, self.requests);
        let mut call = call.clone();
        call.headers.push(("x-request", request.clone()));
        let sent_us = now_us();
        let (told, wait, detail) = loop {
            let node = self.rng.random_range(0..self.nodes.len());
            let caller = self.nodes[node].clone();
            match caller.send_within(&call, RESPONSE_TIMEOUT).await {
                Ok(answer) => {
                    break (
                        classify_answer(&answer),
                        retry_after(&answer),
                        summarize_answer(node, &answer),
                    );
                }
                // The connection could not be opened, so nothing was sent.
                Err(Error::Io(_)) => self.pause(RETRY_DELAY_MS).await,
                Err(error) => {
                    break (
                        ReportedOutcome::Broken,
                        Duration::ZERO,
                        format!("VM {node}: {error}"),
                    );
                }
            }
        };
        self.log.record(Invocation {
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

fn retry_after(answer: &Answer) -> Duration {
    let header = answer.header("bluebellpick-retry-after-ms");
    let wait = header.and_then(|value| value.parse().ok());
    wait.map_or(Duration::ZERO, Duration::from_millis)
}

/// Summarizes a response for messages.
pub(crate) fn summarize_answer(node: usize, answer: &Answer) -> String {
    let text = String::from_utf8_lossy(&answer.body);
    let text: String = text.chars().take(MAX_DETAIL_CHARS).collect();
    format!("VM {node}: {} {text}", answer.status)
}

/// Returns the outcome that a response reports to the caller.
pub(crate) fn classify_answer(answer: &Answer) -> ReportedOutcome {
    let description = serde_json::from_slice::<ResponseBody>(&answer.body);
    match (answer.header("bluebellpick-verdict"), description) {
        (Some("ran"), Ok(description)) if answer.status.is_success() => ReportedOutcome::Answered {
            request: description.request,
            fingerprint: description.body_fingerprint,
        },
        (Some("ran"), _) => ReportedOutcome::Ran,
        (Some("not-run"), _) => ReportedOutcome::NotRun,
        _ => ReportedOutcome::MayHaveRun,
    }
}
