//! Proposals: a patch against a version is accepted, refused or never applied.
//!
//! A proposal against version N becomes version N + 1 when record N + 1 of the journal is created
//! with the proposal's id as its nonce. A proposal may be submitted any number of times and from
//! any process: its record is written once or not at all.

use crate::journal::AppendOutcome;
use crate::version::{Entry, Id, JOURNAL, State, Step, load};
use crate::{Error, Journal, Store};
use clock::Clock;
use config::{Digest, Patch, Version};
use smol_str::{SmolStr, format_smolstr};
use std::time::UNIX_EPOCH;

/// Number of versions between two snapshots. A reader that starts reads at most this many steps,
/// and the cost of writing a snapshot is spread over this many versions.
pub const SNAPSHOT_INTERVAL: usize = 64;

/// A patch that an operator wants applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Identifies the proposal; a repeated submission must use the same id.
    pub id: Id,
    /// The operator who submits it.
    pub author: SmolStr,
    /// The change.
    pub patch: Patch,
}

/// Why a proposal is refused.
#[derive(Debug)]
pub enum Refusal {
    /// Another proposal has become the version that this proposal would have become; holds the step
    /// to that version.
    Crossed(Box<Step>),
    /// As [`Refusal::Crossed`], but the step to that version is already part of a snapshot; holds
    /// the version.
    Superseded(Version),
    /// The version that the proposal is against doesn't exist; holds the last version.
    NoSuchBase(Version),
    /// The patch or the configuration that it leads to is invalid.
    Invalid(config::Error),
}

/// Outcome of a proposal.
#[derive(Debug)]
pub enum Outcome {
    /// The proposal became this version. This outcome is final.
    Accepted(Version),
    /// The proposal was not applied and never will be.
    Refused(Refusal),
    /// The proposal was valid, but was not applied and never will be.
    NeverApplied,
    /// This submission wrote nothing, because the platform was unreachable or
    /// refused the load; the outcome of earlier submissions of the same
    /// proposal remains open.
    NotSent(Error),
    /// The outcome is not known yet: the proposal may have been written, or may still be written
    /// later.
    Unknown(Error),
}

/// Submits a proposal.
///
/// After [`Outcome::Unknown`] the same proposal may be submitted again, or
/// resolved with [`resolve`].
pub async fn propose<S, C>(journal: &Journal<S, C>, proposal: &Proposal) -> Outcome
where
    S: Store,
    C: Clock,
{
    let free_at = journal.now();
    let state = match load(journal).await {
        Ok(state) => state,
        Err(error) => return Outcome::NotSent(error),
    };
    if let Some(outcome) = known_outcome(&state, &proposal.id) {
        return outcome;
    }
    let entry = match build_entry(journal, &state, proposal) {
        Ok(entry) => entry,
        Err(error) => return Outcome::Refused(Refusal::Invalid(error)),
    };
    let number = state.version.next().0;
    let Ok(value) = serde_json::to_value(&entry) else {
        return Outcome::NotSent(Error::Invalid("the patch can't be encoded as JSON".into()));
    };
    let nonce = format_smolstr!("{}", proposal.id);
    let appended = journal.append(number, &nonce, &value, free_at).await;
    let written = Outcome::Accepted(Version(number));
    let outcome = outcome_of_append(&proposal.id, appended, written);
    if matches!(outcome, Outcome::Accepted(_)) {
        write_snapshot_if_due(journal, state, number, entry).await;
    }
    outcome
}

/// Finds out the outcome of a proposal and makes it final.
///
/// If the version number that the proposal asks for is still free, a void version, which changes
/// nothing, is written at that number first. A delayed write of the proposal, still in the network
/// or in a paused process, then finds the number taken. Otherwise the outcome "never applied" might
/// turn out false.
pub async fn resolve<S, C>(journal: &Journal<S, C>, id: &Id, author: &str) -> Outcome
where
    S: Store,
    C: Clock,
{
    let free_at = journal.now();
    let state = match load(journal).await {
        Ok(state) => state,
        Err(error) => return Outcome::Unknown(error),
    };
    if let Some(outcome) = known_outcome(&state, id) {
        return outcome;
    }
    let entry = Entry {
        proposal: id.clone(),
        void: true,
        author: author.into(),
        at_ms: unix_ms(journal),
        patch: Patch::default(),
        digest: Digest::of(&state.mesh),
    };
    let Ok(value) = serde_json::to_value(&entry) else {
        return Outcome::Unknown(Error::Invalid(
            "the void version can't be encoded as JSON".into(),
        ));
    };
    // If two callers resolve the same proposal at the same time, only one of their two void
    // versions is written, and both callers see it as the outcome.
    let nonce = format_smolstr!("void-{}", Id::generate(id.base));
    let number = state.version.next().0;
    let appended = journal.append(number, &nonce, &value, free_at).await;
    match outcome_of_append(id, appended, Outcome::NeverApplied) {
        // The number is still free, so a delayed write may still succeed.
        Outcome::NotSent(error) => Outcome::Unknown(error),
        outcome => outcome,
    }
}

/// Returns the outcome of a proposal as of `state`; `None` while the version number that the
/// proposal asks for is free.
fn known_outcome(state: &State, id: &Id) -> Option<Outcome> {
    let version = id.base.next();
    if version > state.version.next() {
        return Some(Outcome::Refused(Refusal::NoSuchBase(state.version)));
    }
    if version > state.version {
        return None;
    }
    if let Some(step) = state.step(version) {
        return Some(outcome_of_stored_step(id, step.clone()));
    }
    Some(match state.origin(version) {
        Some(origin) if origin.proposal != *id => Outcome::Refused(Refusal::Superseded(version)),
        Some(origin) if origin.void => Outcome::NeverApplied,
        Some(_) => Outcome::Accepted(version),
        None => Outcome::Unknown(Error::Gone),
    })
}

/// Returns the outcome of the proposal `id`, if `stored` is the step stored at the version number
/// that the proposal asks for.
fn outcome_of_stored_step(id: &Id, stored: Step) -> Outcome {
    if stored.entry.proposal != *id {
        Outcome::Refused(Refusal::Crossed(Box::new(stored)))
    } else if stored.entry.void {
        Outcome::NeverApplied
    } else {
        Outcome::Accepted(stored.version)
    }
}

/// Returns the outcome of the proposal `id` from the result of an append at the version number that
/// the proposal asks for; `written` if the append succeeded.
fn outcome_of_append(id: &Id, appended: Result<AppendOutcome, Error>, written: Outcome) -> Outcome {
    match appended {
        Ok(AppendOutcome::Written) => written,
        Ok(AppendOutcome::Taken(record)) => match Step::parse(&record) {
            Ok(step) => outcome_of_stored_step(id, step),
            Err(error) => Outcome::Unknown(error),
        },
        Err(error @ (Error::Unknown(_) | Error::Gone)) => Outcome::Unknown(error),
        Err(error) => Outcome::NotSent(error),
    }
}

fn build_entry<S, C>(
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
        at_ms: unix_ms(journal),
        patch: proposal.patch.clone(),
        digest: Digest::of(&mesh),
    })
}

fn unix_ms<S, C>(journal: &Journal<S, C>) -> u64
where
    S: Store,
    C: Clock,
{
    let since = journal.clock.wall().duration_since(UNIX_EPOCH);
    let since = since.unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// Writes a snapshot if [`SNAPSHOT_INTERVAL`] steps were written since the last snapshot.
///
/// A snapshot only makes reading cheaper, so a failure is ignored and the next proposal tries
/// again.
async fn write_snapshot_if_due<S, C>(
    journal: &Journal<S, C>,
    mut state: State,
    number: u64,
    entry: Entry,
) where
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
