//! What this node knows of roll-outs: which endpoints its calls go to, and what they came to.

use config::rollout::{Counts, KIND_COUNT, Stage, Tally};
use config::{Endpoint, Rollout, ServiceKey, View};
use parking_lot::{Mutex, RwLock};
use policy::balance::Track;
use policy::rollout::{self, Sampler, track_of, trial_endpoint_count, trial_share};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What a call at one version of a service under trial came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// It was answered in the usual time.
    Normal,
    /// It failed.
    Failed,
    /// It took several times as long as usual.
    Slow,
}

/// Roll-outs as calls see them.
#[derive(Debug, Default)]
pub struct Rollouts {
    /// Share of a service's calls that try a new version.
    share: f64,
    known: RwLock<BTreeMap<SmolStr, Rollout>>,
    /// Whether there are any; spares most calls the lock.
    is_any: AtomicBool,
    /// Grows with each change.
    generation: AtomicU64,
    trials: Mutex<BTreeMap<SmolStr, Trial>>,
}

/// What the calls of one service came to, for one roll-out.
#[derive(Debug)]
struct Trial {
    target: SmolStr,
    tally: Tally,
    sampler: Sampler,
}

/// Where the calls of a service may go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TrafficSplit {
    target: SmolStr,
    stage: Stage,
    /// Whether there are endpoints of other versions.
    has_old: bool,
    /// Nodes whose endpoints the trial goes to.
    tried: BTreeSet<SmolStr>,
}

impl Rollouts {
    /// Knows no roll-out; `allowed` is the share of a service's calls that may reach a bad version.
    #[must_use]
    pub fn new(allowed: f64) -> Self {
        Self {
            share: trial_share(allowed),
            ..Self::default()
        }
    }

    /// Takes in how all roll-outs stand.
    pub(crate) fn set(&self, list: Vec<Rollout>) {
        let mut trials = self.trials.lock();
        trials.retain(|service, one| {
            list.iter()
                .any(|rollout| rollout.service == *service && rollout.target == one.target)
        });
        drop(trials);
        let mut known = self.known.write();
        self.is_any.store(!list.is_empty(), Ordering::Relaxed);
        let list = list.into_iter();
        let next: BTreeMap<_, _> = list.map(|one| (one.service.clone(), one)).collect();
        let stands = |rollout: &Rollout| (rollout.target.clone(), rollout.stage);
        let is_same = known.len() == next.len()
            && next.iter().all(|(service, one)| {
                known
                    .get(service)
                    .is_some_and(|old| stands(old) == stands(one))
            });
        *known = next;
        if !is_same {
            self.generation.fetch_add(1, Ordering::Release);
        }
    }

    /// Gives a number that grows with each change.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Gives the roll-out of a service, if there is one.
    pub(crate) fn get(&self, service: &str) -> Option<Rollout> {
        if !self.is_any.load(Ordering::Relaxed) {
            return None;
        }
        self.known.read().get(service).cloned()
    }

    /// Tells where the calls of a service may go by the endpoints of a view.
    pub(crate) fn split(&self, view: &View, service: ServiceKey) -> Option<TrafficSplit> {
        let service = view.service(service);
        let rollout = self.get(&service.name)?;
        let endpoints = service.endpoints.iter();
        let endpoints = endpoints.map(|endpoint| view.endpoint(*endpoint));
        let (new, old): (Vec<_>, Vec<_>) =
            endpoints.partition(|endpoint| endpoint.version == rollout.target);
        let mut new: Vec<_> = new.into_iter().map(|one| one.node.clone()).collect();
        // All proxies choose the same ones, spread over zones as the names are.
        new.sort_by_cached_key(|node| (policy::hash(node), node.clone()));
        new.truncate(trial_endpoint_count(self.share, old.len(), new.len()));
        Some(TrafficSplit {
            target: rollout.target,
            stage: rollout.stage,
            has_old: !old.is_empty(),
            tried: new.into_iter().collect(),
        })
    }

    /// Tells whether a call of a service is to try the version under trial.
    pub(crate) fn sample(&self, service: &str) -> bool {
        let Some(rollout) = self.get(service) else {
            return false;
        };
        rollout.stage == Stage::Canary
            && self.with_trial(&rollout, |trial| trial.sampler.sample(self.share))
    }

    /// Counts a call that begins at an endpoint; gives what is to be told of its end.
    pub(crate) fn begin_call(&self, endpoint: &Endpoint) -> Option<RolloutCall> {
        let rollout = self.get(&endpoint.service)?;
        if rollout.stage.is_final() {
            return None;
        }
        let is_trial = endpoint.version == rollout.target;
        if !is_trial {
            self.with_trial(&rollout, |trial| trial.tally.pending += 1);
        }
        Some(RolloutCall { rollout, is_trial })
    }

    /// Takes in that a call has left its endpoint.
    pub(crate) fn end_call(&self, begun: &RolloutCall) {
        if !begun.is_trial {
            self.with_trial(&begun.rollout, |trial| {
                trial.tally.pending = trial.tally.pending.saturating_sub(1);
            });
        }
    }

    /// Takes in what a call of a kind came to.
    pub(crate) fn record_result(&self, begun: &RolloutCall, kind: usize, ending: CallResult) {
        self.with_trial(&begun.rollout, |trial| {
            let counts = if begun.is_trial {
                &mut trial.tally.trial
            } else {
                &mut trial.tally.stable
            };
            note(&mut counts[kind.min(KIND_COUNT - 1)], ending);
        });
    }

    /// Gives what was counted of all services.
    pub(crate) fn tallies(&self) -> Vec<(SmolStr, Tally)> {
        let trials = self.trials.lock();
        let all = trials.iter();
        all.map(|(service, one)| (service.clone(), one.tally))
            .collect()
    }

    fn with_trial<T, F>(&self, rollout: &Rollout, act: F) -> T
    where
        F: FnOnce(&mut Trial) -> T,
    {
        let mut trials = self.trials.lock();
        let entry = trials.entry(rollout.service.clone());
        let entry = entry.or_insert_with(|| Trial::new(&rollout.target));
        if entry.target != rollout.target {
            *entry = Trial::new(&rollout.target);
        }
        act(entry)
    }
}

impl Trial {
    fn new(target: &SmolStr) -> Self {
        Self {
            target: target.clone(),
            tally: Tally::default(),
            sampler: Sampler::new(rand::random()),
        }
    }
}

/// A call that runs at an endpoint of a service under trial.
#[derive(Debug, Clone)]
pub(crate) struct RolloutCall {
    rollout: Rollout,
    is_trial: bool,
}

impl TrafficSplit {
    /// Tells which calls an endpoint takes.
    pub(crate) fn track(&self, endpoint: &Endpoint) -> Track {
        let endpoint = rollout::Endpoint {
            is_new: endpoint.version == self.target,
            is_in_trial: self.tried.contains(&endpoint.node),
        };
        track_of(self.stage, endpoint, self.has_old)
    }
}

fn note(counts: &mut Counts, ending: CallResult) {
    counts.ended = counts.ended.saturating_add(1);
    match ending {
        CallResult::Normal => {}
        CallResult::Failed => counts.failed = counts.failed.saturating_add(1),
        CallResult::Slow => counts.slow = counts.slow.saturating_add(1),
    }
}
