//! Answers of plain services, and the errors of targets: read completely if they are small.

use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use thistlesill_core::Millis;
use thistlesill_net::lane::{CODEC_BYTES, MAX_BUFFER_BYTES};
use thistlesill_net::memory::{HeldBuffer, MemoryBudget, Reservation};
use thistlesill_net::stream::BudgetedBody;
use thistlesill_platform::caller::{self, BodyEnd};
use thistlesill_policy::edge::attempt::Outcome;
use thistlesill_policy::quarantine::AnswerPhase;

use crate::attempt::{Answered, Failure, Origin};
use crate::job::Job;
use crate::quarantine;
use crate::relay;
use crate::reply::{self, OutBody};
use crate::track::Track;

/// Plain answers up to this size are read completely before the first byte goes to the caller, so
/// that one that breaks off can be requested again.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// The most that is read of an answer of unknown length before it is forwarded: that size, and one part.
const MAX_START_BYTES: usize = MAX_BUFFERED_BYTES as usize + MAX_BUFFER_BYTES;

/// What was read of the body of a plain answer.
enum ReadBody {
    /// All of it.
    Complete(Bytes),
    /// Its start; the whole body is too large to hold now.
    Start(LargeBody),
    /// As much as there is memory for, which is not enough to pass the rest on.
    MemoryShort,
}

/// The start of a body that is forwarded as it arrives.
pub(crate) struct LargeBody {
    pub(crate) start: Bytes,
    /// The memory that the rest takes while it is forwarded.
    pub(crate) reservation: Reservation,
}

impl LargeBody {
    /// Creates the body after `start`, if there is memory for the rest.
    fn new(start: Bytes, memory: &MemoryBudget) -> Option<Self> {
        let mut reservation = memory.reservation();
        let has_room = reservation.resize(CODEC_BYTES);
        has_room.then_some(Self { start, reservation })
    }
}

/// Reads a body, up to the size of answers that are read completely, and while there is memory for it.
async fn read_answer_body(
    body: &mut BudgetedBody,
    memory: &MemoryBudget,
) -> Result<ReadBody, hyper::Error> {
    let known = hyper::body::Body::size_hint(body).exact();
    let max_length = known.map_or(MAX_START_BYTES, |bytes| bytes as usize);
    let mut read = HeldBuffer::new(memory, max_length);
    while read.len() as u64 <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await.transpose()? else {
            return Ok(ReadBody::Complete(read.finish()));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !read.push(&data) {
            return Ok(ReadBody::MemoryShort);
        }
    }
    let large = LargeBody::new(read.finish(), memory);
    Ok(large.map_or(ReadBody::MemoryShort, ReadBody::Start))
}

/// Reads a small plain answer completely and returns it; a large one is forwarded as it arrives.
pub(crate) async fn deliver(
    job: &Rc<Job>,
    mut answered: Answered,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    let edge = &job.edge;
    let large = hyper::body::Body::size_hint(&answered.body).lower() > MAX_BUFFERED_BYTES;
    if large {
        let Some(body) = LargeBody::new(Bytes::new(), &edge.memory) else {
            return Err(short_of_memory(&answered));
        };
        return relay::forward_plain(job.clone(), answered, body, track);
    }
    let began = edge.now();
    let read = read_answer_body(&mut answered.body, &edge.memory);
    let read = edge.alarm.timeout_at(job.answer_deadline(), read).await;
    let body = match read {
        Some(Ok(ReadBody::Complete(body))) => body,
        Some(Ok(ReadBody::Start(body))) => {
            return relay::forward_plain(job.clone(), answered, body, track);
        }
        Some(Ok(ReadBody::MemoryShort)) => return Err(short_of_memory(&answered)),
        Some(Err(error)) => {
            let phase = AnswerPhase::Starting(began);
            let origin = &mut answered.origin;
            origin.note_lost(job, phase, "the answer broke off");
            return Err(Failure::of_answer(&answered, Outcome::MayHaveRun, &error));
        }
        None => {
            let reason = "the answer did not end in time";
            return Err(Failure::of_answer(&answered, Outcome::Late, &reason));
        }
    };
    Ok(finish(job, answered, began, body, track))
}

/// Returns the failure of an answer that this daemon has no memory for.
fn short_of_memory(answered: &Answered) -> Failure {
    let reason = "no memory for the answer";
    Failure::of_answer(answered, Outcome::MayHaveRun, &reason)
}

/// Returns a plain answer that was read completely.
fn finish(
    job: &Rc<Job>,
    answered: Answered,
    began: Millis,
    body: Bytes,
    track: &mut Track,
) -> Response<OutBody> {
    let Answered {
        status,
        mut headers,
        lane,
        info,
        mut origin,
        ..
    } = answered;
    origin.settle();
    let target = match origin {
        // The request no longer counts at the target.
        Origin::Target { target, flight, .. } => {
            drop(flight);
            Some(target)
        }
        Origin::Peer(_) => None,
    };
    if let Some(target) = &target {
        let took = job.edge.now() - job.arrived;
        job.edge.loads.borrow_mut().note_time(&target.id, took);
        if status.is_success() && info.body_end == BodyEnd::Marked {
            let phase = AnswerPhase::Starting(began);
            quarantine::note_success(job, target, began, phase);
        }
        if !info.closing {
            job.return_lane(&target.id, lane, info.keep_alive);
        }
    }
    caller::remove_hop_by_hop(&mut headers);
    let target = target.as_ref().map(|target| &target.id);
    track.ended(status.as_u16(), target, body.len());
    reply::complete(status, headers, body)
}
