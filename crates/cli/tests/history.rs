//! Verbs that show versions: `show`, `log` and `diff`; errors of the command line.

mod support;

use store::MemoryStore;
use support::{Harness, run_program};
use yare::parameterized;

/// Opens a harness and proposes the services one after another, each as a version of its own.
async fn open_with_services(names: &[&str]) -> Harness {
    let harness = Harness::open(&MemoryStore::new()).await;
    for (base, name) in names.iter().enumerate() {
        let text = format!(r#"{{"put_service":{{"name":"{name}","service":{{}}}}}}"#);
        let file = harness.write(name, &text);
        let result = harness.run(&["propose", &file, "--base", &base.to_string()]);
        assert_eq!(result.code, 0, "{result:?}");
    }
    harness
}

#[tokio::test(flavor = "multi_thread")]
async fn show_and_diff() {
    let harness = open_with_services(&["a", "b", "c"]).await;
    let shown = harness.run(&["show", "2"]);
    let lines = shown.output.lines().collect::<Vec<_>>();
    assert!(lines[0].starts_with("# version 2, digest "));
    assert_eq!(
        lines[1..],
        [
            r#"{"put_service":{"name":"a","service":{"objective":null}}}"#,
            r#"{"put_service":{"name":"b","service":{"objective":null}}}"#
        ]
    );
    // The output of `show` is a patch against version 0.
    let file = harness.write("shown", &shown.output);
    assert_eq!(harness.run(&["check", &file, "--base=0"]).code, 0);

    let back = harness.run(&["diff", "3", "1"]);
    let removals = "{\"remove_service\":{\"name\":\"b\"}}\n{\"remove_service\":{\"name\":\"c\"}}\n";
    assert_eq!((back.code, back.output.as_str()), (0, removals));
    let last = harness.run(&["show", "--json"]).json();
    assert_eq!(last["version"], 3);
    assert_eq!(last["mesh"]["services"].as_object().unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn log_lists() {
    let harness = open_with_services(&["a", "b", "c"]).await;
    assert_eq!(harness.run(&["outcome", "3-abc"]).code, 4);
    let listed = harness.run(&["log", "--limit=2"]);
    let lines = listed.output.lines().collect::<Vec<_>>();
    assert!(lines[0].starts_with("VERSION"));
    assert!(lines[1].starts_with("4 ") && lines[1].contains("3-abc"));
    assert!(lines[1].ends_with("never applied"));
    assert!(lines[2].starts_with("3 ") && lines[2].ends_with('1'));
    assert_eq!(lines.len(), 3);
    let json = harness.run(&["log", "--json"]).json();
    assert_eq!(json.as_array().unwrap().len(), 4);
    assert_eq!(json[3]["entry"]["author"], "ann");
}

// An early version must still be shown after many later versions: readers then start from a
// snapshot, so the records before the snapshot must be read separately.
#[tokio::test(flavor = "multi_thread")]
async fn before_snapshot() {
    let names = (0..70).map(|index| format!("s{index}")).collect::<Vec<_>>();
    let names = names.iter().map(String::as_str).collect::<Vec<_>>();
    let harness = open_with_services(&names).await;
    let shown = harness.run(&["show", "2", "--json"]).json();
    assert_eq!(shown["mesh"]["services"].as_object().unwrap().len(), 2);
    let listed = harness.run(&["log", "--limit=69", "--json"]).json();
    assert_eq!(listed.as_array().unwrap().len(), 69);
}

#[parameterized(
    later = { &["show", "9"], 1, "there is no version 9 yet; the last one is 1" },
    not_a_number = { &["show", "x"], 2, "couldn't parse `x`" },
    unknown_verb = { &["apply"], 2, "apply" },
    unknown_flag = { &["status", "--nodes=1"], 2, "--node" },
    bad_id = { &["outcome", "abc"], 2, "is no proposal's name, such as 7-3f9a20c1" },
    no_file = { &["check", "no-such-file"], 2, "no-such-file: can't be read" },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn wrong_use(arguments: &[&str], code: i32, message: &str) {
    let harness = open_with_services(&["a"]).await;
    let result = harness.run(arguments);
    assert_eq!(result.code, code, "{result:?}");
    assert!(result.errors.contains(message), "{result:?}");
}

#[parameterized(
    no_verb = { &[], 2, "expected" },
    no_platform = { &["log"], 2, "give --platform ADDRESS" },
    no_nodes = { &["status"], 2, "give --node ADDRESS" },
    no_settings = { &["log", "--settings=no-such-file"], 2, "no-such-file: can't be read" },
)]
fn without_addresses(arguments: &[&str], code: i32, message: &str) {
    let result = run_program(arguments);
    assert_eq!(result.code, code, "{result:?}");
    assert!(result.errors.contains(message), "{result:?}");
}

#[parameterized(
    propose = { "propose" }, outcome = { "outcome" }, status = { "status" }, show = { "show" },
    log = { "log" }, diff = { "diff" }, drain = { "drain" }, check = { "check" }, burn = { "burn" },
)]
fn verb_help(verb: &str) {
    let result = run_program(&[verb, "--help"]);
    assert_eq!(result.code, 0);
    assert!(result.output.contains("--json") && result.output.contains("Usage: "));
}
