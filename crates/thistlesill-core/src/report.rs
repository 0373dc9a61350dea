//! Reports of targets and the orders that they accept.
//!
//! These types are the bodies of a model engine's control interface: `GET /control/report`
//! returns a report, and `POST /control/order` accepts an order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Adapter, DomainId, Generation, GroupId, HallId, InstanceId, Millis, Model, RegionId,
    ServiceName, Version,
};

/// An entry of the platform's list of live and leaving instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Hall of the instance.
    pub hall: HallId,
    /// Fabric domain of the instance.
    pub domain: DomainId,
    /// Hardware generation of the accelerators.
    pub generation: Generation,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Address of the control and data interfaces.
    pub address: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Plain service that the instance runs; `None` for a model engine.
    pub service: Option<ServiceName>,
}

/// The model that a group runs, with its version and adapters.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Load {
    /// Name of the model.
    pub model: Model,
    /// Version of the model's weights.
    pub version: Version,
    /// Adapters that are loaded in addition to the model, in order.
    pub adapters: Vec<Adapter>,
}

/// The membership of an instance in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch of the group's formation.
    pub epoch: u64,
    /// Rank of this member, from 0; the member of rank 0 receives the group's requests.
    pub rank: u32,
    /// Number of members of the group.
    pub size: u32,
    /// Model and adapters that the group runs.
    pub load: Load,
}

/// The current duty of a target, as reported by the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "duty", rename_all = "snake_case")]
pub enum Duty {
    /// The target belongs to no group.
    Idle,
    /// The target is loading weights for a group.
    Loading(Membership),
    /// The target serves as a member of a group.
    Ready(Membership),
    /// The target finishes its requests in a group and accepts no new ones.
    Draining(Membership),
    /// The target runs a plain service.
    Service {
        /// Name of the service.
        name: ServiceName,
    },
}

impl Duty {
    /// Returns the membership in a group, if the target has one.
    pub const fn membership(&self) -> Option<&Membership> {
        match self {
            Self::Loading(m) | Self::Ready(m) | Self::Draining(m) => Some(m),
            Self::Idle | Self::Service { .. } => None,
        }
    }
}

/// Load figures of a target, measured by the target itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting in the engine.
    pub waiting: u32,
    /// Number of tokens still to be produced, as far as the engine knows.
    pub backlog: u32,
    /// Recent token rate over all requests, in tokens per second.
    pub speed: u32,
    /// Number of requests accepted since the engine started; shows which of a router's requests
    /// the report already includes.
    pub accepted: u64,
    /// Age of these figures at the time of the report.
    pub age: Millis,
}

/// A change of a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which rises by one per event and so reveals gaps.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added; `false` if the prefix was dropped.
    pub added: bool,
}

/// A target's report about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance that runs the target.
    pub instance: InstanceId,
    /// Incarnation of the target, which changes with every start.
    pub incarnation: u64,
    /// Current duty.
    pub duty: Duty,
    /// Highest fence that the target has seen.
    pub fence: Fence,
    /// Whether the target announces that it is leaving.
    pub leaving: bool,
    /// Load figures.
    pub pressure: Pressure,
    /// Recent events of the prefix cache, possibly with gaps.
    pub cache: Vec<CacheEvent>,
}

/// A fencing token that ranks orders, also those of successive lease holders.
///
/// An order with a lower fence than one already seen is stale.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// Term of the hall's lease under which the order was given.
    pub term: u64,
    /// Epoch of the order, counted across all terms; each order of a plan has its own.
    pub epoch: u64,
}

/// The task that an order assigns to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "task", rename_all = "snake_case")]
pub enum Task {
    /// Join a group and load the group's model and adapters.
    Join(Membership),
    /// Load weights while idle, so that joining a group later needs no loading.
    Warm {
        /// Model and adapters to load.
        load: Load,
    },
    /// Leave any group and hold no requests.
    Reset,
    /// Accept no new requests for the group; active requests continue.
    Quiesce {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group's formation.
        epoch: u64,
    },
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Instance that the order is addressed to.
    pub instance: InstanceId,
    /// Incarnation that the order is addressed to; any other incarnation refuses the order.
    pub incarnation: u64,
    /// Fencing token of the order.
    pub fence: Fence,
    /// Task to carry out.
    pub task: Task,
}

/// A target's reply to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The task is done or has begun.
    Taken,
    /// The fence of the order is lower than one already seen.
    Stale,
    /// The order is addressed to another instance or incarnation.
    Stranger,
}
