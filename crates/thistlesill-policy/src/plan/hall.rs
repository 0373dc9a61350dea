//! The state of a hall's planner and its reaction to time and events.

mod holding;
mod ordering;
mod planning;
mod rows;

use std::collections::BTreeMap;
use std::sync::Arc;

use thistlesill_core::chart::Chart;
use thistlesill_core::report::{Membership, Task};
use thistlesill_core::row::{GroupRow, InstanceRow};
use thistlesill_core::settings::Tree;
use thistlesill_core::timeline::EndReason;
use thistlesill_core::{GroupId, InstanceId, Millis};

use super::assess::{Assessment, MemberStatus};
use super::orders::PendingOrders;
use super::pools::{self, PoolStability};
use super::{GroupInfo, HallInfo, PlanAction, PlanEvent, PlanOptions, PoolInfo};
use crate::charts::{Charts, GroupEvent, GroupState};
use crate::lease::Lease;
use crate::placement::Pool;
use crate::presence::View;

/// The number of low bits of an epoch that count the epochs within a term.
const EPOCH_COUNTER_BITS: u32 = 24;
/// How long the free instances of a pool must have been the same before groups are formed from
/// them, so that instances that come free at about the same time are used together.
const FORMING_DELAY: Millis = Millis::new(1_200);
/// How long all other groups must have served before a change of the settings drains the next one.
/// By then all routers have seen them complete.
const MIN_SERVING_TIME: Millis = Millis::new(4_000);
/// How long instances that should come free are waited for.
const RELEASE_TIMEOUT: Millis = Millis::new(6_000);
/// The longest that an order may be in flight, unless the settings say otherwise.
const DEFAULT_ORDER_DELAY: Millis = Millis::new(2_000);
/// How long a group may drain, unless the settings say otherwise.
const DEFAULT_DRAIN_TIMEOUT: Millis = Millis::new(120_000);

#[derive(Debug, Clone)]
struct PlannedGroup {
    row: GroupRow,
    version: u64,
    state: GroupState,
    /// When a member was first found missing.
    missing_since: Option<Millis>,
    /// When the group entered its current state.
    since: Millis,
    /// When the group began to drain.
    drain_start: Option<Millis>,
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
    Plan(PlanChange),
}

/// A change of the plan that one transaction writes.
#[derive(Debug, Clone, Default)]
struct PlanChange {
    ended: Vec<(GroupId, EndReason)>,
    aside: Vec<(InstanceId, InstanceRow)>,
    formed: Vec<GroupRow>,
}

/// The planner of one hall.
#[derive(Debug, Clone)]
pub struct HallPlanner {
    options: PlanOptions,
    chart: Chart<GroupState, GroupEvent>,
    lease: Lease,
    plan_loaded: bool,
    groups: BTreeMap<GroupId, PlannedGroup>,
    held: BTreeMap<InstanceId, HeldRow>,
    orders: PendingOrders,
    stability: PoolStability,
    pools: Vec<Pool>,
    /// Whether instances are about to come free or to form a group. Until that is done, a change of
    /// the settings drains no other group and no spare loads weights.
    in_transition: bool,
    epoch_counter: u64,
    /// When the lease was gained.
    gained_at: Millis,
    /// No orders are sent before this time, because orders of the previous holder may still be in
    /// flight.
    quiet_until: Millis,
    flights: BTreeMap<u64, Flight>,
    next_flight: u64,
    out: Vec<PlanAction>,
}

impl HallPlanner {
    /// Creates a planner that does not hold the hall's lease.
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
            plan_loaded: false,
            groups: BTreeMap::new(),
            held: BTreeMap::new(),
            orders: PendingOrders::default(),
            stability: PoolStability::default(),
            pools: Vec::new(),
            in_transition: true,
            epoch_counter: 0,
            gained_at: Millis::ZERO,
            quiet_until: Millis::ZERO,
            flights: BTreeMap::new(),
            next_flight: 0,
            out: Vec::new(),
            options,
        }
    }

    /// Returns the term if the lease is held at `now`.
    ///
    /// Call this right before each order is sent.
    pub fn term(&self, now: Millis) -> Option<u64> {
        self.lease.term(now)
    }

    /// Advances to `now` with the current view of the targets and the settings.
    ///
    /// `window` is how long a report of a target counts.
    pub fn tick(
        &mut self,
        view: &View,
        window: Millis,
        tree: Option<&Arc<Tree>>,
        now: Millis,
    ) -> Vec<PlanAction> {
        self.tick_lease(tree, now);
        if let (Some(term), Some(tree)) = (self.lease.term(now), tree) {
            if self.plan_loaded {
                let observed = view.observe_all(now, window);
                self.update(view, &observed, tree, now);
            } else if !self.has_plan_flight() {
                self.read_plan(term);
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Handles an event.
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

    /// Gives up the lease before the daemon stops.
    pub fn release(&mut self, now: Millis) -> Vec<PlanAction> {
        let term = self.lease.term(now);
        if let (Some(txn), Some(term)) = (self.lease.release(now), term) {
            let flight = self.start_flight(Flight::LeaseTxn);
            self.out.push(PlanAction::SendTxn { flight, txn });
            self.end_term(term);
        }
        std::mem::take(&mut self.out)
    }

    /// Returns the plan for operators.
    pub fn info(&self, now: Millis) -> HallInfo {
        let group = |g: &PlannedGroup| GroupInfo {
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
                .map(Assessment::describe_waits)
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
                    why: pools::describe_free(p),
                })
                .collect(),
        }
    }
}

const EPOCH_COUNTER_MASK: u64 = (1 << EPOCH_COUNTER_BITS) - 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Availability {
    /// The instance can join a group now.
    Free,
    /// The instance is about to come free.
    Releasing,
    /// The instance should be available and is not.
    Missing,
    /// The instance is in use, or runs a plain service instead of a model engine.
    InUse,
}

const fn planned_group(
    row: GroupRow,
    version: u64,
    state: GroupState,
    since: Millis,
) -> PlannedGroup {
    PlannedGroup {
        row,
        version,
        state,
        missing_since: None,
        since,
        drain_start: None,
        why: None,
        assessment: None,
    }
}

/// Returns join orders for the members of a planned group that are still idle.
fn join_tasks(planned: &PlannedGroup) -> Vec<(InstanceId, Task)> {
    let Some(found) = &planned.assessment else {
        return Vec::new();
    };
    let size = planned.row.members.len() as u32;
    let idle = found.members.iter().enumerate();
    idle.filter(|(_, (_, status))| *status == MemberStatus::Idle)
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

/// Returns the order that makes the leader of a group quiesce, until the leader reports that it
/// drains.
fn quiesce_task(planned: &PlannedGroup) -> Option<(InstanceId, Task)> {
    let found = planned.assessment.as_ref()?;
    let (leader, status) = found.members.first()?;
    let task = Task::Quiesce {
        group: planned.row.group.clone(),
        epoch: planned.row.epoch,
    };
    (*status == MemberStatus::Ready).then(|| (leader.clone(), task))
}
