//! Values that may be larger than the platform's limit, written once.
//!
//! The parts of a large value go first, under the writer's nonce; the object
//! that names them comes last, so that whoever sees it finds them all.

use crate::MAX_VALUE_BYTES;
use crate::{Error, Object, Store};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

/// Longest text of one part, in bytes. As a JSON string it may grow, at most
/// to twice its length, since the text is itself JSON without control characters.
const MAX_PART: usize = (MAX_VALUE_BYTES - 1024) / 2;

/// Tries of a part whose answer is lost.
const PART_ATTEMPTS: u32 = 3;

/// Where the parts of a value are.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Parts {
    /// Drawn for each try, so that parts of two tries never mix.
    nonce: SmolStr,
    count: usize,
}

/// What an object of a journal holds: the value, or where its parts are.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Envelope {
    /// Chosen by the writer; tells its own write from another's.
    nonce: SmolStr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parts: Option<Parts>,
}

fn name_part(directory: &str, nonce: &str, index: usize) -> String {
    format!("{directory}.{nonce}.{index:04}")
}

/// Cuts `text` into parts of at most `length` bytes, none inside a character.
fn split_text(mut text: &str, length: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    while text.len() > length {
        let (part, rest) = text.split_at(text.floor_char_boundary(length));
        parts.push(part);
        text = rest;
    }
    parts.push(text);
    parts
}

/// Writes a part; one that stands already is this try's, with its answer lost.
async fn write_part<S>(store: &S, name: &str, part: &str) -> Result<(), Error>
where
    S: Store,
{
    let value = Value::String(part.into());
    let mut lost = String::new();
    for _ in 0..PART_ATTEMPTS {
        match store.create(name, &value).await {
            Ok(_) | Err(Error::Conflict) => return Ok(()),
            Err(Error::Unknown(why)) => lost = why,
            Err(error) => return Err(error),
        }
    }
    // Nothing names the part yet, so that it does no harm should it stand.
    Err(Error::Unavailable(lost))
}

async fn write_parts<S>(store: &S, directory: &str, text: &str) -> Result<Parts, Error>
where
    S: Store,
{
    let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
    let parts = split_text(text, MAX_PART);
    for (index, part) in parts.iter().enumerate() {
        write_part(store, &name_part(directory, &nonce, index), part).await?;
    }
    Ok(Parts {
        nonce,
        count: parts.len(),
    })
}

/// Makes the envelope of `value`, after writing its parts under `directory` if it has any.
pub(crate) async fn make_envelope<S>(
    store: &S,
    directory: &str,
    nonce: &str,
    value: &Value,
) -> Result<Value, Error>
where
    S: Store,
{
    let text = value.to_string();
    let envelope = if text.len() <= MAX_PART {
        Envelope {
            nonce: nonce.into(),
            value: Some(value.clone()),
            parts: None,
        }
    } else {
        Envelope {
            nonce: nonce.into(),
            value: None,
            parts: Some(write_parts(store, directory, &text).await?),
        }
    };
    serde_json::to_value(envelope).map_err(|error| Error::Invalid(error.to_string()))
}

/// Gives the nonce and the value of an object, reading its parts if it has any.
///
/// [`Error::Gone`] tells that the parts are removed already.
pub(crate) async fn read_envelope<S>(
    store: &S,
    directory: &str,
    object: Object,
) -> Result<(SmolStr, Value), Error>
where
    S: Store,
{
    let envelope: Envelope = serde_json::from_value(object.value)
        .map_err(|error| Error::Invalid(format!("{}: {error}", object.name)))?;
    let Some(parts) = envelope.parts else {
        return Ok((envelope.nonce, envelope.value.unwrap_or_default()));
    };
    let mut text = String::new();
    for index in 0..parts.count {
        let name = name_part(directory, &parts.nonce, index);
        let part = store.get(&name).await?.ok_or(Error::Gone)?;
        text.push_str(part.value.as_str().unwrap_or_default());
    }
    let value = serde_json::from_str(&text)
        .map_err(|error| Error::Invalid(format!("{}: {error}", object.name)))?;
    Ok((envelope.nonce, value))
}
