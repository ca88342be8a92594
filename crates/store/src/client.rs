//! Client of the platform's object API over HTTP.

use crate::api::{Item, Kind, Line, MAX_VALUE, Metadata, Page, ROOT};
use crate::patience::Patience;
use crate::{Error, Event, List, Object, Revision, Store, Watch};
use bytes::{Buf, Bytes, BytesMut};
use http::header::RETRY_AFTER;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

/// Time limits of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// For a connection, and for an answer's head and body each. The platform
    /// answers in milliseconds; a second is a thousand times as long. While it
    /// is slow, answers get up to four times as much.
    pub call: Duration,
    /// For the silence of a watch. The platform sends bookmarks every few
    /// seconds, so that two or three must be missing.
    pub silence: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            call: Duration::from_secs(1),
            silence: Duration::from_secs(7),
        }
    }
}

/// Longest time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest answer, in bytes: a page of the largest values.
const MAX_ANSWER: usize = 64 * MAX_VALUE;

/// Wait when the platform is over its rate and doesn't say for how long.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

type Pool = legacy::Client<HttpConnector, Full<Bytes>>;

/// Client of the platform's object API; clones share its connections.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    limits: Limits,
    patience: Arc<Patience>,
    pool: Arc<Mutex<Pool>>,
}

impl Client {
    /// Makes a client of the platform at `address`; it connects when first called.
    #[must_use]
    pub fn open(address: SocketAddr, limits: Limits) -> Self {
        Self {
            address,
            limits,
            patience: Arc::new(Patience::new(limits.call)),
            pool: Arc::new(Mutex::new(open_pool(limits))),
        }
    }

    fn pool(&self) -> Pool {
        self.pool
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a new pool in place of one that had a silent connection.
    ///
    /// A connection that something in between has lost track of stays open and
    /// swallows every request. The others of the same age are likely in the
    /// same state, so that the next call starts on a new connection.
    fn renew_pool(&self) {
        *self.pool.lock().unwrap_or_else(PoisonError::into_inner) = open_pool(self.limits);
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let start = Instant::now();
        let limit = self.patience.limit();
        let Ok(outcome) = timeout(limit, self.pool().request(request)).await else {
            self.patience.note_timeout(limit);
            self.renew_pool();
            return Err(Error::Unknown("no answer in time".into()));
        };
        self.patience.note_answer(start.elapsed());
        outcome.map_err(|error| {
            let why = describe(&error);
            if error.is_connect() {
                Error::Unavailable(why)
            } else {
                Error::Unknown(why)
            }
        })
    }

    async fn call<T>(&self, method: Method, path: &str, body: Option<Item>) -> Result<T, Error>
    where
        T: DeserializeOwned,
    {
        let request = self.build_request(method, path, body)?;
        let response = self.send(request).await?;
        check_status(&response)?;
        let body = Limited::new(response.into_body(), MAX_ANSWER).collect();
        let Ok(body) = timeout(self.patience.limit(), body).await else {
            self.renew_pool();
            return Err(Error::Unknown("the answer stopped half way".into()));
        };
        let body = body.map_err(|error| Error::Unknown(error.to_string()))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| Error::Unknown(error.to_string()))
    }

    fn build_request(
        &self,
        method: Method,
        path: &str,
        body: Option<Item>,
    ) -> Result<Request<Full<Bytes>>, Error> {
        let body = match body {
            Some(item) => {
                serde_json::to_vec(&item).map_err(|error| Error::Invalid(error.to_string()))?
            }
            None => Vec::new(),
        };
        Request::builder()
            .method(method)
            .uri(format!("http://{}{ROOT}{path}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| Error::Invalid(error.to_string()))
    }
}

fn open_pool(limits: Limits) -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(limits.call));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

fn describe<E>(error: &E) -> String
where
    E: std::error::Error,
{
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}

fn check_status<B>(response: &Response<B>) -> Result<(), Error> {
    match response.status() {
        status if status.is_success() => Ok(()),
        StatusCode::CONFLICT => Err(Error::Conflict),
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::GONE => Err(Error::Gone),
        StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Busy(read_retry_after(response))),
        status if status.is_client_error() => Err(Error::Invalid(status.to_string())),
        // A server error may come from something in between, after the effect.
        status => Err(Error::Unknown(status.to_string())),
    }
}

fn read_retry_after<B>(response: &Response<B>) -> Duration {
    response
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

/// Refuses names that would need escaping in a path.
fn check_name(name: &str) -> Result<(), Error> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"/._-".contains(&byte);
    if name.bytes().all(plain) {
        return Ok(());
    }
    Err(Error::Invalid(format!("name {name:?}")))
}

/// A read has no effect, so that a lost answer is no more than an outage.
fn as_read_error(error: Error) -> Error {
    match error {
        Error::Unknown(why) => Error::Unavailable(why),
        other => other,
    }
}

fn item_of(value: &Value, revision: Option<Revision>) -> Item {
    Item {
        metadata: Metadata {
            resource_version: revision.map(|known| known.to_string()).unwrap_or_default(),
            ..Metadata::default()
        },
        spec: value.clone(),
    }
}

fn written_revision(item: &Item) -> Result<Revision, Error> {
    item.metadata
        .revision()
        .ok_or_else(|| Error::Unknown("an answer without revision".into()))
}

impl Store for Client {
    async fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        check_name(name)?;
        match self.call::<Item>(Method::GET, name, None).await {
            Ok(item) => match item.into_object() {
                Some(object) => Ok(Some(object)),
                None => Err(Error::Unavailable("an object without revision".into())),
            },
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(as_read_error(error)),
        }
    }

    async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<List, Error> {
        check_name(prefix)?;
        check_name(after)?;
        let path = format!("?prefix={prefix}&continue={after}&limit={limit}");
        let page = self.call::<Page>(Method::GET, &path, None).await;
        page.map_err(as_read_error)?
            .into_list()
            .ok_or_else(|| Error::Unavailable("a list without revision".into()))
    }

    async fn create(&self, name: &str, value: &Value) -> Result<Revision, Error> {
        check_name(name)?;
        let item = self
            .call::<Item>(Method::POST, name, Some(item_of(value, None)))
            .await?;
        written_revision(&item)
    }

    async fn update(
        &self,
        name: &str,
        value: &Value,
        expected: Revision,
    ) -> Result<Revision, Error> {
        check_name(name)?;
        let body = item_of(value, Some(expected));
        let item = self.call::<Item>(Method::PUT, name, Some(body)).await?;
        written_revision(&item)
    }

    async fn delete(&self, name: &str, expected: Option<Revision>) -> Result<(), Error> {
        check_name(name)?;
        let path = match expected {
            Some(expected) => format!("{name}?resourceVersion={expected}"),
            None => name.to_owned(),
        };
        self.call::<Value>(Method::DELETE, &path, None).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch, Error> {
        check_name(prefix)?;
        let path = format!("?prefix={prefix}&watch=1&resourceVersion={from}");
        let request = self.build_request(Method::GET, &path, None)?;
        let response = self.send(request).await.map_err(as_read_error)?;
        check_status(&response).map_err(as_read_error)?;
        let (sender, watch) = Watch::channel();
        tokio::spawn(feed(response.into_body(), self.limits.silence, sender));
        Ok(watch)
    }
}

/// Passes a watch's lines on until it ends, fails or says nothing for `silence`.
async fn feed(mut body: Incoming, silence: Duration, sender: mpsc::Sender<Result<Event, Error>>) {
    let mut buffer = BytesMut::new();
    let ended = loop {
        let frame = tokio::select! {
            frame = timeout(silence, body.frame()) => frame,
            () = sender.closed() => return,
        };
        let data = match frame {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(Some(Err(error))) => break Error::Unavailable(error.to_string()),
            Ok(None) => break Error::Unavailable("the watch has ended".into()),
            // Something between the two ends has lost track of the connection:
            // no event will come, and no error either. Bookmarks would have.
            Err(_) => break Error::Unavailable("the watch is silent".into()),
        };
        buffer.extend_from_slice(&data);
        if buffer.len() > 2 * MAX_VALUE {
            break Error::Unavailable("a line of the watch is too long".into());
        }
        if let Err(error) = pass_lines(&mut buffer, &sender).await {
            break error;
        }
    };
    // Nobody may wait for it any more.
    drop(sender.send(Err(ended)).await);
}

async fn pass_lines(
    buffer: &mut BytesMut,
    sender: &mpsc::Sender<Result<Event, Error>>,
) -> Result<(), Error> {
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
        let line = buffer.split_to(end);
        buffer.advance(1);
        let line: Line =
            serde_json::from_slice(&line).map_err(|error| Error::Unavailable(error.to_string()))?;
        if line.kind == Kind::Error {
            return Err(Error::Gone);
        }
        let event = line
            .into_event()
            .ok_or_else(|| Error::Unavailable("a line without revision".into()))?;
        let passed = sender.send(Ok(event)).await;
        passed.map_err(|closed| Error::Unavailable(closed.to_string()))?;
    }
    Ok(())
}
