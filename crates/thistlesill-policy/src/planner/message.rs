//! What a planner is started with, what it learns, what it is to do and what it
//! tells operators.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::message::{Digest, Heartbeat, Sighting};
use thistlesill_core::report::{Fence, ListedInstance, Order, OrderReply, Report};
use thistlesill_core::settings::Tree;
use thistlesill_core::table::{RowKey, Rows, Txn, TxnResult};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{HallId, InstanceId, Millis, NodeId, RegionId};

use crate::plan::Strategy;
use crate::presence::Watcher;

/// What a planner is started with.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// Its name.
    pub name: NodeId,
    /// Its region.
    pub region: RegionId,
    /// Its hall.
    pub hall: HallId,
    /// The other planners.
    pub planners: Vec<Watcher>,
    /// Differs between starts, and grows.
    pub run: u64,
    /// Between probes.
    pub probe: Millis,
    /// Between beats.
    pub beat: Millis,
    /// Between looks at the plan.
    pub plan: Millis,
    /// Between renewals of a lease.
    pub renew: Millis,
    /// A lease's length.
    pub lease: Millis,
    /// How groups are formed.
    pub strategy: Strategy,
}

/// What a planner learns.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// The list of instances was read.
    Listed(Vec<ListedInstance>),
    /// A probe brought a report.
    Reported {
        /// The report.
        report: Box<Report>,
        /// When the probe was sent.
        started: Millis,
    },
    /// A watcher's beat.
    Beat {
        /// The watcher.
        from: NodeId,
        /// The beat.
        beat: Heartbeat,
        /// Our wall clock less the sender's, in milliseconds.
        lag: i64,
    },
    /// A part of a watcher's view.
    Digest {
        /// The watcher.
        from: NodeId,
        /// The part.
        part: Digest,
        /// Our wall clock less the sender's, in milliseconds.
        lag: i64,
    },
    /// A peer wants our full view.
    Wanted(NodeId),
    /// A revision of the settings was read.
    Settings(Arc<Tree>),
    /// A transaction ended.
    TxnDone {
        /// The hall.
        hall: HallId,
        /// Its number.
        flight: u64,
        /// How.
        result: TxnResult,
    },
    /// Rows were read, or not.
    RowsRead {
        /// The hall.
        hall: HallId,
        /// The read's number.
        flight: u64,
        /// The rows, if the read succeeded.
        rows: Option<Rows>,
    },
    /// An order was answered, or not.
    Answered {
        /// The hall.
        hall: HallId,
        /// The target.
        instance: InstanceId,
        /// The order's fence.
        fence: Fence,
        /// The answer, if one came.
        reply: Option<OrderReply>,
    },
    /// The daemon is told to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// What a planner is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Ask a target for its report.
    Probe(SocketAddr),
    /// Send a transaction.
    SendTxn {
        /// The hall.
        hall: HallId,
        /// Its number.
        flight: u64,
        /// The transaction.
        txn: Txn,
    },
    /// Read rows by prefix.
    Read {
        /// The hall.
        hall: HallId,
        /// The read's number.
        flight: u64,
        /// The prefixes.
        prefixes: Vec<RowKey>,
    },
    /// Give an order.
    Give {
        /// The hall.
        hall: HallId,
        /// The order.
        order: Order,
        /// Where to.
        address: SocketAddr,
    },
    /// Send a beat to all peers.
    TellBeat(Heartbeat),
    /// Send our full view to one peer.
    TellDigest {
        /// The peer.
        to: NodeId,
        /// The parts.
        parts: Vec<Digest>,
    },
    /// Ask a watcher for its full view.
    AskDigest(NodeId),
    /// Tell the peers which settings are in force here.
    TellHead(u64),
    /// Note an event on the time line.
    Note(TimelineEvent),
    /// The daemon may exit.
    Exit,
}

/// Figures of a planner for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// Revision of the settings in force; 0 for none.
    pub revision: u64,
    /// Instances listed.
    pub listed: usize,
    /// Targets that this planner watches.
    pub watched: usize,
    /// Halls whose lease it holds.
    pub holds: Vec<HallId>,
}

/// An instance for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// What the watchers say.
    pub seen: Sighting,
    /// Whether that is fresh.
    pub fresh: bool,
}
