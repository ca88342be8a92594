//! Tests of the bodies that come in over one link, in virtual time, judged by what the callers
//! receive.

use clock::{Clock, Manual};
use config::Class;
use policy::admission::{Reason, Request};
use policy::body_scheduler::{BodyOffer, BodyScheduler, Key, Next};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Capacity of the link in bytes per second: 8.4 Mbit/s.
const LINK_RATE: f64 = 1_050_000.0;

/// Maximum bytes of bodies that a VM holds.
const MAX_HELD_BYTES: u64 = 8 << 20;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(1);

/// Time from a credit until the bytes sent for it reach the link: the round trip and the delay of a
/// sender that wakes late.
const SEND_DELAY: Duration = Duration::from_millis(5);

/// How long an upload runs once its body has arrived.
const UPLOAD_RUN: Duration = Duration::from_millis(110);

/// Latency target and deadline of an upload.
const UPLOAD_TIMES: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(2));

/// Deadline of a check, whose request and answer are small.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a check runs.
const CHECK_RUN: Duration = Duration::from_millis(22);

/// Length of a check in bytes.
const CHECK_BYTES: f64 = 600.0;

/// Offered load: uploads and checks.
struct Load {
    /// Bytes of uploads per second, as a share of the capacity of the link.
    uploads: f64,
    checks_per_second: f64,
    /// Mean length of an upload in bytes; lengths vary around it in both directions.
    mean_length: f64,
}

/// What the callers received.
#[derive(Debug, Default)]
struct Report {
    checks: u32,
    checks_in_time: u32,
    uploads: u32,
    uploads_in_time: u32,
    bytes_in_time: f64,
    refused: u32,
    seconds: f64,
}

impl Report {
    fn check_share(&self) -> f64 {
        f64::from(self.checks_in_time) / f64::from(self.checks)
    }

    /// Returns the share of the link that carried uploads answered in time.
    fn link_share(&self) -> f64 {
        self.bytes_in_time / (LINK_RATE * self.seconds)
    }
}

/// An item of the first-in, first-out queue in front of the link.
enum QueuedItem {
    Check { sent: Instant },
    Chunk { key: Key, bytes: f64 },
    Whole { sent: Instant, bytes: f64 },
}

struct Upload {
    key: Key,
    sent: Instant,
    length: f64,
    received: f64,
}

/// Simulates one minute; if not `with_scheduling`, senders send their bodies at once.
fn simulate(seed: u64, load: &Load, with_scheduling: bool, advertised: Option<f64>) -> Report {
    let clock = Manual::new();
    let start = clock.now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut scheduler = BodyScheduler::new(start, advertised, MAX_HELD_BYTES);
    let mut link: VecDeque<(QueuedItem, f64)> = VecDeque::new();
    let mut credits: Vec<(Instant, Key, f64)> = Vec::new();
    let mut uploads: Vec<Upload> = Vec::new();
    let mut report = Report {
        seconds: 60.0,
        ..Report::default()
    };
    let upload_chance = load.uploads * LINK_RATE / load.mean_length * STEP.as_secs_f64();
    let check_chance = load.checks_per_second * STEP.as_secs_f64();
    while clock.now() < start + Duration::from_mins(1) {
        clock.advance(STEP);
        let now = clock.now();
        if rng.random_bool(check_chance) {
            report.checks += 1;
            link.push_back((QueuedItem::Check { sent: now }, CHECK_BYTES));
        }
        if rng.random_bool(upload_chance) {
            report.uploads += 1;
            let length = load.mean_length * rng.random_range(0.5..1.5);
            if with_scheduling {
                match scheduler.offer(now, &upload_offer(now, length), &mut rng) {
                    Ok(key) => uploads.push(Upload {
                        key,
                        sent: now,
                        length,
                        received: 0.0,
                    }),
                    Err(_) => report.refused += 1,
                }
            } else {
                let whole = QueuedItem::Whole {
                    sent: now,
                    bytes: length,
                };
                link.push_back((whole, length));
            }
        }
        while let Some(next) = scheduler.next(now, &mut rng) {
            match next {
                Next::Credit(key, bytes) => credits.push((now + SEND_DELAY, key, f64::from(bytes))),
                Next::Refuse(key, _) => {
                    uploads.retain(|upload| upload.key != key);
                    report.refused += 1;
                }
            }
        }
        credits.retain(|(at, key, bytes)| {
            if *at <= now {
                let (key, bytes) = (*key, *bytes);
                link.push_back((QueuedItem::Chunk { key, bytes }, bytes));
            }
            *at > now
        });
        let mut capacity = LINK_RATE * STEP.as_secs_f64();
        while let Some((item, left)) = link.front_mut() {
            let carried = left.min(capacity);
            *left -= carried;
            capacity -= carried;
            if *left > 0.0 {
                break;
            }
            match item {
                QueuedItem::Check { sent } => {
                    report.checks_in_time += u32::from(now + CHECK_RUN < *sent + CHECK_TIMEOUT);
                }
                QueuedItem::Whole { sent, bytes } => {
                    count_if_in_time(&mut report, now, *sent, *bytes);
                }
                QueuedItem::Chunk { key, bytes } => {
                    let (key, bytes) = (*key, *bytes);
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "a chunk"
                    )]
                    scheduler.receive(now, key, bytes as u64);
                    let at = uploads.iter().position(|upload| upload.key == key);
                    if let Some(at) = at {
                        uploads[at].received += bytes;
                        if !scheduler.is_pending(key) {
                            scheduler.release(to_bytes(uploads[at].length));
                            let done = uploads.swap_remove(at);
                            assert!(
                                (done.received - done.length).abs() < 1.0,
                                "the whole body is received"
                            );
                            count_if_in_time(&mut report, now, done.sent, done.length);
                        }
                    }
                }
            }
            link.pop_front();
        }
    }
    report
}

/// Counts an upload whose body has arrived, if the upload ends within its latency target.
fn count_if_in_time(report: &mut Report, now: Instant, sent: Instant, bytes: f64) {
    if now + UPLOAD_RUN < sent + UPLOAD_TIMES.0 {
        report.uploads_in_time += 1;
        report.bytes_in_time += bytes;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a length"
)]
fn to_bytes(length: f64) -> u64 {
    length as u64
}

fn upload_offer(now: Instant, length: f64) -> BodyOffer {
    let length = to_bytes(length);
    BodyOffer {
        call: Request {
            class: Class::Lookup,
            caller: 1,
            key: 1,
            route: 1,
            deadline: now + UPLOAD_TIMES.1,
            target: Some(now + UPLOAD_TIMES.0),
            parent_class: None,
            team: None,
        },
        length,
        run: UPLOAD_RUN,
    }
}

// Uploads offer 1.3 times what the link carries, beside small checks with short deadlines.
// Without scheduling, all senders send their bodies at once, seconds of them queue in front of
// the link, and nearly all checks and uploads fail.
#[test]
fn saturated_link() {
    let load = Load {
        uploads: 1.3,
        checks_per_second: 50.0,
        mean_length: 60_000.0,
    };
    for seed in 1..=3 {
        let without = simulate(seed, &load, false, Some(LINK_RATE));
        let with = simulate(seed, &load, true, Some(LINK_RATE));
        println!("full link, seed {seed}: {with:?}; without: {without:?}");
        assert!(without.check_share() < 0.1, "{without:?}");
        assert!(with.check_share() > 0.99, "{with:?}");
        assert!(without.link_share() < 0.1, "{without:?}");
        assert!(with.link_share() > 0.85, "{with:?}");
    }
}

// As `saturated_link`, but on a link that carries less than its VM advertises, for instance because
// it is throttled, and on a link whose VM advertises nothing.
#[test]
fn slower_than_advertised() {
    let load = Load {
        uploads: 1.3,
        checks_per_second: 50.0,
        mean_length: 60_000.0,
    };
    for advertised in [Some(4.0 * LINK_RATE), None] {
        let report = simulate(1, &load, true, advertised);
        println!("advertised {advertised:?}: {report:?}");
        assert!(report.check_share() > 0.95, "{report:?}");
        assert!(report.link_share() > 0.75, "{report:?}");
    }
}

// On an idle link, each body gets credit at once and none is refused.
#[test]
fn idle_link() {
    let load = Load {
        uploads: 0.3,
        checks_per_second: 50.0,
        mean_length: 60_000.0,
    };
    let report = simulate(1, &load, true, Some(LINK_RATE));
    println!("idle link: {report:?}");
    assert_eq!(report.refused, 0);
    assert_eq!(report.uploads - report.uploads_in_time, 0);
}

// When a sender loses power, the credit that this sender no longer uses must not block uploads from
// other senders to the same backend server until their deadlines.
#[test]
fn unresponsive_sender() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut scheduler = BodyScheduler::new(clock.now(), Some(LINK_RATE), MAX_HELD_BYTES);
    let unresponsive: Vec<_> = (0..4)
        .map(|_| {
            scheduler
                .offer(clock.now(), &upload_offer(clock.now(), 60_000.0), &mut rng)
                .unwrap()
        })
        .collect();
    let mut credited = Vec::new();
    while let Some(Next::Credit(key, _)) = scheduler.next(clock.now(), &mut rng) {
        credited.push(key);
    }
    assert!(
        credited.iter().all(|key| unresponsive.contains(key)),
        "{credited:?}"
    );
    let live = scheduler
        .offer(clock.now(), &upload_offer(clock.now(), 60_000.0), &mut rng)
        .unwrap();
    assert_eq!(
        scheduler.next(clock.now(), &mut rng),
        None,
        "the credit of the link is used up"
    );
    clock.advance(Duration::from_millis(100));
    let mut credited = Vec::new();
    while let Some(Next::Credit(key, _)) = scheduler.next(clock.now(), &mut rng) {
        credited.push(key);
    }
    assert!(credited.contains(&live), "{credited:?}");
}

// A body whose transfer takes longer than its caller waits is refused before any of it is sent, and
// so is a body that has waited until it can't be complete in time any more.
#[test]
fn too_late() {
    let clock = Manual::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut scheduler = BodyScheduler::new(clock.now(), Some(LINK_RATE), MAX_HELD_BYTES);
    let first = scheduler.offer(clock.now(), &upload_offer(clock.now(), 300_000.0), &mut rng);
    assert!(first.is_ok(), "nothing is before it");
    while scheduler.next(clock.now(), &mut rng).is_some() {}
    let refused = scheduler.offer(
        clock.now(),
        &upload_offer(clock.now(), 1_800_000.0),
        &mut rng,
    );
    assert_eq!(refused.unwrap_err().reason, Reason::Deadline);
    let waits = scheduler.offer(clock.now(), &upload_offer(clock.now(), 5_000.0), &mut rng);
    let waits = waits.expect("short enough to come after the first");
    clock.advance(Duration::from_millis(600));
    let mut refused_waiting = None;
    while let Some(next) = scheduler.next(clock.now(), &mut rng) {
        if let Next::Refuse(key, refusal) = next {
            refused_waiting = Some((key, refusal.reason));
        }
    }
    assert_eq!(refused_waiting, Some((waits, Reason::Deadline)));
}

// Uploads arrive faster than slots become free. Their bodies must not all be received before they
// can run: that can exhaust the memory of a VM of 160 MB. A body beyond the limit gets credit only
// once earlier ones are released.
#[test]
fn max_held_bytes() {
    let clock = Manual::new();
    let now = clock.now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut scheduler = BodyScheduler::new(now, Some(100.0 * LINK_RATE), 200_000);
    let keys: Vec<_> = (0..5)
        .map(|_| {
            scheduler
                .offer(now, &upload_offer(now, 60_000.0), &mut rng)
                .unwrap()
        })
        .collect();
    let mut received = Vec::new();
    let mut deliver_credited = |scheduler: &mut BodyScheduler| {
        while let Some(Next::Credit(key, bytes)) = scheduler.next(now, &mut rng) {
            scheduler.receive(now, key, bytes.into());
            if !scheduler.is_pending(key) {
                received.push(key);
            }
        }
        received.clone()
    };
    assert_eq!(deliver_credited(&mut scheduler), keys[..3]);
    scheduler.release(60_000);
    assert_eq!(deliver_credited(&mut scheduler), keys[..4]);
}
