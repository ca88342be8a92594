//! Tests the first calls of a backend server, while its speed is not yet known.

use clock::{Clock, Manual};
use config::Class;
use policy::admission::{Admission, Decision, Next, Request};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;

/// Longest time for which a call may wait because a probe of the limit keeps a slot closed.
const MAX_WAIT: Duration = Duration::from_millis(250);

// Long reports are fetched over slow lines right after a backend server has started. When the first
// probe of its concurrency limit lasted until a call ended, half of the slots stayed closed until
// then, and look-ups were refused although slots were free.
#[yare::parameterized(
    two_slots = { 2 },
    three_slots = { 3 },
    six_slots = { 6 },
)]
fn long_calls_first(slots: u16) {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut admission = Admission::new(clock.now(), slots, 7);
    let mut tickets = Vec::new();
    let mut waiting = 0;
    for caller in 0..u64::from(slots) {
        let request = Request {
            class: Class::Lookup,
            caller,
            key: caller,
            route: 1,
            deadline: clock.now() + Duration::from_mins(1),
            target: None,
            parent_class: None,
            team: None,
        };
        match admission.offer(clock.now(), &request, &mut rng) {
            Decision::Run(ticket) => tickets.push(ticket),
            Decision::Wait(_) => waiting += 1,
            Decision::Refuse(refusal) => panic!("refused: {refusal:?}"),
        }
    }
    assert!(
        tickets.len() >= 2,
        "a single long call keeps the others out"
    );
    if waiting > 0 {
        let wake_at = admission.wake_at(clock.now()).unwrap();
        assert!(wake_at <= clock.now() + MAX_WAIT);
        clock.advance(wake_at - clock.now());
    }
    while let Some(next) = admission.next(clock.now(), &mut rng) {
        match next {
            Next::Run(_, ticket) => tickets.push(ticket),
            Next::Refuse(_, refusal) => panic!("given up: {refusal:?}"),
        }
    }
    assert_eq!(tickets.len(), usize::from(slots));
}
