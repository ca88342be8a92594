//! Request digests: equal for repeats, different for different requests.

use call::{Digest, MAX_DIGEST_BODY_BYTES};

/// Moving bytes from one part of a request to the next must change its digest.
#[test]
fn parts_are_delimited() {
    let digest = Digest::of("desk", "GET", "mesh", "/a", b"");
    let others = [
        Digest::of("board", "GET", "mesh", "/a", b""),
        Digest::of("des", "kGET", "mesh", "/a", b""),
        Digest::of("desk", "GE", "Tmesh", "/a", b""),
        Digest::of("desk", "GET", "mesh/", "a", b""),
        Digest::of("desk", "GET", "mesh", "/", b"a"),
        Digest::of("desk", "GET", "mesh", "/a?b", b""),
    ];
    assert!(others.iter().all(|other| *other != digest));
    assert_eq!(digest, Digest::of("desk", "GET", "mesh", "/a", b""));
    assert_eq!(digest.to_string().len(), 32);
}

/// The digest of a long body must not depend on how much of it a node has buffered.
#[test]
fn long_body_prefix() {
    let body = vec![7; MAX_DIGEST_BODY_BYTES + 1];
    let full = Digest::of("desk", "POST", "mesh", "/a", &body);
    assert_eq!(
        full,
        Digest::of("desk", "POST", "mesh", "/a", &body[..MAX_DIGEST_BODY_BYTES])
    );
    assert_ne!(full, Digest::of("desk", "POST", "mesh", "/a", &body[..8]));
}
