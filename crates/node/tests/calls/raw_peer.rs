//! A peer that speaks the protocol between nodes frame by frame.

use crate::mesh::Node;
use bytes::Bytes;
use config::Class;
use node::nodes::make_hello;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use wire::LinkKind;
use wire::call::{Frame, Header, Request};
use wire::codec;

/// Opens a call link to `far` with the hello of the node `peer`.
pub async fn open_link(peer: &Node, far: &Node) -> TcpStream {
    let mut stream = TcpStream::connect(far.nodes_address).await.unwrap();
    let hello = make_hello(&peer.shared, LinkKind::Call);
    codec::write(&mut stream, &hello).await.unwrap();
    codec::read_hello(&mut stream).await.unwrap();
    let open = encode(Frame::Open { link: 1 });
    stream.write_all(&open).await.unwrap();
    stream
}

/// Encodes a call frame.
pub fn encode(frame: Frame) -> Vec<u8> {
    let mut bytes = Vec::new();
    codec::encode(&wire::Frame::Call(frame), &mut bytes).unwrap();
    bytes
}

/// Reads the next call frame.
pub async fn read_frame(stream: &mut TcpStream) -> Frame {
    match codec::read::<_, wire::Frame>(stream, &mut Vec::new()).await {
        Ok(wire::Frame::Call(frame)) => frame,
        other => panic!("not a call frame: {other:?}"),
    }
}

/// Makes a request from `peer` for an answer of `answer_bytes` bytes.
pub fn make_request(peer: &Node, class: Class, answer_bytes: usize, timeout_ms: u32) -> Request {
    Request {
        id: ::call::Id {
            origin: peer.shared.incarnation,
            sequence: 1,
        },
        service: "jobs".into(),
        method: "POST".into(),
        path: "/jobs/1".into(),
        headers: vec![Header {
            name: "x-answer-bytes".into(),
            value: Bytes::from(answer_bytes.to_string()),
        }],
        timeout_ms,
        target_ms: None,
        class,
        parent_class: None,
        caller: "caller".into(),
        route: 1,
        length: 0,
        end: true,
        digest: ::call::Digest::default(),
        is_suspect: false,
        known_report: None,
        team: None,
    }
}
