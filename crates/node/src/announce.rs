//! Where the backend server on the same VM announces itself.
//!
//! `PUT /v1/announce` says which service it belongs to, where it takes calls
//! and how many at once; it is repeated as a heartbeat. `DELETE /v1/announce`
//! says that it is leaving: from that instant it gets no new call. `GET`
//! tells it how many calls are still in flight, so that it knows when to end.
//! With `interface = platform` it announces itself in the platform's words as
//! well, which [`platform::announce`] reads.
//!
//! Silence is no departure. A backend server that is paused or cut off for a
//! moment would otherwise lose all its work at once; one that is really gone
//! refuses connections, which the inbound proxy sees at its next call.

use crate::listener::{self, Answer, Handle, Limits, answer_json, refuse};
use crate::shared::{Backend, Shared};
use clock::Clock;
use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use log::info;
use parking_lot::Mutex;
use platform::announce::Notice;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Path of the announcements.
const PATH: &str = "/v1/announce";

/// Name of this listener in settings, metrics and logs.
const LISTENER: &str = "backend";

/// Longest name of a service: that of a DNS label.
const MAX_SERVICE: usize = 63;

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
    /// Number of its process; a restart gives a new one.
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
    spawn_within(tcp, shared, Limits::default())
}

/// Listens as [`spawn`] does, with other limits.
///
/// # Errors
///
/// Fails when the listener has no address.
pub fn spawn_within<C>(
    tcp: TcpListener,
    shared: Arc<Shared<C>>,
    limits: Limits,
) -> io::Result<Handle>
where
    C: Clock,
{
    let bad_requests = shared.metrics.bad_requests(LISTENER);
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

/// Former processes of the backend server that are remembered: restarts within an hour, at most.
const MAX_FORMER: usize = 32;

/// What names a process of the backend server on the platform.
///
/// A backend server may start again under the name that it had, and then counts
/// its announcements anew: by its name alone, its heartbeats would pass for late
/// ones of the former process, and a departure of that one would end it.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Process {
    instance: SmolStr,
    /// When it started, by its VM's clock, if it says so.
    born: Option<u64>,
}

impl Process {
    /// Tells whether it started before another, as far as both say when.
    ///
    /// The clock may have been set back in between: it is a hint, not a proof.
    fn is_older(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(born), Some(others)) => born < others,
            _ => false,
        }
    }
}

/// The backend server's process that announced itself last.
#[derive(Default)]
struct Known {
    incarnation: Option<u64>,
    process: Option<Process>,
    sequence: u64,
    left: bool,
    former: VecDeque<Former>,
}

/// A process of the backend server that is taken for gone.
struct Former {
    process: Process,
    /// Whether it said so itself; otherwise another one took its place.
    left: bool,
    /// Announcements that came from it since.
    heard: u8,
}

/// Announcements after which one whose place was taken is the living one after
/// all: what a cut has held up comes once, a heartbeat goes on.
const ALIVE: u8 = 2;

impl Known {
    /// Tells whether a notice of a process is newer than what is known.
    ///
    /// Guards against an announcement that a cut has held up: it may come after
    /// its sender has left or crashed and another process has its address, and
    /// calls would be addressed to a process that is gone.
    fn is_news(&mut self, process: &Process, sequence: Option<u64>) -> bool {
        if let Some(place) = self.former.iter().position(|one| one.process == *process) {
            let former = &mut self.former[place];
            former.heard = former.heard.saturating_add(1);
            if former.left || former.heard < ALIVE {
                return false;
            }
            self.former.remove(place);
        }
        match &self.process {
            Some(known) if known == process => {
                !self.left && sequence.is_none_or(|sequence| sequence > self.sequence)
            }
            _ => true,
        }
    }

    /// Tells whether a process that was not heard of before seems to be of the past.
    ///
    /// It is then heard a second time before it is believed: a word of the former
    /// process that comes late is alone, the heartbeats of one whose clock was set
    /// back before it started go on.
    fn is_past(&self, process: &Process) -> bool {
        let known = self.process.as_ref();
        known.is_some_and(|known| known != process && process.is_older(known))
            && !self.former.iter().any(|one| one.process == *process)
    }

    /// Names the process that a notice is from.
    ///
    /// A farewell that doesn't say when its sender started is of the process of
    /// that name which is here: not to believe it would send calls to one that leaves.
    fn identify(&self, notice: &Notice) -> Process {
        let unnamed = notice.announcement.is_none() && notice.born.is_none();
        let here = self.process.as_ref();
        let here = here.filter(|known| unnamed && known.instance == notice.instance);
        here.cloned().unwrap_or_else(|| Process {
            instance: notice.instance.clone(),
            born: notice.born,
        })
    }

    fn note(&mut self, process: &Process, sequence: Option<u64>) {
        if self.process.as_ref() != Some(process) {
            if let Some(former) = self.process.replace(process.clone()) {
                self.forget(former, self.left, 0);
            }
            self.left = false;
        }
        self.sequence = sequence.unwrap_or(self.sequence);
    }

    /// Takes a process for gone that was `heard` so often since.
    fn forget(&mut self, process: Process, left: bool, heard: u8) {
        self.former.push_back(Former {
            process,
            left,
            heard,
        });
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }
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
        Method::DELETE => {
            leave(desk);
            answer_json(StatusCode::OK, &read_status(desk))
        }
        Method::PUT => match take_announcement(request, desk.limits).await {
            Ok(announcement) if enter(desk, &announcement) => {
                answer_json(StatusCode::OK, &read_status(desk))
            }
            Ok(_) => refuse(
                StatusCode::CONFLICT,
                "this incarnation has said that it leaves",
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
    let mut known = desk.known.lock();
    let sequence = notice.announcement.as_ref().map(|one| one.sequence);
    let leaves = notice.announcement.as_ref().is_none_or(|one| one.leaving);
    let process = known.identify(&notice);
    if known.is_past(&process) {
        known.forget(process, leaves, 1);
        return;
    }
    if !known.is_news(&process, sequence) {
        return;
    }
    if leaves && known.process.as_ref() != Some(&process) {
        // This node has not heard of it before, perhaps as it is new itself: an
        // announcement that comes late must not bring it back, nor may its
        // departure end the one that is here.
        known.forget(process, true, 0);
        return;
    }
    known.note(&process, sequence);
    match notice.announcement {
        Some(announcement) if !announcement.leaving => {
            let backend = Backend {
                service: announcement.service,
                instance: Some(notice.instance),
                born: notice.born,
                address: announcement.address,
                slots: announcement.slots.max(1),
                cold_ms: announcement.cold_for.map(whole_ms),
                leaving: false,
            };
            install(desk, &backend);
        }
        Some(_) | None => {
            known.left = true;
            begin_leave(desk);
        }
    }
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
    if announcement.slots == 0 {
        return Some("slots: want at least 1");
    }
    None
}

/// Takes an announcement, or gives false for one of a process that has left.
///
/// Guards against a heartbeat that overtakes or trails the departure on another
/// connection: it would send new work to a process that is about to end. A
/// process that names its incarnation can't come back once it has left.
fn enter<C>(desk: &Desk<C>, announcement: &Announcement) -> bool
where
    C: Clock,
{
    let mut known = desk.known.lock();
    let is_same =
        announcement.incarnation.is_some() && announcement.incarnation == known.incarnation;
    if is_same && known.left {
        return false;
    }
    known.incarnation = announcement.incarnation;
    known.left = false;
    let backend = Backend {
        service: announcement.service.clone(),
        instance: None,
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

fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn leave<C>(desk: &Desk<C>)
where
    C: Clock,
{
    desk.known.lock().left = true;
    begin_leave(desk);
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
        leaving: desk.known.lock().left,
    }
}
