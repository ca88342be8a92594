//! What operators are told of a proposal: four answers, each with its code.

mod support;

use store::MemoryStore;
use store::memory::Faults;
use support::Desk;
use yare::parameterized;

const SERVICE: &str = r#"{"put_service":{"name":"jobs","service":{}}}"#;
const OTHER: &str = r#"{"put_service":{"name":"claims","service":{}}}"#;

/// Gives the proposal's name, which the program tells before it sends anything.
fn read_id(errors: &str) -> &str {
    let line = errors.lines().next().unwrap();
    line.strip_prefix("proposal ").unwrap()
}

/// Gives the path of an example file.
fn find_example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted() {
    let memory = MemoryStore::new();
    let desk = Desk::open(&memory).await;
    let file = desk.write("patch", SERVICE);
    let ended = desk.run(&["propose", &file, "--base=0"]);
    let id = read_id(&ended.errors);
    assert_eq!(ended.code, 0);
    assert_eq!(
        ended.output,
        format!("accepted: version 1 (proposal {id})\n")
    );
    let again = desk.run(&["propose", &file, "--base=0", "--id", id, "--json"]);
    assert_eq!((again.code, &again.json()["version"]), (0, &1.into()));
    let settled = desk.run(&["outcome", id]);
    assert_eq!((settled.code, settled.output), (0, ended.output));
}

#[tokio::test(flavor = "multi_thread")]
async fn crossed() {
    let memory = MemoryStore::new();
    let desk = Desk::open(&memory).await;
    let (first, second) = (desk.write("first", SERVICE), desk.write("second", OTHER));
    let winner = desk.run(&["propose", &first, "--base=0"]);
    let ended = desk.run(&["propose", &second, "--base=0", "--json"]);
    assert_eq!(ended.code, 3);
    let json = ended.json();
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
    let desk = Desk::open(&memory).await;
    let file = desk.write("patch", text);
    let ended = desk.run(&["propose", &file, "--base", base]);
    assert_eq!(ended.code, code, "{ended:?}");
    let said = format!("{}{}", ended.output, ended.errors);
    assert!(said.contains(message), "{said}");
}

// The platform is down for the whole time that the operator waits. Nothing was
// written and nobody else knows the proposal, so it is plainly never applied.
#[tokio::test(flavor = "multi_thread")]
async fn platform_down() {
    let memory = MemoryStore::new();
    let desk = Desk::open(&memory).await;
    memory.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let file = desk.write("patch", SERVICE);
    let ended = desk.run(&["propose", &file, "--base=0", "--wait=1"]);
    assert_eq!(ended.code, 4, "{ended:?}");
    assert!(
        ended
            .output
            .starts_with("never applied: nothing was written")
    );
    // An earlier try may stand: another name's fate is not this try's to tell.
    let ended = desk.run(&["propose", &file, "--base=0", "--wait=1", "--id=0-abc"]);
    assert_eq!(ended.code, 5, "{ended:?}");
    let ended = desk.run(&["outcome", "0-abc"]);
    assert_eq!(ended.code, 5, "{ended:?}");
    assert!(
        ended
            .output
            .contains("settle it with: bluebellpick outcome 0-abc")
    );
}

// An operator's proposal is lost on its way, and then the platform is down. She
// is told that its fate is open, and later that it is never applied; when the
// lost write arrives after all, that must still be true.
#[tokio::test(flavor = "multi_thread")]
async fn late_write() {
    let memory = MemoryStore::new();
    let desk = Desk::open(&memory).await;
    memory.set_faults(Faults {
        late_next: 1_000,
        ..Faults::default()
    });
    let file = desk.write("patch", SERVICE);
    let ended = desk.run(&["propose", &file, "--base=0", "--wait=1"]);
    assert_eq!(ended.code, 5, "{ended:?}");
    let id = read_id(&ended.errors);
    let advice = format!("settle it with: bluebellpick outcome {id}\n");
    assert!(ended.output.ends_with(&advice), "{ended:?}");

    memory.set_faults(Faults::default());
    for _ in 0..2 {
        let settled = desk.run(&["outcome", id]);
        assert_eq!(settled.code, 4, "{settled:?}");
        assert!(settled.output.starts_with("never applied: "));
        memory.deliver_late_writes();
    }
    let shown = desk.run(&["show"]);
    assert!(shown.output.starts_with("# version 1, digest"));
    assert!(!shown.output.contains("jobs"));
}

// The platform applies a proposal and its answer is lost. The operator is told
// that it is accepted, since the second try finds the first one's record.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let memory = MemoryStore::new();
    let desk = Desk::open(&memory).await;
    memory.set_faults(Faults {
        lose_next: 2,
        ..Faults::default()
    });
    let file = desk.write("patch", SERVICE);
    let ended = desk.run(&["propose", &file, "--base=0"]);
    assert_eq!(ended.code, 0, "{ended:?}");
    assert!(ended.output.starts_with("accepted: version 1 "));
}

#[parameterized(
    tenaga = { "tenaga.jsonl", Some("tenaga-merger.jsonl") },
    mallae = { "mallae.jsonl", None },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn example_patches(first: &str, second: Option<&str>) {
    let memory = MemoryStore::new();
    let desk = Desk::open(&memory).await;
    let file = find_example(first);
    let checked = desk.run(&["check", &file, "--base=0"]);
    assert_eq!(checked.code, 0, "{checked:?}");
    assert_eq!(desk.run(&["propose", &file, "--base=0"]).code, 0);
    if let Some(second) = second {
        let file = find_example(second);
        assert_eq!(desk.run(&["check", &file, "--base=0"]).code, 2);
        assert_eq!(desk.run(&["check", &file, "--base=1"]).code, 0);
        assert_eq!(desk.run(&["propose", &file, "--base=1"]).code, 0);
    }
}
