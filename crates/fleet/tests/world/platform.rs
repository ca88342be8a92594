//! A simulated platform: versions, leases and roll-outs, with outages, lost responses and silent
//! watches.

use call::Crash;
use config::rollout::{OrderRevision, Stage};
use config::{Digest, Farewell, Mesh, Patch, Rollout, Version, VersionedMesh, merge_farewells};
use fleet::{Peer, PlatformRequest, PlatformResponse, RootLease};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// How late the platform answers a VM for which it is slow.
const SLOW_DELAY: Duration = Duration::from_secs(3);

const TIMEOUT: Duration = Duration::from_secs(1);

/// How long the platform holds the watch requests of a zone's primary root, and of the others.
const HOLD_TIMES: (Duration, Duration) = (Duration::from_secs(3), Duration::from_secs(9));

#[derive(Debug, Clone)]
struct Lease {
    holder: Peer,
    expires_at: Duration,
    revision: u64,
}

/// How the platform turns a VM away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// It fails each request at once.
    Refused,
    /// It answers no request.
    Silent,
    /// It answers each request late.
    Slow,
}

/// A node that watches the versions.
#[derive(Debug, Clone)]
struct Watcher {
    zone: String,
    /// The last version that was sent to it.
    sent: Version,
    /// How long the platform holds its requests.
    hold_time: Duration,
    respond_at: Duration,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub is_down: bool,
    /// Whether responses to writes are lost after the write took effect.
    pub drops_responses: bool,
    /// Zones that can't reach the platform.
    pub unreachable_zones: BTreeSet<String>,
    /// Watchers that get no more updates, and no error either.
    pub silent_watchers: BTreeSet<usize>,
    /// Whether watches send the new versions without the number of the latest one before them.
    pub sends_steps_alone: bool,
    /// VMs that the platform turns away, and how.
    pub denials: BTreeMap<usize, Denial>,
    pub calls: u64,
    /// Number of times that a lease went to another node.
    pub lease_changes: u64,
    /// Number of requests for a confirmation of the newest version.
    pub confirmations: u64,
    history: Vec<(Arc<Patch>, Arc<Mesh>, Digest)>,
    held: VersionedMesh,
    leases: BTreeMap<(String, u8), Lease>,
    /// Responses to watches that the platform has held.
    pub held_responses: u64,
    watchers: BTreeMap<usize, Watcher>,
    writes: u64,
    /// Crashes that each root wrote last, by the zone and slot of its lease.
    written_crashes: BTreeMap<(String, u8), Vec<Crash>>,
    pub crash_writes: u64,
    rollouts: BTreeMap<String, Rollout>,
    farewells: BTreeMap<String, Vec<Farewell>>,
    /// Number of outcomes of roll-outs (completed or rolled back) written.
    pub outcome_writes: u64,
    /// Watchers that also read crashes: one watcher in each zone.
    crash_readers: BTreeSet<usize>,
    /// Revisions of all leases as last read by each VM.
    seen_revisions: BTreeMap<usize, BTreeMap<(String, u8), u64>>,
}

impl Platform {
    pub fn head(&self) -> Version {
        self.held.version()
    }

    pub fn digest(&self, version: Version) -> Option<Digest> {
        match version.0.checked_sub(1) {
            None => Some(VersionedMesh::default().digest()),
            Some(index) => {
                let index = usize::try_from(index).ok()?;
                self.history.get(index).map(|entry| entry.2)
            }
        }
    }

    /// Returns the holders of a zone's leases that have not expired.
    pub fn roots(&self, zone: &str, now: Duration) -> Vec<Peer> {
        let live = self
            .leases
            .iter()
            .filter(|((at, _), lease)| at == zone && lease.expires_at > now);
        live.map(|(_, lease)| lease.holder.clone()).collect()
    }

    pub fn publish(&mut self, patch: Patch) -> Version {
        let next = patch.apply(self.held.mesh()).expect("a valid patch");
        let version = self.head().next();
        let digest = Digest::of(&next);
        self.held
            .apply_patch(self.held.version(), version, &patch, digest)
            .expect("the next version");
        self.history
            .push((Arc::new(patch), Arc::clone(self.held.mesh()), digest));
        version
    }

    /// Stores the crashes that the holder of a lease writes; returns the watchers to notify.
    pub fn write_crashes(&mut self, zone: &str, slot: u8, list: Vec<Crash>) -> Vec<usize> {
        self.calls += 1;
        if self.is_down || self.unreachable_zones.contains(zone) {
            return Vec::new();
        }
        self.crash_writes += 1;
        self.written_crashes.insert((zone.to_owned(), slot), list);
        let readers = self.reachable_watchers();
        readers
            .filter(|vm| self.crash_readers.contains(vm))
            .collect()
    }

    /// Stores farewells for a node; returns whether the writing VM reaches the platform.
    pub fn write_farewells(
        &mut self,
        vm: usize,
        writer: &Peer,
        node: &str,
        list: &[Farewell],
    ) -> bool {
        self.calls += 1;
        let is_reachable = self.answers(vm, &writer.zone);
        if is_reachable {
            let stored = self.farewells.entry(node.to_owned()).or_default();
            merge_farewells(stored, list);
        }
        is_reachable
    }

    /// Stores a roll-out that an operator orders; returns the watchers to notify.
    pub fn order_rollout(&mut self, service: &str, target: &str, duration: Duration) -> Vec<usize> {
        self.writes += 1;
        let rollout = Rollout {
            service: service.into(),
            target: target.into(),
            order: OrderRevision {
                era: 0,
                revision: self.writes,
            },
            duration_ms: u32::try_from(duration.as_millis()).expect("short"),
            age_ms: 0,
            stage: Stage::Canary,
        };
        self.rollouts.insert(service.to_owned(), rollout);
        self.reachable_watchers().collect()
    }

    /// Stores the stage of a roll-out; returns the roll-out as stored after the write and the
    /// watchers to notify, or `None` if the platform does not respond.
    pub fn write_rollout(
        &mut self,
        zone: &str,
        rollout: &Rollout,
    ) -> Option<(Rollout, Vec<usize>)> {
        self.calls += 1;
        if self.is_down || self.unreachable_zones.contains(zone) {
            return None;
        }
        let current = self.rollouts.get_mut(rollout.service.as_str())?;
        if current.target == rollout.target && !current.stage.is_final() {
            current.stage = rollout.stage;
            self.outcome_writes += u64::from(rollout.stage.is_final());
        }
        let current = current.clone();
        Some((current, self.reachable_watchers().collect()))
    }

    /// Removes all outcomes of roll-outs, all crashes and all farewells, as a restore from an older
    /// backup does.
    pub fn lose_recent_writes(&mut self) -> Vec<usize> {
        for rollout in self.rollouts.values_mut() {
            rollout.stage = Stage::Canary;
            rollout.order.era += 1;
        }
        self.written_crashes.clear();
        self.farewells.clear();
        self.reachable_watchers().collect()
    }

    pub fn rollouts(&self) -> Vec<Rollout> {
        self.rollouts.values().cloned().collect()
    }

    /// Returns the watchers that the platform can reach.
    fn reachable_watchers(&self) -> impl Iterator<Item = usize> {
        let watchers = self.watchers.iter();
        let reached = watchers.filter(|(vm, watcher)| self.reaches(**vm, &watcher.zone));
        reached.map(|(vm, _)| *vm)
    }

    fn reaches(&self, vm: usize, zone: &str) -> bool {
        !self.silent_watchers.contains(&vm) && self.answers(vm, zone)
    }

    fn answers(&self, vm: usize, zone: &str) -> bool {
        !self.is_down
            && !self.unreachable_zones.contains(zone)
            && matches!(self.denials.get(&vm), None | Some(Denial::Slow))
    }

    /// Returns whether a VM's requests get no response at all.
    pub fn is_silent(&self, vm: usize, zone: &str) -> bool {
        !self.answers(vm, zone) && self.denials.get(&vm) != Some(&Denial::Refused)
    }

    /// Returns how late the platform's responses reach a VM.
    pub fn delay(&self, vm: usize) -> Duration {
        let is_slow = self.denials.get(&vm) == Some(&Denial::Slow);
        if is_slow { SLOW_DELAY } else { 3 * MS }
    }

    /// Returns the watchers whose requests have been held without a change until `now`.
    pub fn take_held(&mut self, now: Duration) -> Vec<usize> {
        let reachable: Vec<_> = self.reachable_watchers().collect();
        let mut due = Vec::new();
        for vm in reachable {
            let watcher = self.watchers.get_mut(&vm);
            if let Some(watcher) = watcher.filter(|watcher| now >= watcher.respond_at) {
                self.held_responses += 1;
                watcher.respond_at = now + vary(watcher.hold_time, self.held_responses);
                due.push(vm);
            }
        }
        due
    }

    /// Returns all crashes that were written.
    pub fn crashes(&self) -> Vec<Crash> {
        self.written_crashes.values().flatten().cloned().collect()
    }

    pub fn unwatch(&mut self, vm: usize) {
        self.watchers.remove(&vm);
        self.silent_watchers.remove(&vm);
        self.crash_readers.remove(&vm);
    }

    /// Returns the versions that each watcher has not been sent yet, and marks them as sent.
    pub fn take_updates(&mut self) -> Vec<(usize, Vec<PlatformResponse>)> {
        if self.is_down {
            return Vec::new();
        }
        let head = self.head();
        let mut all = Vec::new();
        let mut watchers = std::mem::take(&mut self.watchers);
        for (vm, watcher) in &mut watchers {
            if self.reaches(*vm, &watcher.zone) {
                let mut steps = self.steps_after(watcher.sent);
                if self.sends_steps_alone {
                    steps.retain(|step| matches!(step, PlatformResponse::Step { .. }));
                }
                all.push((*vm, steps));
                watcher.sent = head;
            }
        }
        self.watchers = watchers;
        all
    }

    fn steps_after(&self, at: Version) -> Vec<PlatformResponse> {
        let mut responses = vec![PlatformResponse::LatestVersion(self.head())];
        for (number, (patch, _, digest)) in (1..).zip(&self.history) {
            if number > at.0 {
                responses.push(PlatformResponse::Step {
                    version: Version(number),
                    patch: Arc::clone(patch),
                    digest: *digest,
                });
            }
        }
        responses
    }

    pub fn handle(
        &mut self,
        vm: usize,
        peer: &Peer,
        request: PlatformRequest,
        now: Duration,
    ) -> Vec<(Duration, PlatformResponse)> {
        self.calls += 1;
        let is_confirmation = matches!(request, PlatformRequest::ConfirmVersion { .. });
        self.confirmations += u64::from(is_confirmation);
        let zone = peer.zone.to_string();
        let watcher = |sent: Version, is_primary: bool| {
            let hold_time = if is_primary {
                HOLD_TIMES.0
            } else {
                HOLD_TIMES.1
            };
            Watcher {
                zone: zone.clone(),
                sent,
                hold_time,
                respond_at: now + hold_time,
            }
        };
        if !self.answers(vm, &zone) {
            let is_refused = self.denials.get(&vm) == Some(&Denial::Refused);
            let wait = if is_refused { 3 * MS } else { TIMEOUT };
            return match request {
                PlatformRequest::Watch { after, is_primary } => {
                    self.watchers.insert(vm, watcher(after, is_primary));
                    Vec::new()
                }
                _ => vec![(wait, PlatformResponse::Failed(request))],
            };
        }
        let wait = self.delay(vm);
        let response = match request {
            PlatformRequest::Leases { .. } => {
                let revisions = self.leases.iter();
                let revisions = revisions.map(|(key, lease)| (key.clone(), lease.revision));
                self.seen_revisions.insert(vm, revisions.collect());
                PlatformResponse::Leases(self.list_leases(now))
            }
            PlatformRequest::AcquireLease { slot, is_forced } => {
                let key = (peer.zone.to_string(), slot);
                let seen = self
                    .seen_revisions
                    .get(&vm)
                    .and_then(|seen| seen.get(&key))
                    .copied();
                self.acquire_lease(peer, slot, seen.filter(|_| is_forced), now)
            }
            PlatformRequest::RenewLease { slot } => self.renew_lease(peer, slot, now),
            PlatformRequest::ReleaseLease { slot } => {
                let key = (peer.zone.to_string(), slot);
                if self
                    .leases
                    .get(&key)
                    .is_some_and(|lease| lease.holder == *peer)
                {
                    self.leases.remove(&key);
                }
                return Vec::new();
            }
            PlatformRequest::Watch { after, is_primary } => {
                self.watchers.insert(vm, watcher(self.head(), is_primary));
                self.silent_watchers.remove(&vm);
                let mut steps = self.steps_after(after);
                if is_primary {
                    self.crash_readers.insert(vm);
                    steps.push(PlatformResponse::Crashes(self.crashes()));
                }
                steps.push(PlatformResponse::Rollouts(self.rollouts()));
                return steps.into_iter().map(|step| (wait, step)).collect();
            }
            PlatformRequest::Crashes => PlatformResponse::Crashes(self.crashes()),
            PlatformRequest::Rollouts => PlatformResponse::Rollouts(self.rollouts()),
            PlatformRequest::Farewells => {
                let stored = self.farewells.get(peer.node.as_str());
                PlatformResponse::Farewells(stored.cloned().unwrap_or_default())
            }
            PlatformRequest::ConfirmVersion { after, serial } => {
                let mut responses = self.steps_after(after);
                responses.push(PlatformResponse::Confirmed {
                    serial,
                    version: self.head(),
                });
                let responses = responses.into_iter();
                return responses.map(|response| (wait, response)).collect();
            }
            PlatformRequest::Unwatch => {
                self.unwatch(vm);
                return Vec::new();
            }
        };
        if self.drops_responses && !matches!(request, PlatformRequest::Leases { .. }) {
            return vec![(TIMEOUT, PlatformResponse::Failed(request))];
        }
        vec![(wait, response)]
    }

    fn list_leases(&self, now: Duration) -> Vec<RootLease> {
        let leases = self.leases.iter().map(|((_, slot), lease)| RootLease {
            slot: *slot,
            holder: lease.holder.clone(),
            is_live: lease.expires_at > now,
        });
        leases.collect()
    }

    /// Grants a lease. If another node holds the lease and it has not expired, it is granted only
    /// if its revision is still `seen`.
    fn acquire_lease(
        &mut self,
        peer: &Peer,
        slot: u8,
        seen: Option<u64>,
        now: Duration,
    ) -> PlatformResponse {
        let key = (peer.zone.to_string(), slot);
        let is_held = self.leases.get(&key).is_some_and(|lease| {
            lease.expires_at > now && lease.holder != *peer && Some(lease.revision) != seen
        });
        if is_held {
            return PlatformResponse::LeaseLost { slot };
        }
        self.grant_lease(key, peer, now)
    }

    fn renew_lease(&mut self, peer: &Peer, slot: u8, now: Duration) -> PlatformResponse {
        let key = (peer.zone.to_string(), slot);
        if self
            .leases
            .get(&key)
            .is_some_and(|lease| lease.holder != *peer)
        {
            return PlatformResponse::LeaseLost { slot };
        }
        self.grant_lease(key, peer, now)
    }

    fn grant_lease(&mut self, key: (String, u8), peer: &Peer, now: Duration) -> PlatformResponse {
        let slot = key.1;
        self.writes += 1;
        let lease = Lease {
            holder: peer.clone(),
            expires_at: now + fleet::lease::LEASE_DURATION,
            revision: self.writes,
        };
        let former = self.leases.insert(key, lease);
        let is_change = former.is_none_or(|former| former.holder != *peer);
        self.lease_changes += u64::from(is_change);
        PlatformResponse::LeaseGranted { slot }
    }
}

/// Varies a hold time by a fifth, as the platform's client does.
fn vary(hold_time: Duration, count: u64) -> Duration {
    let hash = count.wrapping_mul(6_364_136_223_846_793_005) >> 56;
    let share = u8::try_from(hash).map_or(0.5, |hash| f64::from(hash) / 255.0);
    hold_time.mul_f64(0.8 + 0.4 * share)
}
