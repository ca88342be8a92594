//! Callers that send several requests on a connection before the first response, and record the
//! outcomes that were reported to them.
//!
//! Bookings stand between look-ups: one of them must not run if a response before it closes the
//! connection and a caller sends it again elsewhere.

use crate::caller::Answer;
use crate::faults_callers::{
    CALL_TIMEOUT_MS, InvocationLog, classify_answer, now_us, summarize_answer,
};
use crate::faults_history::{Invocation, ReportedOutcome};
use bytes::{Buf, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use standin::backend::fingerprint;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Number of concurrent callers.
const CALLER_COUNT: usize = 4;

/// Range of the number of requests that are sent together.
const DEPTH: std::ops::RangeInclusive<usize> = 2..=8;

/// Number of batches that a caller sends on one connection.
const BATCHES_PER_CONNECTION: usize = 5;

/// Range of the pause between two batches, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..200;

/// Time after which a caller gives up on the rest of its responses. Calls on one connection may run
/// one after the other.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(8 * CALL_TIMEOUT_MS);

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 64;

/// A request that has been sent and has no response yet.
struct Sent {
    name: String,
    key: Option<String>,
    body: String,
    at_us: u64,
}

/// Starts the callers, which send requests as long as `keep_running` returns true.
pub(crate) fn spawn<F>(
    seed: u64,
    addresses: &[SocketAddr],
    keep_running: &F,
    log: &InvocationLog,
) -> Vec<JoinHandle<()>>
where
    F: Fn() -> bool + Clone + Send + Sync + 'static,
{
    (0..CALLER_COUNT)
        .map(|index| {
            let task = CallerTask {
                index,
                rng: SmallRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(index as u64)),
                addresses: addresses.to_vec(),
                requests: 0,
                log: log.clone(),
            };
            tokio::spawn(task.run(keep_running.clone()))
        })
        .collect()
}

/// State of one caller.
struct CallerTask {
    index: usize,
    rng: SmallRng,
    addresses: Vec<SocketAddr>,
    requests: u64,
    log: InvocationLog,
}

impl CallerTask {
    async fn run<F>(mut self, keep_running: F)
    where
        F: Fn() -> bool,
    {
        while keep_running() {
            let node = self.rng.random_range(0..self.addresses.len());
            if let Ok(stream) = TcpStream::connect(self.addresses[node]).await {
                self.run_connection(node, stream, &keep_running).await;
            }
            self.pause().await;
        }
    }

    async fn pause(&mut self) {
        let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
        tokio::time::sleep(pause).await;
    }

    async fn run_connection<F>(&mut self, node: usize, mut stream: TcpStream, keep_running: &F)
    where
        F: Fn() -> bool,
    {
        let mut received = BytesMut::new();
        for _ in 0..BATCHES_PER_CONNECTION {
            if !keep_running() || !self.run_batch(node, &mut stream, &mut received).await {
                return;
            }
            self.pause().await;
        }
    }

    /// Sends some requests together and records their outcomes. Returns whether the connection can
    /// take more.
    async fn run_batch(
        &mut self,
        node: usize,
        stream: &mut TcpStream,
        received: &mut BytesMut,
    ) -> bool {
        let depth = self.rng.random_range(DEPTH);
        let mut bytes = String::new();
        let mut batch = Vec::new();
        for _ in 0..depth {
            batch.push(self.write_request(&mut bytes));
        }
        let mut is_open = stream.write_all(bytes.as_bytes()).await.is_ok();
        for sent in batch {
            let answer = async {
                if is_open {
                    read_answer(stream, received).await
                } else {
                    None
                }
            };
            let answer = tokio::time::timeout(RESPONSE_TIMEOUT, answer).await;
            let answer = answer.ok().flatten();
            is_open = answer.as_ref().is_some_and(|answer| !closes(answer));
            let (told, detail) = match &answer {
                Some(answer) => (classify_answer(answer), summarize_answer(node, answer)),
                None => (ReportedOutcome::Broken, format!("VM {node}: closed")),
            };
            self.log.record(Invocation {
                request: sent.name,
                key: sent.key,
                fingerprint: fingerprint(sent.body.as_bytes()),
                sent_us: sent.at_us,
                told_us: now_us(),
                told,
                detail,
            });
        }
        is_open
    }

    /// Appends a look-up, or at times a booking, to `bytes`.
    fn write_request(&mut self, bytes: &mut String) -> Sent {
        self.requests += 1;
        let request = format!("p-{}-{}", self.index, self.requests);
        let is_booking = self.rng.random_ratio(1, 6);
        let key = is_booking.then(|| format!("key-{request}"));
        let body = key
            .as_ref()
            .map_or_else(String::new, |key| format!("for {key}"));
        let (method, path) = if is_booking {
            ("POST", "/jobs/book")
        } else {
            ("GET", "/records/gearbox")
        };
        let key_fields = key.as_ref().map_or_else(String::new, |key| {
            format!(
                "idempotency-key: {key}\r\ncontent-length: {}\r\n",
                body.len()
            )
        });
        let fields = format!(
            "host: mesh\r\nx-request: {request}\r\nbluebellpick-timeout-ms: {CALL_TIMEOUT_MS}\r\n"
        );
        for part in [
            method,
            " ",
            path,
            " HTTP/1.1\r\n",
            &fields,
            &key_fields,
            "\r\n",
            &body,
        ] {
            bytes.push_str(part);
        }
        Sent {
            name: request,
            key,
            body,
            at_us: now_us(),
        }
    }
}

fn closes(answer: &Answer) -> bool {
    answer.header("connection") == Some("close")
}

/// Reads the next response, or `None` if the connection closes before its end. Responses of the
/// stand-in have a length.
async fn read_answer(stream: &mut TcpStream, received: &mut BytesMut) -> Option<Answer> {
    loop {
        if let Some(answer) = take_answer(received) {
            return Some(answer);
        }
        if stream.read_buf(received).await.ok()? == 0 {
            return None;
        }
    }
}

/// Takes a complete response from the start of `received`.
fn take_answer(received: &mut BytesMut) -> Option<Answer> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(head_bytes) = head.parse(received).ok()? else {
        return None;
    };
    let status = StatusCode::from_u16(head.code?).ok()?;
    let mut headers = HeaderMap::new();
    for field in head.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let length = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    let length: usize = length.parse().ok()?;
    if received.len() < head_bytes + length {
        return None;
    }
    received.advance(head_bytes);
    let body = received.split_to(length).freeze();
    Some(Answer {
        status,
        headers,
        body,
    })
}
