//! Headers in which a backend server reports its rate limit, its load and that it is leaving.
//!
//! Both the product's headers and those of the platform are read, whichever interface is
//! configured, because the headers of one don't have another meaning in the other.

use http::{HeaderMap, HeaderName};
use policy::self_report::Reading;
use settings::node::ServerLoad;

/// The rate that the backend server takes from all nodes together, in requests per second.
pub(crate) const RATE_LIMIT_HEADER: HeaderName = HeaderName::from_static("bluebellpick-rate-limit");

/// Present with the value 1 if the backend server is leaving.
pub(crate) const LEAVING_HEADER: HeaderName = HeaderName::from_static("bluebellpick-leaving");

/// The load: running and waiting calls, slots, and how long work takes on the machine in percent of
/// the usual.
pub(crate) const LOAD_HEADER: HeaderName = HeaderName::from_static("bluebellpick-load");

/// Reads what a response reports about its backend server.
pub(crate) fn read(headers: &HeaderMap, server_load: ServerLoad) -> Reading {
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
    if server_load == ServerLoad::Use {
        let names = [&LOAD_HEADER, &platform::header::SERVER_LOAD];
        let values = names.into_iter().flat_map(|name| headers.get_all(name));
        reading.add_loads(values.map(|value| value.to_str().unwrap_or("?")));
    }
    reading
}
