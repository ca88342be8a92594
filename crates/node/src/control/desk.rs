//! What the state machine asks of the platform, carried out one by one.

use crate::control::tree::Input;
use crate::control::{removal, rollout as rollout_desk};
use crate::shared::Shared;
use call::Crash;
use clock::Clock;
use config::Rollout;
use fleet::{Peer, PlatformRequest, PlatformResponse, RootLease};
use log::warn;
use platform::rollout;
use policy::backoff::Backoff;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use std::collections::BTreeMap;
use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::board;
use store::follow::News;
use store::lease::{self, Standing};
use store::version::{self, JOURNAL};
use store::{Board, Error, Follower, Journal, Latest, Lease, Object, Revision, Store};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Prefix of the names of roots' leases.
const ROOTS: &str = "roots/";

/// Bounds of the wait before crashes are written again: zones that are cut from each other
/// are to know them within 3 s.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LAST_WAIT: Duration = Duration::from_millis(800);

/// Carries out orders until their sender is gone.
pub(crate) async fn run<C, S>(
    shared: Arc<Shared<C>>,
    store: S,
    mut orders: mpsc::UnboundedReceiver<Order>,
    inbox: mpsc::Sender<Input>,
) where
    C: Clock,
    S: Store,
{
    let mut desk = Desk {
        board: Board::open(store.clone(), shared.clock.clone()),
        shared,
        store,
        inbox,
        leases: BTreeMap::new(),
        seen: BTreeMap::new(),
        follower: None,
        poster: None,
        reporters: BTreeMap::new(),
    };
    let mut eras = desk.store.eras();
    let mut era = *eras.borrow_and_update();
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            Ok(()) = eras.changed() => {
                let former = std::mem::replace(&mut era, *eras.borrow_and_update());
                // The first answer tells which era it is; none has begun.
                if former.is_some() {
                    desk.tell(PlatformResponse::Restored).await;
                }
                continue;
            }
        };
        let Some(order) = order else {
            return;
        };
        match order {
            Order::Ask(request) => {
                if let Some(answer) = desk.carry_out(request).await {
                    drop(desk.inbox.send(Input::Answer(answer)).await);
                }
            }
            Order::Post { slot, list } => desk.post(slot, list),
            Order::Report(rollout) => desk.report(rollout),
        }
    }
}

/// What the state machine wants of the platform.
#[derive(Debug)]
pub(crate) enum Order {
    /// An answer to this.
    Ask(PlatformRequest),
    /// That these crashes stand there, as those that the holder of a lease remembers.
    Post { slot: u8, list: Vec<Crash> },
    /// That how far a roll-out has come stands there.
    Report(Rollout),
}

/// A task that ends with its handle.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A lease as it was last read, and since when it has stood so.
#[derive(Debug, Clone, Copy)]
struct Seen {
    revision: Revision,
    since: Instant,
}

#[derive(Debug)]
struct Desk<C, S>
where
    C: Clock,
    S: Store,
{
    shared: Arc<Shared<C>>,
    store: S,
    inbox: mpsc::Sender<Input>,
    leases: BTreeMap<u8, Lease<S, C>>,
    seen: BTreeMap<SmolStr, Seen>,
    follower: Option<Task>,
    board: Board<S, C>,
    /// What writes crashes; the next list replaces one that could not be written yet.
    poster: Option<Task>,
    /// What writes of each service's roll-out; the next report replaces one under way.
    reporters: BTreeMap<SmolStr, Task>,
}

impl<C, S> Desk<C, S>
where
    C: Clock,
    S: Store,
{
    async fn carry_out(&mut self, request: PlatformRequest) -> Option<PlatformResponse> {
        let outcome = match request {
            PlatformRequest::Leases { is_exact } => self.read_leases(is_exact).await,
            PlatformRequest::AcquireLease { slot, is_forced } => self.take(slot, is_forced).await,
            PlatformRequest::RenewLease { slot } => self.tend(slot).await,
            PlatformRequest::LatestVersion { after } => self.read_head(after).await,
            PlatformRequest::FetchLatest { after } => self.read_newest(after).await,
            PlatformRequest::ReleaseLease { slot } => {
                if let Some(mut lease) = self.leases.remove(&slot) {
                    // One that can't be given back lapses by itself.
                    drop(lease.release().await);
                }
                return None;
            }
            PlatformRequest::Watch { after, is_first } => {
                self.follow(after, is_first);
                return None;
            }
            PlatformRequest::Unwatch => {
                self.follower = None;
                return None;
            }
            PlatformRequest::Rollouts => self.read_rollouts().await,
            PlatformRequest::Crashes => self.board.list().await.map(PlatformResponse::Crashes),
        };
        Some(outcome.unwrap_or(PlatformResponse::Failed(request)))
    }

    /// Reads the highest version, given one that is known; the log is read from there only.
    async fn read_head(&self, after: config::Version) -> Result<PlatformResponse, Error> {
        if self.shared.is_on_platform() {
            // Nearly always what is held already: reading and taking the whole of
            // it on each VM after a restart of all took 0.6 s on a tenth of a core.
            let text = self.read_text().await?;
            let version = platform::mesh::parse_version(&text).map_err(as_invalid)?;
            if version <= after {
                return Ok(PlatformResponse::LatestVersion(version));
            }
            return Ok(self.take_text(version, &text).await);
        }
        let journal = Journal::open(self.store.clone(), self.shared.clock.clone(), JOURNAL);
        let last = match journal.read(after.0).await? {
            Some(tail) => tail.records.last().map(|record| record.number),
            // So far behind that the log no longer reaches back: not the head, surely.
            None => Some(after.0 + 1),
        };
        Ok(PlatformResponse::LatestVersion(config::Version(
            last.unwrap_or(after.0),
        )))
    }

    /// Reads what leads to the newest version there is; gives the last part of it.
    async fn read_newest(&self, after: config::Version) -> Result<PlatformResponse, Error> {
        let mut answers = if self.shared.is_on_platform() {
            let text = self.read_text().await?;
            let version = platform::mesh::parse_version(&text).map_err(as_invalid)?;
            vec![self.take_text(version, &text).await]
        } else {
            let journal = Journal::open(self.store.clone(), self.shared.clock.clone(), JOURNAL);
            read_after(&journal, after).await?
        };
        let last = answers.pop().ok_or(Error::NotFound)?;
        for answer in answers {
            self.tell(answer).await;
        }
        Ok(last)
    }

    /// Reads the whole of a version, and tells of its number first if it can be taken.
    async fn take_text(&self, version: config::Version, text: &str) -> PlatformResponse {
        match platform::mesh::parse(text) {
            Ok((version, mesh)) => {
                self.tell(PlatformResponse::LatestVersion(version)).await;
                PlatformResponse::Full { version, mesh }
            }
            Err(error) => tell_unreadable(version, &error),
        }
    }

    async fn tell(&self, answer: PlatformResponse) {
        // An error means that the node has left.
        drop(self.inbox.send(Input::Answer(answer)).await);
    }

    /// Reads the operators' configuration.
    async fn read_text(&self) -> Result<String, Error> {
        let text = self.store.get_text(platform::mesh::NAME).await?;
        text.ok_or(Error::NotFound)
    }

    async fn read_leases(&mut self, is_exact: bool) -> Result<PlatformResponse, Error> {
        let standings = lease::list(&self.store, ROOTS, is_exact).await?;
        let now = self.shared.clock.now();
        let mut seats = Vec::new();
        for standing in &standings {
            let since = self.note(standing, now);
            let is_live = now.duration_since(since) < standing.duration;
            seats.extend(read_seat(standing, is_live));
        }
        Ok(PlatformResponse::Leases(seats))
    }

    /// Gives since when a lease has stood unchanged, as far as this process saw.
    fn note(&mut self, standing: &Standing, now: Instant) -> Instant {
        let seen = Seen {
            revision: standing.revision,
            since: now,
        };
        let known = self.seen.entry(standing.name.clone()).or_insert(seen);
        if known.revision != standing.revision {
            *known = seen;
        }
        known.since
    }

    async fn take(&mut self, slot: u8, is_forced: bool) -> Result<PlatformResponse, Error> {
        let name = self.name_lease(slot);
        let seen = self.seen.get(&name).map(|seen| seen.revision);
        let lease = self.lease(slot);
        let is_held = match seen.filter(|_| is_forced) {
            Some(revision) => lease.seize(revision).await?,
            None => lease.tend().await?,
        };
        Ok(tell_held(slot, is_held))
    }

    async fn tend(&mut self, slot: u8) -> Result<PlatformResponse, Error> {
        let is_held = self.lease(slot).tend().await?;
        Ok(tell_held(slot, is_held))
    }

    fn name_lease(&self, slot: u8) -> SmolStr {
        format_smolstr!("{ROOTS}{}.{slot}", self.shared.settings.zone)
    }

    fn lease(&mut self, slot: u8) -> &mut Lease<S, C> {
        let name = self.name_lease(slot);
        let settings = &self.shared.settings;
        let holder = format!("{} {} {}", settings.name, settings.zone, settings.address());
        let (store, clock) = (self.store.clone(), self.shared.clock.clone());
        self.leases.entry(slot).or_insert_with(|| {
            Lease::open(store, clock, &name, &holder, fleet::lease::LEASE_DURATION)
        })
    }

    fn follow(&mut self, after: config::Version, is_first: bool) {
        if self.shared.is_on_platform() {
            let store = if is_first {
                self.store.clone()
            } else {
                self.store.relaxed()
            };
            let latest = Latest::open(store, platform::mesh::NAME);
            let follow = follow_latest(latest, self.inbox.clone());
            let crashes = self.follow_crashes(is_first);
            let rollouts = self.follow_rollouts(is_first);
            self.follower = Some(Task(tokio::spawn(async move {
                tokio::join!(follow, crashes, rollouts);
            })));
            return;
        }
        let journal = Journal::open(self.store.clone(), self.shared.clock.clone(), JOURNAL);
        let position = (after > config::Version::ZERO).then_some(after.0);
        let follower = Follower::open(journal.clone(), position);
        let inbox = self.inbox.clone();
        let crashes = self.follow_crashes(is_first);
        let rollouts = self.follow_rollouts(is_first);
        self.follower = Some(Task(tokio::spawn(async move {
            tokio::select! {
                () = pass_on(follower, inbox) => {}
                () = removal::run(journal) => {}
                () = async { tokio::join!(crashes, rollouts); pending().await } => {}
            }
        })));
    }

    /// Passes on what roots write of crashes; one reader a zone does, as its links reach the others.
    fn follow_crashes(&self, is_first: bool) -> impl Future<Output = ()> + use<C, S> {
        let (board, inbox) = (self.board.clone(), self.inbox.clone());
        let mut objects = Latest::open_all(self.store.relaxed(), board::FOLDER);
        async move {
            if !is_first {
                return;
            }
            loop {
                let crashes = board.read(&objects.next().await);
                let answer = Input::Answer(PlatformResponse::Crashes(crashes));
                if inbox.send(answer).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Passes on what operators order and what is reported of it.
    ///
    /// Every root reads it: one that no other has met yet would go on by what it knew.
    fn follow_rollouts(&self, is_first: bool) -> impl Future<Output = ()> + use<C, S> {
        let is_on = self.shared.settings.canary_share.is_some();
        let (shared, inbox) = (Arc::clone(&self.shared), self.inbox.clone());
        let store = if is_first {
            self.store.clone()
        } else {
            self.store.relaxed()
        };
        let mut objects = Latest::open_all(store, rollout::FOLDER);
        let book = self.rollout_book();
        async move {
            if !is_on {
                return;
            }
            loop {
                let object = objects.next().await;
                let Some(standing) = rollout_desk::read(&shared, &object) else {
                    continue;
                };
                let found = book.settle(standing, object.revision).await;
                let answer = Input::Answer(PlatformResponse::Rollouts(vec![found]));
                if inbox.send(answer).await.is_err() {
                    return;
                }
            }
        }
    }

    async fn read_rollouts(&self) -> Result<PlatformResponse, Error> {
        self.rollout_book()
            .list()
            .await
            .map(PlatformResponse::Rollouts)
    }

    fn rollout_book(&self) -> rollout_desk::Book<C, S> {
        rollout_desk::Book::open(Arc::clone(&self.shared), self.store.clone())
    }

    /// Writes how far a roll-out has come, again and again until it stands there or another end does.
    fn report(&mut self, rollout: Rollout) {
        let (book, inbox) = (self.rollout_book(), self.inbox.clone());
        let service = rollout.service.clone();
        let task = tokio::spawn(async move {
            let stands = book.report(rollout).await;
            drop(
                inbox
                    .send(Input::Answer(PlatformResponse::Rollouts(stands)))
                    .await,
            );
        });
        self.reporters.insert(service, Task(task));
    }

    /// Writes crashes to the platform, again and again until they stand there.
    fn post(&mut self, slot: u8, list: Vec<Crash>) {
        let board = self.board.clone();
        let seat = format!("{}.{slot}", self.shared.settings.zone);
        self.poster = Some(Task(tokio::spawn(async move {
            let mut backoff = Backoff::new(FIRST_WAIT, LAST_WAIT);
            while let Err(error) = board.post(&seat, &list).await {
                warn!(seat = seat.as_str(), error:%; "board_not_written");
                let wait = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(wait).await;
            }
        })));
    }
}

/// Reads an operators' configuration into what the state machine is told of it.
///
/// # Errors
///
/// When it has not even a version.
fn read_whole(object: &Object) -> Result<Vec<PlatformResponse>, Error> {
    match platform::mesh::decode(&object.value) {
        Ok((version, mesh)) => Ok(vec![
            PlatformResponse::LatestVersion(version),
            PlatformResponse::Full { version, mesh },
        ]),
        Err(error) => {
            let version = platform::mesh::read_version_of(&object.value).map_err(as_invalid)?;
            Ok(vec![tell_unreadable(version, &error)])
        }
    }
}

fn tell_unreadable(version: config::Version, error: &platform::Error) -> PlatformResponse {
    warn!(version = version.0, error:%; "version_unreadable");
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

/// Reads the versions of a journal after the one held.
async fn read_after<C, S>(
    journal: &Journal<S, C>,
    after: config::Version,
) -> Result<Vec<PlatformResponse>, Error>
where
    C: Clock,
    S: Store,
{
    let Some(tail) = journal.read(after.0).await? else {
        return read_news(News::Reset(journal.load().await?));
    };
    let mut answers = vec![PlatformResponse::LatestVersion(after)];
    for record in tail.records {
        answers.extend(read_news(News::Record(record))?);
    }
    Ok(answers)
}

/// Passes the operators' configurations on until it is dropped.
///
/// One that can't be read is passed over: the version held stays in force.
async fn follow_latest<S>(mut latest: Latest<S>, inbox: mpsc::Sender<Input>)
where
    S: Store,
{
    loop {
        let object = latest.next().await;
        let answers = match read_whole(&object) {
            Ok(answers) => answers,
            Err(error) => {
                warn!(revision:% = object.revision, error:%; "version_unreadable");
                continue;
            }
        };
        for answer in answers {
            if inbox.send(Input::Answer(answer)).await.is_err() {
                return;
            }
        }
    }
}

/// Passes versions on until the follower is dropped.
async fn pass_on<C, S>(mut follower: Follower<S, C>, inbox: mpsc::Sender<Input>)
where
    C: Clock,
    S: Store,
{
    loop {
        match read_news(follower.next().await) {
            Ok(answers) => {
                for answer in answers {
                    if inbox.send(Input::Answer(answer)).await.is_err() {
                        return;
                    }
                }
            }
            Err(error) => warn!(error:%; "version_unreadable"),
        }
    }
}

fn read_news(news: News) -> Result<Vec<PlatformResponse>, Error> {
    match news {
        News::Record(record) => {
            let step = version::Step::parse(&record)?;
            Ok(vec![PlatformResponse::Step {
                version: step.version,
                patch: Arc::new(step.entry.patch),
                digest: step.entry.digest,
            }])
        }
        News::Reset(loaded) => {
            let state = version::State::build(&loaded)?;
            let whole = PlatformResponse::Full {
                version: state.version,
                mesh: state.mesh,
            };
            Ok(vec![PlatformResponse::LatestVersion(state.version), whole])
        }
    }
}

fn tell_held(slot: u8, is_held: bool) -> PlatformResponse {
    if is_held {
        PlatformResponse::LeaseGranted { slot }
    } else {
        PlatformResponse::LeaseLost { slot }
    }
}

/// Reads the lease of a root; its holder is a name, a zone and an address.
fn read_seat(standing: &Standing, is_live: bool) -> Option<RootLease> {
    let slot = standing.name.rsplit_once('.')?.1.parse().ok()?;
    let mut words = standing.holder.split(' ');
    let holder = Peer {
        node: words.next()?.into(),
        zone: words.next()?.into(),
        address: words.next()?.parse().ok()?,
    };
    Some(RootLease {
        slot,
        holder,
        is_live,
    })
}
