//! Whether this daemon reaches the targets of each service, by what it observes itself.

mod checks;
pub(crate) mod life;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{Millis, ServiceName};
use thistlesill_net::lane::ConnectionError;
use thistlesill_policy::edge::book::TargetRegistry;
use thistlesill_policy::edge::life::{Checks, signs_since};
use thistlesill_policy::edge::reach::{FailedTarget, FailureKind, LinkState, Reach, ReachChange};
use tokio::sync::Notify;

use self::checks::{Occasion, check_service, draw_targets};
pub(crate) use self::checks::{check_doubted, check_lost, check_undecided};
pub(crate) use self::life::{any_shows_life, is_unresponsive, may_read_late, shows_life};
use crate::peers::packet::{LostLinks, Packet};
use crate::peers::{Reach as Scope, link};
use crate::state::Edge;

/// How long an answer that confirms a failure is awaited.
const CONFIRM_TIMEOUT: Millis = Millis::new(250);
/// Time after a check was answered in which targets that stood still with the others go on.
const RESUME_TIME: Millis = Millis::new(100);

/// This daemon's links to the targets, by service.
#[derive(Debug, Default)]
pub(crate) struct Links {
    services: RefCell<HashMap<ServiceName, Reach>>,
    /// When targets of a service were last asked to confirm a failure.
    checked: RefCell<HashMap<ServiceName, Millis>>,
    /// The last check of each target.
    checks: RefCell<Checks>,
    /// Services of which enough targets failed for a loss, but none in some data centre, or not all
    /// that were active last.
    undecided: RefCell<HashSet<ServiceName>>,
    /// Notified when a target answers on a new connection.
    answered: Notify,
    /// Notified when a check of a target has ended.
    checked_one: Notify,
    /// Notified when links are lost.
    lost: Notify,
    /// Notified when a target has failed.
    doubted: Notify,
    /// Notified when `undecided` grows.
    unclear: Notify,
}

impl Links {
    /// Returns the services to whose targets the links are lost.
    pub(crate) fn lost_services(&self) -> Vec<ServiceName> {
        let services = self.services.borrow();
        let lost = services.iter().filter(|(_, reach)| reach.is_lost());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns whether the links to the targets of a service are lost.
    pub(crate) fn is_lost(&self, service: &ServiceName) -> bool {
        let services = self.services.borrow();
        services.get(service).is_some_and(Reach::is_lost)
    }

    /// Returns the state of the links to the targets of a service.
    pub(crate) fn state(&self, service: &ServiceName, now: Millis) -> LinkState {
        let services = self.services.borrow();
        let reach = services.get(service);
        reach.map_or(LinkState::Up, |reach| reach.state(now))
    }

    /// Returns when a target of a service that made its last progress at `seen` began to be silent
    /// alone.
    pub(crate) fn silent_since(&self, service: &ServiceName, seen: Millis) -> Millis {
        let services = self.services.borrow();
        let reach = services.get(service);
        reach.map_or(seen, |reach| reach.silent_since(seen))
    }

    fn has_progressed_since(&self, service: &ServiceName, since: Millis) -> bool {
        let services = self.services.borrow();
        let reach = services.get(service);
        reach.is_some_and(|reach| reach.has_progressed_since(since))
    }

    /// Forgets the checks of targets that are not `known`.
    pub(crate) fn retain(&self, known: impl Fn(&TargetId) -> bool) {
        self.checks.borrow_mut().retain(known);
    }

    /// Returns since when the links to the targets of a service are in doubt, if they are.
    pub(crate) fn doubted_since(&self, service: &ServiceName) -> Option<Millis> {
        self.services.borrow().get(service)?.doubted_since()
    }

    fn has_answered_since(&self, service: &ServiceName, since: Millis) -> bool {
        let services = self.services.borrow();
        services
            .get(service)
            .is_some_and(|reach| reach.has_answered_since(since))
    }

    /// Returns whether targets of a service should be asked to confirm a failure that began at
    /// `since`; one round of checks confirms all that failed before it, and is not repeated at once.
    fn begin_check(&self, service: &ServiceName, since: Millis, now: Millis) -> bool {
        let mut checked = self.checked.borrow_mut();
        let suffices = |at: &Millis| *at >= since || now - *at < CONFIRM_TIMEOUT;
        if checked.get(service).is_some_and(suffices) {
            return false;
        }
        checked.insert(service.clone(), now);
        true
    }

    /// Returns the services whose links are in doubt, and since when.
    fn doubted(&self) -> Vec<(ServiceName, Millis)> {
        let services = self.services.borrow();
        let doubted = services.iter().filter(|(_, reach)| !reach.is_lost());
        let doubted = doubted.filter_map(|(name, r)| Some((name.clone(), r.doubted_since()?)));
        doubted.collect()
    }
}

/// Records that a target answered on a connection that this daemon opened at `opened`.
pub(crate) fn note_answer(edge: &Edge, target: &Target, opened: Millis) {
    let change = update(edge, &target.service, |reach, now, targets| {
        reach.note_answer(&target.id, opened, now, targets)
    });
    edge.links.answered.notify_waiters();
    react(edge, &target.service, change);
}

/// Records that a target made progress on a request.
pub(crate) fn note_progress(edge: &Edge, target: &Target) {
    let now = edge.now();
    edge.loads.borrow_mut().note_progress(&target.id, now);
    let mut services = edge.links.services.borrow_mut();
    let reach = services.entry(target.service.clone()).or_default();
    reach.note_progress(now);
    reach.note_active(&target.id);
}

/// Records that an exchange with a target, which began at `begun`, was broken off or had no answer.
pub(crate) fn note_doubt(edge: &Edge, target: &Target, begun: Millis) {
    let change = update(edge, &target.service, |reach, _, _| reach.note_doubt(begun));
    react(edge, &target.service, change);
}

/// Returns what an error says of the target.
pub(crate) const fn failure_kind(error: &ConnectionError) -> FailureKind {
    match error {
        ConnectionError::TimedOut => FailureKind::Silent,
        _ => FailureKind::Unreached,
    }
}

/// Returns whether a target that did not answer since `begun` may have done so in time: this daemon was
/// late itself.
pub(crate) fn is_own_delay(edge: &Edge, kind: FailureKind, begun: Millis) -> bool {
    kind == FailureKind::Silent && edge.delay.was_late_since(begun, edge.now())
}

/// Records that a target was not reached, by a connection or check that began at `begun`.
pub(crate) fn note_failure(edge: &Edge, target: &Target, begun: Millis, kind: FailureKind) {
    let change = {
        let registry = edge.registry.borrow();
        let known = registry.of_service(&target.service);
        let can_ask = |id: &TargetId| {
            let listed = known.and_then(|targets| targets.get(id));
            let now = edge.now();
            listed.is_some_and(|t| may_be_asked(&registry, t))
                && !edge.limits.is_limited(id, now)
                && !edge.backoffs.is_active(id, now)
        };
        let asked = known.into_iter().flat_map(HashMap::values);
        let asked = asked.filter(|t| may_be_asked(&registry, t));
        let failed = FailedTarget {
            id: &target.id,
            hall: &target.hall,
            begun,
            kind,
        };
        update(edge, &target.service, |reach, now, targets| {
            reach.retain_recent(can_ask);
            reach.note_failure(failed, now, targets, asked.map(|t| &t.hall))
        })
    };
    react(edge, &target.service, change);
}

/// Returns whether a target is neither leaving nor evacuated.
fn may_be_asked(registry: &TargetRegistry, target: &Target) -> bool {
    !registry.is_leaving(&target.id) && !registry.is_evacuated(&target.hall)
}

/// Applies an observation to the links to a service, with the time and the number of its targets.
fn update(
    edge: &Edge,
    service: &ServiceName,
    step: impl FnOnce(&mut Reach, Millis, usize) -> ReachChange,
) -> ReachChange {
    let registry = edge.registry.borrow();
    let targets = registry.of_service(service).map_or(1, HashMap::len);
    let mut services = edge.links.services.borrow_mut();
    let reach = services.entry(service.clone()).or_default();
    step(reach, edge.now(), targets)
}

fn react(edge: &Edge, service: &ServiceName, change: ReachChange) {
    match change {
        ReachChange::Unchanged => return,
        ReachChange::Doubtful => {
            edge.links.doubted.notify_one();
            return;
        }
        ReachChange::Undecided => {
            let mut undecided = edge.links.undecided.borrow_mut();
            undecided.insert(service.clone());
            edge.links.unclear.notify_one();
            return;
        }
        ReachChange::Lost => {
            log_loss(edge, service);
            forget_suspicions(edge, service);
            edge.links.lost.notify_waiters();
        }
        ReachChange::Restored(after) => {
            let line = edge.lines.line("links_restored").with("service", service);
            line.with("after_ms", after.get()).write();
        }
    }
    metrics::gauge!("thistlesill_edge_services_out_of_reach")
        .set(edge.links.lost_services().len() as f64);
    report(edge, Scope::All);
}

/// Logs that links are lost. A silence of the targets differs from a loss of the own links in the
/// failures, and in the peers that report the same.
fn log_loss(edge: &Edge, service: &ServiceName) {
    let services = edge.links.services.borrow();
    let failures = services.get(service).into_iter().flat_map(Reach::failures);
    let failures: Vec<FailureKind> = failures.collect();
    let silent = failures.iter().filter(|k| **k == FailureKind::Silent);
    let (hall, now) = (edge.settings().hall.clone(), edge.now());
    let reaching = edge.peers.borrow().reaching(service, &hall, now).count();
    edge.lines
        .line("links_lost")
        .with("service", service)
        .with("failed", failures.len())
        .with("silent", silent.count())
        .with("peers_reaching", reaching)
        .write();
}

/// Drops the suspicions of the targets of a service, which the loss of the links explains, and the
/// connections to them, which may be dead without notice.
fn forget_suspicions(edge: &Edge, service: &ServiceName) {
    let registry = edge.registry.borrow();
    for id in registry
        .of_service(service)
        .into_iter()
        .flat_map(HashMap::keys)
    {
        edge.loads.borrow_mut().clear_suspicion(id);
        edge.lanes.close_idle(id);
    }
}

/// Sends the peers the services whose targets this daemon does not reach.
fn report(edge: &Edge, scope: Scope) {
    let lost = LostLinks {
        from: edge.settings().name.clone(),
        services: edge.links.lost_services(),
    };
    link::broadcast(edge, &Packet::LinksLost(lost), scope);
}

/// Repeats the report to the peers within `scope` while links are lost.
pub(crate) fn report_again(edge: &Edge, scope: Scope) {
    if !edge.links.lost_services().is_empty() {
        report(edge, scope);
    }
}

/// Receives a peer's report.
pub(crate) fn receive(edge: &Edge, lost: LostLinks) {
    let until = edge.now() + edge.peer_data_lifetime();
    edge.peers.borrow_mut().set_lost_links(lost, until);
}

/// Returns once the links to the targets of a service are lost.
pub(crate) async fn wait_until_lost(edge: &Edge, service: &ServiceName) {
    loop {
        let lost = edge.links.lost.notified();
        if edge.links.is_lost(service) {
            return;
        }
        lost.await;
    }
}

/// Returns once the links to the targets of a service are not lost.
pub(crate) async fn wait_until_restored(edge: &Edge, service: &ServiceName) {
    loop {
        let answered = edge.links.answered.notified();
        if !edge.links.is_lost(service) {
            return;
        }
        answered.await;
    }
}

/// Returns whether the targets of a service have answered since `since`, which an exchange with one
/// of them that failed began at. If none has, some are asked.
///
/// Without an answer the failure says nothing about that one target: this daemon may have lost its
/// links to all of them.
pub(crate) async fn is_confirmed(edge: &Rc<Edge>, service: &ServiceName, since: Millis) -> bool {
    let deadline = edge.now() + CONFIRM_TIMEOUT;
    loop {
        let answered = edge.links.answered.notified();
        if edge.links.has_answered_since(service, since) {
            return true;
        }
        if edge.links.begin_check(service, since, edge.now()) {
            check_service(edge, service, Occasion::Doubt);
        }
        if edge.alarm.timeout_at(deadline, answered).await.is_none() {
            return edge.links.has_answered_since(service, since);
        }
    }
}

/// Returns whether a target that made its last progress at `seen` is silent alone: others go on.
pub(crate) async fn is_silent_alone(edge: &Rc<Edge>, target: &Target, seen: Millis) -> bool {
    do_targets_go_on(edge, &target.service).await
        && edge.loads.borrow().progress(&target.id) <= seen
}

/// Returns whether targets of a service go on now. If no request shows that, some are asked, unless
/// none may be.
///
/// Otherwise all may stand still, and a request that is sent to a further one is no better off there.
/// What targets sent before a silence was noticed says nothing: they may have fallen silent together.
pub(crate) async fn do_targets_go_on(edge: &Rc<Edge>, service: &ServiceName) -> bool {
    let since = signs_since(edge.now());
    let is_proved = edge.links.has_progressed_since(service, since)
        || draw_targets(edge, service, Occasion::Doubt).is_empty();
    if is_proved {
        return true;
    }
    if !is_confirmed(edge, service, since).await {
        return false;
    }
    edge.alarm.sleep_until(edge.now() + RESUME_TIME).await;
    true
}
