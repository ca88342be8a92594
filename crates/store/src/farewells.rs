//! Farewells on the platform, which outlive all nodes.
//!
//! Each node has its own object. Its own processes read it; they write it, and so do roots after a
//! restore of the platform from a backup.

use crate::{Error, Object, Store};
use config::{Farewell, is_drained, merge_farewells};
use serde::Deserialize;
use std::time::Duration;

/// Folder that holds one object per node.
pub const FOLDER: &str = "farewells/";

/// Time after which the farewells of a node that has none since may be removed. Messages of a
/// backend server are late by seconds, or by as long as a partition lasts.
pub const RETENTION: Duration = Duration::from_hours(24);

/// Number of objects read per call.
const PAGE_SIZE: usize = 500;

/// Adds farewells to those stored for `node`; writes nothing if all are stored.
///
/// # Errors
///
/// Fails when the platform can't be reached, or when another process of the node writes at the same
/// time.
pub async fn write<S>(store: &S, node: &str, farewells: &[Farewell]) -> Result<(), Error>
where
    S: Store,
{
    let name = format!("{FOLDER}{node}");
    let stored = store.get(&name).await?;
    let mut all = match &stored {
        Some(object) => decode(object),
        None => Vec::new(),
    };
    if !merge_farewells(&mut all, farewells) {
        return Ok(());
    }
    let value = serde_json::to_value(all).map_err(|error| Error::Invalid(error.to_string()))?;
    match stored {
        Some(object) => store.update(&name, &value, object.revision).await?,
        None => store.create(&name, &value).await?,
    };
    Ok(())
}

/// Reads the farewells stored for `node`.
///
/// # Errors
///
/// Fails when the platform can't be reached.
pub async fn read<S>(store: &S, node: &str) -> Result<Vec<Farewell>, Error>
where
    S: Store,
{
    let stored = store.get(&format!("{FOLDER}{node}")).await?;
    Ok(stored.as_ref().map(decode).unwrap_or_default())
}

/// Removes the objects of nodes whose farewells are all older than [`RETENTION`] at `wall_ms`, in
/// milliseconds since the Unix epoch. Objects of nodes that are drained stay.
///
/// Guards against objects that pile up where VMs come and go under new names.
///
/// # Errors
///
/// Fails when the platform can't be reached.
pub async fn remove_expired<S>(store: &S, wall_ms: u64) -> Result<(), Error>
where
    S: Store,
{
    let retention_ms = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
    let is_expired = |farewells: &[Farewell]| {
        let mut farewells = farewells.iter();
        farewells.all(|known| known.left_ms.saturating_add(retention_ms) < wall_ms)
    };
    let mut after = String::new();
    loop {
        let page = store.list(FOLDER, &after, PAGE_SIZE).await?;
        for object in &page.items {
            let farewells = decode(object);
            if is_expired(&farewells) && !is_drained(&farewells) {
                match store.delete(&object.name, Some(object.revision)).await {
                    // Written or removed by another node meanwhile.
                    Ok(()) | Err(Error::Conflict | Error::NotFound) => {}
                    Err(error) => return Err(error),
                }
            }
        }
        match page.items.last() {
            Some(last) if page.has_more => after = last.name.to_string(),
            _ => return Ok(()),
        }
    }
}

/// Decodes the farewells of an object, without those that can't be decoded: another writer may have
/// damaged the object, and a node whose leaves could never be recorded would not help anybody.
fn decode(object: &Object) -> Vec<Farewell> {
    let mut farewells = Vec::new();
    let values = object.value.as_array().into_iter().flatten();
    merge_farewells(
        &mut farewells,
        &values
            .filter_map(|value| Farewell::deserialize(value).ok())
            .collect::<Vec<_>>(),
    );
    farewells
}
