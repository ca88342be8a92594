//! `drain`: takes a VM out of service, or back into service.

use crate::error::Error;
use crate::exit::Exit;
use crate::fetch::{fetch, make_request};
use crate::session::{Session, partition_replies};
use http::Method;
use status::Status;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval at which the number of calls in flight is read while waiting for these calls to end.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Ends the drain of a VM.
pub(crate) async fn end_drain(session: &Session, vm: &str) -> Result<Exit, Error> {
    let address = find_address(session, vm).await?;
    let token = session.read_token()?;
    let request = make_request(address, Method::DELETE, "/v1/drain", Some(&token))?;
    let status = fetch::<Status>(address, request, session.timeout).await?;
    if session.json {
        session.print_json(&status);
    } else {
        println!("{} is drained no longer", status.node);
    }
    Ok(Exit::Done)
}

pub(crate) async fn drain_vm(session: &Session, vm: &str, wait: Duration) -> Result<Exit, Error> {
    let address = find_address(session, vm).await?;
    let token = session.read_token()?;
    let request = make_request(address, Method::POST, "/v1/drain", Some(&token))?;
    let mut status = fetch::<Status>(address, request, session.timeout).await?;
    let deadline = Instant::now() + wait;
    while status.in_flight > 0 && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        let request = make_request(address, Method::GET, "/v1/status", None)?;
        status = fetch(address, request, session.timeout).await?;
    }
    if session.json {
        session.print_json(&status);
    } else {
        println!(
            "{} takes no new calls; {} in flight",
            status.node, status.in_flight
        );
    }
    let has_timed_out = !wait.is_zero() && status.in_flight > 0;
    Ok(if has_timed_out {
        Exit::Failed
    } else {
        Exit::Done
    })
}

/// Returns the address of a node's operators' listener; `vm` is this address or the node's name.
async fn find_address(session: &Session, vm: &str) -> Result<SocketAddr, Error> {
    if let Ok(address) = vm.parse() {
        return Ok(address);
    }
    let replies = session.query_nodes::<Status>("/v1/status").await?;
    let (answers, _) = partition_replies(replies);
    answers
        .into_iter()
        .find(|(_, status)| status.node == vm)
        .map(|(address, _)| address)
        .ok_or_else(|| Error::NoSuchNode(vm.to_owned()))
}
