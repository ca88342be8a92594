//! Farewells that a root writes to the platform while no other node is linked to it.
//!
//! Each node has its own object, which only its own processes write and read.

use crate::{Error, Store};
use config::{Farewell, merge_farewells};

/// Folder that holds one object per node.
pub const FOLDER: &str = "farewells/";

/// Adds farewells to those stored for `node`.
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
    let mut all = farewells.to_vec();
    if let Some(object) = &stored {
        merge_farewells(&mut all, &decode(&object.value)?);
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
/// Fails when the platform can't be reached, or when the object can't be decoded.
pub async fn read<S>(store: &S, node: &str) -> Result<Vec<Farewell>, Error>
where
    S: Store,
{
    match store.get(&format!("{FOLDER}{node}")).await? {
        Some(object) => decode(&object.value),
        None => Ok(Vec::new()),
    }
}

fn decode(value: &serde_json::Value) -> Result<Vec<Farewell>, Error> {
    serde_json::from_value(value.clone()).map_err(|error| Error::Invalid(error.to_string()))
}
