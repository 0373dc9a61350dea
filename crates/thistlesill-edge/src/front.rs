//! The listeners for callers and for the balancer's health checks.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use thistlesill_net::stream::{BudgetedBody, ReadBudget, WatchedStream};
use thistlesill_policy::edge::eviction::Phase;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout};

use crate::body::Sender;
use crate::intake::Place;
use crate::probes;
use crate::proxy;
use crate::reply::{Interrupted, OutBody};
use crate::state::Edge;

/// Idle timeout of connections before the operators' limits are known.
pub(crate) const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Limit of a request's head before the operators' limits are known; `hyper` accepts no limit
/// below 8 KiB.
pub(crate) const MIN_HEAD_BYTES: usize = 8 * 1024;
/// Backoff after a failure to accept, such as when file descriptors run out.
pub(crate) const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Time for the first request on a new connection, before a stopping daemon closes the connection as
/// idle.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(100);

/// Time for the answer to a stalled body whose connection gives way to another one.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts connections of callers; never returns.
pub(crate) async fn serve_callers(edge: Rc<Edge>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (active, now) = (edge.active.get(), edge.now());
                if let Some(place) = edge.intake.accept(active, now, &edge.lines).await {
                    tokio::task::spawn_local(serve_caller(edge.clone(), stream, place));
                }
            }
            Err(error) => {
                log::warn!("front: a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_caller(edge: Rc<Edge>, stream: TcpStream, place: Rc<Place>) {
    let opened = Instant::now();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("front: {error}");
    }
    let limits = edge.catalog().map(|c| c.limits());
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle.duration());
    let head_bytes = limits.map_or(MIN_HEAD_BYTES, |l| l.head_bytes.max(MIN_HEAD_BYTES));
    let budget = ReadBudget::new();
    let stream = WatchedStream::new(stream, budget.clone(), edge.unsent.clone());
    let service = {
        let (edge, place) = (edge.clone(), place.clone());
        service_fn(move |request: Request<Incoming>| {
            let request = request.map(|body| BudgetedBody::new(body, budget.clone()));
            // A connection reserves memory for the state of its service's future, so that is but a pointer.
            let answer = Box::pin(answer(edge.clone(), request, place.clone()));
            async move { Ok::<_, Infallible>(answer.await) }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(head_bytes + MIN_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_for_close(&edge, opened) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        phase = place.evicted() => match phase {
            Phase::Body => {
                connection.as_mut().graceful_shutdown();
                let last = timeout(LAST_ANSWER_TIMEOUT, connection).await;
                last.unwrap_or(Ok(()))
            }
            Phase::Opening | Phase::Busy | Phase::Refused | Phase::Idle => return,
        },
    };
    if let Err(error) = ended {
        log::debug!("front: a caller's connection ended: {error}");
    }
}

/// Returns once a stopping daemon closes idle connections, and with them the one opened at `opened`.
async fn wait_for_close(edge: &Edge, opened: Instant) {
    loop {
        edge.stop.notified().await;
        if opened.elapsed() >= FIRST_REQUEST_TIME {
            return;
        }
    }
}

/// Answers one request.
///
/// A stopping daemon still answers requests, since the balancer has not noticed yet, but closes
/// the connection after the answer.
async fn answer(
    edge: Rc<Edge>,
    request: Request<BudgetedBody>,
    place: Rc<Place>,
) -> Response<PlacedBody> {
    let sender = Sender {
        place: place.clone(),
        hop: None,
    };
    let mut answer = proxy::handle(edge.clone(), request, sender).await;
    if edge.stopping.get().is_some() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer.map(|body| PlacedBody { body, place, edge })
}

/// The body of an answer, with the end of which its connection becomes idle.
struct PlacedBody {
    body: OutBody,
    place: Rc<Place>,
    edge: Rc<Edge>,
}

impl Body for PlacedBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for PlacedBody {
    fn drop(&mut self) {
        self.place.note_answered(self.edge.now());
    }
}

/// Answers the balancer's health checks: 200 if the daemon accepts callers, else 503; never
/// returns.
pub(crate) async fn serve_health(edge: Rc<Edge>, listener: TcpListener) {
    let answer = move || {
        let mut answer = Response::new(Full::new(Bytes::new()));
        if !edge.is_ready() {
            *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        answer
    };
    probes::serve(listener, "health", answer).await;
}
