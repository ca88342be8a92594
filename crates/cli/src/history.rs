//! `show`, `log` and `diff`: show the contents of versions.

use crate::error::Error;
use crate::exit::Exit;
use crate::session::{Session, VersionJournal, to_json};
use crate::table::render_table;
use config::{Digest, Mesh, Patch, Version};
use serde::Serialize;
use store::journal::LoadedJournal;
use store::version::{State, Step};

/// Output of `show --json`.
#[derive(Debug, Serialize)]
struct VersionReport {
    version: Version,
    digest: Digest,
    mesh: Mesh,
}

pub(crate) async fn show_version(
    session: &Session,
    version: Option<Version>,
) -> Result<Exit, Error> {
    let state = find_state(&session.open_journal()?, version).await?;
    let digest = Digest::of(&state.mesh);
    if session.json {
        session.print_json(&VersionReport {
            version: state.version,
            digest,
            mesh: state.mesh,
        });
        return Ok(Exit::Done);
    }
    println!("# version {}, digest {digest}", state.version);
    print_patch(&config::diff(&Mesh::default(), &state.mesh));
    Ok(Exit::Done)
}

pub(crate) async fn show_difference(
    session: &Session,
    old: Version,
    new: Version,
) -> Result<Exit, Error> {
    let journal = session.open_journal()?;
    let old = find_mesh(&journal, old).await?;
    let new = find_mesh(&journal, new).await?;
    let patch = config::diff(&old, &new);
    if session.json {
        session.print_json(&patch);
    } else {
        print_patch(&patch);
    }
    Ok(Exit::Done)
}

pub(crate) async fn list_versions(session: &Session, limit: u64) -> Result<Exit, Error> {
    let mut steps = read_steps(&session.open_journal()?, limit).await?;
    steps.reverse();
    if session.json {
        session.print_json(&steps);
        return Ok(Exit::Done);
    }
    let heading = ["VERSION", "TIME", "PROPOSAL", "AUTHOR", "CHANGES"];
    let mut rows = vec![heading.map(str::to_owned)];
    for step in &steps {
        let entry = &step.entry;
        let changes = if entry.void {
            "none: takes the number of a proposal that was never applied".to_owned()
        } else {
            entry.patch.changes.len().to_string()
        };
        rows.push([
            step.version.to_string(),
            format_time(entry.at_ms),
            entry.proposal.to_string(),
            entry.author.to_string(),
            changes,
        ]);
    }
    print!("{}", render_table(&rows));
    Ok(Exit::Done)
}

/// Reads the steps to the last `limit` versions, or fewer if older records were removed.
async fn read_steps(journal: &VersionJournal, limit: u64) -> Result<Vec<Step>, Error> {
    let loaded = journal.load().await?;
    let before = loaded.last_number().saturating_sub(limit);
    let tail = journal.read_after(before).await?;
    let records = tail.map_or(loaded.tail.records, |tail| tail.records);
    let steps = records
        .iter()
        .filter(|record| record.number > before)
        .map(Step::parse)
        .collect::<Result<Vec<_>, _>>()?;
    Ok(steps)
}

/// Returns the configuration of a version.
pub(crate) async fn find_mesh(journal: &VersionJournal, version: Version) -> Result<Mesh, Error> {
    if version == Version::ZERO {
        return Ok(Mesh::default());
    }
    Ok(find_state(journal, Some(version)).await?.mesh)
}

/// Returns the state at `version`, or at the last version if `version` is `None`.
///
/// A version before the last snapshot is rebuilt from all records from the first one on.
pub(crate) async fn find_state(
    journal: &VersionJournal,
    version: Option<Version>,
) -> Result<State, Error> {
    let mut loaded = journal.load().await?;
    let last = Version(loaded.last_number());
    let version = version.unwrap_or(last);
    if version > last {
        return Err(Error::NoSuchVersion(version, last));
    }
    if version.0 < loaded.snapshot_number {
        let oldest = Version(loaded.snapshot_number);
        let from_first = journal.read_after(0).await?;
        let tail = from_first.ok_or(Error::Removed(version, oldest))?;
        loaded = LoadedJournal {
            tail,
            ..LoadedJournal::default()
        };
    }
    let records = &mut loaded.tail.records;
    records.retain(|record| record.number <= version.0);
    Ok(State::build(&loaded)?)
}

/// Prints a patch in the format of a patch file.
fn print_patch(patch: &Patch) {
    for change in &patch.changes {
        println!("{}", to_json(change));
    }
}

/// Formats a time in UTC according to RFC 3339.
fn format_time(at_ms: u64) -> String {
    i64::try_from(at_ms)
        .ok()
        .and_then(|millis| jiff::Timestamp::from_millisecond(millis).ok())
        .map_or_else(|| format!("{at_ms} ms"), |time| time.to_string())
}
