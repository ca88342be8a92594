//! An HTTP/1.1 client with keep-alive connections to one address.

use crate::error::Error;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header's value, if it is present and visible ASCII.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// Creates a GET call without headers and body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// Creates a call without headers and body.
    #[must_use]
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: Bytes) -> Self {
        self.body = body;
        self
    }
}

/// An HTTP client with a pool of keep-alive connections. Clones share the pool.
#[derive(Debug, Clone)]
pub struct Caller {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
}

impl Caller {
    /// Creates a client for `address`. Connections are opened on demand.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Sends a call and reads the complete response.
    ///
    /// # Errors
    ///
    /// When the connection fails, or the response is incomplete.
    pub async fn send(&self, call: &Call) -> Result<Answer, Error> {
        let mut connection = self.get_connection().await?;
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(call.path.as_str())
            .header(http::header::HOST, self.address.to_string());
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(call.body.clone()))?;
        let response = connection.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        self.idle_connections().push(connection);
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Like [`send`](Self::send), but gives up after `limit`.
    ///
    /// # Errors
    ///
    /// As for `send`, and when the response is not complete after `limit`; the connection is then
    /// closed.
    pub async fn send_within(&self, call: &Call, limit: Duration) -> Result<Answer, Error> {
        match tokio::time::timeout(limit, self.send(call)).await {
            Ok(answer) => answer,
            Err(_elapsed) => Err(Error::Timeout(format!("{} {}", call.method, call.path))),
        }
    }

    async fn get_connection(&self) -> Result<SendRequest<Full<Bytes>>, Error> {
        loop {
            let idle = self.idle_connections().pop();
            let Some(mut connection) = idle else {
                return self.connect().await;
            };
            // `ready` fails if the peer has closed the connection in the meantime.
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
    }

    fn idle_connections(&self) -> std::sync::MutexGuard<'_, Vec<SendRequest<Full<Bytes>>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Error> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move {
            // The error is ignored here, because `SendRequest` returns it to the code that sends.
            drop(connection.await);
        });
        Ok(sender)
    }
}
