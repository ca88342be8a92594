//! Plans of faults: reproducible generation and storage in files; and the detection of
//! half-closed sockets.

use bench::soak_cleanup::list_half_closed;
use bench::soak_plan::{Action, Plan, PlanHeader};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use yare::parameterized;

const HEADER: PlanHeader = PlanHeader {
    seed: 23,
    per_zone: 1,
    storms: 2,
    reports: false,
};

#[test]
fn same_seed_same_plan() {
    let plan = Plan::generate(HEADER);
    assert_eq!(plan, Plan::generate(HEADER));
    assert_ne!(plan, Plan::generate(PlanHeader { seed: 24, ..HEADER }));
    assert!(plan.events.len() > 20, "{}", plan.events.len());
    assert!(plan.events.iter().any(|event| event.storm == 1));
}

// Two faults of the same VM at the same time could undo each other. A stored plan would then have
// fewer effects than it lists when it is played.
#[test]
fn no_conflicting_events() {
    for seed in 0..200 {
        let plan = Plan::generate(PlanHeader { seed, ..HEADER });
        for (index, one) in plan.events.iter().enumerate() {
            let later = plan.events[index + 1..].iter();
            let same = later.filter(|other| other.storm == one.storm);
            for other in same.filter(|other| other.at_ms < one.at_ms + one.for_ms) {
                let vms = (one.action.vm(), other.action.vm());
                assert!(vms.0.is_none() || vms.0 != vms.1, "{one:?} {other:?}");
            }
        }
    }
}

#[test]
fn file_round_trip() {
    let plan = Plan::generate(HEADER);
    let mut file = tempfile::NamedTempFile::new().unwrap();
    plan.write(file.path()).unwrap();
    assert_eq!(Plan::read(file.path()).unwrap(), plan);
    writeln!(file, "# what it showed").unwrap();
    let noted = format!("# a note\n{}", plan.to_lines().unwrap());
    std::fs::write(file.path(), noted).unwrap();
    assert_eq!(Plan::read(file.path()).unwrap(), plan);
    let shorter = plan.without(1, 3);
    assert_eq!(shorter.events.len(), plan.events.len() - 2);
    assert_eq!(shorter.events[0], plan.events[0]);
}

#[parameterized(
    empty = { "", "no header" },
    bad_header = { "{}", "line 1: missing field" },
    bad_event = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n\n{\"storm\":0}", "line 3: missing field" },
    no_such_vm = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n{\"storm\":0,\"at_ms\":1,\"for_ms\":1,\"action\":{\"bounce\":9}}", "not in this fleet" },
    no_such_zone = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n{\"storm\":0,\"at_ms\":1,\"for_ms\":1,\"action\":{\"silence_zone\":3}}", "not in this fleet" },
    no_such_storm = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n{\"storm\":1,\"at_ms\":1,\"for_ms\":1,\"action\":\"kill_all\"}", "not in this fleet" },
)]
fn bad_file(text: &str, message: &str) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let error = Plan::read(file.path()).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

// The soak test's check must detect a half-closed socket, which the peer has closed but the process
// has not.
#[test]
fn half_closed_detected() {
    let before = list_half_closed(std::process::id()).unwrap().len();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (far, _) = listener.accept().unwrap();
    drop(far);
    // The peer's FIN has arrived once the read returns.
    let mut buffer = [0];
    assert_eq!(std::io::Read::read(&mut (&near), &mut buffer).unwrap(), 0);
    let during = list_half_closed(std::process::id()).unwrap();
    assert_eq!(during.len(), before + 1);
    let far_port = format!("-{}", listener.local_addr().unwrap().port());
    assert!(during.iter().any(|ports| ports.ends_with(&far_port)));
    drop(near);
    assert_eq!(list_half_closed(std::process::id()).unwrap().len(), before);
}

#[test]
fn plan_only_actions_generated() {
    let plans = (0..20).map(|seed| Plan::generate(PlanHeader { seed, ..HEADER }));
    let actions: Vec<_> = plans
        .flat_map(|plan| plan.events)
        .map(|event| event.action)
        .collect();
    let has = |is_it: fn(&Action) -> bool| actions.iter().any(is_it);
    assert!(has(|action| matches!(action, Action::StopBoth(_))));
    assert!(has(|action| matches!(action, Action::Bounce(_))));
    assert!(has(|action| matches!(action, Action::SilenceZone(_))));
    assert!(has(|action| *action == Action::KillAll));
}
