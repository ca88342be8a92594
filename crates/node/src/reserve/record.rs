//! The form in which a shard's entries and tables stand in the platform.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;

/// Gives `postcard` bytes as base64 text: a third of the JSON's length.
///
/// # Errors
///
/// [`store::Error::Invalid`] when it has no such form.
pub(crate) fn encode<T>(value: &T) -> Result<Value, store::Error>
where
    T: Serialize,
{
    let bytes =
        postcard::to_stdvec(value).map_err(|error| store::Error::Invalid(error.to_string()))?;
    Ok(Value::String(STANDARD_NO_PAD.encode(bytes)))
}

/// Reads what [`encode`] gave.
///
/// # Errors
///
/// [`store::Error::Invalid`] when it is something else.
pub(crate) fn decode<T>(value: &Value) -> Result<T, store::Error>
where
    T: DeserializeOwned,
{
    let invalid = |why: String| store::Error::Invalid(why);
    let text = value
        .as_str()
        .ok_or_else(|| invalid("a record that is no text".into()))?;
    let bytes = STANDARD_NO_PAD
        .decode(text)
        .map_err(|error| invalid(error.to_string()))?;
    postcard::from_bytes(&bytes).map_err(|error| invalid(error.to_string()))
}
