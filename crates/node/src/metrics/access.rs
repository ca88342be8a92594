//! Metrics of calls that are refused because of their key or their team's limit.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use smol_str::SmolStr;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct TeamLabel {
    team: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
    asked: &'static str,
}

/// Counters of calls with keys.
#[derive(Debug, Default)]
pub struct AccessMetrics {
    denied: Family<ReasonLabel, Counter>,
    admitted: Family<TeamLabel, Counter>,
    over_limit: Family<TeamLabel, Counter>,
    refused: Family<CauseLabel, Counter>,
    tokens_lent: Counter,
    owners_lost: Counter,
}

impl AccessMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Calls refused because of their key, by reason";
        registry.register("keys_refused", help, self.denied.clone());
        let help = "Calls of teams with a limit that this node admitted";
        registry.register("team_calls", help, self.admitted.clone());
        let help = "Calls refused because their team is over its limit";
        registry.register("team_calls_over_limit", help, self.over_limit.clone());
        let help =
            "Calls refused because of their team's limit, by cause, and whether a lender was asked";
        registry.register("team_calls_refused", help, self.refused.clone());
        let help = "Calls that this node, as the owner of teams' limits, has lent to nodes";
        registry.register("team_calls_lent", help, self.tokens_lent.clone());
        let help = "Requests to owners of teams' limits without a reply";
        registry.register("team_owners_lost", help, self.owners_lost.clone());
    }

    /// Counts a call that was refused because of its key.
    pub fn count_denied(&self, reason: &'static str) {
        self.denied.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a call of a team with a limit that was admitted.
    pub fn count_admitted(&self, team: &SmolStr) {
        count(&self.admitted, team);
    }

    /// Counts a call that was refused because its team is over its limit.
    pub fn count_over_limit(&self, team: &SmolStr) {
        count(&self.over_limit, team);
    }

    /// Counts the cause of such a refusal, and whether a lender was asked for the call.
    pub fn count_cause(&self, cause: &'static str, was_asked: bool) {
        let label = CauseLabel {
            cause,
            asked: if was_asked { "yes" } else { "no" },
        };
        self.refused.get_or_create(&label).inc();
    }

    pub(crate) fn count_lent(&self, tokens: u32) {
        self.tokens_lent.inc_by(tokens.into());
    }

    pub(crate) fn count_owner_lost(&self) {
        self.owners_lost.inc();
    }
}

fn count(family: &Family<TeamLabel, Counter>, team: &SmolStr) {
    let team = team.to_string();
    family.get_or_create(&TeamLabel { team }).inc();
}
