//! A version that one node cannot apply is reported and does not block other nodes.

use config::{
    Change, Class, Digest, Mesh, Patch, Repeat, Route, Service, Target, Version, VersionedMesh,
};
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
fn steps(count: u64) -> (Vec<Step>, VersionedMesh) {
    let mut held = VersionedMesh::default();
    let steps = (1..=count).map(|number| {
        let patch = Arc::new(put(&format!("s{number}")));
        let digest = Digest::of(&patch.apply(held.mesh()).expect("valid"));
        let base = Version(number - 1);
        held.apply_patch(base, Version(number), &patch, digest)
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

fn apply(replica: &mut Replica, frame: Frame) -> ApplyOutcome {
    match frame {
        Frame::Step {
            base,
            version,
            patch,
            digest,
        } => replica.apply_step(Step {
            base,
            version,
            patch,
            digest,
        }),
        Frame::Chunk(chunk) => replica.apply_chunk(&chunk),
        frame => panic!("not a version: {frame:?}"),
    }
}

// The platform holds a version that the root cannot read. Operators saw that this version was not
// in force, but not why. The version must be kept as refused, with the reason, until a higher
// version is in force; if it is read again, it must not be reported again.
#[test]
fn unreadable_version() {
    let (all, _) = steps(3);
    let mut replica = Replica::default();
    replica.apply_step(all[0].clone());
    assert!(!replica.refuse(Version(1), "in force".into()));
    assert!(replica.refuse(Version(2), "route shop: odd timeout".into()));
    assert!(!replica.refuse(Version(2), "route shop: odd timeout".into()));
    let refused = replica.refused().expect("kept");
    assert_eq!(
        (refused.0, refused.1.as_str()),
        (Version(2), "route shop: odd timeout")
    );
    assert_eq!(
        replica.version(),
        Version(1),
        "the current version stays in force"
    );
    replica.apply_step(all[1].clone());
    replica.apply_step(all[2].clone());
    assert_eq!(replica.refused(), None);
}

// A frame is corrupted, or a node's software cannot read a version. The node must apply no part of
// the version, report it as refused, and recover with the full configuration of a later version
// instead of lagging forever.
#[test]
fn full_configuration_after_refusal() {
    let (all, held) = steps(4);
    let mut replica = Replica::default();
    replica.apply_step(all[0].clone());
    let damaged = Step {
        patch: Arc::new(put("other")),
        ..all[1].clone()
    };
    assert_eq!(replica.apply_step(damaged), ApplyOutcome::Refused);
    assert_eq!(replica.version(), Version(1));
    assert_eq!(
        replica.refused().map(|(version, _)| *version),
        Some(Version(2))
    );
    let mut source = Replica::default();
    for step in &all {
        source.apply_step(step.clone());
    }
    for frame in source.frames_after(Version(1), true) {
        assert_eq!(apply(&mut replica, frame), ApplyOutcome::Applied);
    }
    assert_eq!(replica.held(), &held);
    assert!(replica.refused().is_none(), "no longer reported");
}

// A node that was away fetches the versions that it lacks: as steps if the steps are still kept, as
// the full configuration otherwise, and never a step with another base version.
#[test]
fn steps_or_full_configuration() {
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
            apply(&mut behind, frame);
        }
        assert_eq!(behind.held(), &held);
    }
}

#[test]
fn incomplete_chunks() {
    let (all, _) = steps(3);
    // Names that do not compress, so that the configuration is longer than a chunk.
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
        apply(&mut target, last),
        ApplyOutcome::Gap,
        "the last chunk alone is not enough"
    );
    let mut outcomes = Vec::new();
    for frame in frames {
        outcomes.push(apply(&mut target, frame));
    }
    assert_eq!(outcomes.pop(), Some(ApplyOutcome::Applied));
    assert!(
        outcomes
            .iter()
            .all(|outcome| *outcome == ApplyOutcome::Partial)
    );
    assert_eq!(target.held(), source.held());
}

// Some of 14,000 nodes refuse a version. The status of the fleet must name refusing
// nodes, and its size must not grow with the number of nodes.
#[test]
fn bounded_status() {
    let name = |index: u64| SmolStr::from(format!("vm-{index}"));
    let statuses: Vec<(SmolStr, Status)> = (0..14_000)
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
    let total = status::aggregate(statuses.iter().map(|(name, status)| (name, status)));
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

// An operator's tool writes full configurations with gaps in their numbers. The node that reads
// these configurations must send only the changes to its descendants, and not the full
// configuration each time, and a node that missed a step must not apply the next one.
#[test]
fn steps_between_full_configurations() {
    let mesh = |count: u64| {
        let patches = (0..count).map(|number| put(&format!("s{number}")));
        patches.fold(config::Mesh::default(), |mesh, patch| {
            patch.apply(&mesh).expect("valid")
        })
    };
    let mut source = Replica::default();
    source.apply_and_diff(Version(3), mesh(2));
    let (first, second) = (
        source.apply_and_diff(Version(9), mesh(3)),
        source.apply_and_diff(Version(10), mesh(4)),
    );
    let (Some(first), Some(second)) = (first.1, second.1) else {
        panic!("a step leads to each version after the first");
    };
    assert_eq!((first.base, first.patch.changes.len()), (Version(3), 1));
    let mut child = Replica::default();
    for frame in source.frames_after(Version::ZERO, true) {
        apply(&mut child, frame);
    }
    assert_eq!(child.version(), Version(10));
    let mut behind = Replica::default();
    behind.apply_and_diff(Version(3), mesh(2));
    assert_eq!(behind.apply_step(second.clone()), ApplyOutcome::Gap);
    assert_eq!(behind.version(), Version(3));
    let frames = source.frames_after(Version(3), false);
    assert_eq!(frames.len(), 2);
    for frame in frames {
        assert_eq!(apply(&mut behind, frame), ApplyOutcome::Applied);
    }
    assert_eq!(behind.held(), source.held());
    assert_eq!(
        source.apply_and_diff(Version(9), mesh(1)).0,
        ApplyOutcome::Stale
    );
}

// An operator adds 1,640 routes. A root has 16 children and a link of 5 Mbit/s, and the last child
// served the old version for 2.6 s: the step was too long for a frame, and the full configuration
// that was sent instead took 75 kB for each child.
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
            public: false,
        };
        let prefix = format!("xalo48.example/{:08x}/", name >> 32);
        mesh.routes.insert(prefix.into(), route);
    }
    let mut root = Replica::default();
    let (outcome, _) = root.apply_and_diff(Version(7), mesh.clone());
    assert_eq!(outcome, ApplyOutcome::Applied);
    let frames = root.frames_after(Version::ZERO, false);
    let bytes: usize = frames
        .iter()
        .map(|frame| match frame {
            Frame::Chunk(chunk) => chunk.bytes.len(),
            frame => panic!("not a chunk: {frame:?}"),
        })
        .sum();
    // At 12,000 bytes, 16 children get the configuration within 0.31 s over a link of 5 Mbit/s.
    assert!(bytes < 12_000, "{bytes} bytes");
    let mut child = Replica::default();
    let last = frames
        .into_iter()
        .map(|frame| apply(&mut child, frame))
        .last();
    assert_eq!(last, Some(ApplyOutcome::Applied));
    assert_eq!(**child.held().mesh(), mesh);
}
