//! Planning for one hall: holds the lease, keeps the plan in the table, and sends orders until the
//! targets report what was planned.

mod assess;
mod hall;
mod orders;
mod pools;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thistlesill_core::report::{Fence, Load, Order, OrderReply};
use thistlesill_core::table::{RowKey, Rows, Txn, TxnResult};
use thistlesill_core::timeline::{EndReason, TimelineEvent};
use thistlesill_core::{DomainId, GroupId, HallId, InstanceId, Millis, NodeId, RegionId};

pub use self::hall::HallPlanner;
use crate::charts::GroupState;
use crate::lease::LeasePeriods;

/// The placement that a planner uses to form groups.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// The default placement, [`place`](fn@crate::placement::place), which weighs downtime against
    /// stranded accelerators.
    #[default]
    Weighed,
    /// First fit without spares, for comparison.
    FirstFit,
    /// A rebuild from scratch whenever a better packing exists, for comparison.
    Rebuild,
}

/// The options of the planner of one hall.
#[derive(Debug, Clone)]
pub struct PlanOptions {
    /// The name of this planner.
    pub name: NodeId,
    /// The region of the hall.
    pub region: RegionId,
    /// The hall to plan.
    pub hall: HallId,
    /// The durations of the lease.
    pub lease: LeasePeriods,
    /// The placement that forms groups.
    pub strategy: Strategy,
}

/// An action that a hall's planner asks its caller for.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Send a transaction and report its result as [`PlanEvent::TxnDone`].
    SendTxn {
        /// Identifies the transaction.
        flight: u64,
        /// The transaction to send.
        txn: Txn,
    },
    /// Read rows by prefix and report them as [`PlanEvent::RowsRead`].
    Read {
        /// Identifies the read.
        flight: u64,
        /// The key prefixes to read.
        prefixes: Vec<RowKey>,
    },
    /// Send an order to a target, unless the lease has run out by then.
    SendOrder {
        /// The order to send.
        order: Order,
        /// The address of the target.
        address: SocketAddr,
    },
    /// Record an event on the timeline.
    Note(TimelineEvent),
}

/// An event that a hall's planner handles, apart from what the view shows.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanEvent {
    /// A transaction finished.
    TxnDone {
        /// The number from [`PlanAction::SendTxn`].
        flight: u64,
        /// The result of the transaction.
        result: TxnResult,
    },
    /// A read finished or failed.
    RowsRead {
        /// The number from [`PlanAction::Read`].
        flight: u64,
        /// The rows, or `None` if the read failed.
        rows: Option<Rows>,
    },
    /// An order was answered, or its answer was lost.
    Answered {
        /// The target of the order.
        instance: InstanceId,
        /// The fence of the order.
        fence: Fence,
        /// The answer, or `None` if none came.
        reply: Option<OrderReply>,
    },
}

/// A planned group, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupInfo {
    /// The group.
    pub group: GroupId,
    /// The epoch in which the group was formed.
    pub epoch: u64,
    /// The fabric domain of the members.
    pub domain: DomainId,
    /// The members in order of rank.
    pub members: Vec<InstanceId>,
    /// The model that the group runs.
    pub load: Load,
    /// The state of the group.
    pub state: GroupState,
    /// Why the group is draining or has ended, if it is or has.
    pub why: Option<EndReason>,
    /// What the group is waiting for, one sentence per member.
    pub waits: Vec<String>,
}

/// The plan of a hall, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallInfo {
    /// The hall.
    pub hall: HallId,
    /// Whether this planner holds the hall's lease now.
    pub holding: bool,
    /// The holder that this planner last read from the table.
    pub holder: Option<NodeId>,
    /// The term, if this planner holds the lease.
    pub term: Option<u64>,
    /// The planned groups; empty unless this planner holds the lease.
    pub groups: Vec<GroupInfo>,
    /// The pools that have free instances, and why these form no group.
    pub pools: Vec<PoolInfo>,
}

/// A pool, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolInfo {
    /// The fabric domain.
    pub domain: DomainId,
    /// The hardware generation.
    pub generation: String,
    /// The free instances.
    pub free: Vec<InstanceId>,
    /// Why the instances are free, as a sentence.
    pub why: String,
}

/// How long a member may be missing before its group is ended.
const MISSING_MEMBER_TIMEOUT: Millis = Millis::new(4_000);
/// The maximum number of groups that load weights at a time, unless the settings say otherwise.
const DEFAULT_CONCURRENT_LOADS: u32 = 4;
/// The interval between two attempts to send an order that has not been taken.
const ORDER_RETRY_INTERVAL: Millis = Millis::new(1_500);
