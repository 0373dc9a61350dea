//! Counts the orders that each target has taken in its present incarnation.
//!
//! Load pattern: an order that gets no answer may be carried out seconds later, by a target that
//! has restarted in between and has lost the epochs that it saw. A join names how many orders its
//! target took before, so a target that has taken another one since, or has restarted, refuses it.
//! Only an incarnation without any order accepts a join that was meant for an earlier incarnation
//! without any order. Such joins are remembered for as long as they may arrive.

use std::collections::{BTreeMap, BTreeSet};

use thistlesill_core::edge::{Order, OrderReply, TargetId};
use thistlesill_core::{InstanceId, Millis};

use super::LATE_ORDER_TIMEOUT;

/// Time after an order during which no report of its target counts, since the report may be older
/// than the order.
const MAX_REPORT_AGE: Millis = Millis::new(400);

/// How long an instance is remembered whose entry is gone, or shows no group.
const MEMBERSHIP_RETENTION: Millis = Millis::new(30_000);

/// The number of orders that each target has taken, where it is known.
#[derive(Debug, Default)]
pub(super) struct OrderCounts {
    counts: BTreeMap<TargetId, u64>,
    /// When an order was last sent to a target.
    last_orders: BTreeMap<TargetId, Millis>,
    /// When a join to an incarnation that had taken no order last got no answer.
    unguarded_joins: BTreeMap<InstanceId, Millis>,
    /// Until when joins that a predecessor sent to such incarnations may arrive.
    inherited_until: Millis,
    /// The first and the last time at which an instance's last incarnation was seen as a member of
    /// a group, and so had taken an order.
    membership_spans: BTreeMap<InstanceId, (Millis, Millis)>,
    /// Incarnations to which no predecessor sent an order, and whose instances had no such joins in
    /// flight.
    cleared: BTreeSet<TargetId>,
}

impl OrderCounts {
    /// Begins a term. Unless the term is the first, another planner may have sent orders until now.
    pub(super) fn begin_term(&mut self, is_first: bool, now: Millis) {
        self.counts.clear();
        if !is_first {
            self.inherited_until = now + LATE_ORDER_TIMEOUT;
        }
    }

    /// Records a target that has taken no order yet.
    pub(super) fn record_started(&mut self, target: &TargetId) {
        self.counts.insert(target.clone(), 0);
    }

    /// Records an incarnation that was listed for the first time in this planner's term.
    ///
    /// A join that an earlier incarnation may have been sent as its first order is too old to
    /// arrive if that incarnation was seen as a member of a group long enough ago, or if there was
    /// no earlier one (`is_new`).
    pub(super) fn record_appeared(&mut self, target: &TargetId, is_new: bool, now: Millis) {
        self.record_started(target);
        let span = self.membership_spans.get(target.instance());
        let long_ago = span.is_some_and(|(since, _)| now - *since >= LATE_ORDER_TIMEOUT);
        if is_new || long_ago {
            self.cleared.insert(target.clone());
        }
    }

    /// Records an incarnation that is listed for the first time.
    pub(super) fn record_listed(&mut self, target: &TargetId) {
        self.membership_spans.remove(target.instance());
    }

    /// Records that a target is a member of a group, so that it has taken an order.
    pub(super) fn record_member(&mut self, target: &TargetId, now: Millis) {
        match self.membership_spans.get_mut(target.instance()) {
            Some((_, seen)) => *seen = now,
            None => drop(
                self.membership_spans
                    .insert(target.instance().clone(), (now, now)),
            ),
        }
    }

    /// Returns the number of orders that a target has taken, if known.
    pub(super) fn get(&self, target: &TargetId) -> Option<u64> {
        self.counts.get(target).copied()
    }

    /// Records that a target was sent an order.
    pub(super) fn record_sent(&mut self, target: &TargetId, now: Millis) {
        self.last_orders.insert(target.clone(), now);
    }

    /// Applies the reply to an order.
    pub(super) fn apply_reply(&mut self, target: &TargetId, order: &Order, reply: OrderReply) {
        match (order, reply) {
            // A member leaves at once, so its reply is not `Begun`, but the order counts.
            (_, OrderReply::Begun) | (Order::Leave(_), OrderReply::Held) => {
                if let Some(taken) = self.counts.get_mut(target) {
                    *taken += 1;
                }
            }
            (_, OrderReply::Unknown | OrderReply::Unfit) => {
                self.counts.remove(target);
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

    /// Records an unanswered join that named `taken` orders.
    pub(super) fn record_late_join(&mut self, target: &TargetId, taken: u64, now: Millis) {
        if taken == 0 {
            self.unguarded_joins.insert(target.instance().clone(), now);
        }
    }

    /// Returns whether a target's number of taken orders is unknown, and no order was sent so
    /// recently that a report could miss it.
    pub(super) fn needs_report(&self, target: &TargetId, now: Millis) -> bool {
        let is_old_enough = |at: &Millis| now - *at >= MAX_REPORT_AGE;
        !self.counts.contains_key(target) && self.last_orders.get(target).is_none_or(is_old_enough)
    }

    /// Records the number of orders that a target reports, unless an order may have followed the
    /// report.
    pub(super) fn record_reported(&mut self, target: &TargetId, taken: u64, now: Millis) {
        if self.needs_report(target, now) {
            self.counts.insert(target.clone(), taken);
        }
    }

    /// Returns whether a later incarnation of a target might accept a join that was sent to an
    /// earlier one, so that the target must not join another group yet.
    pub(super) fn may_take_stale_join(&self, target: &TargetId, now: Millis) -> bool {
        let unguarded = self.unguarded_joins.contains_key(target.instance());
        let inherits = now < self.inherited_until && !self.cleared.contains(target);
        unguarded || inherits && self.get(target) == Some(0)
    }

    /// Drops targets that are gone and joins that can no longer arrive.
    pub(super) fn retain(&mut self, is_listed: impl Fn(&TargetId) -> bool, now: Millis) {
        self.counts.retain(|id, _| is_listed(id));
        self.cleared.retain(|id| is_listed(id));
        self.membership_spans
            .retain(|_, (_, seen)| now - *seen < MEMBERSHIP_RETENTION);
        self.last_orders.retain(|_, at| now - *at < MAX_REPORT_AGE);
        self.unguarded_joins
            .retain(|_, at| now - *at < LATE_ORDER_TIMEOUT);
    }
}
