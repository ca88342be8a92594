//! Encoding of a shard's entries and snapshots in the platform.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;

/// Encodes a value with `postcard` and base64, in a third of the length of JSON.
///
/// # Errors
///
/// Returns [`store::Error::Invalid`] if the value can't be encoded.
pub(crate) fn encode<T>(value: &T) -> Result<Value, store::Error>
where
    T: Serialize,
{
    let bytes =
        postcard::to_stdvec(value).map_err(|error| store::Error::Invalid(error.to_string()))?;
    Ok(Value::String(STANDARD_NO_PAD.encode(bytes)))
}

/// Decodes a value that [`encode`] returned.
///
/// # Errors
///
/// Returns [`store::Error::Invalid`] if the input has another format.
pub(crate) fn decode<T>(value: &Value) -> Result<T, store::Error>
where
    T: DeserializeOwned,
{
    let invalid = |reason: String| store::Error::Invalid(reason);
    let text = value
        .as_str()
        .ok_or_else(|| invalid("the value is not a string".into()))?;
    let bytes = STANDARD_NO_PAD
        .decode(text)
        .map_err(|error| invalid(error.to_string()))?;
    postcard::from_bytes(&bytes).map_err(|error| invalid(error.to_string()))
}
