//! Checks of lost engines that may live.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use thistlesill_core::edge::{Incarnation, TargetId};
use thistlesill_core::{Fingerprint, Millis, Verdict};
use thistlesill_net::lane::{ConnectionError, within};
use thistlesill_platform::engine;
use thistlesill_policy::quarantine::{
    CheckAnswer, LossCause, LossCheck, MIN_CHECK_DELAY, Refutation,
};

use super::{BATCH_DELAY, QuarantineState, UnsentPart, add_part, log_verdict};
use crate::peers::packet::Packet;
use crate::peers::{Reach, link};
use crate::state::Edge;

/// Maximum number of refutations in one datagram; up to 300 bytes each.
const MAX_REFUTATIONS_PER_DATAGRAM: usize = 20;
/// How long a lost engine has to answer a request for its report; a healthy one answers within some
/// milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

impl QuarantineState {
    /// Queues a request or part for the check of the targets that were lost under it, if its verdict
    /// may change by that.
    pub(super) fn queue_check(&self, print: Fingerprint, now: Millis) {
        if self.known.borrow().losses_to_check(print, now).is_empty() {
            return;
        }
        let due = now + MIN_CHECK_DELAY;
        let mut unchecked = self.unchecked.borrow_mut();
        if unchecked.iter().all(|(_, queued)| *queued != print) {
            unchecked.push_back((due, print));
            self.check.notify_one();
        }
    }

    /// Takes what may be checked at a time.
    fn take_due_checks(&self, now: Millis) -> Vec<Fingerprint> {
        let mut unchecked = self.unchecked.borrow_mut();
        let due = unchecked.iter().take_while(|(due, _)| *due <= now).count();
        unchecked.drain(..due).map(|(_, print)| print).collect()
    }
}

/// Asks lost engines for their reports, if a verdict may change by that; never returns.
pub(crate) async fn check_losses(edge: Rc<Edge>) {
    loop {
        let next = edge.quarantine.unchecked.borrow().front().copied();
        let Some((due, _)) = next else {
            edge.quarantine.check.notified().await;
            continue;
        };
        edge.alarm.sleep_until(due).await;
        // Requests that were lost with the same targets share the checks.
        tokio::time::sleep(BATCH_DELAY).await;
        let prints = edge.quarantine.take_due_checks(edge.now());
        tokio::task::spawn_local(check_batch(edge.clone(), prints));
    }
}

/// Asks lost engines that may live whether their processes are gone; never returns.
pub(crate) async fn confirm_crashes(edge: Rc<Edge>) {
    loop {
        edge.quarantine.ask.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let mut unclear = std::mem::take(&mut *edge.quarantine.unclear.borrow_mut());
        while let Some(target) = unclear.first().map(|lost| lost.target.clone()) {
            let is_of_target = |lost: &mut UnsentPart| lost.target == target;
            let lost = unclear.extract_if(.., is_of_target).collect();
            tokio::task::spawn_local(confirm_crash(edge.clone(), target, lost));
        }
    }
}

/// Asks an engine whether its process is gone. If it is, the losses of parts there are crashes, and
/// are broadcast as such.
async fn confirm_crash(edge: Rc<Edge>, target: TargetId, lost: Vec<UnsentPart>) {
    if !is_gone(&edge, &target).await {
        return;
    }
    let (confirmed, verdicts) = {
        let mut known = edge.quarantine.known.borrow_mut();
        known.note_crash(&target, edge.now())
    };
    for lost in lost.into_iter().filter(|l| confirmed.contains(&l.part)) {
        let crash = UnsentPart {
            cause: LossCause::Crash,
            ..lost
        };
        add_part(&mut edge.quarantine.unsent.borrow_mut().parts, crash);
    }
    edge.quarantine.send.notify_one();
    announce_verdicts(&edge, verdicts, "crashes of lost targets");
}

/// Returns whether the process of a lost engine is known to be gone: its port refuses connections, or
/// its instance is listed under another incarnation.
async fn is_gone(edge: &Edge, target: &TargetId) -> bool {
    let listed = edge
        .registry
        .borrow()
        .incarnation(target.instance())
        .cloned();
    if listed.is_some_and(|listed| listed != *target) {
        return true;
    }
    let Some(address) = engine_address(edge, target) else {
        return false;
    };
    let report = engine::fetch_report(target, address, within(REPORT_TIMEOUT)).await;
    matches!(report, Err(ConnectionError::Refused))
}

/// Logs, announces and stores verdicts that follow from what was asked of lost engines.
fn announce_verdicts(edge: &Edge, verdicts: Vec<Verdict>, from: &str) {
    for verdict in verdicts {
        log_verdict(edge, &verdict, from, None);
        edge.quarantine.announce(verdict);
        edge.quarantine.store(verdict);
    }
}

/// Asks each engine that was lost under some requests once, and removes the losses that the answers
/// refute.
async fn check_batch(edge: Rc<Edge>, prints: Vec<Fingerprint>) {
    let now = edge.now();
    let lost: BTreeSet<TargetId> = {
        let known = edge.quarantine.known.borrow();
        let losses = prints.iter().flat_map(|p| known.losses_to_check(*p, now));
        losses
            .filter(|(_, since)| now >= *since)
            .map(|(target, _)| target)
            .collect()
    };
    let checks = join_all(lost.into_iter().map(|target| check_loss(&edge, target))).await;
    conclude(&edge, &prints, &checks);
    // Some targets may have been lost after the verdict, or again while they were asked.
    for print in prints {
        edge.quarantine.queue_check(print, edge.now());
    }
}

/// Applies the results of checks, and logs, sends and stores what follows.
pub(super) fn conclude(edge: &Edge, prints: &[Fingerprint], checks: &[LossCheck<TargetId>]) {
    let (refuted, verdicts) = apply_checks(edge, prints, checks);
    for refutation in &refuted {
        note_refuted(edge, refutation);
    }
    announce_verdicts(edge, verdicts, "reports of lost targets");
    for batch in refuted.chunks(MAX_REFUTATIONS_PER_DATAGRAM) {
        link::broadcast(edge, &Packet::LossesRefuted(batch.to_vec()), Reach::All);
    }
}

/// Applies the results of checks; returns the losses that they refute, and the verdicts that follow.
fn apply_checks(
    edge: &Edge,
    prints: &[Fingerprint],
    checks: &[LossCheck<TargetId>],
) -> (Vec<Refutation<TargetId>>, Vec<Verdict>) {
    let (mut refuted, mut verdicts) = (Vec::new(), Vec::new());
    let mut known = edge.quarantine.known.borrow_mut();
    for print in prints {
        let effect = known.apply_checks(*print, checks, edge.now());
        refuted.extend(effect.refuted);
        verdicts.extend(effect.verdict);
    }
    (refuted, verdicts)
}

/// Asks a lost target for its report, if it is an engine and listed under the same incarnation.
async fn check_loss(edge: &Edge, lost: TargetId) -> LossCheck<TargetId> {
    let begun = edge.now();
    let report = match engine_address(edge, &lost) {
        Some(address) => engine::fetch_report(&lost, address, within(REPORT_TIMEOUT))
            .await
            .ok(),
        None => None,
    };
    let answer = match report.map(|report| report.incarnation) {
        None => CheckAnswer::Nothing,
        Some(incarnation) if incarnation == Incarnation::default() => CheckAnswer::Unnamed,
        Some(incarnation) => {
            CheckAnswer::Named(TargetId::new(lost.instance().clone(), incarnation))
        }
    };
    LossCheck {
        lost,
        begun,
        answer,
    }
}

/// Returns the address of a target that runs models.
fn engine_address(edge: &Edge, target: &TargetId) -> Option<SocketAddr> {
    let registry = edge.registry.borrow();
    let target = registry.target(target)?;
    let catalog = edge.catalog()?;
    let service = catalog.service(&target.service)?;
    service.engine.is_some().then_some(target.address)
}

/// Logs the losses that this daemon refuted, and stores the verdict that is withdrawn by that.
fn note_refuted(edge: &Edge, refuted: &Refutation<TargetId>) {
    let count = refuted.targets.len();
    metrics::counter!("thistlesill_edge_refuted_losses_total").increment(count as u64);
    let line = edge
        .lines
        .line("losses_refuted")
        .with("print", refuted.print);
    line.with("targets", count).write();
    if let Some(verdict) = refuted.withdrawn {
        log_verdict(edge, &verdict, "reports of lost targets", None);
        edge.quarantine.store(verdict);
    }
}

/// Applies the refuted losses that a peer sent.
pub(crate) fn receive_refutations(edge: &Edge, refuted: &[Refutation<TargetId>]) {
    let now = edge.now();
    for refutation in refuted {
        let is_withdrawn = edge
            .quarantine
            .known
            .borrow_mut()
            .receive_refutation(refutation, now);
        if let Some(verdict) = refutation.withdrawn.filter(|_| is_withdrawn) {
            log_verdict(edge, &verdict, "a peer", None);
        }
    }
}
