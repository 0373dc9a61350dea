//! Rate limits, in requests per second, that targets name in their answers.
//!
//! A daemon that receives a limit sends it to all daemons at once. The owner of the target's
//! bucket, which is the owner of its scope, grants the requests one by one and repeats the limit
//! to all daemons every two seconds, for those that missed it or have started since.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
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
use crate::peers::questions::{self, PendingReplies, ReplyKind};
use crate::peers::{Reach, link};
use crate::state::Edge;
use crate::unreadable::UnreadableHeaders;

/// How long changes are batched for one datagram. A target whose answers alternate between a limit
/// and none thus costs at most twenty datagrams a second to each daemon.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Interval at which an owner repeats its limits to all daemons: 50 bytes per limited target.
const REPEAT_INTERVAL: Millis = Millis::new(2_000);
/// How long a target is avoided of which the owner does not answer or is not known.
const NO_OWNER_BACKOFF: Millis = Millis::new(250);
/// Maximum number of targets in one datagram.
const MAX_PER_DATAGRAM: usize = 80;

/// The known limits, and requests to bucket owners that are in progress.
#[derive(Debug)]
pub(crate) struct Limits {
    table: RefCell<LimitTable>,
    /// Targets of which the limit can't be parsed.
    unreadable: UnreadableHeaders,
    /// Targets of which the limit must be sent to the other daemons.
    unsent: RefCell<BTreeSet<TargetId>>,
    /// Notified when `unsent` gains a target.
    changed: Notify,
    questions: RefCell<PendingReplies<GrantReply>>,
}

impl Limits {
    /// Creates a table without limits; `rng` draws the first number of a request to an owner.
    pub(crate) fn new(rng: &mut impl Rng) -> Self {
        Self {
            table: RefCell::default(),
            unreadable: UnreadableHeaders::default(),
            unsent: RefCell::default(),
            changed: Notify::new(),
            questions: RefCell::new(PendingReplies::new(rng)),
        }
    }

    /// Returns whether a target has a limit now.
    pub(crate) fn is_limited(&self, id: &TargetId, now: Millis) -> bool {
        self.table.borrow().limit_at(id, now).is_some()
    }

    /// Returns the limits of all targets that have one.
    pub(crate) fn limits(&self) -> Vec<(TargetId, RateLimit)> {
        let table = self.table.borrow();
        let limits = table.limits().map(|(id, limit)| (id.clone(), limit));
        limits.collect()
    }

    /// Returns the targets of which the limits allow no request now.
    pub(crate) fn exhausted(&self, now: Millis) -> Vec<TargetId> {
        self.table.borrow().exhausted(now)
    }

    /// Returns the time until a target's limit allows a request; zero if that is now.
    pub(crate) fn wait(&self, id: &TargetId, now: Millis) -> Millis {
        self.table.borrow().wait(id, now)
    }

    /// As the bucket owner, grants a request to a target if its limit allows one.
    pub(crate) fn take(&self, id: &TargetId, now: Millis) -> Grant {
        self.table.borrow_mut().take(id, now)
    }
}

/// Records the limit that a target's answer names; the request was sent at `sent`.
pub(crate) fn note_answer(job: &Job, target: &Target, info: &AnswerHead, sent: Millis) {
    let edge = &job.edge;
    if info.rate_limit == LimitHeader::Foreign {
        return;
    }
    if let LimitHeader::Unreadable(text) = &info.rate_limit {
        let unreadable = &edge.limits.unreadable;
        unreadable.log_once("limit_unreadable", job, target, text);
    } else {
        edge.limits.unreadable.clear(&target.id);
    }
    let report = LimitReport {
        limit: info.rate_limit.limit(),
        from: sent,
        until: edge.now(),
    };
    let change = observe(edge, &target.id, report, &job.head.id);
    if matches!(change, LimitChange::Changed(_)) {
        let mut unsent = edge.limits.unsent.borrow_mut();
        unsent.insert(target.id.clone());
        edge.limits.changed.notify_one();
    }
}

/// Applies a report about a limit; `from` is the request or the daemon that it came from.
fn observe(edge: &Edge, target: &TargetId, report: LimitReport, from: &str) -> LimitChange {
    let change = edge.limits.table.borrow_mut().observe(target, report);
    if let LimitChange::Changed(before) = change {
        edge.lines
            .line("limit_heard")
            .with("target", target)
            .with("from", from)
            .maybe("limit", report.limit)
            .maybe("before", before)
            .write();
    }
    change
}

/// Returns how the targets of a target's service warm up.
fn warmup(edge: &Edge, target: &Target) -> Option<Warmup> {
    edge.catalog()?.service(&target.service)?.warmup
}

/// Limits a target for the warm-up time that its entry names, if its service has a limit for that
/// time.
///
/// All daemons read the entry, so nothing is sent to peers.
pub(crate) fn limit_warming_target(edge: &Edge, target: &Target) {
    if target.warmup == Millis::ZERO {
        return;
    }
    if let Some(warmup) = warmup(edge, target) {
        limit_while_warming(edge, target, warmup.limit, target.warmup);
    }
}

/// Limits all targets that are warming up according to their entries.
pub(crate) fn limit_warming_targets(edge: &Edge) {
    for target in edge.registry.borrow().listed() {
        limit_warming_target(edge, target);
    }
}

/// Limits the targets of a data centre that is no longer evacuated, which may be warming up
/// although their entries do not say so yet.
pub(crate) fn limit_restored_hall(edge: &Edge, hall: &HallId) {
    let registry = edge.registry.borrow();
    for target in registry.listed().filter(|t| t.hall == *hall) {
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
    update_ownership(edge, target);
}

/// Logs and counts a request that is sent to a target with a limit.
pub(crate) fn log_sent(job: &Job, target: &Target) {
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

/// Returns the daemon that grants a target's requests: the owner of its scope, or one of another
/// data centre if no daemon runs in the target's.
fn bucket_owner(edge: &Edge, target: &Target) -> Option<NodeId> {
    let scope = Scope::of(target);
    place::owner(edge, &scope).or_else(|| place::owner_anywhere(edge, &scope))
}

/// Returns the clearance to send a request to a target that was picked with `permit` at the time
/// `picked`. If no request is granted, the target is avoided for some time.
pub(crate) async fn obtain_clearance(
    edge: &Edge,
    target: &Target,
    permit: Permit,
    picked: Millis,
) -> Option<Clearance> {
    match permit {
        Permit::Granted => return Some(Clearance::granted(picked)),
        Permit::NotNeeded if !edge.limits.is_limited(&target.id, edge.now()) => {
            return Some(Clearance::Unlimited);
        }
        Permit::NotNeeded | Permit::Needed => {}
    }
    let requested = edge.now();
    let wait = match request_grant(edge, target).await {
        Grant::Unlimited | Grant::Granted => return Some(Clearance::granted(requested)),
        Grant::Exhausted(wait) => wait.max(Millis::new(1)),
        Grant::NotOwner => NO_OWNER_BACKOFF,
    };
    metrics::counter!("thistlesill_edge_limit_denied_total").increment(1);
    let until = edge.now() + wait;
    edge.limits
        .table
        .borrow_mut()
        .note_exhausted(&target.id, until);
    None
}

/// Returns whether a clearance is still valid.
///
/// Connecting may have taken long, or the daemon may have been suspended after the grant.
pub(crate) fn is_clearance_valid(edge: &Edge, target: &Target, clearance: Clearance) -> bool {
    let now = edge.now();
    let valid = clearance.is_valid(edge.limits.is_limited(&target.id, now), now);
    if !valid {
        metrics::counter!("thistlesill_edge_grants_expired_total").increment(1);
    }
    valid
}

/// Takes a grant from the local bucket, or requests one from the bucket's owner.
async fn request_grant(edge: &Edge, target: &Target) -> Grant {
    let Some(owner) = bucket_owner(edge, target) else {
        return Grant::NotOwner;
    };
    let me = edge.settings().name.clone();
    if owner == me {
        update_ownership(edge, target);
        return edge.limits.take(&target.id, edge.now());
    }
    let (id, answer) = questions::begin(&mut edge.limits.questions.borrow_mut(), &owner);
    let known = edge.limits.table.borrow().update(&target.id, edge.now());
    let ask = GrantRequest {
        from: me,
        id,
        target: target.id.clone(),
        known,
    };
    link::send_to(edge, &owner, &Packet::GrantRequest(ask));
    let Some(reply) = questions::in_time(answer).await else {
        return Grant::NotOwner;
    };
    if let Some(update) = &reply.known {
        observe(
            edge,
            &target.id,
            update.report(edge.now()),
            reply.from.as_str(),
        );
    }
    reply.grant
}

/// As the bucket owner, answers a daemon that requests a grant.
pub(crate) fn reply_to_grant_request(edge: &Edge, ask: &GrantRequest) {
    let now = edge.now();
    if let Some(update) = &ask.known {
        observe(edge, &ask.target, update.report(now), ask.from.as_str());
    }
    let target = edge.registry.borrow().target(&ask.target).cloned();
    if let Some(target) = target {
        update_ownership(edge, &target);
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

/// Applies the answer of a bucket's owner.
pub(crate) fn receive_grant(edge: &Edge, reply: GrantReply) {
    let mut requests = edge.limits.questions.borrow_mut();
    let (id, from) = (reply.id, reply.from.clone());
    questions::resolve(&mut requests, id, &from, reply, ReplyKind::Grant);
}

/// Applies the limits that a peer sent, and replies with those that are newer here.
pub(crate) fn receive(edge: &Edge, message: &LimitUpdates) {
    let now = edge.now();
    let mut newer = Vec::new();
    for limit in &message.list {
        let change = observe(
            edge,
            &limit.target,
            limit.report(now),
            message.from.as_str(),
        );
        if change == LimitChange::Outdated {
            newer.extend(edge.limits.table.borrow().update(&limit.target, now));
        }
    }
    if !newer.is_empty() {
        let packet = packet(edge, newer);
        link::send_to(edge, &message.from, &packet);
    }
}

/// Sends a newly discovered daemon the limits of the buckets that this one owns.
pub(crate) fn send_to_new_peer(edge: &Edge, peer: &NodeId) {
    let owned = edge.limits.table.borrow().owned_updates(edge.now());
    for batch in owned.chunks(MAX_PER_DATAGRAM) {
        link::send_to(edge, peer, &packet(edge, batch.to_vec()));
    }
}

/// Sends limits to the other daemons; never returns.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut last_repeated = edge.now();
    loop {
        tokio::select! {
            () = edge.limits.changed.notified() => {}
            () = edge.alarm.sleep_until(last_repeated + REPEAT_INTERVAL) => {}
        }
        tokio::time::sleep(BATCH_DELAY).await;
        let now = edge.now();
        let unsent = std::mem::take(&mut *edge.limits.unsent.borrow_mut());
        let mut list: Vec<LimitUpdate> = {
            let table = edge.limits.table.borrow();
            unsent
                .iter()
                .filter_map(|id| table.update(id, now))
                .collect()
        };
        if now - last_repeated >= REPEAT_INTERVAL {
            last_repeated = now;
            list.extend(edge.limits.table.borrow().owned_updates(now));
        }
        for batch in list.chunks(MAX_PER_DATAGRAM) {
            link::broadcast(&edge, &packet(&edge, batch.to_vec()), Reach::All);
        }
    }
}

fn packet(edge: &Edge, list: Vec<LimitUpdate>) -> Packet {
    let from = edge.settings().name.clone();
    Packet::Limits(LimitUpdates { from, list })
}

/// Starts or stops owning a target's bucket, according to the current owner of its scope.
fn update_ownership(edge: &Edge, target: &Target) {
    let now = edge.now();
    let is_owner = bucket_owner(edge, target).as_ref() == Some(&edge.settings().name);
    let mut table = edge.limits.table.borrow_mut();
    if is_owner {
        let peers = edge.peers.borrow();
        let reachable_ratio = (peers.live_count(now) + 1) as f64 / peers.daemon_count() as f64;
        table.own(&target.id, reachable_ratio, now);
    } else {
        table.disown(&target.id);
    }
}

/// Updates which buckets this daemon owns, and drops targets that are gone.
pub(crate) fn sweep(edge: &Edge) {
    questions::remove_closed(&mut edge.limits.questions.borrow_mut());
    let registry = edge.registry.borrow();
    let unreadable = &edge.limits.unreadable;
    unreadable.retain(|id| registry.is_current(id));
    if edge.limits.table.borrow().is_empty() {
        return;
    }
    let targets: Vec<&Target> = {
        let table = edge.limits.table.borrow();
        table
            .targets()
            .filter_map(|id| registry.target(id))
            .collect()
    };
    for target in targets {
        update_ownership(edge, target);
    }
    let mut table = edge.limits.table.borrow_mut();
    table.retain(|id| registry.is_current(id), edge.now());
}
