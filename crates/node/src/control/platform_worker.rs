//! Executes the platform operations that the state machine requests.
//!
//! Reads and lease operations run one after the other. Watches, the read of farewells, and the writes
//! of crashes, farewells and roll-outs run in tasks of their own.

use crate::control::tree::Input;
use crate::control::{removal, rollout as rollout_store};
use crate::shared::Shared;
use call::Crash;
use clock::Clock;
use config::{Farewell, Rollout};
use fleet::{Peer, PlatformRequest, PlatformResponse, RootLease};
use log::{info, warn};
use platform::rollout;
use policy::backoff::Backoff;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};
use store::board;
use store::follow::JournalUpdate;
use store::lease::{self, LeaseRecord};
use store::version::{self, JOURNAL};
use store::{
    CrashStore, Error, Follower, Journal, Lease, Notice, Object, ObjectWatcher, Revision, Store,
    farewells,
};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Target of the log lines of this module. Operators name it in filters of the log.
const LOG_TARGET: &str = "node::control::desk";

/// Name prefix of the leases of roots.
const ROOT_LEASE_PREFIX: &str = "roots/";

/// Backoff between attempts to write crashes to the platform. Zones that are partitioned from each
/// other have to learn of each other's crashes within 3 s.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
const BACKOFF_CAP: Duration = Duration::from_millis(800);

/// Interval at which farewells of nodes that are gone are removed from the platform.
const CLEANUP_INTERVAL: Duration = Duration::from_hours(1);

/// Executes commands until their sender is dropped.
pub(crate) async fn run<C, S>(
    shared: Arc<Shared<C>>,
    store: S,
    mut commands: mpsc::UnboundedReceiver<Command>,
    inbox: mpsc::Sender<Input>,
) where
    C: Clock,
    S: Store,
{
    let mut worker = PlatformWorker {
        crash_store: CrashStore::open(store.clone(), shared.clock.clone()),
        shared,
        store,
        inbox,
        leases: BTreeMap::new(),
        observed: BTreeMap::new(),
        watch_task: None,
        crash_writer: None,
        rollout_writers: BTreeMap::new(),
        farewell_writer: None,
        farewell_rewriter: None,
    };
    let mut eras = worker.store.watch_era();
    let mut era = *eras.borrow_and_update();
    loop {
        let command = tokio::select! {
            command = commands.recv() => command,
            Ok(()) = eras.changed() => {
                let former = std::mem::replace(&mut era, *eras.borrow_and_update());
                // The first era that becomes known is not a change. A different era later means
                // that the platform was restored from a backup.
                if former.is_some() {
                    worker.send_response(PlatformResponse::Restored).await;
                }
                continue;
            }
        };
        let Some(command) = command else {
            return;
        };
        match command {
            Command::Query(request) => {
                if let Some(response) = worker.execute(request).await {
                    drop(worker.inbox.send(Input::Response(response)).await);
                }
            }
            Command::WriteCrashes { slot, list } => worker.write_crashes(slot, list),
            Command::WriteRollout(rollout) => worker.write_rollout(rollout),
            Command::WriteFarewells(list) => worker.write_farewells(list),
            Command::RewriteFarewells(list) => worker.rewrite_farewells(list),
        }
    }
}

/// An operation on the platform that the state machine requests.
#[derive(Debug)]
pub(crate) enum Command {
    /// Executes a request; its response, if there is one, goes to the state machine's inbox.
    Query(PlatformRequest),
    /// Writes the crashes that the holder of a root lease remembers; retries until the write
    /// succeeds.
    WriteCrashes { slot: u8, list: Vec<Crash> },
    /// Writes the progress of a roll-out; retries until this progress, a final stage or a newer
    /// order is stored.
    WriteRollout(Rollout),
    /// Adds farewells to those that are stored for this node; retries until the write succeeds, and
    /// reports that to the state machine.
    WriteFarewells(Vec<Farewell>),
    /// Adds farewells to those that are stored for some nodes; retries until the writes succeed.
    RewriteFarewells(Vec<(SmolStr, Vec<Farewell>)>),
}

/// A task that is aborted when its handle is dropped.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A lease as last read, and the time since which it has been unchanged.
#[derive(Debug, Clone, Copy)]
struct ObservedLease {
    revision: Revision,
    since: Instant,
}

#[derive(Debug)]
struct PlatformWorker<C, S>
where
    C: Clock,
    S: Store,
{
    shared: Arc<Shared<C>>,
    store: S,
    inbox: mpsc::Sender<Input>,
    leases: BTreeMap<u8, Lease<S, C>>,
    observed: BTreeMap<SmolStr, ObservedLease>,
    watch_task: Option<Task>,
    crash_store: CrashStore<S, C>,
    /// Task that writes crashes; a newer list replaces one that could not be written yet.
    crash_writer: Option<Task>,
    /// Tasks that write the progress of roll-outs, by service; a newer report on a service replaces
    /// the one that is still pending.
    rollout_writers: BTreeMap<SmolStr, Task>,
    /// Task that writes farewells; a newer list contains one that could not be written yet.
    farewell_writer: Option<Task>,
    /// Task that writes farewells which a restored platform may have lost.
    farewell_rewriter: Option<Task>,
}

impl<C, S> PlatformWorker<C, S>
where
    C: Clock,
    S: Store,
{
    async fn execute(&mut self, request: PlatformRequest) -> Option<PlatformResponse> {
        let outcome = match request {
            PlatformRequest::Leases { is_exact } => self.read_leases(is_exact).await,
            PlatformRequest::AcquireLease { slot, is_forced } => {
                self.acquire_lease(slot, is_forced).await
            }
            PlatformRequest::RenewLease { slot } => self.renew_lease(slot).await,
            PlatformRequest::ConfirmVersion { after, serial } => {
                self.confirm_version(after, serial).await
            }
            PlatformRequest::ReleaseLease { slot } => {
                if let Some(mut lease) = self.leases.remove(&slot) {
                    // A lease that can't be released expires by itself.
                    drop(lease.release().await);
                }
                return None;
            }
            PlatformRequest::Watch { after, is_primary } => {
                self.watch(after, is_primary);
                return None;
            }
            PlatformRequest::Unwatch => {
                self.watch_task = None;
                return None;
            }
            PlatformRequest::Rollouts => self.read_rollouts().await,
            PlatformRequest::Farewells => {
                self.read_farewells();
                return None;
            }
            PlatformRequest::Crashes => {
                self.crash_store.list().await.map(PlatformResponse::Crashes)
            }
        };
        Some(outcome.unwrap_or(PlatformResponse::Failed(request)))
    }

    /// Reads the highest version of the configuration; `after` is the version that is already
    /// known. Only the part of the journal after that version is read. With the platform's
    /// interface there is no journal: a newer configuration is parsed and returned as a whole.
    async fn read_latest_version(&self, after: config::Version) -> Result<PlatformResponse, Error> {
        if self.shared.uses_platform_interface() {
            // Parses only the version first, since it is nearly always the known one. After a
            // restart of all nodes, parsing and applying the full configuration on each VM took
            // 0.6 s on a tenth of a core.
            let text = self.read_configuration().await?;
            let version = platform::mesh::parse_version(&text).map_err(as_invalid)?;
            if version <= after {
                return Ok(PlatformResponse::LatestVersion(version));
            }
            return Ok(self.parse_configuration(version, &text).await);
        }
        let journal = Journal::open(self.store.clone(), self.shared.clock.clone(), JOURNAL);
        let last = match journal.read_after(after.0).await? {
            Some(tail) => tail.records.last().map(|record| record.number),
            // The journal no longer reaches back to `after`, so there is surely a newer version.
            None => Some(after.0 + 1),
        };
        Ok(PlatformResponse::LatestVersion(config::Version(
            last.unwrap_or(after.0),
        )))
    }

    /// Reads which version is the latest. If it is above `after`, it is sent to the state machine
    /// before the confirmation.
    async fn confirm_version(
        &self,
        after: config::Version,
        serial: u64,
    ) -> Result<PlatformResponse, Error> {
        let mut version = match self.read_latest_version(after).await? {
            PlatformResponse::LatestVersion(version) => version,
            PlatformResponse::Full { version, mesh } => {
                self.send_response(PlatformResponse::Full { version, mesh })
                    .await;
                version
            }
            // The latest version can't be read, so this node can't know what it takes away.
            other => return Ok(other),
        };
        if version > after && !self.shared.uses_platform_interface() {
            let journal = Journal::open(self.store.clone(), self.shared.clock.clone(), JOURNAL);
            for response in read_journal_after(&journal, after).await? {
                version = version.max(version_of(&response).unwrap_or_default());
                self.send_response(response).await;
            }
        }
        Ok(PlatformResponse::Confirmed { serial, version })
    }

    /// Parses and returns a full configuration. If it is valid, its version is sent to the state
    /// machine first.
    async fn parse_configuration(&self, version: config::Version, text: &str) -> PlatformResponse {
        match platform::mesh::parse(text) {
            Ok((version, mesh)) => {
                self.send_response(PlatformResponse::LatestVersion(version))
                    .await;
                PlatformResponse::Full { version, mesh }
            }
            Err(error) => report_invalid_version(version, &error),
        }
    }

    async fn send_response(&self, response: PlatformResponse) {
        // An error means that the node is leaving.
        drop(self.inbox.send(Input::Response(response)).await);
    }

    /// Reads the configuration that the operators have written.
    async fn read_configuration(&self) -> Result<String, Error> {
        let text = self.store.get_text(platform::mesh::OBJECT_NAME).await?;
        text.ok_or(Error::NotFound)
    }

    async fn read_leases(&mut self, is_exact: bool) -> Result<PlatformResponse, Error> {
        let records = lease::list(&self.store, ROOT_LEASE_PREFIX, is_exact).await?;
        let now = self.shared.clock.now();
        let mut root_leases = Vec::new();
        for record in &records {
            let since = self.observe_lease(record, now);
            let is_live = now.duration_since(since) < record.duration;
            root_leases.extend(parse_root_lease(record, is_live));
        }
        Ok(PlatformResponse::Leases(root_leases))
    }

    /// Returns the time since which this process has seen the lease unchanged.
    fn observe_lease(&mut self, record: &LeaseRecord, now: Instant) -> Instant {
        let observed = ObservedLease {
            revision: record.revision,
            since: now,
        };
        let known = self.observed.entry(record.name.clone()).or_insert(observed);
        if known.revision != record.revision {
            *known = observed;
        }
        known.since
    }

    async fn acquire_lease(
        &mut self,
        slot: u8,
        is_forced: bool,
    ) -> Result<PlatformResponse, Error> {
        let name = self.lease_name(slot);
        let revision = self.observed.get(&name).map(|observed| observed.revision);
        let lease = self.lease(slot);
        let is_held = match revision.filter(|_| is_forced) {
            Some(revision) => lease.take_over(revision).await?,
            None => lease.acquire_or_renew().await?,
        };
        Ok(lease_response(slot, is_held))
    }

    async fn renew_lease(&mut self, slot: u8) -> Result<PlatformResponse, Error> {
        let is_held = self.lease(slot).acquire_or_renew().await?;
        Ok(lease_response(slot, is_held))
    }

    fn lease_name(&self, slot: u8) -> SmolStr {
        format_smolstr!("{ROOT_LEASE_PREFIX}{}.{slot}", self.shared.settings.zone)
    }

    fn lease(&mut self, slot: u8) -> &mut Lease<S, C> {
        let name = self.lease_name(slot);
        let settings = &self.shared.settings;
        let holder = format!(
            "{} {} {}",
            settings.name,
            settings.zone,
            settings.advertised_address()
        );
        let (store, clock) = (self.store.clone(), self.shared.clock.clone());
        self.leases.entry(slot).or_insert_with(|| {
            Lease::open(store, clock, &name, &holder, fleet::lease::LEASE_DURATION)
        })
    }

    fn watch(&mut self, after: config::Version, is_primary: bool) {
        if self.shared.uses_platform_interface() {
            let store = if is_primary {
                self.store.clone()
            } else {
                self.store.with_relaxed_polling()
            };
            let watcher = ObjectWatcher::open(store, platform::mesh::OBJECT_NAME);
            let configurations = forward_configurations(watcher, self.inbox.clone());
            let crashes = self.watch_crashes(is_primary);
            let rollouts = self.watch_rollouts(is_primary);
            let clean_up = self.clean_up_farewells(is_primary);
            self.watch_task = Some(Task(tokio::spawn(async move {
                tokio::join!(configurations, crashes, rollouts, clean_up);
            })));
            return;
        }
        let journal = Journal::open(self.store.clone(), self.shared.clock.clone(), JOURNAL);
        let position = (after > config::Version::ZERO).then_some(after.0);
        let follower = Follower::open(journal.clone(), position);
        let inbox = self.inbox.clone();
        let crashes = self.watch_crashes(is_primary);
        let rollouts = self.watch_rollouts(is_primary);
        let clean_up = self.clean_up_farewells(is_primary);
        self.watch_task = Some(Task(tokio::spawn(async move {
            tokio::select! {
                () = forward_versions(follower, inbox) => {}
                () = removal::run(journal) => {}
                () = async { tokio::join!(crashes, rollouts, clean_up); pending().await } => {}
            }
        })));
    }

    /// Forwards the crashes that roots write. One reader per zone is enough, since the reader's
    /// links carry the crashes to the other nodes.
    fn watch_crashes(&self, is_primary: bool) -> impl Future<Output = ()> + use<C, S> {
        let (crash_store, inbox) = (self.crash_store.clone(), self.inbox.clone());
        let mut objects =
            ObjectWatcher::open_folder(self.store.with_relaxed_polling(), board::FOLDER);
        async move {
            if !is_primary {
                return;
            }
            loop {
                let crashes = crash_store.decode(&objects.next().await);
                let response = Input::Response(PlatformResponse::Crashes(crashes));
                if inbox.send(response).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Forwards the roll-outs that operators order, with their reported progress.
    ///
    /// Every root reads the roll-outs: a root that is not connected to another root yet would
    /// otherwise continue with outdated roll-outs.
    fn watch_rollouts(&self, is_primary: bool) -> impl Future<Output = ()> + use<C, S> {
        let follows_rollouts = self.shared.settings.canary_share.is_some();
        let (shared, inbox) = (Arc::clone(&self.shared), self.inbox.clone());
        let store = if is_primary {
            self.store.clone()
        } else {
            self.store.with_relaxed_polling()
        };
        let mut objects = ObjectWatcher::open_folder(store, rollout::FOLDER);
        let rollouts = self.open_rollout_store();
        async move {
            if !follows_rollouts {
                return;
            }
            loop {
                let object = objects.next().await;
                let Some(stored) = rollout_store::decode(&shared, &object) else {
                    continue;
                };
                let rollout = rollouts.mark_in_progress(stored, object.revision).await;
                let response = Input::Response(PlatformResponse::Rollouts(vec![rollout]));
                if inbox.send(response).await.is_err() {
                    return;
                }
            }
        }
    }

    async fn read_rollouts(&self) -> Result<PlatformResponse, Error> {
        self.open_rollout_store()
            .list()
            .await
            .map(PlatformResponse::Rollouts)
    }

    fn open_rollout_store(&self) -> rollout_store::RolloutStore<C, S> {
        rollout_store::RolloutStore::open(Arc::clone(&self.shared), self.store.clone())
    }

    /// Writes the progress of a roll-out; retries until this progress, a final stage or a newer
    /// order is stored.
    fn write_rollout(&mut self, rollout: Rollout) {
        let (rollouts, inbox) = (self.open_rollout_store(), self.inbox.clone());
        let service = rollout.service.clone();
        let task = tokio::spawn(async move {
            let stored = rollouts.write_with_retries(rollout).await;
            drop(
                inbox
                    .send(Input::Response(PlatformResponse::Rollouts(stored)))
                    .await,
            );
        });
        self.rollout_writers.insert(service, Task(task));
    }

    /// Reads the farewells of this node, beside the calls that queue up at the start of a process: the
    /// backend server gets no calls before they are known.
    fn read_farewells(&self) {
        let (shared, store) = (Arc::clone(&self.shared), self.store.clone());
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let read = farewells::read(&store, &shared.settings.name).await;
            let response = match read {
                Ok(list) => PlatformResponse::Farewells(list),
                Err(error) => {
                    info!(target: LOG_TARGET, error:%; "farewells_not_read");
                    PlatformResponse::Failed(PlatformRequest::Farewells)
                }
            };
            // An error means that the node is leaving.
            drop(inbox.send(Input::Response(response)).await);
        });
    }

    fn write_farewells(&mut self, list: Vec<Farewell>) {
        let (shared, store) = (Arc::clone(&self.shared), self.store.clone());
        let inbox = self.inbox.clone();
        self.farewell_writer = Some(Task(tokio::spawn(async move {
            write_farewells_with_retries(&store, &shared.settings.name, &list).await;
            let response = PlatformResponse::FarewellsWritten(list);
            drop(inbox.send(Input::Response(response)).await);
        })));
    }

    fn rewrite_farewells(&mut self, list: Vec<(SmolStr, Vec<Farewell>)>) {
        let store = self.store.clone();
        self.farewell_rewriter = Some(Task(tokio::spawn(async move {
            for (node, farewells) in list {
                write_farewells_with_retries(&store, &node, &farewells).await;
            }
        })));
    }

    /// Removes the farewells of nodes that are gone for long, at intervals.
    fn clean_up_farewells(&self, is_primary: bool) -> impl Future<Output = ()> + use<C, S> {
        let (shared, store) = (Arc::clone(&self.shared), self.store.clone());
        async move {
            if !is_primary {
                return;
            }
            loop {
                tokio::time::sleep(CLEANUP_INTERVAL).await;
                let since = shared.clock.wall().duration_since(UNIX_EPOCH);
                let wall_ms = since.unwrap_or_default().as_millis();
                let wall_ms = u64::try_from(wall_ms).unwrap_or_default();
                if let Err(error) = farewells::remove_expired(&store, wall_ms).await {
                    info!(target: LOG_TARGET, error:%; "farewells_not_removed");
                }
            }
        }
    }

    /// Writes crashes to the platform; retries until the write succeeds.
    fn write_crashes(&mut self, slot: u8, list: Vec<Crash>) {
        let crash_store = self.crash_store.clone();
        let lease = format!("{}.{slot}", self.shared.settings.zone);
        self.crash_writer = Some(Task(tokio::spawn(async move {
            let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
            while let Err(error) = crash_store.write(&lease, &list).await {
                warn!(target: LOG_TARGET, seat = lease.as_str(), error:%; "board_not_written");
                let wait = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(wait).await;
            }
        })));
    }
}

/// Adds farewells to those that are stored for `node`; retries until the write succeeds.
async fn write_farewells_with_retries<S>(store: &S, node: &str, list: &[Farewell])
where
    S: Store,
{
    let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP);
    while let Err(error) = farewells::write(store, node, list).await {
        warn!(target: LOG_TARGET, node, error:%; "farewells_not_written");
        let wait = backoff.next_delay(&mut rand::rng());
        tokio::time::sleep(wait).await;
    }
}

/// Decodes a configuration written by operators into responses for the state machine.
///
/// # Errors
///
/// Fails when not even the version can be read.
fn decode_configuration(object: &Object) -> Result<Vec<PlatformResponse>, Error> {
    match platform::mesh::decode(&object.value) {
        Ok((version, mesh)) => Ok(vec![
            PlatformResponse::LatestVersion(version),
            PlatformResponse::Full { version, mesh },
        ]),
        Err(error) => {
            let version = platform::mesh::decode_version(&object.value).map_err(as_invalid)?;
            Ok(vec![report_invalid_version(version, &error)])
        }
    }
}

/// Returns the version that a response of the platform announces or contains.
fn version_of(response: &PlatformResponse) -> Option<config::Version> {
    match response {
        PlatformResponse::LatestVersion(version)
        | PlatformResponse::Step { version, .. }
        | PlatformResponse::Full { version, .. } => Some(*version),
        _ => None,
    }
}

fn report_invalid_version(version: config::Version, error: &platform::Error) -> PlatformResponse {
    warn!(target: LOG_TARGET, version = version.0, error:%; "version_unreadable");
    PlatformResponse::InvalidVersion {
        version,
        reason: error.to_smolstr(),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "as `map_err` hands errors over"
)]
fn as_invalid(error: platform::Error) -> Error {
    Error::Invalid(error.to_string())
}

/// Reads the versions of a journal after `after`, or the full configuration if some of these
/// versions have been removed.
async fn read_journal_after<C, S>(
    journal: &Journal<S, C>,
    after: config::Version,
) -> Result<Vec<PlatformResponse>, Error>
where
    C: Clock,
    S: Store,
{
    let Some(tail) = journal.read_after(after.0).await? else {
        return decode_update(JournalUpdate::Reset(journal.load().await?));
    };
    let mut responses = vec![PlatformResponse::LatestVersion(after)];
    for record in tail.records {
        responses.extend(decode_update(JournalUpdate::Record(record))?);
    }
    Ok(responses)
}

/// Forwards the configurations written by operators until this future is dropped.
///
/// A configuration that can't be read is skipped: the current version stays in force.
async fn forward_configurations<S>(mut watcher: ObjectWatcher<S>, inbox: mpsc::Sender<Input>)
where
    S: Store,
{
    let mut is_readable = true;
    loop {
        let object = match watcher.next_notice().await {
            Notice::Update(object) => object,
            Notice::Unchanged(at) => {
                if forward_unchanged(&inbox, at, is_readable).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let responses = match decode_configuration(&object) {
            Ok(responses) => responses,
            Err(error) => {
                warn!(target: LOG_TARGET, revision:% = object.revision, error:%; "version_unreadable");
                is_readable = false;
                continue;
            }
        };
        let is_invalid = |response: &PlatformResponse| {
            matches!(response, PlatformResponse::InvalidVersion { .. })
        };
        is_readable = !responses.iter().any(is_invalid);
        for response in responses {
            if inbox.send(Input::Response(response)).await.is_err() {
                return;
            }
        }
    }
}

/// Forwards that the platform had no further version at `at`, unless its newest version can't be
/// read: what this node has is then not the newest.
async fn forward_unchanged(
    inbox: &mpsc::Sender<Input>,
    at: Instant,
    is_readable: bool,
) -> Result<(), mpsc::error::SendError<Input>> {
    if is_readable {
        let response = PlatformResponse::Unchanged { at };
        inbox.send(Input::Response(response)).await?;
    }
    Ok(())
}

/// Forwards the versions that the journal receives until this future is dropped.
async fn forward_versions<C, S>(mut follower: Follower<S, C>, inbox: mpsc::Sender<Input>)
where
    C: Clock,
    S: Store,
{
    let mut is_readable = true;
    loop {
        let update = match follower.next_notice().await {
            Notice::Update(update) => decode_update(update),
            Notice::Unchanged(at) => {
                if forward_unchanged(&inbox, at, is_readable).await.is_err() {
                    return;
                }
                continue;
            }
        };
        is_readable = update.is_ok();
        match update {
            Ok(responses) => {
                for response in responses {
                    if inbox.send(Input::Response(response)).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => warn!(target: LOG_TARGET, error:%; "version_unreadable"),
        }
    }
}

fn decode_update(update: JournalUpdate) -> Result<Vec<PlatformResponse>, Error> {
    match update {
        JournalUpdate::Record(record) => {
            let step = version::Step::parse(&record)?;
            Ok(vec![PlatformResponse::Step {
                version: step.version,
                patch: Arc::new(step.entry.patch),
                digest: step.entry.digest,
            }])
        }
        JournalUpdate::Reset(loaded) => {
            let state = version::State::build(&loaded)?;
            let full = PlatformResponse::Full {
                version: state.version,
                mesh: state.mesh,
            };
            Ok(vec![PlatformResponse::LatestVersion(state.version), full])
        }
    }
}

fn lease_response(slot: u8, is_held: bool) -> PlatformResponse {
    if is_held {
        PlatformResponse::LeaseGranted { slot }
    } else {
        PlatformResponse::LeaseLost { slot }
    }
}

/// Parses the lease of a root; its `holder` consists of the node's name, zone and address.
fn parse_root_lease(record: &LeaseRecord, is_live: bool) -> Option<RootLease> {
    let slot = record.name.rsplit_once('.')?.1.parse().ok()?;
    let mut fields = record.holder.split(' ');
    let holder = Peer {
        node: fields.next()?.into(),
        zone: fields.next()?.into(),
        address: fields.next()?.parse().ok()?,
    };
    Some(RootLease {
        slot,
        holder,
        is_live,
    })
}
