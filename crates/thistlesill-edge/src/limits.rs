//! Limits on the requests a second that targets name in their answers.
//!
//! Whoever hears a limit tells all daemons at once. The target's keeper, which is the owner
//! of its scope, grants its requests one by one, and tells all daemons of the limit every
//! two seconds, for those that missed it or have started since.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::{RateLimit, Target, TargetId, Warmup};
use thistlesill_core::{HallId, Millis, NodeId};
use thistlesill_platform::caller::{AnswerHead, LimitHeader};
use thistlesill_policy::edge::limit::{
    Clearance, Grant, LimitChange, LimitReport, LimitTable, LimitUpdate,
};
use thistlesill_policy::edge::owner::Scope;
use tokio::sync::Notify;

use crate::job::Job;
use crate::peers::packet::{GrantReply, GrantRequest, LimitUpdates, Packet, Permit};
use crate::peers::place;
use crate::peers::questions::{self, PendingReplies};
use crate::peers::{Reach, link};
use crate::state::Edge;

/// How long news are gathered for one datagram. A target whose answers name a limit and
/// none by turns so costs no more than twenty datagrams a second to each daemon.
const GATHER: Duration = Duration::from_millis(50);
/// Between two tellings of a keeper to all daemons: 50 bytes for each limited target.
const TELL: Millis = Millis::new(2_000);
/// How long a target is passed over whose keeper does not answer or is not known.
const UNKEPT: Millis = Millis::new(250);
/// Targets that are told of in one datagram.
const MAX_TOLD: usize = 80;
/// Signs of an unreadable limit that are noted.
const MAX_NOTED: usize = 40;

/// The limits that are known, and questions to keepers that are under way.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    table: RefCell<LimitTable>,
    /// Targets whose limits could not be read.
    unreadable: RefCell<BTreeSet<TargetId>>,
    /// Targets of whose limits the other daemons are to be told.
    untold: RefCell<BTreeSet<TargetId>>,
    /// Woken when there are such.
    news: Notify,
    questions: RefCell<PendingReplies<GrantReply>>,
}

impl Limits {
    /// Whether a target has a limit now.
    fn is_limited(&self, id: &TargetId, now: Millis) -> bool {
        self.table.borrow().limit_at(id, now).is_some()
    }

    /// Whether a target may not be sent a request now.
    pub(crate) fn is_spent(&self, id: &TargetId, now: Millis) -> bool {
        self.table.borrow().is_exhausted(id, now)
    }

    /// The targets that name a limit, with it.
    pub(crate) fn limits(&self) -> Vec<(TargetId, RateLimit)> {
        let table = self.table.borrow();
        let limits = table.limits().map(|(id, limit)| (id.clone(), limit));
        limits.collect()
    }

    /// The targets that may not be sent a request now.
    pub(crate) fn spent(&self, now: Millis) -> Vec<TargetId> {
        self.table.borrow().exhausted(now)
    }

    /// The shortest time until one of some targets may be sent a request.
    pub(crate) fn wait<'a>(
        &self,
        targets: impl Iterator<Item = &'a Target>,
        now: Millis,
    ) -> Option<Millis> {
        let table = self.table.borrow();
        targets.map(|t| table.wait(&t.id, now)).min()
    }

    /// As keeper: grants a request to a target, if its limit leaves room.
    pub(crate) fn take(&self, id: &TargetId, now: Millis) -> Grant {
        self.table.borrow_mut().take(id, now)
    }
}

/// Notes what an answer to a request that was `sent` says of its target's limit.
pub(crate) fn note_answer(job: &Job, target: &Target, info: &AnswerHead, sent: Millis) {
    let edge = &job.edge;
    if info.rate == LimitHeader::Foreign {
        return;
    }
    note_unreadable(job, target, &info.rate);
    let report = LimitReport {
        limit: info.rate.limit(),
        from: sent,
        until: edge.now(),
    };
    let heard = take_report(edge, &target.id, report, &job.head.id);
    if matches!(heard, LimitChange::Changed(_)) {
        let mut untold = edge.limits.untold.borrow_mut();
        untold.insert(target.id.clone());
        edge.limits.news.notify_one();
    }
}

/// Notes once that a target's limit cannot be read, until one can.
fn note_unreadable(job: &Job, target: &Target, rate: &LimitHeader) {
    let mut unreadable = job.edge.limits.unreadable.borrow_mut();
    let LimitHeader::Unreadable(text) = rate else {
        unreadable.remove(&target.id);
        return;
    };
    if unreadable.insert(target.id.clone()) {
        let text: String = text.chars().take(MAX_NOTED).collect();
        let line = job.edge.lines.line("limit_unreadable");
        line.with("target", &target.id)
            .with("id", &job.head.id)
            .with("text", text)
            .write();
    }
}

/// Takes in a report; `from` is the request or the daemon that it came from.
fn take_report(edge: &Edge, target: &TargetId, report: LimitReport, from: &str) -> LimitChange {
    let heard = edge.limits.table.borrow_mut().observe(target, report);
    if let LimitChange::Changed(before) = heard {
        edge.lines
            .line("limit_heard")
            .with("target", target)
            .with("from", from)
            .maybe("limit", report.limit)
            .maybe("before", before)
            .write();
    }
    heard
}

/// How a target's service has it warm up.
fn warmup(edge: &Edge, target: &Target) -> Option<Warmup> {
    edge.catalog()?.service(&target.service)?.warmup
}

/// Limits a target for as long as it warms up by its entry, if its service says what it takes
/// meanwhile.
///
/// All daemons know this from the entry, so nothing is announced.
pub(crate) fn note_warmup(edge: &Edge, target: &Target) {
    if target.warmup == Millis::ZERO {
        return;
    }
    if let Some(warmup) = warmup(edge, target) {
        limit_while_warming(edge, target, warmup.limit, target.warmup);
    }
}

/// Limits all targets that warm up by their entries.
pub(crate) fn note_warmups(edge: &Edge) {
    for target in edge.book.borrow().listed() {
        note_warmup(edge, target);
    }
}

/// Limits the targets of a data centre that is taken back, which may warm up although their
/// entries do not say so yet.
pub(crate) fn note_taken_back(edge: &Edge, hall: &HallId) {
    let book = edge.book.borrow();
    for target in book.listed().filter(|t| t.hall == *hall) {
        if let Some(warmup) = warmup(edge, target) {
            limit_while_warming(edge, target, warmup.limit, warmup.time);
        }
    }
}

fn limit_while_warming(edge: &Edge, target: &Target, limit: RateLimit, time: Millis) {
    if time == Millis::ZERO {
        return;
    }
    let until = edge.now() + time;
    let mut table = edge.limits.table.borrow_mut();
    table.note_warmup(&target.id, limit, until);
    drop(table);
    tend(edge, target);
}

/// Notes that a request is sent to a target, if that has a limit.
pub(crate) fn note_sent(job: &Job, target: &Target) {
    let now = job.edge.now();
    let limit = job.edge.limits.table.borrow().limit_at(&target.id, now);
    if let Some(limit) = limit {
        metrics::counter!("thistlesill_edge_limited_sent_total").increment(1);
        let line = job.edge.lines.line("limit_sent");
        line.with("id", &job.head.id)
            .with("target", &target.id)
            .with("limit", limit)
            .write();
    }
}

/// The daemon that grants a target's requests: the owner of its scope, or one of another
/// data centre if none lives in the target's.
fn keeper(edge: &Edge, target: &Target) -> Option<NodeId> {
    let scope = Scope::of(target);
    place::owner(edge, &scope).or_else(|| place::owner_anywhere(edge, &scope))
}

/// Clears a request for a target that was picked for it at the moment `asked`, with
/// `permit`. Without a grant, the target is passed over for a time.
pub(crate) async fn clear(
    edge: &Edge,
    target: &Target,
    permit: Permit,
    asked: Millis,
) -> Option<Clearance> {
    match permit {
        Permit::Granted => return Some(Clearance::granted(asked)),
        Permit::NotNeeded if !edge.limits.is_limited(&target.id, edge.now()) => {
            return Some(Clearance::Unlimited);
        }
        Permit::NotNeeded | Permit::Needed => {}
    }
    let asked = edge.now();
    let wait = match grant(edge, target).await {
        Grant::Unlimited | Grant::Granted => return Some(Clearance::granted(asked)),
        Grant::Exhausted(wait) => wait.max(Millis::new(1)),
        Grant::NotOwner => UNKEPT,
    };
    metrics::counter!("thistlesill_edge_limit_denied_total").increment(1);
    let until = edge.now() + wait;
    edge.limits
        .table
        .borrow_mut()
        .note_exhausted(&target.id, until);
    None
}

/// Whether a request that was cleared for a target may still be sent there. A connection
/// may have taken long to come up, or the daemon may have been frozen with the grant in hand.
pub(crate) fn is_cleared(edge: &Edge, target: &Target, clearance: Clearance) -> bool {
    let now = edge.now();
    let holds = clearance.is_valid(edge.limits.is_limited(&target.id, now), now);
    if !holds {
        metrics::counter!("thistlesill_edge_grants_expired_total").increment(1);
    }
    holds
}

/// Takes a grant, or asks the target's keeper for one.
async fn grant(edge: &Edge, target: &Target) -> Grant {
    let Some(keeper) = keeper(edge, target) else {
        return Grant::NotOwner;
    };
    let me = edge.settings().name.clone();
    if keeper == me {
        tend(edge, target);
        return edge.limits.take(&target.id, edge.now());
    }
    let (id, answer) = edge.limits.questions.borrow_mut().begin();
    let known = edge.limits.table.borrow().update(&target.id, edge.now());
    let ask = GrantRequest {
        from: me,
        id,
        target: target.id.clone(),
        known,
    };
    link::send_to(edge, &keeper, &Packet::GrantRequest(ask));
    let Some(reply) = questions::in_time(answer).await else {
        return Grant::NotOwner;
    };
    if let Some(told) = &reply.known {
        take_report(
            edge,
            &target.id,
            told.report(edge.now()),
            reply.from.as_str(),
        );
    }
    reply.grant
}

/// As keeper: answers a daemon that wants to send a request.
pub(crate) fn answer(edge: &Edge, ask: &GrantRequest) {
    let now = edge.now();
    if let Some(told) = &ask.known {
        take_report(edge, &ask.target, told.report(now), ask.from.as_str());
    }
    let target = edge.book.borrow().target(&ask.target).cloned();
    if let Some(target) = target {
        tend(edge, &target);
    }
    let grant = edge.limits.take(&ask.target, now);
    let reply = GrantReply {
        from: edge.settings().name.clone(),
        id: ask.id,
        grant,
        known: edge.limits.table.borrow().update(&ask.target, now),
    };
    link::send_to(edge, &ask.from, &Packet::Grant(reply));
}

/// Takes in a keeper's answer.
pub(crate) fn take_reply(edge: &Edge, reply: GrantReply) {
    let mut questions = edge.limits.questions.borrow_mut();
    questions.resolve(reply.id, reply);
}

/// Takes in what a peer tells of limits, and tells it what is known to be newer.
pub(crate) fn hear(edge: &Edge, told: &LimitUpdates) {
    let now = edge.now();
    let mut newer = Vec::new();
    for limit in &told.list {
        let heard = take_report(edge, &limit.target, limit.report(now), told.from.as_str());
        if heard == LimitChange::Outdated {
            newer.extend(edge.limits.table.borrow().update(&limit.target, now));
        }
    }
    if !newer.is_empty() {
        let packet = packet(edge, newer);
        link::send_to(edge, &told.from, &packet);
    }
}

/// Tells a daemon that was not known of the limits that this one keeps.
pub(crate) fn tell_new_peer(edge: &Edge, peer: &NodeId) {
    let kept = edge.limits.table.borrow().owned_updates(edge.now());
    for part in kept.chunks(MAX_TOLD) {
        link::send_to(edge, peer, &packet(edge, part.to_vec()));
    }
}

/// Tells the other daemons of limits, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut told = edge.now();
    loop {
        tokio::select! {
            () = edge.limits.news.notified() => {}
            () = edge.alarm.until(told + TELL) => {}
        }
        tokio::time::sleep(GATHER).await;
        let now = edge.now();
        let untold = std::mem::take(&mut *edge.limits.untold.borrow_mut());
        let mut list: Vec<LimitUpdate> = {
            let table = edge.limits.table.borrow();
            untold
                .iter()
                .filter_map(|id| table.update(id, now))
                .collect()
        };
        if now - told >= TELL {
            told = now;
            list.extend(edge.limits.table.borrow().owned_updates(now));
        }
        for part in list.chunks(MAX_TOLD) {
            link::broadcast(&edge, &packet(&edge, part.to_vec()), Reach::All);
        }
    }
}

fn packet(edge: &Edge, list: Vec<LimitUpdate>) -> Packet {
    let from = edge.settings().name.clone();
    Packet::Limits(LimitUpdates { from, list })
}

/// Takes a target up as its keeper, or leaves it to another daemon.
fn tend(edge: &Edge, target: &Target) {
    let now = edge.now();
    let kept = keeper(edge, target).as_ref() == Some(&edge.settings().name);
    let mut table = edge.limits.table.borrow_mut();
    if kept {
        let peers = edge.peers.borrow();
        let part = (peers.live_count(now) + 1) as f64 / peers.daemon_count() as f64;
        table.own(&target.id, part, now);
    } else {
        table.disown(&target.id);
    }
}

/// Housekeeping: takes up and leaves targets as their keeper, and forgets those that are
/// gone.
pub(crate) fn sweep(edge: &Edge) {
    edge.limits.questions.borrow_mut().remove_closed();
    let book = edge.book.borrow();
    let mut unreadable = edge.limits.unreadable.borrow_mut();
    unreadable.retain(|id| book.is_current(id));
    if edge.limits.table.borrow().is_empty() {
        return;
    }
    let targets: Vec<&Target> = {
        let table = edge.limits.table.borrow();
        table.targets().filter_map(|id| book.target(id)).collect()
    };
    for target in targets {
        tend(edge, target);
    }
    let mut table = edge.limits.table.borrow_mut();
    table.retain(|id| book.is_current(id), edge.now());
}
