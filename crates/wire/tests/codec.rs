//! The codec: frames survive a round trip, and no input makes it panic or allocate much memory.

use bytes::Bytes;
use call::{Id, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::AsyncReadExt;
use wire::call::{Frame as CallFrame, Header, Reason, Refusal, Request};
use wire::codec::{MAX_FRAME_BYTES, PREFIX_LEN, decode, encode, read};
use wire::{Error, Frame, Hello, LinkKind, PROTOCOL_VERSION};

/// Number of random inputs per property.
const CASES_PER_PROPERTY: u32 = 500;

fn run<S, F>(strategy: &S, test: F)
where
    S: Strategy,
    F: Fn(S::Value) -> Result<(), TestCaseError>,
{
    let config = Config {
        cases: CASES_PER_PROPERTY,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(strategy, test)
        .unwrap();
}

fn arbitrary_id() -> impl Strategy<Value = Id> {
    any::<(u64, u64)>().prop_map(|(origin, sequence)| Id { origin, sequence })
}

fn arbitrary_bytes(max_len: usize) -> impl Strategy<Value = Bytes> {
    proptest::collection::vec(any::<u8>(), 0..max_len).prop_map(Bytes::from)
}

fn arbitrary_request() -> impl Strategy<Value = Request> {
    let header = ("[a-z-]{1,20}", arbitrary_bytes(40)).prop_map(|(name, value)| Header {
        name: name.into(),
        value,
    });
    let headers = proptest::collection::vec(header, 0..20);
    let texts = ("[a-z-]{1,20}", "[A-Z]{1,7}", "/[ -~]{0,60}", "\\PC{0,20}");
    (arbitrary_id(), texts, headers, any::<(u32, u64, bool)>()).prop_map(
        |(id, (service, method, path, caller), headers, (timeout_ms, route, end))| Request {
            id,
            service: service.into(),
            method: method.into(),
            path: path.into(),
            headers,
            timeout_ms,
            target_ms: end.then_some(timeout_ms / 2),
            parent_class: end.then_some(config::Class::Refresh),
            class: config::Class::Commit,
            caller: caller.into(),
            route,
            length: route >> 32,
            end,
            digest: call::Digest::of("", &timeout_ms.to_string(), "mesh", "/", &[]),
            is_suspect: end,
            known_report: None,
            team: None,
        },
    )
}

fn arbitrary_frame() -> impl Strategy<Value = Frame> {
    let body = (arbitrary_id(), arbitrary_bytes(400), any::<bool>())
        .prop_map(|(id, bytes, end)| CallFrame::Body { id, bytes, end });
    let refusal = (arbitrary_id(), any::<u32>()).prop_map(|(id, retry_after_ms)| {
        CallFrame::Refusal(Refusal {
            id,
            verdict: Verdict::NotRun,
            reason: Reason::Full,
            retry_after_ms,
            report: None,
        })
    });
    let credit =
        (arbitrary_id(), any::<u32>()).prop_map(|(id, bytes)| CallFrame::Credit { id, bytes });
    let query = (arbitrary_id(), any::<(u64, bool, u64, u32)>()).prop_map(
        |(id, (previous_link, head_received, received, window))| CallFrame::QueryOutcome {
            id,
            previous_link,
            head_received,
            received,
            window,
        },
    );
    prop_oneof![
        arbitrary_request().prop_map(CallFrame::Request),
        body,
        refusal,
        credit,
        arbitrary_id().prop_map(CallFrame::Cancel),
        any::<u64>().prop_map(|link| CallFrame::Open { link }),
        query,
        proptest::collection::vec(any::<u64>(), 0..20).prop_map(CallFrame::Done),
        Just(CallFrame::Ping),
        any::<bool>().prop_map(CallFrame::Leaving),
    ]
    .prop_map(Frame::Call)
}

fn encode_all(frames: &[Frame]) -> Vec<u8> {
    let mut buffer = Vec::new();
    for frame in frames {
        encode(frame, &mut buffer).unwrap();
    }
    buffer
}

#[test]
fn round_trip() {
    run(
        &proptest::collection::vec(arbitrary_frame(), 0..5),
        |frames| {
            let buffer = encode_all(&frames);
            let mut rest = &*buffer;
            for frame in &frames {
                let (found, used) = decode::<Frame>(rest).unwrap().unwrap();
                prop_assert_eq!(&found, frame);
                rest = &rest[used..];
            }
            prop_assert!(rest.is_empty());
            Ok(())
        },
    );
}

#[test]
fn incomplete_frame() {
    run(
        &(arbitrary_frame(), any::<prop::sample::Index>()),
        |(frame, cut)| {
            let buffer = encode_all(&[frame]);
            let prefix = &buffer[..cut.index(buffer.len())];
            prop_assert!(decode::<Frame>(prefix).unwrap().is_none());
            Ok(())
        },
    );
}

#[test]
fn random_bytes() {
    run(
        &proptest::collection::vec(any::<u8>(), 0..600),
        |mut bytes| {
            // The bytes are decoded as they are, and as the body of a frame with a correct length
            // prefix.
            if let Ok(Some((_, used))) = decode::<Frame>(&bytes) {
                prop_assert!(used <= bytes.len());
            }
            let length = u32::try_from(bytes.len()).unwrap().to_le_bytes();
            bytes.splice(0..0, length);
            if let Ok(Some((_, used))) = decode::<Frame>(&bytes) {
                prop_assert_eq!(used, bytes.len());
            }
            Ok(())
        },
    );
}

#[test]
fn flipped_bit() {
    let strategy = (arbitrary_frame(), any::<prop::sample::Index>(), 0_u32..8);
    run(&strategy, |(frame, index, bit)| {
        let mut buffer = encode_all(&[frame]);
        let index = PREFIX_LEN + index.index(buffer.len() - PREFIX_LEN);
        buffer[index] ^= 1 << bit;
        // The result must be an error or another frame, never a panic.
        if let Ok(Some((_, used))) = decode::<Frame>(&buffer) {
            prop_assert_eq!(used, buffer.len());
        }
        Ok(())
    });
}

// A peer that is faulty or speaks another protocol announces a frame of 4 GB. If
// the memory for it is allocated before its bytes arrive, the node runs out of
// memory and is killed, and its callers' calls fail with it.
#[tokio::test]
async fn announced_frame_too_long() {
    let mut bytes = u32::MAX.to_le_bytes().to_vec();
    bytes.extend([0; 100]);
    assert!(matches!(decode::<Frame>(&bytes), Err(Error::TooLong(_))));
    let mut scratch = Vec::new();
    let result = read::<_, Frame>(&mut &*bytes, &mut scratch).await;
    assert!(matches!(result, Err(Error::TooLong(_))));
    assert_eq!(scratch.capacity(), 0);
}

#[tokio::test]
async fn truncated_stream() {
    let length = u32::try_from(MAX_FRAME_BYTES).unwrap().to_le_bytes();
    let mut reader = length.as_slice().chain(&[0; 64][..]);
    let mut scratch = Vec::new();
    let result = read::<_, Frame>(&mut reader, &mut scratch).await;
    assert!(matches!(result, Err(Error::Io(_))));
    assert!(scratch.capacity() < 4_096, "{}", scratch.capacity());
}

// As in `announced_frame_too_long`, but the frame is short, and a list in it
// announces four thousand million headers (2^32 - 1).
#[test]
fn announced_list_too_long() {
    let mut bytes = vec![0, 0, 1, 1, 1, b'a', 1, b'b', 1, b'c'];
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0x0f]);
    let length = u32::try_from(bytes.len()).unwrap().to_le_bytes();
    bytes.splice(0..0, length);
    assert!(matches!(decode::<Frame>(&bytes), Err(Error::Malformed(_))));
}

#[test]
fn oversized_frame() {
    let frame = Frame::Call(CallFrame::Body {
        id: Id {
            origin: 1,
            sequence: 2,
        },
        bytes: vec![0; MAX_FRAME_BYTES].into(),
        end: true,
    });
    let mut buffer = b"before".to_vec();
    assert!(matches!(
        encode(&frame, &mut buffer),
        Err(Error::TooLong(_))
    ));
    assert_eq!(buffer, b"before");
}

#[test]
fn unknown_frame() {
    for body in [&[0, 120][..], &[1, 120], &[9, 0]] {
        let length = u32::try_from(body.len()).unwrap().to_le_bytes();
        let bytes = [&length, body].concat();
        assert!(matches!(decode::<Frame>(&bytes), Err(Error::Malformed(_))));
    }
}

#[test]
fn newer_protocol() {
    let hello = Hello {
        protocol: PROTOCOL_VERSION + 1,
        node: "records-1".into(),
        incarnation: 7,
        zone: "kl-a".into(),
        link: LinkKind::Call,
    };
    let mut buffer = Vec::new();
    encode(&hello, &mut buffer).unwrap();
    // Later protocol versions append fields after the known fields, so that the version number can
    // still be read and reported.
    buffer.extend([1, 2, 3]);
    let length = u32::try_from(buffer.len() - PREFIX_LEN).unwrap();
    buffer[..PREFIX_LEN].copy_from_slice(&length.to_le_bytes());
    let (found, _) = decode::<Hello>(&buffer).unwrap().unwrap();
    assert_eq!(found.protocol, PROTOCOL_VERSION + 1);
    let error = Error::Protocol(found.protocol).to_string();
    assert_eq!(error, "peer speaks protocol 11, this node speaks 10");
}
