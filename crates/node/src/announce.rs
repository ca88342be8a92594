//! Where the backend server on the same VM announces itself.
//!
//! `PUT /v1/announce` says which service it belongs to, where it takes calls
//! and how many at once; it is repeated as a heartbeat. `DELETE /v1/announce`
//! says that it is leaving: from that instant it gets no new call. `GET`
//! tells it how many calls are still in flight, so that it knows when to end.
//! Words come over several connections, and a pause of the node may turn their
//! order: [`process`] tells an older one from a newer one.
//! With `interface = platform` it announces itself in the platform's words as
//! well, which [`platform::announce`] reads.
//!
//! Silence is no departure. A backend server that is paused or cut off for a
//! moment would otherwise lose all its work at once; one that is really gone
//! refuses connections, which the inbound proxy sees at its next call.

mod process;

use crate::announce::process::{Known, Process, Word};
use crate::listener::{self, Answer, Handle, Limits, answer_json, refuse};
use crate::millis::whole_ms;
use crate::shared::{Backend, Shared};
use crate::stop::tell_backend_waits;
use clock::Clock;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use log::info;
use parking_lot::Mutex;
use platform::announce::Notice;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Path of the announcements.
const PATH: &str = "/v1/announce";

/// Name of this listener in settings, metrics and logs.
const LISTENER: &str = "backend";

/// Longest name of a service: that of a DNS label.
const MAX_SERVICE: usize = 63;

/// Longest version of a backend server's software, in bytes.
const MAX_VERSION: usize = 64;

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it takes calls, on loopback.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Version of its software, which roll-outs tell it by.
    #[serde(default)]
    pub version: SmolStr,
    /// Number of its process; a restart gives a new one.
    #[serde(default)]
    pub incarnation: Option<u64>,
    /// Grows with each announcement of one process, so that a late one shows.
    #[serde(default)]
    pub sequence: Option<u64>,
}

/// What a backend server says when it leaves, if it says whose farewell it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Farewell {
    /// Number of its process.
    #[serde(default)]
    pub incarnation: Option<u64>,
}

/// What a backend server is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Calls that it has not answered yet.
    pub in_flight: usize,
    /// Whether it is leaving, and gets no new call.
    pub leaving: bool,
}

/// Listens for the backend server on `tcp`.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn spawn<C>(tcp: TcpListener, shared: Arc<Shared<C>>) -> io::Result<Handle>
where
    C: Clock,
{
    spawn_with_limits(tcp, shared, Limits::default())
}

/// Listens as [`spawn`] does, with other limits.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn spawn_with_limits<C>(
    tcp: TcpListener,
    shared: Arc<Shared<C>>,
    limits: Limits,
) -> io::Result<Handle>
where
    C: Clock,
{
    let bad_requests = shared.metrics.bad_requests(LISTENER);
    tokio::spawn(tell_backend_waits(Arc::downgrade(&shared)));
    let desk = Arc::new(Desk {
        shared,
        limits,
        known: Mutex::default(),
    });
    listener::spawn(tcp, limits, bad_requests, move |request| {
        let desk = Arc::clone(&desk);
        async move { answer(request, &desk).await }
    })
}

/// What the answers are made from.
struct Desk<C>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    limits: Limits,
    known: Mutex<Known>,
}

async fn answer<C>(request: Request<Incoming>, desk: &Desk<C>) -> Answer
where
    C: Clock,
{
    let shared = &*desk.shared;
    if shared.is_on_platform()
        && let Some(instance) = platform::announce::find_instance(request.uri().path())
    {
        let instance = SmolStr::new(instance);
        return answer_notice(request, desk, &instance).await;
    }
    if request.uri().path() != PATH {
        return refuse(StatusCode::NOT_FOUND, "only /v1/announce is here");
    }
    match *request.method() {
        Method::GET => answer_json(StatusCode::OK, &read_status(desk)),
        Method::DELETE => match take_farewell(request, desk.limits).await {
            Ok(farewell) => answer_json(StatusCode::OK, &leave(desk, farewell)),
            Err(refusal) => refusal,
        },
        Method::PUT => match take_announcement(request, desk.limits).await {
            Ok(announcement) if enter(desk, &announcement) => {
                answer_json(StatusCode::OK, &read_status(desk))
            }
            Ok(_) => refuse(
                StatusCode::CONFLICT,
                "an older announcement, or one of a process that has left",
            ),
            Err(refusal) => refusal,
        },
        _ => refuse(StatusCode::METHOD_NOT_ALLOWED, "want GET, PUT or DELETE"),
    }
}

/// Answers what a backend server says in the platform's words; whatever is understood is acknowledged.
async fn answer_notice<C>(request: Request<Incoming>, desk: &Desk<C>, instance: &str) -> Answer
where
    C: Clock,
{
    let method = request.method().clone();
    let body = match listener::read_body(request.into_body(), desk.limits).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    match platform::announce::decode(&method, instance, &body) {
        Ok(notice) => {
            take_notice(desk, notice);
            answer_json(StatusCode::OK, &serde_json::Map::new())
        }
        Err(error) => refuse(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}

fn take_notice<C>(desk: &Desk<C>, notice: Notice)
where
    C: Clock,
{
    let said = notice.announcement.as_ref();
    let leaves = said.is_none_or(|one| one.leaving);
    let mut known = desk.known.lock();
    let process = Process::on_platform(notice.instance.clone(), notice.born);
    let is_unnamed = said.is_none() && notice.born.is_none();
    let process = if is_unnamed {
        known.find_namesake(process)
    } else {
        process
    };
    let word = Word {
        sequence: said.map(|one| one.sequence),
        leaves,
        at: desk.shared.clock.now(),
    };
    if !known.take(&process, &word) {
        return;
    }
    match notice.announcement {
        Some(announcement) if !announcement.leaving => {
            let backend = Backend {
                service: announcement.service,
                version: announcement.version,
                instance: Some(notice.instance),
                incarnation: None,
                born: notice.born,
                address: announcement.address,
                slots: announcement.slots.max(1),
                cold_ms: announcement.cold_for.map(whole_ms),
                leaving: false,
            };
            install(desk, &backend);
        }
        Some(_) | None => begin_leave(desk),
    }
}

async fn take_farewell(request: Request<Incoming>, limits: Limits) -> Result<Farewell, Answer> {
    let body = listener::read_body(request.into_body(), limits).await?;
    if body.is_empty() {
        return Ok(Farewell::default());
    }
    serde_json::from_slice(&body)
        .map_err(|error| refuse(StatusCode::BAD_REQUEST, &error.to_string()))
}

async fn take_announcement(
    request: Request<Incoming>,
    limits: Limits,
) -> Result<Announcement, Answer> {
    let body = listener::read_body(request.into_body(), limits).await?;
    let announcement = serde_json::from_slice::<Announcement>(&body)
        .map_err(|error| refuse(StatusCode::BAD_REQUEST, &error.to_string()))?;
    match find_fault(&announcement) {
        Some(fault) => Err(refuse(StatusCode::BAD_REQUEST, fault)),
        None => Ok(announcement),
    }
}

fn find_fault(announcement: &Announcement) -> Option<&'static str> {
    if announcement.service.is_empty() || announcement.service.len() > MAX_SERVICE {
        return Some("service: want a name of 1 to 63 bytes");
    }
    if !announcement.address.ip().is_loopback() || announcement.address.port() == 0 {
        return Some("address: want a loopback address with a port, such as 127.0.0.1:9000");
    }
    if announcement.version.len() > MAX_VERSION {
        return Some("version: want at most 64 bytes");
    }
    if announcement.slots == 0 {
        return Some("slots: want at least 1");
    }
    None
}

/// Takes an announcement, or gives false for one that is not news.
fn enter<C>(desk: &Desk<C>, announcement: &Announcement) -> bool
where
    C: Clock,
{
    let word = Word {
        sequence: announcement.sequence,
        leaves: false,
        at: desk.shared.clock.now(),
    };
    let mut known = desk.known.lock();
    if !known.take(&Process::of_product(announcement.incarnation), &word) {
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
        born: None,
        address: announcement.address,
        slots: announcement.slots,
        cold_ms: None,
        leaving: false,
    };
    install(desk, &backend);
    true
}

fn install<C>(desk: &Desk<C>, backend: &Backend)
where
    C: Clock,
{
    let changed = desk.shared.backend.send_if_modified(|held| {
        // How cold it still is counts from its first announcement: told anew with
        // each heartbeat, every one of them would go out to the whole fleet.
        let known = held.as_ref().map(|held| Backend {
            cold_ms: backend.cold_ms,
            ..held.clone()
        });
        let changed = known.as_ref() != Some(backend);
        if changed {
            *held = Some(backend.clone());
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

/// Takes a farewell, and gives what its sender is told: it leaves, whoever is here now.
fn leave<C>(desk: &Desk<C>, farewell: Farewell) -> Status
where
    C: Clock,
{
    let word = Word {
        sequence: None,
        leaves: true,
        at: desk.shared.clock.now(),
    };
    let mut known = desk.known.lock();
    let process = match farewell.incarnation {
        Some(_) => Process::of_product(farewell.incarnation),
        None => known.find_present(),
    };
    if known.take(&process, &word) {
        begin_leave(desk);
    }
    drop(known);
    Status {
        leaving: true,
        ..read_status(desk)
    }
}

fn begin_leave<C>(desk: &Desk<C>)
where
    C: Clock,
{
    let changed = desk.shared.backend.send_if_modified(|held| match held {
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

fn read_status<C>(desk: &Desk<C>) -> Status
where
    C: Clock,
{
    Status {
        in_flight: *desk.shared.in_flight.borrow(),
        // Also one that left before it was heard of, by a node that is new itself.
        leaving: desk.known.lock().has_left(),
    }
}
