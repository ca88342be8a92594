//! Proposals: a patch against a version is accepted, refused or never applied.
//!
//! A proposal against N becomes N + 1 by creating the record of that number,
//! under the proposal's name as nonce. However often and by whomever one
//! proposal is tried, it stands there once or not at all.

use crate::journal::AppendOutcome;
use crate::version::{Entry, Id, JOURNAL, State, Step, load};
use crate::{Error, Journal, Store};
use clock::Clock;
use config::{Digest, Patch, Version};
use smol_str::{SmolStr, format_smolstr};
use std::time::UNIX_EPOCH;

/// Versions between two snapshots: a reader that starts reads at most that
/// many steps, and a snapshot's write is spread over as many.
pub const SNAPSHOT_INTERVAL: usize = 64;

/// A patch that an operator wants applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Its name; a second try must carry the same one.
    pub id: Id,
    /// Who wants it.
    pub author: SmolStr,
    /// What to change.
    pub patch: Patch,
}

/// Why a proposal is refused.
#[derive(Debug)]
pub enum Refusal {
    /// Another proposal became the version that this one would have been.
    Crossed(Box<Step>),
    /// As [`Refusal::Crossed`], but only a snapshot of that version is left.
    Superseded(Version),
    /// The version it is against isn't there; this is the last one.
    NoSuchBase(Version),
    /// It breaks a rule.
    Invalid(config::Error),
}

/// What became of a proposal.
#[derive(Debug)]
pub enum Outcome {
    /// It is this version, for good.
    Accepted(Version),
    /// It is not applied and can't be any more.
    Refused(Refusal),
    /// It is not applied and can't be any more, although nothing was wrong with it.
    NeverApplied,
    /// This try wrote nothing, because the platform did not answer or refused
    /// the load; earlier tries of the same proposal are not settled by it.
    NotSent(Error),
    /// Not known yet: it may stand already, or may still come to stand.
    Unknown(Error),
}

/// Proposes a patch.
///
/// A proposal that ended as [`Outcome::Unknown`] may be proposed again as it
/// is, or settled with [`resolve`].
pub async fn propose<S, C>(journal: &Journal<S, C>, proposal: &Proposal) -> Outcome
where
    S: Store,
    C: Clock,
{
    let free = journal.now();
    let state = match load(journal).await {
        Ok(state) => state,
        Err(error) => return Outcome::NotSent(error),
    };
    if let Some(outcome) = find_outcome(&state, &proposal.id) {
        return outcome;
    }
    let entry = match make_entry(journal, &state, proposal) {
        Ok(entry) => entry,
        Err(error) => return Outcome::Refused(Refusal::Invalid(error)),
    };
    let number = state.version.next().0;
    let Ok(value) = serde_json::to_value(&entry) else {
        return Outcome::NotSent(Error::Invalid("a patch without JSON form".into()));
    };
    let nonce = format_smolstr!("{}", proposal.id);
    let appended = journal.append(number, &nonce, &value, free).await;
    let written = Outcome::Accepted(Version(number));
    let outcome = judge_append(&proposal.id, appended, written);
    if matches!(outcome, Outcome::Accepted(_)) {
        keep_short(journal, state, number, entry).await;
    }
    outcome
}

/// Finds out what became of a proposal, and makes sure that it stays so.
///
/// Where its number is still free, a void version takes it first. A write that
/// is late, on its way through the network or in a process that was paused,
/// then finds the number taken: only that makes "never applied" true.
pub async fn resolve<S, C>(journal: &Journal<S, C>, id: &Id, author: &str) -> Outcome
where
    S: Store,
    C: Clock,
{
    let free = journal.now();
    let state = match load(journal).await {
        Ok(state) => state,
        Err(error) => return Outcome::Unknown(error),
    };
    if let Some(outcome) = find_outcome(&state, id) {
        return outcome;
    }
    let entry = Entry {
        proposal: id.clone(),
        void: true,
        author: author.into(),
        at_ms: wall_ms(journal),
        patch: Patch::default(),
        digest: Digest::of(&state.mesh),
    };
    let Ok(value) = serde_json::to_value(&entry) else {
        return Outcome::Unknown(Error::Invalid("a void version without JSON form".into()));
    };
    // Two that settle one proposal at once both see a void version, of either.
    let nonce = format_smolstr!("void-{}", Id::generate(id.base));
    let number = state.version.next().0;
    let appended = journal.append(number, &nonce, &value, free).await;
    match judge_append(id, appended, Outcome::NeverApplied) {
        // Nothing was shut out.
        Outcome::NotSent(error) => Outcome::Unknown(error),
        outcome => outcome,
    }
}

/// Gives the outcome that the state tells, or `None` while the proposal's number is free.
fn find_outcome(state: &State, id: &Id) -> Option<Outcome> {
    let version = id.base.next();
    if version > state.version.next() {
        return Some(Outcome::Refused(Refusal::NoSuchBase(state.version)));
    }
    if version > state.version {
        return None;
    }
    if let Some(step) = state.step(version) {
        return Some(judge_holder(id, step.clone()));
    }
    Some(match state.origin(version) {
        Some(origin) if origin.proposal != *id => Outcome::Refused(Refusal::Superseded(version)),
        Some(origin) if origin.void => Outcome::NeverApplied,
        Some(_) => Outcome::Accepted(version),
        None => Outcome::Unknown(Error::Gone),
    })
}

/// Tells what the step at a proposal's number means for it.
fn judge_holder(id: &Id, holder: Step) -> Outcome {
    if holder.entry.proposal != *id {
        Outcome::Refused(Refusal::Crossed(Box::new(holder)))
    } else if holder.entry.void {
        Outcome::NeverApplied
    } else {
        Outcome::Accepted(holder.version)
    }
}

/// Tells what an append at a proposal's number means for it.
fn judge_append(id: &Id, appended: Result<AppendOutcome, Error>, written: Outcome) -> Outcome {
    match appended {
        Ok(AppendOutcome::Written) => written,
        Ok(AppendOutcome::Taken(record)) => match Step::parse(&record) {
            Ok(step) => judge_holder(id, step),
            Err(error) => Outcome::Unknown(error),
        },
        Err(error @ (Error::Unknown(_) | Error::Gone)) => Outcome::Unknown(error),
        Err(error) => Outcome::NotSent(error),
    }
}

fn make_entry<S, C>(
    journal: &Journal<S, C>,
    state: &State,
    proposal: &Proposal,
) -> Result<Entry, config::Error>
where
    S: Store,
    C: Clock,
{
    let mesh = proposal.patch.apply(&state.mesh)?;
    Ok(Entry {
        proposal: proposal.id.clone(),
        void: false,
        author: proposal.author.clone(),
        at_ms: wall_ms(journal),
        patch: proposal.patch.clone(),
        digest: Digest::of(&mesh),
    })
}

fn wall_ms<S, C>(journal: &Journal<S, C>) -> u64
where
    S: Store,
    C: Clock,
{
    let since = journal.clock.wall().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Writes a snapshot when many steps have come since the last one.
///
/// It saves work only: should it fail, the next proposal tries again.
async fn keep_short<S, C>(journal: &Journal<S, C>, mut state: State, number: u64, entry: Entry)
where
    S: Store,
    C: Clock,
{
    let step = Step {
        version: Version(number),
        entry,
    };
    if state.push(step).is_err() || state.steps.len() < SNAPSHOT_INTERVAL {
        return;
    }
    let Ok(value) = state.snapshot() else { return };
    let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
    if let Err(error) = journal.write_snapshot(number, &nonce, &value).await {
        log::warn!(journal = JOURNAL, number, error:%; "snapshot_failed");
    }
}
