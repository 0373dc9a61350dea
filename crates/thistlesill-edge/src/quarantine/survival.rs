//! Answers to requests that may crash targets.
//!
//! A target may end right after a whole answer, or while the answer is on its way here. An answer
//! therefore clears a suspect only once its target has gone on after it.

use std::rc::Rc;

use thistlesill_core::edge::Target;
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_policy::quarantine::{AnswerPhase, Fate, UnansweredRequest};

use super::{announce_progress, end_silent_trials, unanswered};
use crate::job::Job;
use crate::reach::life;
use crate::state::Edge;

/// Time after the beginning of an answer within which a request crashes its target.
const SURVIVAL_TIME: Millis = Millis::new(100);

/// An answer to a suspected request, which came whole.
struct Answer {
    job: Rc<Job>,
    target: Target,
    /// What is kept if the target does not go on.
    request: UnansweredRequest,
}

/// Records that a target answered a request successfully, with an answer that began at `began` and had
/// come as far as `phase`.
pub(crate) fn note_success(job: &Rc<Job>, target: &Target, began: Millis, phase: AnswerPhase) {
    let quarantine = &job.edge.quarantine;
    if !quarantine.is_suspected(job) {
        return;
    }
    let is_new = quarantine.surviving.borrow_mut().insert(job.fingerprint());
    if !is_new && job.tried.borrow().is_empty() {
        // The answer that is waited for tells the same.
        return;
    }
    let now = job.edge.now();
    let answer = Answer {
        job: job.clone(),
        target: target.clone(),
        request: UnansweredRequest {
            id: job.head.id.clone(),
            keys: job.keys().clone(),
            tried: job.tried.take(),
            phase,
            seen: now,
            ended: now,
            answered: Some(began),
        },
    };
    tokio::task::spawn_local(await_survival(answer));
}

/// Clears the request once its target has gone on, or keeps it until it is known what became of that.
async fn await_survival(answer: Answer) {
    let edge = &answer.job.edge;
    let began = answer.request.answered.unwrap_or(answer.request.ended);
    edge.alarm.sleep_until(began + SURVIVAL_TIME).await;
    let goes_on = goes_on(&answer).await;
    let print = answer.request.keys.whole;
    edge.quarantine.surviving.borrow_mut().remove(&print);
    if goes_on {
        let part_of = |print| answer.job.part_of(print);
        conclude(edge, &answer.request, part_of);
    } else {
        unanswered::keep(edge, &answer.target.id, answer.request);
    }
}

/// Returns whether the target has gone on after its answer. One that leaves as planned has.
async fn goes_on(answer: &Answer) -> bool {
    let (edge, target) = (&answer.job.edge, &answer.target);
    let catalog = edge.catalog();
    let service = catalog.as_ref().and_then(|c| c.service(&target.service));
    match (unanswered::fate(edge, &target.id), service) {
        (Fate::Left, _) | (Fate::Listed(_), None) => true,
        (Fate::Ended, _) => false,
        (Fate::Listed(_), Some(service)) => {
            life::shows_life(edge, service, target).await
                && unanswered::fate(edge, &target.id) != Fate::Ended
        }
    }
}

/// Ends the wait for a target that goes on: a request that it has answered is cleared.
pub(super) fn conclude<'a>(
    edge: &Edge,
    request: &UnansweredRequest,
    part_of: impl Fn(Fingerprint) -> Option<&'a str>,
) {
    if let Some(began) = request.answered {
        if edge.quarantine.awaits_signs() {
            let mut unanswered = edge.quarantine.unanswered.borrow_mut();
            unanswered.note_sound(request.keys.iter(), began);
        }
        let now = edge.now();
        let verdicts = {
            let mut known = edge.quarantine.known.borrow_mut();
            let whole = known.note_success(request.keys.whole, now);
            let parts = known.note_request_progress(&request.keys, began, now);
            whole.into_iter().chain(parts)
        };
        announce_progress(edge, verdicts, &request.id, part_of);
    }
    end_silent_trials(edge, &request.id, &request.tried);
}
