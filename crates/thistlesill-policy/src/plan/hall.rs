//! The planner's state for one hall and its step.

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

use super::assess::{Assessment, Standing};
use super::orders::OrderBook;
use super::pools::{self, Steadiness};
use super::{GroupInfo, HallInfo, PlanAction, PlanEvent, PlanOptions, PoolInfo};
use crate::charts::{Charts, GroupEvent, GroupState};
use crate::lease::Lease;
use crate::placement::Pool;
use crate::presence::View;

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
    /// When the lease was gained.
    gained: Millis,
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
            gained: Millis::ZERO,
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
