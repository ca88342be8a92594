//! Max-min fair shares between teams at one backend server.

use policy::team_share::TeamShares;
use std::time::{Duration, Instant};

/// Slot-seconds per second that the backend server does.
const RATE: f64 = 6.0;

/// Slot-seconds of a call.
const COST: f64 = 0.1;

/// Has teams offer and use work for ten seconds, in slot-seconds per second.
fn run_teams(teams: &[(u64, f64, f64)]) -> (TeamShares, Instant) {
    let start = Instant::now();
    let mut shares = TeamShares::default();
    let mut now = start;
    for step in 0..1_000 {
        now = start + Duration::from_millis(10 * step);
        for (name, offered, used) in teams {
            shares.record_offer(now, *name, offered / 100.0);
            shares.charge(now, *name, used / 100.0);
        }
    }
    (shares, now)
}

#[test]
fn level_by_water_filling() {
    // The small teams get the 1.0 and 1.5 that they ask for; the large ones share the other 3.5.
    let teams = [(1, 1.0, 1.0), (2, 1.5, 1.5), (3, 4.0, 1.5), (4, 9.0, 3.0)];
    let (shares, now) = run_teams(&teams);
    let above = [1, 2, 3, 4].map(|name| shares.is_above_level(now, name, COST, RATE));
    assert_eq!(above, [false, false, false, true]);
    assert_eq!(shares.time_to_level(now, 3, COST, RATE), Duration::ZERO);
    let wait = shares.time_to_level(now, 4, COST, RATE);
    assert!(
        wait > Duration::from_millis(100) && wait < Duration::from_secs(1),
        "{wait:?}"
    );
}

#[test]
fn room_for_all() {
    let (shares, now) = run_teams(&[(1, 5.0, 5.0), (2, 0.5, 0.5)]);
    assert!(!shares.is_above_level(now, 1, COST, RATE));
}

// A caller with made-up team names would push real teams out of the table, or fill the memory.
#[test]
fn made_up_teams() {
    let (mut shares, mut now) = run_teams(&[(1, 5.0, 5.0), (2, 4.0, 1.0)]);
    for name in 1_000..11_000 {
        now += Duration::from_micros(100);
        shares.record_offer(now, name, 0.001);
    }
    assert!(shares.is_above_level(now, 1, COST, RATE));
    assert!(!shares.is_above_level(now, 2, COST, RATE));
    assert!(std::mem::size_of_val(&shares) < 128);
}

// A team that was far above its share is held back for long after it has become quiet.
#[test]
fn quiet_team() {
    let (mut shares, mut now) = run_teams(&[(1, 9.0, 6.0), (2, 4.0, 1.0)]);
    assert!(shares.is_above_level(now, 1, COST, RATE));
    for _ in 0..400 {
        now += Duration::from_millis(10);
        shares.record_offer(now, 2, 0.04);
    }
    assert!(!shares.is_above_level(now, 1, COST, RATE));
}
