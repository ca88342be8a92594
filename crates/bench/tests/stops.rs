//! What the replies of a stopping node mean to its callers.

use bench::caller::Answer;
use bench::stops_callers::{Outcome, Reply, classify};
use http::{HeaderMap, HeaderValue, StatusCode};
use std::io::ErrorKind;
use yare::parameterized;

fn answer(status: u16, verdict: &'static str) -> Reply {
    let mut headers = HeaderMap::new();
    headers.insert("bluebellpick-verdict", HeaderValue::from_static(verdict));
    Reply::Answer(Answer {
        status: StatusCode::from_u16(status).expect("a valid status"),
        headers,
        body: "{}".into(),
    })
}

fn broken(has_part: bool) -> Reply {
    let kind = ErrorKind::ConnectionReset;
    Reply::Broken { has_part, kind }
}

// A request without an answer must not pass as refused, nor an unknown outcome as served.
#[parameterized(
    served = { answer(200, "ran"), None, Outcome::Served },
    closed = { answer(408, "not-run"), None, Outcome::Refused },
    closed_after_end = { answer(408, "not-run"), Some(1), Outcome::Refused },
    full = { answer(429, "not-run"), None, Outcome::Refused },
    no_endpoint = { answer(503, "not-run"), None, Outcome::Refused },
    unknown = { answer(503, "may-have-run"), None, Outcome::WrongAnswer },
    no_verdict = { answer(408, ""), None, Outcome::WrongAnswer },
    bad_gateway = { answer(502, "not-run"), None, Outcome::WrongAnswer },
    late = { answer(504, "ran"), None, Outcome::WrongAnswer },
    no_route = { answer(404, "not-run"), None, Outcome::WrongAnswer },
    cut = { broken(false), None, Outcome::Cut },
    cut_before_end = { broken(false), Some(3), Outcome::Cut },
    after_end = { broken(false), Some(1), Outcome::AfterEnd },
    truncated = { broken(true), Some(1), Outcome::Cut },
    unwritten = { Reply::Unwritten(ErrorKind::BrokenPipe), None, Outcome::Unwritten },
)]
fn reply_outcome(reply: Reply, ended_us: Option<u64>, expected: Outcome) {
    assert_eq!(classify(&reply, 2, ended_us), expected);
}
