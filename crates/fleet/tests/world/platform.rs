//! The platform: versions and leases, with outages, lost answers and silent watches.

use call::Crash;
use config::rollout::{Place, Stage};
use config::{Digest, Held, Mesh, Patch, Rollout, Version};
use fleet::{Peer, PlatformRequest, PlatformResponse, RootLease};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Lease {
    holder: Peer,
    until: Duration,
    revision: u64,
}

#[derive(Debug, Default)]
pub struct Platform {
    pub is_down: bool,
    /// Whether answers to writes are lost after the write took effect.
    pub loses_answers: bool,
    /// Zones that can't reach the platform.
    pub unreachable_zones: BTreeSet<String>,
    /// Followers that get nothing more, and aren't told.
    pub silent_followers: BTreeSet<usize>,
    pub calls: u64,
    history: Vec<(Arc<Patch>, Arc<Mesh>, Digest)>,
    held: Held,
    leases: BTreeMap<(String, u8), Lease>,
    /// Who follows, in which zone, and what it was sent.
    followers: BTreeMap<usize, (String, Version)>,
    writes: u64,
    /// Crashes as the holders of leases wrote them.
    written_crashes: BTreeMap<(String, u8), Vec<Crash>>,
    pub crash_writes: u64,
    rollouts: BTreeMap<String, Rollout>,
    /// Verdicts that were written.
    pub outcome_writes: u64,
    /// Followers that read crashes: one a zone.
    crash_readers: BTreeSet<usize>,
    /// Revisions of all leases as each VM last read them.
    seen_revisions: BTreeMap<usize, BTreeMap<(String, u8), u64>>,
}

impl Platform {
    pub fn head(&self) -> Version {
        self.held.version()
    }

    pub fn digest(&self, version: Version) -> Option<Digest> {
        match version.0.checked_sub(1) {
            None => Some(Held::default().digest()),
            Some(index) => {
                let index = usize::try_from(index).ok()?;
                self.history.get(index).map(|entry| entry.2)
            }
        }
    }

    /// Holders of leases of a zone that have time left.
    pub fn roots(&self, zone: &str, now: Duration) -> Vec<Peer> {
        let live = self
            .leases
            .iter()
            .filter(|((at, _), lease)| at == zone && lease.until > now);
        live.map(|(_, lease)| lease.holder.clone()).collect()
    }

    pub fn accept(&mut self, patch: Patch) -> Version {
        let next = patch.apply(self.held.mesh()).expect("a valid patch");
        let version = self.head().next();
        let digest = Digest::of(&next);
        self.held
            .step(self.held.version(), version, &patch, digest)
            .expect("the next version");
        self.history
            .push((Arc::new(patch), Arc::clone(self.held.mesh()), digest));
        version
    }

    /// Takes what the holder of a lease writes; gives those whom it reaches at once.
    pub fn write_crashes(&mut self, zone: &str, slot: u8, list: Vec<Crash>) -> Vec<usize> {
        self.calls += 1;
        if self.is_down || self.unreachable_zones.contains(zone) {
            return Vec::new();
        }
        self.crash_writes += 1;
        self.written_crashes.insert((zone.to_owned(), slot), list);
        let readers = self.reachable_followers();
        readers
            .filter(|vm| self.crash_readers.contains(vm))
            .collect()
    }

    /// Takes an operator's order; gives those whom it reaches at once.
    pub fn order_rollout(&mut self, service: &str, target: &str, duration: Duration) -> Vec<usize> {
        self.writes += 1;
        let rollout = Rollout {
            service: service.into(),
            target: target.into(),
            place: Place {
                era: 0,
                revision: self.writes,
            },
            duration_ms: u32::try_from(duration.as_millis()).expect("short"),
            age_ms: 0,
            stage: Stage::Canary,
        };
        self.rollouts.insert(service.to_owned(), rollout);
        self.reachable_followers().collect()
    }

    /// Takes a report; gives what stands then and whom it reaches, if the platform answers.
    pub fn report(&mut self, zone: &str, rollout: &Rollout) -> Option<(Rollout, Vec<usize>)> {
        self.calls += 1;
        if self.is_down || self.unreachable_zones.contains(zone) {
            return None;
        }
        let stands = self.rollouts.get_mut(rollout.service.as_str())?;
        if stands.target == rollout.target && !stands.stage.is_final() {
            stands.stage = rollout.stage;
            self.outcome_writes += u64::from(rollout.stage.is_final());
        }
        let stands = stands.clone();
        Some((stands, self.reachable_followers().collect()))
    }

    /// Loses all verdicts and what was written of crashes, as a copy from before would.
    pub fn lose_recent_writes(&mut self) -> Vec<usize> {
        for rollout in self.rollouts.values_mut() {
            rollout.stage = Stage::Canary;
            rollout.place.era += 1;
        }
        self.written_crashes.clear();
        self.reachable_followers().collect()
    }

    pub fn rollouts(&self) -> Vec<Rollout> {
        self.rollouts.values().cloned().collect()
    }

    /// Gives the followers that the platform reaches.
    fn reachable_followers(&self) -> impl Iterator<Item = usize> {
        let followers = self.followers.iter();
        let reached = followers.filter(|(vm, (zone, _))| {
            !self.silent_followers.contains(vm) && !self.unreachable_zones.contains(zone)
        });
        reached.map(|(vm, _)| *vm)
    }

    /// Gives all that was written of crashes.
    pub fn crashes(&self) -> Vec<Crash> {
        self.written_crashes.values().flatten().cloned().collect()
    }

    pub fn unfollow(&mut self, vm: usize) {
        self.followers.remove(&vm);
        self.silent_followers.remove(&vm);
        self.crash_readers.remove(&vm);
    }

    /// Gives each follower what it has not got yet.
    pub fn take_updates(&mut self) -> Vec<(usize, Vec<PlatformResponse>)> {
        if self.is_down {
            return Vec::new();
        }
        let head = self.head();
        let mut all = Vec::new();
        let mut followers = std::mem::take(&mut self.followers);
        for (vm, (zone, at)) in &mut followers {
            if !self.silent_followers.contains(vm) && !self.unreachable_zones.contains(zone) {
                all.push((*vm, self.steps_after(*at)));
                *at = head;
            }
        }
        self.followers = followers;
        all
    }

    fn steps_after(&self, at: Version) -> Vec<PlatformResponse> {
        let mut answers = vec![PlatformResponse::LatestVersion(self.head())];
        for (number, (patch, _, digest)) in (1..).zip(&self.history) {
            if number > at.0 {
                answers.push(PlatformResponse::Step {
                    version: Version(number),
                    patch: Arc::clone(patch),
                    digest: *digest,
                });
            }
        }
        answers
    }

    pub fn handle(
        &mut self,
        vm: usize,
        own: &Peer,
        request: PlatformRequest,
        now: Duration,
    ) -> Vec<(Duration, PlatformResponse)> {
        self.calls += 1;
        let zone = own.zone.to_string();
        if self.is_down || self.unreachable_zones.contains(&zone) {
            return match request {
                PlatformRequest::Watch { after, .. } => {
                    self.followers.insert(vm, (zone, after));
                    Vec::new()
                }
                _ => vec![(TIMEOUT, PlatformResponse::Failed(request))],
            };
        }
        let answer = match request {
            PlatformRequest::Leases { .. } => {
                let revisions = self.leases.iter();
                let revisions = revisions.map(|(key, lease)| (key.clone(), lease.revision));
                self.seen_revisions.insert(vm, revisions.collect());
                PlatformResponse::Leases(self.list_leases(now))
            }
            PlatformRequest::AcquireLease { slot, is_forced } => {
                let key = (own.zone.to_string(), slot);
                let seen = self
                    .seen_revisions
                    .get(&vm)
                    .and_then(|seen| seen.get(&key))
                    .copied();
                self.take_lease(own, slot, seen.filter(|_| is_forced), now)
            }
            PlatformRequest::LatestVersion { .. } => PlatformResponse::LatestVersion(self.head()),
            PlatformRequest::RenewLease { slot } => self.renew_lease(own, slot, now),
            PlatformRequest::ReleaseLease { slot } => {
                let key = (own.zone.to_string(), slot);
                if self
                    .leases
                    .get(&key)
                    .is_some_and(|lease| lease.holder == *own)
                {
                    self.leases.remove(&key);
                }
                return Vec::new();
            }
            PlatformRequest::Watch { after, is_first } => {
                self.followers.insert(vm, (zone, self.head()));
                self.silent_followers.remove(&vm);
                let mut steps = self.steps_after(after);
                if is_first {
                    self.crash_readers.insert(vm);
                    steps.push(PlatformResponse::Crashes(self.crashes()));
                }
                steps.push(PlatformResponse::Rollouts(self.rollouts()));
                return steps.into_iter().map(|step| (3 * MS, step)).collect();
            }
            PlatformRequest::Crashes => PlatformResponse::Crashes(self.crashes()),
            PlatformRequest::Rollouts => PlatformResponse::Rollouts(self.rollouts()),
            PlatformRequest::FetchLatest { after } => {
                let steps = self.steps_after(after);
                return steps.into_iter().map(|step| (3 * MS, step)).collect();
            }
            PlatformRequest::Unwatch => {
                self.unfollow(vm);
                return Vec::new();
            }
        };
        if self.loses_answers && !matches!(request, PlatformRequest::Leases { .. }) {
            return vec![(TIMEOUT, PlatformResponse::Failed(request))];
        }
        vec![(3 * MS, answer)]
    }

    fn list_leases(&self, now: Duration) -> Vec<RootLease> {
        let seats = self.leases.iter().map(|((_, slot), lease)| RootLease {
            slot: *slot,
            holder: lease.holder.clone(),
            is_live: lease.until > now,
        });
        seats.collect()
    }

    /// A lease with time left is taken only as it was `seen`.
    fn take_lease(
        &mut self,
        own: &Peer,
        slot: u8,
        seen: Option<u64>,
        now: Duration,
    ) -> PlatformResponse {
        let key = (own.zone.to_string(), slot);
        let is_held = self.leases.get(&key).is_some_and(|lease| {
            lease.until > now && lease.holder != *own && Some(lease.revision) != seen
        });
        if is_held {
            return PlatformResponse::LeaseLost { slot };
        }
        self.grant_lease(key, own, now)
    }

    fn renew_lease(&mut self, own: &Peer, slot: u8, now: Duration) -> PlatformResponse {
        let key = (own.zone.to_string(), slot);
        if self
            .leases
            .get(&key)
            .is_some_and(|lease| lease.holder != *own)
        {
            return PlatformResponse::LeaseLost { slot };
        }
        self.grant_lease(key, own, now)
    }

    fn grant_lease(&mut self, key: (String, u8), own: &Peer, now: Duration) -> PlatformResponse {
        let slot = key.1;
        self.writes += 1;
        let lease = Lease {
            holder: own.clone(),
            until: now + fleet::lease::LEASE_DURATION,
            revision: self.writes,
        };
        self.leases.insert(key, lease);
        PlatformResponse::LeaseGranted { slot }
    }
}
