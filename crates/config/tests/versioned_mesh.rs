//! The held configuration only moves on, whatever comes.

use config::{Change, Digest, Error, Mesh, Patch, Service, Version, VersionedMesh, diff};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn put(name: &str) -> Change {
    Change::PutService {
        name: name.into(),
        service: Service::default(),
    }
}

/// The first `count` versions, each with one service more.
fn history(count: u64) -> Vec<(Version, Patch, Mesh)> {
    let mut mesh = Mesh::default();
    (1..=count)
        .map(|number| {
            let patch = Patch::from(vec![put(&format!("s{number}"))]);
            mesh = patch.apply(&mesh).expect("valid");
            (Version(number), patch, mesh.clone())
        })
        .collect()
}

// An operator's change is in force; then a relay that was cut off for a while
// comes back and sends yesterday's frames, late, twice and in any order. A
// caller would be routed by yesterday's routes. Cause: frames say what they
// are, not whether they are news.
#[test]
fn never_back() {
    let history = history(12);
    let seed = [7; 32];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), rng);
    let frames = prop::collection::vec((0..12_usize, any::<bool>(), any::<bool>()), 1..60);
    let verdict = runner.run(&frames, |frames| {
        let mut held = VersionedMesh::default();
        for (index, is_snapshot, is_damaged) in frames {
            let (version, patch, mesh) = &history[index];
            let other = Digest::of(&Mesh::default());
            let digest = if is_damaged { other } else { Digest::of(mesh) };
            let before = held.clone();
            let taken = if is_snapshot {
                held.replace(*version, mesh.clone(), digest).is_ok()
            } else {
                let base = Version(version.0 - 1);
                held.apply_patch(base, *version, patch, digest).is_ok()
            };
            let is_next = *version == before.version().next();
            let is_newer = *version > before.version();
            prop_assert_eq!(taken, !is_damaged && is_newer && (is_snapshot || is_next));
            if taken {
                prop_assert_eq!(held.mesh().as_ref(), mesh);
                prop_assert_eq!(held.version(), *version);
            } else {
                prop_assert_eq!(&held, &before);
            }
        }
        Ok(())
    });
    verdict.expect("no frame moves a node back");
}

#[test]
fn damaged_step() {
    let mut held = VersionedMesh::default();
    let patch = Patch::from(vec![put("claims")]);
    let wrong = Digest::of(&Mesh::default());
    let error = held.apply_patch(Version::ZERO, Version(1), &patch, wrong);
    assert!(matches!(error, Err(Error::Mismatch(..))), "{error:?}");
    assert_eq!(held, VersionedMesh::default());
}

#[test]
fn difference_applies() {
    let name = "s[0-9]";
    let names = || prop::collection::btree_set(name, 0..8);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(128), rng);
    let verdict = runner.run(&(names(), names()), |(old, new)| {
        let mesh = |names: &std::collections::BTreeSet<String>| {
            let changes: Vec<_> = names.iter().map(|name| put(name)).collect();
            Patch::from(changes).apply(&Mesh::default()).expect("valid")
        };
        let (old, new) = (mesh(&old), mesh(&new));
        prop_assert_eq!(diff(&old, &new).apply(&old).expect("applies"), new);
        Ok(())
    });
    verdict.expect("a difference leads from one to the other");
}
