//! Large plain answers, handed on as they come.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::Response;
use thistlesill_platform::caller;

use super::Source;
use crate::attempt::Answered;
use crate::job::Job;
use crate::quarantine;
use crate::reply::{self, BrokenOff, OutBody};
use crate::track::Track;

/// An answer under way.
struct Passing {
    job: Rc<Job>,
    source: Source,
    track: Track,
    bytes: usize,
}

/// Hands a large plain answer on as it comes.
pub(crate) fn pass_on(job: Rc<Job>, answered: Answered, track: &mut Track) -> Response<OutBody> {
    let status = answered.status;
    let mut headers = answered.headers.clone();
    caller::remove_hop(&mut headers);
    let passing = Passing {
        track: track.split(&job.edge),
        source: Source::new(answered),
        job,
        bytes: 0,
    };
    let pieces = stream::try_unfold(passing, |mut passing| async move {
        let piece = passing.next().await?;
        Ok(piece.map(|piece| (piece, passing)))
    });
    reply::pieces(status, headers, pieces)
}

impl Passing {
    /// The next piece of the answer; `None` at its end.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        loop {
            let alarm = &self.job.edge.alarm;
            let frame = alarm.timeout_at(self.job.due, self.source.body.frame());
            let Some(frame) = frame.await else {
                return Err(self.break_off("late_answer"));
            };
            match frame {
                None => {
                    let target = &self.source.target.id;
                    self.track.ended(200, Some(target), self.bytes);
                    quarantine::note_good(&self.job);
                    return Ok(None);
                }
                Some(Err(_)) => {
                    quarantine::note_lost(&self.job, &self.source.target, "the answer broke off");
                    return Err(self.break_off("broke_off"));
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.bytes += data.len();
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn break_off(&mut self, why: &str) -> BrokenOff {
        self.track
            .broke_off(&self.source.target.id, self.bytes, why);
        BrokenOff
    }
}
