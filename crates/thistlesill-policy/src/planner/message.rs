//! The options, events and actions of a planner, and the figures that it shows to operators.

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

/// The options that a planner starts with.
#[derive(Debug, Clone)]
pub struct PlannerOptions {
    /// The planner's name.
    pub name: NodeId,
    /// The planner's region.
    pub region: RegionId,
    /// The planner's hall.
    pub hall: HallId,
    /// The other planners and their halls.
    pub planners: Vec<Watcher>,
    /// A number that is greater at every start of the planner.
    pub run: u64,
    /// The interval between probes of a target.
    pub probe_interval: Millis,
    /// The interval between heartbeats.
    pub heartbeat_interval: Millis,
    /// The interval between updates of the plan.
    pub plan_interval: Millis,
    /// The interval between renewals of a lease.
    pub renew_interval: Millis,
    /// How long a lease lasts without a renewal.
    pub lease_length: Millis,
    /// The placement that forms groups.
    pub strategy: Strategy,
}

/// An event that a planner handles.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerEvent {
    /// The platform's list of instances was read.
    Listed(Vec<ListedInstance>),
    /// A probe returned a report.
    Reported {
        /// The report of the target.
        report: Box<Report>,
        /// When the probe was sent.
        started: Millis,
    },
    /// A heartbeat of a watcher arrived.
    Heartbeat {
        /// The watcher.
        from: NodeId,
        /// The heartbeat.
        heartbeat: Heartbeat,
        /// The local wall clock minus the sender's, in milliseconds.
        lag: i64,
    },
    /// A part of a watcher's full view arrived.
    Digest {
        /// The watcher.
        from: NodeId,
        /// The part.
        part: Digest,
        /// The local wall clock minus the sender's, in milliseconds.
        lag: i64,
    },
    /// A peer requests this planner's full view.
    DigestRequested(NodeId),
    /// A revision of the settings was read.
    Settings(Arc<Tree>),
    /// A transaction finished.
    TxnDone {
        /// The hall whose planner sent the transaction.
        hall: HallId,
        /// The number from [`PlannerAction::SendTxn`].
        flight: u64,
        /// The result of the transaction.
        result: TxnResult,
    },
    /// A read finished or failed.
    RowsRead {
        /// The hall whose planner asked for the read.
        hall: HallId,
        /// The number from [`PlannerAction::Read`].
        flight: u64,
        /// The rows, or `None` if the read failed.
        rows: Option<Rows>,
    },
    /// An order was answered, or its answer was lost.
    Answered {
        /// The hall whose planner sent the order.
        hall: HallId,
        /// The target of the order.
        instance: InstanceId,
        /// The fence of the order.
        fence: Fence,
        /// The answer, or `None` if none came.
        reply: Option<OrderReply>,
    },
    /// The daemon has to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// An action that a planner asks its daemon for.
#[derive(Debug, Clone, PartialEq)]
pub enum PlannerAction {
    /// Request the report of the target at this address.
    Probe(SocketAddr),
    /// Send a transaction and report its result as [`PlannerEvent::TxnDone`].
    SendTxn {
        /// The hall whose planner sends the transaction.
        hall: HallId,
        /// Identifies the transaction within the hall.
        flight: u64,
        /// The transaction to send.
        txn: Txn,
    },
    /// Read rows by prefix and report them as [`PlannerEvent::RowsRead`].
    Read {
        /// The hall whose planner asks for the read.
        hall: HallId,
        /// Identifies the read within the hall.
        flight: u64,
        /// The key prefixes to read.
        prefixes: Vec<RowKey>,
    },
    /// Send an order to a target, unless the hall's lease has run out by then.
    SendOrder {
        /// The hall whose planner sends the order.
        hall: HallId,
        /// The order to send.
        order: Order,
        /// The address of the target.
        address: SocketAddr,
    },
    /// Send a heartbeat to all peers.
    SendHeartbeat(Heartbeat),
    /// Send this planner's full view to one peer.
    SendDigest {
        /// The peer that requested the view.
        to: NodeId,
        /// The parts of the view, one message each.
        parts: Vec<Digest>,
    },
    /// Request a watcher's full view.
    RequestDigest(NodeId),
    /// Send all peers the revision of the settings that is in force here.
    SendHead(u64),
    /// Record an event on the timeline.
    Note(TimelineEvent),
    /// Exit the daemon.
    Exit,
}

/// The figures of a planner that operators see.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// The revision of the settings in force; 0 if there is none.
    pub revision: u64,
    /// The number of listed instances.
    pub listed: usize,
    /// The number of targets that this planner watches.
    pub watched: usize,
    /// The halls whose lease this planner holds.
    pub holds: Vec<HallId>,
}

/// An instance, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceInfo {
    /// The instance's state as the watchers report it.
    pub seen: Sighting,
    /// Whether that state is recent enough to count.
    pub fresh: bool,
}
