//! Baseline distribution: every node reads and watches the platform directly.
//!
//! The load on the platform then grows with the number of nodes. Watching directly is therefore not
//! meant for production; other modes are measured against it.

use crate::shared::Shared;
use clock::Clock;
use config::{Endpoint, State, Version, VersionedMesh, View};
use log::{info, warn};
use platform::Client;
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};
use store::follow::JournalUpdate;
use store::version::{JOURNAL, Step};
use store::{Error, Event, Follower, Journal, Store};
use tokio::sync::mpsc;

/// Name prefix of the objects in which endpoints are stored.
const ENDPOINT_PREFIX: &str = "endpoints/";

/// Number of endpoints read per request.
const PAGE_SIZE: usize = 100;

/// Delay before a failed platform operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Capacity of the queue of changes that wait to be applied.
const CHANGE_QUEUE_LENGTH: usize = 64;

/// A change from which a new view is built.
#[derive(Debug)]
enum Change {
    Configuration(Box<VersionedMesh>),
    Endpoint(Box<Endpoint>),
}

/// Watches versions and endpoints and installs views, for as long as the node runs.
pub(crate) async fn run<C, S>(shared: Arc<Shared<C>>, store: S)
where
    C: Clock,
    S: Store,
{
    let (sender, mut changes) = mpsc::channel(CHANGE_QUEUE_LENGTH);
    let versions = watch_versions(Arc::clone(&shared), store.clone(), sender.clone());
    let endpoints = watch_endpoints(store.clone(), sender);
    let announcements = announce(Arc::clone(&shared), store);
    let install = async {
        let mut mesh = VersionedMesh::default();
        let mut endpoints = BTreeMap::new();
        while let Some(change) = changes.recv().await {
            match change {
                Change::Configuration(next) => mesh = *next,
                Change::Endpoint(endpoint) => merge(&mut endpoints, *endpoint),
            }
            install_view(&shared, &mesh, &endpoints);
        }
    };
    tokio::join!(versions, endpoints, announcements, install);
}

fn install_view<C>(
    shared: &Shared<C>,
    mesh: &VersionedMesh,
    endpoints: &BTreeMap<SmolStr, Arc<Endpoint>>,
) where
    C: Clock,
{
    let view = View::join(mesh, endpoints.values().cloned());
    let before = shared.view.load().version();
    assert!(
        view.version() >= before,
        "the version of the view must not decrease"
    );
    if view.version() > before {
        info!(version = view.version().0; "version_installed");
    }
    shared.view.store(Arc::new(view));
    shared.reach_view_steps();
}

/// Adds an endpoint, unless an announcement of the same node that is as new or newer is known.
fn merge(endpoints: &mut BTreeMap<SmolStr, Arc<Endpoint>>, new: Endpoint) {
    let order =
        |endpoint: &Endpoint| (endpoint.started_ms, endpoint.incarnation, endpoint.sequence);
    match endpoints.get(&new.node) {
        Some(old) if order(old) >= order(&new) => {}
        _ => drop(endpoints.insert(new.node.clone(), Arc::new(new))),
    }
}

async fn watch_versions<C, S>(shared: Arc<Shared<C>>, store: S, changes: mpsc::Sender<Change>)
where
    C: Clock,
    S: Store,
{
    let journal = Journal::open(store, shared.clock.clone(), JOURNAL);
    let mut follower = Follower::open(journal, None);
    let mut mesh = VersionedMesh::default();
    loop {
        match apply_update(&mut mesh, follower.next().await) {
            Ok(()) => {}
            Err(error) => {
                warn!(error:%; "version_refused");
                continue;
            }
        }
        let change = Change::Configuration(Box::new(mesh.clone()));
        if changes.send(change).await.is_err() {
            return;
        }
    }
}

fn apply_update(mesh: &mut VersionedMesh, update: JournalUpdate) -> Result<(), Error> {
    let invalid = |error: config::Error| Error::Invalid(error.to_string());
    match update {
        JournalUpdate::Record(record) => {
            let step = Step::parse(&record)?;
            let entry = &step.entry;
            let base = Version(step.version.0.saturating_sub(1));
            mesh.apply_patch(base, step.version, &entry.patch, entry.digest)
                .map_err(invalid)
        }
        JournalUpdate::Reset(loaded) => {
            let state = store::version::State::build(&loaded)?;
            if state.version == Version::ZERO {
                return Ok(());
            }
            let digest = config::Digest::of(&state.mesh);
            mesh.replace(state.version, state.mesh, digest)
                .map_err(invalid)
        }
    }
}

async fn watch_endpoints<S>(store: S, changes: mpsc::Sender<Change>)
where
    S: Store,
{
    while !changes.is_closed() {
        if let Err(error) = read_endpoints(&store, &changes).await {
            info!(error:%; "endpoints_lost");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn read_endpoints<S>(store: &S, changes: &mpsc::Sender<Change>) -> Result<(), Error>
where
    S: Store,
{
    let mut after = String::new();
    let revision = loop {
        let page = store.list(ENDPOINT_PREFIX, &after, PAGE_SIZE).await?;
        for object in &page.items {
            send_endpoint(changes, &object.value).await?;
        }
        match page.items.last() {
            Some(last) if page.has_more => after = last.name.to_string(),
            _ => break page.revision,
        }
    };
    let mut watch = store.watch(ENDPOINT_PREFIX, revision).await?;
    loop {
        if let Event::Put(object) = watch.next().await? {
            send_endpoint(changes, &object.value).await?;
        }
    }
}

async fn send_endpoint(
    changes: &mpsc::Sender<Change>,
    value: &serde_json::Value,
) -> Result<(), Error> {
    let endpoint =
        serde_json::from_value(value.clone()).map_err(|error| Error::Invalid(error.to_string()))?;
    // Sending fails only when the node stops.
    let _sent = changes.send(Change::Endpoint(Box::new(endpoint))).await;
    Ok(())
}

/// Writes the endpoint of this node whenever it changes.
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
        let local = build_endpoint(&shared, sequence);
        if let Some(endpoint) = local {
            while let Err(error) = put_endpoint(&store, &endpoint).await {
                info!(error:%; "announcement_lost");
                tokio::time::sleep(RETRY_DELAY).await;
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
    let since_epoch = shared.clock.wall().duration_since(UNIX_EPOCH);
    Some(Endpoint {
        node: settings.name.clone(),
        incarnation: shared.incarnation,
        started_ms: since_epoch.map_or(0, |age| u64::try_from(age.as_millis()).unwrap_or(0)),
        sequence,
        process: backend.process(),
        service: backend.service,
        version: backend.version,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        address: settings.advertised_address(),
        slots: backend.slots,
        cold_ms: backend.cold_ms,
        state: if is_leaving {
            State::Leaving
        } else {
            State::Serving
        },
        farewells: Vec::new(),
    })
}

async fn put_endpoint<S>(store: &S, endpoint: &Endpoint) -> Result<(), Error>
where
    S: Store,
{
    let name = format!("{ENDPOINT_PREFIX}{}", endpoint.node);
    let value =
        serde_json::to_value(endpoint).map_err(|error| Error::Invalid(error.to_string()))?;
    match store.get(&name).await? {
        Some(old) => store.update(&name, &value, old.revision).await?,
        None => store.create(&name, &value).await?,
    };
    Ok(())
}

/// Tells the other nodes that this node has left for good: writes its endpoint as gone.
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
        if let Err(error) = put_endpoint(&store, &endpoint).await {
            info!(error:%; "announcement_lost");
        }
    }
}
