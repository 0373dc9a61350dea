//! The orders and probes that follow from what a group needs.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, Order, Target, TargetId};

use super::survey::{Standing, Verdict};
use super::{
    FleetAction, FleetPlanner, FleetView, ORDER_RETRY_INTERVAL, PROBE_INTERVAL,
    PROBE_ROUND_INTERVAL, PROBE_ROUNDS, SLOW_PROBE_INTERVAL,
};

impl FleetPlanner {
    pub(super) fn carry_out(
        &mut self,
        view: &FleetView<'_>,
        group: &GroupRef,
        standing: &Standing<'_>,
        verdict: Verdict,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        match verdict {
            Verdict::Serve | Verdict::Wait | Verdict::Standby | Verdict::Void => {}
            Verdict::Open => {
                let order = Order::Open(group.clone());
                self.give_leader(standing, order, "all members are ready", now, actions);
            }
            Verdict::Cut => {
                let order = Order::Cut(group.clone());
                self.give_leader(standing, order, "a member is lost", now, actions);
            }
            Verdict::Replace => {
                let order = Order::Cut(group.clone());
                self.give_leader(standing, order, "a member is slow", now, actions);
            }
            Verdict::Retire => {
                let order = Order::Close(group.clone());
                self.give_leader(standing, order, "a member is leaving", now, actions);
            }
            Verdict::Rest => {
                let order = Order::Close(group.clone());
                self.give_leader(standing, order, "the group is not wanted now", now, actions);
            }
            Verdict::GiveWay => {
                let order = Order::Close(group.clone());
                let why = "the group gives way to a model that is asked for more";
                self.give_leader(standing, order, why, now, actions);
            }
            Verdict::Dissolve => {
                let order = Order::Leave(group.clone());
                if standing.leader.is_some() {
                    let why = "a late order could open the group again";
                    self.give_leader(standing, order, why, now, actions);
                } else {
                    self.give_lost_leader(group, order, now, actions);
                }
            }
            Verdict::Release => self.release(group, standing, now, actions),
            Verdict::Dismiss => {
                let order = Order::Close(group.clone());
                self.give_lost_leader(group, order, now, actions);
            }
            Verdict::Stop => {
                let order = Order::Cut(group.clone());
                self.give_lost_leader(group, order, now, actions);
            }
            Verdict::Probe => self.probe_stalled(view, standing, now, actions),
            Verdict::Ask => self.ask_members(view, standing, now, actions),
        }
    }

    fn give_leader(
        &mut self,
        standing: &Standing<'_>,
        order: Order,
        why: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(leader) = standing.leader else {
            return;
        };
        let (id, address) = (leader.id.clone(), leader.address);
        let open = match &order {
            Order::Open(group) => Some(group.clone()),
            _ => None,
        };
        if self.give(id, address, order, why, now, actions)
            && let Some(group) = open
        {
            *self.opening.entry(group).or_default() += 1;
        }
    }

    /// Gives an order to a leader that is no longer listed, where it was last.
    fn give_lost_leader(
        &mut self,
        group: &GroupRef,
        order: Order,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let leader = self.leaders.get(group).cloned();
        let known = leader.and_then(|id| Some((id.clone(), *self.addresses.get(&id)?)));
        if let Some((id, address)) = known {
            self.give(
                id,
                address,
                order,
                "the leader is no longer listed",
                now,
                actions,
            );
        }
    }

    /// Gives an order unless the same kind was given a moment ago; returns
    /// whether it was given.
    pub(super) fn give(
        &mut self,
        target: TargetId,
        address: SocketAddr,
        order: Order,
        why: &'static str,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let slot = (target.clone(), order.name());
        if self
            .given
            .get(&slot)
            .is_some_and(|at| now - *at < ORDER_RETRY_INTERVAL)
        {
            return false;
        }
        self.given.insert(slot, now);
        self.revisions.note_given(&target, now);
        actions.push(FleetAction::SendOrder {
            target,
            address,
            order,
            reason: why,
        });
        true
    }

    /// Asks idle targets that were slow whether they still are.
    pub(super) fn ask_slow(
        &mut self,
        view: &FleetView<'_>,
        free: &BTreeSet<TargetId>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let slow = self.slow.iter().filter(|id| free.contains(*id));
        let slow: Vec<&Target> = slow.filter_map(|id| view.targets.get(id)).collect();
        for target in slow {
            self.probe(target, SLOW_PROBE_INTERVAL, now, actions);
        }
    }

    /// Asks a target how many orders it took, unless that is known.
    pub(super) fn ask_taken(
        &mut self,
        target: &Target,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        if self.revisions.needs_report(&target.id, now) {
            self.probe(target, PROBE_INTERVAL, now, actions);
        }
    }

    /// Probes a target unless that was done less than `gap` ago.
    fn probe(&mut self, target: &Target, gap: Millis, now: Millis, actions: &mut Vec<FleetAction>) {
        let last = self.probed.get(&target.id);
        if last.is_some_and(|at| now - *at < gap) {
            return;
        }
        self.probed.insert(target.id.clone(), now);
        actions.push(FleetAction::Probe {
            target: target.id.clone(),
            address: target.address,
        });
    }

    /// Asks the members of a slow group for their pace, once in a while. These
    /// rounds do not count: a member may die while its group is slow.
    fn ask_members(
        &mut self,
        view: &FleetView<'_>,
        standing: &Standing<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(leader) = standing.leader else {
            return;
        };
        if !self.asked.contains_key(&leader.id) {
            self.asked.insert(leader.id.clone(), now);
            self.probe_members(view, standing, now, actions);
        }
    }

    /// Asks the members of a group that stands still whether they live.
    fn probe_stalled(
        &mut self,
        view: &FleetView<'_>,
        standing: &Standing<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let Some(leader) = standing.leader else {
            return;
        };
        let rounds = self.rounds.entry(leader.id.clone()).or_insert((0, now));
        if now - rounds.1 >= PROBE_ROUND_INTERVAL {
            *rounds = (0, now);
        }
        if rounds.0 >= PROBE_ROUNDS {
            return;
        }
        if self.probe_members(view, standing, now, actions)
            && let Some(rounds) = self.rounds.get_mut(&leader.id)
        {
            rounds.0 += 1;
        }
    }

    /// Probes all members that were not asked a moment ago; returns whether
    /// there was one.
    fn probe_members(
        &mut self,
        view: &FleetView<'_>,
        standing: &Standing<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) -> bool {
        let probes = actions.len();
        for member in &standing.members {
            if view.targets.contains_key(&member.id) {
                self.probe(member, PROBE_INTERVAL, now, actions);
            }
        }
        actions.len() > probes
    }
}
