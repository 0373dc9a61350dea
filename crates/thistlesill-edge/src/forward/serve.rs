//! Takes the requests that peers pass on.

use std::convert::Infallible;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use thistlesill_core::ErrorKind;
use thistlesill_net::listen::listen_bounded;
use thistlesill_net::stream::{BudgetedBody, ReadBudget, WatchedStream};
use tokio::net::TcpStream;

use super::head::{self, Hop};
use crate::body::Sender;
use crate::front::{ACCEPT_BACKOFF, DEFAULT_IDLE_TIMEOUT, MIN_HEAD_BYTES};
use crate::intake::Place;
use crate::proxy;
use crate::reply::{self, OutBody, SentTargets};
use crate::state::Edge;

/// Takes the requests that peers pass on; never returns. A daemon that cannot listen logs an error
/// and takes none.
pub(crate) async fn serve(edge: Rc<Edge>) {
    let address = edge.settings().forward_address();
    // The last two ports serve metrics, the one before the last those of a separate planner.
    if address.port() + 1 >= edge.settings().last_port {
        log::error!("forward: the ports for daemons do not suffice to take requests of peers");
        return;
    }
    let listener = match listen_bounded(address) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("forward: {address}: {error}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(place) = edge.intake.accept_peer(edge.now()).await {
                    tokio::task::spawn_local(serve_peer(edge.clone(), stream, place));
                }
            }
            Err(error) => {
                log::warn!("forward: a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Serves one request; peers open a connection for each.
async fn serve_peer(edge: Rc<Edge>, stream: TcpStream, place: Rc<Place>) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("forward: {error}");
    }
    let limits = edge.catalog().map(|c| c.limits());
    let head_bytes = limits.map_or(MIN_HEAD_BYTES, |l| l.head_bytes.max(MIN_HEAD_BYTES));
    let budget = ReadBudget::new();
    let stream = WatchedStream::new(stream, budget.clone(), edge.unsent.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let request = request.map(|body| BudgetedBody::new(body, budget.clone()));
        // A connection reserves memory for the state of its service's future, so that is but a pointer.
        let answer = Box::pin(answer(edge.clone(), request, place.clone()));
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .keep_alive(false)
        .max_buf_size(head_bytes + MIN_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        served = served => {
            if let Err(error) = served {
                log::debug!("forward: a peer's connection ended: {error}");
            }
        }
        _ = place.evicted() => log::debug!("forward: a peer's connection gives way"),
    }
}

async fn answer(
    edge: Rc<Edge>,
    mut request: Request<BudgetedBody>,
    place: Rc<Place>,
) -> Response<OutBody> {
    let Some(hop) = Hop::take(request.headers_mut()) else {
        return decline("the request does not come from a daemon");
    };
    // An older catalog may lack the route, or have a key that is revoked.
    if edge.catalog().is_none_or(|c| c.version < hop.catalog) {
        return decline("its catalog is older");
    }
    let sender = Sender {
        place,
        hop: Some(hop),
    };
    let mut answer = proxy::handle(edge, request, sender).await;
    let declined = match answer.extensions().get::<ErrorKind>() {
        Some(kind @ (ErrorKind::NotReady | ErrorKind::Unreached | ErrorKind::RetryBudget)) => {
            Some(kind.name())
        }
        _ => None,
    };
    let sent = answer.extensions().get::<SentTargets>();
    let sent = sent.map_or(0, |SentTargets(sent)| *sent);
    let headers = answer.headers_mut();
    head::clear(headers);
    if let Some(reason) = declined {
        head::set_declined(headers, reason);
    }
    head::set_sent(headers, sent);
    answer
}

fn decline(reason: &'static str) -> Response<OutBody> {
    let mut answer = reply::error(ErrorKind::NotReady, None);
    head::set_declined(answer.headers_mut(), reason);
    head::set_sent(answer.headers_mut(), 0);
    answer
}
