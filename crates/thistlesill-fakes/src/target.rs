//! A target's side of orders: incarnation, fence and duty.

use thistlesill_core::report::{
    Duty, Fence, Load, Membership, Order, OrderReply, Pressure, Report, Task,
};
use thistlesill_core::{GroupId, InstanceId, ServiceName};

/// A target that takes orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its instance.
    pub instance: InstanceId,
    /// Changes with every start.
    pub incarnation: u64,
    /// What it does.
    pub duty: Duty,
    /// The highest fence seen.
    pub fence: Fence,
    /// Whether it says that it is leaving.
    pub leaving: bool,
    /// Weights in memory.
    pub warm: Option<Load>,
    /// Whether it refuses stale orders.
    pub checks_orders: bool,
}

impl Target {
    /// A target after its first start.
    pub fn new(instance: InstanceId, service: Option<ServiceName>, checks: bool) -> Self {
        Self {
            instance,
            incarnation: 1,
            duty: service.map_or(Duty::Idle, |name| Duty::Service { name }),
            fence: Fence::default(),
            leaving: false,
            warm: None,
            checks_orders: checks,
        }
    }

    /// Starts anew: its memory is lost.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.fence = Fence::default();
        self.leaving = false;
        self.warm = None;
        if !matches!(self.duty, Duty::Service { .. }) {
            self.duty = Duty::Idle;
        }
    }

    /// Takes an order, or refuses it.
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
            // Loading takes time, which the target's owner keeps.
            Task::Warm { .. } => {}
            Task::Reset => self.duty = Duty::Idle,
            Task::Quiesce { group, epoch } => self.quiesce(group, *epoch),
        }
        OrderReply::Taken
    }

    /// Whether joining this group needs no loading.
    pub fn is_warm(&self, membership: &Membership) -> bool {
        self.warm.as_ref() == Some(&membership.load)
    }

    /// Notes that the weights for a membership are loaded.
    pub fn finish_loading(&mut self, membership: &Membership) {
        self.warm = Some(membership.load.clone());
        if self.duty == Duty::Loading(membership.clone()) {
            self.duty = Duty::Ready(membership.clone());
        }
    }

    /// Notes that weights are loaded for no group yet.
    pub fn set_warm(&mut self, load: Load) {
        self.warm = Some(load);
    }

    /// Its report, with these figures.
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
