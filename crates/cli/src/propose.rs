//! `propose` and `outcome`: send a proposal and find out its outcome.

use crate::check::read_patch;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::Propose;
use crate::session::{Session, VersionJournal};
use config::{Patch, Version};
use rand::Rng as _;
use serde::Serialize;
use smol_str::SmolStr;
use std::time::{Duration, Instant};
use store::propose::{Outcome, Proposal, Refusal, propose, resolve};
use store::version::{Id, Step};

/// Upper bound of the wait before the first retry; the bound doubles with each further retry.
const BACKOFF_BASE: Duration = Duration::from_millis(100);

/// Upper bound of the wait before any retry, at which the doubling ends.
const BACKOFF_CAP: Duration = Duration::from_secs(2);

/// Output of `--json` for a proposal.
#[derive(Debug, Serialize)]
struct Report {
    outcome: &'static str,
    proposal: Id,
    /// The version that the proposal became, or the other version that took the proposal's number;
    /// if the base does not exist yet, the last version.
    version: Option<Version>,
    /// Why the proposal has this outcome.
    reason: Option<String>,
    /// The step to the other version that took the proposal's number, if the program has read this
    /// step.
    holder: Option<Step>,
}

impl Report {
    fn new(outcome: &'static str, proposal: &Id) -> Self {
        Self {
            outcome,
            proposal: proposal.clone(),
            version: None,
            reason: None,
            holder: None,
        }
    }

    fn reason<R>(self, reason: R) -> Self
    where
        R: Into<String>,
    {
        Self {
            reason: Some(reason.into()),
            ..self
        }
    }
}

pub(crate) async fn propose_file(session: &Session, flags: &Propose) -> Result<Exit, Error> {
    let patch = read_patch(&flags.file)?;
    let id = flags.id.clone().unwrap_or_else(|| Id::generate(flags.base));
    if id.base != flags.base {
        return Err(Error::Usage(
            "--id names a proposal against another version than --base",
        ));
    }
    let proposal = Proposal {
        id,
        author: SmolStr::from(flags.author.as_str()),
        patch,
    };
    let is_new = flags.id.is_none();
    send_proposal(session, &proposal, flags.wait, is_new).await
}

/// Proposes a patch against version `base` as a new proposal.
pub(crate) async fn propose_patch(
    session: &Session,
    base: Version,
    patch: Patch,
    author: &str,
    wait: Duration,
) -> Result<Exit, Error> {
    let proposal = Proposal {
        id: Id::generate(base),
        author: author.into(),
        patch,
    };
    send_proposal(session, &proposal, wait, true).await
}

async fn send_proposal(
    session: &Session,
    proposal: &Proposal,
    wait: Duration,
    is_new: bool,
) -> Result<Exit, Error> {
    let journal = session.open_journal()?;
    let id = &proposal.id;
    // Printed before anything is sent, so that an operator whose program is interrupted from here
    // on can still find out the outcome.
    eprintln!("proposal {id}");
    let outcome = propose_with_retries(&journal, proposal, wait, is_new).await;
    let (report, exit) = describe_outcome(id, outcome);
    print_report(session, &report);
    Ok(exit)
}

/// Sends a proposal, with retries, until the outcome is known or `wait` has passed.
///
/// `is_new` is whether this run generated the proposal's id. If not, an earlier run may have stored
/// the proposal.
async fn propose_with_retries(
    journal: &VersionJournal,
    proposal: &Proposal,
    wait: Duration,
    is_new: bool,
) -> Outcome {
    let deadline = Instant::now() + wait;
    let mut bound = BACKOFF_BASE;
    let mut may_be_stored = !is_new;
    loop {
        let outcome = propose(journal, proposal).await;
        let (error, was_sent) = match outcome {
            Outcome::Unknown(error) => (error, true),
            Outcome::NotSent(error) => (error, false),
            known => return known,
        };
        may_be_stored |= was_sent;
        // Full jitter, so that operators that lost the platform at the same time do not retry at the
        // same time.
        let jittered = rand::rng().random_range(Duration::ZERO..bound);
        let pause = match error {
            store::Error::Busy(retry_after) => jittered + retry_after,
            _ => jittered,
        };
        let out_of_time = Instant::now() + pause >= deadline;
        if out_of_time || !error.is_transient() {
            return if may_be_stored {
                Outcome::Unknown(error)
            } else {
                Outcome::NotSent(error)
            };
        }
        tokio::time::sleep(pause).await;
        bound = (bound * 2).min(BACKOFF_CAP);
    }
}

pub(crate) async fn resolve_proposal(
    session: &Session,
    id: &Id,
    author: &str,
) -> Result<Exit, Error> {
    let outcome = resolve(&session.open_journal()?, id, author).await;
    let (report, exit) = describe_outcome(id, outcome);
    print_report(session, &report);
    Ok(exit)
}

fn describe_outcome(id: &Id, outcome: Outcome) -> (Report, Exit) {
    match outcome {
        Outcome::Accepted(version) => {
            let report = Report {
                version: Some(version),
                ..Report::new("accepted", id)
            };
            (report, Exit::Done)
        }
        Outcome::Refused(refusal) => (describe_refusal(id, refusal), Exit::Refused),
        Outcome::NeverApplied => {
            let report = Report::new("never_applied", id);
            let reason = "its number is taken by a version without changes";
            (report.reason(reason), Exit::NeverApplied)
        }
        // Only returned if this run generated the proposal's id and sent none of its attempts:
        // nobody else knows the id, so the proposal can't be applied.
        Outcome::NotSent(error) => {
            let report = Report::new("never_applied", id);
            let reason = format!("nothing was written: {error}");
            (report.reason(reason), Exit::NeverApplied)
        }
        Outcome::Unknown(error) => {
            let report = Report::new("not_known_yet", id);
            (report.reason(error.to_string()), Exit::NotKnown)
        }
    }
}

fn describe_refusal(id: &Id, refusal: Refusal) -> Report {
    let report = Report::new("refused", id);
    match refusal {
        Refusal::Crossed(holder) => {
            let entry = &holder.entry;
            let (version, other) = (holder.version, &entry.proposal);
            let reason = format!("version {version} is proposal {other} of {}", entry.author);
            Report {
                version: Some(version),
                holder: Some(*holder),
                ..report.reason(reason)
            }
        }
        Refusal::Superseded(version) => Report {
            version: Some(version),
            ..report.reason(format!("version {version} is another proposal"))
        },
        Refusal::NoSuchBase(last) => Report {
            version: Some(last),
            ..report.reason(format!(
                "there is no version {} yet; the last one is {last}",
                id.base
            ))
        },
        Refusal::Invalid(error) => report.reason(error.to_string()),
    }
}

fn print_report(session: &Session, report: &Report) {
    if session.json {
        session.print_json(report);
        return;
    }
    let id = &report.proposal;
    let outcome = report.outcome.replace('_', " ");
    match (&report.reason, report.version) {
        (Some(reason), _) => println!("{outcome}: {reason} (proposal {id})"),
        (None, Some(version)) => println!("{outcome}: version {version} (proposal {id})"),
        (None, None) => println!("{outcome} (proposal {id})"),
    }
    if report.outcome == "not_known_yet" {
        println!("settle it with: bluebellpick outcome {id}");
    }
    if let Some(holder) = &report.holder {
        let count = holder.entry.patch.changes.len();
        println!(
            "it has {count} changes; see them with: bluebellpick diff {} {}",
            id.base, holder.version
        );
    }
}
