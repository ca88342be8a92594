//! Headers between HTTP and the protocol between nodes.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, header};
use smol_str::SmolStr;
use wire::call::Header;

/// Headers that belong to one connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Takes the headers that are for the other end.
pub(crate) fn collect_end_to_end(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(name) && !is_named(headers, name))
        .map(|(name, value)| Header {
            name: SmolStr::new(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Tells whether a `Connection` header names `name` as its connection's own.
fn is_named(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers.get_all(header::CONNECTION).iter().any(|value| {
        value.to_str().is_ok_and(|list| {
            list.split(',')
                .any(|token| token.trim().eq_ignore_ascii_case(name.as_str()))
        })
    })
}

/// Puts headers into a map; those that are no HTTP headers are left out.
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
