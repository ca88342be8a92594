//! Conversion of headers between HTTP and the protocol between nodes.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use smol_str::SmolStr;
use wire::call::Header;

/// Header that identifies a request across its repeats (IETF draft `idempotency-key-header`).
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Collects the headers that are forwarded to the other end.
pub(crate) fn collect_end_to_end(headers: &HeaderMap) -> Vec<Header> {
    // The length of a message in chunks is that of its chunks (RFC 9112, section 6.3).
    let is_coded = headers.contains_key(header::TRANSFER_ENCODING);
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && !is_connection_option(headers, name))
        .filter(|(name, _)| *name != header::CONTENT_LENGTH || !is_coded)
        .map(|(name, value)| Header {
            name: SmolStr::new(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns whether a `Connection` header lists `name` as an option of that connection.
fn is_connection_option(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|list| {
            list.split(',')
                .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
        })
    })
}

/// Appends headers to a map. Names and values that are invalid in HTTP are left out.
pub(crate) fn append_headers(headers: Vec<Header>, map: &mut HeaderMap) {
    map.reserve(headers.len());
    for Header { name, value } in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
}
