//! Whether single targets read what they are sent, by what they send and by checks.

use std::rc::Rc;

use thistlesill_core::Millis;
use thistlesill_core::edge::{Service, Target, TargetId};
use thistlesill_platform::engine::Check;
use thistlesill_policy::edge::life::{CheckState, Verdict, signs_since};

use super::check_target;
use crate::state::Edge;

/// Time in which a check has ended, with what it waits for before it begins.
const CHECK_END: Millis = Millis::new(400);

/// Returns whether a target goes on: it has just sent something, or answers a check. One that may not
/// be asked is taken to do so.
pub(crate) async fn shows_life(edge: &Rc<Edge>, service: &Service, target: &Target) -> bool {
    if has_sent_lately(edge, &target.id) {
        return true;
    }
    let since = signs_since(edge.now());
    match verdict(edge, service, target, since).await {
        Verdict::Answers | Verdict::Unknown => true,
        Verdict::Silent | Verdict::Unreached => false,
    }
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
pub(crate) async fn verdict(
    edge: &Rc<Edge>,
    service: &Service,
    target: &Target,
    since: Millis,
) -> Verdict {
    let deadline = edge.now() + CHECK_END;
    loop {
        let ended = edge.links.checked_one.notified();
        match edge.links.checks.borrow().state(&target.id, since) {
            CheckState::Ended(verdict) => return verdict,
            CheckState::Pending => {}
            CheckState::Missing if edge.limits.is_limited(&target.id, edge.now()) => {
                return Verdict::Unknown;
            }
            CheckState::Missing => begin_check(edge, service, target),
        }
        if edge.alarm.timeout_at(deadline, ended).await.is_none() {
            return Verdict::Unknown;
        }
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
