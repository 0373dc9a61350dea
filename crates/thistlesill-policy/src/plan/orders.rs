//! Orders that targets have not carried out yet.

use std::collections::BTreeMap;

use thistlesill_core::report::{Fence, OrderReply, Task};
use thistlesill_core::{InstanceId, Millis};

use super::ORDER_RETRY_INTERVAL;

/// An order to one target, kept until the target has carried it out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingOrder {
    pub(super) fence: Fence,
    pub(super) incarnation: u64,
    pub(super) task: Task,
    pub(super) taken: bool,
    sent: Option<Millis>,
}

/// The latest order to each target.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingOrders {
    pending: BTreeMap<InstanceId, PendingOrder>,
}

impl PendingOrders {
    /// Returns the order to a target, if there is one.
    pub(super) fn get(&self, instance: &InstanceId) -> Option<&PendingOrder> {
        self.pending.get(instance)
    }

    /// Sets the order to a target, unless it has the same order already.
    pub(super) fn set(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        task: Task,
        fence: impl FnOnce() -> Fence,
    ) {
        let same = self
            .pending
            .get(instance)
            .is_some_and(|p| p.task == task && p.incarnation == incarnation);
        if same {
            return;
        }
        let pending = PendingOrder {
            fence: fence(),
            incarnation,
            task,
            taken: false,
            sent: None,
        };
        self.pending.insert(instance.clone(), pending);
    }

    /// Removes the order to a target.
    pub(super) fn discard(&mut self, instance: &InstanceId) {
        self.pending.remove(instance);
    }

    /// Returns the orders to send now, and marks them as sent.
    pub(super) fn due(&mut self, now: Millis) -> Vec<(InstanceId, PendingOrder)> {
        let mut due = Vec::new();
        for (instance, pending) in &mut self.pending {
            let recently_sent = pending.sent.is_some_and(|t| now - t < ORDER_RETRY_INTERVAL);
            if pending.taken || recently_sent {
                continue;
            }
            pending.sent = Some(now);
            due.push((instance.clone(), pending.clone()));
        }
        due
    }

    /// Records the answer to an order.
    ///
    /// A target that answers [`OrderReply::Stranger`] has restarted. Its order is removed, and its
    /// next report shows its new state.
    pub(super) fn answered(
        &mut self,
        instance: &InstanceId,
        fence: Fence,
        reply: Option<OrderReply>,
    ) {
        let Some(pending) = self.pending.get_mut(instance) else {
            return;
        };
        if pending.fence != fence {
            return;
        }
        match reply {
            Some(OrderReply::Taken) => pending.taken = true,
            Some(OrderReply::Stranger | OrderReply::Stale) => self.discard(instance),
            None => {}
        }
    }

    /// Makes an order that was taken due again, because the target's reports show that it did not
    /// carry the order out.
    pub(super) fn retry(&mut self, instance: &InstanceId) {
        if let Some(pending) = self.pending.get_mut(instance) {
            pending.taken = false;
        }
    }

    /// Removes all orders.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
