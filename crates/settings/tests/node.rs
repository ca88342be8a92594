//! Settings of a node: every error is reported with its line and a description of a valid value.

use settings::node::{NestedCalls, Settings, Share};
use std::time::Duration;
use yare::parameterized;

const VALID: &str = "\
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
fn valid_file() {
    let settings = Settings::parse(VALID, "node.ini").unwrap();
    assert_eq!(settings.name, "records-1");
    assert_eq!(settings.nodes, "127.0.0.1:7003".parse().unwrap());
    assert_eq!(settings.seeds, []);
    assert_eq!(settings.drain_timeout, Duration::from_secs(30));
    assert!(!format!("{settings:?}").contains("0123456789abcdef"));
}

#[parameterized(
    soon = { "6 s", 5_500 },
    very_soon = { "600ms", 550 },
    after_a_second = { "1200ms", 1_100 },
    late = { "2 min", 30_000 },
)]
fn stop_before_kill(kill: &str, limit_ms: u64) {
    let text = format!("{VALID}[limits]\nkill_timeout = {kill}\n");
    let settings = Settings::parse(&text, "node.ini").unwrap();
    assert_eq!(settings.stop_limit(), Duration::from_millis(limit_ms));
}

// Guards against a fleet in which no node starts because of the format of one number: for a
// deployment scaled down to a fourteenth of its size, the platform wrote a budget, scaled down
// likewise, as 30.714285714285715, while the key accepted only whole numbers.
#[parameterized(
    part_of_budget = { "repeat_extra = 30.714285714285715", 30.714_285, 0.0 },
    small_budget = { "repeat_extra = 0.0000001", 0.000_001, 0.0 },
    zero_budget = { "repeat_extra = 0", 0.0, 0.0 },
    zero_budget_fraction = { "repeat_extra = 0.0", 0.0, 0.0 },
    large_budget = { "repeat_extra = 4300000000", 4.3e9, 0.0 },
    budget_with_exponent = { "repeat_extra = 1.5e3", 1_500.0, 0.0 },
    whole_share = { "repeat_share = 1", 50.0, 1.0 },
    small_share = { "repeat_share = 0.0002", 50.0, 0.000_2 },
    smallest_share = { "repeat_share = 1e-05", 50.0, 0.000_01 },
    fine_share = { "repeat_share = 0.0142857142857", 50.0, 0.014_285 },
)]
fn budget_formats(line: &str, extra: f64, share: f64) {
    let text = format!("{VALID}[limits]\n{line}\n");
    let settings = Settings::parse(&text, "node.ini").unwrap();
    assert!((settings.repeat_extra.get() - extra).abs() < 1e-9);
    let found = settings.repeat_share.map_or(0.0, Share::get);
    assert!((found - share).abs() < 1e-9);
}

#[parameterized(
    whole = { "6s", 6_000_000_000 },
    fraction = { "2.5s", 2_500_000_000 },
    parts_of_ms = { "428.57142857142856ms", 428_571_428 },
    below_ms = { "0.25 ms", 250_000 },
    below_ns = { "1e-9ms", 1 },
    long = { "1e5 s", 100_000_000_000_000 },
)]
fn duration_formats(time: &str, nanos: u64) {
    for key in ["kill_timeout", "repeat_window", "routes_wait", "handover"] {
        let text = format!("{VALID}[limits]\n{key} = {time}\n");
        let settings = Settings::parse(&text, "node.ini").unwrap();
        let found = match key {
            "kill_timeout" => settings.kill_timeout.unwrap(),
            "repeat_window" => settings.repeat_window,
            "routes_wait" => settings.routes_wait,
            _ => settings.handover.unwrap(),
        };
        assert_eq!(found, Duration::from_nanos(nanos), "{key}");
    }
}

#[parameterized(
    whole = { "1000", 125e6 },
    fraction = { "8.4", 1.05e6 },
    part_of_link = { "0.7142857142857143", 89_250.0 },
    below_kilobit = { "0.0001", 125.0 },
)]
fn link_rate_formats(link: &str, bytes: f64) {
    let text = format!("{VALID}[limits]\nlink_mbps = {link}\n");
    let settings = Settings::parse(&text, "node.ini").unwrap();
    let found = settings.link_mbps.unwrap().bytes_per_second();
    assert!((found - bytes).abs() < 1e-6, "{found}");
}

#[parameterized(
    unset = { "", NestedCalls::Weighted },
    weighted = { "nested_calls = weighted", NestedCalls::Weighted },
    first = { "nested_calls = first", NestedCalls::First },
)]
fn nested_precedence(line: &str, expected: NestedCalls) {
    let text = format!("{VALID}[limits]\n{line}\n");
    let settings = Settings::parse(&text, "node.ini").unwrap();
    assert_eq!(settings.nested_calls, expected);
}

#[parameterized(
    negative_budget = { "repeat_extra = -1", "\"-1\" is not a number from 0" },
    not_a_number = { "repeat_extra = NaN", "\"NaN\" is not a number from 0" },
    infinite = { "repeat_extra = inf", "\"inf\" is not a number from 0" },
    too_large = { "repeat_extra = 1e300", "\"1e300\" is not a number from 0" },
    two_numbers = { "repeat_extra = 1-2", "\"1-2\" is not a number from 0" },
    share_above_one = { "repeat_share = 1.5", "\"1.5\" is not a share from 0 to 1" },
    zero_time = { "kill_timeout = 0.0s", "\"0.0s\" is zero" },
    zero_link = { "link_mbps = 0.0", "\"0.0\" is zero" },
    time_too_large = { "kill_timeout = 1e300 s", "\"1e300 s\" is not a number above zero" },
)]
fn invalid_numbers(line: &str, message: &str) {
    let text = format!("{VALID}[limits]\n{line}\n");
    let error = Settings::parse(&text, "node.ini").unwrap_err().to_string();
    assert!(error.starts_with("node.ini:16: [limits]"), "{error}");
    assert!(error.contains(message), "{error}");
}

#[parameterized(
    unknown_section = { "[fleet]", "[flet]", 11, "[flet]: unknown section; known: node, listen, fleet" },
    unknown_key = { "zone =", "zoon =", 4, "[node] zoon: unknown key; known here: name, zone, region, service" },
    wrong_type = { "127.0.0.1:7001", "7001", 7, "[listen] callers: \"7001\" is not an IP address with a port" },
    host_name = { "127.0.0.1:7100", "localhost:7100", 12, "is not an IP address with a port" },
    missing_address = { "nodes = 127.0.0.1:7003\n", "", 6, "[listen] nodes: missing; add nodes = an IP address" },
    missing_zone = { "zone = kl-a\n", "", 2, "[node] zone: missing" },
    missing_section = { "[operators]\ntoken = 0123456789abcdef\n", "", 12, "[operators] token: missing" },
    many_threads = { "[fleet]", "[limits]\nthreads = 60000\n[fleet]", 12, "[limits] threads: 60000 is more than 64" },
    zero_limit = { "[fleet]", "[limits]\ndrain_timeout = 0 s\n[fleet]", 12, "\"0 s\" is zero, which would stop all work; want a number above zero" },
    negative_limit = { "[fleet]", "[limits]\ndrain_timeout = -1 s\n[fleet]", 12, "\"-1 s\" is not a number above zero" },
    limit_without_unit = { "[fleet]", "[limits]\ndrain_timeout = 30\n[fleet]", 12, "with a unit (ms, s, min or h)" },
    huge_limit = { "[fleet]", "[limits]\ndrain_timeout = 18446744073709551615 h\n[fleet]", 12, "is not a number above zero" },
    unknown_precedence = { "[fleet]", "[limits]\nnested_calls = last\n[fleet]", 12, "\"last\" is not weighted or first" },
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
fn single_error(valid: &str, invalid: &str, line: usize, message: &str) {
    assert!(VALID.contains(valid));
    let text = VALID.replace(valid, invalid);
    let error = Settings::parse(&text, "node.ini").unwrap_err().to_string();
    let expected = format!("node.ini:{line}: ");
    let found = error
        .lines()
        .any(|text| text.starts_with(&expected) && text.contains(message));
    assert!(found, "{error}");
}

#[test]
fn all_errors() {
    let text = VALID
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
fn secret_not_shown() {
    let text = VALID.replace("0123456789abcdef", "hunter two");
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
        assert!(!key.doc.trim().is_empty() && !key.expected.is_empty());
    }
    let secret = |key: &&settings::Key| key.secret;
    let secrets = Settings::KEYS.iter().filter(secret).map(|key| key.name);
    assert_eq!(secrets.collect::<Vec<_>>(), ["token"]);
}
