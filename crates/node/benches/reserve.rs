//! Measures reservations against a stand-in platform with the specified latency and rate limits.
//!
//! First prints the memory that the table of a full shard takes, and the time to fill it. Then
//! makes keyed calls at several rates and prints, for each rate, the latency of reservations, the
//! number of refusals and the load on the platform: with group commit and, as the baseline, with
//! one object per key.

use call::Id;
use call::reserve::{Claim, Entry, Fingerprint, Holder, Key, KeyTable, MAX_SHARD_KEYS};
use clock::System;
use config::{Endpoint, Mesh, Service, State, Version, View};
use node::nodes::make_hello;
use node::reserve::{ClaimResult, Handle};
use node::shared::Shared;
use platform::Client;
use platform::client::Limits;
use settings::node::Settings;
use standin::platform::{RateLimits, serve};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::memory::Faults;
use store::{MemoryStore, Store};
use tokio::net::TcpListener;
use wire::{LinkKind, codec};

/// Offered rates of keyed calls, per second. The last rate is a thousandth of all calls in a fleet
/// of the design size.
const OFFERED_RATES: [u32; 4] = [20, 100, 400, 1_100];

/// Duration of the run at each rate.
const RUN_DURATION: Duration = Duration::from_secs(8);

/// Time that the platform takes for a call, in milliseconds.
const PLATFORM_DELAY_MS: u64 = 2;

/// Number of nodes that the calls are distributed over.
const NODE_COUNT: u32 = 3;

#[tokio::main]
async fn main() {
    measure_table();
    println!("way      offered_s granted refused p50_ms p99_ms writes_s reads_s");
    for offered in OFFERED_RATES {
        let platform = spawn_platform().await;
        let nodes = spawn_nodes(platform.1).await;
        let claims = run_open_loop(offered, |number| {
            let node = nodes[(number % NODE_COUNT) as usize].clone();
            async move {
                let call = Id {
                    origin: 1,
                    sequence: number.into(),
                };
                let text = number.to_string();
                let fingerprint = Fingerprint::of("POST", &text, b"");
                let key = Key::of("claims", &text);
                let claimed = node.claim(key, fingerprint, call, RUN_DURATION).await;
                if let ClaimResult::Granted(grant) = claimed {
                    node.complete(grant, None);
                    return true;
                }
                false
            }
        });
        print_row("journal", offered, &platform.0, claims.await);

        let platform = spawn_platform().await;
        let client = Client::open(platform.1, Limits::default());
        let claims = run_open_loop(offered, |number| {
            let client = client.clone();
            async move {
                let name = format!("keys/{number}");
                client.create(&name, &serde_json::json!(1)).await.is_ok()
            }
        });
        print_row("per_key", offered, &platform.0, claims.await);
    }
}

/// Fills the table of a shard and prints the memory that the table takes and the time to fill it.
fn measure_table() {
    let before = read_resident_bytes();
    let start = Instant::now();
    let mut table = KeyTable::default();
    for number in 0..MAX_SHARD_KEYS as u64 {
        let call = Id {
            origin: number,
            sequence: number,
        };
        let claim = Claim {
            key: Key::of("claims", &number.to_string()),
            fingerprint: Fingerprint::of("POST", "/", b""),
            holder: Holder { call, attempt: 0 },
        };
        table.apply(&Entry::Reserve(claim), number);
    }
    let micros = start.elapsed().as_micros();
    let bytes = read_resident_bytes().saturating_sub(before);
    println!(
        "table    keys {} bytes {bytes} micros {micros}",
        table.len()
    );
}

/// Returns the resident memory of this process, in bytes.
fn read_resident_bytes() -> usize {
    /// Page size in bytes on the machines that run this benchmark.
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

async fn spawn_platform() -> (MemoryStore, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let memory = MemoryStore::new();
    memory.set_faults(Faults {
        slow_ms: PLATFORM_DELAY_MS,
        ..Faults::default()
    });
    tokio::spawn(serve(listener, memory.clone(), RateLimits::default()));
    (memory, address)
}

async fn spawn_nodes(platform: SocketAddr) -> Vec<Handle<System>> {
    let mut handles = Vec::new();
    let mut members = Vec::new();
    for number in 0..NODE_COUNT {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let text = format!(
            "[node]\nname = n{number}\nzone = a\nregion = r\n\
             [listen]\ncallers = 127.0.0.1:1\nbackend = 127.0.0.1:2\nnodes = {address}\noperators = 127.0.0.1:4\n\
             [fleet]\nplatform = {platform}\n[operators]\ntoken = 0123456789abcdef\n"
        );
        let settings = Settings::parse(&text, "bench").expect("settings");
        let shared = Shared::new(settings, number.into(), System);
        let store = Client::open(platform, Limits::default());
        let handle = node::reserve::spawn(Arc::clone(&shared), &store);
        tokio::spawn(accept(listener, Arc::clone(&shared), handle.clone()));
        handles.push(handle);
        members.push((shared, address));
    }
    let endpoints: Vec<_> = members.iter().map(make_endpoint).collect();
    let mut mesh = Mesh::default();
    mesh.services.insert("claims".into(), Service::default());
    for (shared, _) in &members {
        let view = View::build(Version(1), &mesh, &endpoints);
        shared.view.store(Arc::new(view));
    }
    handles
}

fn make_endpoint((shared, address): &(Arc<Shared<System>>, SocketAddr)) -> Endpoint {
    Endpoint {
        node: shared.settings.name.clone(),
        incarnation: 1,
        started_ms: 1,
        sequence: 1,
        service: "claims".into(),
        version: "".into(),
        zone: "a".into(),
        region: "r".into(),
        address: *address,
        slots: 6,
        process: 0,
        cold_ms: None,
        state: State::Serving,
        farewells: Vec::new(),
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared<System>>, reserve: Handle<System>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        stream.set_nodelay(true).expect("an open socket");
        let hello = make_hello(&shared, LinkKind::Reserve);
        if codec::read_hello(&mut stream).await.is_ok()
            && codec::write(&mut stream, &hello).await.is_ok()
        {
            reserve.accept(stream);
        }
    }
}

/// Starts `offered` claims per second at a steady rate, regardless of how long each claim takes
/// (open loop).
///
/// Returns the sorted latencies of the granted claims and the number of refused claims.
async fn run_open_loop<F, R>(offered: u32, claim: F) -> (Vec<Duration>, u32)
where
    F: Fn(u32) -> R,
    R: Future<Output = bool> + Send + 'static,
{
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / offered);
    let end = Instant::now() + RUN_DURATION;
    let mut claims = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        ticks.tick().await;
        number += 1;
        let claim = claim(number);
        claims.push(tokio::spawn(async move {
            let start = Instant::now();
            claim.await.then(|| start.elapsed())
        }));
    }
    let mut granted = Vec::new();
    let mut refused = 0;
    for claim in claims {
        match claim.await.expect("a claim ends") {
            Some(time) => granted.push(time),
            None => refused += 1,
        }
    }
    granted.sort_unstable();
    (granted, refused)
}

fn print_row(
    method: &str,
    offered: u32,
    platform: &MemoryStore,
    (granted, refused): (Vec<Duration>, u32),
) {
    let percentile = |percent: usize| {
        let last = granted.len().saturating_sub(1);
        let time = granted.get(last * percent / 100);
        time.map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
    };
    let counts = platform.request_counts();
    let seconds = RUN_DURATION.as_secs_f64();
    let rate = |calls: u64| f64::from(u32::try_from(calls).unwrap_or(u32::MAX)) / seconds;
    println!(
        "{method:8} {offered:9} {:7} {refused:7} {:6.1} {:6.1} {:8.1} {:7.1}",
        granted.len(),
        percentile(50),
        percentile(99),
        rate(counts.writes),
        rate(counts.reads),
    );
}
