//! Roll-outs as seen by the outbound proxy: which endpoints calls may go to, and the results of
//! those calls.

use config::rollout::{Counts, KIND_COUNT, Stage, Tally};
use config::{Endpoint, Rollout, ServiceKey, View};
use parking_lot::{Mutex, RwLock};
use policy::balance::Track;
use policy::rollout::{self, Sampler, track_of, trial_endpoint_count, trial_share};
use smol_str::SmolStr;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Result of a call to a service with a roll-out, counted for the version that served it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The call was answered in the usual time.
    Normal,
    /// The call failed.
    Failed,
    /// The call took several times as long as usual.
    Slow,
}

/// The roll-outs known to this node, with the results of its calls.
#[derive(Debug, Default)]
pub struct Rollouts {
    /// Share of a service's calls that go to the new version during its trial.
    trial_share: f64,
    by_service: RwLock<BTreeMap<SmolStr, Rollout>>,
    /// Whether any roll-out is known; lets most calls avoid the lock.
    has_any: AtomicBool,
    /// Increases with each change of a target or stage, and when a roll-out is added or removed.
    generation: AtomicU64,
    trials: Mutex<BTreeMap<SmolStr, TrialStats>>,
}

/// Call results of one service in one roll-out.
#[derive(Debug)]
struct TrialStats {
    target: SmolStr,
    tally: Tally,
    sampler: Sampler,
}

/// Decides which endpoints of a service calls may go to during its roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TrafficSplit {
    target: SmolStr,
    stage: Stage,
    /// Whether there are endpoints of other versions than the target.
    has_stable: bool,
    /// Nodes whose endpoints take part in the trial.
    trial_nodes: BTreeSet<SmolStr>,
}

impl Rollouts {
    /// Creates an empty set; `allowed_share` is the share of a service's calls that may reach a bad
    /// version.
    #[must_use]
    pub fn new(allowed_share: f64) -> Self {
        Self {
            trial_share: trial_share(allowed_share),
            ..Self::default()
        }
    }

    /// Replaces all roll-outs by their current states.
    pub(crate) fn set(&self, list: Vec<Rollout>) {
        let mut trials = self.trials.lock();
        trials.retain(|service, trial| {
            list.iter()
                .any(|rollout| rollout.service == *service && rollout.target == trial.target)
        });
        drop(trials);
        let mut rollouts = self.by_service.write();
        self.has_any.store(!list.is_empty(), Ordering::Relaxed);
        let list = list.into_iter();
        let next: BTreeMap<_, _> = list
            .map(|rollout| (rollout.service.clone(), rollout))
            .collect();
        let state = |rollout: &Rollout| (rollout.target.clone(), rollout.stage);
        let is_same = rollouts.len() == next.len()
            && next.iter().all(|(service, rollout)| {
                rollouts
                    .get(service)
                    .is_some_and(|old| state(old) == state(rollout))
            });
        *rollouts = next;
        if !is_same {
            self.generation.fetch_add(1, Ordering::Release);
        }
    }

    /// Returns a number that increases with each change of the roll-outs that affects traffic
    /// splits.
    pub(crate) fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Returns the roll-out of a service, if there is one.
    pub(crate) fn get(&self, service: &str) -> Option<Rollout> {
        if !self.has_any.load(Ordering::Relaxed) {
            return None;
        }
        self.by_service.read().get(service).cloned()
    }

    /// Returns the traffic split for a service's endpoints in a view, if it has a roll-out.
    pub(crate) fn split(&self, view: &View, service: ServiceKey) -> Option<TrafficSplit> {
        let service = view.service(service);
        let rollout = self.get(&service.name)?;
        let endpoints = service.endpoints.iter();
        let endpoints = endpoints.map(|endpoint| view.endpoint(*endpoint));
        let (new, stable): (Vec<_>, Vec<_>) =
            endpoints.partition(|endpoint| endpoint.version == rollout.target);
        let mut new: Vec<_> = new
            .into_iter()
            .map(|endpoint| endpoint.node.clone())
            .collect();
        // All proxies choose the same nodes, spread over zones by the hashes of their names.
        new.sort_by_cached_key(|node| (policy::hash(node), node.clone()));
        new.truncate(trial_endpoint_count(
            self.trial_share,
            stable.len(),
            new.len(),
        ));
        Some(TrafficSplit {
            target: rollout.target,
            stage: rollout.stage,
            has_stable: !stable.is_empty(),
            trial_nodes: new.into_iter().collect(),
        })
    }

    /// Returns whether a call of a service should go to the version under trial.
    pub(crate) fn sample(&self, service: &str) -> bool {
        let Some(rollout) = self.get(service) else {
            return false;
        };
        rollout.stage == Stage::Canary
            && self.with_trial(&rollout, |trial| trial.sampler.sample(self.trial_share))
    }

    /// Begins a call at an endpoint. Returns the handle for recording the end and result of the
    /// call, or `None` if the service has no roll-out in progress.
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

    /// Records that a call has ended at its endpoint.
    pub(crate) fn end_call(&self, call: &RolloutCall) {
        if !call.is_trial {
            self.with_trial(&call.rollout, |trial| {
                trial.tally.pending = trial.tally.pending.saturating_sub(1);
            });
        }
    }

    /// Records the result of a call of the given kind.
    pub(crate) fn record_result(&self, call: &RolloutCall, kind: usize, result: CallResult) {
        self.with_trial(&call.rollout, |trial| {
            let counts = if call.is_trial {
                &mut trial.tally.trial
            } else {
                &mut trial.tally.stable
            };
            count_result(&mut counts[kind.min(KIND_COUNT - 1)], result);
        });
    }

    /// Returns the tallies of all services for which this node has counted calls in a roll-out.
    pub(crate) fn tallies(&self) -> Vec<(SmolStr, Tally)> {
        let trials = self.trials.lock();
        let all = trials.iter();
        all.map(|(service, trial)| (service.clone(), trial.tally))
            .collect()
    }

    fn with_trial<T, F>(&self, rollout: &Rollout, update: F) -> T
    where
        F: FnOnce(&mut TrialStats) -> T,
    {
        let mut trials = self.trials.lock();
        let entry = trials.entry(rollout.service.clone());
        let entry = entry.or_insert_with(|| TrialStats::new(&rollout.target));
        if entry.target != rollout.target {
            *entry = TrialStats::new(&rollout.target);
        }
        update(entry)
    }
}

impl TrialStats {
    fn new(target: &SmolStr) -> Self {
        Self {
            target: target.clone(),
            tally: Tally::default(),
            sampler: Sampler::new(rand::random()),
        }
    }
}

/// A call at an endpoint of a service that has a roll-out in progress.
#[derive(Debug, Clone)]
pub(crate) struct RolloutCall {
    rollout: Rollout,
    is_trial: bool,
}

impl TrafficSplit {
    /// Returns which calls an endpoint takes.
    pub(crate) fn track(&self, endpoint: &Endpoint) -> Track {
        let endpoint = rollout::Endpoint {
            is_new: endpoint.version == self.target,
            is_in_trial: self.trial_nodes.contains(&endpoint.node),
        };
        track_of(self.stage, endpoint, self.has_stable)
    }
}

fn count_result(counts: &mut Counts, result: CallResult) {
    counts.ended = counts.ended.saturating_add(1);
    match result {
        CallResult::Normal => {}
        CallResult::Failed => counts.failed = counts.failed.saturating_add(1),
        CallResult::Slow => counts.slow = counts.slow.saturating_add(1),
    }
}
