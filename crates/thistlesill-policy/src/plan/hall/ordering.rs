//! Orders that bring the targets to the planned state.

use std::collections::BTreeMap;

use thistlesill_core::message::ObservedState;
use thistlesill_core::report::{Fence, Order, Task};
use thistlesill_core::row::Held;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{InstanceId, Millis};

use super::{EPOCH_COUNTER_BITS, EPOCH_COUNTER_MASK, HallPlanner, join_tasks, quiesce_task};
use crate::charts::GroupState;
use crate::placement::Pool;
use crate::plan::PlanAction;
use crate::presence::Observed;

/// The downtime weight from which on spares are kept warm.
const MIN_WARM_WEIGHT: f64 = 0.5;

impl HallPlanner {
    /// Queues orders wherever the reports of the targets differ from the plan.
    pub(super) fn queue_orders(&mut self, observed: &BTreeMap<InstanceId, Observed>) {
        let mut wanted = Vec::new();
        for planned in self.groups.values() {
            match planned.state {
                GroupState::Planned => wanted.extend(join_tasks(planned)),
                GroupState::Draining => wanted.extend(quiesce_task(planned)),
                GroupState::Loading | GroupState::Serving | GroupState::Ended => {}
            }
        }
        for (instance, seen) in observed {
            if seen.sighting.hall == self.options.hall && self.needs_reset(instance, seen) {
                wanted.push((instance.clone(), Task::Reset));
            }
        }
        wanted.extend(self.warm_tasks());
        for (instance, task) in wanted {
            let Some(seen) = observed.get(&instance) else {
                continue;
            };
            self.queue_order(&instance, seen, task);
        }
    }

    /// Returns orders that make spares load what their pool runs, so that a repair needs no
    /// loading.
    ///
    /// There are none while a group is about to be formed. The fence of a join order is fixed when
    /// its group is planned; a warm order sent after that would have a higher fence, and the target
    /// would refuse the join order as stale. An instance that has left a group has the weights
    /// already.
    fn warm_tasks(&self) -> Vec<(InstanceId, Task)> {
        if self.in_transition || self.has_plan_flight() {
            return Vec::new();
        }
        let weighs_downtime = |p: &&Pool| p.want.downtime_weight >= MIN_WARM_WEIGHT;
        let pools = self.pools.iter().filter(weighs_downtime);
        let serving = pools.filter(|p| !p.groups.is_empty());
        let mut tasks = Vec::new();
        for pool in serving {
            let spares = pool
                .free
                .iter()
                .filter(|f| !self.held.contains_key(&f.instance));
            for free in spares.take(pool.want.spares as usize) {
                let load = pool.want.load.clone();
                tasks.push((free.instance.clone(), Task::Warm { load }));
            }
        }
        tasks
    }

    pub(super) fn queue_order(&mut self, instance: &InstanceId, seen: &Observed, task: Task) {
        let Some(term) = self.lease.known_term() else {
            return;
        };
        let epoch = match &task {
            Task::Join(m) => m.epoch,
            Task::Reset | Task::Warm { .. } | Task::Quiesce { .. } => {
                (term << EPOCH_COUNTER_BITS) | (self.epoch_counter + 1)
            }
        };
        let old_fence = self.orders.get(instance).map(|p| p.fence);
        let fence = Fence { term, epoch };
        self.orders
            .set(instance, seen.sighting.incarnation, task, || fence);
        if self.orders.get(instance).map(|p| p.fence) != old_fence
            && epoch & EPOCH_COUNTER_MASK > self.epoch_counter
        {
            self.epoch_counter += 1;
        }
    }

    /// Returns whether a target holds something that the plan does not.
    pub(super) fn needs_reset(&self, instance: &InstanceId, seen: &Observed) -> bool {
        let member = seen.sighting.state.membership();
        match self.held.get(instance).map(|h| &h.row.held) {
            Some(Held::Member { .. }) => false,
            Some(Held::Aside { incarnation }) => {
                let same = seen.sighting.incarnation == *incarnation;
                member.is_some() || same && seen.sighting.state == ObservedState::Idle
            }
            None => member.is_some(),
        }
    }

    pub(super) fn send_orders(&mut self, observed: &BTreeMap<InstanceId, Observed>, now: Millis) {
        if now < self.quiet_until || self.lease.term(now).is_none() {
            return;
        }
        self.retry_ignored_resets(observed);
        for (instance, pending) in self.orders.due(now) {
            let Some(seen) = observed.get(&instance) else {
                continue;
            };
            self.note(TimelineEvent::Ordered {
                instance: instance.clone(),
                term: pending.fence.term,
                epoch: pending.fence.epoch,
            });
            let order = Order {
                instance,
                incarnation: pending.incarnation,
                fence: pending.fence,
                task: pending.task,
            };
            self.out.push(PlanAction::SendOrder {
                order,
                address: seen.sighting.address,
            });
        }
    }

    /// Sends a reset again if its target took it but still reports a group.
    pub(super) fn retry_ignored_resets(&mut self, observed: &BTreeMap<InstanceId, Observed>) {
        for (instance, seen) in observed {
            let order = self.orders.get(instance);
            let resets = order.is_some_and(|p| p.task == Task::Reset && p.taken);
            if resets && seen.sighting.state.membership().is_some() {
                self.orders.retry(instance);
            }
        }
    }

    pub(super) fn note(&mut self, what: TimelineEvent) {
        self.out.push(PlanAction::Note(what));
    }
}
