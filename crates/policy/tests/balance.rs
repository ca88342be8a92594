//! Where calls go.

use clock::{Clock, Manual};
use policy::balance::{Balance, Candidate, Distance, Identity, Key, Outcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::{Duration, Instant};

/// Calls, 6 ms apart.
const CALLS: u32 = 2_000;

/// How long a call takes at a backend server that is well.
const USUAL: Duration = Duration::from_millis(60);

/// A call that has not ended.
struct Pending {
    due: Instant,
    key: Key,
    took: Duration,
    outcome: Outcome,
}

fn list_candidates(count: u64) -> Vec<Candidate> {
    let make = |index: u64| Candidate {
        identity: Identity {
            node: format!("vm-{index}").into(),
            incarnation: index,
        },
        distance: Distance::Zone,
        slots: 6,
    };
    (0..count).map(make).collect()
}

// One of four backend servers is ten times slower, and copies of its late
// look-ups are answered elsewhere after three times the usual. It went on to
// get one call in twenty, commits among them. Cause: a call that was overtaken
// counted by the time that it had, so that a backend server all of whose calls
// are overtaken looked only three times slower, and its queue was empty.
#[test]
fn overtaken_shunned() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut balance = Balance::new();
    balance.sync(clock.now(), list_candidates(4));
    let mut pending = Vec::<Pending>::new();
    let mut to_slow = 0;
    for call in 0..CALLS {
        clock.advance(Duration::from_millis(6));
        let now = clock.now();
        for ended in pending.extract_if(.., |call| call.due <= now) {
            balance.finish(now, ended.key, 1, ended.took, ended.outcome, &mut rng);
        }
        let key = balance.pick(now, &[], true, &mut rng).unwrap();
        let is_slow = balance.identity(key).unwrap().incarnation == 0;
        let (took, outcome) = if is_slow {
            (3 * USUAL, Outcome::Overtaken)
        } else {
            (USUAL, Outcome::Answered(Some(0.5)))
        };
        to_slow += u32::from(is_slow && call >= CALLS / 10);
        pending.push(Pending {
            due: now + took,
            key,
            took,
            outcome,
        });
    }
    assert!(to_slow * 100 < CALLS, "{to_slow} calls");
}
