//! Checks whether targets answer, on connections of their own.

use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::Target;
use thistlesill_core::{Millis, ServiceName};
use thistlesill_net::lane::within;
use thistlesill_platform::engine::{self, Check};
use thistlesill_policy::edge::life::CheckOutcome;
use thistlesill_policy::edge::reach::{FailureKind, Reach};

use super::{failure_kind, is_own_delay, life, may_be_asked, note_answer, note_failure};
use crate::limits;
use crate::peers::packet::Permit;
use crate::state::Edge;

/// Time between two rounds of checks while links are lost or a loss depends on the checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two rounds of checks because of a doubt: a target that breaks off its answers
/// raises doubts all the time, and a check costs a plain service as much as a request.
const DOUBT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after a target failed in which others may answer, before some are asked.
const DOUBT_DELAY: Duration = Duration::from_millis(50);
/// Time limit of a check; a healthy target answers within some milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks whether targets answer, while links are lost; never returns.
pub(crate) async fn check_lost(edge: Rc<Edge>) {
    loop {
        let lost = edge.links.lost_services();
        for service in &lost {
            check_service(&edge, service, Occasion::Loss);
        }
        if lost.is_empty() {
            edge.links.lost.notified().await;
        } else {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Checks whether targets answer, after one of them failed and no other one has answered since;
/// never returns.
pub(crate) async fn check_doubted(edge: Rc<Edge>) {
    loop {
        edge.links.doubted.notified().await;
        tokio::time::sleep(DOUBT_DELAY).await;
        for (service, since) in edge.links.doubted() {
            if !has_progress(&edge, &service, since) {
                check_service(&edge, &service, Occasion::Doubt);
            }
        }
        tokio::time::sleep(DOUBT_INTERVAL).await;
    }
}

/// Checks whether targets answer in data centres where none has failed, and those that were active
/// last, after enough others failed for a loss; never returns.
///
/// Streams that go on count for nothing here, since established connections may live on while new
/// ones are refused.
pub(crate) async fn check_undecided(edge: Rc<Edge>) {
    loop {
        edge.links.unclear.notified().await;
        let undecided = std::mem::take(&mut *edge.links.undecided.borrow_mut());
        for service in &undecided {
            check_service(&edge, service, Occasion::Undecided);
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns whether a target of a service has sent something to this daemon after `since`.
fn has_progress(edge: &Edge, service: &ServiceName, since: Millis) -> bool {
    let (registry, loads) = (edge.registry.borrow(), edge.loads.borrow());
    let targets = registry.of_service(service).into_iter().flatten();
    targets
        .into_iter()
        .any(|(id, _)| loads.progress(id) > since)
}

/// Why targets are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Occasion {
    /// One of them failed.
    Doubt,
    /// Enough of them failed for a loss, but others have to be asked.
    Undecided,
    /// The links to all of them are lost.
    Loss,
}

/// Asks some targets of a service whether they answer.
pub(super) fn check_service(edge: &Rc<Edge>, service: &ServiceName, occasion: Occasion) {
    let Some(catalog) = edge.catalog() else {
        return;
    };
    let Some(service) = catalog.service(service) else {
        edge.links.services.borrow_mut().remove(service);
        return;
    };
    for target in draw_targets(edge, &service.name, occasion) {
        life::begin_check(edge, service, &target);
    }
}

/// Asks a target whether it answers. A health check counts as a request under its rate limit, a load
/// report does not.
pub(super) async fn check_target(edge: &Edge, target: &Target, check: Check<'_>) {
    let opened = edge.now();
    edge.links.checks.borrow_mut().begin(&target.id, opened);
    let outcome = ask_target(edge, target, check, opened).await;
    edge.links
        .checks
        .borrow_mut()
        .end(&target.id, opened, outcome);
    edge.links.checked_one.notify_waiters();
}

async fn ask_target(
    edge: &Edge,
    target: &Target,
    check: Check<'_>,
    opened: Millis,
) -> CheckOutcome {
    let may_ask = match check {
        Check::Report => true,
        Check::Health(_) => {
            let clearance = limits::obtain_clearance(edge, target, Permit::NotNeeded, opened);
            clearance.await.is_some()
        }
    };
    if !may_ask {
        return CheckOutcome::Unknown;
    }
    let until = within(CHECK_TIMEOUT);
    match engine::check(&target.id, target.address, check, until).await {
        Ok(()) => {
            note_answer(edge, target, opened);
            CheckOutcome::Answers
        }
        Err(error) if error.has_reached() => {
            note_answer(edge, target, opened);
            CheckOutcome::Answers
        }
        Err(error) => {
            log::debug!("reach: {}: {error}", target.id);
            let kind = failure_kind(&error);
            if is_own_delay(edge, kind, opened) {
                return CheckOutcome::Unknown;
            }
            note_failure(edge, target, opened, kind);
            match kind {
                FailureKind::Silent => CheckOutcome::Silent,
                FailureKind::Unreached => CheckOutcome::Unreached,
            }
        }
    }
}

/// Draws targets of a service to check. A doubt is worth no request of a target that takes only a
/// limited number.
pub(super) fn draw_targets(edge: &Edge, service: &ServiceName, occasion: Occasion) -> Vec<Target> {
    let (registry, services) = (edge.registry.borrow(), edge.links.services.borrow());
    let Some(targets) = registry.of_service(service) else {
        return Vec::new();
    };
    let now = edge.now();
    let may_ask = |t: &&Target| {
        let too_dear = occasion == Occasion::Doubt && edge.limits.is_limited(&t.id, now);
        may_be_asked(&registry, t) && !too_dear && !edge.backoffs.is_active(&t.id, now)
    };
    let asked = targets.values().filter(may_ask);
    let rng = &mut *edge.rng.borrow_mut();
    let drawn = match services.get(service) {
        Some(reach) => reach.draw_checks(asked, rng),
        None => Reach::default().draw_checks(asked, rng),
    };
    drawn.into_iter().cloned().collect()
}
