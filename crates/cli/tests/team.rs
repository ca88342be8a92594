//! Teams: keys come from files, and are shown by their fingerprints.

mod support;

use store::MemoryStore;
use support::Harness;

/// Fingerprint of the key `s3cret`, the first bytes of its SHA-256.
const FINGERPRINT: &str = "1ec1c26b";

#[tokio::test(flavor = "multi_thread")]
async fn key_life() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    let file = harness.write("key", "s3cret\n");
    let added = harness.run(&["team", "key", "add", "fitters", "--file", &file]);
    assert_eq!(added.code, 0, "{added:?}");
    let limited = harness.run(&["team", "limit", "fitters", "--per-minute=600", "--burst=20"]);
    assert_eq!(limited.code, 0, "{limited:?}");
    let listed = harness.run(&["team", "list"]);
    assert!(listed.output.contains("fitters"), "{listed:?}");
    assert!(listed.output.contains(FINGERPRINT), "{listed:?}");
    let shown = harness.run(&["team", "show", "fitters", "--json"]).json();
    assert_eq!(shown[0]["limit"]["per_minute"], 600);
    assert_eq!(shown[0]["keys"][0], FINGERPRINT);
    let twice = harness.run(&["team", "key", "add", "fitters", "--file", &file]);
    assert_eq!(twice.code, 2, "{twice:?}");
    let revoked = harness.run(&["team", "key", "revoke", "fitters", FINGERPRINT]);
    assert_eq!(revoked.code, 0, "{revoked:?}");
    let shown = harness.run(&["team", "show", "fitters", "--json"]).json();
    assert_eq!(shown[0]["keys"], serde_json::json!([]));
    for run in [&added, &limited, &listed, &twice, &revoked] {
        assert!(!format!("{run:?}").contains("s3cret"), "{run:?}");
    }
}

#[yare::parameterized(
    no_team = { &["team", "show", "clerks"], "no team" },
    no_key = { &["team", "key", "revoke", "clerks", "00000000"], "no team" },
    no_limit = { &["team", "limit", "clerks"], "--none" },
    negative_limit = { &["team", "limit", "clerks", "--per-minute=-1", "--burst=1"], "-1" },
    half_limit = { &["team", "limit", "clerks", "--per-minute=1"], "burst" },
    key_as_argument = { &["team", "key", "add", "clerks", "s3cret"], "never from the command line" },
    no_such_file = { &["team", "key", "add", "clerks", "--file=/nowhere"], "/nowhere" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn wrong_use(arguments: &[&str], message: &str) {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    let result = harness.run(arguments);
    assert_eq!(result.code, 2, "{result:?}");
    assert!(result.errors.contains(message), "{result:?}");
    assert!(!result.errors.contains("s3cret"), "{result:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_keys() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    for text in ["", " \n", "two words", &"k".repeat(5_000)] {
        let file = harness.write("key", text);
        let result = harness.run(&["team", "key", "add", "fitters", "--file", &file]);
        assert_eq!(result.code, 2, "{result:?}");
        assert!(result.errors.contains("one word"), "{result:?}");
    }
}
