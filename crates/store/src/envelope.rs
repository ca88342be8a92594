//! Immutable values that may exceed the platform's size limit.
//!
//! A large value is split into parts, which are written first, under a random nonce. The object
//! that references the parts is written last, so that a reader that finds this object also finds
//! every part.

use crate::MAX_VALUE_BYTES;
use crate::{Error, Object, Store};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

/// Maximum length of the text of one part, in bytes. Escaping the text as a JSON string at most
/// doubles its length, because the text is itself JSON without control characters.
const MAX_PART_BYTES: usize = (MAX_VALUE_BYTES - 1024) / 2;

/// Maximum number of attempts to write a part while responses are lost.
const MAX_PART_ATTEMPTS: u32 = 3;

/// Reference to the parts of a value.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PartsRef {
    /// Drawn anew for each attempt to write the value, so that parts of two attempts never mix.
    nonce: SmolStr,
    count: usize,
}

/// Content of a journal's object: the value itself, or a reference to its parts.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Envelope {
    /// Chosen by the writer, to distinguish its own write from another's.
    nonce: SmolStr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    value: Option<Value>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parts: Option<PartsRef>,
}

fn part_name(prefix: &str, nonce: &str, index: usize) -> String {
    format!("{prefix}.{nonce}.{index:04}")
}

/// Splits `text` into parts of at most `length` bytes, at character boundaries.
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

/// Writes a part. If the part exists already, it was written by an earlier request of this call
/// whose response was lost.
async fn write_part<S>(store: &S, name: &str, part: &str) -> Result<(), Error>
where
    S: Store,
{
    let value = Value::String(part.into());
    let mut reason = String::new();
    for _ in 0..MAX_PART_ATTEMPTS {
        match store.create(name, &value).await {
            Ok(_) | Err(Error::Conflict) => return Ok(()),
            Err(Error::Unknown(lost)) => reason = lost,
            Err(error) => return Err(error),
        }
    }
    // No object references the part yet, so it does no harm if it was written after all.
    Err(Error::Unavailable(reason))
}

async fn write_parts<S>(store: &S, prefix: &str, text: &str) -> Result<PartsRef, Error>
where
    S: Store,
{
    let nonce = format_smolstr!("{:016x}", rand::random::<u64>());
    let parts = split_text(text, MAX_PART_BYTES);
    for (index, part) in parts.iter().enumerate() {
        write_part(store, &part_name(prefix, &nonce, index), part).await?;
    }
    Ok(PartsRef {
        nonce,
        count: parts.len(),
    })
}

/// Wraps `value` in an envelope; a large value is first written as parts, whose names start with
/// `prefix`.
pub(crate) async fn make_envelope<S>(
    store: &S,
    prefix: &str,
    nonce: &str,
    value: &Value,
) -> Result<Value, Error>
where
    S: Store,
{
    let text = value.to_string();
    let envelope = if text.len() <= MAX_PART_BYTES {
        Envelope {
            nonce: nonce.into(),
            value: Some(value.clone()),
            parts: None,
        }
    } else {
        Envelope {
            nonce: nonce.into(),
            value: None,
            parts: Some(write_parts(store, prefix, &text).await?),
        }
    };
    serde_json::to_value(envelope).map_err(|error| Error::Invalid(error.to_string()))
}

/// Returns the nonce and the value of an object, reading its parts if it has any.
///
/// Fails with [`Error::Gone`] when the parts have been removed.
pub(crate) async fn read_envelope<S>(
    store: &S,
    prefix: &str,
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
        let name = part_name(prefix, &parts.nonce, index);
        let part = store.get(&name).await?.ok_or(Error::Gone)?;
        text.push_str(part.value.as_str().unwrap_or_default());
    }
    let value = serde_json::from_str(&text)
        .map_err(|error| Error::Invalid(format!("{}: {error}", object.name)))?;
    Ok((envelope.nonce, value))
}
