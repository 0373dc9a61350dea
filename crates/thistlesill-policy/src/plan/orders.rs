//! Orders that targets have not followed yet.

use std::collections::BTreeMap;

use thistlesill_core::report::{Fence, OrderReply, Task};
use thistlesill_core::{InstanceId, Millis};

use super::REPEAT;

/// An order to one target, kept until it is followed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Pending {
    pub(super) fence: Fence,
    pub(super) incarnation: u64,
    pub(super) task: Task,
    pub(super) taken: bool,
    sent: Option<Millis>,
}

/// The latest order to each target.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderBook {
    pending: BTreeMap<InstanceId, Pending>,
}

impl OrderBook {
    /// The order to a target, if one is kept.
    pub(super) fn get(&self, instance: &InstanceId) -> Option<&Pending> {
        self.pending.get(instance)
    }

    /// Keeps an order, unless the same one is kept already.
    pub(super) fn want(
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
        let pending = Pending {
            fence: fence(),
            incarnation,
            task,
            taken: false,
            sent: None,
        };
        self.pending.insert(instance.clone(), pending);
    }

    /// Forgets the order to a target.
    pub(super) fn drop(&mut self, instance: &InstanceId) {
        self.pending.remove(instance);
    }

    /// Orders to send now; each counts as sent from here on.
    pub(super) fn due(&mut self, now: Millis) -> Vec<(InstanceId, Pending)> {
        let mut due = Vec::new();
        for (instance, pending) in &mut self.pending {
            let waits = pending.sent.is_some_and(|t| now - t < REPEAT);
            if pending.taken || waits {
                continue;
            }
            pending.sent = Some(now);
            due.push((instance.clone(), pending.clone()));
        }
        due
    }

    /// Takes in an answer.
    ///
    /// A target that says it is a stranger to the order started anew: the
    /// order is dropped, and its next report tells what it is now.
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
            Some(OrderReply::Stranger | OrderReply::Stale) => self.drop(instance),
            None => {}
        }
    }

    /// Sends a taken order again when the target's reports show that it was
    /// not followed.
    pub(super) fn reopen(&mut self, instance: &InstanceId) {
        if let Some(pending) = self.pending.get_mut(instance) {
            pending.taken = false;
        }
    }

    /// Forgets all orders.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}
