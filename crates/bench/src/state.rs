//! Measures the memory, CPU time and control bytes that the configuration and endpoints of a large
//! fleet, and their churn, cost one node.
//!
//! The experiment runs one real node and opens links to it. One link, the feeder,
//! acts as a child that sends the endpoints of the whole fleet to the node. Further
//! links act as children to which the node relays these endpoints.

use crate::deployment::{Deployment, VmSpec, put_route};
use crate::error::Error;
use crate::node;
use crate::options;
use crate::proposer::{Proposer, service_name};
use bpaf::{Parser, construct, long};
use config::{Class, Endpoint, Repeat, State, Version};
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Mutex;
use tokio::time::MissedTickBehavior;
use wire::control::{Frame, Heartbeat, MAX_ENDPOINTS};
use wire::{Hello, LinkKind, PROTOCOL_VERSION, codec};

/// Configuration versions per day.
const VERSIONS_PER_DAY: f64 = 3_700.0;

/// Changes of endpoints per day: 4,800 VMs restart or are replaced, each with a leave request and a
/// new announcement, and some VMs are lost.
const EVENTS_PER_DAY: f64 = 10_000.0;

/// Interval at which an endpoint is announced again, in seconds.
const REFRESH_INTERVAL_S: f64 = 21_600.0;

const SECONDS_PER_DAY: f64 = 86_400.0;

/// Time for the node to apply the configuration and the endpoints after receiving them.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Time limit for the configuration and the endpoints to arrive at the node, and for a child to be
/// admitted.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which the node is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the feeder sends the announcements that have become due.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of simulated children besides the feeder: the node is a root, which admits
/// sixteen children, and the feeder is one of them.
const MAX_CHILDREN: usize = 15;

/// Options of the experiment.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of services, and of routes, in the configuration.
    pub services: usize,
    /// Number of endpoints in the fleet.
    pub endpoints: usize,
    /// Number of children that the node relays to, besides the feeder, the simulated child that
    /// sends the endpoints to the node.
    pub children: usize,
    /// Rate of the churn, as a multiple of the churn in a fleet of 14,000 nodes.
    pub churn_factor: f64,
    /// Duration of the measurement.
    pub duration: Duration,
}

/// Results of the experiment.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Report {
    /// Number of services in the configuration.
    pub services: usize,
    /// Number of endpoints that the node knows.
    pub endpoints: usize,
    /// Number of children that the node relays to, besides the feeder, the simulated child that
    /// sends the endpoints to the node.
    pub children: usize,
    /// Rate of the churn, as a multiple of the churn in a fleet of 14,000 nodes.
    #[serde(rename = "speed")]
    pub churn_factor: f64,
    /// Versions accepted during the measurement.
    pub versions: usize,
    /// Announcements that the feeder sent during the measurement.
    pub announcements: u32,
    /// Resident memory of the node before the configuration and the endpoints arrived, in MB.
    pub node_rss_empty_mb: f64,
    /// Resident memory of the node at the end, in MB.
    pub node_rss_mb: f64,
    /// CPU use of the node, in per cent of a core.
    pub node_cpu_pct: f64,
    /// Control bytes per second that the node sent and received.
    pub control_bytes_s: f64,
}

/// Parses the options from the command line.
#[must_use]
pub fn parse() -> impl Parser<Options> {
    let services = options::parse_services();
    let endpoints = long("endpoints")
        .help("Endpoints of the fleet")
        .argument::<usize>("COUNT")
        .guard(
            |endpoints| (1..=50_000).contains(endpoints),
            "between 1 and 50000",
        )
        .fallback(14_000)
        .display_fallback();
    let children = long("children")
        .help("Children that the node relays to")
        .argument::<usize>("COUNT")
        .guard(
            |children| *children <= MAX_CHILDREN,
            "at most 15: the node is its zone's root",
        )
        .fallback(0)
        .display_fallback();
    let churn_factor = long("speed")
        .help("Times the churn of 14,000 nodes")
        .argument::<f64>("TIMES")
        .fallback(1.0)
        .display_fallback();
    let duration = options::parse_seconds(30);
    construct!(Options {
        services,
        endpoints,
        children,
        churn_factor,
        duration
    })
}

/// Starts the node, sends the configuration and the endpoints of the fleet to it, applies churn and
/// returns what the churn costs.
///
/// # Errors
///
/// When a program can't be started, or the configuration and the endpoints don't arrive in time.
pub async fn run(options: Options) -> Result<Report, Error> {
    let specs = vec![VmSpec::new("vm-0", "zone-1", None)];
    let deployment = Deployment::spawn(specs, &[]).await?;
    let vm = &deployment.vms[0];
    let mut proposer = Proposer::open(deployment.platform_address);
    proposer.propose_services(1).await?;
    wait_until(|| async { Ok(node::read_status(vm).await?.version == proposer.version) }).await?;
    let resident_empty = vm.node.usage()?.resident_bytes;
    proposer.propose_services(options.services).await?;
    let mut links = Vec::new();
    for index in 0..=options.children {
        links.push(connect_child(vm.nodes_address(), index).await?);
    }
    let feeder = Arc::clone(&links[0]);
    let mut endpoints: Vec<_> = (0..options.endpoints)
        .map(|index| make_endpoint(index, options.services))
        .collect();
    for chunk in endpoints.chunks(MAX_ENDPOINTS) {
        let list = chunk.iter().cloned().map(Arc::new).collect();
        send_frame(&feeder, Frame::Endpoints(list)).await?;
    }
    wait_until(|| async {
        let status = node::read_status(vm).await?;
        let known = status.endpoints.values().sum::<usize>();
        Ok(known == options.endpoints && status.version == proposer.version)
    })
    .await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (before, metrics_before) = (vm.node.usage()?, node::read_metrics(vm).await?);
    let started = Instant::now();
    let announcements = churn(options, &feeder, &mut endpoints, &mut proposer).await?;
    let elapsed = started.elapsed().as_secs_f64();
    let (after, metrics_after) = (vm.node.usage()?, node::read_metrics(vm).await?);
    let cpu_time = after.cpu_time.saturating_sub(before.cpu_time);
    let control_bytes =
        |metrics: &node::Metrics| metrics.control_received() + metrics.control_sent();
    Ok(Report {
        services: options.services,
        endpoints: options.endpoints,
        children: options.children,
        churn_factor: options.churn_factor,
        versions: proposer.proposal_times.len(),
        announcements,
        node_rss_empty_mb: to_mb(resident_empty),
        node_rss_mb: to_mb(after.resident_bytes),
        node_cpu_pct: 100.0 * cpu_time.as_secs_f64() / elapsed,
        control_bytes_s: (control_bytes(&metrics_after) - control_bytes(&metrics_before)) / elapsed,
    })
}

/// Sends announcements and proposes versions for the duration of the measurement, at the rates of a
/// fleet of 14,000 nodes times the churn factor. Returns the number of announcements.
async fn churn(
    options: Options,
    feeder: &Arc<Mutex<OwnedWriteHalf>>,
    endpoints: &mut [Endpoint],
    proposer: &mut Proposer,
) -> Result<u32, Error> {
    let count = f64::from(u32::try_from(endpoints.len()).unwrap_or(u32::MAX));
    let event_rate = EVENTS_PER_DAY / SECONDS_PER_DAY * options.churn_factor;
    let refresh_rate = count / REFRESH_INTERVAL_S * options.churn_factor;
    let version_rate = VERSIONS_PER_DAY / SECONDS_PER_DAY * options.churn_factor;
    let started = Instant::now();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut events, mut refreshes, mut versions) = (0_u32, 0_u32, 0_u32);
    while started.elapsed() < options.duration {
        ticks.tick().await;
        let elapsed = started.elapsed().as_secs_f64();
        while f64::from(events) < event_rate * elapsed {
            // The announcement has a new incarnation under the same name, so that the node has to
            // build a new view.
            let endpoint = pick_endpoint(endpoints, events + refreshes);
            endpoint.incarnation += 1;
            endpoint.started_ms += 1;
            send_frame(feeder, Frame::Endpoints(vec![Arc::new(endpoint.clone())])).await?;
            events += 1;
        }
        while f64::from(refreshes) < refresh_rate * elapsed {
            let endpoint = pick_endpoint(endpoints, events + refreshes);
            endpoint.sequence += 1;
            send_frame(feeder, Frame::Endpoints(vec![Arc::new(endpoint.clone())])).await?;
            refreshes += 1;
        }
        if f64::from(versions) < version_rate * elapsed {
            let index = usize::try_from(versions).unwrap_or(0) % options.services;
            let other = service_name((index + 1) % options.services);
            let prefix = format!("/{}", service_name(index));
            let change = put_route(&prefix, &other, Class::Refresh, Repeat::ByMethod);
            proposer.propose(vec![change]).await?;
            versions += 1;
        }
    }
    Ok(events + refreshes)
}

/// Picks an endpoint so that successive picks are far apart in the list.
fn pick_endpoint(endpoints: &mut [Endpoint], index: u32) -> &mut Endpoint {
    let index = usize::try_from(index).unwrap_or(0) * 7_919 % endpoints.len();
    &mut endpoints[index]
}

fn make_endpoint(index: usize, services: usize) -> Endpoint {
    let address = SocketAddr::from((
        [10, 0, 0, 1],
        u16::try_from(index % 60_000 + 1).unwrap_or(1),
    ));
    Endpoint {
        node: format!("zone-{}-vm-{index}", index % 15).into(),
        incarnation: rand::random(),
        started_ms: 1_790_000_000_000,
        sequence: 1,
        service: service_name(index % services).into(),
        version: "".into(),
        zone: format!("zone-{}", index % 15).into(),
        region: format!("region-{}", index % 4).into(),
        address,
        slots: 6,
        process: 0,
        cold_ms: None,
        state: State::Serving,
        farewells: Vec::new(),
    }
}

/// Joins the node as a child, which answers the node's heartbeats. Returns the sending half of the
/// link.
async fn connect_child(
    address: SocketAddr,
    index: usize,
) -> Result<Arc<Mutex<OwnedWriteHalf>>, Error> {
    let started = Instant::now();
    loop {
        if let Some(link) = try_connect_child(address, index).await? {
            return Ok(link);
        }
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(Error::Timeout(format!(
                "waiting for the node to admit child {index}"
            )));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn try_connect_child(
    address: SocketAddr,
    index: usize,
) -> Result<Option<Arc<Mutex<OwnedWriteHalf>>>, Error> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        node: format!("child-{index}").into(),
        incarnation: rand::random(),
        zone: "zone-1".into(),
        link: LinkKind::Control,
    };
    codec::write(&mut stream, &hello).await?;
    codec::read_hello(&mut stream).await?;
    let join = Frame::Join {
        address: SocketAddr::from(([10, 0, 0, 2], 1)),
        version: Version::ZERO,
    };
    let join = wire::Frame::Control(join);
    codec::write(&mut stream, &join).await?;
    let mut scratch = Vec::new();
    let reply = codec::read(&mut stream, &mut scratch).await?;
    if !matches!(reply, wire::Frame::Control(Frame::Admit { .. })) {
        return Ok(None);
    }
    let (mut source, sink) = stream.into_split();
    let sink = Arc::new(Mutex::new(sink));
    let echo = Arc::clone(&sink);
    tokio::spawn(async move {
        let mut version = Version::ZERO;
        while let Ok(wire::Frame::Control(frame)) = codec::read(&mut source, &mut scratch).await {
            match frame {
                Frame::Step { version: next, .. } => version = next,
                Frame::Chunk(chunk) => version = chunk.version,
                Frame::Heartbeat(heartbeat) => {
                    let heartbeat = Heartbeat {
                        count: heartbeat.count,
                        echo: heartbeat.count,
                        version,
                        is_ready: true,
                        endpoints_checksum: heartbeat.endpoints_checksum,
                        child_capacity: 0,
                        status: None,
                    };
                    if send_frame(&echo, Frame::Heartbeat(heartbeat))
                        .await
                        .is_err()
                    {
                        return;
                    }
                }
                _ => {}
            }
        }
    });
    Ok(Some(sink))
}

async fn send_frame(link: &Mutex<OwnedWriteHalf>, frame: Frame) -> Result<(), Error> {
    let mut buffer = Vec::new();
    codec::encode(&wire::Frame::Control(frame), &mut buffer)?;
    link.lock().await.write_all(&buffer).await?;
    Ok(())
}

async fn wait_until<F, R>(condition: F) -> Result<(), Error>
where
    F: Fn() -> R,
    R: Future<Output = Result<bool, Error>>,
{
    let started = Instant::now();
    while !condition().await.unwrap_or(false) {
        if started.elapsed() > WAIT_TIMEOUT {
            return Err(Error::Timeout("waiting for the state to arrive".to_owned()));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn to_mb(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / f64::from(1 << 20)
}
