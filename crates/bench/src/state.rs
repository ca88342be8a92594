//! What a large fleet's state and churn cost one node: memory, processor time and control bytes.
//!
//! One real node is fed by a link of this tool's, which plays a child that
//! knows the whole fleet, while further links play children that are relayed to.

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

/// Versions a day.
const VERSIONS_A_DAY: f64 = 3_700.0;

/// Announcements a day: 4,800 VMs restart or are replaced, each leaves and
/// comes, and some are lost.
const EVENTS_A_DAY: f64 = 10_000.0;

/// Seconds between two refreshes of one endpoint.
const REFRESH_S: f64 = 21_600.0;

const DAY_S: f64 = 86_400.0;

/// Time for all state to arrive and be served by.
const SETTLE: Duration = Duration::from_secs(5);

/// Longest wait for the state to arrive.
const LIMIT: Duration = Duration::from_secs(30);

/// Time between two looks.
const POLL: Duration = Duration::from_millis(100);

/// Endpoint events taken together in one tick of the feeder.
const TICK: Duration = Duration::from_millis(20);

/// Children that can be played: the node is a root, which takes sixteen, and
/// one link is there for the fleet's state.
const MOST_CHILDREN: usize = 15;

/// What to measure.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Services, and routes, of the configuration.
    pub services: usize,
    /// Endpoints of the fleet.
    pub endpoints: usize,
    /// Children that the node relays to, besides the feeder.
    pub children: usize,
    /// Times the churn of 14,000 nodes.
    pub speed: f64,
    /// How long.
    pub duration: Duration,
}

/// What was measured.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Report {
    /// Services of the configuration.
    pub services: usize,
    /// Endpoints that the node knows.
    pub endpoints: usize,
    /// Children that it relays to, besides the feeder.
    pub children: usize,
    /// Times the churn of 14,000 nodes.
    pub speed: f64,
    /// Versions that came while it was measured.
    pub versions: usize,
    /// Announcements that came while it was measured.
    pub announcements: u32,
    /// Memory before the state came, in MB.
    pub node_rss_empty_mb: f64,
    /// Memory at the end, in MB.
    pub node_rss_mb: f64,
    /// Processor time, in per cent of a core.
    pub node_cpu_pct: f64,
    /// Bytes between nodes, both ways.
    pub control_bytes_s: f64,
}

/// Reads what to measure from the command line.
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
            |children| *children <= MOST_CHILDREN,
            "at most 15: the node is its zone's root",
        )
        .fallback(0)
        .display_fallback();
    let speed = long("speed")
        .help("Times the churn of 14,000 nodes")
        .argument::<f64>("TIMES")
        .fallback(1.0)
        .display_fallback();
    let duration = options::parse_seconds(30);
    construct!(Options {
        services,
        endpoints,
        children,
        speed,
        duration
    })
}

/// Starts the node, fills it and gives what its state costs.
///
/// # Errors
///
/// When a program can't be started or the state doesn't arrive.
pub async fn run(plot: Options) -> Result<Report, Error> {
    let plans = vec![VmSpec::new("vm-0", "zone-1", None)];
    let deployment = Deployment::spawn(plans, &[]).await?;
    let vm = &deployment.vms[0];
    let mut proposer = Proposer::open(deployment.platform_address);
    proposer.propose_services(1).await?;
    wait(|| async { Ok(node::read_status(vm).await?.version == proposer.version) }).await?;
    let empty = vm.node.usage()?.resident_bytes;
    proposer.propose_services(plot.services).await?;
    let mut links = Vec::new();
    for index in 0..=plot.children {
        links.push(join(vm.nodes_address(), index).await?);
    }
    let feeder = Arc::clone(&links[0]);
    let mut endpoints: Vec<_> = (0..plot.endpoints)
        .map(|index| make_endpoint(index, plot.services))
        .collect();
    for part in endpoints.chunks(MAX_ENDPOINTS) {
        let list = part.iter().cloned().map(Arc::new).collect();
        send(&feeder, Frame::Endpoints(list)).await?;
    }
    wait(|| async {
        let status = node::read_status(vm).await?;
        let known = status.endpoints.values().sum::<usize>();
        Ok(known == plot.endpoints && status.version == proposer.version)
    })
    .await?;
    tokio::time::sleep(SETTLE).await;
    let (before, bytes) = (vm.node.usage()?, node::read_metrics(vm).await?);
    let begun = Instant::now();
    let announcements = churn(plot, &feeder, &mut endpoints, &mut proposer).await?;
    let elapsed = begun.elapsed().as_secs_f64();
    let (after, total) = (vm.node.usage()?, node::read_metrics(vm).await?);
    let processor = after.cpu_time.saturating_sub(before.cpu_time);
    let sum = |metrics: &node::Metrics| metrics.control_received() + metrics.control_sent();
    Ok(Report {
        services: plot.services,
        endpoints: plot.endpoints,
        children: plot.children,
        speed: plot.speed,
        versions: proposer.proposed.len(),
        announcements,
        node_rss_empty_mb: to_mb(empty),
        node_rss_mb: to_mb(after.resident_bytes),
        node_cpu_pct: 100.0 * processor.as_secs_f64() / elapsed,
        control_bytes_s: (sum(&total) - sum(&bytes)) / elapsed,
    })
}

/// Sends announcements and proposes versions at the rates of 14,000 nodes times the speed.
async fn churn(
    plot: Options,
    feeder: &Arc<Mutex<OwnedWriteHalf>>,
    endpoints: &mut [Endpoint],
    proposer: &mut Proposer,
) -> Result<u32, Error> {
    let count = f64::from(u32::try_from(endpoints.len()).unwrap_or(u32::MAX));
    let event_rate = EVENTS_A_DAY / DAY_S * plot.speed;
    let refresh_rate = count / REFRESH_S * plot.speed;
    let version_rate = VERSIONS_A_DAY / DAY_S * plot.speed;
    let begun = Instant::now();
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut events, mut refreshes, mut versions) = (0_u32, 0_u32, 0_u32);
    while begun.elapsed() < plot.duration {
        ticks.tick().await;
        let elapsed = begun.elapsed().as_secs_f64();
        while f64::from(events) < event_rate * elapsed {
            // A VM that is replaced under its name: a view has to be made.
            let endpoint = pick(endpoints, events + refreshes);
            endpoint.incarnation += 1;
            endpoint.started_ms += 1;
            send(feeder, Frame::Endpoints(vec![Arc::new(endpoint.clone())])).await?;
            events += 1;
        }
        while f64::from(refreshes) < refresh_rate * elapsed {
            let endpoint = pick(endpoints, events + refreshes);
            endpoint.sequence += 1;
            send(feeder, Frame::Endpoints(vec![Arc::new(endpoint.clone())])).await?;
            refreshes += 1;
        }
        if f64::from(versions) < version_rate * elapsed {
            let index = usize::try_from(versions).unwrap_or(0) % plot.services;
            let other = service_name((index + 1) % plot.services);
            let prefix = format!("/{}", service_name(index));
            let change = put_route(&prefix, &other, Class::Refresh, Repeat::ByMethod);
            proposer.propose(vec![change]).await?;
            versions += 1;
        }
    }
    Ok(events + refreshes)
}

/// Gives an endpoint far from the ones before.
fn pick(endpoints: &mut [Endpoint], index: u32) -> &mut Endpoint {
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
    }
}

/// Joins the node as a child that answers its beats.
async fn join(address: SocketAddr, index: usize) -> Result<Arc<Mutex<OwnedWriteHalf>>, Error> {
    let begun = Instant::now();
    loop {
        if let Some(link) = try_join(address, index).await? {
            return Ok(link);
        }
        if begun.elapsed() > LIMIT {
            return Err(Error::Timeout(format!("child {index} to be taken")));
        }
        tokio::time::sleep(POLL).await;
    }
}

async fn try_join(
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
                Frame::Heartbeat(beat) => {
                    let beat = Heartbeat {
                        count: beat.count,
                        echo: beat.count,
                        version,
                        is_ready: true,
                        endpoints_checksum: beat.endpoints_checksum,
                        child_capacity: 0,
                        status: None,
                    };
                    if send(&echo, Frame::Heartbeat(beat)).await.is_err() {
                        return;
                    }
                }
                _ => {}
            }
        }
    });
    Ok(Some(sink))
}

async fn send(link: &Mutex<OwnedWriteHalf>, frame: Frame) -> Result<(), Error> {
    let mut buffer = Vec::new();
    codec::encode(&wire::Frame::Control(frame), &mut buffer)?;
    link.lock().await.write_all(&buffer).await?;
    Ok(())
}

async fn wait<F, R>(is_there: F) -> Result<(), Error>
where
    F: Fn() -> R,
    R: Future<Output = Result<bool, Error>>,
{
    let begun = Instant::now();
    while !is_there().await.unwrap_or(false) {
        if begun.elapsed() > LIMIT {
            return Err(Error::Timeout("the state to arrive".to_owned()));
        }
        tokio::time::sleep(POLL).await;
    }
    Ok(())
}

fn to_mb(bytes: u64) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / f64::from(1 << 20)
}
