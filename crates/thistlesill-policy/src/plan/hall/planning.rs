//! Comparison of the plan with the reports, and the changes that follow.

use std::collections::BTreeMap;

use thistlesill_core::message::ObservedState;
use thistlesill_core::report::{Load, Task};
use thistlesill_core::row::{GroupRow, Held, InstanceRow, group_key, instance_key, term_key};
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::table::Txn;
use thistlesill_core::timeline::EndReason;
use thistlesill_core::{GroupId, InstanceId, Millis};

use super::{
    Availability, DEFAULT_DRAIN_TIMEOUT, EPOCH_COUNTER_BITS, FORMING_DELAY, Flight, HallPlanner,
    MIN_SERVING_TIME, PlanChange, PlannedGroup, RELEASE_TIMEOUT,
};
use crate::charts::{GroupEvent, GroupState};
use crate::placement::{
    ExistingGroup, FreeInstance, NewGroup, Placement, Pool, PoolKey, first_fit, place, rebuild,
};
use crate::plan::assess::{Assessment, MemberStatus, assess};
use crate::plan::{DEFAULT_CONCURRENT_LOADS, MISSING_MEMBER_TIMEOUT, PlanAction, Strategy, pools};
use crate::presence::{Observed, View};

impl HallPlanner {
    pub(super) fn update(
        &mut self,
        view: &View,
        observed: &BTreeMap<InstanceId, Observed>,
        tree: &Tree,
        now: Millis,
    ) {
        self.assess_all(view, observed, tree, now);
        self.pools = self.collect_pools(observed, tree, now);
        self.in_transition =
            self.pools.iter().any(|p| p.ending > 0) || !place(&self.pools, now).form.is_empty();
        if !self.has_plan_flight() {
            let change = self.decide(observed, tree, now);
            self.write_plan(change);
        }
        self.queue_orders(observed);
        self.send_orders(observed, now);
    }

    pub(super) fn assess_all(
        &mut self,
        view: &View,
        observed: &BTreeMap<InstanceId, Observed>,
        tree: &Tree,
        now: Millis,
    ) {
        let mut ids: Vec<GroupId> = self.groups.keys().cloned().collect();
        ids.sort();
        for id in ids {
            let Some(planned) = self.groups.get_mut(&id) else {
                continue;
            };
            let found = assess(&planned.row, observed, now);
            if found.any(MemberStatus::Missing) {
                planned.missing_since.get_or_insert(now);
            } else {
                planned.missing_since = None;
            }
            planned.assessment = Some(found);
            self.advance(&id, view, tree, now);
        }
    }

    pub(super) fn advance(&mut self, id: &GroupId, view: &View, tree: &Tree, now: Millis) {
        let Some(planned) = self.groups.get(id) else {
            return;
        };
        let Some(found) = planned.assessment.clone() else {
            return;
        };
        let was_complete = matches!(planned.state, GroupState::Serving | GroupState::Draining);
        let missing_long = planned
            .missing_since
            .is_some_and(|t| now - t >= MISSING_MEMBER_TIMEOUT);
        let orders_taken = planned.state != GroupState::Planned;
        if let Some(why) = found.end_reason(orders_taken, missing_long) {
            self.apply(id, GroupEvent::End, Some(why), now);
            return;
        }
        let taken = |s| {
            matches!(
                s,
                MemberStatus::Loading | MemberStatus::Ready | MemberStatus::Draining
            )
        };
        if found.all(|s| s == MemberStatus::Ready) {
            self.apply(id, GroupEvent::Complete, None, now);
        } else if !was_complete && found.all(taken) {
            self.apply(id, GroupEvent::Taken, None, now);
        }
        if let Some(why) = self.drain_reason(id, &found, tree, now) {
            self.apply(id, GroupEvent::Drain, Some(why), now);
        }
        if self.is_empty(id, view, tree, now) {
            self.apply(id, GroupEvent::Emptied, None, now);
        }
    }

    /// Returns why a group has to drain, if it has to.
    ///
    /// A leaving member drains its group at once. A change of the settings drains one group at a
    /// time, while all others serve.
    pub(super) fn drain_reason(
        &self,
        id: &GroupId,
        found: &Assessment,
        tree: &Tree,
        now: Millis,
    ) -> Option<EndReason> {
        let planned = self.groups.get(id)?;
        if matches!(planned.state, GroupState::Draining | GroupState::Ended) {
            return None;
        }
        if found.leaving {
            return Some(EndReason::MemberLeaving);
        }
        if self.fits_settings(&planned.row, tree) {
            return None;
        }
        let unformed = matches!(planned.state, GroupState::Planned | GroupState::Loading);
        let others = self.groups.values().filter(|g| g.row.group != *id);
        let is_serving =
            |g: &PlannedGroup| g.state == GroupState::Serving && now - g.since >= MIN_SERVING_TIME;
        let others_serving = others.into_iter().all(is_serving);
        (unformed || others_serving && !self.in_transition).then_some(EndReason::SettingsChanged)
    }

    pub(super) fn fits_settings(&self, row: &GroupRow, tree: &Tree) -> bool {
        let Some(key) = self.pool_key_of(row) else {
            return true;
        };
        let want = pools::want(tree, &self.options.region, &self.options.hall, &key);
        let size = row.members.len() as u32;
        want.load == row.load && want.shapes.iter().any(|s| s.instances == size)
    }

    pub(super) fn pool_key_of(&self, row: &GroupRow) -> Option<PoolKey> {
        let has =
            |p: &&Pool| p.key.domain == row.domain && p.groups.iter().any(|g| g.group == row.group);
        self.pools.iter().find(has).map(|p| p.key.clone())
    }

    /// Returns whether a draining group has no streams left or has reached its time limit.
    pub(super) fn is_empty(&self, id: &GroupId, view: &View, tree: &Tree, now: Millis) -> bool {
        let Some(planned) = self.groups.get(id) else {
            return false;
        };
        let Some(since) = planned
            .drain_start
            .filter(|_| planned.state == GroupState::Draining)
        else {
            return false;
        };
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let limit = tree
            .resolve(&context)
            .drain_ms
            .map_or(DEFAULT_DRAIN_TIMEOUT, Millis::new);
        if now - since >= limit {
            return true;
        }
        let found = planned.assessment.as_ref();
        let quiesced = found.is_some_and(|a| a.members[0].1 == MemberStatus::Draining);
        let leader = planned.row.members[0].as_str();
        let figures = view.pressure(leader).filter(|m| m.at > since);
        quiesced && figures.is_some_and(|m| m.pressure.running + m.pressure.waiting == 0)
    }

    pub(super) fn apply(
        &mut self,
        id: &GroupId,
        event: GroupEvent,
        why: Option<EndReason>,
        now: Millis,
    ) {
        let Some(planned) = self.groups.get_mut(id) else {
            return;
        };
        let Ok(next) = self.chart.step(planned.state, event) else {
            return;
        };
        if next == GroupState::Draining && planned.state != next {
            planned.drain_start = Some(now);
        }
        if planned.state != next {
            planned.since = now;
        }
        planned.state = next;
        if planned.why.is_none() {
            planned.why = why;
        }
    }

    /// Returns the pools of the hall, from the reports, the plan and the settings.
    pub(super) fn collect_pools(
        &mut self,
        observed: &BTreeMap<InstanceId, Observed>,
        tree: &Tree,
        now: Millis,
    ) -> Vec<Pool> {
        let mut pools: BTreeMap<PoolKey, Pool> = BTreeMap::new();
        let mut key_of: BTreeMap<&InstanceId, PoolKey> = BTreeMap::new();
        for (instance, seen) in observed {
            if seen.sighting.hall != self.options.hall {
                continue;
            }
            let Some(key) = pools::pool_of(&seen.sighting) else {
                continue;
            };
            key_of.insert(instance, key.clone());
            let pool = pools.entry(key.clone()).or_insert_with(|| Pool {
                want: pools::want(tree, &self.options.region, &self.options.hall, &key),
                key,
                free: Vec::new(),
                groups: Vec::new(),
                ending: 0,
                missing: 0,
                steady: now,
            });
            match self.availability(instance, seen, now) {
                Availability::Free => pool.free.push(FreeInstance {
                    instance: instance.clone(),
                    warm: self.is_warm(instance, &pool.want.load),
                }),
                Availability::Releasing => pool.ending += 1,
                Availability::Missing => pool.missing += 1,
                Availability::InUse => {}
            }
        }
        for planned in self.groups.values() {
            let key = planned.row.members.iter().find_map(|i| key_of.get(i));
            let Some(pool) = key.and_then(|k| pools.get_mut(k)) else {
                continue;
            };
            pool.groups.push(ExistingGroup {
                group: planned.row.group.clone(),
                size: planned.row.members.len() as u32,
                settled: planned.state == GroupState::Serving,
            });
        }
        let mut list: Vec<Pool> = pools.into_values().collect();
        for pool in &mut list {
            pool.steady = self
                .stability
                .update(&pool.key, &pool.free, &pool.groups, now);
        }
        list
    }

    /// Returns whether an instance can join a new group.
    pub(super) fn availability(
        &self,
        instance: &InstanceId,
        seen: &Observed,
        now: Millis,
    ) -> Availability {
        if seen.sighting.leaving || seen.until <= now {
            return Availability::Missing;
        }
        let idle = seen.sighting.state == ObservedState::Idle;
        let Some(held) = self.held.get(instance) else {
            return match &seen.sighting.state {
                ObservedState::Idle => Availability::Free,
                ObservedState::Loading(_)
                | ObservedState::Ready(_)
                | ObservedState::Draining(_) => Availability::Releasing,
                ObservedState::Lost => Availability::Missing,
                ObservedState::Service(_) => Availability::InUse,
            };
        };
        match &held.row.held {
            Held::Member { .. } => Availability::InUse,
            Held::Aside { incarnation } => {
                let restarted = seen.sighting.incarnation != *incarnation;
                if idle && (restarted || self.is_reset(instance)) {
                    return Availability::Free;
                }
                if now - held.since < RELEASE_TIMEOUT {
                    Availability::Releasing
                } else {
                    Availability::Missing
                }
            }
        }
    }

    /// Returns whether a target took a reset of this term.
    pub(super) fn is_reset(&self, instance: &InstanceId) -> bool {
        let order = self.orders.get(instance);
        order.is_some_and(|p| p.task == Task::Reset && p.taken)
    }

    /// Returns whether an instance came out of a group, or took an order to load what its pool
    /// runs.
    pub(super) fn is_warm(&self, instance: &InstanceId, wanted: &Load) -> bool {
        let order = self.orders.get(instance).filter(|p| p.taken);
        let warmed =
            order.is_some_and(|p| matches!(&p.task, Task::Warm { load } if load == wanted));
        warmed || self.held.contains_key(instance)
    }

    pub(super) fn decide(
        &mut self,
        observed: &BTreeMap<InstanceId, Observed>,
        tree: &Tree,
        now: Millis,
    ) -> PlanChange {
        let mut change = PlanChange::default();
        for planned in self.groups.values() {
            if planned.state != GroupState::Ended {
                continue;
            }
            let why = planned.why.unwrap_or(EndReason::MemberLost);
            change.ended.push((planned.row.group.clone(), why));
            for instance in &planned.row.members {
                let incarnation = observed.get(instance).map_or(0, |o| o.sighting.incarnation);
                let held = Held::Aside { incarnation };
                change.aside.push((instance.clone(), InstanceRow { held }));
            }
        }
        if change.ended.is_empty() {
            let placement = self.placement(now);
            for group in &placement.drain {
                self.apply(group, GroupEvent::Drain, Some(EndReason::Rebalanced), now);
            }
            let slots = self.free_load_slots(tree);
            for forming in placement.form.into_iter().take(slots) {
                if let Some(row) = self.new_group(forming, now) {
                    change.formed.push(row);
                }
            }
        }
        change
    }

    pub(super) fn placement(&self, now: Millis) -> Placement {
        let is_stable = |p: &&Pool| p.ending == 0 && now - p.steady >= FORMING_DELAY;
        let ready: Vec<Pool> = self.pools.iter().filter(is_stable).cloned().collect();
        match self.options.strategy {
            Strategy::Weighed => place(&ready, now),
            Strategy::FirstFit => first_fit(&ready),
            Strategy::Rebuild => rebuild(&ready),
        }
    }

    /// Returns how many more groups may load weights now.
    pub(super) fn free_load_slots(&self, tree: &Tree) -> usize {
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let limit = tree
            .resolve(&context)
            .loads
            .unwrap_or(DEFAULT_CONCURRENT_LOADS) as usize;
        let loading = self.groups.values();
        let busy = loading
            .filter(|g| matches!(g.state, GroupState::Planned | GroupState::Loading))
            .count();
        limit.saturating_sub(busy)
    }

    pub(super) fn new_group(&mut self, forming: NewGroup, now: Millis) -> Option<GroupRow> {
        let term = self.lease.term(now)?;
        let epoch = self.next_epoch(term);
        let name = format!("{}-{term}.{}", self.options.hall, self.epoch_counter);
        Some(GroupRow {
            group: GroupId::new(name),
            epoch,
            domain: forming.pool.domain,
            members: forming.members,
            load: forming.load,
        })
    }

    pub(super) fn next_epoch(&mut self, term: u64) -> u64 {
        self.epoch_counter += 1;
        (term << EPOCH_COUNTER_BITS) | self.epoch_counter
    }

    pub(super) fn write_plan(&mut self, change: PlanChange) {
        if change.ended.is_empty() && change.formed.is_empty() {
            return;
        }
        let hall = &self.options.hall;
        let mut txn = Txn::new().at(term_key(hall), self.lease.term_version());
        for (group, _) in &change.ended {
            let version = self.groups.get(group).map_or(0, |g| g.version);
            let key = group_key(hall, group);
            txn = txn.at(key.clone(), version).delete(key);
        }
        for (instance, row) in &change.aside {
            let version = self.held.get(instance).map_or(0, |h| h.version);
            let key = instance_key(hall, instance);
            txn = txn.at(key.clone(), version).put(key, row);
        }
        for row in &change.formed {
            let key = group_key(hall, &row.group);
            txn = txn.absent(key.clone()).put(key, row);
            for instance in &row.members {
                let version = self.held.get(instance).map_or(0, |h| h.version);
                let held = Held::Member {
                    group: row.group.clone(),
                    epoch: row.epoch,
                };
                let key = instance_key(hall, instance);
                txn = txn.at(key.clone(), version).put(key, &InstanceRow { held });
            }
        }
        let flight = self.start_flight(Flight::Plan(change));
        self.out.push(PlanAction::SendTxn { flight, txn });
    }
}
