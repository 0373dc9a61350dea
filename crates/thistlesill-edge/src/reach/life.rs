//! Whether single targets read what they are sent, by what they send and by checks.

use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use thistlesill_core::Millis;
use thistlesill_core::edge::{Service, Target, TargetId};
use thistlesill_platform::engine::Check;
use thistlesill_policy::edge::life::{
    CheckOutcome, CheckState, checks_since, may_stand_still, signs_since,
};

use super::checks::check_target;
use crate::state::Edge;

/// Targets that are asked at once whether one of them goes on.
const ASKED_TARGETS: usize = 3;
/// Time in which a check has ended, with what it waits for before it begins.
const CHECK_END: Millis = Millis::new(400);

/// Returns whether a target goes on: it has just sent something, or answers a check. One that may not
/// be asked is taken to do so.
pub(crate) async fn shows_life(edge: &Rc<Edge>, service: &Service, target: &Target) -> bool {
    if has_sent_lately(edge, &target.id) {
        return true;
    }
    let since = signs_since(edge.now());
    match check_since(edge, service, target, since).await {
        CheckOutcome::Answers | CheckOutcome::Unknown => true,
        CheckOutcome::Silent | CheckOutcome::Unreached => false,
    }
}

/// Returns whether one of some targets goes on, as [`shows_life`] does.
pub(crate) async fn any_shows_life(edge: &Rc<Edge>, service: &Service, targets: &[Target]) -> bool {
    if targets
        .iter()
        .any(|target| has_sent_lately(edge, &target.id))
    {
        return true;
    }
    let asked = targets.iter().take(ASKED_TARGETS);
    let mut answers: FuturesUnordered<_> = asked
        .map(|target| shows_life(edge, service, target))
        .collect();
    while let Some(goes_on) = answers.next().await {
        if goes_on {
            return true;
        }
    }
    false
}

/// Returns whether a target may still read a request that was sent to it at `sent`: it accepts
/// connections, answers no check that began after that, and has been silent for less time than
/// targets stand still.
pub(crate) async fn may_read_late(
    edge: &Rc<Edge>,
    service: &Service,
    target: &Target,
    sent: Millis,
) -> bool {
    let has_read = edge
        .links
        .checks
        .borrow()
        .has_answered_since(&target.id, sent);
    if has_read {
        return false;
    }
    let outcome = check_since(edge, service, target, checks_since(sent, edge.now())).await;
    let since = edge.loads.borrow().progress(&target.id).max(sent);
    may_stand_still(outcome, edge.now() - since)
}

/// Returns whether the last check of a target was not answered, and nothing came from it since.
pub(crate) fn is_unresponsive(edge: &Edge, id: &TargetId) -> bool {
    let progress = edge.loads.borrow().progress(id);
    let checks = edge.links.checks.borrow();
    checks.speak_against(id, progress, edge.now())
}

fn has_sent_lately(edge: &Edge, id: &TargetId) -> bool {
    edge.loads.borrow().progress(id) >= signs_since(edge.now())
}

/// Returns what a check of a target shows that began at `since` or later; begins one if there is none.
async fn check_since(
    edge: &Rc<Edge>,
    service: &Service,
    target: &Target,
    since: Millis,
) -> CheckOutcome {
    let deadline = edge.now() + CHECK_END;
    loop {
        let ended = edge.links.checked_one.notified();
        match edge.links.checks.borrow().state(&target.id, since) {
            CheckState::Ended(outcome) => return outcome,
            CheckState::Pending => {}
            CheckState::Missing if edge.limits.is_limited(&target.id, edge.now()) => {
                return CheckOutcome::Unknown;
            }
            CheckState::Missing => begin_check(edge, service, target),
        }
        if edge.alarm.timeout_at(deadline, ended).await.is_none() {
            return unfinished(edge, target);
        }
    }
}

/// Returns what it shows that no check of a target has ended in time, which later checks that began
/// meanwhile may cause: no life, unless the check may have waited for the target's rate limit.
fn unfinished(edge: &Edge, target: &Target) -> CheckOutcome {
    if edge.limits.is_limited(&target.id, edge.now()) {
        CheckOutcome::Unknown
    } else {
        CheckOutcome::Silent
    }
}

/// Asks one target whether it answers.
pub(super) fn begin_check(edge: &Rc<Edge>, service: &Service, target: &Target) {
    let (edge, target, health) = (edge.clone(), target.clone(), service.health.clone());
    let runs_models = service.engine.is_some();
    tokio::task::spawn_local(async move {
        let check = if runs_models {
            Check::Report
        } else {
            Check::Health(&health)
        };
        check_target(&edge, &target, check).await;
    });
}
