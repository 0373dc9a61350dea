//! Resumes streams at another target or through a peer.

use thistlesill_core::{ErrorKind, Millis, NodeId};
use thistlesill_policy::edge::attempt::{NextStep, Outcome};
use thistlesill_policy::edge::reach::LinkState;

use super::{Relay, Source, Stop};
use crate::attempt::{Answered, Failure, attempt};
use crate::choice::{Choice, Pick};
use crate::destination::{Destination, Tried};
use crate::forward::{self, Way};
use crate::proxy::resolve_failure;
use crate::quarantine;
use crate::reply::Interrupted;

/// How long a peer must reach the targets, and this daemon not, before a silent source is given up: two
/// rounds of the checks of lost links.
const MIN_CUT_OFF: Millis = Millis::new(500);
/// How long a stream that has lost its target waits until it may be tried: a first verdict lasts as long.
const MAX_WITHHELD: Millis = Millis::new(1_000);

/// Why the rest of a stream cannot be requested from another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Obstacle {
    /// The target has the request, and others are reached no better.
    Waiting,
    /// No attempt is left.
    Spent,
    /// No retry budget covers another attempt.
    Unpaid,
    /// Neither this daemon nor a peer reaches the targets.
    NoWay,
    /// The targets that were tried accept no connection, or show no sign of life.
    Unsent,
    /// No target takes the request now.
    NoTarget,
    /// The request is withheld for this much longer.
    Withheld(Millis),
    /// The target or peer that was asked answered with a failure.
    Refused,
}

impl Obstacle {
    /// Returns the reason in the request's log line.
    const fn text(self) -> &'static str {
        match self {
            Self::Waiting => "its target has the request, and no peer reaches another one",
            Self::Spent => "no attempt is left",
            Self::Unpaid => "no retry budget covers another attempt",
            Self::NoWay => "neither this daemon nor a peer reaches the targets",
            Self::Unsent => "the targets that were tried take no request",
            Self::NoTarget => "no target takes the rest of the stream",
            Self::Withheld(_) => "the request is withheld",
            Self::Refused => "the rest of the stream was answered with a failure",
        }
    }

    /// Returns the outcome of a stream that ends for this reason.
    const fn outcome(self) -> &'static str {
        match self {
            Self::Withheld(_) => ErrorKind::Withheld.name(),
            Self::Waiting
            | Self::Spent
            | Self::Unpaid
            | Self::NoWay
            | Self::Unsent
            | Self::NoTarget
            | Self::Refused => "broke_off",
        }
    }

    /// Returns whether the rest of the stream may be requested after a while.
    fn is_passing(self) -> bool {
        match self {
            Self::NoWay | Self::Unsent => true,
            Self::Withheld(left) => left <= MAX_WITHHELD,
            _ => false,
        }
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

impl Relay {
    /// Resumes the stream at another target or through a peer, if that is allowed and one can.
    /// Otherwise keeps waiting for a stalled source, and fails if the source is lost.
    pub(super) async fn resume(&mut self, stop: Stop) -> Result<(), Interrupted> {
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
    /// A stream that has no source left waits for targets that all stand still, and until its request may
    /// be tried if that is soon. One that a peer passed on ends, since that peer may have another way. A
    /// source that is open is given up only if this daemon stays cut off: after a common silence peers may
    /// reach the targets a moment earlier.
    fn after(&mut self, obstacle: Obstacle) -> Next {
        let now = self.job.edge.now();
        let cut_off = self.can_caller_resume();
        if !cut_off {
            self.cut_off = None;
        }
        if self.source.is_some() {
            let is_lasting = cut_off && now - *self.cut_off.get_or_insert(now) >= MIN_CUT_OFF;
            if is_lasting { Next::End } else { Next::Stay }
        } else if cut_off {
            Next::End
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
        if !self.has_attempt() {
            return Err(Obstacle::Spent);
        }
        if forward::way(&self.job, &self.tried.peers) == Way::Nowhere {
            return Err(Obstacle::NoWay);
        }
        if !self.job.withdraw_retry() {
            return Err(Obstacle::Unpaid);
        }
        loop {
            let job = self.job.clone();
            let way = forward::way(&job, &self.tried.peers);
            if way == Way::Direct
                && let Some(left) = quarantine::withheld(&job)
            {
                self.track.withheld(job.fingerprint());
                return Err(Obstacle::Withheld(left));
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
            let (destination, end) = match end {
                Some(end) => end,
                None if self.attempts.unsent > 0 => return Err(Obstacle::Unsent),
                None => return Err(Obstacle::NoTarget),
            };
            match end {
                Ok(answered) => return self.continue_with(answered, &destination, reason),
                Err(failure) => self.record_failure(&destination, &failure)?,
            }
        }
    }

    /// Continues the stream with the answer to the request for its rest, if that is a success.
    fn continue_with(
        &mut self,
        answered: Answered,
        destination: &Destination,
        reason: &str,
    ) -> Result<(), Obstacle> {
        self.attempts.sent += answered.sent;
        if !answered.status.is_success() {
            return Err(Obstacle::Refused);
        }
        let from = self.tried.targets.first().cloned().unwrap_or_default();
        let last_event = self.last_event();
        self.track
            .resumed(&from, destination, last_event.as_deref(), reason);
        // A target that only paused may still complete an event that it began, so the partial event
        // is kept until another target resumes the stream.
        self.cutter.drop_partial();
        self.source = Some(Source::new(answered, self.job.edge.now()));
        self.stay = false;
        self.cut_off = None;
        Ok(())
    }

    /// Records the failure of an attempt, after which another one may follow.
    fn record_failure(
        &mut self,
        destination: &Destination,
        failure: &Failure,
    ) -> Result<(), Obstacle> {
        let (job, tried, track) = (&self.job, &self.tried, &self.track);
        let attempts = &mut self.attempts;
        match resolve_failure(job, destination, failure, tried, attempts, track) {
            NextStep::Retry => Ok(()),
            _ if failure.outcome == Outcome::NotSent => Err(Obstacle::Unsent),
            _ if self.has_attempt() => Err(Obstacle::Unpaid),
            _ => Err(Obstacle::Spent),
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

    /// Returns whether the route allows another attempt.
    fn has_attempt(&self) -> bool {
        self.job.may_repeat() && self.attempts.sent < self.job.admission.route.attempts
    }
}
