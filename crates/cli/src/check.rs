//! `check`: validates a patch file without proposing it.

use crate::error::Error;
use crate::exit::Exit;
use crate::history::find_mesh;
use crate::session::Session;
use config::{Mesh, Patch, Version};
use serde::Serialize;
use std::path::Path;

/// Output of `check --json`.
#[derive(Debug, Serialize)]
struct Report {
    changes: usize,
    /// Version against which the patch was checked.
    base: Option<Version>,
}

pub(crate) async fn check_file(
    session: &Session,
    file: &Path,
    base: Option<Version>,
) -> Result<Exit, Error> {
    let patch = read_patch(file)?;
    let mesh = match base {
        None => None,
        Some(Version::ZERO) => Some(Mesh::default()),
        Some(version) => Some(find_mesh(&session.open_journal()?, version).await?),
    };
    if let Some(mesh) = &mesh {
        patch
            .apply(mesh)
            .map_err(|error| Error::Patch(file.display().to_string(), error))?;
    }
    let changes = patch.changes.len();
    if session.json {
        session.print_json(&Report { changes, base });
        return Ok(Exit::Done);
    }
    match base {
        Some(base) => println!("{changes} changes that can be applied to version {base}"),
        None => println!("{changes} changes; checked for their form only, as --base is not given"),
    }
    Ok(Exit::Done)
}

/// Reads and parses a patch file.
pub(crate) fn read_patch(file: &Path) -> Result<Patch, Error> {
    let name = file.display().to_string();
    match std::fs::read_to_string(file) {
        Ok(text) => Patch::parse(&text).map_err(|error| Error::Patch(name, error)),
        Err(source) => Err(Error::File(name, source)),
    }
}
