//! Tests a kept connection that stops answering while it is unused.

use std::net::SocketAddr;
use std::time::Duration;

use thistlesill_net::http::{HttpClient, HttpError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1";
const LIMIT: Duration = Duration::from_millis(400);

/// Starts a server whose connections answer once and then stay open without another answer.
async fn single_answer_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_once(stream));
        }
    });
    address
}

async fn answer_once(mut stream: TcpStream) {
    let mut buffer = vec![0; 4 << 10];
    let read = stream.read(&mut buffer).await;
    assert!(read.is_ok_and(|n| n > 0));
    drop(stream.write_all(ANSWER.as_bytes()).await);
    while stream.read(&mut buffer).await.is_ok_and(|n| n > 0) {}
}

/// A daemon that seldom called its table or an engine lost a call, and the call's whole timeout,
/// for each connection that it had kept.
#[tokio::test]
async fn a_connection_that_was_long_unused_carries_no_call() {
    let address = single_answer_server().await;
    let client = HttpClient::pooled();
    let call = || async { client.get_json::<u32>(address, "/", LIMIT).await };
    assert_eq!(call().await.expect("a new connection answers"), 1);
    let second = call().await;
    assert!(matches!(second, Err(HttpError::Lost { .. })), "{second:?}");
    assert_eq!(call().await.expect("a new connection answers"), 1);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    assert_eq!(call().await.expect("the old one is not used"), 1);
}
