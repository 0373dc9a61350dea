//! How many orders each target has taken in its present life.
//!
//! Load pattern: an order that gets no answer may be carried out seconds later, by a target
//! that has started again in between and has forgotten which epochs it saw. A join names
//! how many orders its target took before, so a target that took another one since, or that
//! started again, refuses it. Only a life without any order takes a join that was meant for
//! an earlier life without any order; such joins are remembered for as long as they may
//! arrive.

use std::collections::BTreeMap;

use thistlesill_core::edge::{GroupRef, Order, OrderReply, TargetId};
use thistlesill_core::{InstanceId, Millis};

use super::LATE_ORDER_TIMEOUT;

/// How old a target's report of itself may be.
const REPORT_AGE: Millis = Millis::new(400);

/// The number of orders that each target has taken, as far as it is known.
#[derive(Debug, Default)]
pub(super) struct Revisions {
    known: BTreeMap<TargetId, u64>,
    /// When a target was last given an order.
    ordered: BTreeMap<TargetId, Millis>,
    /// Joins without an answer to lives that had taken no order: the group, and when the
    /// last one was given.
    unguarded: BTreeMap<InstanceId, (GroupRef, Millis)>,
    /// Until when a predecessor's joins of that kind may arrive.
    inherited: Millis,
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
    pub(super) fn note_late_join(
        &mut self,
        target: &TargetId,
        to: &GroupRef,
        taken: u64,
        now: Millis,
    ) {
        if taken == 0 {
            let late = (to.clone(), now);
            self.unguarded.insert(target.instance().clone(), late);
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

    /// Whether a later life of a target might take a join of another group than the ones
    /// that it is given from now on.
    pub(super) fn is_exposed(&self, target: &TargetId, now: Millis) -> bool {
        let unguarded = self.unguarded.contains_key(target.instance());
        unguarded || now < self.inherited && self.of(target) == Some(0)
    }

    /// Forgets targets that are gone and joins that can no longer arrive.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Millis) {
        self.known.retain(|id, _| is_listed(id));
        self.ordered.retain(|_, at| now - *at < REPORT_AGE);
        self.unguarded
            .retain(|_, (_, at)| now - *at < LATE_ORDER_TIMEOUT);
    }
}
