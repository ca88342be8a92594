//! Max-min fair shares of one backend server between teams.
//!
//! Load pattern: dozens of teams of very different size call a service, each within its limit, and
//! together they ask for more than there is room for, because one of them sends five times its
//! usual. Without shares by team, all teams are refused alike, and those that send as always pay for
//! the one that doesn't. With equal parts for all teams, a large team is refused while small ones
//! leave room.
//!
//! Each team gets what it asks for up to a common level, which is as high as the capacity allows
//! (max-min fairness; water filling, Bertsekas and Gallager 1987). Calls of a team above the level get
//! the slots that the others leave. Outbound
//! proxies spread calls over all backend servers, so that the level at one of them comes close to
//! that of the whole service, and no figure of the fleet is needed.
//!
//! Only the teams with most work on offer are tracked, in a table of fixed size (space-saving,
//! Metwally et al. 2005). A team that is not in the table is far below the level.

use std::time::{Duration, Instant};

/// Number of teams that are tracked. At equal shares, each of 64 teams has a slot for a tenth of the
/// time at a backend server of six slots; a team with less work on offer is small.
const TEAM_COUNT: usize = 64;

/// Time constant with which work on offer and use decay: several calls of a team that sends few a
/// second, and short against a burst of seconds.
const DECAY_TIME: Duration = Duration::from_secs(2);

/// Calls in addition to the level that a team may have used, so that a team with a few calls a
/// second isn't above the level by chance.
const ORDINARY_CALLS: f64 = 2.0;

/// Longest time that [`TeamShares::time_to_level`] returns, in multiples of [`DECAY_TIME`].
const MAX_DECAY_TIMES: f64 = 2.0;

/// Work of the teams of one backend server, on offer and done.
#[derive(Debug, Clone, Default)]
pub struct TeamShares {
    teams: Vec<Team>,
    /// Work on offer of all teams.
    offered: Amount,
}

#[derive(Debug, Clone, Copy)]
struct Team {
    /// The team's name, as a [`crate::hash`].
    name: u64,
    offered: Amount,
    used: Amount,
}

/// Slot-seconds that decay.
#[derive(Debug, Clone, Copy, Default)]
struct Amount {
    value: f64,
    at: Option<Instant>,
}

impl Amount {
    fn get(self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.value * (-age / DECAY_TIME.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Instant, work: f64) {
        self.value = (self.get(now) + work).max(0.0);
        self.at = Some(now);
    }
}

impl TeamShares {
    /// Records that a team asks for `work` slot-seconds, whether or not it gets them.
    pub fn record_offer(&mut self, now: Instant, name: u64, work: f64) {
        self.offered.add(now, work);
        if let Some(team) = self.find_mut(name) {
            team.offered.add(now, work);
            return;
        }
        let mut team = Team {
            name,
            offered: Amount::default(),
            used: Amount::default(),
        };
        team.offered.add(now, work);
        if self.teams.len() < TEAM_COUNT {
            self.teams.push(team);
            return;
        }
        let least = self
            .teams
            .iter_mut()
            .min_by(|a, b| a.offered.get(now).total_cmp(&b.offered.get(now)));
        // A new team takes over the count of the one it replaces, so that teams that call once each
        // don't push out one that calls often.
        if let Some(least) = least {
            team.offered.add(now, least.offered.get(now));
            *least = team;
        }
    }

    /// Charges work to a team, in slot-seconds; a negative amount corrects an estimate.
    pub fn charge(&mut self, now: Instant, name: u64, work: f64) {
        if let Some(team) = self.find_mut(name) {
            team.used.add(now, work);
        }
    }

    /// Returns whether a team is above the level, at a backend server that does `rate` slot-seconds
    /// of work per second; `cost` is that of its next call, in slot-seconds.
    #[must_use]
    pub fn is_above_level(&self, now: Instant, name: u64, cost: f64, rate: f64) -> bool {
        self.excess(now, name, cost, rate)
            .is_some_and(|excess| excess > 1.0)
    }

    /// Returns after which time a team that is above the level, and whose calls stop, has a call of
    /// `cost` slot-seconds admitted like those of others.
    #[must_use]
    pub fn time_to_level(&self, now: Instant, name: u64, cost: f64, rate: f64) -> Duration {
        let excess = self.excess(now, name, cost, rate).unwrap_or(1.0);
        DECAY_TIME.mul_f64(excess.max(1.0).ln().min(MAX_DECAY_TIMES))
    }

    /// Returns the use of a team as a multiple of what it may use, or `None` if nothing limits it.
    fn excess(&self, now: Instant, name: u64, cost: f64, rate: f64) -> Option<f64> {
        let team = self.teams.iter().find(|team| team.name == name)?;
        let allowed = self.find_level(now, rate)? + ORDINARY_CALLS * cost;
        Some(team.used.get(now) / allowed.max(f64::MIN_POSITIVE))
    }

    /// Returns the level up to which each team gets what it asks for, in decayed slot-seconds, or
    /// `None` if all teams get all that they ask for.
    fn find_level(&self, now: Instant, rate: f64) -> Option<f64> {
        let capacity = rate * DECAY_TIME.as_secs_f64();
        let mut offered: Vec<_> = self
            .teams
            .iter()
            .map(|team| team.offered.get(now))
            .collect();
        offered.sort_unstable_by(f64::total_cmp);
        let tracked: f64 = offered.iter().sum();
        let untracked = (self.offered.get(now) - tracked).max(0.0);
        let mut left = (capacity - untracked).max(0.0);
        let mut teams_left = f64::from(u32::try_from(offered.len()).unwrap_or(u32::MAX));
        for work in offered {
            let level = left / teams_left;
            if work > level {
                return Some(level);
            }
            left -= work;
            teams_left -= 1.0;
        }
        None
    }

    fn find_mut(&mut self, name: u64) -> Option<&mut Team> {
        self.teams.iter_mut().find(|team| team.name == name)
    }
}
