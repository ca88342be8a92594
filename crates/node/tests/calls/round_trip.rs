//! Calls through both proxies: complete responses, to the right caller.

use crate::mesh::{bind, call, spawn_node, spawn_server, wait_for_run};
use ::call::Verdict;
use bytes::Bytes;
use config::Repeat;
use http::{Method, StatusCode};
use node::nodes::make_hello;
use standin::backend;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::call::{Answer, Frame};
use wire::{Hello, codec};

#[yare::parameterized(
    small = { 0, 0 },
    some = { 3_000, 10_000 },
    window = { 64 << 10, 64 << 10 },
    large = { 700_000, 900_000 },
)]
#[test_macro(tokio::test)]
async fn remote_call(request_bytes: usize, answer_bytes: usize) {
    let (address, run_log) = spawn_server(6).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 6);
    near.set_route(
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    let body = Bytes::from(vec![7; request_bytes]);
    let length = answer_bytes.to_string();
    let headers = [("x-request", "r1"), ("x-answer-bytes", length.as_str())];
    let got = call(
        near.outbound.address(),
        Method::POST,
        "/jobs/1",
        &headers,
        body.clone(),
    )
    .await
    .unwrap();
    assert_eq!(got.status, StatusCode::OK);
    assert_eq!(got.verdict(), "ran");
    assert!(got.body.len() >= answer_bytes);
    let reported: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
    assert_eq!(reported["request"], "r1");
    assert_eq!(reported["body_fingerprint"], backend::fingerprint(&body));
    assert_eq!(far.inbound.drain(Duration::from_secs(5)).await, 0);
    assert_eq!(run_log.entries().len(), 1);
}

#[tokio::test]
async fn local_call() {
    let (address, _run_log) = spawn_server(6).await;
    let local = spawn_node("own").await;
    local.announce("jobs", address, 6);
    local.set_route(
        "jobs",
        Repeat::Never,
        &[local.endpoint("jobs", local.nodes_address)],
    );
    let body = Bytes::from(vec![7; 500_000]);
    let got = call(
        local.outbound.address(),
        Method::POST,
        "/jobs/1",
        &[],
        body.clone(),
    )
    .await
    .unwrap();
    assert_eq!((got.status, got.verdict()), (StatusCode::OK, "ran"));
    let reported: serde_json::Value = serde_json::from_slice(&got.body).unwrap();
    assert_eq!(reported["body_fingerprint"], backend::fingerprint(&body));
}

// A node that has just started must tell its callers to retry. Once the node has its configuration,
// a path without a route is an error of the caller, but a route without endpoints is not.
#[tokio::test]
async fn no_route() {
    let local = spawn_node("own").await;
    let address = local.outbound.address();
    let early = call(address, Method::GET, "/parts", &[], Bytes::new())
        .await
        .unwrap();
    assert_eq!(
        (early.status, early.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
    assert!(early.headers.contains_key("retry-after"));
    local.set_route("jobs", Repeat::Never, &[]);
    let wrong = call(address, Method::GET, "/parts", &[], Bytes::new())
        .await
        .unwrap();
    assert_eq!(
        (wrong.status, wrong.verdict()),
        (StatusCode::NOT_FOUND, "not-run")
    );
    let withheld = call(address, Method::GET, "/jobs", &[], Bytes::new())
        .await
        .unwrap();
    assert_eq!(
        (withheld.status, withheld.verdict()),
        (StatusCode::SERVICE_UNAVAILABLE, "not-run")
    );
}

/// Answers two requests that arrive over the same link, interleaved and in reverse order, with
/// duplicate frames and frames of an unknown call.
async fn respond_interleaved(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let peer_hello = codec::read_hello(&mut stream).await.unwrap();
    let own_hello = Hello {
        node: "far".into(),
        incarnation: 2,
        ..peer_hello
    };
    codec::write(&mut stream, &own_hello).await.unwrap();
    let mut requests = Vec::new();
    while requests.len() < 2 {
        let frame = codec::read(&mut stream, &mut Vec::new()).await.unwrap();
        if let wire::Frame::Call(Frame::Request(request)) = frame {
            requests.push(request);
        }
    }
    let [one, two] = [&requests[0], &requests[1]];
    let unknown = call::Id {
        origin: one.id.origin,
        sequence: u64::MAX,
    };
    let head_frame = |id| {
        Frame::Answer(Answer {
            id,
            status: 200,
            headers: Vec::new(),
            load_percent: 0,
            report: None,
            pace_percent: None,
            queue_wait_ms: 0,
            end: false,
        })
    };
    let body_frame = |id, text: &str, end| Frame::Body {
        id,
        bytes: Bytes::copy_from_slice(text.as_bytes()),
        end,
    };
    let frames = [
        head_frame(two.id),
        body_frame(two.id, &two.path, false),
        head_frame(unknown),
        body_frame(unknown, "of nobody", false),
        head_frame(one.id),
        body_frame(one.id, &one.path, true),
        // Late and duplicate frames: the call has ended.
        body_frame(one.id, "late", true),
        head_frame(one.id),
        body_frame(two.id, " and more", true),
    ];
    for frame in frames {
        codec::write(&mut stream, &wire::Frame::Call(frame))
            .await
            .unwrap();
    }
    // The link stays open for as long as the callers need it.
    std::future::pending::<()>().await;
}

// Two callers call at the same time. The responses arrive interleaved over one link, with late,
// duplicate and stray frames between them. Each caller must get the complete response to its own
// request.
#[tokio::test]
async fn interleaved_responses() {
    let near = spawn_node("near").await;
    let (listener, address) = bind().await;
    tokio::spawn(respond_interleaved(listener));
    let far = spawn_node("far").await;
    near.set_route("parts", Repeat::Never, &[far.endpoint("parts", address)]);
    let address = near.outbound.address();
    let one = call(address, Method::GET, "/parts/one", &[], Bytes::new());
    let two = call(address, Method::GET, "/parts/two", &[], Bytes::new());
    let (one, two) = tokio::join!(one, two);
    let mut bodies = [one.unwrap().body, two.unwrap().body];
    // The order in which the requests arrive decides which caller gets the longer response.
    bodies.sort();
    let long = bodies
        .iter()
        .filter(|body| body.ends_with(b" and more"))
        .count();
    assert_eq!(long, 1, "{bodies:?}");
    assert!(bodies[0].starts_with(b"/parts/one") && bodies[1].starts_with(b"/parts/two"));
}

// A slow caller reads a long response bit by bit. The nodes must hold no more than a window of the
// response, and other calls over the link must continue.
#[tokio::test]
async fn slow_reader() {
    let (address, run_log) = spawn_server(2).await;
    let near = spawn_node("near").await;
    let far = spawn_node("far").await;
    far.announce("jobs", address, 2);
    near.set_route(
        "jobs",
        Repeat::Never,
        &[far.endpoint("jobs", far.nodes_address)],
    );
    let address = near.outbound.address();
    let mut slow = TcpStream::connect(address).await.unwrap();
    let head = "GET /jobs/1 HTTP/1.1\r\nhost: m\r\nx-request: slow\r\nx-answer-bytes: 30000000\r\nbluebellpick-timeout-ms: 60000\r\n\r\n";
    slow.write_all(head.as_bytes()).await.unwrap();
    wait_for_run(&run_log, |run| run.request == "slow").await;
    let mut first = [0; 1_000];
    slow.read_exact(&mut first).await.unwrap();
    for _ in 0..20 {
        let got = call(address, Method::GET, "/jobs/2", &[], Bytes::new()).await;
        assert_eq!(got.unwrap().status, StatusCode::OK);
    }
    // None of the bytes that were held back are lost.
    let mut rest = 0;
    let mut buffer = vec![0; 1 << 20];
    while rest < 29_999_000 {
        let count = slow.read(&mut buffer).await.unwrap();
        assert_ne!(count, 0, "cut off after {rest}");
        rest += count;
    }
}

// A call enters on the VM of a backend server with free slots. The call must run on that backend
// server, although another backend server of the zone has free slots as well: a local run saves a
// hop.
#[tokio::test]
async fn prefers_local() {
    let (local_server, local_run_log) = spawn_server(6).await;
    let (other_server, other_run_log) = spawn_server(6).await;
    let local = spawn_node("own").await;
    let other = spawn_node("other").await;
    local.announce("jobs", local_server, 6);
    other.announce("jobs", other_server, 6);
    let mut other_endpoint = other.endpoint("jobs", other.nodes_address);
    other_endpoint.zone = local.shared.settings.zone.clone();
    local.set_route(
        "jobs",
        Repeat::Never,
        &[local.endpoint("jobs", local.nodes_address), other_endpoint],
    );
    for _ in 0..20 {
        let got = call(
            local.outbound.address(),
            Method::GET,
            "/jobs/1",
            &[],
            Bytes::new(),
        )
        .await;
        assert_eq!(got.unwrap().status, StatusCode::OK);
    }
    assert_eq!(
        (local_run_log.entries().len(), other_run_log.entries().len()),
        (20, 0)
    );
}

// A caller sends a chunked body of exactly one window, so that its end arrives separately. The
// backend server's node must get the end of the body, although that node has granted no further
// credit. Regression: the call hung until its deadline.
#[tokio::test]
async fn end_without_credit() {
    let near = spawn_node("near").await;
    let (listener, address) = bind().await;
    let far = spawn_node("far").await;
    near.set_route("photos", Repeat::Never, &[far.endpoint("photos", address)]);
    let receiving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let peer_hello = codec::read_hello(&mut stream).await.unwrap();
        let own_hello = Hello {
            node: "far".into(),
            incarnation: 2,
            ..peer_hello
        };
        codec::write(&mut stream, &own_hello).await.unwrap();
        let mut length = 0;
        loop {
            let frame = codec::read(&mut stream, &mut Vec::new()).await.unwrap();
            match frame {
                wire::Frame::Call(Frame::Request(request)) => {
                    // Grants credit for the known length of the body, and no more.
                    let (id, bytes) = (request.id, u32::try_from(request.length).unwrap());
                    let credit = wire::Frame::Call(Frame::Credit { id, bytes });
                    codec::write(&mut stream, &credit).await.unwrap();
                }
                wire::Frame::Call(Frame::Body { bytes, end, .. }) => {
                    length += bytes.len();
                    if end {
                        return length;
                    }
                }
                _ => {}
            }
        }
    });
    let mut caller = TcpStream::connect(near.outbound.address()).await.unwrap();
    let head = "POST /photos/1 HTTP/1.1\r\nhost: m\r\ntransfer-encoding: chunked\r\n\r\n10000\r\n";
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(&vec![7; 0x10000]).await.unwrap();
    caller.write_all(b"\r\n").await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.write_all(b"0\r\n\r\n").await.unwrap();
    let taken = tokio::time::timeout(Duration::from_secs(2), receiving).await;
    assert_eq!(taken.expect("the end comes").unwrap(), 0x10000);
}

// A call with a body is sent to a backend server without free slots, and then to another backend
// server with free slots. A refused attempt must transfer the head only. If the bodies of all
// refused attempts were transferred, a slow link would carry nothing else.
#[tokio::test]
async fn refused_without_body() {
    let near = spawn_node("near").await;
    let (listener, address) = bind().await;
    let far = spawn_node("far").await;
    let other = spawn_node("other").await;
    let (server, run_log) = spawn_server(6).await;
    other.announce("photos", server, 6);
    let mut full = far.endpoint("photos", address);
    full.zone = near.shared.settings.zone.clone();
    let spare = other.endpoint("photos", other.nodes_address);
    near.set_route("photos", Repeat::Never, &[full, spare]);
    let bodies = Arc::new(AtomicUsize::new(0));
    let refused = Arc::new(AtomicUsize::new(0));
    let (body_bytes, refusals) = (Arc::clone(&bodies), Arc::clone(&refused));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let peer_hello = codec::read_hello(&mut stream).await.unwrap();
        let own_hello = Hello {
            node: "far".into(),
            incarnation: 2,
            ..peer_hello
        };
        codec::write(&mut stream, &own_hello).await.unwrap();
        loop {
            match codec::read(&mut stream, &mut Vec::new()).await.unwrap() {
                wire::Frame::Call(Frame::Request(request)) => {
                    refusals.fetch_add(1, Ordering::Relaxed);
                    let refusal = wire::call::Refusal {
                        id: request.id,
                        verdict: Verdict::NotRun,
                        reason: wire::call::Reason::Full,
                        retry_after_ms: 100,
                        report: None,
                    };
                    let frame = wire::Frame::Call(Frame::Refusal(refusal));
                    codec::write(&mut stream, &frame).await.unwrap();
                }
                wire::Frame::Call(Frame::Body { bytes, .. }) => {
                    body_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
                }
                _ => {}
            }
        }
    });
    let photo = Bytes::from(vec![7; 60_000]);
    for _ in 0..20 {
        let answer = call(
            near.outbound.address(),
            Method::POST,
            "/photos/1",
            &[],
            photo.clone(),
        );
        assert_eq!(answer.await.unwrap().status, StatusCode::OK);
    }
    assert_eq!(run_log.entries().len(), 20);
    assert!(refused.load(Ordering::Relaxed) > 0);
    assert_eq!(bodies.load(Ordering::Relaxed), 0);
}

// A faulty peer keeps sending requests and never reads the replies. The node must close that link
// instead of keeping the replies forever, and go on serving its other links. Regression: the memory
// of a node grew until the node was killed.
#[tokio::test]
async fn unread_replies() {
    let far = spawn_node("far").await;
    let mut stream = TcpStream::connect(far.nodes_address).await.unwrap();
    let hello = make_hello(&spawn_node("bad").await.shared, wire::LinkKind::Call);
    codec::write(&mut stream, &hello).await.unwrap();
    let open = wire::Frame::Call(Frame::Open { link: 1 });
    codec::write(&mut stream, &open).await.unwrap();
    let mut pings = Vec::new();
    for _ in 0..10_000 {
        codec::encode(&wire::Frame::Call(Frame::Ping), &mut pings).unwrap();
    }
    let mut sent = 0;
    // This is more than the buffers of both sockets and the bounded send queue hold together.
    while sent < 64 << 20 {
        match stream.write_all(&pings).await {
            Ok(()) => sent += pings.len(),
            Err(_) => return,
        }
    }
    panic!("the link is still open after {sent} bytes");
}
