//! Farewells on the platform.

use config::Farewell;
use serde_json::json;
use store::farewells::{self, FOLDER, RETENTION};
use store::{MemoryStore, Store};

fn farewell(left_ms: u64, process: u64) -> Farewell {
    Farewell { left_ms, process }
}

/// Another writer has damaged the object of a node: its leaves must still be recorded.
#[tokio::test]
async fn damaged_object() {
    let store = MemoryStore::new();
    for (node, value) in [
        ("a", json!({"left": 1})),
        ("b", json!([7, {"left_ms": 1, "process": 2}])),
    ] {
        let name = format!("{FOLDER}{node}");
        store.create(&name, &value).await.unwrap();
        let before = farewells::read(&store, node).await.unwrap();
        assert_eq!(before.len(), usize::from(node == "b"));
        farewells::write(&store, node, &[farewell(3, 4)])
            .await
            .unwrap();
        let after = farewells::read(&store, node).await.unwrap();
        assert_eq!(after.len(), before.len() + 1);
    }
}

/// Objects of nodes that are gone pile up; those of drained nodes and of recent leaves stay.
#[tokio::test]
async fn expired_objects() {
    let store = MemoryStore::new();
    let now_ms = 2 * u64::try_from(RETENTION.as_millis()).unwrap();
    let recent = farewell(now_ms - 1, 2);
    let stored = [
        ("gone", vec![farewell(1, 1)]),
        ("recent", vec![farewell(1, 1), recent]),
        ("drained", vec![Farewell::drain(1)]),
        ("ended", vec![Farewell::drain(1), Farewell::drain_end(2)]),
    ];
    for (node, list) in &stored {
        farewells::write(&store, node, list).await.unwrap();
    }
    farewells::remove_expired(&store, now_ms).await.unwrap();
    for (node, list) in &stored {
        let left = farewells::read(&store, node).await.unwrap();
        let expected = if ["gone", "ended"].contains(node) {
            0
        } else {
            list.len()
        };
        assert_eq!(left.len(), expected, "{node}");
    }
}
