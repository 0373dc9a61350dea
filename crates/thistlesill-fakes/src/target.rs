//! A target's handling of orders: incarnation, fence and duty.

use thistlesill_core::report::{
    Duty, Fence, Load, Membership, Order, OrderReply, Pressure, Report, Task,
};
use thistlesill_core::{GroupId, InstanceId, ServiceName};

/// A target that carries out orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The instance that the target runs on.
    pub instance: InstanceId,
    /// Number of starts so far; orders for another incarnation are refused.
    pub incarnation: u64,
    /// The target's current task: idle, a service, or a member of a group.
    pub duty: Duty,
    /// Highest fence of all accepted orders since the start.
    pub fence: Fence,
    /// Whether the target announces that it is leaving.
    pub leaving: bool,
    /// The weights in memory.
    pub warm: Option<Load>,
    /// Whether orders with a fence below [`Self::fence`] are refused.
    pub checks_orders: bool,
}

impl Target {
    /// Creates a target after its first start: a server of `service`, or idle without one.
    pub fn new(instance: InstanceId, service: Option<ServiceName>, checks_orders: bool) -> Self {
        Self {
            instance,
            incarnation: 1,
            duty: service.map_or(Duty::Idle, |name| Duty::Service { name }),
            fence: Fence::default(),
            leaving: false,
            warm: None,
            checks_orders,
        }
    }

    /// Restarts the target as a new incarnation. Only the assignment to a service survives.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.fence = Fence::default();
        self.leaving = false;
        self.warm = None;
        if !matches!(self.duty, Duty::Service { .. }) {
            self.duty = Duty::Idle;
        }
    }

    /// Carries out an order or refuses it, and returns the reply.
    pub fn apply_order(&mut self, order: &Order) -> OrderReply {
        if order.instance != self.instance || order.incarnation != self.incarnation {
            return OrderReply::Stranger;
        }
        if self.checks_orders && order.fence < self.fence {
            return OrderReply::Stale;
        }
        self.fence = self.fence.max(order.fence);
        match &order.task {
            Task::Join(m) => self.join(m.clone()),
            // Loading takes time, which the caller simulates.
            Task::Warm { .. } => {}
            Task::Reset => self.duty = Duty::Idle,
            Task::Quiesce { group, epoch } => self.quiesce(group, *epoch),
        }
        OrderReply::Taken
    }

    /// Whether the weights for a membership are already in memory.
    pub fn is_warm(&self, membership: &Membership) -> bool {
        self.warm.as_ref() == Some(&membership.load)
    }

    /// Records that the weights for a membership are loaded. The target becomes ready if it is
    /// still loading for this membership.
    pub fn finish_loading(&mut self, membership: &Membership) {
        self.warm = Some(membership.load.clone());
        if self.duty == Duty::Loading(membership.clone()) {
            self.duty = Duty::Ready(membership.clone());
        }
    }

    /// Records weights that were loaded ahead of any membership.
    pub fn set_warm(&mut self, load: Load) {
        self.warm = Some(load);
    }

    /// Returns the target's report with the given pressure and no cache events.
    pub fn report(&self, pressure: Pressure) -> Report {
        Report {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            duty: self.duty.clone(),
            fence: self.fence,
            leaving: self.leaving,
            pressure,
            cache: Vec::new(),
        }
    }

    fn join(&mut self, membership: Membership) {
        if self.duty.membership() != Some(&membership) {
            self.duty = Duty::Loading(membership);
        }
    }

    fn quiesce(&mut self, group: &GroupId, epoch: u64) {
        if let Duty::Ready(m) = &self.duty
            && m.group == *group
            && m.epoch == epoch
        {
            self.duty = Duty::Draining(m.clone());
        }
    }
}
