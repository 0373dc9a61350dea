//! Relays event streams from a target to a caller, and resumes them at another target when theirs
//! stops.

mod cutter;
mod passing;
mod resume;
mod stall;

use std::future::pending;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::Response;
use thistlesill_core::Millis;
use thistlesill_core::edge::Target;
use thistlesill_net::lane::{CODEC_BYTES, HttpConnection};
use thistlesill_net::memory::Reservation;
use thistlesill_net::stream::BudgetedBody;
use thistlesill_platform::caller::{self, BodyEnd};
use thistlesill_policy::edge::attempt::{Attempts, Outcome};
use thistlesill_policy::quarantine::AnswerProgress;

use self::cutter::{Added, Cutter};
pub(crate) use self::passing::forward_plain;
pub(crate) use self::stall::wait_for_stall;
use self::stall::wait_for_way;
use crate::attempt::{Answered, Failure, Origin};
use crate::destination::Tried;
use crate::forward;
use crate::job::Job;
use crate::quarantine;
use crate::reach;
use crate::reply::{self, Interrupted, OutBody};
use crate::track::Track;

/// Bytes that arrive at once of a stream that keeps up.
const MAX_USUAL_BYTES: usize = 16 * 1024;

/// A pause between two events of a stream, as the caller observes it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pause {
    /// Time from forwarding one event to the arrival of the next.
    pub(crate) length: Millis,
    /// The part of the time that was spent waiting for the target; the rest passed on the way to
    /// the caller.
    pub(crate) waited: Millis,
    /// Estimated number of prompt tokens that waited for their prefill at the target.
    pub(crate) unread: u32,
}

impl Pause {
    /// Records a pause that ends now, unless it is shorter than the recorded one.
    ///
    /// The previous events were forwarded at `forwarded`, and the next ones were awaited from
    /// `awaited` on.
    fn record(&mut self, job: &Job, target: Option<&Target>, forwarded: Millis, awaited: Millis) {
        let now = job.edge.now();
        let length = now - forwarded;
        if length < self.length {
            return;
        }
        let loads = job.edge.loads.borrow();
        let unread = target.map_or(0, |target| loads.work(&target.id, now).unread);
        let pause = Self {
            length,
            waited: now - awaited,
            unread,
        };
        *self = (*self).max(pause);
    }
}

/// The reason why reading a stream from its target stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// The stream is complete.
    Ended,
    /// The stream broke off.
    Broken,
    /// An event is longer than any may be, or than there is memory for.
    Endless,
    /// No event came for too long; the stream may still go on.
    Stalled,
    /// The request's deadline has passed.
    Late,
}

/// A stream in progress.
struct Relay {
    job: Rc<Job>,
    track: Track,
    attempts: Attempts,
    cutter: Cutter,
    /// Memory for an event that is not complete, and for the codecs.
    reservation: Reservation,
    /// Bytes that the codecs hold.
    codec_bytes: usize,
    source: Option<Source>,
    tried: Tried,
    /// Whether to wait for a silent source, since the stream may not or cannot be resumed elsewhere;
    /// ends with the next event, or when the stream can be resumed through a peer.
    stay: bool,
    /// Since when a peer reaches the targets and this daemon does not, while the source is silent.
    cut_off: Option<Millis>,
    bytes: usize,
    /// When the last events were forwarded.
    forwarded: Option<Millis>,
    longest_pause: Pause,
}

/// The side of a stream that its target or a peer sends.
struct Source {
    body: BudgetedBody,
    lane: HttpConnection,
    origin: Origin,
    keep: Option<Millis>,
    closing: bool,
    body_end: BodyEnd,
    /// When the answer began.
    began: Millis,
    progress: AnswerProgress,
    /// When the last event arrived.
    last_event: Option<Millis>,
}

impl Source {
    /// Records the arrival of events and the pause since the previous ones.
    fn record_event(&mut self, job: &Job) {
        let now = job.edge.now();
        let last = self.last_event.replace(now);
        let is_past_start = self.progress.note_event(now);
        self.origin.note_progress(self.progress.phase());
        let Some(target) = self.origin.target() else {
            return;
        };
        if is_past_start {
            quarantine::note_progress(job, self.began);
        }
        let engine = job.admission.service.engine.as_ref();
        if let (Some(last), Some(engine)) = (last, engine) {
            let mut loads = job.edge.loads.borrow_mut();
            loads.note_pause(target, engine, now - last, now);
        }
        reach::note_progress(&job.edge, target);
    }

    /// Returns whether an answer that ends now was cut off before its first event. An end that only
    /// the connection marks is no evidence that the stream is complete.
    fn is_cut_off(&self) -> bool {
        self.body_end == BodyEnd::ConnectionClose && self.last_event.is_none()
    }

    /// Records that the target has finished the prefill.
    fn end_prefill(&mut self) {
        if let Origin::Target { flight, .. } = &mut self.origin {
            flight.end_prefill();
        }
    }

    fn new(answered: Answered, now: Millis) -> Self {
        Self {
            began: now,
            progress: AnswerProgress::new(now),
            body: answered.body,
            lane: answered.lane,
            origin: answered.origin,
            keep: answered.info.keep_alive,
            closing: answered.info.closing,
            body_end: answered.info.body_end,
            last_event: None,
        }
    }
}

/// Returns the number of bytes that the codecs hold of a stream of which this many arrive at once. Events
/// are small unless their caller does not keep up.
const fn codec_bytes(arrived: usize) -> usize {
    if arrived > MAX_USUAL_BYTES {
        CODEC_BYTES
    } else {
        0
    }
}

/// Fails if an answer that is passed on as it arrives began after the deadline: the relay would break
/// off at once, and the connection close before the head is written.
fn check_deadline(job: &Job, answered: &Answered) -> Result<(), Failure> {
    if job.time_left() > Millis::ZERO {
        return Ok(());
    }
    let reason = "the answer began after the deadline";
    Err(Failure::of_answer(answered, Outcome::Late, &reason))
}

/// Starts to relay a stream to its caller.
///
/// # Errors
///
/// Fails if the deadline has passed.
pub(crate) fn begin(
    job: Rc<Job>,
    answered: Answered,
    mut attempts: Attempts,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    check_deadline(&job, &answered)?;
    let status = answered.status;
    let mut headers = answered.headers.clone();
    caller::remove_hop_by_hop(&mut headers);
    attempts.sent += answered.sent;
    attempts.may_have_run = true;
    let edge = job.edge.clone();
    let relay = Relay {
        tried: Tried::by(&answered.origin),
        source: Some(Source::new(answered, edge.now())),
        track: track.split(&edge),
        job,
        attempts,
        cutter: Cutter::default(),
        reservation: edge.memory.reservation(),
        codec_bytes: 0,
        stay: false,
        cut_off: None,
        bytes: 0,
        forwarded: None,
        longest_pause: Pause::default(),
    };
    Ok(reply::streamed(status, headers, relay.chunks()))
}

impl Relay {
    fn chunks(self) -> impl Stream<Item = Result<Bytes, Interrupted>> {
        stream::try_unfold(self, |mut relay| async move {
            let chunk = relay.next().await?;
            Ok(chunk.map(|chunk| (chunk, relay)))
        })
    }

    /// Returns the next events for the caller, or `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, Interrupted> {
        loop {
            if let Some(events) = self.cutter.take() {
                if self.bytes == 0 {
                    self.track.first_chunk();
                }
                self.bytes += events.len();
                self.forwarded = Some(self.job.edge.now());
                return Ok(Some(events));
            }
            match self.read().await {
                None => {}
                Some(Stop::Ended) => return Ok(self.finish()),
                Some(_) if self.job.is_over() => return Err(self.break_off("late_answer")),
                Some(stop) => self.resume(stop).await?,
            }
        }
    }

    /// Reads once from the source; returns why reading stops, if it does.
    async fn read(&mut self) -> Option<Stop> {
        let Some(source) = &mut self.source else {
            return Some(Stop::Broken);
        };
        let (job, stay) = (self.job.clone(), self.stay);
        let first = self.bytes == 0;
        let target = source.origin.target().cloned();
        let peer = match &source.origin {
            Origin::Target { .. } => None,
            Origin::Peer(peer) => Some(peer.clone()),
        };
        let (awaited, forwarded) = (job.edge.now(), self.forwarded);
        let tried = &self.tried.peers;
        let may_retry = self.attempts.sent < job.admission.route.attempts;
        let stalled = async {
            match (&target, &peer) {
                (Some(target), _) if stay => {
                    wait_for_way(&job, target, tried, first, may_retry).await;
                }
                (Some(target), _) => wait_for_stall(&job, target, awaited, first).await,
                (None, Some(peer)) if !stay => {
                    forward::wait_for_peer_loss(&job.edge, peer).await;
                }
                _ => pending::<()>().await,
            }
        };
        tokio::select! {
            biased;
            frame = source.body.frame() => match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        return None;
                    };
                    source.end_prefill();
                    let added = self.cutter.push(&data);
                    self.codec_bytes = self.codec_bytes.max(codec_bytes(data.len()));
                    let held = self.cutter.partial_len() + self.codec_bytes;
                    let has_room = self.reservation.resize(held);
                    match added {
                        Added::Events => {
                            self.stay = false;
                            self.cut_off = None;
                            source.record_event(&self.job);
                            if let Some(forwarded) = forwarded {
                                self.longest_pause
                                    .record(&self.job, target.as_ref(), forwarded, awaited);
                            }
                            None
                        }
                        Added::Part if has_room => None,
                        Added::Part | Added::Excess => Some(Stop::Endless),
                    }
                }
                Some(Err(_)) => Some(Stop::Broken),
                None if self.cutter.is_partial() || source.is_cut_off() => Some(Stop::Broken),
                None => Some(Stop::Ended),
            },
            () = job.edge.alarm.sleep_until(job.due) => Some(Stop::Late),
            () = stalled => Some(Stop::Stalled),
        }
    }

    /// Records what the end of the source says of its target.
    fn note_stop(&mut self, stop: Stop, reason: &str) {
        let Some(source) = &mut self.source else {
            return;
        };
        let Some(target) = source.origin.target() else {
            return;
        };
        let begun = source.last_event.unwrap_or(source.began);
        reach::note_doubt(&self.job.edge, target, begun);
        match stop {
            Stop::Stalled | Stop::Endless => self.job.edge.suspect(&target.id, reason),
            _ => {
                let phase = source.progress.phase();
                source.origin.note_lost(&self.job, phase, reason);
            }
        }
    }

    /// Returns the id of the last event that the caller has.
    fn last_event(&self) -> Option<String> {
        let last = self.cutter.last_id();
        let last = last.or(self.job.head.last_event.as_deref());
        last.map(ToOwned::to_owned)
    }

    fn finish(&mut self) -> Option<Bytes> {
        let bytes = self.bytes;
        if let Some(mut source) = self.source.take() {
            source.origin.settle();
            self.track.paused(self.longest_pause);
            self.track.ended(200, source.origin.target_id(), bytes);
            if let Origin::Target { target, .. } = &source.origin {
                if source.body_end == BodyEnd::Marked {
                    let phase = source.progress.phase();
                    quarantine::note_success(&self.job, target, source.began, phase);
                }
                if !source.closing {
                    self.job.return_lane(&target.id, source.lane, source.keep);
                }
            }
        }
        None
    }

    fn break_off(&mut self, outcome: &str) -> Interrupted {
        let target = self.tried.targets.last();
        self.track.paused(self.longest_pause);
        self.track.broke_off(target, self.bytes, outcome);
        Interrupted
    }
}
