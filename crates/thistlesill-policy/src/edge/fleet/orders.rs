//! The orders and probes that follow from the decision on a group.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, Order, Target, TargetId};

use super::survey::{Decision, ObservedGroup};
use super::{
    FleetAction, FleetPlanner, FleetView, IDLE_PROBE_INTERVAL, MAX_FAILED_PROBES, MAX_PROBE_ROUNDS,
    ORDER_RETRY_INTERVAL, PROBE_INTERVAL, PROBE_ROUND_INTERVAL,
};

impl FleetPlanner {
    pub(super) fn execute(
        &mut self,
        view: &FleetView<'_>,
        group: &GroupRef,
        observed: &ObservedGroup<'_>,
        decision: Decision,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        match decision {
            Decision::Serve | Decision::Wait | Decision::Standby | Decision::Ended => {}
            Decision::Open => {
                let order = Order::Open(group.clone());
                self.order_leader(observed, order, "all members are ready", now, actions);
            }
            Decision::Cut => {
                let order = Order::Cut(group.clone());
                self.order_leader(observed, order, "a member is lost", now, actions);
            }
            Decision::ReplaceSlow => {
                let order = Order::Cut(group.clone());
                self.order_leader(observed, order, "a member is slow", now, actions);
            }
            Decision::DrainLeaving => {
                let order = Order::Close(group.clone());
                self.order_leader(observed, order, "a member is leaving", now, actions);
            }
            Decision::DrainToStandby => {
                let order = Order::Close(group.clone());
                self.order_leader(observed, order, "the group is not needed now", now, actions);
            }
            Decision::DrainForConversion => {
                let order = Order::Close(group.clone());
                let reason = "the group is converted to a model with more demand";
                self.order_leader(observed, order, reason, now, actions);
            }
            Decision::Dissolve => {
                let order = Order::Leave(group.clone());
                if observed.leader.is_some() {
                    let reason = "a late order could open the group again";
                    self.order_leader(observed, order, reason, now, actions);
                } else {
                    self.order_unlisted_leader(group, order, now, actions);
                }
            }
            Decision::Release => self.release_members(group, observed, now, actions),
            Decision::DrainUnlisted => {
                let order = Order::Close(group.clone());
                self.order_unlisted_leader(group, order, now, actions);
            }
            Decision::CutUnlisted => {
                let order = Order::Cut(group.clone());
                self.order_unlisted_leader(group, order, now, actions);
            }
            Decision::ProbeStalled => self.probe_stalled(view, observed, now, actions),
            Decision::ProbeSlow => self.probe_pace(view, observed, now, actions),
        }
    }

    fn order_leader(
        &mut self,
        observed: &ObservedGroup<'_>,
        order: Order,
        reason: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(leader) = observed.leader else {
            return;
        };
        let (id, address) = (leader.id.clone(), leader.address);
        let open = match &order {
            Order::Open(group) => Some(group.clone()),
            _ => None,
        };
        if self.send_order(id, address, order, reason, now, actions)
            && let Some(group) = open
        {
            *self.opening.entry(group).or_default() += 1;
        }
    }

    /// Sends an order to a leader that is no longer listed, at its last known address.
    fn order_unlisted_leader(
        &mut self,
        group: &GroupRef,
        order: Order,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let leader = self.leaders.get(group).cloned();
        let known = leader.and_then(|id| Some((id.clone(), *self.addresses.get(&id)?)));
        if let Some((id, address)) = known {
            self.send_order(
                id,
                address,
                order,
                "the leader is no longer listed",
                now,
                actions,
            );
        }
    }

    /// Sends an order unless one of the same kind was sent within [`ORDER_RETRY_INTERVAL`]. Returns
    /// whether the order was sent.
    pub(super) fn send_order(
        &mut self,
        target: TargetId,
        address: SocketAddr,
        order: Order,
        reason: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let key = (target.clone(), order.name());
        if self
            .last_orders
            .get(&key)
            .is_some_and(|at| now - *at < ORDER_RETRY_INTERVAL)
        {
            return false;
        }
        self.last_orders.insert(key, now);
        self.order_counts.record_sent(&target, now);
        actions.push(FleetAction::SendOrder {
            target,
            address,
            order,
            reason,
        });
        true
    }

    /// Probes idle targets that were slow or did not answer, to learn whether they still are: no
    /// group whose members are probed tells of them.
    pub(super) fn probe_idle(
        &mut self,
        view: &FleetView<'_>,
        free: &BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let failed = self.failed_probes.iter();
        let failed = failed.filter(|(_, (probes, _))| *probes >= MAX_FAILED_PROBES);
        let doubtful = self.slow.iter().chain(failed.map(|(id, _)| id));
        let idle = doubtful.filter(|id| free.contains(*id));
        let idle: Vec<&Target> = idle.filter_map(|id| view.targets.get(id)).collect();
        for target in idle {
            self.probe(target, IDLE_PROBE_INTERVAL, now, actions);
        }
    }

    /// Probes a target for the number of orders that it has taken, unless the number is known.
    pub(super) fn probe_orders_taken(
        &mut self,
        target: &Target,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.order_counts.needs_report(&target.id, now) {
            self.probe(target, PROBE_INTERVAL, now, actions);
        }
    }

    /// Probes a target unless it was probed less than `interval` ago.
    fn probe(
        &mut self,
        target: &Target,
        interval: Millis,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let last = self.last_probes.get(&target.id);
        if last.is_some_and(|at| now - *at < interval) {
            return;
        }
        self.last_probes.insert(target.id.clone(), now);
        actions.push(FleetAction::Probe {
            target: target.id.clone(),
            address: target.address,
        });
    }

    /// Probes the members of a slow group for their pace, once per [`PROBE_ROUND_INTERVAL`]. These
    /// rounds are not counted, since a member may die while its group is slow.
    fn probe_pace(
        &mut self,
        view: &FleetView<'_>,
        observed: &ObservedGroup<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(leader) = observed.leader else {
            return;
        };
        if !self.pace_probes.contains_key(&leader.id) {
            self.pace_probes.insert(leader.id.clone(), now);
            self.probe_members(view, observed, now, actions);
        }
    }

    /// Probes the members of a stalled group, to learn whether they are alive.
    fn probe_stalled(
        &mut self,
        view: &FleetView<'_>,
        observed: &ObservedGroup<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(leader) = observed.leader else {
            return;
        };
        let rounds = self
            .probe_rounds
            .entry(leader.id.clone())
            .or_insert((0, now));
        if now - rounds.1 >= PROBE_ROUND_INTERVAL {
            *rounds = (0, now);
        }
        if rounds.0 >= MAX_PROBE_ROUNDS {
            return;
        }
        if self.probe_members(view, observed, now, actions)
            && let Some(rounds) = self.probe_rounds.get_mut(&leader.id)
        {
            rounds.0 += 1;
        }
    }

    /// Probes all members that were not probed within [`PROBE_INTERVAL`]. Returns whether there was
    /// one.
    fn probe_members(
        &mut self,
        view: &FleetView<'_>,
        observed: &ObservedGroup<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let probes = actions.len();
        for member in &observed.members {
            if view.targets.contains_key(&member.id) {
                self.probe(member, PROBE_INTERVAL, now, actions);
            }
        }
        actions.len() > probes
    }
}
