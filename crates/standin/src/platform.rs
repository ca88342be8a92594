//! The platform: its object API over HTTP, its rates, and faults by command.
//!
//! Besides the object API it answers `GET /counts`, and `GET` and `POST
//! /fault` with [`store::memory::Faults`] as JSON.

use crate::http::{Body, Error, answer_json, read_json};
use crate::rate::Limit;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use store::api::{Item, Kind, Line, MAX_VALUE, Page, ROOT};
use store::{Memory, Object, Revision, Store, Watch};
use serde_json::json;
use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// Room for an object's JSON around the value.
const MAX_BODY: usize = MAX_VALUE + (64 << 10);

/// Objects of a list when the reader names no limit.
const DEFAULT_PAGE: usize = 500;

/// Rates that the platform takes, in calls a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rates {
    /// Creations, updates and deletions.
    pub writes: u32,
    /// Reads, lists and watches.
    pub reads: u32,
}

impl Default for Rates {
    /// Several hundred writes and about two thousand reads.
    fn default() -> Self {
        Self {
            writes: 400,
            reads: 2000,
        }
    }
}

struct Shared {
    memory: Memory,
    writes: Mutex<Limit>,
    reads: Mutex<Limit>,
}

/// Serves `memory` on `listener` for as long as the process lives.
pub async fn serve(listener: TcpListener, memory: Memory, rates: Rates) {
    let now = Instant::now();
    let shared = Arc::new(Shared {
        memory,
        writes: Mutex::new(Limit::new(rates.writes, now)),
        reads: Mutex::new(Limit::new(rates.reads, now)),
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
    if let Some(name) = path.strip_prefix(ROOT) {
        return answer_object(&shared, name, request).await;
    }
    Ok(match (request.method(), path.as_str()) {
        (&Method::GET, "/counts") => answer_json(StatusCode::OK, &shared.memory.counts()),
        (&Method::GET, "/fault") => answer_json(StatusCode::OK, &shared.memory.faults()),
        (&Method::POST, "/fault") => match read_json(request.into_body(), MAX_BODY).await {
            Ok(faults) => {
                shared.memory.set_faults(faults);
                answer_json(StatusCode::OK, &shared.memory.faults())
            }
            Err(status) => answer_status(status),
        },
        _ => answer_status(StatusCode::NOT_FOUND),
    })
}

async fn answer_object(
    shared: &Shared,
    name: &str,
    request: Request<Incoming>,
) -> Result<Response<Body>, Error> {
    let limit = match *request.method() {
        Method::GET => &shared.reads,
        _ => &shared.writes,
    };
    let taken = limit.lock().take(Instant::now());
    if let Err(wait) = taken {
        return Ok(answer_busy(wait));
    }
    let query = parse_query(request.uri().query().unwrap_or_default());
    let memory = &shared.memory;
    let outcome = match *request.method() {
        Method::GET if query.contains_key("watch") => return open_watch(memory, &query).await,
        Method::GET if name.is_empty() => read_list(memory, &query).await,
        Method::GET => read_object(memory, name).await,
        Method::DELETE => {
            let expected = query
                .get("resourceVersion")
                .and_then(|text| parse_revision(text));
            let deleted = memory.delete(name, expected).await;
            deleted.map(|()| answer_json(StatusCode::OK, &json!({"status": "Success"})))
        }
        Method::POST | Method::PUT => {
            let create = request.method() == Method::POST;
            match read_json::<Item>(request.into_body(), MAX_BODY).await {
                Ok(item) => write_object(memory, name, item, create).await,
                Err(status) => Ok(answer_status(status)),
            }
        }
        _ => Ok(answer_status(StatusCode::METHOD_NOT_ALLOWED)),
    };
    outcome.or_else(|error| answer_error(&error))
}

async fn read_object(memory: &Memory, name: &str) -> Result<Response<Body>, store::Error> {
    let object = memory.get(name).await?.ok_or(store::Error::NotFound)?;
    Ok(answer_json(StatusCode::OK, &Item::from(object)))
}

async fn read_list(
    memory: &Memory,
    query: &HashMap<&str, &str>,
) -> Result<Response<Body>, store::Error> {
    let prefix = query.get("prefix").copied().unwrap_or_default();
    let after = query.get("continue").copied().unwrap_or_default();
    let limit = query.get("limit").and_then(|text| text.parse().ok());
    let list = memory
        .list(prefix, after, limit.unwrap_or(DEFAULT_PAGE))
        .await?;
    Ok(answer_json(StatusCode::OK, &Page::from(list)))
}

async fn write_object(
    memory: &Memory,
    name: &str,
    item: Item,
    create: bool,
) -> Result<Response<Body>, store::Error> {
    let (status, revision) = if create {
        (StatusCode::CREATED, memory.create(name, &item.spec).await?)
    } else {
        let expected = item.metadata.revision().unwrap_or_default();
        let revision = memory.update(name, &item.spec, expected).await?;
        (StatusCode::OK, revision)
    };
    let written = Item::from(Object {
        name: name.into(),
        revision,
        value: serde_json::Value::Null,
    });
    Ok(answer_json(status, &written))
}

async fn open_watch(memory: &Memory, query: &HashMap<&str, &str>) -> Result<Response<Body>, Error> {
    let prefix = query.get("prefix").copied().unwrap_or_default();
    let from = query
        .get("resourceVersion")
        .and_then(|text| parse_revision(text));
    let watch = match memory.watch(prefix, from.unwrap_or_default()).await {
        Ok(watch) => watch,
        Err(error) => return answer_error(&error),
    };
    let lines = futures_util::stream::unfold(Some(watch), next_line);
    Ok(Response::new(StreamBody::new(lines).boxed()))
}

type Chunk = Result<Frame<Bytes>, Infallible>;

async fn next_line(watch: Option<Watch>) -> Option<(Chunk, Option<Watch>)> {
    let mut watch = watch?;
    match watch.next().await {
        Ok(event) => Some((Ok(frame_line(&Line::from(event))), Some(watch))),
        Err(store::Error::Gone) => {
            let line = Line {
                kind: Kind::Error,
                object: Item {
                    metadata: store::api::Metadata::default(),
                    spec: json!({"code": 410}),
                },
            };
            Some((Ok(frame_line(&line)), None))
        }
        Err(_) => None,
    }
}

fn frame_line(line: &Line) -> Frame<Bytes> {
    let mut json = serde_json::to_vec(line).unwrap_or_default();
    json.push(b'\n');
    Frame::data(json.into())
}

fn parse_query(query: &str) -> HashMap<&str, &str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect()
}

fn parse_revision(text: &str) -> Option<Revision> {
    text.parse().ok().map(Revision)
}

fn answer_status(status: StatusCode) -> Response<Body> {
    answer_json(
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
        Failed::Unavailable(_) | Failed::Unknown(_) => return Err(Error::NoAnswer),
    })
}
