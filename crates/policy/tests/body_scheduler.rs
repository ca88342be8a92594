//! Bodies that come in over one link, in virtual time, judged by what the callers receive.

use clock::{Clock, Manual};
use config::Class;
use policy::admission::{Reason, Request};
use policy::body_scheduler::{BodyOffer, BodyScheduler, Key, Next};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What the link carries, in bytes a second: 8.4 Mbit/s.
const RATE: f64 = 1_050_000.0;

/// Bytes of bodies that a VM holds.
const MOST_HELD: u64 = 8 << 20;

/// Step of the replay.
const STEP: Duration = Duration::from_millis(1);

/// From a request for a piece to its sender's link: the way and a sender that wakes late.
const ANSWER: Duration = Duration::from_millis(5);

/// How long an upload runs once its body is there.
const RUN: Duration = Duration::from_millis(110);

/// Time within which an upload's answer is worth most, and its deadline.
const UPLOAD: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(2));

/// Deadline of a check, whose request and answer are small.
const CHECK: Duration = Duration::from_millis(250);

/// How long a check runs.
const CHECK_RUN: Duration = Duration::from_millis(22);

/// Bytes of a check.
const CHECK_BYTES: f64 = 600.0;

/// Share of the link that checks and uploads ask for.
struct Load {
    uploads: f64,
    checks_per_second: f64,
    /// Bytes of an upload, each way around the mean.
    mean: f64,
}

/// What callers received.
#[derive(Debug, Default)]
struct Report {
    checks: u32,
    checks_in_time: u32,
    uploads: u32,
    uploads_in_time: u32,
    uploads_whole: f64,
    refused: u32,
    seconds: f64,
}

impl Report {
    fn check_share(&self) -> f64 {
        f64::from(self.checks_in_time) / f64::from(self.checks)
    }

    /// Gives the share of the link that carried uploads answered in time.
    fn link_share(&self) -> f64 {
        self.uploads_whole / (RATE * self.seconds)
    }
}

/// What stands in the link, first come, first served.
enum Parcel {
    Check { sent: Instant },
    Piece { key: Key, bytes: f64 },
    Whole { sent: Instant, bytes: f64 },
}

struct Upload {
    key: Key,
    sent: Instant,
    length: f64,
    came: f64,
}

/// Plays a minute; without the intake, senders send bodies at once.
fn play(seed: u64, load: &Load, with_intake: bool, told: Option<f64>) -> Report {
    let clock = Manual::new();
    let start = clock.now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut intake = BodyScheduler::new(start, told, MOST_HELD);
    let mut link: VecDeque<(Parcel, f64)> = VecDeque::new();
    let mut on_way: Vec<(Instant, Key, f64)> = Vec::new();
    let mut uploads: Vec<Upload> = Vec::new();
    let mut report = Report {
        seconds: 60.0,
        ..Report::default()
    };
    let upload_chance = load.uploads * RATE / load.mean * STEP.as_secs_f64();
    let check_chance = load.checks_per_second * STEP.as_secs_f64();
    while clock.now() < start + Duration::from_mins(1) {
        clock.advance(STEP);
        let now = clock.now();
        if rng.random_bool(check_chance) {
            report.checks += 1;
            link.push_back((Parcel::Check { sent: now }, CHECK_BYTES));
        }
        if rng.random_bool(upload_chance) {
            report.uploads += 1;
            let length = load.mean * rng.random_range(0.5..1.5);
            if with_intake {
                match intake.offer(now, &ask(now, length), &mut rng) {
                    Ok(key) => uploads.push(Upload {
                        key,
                        sent: now,
                        length,
                        came: 0.0,
                    }),
                    Err(_) => report.refused += 1,
                }
            } else {
                let whole = Parcel::Whole {
                    sent: now,
                    bytes: length,
                };
                link.push_back((whole, length));
            }
        }
        while let Some(next) = intake.next(now, &mut rng) {
            match next {
                Next::Credit(key, bytes) => on_way.push((now + ANSWER, key, f64::from(bytes))),
                Next::Refuse(key, _) => {
                    uploads.retain(|upload| upload.key != key);
                    report.refused += 1;
                }
            }
        }
        on_way.retain(|(at, key, bytes)| {
            if *at <= now {
                let (key, bytes) = (*key, *bytes);
                link.push_back((Parcel::Piece { key, bytes }, bytes));
            }
            *at > now
        });
        let mut room = RATE * STEP.as_secs_f64();
        while let Some((parcel, left)) = link.front_mut() {
            let carried = left.min(room);
            *left -= carried;
            room -= carried;
            if *left > 0.0 {
                break;
            }
            match parcel {
                Parcel::Check { sent } => {
                    report.checks_in_time += u32::from(now + CHECK_RUN < *sent + CHECK);
                }
                Parcel::Whole { sent, bytes } => {
                    note_upload(&mut report, now, *sent, *bytes);
                }
                Parcel::Piece { key, bytes } => {
                    let (key, bytes) = (*key, *bytes);
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "a piece"
                    )]
                    intake.receive(now, key, bytes as u64);
                    let at = uploads.iter().position(|upload| upload.key == key);
                    if let Some(at) = at {
                        uploads[at].came += bytes;
                        if !intake.is_pending(key) {
                            intake.release(whole_bytes(uploads[at].length));
                            let done = uploads.swap_remove(at);
                            assert!((done.came - done.length).abs() < 1.0, "all of it came");
                            note_upload(&mut report, now, done.sent, done.length);
                        }
                    }
                }
            }
            link.pop_front();
        }
    }
    report
}

fn note_upload(report: &mut Report, now: Instant, sent: Instant, bytes: f64) {
    if now + RUN < sent + UPLOAD.0 {
        report.uploads_in_time += 1;
        report.uploads_whole += bytes;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a length"
)]
fn whole_bytes(length: f64) -> u64 {
    length as u64
}

fn ask(now: Instant, length: f64) -> BodyOffer {
    let length = whole_bytes(length);
    BodyOffer {
        call: Request {
            class: Class::Lookup,
            caller: 1,
            key: 1,
            route: 1,
            deadline: now + UPLOAD.1,
            target: Some(now + UPLOAD.0),
            nested: None,
        },
        length,
        run: RUN,
    }
}

// Visitors' photographs are 1.3 times what the link of the VM that files them
// carries. Sign-ins, whose watch-list checks go over the same link, failed one
// after the other, and so did nearly all photographs. Cause: all senders sent
// their bodies at once, and seconds of them stood in front of the link.
#[test]
fn full_link() {
    let load = Load {
        uploads: 1.3,
        checks_per_second: 50.0,
        mean: 60_000.0,
    };
    for seed in 1..=3 {
        let without = play(seed, &load, false, Some(RATE));
        let with = play(seed, &load, true, Some(RATE));
        println!("full link, seed {seed}: {with:?}; without: {without:?}");
        assert!(without.check_share() < 0.1, "{without:?}");
        assert!(with.check_share() > 0.99, "{with:?}");
        assert!(without.link_share() < 0.1, "{without:?}");
        assert!(with.link_share() > 0.85, "{with:?}");
    }
}

// The same with a link that carries less than its VM was told, as one that is
// squeezed, and with nothing told at all.
#[test]
fn slower_than_told() {
    let load = Load {
        uploads: 1.3,
        checks_per_second: 50.0,
        mean: 60_000.0,
    };
    for told in [Some(4.0 * RATE), None] {
        let report = play(1, &load, true, told);
        println!("told {told:?}: {report:?}");
        assert!(report.check_share() > 0.95, "{report:?}");
        assert!(report.link_share() > 0.75, "{report:?}");
    }
}

// Nothing presses: each body is asked for at once, and none is refused.
#[test]
fn idle_link() {
    let load = Load {
        uploads: 0.3,
        checks_per_second: 50.0,
        mean: 60_000.0,
    };
    let report = play(1, &load, true, Some(RATE));
    println!("idle link: {report:?}");
    assert_eq!(report.refused, 0);
    assert_eq!(report.uploads - report.uploads_in_time, 0);
}

// A VM that was sending a photograph loses power. All uploads to the same
// backend server stood still until their deadlines. Cause: what had been asked
// of it and never came kept the others from being asked.
#[test]
fn sender_gone() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut intake = BodyScheduler::new(clock.now(), Some(RATE), MOST_HELD);
    let gone: Vec<_> = (0..4)
        .map(|_| {
            intake
                .offer(clock.now(), &ask(clock.now(), 60_000.0), &mut rng)
                .unwrap()
        })
        .collect();
    let mut asked = Vec::new();
    while let Some(Next::Credit(key, _)) = intake.next(clock.now(), &mut rng) {
        asked.push(key);
    }
    assert!(asked.iter().all(|key| gone.contains(key)), "{asked:?}");
    let live = intake
        .offer(clock.now(), &ask(clock.now(), 60_000.0), &mut rng)
        .unwrap();
    assert_eq!(
        intake.next(clock.now(), &mut rng),
        None,
        "the link is asked for"
    );
    clock.advance(Duration::from_millis(100));
    let mut asked = Vec::new();
    while let Some(Next::Credit(key, _)) = intake.next(clock.now(), &mut rng) {
        asked.push(key);
    }
    assert!(asked.contains(&live), "{asked:?}");
}

// A body that takes longer than its caller waits is refused before any of it is
// sent, and so is one that has waited until it can't be whole in time any more.
#[test]
fn hopeless() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut intake = BodyScheduler::new(clock.now(), Some(RATE), MOST_HELD);
    let first = intake.offer(clock.now(), &ask(clock.now(), 300_000.0), &mut rng);
    assert!(first.is_ok(), "nothing is before it");
    while intake.next(clock.now(), &mut rng).is_some() {}
    let refused = intake.offer(clock.now(), &ask(clock.now(), 1_800_000.0), &mut rng);
    assert_eq!(refused.unwrap_err().reason, Reason::Deadline);
    let waits = intake.offer(clock.now(), &ask(clock.now(), 5_000.0), &mut rng);
    let waits = waits.expect("short enough to come after the first");
    clock.advance(Duration::from_millis(600));
    let mut told = None;
    while let Some(next) = intake.next(clock.now(), &mut rng) {
        if let Next::Refuse(key, refusal) = next {
            told = Some((key, refusal.reason));
        }
    }
    assert_eq!(told, Some((waits, Reason::Deadline)));
}

// Photographs come faster than slots get free. Their bodies must not all be here
// first: a VM of 160 MB has died of less. What is over the bound is asked for as
// others are done with.
#[test]
fn bounded() {
    let clock = Manual::new();
    let now = clock.now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut intake = BodyScheduler::new(now, Some(100.0 * RATE), 200_000);
    let keys: Vec<_> = (0..5)
        .map(|_| intake.offer(now, &ask(now, 60_000.0), &mut rng).unwrap())
        .collect();
    let mut came = Vec::new();
    let mut pump = |intake: &mut BodyScheduler| {
        while let Some(Next::Credit(key, bytes)) = intake.next(now, &mut rng) {
            intake.receive(now, key, bytes.into());
            if !intake.is_pending(key) {
                came.push(key);
            }
        }
        came.clone()
    };
    assert_eq!(pump(&mut intake), keys[..3]);
    intake.release(60_000);
    assert_eq!(pump(&mut intake), keys[..4]);
}
