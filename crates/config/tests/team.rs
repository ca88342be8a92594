//! Teams: keys, limits, and what must not leak.

use config::team::{KeyDigest, Limit, Table};
use config::{Change, Digest, Mesh, Patch, Team, diff};
use yare::parameterized;

/// SHA-256 of `abc`.
const ABC: &str = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";

fn team(keys: &[&str]) -> Team {
    Team {
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        ..Team::default()
    }
}

fn put(name: &str, keys: &[&str]) -> Change {
    let team = team(keys);
    let name = name.into();
    Change::PutTeam { name, team }
}

fn apply(mesh: &Mesh, changes: Vec<Change>) -> Mesh {
    Patch::from(changes).apply(mesh).expect("a valid patch")
}

#[test]
fn key_lookup() {
    let mesh = apply(
        &Mesh::default(),
        vec![put("fitters", &["abc", "def"]), put("clerks", &["ghi"])],
    );
    let table = Table::build(&mesh);
    let holder = |key: &str| {
        table
            .find(key.as_bytes())
            .map(|team| table.team(team).name.clone())
    };
    assert_eq!(holder("abc").as_deref(), Some("fitters"));
    assert_eq!(holder("ghi").as_deref(), Some("clerks"));
    assert_eq!(holder("abcd"), None);
    assert_eq!(holder(""), None);
    assert_eq!(
        table.find_by_name("clerks").map(|team| team.limit),
        Some(None)
    );
}

#[parameterized(
    full_digest = { ABC, true },
    upper_case = { "BA7816BF8F01CFEA414140DE5DAE2223B00361A396177A9CB410FF61F20015AD", true },
    short = { "ba7816bf", false },
    the_key_itself = { "abc", false },
    not_hex = { "xy7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", false },
    not_ascii = { "ä7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", false },
)]
fn digest_text(text: &str, is_valid: bool) {
    let parsed = KeyDigest::parse(text);
    assert_eq!(parsed, is_valid.then(|| KeyDigest::of(b"abc")));
}

#[parameterized(
    shared_key = { &[("fitters", "abc"), ("clerks", "abc")], "hold the same key" },
    empty_key = { &[("fitters", "")], "is empty" },
    blank_name = { &[("the fitters", "abc")], "not a valid name" },
)]
fn refused_team(teams: &[(&str, &str)], reason: &str) {
    let changes = teams.iter().map(|(name, key)| put(name, &[key]));
    let error = Patch::from(changes.collect::<Vec<_>>())
        .apply(&Mesh::default())
        .expect_err("the teams violate a rule");
    assert!(error.to_string().contains(reason), "{error}");
}

// An operator gives keys in place of their digests, or a limit below zero: the error must not
// repeat what stands in the line.
#[parameterized(
    bare_key = { r#"{"put_team": {"name": "a", "team": {"keys": ["s3cret"]}}}"# },
    not_a_list = { r#"{"put_team": {"name": "a", "team": {"keys": "s3cret"}}}"# },
    key_as_field = { r#"{"put_team": {"name": "a", "team": {"s3cret": 1}}}"# },
    negative_limit = { r#"{"put_team": {"name": "a", "team": {"limit": {"per_minute": -1, "burst": 0}, "keys": ["s3cret"]}}}"# },
)]
fn hidden_key(line: &str) {
    let error = Patch::parse(line).expect_err("not a team").to_string();
    assert!(error.starts_with("line 1: not a change"), "{error}");
    assert!(error.contains("digest"), "{error}");
    assert!(!error.contains("s3cret"), "{error}");
}

#[test]
fn redacted_debug() {
    let mesh = apply(&Mesh::default(), vec![put("fitters", &["abc"])]);
    let shown = format!("{mesh:?} {:?}", Table::build(&mesh));
    assert!(shown.contains("ba7816bf"), "{shown}");
    assert!(!shown.contains(&ABC[..12]), "{shown}");
}

// The last team is removed: calls must not become open to all.
#[test]
fn last_team() {
    let keyed = apply(&Mesh::default(), vec![put("fitters", &["abc"])]);
    let removed = apply(
        &keyed,
        vec![Change::RemoveTeam {
            name: "fitters".into(),
        }],
    );
    assert!(Table::build(&removed).requires_keys());
    let open = vec![Change::RequireKeys { required: false }];
    let error = Patch::from(open.clone())
        .apply(&keyed)
        .expect_err("there is a team");
    assert!(error.to_string().contains("must need keys"), "{error}");
    assert!(!apply(&removed, open).requires_keys);
}

#[test]
fn difference() {
    let open = Mesh::default();
    let keyed = apply(
        &open,
        vec![put("fitters", &["abc"]), put("clerks", &["ghi"])],
    );
    let mut limited = keyed.clone();
    limited.teams.remove("clerks");
    if let Some(team) = limited.teams.get_mut("fitters") {
        team.limit = Some(Limit {
            per_minute: 60,
            burst: 5,
        });
    }
    let empty = apply(&open, vec![Change::RequireKeys { required: true }]);
    let meshes = [open, keyed, limited, empty];
    for old in &meshes {
        for new in &meshes {
            let patch = diff(old, new);
            assert_eq!(patch.apply(old).expect("valid"), *new, "{patch:?}");
        }
    }
}

// The journal holds digests that were computed before there were teams.
#[test]
fn stable_digest() {
    let text = r#"
{"put_service": {"name": "claims", "service": {}}}
{"put_route": {"prefix": "/claims", "route": {"targets": [{"service": "claims", "percent": 100}]}}}
"#;
    let mesh = Patch::parse(text)
        .and_then(|patch| patch.apply(&Mesh::default()))
        .expect("valid");
    assert_eq!(
        Digest::of(&mesh).to_string(),
        "cdb2394c0cd094b52d7b003b1562bf04"
    );
    let mut public = mesh.clone();
    public
        .routes
        .values_mut()
        .for_each(|route| route.public = true);
    assert_ne!(Digest::of(&public), Digest::of(&mesh));
    let keyed = apply(&mesh, vec![put("fitters", &["abc"])]);
    assert_ne!(Digest::of(&keyed), Digest::of(&mesh));
}
