//! Properties of the settings parser, on texts generated from a fixed seed.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use settings::node::Settings;

/// Number of texts that each property is checked with.
const CASES: u32 = 500;

fn run<S, F>(strategy: &S, test: F)
where
    S: Strategy,
    F: Fn(S::Value) -> Result<(), TestCaseError>,
{
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(strategy, test)
        .unwrap();
}

/// Checks that a text that can't be parsed gives diagnostics, each of which refers to a line of the
/// text.
fn check_diagnostics(text: &str) -> Result<(), TestCaseError> {
    let Err(error) = Settings::parse(text, "node.ini") else {
        return Ok(());
    };
    let message = error.to_string();
    let settings::Error::Invalid(_, diagnostics) = error else {
        return Err(TestCaseError::fail("a text can be read"));
    };
    prop_assert!(!diagnostics.is_empty());
    prop_assert!(message.starts_with("node.ini:"));
    let last = text.lines().count().max(1);
    for diagnostic in diagnostics {
        prop_assert!((1..=last).contains(&diagnostic.line), "{message}");
    }
    Ok(())
}

#[test]
fn any_text() {
    run(&any::<String>(), |text| check_diagnostics(&text));
}

#[test]
fn ini_like_text() {
    let line = "(\\[(node|listen|fleet|limits|operators|x)\\])|((name|zone|callers|seeds|token|drain_timeout) *[=:] *[ -~]{0,30})|[ -~]{0,20}|[#;][ -~]{0,9}";
    let text = proptest::collection::vec(line, 0..30).prop_map(|lines| lines.join("\n"));
    run(&text, |text| check_diagnostics(&text));
}

#[test]
fn round_trip() {
    let names = ("[a-z][a-z0-9-]{0,20}", "[a-z][a-z0-9-]{0,20}");
    let figures = (1_u16..65_000, 1_u32..100_000, "[!-~]{16,64}");
    run(
        &(names, figures),
        |((name, zone), (port, millis, token))| {
            let text = format!(
                "[node]\nname = {name}\nzone={zone}\nregion: r\n[listen]\ncallers = [::1]:{port}\n\
             backend = 127.0.0.1:{port}\nnodes = 127.0.0.2:{port}\noperators = 127.0.0.3:{port}\n\
             [fleet]\nplatform = 127.0.0.1:1\n[limits]\ndrain_timeout = {millis} ms\n\
             [operators]\ntoken = {token}\n"
            );
            let settings = Settings::parse(&text, "node.ini");
            let settings = settings.map_err(|error| TestCaseError::fail(error.to_string()))?;
            prop_assert_eq!(settings.name.as_str(), name);
            prop_assert_eq!(settings.zone.as_str(), zone);
            prop_assert_eq!(settings.nodes.port(), port);
            prop_assert_eq!(settings.drain_timeout.as_millis(), u128::from(millis));
            prop_assert_eq!(settings.token.0, Some(token));
            Ok(())
        },
    );
}
