//! Cuts the connection to a target at each point of a request. An event that wrongly states that
//! the request did not run would let the request run twice.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{Millis, RequestId};
use thistlesill_net::engine::{Engines, StreamCall, StreamEvent, StreamOperation};
use thistlesill_net::lane::{ConnectionError, HttpConnection, within};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The point at which the fake target closes a connection.
#[derive(Debug, Clone, Copy)]
enum Cut {
    BeforeReading,
    AfterReading,
    WithinHead,
    WithinStream,
    Answer(&'static str),
}

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const PIECE: &str = "id: 00000000000000000000000000000001/g/1/0\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"a\"},\"finish_reason\":null}]}\n\n";

async fn target(cut: Cut) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            serve(stream, cut).await;
        }
    });
    address
}

async fn serve(mut stream: TcpStream, cut: Cut) {
    if matches!(cut, Cut::BeforeReading) {
        return;
    }
    let mut buffer = vec![0; 16 << 10];
    let read = stream.read(&mut buffer).await;
    assert!(read.is_ok_and(|n| n > 0));
    let text = match cut {
        Cut::BeforeReading | Cut::AfterReading => String::new(),
        Cut::WithinHead => HEAD[..20].to_owned(),
        Cut::WithinStream => format!("{HEAD}{PIECE}"),
        Cut::Answer(text) => text.to_owned(),
    };
    drop(stream.write_all(text.as_bytes()).await);
    drop(stream.shutdown().await);
}

async fn events(address: SocketAddr) -> Vec<StreamEvent> {
    let engines = Engines::new(SharedKey::new(b"0123456789abcdef".as_slice()));
    let call = StreamCall {
        address,
        request: RequestId::new(1),
        group: "g".into(),
        epoch: 1,
        priority: 5,
        adapter: None,
        time_left: Millis::new(2_000),
        operation: StreamOperation::Complete {
            path: "/v1/chat/completions",
            body: Bytes::from_static(b"{}"),
            offset: 0,
        },
        repeatable: false,
    };
    let mut events = Vec::new();
    engines
        .stream(call, |event| {
            events.push(event);
            true
        })
        .await;
    events
}

#[tokio::test]
async fn nobody_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert_eq!(events(address).await, vec![StreamEvent::Unsent]);
}

#[tokio::test]
async fn cut_before_anything_was_read_may_have_run() {
    let address = target(Cut::BeforeReading).await;
    assert_eq!(events(address).await, vec![StreamEvent::Broken]);
}

#[tokio::test]
async fn cut_after_the_request_was_read_may_have_run() {
    let address = target(Cut::AfterReading).await;
    assert_eq!(events(address).await, vec![StreamEvent::Broken]);
}

#[tokio::test]
async fn cut_within_the_head_may_have_run() {
    let address = target(Cut::WithinHead).await;
    assert_eq!(events(address).await, vec![StreamEvent::Broken]);
}

#[tokio::test]
async fn cut_within_the_stream() {
    let address = target(Cut::WithinStream).await;
    let events = events(address).await;
    assert!(matches!(events[0], StreamEvent::Piece { .. }), "{events:?}");
    assert_eq!(events[1..], [StreamEvent::Broken]);
}

#[tokio::test]
async fn target_that_says_it_did_not_run_is_believed() {
    let busy = "HTTP/1.1 503 Busy\r\nx-ran: no\r\ncontent-length: 0\r\n\r\n";
    let address = target(Cut::Answer(busy)).await;
    assert_eq!(events(address).await, vec![StreamEvent::Refused]);
}

#[tokio::test]
async fn error_without_that_word_may_have_run() {
    let error = "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n";
    let address = target(Cut::Answer(error)).await;
    assert_eq!(events(address).await, vec![StreamEvent::Broken]);
}

#[tokio::test]
async fn garbage_in_the_stream_is_garbage() {
    let text = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: nonsense\n\n";
    let address = target(Cut::Answer(text)).await;
    assert_eq!(events(address).await, vec![StreamEvent::Garbage]);
}

#[tokio::test]
async fn no_http_at_all() {
    let address = target(Cut::Answer("what is this\r\n\r\n")).await;
    assert_eq!(events(address).await, vec![StreamEvent::Broken]);
}

/// Guards against an answer that is taken for one although no answer may have its status.
#[tokio::test]
async fn a_status_that_no_answer_may_have_is_an_answer() {
    for answer in [
        "HTTP/1.1 000 Odd\r\nx-ran: no\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 101 Odd\r\nx-ran: no\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",
        "HTTP/1.1 600 Odd\r\nx-ran: no\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 999 Odd\r\nx-ran: no\r\ncontent-length: 0\r\n\r\n",
    ] {
        let address = target(Cut::Answer(answer)).await;
        assert_eq!(events(address).await, vec![StreamEvent::Broken], "{answer}");
        // Orders and status checks go over connections of their own.
        let until = || within(Duration::from_secs(2));
        let mut lane = HttpConnection::connect(address, until())
            .await
            .expect("it listens");
        let request = Request::get("/api/report").header("host", "x");
        let request = request.body(Full::default()).expect("a request");
        let answered = lane.call(request, 1_000, until()).await;
        let is_garbled = matches!(answered, Err(ConnectionError::Garbled { .. }));
        assert!(is_garbled, "{answer}: {answered:?}");
    }
}
