//! A backend server: slots, cold start, shedding, drain, and reports that lie.
//!
//! Every path is a call, but for `/health`, `/load`, `/record` and `/fault`.
//! An answer tells of its request, so that a checker sees whose it is. Of a
//! request's headers, `x-work-ms` sets the work, `x-answer-bytes` lengthens
//! the answer, and [`TIMEOUT`] ends the work early. A request that the plan
//! calls deadly ends the process, or what stands for it in a test.

use crate::http::{Body, Error, bytes_response, json_response, read_json};
use crate::record::{Entry, Outcome, RunLog};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout};

/// Header with the time left for a call, in milliseconds.
pub const TIMEOUT: &str = "bluebellpick-timeout-ms";

/// Longest body of a command.
const MAX_COMMAND: usize = 64 << 10;

/// How much slower a cold backend server is.
const COLD_FACTOR: u32 = 4;

/// How a backend server works.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behavior {
    /// Calls that it runs at once.
    pub slots: u16,
    /// Calls that may wait for a slot; over that it sheds with 503.
    pub queue: usize,
    /// Mean work of a call; drawn from half to one and a half times as much.
    pub work: Duration,
    /// Share of long calls, in per cent.
    pub long_percent: u8,
    /// Work of a long call.
    pub long_work: Duration,
    /// Time after the start in which work takes [`COLD_FACTOR`] times as long.
    pub warm_up: Duration,
    /// Requests that end the process, if there are any.
    pub crash_trigger: Option<CrashTrigger>,
}

/// Which requests end the process that runs them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashTrigger {
    /// Part of a request that makes it deadly.
    pub pattern: RequestPattern,
    /// Time from the start of the work to the end of the process.
    pub delay: Duration,
}

/// Part of a request that makes it deadly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestPattern {
    /// The path contains this.
    Path(String),
    /// There is a header of this name.
    Header(String),
    /// The body contains this.
    Body(String),
}

impl RequestPattern {
    fn matches(&self, head: &http::request::Parts, body: &[u8]) -> bool {
        match self {
            Self::Path(part) => path_of(head).contains(part),
            Self::Header(name) => head.headers.contains_key(name.as_str()),
            Self::Body(part) => body
                .windows(part.len().max(1))
                .any(|window| window == part.as_bytes()),
        }
    }
}

/// Faults that are in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Work takes that many times as long.
    pub slow_factor: u32,
    /// Share of calls that fail at once with 500, in per cent.
    pub fail_percent: u8,
    /// `/health` says so, whatever is true.
    pub health: Option<bool>,
    /// `/load` says so, whatever is true.
    pub load: Option<usize>,
    /// `/load` tells how it was up to that long ago, in milliseconds.
    pub load_lag_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1,
            fail_percent: 0,
            health: None,
            load: None,
            load_lag_ms: 0,
        }
    }
}

/// A running backend server; clones share it.
#[derive(Debug, Clone)]
pub struct Backend(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    behavior: Behavior,
    record: RunLog,
    started: Instant,
    slots: Semaphore,
    in_flight: AtomicUsize,
    shed: AtomicUsize,
    faults: Mutex<Faults>,
    load: Mutex<(Instant, usize)>,
    rng: Mutex<SmallRng>,
    stage: watch::Sender<Stage>,
}

/// How far a backend server has come in leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Serving,
    Draining,
    Drained,
    /// The listener and all connections are gone.
    Crashed,
}

/// Counts a call as in flight until it is dropped.
struct InFlight<'a>(&'a AtomicUsize);

impl<'a> InFlight<'a> {
    fn enter(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Backend {
    /// Starts to serve on `listener`.
    #[must_use]
    pub fn spawn(listener: TcpListener, behavior: Behavior, record: RunLog, seed: u64) -> Self {
        let now = Instant::now();
        let backend = Self(Arc::new(Shared {
            slots: Semaphore::new(behavior.slots.into()),
            behavior,
            record,
            started: now,
            in_flight: AtomicUsize::new(0),
            shed: AtomicUsize::new(0),
            faults: Mutex::default(),
            load: Mutex::new((now, 0)),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            stage: watch::Sender::new(Stage::Serving),
        }));
        tokio::spawn(accept(listener, backend.clone()));
        backend
    }

    /// Takes no more connections, and waits until all answers are written.
    pub async fn drain(&self) {
        self.0.stage.send_replace(Stage::Draining);
        self.wait_stage(Stage::Drained).await;
    }

    /// Waits until a deadly request has been run.
    pub async fn crashed(&self) {
        self.wait_stage(Stage::Crashed).await;
    }

    async fn wait_stage(&self, wanted: Stage) {
        let mut stages = self.0.stage.subscribe();
        // The sender lives as long as this does.
        drop(stages.wait_for(|stage| *stage == wanted).await);
    }

    /// Tells how many calls are waiting or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.load(Ordering::Relaxed)
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Body>, Error> {
        let path = request.uri().path();
        Ok(match (request.method(), path) {
            (&Method::GET, "/health") => self.answer_health(),
            (&Method::GET, "/load") => self.answer_load(),
            (&Method::GET, "/record") => json_response(StatusCode::OK, &self.0.record.entries()),
            (&Method::POST, "/fault") => match read_json(request.into_body(), MAX_COMMAND).await {
                Ok(faults) => {
                    *self.0.faults.lock() = faults;
                    json_response(StatusCode::OK, &json!({}))
                }
                Err(status) => bytes_response(status, Bytes::new()),
            },
            _ => return self.answer_call(request).await,
        })
    }

    fn answer_health(&self) -> Response<Body> {
        let healthy = self.0.faults.lock().health.unwrap_or(true);
        if healthy {
            json_response(StatusCode::OK, &json!({"status": "ok"}))
        } else {
            json_response(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"status": "failing"}),
            )
        }
    }

    fn answer_load(&self) -> Response<Body> {
        let (lie, lag) = {
            let faults = self.0.faults.lock();
            (faults.load, Duration::from_millis(faults.load_lag_ms))
        };
        let mut load = self.0.load.lock();
        if load.0.elapsed() >= lag {
            *load = (Instant::now(), self.in_flight());
        }
        let in_flight = lie.unwrap_or(load.1);
        let shed = self.0.shed.load(Ordering::Relaxed);
        let slots = self.0.behavior.slots;
        json_response(
            StatusCode::OK,
            &json!({"in_flight": in_flight, "slots": slots, "shed": shed}),
        )
    }

    async fn answer_call(&self, request: Request<Incoming>) -> Result<Response<Body>, Error> {
        let shared = &*self.0;
        let _in_flight = InFlight::enter(&shared.in_flight);
        if self.in_flight() > usize::from(shared.behavior.slots) + shared.behavior.queue {
            shared.shed.fetch_add(1, Ordering::Relaxed);
            return Ok(bytes_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::new(),
            ));
        }
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Err(Error::NoResponse);
        };
        let body = body.to_bytes();
        let Ok(_slot) = shared.slots.acquire().await else {
            return Err(Error::NoResponse);
        };
        let run = shared.record.start(entry_of(&head));
        if let Some(trigger) = &shared.behavior.crash_trigger
            && trigger.pattern.matches(&head, &body)
        {
            sleep(trigger.delay).await;
            run.end(Outcome::Crashed);
            shared.stage.send_replace(Stage::Crashed);
            return Err(Error::NoResponse);
        }
        if self.draw_failure() {
            run.end(Outcome::Failed);
            return Ok(bytes_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                Bytes::new(),
            ));
        }
        let work = self.draw_work(&head.headers);
        let limit = number_of(&head.headers, TIMEOUT).map_or(Duration::MAX, Duration::from_millis);
        // A timer takes up to a millisecond even for nothing.
        if !work.is_zero() && timeout(limit, sleep(work)).await.is_err() {
            run.end(Outcome::Expired);
            return Ok(bytes_response(StatusCode::GATEWAY_TIMEOUT, Bytes::new()));
        }
        let answer = describe(&head, &body, run.number());
        run.end(Outcome::Completed);
        Ok(answer)
    }

    fn draw_failure(&self) -> bool {
        let percent = self.0.faults.lock().fail_percent;
        self.0.rng.lock().random_range(0..100) < percent
    }

    fn draw_planned_work(&self) -> Duration {
        let behavior = &self.0.behavior;
        let mut rng = self.0.rng.lock();
        if rng.random_range(0..100) < behavior.long_percent {
            behavior.long_work
        } else {
            behavior.work.mul_f64(rng.random_range(0.5..1.5))
        }
    }

    fn draw_work(&self, headers: &HeaderMap) -> Duration {
        let asked = number_of(headers, "x-work-ms").map(Duration::from_millis);
        let mut work = asked.unwrap_or_else(|| self.draw_planned_work());
        if self.0.started.elapsed() < self.0.behavior.warm_up {
            work *= COLD_FACTOR;
        }
        work * self.0.faults.lock().slow_factor
    }
}

/// Takes connections until the drain, then waits until each has written its answer.
async fn accept(listener: TcpListener, backend: Backend) {
    let connections = GracefulShutdown::new();
    let stage = &backend.0.stage;
    let mut stages = stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stages.wait_for(|stage| *stage != Stage::Serving) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of descriptors: those in use must end first.
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let serving = backend.clone();
        let service = service_fn(move |request| serving.clone().answer(request));
        // The connection drops the call when the other side closes, which
        // stops the work: that is how a cancellation arrives.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let connection = connections.watch(connection);
        let backend = backend.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                () = backend.crashed() => {}
                ended = connection => if let Err(error) = ended {
                    log::debug!(error:%; "connection_ended");
                },
            }
        });
    }
    if *stage.borrow() == Stage::Draining {
        connections.shutdown().await;
        stage.send_replace(Stage::Drained);
    }
}

fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn number_of(headers: &HeaderMap, name: &str) -> Option<u64> {
    text_of(headers, name).parse().ok()
}

fn path_of(head: &http::request::Parts) -> &str {
    head.uri.path_and_query().map_or("", |path| path.as_str())
}

fn entry_of(head: &http::request::Parts) -> Entry {
    Entry {
        run: 0,
        key: text_of(&head.headers, "idempotency-key").into(),
        request: text_of(&head.headers, "x-request").into(),
        call: text_of(&head.headers, "bluebellpick-call").into(),
        method: head.method.as_str().into(),
        path: path_of(head).into(),
        start_us: 0,
        end_us: None,
        outcome: Outcome::Running,
    }
}

/// Gives the fingerprint of a body, as the answers tell it.
#[must_use]
pub fn fingerprint(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let cut = digest.first_chunk().copied().unwrap_or_default();
    format!("{:016x}", u64::from_be_bytes(cut))
}

/// Answers with what the request was; spaces after it make up the length asked for.
fn describe(head: &http::request::Parts, body: &[u8], run: usize) -> Response<Body> {
    let told = json!({
        "method": head.method.as_str(),
        "path": path_of(head),
        "request": text_of(&head.headers, "x-request"),
        "body_bytes": body.len(),
        "body_fingerprint": fingerprint(body),
        "run": run,
    });
    let mut bytes = serde_json::to_vec(&told).unwrap_or_default();
    let length = number_of(&head.headers, "x-answer-bytes").and_then(|n| usize::try_from(n).ok());
    bytes.resize(bytes.len().max(length.unwrap_or(0)), b' ');
    let mut answer = bytes_response(StatusCode::OK, bytes.into());
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}
