//! A simulated backend server with slots, slow start, load shedding, draining, and health and
//! load reports that can be made false.
//!
//! All paths except `/health`, `/load`, `/record` and `/fault` are calls. A response describes its
//! request, so that a test can check that a caller got the response to its own request. The request
//! header `x-work-ms` sets the duration of the work, `x-answer-bytes` pads the response, and
//! [`TIMEOUT_HEADER`] limits the work. A request that matches [`Behavior::crash_trigger`] crashes
//! the process. In tests that run the server in their own process, only the simulated server
//! crashes.

use crate::http::{Body, Error, bytes_response, json_response, read_json};
use crate::record::{Entry, Outcome, RunLog};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName};
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

/// Header with the remaining time of a call in milliseconds.
pub const TIMEOUT_HEADER: &str = "bluebellpick-timeout-ms";

/// Header with the identity of an attempt.
const CALL_HEADER: &str = "bluebellpick-call";

/// Maximum body size of a fault injection request, in bytes.
const MAX_FAULT_BODY_BYTES: usize = 64 << 10;

/// Factor by which work takes longer during warm-up.
const WARM_UP_FACTOR: u32 = 4;

/// Simulated behavior of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Behavior {
    /// Maximum number of concurrent calls.
    pub slots: u16,
    /// Maximum number of calls that wait for a slot; further calls are shed with status 503.
    pub max_queued: usize,
    /// Mean duration of a call's work. The duration of each call is sampled uniformly between 0.5
    /// and 1.5 times this value.
    pub mean_work: Duration,
    /// Percentage of long calls.
    pub long_percent: u8,
    /// Duration of a long call's work.
    pub long_work: Duration,
    /// Time after the start during which work takes `WARM_UP_FACTOR` times as long.
    pub warm_up: Duration,
    /// Requests that crash the process, if any.
    pub crash_trigger: Option<CrashTrigger>,
}

/// Which requests crash the process that executes them, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashTrigger {
    /// Property by which the crashing requests are recognized.
    pub pattern: RequestPattern,
    /// Time from the start of the work to the crash.
    pub delay: Duration,
}

/// Property by which a request is matched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestPattern {
    /// The path contains this text.
    Path(String),
    /// A header has this name.
    Header(String),
    /// The body contains this text.
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

/// Faults that are currently injected.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which work takes longer.
    pub slow_factor: u32,
    /// Percentage of calls that fail immediately with status 500.
    pub fail_percent: u8,
    /// Percentage of calls that are rejected before their work begins.
    pub reject_percent: u8,
    /// Health that `/health` reports; without it, the server reports that it is healthy.
    pub health: Option<bool>,
    /// Number of calls in flight that `/load` reports instead of the actual number.
    pub load: Option<usize>,
    /// Maximum age in milliseconds of the load that `/load` reports.
    pub load_lag_ms: u64,
    /// Further headers of all responses to calls, as names and values.
    pub headers: Vec<(String, String)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_factor: 1,
            fail_percent: 0,
            reject_percent: 0,
            health: None,
            load: None,
            load_lag_ms: 0,
            headers: Vec::new(),
        }
    }
}

/// A running backend server; clones share it.
#[derive(Debug, Clone)]
pub struct Backend(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    behavior: Behavior,
    run_log: RunLog,
    started: Instant,
    slots: Semaphore,
    in_flight: AtomicUsize,
    shed_count: AtomicUsize,
    faults: Mutex<Faults>,
    /// Time at which the calls in flight were last counted for `/load`, and their number.
    counted_load: Mutex<(Instant, usize)>,
    rng: Mutex<SmallRng>,
    stage: watch::Sender<LifecycleStage>,
}

/// Lifecycle stage of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifecycleStage {
    Serving,
    Draining,
    Drained,
    /// The listener and all connections are closed.
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
    /// Starts serving on `listener`.
    #[must_use]
    pub fn spawn(listener: TcpListener, behavior: Behavior, run_log: RunLog, seed: u64) -> Self {
        let now = Instant::now();
        let backend = Self(Arc::new(Shared {
            slots: Semaphore::new(behavior.slots.into()),
            behavior,
            run_log,
            started: now,
            in_flight: AtomicUsize::new(0),
            shed_count: AtomicUsize::new(0),
            faults: Mutex::default(),
            counted_load: Mutex::new((now, 0)),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            stage: watch::Sender::new(LifecycleStage::Serving),
        }));
        tokio::spawn(accept(listener, backend.clone()));
        backend
    }

    /// Stops accepting connections and waits until all responses are written.
    pub async fn drain(&self) {
        self.0.stage.send_replace(LifecycleStage::Draining);
        self.wait_for_stage(LifecycleStage::Drained).await;
    }

    /// Waits until a request has crashed the backend server.
    pub async fn crashed(&self) {
        self.wait_for_stage(LifecycleStage::Crashed).await;
    }

    async fn wait_for_stage(&self, expected: LifecycleStage) {
        let mut stages = self.0.stage.subscribe();
        // The wait can't fail, because `self` keeps the sender alive.
        drop(stages.wait_for(|stage| *stage == expected).await);
    }

    /// Returns the number of calls that are waiting or running.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.0.in_flight.load(Ordering::Relaxed)
    }

    async fn handle_request(self, request: Request<Incoming>) -> Result<Response<Body>, Error> {
        let path = request.uri().path();
        Ok(match (request.method(), path) {
            (&Method::GET, "/health") => self.health_response(),
            (&Method::GET, "/load") => self.load_response(),
            (&Method::GET, "/record") => json_response(StatusCode::OK, &self.0.run_log.entries()),
            (&Method::POST, "/fault") => {
                match read_json(request.into_body(), MAX_FAULT_BODY_BYTES).await {
                    Ok(faults) => {
                        *self.0.faults.lock() = faults;
                        json_response(StatusCode::OK, &json!({}))
                    }
                    Err(status) => bytes_response(status, Bytes::new()),
                }
            }
            _ => {
                let mut response = self.handle_call(request).await?;
                append_headers(response.headers_mut(), &self.0.faults.lock().headers);
                response
            }
        })
    }

    fn health_response(&self) -> Response<Body> {
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

    fn load_response(&self) -> Response<Body> {
        let (load_override, lag) = {
            let faults = self.0.faults.lock();
            (faults.load, Duration::from_millis(faults.load_lag_ms))
        };
        let mut counted_load = self.0.counted_load.lock();
        if counted_load.0.elapsed() >= lag {
            *counted_load = (Instant::now(), self.in_flight());
        }
        let in_flight = load_override.unwrap_or(counted_load.1);
        let shed = self.0.shed_count.load(Ordering::Relaxed);
        let slots = self.0.behavior.slots;
        json_response(
            StatusCode::OK,
            &json!({"in_flight": in_flight, "slots": slots, "shed": shed}),
        )
    }

    async fn handle_call(&self, request: Request<Incoming>) -> Result<Response<Body>, Error> {
        let shared = &*self.0;
        let _in_flight = InFlight::enter(&shared.in_flight);
        if self.in_flight() > usize::from(shared.behavior.slots) + shared.behavior.max_queued {
            shared.shed_count.fetch_add(1, Ordering::Relaxed);
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
        let run = shared.run_log.start(make_entry(&head));
        if let Some(trigger) = &shared.behavior.crash_trigger
            && trigger.pattern.matches(&head, &body)
        {
            sleep(trigger.delay).await;
            run.end(Outcome::Crashed);
            shared.stage.send_replace(LifecycleStage::Crashed);
            return Err(Error::NoResponse);
        }
        if self.sample(|faults| faults.reject_percent) {
            run.end(Outcome::Rejected);
            return Ok(rejection(&head));
        }
        if self.sample(|faults| faults.fail_percent) {
            run.end(Outcome::Failed);
            return Ok(bytes_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                Bytes::new(),
            ));
        }
        let work = self.sample_work(&head.headers);
        let limit = header_number(&head.headers, TIMEOUT_HEADER)
            .map_or(Duration::MAX, Duration::from_millis);
        // Even a timer of zero length takes up to a millisecond, so none is started for zero work.
        if !work.is_zero() && timeout(limit, sleep(work)).await.is_err() {
            run.end(Outcome::Expired);
            return Ok(bytes_response(StatusCode::GATEWAY_TIMEOUT, Bytes::new()));
        }
        let response = describe_request(&head, &body, run.number());
        run.end(Outcome::Completed);
        Ok(response)
    }

    /// Decides whether a call is affected by a fault with a percentage.
    fn sample(&self, percent: fn(&Faults) -> u8) -> bool {
        let percent = percent(&self.0.faults.lock());
        self.0.rng.lock().random_range(0..100) < percent
    }

    fn sample_configured_work(&self) -> Duration {
        let behavior = &self.0.behavior;
        let mut rng = self.0.rng.lock();
        if rng.random_range(0..100) < behavior.long_percent {
            behavior.long_work
        } else {
            behavior.mean_work.mul_f64(rng.random_range(0.5..1.5))
        }
    }

    fn sample_work(&self, headers: &HeaderMap) -> Duration {
        let requested = header_number(headers, "x-work-ms").map(Duration::from_millis);
        let mut work = requested.unwrap_or_else(|| self.sample_configured_work());
        if self.0.started.elapsed() < self.0.behavior.warm_up {
            work *= WARM_UP_FACTOR;
        }
        work * self.0.faults.lock().slow_factor
    }
}

/// Accepts connections until the server drains or crashes. If it drains, waits until all responses
/// are written.
async fn accept(listener: TcpListener, backend: Backend) {
    let connections = GracefulShutdown::new();
    let stage = &backend.0.stage;
    let mut stages = stage.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stages.wait_for(|stage| *stage != LifecycleStage::Serving) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: wait until some are closed.
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let serving = backend.clone();
        let service = service_fn(move |request| serving.clone().handle_request(request));
        // Cancellation: when the peer closes the connection, hyper drops the future of the call,
        // which stops the work.
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
    if *stage.borrow() == LifecycleStage::Draining {
        connections.shutdown().await;
        stage.send_replace(LifecycleStage::Drained);
    }
}

/// Creates the response that says that the call was rejected and has not begun.
fn rejection(head: &http::request::Parts) -> Response<Body> {
    let mut response = bytes_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    let call = header_text(&head.headers, CALL_HEADER).to_owned();
    let headers = [
        (CALL_HEADER.to_owned(), call),
        ("bluebellpick-verdict".to_owned(), "not-run".to_owned()),
    ];
    append_headers(response.headers_mut(), &headers);
    response
}

/// Appends headers to a map. Names and values that are invalid in HTTP are left out.
fn append_headers(map: &mut HeaderMap, headers: &[(String, String)]) {
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse()) {
            map.append(name, value);
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name).parse().ok()
}

fn path_of(head: &http::request::Parts) -> &str {
    head.uri.path_and_query().map_or("", |path| path.as_str())
}

fn make_entry(head: &http::request::Parts) -> Entry {
    Entry {
        run: 0,
        key: header_text(&head.headers, "idempotency-key").into(),
        request: header_text(&head.headers, "x-request").into(),
        call: header_text(&head.headers, CALL_HEADER).into(),
        method: head.method.as_str().into(),
        path: path_of(head).into(),
        start_us: 0,
        end_us: None,
        outcome: Outcome::Running,
    }
}

/// Returns the fingerprint by which a response identifies the body of its request.
#[must_use]
pub fn fingerprint(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let prefix = digest.first_chunk().copied().unwrap_or_default();
    format!("{:016x}", u64::from_be_bytes(prefix))
}

/// Creates a response that describes the request, padded with spaces to the requested length.
fn describe_request(head: &http::request::Parts, body: &[u8], run: usize) -> Response<Body> {
    let description = json!({
        "method": head.method.as_str(),
        "path": path_of(head),
        "request": header_text(&head.headers, "x-request"),
        "body_bytes": body.len(),
        "body_fingerprint": fingerprint(body),
        "run": run,
    });
    let mut bytes = serde_json::to_vec(&description).unwrap_or_default();
    let length =
        header_number(&head.headers, "x-answer-bytes").and_then(|n| usize::try_from(n).ok());
    bytes.resize(bytes.len().max(length.unwrap_or(0)), b' ');
    let mut response = bytes_response(StatusCode::OK, bytes.into());
    let content_type = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, content_type);
    response
}
