//! Reads the bodies of requests, within what this daemon has memory for.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use thistlesill_core::ErrorKind;
use thistlesill_net::lane::within;
use thistlesill_net::memory::HeldBuffer;
use thistlesill_net::stream::BudgetedBody;
use thistlesill_policy::edge::eviction::Phase;
use tokio::time::timeout_at;

use crate::forward::Hop;
use crate::intake::Place;
use crate::state::Edge;

/// Time for a caller to send the body after the head.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes that are read of the body of a refused request, whatever the operators allow.
const MIN_DISCARDED_BYTES: usize = 64 * 1024;
/// Bytes of a body after which it counts as having made progress.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Who sent a request to this daemon.
#[derive(Debug, Clone)]
pub(crate) struct Sender {
    /// The place of its connection.
    pub(crate) place: Rc<Place>,
    /// What the peer says that passed the request on; `None` if its caller sent it here.
    pub(crate) hop: Option<Hop>,
}

/// Reads the body of a request. One that is too large is refused by its length if that is known.
///
/// # Errors
///
/// Returns the kind of the refusal. What is left of a body that is too large or without memory may be given
/// to [`discard`].
pub(crate) async fn read(
    edge: &Edge,
    body: &mut BudgetedBody,
    place: &Place,
) -> Result<Bytes, ErrorKind> {
    let max_bytes = max_body_bytes(edge);
    if max_bytes == 0 || body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    place.note(Phase::Body, edge.now());
    let read = tokio::select! {
        biased;
        // Its connection closes soon, also if the rest of the body has just arrived.
        _ = place.evicted() => Err(ErrorKind::SlowCaller),
        read = collect(edge, body, max_bytes, place) => read,
        () = tokio::time::sleep(BODY_TIMEOUT) => Err(ErrorKind::SlowCaller),
    };
    place.note(Phase::Busy, edge.now());
    read
}

/// Collects a body, for which stalled ones give way if there is no memory.
async fn collect(
    edge: &Edge,
    body: &mut BudgetedBody,
    max_bytes: usize,
    place: &Place,
) -> Result<Bytes, ErrorKind> {
    let length = body.size_hint().exact();
    let mut buffer = HeldBuffer::new(
        &edge.memory,
        length.map_or(max_bytes, |bytes| bytes as usize),
    );
    let mut next_progress = PROGRESS_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ErrorKind::BadRequest)?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        while !buffer.push(&data) {
            if !edge.intake.evict_for_memory(edge.now()) {
                return Err(ErrorKind::MemoryShort);
            }
            // The body that gives way is dropped before the next try.
            tokio::task::yield_now().await;
        }
        if buffer.len() >= next_progress {
            place.note(Phase::Body, edge.now());
            next_progress = buffer.len() + PROGRESS_BYTES;
        }
    }
    Ok(buffer.finish())
}

/// Returns the largest body that the operators allow; 0 while there is no catalog.
fn max_body_bytes(edge: &Edge) -> usize {
    edge.catalog().map_or(0, |c| c.limits().body_bytes)
}

/// Reads a body without keeping it, while its request is refused. If the connection were closed with bytes
/// of the body unread, its caller might not get the answer. Of a body that is too large, a part is read.
pub(crate) fn discard(edge: &Rc<Edge>, mut body: BudgetedBody, place: Rc<Place>) {
    if body.is_end_stream() {
        return;
    }
    place.note(Phase::Refused, edge.now());
    let edge = edge.clone();
    let mut left = max_body_bytes(&edge).max(MIN_DISCARDED_BYTES);
    tokio::task::spawn_local(async move {
        let read = async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                match left.checked_sub(bytes) {
                    Some(rest) => left = rest,
                    None => return,
                }
            }
        };
        drop(timeout_at(within(BODY_TIMEOUT), read).await);
        place.note(Phase::Idle, edge.now());
    });
}
