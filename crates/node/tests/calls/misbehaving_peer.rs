//! Peers that complete the hello and then send malformed or abusive input.

use crate::mesh::{call, spawn_node, spawn_server};
use crate::raw_peer::{encode, open_link};
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wire::call::Frame;
use wire::codec::{self, MAX_FRAME_BYTES};

/// Number of ordinary calls that are made while a peer misbehaves.
const CALL_COUNT: usize = 20;

/// Timeout of each ordinary call; such a call takes a millisecond or two.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn unknown_id(sequence: u64) -> ::call::Id {
    ::call::Id {
        origin: 9,
        sequence,
    }
}

/// Returns the length prefix of a frame that is never sent.
fn length_prefix(length: usize) -> Vec<u8> {
    u32::try_from(length).unwrap().to_le_bytes().to_vec()
}

fn unknown_calls_frames() -> Vec<u8> {
    let frames = (0..2_000).flat_map(|number| {
        let id = unknown_id(number);
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

fn credit_frames() -> Vec<u8> {
    let id = unknown_id(1);
    let frame = encode(Frame::Credit {
        id,
        bytes: u32::MAX,
    });
    frame.repeat(10_000)
}

// A compromised node, or a node of another build, sends its input byte by byte, announces a frame
// that never arrives, or sends frames of calls that nobody made. Callers at other nodes must still
// get their answers, although all links share one listener and one attempt table.
#[yare::parameterized(
    byte_by_byte = { encode(Frame::Ping), true },
    never_ends = { length_prefix(MAX_FRAME_BYTES), false },
    too_long = { length_prefix(MAX_FRAME_BYTES + 1), false },
    unknown_calls = { unknown_calls_frames(), false },
    endless_credit = { credit_frames(), false },
)]
#[test_macro(tokio::test)]
async fn other_calls_unaffected(input: Vec<u8>, is_slow: bool) {
    let (address, run_log) = spawn_server(6).await;
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
    let is_too_long = input == length_prefix(MAX_FRAME_BYTES + 1);
    let sending = async {
        let size = if is_slow { 1 } else { input.len() };
        for chunk in input.chunks(size) {
            // The node may close the link because of this input.
            if stream.write_all(chunk).await.is_err() {
                break;
            }
            tokio::task::yield_now().await;
        }
    };
    let calling = async {
        for _ in 0..CALL_COUNT {
            let near = near.outbound.address();
            let answer = call(near, Method::POST, "/jobs/1", &[], Bytes::new());
            let answer = tokio::time::timeout(CALL_TIMEOUT, answer).await.unwrap();
            assert_eq!(answer.unwrap().status, StatusCode::OK);
        }
    };
    tokio::join!(sending, calling);
    assert_eq!(run_log.entries().len(), CALL_COUNT);
    if is_slow {
        let mut scratch = Vec::new();
        let pong = codec::read::<_, wire::Frame>(&mut stream, &mut scratch).await;
        assert_eq!(
            pong.unwrap(),
            wire::Frame::Call(Frame::Pong),
            "frames sent byte by byte are decoded"
        );
    }
    if is_too_long {
        let mut rest = Vec::new();
        let ended = tokio::time::timeout(CALL_TIMEOUT, stream.read_to_end(&mut rest)).await;
        assert!(ended.is_ok(), "a length over the limit closes the link");
    }
}
