//! Streams of events from a target to a caller, taken up at another target
//! when theirs stops.

mod cutter;
mod passing;

use std::future::pending;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use thistlesill_core::edge::{RouteKind, Target, TargetId};
use thistlesill_core::{ErrorKind, Millis};
use thistlesill_net::lane::HttpConnection;
use thistlesill_platform::caller;
use thistlesill_policy::edge::attempt::{Attempts, NextStep, Outcome, next_step};

use self::cutter::Cutter;
pub(crate) use self::passing::pass_on;
use crate::attempt::{Answered, Turn, attempt};
use crate::flight::InFlight;
use crate::job::Job;
use crate::proxy::settle;
use crate::quarantine;
use crate::reply::{self, BrokenOff, OutBody};
use crate::state::{Choice, Pick};
use crate::track::Track;

/// Part of the longest pause in time after which a silent target counts as
/// stopped; the rest is for taking the stream up elsewhere.
const STALL_PART: f64 = 0.8;
/// Part of the objective for the first event after which a silent target
/// counts as stopped.
const FIRST_PART: f64 = 1.0;

/// Ends when a target that has a resumable stream of ours has sent nothing to
/// any of this daemon's streams for too long.
pub(crate) async fn stall(job: &Job, target: &Target, first: bool) {
    let route = &job.passage.route;
    let (RouteKind::Stream, true, Some(pause)) = (route.kind, route.resumable, route.pause) else {
        return pending::<()>().await;
    };
    let least = if first {
        part(route.aim, FIRST_PART)
    } else {
        part(pause, STALL_PART)
    };
    let engine = job.passage.service.engine.as_ref();
    let start = job.edge.now();
    loop {
        let due = {
            let loads = job.edge.loads.borrow();
            let seen = loads.progress(&target.id).max(start);
            let usual = engine.map(|e| loads.stall_timeout(target, e, job.edge.now()));
            seen + usual.map_or(least, |usual| usual.max(least))
        };
        if due <= job.edge.now() {
            return;
        }
        job.edge.alarm.sleep_until(due).await;
    }
}

fn part(time: Millis, part: f64) -> Millis {
    Millis::new((time.get() as f64 * part) as u64)
}

/// A pause between two events of a stream, as its caller sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Pause {
    /// From the hand-over of one event to the arrival of the next.
    pub(crate) length: Millis,
    /// The part for which the target was waited for; the rest was spent on the way
    /// to the caller.
    pub(crate) waited: Millis,
    /// Tokens of prompts that were believed to be unread at the target.
    pub(crate) unread: u32,
}

impl Pause {
    /// Notes a pause that ends now, if it is no shorter: at a target from which events
    /// were awaited since `asked`, after the last ones were handed on.
    fn note(&mut self, job: &Job, target: &Target, handed: Millis, asked: Millis) {
        let now = job.edge.now();
        let length = now - handed;
        if length < self.length {
            return;
        }
        let unread = job.edge.loads.borrow().work(&target.id, now).unread;
        let seen = Self {
            length,
            waited: now - asked,
            unread,
        };
        *self = (*self).max(seen);
    }
}

/// Why a stream does not go on at its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stop {
    /// It is complete.
    Ended,
    /// It broke off.
    Broken,
    /// It stands still; it may go on.
    Stalled,
    /// Its time is up.
    Late,
}

/// A stream under way.
struct Relay {
    job: Rc<Job>,
    track: Track,
    attempts: Attempts,
    cutter: Cutter,
    source: Option<Source>,
    tried: Vec<TargetId>,
    /// Whether a silent target is still waited for, since no other may or
    /// can take the stream.
    stay: bool,
    bytes: usize,
    /// When the last events were handed on.
    handed: Option<Millis>,
    longest: Pause,
}

/// Where a stream comes from.
struct Source {
    body: Incoming,
    lane: HttpConnection,
    target: Target,
    keep: Option<Millis>,
    closing: bool,
    flight: InFlight,
    /// When its last event came.
    last: Option<Millis>,
}

impl Source {
    /// Notes that events came, and how long after the ones before.
    fn note_event(&mut self, job: &Job) {
        let now = job.edge.now();
        let mut loads = job.edge.loads.borrow_mut();
        let engine = job.passage.service.engine.as_ref();
        if let (Some(last), Some(engine)) = (self.last, engine) {
            loads.note_pause(&self.target, engine, now - last, now);
        }
        loads.note_progress(&self.target.id, now);
        self.last = Some(now);
    }

    fn new(answered: Answered) -> Self {
        Self {
            body: answered.body,
            lane: answered.lane,
            target: answered.target,
            keep: answered.info.keep,
            closing: answered.info.closing,
            flight: answered.flight,
            last: None,
        }
    }
}

/// Begins to hand a stream on.
pub(crate) fn begin(
    job: Rc<Job>,
    answered: Answered,
    mut attempts: Attempts,
    track: &mut Track,
) -> Response<OutBody> {
    let status = answered.status;
    let mut headers = answered.headers.clone();
    caller::remove_hop(&mut headers);
    attempts.sent += 1;
    attempts.may_have_run = true;
    let edge = job.edge.clone();
    let relay = Relay {
        tried: vec![answered.target.id.clone()],
        source: Some(Source::new(answered)),
        track: track.split(&edge),
        job,
        attempts,
        cutter: Cutter::default(),
        stay: false,
        bytes: 0,
        handed: None,
        longest: Pause::default(),
    };
    reply::pieces(status, headers, relay.pieces())
}

impl Relay {
    fn pieces(self) -> impl Stream<Item = Result<Bytes, BrokenOff>> {
        stream::try_unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            Ok(piece.map(|piece| (piece, relay)))
        })
    }

    /// The next events for the caller; `None` at the end of the stream.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        loop {
            if let Some(piece) = self.cutter.take() {
                if self.bytes == 0 {
                    self.track.first_piece();
                }
                self.bytes += piece.len();
                self.handed = Some(self.job.edge.now());
                return Ok(Some(piece));
            }
            match self.read().await {
                None => {}
                Some(Stop::Ended) => return Ok(self.finish()),
                Some(Stop::Late) => return Err(self.break_off("late_answer")),
                Some(stop) => self.take_up(stop).await?,
            }
        }
    }

    /// Reads from the source until there is something new.
    async fn read(&mut self) -> Option<Stop> {
        let Some(source) = &mut self.source else {
            return Some(Stop::Broken);
        };
        let (job, stay) = (self.job.clone(), self.stay);
        let first = self.bytes == 0;
        let target = source.target.clone();
        let (asked, handed) = (job.edge.now(), self.handed);
        let stalled = async {
            if stay {
                pending::<()>().await;
            }
            stall(&job, &target, first).await;
        };
        tokio::select! {
            biased;
            frame = source.body.frame() => match frame {
                Some(Ok(frame)) => {
                    source.note_event(&self.job);
                    if let Some(handed) = handed {
                        self.longest.note(&self.job, &target, handed, asked);
                    }
                    if let Ok(data) = frame.into_data() {
                        source.flight.begun();
                        self.cutter.push(&data);
                    }
                    None
                }
                Some(Err(_)) => Some(Stop::Broken),
                None if self.cutter.is_partial() => Some(Stop::Broken),
                None => Some(Stop::Ended),
            },
            () = job.edge.alarm.sleep_until(job.due) => Some(Stop::Late),
            () = stalled => Some(Stop::Stalled),
        }
    }

    /// Takes the stream up at another target, if one may and can.
    async fn take_up(&mut self, stop: Stop) -> Result<(), BrokenOff> {
        let why = match stop {
            Stop::Stalled => "no event for too long",
            _ => "the stream broke off",
        };
        if let Some(source) = &self.source {
            match stop {
                Stop::Stalled => self.job.edge.suspect(&source.target.id, why),
                _ => quarantine::note_lost(&self.job, &source.target, why),
            }
        }
        if stop == Stop::Broken {
            self.source = None;
            self.cutter.drop_partial();
        }
        let mut again = self.may_go_on();
        let mut end = "broke_off";
        while again {
            let job = self.job.clone();
            if quarantine::withheld(&job).is_some() {
                self.track.withheld(job.print());
                end = ErrorKind::Withheld.name();
                break;
            }
            let Pick {
                choice: Choice::Target(target),
                clearance,
                ..
            } = job.pick(&self.tried).await
            else {
                break;
            };
            if job.passage.customer.is_some() && !job.edge.is_fresh() {
                break;
            }
            self.tried.push(target.id.clone());
            let last_event = self.cutter.last().or(job.head.last_event.as_deref());
            let turn = Turn::after(self.attempts.sent, job.passage.route.attempts);
            match attempt(&job, &target, clearance, &self.tried, last_event, turn).await {
                Ok(answered) if answered.status.is_success() => {
                    let from = self.tried.first().cloned().unwrap_or_default();
                    self.track.resumed(&from, &target.id, last_event, why);
                    self.attempts.sent += 1;
                    // A target that only paused may still end the event that
                    // it began, so its part is kept until another goes on.
                    self.cutter.drop_partial();
                    self.source = Some(Source::new(answered));
                    return Ok(());
                }
                Ok(_) => break,
                Err(failure) => {
                    let attempts = &mut self.attempts;
                    let next = settle(&job, &target, &failure, attempts, &self.track);
                    again = next == NextStep::Retry;
                }
            }
        }
        if self.source.is_some() {
            self.stay = true;
            return Ok(());
        }
        Err(self.break_off(end))
    }

    /// Whether another attempt is allowed.
    fn may_go_on(&self) -> bool {
        let job = &self.job;
        let mut attempts = self.attempts;
        attempts.sent = attempts.sent.saturating_sub(1);
        let spend = || job.edge.spend_retry(&job.passage.service.name);
        let allowed = job.passage.route.attempts;
        let outcome = Outcome::MayHaveRun;
        next_step(outcome, &mut attempts, job.may_repeat(), allowed, spend) == NextStep::Retry
    }

    fn finish(&mut self) -> Option<Bytes> {
        let bytes = self.bytes;
        if let Some(source) = self.source.take() {
            self.track.paused(self.longest);
            self.track.ended(200, Some(&source.target.id), bytes);
            quarantine::note_good(&self.job);
            if !source.closing {
                self.job
                    .keep_lane(&source.target.id, source.lane, source.keep);
            }
        }
        None
    }

    fn break_off(&mut self, why: &str) -> BrokenOff {
        let target = self.tried.last().cloned().unwrap_or_default();
        self.track.paused(self.longest);
        self.track.broke_off(&target, self.bytes, why);
        BrokenOff
    }
}
