//! The example settings files are valid.

use settings::{node, operator};
use yare::parameterized;

fn example_path(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[parameterized(tenaga = { "tenaga.ini" }, mallae = { "mallae.ini" })]
fn node_example(name: &str) {
    let settings = node::Settings::open(example_path(name)).unwrap();
    assert_eq!(settings.seeds.len(), 2);
}

#[test]
fn operator_example() {
    let settings = operator::Settings::open(example_path("operator.ini")).unwrap();
    assert!(settings.platform.is_some() && settings.nodes.len() == 3);
}
