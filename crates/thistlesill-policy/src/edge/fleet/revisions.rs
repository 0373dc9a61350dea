//! How many orders each target has taken in its present life.
//!
//! Load pattern: an order that gets no answer may be carried out seconds later, by a target
//! that has started again in between and has forgotten which epochs it saw. A join names
//! how many orders its target took before, so a target that took another one since, or that
//! started again, refuses it. Only a life without any order takes a join that was meant for
//! an earlier life without any order; such joins are remembered for as long as they may
//! arrive.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{Order, OrderReply, TargetId};
use thistlesill_core::{InstanceId, Millis};

use super::LATE_ORDER_TIMEOUT;

/// How old a target's report of itself may be.
const REPORT_AGE: Millis = Millis::new(400);

/// How long an instance is remembered whose entry is gone, or shows no group.
const ENGAGED_RETENTION: Millis = Millis::new(30_000);

/// The number of orders that each target has taken, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    known: BTreeMap<TargetId, u64>,
    /// When a target was last given an order.
    ordered: BTreeMap<TargetId, Millis>,
    /// When a join to a life that had taken no order last got no answer.
    unguarded: BTreeMap<InstanceId, Millis>,
    /// Until when a predecessor's joins of that kind may arrive.
    inherited: Millis,
    /// Since when the last life of an instance is known to have taken an order, and when it
    /// was last seen.
    engaged: BTreeMap<InstanceId, (Millis, Millis)>,
    /// Lives to which no predecessor gave an order, and whose instances had none of such
    /// joins under way.
    cleared: BTreeSet<TargetId>,
}

impl Revisions {
    /// Begins a term: another planner may have given orders until now, if there was one.
    pub(super) fn begin_term(&mut self, is_first: bool, now: Millis) {
        self.known.clear();
        if !is_first {
            self.inherited = now + LATE_ORDER_TIMEOUT;
        }
    }

    /// Notes a target that has taken no order yet.
    pub(super) fn note_started(&mut self, target: &TargetId) {
        self.known.insert(target.clone(), 0);
    }

    /// Notes a life that was listed for the first time in this planner's term.
    ///
    /// A join that an earlier life may have been given as its first order is too old to
    /// arrive if that life was seen to have taken one long enough ago, or if there was no
    /// earlier life (`is_new`).
    pub(super) fn note_appeared(&mut self, target: &TargetId, is_new: bool, now: Millis) {
        self.note_started(target);
        let engaged = self.engaged.get(target.instance());
        let long_ago = engaged.is_some_and(|(since, _)| now - *since >= LATE_ORDER_TIMEOUT);
        if is_new || long_ago {
            self.cleared.insert(target.clone());
        }
    }

    /// Notes a life that is listed for the first time.
    pub(super) fn note_listed(&mut self, target: &TargetId) {
        self.engaged.remove(target.instance());
    }

    /// Notes that a target is a member of a group, so that it has taken an order.
    pub(super) fn note_member(&mut self, target: &TargetId, now: Millis) {
        match self.engaged.get_mut(target.instance()) {
            Some((_, seen)) => *seen = now,
            None => drop(self.engaged.insert(target.instance().clone(), (now, now))),
        }
    }

    /// The number of orders that a target has taken.
    pub(super) fn of(&self, target: &TargetId) -> Option<u64> {
        self.known.get(target).copied()
    }

    /// Notes that a target was given an order.
    pub(super) fn note_given(&mut self, target: &TargetId, now: Millis) {
        self.ordered.insert(target.clone(), now);
    }

    /// Takes in what became of an order.
    pub(super) fn note_reply(&mut self, target: &TargetId, order: &Order, reply: OrderReply) {
        match (order, reply) {
            // A member leaves at once, so there is nothing to begin, but that counts.
            (_, OrderReply::Begun) | (Order::Leave(_), OrderReply::Held) => {
                if let Some(taken) = self.known.get_mut(target) {
                    *taken += 1;
                }
            }
            (_, OrderReply::Unknown | OrderReply::Unfit) => {
                self.known.remove(target);
            }
            (
                _,
                OrderReply::Held
                | OrderReply::Outdated
                | OrderReply::Elsewhere
                | OrderReply::Denied(_)
                | OrderReply::Refused,
            ) => {}
        }
    }

    /// Takes in a join without an answer, which named `taken` orders.
    pub(super) fn note_late_join(&mut self, target: &TargetId, taken: u64, now: Millis) {
        if taken == 0 {
            self.unguarded.insert(target.instance().clone(), now);
        }
    }

    /// Whether a target's report would tell how many orders it took, which is not known.
    pub(super) fn needs_report(&self, target: &TargetId, now: Millis) -> bool {
        let is_settled = |at: &Millis| now - *at >= REPORT_AGE;
        !self.known.contains_key(target) && self.ordered.get(target).is_none_or(is_settled)
    }

    /// Takes in what a target reports of itself, unless an order may have followed since.
    pub(super) fn note_reported(&mut self, target: &TargetId, taken: u64, now: Millis) {
        if self.needs_report(target, now) {
            self.known.insert(target.clone(), taken);
        }
    }

    /// Whether a later life of a target might take a join that an earlier one was given, so
    /// that the target must not join another group yet.
    pub(super) fn is_exposed(&self, target: &TargetId, now: Millis) -> bool {
        let unguarded = self.unguarded.contains_key(target.instance());
        let inherits = now < self.inherited && !self.cleared.contains(target);
        unguarded || inherits && self.of(target) == Some(0)
    }

    /// Forgets targets that are gone and joins that can no longer arrive.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Millis) {
        self.known.retain(|id, _| is_listed(id));
        self.cleared.retain(|id| is_listed(id));
        self.engaged
            .retain(|_, (_, seen)| now - *seen < ENGAGED_RETENTION);
        self.ordered.retain(|_, at| now - *at < REPORT_AGE);
        self.unguarded
            .retain(|_, at| now - *at < LATE_ORDER_TIMEOUT);
    }
}
