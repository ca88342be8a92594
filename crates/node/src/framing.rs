//! Checks which headers say where a message ends (RFC 9112, section 6.3).
//!
//! The HTTP client and server decide how far they read. What they don't check is whether the headers
//! are unambiguous, and whether they still hold for the message that is forwarded: only chunks are
//! removed from a body, not other codings, and of a length and chunks, only the chunks count.

use http::{HeaderMap, HeaderValue, Method, Response, StatusCode, header};

/// Why an answer can't be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// It exceeds a limit on what is no part of its body, such as its head or a chunk's size line.
    TooLong,
    /// It violates the syntax of HTTP/1.
    Malformed,
    /// It has both a length and a transfer coding, as in attempts to split responses.
    TwoLengths,
    /// Its body has a transfer coding other than `chunked`.
    UnknownCoding,
}

impl Flaw {
    /// Returns the flaw's name in log lines and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::TooLong => "too-long",
            Self::Malformed => "malformed",
            Self::TwoLengths => "two-lengths",
            Self::UnknownCoding => "unknown-coding",
        }
    }
}

/// Checks the framing of the answer to a request with `method`, and leaves in its headers at most one
/// length, which is valid.
pub(crate) fn check_answer<B>(method: &Method, response: &mut Response<B>) -> Result<(), Flaw> {
    let status = response.status();
    let has_body = method != Method::HEAD
        && status != StatusCode::SWITCHING_PROTOCOLS
        && status != StatusCode::NO_CONTENT
        && status != StatusCode::NOT_MODIFIED;
    let headers = response.headers_mut();
    let has_coding = headers.contains_key(header::TRANSFER_ENCODING);
    if has_body && has_coding && headers.contains_key(header::CONTENT_LENGTH) {
        return Err(Flaw::TwoLengths);
    }
    if has_body && !is_decoded(headers) {
        return Err(Flaw::UnknownCoding);
    }
    let length = single_length(headers).filter(|_| status != StatusCode::NO_CONTENT);
    match length {
        Some(length) if !has_coding => {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(length));
        }
        _ => {
            headers.remove(header::CONTENT_LENGTH);
        }
    }
    Ok(())
}

/// Returns whether the HTTP client or server removes all transfer codings of a message.
pub(crate) fn is_decoded(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => true,
        (Some(coding), None) => coding
            .as_bytes()
            .trim_ascii()
            .eq_ignore_ascii_case(b"chunked"),
        (Some(_), Some(_)) => false,
    }
}

/// Returns the length that a message's headers give, if they give the same one each time.
fn single_length(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut lengths = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let first = parse_length(lengths.next()?)?;
    lengths
        .all(|length| parse_length(length) == Some(first))
        .then_some(first)
}

fn parse_length(text: &[u8]) -> Option<u64> {
    let digits = text.trim_ascii();
    // A number's text may begin with a plus sign, but not a length's.
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
