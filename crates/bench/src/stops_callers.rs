//! Raw HTTP/1.1 callers with keep-alive connections, which differ in when they notice a close.

use crate::caller::Answer;
use crate::faults_callers::{classify_answer, now_us};
use crate::faults_history::ReportedOutcome;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use rand::Rng;
use rand::rngs::SmallRng;
use standin::backend::fingerprint;
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Timeout that a caller sends with its call, in milliseconds.
pub(crate) const CALL_TIMEOUT_MS: u64 = 5_000;

/// Range of the work of long calls, in milliseconds.
pub(crate) const WORK_MS: Range<u64> = 100..600;

/// Time after which a caller gives up on a node that doesn't respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(CALL_TIMEOUT_MS + 3_000);

/// Maximum number of requests with the same idempotency key.
const MAX_REQUESTS_PER_KEY: u32 = 8;

/// Range of the pause before a retry or another connection attempt, in milliseconds.
const RETRY_DELAY_MS: Range<u64> = 20..150;

/// Pauses between two calls of one caller, in milliseconds. A stopping node closes idle connections
/// after one second: the classes end before the close, surround it, and outlast the process.
pub(crate) const PAUSES_MS: [Range<u64>; 3] = [5..300, 900..1_400, 1_500..4_000];

/// How a caller uses its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Habit {
    /// Writes to its open connection without a look at whether the node has closed it.
    Blind,
    /// Replaces its connection if it has been closed.
    Watching,
    /// Opens a connection for each request.
    Single,
}

/// What a caller received for a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A complete response.
    Answer(Answer),
    /// An end, an error or silence in place of a complete response.
    Broken {
        /// Whether a part of a response was received.
        has_part: bool,
        /// Kind of the error.
        kind: io::ErrorKind,
    },
    /// The request could not be written completely, and there was no response.
    Unwritten(io::ErrorKind),
}

/// One request of a caller and what became of it. Times are in microseconds since the Unix epoch.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Name of the request.
    pub request: String,
    /// Idempotency key, if the call must not run more than once.
    pub key: Option<String>,
    /// Fingerprint of the body of the request.
    pub fingerprint: String,
    /// VM of the node.
    pub vm: usize,
    /// How the caller uses its connections.
    pub habit: Habit,
    /// Pauses between the caller's calls, in milliseconds.
    pub pause_ms: Range<u64>,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// When the connection was opened.
    pub opened_us: u64,
    /// When the caller began to write.
    pub sent_us: u64,
    /// When the reply was complete.
    pub told_us: u64,
    /// The reply.
    pub reply: Reply,
}

/// What an exchange means for the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The request ran, and its response is complete.
    Served,
    /// The request has not run, and the caller was told so.
    Refused,
    /// The caller can't know what became of its request.
    Cut,
    /// The request was written after the node's process had ended, and nothing was received.
    AfterEnd,
    /// The request was not written completely.
    Unwritten,
    /// The response is none that a graceful stop may cause.
    WrongAnswer,
}

/// Returns what a reply means to a request that was written at `sent_us` to a process that ended at
/// `ended_us`.
#[must_use]
pub fn classify(reply: &Reply, sent_us: u64, ended_us: Option<u64>) -> Outcome {
    let is_after_end = ended_us.is_some_and(|ended_us| ended_us < sent_us);
    match reply {
        Reply::Unwritten(_) => Outcome::Unwritten,
        Reply::Broken {
            has_part: false, ..
        } if is_after_end => Outcome::AfterEnd,
        Reply::Broken { .. } => Outcome::Cut,
        Reply::Answer(answer) => match (classify_answer(answer), answer.status) {
            (_, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) => Outcome::WrongAnswer,
            (ReportedOutcome::Answered { .. } | ReportedOutcome::Ran, _) => Outcome::Served,
            (
                ReportedOutcome::NotRun,
                StatusCode::REQUEST_TIMEOUT
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE,
            ) => Outcome::Refused,
            _ => Outcome::WrongAnswer,
        },
    }
}

/// A caller with at most one open connection.
pub(crate) struct Caller {
    pub(crate) index: usize,
    pub(crate) rng: SmallRng,
    pub(crate) addresses: Vec<SocketAddr>,
    pub(crate) habit: Habit,
    pub(crate) pause_ms: Range<u64>,
    /// Timeouts of its calls, in milliseconds.
    pub(crate) timeouts_ms: Range<u64>,
    /// Work of its long calls, in milliseconds.
    pub(crate) work_ms: Range<u64>,
    pub(crate) exchanges: Vec<Exchange>,
    pub(crate) connects_failed: Vec<io::ErrorKind>,
    pub(crate) connection: Option<Connection>,
}

/// An open connection to a node.
pub(crate) struct Connection {
    vm: usize,
    opened_us: u64,
    is_reused: bool,
    stream: BufReader<TcpStream>,
}

impl Connection {
    /// Returns whether the node has neither closed the connection nor sent anything unasked.
    fn is_open(&self) -> bool {
        let next = self.stream.get_ref().try_read(&mut [0]);
        let is_quiet = next.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        is_quiet && self.stream.buffer().is_empty()
    }

    async fn exchange(&mut self, request: &[u8]) -> Reply {
        let written = self.stream.get_mut().write_all(request).await;
        // A response may have arrived before the connection broke.
        let mut has_part = false;
        let reading = read_answer(&mut self.stream, &mut has_part);
        let answer = tokio::time::timeout(RESPONSE_TIMEOUT, reading).await;
        match (answer, written) {
            (Ok(Ok(answer)), _) => Reply::Answer(answer),
            (_, Err(error)) => Reply::Unwritten(error.kind()),
            (Ok(Err(error)), Ok(())) => Reply::Broken {
                has_part,
                kind: error.kind(),
            },
            (Err(_), Ok(())) => Reply::Broken {
                has_part,
                kind: io::ErrorKind::TimedOut,
            },
        }
    }
}

impl Caller {
    /// Sends calls as long as `keep_running` returns true.
    pub(crate) async fn run<F>(mut self, keep_running: F) -> Self
    where
        F: Fn() -> bool,
    {
        for number in 0.. {
            self.sleep(self.pause_ms.clone()).await;
            if !keep_running() {
                break;
            }
            self.run_call(number).await;
        }
        self
    }

    async fn sleep(&mut self, range: Range<u64>) {
        let pause = Duration::from_millis(self.rng.random_range(range));
        tokio::time::sleep(pause).await;
    }

    /// Sends a call, and repeats a booking until it is known to have run.
    async fn run_call(&mut self, number: u64) {
        let path = ["/claims/release", "/jobs/book", "/records/gearbox"]
            [self.rng.random_range(0..3_usize)];
        let key = (path != "/records/gearbox").then(|| format!("key-{}-{number}", self.index));
        let mut body = key.as_deref().map_or_else(String::new, str::to_owned);
        let method = if key.is_some() { "POST" } else { "GET" };
        let timeout_ms = if self.timeouts_ms.end > self.timeouts_ms.start + 1 {
            self.rng.random_range(self.timeouts_ms.clone())
        } else {
            self.timeouts_ms.start
        };
        let mut lines = vec![
            format!("{method} {path} HTTP/1.1"),
            "host: mesh".to_owned(),
            format!("bluebellpick-timeout-ms: {timeout_ms}"),
        ];
        if let Some(key) = &key {
            if self.rng.random_ratio(1, 10) {
                body = body.repeat(self.rng.random_range(2..1_000));
            }
            lines.push(format!("idempotency-key: {key}"));
            lines.push(format!("content-length: {}", body.len()));
        }
        if self.rng.random_ratio(1, 15) {
            let work_ms = self.rng.random_range(self.work_ms.clone());
            lines.push(format!("x-work-ms: {work_ms}"));
        }
        if self.rng.random_ratio(1, 15) {
            let bytes = self.rng.random_range(1_000..200_000);
            lines.push(format!("x-answer-bytes: {bytes}"));
        }
        let head = lines.join("\r\n");
        for _ in 0..MAX_REQUESTS_PER_KEY {
            let outcome = self.send(&head, &body, key.as_ref()).await;
            if outcome == Outcome::Served || key.is_none() {
                return;
            }
            self.sleep(RETRY_DELAY_MS).await;
        }
    }

    async fn send(&mut self, head: &str, body: &str, key: Option<&String>) -> Outcome {
        let request = format!("r-{}-{}", self.index, self.exchanges.len());
        let bytes = format!("{head}\r\nx-request: {request}\r\n\r\n{body}");
        let mut connection = self.take_connection().await;
        let sent_us = now_us();
        let reply = connection.exchange(bytes.as_bytes()).await;
        let exchange = Exchange {
            request,
            key: key.cloned(),
            fingerprint: fingerprint(body.as_bytes()),
            vm: connection.vm,
            habit: self.habit,
            pause_ms: self.pause_ms.clone(),
            is_reused: connection.is_reused,
            opened_us: connection.opened_us,
            sent_us,
            told_us: now_us(),
            reply,
        };
        if let Reply::Answer(answer) = &exchange.reply
            && answer.header("connection") != Some("close")
            && self.habit != Habit::Single
        {
            connection.is_reused = true;
            self.connection = Some(connection);
        }
        let outcome = classify(&exchange.reply, sent_us, None);
        self.exchanges.push(exchange);
        outcome
    }

    /// Returns the open connection, or else a new connection to a random node that accepts it.
    async fn take_connection(&mut self) -> Connection {
        let kept = self.connection.take();
        if let Some(connection) = kept
            && (self.habit == Habit::Blind || connection.is_open())
        {
            return connection;
        }
        loop {
            let vm = self.rng.random_range(0..self.addresses.len());
            match TcpStream::connect(self.addresses[vm]).await {
                Ok(stream) => {
                    return Connection {
                        vm,
                        opened_us: now_us(),
                        is_reused: false,
                        stream: BufReader::new(stream),
                    };
                }
                Err(error) => self.connects_failed.push(error.kind()),
            }
            self.sleep(RETRY_DELAY_MS).await;
        }
    }
}

/// Reads a complete response. Sets `has_part` once a part of it has been received.
async fn read_answer(stream: &mut BufReader<TcpStream>, has_part: &mut bool) -> io::Result<Answer> {
    let status_line = read_line(stream).await?;
    *has_part = true;
    let status = status_line.split(' ').nth(1).map(str::as_bytes);
    let status = status.and_then(|code| StatusCode::from_bytes(code).ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut headers = HeaderMap::new();
    loop {
        let line = read_line(stream).await?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(io::Error::other)?;
        let value = HeaderValue::from_str(value.trim()).map_err(io::Error::other)?;
        headers.append(name, value);
    }
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let mut body = Vec::new();
    if let Some(length) = length {
        body.resize(length, 0);
        stream.read_exact(&mut body).await?;
    } else {
        while let size @ 1.. = read_chunk_size(stream).await? {
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..]).await?;
            read_line(stream).await?;
        }
        while !read_line(stream).await?.is_empty() {}
    }
    Ok(Answer {
        status,
        headers,
        body: body.into(),
    })
}

async fn read_chunk_size(stream: &mut BufReader<TcpStream>) -> io::Result<usize> {
    let line = read_line(stream).await?;
    let size = line.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(size, 16).map_err(io::Error::other)
}

/// Reads a line and removes its end.
async fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    stream.read_line(&mut line).await?;
    let line = line
        .strip_suffix("\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(line.to_owned())
}
