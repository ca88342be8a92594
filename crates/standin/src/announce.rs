//! How a backend server announces itself to the node on its VM.

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

/// Path of announcements at the node.
const PATH: &str = "/v1/announce";

/// Time between two heartbeats.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Longest wait for the node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two looks at what is still in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// What a backend server tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: SmolStr,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Number of its process.
    pub incarnation: u64,
    /// Grows with each announcement, by which the node tells a late one.
    pub sequence: u64,
}

/// What it says when it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveRequest {
    /// Number of its process.
    pub incarnation: u64,
}

/// What the node tells of the backend server's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Calls that the node has given to the backend server and not seen ended.
    pub in_flight: usize,
    /// Whether the node knows that it is leaving.
    pub leaving: bool,
}

/// The node on the same VM.
#[derive(Debug, Clone)]
pub struct NodeClient {
    address: SocketAddr,
    client: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl NodeClient {
    /// Names the node whose listener for the backend server is at `address`.
    #[must_use]
    pub fn open(address: SocketAddr) -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build_http();
        Self { address, client }
    }

    /// Announces again and again, for as long as the task lives.
    pub async fn announce(&self, mut announcement: Announcement) {
        loop {
            // A node that is not there yet hears the next heartbeat.
            drop(self.call(Method::PUT, encode(&announcement)).await);
            announcement.sequence += 1;
            sleep(HEARTBEAT).await;
        }
    }

    /// Tells that no new work is wanted, and waits until the node has none in flight.
    ///
    /// The node may be killed once it knows; the next one says that nobody leaves,
    /// and is told again.
    ///
    /// `told_at` hears each time that a node has answered the farewell.
    pub async fn leave<F>(&self, farewell: LeaveRequest, limit: Duration, mut told_at: F)
    where
        F: FnMut(),
    {
        let end = Instant::now() + limit;
        let mut told = false;
        while Instant::now() < end {
            if told {
                match self.read_status().await {
                    Some(status) if is_done(status) => return,
                    Some(status) => told = status.leaving,
                    None => {}
                }
            } else {
                told = self.call(Method::DELETE, encode(&farewell)).await.is_some();
                if told {
                    told_at();
                }
            }
            sleep(DRAIN_INTERVAL).await;
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
        let answer = async {
            let response = self.client.request(request).await.ok()?;
            let success = response.status().is_success();
            let body = response.into_body().collect().await.ok()?;
            success.then(|| body.to_bytes())
        };
        timeout(ANSWER_TIMEOUT, answer).await.ok()?
    }
}

fn encode<T>(word: &T) -> Bytes
where
    T: Serialize,
{
    serde_json::to_vec(word).unwrap_or_default().into()
}

fn is_done(status: Status) -> bool {
    status.leaving && status.in_flight == 0
}
