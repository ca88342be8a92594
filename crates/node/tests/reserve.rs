//! Reservations of idempotency keys: only one call per key runs, whichever node the key is claimed
//! at.

use bytes::Bytes;
use call::Id;
use call::reserve::{Answer, Claim, Fingerprint, Holder, Key, MAX_SHARD_KEYS, Reply};
use clock::{Clock, Manual, System};
use config::{Endpoint, Mesh, Service, State, Version, View};
use node::nodes::make_hello;
use node::reserve::{ClaimResult, Grant, Handle};
use node::shared::Shared;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use settings::node::Settings;
use standin::forward::Forwarder;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use store::MemoryStore;
use store::memory::Faults;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use wire::{LinkKind, codec};

const TIMEOUT: Duration = Duration::from_secs(5);

/// The parts of a node that reservations need.
struct Node<C = System>
where
    C: Clock,
{
    shared: Arc<Shared<C>>,
    reserve: Handle<C>,
    forwarder: Forwarder,
    listener: JoinHandle<()>,
    calls: AtomicU64,
}

async fn spawn_node(name: &str, store: &MemoryStore) -> Node {
    spawn_node_with(name, store, System).await
}

async fn spawn_node_with<C>(name: &str, store: &MemoryStore, clock: C) -> Node<C>
where
    C: Clock,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let text = format!(
        "[node]\nname = {name}\nzone = kl-a\nregion = kl\n\
         [listen]\ncallers = 127.0.0.1:1\nbackend = 127.0.0.1:2\nnodes = {address}\noperators = 127.0.0.1:4\n\
         [fleet]\nplatform = 127.0.0.1:5\n[operators]\ntoken = 0123456789abcdef\n"
    );
    let settings = Settings::parse(&text, "test").unwrap();
    let shared = Shared::new(settings, u64::from(address.port()), clock);
    let reserve = node::reserve::spawn(Arc::clone(&shared), store);
    let listener = tokio::spawn(accept(listener, Arc::clone(&shared), reserve.clone()));
    Node {
        shared,
        reserve,
        forwarder: Forwarder::spawn(address).await.unwrap(),
        listener,
        calls: AtomicU64::new(0),
    }
}

async fn accept<C>(listener: TcpListener, shared: Arc<Shared<C>>, reserve: Handle<C>)
where
    C: Clock,
{
    while let Ok((mut stream, _)) = listener.accept().await {
        if codec::read_hello(&mut stream).await.is_ok() {
            let hello = make_hello(&shared, LinkKind::Reserve);
            codec::write(&mut stream, &hello).await.unwrap();
            reserve.accept(stream);
        }
    }
}

impl<C> Node<C>
where
    C: Clock,
{
    fn endpoint(&self) -> Endpoint {
        Endpoint {
            node: self.shared.settings.name.clone(),
            incarnation: self.shared.incarnation,
            started_ms: 1,
            sequence: 1,
            service: "claims".into(),
            version: "".into(),
            zone: "kl-a".into(),
            region: "kl".into(),
            address: self.forwarder.address(),
            slots: 6,
            process: 0,
            cold_ms: None,
            state: State::Serving,
            farewells: Vec::new(),
        }
    }

    /// Gives the node a view with `endpoints`, which determine the shards' owners.
    fn set_endpoints(&self, endpoints: &[Endpoint]) {
        let mut mesh = Mesh::default();
        mesh.services.insert("claims".into(), Service::default());
        let view = View::build(Version(1), &mesh, endpoints);
        self.shared.view.store(Arc::new(view));
    }

    async fn claim(&self, key: &str) -> ClaimResult {
        let call = Id {
            origin: self.shared.incarnation,
            sequence: self.calls.fetch_add(1, Ordering::Relaxed),
        };
        let fingerprint = Fingerprint::of("POST", key, b"");
        let key = Key::of("claims", key);
        self.reserve.claim(key, fingerprint, call, TIMEOUT).await
    }
}

/// Starts three nodes that agree on which node owns which shard.
async fn spawn_fleet(store: &MemoryStore) -> Vec<Node> {
    let mut fleet = Vec::new();
    for name in ["first", "second", "third"] {
        fleet.push(spawn_node(name, store).await);
    }
    let endpoints: Vec<_> = fleet.iter().map(Node::endpoint).collect();
    for node in &fleet {
        node.set_endpoints(&endpoints);
    }
    fleet
}

fn expect_grant(result: ClaimResult) -> Grant {
    match result {
        ClaimResult::Granted(grant) => grant,
        ClaimResult::NotGranted(reply) => panic!("{reply:?}"),
    }
}

fn stored_answer() -> Answer {
    Answer {
        status: 201,
        headers: Vec::new(),
        body: Bytes::from_static(b"booked"),
    }
}

/// Repeats a claim for as long as `should_repeat` accepts the reply.
async fn claim_while<C>(node: &Node<C>, key: &str, should_repeat: fn(&Reply) -> bool) -> ClaimResult
where
    C: Clock,
{
    loop {
        match node.claim(key).await {
            ClaimResult::NotGranted(reply) if should_repeat(&reply) => {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            result => return result,
        }
    }
}

// A client loses the answer to a call and repeats the call at another node. The call must not run
// twice: the repeat gets the answer of the first call, or "may have run" as long as that answer is
// not known.
#[tokio::test]
async fn repeat_at_other_node() {
    let fleet = spawn_fleet(&MemoryStore::new()).await;
    for key in ["k1", "k2", "k3", "k4", "k5", "k6"] {
        let grant = expect_grant(fleet[0].claim(key).await);
        for node in &fleet {
            assert_eq!(
                node.claim(key).await,
                ClaimResult::NotGranted(Reply::Unsettled)
            );
        }
        fleet[0].reserve.complete(grant, Some(stored_answer()));
        let unsettled = |reply: &Reply| *reply == Reply::Unsettled;
        let result = claim_while(&fleet[1], key, unsettled).await;
        assert_eq!(
            result,
            ClaimResult::NotGranted(Reply::Known(Arc::new(stored_answer())))
        );
    }
}

/// Keys whose shards have different owners.
const KEYS: [&str; 6] = ["k1", "k2", "k3", "k4", "k5", "k6"];

/// A caller that is told "not run" repeats its call at once, at another node, where the key must be
/// free.
#[tokio::test]
async fn released_key() {
    let fleet = spawn_fleet(&MemoryStore::new()).await;
    for key in KEYS {
        let grant = expect_grant(fleet[0].claim(key).await);
        fleet[0].reserve.release(grant, TIMEOUT).await;
        let _grant = expect_grant(fleet[1].claim(key).await);
    }
}

/// The owner of a key receives a release or an answer and ends before it writes it.
#[tokio::test]
async fn owner_ends_before_record() {
    let fleet = spawn_fleet(&MemoryStore::new()).await;
    let mut grants = Vec::new();
    for key in KEYS {
        let released = expect_grant(fleet[0].claim(key).await);
        let completed = expect_grant(fleet[0].claim(&format!("{key}-done")).await);
        grants.push((key, released, completed));
    }
    for node in &fleet[1..] {
        node.forwarder.stall_connections();
    }
    for (_, released, completed) in &grants {
        fleet[0].reserve.complete(*completed, Some(stored_answer()));
        fleet[0].reserve.release(*released, TIMEOUT).await;
    }
    tokio::time::sleep(TIMEOUT).await;
    for (key, ..) in grants {
        let _grant = expect_grant(fleet[2].claim(key).await);
        assert_eq!(
            fleet[2].claim(&format!("{key}-done")).await,
            ClaimResult::NotGranted(Reply::Known(Arc::new(stored_answer())))
        );
    }
}

/// A node stops, and owners have not written the outcomes of its calls yet.
#[tokio::test]
async fn flush_without_owners() {
    let memory = MemoryStore::new();
    let fleet = spawn_fleet(&memory).await;
    let mut grants = Vec::new();
    for key in KEYS {
        grants.push(expect_grant(fleet[0].claim(key).await));
    }
    for node in &fleet[1..] {
        node.forwarder.stall_connections();
    }
    for grant in grants {
        fleet[0].reserve.complete(grant, Some(stored_answer()));
    }
    fleet[0].reserve.flush(Duration::from_secs(1)).await;
    let successor = spawn_node("successor", &memory).await;
    for key in KEYS {
        assert_eq!(
            successor.claim(key).await,
            ClaimResult::NotGranted(Reply::Known(Arc::new(stored_answer())))
        );
    }
}

// A node stops right after a call has run. The outcome of the call must be written before the node
// exits. Otherwise the caller's repeat gets "may have run" for a day.
#[tokio::test(start_paused = true)]
async fn flush_at_stop() {
    let memory = MemoryStore::new();
    let node = spawn_node("own", &memory).await;
    let keys = ["k1", "k2", "k3", "k4", "k5", "k6"];
    for key in keys {
        let grant = expect_grant(node.claim(key).await);
        node.reserve.complete(grant, Some(stored_answer()));
    }
    node.reserve.flush(TIMEOUT).await;
    let successor = spawn_node("successor", &memory).await;
    for key in keys {
        let result = successor.claim(key).await;
        assert_eq!(
            result,
            ClaimResult::NotGranted(Reply::Known(Arc::new(stored_answer())))
        );
    }
}

#[tokio::test(start_paused = true)]
async fn expired_key() {
    let memory = MemoryStore::new();
    let clock = Manual::new();
    let node = spawn_node_with("own", &memory, clock.clone()).await;
    let grant = expect_grant(node.claim("k1").await);
    node.reserve.complete(grant, Some(stored_answer()));
    node.reserve.flush(TIMEOUT).await;
    clock.advance(Duration::from_hours(23));
    // Expired keys are removed when the next record is written. The claims of other keys cause a
    // record in each shard.
    for number in 0..64 {
        let _grant = expect_grant(node.claim(&format!("a{number}")).await);
    }
    let known = ClaimResult::NotGranted(Reply::Known(Arc::new(stored_answer())));
    assert_eq!(node.claim("k1").await, known);
    let successor = spawn_node_with("successor", &memory, clock.clone()).await;
    clock.advance(Duration::from_hours(2));
    for number in 0..64 {
        let _grant = expect_grant(successor.claim(&format!("b{number}")).await);
    }
    // The successor has known the key for less than a day.
    assert_eq!(successor.claim("k1").await, known);
    for number in 0..64 {
        let _grant = expect_grant(node.claim(&format!("c{number}")).await);
    }
    let _grant = expect_grant(node.claim("k1").await);
}

// A shard is full. New keys must be refused, since the early removal of other keys might let their
// calls run twice. Once keys are a quarter of an hour old, they are removed, so that new keys are
// granted again.
#[tokio::test(start_paused = true)]
async fn full_shard() {
    let clock = Manual::new();
    let node = Arc::new(spawn_node_with("own", &MemoryStore::new(), clock.clone()).await);
    let keys: Vec<_> = (0..u64::MAX)
        .map(|number| number.to_string())
        .filter(|key| Key::of("claims", key).shard() == 0)
        .take(MAX_SHARD_KEYS + 2)
        .collect();
    for batch in keys[..MAX_SHARD_KEYS].chunks(4_096) {
        let claims = batch.iter().cloned().map(|key| {
            let node = Arc::clone(&node);
            tokio::spawn(async move { expect_grant(node.claim(&key).await) })
        });
        for claim in claims.collect::<Vec<_>>() {
            let _grant = claim.await.unwrap();
        }
    }
    let result = node.claim(&keys[MAX_SHARD_KEYS]).await;
    let ClaimResult::NotGranted(Reply::Refused { retry_after_ms }) = result else {
        panic!("{result:?}");
    };
    assert!(retry_after_ms >= 10_000, "{retry_after_ms}");
    assert_eq!(
        node.claim(&keys[0]).await,
        ClaimResult::NotGranted(Reply::Unsettled)
    );
    clock.advance(Duration::from_mins(16));
    let refused = |reply: &Reply| matches!(reply, Reply::Refused { .. });
    let _grant = expect_grant(claim_while(&node, &keys[MAX_SHARD_KEYS + 1], refused).await);
}

// Hundreds of keyed calls arrive at once. One write for each call would overload the platform, so
// each record must contain many reservations.
#[tokio::test]
async fn group_commit() {
    let memory = MemoryStore::new();
    memory.set_faults(Faults {
        slow_ms: 20,
        ..Faults::default()
    });
    let fleet = Arc::new(spawn_fleet(&memory).await);
    let claims = (0..960).map(|number| {
        let fleet = Arc::clone(&fleet);
        tokio::spawn(
            async move { expect_grant(fleet[number % 3].claim(&number.to_string()).await) },
        )
    });
    for claim in claims.collect::<Vec<_>>() {
        let _grant = claim.await.unwrap();
    }
    let writes = memory.request_counts().writes;
    assert!(writes <= 96, "{writes} writes for 960 keys");
}

// The owner of a key's shard is gone, and nothing answers at its address. The key must still be
// granted, and only once.
#[tokio::test]
async fn owner_gone() {
    let fleet = spawn_fleet(&MemoryStore::new()).await;
    fleet[1].listener.abort();
    fleet[2].listener.abort();
    for number in 0..16 {
        let key = number.to_string();
        let _grant = expect_grant(fleet[0].claim(&key).await);
        assert_eq!(
            fleet[0].claim(&key).await,
            ClaimResult::NotGranted(Reply::Unsettled)
        );
    }
}

// The platform is unavailable. Claims must be refused immediately and reserve
// nothing; once the platform is back, the same key must be granted.
#[tokio::test(start_paused = true)]
async fn platform_outage() {
    let memory = MemoryStore::new();
    let node = spawn_node("own", &memory).await;
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let start = tokio::time::Instant::now();
    for _ in 0..5 {
        let result = node.claim("k1").await;
        assert!(
            matches!(result, ClaimResult::NotGranted(Reply::Refused { .. })),
            "{result:?}"
        );
    }
    assert!(start.elapsed() < Duration::from_millis(100));
    memory.set_faults(Faults::default());
    let refused = |reply: &Reply| matches!(reply, Reply::Refused { .. });
    let _grant = expect_grant(claim_while(&node, "k1", refused).await);
}

// A node closes its link to the owner of a key while the platform answers slowly. Regression: the
// owner waited for the reservation to be written in order to send a reply that could no longer be
// delivered. Meanwhile the owner kept its end of the link half closed (CLOSE-WAIT): a node had 1 to
// 6 such sockets 2 s after all faults had ended.
#[tokio::test]
async fn link_closed() {
    let memory = MemoryStore::new();
    let owner = spawn_node("own", &memory).await;
    memory.set_faults(Faults {
        slow_ms: 60_000,
        ..Faults::default()
    });
    let mut stream = TcpStream::connect(owner.forwarder.address()).await.unwrap();
    let hello = make_hello(&owner.shared, LinkKind::Reserve);
    codec::write(&mut stream, &hello).await.unwrap();
    codec::read_hello(&mut stream).await.unwrap();
    let claim = Claim {
        key: Key::of("claims", "k1"),
        fingerprint: Fingerprint::of("POST", "k1", b""),
        holder: Holder {
            call: Id {
                origin: 1,
                sequence: 1,
            },
            attempt: 0,
        },
    };
    let claim = wire::reserve::Frame::Claim { serial: 1, claim };
    codec::write(&mut stream, &wire::Frame::Reserve(claim))
        .await
        .unwrap();
    let received: wire::Frame = codec::read(&mut stream, &mut Vec::new()).await.unwrap();
    let expected = wire::reserve::Frame::Acknowledged { serial: 1 };
    assert_eq!(received, wire::Frame::Reserve(expected));
    stream.shutdown().await.unwrap();
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(Duration::from_secs(1), stream.read_to_end(&mut rest));
    ended.await.expect("the owner closes its end").unwrap();
}

// The platform takes a minute for each call. The first claim may wait until its timeout; later
// claims must be refused immediately.
#[tokio::test(start_paused = true)]
async fn slow_platform() {
    let memory = MemoryStore::new();
    let node = spawn_node("own", &memory).await;
    memory.set_faults(Faults {
        slow_ms: 60_000,
        ..Faults::default()
    });
    let mut waits = Vec::new();
    for _ in 0..5 {
        let start = tokio::time::Instant::now();
        let result = node.claim("k1").await;
        assert!(
            matches!(result, ClaimResult::NotGranted(Reply::Refused { .. })),
            "{result:?}"
        );
        waits.push(start.elapsed());
    }
    assert!(waits[0] < Duration::from_secs(2), "{waits:?}");
    assert!(waits[1..].iter().all(Duration::is_zero), "{waits:?}");
}

// The record with a key is committed, but every response to its write is lost, so that the caller
// is told "not run". The caller's repeat must eventually run, and not get "may have run" for a day.
#[tokio::test(start_paused = true)]
async fn record_in_doubt() {
    let memory = MemoryStore::new();
    let node = spawn_node("own", &memory).await;
    memory.set_faults(Faults {
        lose_next: 4,
        ..Faults::default()
    });
    let result = node.claim("k1").await;
    assert!(
        matches!(result, ClaimResult::NotGranted(Reply::Refused { .. })),
        "{result:?}"
    );
    let other = spawn_node("other", &memory).await;
    let should_repeat = |reply: &Reply| matches!(reply, Reply::Refused { .. } | Reply::Unsettled);
    let _grant = expect_grant(claim_while(&other, "k1", should_repeat).await);
}

/// Number of calls that ran under each key.
type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// Repeats a call at random nodes; returns whether one of 20 attempts got the stored answer.
async fn call_until_answered(
    nodes: Arc<Vec<Node>>,
    key: String,
    runs: Runs,
    mut rng: SmallRng,
) -> bool {
    for _ in 0..20 {
        let node = &nodes[rng.random_range(0..nodes.len())];
        let pause = Duration::from_millis(rng.random_range(0..300));
        match node.claim(&key).await {
            ClaimResult::Granted(grant) if rng.random_bool(0.3) => {
                node.reserve.release(grant, TIMEOUT).await;
            }
            ClaimResult::Granted(grant) => {
                *runs.lock().unwrap().entry(key.clone()).or_default() += 1;
                tokio::time::sleep(pause).await;
                node.reserve.complete(grant, Some(stored_answer()));
            }
            ClaimResult::NotGranted(Reply::Known(known)) => return *known == stored_answer(),
            ClaimResult::NotGranted(_) => {}
        }
        tokio::time::sleep(pause).await;
    }
    false
}

/// Changes the platform's faults at random.
async fn inject_faults(memory: MemoryStore, mut rng: SmallRng) {
    loop {
        memory.set_faults(Faults {
            slow_ms: rng.random_range(0..20),
            lose_percent: 20,
            late_next: rng.random_range(0..6),
            down: rng.random_bool(0.1),
            ..Faults::default()
        });
        let pause = Duration::from_millis(rng.random_range(0..200));
        tokio::time::sleep(pause).await;
        memory.deliver_late_writes();
    }
}

// The nodes of three zones are partitioned from each other but reach the platform, so each node
// considers itself the owner of every shard. Callers repeat their calls at all nodes while writes
// to the platform are lost, delayed or refused. No call may run twice under one key.
#[yare::parameterized(one = { 1 }, two = { 2 }, three = { 3 }, four = { 4 })]
#[test_macro(tokio::test(start_paused = true))]
async fn rival_owners(seed: u64) {
    let memory = MemoryStore::with_seed(seed);
    let mut nodes = Vec::new();
    for name in ["first", "second", "third"] {
        nodes.push(spawn_node(name, &memory).await);
    }
    let known = run_callers(seed, memory, Arc::new(nodes)).await;
    assert!(known > 60, "{known} of 120 callers got their answer");
}

/// Repeatedly stalls the open connections to a randomly chosen node: they stay open but forward no
/// more data.
async fn stall_connections(nodes: Arc<Vec<Node>>, mut rng: SmallRng) {
    loop {
        let pause = Duration::from_millis(rng.random_range(0..400));
        tokio::time::sleep(pause).await;
        nodes[rng.random_range(0..nodes.len())]
            .forwarder
            .stall_connections();
    }
}

// The nodes agree on the owners, but the links to them stall repeatedly. Claims
// are then sent again to another destination while the first attempt is still in
// progress, and a key granted to the first attempt is released late.
#[yare::parameterized(one = { 1 }, two = { 2 })]
#[test_macro(tokio::test)]
async fn stalled_links(seed: u64) {
    let memory = MemoryStore::with_seed(seed);
    let nodes = Arc::new(spawn_fleet(&memory).await);
    let rng = SmallRng::seed_from_u64(seed);
    let stalls = tokio::spawn(stall_connections(Arc::clone(&nodes), rng));
    let known = run_callers(seed, memory, nodes).await;
    stalls.abort();
    assert!(known > 30, "{known} of 120 callers got their answer");
}

/// Runs callers while the platform is faulty; returns how many callers got their answer.
///
/// Panics if more than one call ran under the same key.
async fn run_callers(seed: u64, memory: MemoryStore, nodes: Arc<Vec<Node>>) -> u32 {
    let runs = Runs::default();
    let faults = tokio::spawn(inject_faults(memory.clone(), SmallRng::seed_from_u64(seed)));
    let callers = (0..120).map(|caller| {
        let key = (caller / 3).to_string();
        let rng = SmallRng::seed_from_u64(seed * 1000 + caller);
        tokio::spawn(call_until_answered(
            Arc::clone(&nodes),
            key,
            Arc::clone(&runs),
            rng,
        ))
    });
    let mut known = 0;
    for caller in callers.collect::<Vec<_>>() {
        known += u32::from(caller.await.unwrap());
    }
    faults.abort();
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
    known
}
