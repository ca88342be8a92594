//! The four outcomes of a proposal, each with its exit code.

mod support;

use store::MemoryStore;
use store::memory::Faults;
use support::Harness;
use yare::parameterized;

const SERVICE: &str = r#"{"put_service":{"name":"jobs","service":{}}}"#;
const OTHER: &str = r#"{"put_service":{"name":"claims","service":{}}}"#;

/// Returns the proposal's id, which the program prints before it sends anything.
fn read_id(errors: &str) -> &str {
    let line = errors.lines().next().unwrap();
    line.strip_prefix("proposal ").unwrap()
}

/// Returns the path of an example file.
fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    let file = harness.write("patch", SERVICE);
    let result = harness.run(&["propose", &file, "--base=0"]);
    let id = read_id(&result.errors);
    assert_eq!(result.code, 0);
    assert_eq!(
        result.output,
        format!("accepted: version 1 (proposal {id})\n")
    );
    let again = harness.run(&["propose", &file, "--base=0", "--id", id, "--json"]);
    assert_eq!((again.code, &again.json()["version"]), (0, &1.into()));
    let resolved = harness.run(&["outcome", id]);
    assert_eq!((resolved.code, resolved.output), (0, result.output));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_race() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    let (first, second) = (
        harness.write("first", SERVICE),
        harness.write("second", OTHER),
    );
    let winner = harness.run(&["propose", &first, "--base=0"]);
    let result = harness.run(&["propose", &second, "--base=0", "--json"]);
    assert_eq!(result.code, 3);
    let json = result.json();
    assert_eq!(json["outcome"], "refused");
    assert_eq!(json["holder"]["entry"]["proposal"], read_id(&winner.errors));
    assert_eq!(json["holder"]["entry"]["author"], "ann");
}

#[parameterized(
    bad_reference = { r#"{"put_route":{"prefix":"/a","route":{"targets":[{"service":"a","percent":100}]}}}"#, "0", 3, "line 1: route \"/a\" points at service \"a\", which isn't there" },
    later_line = { "# none\n\n{\"remove_service\":{\"name\":\"a\"}}", "0", 3, "there is no service \"a\" to remove" },
    no_such_base = { SERVICE, "7", 3, "there is no version 7 yet; the last one is 0" },
    not_a_change = { "\n{\"put\":1}", "0", 2, "line 2: not a change" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn wrong_patch(text: &str, base: &str, code: i32, message: &str) {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    let file = harness.write("patch", text);
    let result = harness.run(&["propose", &file, "--base", base]);
    assert_eq!(result.code, code, "{result:?}");
    let said = format!("{}{}", result.output, result.errors);
    assert!(said.contains(message), "{said}");
}

// The platform is down for the whole time of `--wait`. Nothing was written and
// nobody else knows the proposal's id, so the outcome is "never applied".
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let file = harness.write("patch", SERVICE);
    let result = harness.run(&["propose", &file, "--base=0", "--wait=1"]);
    assert_eq!(result.code, 4, "{result:?}");
    assert!(
        result
            .output
            .starts_with("never applied: nothing was written")
    );
    // With --id, an earlier attempt may have been stored: the outcome is not known.
    let result = harness.run(&["propose", &file, "--base=0", "--wait=1", "--id=0-abc"]);
    assert_eq!(result.code, 5, "{result:?}");
    let result = harness.run(&["outcome", "0-abc"]);
    assert_eq!(result.code, 5, "{result:?}");
    assert!(
        result
            .output
            .contains("settle it with: bluebellpick outcome 0-abc")
    );
}

// The write of a proposal is delayed until after the time of `--wait`, so `propose` reports that
// the outcome is not known yet. `outcome` then reports that the proposal is never applied, which
// must stay true after the delayed write arrives.
#[tokio::test(flavor = "multi_thread")]
async fn late_write() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    memory.set_faults(Faults {
        late_next: 1_000,
        ..Faults::default()
    });
    let file = harness.write("patch", SERVICE);
    let result = harness.run(&["propose", &file, "--base=0", "--wait=1"]);
    assert_eq!(result.code, 5, "{result:?}");
    let id = read_id(&result.errors);
    let advice = format!("settle it with: bluebellpick outcome {id}\n");
    assert!(result.output.ends_with(&advice), "{result:?}");

    memory.set_faults(Faults::default());
    for _ in 0..2 {
        let resolved = harness.run(&["outcome", id]);
        assert_eq!(resolved.code, 4, "{resolved:?}");
        assert!(resolved.output.starts_with("never applied: "));
        memory.deliver_late_writes();
    }
    let shown = harness.run(&["show"]);
    assert!(shown.output.starts_with("# version 1, digest"));
    assert!(!shown.output.contains("jobs"));
}

// The platform applies a proposal, but its response is lost. The outcome is
// "accepted", since the second attempt finds the record of the first one.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    memory.set_faults(Faults {
        lose_next: 2,
        ..Faults::default()
    });
    let file = harness.write("patch", SERVICE);
    let result = harness.run(&["propose", &file, "--base=0"]);
    assert_eq!(result.code, 0, "{result:?}");
    assert!(result.output.starts_with("accepted: version 1 "));
}

#[parameterized(
    tenaga = { "tenaga.jsonl", Some("tenaga-merger.jsonl") },
    mallae = { "mallae.jsonl", None },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn example_patches(first: &str, second: Option<&str>) {
    let memory = MemoryStore::new();
    let harness = Harness::open(&memory).await;
    let file = example_path(first);
    let checked = harness.run(&["check", &file, "--base=0"]);
    assert_eq!(checked.code, 0, "{checked:?}");
    assert_eq!(harness.run(&["propose", &file, "--base=0"]).code, 0);
    if let Some(second) = second {
        let file = example_path(second);
        assert_eq!(harness.run(&["check", &file, "--base=0"]).code, 2);
        assert_eq!(harness.run(&["check", &file, "--base=1"]).code, 0);
        assert_eq!(harness.run(&["propose", &file, "--base=1"]).code, 0);
    }
}
