//! Orders that bring the targets to what is planned.

use std::collections::BTreeMap;

use thistlesill_core::message::ObservedState;
use thistlesill_core::report::{Fence, Order, Task};
use thistlesill_core::row::Held;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{InstanceId, Millis};

use super::{EPOCH_BITS, EPOCH_MASK, HallPlanner, join_tasks, quiesce_task};
use crate::charts::GroupState;
use crate::placement::Pool;
use crate::plan::PlanAction;
use crate::presence::Observed;

/// The weight of downtime from which spares are kept warm.
const WARM_FROM: f64 = 0.5;

impl HallPlanner {
    /// Compares what targets report with the plan.
    pub(super) fn want_orders(&mut self, observed: &BTreeMap<InstanceId, Observed>) {
        let mut joins = Vec::new();
        for planned in self.groups.values() {
            match planned.state {
                GroupState::Planned => joins.extend(join_tasks(planned)),
                GroupState::Draining => joins.extend(quiesce_task(planned)),
                GroupState::Loading | GroupState::Serving | GroupState::Ended => {}
            }
        }
        for (instance, seen) in observed {
            if seen.sighting.hall == self.options.hall && self.needs_reset(instance, seen) {
                joins.push((instance.clone(), Task::Reset));
            }
        }
        joins.extend(self.warm_tasks());
        for (instance, task) in joins {
            let Some(seen) = observed.get(&instance) else {
                continue;
            };
            self.want_order(&instance, seen, task);
        }
    }

    /// Spares load what their pool runs, so that a repair needs no loading.
    ///
    /// Only while nothing is about to be formed: an instance that joins a
    /// group has an older fence then. One that left a group has the weights
    /// already.
    fn warm_tasks(&self) -> Vec<(InstanceId, Task)> {
        if self.unfinished || self.is_flying() {
            return Vec::new();
        }
        let weighs_downtime = |p: &&Pool| p.want.downtime_weight >= WARM_FROM;
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

    pub(super) fn want_order(&mut self, instance: &InstanceId, seen: &Observed, task: Task) {
        let Some(term) = self.lease.known_term() else {
            return;
        };
        let epoch = match &task {
            Task::Join(m) => m.epoch,
            Task::Reset | Task::Warm { .. } | Task::Quiesce { .. } => {
                (term << EPOCH_BITS) | (self.counter + 1)
            }
        };
        let before = self.orders.get(instance).map(|p| p.fence);
        let fence = Fence { term, epoch };
        self.orders
            .want(instance, seen.sighting.incarnation, task, || fence);
        if self.orders.get(instance).map(|p| p.fence) != before && epoch & EPOCH_MASK > self.counter
        {
            self.counter += 1;
        }
    }

    /// Whether a target holds something that the plan does not.
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

    pub(super) fn give_orders(&mut self, observed: &BTreeMap<InstanceId, Observed>, now: Millis) {
        if now < self.quiet || self.lease.term(now).is_none() {
            return;
        }
        self.reopen_ignored(observed);
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
            self.out.push(PlanAction::Give {
                order,
                address: seen.sighting.address,
            });
        }
    }

    /// An order that was taken but whose target still shows a group that it
    /// should have left is sent again.
    pub(super) fn reopen_ignored(&mut self, observed: &BTreeMap<InstanceId, Observed>) {
        for (instance, seen) in observed {
            let order = self.orders.get(instance);
            let resets = order.is_some_and(|p| p.task == Task::Reset && p.taken);
            if resets && seen.sighting.state.membership().is_some() {
                self.orders.reopen(instance);
            }
        }
    }

    pub(super) fn note(&mut self, what: TimelineEvent) {
        self.out.push(PlanAction::Note(what));
    }
}
