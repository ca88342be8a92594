//! Settings of a node: every fault is named with its line and what would be right.

use settings::node::Settings;
use std::time::Duration;
use yare::parameterized;

const RIGHT: &str = "\
# A node.
[node]
name = records-1
zone = kl-a
region = kl
[listen]
callers = 127.0.0.1:7001
backend = 127.0.0.1:7002
nodes = 127.0.0.1:7003
operators = 127.0.0.1:7004
[fleet]
platform = 127.0.0.1:7100
[operators]
token = 0123456789abcdef
";

#[test]
fn right_file() {
    let settings = Settings::parse(RIGHT, "node.ini").unwrap();
    assert_eq!(settings.name, "records-1");
    assert_eq!(settings.nodes, "127.0.0.1:7003".parse().unwrap());
    assert_eq!(settings.seeds, []);
    assert_eq!(settings.drain_timeout, Duration::from_secs(30));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[parameterized(
    soon = { "6 s", 5_500 },
    at_once = { "600ms", 300 },
    late = { "2 min", 30_000 },
)]
fn stop_before_kill(kill: &str, limit_ms: u64) {
    let text = format!("{RIGHT}[limits]\nkill_timeout = {kill}\n");
    let settings = Settings::parse(&text, "node.ini").unwrap();
    assert_eq!(settings.stop_limit(), Duration::from_millis(limit_ms));
}

#[parameterized(
    unknown_section = { "[fleet]", "[flet]", 11, "[flet]: unknown section; known: node, listen, fleet" },
    unknown_key = { "zone =", "zoon =", 4, "[node] zoon: unknown key; known here: name, zone, region, service" },
    wrong_type = { "127.0.0.1:7001", "7001", 7, "[listen] callers: \"7001\" is not an IP address with a port" },
    looked_up_name = { "127.0.0.1:7100", "localhost:7100", 12, "is not an IP address with a port" },
    missing_address = { "nodes = 127.0.0.1:7003\n", "", 6, "[listen] nodes: missing; add nodes = an IP address" },
    missing_zone = { "zone = kl-a\n", "", 2, "[node] zone: missing" },
    missing_section = { "[operators]\ntoken = 0123456789abcdef\n", "", 12, "[operators] token: missing" },
    many_threads = { "[fleet]", "[limits]\nthreads = 60000\n[fleet]", 12, "[limits] threads: 60000 is more than 64" },
    zero_limit = { "[fleet]", "[limits]\ndrain_timeout = 0 s\n[fleet]", 12, "\"0 s\" is zero, which would stop all work; want a whole number above zero" },
    negative_limit = { "[fleet]", "[limits]\ndrain_timeout = -1 s\n[fleet]", 12, "\"-1 s\" is not a whole number" },
    limit_without_unit = { "[fleet]", "[limits]\ndrain_timeout = 30\n[fleet]", 12, "with a unit (ms, s, min or h)" },
    huge_limit = { "[fleet]", "[limits]\ndrain_timeout = 18446744073709551615 h\n[fleet]", 12, "is not a whole number" },
    unknown_interface = { "[fleet]", "[fleet]\ninterface = theirs", 12, "\"theirs\" is not own or platform" },
    interface_without_service = { "[fleet]", "[fleet]\ninterface = platform", 2, "[node] service: missing" },
    port_zero = { "127.0.0.1:7001", "127.0.0.1:0", 7, "is zero" },
    shared_listener = { "127.0.0.1:7004", "127.0.0.1:7001", 10, "[listen] operators: 127.0.0.1:7001 is also the address of callers" },
    overlapping_listener = { "127.0.0.1:7004", "0.0.0.0:7001", 10, "is also the address of callers" },
    backend_off_loopback = { "127.0.0.1:7002", "10.0.0.1:7002", 8, "is not on loopback" },
    nodes_without_address = { "127.0.0.1:7003", "0.0.0.0:7003", 9, "other nodes can't connect to 0.0.0.0:7003" },
    advertised_without_address = { "[fleet]", "advertised = 0.0.0.0:7003\n[fleet]", 11, "[listen] advertised: other nodes can't connect to 0.0.0.0:7003" },
    doubled_key = { "zone = kl-a\n", "zone = kl-a\nzone = kl-b\n", 5, "[node] zone: already set on line 4" },
    doubled_section = { "[fleet]\n", "[fleet]\n[node]\nzone = kl-b\n[fleet]\n", 13, "already set on line 4" },
    no_section = { "# A node.", "zone = kl-a", 1, "stands before the first [section]" },
    no_equals = { "zone = kl-a", "zone kl-a", 4, "neither a [section], a key = value nor a # comment" },
    comment_after_value = { "zone = kl-a", "zone = kl-a # home", 4, "is not a name" },
    bad_seed = { "[operators]", "seeds = 127.0.0.1:1, x\n[operators]", 13, "\"127.0.0.1:1, x\" is not IP addresses" },
)]
fn one_fault(right: &str, wrong: &str, line: usize, message: &str) {
    assert!(RIGHT.contains(right));
    let text = RIGHT.replace(right, wrong);
    let error = Settings::parse(&text, "node.ini").unwrap_err().to_string();
    let expected = format!("node.ini:{line}: ");
    let found = error
        .lines()
        .any(|text| text.starts_with(&expected) && text.contains(message));
    assert!(found, "{error}");
}

#[test]
fn all_faults() {
    let text = RIGHT
        .replace("zone =", "zoon =")
        .replace("127.0.0.1:7100", "platform");
    let error = Settings::parse(&text, "node.ini").unwrap_err().to_string();
    let lines = error
        .lines()
        .map(|line| line.split(": ").next().unwrap())
        .collect::<Vec<_>>();
    assert_eq!(lines, ["node.ini:2", "node.ini:4", "node.ini:12"]);
}

#[test]
fn secret_unsaid() {
    let text = RIGHT.replace("0123456789abcdef", "hunter two");
    let error = Settings::parse(&text, "node.ini").unwrap_err().to_string();
    assert!(error.contains("[operators] token: want a secret"));
    assert!(!error.contains("hunter"));
}

#[test]
fn missing_file() {
    let error = Settings::open("no/such/file.ini").unwrap_err().to_string();
    assert!(error.starts_with("no/such/file.ini: can't be read: "));
}

#[test]
fn key_docs() {
    for key in Settings::KEYS {
        assert!(!key.doc.trim().is_empty() && !key.form.is_empty());
    }
    let secret = |key: &&settings::Key| key.secret;
    let secrets = Settings::KEYS.iter().filter(secret).map(|key| key.name);
    assert_eq!(secrets.collect::<Vec<_>>(), ["token"]);
}
