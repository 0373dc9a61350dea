//! Relays event streams from a target to a caller, and resumes them at another target when theirs
//! stops.

mod cutter;
mod passing;
mod stall;

use std::future::pending;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::Response;
use thistlesill_core::edge::Target;
use thistlesill_core::{ErrorKind, Millis, NodeId};
use thistlesill_net::lane::HttpConnection;
use thistlesill_net::stream::BudgetedBody;
use thistlesill_platform::caller::{self, BodyEnd};
use thistlesill_policy::edge::attempt::{Attempts, NextStep, Outcome, next_step};
use thistlesill_policy::edge::reach::LinkState;
use thistlesill_policy::quarantine::AnswerProgress;

use self::cutter::{Added, Cutter};
pub(crate) use self::passing::forward_plain;
pub(crate) use self::stall::wait_for_stall;
use self::stall::wait_for_way;
use crate::attempt::{Answered, Failure, Origin, attempt};
use crate::choice::{Choice, Pick};
use crate::destination::{Destination, Tried};
use crate::forward::{self, Way};
use crate::job::Job;
use crate::proxy::resolve_failure;
use crate::quarantine;
use crate::reach;
use crate::reply::{self, Interrupted, OutBody};
use crate::track::Track;

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
    /// An event is longer than any may be.
    Endless,
    /// No event came for too long; the stream may still go on.
    Stalled,
    /// The request's deadline has passed.
    Late,
}

/// Why the rest of a stream cannot be requested from another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The target has the request, and others are reached no better.
    Waiting,
    /// No attempt is left, or no retry budget covers it.
    Spent,
    /// Neither this daemon nor a peer reaches the targets.
    NoWay,
    /// The targets that were tried accept no connection, or show no sign of life.
    Unsent,
    /// No target takes the request now.
    NoTarget,
    /// The request is withheld.
    Withheld,
    /// The target or peer that was asked answered with a failure.
    Refused,
}

impl Obstacle {
    /// Returns the reason in the request's log line.
    const fn text(self) -> &'static str {
        match self {
            Self::Waiting => "its target may go on",
            Self::Spent => "no attempt is left or no retry budget covers it",
            Self::NoWay => "neither this daemon nor a peer reaches the targets",
            Self::Unsent => "the targets that were tried take no request",
            Self::NoTarget => "no target takes the rest of the stream",
            Self::Withheld => "the request is withheld",
            Self::Refused => "the rest of the stream was answered with a failure",
        }
    }

    /// Returns the outcome of a stream that ends for this reason.
    const fn outcome(self) -> &'static str {
        match self {
            Self::Withheld => ErrorKind::Withheld.name(),
            Self::Waiting
            | Self::Spent
            | Self::NoWay
            | Self::Unsent
            | Self::NoTarget
            | Self::Refused => "broke_off",
        }
    }

    /// Returns whether the rest of the stream may be requested after a while.
    const fn is_passing(self) -> bool {
        matches!(self, Self::NoWay | Self::Unsent)
    }
}

/// What follows when the rest of a stream cannot be requested elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    /// The stream goes on if its silent source does.
    Stay,
    /// The rest is requested again after a while.
    Wait,
    /// The stream ends.
    End,
}

/// A stream in progress.
struct Relay {
    job: Rc<Job>,
    track: Track,
    attempts: Attempts,
    cutter: Cutter,
    source: Option<Source>,
    tried: Tried,
    /// Whether to wait for a silent source, since the stream may not or cannot be resumed elsewhere;
    /// ends with the next event, or when the stream can be resumed through a peer.
    stay: bool,
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

/// Starts to relay a stream to its caller.
pub(crate) fn begin(
    job: Rc<Job>,
    answered: Answered,
    mut attempts: Attempts,
    track: &mut Track,
) -> Response<OutBody> {
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
        stay: false,
        bytes: 0,
        forwarded: None,
        longest_pause: Pause::default(),
    };
    reply::streamed(status, headers, relay.chunks())
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
                    match self.cutter.push(&data) {
                        Added::Events => {
                            self.stay = false;
                            source.record_event(&self.job);
                            if let Some(forwarded) = forwarded {
                                self.longest_pause
                                    .record(&self.job, target.as_ref(), forwarded, awaited);
                            }
                            None
                        }
                        Added::Part => None,
                        Added::Excess => Some(Stop::Endless),
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

    /// Resumes the stream at another target or through a peer, if that is allowed and one can.
    /// Otherwise keeps waiting for a stalled source, and fails if the source is lost.
    async fn resume(&mut self, stop: Stop) -> Result<(), Interrupted> {
        let reason = match stop {
            Stop::Stalled => "no event for too long",
            Stop::Endless => "an event does not end",
            _ => "the stream broke off",
        };
        self.note_stop(stop, reason);
        if stop != Stop::Stalled {
            self.source = None;
            self.cutter.drop_partial();
        }
        loop {
            let Err(obstacle) = self.request_rest(reason).await else {
                return Ok(());
            };
            match self.after(obstacle) {
                Next::Stay => {
                    self.stay = true;
                    return Ok(());
                }
                Next::Wait => {
                    // What was not sent may be tried there again.
                    self.tried = Tried::default();
                    self.attempts.unsent = 0;
                    if !forward::wait_to_try_again(&self.job).await {
                        return Err(self.break_off("late_answer"));
                    }
                }
                Next::End => {
                    self.track.with_reason(obstacle.text());
                    return Err(self.break_off(obstacle.outcome()));
                }
            }
        }
    }

    /// Decides what follows when the rest of the stream cannot be requested elsewhere.
    ///
    /// A stream that has no source left waits for targets that all stand still. One that a peer passed
    /// on ends, since that peer may have another way.
    fn after(&self, obstacle: Obstacle) -> Next {
        if self.can_caller_resume() {
            Next::End
        } else if self.source.is_some() {
            Next::Stay
        } else if obstacle.is_passing() && self.job.hop.is_none() {
            Next::Wait
        } else {
            Next::End
        }
    }

    /// Requests the rest of the stream from another target or through a peer, until one sends it or
    /// no further attempt can be made; returns why not.
    async fn request_rest(&mut self, reason: &str) -> Result<(), Obstacle> {
        if self.source.is_some() && !forward::may_leave_target(&self.job) {
            return Err(Obstacle::Waiting);
        }
        if forward::way(&self.job, &self.tried.peers) == Way::Nowhere {
            return Err(Obstacle::NoWay);
        }
        if !self.may_go_on() {
            return Err(Obstacle::Spent);
        }
        loop {
            let job = self.job.clone();
            let way = forward::way(&job, &self.tried.peers);
            if way == Way::Direct && quarantine::withheld(&job).is_some() {
                self.track.withheld(job.fingerprint());
                return Err(Obstacle::Withheld);
            }
            let mut end = match way {
                Way::Direct => self.try_target().await,
                Way::Peer(peer) => Some(self.try_peer(peer).await),
                Way::Nowhere => return Err(Obstacle::NoWay),
            };
            if end.is_none()
                && let Some(peer) = forward::peer_for_doubted(&job, &self.tried.peers).await
            {
                end = Some(self.try_peer(peer).await);
            }
            let Some((destination, end)) = end else {
                let is_unsent = self.attempts.unsent > 0;
                return Err(if is_unsent {
                    Obstacle::Unsent
                } else {
                    Obstacle::NoTarget
                });
            };
            match end {
                Ok(answered) if answered.status.is_success() => {
                    let from = self.tried.targets.first().cloned().unwrap_or_default();
                    let last_event = self.last_event();
                    self.track
                        .resumed(&from, &destination, last_event.as_deref(), reason);
                    self.attempts.sent += answered.sent;
                    // A target that only paused may still complete an event that it began, so
                    // the partial event is kept until another target resumes the stream.
                    self.cutter.drop_partial();
                    self.source = Some(Source::new(answered, job.edge.now()));
                    self.stay = false;
                    return Ok(());
                }
                Ok(answered) => {
                    self.attempts.sent += answered.sent;
                    return Err(Obstacle::Refused);
                }
                Err(failure) => {
                    let (tried, attempts) = (&self.tried, &mut self.attempts);
                    let track = &self.track;
                    let next =
                        resolve_failure(&job, &destination, &failure, tried, attempts, track);
                    match (failure.outcome, next) {
                        (_, NextStep::Retry) => {}
                        (Outcome::NotSent, _) => return Err(Obstacle::Unsent),
                        _ => return Err(Obstacle::Spent),
                    }
                }
            }
        }
    }

    /// Returns whether a caller that is cut off can resume the stream at once at another daemon,
    /// while this one does not reach the target.
    fn can_caller_resume(&self) -> bool {
        let job = &self.job;
        let (edge, service) = (&job.edge, &job.admission.service.name);
        let is_reached = || match job.hop {
            Some(_) => edge.is_reached_by_peer(service),
            None => forward::is_possible(job),
        };
        edge.links.state(service, edge.now()) == LinkState::Down && is_reached()
    }

    /// Records what the end of the source says of its target.
    fn note_stop(&self, stop: Stop, reason: &str) {
        let Some(source) = &self.source else {
            return;
        };
        let Some(target) = source.origin.target() else {
            return;
        };
        let begun = source.last_event.unwrap_or(source.began);
        reach::note_doubt(&self.job.edge, target, begun);
        match stop {
            Stop::Stalled | Stop::Endless => self.job.edge.suspect(&target.id, reason),
            _ => quarantine::note_lost(&self.job, target, source.progress.phase(), reason),
        }
    }

    /// Returns the id of the last event that the caller has.
    fn last_event(&self) -> Option<String> {
        let last = self.cutter.last_id();
        let last = last.or(self.job.head.last_event.as_deref());
        last.map(ToOwned::to_owned)
    }

    /// Picks a target and requests the rest of the stream there; returns `None` if that is not
    /// possible now.
    async fn try_target(&mut self) -> Option<(Destination, Result<Answered, Failure>)> {
        let job = self.job.clone();
        let Pick {
            choice: Choice::Target(target),
            clearance,
            ..
        } = job.pick(&self.tried.targets, self.attempts).await
        else {
            return None;
        };
        if job.admission.customer.is_some() && !job.edge.is_fresh() {
            return None;
        }
        self.tried.targets.push(target.id.clone());
        let last_event = self.last_event();
        let (tried, attempts) = (&self.tried.targets, self.attempts);
        let last_event = last_event.as_deref();
        let end = attempt(&job, &target, clearance, tried, last_event, attempts).await;
        Some((Destination::Target(target), end))
    }

    /// Requests the rest of the stream from a peer.
    async fn try_peer(&mut self, peer: NodeId) -> (Destination, Result<Answered, Failure>) {
        self.tried.peers.push(peer.clone());
        self.track.forwarded(&peer);
        let last_event = self.last_event();
        let end = forward::attempt(&self.job, &peer, last_event.as_deref(), self.attempts).await;
        (Destination::Peer(peer), end)
    }

    /// Returns whether another attempt is allowed, and takes it out of the retry budget.
    fn may_go_on(&self) -> bool {
        let job = &self.job;
        let mut attempts = self.attempts;
        attempts.sent = attempts.sent.saturating_sub(1);
        let withdraw = || job.withdraw_retry();
        let allowed = job.admission.route.attempts;
        let outcome = Outcome::MayHaveRun;
        next_step(outcome, &mut attempts, job.may_repeat(), allowed, withdraw) == NextStep::Retry
    }

    fn finish(&mut self) -> Option<Bytes> {
        let bytes = self.bytes;
        if let Some(source) = self.source.take() {
            self.track.paused(self.longest_pause);
            self.track.ended(200, source.origin.target_id(), bytes);
            if let Origin::Target { target, .. } = &source.origin {
                if source.body_end == BodyEnd::Marked {
                    quarantine::note_success(&self.job, source.began);
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
