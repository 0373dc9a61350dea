//! The planner's state for one hall and its step.

use std::collections::BTreeMap;
use std::sync::Arc;

use thistlesill_core::chart::Chart;
use thistlesill_core::message::Seen;
use thistlesill_core::report::{Fence, Membership, Order, Task};
use thistlesill_core::row::{
    GroupRow, Held, InstanceRow, group_key, instance_key, lease_key, plan_prefix, term_key,
};
use thistlesill_core::settings::{Context, Tree};
use thistlesill_core::table::{RowKey, Rows, Txn, TxnReply, TxnResult};
use thistlesill_core::timeline::{EndReason, Happening};
use thistlesill_core::{GroupId, InstanceId, Millis};

use super::assess::{Assessment, Standing, assess};
use super::orders::OrderBook;
use super::pools::{self, Steadiness};
use super::{
    GroupInfo, HallInfo, LOADS, PATIENCE, PlanAction, PlanEvent, PlanOptions, PoolInfo, Strategy,
};
use crate::charts::{Charts, GroupEvent, GroupState};
use crate::lease::{Lease, LeaseNews, LeaseStep};
use crate::placement::{
    Existing, Forming, Free, Placement, Pool, PoolKey, first_fit, place, rebuild,
};
use crate::presence::{Observed, View};

/// Bits of an epoch that count the orders within a term.
const EPOCH_BITS: u32 = 24;
/// How long the free instances of a pool must have been the same before a
/// group is formed of them, so that all that come free together are used.
const GATHER: Millis = Millis::new(1_200);
/// How long a group must have served before the next one is changed: by then
/// all routers have seen it whole.
const SETTLED: Millis = Millis::new(4_000);
/// How long instances that come free are waited for.
const ENDING_PATIENCE: Millis = Millis::new(6_000);
/// The longest that an order may be under way, while no branch says.
const ORDER_DELAY: Millis = Millis::new(2_000);
/// How long a group may drain, while no branch says.
const DRAIN: Millis = Millis::new(120_000);

#[derive(Debug, Clone)]
struct Planned {
    row: GroupRow,
    version: u64,
    state: GroupState,
    /// When a member was first missed.
    missed: Option<Millis>,
    /// Since when it has stood as it does.
    since: Millis,
    /// When it began to drain.
    drained: Option<Millis>,
    why: Option<EndReason>,
    assessment: Option<Assessment>,
}

#[derive(Debug, Clone)]
struct HeldRow {
    row: InstanceRow,
    version: u64,
    since: Millis,
}

#[derive(Debug, Clone)]
enum Flight {
    LeaseRead,
    LeaseTxn,
    PlanRead { term: u64 },
    Plan(Change),
}

/// A change of the plan that a transaction carries.
#[derive(Debug, Clone, Default)]
struct Change {
    ended: Vec<(GroupId, EndReason)>,
    aside: Vec<(InstanceId, InstanceRow)>,
    formed: Vec<GroupRow>,
}

/// One planner's decisions for one hall.
#[derive(Debug, Clone)]
pub struct HallPlanner {
    options: PlanOptions,
    chart: Chart<GroupState, GroupEvent>,
    lease: Lease,
    loaded: bool,
    groups: BTreeMap<GroupId, Planned>,
    held: BTreeMap<InstanceId, HeldRow>,
    orders: OrderBook,
    steadiness: Steadiness,
    pools: Vec<Pool>,
    /// Whether instances are about to come free or to form a group: no
    /// other group is changed meanwhile.
    unfinished: bool,
    counter: u64,
    /// No orders before this: those of the last holder may be under way.
    quiet: Millis,
    flights: BTreeMap<u64, Flight>,
    next_flight: u64,
    out: Vec<PlanAction>,
}

impl HallPlanner {
    /// A planner that holds nothing.
    pub fn new(options: PlanOptions, charts: &Charts) -> Self {
        let lease = Lease::new(
            charts.lease.clone(),
            options.name.clone(),
            options.hall.clone(),
            options.lease,
        );
        Self {
            chart: charts.group.clone(),
            lease,
            loaded: false,
            groups: BTreeMap::new(),
            held: BTreeMap::new(),
            orders: OrderBook::default(),
            steadiness: Steadiness::default(),
            pools: Vec::new(),
            unfinished: true,
            counter: 0,
            quiet: Millis::ZERO,
            flights: BTreeMap::new(),
            next_flight: 0,
            out: Vec::new(),
            options,
        }
    }

    /// The term, if the lease is held: ask right before giving an order.
    pub fn term(&self, now: Millis) -> Option<u64> {
        self.lease.term(now)
    }

    /// Looks at the time, the targets and the settings.
    pub fn tick(
        &mut self,
        view: &View,
        window: Millis,
        tree: Option<&Arc<Tree>>,
        now: Millis,
    ) -> Vec<PlanAction> {
        self.tick_lease(tree, now);
        if let (Some(term), Some(tree)) = (self.lease.term(now), tree) {
            if self.loaded {
                let observed = view.observe_all(now, window);
                self.look(view, &observed, tree, now);
            } else if !self.is_flying() {
                self.read_plan(term);
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Takes in an event.
    pub fn step(&mut self, event: PlanEvent, now: Millis) -> Vec<PlanAction> {
        match event {
            PlanEvent::TxnDone { flight, result } => self.txn_done(flight, &result, now),
            PlanEvent::RowsRead { flight, rows } => self.rows_read(flight, rows.as_ref(), now),
            PlanEvent::Answered {
                instance,
                fence,
                reply,
            } => self.orders.answered(&instance, fence, reply),
        }
        std::mem::take(&mut self.out)
    }

    /// Gives the lease up before the daemon stops.
    pub fn release(&mut self, now: Millis) -> Vec<PlanAction> {
        let term = self.lease.term(now);
        if let (Some(txn), Some(term)) = (self.lease.release(now), term) {
            let flight = self.flight(Flight::LeaseTxn);
            self.out.push(PlanAction::SendTxn { flight, txn });
            self.ended_term(term);
        }
        std::mem::take(&mut self.out)
    }

    /// The plan for operators.
    pub fn info(&self, now: Millis) -> HallInfo {
        let group = |g: &Planned| GroupInfo {
            group: g.row.group.clone(),
            epoch: g.row.epoch,
            domain: g.row.domain.clone(),
            members: g.row.members.clone(),
            load: g.row.load.clone(),
            state: g.state,
            why: g.why,
            waits: g
                .assessment
                .as_ref()
                .map(Assessment::waits)
                .unwrap_or_default(),
        };
        let free = self.pools.iter().filter(|p| !p.free.is_empty());
        HallInfo {
            hall: self.options.hall.clone(),
            holding: self.lease.term(now).is_some(),
            holder: self.lease.holder().cloned(),
            term: self.lease.term(now),
            groups: self.groups.values().map(group).collect(),
            pools: free
                .map(|p| PoolInfo {
                    domain: p.key.domain.clone(),
                    generation: p.key.generation.to_string(),
                    free: p.free.iter().map(|f| f.instance.clone()).collect(),
                    why: pools::why_free(p),
                })
                .collect(),
        }
    }

    // The lease.

    fn tick_lease(&mut self, tree: Option<&Arc<Tree>>, now: Millis) {
        let (step, news) = self.lease.tick(now);
        self.news(news, now);
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Read => {
                let hall = &self.options.hall;
                let prefixes = vec![lease_key(hall).into(), term_key(hall).into()];
                let flight = self.flight(Flight::LeaseRead);
                self.out.push(PlanAction::Read { flight, prefixes });
            }
            LeaseStep::Send(txn) => {
                let flight = self.flight(Flight::LeaseTxn);
                self.out.push(PlanAction::SendTxn { flight, txn });
            }
        }
        self.orders_quiet(tree, now);
    }

    fn news(&mut self, news: LeaseNews, now: Millis) {
        match news {
            LeaseNews::None => {}
            LeaseNews::Gained { term } => {
                self.forget();
                self.quiet = now + self.options.lease.length + ORDER_DELAY;
                self.note(Happening::LeaseGained {
                    hall: self.options.hall.clone(),
                    term,
                });
            }
            LeaseNews::Ended { term } => self.ended_term(term),
        }
    }

    /// Targets that check fences need no quiet time; the settings say which
    /// do. A first holder has nobody before it.
    fn orders_quiet(&mut self, tree: Option<&Arc<Tree>>, now: Millis) {
        if self.quiet <= now {
            return;
        }
        let first = self.lease.term(now) == Some(1);
        let Some(tree) = tree else { return };
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let values = tree.resolve(&context);
        if first || values.checks_orders == Some(true) {
            self.quiet = now;
        }
    }

    fn ended_term(&mut self, term: u64) {
        self.forget();
        self.note(Happening::LeaseEnded {
            hall: self.options.hall.clone(),
            term,
        });
    }

    fn forget(&mut self) {
        self.loaded = false;
        self.groups.clear();
        self.held.clear();
        self.orders.clear();
        self.pools.clear();
        self.counter = 0;
        self.flights
            .retain(|_, f| matches!(f, Flight::LeaseRead | Flight::LeaseTxn));
    }

    // The table.

    fn flight(&mut self, flight: Flight) -> u64 {
        self.next_flight += 1;
        self.flights.insert(self.next_flight, flight);
        self.next_flight
    }

    fn is_flying(&self) -> bool {
        let mut plans = self.flights.values();
        plans.any(|f| matches!(f, Flight::PlanRead { .. } | Flight::Plan(_)))
    }

    fn read_plan(&mut self, term: u64) {
        let hall = &self.options.hall;
        let prefixes: Vec<RowKey> = vec![plan_prefix(hall).into(), term_key(hall).into()];
        let flight = self.flight(Flight::PlanRead { term });
        self.out.push(PlanAction::Read { flight, prefixes });
    }

    fn rows_read(&mut self, flight: u64, rows: Option<&Rows>, now: Millis) {
        match self.flights.remove(&flight) {
            Some(Flight::LeaseRead) => {
                let news = self.lease.read(rows, now);
                self.news(news, now);
            }
            Some(Flight::PlanRead { term }) if self.lease.term(now) == Some(term) => {
                if let Some(rows) = rows {
                    self.load(rows, now);
                }
            }
            _ => {}
        }
    }

    fn load(&mut self, rows: &Rows, now: Millis) {
        let hall = &self.options.hall;
        let term_row = rows.find(&term_key(hall)).map(|r| r.version);
        if term_row != Some(self.lease.term_version()) {
            return;
        }
        let groups_at = format!("{}group/", plan_prefix(hall));
        let instances_at = format!("{}instance/", plan_prefix(hall));
        let known = std::mem::take(&mut self.groups);
        self.held.clear();
        for row in &rows.rows {
            if row.key.starts_with(&groups_at) {
                if let Ok(group) = row.decode::<GroupRow>() {
                    let planned = planned(group, row.version, self.chart.start(), now);
                    self.groups.insert(planned.row.group.clone(), planned);
                }
            } else if let Some(name) = row.key.strip_prefix(&instances_at)
                && let Ok(instance) = row.decode::<InstanceRow>()
            {
                let held = HeldRow {
                    row: instance,
                    version: row.version,
                    since: now,
                };
                self.held.insert(InstanceId::from(name), held);
            }
        }
        for (id, old) in known {
            if let Some(new) = self.groups.get_mut(&id) {
                new.state = old.state;
                new.since = old.since;
                new.drained = old.drained;
                new.why = old.why;
            }
        }
        self.loaded = true;
    }

    fn txn_done(&mut self, flight: u64, result: &TxnResult, now: Millis) {
        match self.flights.remove(&flight) {
            Some(Flight::LeaseTxn) => {
                let news = self.lease.done(result, now);
                self.news(news, now);
            }
            Some(Flight::Plan(change)) => match result {
                TxnResult::Replied(TxnReply::Committed { version }) => {
                    self.committed(change, *version, now);
                }
                // The table knows what became of it.
                TxnResult::Replied(TxnReply::Refused { .. }) | TxnResult::Unknown => {
                    self.loaded = false;
                }
            },
            _ => {}
        }
    }

    fn committed(&mut self, change: Change, version: u64, now: Millis) {
        self.unfinished = true;
        for (group, why) in change.ended {
            if let Some(planned) = self.groups.remove(&group) {
                let epoch = planned.row.epoch;
                self.note(Happening::GroupEnded { group, epoch, why });
            }
        }
        for (instance, row) in change.aside {
            self.orders.drop(&instance);
            self.hold(instance, row, version, now);
        }
        for row in change.formed {
            for instance in &row.members {
                let held = Held::Member {
                    group: row.group.clone(),
                    epoch: row.epoch,
                };
                self.hold(instance.clone(), InstanceRow { held }, version, now);
                self.orders.drop(instance);
            }
            self.note(Happening::GroupPlanned {
                group: row.group.clone(),
                epoch: row.epoch,
                members: row.members.clone(),
            });
            let planned = planned(row, version, self.chart.start(), now);
            self.groups.insert(planned.row.group.clone(), planned);
        }
    }

    fn hold(&mut self, instance: InstanceId, row: InstanceRow, version: u64, now: Millis) {
        let held = HeldRow {
            row,
            version,
            since: now,
        };
        self.held.insert(instance, held);
    }

    // The plan.

    fn look(
        &mut self,
        view: &View,
        observed: &BTreeMap<InstanceId, Observed>,
        tree: &Tree,
        now: Millis,
    ) {
        self.assess_all(view, observed, tree, now);
        self.pools = self.gather(observed, tree, now);
        self.unfinished =
            self.pools.iter().any(|p| p.ending > 0) || !place(&self.pools, now).form.is_empty();
        if !self.is_flying() {
            let change = self.decide(observed, tree, now);
            self.write(change);
        }
        self.want_orders(observed);
        self.give_orders(observed, now);
    }

    fn assess_all(
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
            if found.any(Standing::Missing) {
                planned.missed.get_or_insert(now);
            } else {
                planned.missed = None;
            }
            planned.assessment = Some(found);
            self.advance(&id, view, tree, now);
        }
    }

    fn advance(&mut self, id: &GroupId, view: &View, tree: &Tree, now: Millis) {
        let Some(planned) = self.groups.get(id) else {
            return;
        };
        let Some(found) = planned.assessment.clone() else {
            return;
        };
        let was_whole = matches!(planned.state, GroupState::Serving | GroupState::Draining);
        let missing_long = planned.missed.is_some_and(|t| now - t >= PATIENCE);
        let was_taken = planned.state != GroupState::Planned;
        if let Some(why) = found.fault(was_taken, missing_long) {
            self.apply(id, GroupEvent::End, Some(why), now);
            return;
        }
        let taken = |s| matches!(s, Standing::Loading | Standing::Ready | Standing::Draining);
        if found.all(|s| s == Standing::Ready) {
            self.apply(id, GroupEvent::Whole, None, now);
        } else if !was_whole && found.all(taken) {
            self.apply(id, GroupEvent::Taken, None, now);
        }
        if let Some(why) = self.drain_reason(id, &found, tree, now) {
            self.apply(id, GroupEvent::Drain, Some(why), now);
        }
        if self.is_empty(id, view, tree, now) {
            self.apply(id, GroupEvent::Emptied, None, now);
        }
    }

    /// Why a group is to drain, if it is.
    ///
    /// A leaving member drains its group at once. A change of settings
    /// drains one group at a time, while all others serve.
    fn drain_reason(
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
        let settled = |g: &Planned| g.state == GroupState::Serving && now - g.since >= SETTLED;
        let calm = others.into_iter().all(settled);
        (unformed || calm && !self.unfinished).then_some(EndReason::SettingsChanged)
    }

    fn fits_settings(&self, row: &GroupRow, tree: &Tree) -> bool {
        let Some(key) = self.pool_key_of(row) else {
            return true;
        };
        let want = pools::want(tree, &self.options.region, &self.options.hall, &key);
        let size = row.members.len() as u32;
        want.load == row.load && want.shapes.iter().any(|s| s.instances == size)
    }

    fn pool_key_of(&self, row: &GroupRow) -> Option<PoolKey> {
        let has =
            |p: &&Pool| p.key.domain == row.domain && p.groups.iter().any(|g| g.group == row.group);
        self.pools.iter().find(has).map(|p| p.key.clone())
    }

    /// Whether a draining group has no streams left, or its time is up.
    fn is_empty(&self, id: &GroupId, view: &View, tree: &Tree, now: Millis) -> bool {
        let Some(planned) = self.groups.get(id) else {
            return false;
        };
        let Some(since) = planned
            .drained
            .filter(|_| planned.state == GroupState::Draining)
        else {
            return false;
        };
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let limit = tree.resolve(&context).drain_ms.map_or(DRAIN, Millis::new);
        if now - since >= limit {
            return true;
        }
        let found = planned.assessment.as_ref();
        let quiesced = found.is_some_and(|a| a.members[0].1 == Standing::Draining);
        let leader = planned.row.members[0].as_str();
        let figures = view.pressure(leader).filter(|m| m.at > since);
        quiesced && figures.is_some_and(|m| m.pressure.running + m.pressure.waiting == 0)
    }

    fn apply(&mut self, id: &GroupId, event: GroupEvent, why: Option<EndReason>, now: Millis) {
        let Some(planned) = self.groups.get_mut(id) else {
            return;
        };
        let Ok(next) = self.chart.step(planned.state, event) else {
            return;
        };
        if next == GroupState::Draining && planned.state != next {
            planned.drained = Some(now);
        }
        if planned.state != next {
            planned.since = now;
        }
        planned.state = next;
        if planned.why.is_none() {
            planned.why = why;
        }
    }

    /// The pools of the hall as they stand.
    fn gather(
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
                Availability::Free => pool.free.push(Free {
                    instance: instance.clone(),
                    warm: self.is_warm(instance),
                }),
                Availability::Soon => pool.ending += 1,
                Availability::Missing => pool.missing += 1,
                Availability::Held => {}
            }
        }
        for planned in self.groups.values() {
            let key = planned.row.members.iter().find_map(|i| key_of.get(i));
            let Some(pool) = key.and_then(|k| pools.get_mut(k)) else {
                continue;
            };
            pool.groups.push(Existing {
                group: planned.row.group.clone(),
                size: planned.row.members.len() as u32,
                settled: planned.state == GroupState::Serving,
            });
        }
        let mut list: Vec<Pool> = pools.into_values().collect();
        for pool in &mut list {
            pool.steady = self
                .steadiness
                .note(&pool.key, &pool.free, &pool.groups, now);
        }
        list
    }

    /// Whether an instance can join a new group.
    fn availability(&self, instance: &InstanceId, seen: &Observed, now: Millis) -> Availability {
        if seen.sighting.leaving || seen.until <= now {
            return Availability::Missing;
        }
        let idle = seen.sighting.state == Seen::Idle;
        let Some(held) = self.held.get(instance) else {
            return match &seen.sighting.state {
                Seen::Idle => Availability::Free,
                Seen::Loading(_) | Seen::Ready(_) | Seen::Draining(_) => Availability::Soon,
                Seen::Lost => Availability::Missing,
                Seen::Service(_) => Availability::Held,
            };
        };
        match &held.row.held {
            Held::Member { .. } => Availability::Held,
            Held::Aside { incarnation } => {
                let anew = seen.sighting.incarnation != *incarnation;
                if idle && (anew || self.is_reset(instance)) {
                    return Availability::Free;
                }
                if now - held.since < ENDING_PATIENCE {
                    Availability::Soon
                } else {
                    Availability::Missing
                }
            }
        }
    }

    /// Whether a target took a reset of this term.
    fn is_reset(&self, instance: &InstanceId) -> bool {
        let order = self.orders.get(instance);
        order.is_some_and(|p| p.task == Task::Reset && p.taken)
    }

    /// Whether an instance came out of a group a moment ago.
    fn is_warm(&self, instance: &InstanceId) -> bool {
        self.held.contains_key(instance)
    }

    fn decide(
        &mut self,
        observed: &BTreeMap<InstanceId, Observed>,
        tree: &Tree,
        now: Millis,
    ) -> Change {
        let mut change = Change::default();
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
            let room = self.load_room(tree);
            for forming in placement.form.into_iter().take(room) {
                if let Some(row) = self.new_group(forming, now) {
                    change.formed.push(row);
                }
            }
        }
        change
    }

    fn placement(&self, now: Millis) -> Placement {
        let calm = |p: &&Pool| p.ending == 0 && now - p.steady >= GATHER;
        let ready: Vec<Pool> = self.pools.iter().filter(calm).cloned().collect();
        match self.options.strategy {
            Strategy::Weighed => place(&ready, now),
            Strategy::FirstFit => first_fit(&ready),
            Strategy::Rebuild => rebuild(&ready),
        }
    }

    /// How many more groups may load weights now.
    fn load_room(&self, tree: &Tree) -> usize {
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let limit = tree.resolve(&context).loads.unwrap_or(LOADS) as usize;
        let loading = self.groups.values();
        let busy = loading
            .filter(|g| matches!(g.state, GroupState::Planned | GroupState::Loading))
            .count();
        limit.saturating_sub(busy)
    }

    fn new_group(&mut self, forming: Forming, now: Millis) -> Option<GroupRow> {
        let term = self.lease.term(now)?;
        let epoch = self.next_epoch(term);
        let name = format!("{}-{term}.{}", self.options.hall, self.counter);
        Some(GroupRow {
            group: GroupId::new(name),
            epoch,
            domain: forming.pool.domain,
            members: forming.members,
            load: forming.load,
        })
    }

    fn next_epoch(&mut self, term: u64) -> u64 {
        self.counter += 1;
        (term << EPOCH_BITS) | self.counter
    }

    fn write(&mut self, change: Change) {
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
        let flight = self.flight(Flight::Plan(change));
        self.out.push(PlanAction::SendTxn { flight, txn });
    }

    // Orders.

    /// Compares what targets report with the plan.
    fn want_orders(&mut self, observed: &BTreeMap<InstanceId, Observed>) {
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
        for (instance, task) in joins {
            let Some(seen) = observed.get(&instance) else {
                continue;
            };
            self.want_order(&instance, seen, task);
        }
    }

    fn want_order(&mut self, instance: &InstanceId, seen: &Observed, task: Task) {
        let Some(term) = self.lease.known_term() else {
            return;
        };
        let epoch = match &task {
            Task::Join(m) => m.epoch,
            Task::Reset | Task::Quiesce { .. } => (term << EPOCH_BITS) | (self.counter + 1),
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
    fn needs_reset(&self, instance: &InstanceId, seen: &Observed) -> bool {
        let member = seen.sighting.state.membership();
        match self.held.get(instance).map(|h| &h.row.held) {
            Some(Held::Member { .. }) => false,
            Some(Held::Aside { incarnation }) => {
                let same = seen.sighting.incarnation == *incarnation;
                member.is_some() || same && seen.sighting.state == Seen::Idle
            }
            None => member.is_some(),
        }
    }

    fn give_orders(&mut self, observed: &BTreeMap<InstanceId, Observed>, now: Millis) {
        if now < self.quiet || self.lease.term(now).is_none() {
            return;
        }
        self.reopen_ignored(observed);
        for (instance, pending) in self.orders.due(now) {
            let Some(seen) = observed.get(&instance) else {
                continue;
            };
            self.note(Happening::Ordered {
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
    fn reopen_ignored(&mut self, observed: &BTreeMap<InstanceId, Observed>) {
        for (instance, seen) in observed {
            let order = self.orders.get(instance);
            let resets = order.is_some_and(|p| p.task == Task::Reset && p.taken);
            if resets && seen.sighting.state.membership().is_some() {
                self.orders.reopen(instance);
            }
        }
    }

    fn note(&mut self, what: Happening) {
        self.out.push(PlanAction::Note(what));
    }
}

const EPOCH_MASK: u64 = (1 << EPOCH_BITS) - 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// It can join a group now.
    Free,
    /// It is about to come free.
    Soon,
    /// It should be there and is not.
    Missing,
    /// It is in use, leaving, or no model engine.
    Held,
}

const fn planned(row: GroupRow, version: u64, state: GroupState, since: Millis) -> Planned {
    Planned {
        row,
        version,
        state,
        missed: None,
        since,
        drained: None,
        why: None,
        assessment: None,
    }
}

/// The orders that members of a planned group have not followed yet.
fn join_tasks(planned: &Planned) -> Vec<(InstanceId, Task)> {
    let Some(found) = &planned.assessment else {
        return Vec::new();
    };
    let size = planned.row.members.len() as u32;
    let idle = found.members.iter().enumerate();
    idle.filter(|(_, (_, standing))| *standing == Standing::Idle)
        .map(|(rank, (instance, _))| {
            let membership = Membership {
                group: planned.row.group.clone(),
                epoch: planned.row.epoch,
                rank: rank as u32,
                size,
                load: planned.row.load.clone(),
            };
            (instance.clone(), Task::Join(membership))
        })
        .collect()
}

/// The order to the leader of a draining group, until it reports so.
fn quiesce_task(planned: &Planned) -> Option<(InstanceId, Task)> {
    let found = planned.assessment.as_ref()?;
    let (leader, standing) = found.members.first()?;
    let task = Task::Quiesce {
        group: planned.row.group.clone(),
        epoch: planned.row.epoch,
    };
    (*standing == Standing::Ready).then(|| (leader.clone(), task))
}
