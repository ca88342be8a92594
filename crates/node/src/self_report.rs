//! Headers in which a backend server reports its rate limit and that it is leaving.
//!
//! Both the product's headers and those of the platform are read, whichever interface is
//! configured, because the headers of one don't have another meaning in the other.

use http::{HeaderMap, HeaderName};
use policy::self_report::Reading;

/// The rate that the backend server takes from all nodes together, in requests per second.
pub(crate) const RATE_LIMIT_HEADER: HeaderName = HeaderName::from_static("bluebellpick-rate-limit");

/// Present with the value 1 if the backend server is leaving.
pub(crate) const LEAVING_HEADER: HeaderName = HeaderName::from_static("bluebellpick-leaving");

/// Reads what a response reports about its backend server.
pub(crate) fn read(headers: &HeaderMap) -> Reading {
    let mut reading = Reading::default();
    for name in [&RATE_LIMIT_HEADER, &platform::header::SERVER_LIMIT] {
        for value in headers.get_all(name) {
            // Several values may come in one line, as in any list (RFC 9110, section 5.3).
            let text = value.to_str().unwrap_or("?");
            for text in text.split(',') {
                reading.add_rate(text);
            }
        }
    }
    for name in [&LEAVING_HEADER, &platform::header::SERVER_LEAVING] {
        for value in headers.get_all(name) {
            let text = value.to_str().unwrap_or("?");
            for text in text.split(',') {
                reading.add_leaving(text);
            }
        }
    }
    reading
}
