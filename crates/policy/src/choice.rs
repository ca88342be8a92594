//! The choice itself: two at random of the nearest tier, with spill-over by load.
//!
//! The load patterns and grounds stand in [`crate::balance`].

use crate::balance::{Balancer, Distance, Key, PickArgs};
use crate::outlier::Phase;
use rand::Rng;
use std::time::Instant;

/// Load of the own zone's choice from which other zones are looked at by calls
/// without a target; from here to a full load ever more calls look.
const SPILL_FROM: f64 = 0.7;

/// Times the score that a backend server elsewhere must stay under for them.
const SPILL_COST: f64 = 1.5;

/// Times sooner that a backend server elsewhere must answer for calls with one.
pub(crate) const SOONER: f64 = 1.25;

/// Times the expected time of an answer that must be left until its target for
/// the nearer one to do: durations vary by half of their mean, and bytes
/// between availability zones are paid for.
pub(crate) const AMPLE: f64 = 1.1;

/// Draws before one that is cold or already tried is taken as it is.
const DRAWS: usize = 8;

/// What a choice depends on besides the backend servers.
pub(crate) struct Call<'a> {
    pub(crate) now: Instant,
    pub(crate) tried: &'a [Key],
    pub(crate) repeatable: bool,
    pub(crate) route: u64,
    /// Seconds until its target, if it has one.
    pub(crate) left: Option<f64>,
}

impl<'a> Call<'a> {
    pub(crate) fn new(now: Instant, ask: &PickArgs<'a>) -> Self {
        let left = |target: Instant| target.saturating_duration_since(now).as_secs_f64();
        Self {
            now,
            tried: ask.tried,
            repeatable: ask.repeatable,
            route: ask.route,
            left: ask.target.map(left),
        }
    }
}

impl Balancer {
    /// Chooses for one call: the better of two in the nearest tier, or further away as the near ones fill.
    pub(crate) fn choose<R>(&self, call: &Call<'_>, rng: &mut R) -> Option<u32>
    where
        R: Rng,
    {
        let mut best = None;
        let mut cold = None;
        for (tier, servers) in self.tiers.iter().enumerate() {
            let Some(found) = self.choose_of(servers, call, rng) else {
                continue;
            };
            // Alone in its tier, a cold one would get all that comes in on its VM.
            let warmth = self.servers[found as usize].warmth(call.now);
            if tier == Distance::Vm as usize && !rng.random_bool(warmth) {
                cold = Some(found);
                continue;
            }
            let Some(near) = best else {
                best = Some(found);
                continue;
            };
            best = Some(self.choose_nearer(near, found, call, rng));
        }
        best.or(cold).or_else(|| self.choose_last(call))
    }

    /// Chooses among those that are out, if there are no others at all.
    ///
    /// The floor of ejections holds when one is ejected; when the others leave
    /// afterwards, callers would be told that there is no backend server.
    fn choose_last(&self, call: &Call<'_>) -> Option<u32> {
        let health = |index: u32| &self.servers[index as usize].health;
        if self
            .present()
            .any(|index| health(index).phase(call.now) == Phase::In)
        {
            return None;
        }
        self.present()
            .filter(|index| !call.tried.contains(&self.key(*index)))
            .min_by_key(|index| health(*index).out_until())
    }

    /// Decides between the nearer and the further of two.
    ///
    /// The near one will do where it answers well in time. Without a target
    /// that is told by its load: from a point on ever more calls look further,
    /// and as the look is a matter of chance that grows steadily, no threshold
    /// makes the flow flap.
    fn choose_nearer<R>(&self, near: u32, far: u32, call: &Call<'_>, rng: &mut R) -> u32
    where
        R: Rng,
    {
        let (looks, cost) = if let Some(left) = call.left {
            let expected = self.score(near, call) * self.durations.expected(call.route);
            (expected * AMPLE > left, SOONER)
        } else {
            let load = self.servers[near as usize].load(call.now);
            let look = ((load - SPILL_FROM) / (1.0 - SPILL_FROM)).clamp(0.0, 1.0);
            (rng.random_bool(look), SPILL_COST)
        };
        if !looks {
            return near;
        }
        if self.score(far, call) * cost < self.score(near, call) {
            far
        } else {
            near
        }
    }

    pub(crate) fn choose_of<R>(&self, tier: &[u32], call: &Call<'_>, rng: &mut R) -> Option<u32>
    where
        R: Rng,
    {
        let one = self.draw(tier, call, None, rng)?;
        let Some(two) = self.draw(tier, call, Some(one), rng) else {
            return Some(one);
        };
        let better = self.score(two, call) < self.score(one, call);
        Some(if better { two } else { one })
    }

    /// Draws one that is in the choice, a cold one less often.
    fn draw<R>(
        &self,
        tier: &[u32],
        call: &Call<'_>,
        except: Option<u32>,
        rng: &mut R,
    ) -> Option<u32>
    where
        R: Rng,
    {
        let usable = |index: u32| {
            Some(index) != except
                && !call.tried.contains(&self.key(index))
                && self.servers[index as usize].health.phase(call.now) == Phase::In
        };
        let mut cold = None;
        for _ in 0..DRAWS {
            let index = *tier.get(rng.random_range(0..tier.len().max(1)))?;
            if !usable(index) {
                continue;
            }
            if rng.random_bool(self.servers[index as usize].warmth(call.now)) {
                return Some(index);
            }
            cold = Some(index);
        }
        // Luck failed; a first choice has to be found if there is any.
        cold.or_else(|| {
            let found = tier.iter().copied().find(|index| usable(*index));
            found.filter(|_| except.is_none())
        })
    }

    /// Gives what one is compared with others by: how soon it would answer a
    /// call that has a target, else how much there is in front of the call.
    fn score(&self, index: u32, call: &Call<'_>) -> f64 {
        let (server, usual) = (&self.servers[index as usize], self.durations.overall_mean());
        match call.left {
            Some(_) => server.finish(call.now, usual, call.repeatable),
            None => server.score(call.now, usual, call.repeatable),
        }
    }
}
