//! A version that one node can't apply stops nobody else, and is reported.

use config::{Change, Class, Digest, Held, Mesh, Patch, Repeat, Route, Service, Target, Version};
use fleet::replica::{ApplyOutcome, Replica, Step};
use fleet::status;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use std::sync::Arc;
use wire::control::{Frame, Status};

fn put(name: &str) -> Patch {
    Patch::from(vec![Change::PutService {
        name: name.into(),
        service: Service::default(),
    }])
}

/// Steps 1 to `count`, with what is held after all of them.
fn steps(count: u64) -> (Vec<Step>, Held) {
    let mut held = Held::default();
    let steps = (1..=count).map(|number| {
        let patch = Arc::new(put(&format!("s{number}")));
        let digest = Digest::of(&patch.apply(held.mesh()).expect("valid"));
        let base = Version(number - 1);
        held.step(base, Version(number), &patch, digest)
            .expect("next");
        Step {
            base,
            version: Version(number),
            patch,
            digest,
        }
    });
    (steps.collect(), held)
}

fn take(holder: &mut Replica, frame: Frame) -> ApplyOutcome {
    match frame {
        Frame::Step {
            base,
            version,
            patch,
            digest,
        } => holder.apply_step(Step {
            base,
            version,
            patch,
            digest,
        }),
        Frame::Chunk(chunk) => holder.apply_chunk(&chunk),
        frame => panic!("not a version: {frame:?}"),
    }
}

// The platform holds a version that the root can't read. Operators saw that it was
// not in force, and nothing that said why. It is held as refused, with its reason,
// until a version above it is in force; reading it again tells nothing new.
#[test]
fn unreadable() {
    let (all, _) = steps(3);
    let mut holder = Replica::default();
    holder.apply_step(all[0].clone());
    assert!(!holder.refuse(Version(1), "in force".into()));
    assert!(holder.refuse(Version(2), "route shop: odd timeout".into()));
    assert!(!holder.refuse(Version(2), "route shop: odd timeout".into()));
    let refused = holder.refused().expect("kept");
    assert_eq!(
        (refused.0, refused.1.as_str()),
        (Version(2), "route shop: odd timeout")
    );
    assert_eq!(holder.version(), Version(1), "what is held stays in force");
    holder.apply_step(all[1].clone());
    holder.apply_step(all[2].clone());
    assert_eq!(holder.refused(), None);
}

// A frame is damaged on its way, or a node's software can't read a version.
// The node must hold none of it, say so, and come back by the whole of a
// later version instead of staying behind for good.
#[test]
fn refused_then_whole() {
    let (all, held) = steps(4);
    let mut holder = Replica::default();
    holder.apply_step(all[0].clone());
    let damaged = Step {
        patch: Arc::new(put("other")),
        ..all[1].clone()
    };
    assert_eq!(holder.apply_step(damaged), ApplyOutcome::Refused);
    assert_eq!(holder.version(), Version(1));
    assert_eq!(
        holder.refused().map(|(version, _)| *version),
        Some(Version(2))
    );
    let mut source = Replica::default();
    for step in &all {
        source.apply_step(step.clone());
    }
    for frame in source.frames_after(Version(1), true) {
        assert_eq!(take(&mut holder, frame), ApplyOutcome::Applied);
    }
    assert_eq!(holder.held(), &held);
    assert!(holder.refused().is_none(), "no longer reported");
}

// A node that was away asks for what it lacks: a few steps when they are
// still kept, the whole otherwise; never a step that doesn't fit.
#[test]
fn ranges_and_wholes() {
    let (all, held) = steps(80);
    let mut source = Replica::default();
    for step in &all {
        source.apply_step(step.clone());
    }
    for after in [0, 10, 16, 17, 79, 80] {
        let mut behind = Replica::default();
        for step in &all[..after] {
            behind.apply_step(step.clone());
        }
        let frames = source.frames_after(Version(after as u64), false);
        let is_steps = frames
            .iter()
            .all(|frame| matches!(frame, Frame::Step { .. }));
        assert_eq!(is_steps, after >= 16, "64 steps are kept, after {after}");
        for frame in frames {
            take(&mut behind, frame);
        }
        assert_eq!(behind.held(), &held);
    }
}

#[test]
fn chunks_mixed() {
    let (all, _) = steps(3);
    // Names that don't compress, so that the whole is longer than a chunk.
    let mut rng = SmallRng::seed_from_u64(3);
    let names = (0..4_000).map(|_| format!("{:032x}", rng.random::<u128>()));
    let many: Vec<_> = names.flat_map(|name| put(&name).changes).collect();
    let mut source = Replica::default();
    for step in &all {
        source.apply_step(step.clone());
    }
    let patch = Arc::new(Patch::from(many));
    let digest = Digest::of(&patch.apply(source.held().mesh()).expect("valid"));
    let version = Version(4);
    assert_eq!(
        source.apply_step(Step {
            base: Version(3),
            version,
            patch,
            digest
        }),
        ApplyOutcome::Applied
    );
    let frames = source.frames_after(Version(3), false);
    assert!(frames.len() > 1, "too long for one frame: {}", frames.len());
    let mut target = Replica::default();
    let last = frames.last().expect("some").clone();
    assert_eq!(
        take(&mut target, last),
        ApplyOutcome::Gap,
        "the end alone is nothing"
    );
    let mut taken = Vec::new();
    for frame in frames {
        taken.push(take(&mut target, frame));
    }
    assert_eq!(taken.pop(), Some(ApplyOutcome::Applied));
    assert!(taken.iter().all(|taken| *taken == ApplyOutcome::Partial));
    assert_eq!(target.held(), source.held());
}

// An operator asks how the fleet stands while one node of 14,000 refuses a
// version. The answer must name it, and its size must not grow with nodes.
#[test]
fn bounded_status() {
    let name = |index: u64| SmolStr::from(format!("vm-{index}"));
    let parts: Vec<(SmolStr, Status)> = (0..14_000)
        .map(|index| {
            let refusal = (index % 1_000 == 7)
                .then(|| status::refusal(&name(index), Version(90), &"long ".repeat(500)));
            let version = Version(if index % 1_000 == 7 {
                89
            } else {
                90 + index % 20
            });
            (name(index), status::single_node(version, refusal))
        })
        .collect();
    let total = status::aggregate(parts.iter().map(|(name, part)| (name, part)));
    assert_eq!(status::node_count(&total), 14_000);
    assert_eq!(
        total.counts.first().map(|count| count.version),
        Some(Version(89))
    );
    assert_eq!(
        total.counts.last().map(|count| count.version),
        Some(Version(109))
    );
    assert_eq!(
        total.refusals.first().map(|refusal| refusal.node.as_str()),
        Some("vm-10007")
    );
    let mut buffer = Vec::new();
    wire::codec::encode(&total, &mut buffer).expect("fits");
    assert!(buffer.len() < 2_000, "{} bytes", buffer.len());
}

// An operator's tool writes whole configurations under numbers that leave some
// out. The nodes below the one that reads them must get what changed and not
// the whole each time, and one that missed a step must not take the next.
#[test]
fn steps_of_whole_versions() {
    let mesh = |count: u64| {
        let patches = (0..count).map(|number| put(&format!("s{number}")));
        patches.fold(config::Mesh::default(), |mesh, patch| {
            patch.apply(&mesh).expect("valid")
        })
    };
    let mut source = Replica::default();
    source.apply_newest(Version(3), mesh(2));
    let (first, second) = (
        source.apply_newest(Version(9), mesh(3)),
        source.apply_newest(Version(10), mesh(4)),
    );
    let (Some(first), Some(second)) = (first.1, second.1) else {
        panic!("a step leads to each version after the first");
    };
    assert_eq!((first.base, first.patch.changes.len()), (Version(3), 1));
    let mut child = Replica::default();
    for frame in source.frames_after(Version::ZERO, true) {
        take(&mut child, frame);
    }
    assert_eq!(child.version(), Version(10));
    let mut behind = Replica::default();
    behind.apply_newest(Version(3), mesh(2));
    assert_eq!(behind.apply_step(second.clone()), ApplyOutcome::Gap);
    assert_eq!(behind.version(), Version(3));
    let frames = source.frames_after(Version(3), false);
    assert_eq!(frames.len(), 2);
    for frame in frames {
        assert_eq!(take(&mut behind, frame), ApplyOutcome::Applied);
    }
    assert_eq!(behind.held(), source.held());
    assert_eq!(
        source.apply_newest(Version(9), mesh(1)).0,
        ApplyOutcome::Stale
    );
}

// An operator adds 1,640 routes. A root relay has 16 children and a link of
// 5 Mbit/s, and the last of them served by the old version for 2.6 s. Cause: the
// step was too long for a frame, and the whole went out as 75 kB to each child.
#[test]
fn many_routes_short() {
    let mut mesh = Mesh::default();
    mesh.services.insert("records".into(), Service::default());
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..1_640 {
        let name: u64 = rng.random();
        let route = Route {
            targets: vec![Target {
                service: "records".into(),
                percent: 100,
            }],
            class: Class::Refresh,
            repeat: Repeat::Always,
            retry: None,
            timeout_ms: 1_000,
            limit_ms: Some(1_000),
            target_ms: Some(1_000),
        };
        let prefix = format!("xalo48.example/{:08x}/", name >> 32);
        mesh.routes.insert(prefix.into(), route);
    }
    let mut root = Replica::default();
    let (taken, _) = root.apply_newest(Version(7), mesh.clone());
    assert_eq!(taken, ApplyOutcome::Applied);
    let frames = root.frames_after(Version::ZERO, false);
    let bytes: usize = frames
        .iter()
        .map(|frame| match frame {
            Frame::Chunk(chunk) => chunk.bytes.len(),
            frame => panic!("not whole: {frame:?}"),
        })
        .sum();
    // 16 children then have it within 0.31 s at 5 Mbit/s.
    assert!(bytes < 12_000, "{bytes} bytes");
    let mut child = Replica::default();
    let last = frames
        .into_iter()
        .map(|frame| take(&mut child, frame))
        .last();
    assert_eq!(last, Some(ApplyOutcome::Applied));
    assert_eq!(**child.held().mesh(), mesh);
}
