//! What targets report of themselves and the orders they accept.
//!
//! These are the bodies of the control interface of a model engine: a
//! report on `GET /control/report`, and an order on `POST /control/order`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    Adapter, DomainId, Generation, GroupId, HallId, InstanceId, Millis, Model, RegionId,
    ServiceName, Version,
};

/// An instance as the platform's list of live and leaving instances has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The instance.
    pub instance: InstanceId,
    /// Its region.
    pub region: RegionId,
    /// Its hall.
    pub hall: HallId,
    /// Its fabric domain.
    pub domain: DomainId,
    /// The generation of its accelerators.
    pub generation: Generation,
    /// How many accelerators it has.
    pub accelerators: u32,
    /// Where its control and data interfaces listen.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The plain service that it runs, if it is no model engine.
    pub service: Option<ServiceName>,
}

/// What a group runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Load {
    /// The model.
    pub model: Model,
    /// The version of its weights.
    pub version: Version,
    /// Adapters loaded beside it, in order.
    pub adapters: Vec<Adapter>,
}

/// A member's place in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The epoch of its forming.
    pub epoch: u64,
    /// This member's rank from 0; rank 0 takes requests.
    pub rank: u32,
    /// How many members the group has.
    pub size: u32,
    /// What the group runs.
    pub load: Load,
}

/// What a target does by its own word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "duty", rename_all = "snake_case")]
pub enum Duty {
    /// Belongs to no group.
    Idle,
    /// Loads weights for a group.
    Loading(Membership),
    /// Serves in a group.
    Ready(Membership),
    /// Ends what it serves in a group and takes nothing new.
    Draining(Membership),
    /// Runs a plain service.
    Service {
        /// The service's name.
        name: ServiceName,
    },
}

impl Duty {
    /// The place in a group, if the target has one.
    pub const fn membership(&self) -> Option<&Membership> {
        match self {
            Self::Loading(m) | Self::Ready(m) | Self::Draining(m) => Some(m),
            Self::Idle | Self::Service { .. } => None,
        }
    }
}

/// How loaded a target was when it last looked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pressure {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait in the engine.
    pub waiting: u32,
    /// Tokens that the engine has still to produce, as far as it knows.
    pub backlog: u32,
    /// Tokens per second over all requests, as of late.
    pub speed: u32,
    /// Requests accepted since the engine started; tells which of a router's
    /// requests the report already counts.
    pub accepted: u64,
    /// How old these figures were when reported.
    pub age: Millis,
}

/// A change to a target's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one per event, so that gaps can be seen.
    pub seq: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added or dropped.
    pub added: bool,
}

/// A target's report of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The target.
    pub instance: InstanceId,
    /// Changes with every start of the target.
    pub incarnation: u64,
    /// What it does.
    pub duty: Duty,
    /// The highest fence that it has seen.
    pub fence: Fence,
    /// Whether it says of itself that it is leaving.
    pub leaving: bool,
    /// How loaded it is.
    pub pressure: Pressure,
    /// Recent cache events, possibly with gaps.
    pub cache: Vec<CacheEvent>,
}

/// Orders the orders of successive holders: a lower one is stale.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence {
    /// The term of the hall's lease.
    pub term: u64,
    /// The epoch within all terms; each order of a plan has its own.
    pub epoch: u64,
}

/// What a target is ordered to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "task", rename_all = "snake_case")]
pub enum Task {
    /// Join a group and load what it runs.
    Join(Membership),
    /// Load weights while idle, so that joining a group needs no loading.
    Warm {
        /// What to load.
        load: Load,
    },
    /// Leave any group and hold no requests.
    Reset,
    /// Take no new requests of the group; those under way go on.
    Quiesce {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
}

/// An order to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Which instance it is for.
    pub instance: InstanceId,
    /// Which incarnation it is for; another one refuses it.
    pub incarnation: u64,
    /// Orders among orders.
    pub fence: Fence,
    /// What to do.
    pub task: Task,
}

/// A target's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// Done or begun.
    Taken,
    /// The fence is lower than one already seen.
    Stale,
    /// Meant for another instance or incarnation.
    Stranger,
}
