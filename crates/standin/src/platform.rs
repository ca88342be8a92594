//! A simulated platform: its object API over HTTP, with rate limits and injected faults.
//!
//! Besides the object API it serves `GET /counts`, and `GET` and `POST /fault` with
//! [`store::memory::Faults`] as JSON. `POST /copy` takes a backup of all objects, and `POST
//! /restore` restores it.

use crate::http::{Body, Error, json_response, read_json};
use crate::rate::RateLimiter;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use platform::api::{Change, Changes, ERA_HEADER, Item, MAX_WATCH_HOLD_MS, OBJECTS_PATH, Page};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{Event, MAX_VALUE_BYTES, MemoryStore, Object, Revision, Store};
use tokio::net::TcpListener;

/// Maximum body size of a request, in bytes: a value and the JSON around it.
const MAX_BODY_BYTES: usize = MAX_VALUE_BYTES + (64 << 10);

/// Number of objects per page, as on the platform.
const PAGE_SIZE: usize = 500;

/// Rate limits of the platform, in calls per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimits {
    /// Creations, updates and deletions.
    pub writes: u32,
    /// Reads, lists and watches.
    pub reads: u32,
}

impl Default for RateLimits {
    /// Returns limits of the same order of magnitude as the platform's: several hundred writes and
    /// about two thousand reads per second.
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2000,
        }
    }
}

struct Shared {
    memory: MemoryStore,
    write_limiter: Mutex<RateLimiter>,
    read_limiter: Mutex<RateLimiter>,
    /// Backup that `POST /restore` restores.
    backup: Mutex<Option<store::memory::Backup>>,
}

/// Serves `memory` on `listener`; never returns.
pub async fn serve(listener: TcpListener, memory: MemoryStore, rates: RateLimits) {
    let now = Instant::now();
    let shared = Arc::new(Shared {
        memory,
        write_limiter: Mutex::new(RateLimiter::new(rates.writes, now)),
        read_limiter: Mutex::new(RateLimiter::new(rates.reads, now)),
        backup: Mutex::default(),
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of file descriptors: wait until some are closed.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        drop(stream.set_nodelay(true));
        let shared = Arc::clone(&shared);
        let service = service_fn(move |request| handle_request(Arc::clone(&shared), request));
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

async fn handle_request(
    shared: Arc<Shared>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Error> {
    let path = request.uri().path().to_owned();
    if let Some(name) = path.strip_prefix(OBJECTS_PATH) {
        let mut response = handle_object_request(&shared, name, request).await?;
        let era = current_era(&shared.memory).into();
        response.headers_mut().insert(ERA_HEADER, era);
        return Ok(response);
    }
    Ok(match (request.method(), path.as_str()) {
        (&Method::GET, "/counts") => json_response(StatusCode::OK, &shared.memory.request_counts()),
        (&Method::POST, "/copy") => {
            *shared.backup.lock() = Some(shared.memory.backup());
            json_response(StatusCode::OK, &Value::Null)
        }
        (&Method::POST, "/restore") => match shared.backup.lock().clone() {
            Some(backup) => {
                shared.memory.restore(backup);
                json_response(StatusCode::OK, &current_era(&shared.memory))
            }
            None => status_response(StatusCode::CONFLICT),
        },
        (&Method::GET, "/fault") => json_response(StatusCode::OK, &shared.memory.faults()),
        (&Method::POST, "/fault") => match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(faults) => {
                shared.memory.set_faults(faults);
                json_response(StatusCode::OK, &shared.memory.faults())
            }
            Err(status) => status_response(status),
        },
        _ => status_response(StatusCode::NOT_FOUND),
    })
}

async fn handle_object_request(
    shared: &Shared,
    path: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Error> {
    let limiter = match *request.method() {
        Method::GET => &shared.read_limiter,
        _ => &shared.write_limiter,
    };
    let admitted = limiter.lock().admit(Instant::now());
    if let Err(wait) = admitted {
        return Ok(rate_limited_response(wait));
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
        (Method::POST, None) => match read_json(request.into_body(), MAX_BODY_BYTES).await {
            Ok(item) => create(memory, path, item).await,
            Err(status) => Ok(status_response(status)),
        },
        (Method::PUT, Some((kind, leaf))) => {
            match read_json::<Item>(request.into_body(), MAX_BODY_BYTES).await {
                Ok(item) => match leaf.strip_suffix("/status") {
                    Some(leaf) => replace_status(memory, kind, leaf, item).await,
                    None => replace(memory, kind, leaf, item).await,
                },
                Err(status) => Ok(status_response(status)),
            }
        }
        _ => Ok(status_response(StatusCode::METHOD_NOT_ALLOWED)),
    };
    outcome.or_else(|error| error_response(&error))
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
        .list(&format!("{kind}/"), &after.unwrap_or_default(), PAGE_SIZE)
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

/// Replaces an object; if the revision of the object isn't the expected one, responds with the
/// current object.
async fn replace(
    memory: &MemoryStore,
    kind: &str,
    leaf: &str,
    item: Item,
) -> Result<Response<Body>, store::Error> {
    let name = format!("{kind}/{leaf}");
    let expected = current_era_revision(memory, item.metadata.revision.unwrap_or_default());
    let replaced = memory.update(&name, &item.spec, expected).await;
    respond_to_write(memory, &name, replaced).await
}

/// Replaces the status of an object; if the revision of the object isn't the expected one, responds
/// with the current object.
async fn replace_status(
    memory: &MemoryStore,
    kind: &str,
    leaf: &str,
    item: Item,
) -> Result<Response<Body>, store::Error> {
    let name = format!("{kind}/{leaf}");
    let expected = current_era_revision(memory, item.metadata.revision.unwrap_or_default());
    let replaced = memory.update_status(&name, &item.status, expected).await;
    respond_to_write(memory, &name, replaced).await
}

/// Responds to a write with the present object, also if the write failed with a conflict.
async fn respond_to_write(
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

/// Time to wait for a further change before the response is sent. The store is in this process, so
/// changes that are already pending arrive within this time.
const BATCH_WAIT: Duration = Duration::from_millis(1);

/// Waits until an object of the given kind changes or the wait time of the request expires.
async fn wait_changes(
    memory: &MemoryStore,
    kind: &str,
    query: &HashMap<&str, &str>,
) -> Result<Response<Body>, store::Error> {
    let from = read_revision(memory, query, "watch").unwrap_or_default();
    let wait = query.get("wait_ms").and_then(|text| text.parse().ok());
    let wait = Duration::from_millis(wait.unwrap_or(MAX_WATCH_HOLD_MS).min(MAX_WATCH_HOLD_MS));
    let hold_until = tokio::time::Instant::now() + wait;
    if memory.faults().silent_watches {
        // The connection stays open without a response.
        std::future::pending::<()>().await;
    }
    let mut watch = memory.watch(&format!("{kind}/"), from).await?;
    let mut changes = Changes {
        events: Vec::new(),
        revision: from.number,
    };
    while changes.events.is_empty() {
        let Ok(event) = tokio::time::timeout_at(hold_until, watch.next()).await else {
            break;
        };
        let event = event?;
        changes.revision = event.revision().number;
        changes.events.extend(make_change(event));
    }
    // Adds further changes that are already pending.
    while let Ok(event) = tokio::time::timeout(BATCH_WAIT, watch.next()).await {
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
        Event::Bookmark { .. } => None,
    }
}

fn current_era(memory: &MemoryStore) -> u64 {
    memory.watch_era().borrow().unwrap_or_default()
}

/// Returns the revision `number` of the current era.
fn current_era_revision(memory: &MemoryStore, number: u64) -> Revision {
    Revision {
        era: current_era(memory),
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
    Some(current_era_revision(memory, number))
}

fn status_response(status: StatusCode) -> Response<Body> {
    json_response(
        status,
        &json!({"status": "Failure", "code": status.as_u16()}),
    )
}

fn rate_limited_response(wait: Duration) -> Response<Body> {
    let mut response = status_response(StatusCode::TOO_MANY_REQUESTS);
    let seconds = wait.as_secs() + 1;
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, seconds.into());
    response
}

fn error_response(error: &store::Error) -> Result<Response<Body>, Error> {
    use store::Error as StoreError;
    Ok(match error {
        StoreError::Conflict => status_response(StatusCode::CONFLICT),
        StoreError::NotFound => status_response(StatusCode::NOT_FOUND),
        StoreError::Gone => status_response(StatusCode::GONE),
        StoreError::TooLarge => status_response(StatusCode::PAYLOAD_TOO_LARGE),
        StoreError::Busy(wait) => rate_limited_response(*wait),
        StoreError::Invalid(_) => status_response(StatusCode::BAD_REQUEST),
        StoreError::Unavailable(_) | StoreError::Unknown(_) => return Err(Error::NoResponse),
    })
}
