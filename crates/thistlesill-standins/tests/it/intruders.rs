//! Tests of malformed, oversized and hostile input: a daemon must answer with an error, count a
//! refusal and keep serving.

use std::net::SocketAddr;
use std::time::Duration;

use thistlesill_core::config::Role;
use thistlesill_core::message::{Datagram, PeerBody, StreamRequest};
use thistlesill_core::report::{Fence, Order, Task};
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{ErrorKind, Stamp};
use thistlesill_net::engine::Engines;
use thistlesill_standins::harness::{AnswerMode, Deployment};
use thistlesill_standins::words;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

use crate::support::{MODEL, serving, serving_with, small_fleet};

/// Returns the peer address of a router of the small fleet.
fn peer_address(deployment: &Deployment, router: usize) -> SocketAddr {
    let mut address = deployment.caller_address(router);
    address.set_port(8_200 + router as u16);
    address
}

/// Checks that the deployment still answers a request completely.
async fn assert_serves(deployment: &Deployment) {
    let caller = deployment.caller(0, "lowell");
    let answer = caller
        .chat(AnswerMode::Streamed, MODEL, "still there", 5)
        .await;
    assert_eq!(
        answer.expect("an answer").text,
        words::answer("still there", 5)
    );
}

#[tokio::test]
async fn bodies_that_are_wrong() {
    let mut options = small_fleet();
    options.limits.body_bytes = 4_096;
    let deployment = serving_with(options).await;
    let caller = deployment.caller(0, "lowell");
    let cases = [
        ("{".to_owned(), ErrorKind::BadRequest),
        ("[1]".to_owned(), ErrorKind::BadRequest),
        ("{\"model\": 1}".to_owned(), ErrorKind::BadRequest),
        (
            format!("{{\"model\": \"{}\"}}", "x".repeat(9_000)),
            ErrorKind::BodyTooLarge,
        ),
    ];
    for (body, kind) in cases {
        let result = caller.post("/v1/chat/completions", body).await;
        let error = result.expect_err("refused");
        assert_eq!(error.answer().map(|a| a.body.error.code), Some(kind));
    }
    let bad_key = caller
        .clone()
        .with_header("idempotency-key", "no spaces allowed");
    let error = bad_key
        .plain("booking", "x", "{}")
        .await
        .expect_err("refused");
    assert_eq!(error.answer().map(|a| a.status), Some(400));
    let bad_id = caller.clone().with_header("last-event-id", "1/2/3");
    let error = bad_id.chat(AnswerMode::Streamed, MODEL, "x", 1).await;
    assert_eq!(
        error.expect_err("refused").answer().map(|a| a.status),
        Some(400)
    );
    let unknown_path = caller.get("/v2/what").await.expect_err("refused");
    assert_eq!(unknown_path.answer().map(|a| a.status), Some(404));
    assert_serves(&deployment).await;
}

/// Sends bytes and returns the answer; `None` if the connection is still open after `limit`.
async fn send_raw(address: SocketAddr, bytes: &[u8], limit: Duration) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(bytes).await.expect("sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    tokio::time::timeout(limit, read).await.ok()?.ok()?;
    Some(String::from_utf8_lossy(&answer).into_owned())
}

#[tokio::test]
async fn heads_that_are_slow_or_huge() {
    let mut options = small_fleet();
    options.limits.head_ms = 600;
    let deployment = serving_with(options).await;
    let address = deployment.caller_address(0);
    let unfinished = b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n";
    let answer = send_raw(address, unfinished, Duration::from_secs(5)).await;
    assert!(
        answer.is_some(),
        "a connection whose head never ends is closed"
    );
    let mut huge = b"GET /v1/models HTTP/1.1\r\nhost: x\r\n".to_vec();
    for n in 0..4_000 {
        huge.extend_from_slice(format!("x-filler-{n}: aaaaaaaaaaaaaaaa\r\n").as_bytes());
    }
    huge.extend_from_slice(b"\r\n");
    let answer = send_raw(address, &huge, Duration::from_secs(5)).await;
    let answer = answer.unwrap_or_default();
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    let garbage_answer = send_raw(address, &[0xff; 64], Duration::from_secs(5)).await;
    assert!(garbage_answer.is_some());
    assert_serves(&deployment).await;
}

#[tokio::test]
async fn strangers_cannot_plant_anything() {
    let deployment = serving().await;
    let peer = peer_address(&deployment, 0);
    let socket = UdpSocket::bind(SocketAddr::new(peer.ip(), 0))
        .await
        .expect("a socket");
    let wrong_key = SharedKey::new(b"not the fleet's key".as_slice());
    let forged = Datagram {
        from: "h-p0".into(),
        stamp: Stamp::default(),
        body: PeerBody::Head { revision: 999 },
    };
    socket
        .send_to(&wrong_key.seal(&forged), peer)
        .await
        .expect("sent");
    for length in [0, 1, 15, 16, 17, 600, 8_000] {
        socket.send_to(&vec![7; length], peer).await.expect("sent");
    }
    let mut frame = Vec::new();
    let sealed = wrong_key.seal(&StreamRequest::Settings { have: 0 });
    frame.extend_from_slice(&u32::try_from(sealed.len()).expect("short").to_be_bytes());
    frame.extend_from_slice(&sealed);
    let answer = send_raw(peer, &frame, Duration::from_secs(8)).await;
    assert_eq!(answer.as_deref(), Some(""), "no settings without the key");
    let mut oversized = u32::MAX.to_be_bytes().to_vec();
    oversized.extend_from_slice(b"more");
    send_raw(peer, &oversized, Duration::from_secs(8)).await;
    let refusals_counted = deployment
        .wait_until(Duration::from_secs(5), async || {
            let metrics = get_without_token(&deployment, "/metrics").await;
            metrics.contains("thistlesill_peer_refused_total")
        })
        .await;
    assert!(refusals_counted, "refusals are counted");
    let status = deployment.router_status(0).await.expect("a status");
    assert_eq!(status.revision, 1);
    assert_serves(&deployment).await;
}

/// Fetches a page of router 0's admin interface without a token.
async fn get_without_token(deployment: &Deployment, path: &str) -> String {
    let mut address = deployment.caller_address(0);
    address.set_port(8_100);
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let answer = send_raw(address, request.as_bytes(), Duration::from_secs(5)).await;
    answer.unwrap_or_default()
}

#[tokio::test]
async fn operators_need_their_token() {
    let deployment = serving().await;
    assert!(
        get_without_token(&deployment, "/livez")
            .await
            .starts_with("HTTP/1.1 200")
    );
    assert!(
        get_without_token(&deployment, "/readyz")
            .await
            .starts_with("HTTP/1.1 200")
    );
    for path in ["/admin/status", "/admin/groups", "/admin/timeline"] {
        let answer = get_without_token(&deployment, path).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{path}: {answer}");
    }
    let status: Result<serde_json::Value, _> =
        deployment.admin_get(Role::Router, 0, "/admin/status").await;
    assert!(status.is_ok());
}

#[tokio::test]
async fn orders_without_the_key_are_refused() {
    let deployment = serving().await;
    let unauthorized = Engines::new(SharedKey::new(b"not the fleet's key".as_slice()));
    let mut address = deployment.caller_address(0);
    address.set_port(7_100);
    let order = Order {
        instance: "d-00".into(),
        incarnation: 1,
        fence: Fence {
            term: 99,
            epoch: u64::MAX,
        },
        task: Task::Reset,
    };
    assert!(unauthorized.order(address, &order).await.is_err());
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.refused_orders, 1);
    assert_serves(&deployment).await;
}
