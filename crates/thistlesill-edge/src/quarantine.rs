//! Requests and parts of prompts that crash targets: what this daemon observes, what it sends to its
//! peers, and what is stored.
//!
//! Losses, successes and verdicts go to all daemons in datagrams. Heartbeats carry a digest of the
//! verdicts, so that a daemon that missed some asks for them. Each withheld request is also a row
//! in the store, in case all daemons are lost at once ([`rows`]). Where lost engines may live, they are
//! asked for their reports ([`checks`]). Requests that end while their targets are silent are kept until
//! it is known what became of these ([`unanswered`]), and an answer clears a request only once its target
//! has gone on after it ([`survival`]).

mod checks;
mod rows;
mod survival;
mod unanswered;

use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{Fingerprint, Millis, NodeId, Verdict};
use thistlesill_policy::quarantine::{
    AnswerPhase, LossCause, LossEffect, Quarantine, QuarantineStatus, Unanswered,
};
use tokio::sync::Notify;

pub(crate) use self::checks::{check_losses, confirm_crashes, receive_refutations};
pub(crate) use self::rows::persist;
pub(crate) use self::survival::note_success;
pub(crate) use self::unanswered::{Awaited, review};
use crate::job::Job;
use crate::peers::packet::{Packet, PartLoss};
use crate::peers::{Reach, link};
use crate::state::Edge;

/// How long updates are batched for one datagram: all requests at a target are lost within some
/// milliseconds.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of updates in one datagram; 60 bytes each.
const MAX_PER_DATAGRAM: usize = 100;
/// Maximum number of verdicts in a reply to a peer that asks for them; 30 bytes each.
const MAX_PER_REPLY: usize = 200;
/// Shortest interval between two requests for the verdicts of peers.
const MIN_REQUEST_INTERVAL: Millis = Millis::new(500);
/// Maximum number of verdicts that wait to be written. The oldest are dropped; the daemons still
/// know them.
const MAX_UNWRITTEN: usize = 256;

/// What this daemon knows about requests that crash targets, and has not sent or stored yet.
#[derive(Debug, Default)]
pub(crate) struct QuarantineState {
    known: RefCell<Quarantine<TargetId>>,
    /// Requests that ended without an answer while their targets were silent.
    unanswered: RefCell<Unanswered<TargetId>>,
    /// Suspected requests that were answered, whose targets have to go on after that.
    surviving: RefCell<HashSet<Fingerprint>>,
    unsent: RefCell<Unsent>,
    unwritten: RefCell<Vec<Verdict>>,
    /// Requests and parts whose verdicts may change by checks, and when the targets lost there may be
    /// checked; the earliest first.
    unchecked: RefCell<VecDeque<(Millis, Fingerprint)>>,
    /// Notified when `unchecked` grows.
    check: Notify,
    /// Losses of parts after which the target may live, until it is asked for the first time.
    unclear: RefCell<Vec<UnsentPart>>,
    /// Notified when `unclear` grows.
    ask: Notify,
    /// Notified when `unsent` grows.
    send: Notify,
    /// Notified when `unwritten` grows.
    write: Notify,
    /// When verdicts were last requested from a peer.
    last_requested: Cell<Millis>,
}

/// Updates that must be sent to the peers.
#[derive(Debug, Default)]
struct Unsent {
    lost: Vec<(Fingerprint, TargetId)>,
    parts: Vec<UnsentPart>,
    verdicts: Vec<Verdict>,
}

/// A part of a prompt under which a target was lost, on this daemon's clock.
#[derive(Debug, Clone)]
struct UnsentPart {
    part: Fingerprint,
    target: TargetId,
    /// Since when the request may have been crashing the target.
    since: Millis,
    cause: LossCause,
}

/// Adds the loss of a part, once for all requests with the part that were lost with the target: the
/// latest of them is the strongest evidence.
fn add_part(parts: &mut Vec<UnsentPart>, added: UnsentPart) {
    let is_same = |known: &&mut UnsentPart| {
        known.part == added.part && known.target == added.target && known.cause == added.cause
    };
    match parts.iter_mut().find(is_same) {
        Some(known) => known.since = known.since.max(added.since),
        None => parts.push(added),
    }
}

impl UnsentPart {
    /// Returns the loss as peers receive it.
    fn aged(&self, now: Millis) -> PartLoss {
        PartLoss {
            part: self.part,
            target: self.target.clone(),
            suspect_for: now - self.since,
        }
    }
}

impl QuarantineState {
    /// Returns the digest of the known verdicts, which is equal on daemons with the same verdicts.
    pub(crate) fn digest(&self) -> u64 {
        self.known.borrow().digest()
    }

    /// Drops expired losses and verdicts.
    pub(crate) fn retain(&self, now: Millis) {
        self.known.borrow_mut().retain(now);
        metrics::gauge!("thistlesill_edge_withheld").set(self.known.borrow().withheld(now) as f64);
    }

    /// Returns whether signs of sound answers matter to requests that were not answered.
    fn awaits_signs(&self) -> bool {
        !self.unanswered.borrow().is_empty()
    }

    /// Returns whether there is evidence against a request or its parts, or may be soon.
    fn is_suspected(&self, job: &Job) -> bool {
        let (known, unanswered) = (self.known.borrow(), self.unanswered.borrow());
        if known.is_empty() && unanswered.is_empty() {
            return false;
        }
        let mut keys = job.keys().iter();
        known.has_evidence(job.keys()) || keys.any(|key| unanswered.has_request(key))
    }

    fn announce(&self, verdict: Verdict) {
        self.unsent.borrow_mut().verdicts.push(verdict);
        self.send.notify_one();
    }

    /// Queues the loss of a target for the peers.
    fn queue_loss(
        &self,
        print: Fingerprint,
        target: &TargetId,
        effect: &LossEffect,
        phase: AnswerPhase,
        cause: LossCause,
    ) {
        let mut unsent = self.unsent.borrow_mut();
        unsent.lost.push((print, target.clone()));
        if let Some(since) = phase.suspect_since() {
            for part in &effect.suspected {
                let lost = UnsentPart {
                    part: *part,
                    target: target.clone(),
                    since,
                    cause,
                };
                if lost.cause == LossCause::Unclear {
                    add_part(&mut self.unclear.borrow_mut(), lost.clone());
                    self.ask.notify_one();
                }
                add_part(&mut unsent.parts, lost);
            }
        }
        self.send.notify_one();
    }

    /// Queues a verdict for the store, where it outlasts all daemons.
    fn store(&self, verdict: Verdict) {
        let mut unwritten = self.unwritten.borrow_mut();
        if unwritten.len() >= MAX_UNWRITTEN {
            unwritten.remove(0);
        }
        unwritten.push(verdict);
        self.write.notify_one();
    }
}

/// Returns for how long a request is withheld, if it is.
///
/// If the request may be tried now, this call begins the trial, and all other daemons withhold what
/// is tried until the trial has an outcome.
pub(crate) fn withheld(job: &Job) -> Option<Millis> {
    let edge = &job.edge;
    match status(job) {
        QuarantineStatus::Free => None,
        QuarantineStatus::Tried(left) | QuarantineStatus::Withheld(left) => Some(left),
        // A trial that no target can get would keep requests from theirs that one serves.
        QuarantineStatus::Trial if !job.is_served() => None,
        QuarantineStatus::Trial => {
            let (tried, verdicts) = {
                let mut known = edge.quarantine.known.borrow_mut();
                known.begin_request_trial(job.keys(), edge.now())
            };
            for print in &tried {
                let line = edge.lines.line("withheld_tried").with("id", &job.head.id);
                line.with("print", print)
                    .maybe("part", job.part_of(*print))
                    .write();
            }
            job.tried.replace(tried);
            // Sent without batching: another daemon may be about to try the request, too.
            link::broadcast(edge, &Packet::Verdicts(verdicts), Reach::All);
            None
        }
    }
}

/// Returns whether a request that was free when its target was picked is withheld now.
pub(crate) fn is_withheld(job: &Job) -> bool {
    status(job) != QuarantineStatus::Free
}

/// Returns whether a request may be sent.
fn status(job: &Job) -> QuarantineStatus {
    let known = job.edge.quarantine.known.borrow();
    if known.is_empty() {
        return QuarantineStatus::Free;
    }
    known.request_status(job.keys(), &job.tried.borrow(), job.edge.now())
}

/// Ends the trial of a request that was on trial, and is finished or goes to a peer.
pub(crate) fn end_trial(job: &Job) {
    let edge = &job.edge;
    for print in job.tried.take() {
        let verdict = {
            let mut known = edge.quarantine.known.borrow_mut();
            if job.sent.get() == 0 {
                known.cancel_trial(print, edge.now())
            } else {
                known.end_trial(print, edge.now())
            }
        };
        let part = job.part_of(print);
        announce_undecided(edge, verdict, &job.head.id, part, job.sent.get());
    }
}

/// Ends trials of which it did not become known what their target did.
fn end_silent_trials(edge: &Edge, id: &str, tried: &[Fingerprint]) {
    for print in tried {
        let verdict = {
            let mut known = edge.quarantine.known.borrow_mut();
            known.end_trial(*print, edge.now())
        };
        announce_undecided(edge, verdict, id, None, 1);
    }
}

/// Logs and sends the verdict that follows a trial without an outcome, after this many attempts.
fn announce_undecided(
    edge: &Edge,
    verdict: Option<Verdict>,
    id: &str,
    part: Option<&str>,
    attempts: u32,
) {
    let Some(verdict) = verdict else { return };
    let line = edge.lines.line("trial_undecided").with("id", id);
    line.with("print", verdict.print)
        .maybe("part", part)
        .with("attempts", attempts)
        .write();
    edge.quarantine.announce(verdict);
}

/// Returns the ids of those of the keys that are parts of a request's prompt, for logs; `None` if
/// there are none.
fn part_names(job: &Job, keys: &[Fingerprint]) -> Option<String> {
    let names: Vec<&str> = keys.iter().filter_map(|key| job.part_of(*key)).collect();
    (!names.is_empty()).then(|| names.join(","))
}

/// Records that the connection to a target was lost while the target ran a request.
///
/// `phase` tells how far the target's answer had come. Returns whether that is a loss: a connection
/// that ends after the deadline of the request is none.
pub(crate) fn note_lost(job: &Job, target: &Target, phase: AnswerPhase, reason: &str) -> bool {
    if job.is_over() {
        return false;
    }
    let (edge, print) = (&job.edge, job.fingerprint());
    let requests = edge.loads.borrow().work(&target.id, edge.now()).requests;
    let effect = {
        let mut known = edge.quarantine.known.borrow_mut();
        let tried = job.tried.borrow();
        known.note_request_lost(job.keys(), &tried, &target.id, phase, edge.now())
    };
    edge.lines
        .line("lost_with_target")
        .with("id", &job.head.id)
        .with("target", &target.id)
        .with("why", reason)
        .with("print", print)
        .with("requests", requests)
        .with("answer", phase.name())
        .maybe("parts", job.part_list())
        .maybe("suspected", part_names(job, &effect.suspected))
        .maybe("tried", part_names(job, &job.tried.borrow()))
        .write();
    edge.suspect(&target.id, reason);
    let cause = phase.loss_cause();
    edge.quarantine
        .queue_loss(print, &target.id, &effect, phase, cause);
    announce_effect(edge, effect, &job.head.id, |print| job.part_of(print));
    true
}

/// Logs, sends and stores the verdicts that follow from a loss; `part_of` names the parts of the
/// request's prompt.
fn announce_effect<'a>(
    edge: &Edge,
    effect: LossEffect,
    id: &str,
    part_of: impl Fn(Fingerprint) -> Option<&'a str>,
) {
    for verdict in effect.verdicts {
        log_verdict(edge, &verdict, id, part_of(verdict.print));
        edge.quarantine.announce(verdict);
        edge.quarantine.store(verdict);
        edge.quarantine.queue_check(verdict.print, edge.now());
    }
    for part in effect.doubtful {
        edge.quarantine.queue_check(part, edge.now());
    }
}

/// Records that the answer to a request, which began at `began`, was written past its start.
pub(crate) fn note_progress(job: &Job, began: Millis) {
    let edge = &job.edge;
    if edge.quarantine.awaits_signs() {
        let mut unanswered = edge.quarantine.unanswered.borrow_mut();
        unanswered.note_sound(job.keys().parts.iter().copied(), began);
    }
    if edge.quarantine.known.borrow().is_empty() {
        return;
    }
    let verdicts = {
        let mut known = edge.quarantine.known.borrow_mut();
        known.note_request_progress(job.keys(), began, edge.now())
    };
    announce_progress(edge, verdicts, &job.head.id, |print| job.part_of(print));
}

/// Sends and stores verdicts that follow from the progress of an answer: by most of them the request or
/// parts of its prompt are cleared.
fn announce_progress<'a>(
    edge: &Edge,
    verdicts: impl IntoIterator<Item = Verdict>,
    id: &str,
    part_of: impl Fn(Fingerprint) -> Option<&'a str>,
) {
    for verdict in verdicts {
        edge.quarantine.announce(verdict);
        if verdict.round > 0 {
            log_verdict(edge, &verdict, id, part_of(verdict.print));
            edge.quarantine.store(verdict);
            edge.quarantine.queue_check(verdict.print, edge.now());
        }
    }
}

/// Logs a verdict with the number of lost targets that are known here; `part` is the id of the part
/// of a prompt that it is on, if that is known here.
fn log_verdict(edge: &Edge, verdict: &Verdict, from: &str, part: Option<&str>) {
    let lost = edge.quarantine.known.borrow().lost_targets(verdict.print);
    let event = if verdict.level > 0 {
        "request_withheld"
    } else {
        "request_cleared"
    };
    let line = edge.lines.line(event).with("print", verdict.print);
    line.maybe("part", part)
        .with("from", from)
        .with("round", verdict.round)
        .with("level", verdict.level)
        .with("lost", lost)
        .with("for_ms", verdict.left.get())
        .write();
}

/// Sends new losses and verdicts to the other daemons; never returns.
pub(crate) async fn send_updates(edge: Rc<Edge>) {
    loop {
        edge.quarantine.send.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let unsent = std::mem::take(&mut *edge.quarantine.unsent.borrow_mut());
        for batch in unsent.lost.chunks(MAX_PER_DATAGRAM) {
            link::broadcast(&edge, &Packet::Lost(batch.to_vec()), Reach::All);
        }
        let now = edge.now();
        for cause in [LossCause::Crash, LossCause::Unclear, LossCause::Silence] {
            let parts = unsent.parts.iter().filter(|part| part.cause == cause);
            let aged: Vec<PartLoss> = parts.map(|part| part.aged(now)).collect();
            for batch in aged.chunks(MAX_PER_DATAGRAM) {
                link::broadcast(
                    &edge,
                    &Packet::parts_lost(batch.to_vec(), cause),
                    Reach::All,
                );
            }
        }
        for batch in unsent.verdicts.chunks(MAX_PER_DATAGRAM) {
            link::broadcast(&edge, &Packet::Verdicts(batch.to_vec()), Reach::All);
        }
    }
}

/// Applies the losses that a peer observed. The daemon that observed the deciding loss sends the
/// verdict.
pub(crate) fn receive_losses(edge: &Edge, lost: &[(Fingerprint, TargetId)]) {
    let now = edge.now();
    let known = &edge.quarantine.known;
    for (print, target) in lost {
        let verdict = known.borrow_mut().note_lost(*print, target, now);
        if let Some(verdict) = verdict {
            log_verdict(edge, &verdict, "losses of peers", None);
        }
    }
}

/// Applies the losses of parts of prompts that a peer observed.
pub(crate) fn receive_part_losses(edge: &Edge, lost: &[PartLoss], cause: LossCause) {
    let now = edge.now();
    let known = &edge.quarantine.known;
    for loss in lost {
        let since = now - loss.suspect_for;
        let verdict = known
            .borrow_mut()
            .note_part_lost(loss.part, &loss.target, since, cause, now);
        if let Some(verdict) = verdict {
            log_verdict(edge, &verdict, "losses of peers", None);
        }
    }
}

/// Applies the verdicts of a peer.
pub(crate) fn receive_verdicts(edge: &Edge, verdicts: &[Verdict]) {
    let now = edge.now();
    for verdict in verdicts {
        let is_new = edge.quarantine.known.borrow_mut().receive(*verdict, now);
        if is_new && verdict.round > 0 {
            log_verdict(edge, verdict, "a peer", None);
        }
    }
}

/// Compares the digest of a peer's verdicts with the local one, and requests the verdicts if the
/// digests differ.
pub(crate) fn receive_digest(edge: &Edge, peer: &NodeId, digest: u64) {
    if digest == 0 || digest == edge.quarantine.digest() {
        return;
    }
    let now = edge.now();
    if now - edge.quarantine.last_requested.get() < MIN_REQUEST_INTERVAL {
        return;
    }
    edge.quarantine.last_requested.set(now);
    let me = edge.settings().name.clone();
    link::send_to(edge, peer, &Packet::VerdictsRequest(me));
}

/// Sends a peer the verdicts on withheld requests, and on requests cleared a short time ago.
pub(crate) fn send_verdicts(edge: &Edge, peer: &NodeId) {
    let mut all = edge.quarantine.known.borrow().verdicts(edge.now());
    all.truncate(MAX_PER_REPLY);
    link::send_to(edge, peer, &Packet::Verdicts(all));
}
