//! `team`: shows teams, and changes their keys and limits.
//!
//! A key is read from a file or from standard input, and never from the command line, which other
//! users of the machine can read. What is proposed and shown is its digest.

use crate::error::Error;
use crate::exit::Exit;
use crate::history::find_state;
use crate::options::{KeySource, Team, TeamAction};
use crate::propose::propose_patch;
use crate::session::{Session, to_json};
use crate::table::render_table;
use crate::team_usage::report_usage;
use config::team::{KeyDigest, Limit};
use config::{Change, Class, Patch};
use serde::Serialize;
use smol_str::SmolStr;
use std::io::Read;
use std::path::Path;

/// Longest key, in bytes: what fits a request's head beside all else.
const MAX_KEY_BYTES: usize = 4 << 10;

/// A team in the output of `--json`.
#[derive(Debug, Serialize)]
struct Report<'a> {
    team: &'a SmolStr,
    class: Option<Class>,
    limit: Option<Limit>,
    /// Fingerprints of the keys: the first bytes of their digests.
    keys: Vec<String>,
}

impl<'a> Report<'a> {
    fn new(name: &'a SmolStr, team: &config::Team) -> Self {
        Self {
            team: name,
            class: team.class,
            limit: team.limit,
            keys: team.keys.iter().map(ToString::to_string).collect(),
        }
    }
}

pub(crate) async fn run(session: &Session, flags: &Team) -> Result<Exit, Error> {
    if matches!(
        flags.action,
        TeamAction::AddKey {
            has_extra: true,
            ..
        }
    ) {
        return Err(Error::Usage(
            "a key is read from a file or from standard input, never from the command line",
        ));
    }
    let state = find_state(&session.open_journal()?, None).await?;
    let mut teams = state.mesh.teams;
    let (name, change) = match &flags.action {
        TeamAction::List => {
            let reports = teams.iter().map(|(name, team)| Report::new(name, team));
            print_reports(session, &reports.collect::<Vec<_>>());
            return Ok(Exit::Done);
        }
        TeamAction::Show { name } => {
            let (name, team) = teams
                .get_key_value(name.as_str())
                .ok_or_else(|| Error::NoSuchTeam(name.clone()))?;
            print_reports(session, &[Report::new(name, team)]);
            return Ok(Exit::Done);
        }
        TeamAction::Usage { name, span } => {
            return report_usage(session, &teams, name.as_deref(), *span).await;
        }
        TeamAction::Limit { name, limit } => (name, TeamChange::Limit(*limit)),
        TeamAction::AddKey { name, source, .. } => (name, TeamChange::Add(read_key(source)?)),
        TeamAction::RevokeKey { name, fingerprint } => (name, TeamChange::Revoke(fingerprint)),
    };
    let team = match change {
        // The first key of a team creates the team.
        TeamChange::Add(_) => Some(teams.remove(name.as_str()).unwrap_or_default()),
        TeamChange::Limit(_) | TeamChange::Revoke(_) => teams.remove(name.as_str()),
    };
    let mut team = team.ok_or_else(|| Error::NoSuchTeam(name.clone()))?;
    apply(&mut team, name, &change)?;
    let patch = Patch::from(vec![Change::PutTeam {
        name: name.into(),
        team,
    }]);
    propose_patch(session, state.version, patch, &flags.author, flags.wait).await
}

/// A change of one team.
enum TeamChange<'a> {
    Limit(Option<Limit>),
    Add(KeyDigest),
    Revoke(&'a str),
}

fn apply(team: &mut config::Team, name: &str, change: &TeamChange<'_>) -> Result<(), Error> {
    match change {
        TeamChange::Limit(limit) => team.limit = *limit,
        TeamChange::Add(digest) => {
            if !team.keys.insert(*digest) {
                return Err(Error::KnownKey(name.to_owned(), digest.to_string()));
            }
        }
        TeamChange::Revoke(fingerprint) => {
            let before = team.keys.len();
            team.keys.retain(|key| key.to_string() != *fingerprint);
            if team.keys.len() == before {
                return Err(Error::NoSuchKey(name.to_owned(), (*fingerprint).to_owned()));
            }
        }
    }
    Ok(())
}

/// Reads a key and returns its digest. White space around the key is left out.
fn read_key(source: &KeySource) -> Result<KeyDigest, Error> {
    let text = match source {
        KeySource::Input => read_limited(std::io::stdin().lock(), Path::new("standard input")),
        KeySource::File(path) => match std::fs::File::open(path) {
            Ok(file) => read_limited(file, path),
            Err(source) => Err(Error::File(path.display().to_string(), source)),
        },
    }?;
    let key = text.trim_ascii();
    if key.is_empty() || key.len() > MAX_KEY_BYTES || key.iter().any(u8::is_ascii_whitespace) {
        return Err(Error::Usage(
            "a key is one word of 1 to 4096 bytes, in the file or on standard input",
        ));
    }
    Ok(KeyDigest::of(key))
}

fn read_limited<R>(reader: R, path: &Path) -> Result<Vec<u8>, Error>
where
    R: Read,
{
    let mut text = Vec::new();
    // One byte more than allowed, so that a key that is too long is not taken for its beginning.
    let mut reader = reader.take(MAX_KEY_BYTES as u64 + 2);
    match reader.read_to_end(&mut text) {
        Ok(_) => Ok(text),
        Err(source) => Err(Error::File(path.display().to_string(), source)),
    }
}

fn print_reports(session: &Session, reports: &[Report<'_>]) {
    if session.json {
        session.print_json(&reports);
        return;
    }
    let heading = ["TEAM", "CLASS", "CALLS/MIN", "BURST", "KEYS"];
    let mut rows = vec![heading.map(str::to_owned)];
    for report in reports {
        let class = report.class.map_or("route's".to_owned(), |class| {
            to_json(&class).trim_matches('"').to_owned()
        });
        let limit = |number: fn(Limit) -> u32| {
            let number = report.limit.map(number);
            number.map_or("none".to_owned(), |number| number.to_string())
        };
        rows.push([
            report.team.to_string(),
            class,
            limit(|limit| limit.per_minute),
            limit(|limit| limit.burst),
            report.keys.join(" "),
        ]);
    }
    print!("{}", render_table(&rows));
}
