//! Answers of plain services, and the errors of targets: read completely if they are small.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use thistlesill_core::Millis;
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

/// What was read of the body of a plain answer.
enum ReadBody {
    /// All of it.
    Complete(Bytes),
    /// Its start; the whole body is too large to hold.
    Start(Bytes),
}

/// Reads a body, up to the size of answers that are read completely.
async fn read_answer_body(body: &mut BudgetedBody) -> Result<ReadBody, hyper::Error> {
    let mut read = BytesMut::new();
    while read.len() as u64 <= MAX_BUFFERED_BYTES {
        let Some(frame) = body.frame().await.transpose()? else {
            return Ok(ReadBody::Complete(read.freeze()));
        };
        if let Ok(data) = frame.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Ok(ReadBody::Start(read.freeze()))
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
        return relay::forward_plain(job.clone(), answered, Bytes::new(), track);
    }
    let began = edge.now();
    let read = read_answer_body(&mut answered.body);
    let read = edge.alarm.timeout_at(job.answer_deadline(), read).await;
    let body = match read {
        Some(Ok(ReadBody::Complete(body))) => body,
        Some(Ok(ReadBody::Start(start))) => {
            return relay::forward_plain(job.clone(), answered, start, track);
        }
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

/// Returns a plain answer that was read completely.
fn finish(
    job: &Job,
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
            quarantine::note_success(job, began);
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
