//! The platform: its object API over HTTP, its rates, and faults by command.
//!
//! Besides the object API it answers `GET /counts`, and `GET` and `POST
//! /fault` with [`store::memory::Faults`] as JSON. `POST /copy` keeps a copy of all objects, and
//! `POST /restore` comes back from it.

use crate::http::{Body, Error, json_response, read_json};
use crate::rate::RateLimiter;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use platform::api::{Change, Changes, ERA_HEADER, Item, MAX_WAIT_MS, OBJECTS_PATH, Page};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{Event, MAX_VALUE_BYTES, MemoryStore, Object, Revision, Store};
use tokio::net::TcpListener;

/// Room for an object's JSON around the value.
const MAX_BODY: usize = MAX_VALUE_BYTES + (64 << 10);

/// Objects of a page, as the platform has it.
const PAGE: usize = 500;

/// RateLimits that the platform takes, in calls a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Creations, updates and deletions.
    pub writes: u32,
    /// Reads, lists and watches.
    pub reads: u32,
}

impl Default for RateLimits {
    /// Several hundred writes and about two thousand reads.
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2000,
        }
    }
}

struct Shared {
    memory: MemoryStore,
    writes: Mutex<RateLimiter>,
    reads: Mutex<RateLimiter>,
    /// What `POST /restore` comes back from.
    copy: Mutex<Option<store::memory::Backup>>,
}

/// Serves `memory` on `listener` for as long as the process lives.
pub async fn serve(listener: TcpListener, memory: MemoryStore, rates: RateLimits) {
    let now = Instant::now();
    let shared = Arc::new(Shared {
        memory,
        writes: Mutex::new(RateLimiter::new(rates.writes, now)),
        reads: Mutex::new(RateLimiter::new(rates.reads, now)),
        copy: Mutex::default(),
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors: those in use must end first.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| answer(Arc::clone(&shared), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:%; "connection_ended");
            }
        });
    }
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Response<Body>, Error> {
    let path = request.uri().path().to_owned();
    if let Some(name) = path.strip_prefix(OBJECTS_PATH) {
        let mut answer = answer_object(&shared, name, request).await?;
        let era = era_of(&shared.memory).into();
        answer.headers_mut().insert(ERA_HEADER, era);
        return Ok(answer);
    }
    Ok(match (request.method(), path.as_str()) {
        (&Method::GET, "/counts") => json_response(StatusCode::OK, &shared.memory.counts()),
        (&Method::POST, "/copy") => {
            *shared.copy.lock() = Some(shared.memory.backup());
            json_response(StatusCode::OK, &Value::Null)
        }
        (&Method::POST, "/restore") => match shared.copy.lock().clone() {
            Some(copy) => {
                shared.memory.restore(copy);
                json_response(StatusCode::OK, &era_of(&shared.memory))
            }
            None => answer_status(StatusCode::CONFLICT),
        },
        (&Method::GET, "/fault") => json_response(StatusCode::OK, &shared.memory.faults()),
        (&Method::POST, "/fault") => match read_json(request.into_body(), MAX_BODY).await {
            Ok(faults) => {
                shared.memory.set_faults(faults);
                json_response(StatusCode::OK, &shared.memory.faults())
            }
            Err(status) => answer_status(status),
        },
        _ => answer_status(StatusCode::NOT_FOUND),
    })
}

async fn answer_object(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Error> {
    let limit = match *request.method() {
        Method::GET => &shared.reads,
        _ => &shared.writes,
    };
    let taken = limit.lock().admit(Instant::now());
    if let Err(wait) = taken {
        return Ok(answer_busy(wait));
    }
    let query = request.uri().query().unwrap_or_default().to_owned();
    let query = parse_query(&query);
    let memory = &shared.memory;
    let outcome = match (request.method().clone(), path.split_once('/')) {
        (Method::GET, None) if query.contains_key("watch") => {
            wait_changes(memory, path, &query).await
        }
        (Method::GET, None) => read_list(memory, path, &query).await,
        (Method::GET, Some((kind, leaf))) => read_object(memory, kind, leaf).await,
        (Method::DELETE, Some(_)) => {
            let expected = read_revision(memory, &query, "revision");
            let deleted = memory.delete(path, expected).await;
            deleted.map(|()| json_response(StatusCode::OK, &Value::Null))
        }
        (Method::POST, None) => match read_json(request.into_body(), MAX_BODY).await {
            Ok(item) => create(memory, path, item).await,
            Err(status) => Ok(answer_status(status)),
        },
        (Method::PUT, Some((kind, leaf))) => {
            match read_json::<Item>(request.into_body(), MAX_BODY).await {
                Ok(item) => match leaf.strip_suffix("/status") {
                    Some(leaf) => report(memory, kind, leaf, item).await,
                    None => replace(memory, kind, leaf, item).await,
                },
                Err(status) => Ok(answer_status(status)),
            }
        }
        _ => Ok(answer_status(StatusCode::METHOD_NOT_ALLOWED)),
    };
    outcome.or_else(|error| answer_error(&error))
}

async fn read_object(
    memory: &MemoryStore,
    kind: &str,
    leaf: &str,
) -> Result<Response<Body>, store::Error> {
    let object = memory.get(&format!("{kind}/{leaf}")).await?;
    let object = object.ok_or(store::Error::NotFound)?;
    Ok(json_response(StatusCode::OK, &make_item(object)))
}

async fn read_list(
    memory: &MemoryStore,
    kind: &str,
    query: &HashMap<&str, &str>,
) -> Result<Response<Body>, store::Error> {
    let after = query.get("after").map(|leaf| format!("{kind}/{leaf}"));
    let list = memory
        .list(&format!("{kind}/"), &after.unwrap_or_default(), PAGE)
        .await?;
    let page = Page {
        items: list.items.into_iter().map(make_item).collect(),
        has_more: list.has_more,
        revision: list.revision.number,
    };
    Ok(json_response(StatusCode::OK, &page))
}

async fn create(
    memory: &MemoryStore,
    kind: &str,
    item: Item,
) -> Result<Response<Body>, store::Error> {
    let name = format!("{kind}/{}", item.metadata.name);
    let revision = memory.create(&name, &item.spec).await?;
    let written = Item::new(&item.metadata.name, Some(revision), item.spec);
    Ok(json_response(StatusCode::CREATED, &written))
}

/// Replaces an object, or answers with it as it stands when it is another than expected.
async fn replace(
    memory: &MemoryStore,
    kind: &str,
    leaf: &str,
    item: Item,
) -> Result<Response<Body>, store::Error> {
    let name = format!("{kind}/{leaf}");
    let expected = now_at(memory, item.metadata.revision.unwrap_or_default());
    let replaced = memory.update(&name, &item.spec, expected).await;
    answer_written(memory, &name, replaced).await
}

/// Reports on an object, or answers with it as it stands when it is another than expected.
async fn report(
    memory: &MemoryStore,
    kind: &str,
    leaf: &str,
    item: Item,
) -> Result<Response<Body>, store::Error> {
    let name = format!("{kind}/{leaf}");
    let expected = now_at(memory, item.metadata.revision.unwrap_or_default());
    let reported = memory.update_status(&name, &item.status, expected).await;
    answer_written(memory, &name, reported).await
}

async fn answer_written(
    memory: &MemoryStore,
    name: &str,
    written: Result<Revision, store::Error>,
) -> Result<Response<Body>, store::Error> {
    let status = match written {
        Ok(_) => StatusCode::OK,
        Err(store::Error::Conflict) => StatusCode::CONFLICT,
        Err(error) => return Err(error),
    };
    let object = memory.get(name).await?.ok_or(store::Error::NotFound)?;
    Ok(json_response(status, &make_item(object)))
}

/// Time in which the changes that lie ready come one by one, in this process.
const GATHER: Duration = Duration::from_millis(1);

/// Waits until something of a kind has changed, or the time that the reader gave is up.
async fn wait_changes(
    memory: &MemoryStore,
    kind: &str,
    query: &HashMap<&str, &str>,
) -> Result<Response<Body>, store::Error> {
    let from = read_revision(memory, query, "watch").unwrap_or_default();
    let wait = query.get("wait_ms").and_then(|text| text.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or(MAX_WAIT_MS).min(MAX_WAIT_MS));
    let until = tokio::time::Instant::now() + wait;
    if memory.faults().silent_watches {
        // The connection stays open, and no answer will come.
        std::future::pending::<()>().await;
    }
    let mut watch = memory.watch(&format!("{kind}/"), from).await?;
    let mut changes = Changes {
        events: Vec::new(),
        revision: from.number,
    };
    while changes.events.is_empty() {
        let Ok(event) = tokio::time::timeout_at(until, watch.next()).await else {
            break;
        };
        let event = event?;
        changes.revision = event.revision().number;
        changes.events.extend(make_change(event));
    }
    // What has happened by then goes along.
    while let Ok(event) = tokio::time::timeout(GATHER, watch.next()).await {
        let event = event?;
        changes.revision = event.revision().number;
        changes.events.extend(make_change(event));
    }
    Ok(json_response(StatusCode::OK, &changes))
}

fn make_item(object: Object) -> Item {
    let leaf = object.name.rsplit('/').next().unwrap_or_default();
    Item {
        status: object.status,
        ..Item::new(leaf, Some(object.revision), object.value)
    }
}

fn make_change(event: Event) -> Option<Change> {
    match event {
        Event::Put(object) => Some(Change {
            deleted: false,
            object: make_item(object),
        }),
        Event::Deleted { name, revision } => Some(Change {
            deleted: true,
            object: make_item(Object {
                name,
                revision,
                value: Value::Null,
                status: Value::Null,
            }),
        }),
        Event::Bookmark(_) => None,
    }
}

fn era_of(memory: &MemoryStore) -> u64 {
    memory.watch_era().borrow().unwrap_or_default()
}

/// Gives the place of a write of the era that holds now.
fn now_at(memory: &MemoryStore, number: u64) -> Revision {
    Revision {
        era: era_of(memory),
        number,
    }
}

fn parse_query(query: &str) -> HashMap<&str, &str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect()
}

fn read_revision(memory: &MemoryStore, query: &HashMap<&str, &str>, key: &str) -> Option<Revision> {
    let number = query.get(key)?.parse().ok()?;
    Some(now_at(memory, number))
}

fn answer_status(status: StatusCode) -> Response<Body> {
    json_response(
        status,
        &json!({"status": "Failure", "code": status.as_u16()}),
    )
}

fn answer_busy(wait: Duration) -> Response<Body> {
    let mut answer = answer_status(StatusCode::TOO_MANY_REQUESTS);
    let seconds = wait.as_secs() + 1;
    answer
        .headers_mut()
        .insert(http::header::RETRY_AFTER, seconds.into());
    answer
}

fn answer_error(error: &store::Error) -> Result<Response<Body>, Error> {
    use store::Error as Failed;
    Ok(match error {
        Failed::Conflict => answer_status(StatusCode::CONFLICT),
        Failed::NotFound => answer_status(StatusCode::NOT_FOUND),
        Failed::Gone => answer_status(StatusCode::GONE),
        Failed::TooLarge => answer_status(StatusCode::PAYLOAD_TOO_LARGE),
        Failed::Busy(wait) => answer_busy(*wait),
        Failed::Invalid(_) => answer_status(StatusCode::BAD_REQUEST),
        Failed::Unavailable(_) | Failed::Unknown(_) => return Err(Error::NoResponse),
    })
}
