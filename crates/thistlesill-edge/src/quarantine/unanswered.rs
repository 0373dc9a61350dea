//! Requests that end without an answer while their targets are silent.

use std::rc::Rc;

use thistlesill_core::edge::{Incarnation, Target, TargetId};
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_policy::quarantine::{
    AnswerPhase, CheckAnswer, Fate, Finding, LossCause, LossCheck, UnansweredRequest,
};

use super::{announce_effect, checks, end_silent_trials, note_lost, survival};
use crate::job::Job;
use crate::state::Edge;

/// Silence after which a target that has begun an answer may have ended. Events follow each other within
/// some tens of milliseconds.
const MIN_SILENCE: Millis = Millis::new(200);

/// A request that a target has and has not answered. Unless it is settled, the request is kept as
/// unanswered when this value is dropped.
pub(crate) struct Awaited {
    job: Rc<Job>,
    target: TargetId,
    phase: AnswerPhase,
    /// When the target last sent something of the answer, or was sent the request.
    seen: Millis,
    is_settled: bool,
}

impl Awaited {
    /// Creates the state of a request that is sent to a target now.
    pub(crate) fn new(job: &Rc<Job>, target: &TargetId) -> Self {
        let now = job.edge.now();
        Self {
            job: job.clone(),
            target: target.clone(),
            phase: AnswerPhase::Waiting(now),
            seen: now,
            is_settled: false,
        }
    }

    /// Records that the target sent a part of the answer.
    pub(crate) fn note_progress(&mut self, phase: AnswerPhase) {
        self.phase = phase;
        self.seen = self.job.edge.now();
    }

    /// Records that the connection to the target was lost. After the deadline that says nothing, and the
    /// request stays unanswered.
    pub(crate) fn note_lost(
        &mut self,
        job: &Job,
        target: &Target,
        phase: AnswerPhase,
        reason: &str,
    ) {
        self.phase = phase;
        self.is_settled |= note_lost(job, target, phase, reason);
    }

    /// Records that it is known what became of the request.
    pub(crate) fn settle(&mut self) {
        self.is_settled = true;
    }

    /// Returns whether the target may have ended under the request.
    fn is_doubtful(&self, now: Millis) -> bool {
        let edge = &self.job.edge;
        let last = self.seen.max(edge.loads.borrow().progress(&self.target));
        let is_waiting = matches!(self.phase, AnswerPhase::Waiting(_));
        !self.is_settled
            && (is_waiting || now - last >= MIN_SILENCE)
            && !edge.registry.borrow().is_leaving(&self.target)
    }
}

impl Drop for Awaited {
    fn drop(&mut self) {
        let edge = &self.job.edge;
        let now = edge.now();
        if !self.is_doubtful(now) {
            return;
        }
        let request = UnansweredRequest {
            id: self.job.head.id.clone(),
            keys: self.job.keys().clone(),
            tried: self.job.tried.take(),
            phase: self.phase,
            seen: self.seen,
            ended: now,
            answered: None,
        };
        keep(edge, &self.target, request);
    }
}

/// Keeps a request until it is known what became of its target.
pub(super) fn keep(edge: &Edge, target: &TargetId, request: UnansweredRequest) {
    let dropped = {
        let mut unanswered = edge.quarantine.unanswered.borrow_mut();
        unanswered.keep(target.clone(), request)
    };
    if let Some(dropped) = dropped {
        end_silent_trials(edge, &dropped.id, &dropped.tried);
    }
}

/// Decides on the unanswered requests whose targets have shown life or have ended.
pub(crate) fn review(edge: &Edge) {
    if edge.quarantine.unanswered.borrow().is_empty() {
        return;
    }
    let findings = {
        let mut unanswered = edge.quarantine.unanswered.borrow_mut();
        unanswered.review(|target| fate(edge, target), edge.now())
    };
    for finding in findings {
        match finding {
            Finding::Lost(target, request) => note_silent_loss(edge, &target, &request),
            Finding::Dropped(request) => survival::conclude(edge, &request, |_| None),
            Finding::Returned(target, _) if target.incarnation() == Incarnation::default() => {}
            Finding::Returned(target, keys) => refute(edge, &target, keys),
        }
    }
}

/// Returns what became of a target.
pub(super) fn fate(edge: &Edge, target: &TargetId) -> Fate {
    let registry = edge.registry.borrow();
    if registry.is_leaving(target) {
        Fate::Left
    } else if registry.is_current(target) {
        Fate::Listed(edge.loads.borrow().progress(target))
    } else {
        Fate::Ended
    }
}

/// Records that a target has ended under a request that it had not answered.
fn note_silent_loss(edge: &Edge, target: &TargetId, request: &UnansweredRequest) {
    let now = edge.now();
    let effect = {
        let mut known = edge.quarantine.known.borrow_mut();
        known.note_silent_loss(request, target, now)
    };
    edge.lines
        .line("lost_in_silence")
        .with("id", &request.id)
        .with("target", target)
        .with("print", request.keys.whole)
        .with("answer", request.phase.name())
        .with("silent_ms", (now - request.seen).get())
        .with("tried", request.tried.len())
        .write();
    let cause = LossCause::Silence;
    let print = request.keys.whole;
    edge.quarantine
        .queue_loss(print, target, &effect, request.phase, cause);
    announce_effect(edge, effect, &request.id, |_| None);
}

/// Takes back the losses of a target that is listed again under the same incarnation: it has not ended.
fn refute(edge: &Edge, target: &TargetId, mut keys: Vec<Fingerprint>) {
    keys.sort_unstable();
    keys.dedup();
    let check = LossCheck {
        lost: target.clone(),
        begun: edge.now(),
        answer: CheckAnswer::Named(target.clone()),
    };
    checks::conclude(edge, &keys, &[check]);
}
