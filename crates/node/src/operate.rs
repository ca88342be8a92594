//! The listener for operators.
//!
//! `GET /metrics`, `/healthz`, `/readyz`, `/v1/status`, `/v1/burn` and `/v1/teams`
//! need no authorization. `POST /v1/drain` takes the VM out of service and `DELETE /v1/drain` brings it
//! back; both require the token. A drain outlives the node's process: it holds until it is ended.

use crate::announce::wall_ms;
use crate::listener::{
    self, Handle, HttpResponse, Limits, build_response, error_response, json_response,
};
use crate::metrics::GaugeValues;
use crate::process::read_usage;
use crate::shared::Shared;
use crate::stop::read_waits;
use clock::Clock;
use config::{Farewell, Version};
use http::{Method, Request, StatusCode, header};
use hyper::body::Incoming;
use log::{info, warn};
use status::{Backend, Status, TeamUsage};
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;

/// Media type of the text format of `OpenMetrics`.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Name of this listener in settings, metrics and logs.
const LISTENER: &str = "operators";

/// Serves operators on `tcp`.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn spawn<C>(tcp: TcpListener, shared: Arc<Shared<C>>) -> io::Result<Handle>
where
    C: Clock,
{
    spawn_with_limits(tcp, shared, Limits::default())
}

/// Serves operators as [`spawn`] does, with the given limits.
///
/// # Errors
///
/// Fails if the listener has no local address.
pub fn spawn_with_limits<C>(
    tcp: TcpListener,
    shared: Arc<Shared<C>>,
    limits: Limits,
) -> io::Result<Handle>
where
    C: Clock,
{
    let bad_requests = shared.metrics.bad_requests(LISTENER);
    listener::spawn(tcp, limits, bad_requests, move |request| {
        let shared = Arc::clone(&shared);
        async move { handle(&request, &shared).await }
    })
}

async fn handle<C>(request: &Request<Incoming>, shared: &Shared<C>) -> HttpResponse
where
    C: Clock,
{
    let path = request.uri().path();
    let (is_expected, expected) = if path == "/v1/drain" {
        let is_expected = [Method::POST, Method::DELETE].contains(request.method());
        (is_expected, "POST or DELETE")
    } else {
        (*request.method() == Method::GET, "GET")
    };
    let is_known = matches!(
        path,
        "/metrics" | "/healthz" | "/readyz" | "/v1/status" | "/v1/burn" | "/v1/teams" | "/v1/drain"
    );
    if is_known && !is_expected {
        let message = format!("method not allowed; use {expected}");
        return error_response(StatusCode::METHOD_NOT_ALLOWED, &message);
    }
    match path {
        "/metrics" => {
            let text = shared.metrics.render(&read_gauges(shared));
            build_response(StatusCode::OK, METRICS_TYPE, text)
        }
        "/healthz" => build_response(StatusCode::OK, "text/plain", "alive\n"),
        "/readyz" => respond_readiness(shared),
        "/v1/status" => json_response(StatusCode::OK, &read_status(shared)),
        "/v1/burn" => json_response(StatusCode::OK, &read_burn(shared)),
        "/v1/teams" => json_response(StatusCode::OK, &read_team_usage(shared)),
        "/v1/drain" => change_drain(request, shared).await,
        _ => error_response(StatusCode::NOT_FOUND, "no such path"),
    }
}

fn respond_readiness<C>(shared: &Shared<C>) -> HttpResponse
where
    C: Clock,
{
    let reasons = find_unready_reasons(shared);
    if reasons.is_empty() {
        return build_response(StatusCode::OK, "text/plain", "ready\n");
    }
    let text = format!("{}\n", reasons.join("\n"));
    build_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text)
}

/// Returns the reasons why the node is not ready for calls.
fn find_unready_reasons<C>(shared: &Shared<C>) -> Vec<String>
where
    C: Clock,
{
    let reasons = [
        (
            shared.view.load().version() == Version::ZERO,
            "holds no configuration yet",
        ),
        (
            !shared.callers_listening.load(Ordering::Acquire),
            "listeners do not run yet",
        ),
        (
            *shared.leaving.borrow() || shared.stopping.load(Ordering::Acquire),
            "is leaving",
        ),
    ];
    reasons
        .into_iter()
        .filter(|(applies, _)| *applies)
        .map(|(_, reason)| reason.to_owned())
        .collect()
}

fn read_gauges<C>(shared: &Shared<C>) -> GaugeValues
where
    C: Clock,
{
    let view = shared.view.load();
    let backend_leaves = shared
        .backend
        .borrow()
        .as_ref()
        .is_some_and(|backend| backend.leaving);
    GaugeValues {
        version: view.version().0,
        endpoints: view.endpoints().len(),
        routes: view.routes().len(),
        withheld_routes: view.withheld().len(),
        in_flight: *shared.in_flight.borrow(),
        held_requests: shared.quarantine.count_held(shared.clock.now()),
        ready: find_unready_reasons(shared).is_empty(),
        leaving: backend_leaves || *shared.leaving.borrow(),
        waits: read_waits(shared),
        process: read_usage(),
    }
}

fn read_status<C>(shared: &Shared<C>) -> Status
where
    C: Clock,
{
    let view = shared.view.load();
    let settings = &shared.settings;
    let backend = shared.backend.borrow().as_ref().map(|backend| Backend {
        service: backend.service.clone(),
        address: backend.address,
        slots: backend.slots,
        leaving: backend.leaving,
    });
    let endpoints = view
        .services()
        .iter()
        .map(|entry| (entry.name.clone(), entry.endpoints.len()))
        .collect();
    Status {
        node: settings.name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        incarnation: shared.incarnation,
        uptime_s: shared.metrics.elapsed(shared.clock.now()).as_secs(),
        version: view.version(),
        not_ready: find_unready_reasons(shared),
        leaving: *shared.leaving.borrow(),
        in_flight: *shared.in_flight.borrow(),
        waits: read_waits(shared),
        backend,
        endpoints,
        withheld_routes: view
            .withheld()
            .iter()
            .map(|entry| entry.prefix.clone())
            .collect(),
        distribution: status::Distribution::clone(&shared.distribution.load()),
    }
}

fn read_burn<C>(shared: &Shared<C>) -> burn::NodeCounts
where
    C: Clock,
{
    let now = shared.clock.now();
    let view = shared.view.load();
    let mut services = shared.metrics.tallies(now);
    for (name, service) in &mut services {
        if let Some(key) = view.find_service(name) {
            service.objective = view.service(key).service.objective;
        }
    }
    burn::NodeCounts {
        node: shared.settings.name.clone(),
        version: view.version(),
        counted_s: shared.metrics.elapsed(now).as_secs(),
        services,
    }
}

/// Drains the VM or ends its drain, and responds once this is recorded.
///
/// A drained VM gets no calls as soon as the request has arrived, while the end of a drain takes effect
/// only when it is recorded: without the record, the next process would be drained again.
async fn change_drain<C>(request: &Request<Incoming>, shared: &Shared<C>) -> HttpResponse
where
    C: Clock,
{
    if !is_authorized(request, shared.settings.token.0.as_deref()) {
        warn!("drain_unauthorized");
        return error_response(
            StatusCode::UNAUTHORIZED,
            "unauthorized; use the header Authorization: Bearer TOKEN",
        );
    }
    let now_ms = wall_ms(&shared.clock);
    let is_end = *request.method() == Method::DELETE;
    let record = if is_end {
        Farewell::drain_end(now_ms)
    } else {
        if !shared.leaving.send_replace(true) {
            info!("drain_asked");
        }
        Farewell::drain(now_ms)
    };
    if !shared.farewells.are_received(record).await {
        return error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the platform has not recorded the drain or its end; repeat the request",
        );
    }
    let is_stopping = shared.stopping.load(Ordering::Acquire);
    if is_end && !is_stopping && shared.leaving.send_replace(false) {
        info!("drain_ended");
    }
    json_response(StatusCode::OK, &read_status(shared))
}

/// Returns whether a request has the token in its `Authorization` header.
///
/// The comparison takes constant time, so that the token can't be guessed byte
/// by byte from the response time.
fn is_authorized(request: &Request<Incoming>, token: Option<&str>) -> bool {
    let Some(token) = token else {
        return false;
    };
    let given = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    given.is_some_and(|given| given.ct_eq(token.as_bytes()).into())
}

fn read_team_usage<C>(shared: &Shared<C>) -> TeamUsage
where
    C: Clock,
{
    let uptime = shared.metrics.elapsed(shared.clock.now());
    TeamUsage {
        node: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        uptime_ms: u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX),
        teams: shared.team_usage.read(&shared.view.load()),
    }
}
