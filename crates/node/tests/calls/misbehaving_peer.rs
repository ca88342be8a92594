//! Peers that say a whole hello and then feed their link badly.

use crate::mesh::{call, spawn_node, spawn_server};
use crate::raw_peer::{encode, open_link};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wire::call::Frame;
use wire::codec::{self, MAX_FRAME};

/// Calls of good callers beside each bad peer.
const CALLS: usize = 20;

/// Longest time for one of them: it takes a millisecond or two.
const CALL_LIMIT: Duration = Duration::from_secs(1);

fn unknown(sequence: u64) -> ::call::Id {
    ::call::Id {
        origin: 9,
        sequence,
    }
}

/// A frame's length that is never followed by the frame.
fn promise(length: usize) -> Vec<u8> {
    u32::try_from(length).unwrap().to_le_bytes().to_vec()
}

fn strangers() -> Vec<u8> {
    let frames = (0..2_000).flat_map(|number| {
        let id = unknown(number);
        let bytes = Bytes::from_static(&[7; 100]);
        [
            encode(Frame::Body {
                id,
                bytes,
                end: false,
            }),
            encode(Frame::Cancel(id)),
        ]
    });
    frames.flatten().collect()
}

fn credit() -> Vec<u8> {
    let id = unknown(1);
    let frame = encode(Frame::Credit {
        id,
        bytes: u32::MAX,
    });
    frame.repeat(10_000)
}

// A node of another build, or one that was taken over, feeds its link byte by
// byte, promises a frame that never comes, or sends frames of calls that
// nobody made. Clerks at other nodes must get their answers as before, since
// all links come in at one listener and share the table of calls.
#[yare::parameterized(
    byte_by_byte = { encode(Frame::Ping), true },
    never_ends = { promise(MAX_FRAME), false },
    too_long = { promise(MAX_FRAME + 1), false },
    unknown_calls = { strangers(), false },
    endless_credit = { credit(), false },
)]
#[test_macro(tokio::test)]
async fn others_unaffected(feed: Vec<u8>, is_slow: bool) {
    let (address, record) = spawn_server(6).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    let bad = spawn_node("bad").await;
    far.announce("jobs", address, 6);
    near.set_route(
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    let mut stream = open_link(&bad, &far).await;
    let is_over = feed == promise(MAX_FRAME + 1);
    let feeding = async {
        let size = if is_slow { 1 } else { feed.len() };
        for part in feed.chunks(size) {
            // The node may close the link at what it reads.
            if stream.write_all(part).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
    };
    let calling = async {
        for _ in 0..CALLS {
            let near = near.outbound.address();
            let answer = call(near, Method::POST, "/jobs/1", &[], Bytes::new());
            let answer = tokio::time::timeout(CALL_LIMIT, answer).await.unwrap();
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
    };
    tokio::join!(feeding, calling);
    assert_eq!(record.entries().len(), CALLS);
    if is_slow {
        let mut scratch = Vec::new();
        let pong = codec::read::<_, wire::Frame>(&mut stream, &mut scratch).await;
        assert_eq!(
            pong.unwrap(),
            wire::Frame::Call(Frame::Pong),
            "slow, and whole in the end"
        );
    }
    if is_over {
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(CALL_LIMIT, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "a length over the limit ends the link");
    }
}
