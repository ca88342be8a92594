//! `propose` and `outcome`: what becomes of a proposal.

use crate::check::read_patch;
use crate::error::Error;
use crate::exit::Exit;
use crate::options::Propose;
use crate::session::{Session, Versions};
use config::Version;
use rand::Rng as _;
use serde::Serialize;
use smol_str::SmolStr;
use std::time::{Duration, Instant};
use store::propose::{Outcome, Proposal, Refusal, propose, resolve};
use store::version::{Id, Step};

/// First bound of the wait between two tries; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Highest bound of the wait between two tries.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// What `--json` writes of a proposal.
#[derive(Debug, Serialize)]
struct Report {
    outcome: &'static str,
    proposal: Id,
    /// The version that it became, or that took its place.
    version: Option<Version>,
    /// Why, in words.
    reason: Option<String>,
    /// What took its place.
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
        id: id.clone(),
        author: SmolStr::from(flags.author.as_str()),
        patch,
    };
    let versions = session.versions()?;
    // Before anything is sent: whoever is cut off from here on can still settle it.
    eprintln!("proposal {id}");
    let is_first = flags.id.is_none();
    let outcome = try_until(&versions, &proposal, flags.wait, is_first).await;
    let (report, exit) = describe_outcome(&id, outcome);
    print_report(session, &report);
    Ok(exit)
}

/// Tries a proposal until its outcome is known or the time is over.
async fn try_until(
    versions: &Versions,
    proposal: &Proposal,
    wait: Duration,
    is_first: bool,
) -> Outcome {
    let deadline = Instant::now() + wait;
    let mut bound = FIRST_PAUSE;
    let mut may_stand = !is_first;
    loop {
        let outcome = propose(versions, proposal).await;
        let (error, is_open) = match outcome {
            Outcome::Unknown(error) => (error, true),
            Outcome::NotSent(error) => (error, false),
            known => return known,
        };
        may_stand |= is_open;
        // Full jitter: operators that were cut off together must not come back together.
        let drawn = rand::rng().random_range(Duration::ZERO..bound);
        let pause = match error {
            store::Error::Busy(retry_after) => drawn + retry_after,
            _ => drawn,
        };
        let is_over = Instant::now() + pause >= deadline;
        if is_over || !error.is_transient() {
            return if may_stand {
                Outcome::Unknown(error)
            } else {
                Outcome::NotSent(error)
            };
        }
        tokio::time::sleep(pause).await;
        bound = (bound * 2).min(LONGEST_PAUSE);
    }
}

pub(crate) async fn settle_proposal(
    session: &Session,
    id: &Id,
    author: &str,
) -> Result<Exit, Error> {
    let outcome = resolve(&session.versions()?, id, author).await;
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
        // Only the first and only try ends so: nobody else knows the proposal's name.
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
