//! The baseline: every node reads and watches the platform itself.
//!
//! The platform's load then grows with the nodes, which is why it is not the
//! way to run a fleet; it is the measure that others are set against.

use crate::shared::Shared;
use clock::Clock;
use config::{Endpoint, State, Version, VersionedMesh, View};
use log::{info, warn};
use platform::Client;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use store::follow::News;
use store::version::{JOURNAL, Step};
use store::{Error, Event, Follower, Journal, Store};
use tokio::sync::mpsc;

/// Prefix of the endpoints' objects.
const PREFIX: &str = "endpoints/";

/// Endpoints read at once.
const PAGE: usize = 100;

/// Wait before the platform is asked again.
const PAUSE: Duration = Duration::from_millis(200);

/// News that wait to be taken in.
const BUFFER: usize = 64;

/// What may change a view.
#[derive(Debug)]
enum Change {
    Configuration(Box<VersionedMesh>),
    Endpoint(Box<Endpoint>),
}

/// Follows versions and endpoints and swaps views, for as long as the node runs.
pub(crate) async fn run<C, S>(shared: Arc<Shared<C>>, store: S)
where
    C: Clock,
    S: Store,
{
    let (sender, mut changes) = mpsc::channel(BUFFER);
    let versions = follow_versions(Arc::clone(&shared), store.clone(), sender.clone());
    let endpoints = follow_endpoints(store.clone(), sender);
    let announce = announce(Arc::clone(&shared), store);
    let install = async {
        let mut held = VersionedMesh::default();
        let mut known = BTreeMap::new();
        while let Some(change) = changes.recv().await {
            match change {
                Change::Configuration(next) => held = *next,
                Change::Endpoint(endpoint) => merge(&mut known, *endpoint),
            }
            install_view(&shared, &held, &known);
        }
    };
    tokio::join!(versions, endpoints, announce, install);
}

fn install_view<C>(
    shared: &Shared<C>,
    held: &VersionedMesh,
    known: &BTreeMap<SmolStr, Arc<Endpoint>>,
) where
    C: Clock,
{
    let view = View::join(held, known.values().cloned());
    let before = shared.view.load().version();
    assert!(view.version() >= before, "a view never falls back");
    if view.version() > before {
        info!(version = view.version().0; "version_installed");
    }
    shared.view.store(Arc::new(view));
}

/// Keeps the newest news of each node.
fn merge(known: &mut BTreeMap<SmolStr, Arc<Endpoint>>, news: Endpoint) {
    let order =
        |endpoint: &Endpoint| (endpoint.started_ms, endpoint.incarnation, endpoint.sequence);
    match known.get(&news.node) {
        Some(old) if order(old) >= order(&news) => {}
        _ => drop(known.insert(news.node.clone(), Arc::new(news))),
    }
}

async fn follow_versions<C, S>(shared: Arc<Shared<C>>, store: S, changes: mpsc::Sender<Change>)
where
    C: Clock,
    S: Store,
{
    let journal = Journal::open(store, shared.clock.clone(), JOURNAL);
    let mut follower = Follower::open(journal, None);
    let mut held = VersionedMesh::default();
    loop {
        match take_news(&mut held, follower.next().await) {
            Ok(()) => {}
            Err(error) => {
                warn!(error:%; "version_refused");
                continue;
            }
        }
        let change = Change::Configuration(Box::new(held.clone()));
        if changes.send(change).await.is_err() {
            return;
        }
    }
}

fn take_news(held: &mut VersionedMesh, news: News) -> Result<(), Error> {
    let invalid = |error: config::Error| Error::Invalid(error.to_string());
    match news {
        News::Record(record) => {
            let step = Step::parse(&record)?;
            let entry = &step.entry;
            let base = Version(step.version.0.saturating_sub(1));
            held.apply_patch(base, step.version, &entry.patch, entry.digest)
                .map_err(invalid)
        }
        News::Reset(loaded) => {
            let state = store::version::State::build(&loaded)?;
            if state.version == Version::ZERO {
                return Ok(());
            }
            let digest = config::Digest::of(&state.mesh);
            held.replace(state.version, state.mesh, digest)
                .map_err(invalid)
        }
    }
}

async fn follow_endpoints<S>(store: S, changes: mpsc::Sender<Change>)
where
    S: Store,
{
    while !changes.is_closed() {
        if let Err(error) = read_endpoints(&store, &changes).await {
            info!(error:%; "endpoints_lost");
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn read_endpoints<S>(store: &S, changes: &mpsc::Sender<Change>) -> Result<(), Error>
where
    S: Store,
{
    let mut after = String::new();
    let revision = loop {
        let page = store.list(PREFIX, &after, PAGE).await?;
        for object in &page.items {
            send(changes, &object.value).await?;
        }
        match page.items.last() {
            Some(last) if page.more => after = last.name.to_string(),
            _ => break page.revision,
        }
    };
    let mut watch = store.watch(PREFIX, revision).await?;
    loop {
        if let Event::Put(object) = watch.next().await? {
            send(changes, &object.value).await?;
        }
    }
}

async fn send(changes: &mpsc::Sender<Change>, value: &serde_json::Value) -> Result<(), Error> {
    let endpoint =
        serde_json::from_value(value.clone()).map_err(|error| Error::Invalid(error.to_string()))?;
    // The receiver ends with the node.
    let _received = changes.send(Change::Endpoint(Box::new(endpoint))).await;
    Ok(())
}

/// Writes the own endpoint whenever it changes.
async fn announce<C, S>(shared: Arc<Shared<C>>, store: S)
where
    C: Clock,
    S: Store,
{
    let mut backend = shared.backend.subscribe();
    let mut leaving = shared.leaving.subscribe();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let own = build_endpoint(&shared, sequence);
        if let Some(endpoint) = own {
            while let Err(error) = put(&store, &endpoint).await {
                info!(error:%; "announcement_lost");
                tokio::time::sleep(PAUSE).await;
            }
        }
        tokio::select! {
            changed = backend.changed() => if changed.is_err() { return },
            changed = leaving.changed() => if changed.is_err() { return },
        }
    }
}

fn build_endpoint<C>(shared: &Shared<C>, sequence: u64) -> Option<Endpoint>
where
    C: Clock,
{
    let backend = shared.backend.borrow().clone()?;
    let is_leaving = backend.leaving || *shared.leaving.borrow();
    let settings = &shared.settings;
    let started = shared.clock.wall().duration_since(UNIX_EPOCH);
    Some(Endpoint {
        node: settings.name.clone(),
        incarnation: shared.incarnation,
        started_ms: started.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(0)),
        sequence,
        process: backend.process(),
        service: backend.service,
        version: backend.version,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: settings.address(),
        slots: backend.slots,
        cold_ms: backend.cold_ms,
        state: if is_leaving {
            State::Leaving
        } else {
            State::Serving
        },
    })
}

async fn put<S>(store: &S, endpoint: &Endpoint) -> Result<(), Error>
where
    S: Store,
{
    let name = format!("{PREFIX}{}", endpoint.node);
    let value =
        serde_json::to_value(endpoint).map_err(|error| Error::Invalid(error.to_string()))?;
    match store.get(&name).await? {
        Some(old) => store.update(&name, &value, old.revision).await?,
        None => store.create(&name, &value).await?,
    };
    Ok(())
}

/// Tells the others that this node has left for good.
pub(crate) async fn announce_gone<C>(shared: &Shared<C>)
where
    C: Clock,
{
    let store = Client::open(
        shared.settings.platform,
        platform::client::Limits::default(),
    );
    if let Some(mut endpoint) = build_endpoint(shared, u64::MAX) {
        endpoint.state = State::Gone;
        if let Err(error) = put(&store, &endpoint).await {
            info!(error:%; "announcement_lost");
        }
    }
}
