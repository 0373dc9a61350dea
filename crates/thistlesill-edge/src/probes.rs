//! Listeners for health checks and metrics, which are read by a few programs of the operators.
//!
//! Whoever reaches such a port can open connections there and say nothing. Each takes a file that a caller
//! then lacks, so their number is bounded.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::front::ACCEPT_BACKOFF;

/// Most connections of a listener. Beyond it the oldest one is closed.
const MAX_CONNECTIONS: usize = 64;
/// Time for a head, and between two requests on a connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers all requests at a listener alike; never returns. `name` tells the listener in logs.
pub(crate) async fn serve<F>(listener: TcpListener, name: &'static str, answer: F)
where
    F: Fn() -> Response<Full<Bytes>> + Clone + 'static,
{
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|connection| !connection.is_finished());
                if open.len() >= MAX_CONNECTIONS
                    && let Some(oldest) = open.pop_front()
                {
                    oldest.abort();
                }
                let connection = serve_connection(stream, name, answer.clone());
                open.push_back(tokio::task::spawn_local(connection));
            }
            Err(error) => {
                log::warn!("{name}: a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection<F>(stream: TcpStream, name: &'static str, answer: F)
where
    F: Fn() -> Response<Full<Bytes>>,
{
    let service = service_fn(|_: hyper::Request<Incoming>| {
        let answer = answer();
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("{name}: a connection ended: {error}");
    }
}
