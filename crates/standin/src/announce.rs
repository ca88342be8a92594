//! Client for announcing a backend server to the node on its VM.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Path of the node's API for announcements.
const PATH: &str = "/v1/announce";

/// Interval between announcements, which also serve as heartbeats.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for the node's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between requests to the node while the backend server leaves.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An announcement of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service of the backend server.
    pub service: SmolStr,
    /// Address at which the backend server accepts calls.
    pub address: SocketAddr,
    /// Maximum number of concurrent calls.
    pub slots: u16,
    /// Identifies the process of the backend server.
    pub incarnation: u64,
    /// Increases with each announcement, so that the node detects delayed announcements.
    pub sequence: u64,
}

/// A request to receive no more calls, sent when the backend server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Identifies the process of the backend server.
    pub incarnation: u64,
}

/// The node's view of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Number of calls that the node has sent to the backend server and that have not ended.
    pub in_flight: usize,
    /// Whether the node knows that the backend server is leaving.
    pub leaving: bool,
}

/// Client for the node on the same VM.
#[derive(Debug, Clone)]
pub struct NodeClient {
    address: SocketAddr,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl NodeClient {
    /// Creates a client for the node whose listener for its backend server is at `address`.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        Self { address, client }
    }

    /// Sends an announcement every second; never returns.
    pub async fn announce(&self, mut announcement: Announcement) {
        loop {
            // Errors are ignored: a node that isn't running yet gets the next announcement.
            drop(self.call(Method::PUT, encode(&announcement)).await);
            announcement.sequence += 1;
            sleep(ANNOUNCE_INTERVAL).await;
        }
    }

    /// Sends a leave request and waits until the node reports no calls in flight to the backend
    /// server, for at most `limit`.
    ///
    /// The node may be killed after it has acknowledged the request. The node process that replaces
    /// it then reports that the backend server is not leaving, and this function sends the request
    /// again. A node may take the request without an acknowledgement, because it can't record it:
    /// there is nothing left to wait for then once no calls are in flight.
    ///
    /// `on_acknowledged` is called each time that a node acknowledges the request.
    pub async fn leave<F>(&self, request: LeaveRequest, limit: Duration, mut on_acknowledged: F)
    where
        F: FnMut(),
    {
        let end = Instant::now() + limit;
        let mut acknowledged = false;
        while Instant::now() < end {
            if acknowledged {
                match self.read_status().await {
                    Some(status) if is_done(status) => return,
                    Some(status) => acknowledged = status.leaving,
                    None => {}
                }
            } else {
                acknowledged = self.call(Method::DELETE, encode(&request)).await.is_some();
                if acknowledged {
                    on_acknowledged();
                } else if self.read_status().await.is_some_and(is_done) {
                    return;
                }
            }
            sleep(LEAVE_POLL_INTERVAL).await;
        }
    }

    async fn read_status(&self) -> Option<Status> {
        let bytes = self.call(Method::GET, Bytes::new()).await?;
        serde_json::from_slice(&bytes).ok()
    }

    async fn call(&self, method: Method, body: Bytes) -> Option<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{PATH}", self.address))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .ok()?;
        let response = async {
            let response = self.client.request(request).await.ok()?;
            let success = response.status().is_success();
            let body = response.into_body().collect().await.ok()?;
            success.then(|| body.to_bytes())
        };
        timeout(RESPONSE_TIMEOUT, response).await.ok()?
    }
}

fn encode<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    serde_json::to_vec(value).unwrap_or_default().into()
}

fn is_done(status: Status) -> bool {
    status.leaving && status.in_flight == 0
}
