//! Selection by power of two choices in the nearest tier, with load-based spillover to tiers
//! further away.
//!
//! See [`crate::balance`] for the failures that this prevents and the sources.

use crate::balance::{Balancer, Distance, Key, PickArgs};
use crate::outlier::EjectionState;
use crate::server::Server;
use rand::Rng;
use std::time::Instant;

/// Load of the nearer candidate above which some calls without a target consider a more distant
/// one. The share of calls that do so rises linearly, up to all calls without a target at a load of
/// 1.
const SPILLOVER_LOAD: f64 = 0.7;

/// Factor on the score of a more distant backend server for calls without a target.
const SPILLOVER_COST: f64 = 1.5;

/// Factor by which a more distant backend server has to be faster for calls with a target.
pub(crate) const FAR_SPEEDUP: f64 = 1.25;

/// The nearer backend server is used if its expected response time, multiplied by this factor, fits
/// into the time left until the target: durations vary by half of their mean, and traffic between
/// availability zones costs money.
pub(crate) const TARGET_MARGIN: f64 = 1.1;

/// Number of random draws from a tier. After these, the selection takes a drawn backend server that
/// is still in slow start, or else searches the tier for any usable one.
const MAX_DRAWS: usize = 8;

/// What a selection depends on besides the state of the backend servers.
#[derive(Clone, Copy)]
pub(crate) struct PickContext<'a> {
    pub(crate) now: Instant,
    pub(crate) tried: &'a [Key],
    pub(crate) repeatable: bool,
    pub(crate) route: u64,
    /// Seconds until the call's target, if it has one.
    pub(crate) time_left: Option<f64>,
    /// Which of the backend servers with a rate limit are considered.
    pub(crate) rate_limited: RateLimited,
}

/// Which of the backend servers with a rate limit are considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RateLimited {
    /// All of them.
    All,
    /// Those that may take a call now.
    Available,
    /// None of them.
    None,
}

impl<'a> PickContext<'a> {
    pub(crate) fn new(now: Instant, args: &PickArgs<'a>) -> Self {
        let time_left = |target: Instant| target.saturating_duration_since(now).as_secs_f64();
        Self {
            now,
            tried: args.tried,
            repeatable: args.repeatable,
            route: args.route,
            time_left: args.target.map(time_left),
            rate_limited: RateLimited::All,
        }
    }

    /// Returns the same context with other backend servers with a rate limit.
    pub(crate) fn with(&self, rate_limited: RateLimited) -> Self {
        Self {
            rate_limited,
            ..*self
        }
    }

    fn considers(&self, server: &Server) -> bool {
        match self.rate_limited {
            RateLimited::All => true,
            RateLimited::Available => !server.is_rate_used_up(self.now),
            RateLimited::None => !server.is_rate_limited,
        }
    }
}

impl Balancer {
    /// Selects a backend server without a rate limit, or any if there is no other.
    pub(crate) fn select_unlimited_first<R>(
        &self,
        call: &PickContext<'_>,
        rng: &mut R,
    ) -> Option<u32>
    where
        R: Rng,
    {
        if !self.has_rate_limits {
            return self.select(call, rng);
        }
        [RateLimited::None, RateLimited::Available, RateLimited::All]
            .into_iter()
            .find_map(|rate_limited| self.select(&call.with(rate_limited), rng))
    }

    /// Returns whether an active backend server without a rate limit has not been tried.
    pub(crate) fn has_unlimited(&self, call: &PickContext<'_>) -> bool {
        !self.has_rate_limits
            || self.tier_members().any(|index| {
                let server = &self.servers[index as usize];
                !server.is_rate_limited
                    && !call.tried.contains(&self.key(index))
                    && server.health.state(call.now) == EjectionState::Active
            })
    }

    /// Selects a backend server for a call: the better of two from the nearest tier, or one further
    /// away as the near ones fill up.
    pub(crate) fn select<R>(&self, call: &PickContext<'_>, rng: &mut R) -> Option<u32>
    where
        R: Rng,
    {
        let mut best = None;
        let mut cold = None;
        for (tier, servers) in self.tiers.iter().enumerate() {
            let Some(found) = self.select_of_two(servers, call, rng) else {
                continue;
            };
            // A backend server in slow start that is the only one on this VM would otherwise get
            // every call that this proxy receives.
            let slow_start_weight = self.servers[found as usize].slow_start_weight(call.now);
            if tier == Distance::Vm as usize && !rng.random_bool(slow_start_weight) {
                cold = Some(found);
                continue;
            }
            let Some(near) = best else {
                best = Some(found);
                continue;
            };
            best = Some(self.select_by_distance(near, found, call, rng));
        }
        best.or(cold).or_else(|| self.select_ejected(call))
    }

    /// Selects among ejected backend servers if there is no active one.
    ///
    /// The limit on ejections is checked only when a backend server is ejected. If all active
    /// backend servers leave afterwards, callers would otherwise be told that there is no backend
    /// server.
    fn select_ejected(&self, call: &PickContext<'_>) -> Option<u32> {
        let health = |index: u32| &self.servers[index as usize].health;
        if self
            .tier_members()
            .any(|index| health(index).state(call.now) == EjectionState::Active)
        {
            return None;
        }
        self.tier_members()
            .filter(|index| !call.tried.contains(&self.key(*index)))
            .filter(|index| call.considers(&self.servers[*index as usize]))
            .min_by_key(|index| health(*index).ejected_until())
    }

    /// Selects between a nearer and a more distant backend server.
    ///
    /// For a call with a target, the nearer backend server is used if it is expected to answer in
    /// time. For a call without a target, the load of the nearer backend server decides: above a
    /// threshold, a growing share of calls considers the more distant one. Because this decision is
    /// random and the share grows steadily, traffic does not flap around a fixed threshold. A more
    /// distant backend server that is considered is used if its score is better by a given factor.
    fn select_by_distance<R>(&self, near: u32, far: u32, call: &PickContext<'_>, rng: &mut R) -> u32
    where
        R: Rng,
    {
        let (considers_far, cost) = if let Some(time_left) = call.time_left {
            let expected = self.score(near, call) * self.durations.expected(call.route);
            (expected * TARGET_MARGIN > time_left, FAR_SPEEDUP)
        } else {
            let load = self.servers[near as usize].load(call.now);
            let spill_share = ((load - SPILLOVER_LOAD) / (1.0 - SPILLOVER_LOAD)).clamp(0.0, 1.0);
            (rng.random_bool(spill_share), SPILLOVER_COST)
        };
        if !considers_far {
            return near;
        }
        if self.score(far, call) * cost < self.score(near, call) {
            far
        } else {
            near
        }
    }

    pub(crate) fn select_of_two<R>(
        &self,
        tier: &[u32],
        call: &PickContext<'_>,
        rng: &mut R,
    ) -> Option<u32>
    where
        R: Rng,
    {
        let first = self.draw_usable(tier, call, None, rng)?;
        let Some(second) = self.draw_usable(tier, call, Some(first), rng) else {
            return Some(first);
        };
        let is_better = self.score(second, call) < self.score(first, call);
        Some(if is_better { second } else { first })
    }

    /// Draws an active backend server; one in slow start is drawn less often.
    fn draw_usable<R>(
        &self,
        tier: &[u32],
        call: &PickContext<'_>,
        except: Option<u32>,
        rng: &mut R,
    ) -> Option<u32>
    where
        R: Rng,
    {
        let usable = |index: u32| {
            Some(index) != except
                && call.considers(&self.servers[index as usize])
                && !call.tried.contains(&self.key(index))
                && self.servers[index as usize].health.state(call.now) == EjectionState::Active
        };
        let mut cold = None;
        for _ in 0..MAX_DRAWS {
            let index = *tier.get(rng.random_range(0..tier.len().max(1)))?;
            if !usable(index) {
                continue;
            }
            if rng.random_bool(self.servers[index as usize].slow_start_weight(call.now)) {
                return Some(index);
            }
            cold = Some(index);
        }
        // The random draws may have missed every usable backend server. The first of the two
        // choices must be found if any backend server is usable; the second may be missing.
        cold.or_else(|| {
            let found = tier.iter().copied().find(|index| usable(*index));
            found.filter(|_| except.is_none())
        })
    }

    /// Returns the score by which backend servers are compared; lower is better. The score is the
    /// expected finish time for a call with a target, and otherwise the load ahead of the call.
    fn score(&self, index: u32, call: &PickContext<'_>) -> f64 {
        let (server, mean_duration) =
            (&self.servers[index as usize], self.durations.overall_mean());
        match call.time_left {
            Some(_) => server.expected_finish(call.now, mean_duration, call.repeatable),
            None => server.load_score(call.now, mean_duration, call.repeatable),
        }
    }
}
