//! The version of a configuration only increases, whatever frames arrive.

use config::{Change, Digest, Error, Mesh, Patch, Service, Version, VersionedMesh, diff};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn put(name: &str) -> Change {
    Change::PutService {
        name: name.into(),
        service: Service::default(),
    }
}

/// Creates the first `count` versions, each with one more service.
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

// After a change is in effect, a parent node that was disconnected for a while
// reconnects and sends outdated frames: late, duplicated and reordered. Calls
// would then use outdated routes, because a frame carries its version but does
// not say whether it is newer than the receiver's.
#[test]
fn version_never_decreases() {
    let history = history(12);
    let seed = [7; 32];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(256), rng);
    let frames = prop::collection::vec((0..12_usize, any::<bool>(), any::<bool>()), 1..60);
    let result = runner.run(&frames, |frames| {
        let mut current = VersionedMesh::default();
        for (index, is_full, is_damaged) in frames {
            let (version, patch, mesh) = &history[index];
            let wrong_digest = Digest::of(&Mesh::default());
            let digest = if is_damaged {
                wrong_digest
            } else {
                Digest::of(mesh)
            };
            let previous = current.clone();
            let applied = if is_full {
                current.replace(*version, mesh.clone(), digest).is_ok()
            } else {
                let base = Version(version.0 - 1);
                current.apply_patch(base, *version, patch, digest).is_ok()
            };
            let is_next = *version == previous.version().next();
            let is_newer = *version > previous.version();
            prop_assert_eq!(applied, !is_damaged && is_newer && (is_full || is_next));
            if applied {
                prop_assert_eq!(current.mesh().as_ref(), mesh);
                prop_assert_eq!(current.version(), *version);
            } else {
                prop_assert_eq!(&current, &previous);
            }
        }
        Ok(())
    });
    result.expect("no frame restores an older version");
}

#[test]
fn mismatched_digest() {
    let mut current = VersionedMesh::default();
    let patch = Patch::from(vec![put("claims")]);
    let wrong = Digest::of(&Mesh::default());
    let error = current.apply_patch(Version::ZERO, Version(1), &patch, wrong);
    assert!(matches!(error, Err(Error::Mismatch(..))), "{error:?}");
    assert_eq!(current, VersionedMesh::default());
}

#[test]
fn diff_round_trip() {
    let name = "s[0-9]";
    let names = || prop::collection::btree_set(name, 0..8);
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(128), rng);
    let result = runner.run(&(names(), names()), |(old, new)| {
        let mesh = |names: &std::collections::BTreeSet<String>| {
            let changes: Vec<_> = names.iter().map(|name| put(name)).collect();
            Patch::from(changes).apply(&Mesh::default()).expect("valid")
        };
        let (old, new) = (mesh(&old), mesh(&new));
        prop_assert_eq!(diff(&old, &new).apply(&old).expect("applies"), new);
        Ok(())
    });
    result.expect("a difference turns the old configuration into the new one");
}
