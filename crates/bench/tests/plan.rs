//! Plans of faults: drawn alike from a seed, kept in files, and what a calm must find gone.

use bench::soak_cleanup::list_half_closed;
use bench::soak_plan::{Action, Head, Plan};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use yare::parameterized;

const HEAD: Head = Head {
    seed: 23,
    per_zone: 1,
    storms: 2,
};

#[test]
fn drawn_alike() {
    let plan = Plan::draw(HEAD);
    assert_eq!(plan, Plan::draw(HEAD));
    assert_ne!(plan, Plan::draw(Head { seed: 24, ..HEAD }));
    assert!(plan.events.len() > 20, "{}", plan.events.len());
    assert!(plan.events.iter().any(|event| event.storm == 1));
}

// Two faults of one VM at once would undo each other, and a kept plan would show less
// than it says.
#[test]
fn none_undone() {
    for seed in 0..200 {
        let plan = Plan::draw(Head { seed, ..HEAD });
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
fn kept_whole() {
    let plan = Plan::draw(HEAD);
    let mut file = tempfile::NamedTempFile::new().unwrap();
    plan.write(file.path()).unwrap();
    assert_eq!(Plan::open(file.path()).unwrap(), plan);
    writeln!(file, "# what it showed").unwrap();
    let noted = format!("# a note\n{}", plan.to_lines().unwrap());
    std::fs::write(file.path(), noted).unwrap();
    assert_eq!(Plan::open(file.path()).unwrap(), plan);
    let shorter = plan.without(1, 3);
    assert_eq!(shorter.events.len(), plan.events.len() - 2);
    assert_eq!(shorter.events[0], plan.events[0]);
}

#[parameterized(
    empty = { "", "no head" },
    bad_head = { "{}", "line 1: missing field" },
    bad_event = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n\n{\"storm\":0}", "line 3: missing field" },
    no_such_vm = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n{\"storm\":0,\"at_ms\":1,\"for_ms\":1,\"action\":{\"bounce\":9}}", "not in this fleet" },
    no_such_zone = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n{\"storm\":0,\"at_ms\":1,\"for_ms\":1,\"action\":{\"silence_zone\":3}}", "not in this fleet" },
    no_such_storm = { "{\"seed\":1,\"per_zone\":1,\"storms\":1}\n{\"storm\":1,\"at_ms\":1,\"for_ms\":1,\"action\":\"kill_all\"}", "not in this fleet" },
)]
fn bad_file(text: &str, message: &str) {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let error = Plan::open(file.path()).unwrap_err().to_string();
    assert!(error.contains(message), "{error}");
}

// The check for half-closed sockets must see one: a peer that closes, and we don't.
#[test]
fn half_closed_seen() {
    let before = list_half_closed(std::process::id()).unwrap().len();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (far, _) = listener.accept().unwrap();
    drop(far);
    // The close is there once the read ends.
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
fn new_kinds_drawn() {
    let plans = (0..20).map(|seed| Plan::draw(Head { seed, ..HEAD }));
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
