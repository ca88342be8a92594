//! What names a request through all its repeats.

use call::{Digest, MAX_DIGEST_BODY};

/// Two requests must not share a name because their parts run together.
#[test]
fn parts_apart() {
    let named = Digest::of("GET", "mesh", "/a", b"");
    let others = [
        Digest::of("GE", "Tmesh", "/a", b""),
        Digest::of("GET", "mesh/", "a", b""),
        Digest::of("GET", "mesh", "/", b"a"),
        Digest::of("GET", "mesh", "/a?b", b""),
    ];
    assert!(others.iter().all(|other| *other != named));
    assert_eq!(named, Digest::of("GET", "mesh", "/a", b""));
    assert_eq!(named.to_string().len(), 32);
}

/// A long body must have one name, however much of it a node holds.
#[test]
fn long_body() {
    let body = vec![7; MAX_DIGEST_BODY + 1];
    let whole = Digest::of("POST", "mesh", "/a", &body);
    assert_eq!(
        whole,
        Digest::of("POST", "mesh", "/a", &body[..MAX_DIGEST_BODY])
    );
    assert_ne!(whole, Digest::of("POST", "mesh", "/a", &body[..8]));
}
