//! The listener where the backend server on the same VM announces itself.
//!
//! `PUT /v1/announce` registers the backend server with its service, address and number of slots,
//! and is repeated as a heartbeat. `DELETE /v1/announce` says that the backend server is leaving:
//! from then on it gets no new call. `GET /v1/announce` returns how many calls are in flight at the
//! backend server, so that it knows when it can exit. These requests come over several connections,
//! and a pause of the node may reorder them; the module `process` distinguishes stale requests from
//! current ones. With `interface = platform` a backend server may also announce itself in the
//! platform's format, which [`platform::announce`] decodes.
//!
//! A leave request is acknowledged once it is recorded on the platform, so that it outlives all nodes.
//! Until then the backend server gets no new calls either, and is told to repeat it.
//!
//! Missing heartbeats don't remove a backend server: one that is paused or partitioned for a moment
//! would otherwise lose all its work at once. A backend server that is really gone refuses
//! connections, which the inbound proxy notices at the next call.

pub(crate) mod farewells;
pub(crate) mod process;

use crate::announce::process::{Message, Process};
use crate::listener::{self, Handle, HttpResponse, Limits, error_response, json_response};
use crate::millis::whole_ms;
use crate::shared::{Backend, Shared};
use crate::stop::log_backend_waits;
use clock::Clock;
use config::{Farewell, is_drained};
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use log::info;
use platform::announce::InstanceUpdate;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::UNIX_EPOCH;
use tokio::net::TcpListener;

/// Path of announcements.
const PATH: &str = "/v1/announce";

/// Name of this listener in settings, metrics and logs.
const LISTENER: &str = "backend";

/// Maximum length of a service name in bytes, that of a DNS label.
const MAX_SERVICE_NAME_BYTES: usize = 63;

/// Maximum length of a backend server's software version in bytes.
const MAX_VERSION_BYTES: usize = 64;

/// Body of an announcement: the backend server's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that the backend server belongs to.
    pub service: SmolStr,
    /// Loopback address where the backend server accepts calls.
    pub address: SocketAddr,
    /// Number of calls that the backend server can run concurrently.
    pub slots: u16,
    /// Software version of the backend server, which roll-outs refer to.
    #[serde(default)]
    pub version: SmolStr,
    /// Number that identifies the backend server's process; changes with each restart.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Sequence number that increases with each announcement of a process, so that late
    /// announcements are recognized.
    #[serde(default)]
    pub sequence: Option<u64>,
}

/// Optional body of a leave request: the process that is leaving.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaveRequest {
    /// Number that identifies the leaving process, as in its announcements.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

/// Response to the backend server: its state as seen by the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of calls that the backend server has not answered yet.
    pub in_flight: usize,
    /// Whether the backend server is leaving and gets no new calls.
    pub leaving: bool,
}

/// Starts the listener for the backend server on `tcp`.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn spawn<C>(tcp: TcpListener, shared: Arc<Shared<C>>) -> io::Result<Handle>
where
    C: Clock,
{
    spawn_with_limits(tcp, shared, Limits::default())
}

/// Starts the listener as [`spawn`] does, with the given limits.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn spawn_with_limits<C>(
    tcp: TcpListener,
    shared: Arc<Shared<C>>,
    limits: Limits,
) -> io::Result<Handle>
where
    C: Clock,
{
    let bad_requests = shared.metrics.bad_requests(LISTENER);
    tokio::spawn(log_backend_waits(Arc::downgrade(&shared)));
    let state = Arc::new(ListenerState { shared, limits });
    listener::spawn(tcp, limits, bad_requests, move |request| {
        let state = Arc::clone(&state);
        async move { handle_request(request, &state).await }
    })
}

/// State that the requests of the listener share.
struct ListenerState<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    limits: Limits,
}

async fn handle_request<C>(request: Request<Incoming>, state: &ListenerState<C>) -> HttpResponse
where
    C: Clock,
{
    let shared = &*state.shared;
    if shared.uses_platform_interface()
        && let Some(instance) = platform::announce::instance_in_path(request.uri().path())
    {
        let instance = SmolStr::new(instance);
        return handle_instance_update(request, state, &instance).await;
    }
    if request.uri().path() != PATH {
        return error_response(
            StatusCode::NOT_FOUND,
            "not found; this listener serves /v1/announce",
        );
    }
    match *request.method() {
        Method::GET => json_response(StatusCode::OK, &status(state)),
        Method::DELETE => match read_leave_request(request, state.limits).await {
            Ok(leave_request) => {
                let (status, farewell) = apply_leave_request(state, leave_request);
                if shared.farewells.are_received(farewell).await {
                    json_response(StatusCode::OK, &status)
                } else {
                    unrecorded_response()
                }
            }
            Err(refusal) => refusal,
        },
        Method::PUT => match read_announcement(request, state.limits).await {
            Ok(announcement) if apply_announcement(state, &announcement) => {
                json_response(StatusCode::OK, &status(state))
            }
            Ok(_) => error_response(
                StatusCode::CONFLICT,
                "the announcement is out of date, or its process has left",
            ),
            Err(refusal) => refusal,
        },
        _ => error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            "method not allowed; use GET, PUT or DELETE",
        ),
    }
}

/// Returns the response to a leave request that isn't recorded yet.
fn unrecorded_response() -> HttpResponse {
    error_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "the backend server gets no new calls, but it is not recorded yet that it is leaving; repeat \
         the request",
    )
}

/// Handles an announcement or leave request in the platform's format. Every message that can be
/// decoded is acknowledged, even if it is out of date.
async fn handle_instance_update<C>(
    request: Request<Incoming>,
    state: &ListenerState<C>,
    instance: &str,
) -> HttpResponse
where
    C: Clock,
{
    let method = request.method().clone();
    let body = match listener::read_body(request.into_body(), state.limits).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    match platform::announce::decode(&method, instance, &body) {
        Ok(update) => {
            let farewell = apply_instance_update(state, update);
            if let Some(farewell) = farewell
                && !state.shared.farewells.are_received(farewell).await
            {
                return unrecorded_response();
            }
            json_response(StatusCode::OK, &serde_json::Map::new())
        }
        Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

/// Applies an announcement or leave request; returns the farewell if it is a leave request.
fn apply_instance_update<C>(state: &ListenerState<C>, update: InstanceUpdate) -> Option<Farewell>
where
    C: Clock,
{
    let announcement = update.announcement.as_ref();
    let is_leave = announcement.is_none_or(|announcement| announcement.leaving);
    let mut processes = state.shared.processes.lock();
    let process = Process::from_platform(update.instance.clone(), update.process_started_ms);
    let has_only_name = announcement.is_none() && update.process_started_ms.is_none();
    let process = if has_only_name {
        processes.match_by_name(process)
    } else {
        process
    };
    let message = Message {
        sequence: announcement.map(|announcement| announcement.sequence),
        ..new_message(&state.shared.clock, is_leave)
    };
    let farewell = is_leave.then(|| process.farewell(message.wall_ms));
    if !processes.accept(&process, &message) {
        return farewell;
    }
    match update.announcement {
        Some(announcement) if !announcement.leaving => {
            let backend = Backend {
                service: announcement.service,
                version: announcement.version,
                instance: Some(update.instance),
                incarnation: None,
                process_started_ms: update.process_started_ms,
                address: announcement.address,
                slots: announcement.slots.max(1),
                cold_ms: announcement.warm_up_left.map(whole_ms),
                leaving: false,
            };
            update_backend(state, &backend);
        }
        Some(_) | None => mark_leaving(&state.shared),
    }
    farewell
}

/// Returns a message without a sequence number that has just been read.
fn new_message<C>(clock: &C, is_leave: bool) -> Message
where
    C: Clock,
{
    Message {
        sequence: None,
        is_leave,
        received_at: clock.now(),
        wall_ms: wall_ms(clock),
    }
}

/// Returns the time by the clock of the VM, in milliseconds since the Unix epoch.
pub(crate) fn wall_ms<C>(clock: &C) -> u64
where
    C: Clock,
{
    let since = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

async fn read_leave_request(
    request: Request<Incoming>,
    limits: Limits,
) -> Result<LeaveRequest, HttpResponse> {
    let body = listener::read_body(request.into_body(), limits).await?;
    if body.is_empty() {
        return Ok(LeaveRequest::default());
    }
    serde_json::from_slice(&body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))
}

async fn read_announcement(
    request: Request<Incoming>,
    limits: Limits,
) -> Result<Announcement, HttpResponse> {
    let body = listener::read_body(request.into_body(), limits).await?;
    let announcement = serde_json::from_slice::<Announcement>(&body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &error.to_string()))?;
    match find_violation(&announcement) {
        Some(violation) => Err(error_response(StatusCode::BAD_REQUEST, violation)),
        None => Ok(announcement),
    }
}

fn find_violation(announcement: &Announcement) -> Option<&'static str> {
    if announcement.service.is_empty() || announcement.service.len() > MAX_SERVICE_NAME_BYTES {
        return Some("service: must be 1 to 63 bytes long");
    }
    if !announcement.address.ip().is_loopback() || announcement.address.port() == 0 {
        return Some("address: must be a loopback address with a port, such as 127.0.0.1:9000");
    }
    if announcement.version.len() > MAX_VERSION_BYTES {
        return Some("version: must be at most 64 bytes long");
    }
    if announcement.slots == 0 {
        return Some("slots: must be at least 1");
    }
    None
}

/// Applies an announcement; returns false if it is out of date.
fn apply_announcement<C>(state: &ListenerState<C>, announcement: &Announcement) -> bool
where
    C: Clock,
{
    let message = Message {
        sequence: announcement.sequence,
        ..new_message(&state.shared.clock, false)
    };
    let mut processes = state.shared.processes.lock();
    if !processes.accept(
        &Process::from_incarnation(announcement.incarnation),
        &message,
    ) {
        info!(
            incarnation:? = announcement.incarnation,
            sequence:? = announcement.sequence;
            "announcement_late"
        );
        return false;
    }
    let backend = Backend {
        service: announcement.service.clone(),
        version: announcement.version.clone(),
        instance: None,
        incarnation: announcement.incarnation,
        process_started_ms: None,
        address: announcement.address,
        slots: announcement.slots,
        cold_ms: None,
        leaving: false,
    };
    update_backend(state, &backend);
    true
}

fn update_backend<C>(state: &ListenerState<C>, backend: &Backend)
where
    C: Clock,
{
    let changed = state.shared.backend.send_if_modified(|current| {
        // The warm-up time counts from the first announcement. Heartbeats repeat the announcement
        // with the warm-up time that remains; if a shorter remaining time counted as a change, each
        // heartbeat would be propagated to the whole fleet.
        let comparable = current.as_ref().map(|current| Backend {
            cold_ms: backend.cold_ms,
            ..current.clone()
        });
        let changed = comparable.as_ref() != Some(backend);
        if changed {
            *current = Some(backend.clone());
        }
        changed
    });
    if changed {
        info!(
            service = backend.service.as_str(),
            address:% = backend.address,
            slots = backend.slots;
            "backend_announced"
        );
    }
}

/// Applies a leave request; returns the response and the farewell. The response always says that
/// the sender is leaving, even if the request is ignored because another process is current.
fn apply_leave_request<C>(
    state: &ListenerState<C>,
    leave_request: LeaveRequest,
) -> (Status, Farewell)
where
    C: Clock,
{
    let message = new_message(&state.shared.clock, true);
    let mut processes = state.shared.processes.lock();
    let process = match leave_request.incarnation {
        Some(_) => Process::from_incarnation(leave_request.incarnation),
        None => processes.current(),
    };
    if processes.accept(&process, &message) {
        mark_leaving(&state.shared);
    }
    drop(processes);
    let status = Status {
        leaving: true,
        ..status(state)
    };
    (status, process.farewell(message.wall_ms))
}

/// Applies a response in which a process of the backend server reports that it is leaving, like a
/// leave request. Later announcements of the process are ignored.
pub(crate) fn apply_reported_leave<C>(shared: &Shared<C>, backend: &Backend)
where
    C: Clock,
{
    let message = new_message(&shared.clock, true);
    let process = Process::of_backend(backend);
    let mut processes = shared.processes.lock();
    let is_current = |current: &Backend| current.process() == backend.process();
    let is_known = processes.has_left();
    if shared.backend.borrow().as_ref().is_some_and(is_current)
        && processes.accept(&process, &message)
    {
        mark_leaving(shared);
        if !is_known {
            // Nobody waits for an acknowledgement of a report.
            drop(shared.farewells.pass_on(process.farewell(message.wall_ms)));
        }
    }
}

/// Takes over the farewells that the platform or other nodes hold.
pub(crate) fn learn_farewells<C>(shared: &Shared<C>, farewells: &[Farewell])
where
    C: Clock,
{
    let (now, wall_ms) = (shared.clock.now(), wall_ms(&shared.clock));
    let mut processes = shared.processes.lock();
    if processes.learn(farewells, now, wall_ms) {
        info!("leave_recalled");
        mark_leaving(shared);
    }
    drop(processes);
    if is_drained(farewells) && !shared.leaving.send_replace(true) {
        info!("drain_recalled");
    }
}

fn mark_leaving<C>(shared: &Shared<C>)
where
    C: Clock,
{
    let changed = shared.backend.send_if_modified(|current| match current {
        Some(backend) if !backend.leaving => {
            backend.leaving = true;
            true
        }
        _ => false,
    });
    if changed {
        info!("backend_leaving");
    }
}

fn status<C>(state: &ListenerState<C>) -> Status
where
    C: Clock,
{
    Status {
        in_flight: *state.shared.in_flight.borrow(),
        // Also true for a backend server that sent its leave request before any announcement, to a
        // node that had just started.
        leaving: state.shared.processes.lock().has_left(),
    }
}
