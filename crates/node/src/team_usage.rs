//! Calls of each team at this node, for operators.

use crate::outbound::response::reason_name;
use config::View;
use parking_lot::Mutex;
use smol_str::SmolStr;
use status::TeamCalls;
use std::collections::{BTreeMap, HashMap};
use wire::call::Reason;

/// Counts of the teams that have called.
///
/// Names come from the configuration only, so that callers with made-up keys add none.
#[derive(Debug, Default)]
pub struct TeamUsage(Mutex<HashMap<SmolStr, TeamCalls>>);

impl TeamUsage {
    /// Counts a call that ran, or may have run.
    pub fn count_run(&self, team: &SmolStr) {
        self.0.lock().entry(team.clone()).or_default().run += 1;
    }

    /// Counts a call that was refused and has not run.
    pub fn count_refused(&self, team: &SmolStr, reason: Reason) {
        let mut teams = self.0.lock();
        let calls = teams.entry(team.clone()).or_default();
        let reason = SmolStr::new_static(reason_name(reason));
        *calls.refused.entry(reason).or_default() += 1;
    }

    /// Returns the counts of the teams in `view`, and drops those of all others.
    pub(crate) fn read(&self, view: &View) -> BTreeMap<SmolStr, TeamCalls> {
        let mut teams = self.0.lock();
        teams.retain(|name, _| view.teams().find_by_name(name).is_some());
        teams
            .iter()
            .map(|(name, calls)| (name.clone(), calls.clone()))
            .collect()
    }
}
