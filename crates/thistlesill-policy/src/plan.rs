//! The planner's decisions for one hall: hold the lease, keep the plan in
//! the table, and give orders until the targets report what was planned.

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

/// How a planner forms groups.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// The shipped placement.
    #[default]
    Weighed,
    /// First fit without spares.
    FirstFit,
    /// Rebuild from scratch.
    Rebuild,
}

/// What a hall's planner is started with.
#[derive(Debug, Clone)]
pub struct PlanOptions {
    /// The planner.
    pub name: NodeId,
    /// The region.
    pub region: RegionId,
    /// The hall that is planned.
    pub hall: HallId,
    /// Times of the lease.
    pub lease: LeasePeriods,
    /// How groups are formed.
    pub strategy: Strategy,
}

/// What a planner is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanAction {
    /// Send a transaction.
    SendTxn {
        /// Its number.
        flight: u64,
        /// The transaction.
        txn: Txn,
    },
    /// Read rows by prefix.
    Read {
        /// Its number.
        flight: u64,
        /// The prefixes.
        prefixes: Vec<RowKey>,
    },
    /// Give an order, unless the lease has run out by then.
    Give {
        /// The order.
        order: Order,
        /// Where to.
        address: SocketAddr,
    },
    /// Note an event on the time line.
    Note(TimelineEvent),
}

/// What a planner learns beside the view.
#[derive(Debug, Clone, PartialEq)]
pub enum PlanEvent {
    /// A transaction ended.
    TxnDone {
        /// Its number.
        flight: u64,
        /// How.
        result: TxnResult,
    },
    /// Rows were read, or not.
    RowsRead {
        /// The read's number.
        flight: u64,
        /// The rows, if the read succeeded.
        rows: Option<Rows>,
    },
    /// An order was answered, or not.
    Answered {
        /// The target.
        instance: InstanceId,
        /// The order's fence.
        fence: Fence,
        /// The answer, if one came.
        reply: Option<OrderReply>,
    },
}

/// A planned group for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupInfo {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: u64,
    /// Its fabric domain.
    pub domain: DomainId,
    /// Its members in order of rank.
    pub members: Vec<InstanceId>,
    /// What it runs.
    pub load: Load,
    /// Where it stands.
    pub state: GroupState,
    /// Why it is to end, if it is.
    pub why: Option<EndReason>,
    /// What it waits for, in words.
    pub waits: Vec<String>,
}

/// A hall's plan for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallInfo {
    /// The hall.
    pub hall: HallId,
    /// Whether this planner holds its lease now.
    pub holding: bool,
    /// The holder that this planner last read of.
    pub holder: Option<NodeId>,
    /// The term, if this planner holds the lease.
    pub term: Option<u64>,
    /// Planned groups; empty unless this planner holds the lease.
    pub groups: Vec<GroupInfo>,
    /// Pools in words: what is free and why no more groups are formed.
    pub pools: Vec<PoolInfo>,
}

/// A pool for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolInfo {
    /// The fabric domain.
    pub domain: DomainId,
    /// The generation.
    pub generation: String,
    /// Free instances.
    pub free: Vec<InstanceId>,
    /// Why they are free.
    pub why: String,
}

/// How long a member may be missing before its group is ended.
const PATIENCE: Millis = Millis::new(4_000);
/// Group loads under way at a time, while no branch says.
const LOADS: u32 = 4;
/// Between two tries of an order that was not followed yet.
const REPEAT: Millis = Millis::new(1_500);
