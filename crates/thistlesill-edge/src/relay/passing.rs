//! Forwards large plain answers as they arrive.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use thistlesill_net::memory::Reservation;
use thistlesill_platform::caller::{self, BodyEnd};

use super::{Source, check_deadline};
use crate::attempt::{Answered, Failure};
use crate::job::Job;
use crate::plain::LargeBody;
use crate::quarantine;
use crate::reply::{self, Interrupted, OutBody};
use crate::track::Track;

/// An answer in progress.
struct Forwarding {
    job: Rc<Job>,
    source: Source,
    track: Track,
    /// The part of the answer that was read already.
    start: Bytes,
    /// The memory that the rest takes.
    _reservation: Reservation,
    bytes: usize,
}

/// Forwards a large plain answer to the caller as it arrives, after the start of its body, which was
/// read already.
///
/// # Errors
///
/// Fails if the deadline has passed.
pub(crate) fn forward_plain(
    job: Rc<Job>,
    answered: Answered,
    large: LargeBody,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    check_deadline(&job, &answered)?;
    let status = answered.status;
    let mut headers = answered.headers.clone();
    caller::remove_hop_by_hop(&mut headers);
    let forwarding = Forwarding {
        track: track.split(&job.edge),
        source: Source::new(answered, job.edge.now()),
        job,
        start: large.start,
        _reservation: large.reservation,
        bytes: 0,
    };
    let chunks = stream::try_unfold(forwarding, |mut forwarding| async move {
        let chunk = forwarding.next().await?;
        Ok(chunk.map(|chunk| (chunk, forwarding)))
    });
    Ok(reply::streamed(status, headers, chunks))
}

impl Forwarding {
    /// Returns the next chunk of the answer, or `None` at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, Interrupted> {
        if !self.start.is_empty() {
            self.bytes += self.start.len();
            return Ok(Some(std::mem::take(&mut self.start)));
        }
        loop {
            let alarm = &self.job.edge.alarm;
            let frame = alarm.timeout_at(self.job.due, self.source.body.frame());
            let Some(frame) = frame.await else {
                return Err(self.break_off("late_answer"));
            };
            match frame {
                None => {
                    self.source.origin.settle();
                    let source = &self.source;
                    let target = source.origin.target();
                    self.track
                        .ended(200, target.map(|target| &target.id), self.bytes);
                    if let Some(target) = target.filter(|_| source.body_end == BodyEnd::Marked) {
                        let phase = source.progress.phase();
                        quarantine::note_success(&self.job, target, source.began, phase);
                    }
                    return Ok(None);
                }
                Some(Err(_)) if self.job.is_over() => {
                    return Err(self.break_off("late_answer"));
                }
                Some(Err(_)) => {
                    let phase = self.source.progress.phase();
                    let origin = &mut self.source.origin;
                    origin.note_lost(&self.job, phase, "the answer broke off");
                    return Err(self.break_off("broke_off"));
                }
                Some(Ok(frame)) => {
                    self.source.progress.note_event(self.job.edge.now());
                    let phase = self.source.progress.phase();
                    self.source.origin.note_progress(phase);
                    if let Ok(data) = frame.into_data() {
                        self.bytes += data.len();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn break_off(&mut self, outcome: &str) -> Interrupted {
        let target = self.source.origin.target_id();
        self.track.broke_off(target, self.bytes, outcome);
        Interrupted
    }
}
