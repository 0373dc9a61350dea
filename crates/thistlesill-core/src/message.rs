//! Messages between daemons, encoded with `postcard` and authenticated with the fleet's shared
//! key.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::report::{CacheEvent, Duty, Membership, Pressure};
use crate::settings::{Branch, TreeDiff};
use crate::{
    CustomerId, DomainId, Fingerprint, Generation, GroupId, HallId, InstanceId, Millis, NodeId,
    ServiceName, Stamp, Verdict,
};

/// Largest number of sightings in one datagram, which keeps the datagram within
/// [`MAX_DATAGRAM`](crate::seal::MAX_DATAGRAM).
pub const MAX_SIGHTINGS: usize = 12;

/// The state of a target as last observed by a watcher.
///
/// Rarely changing data is sent here; see [`Gauge`] for data that changes all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Instance that runs the target.
    pub instance: InstanceId,
    /// Hall of the instance.
    pub hall: HallId,
    /// Fabric domain of the instance.
    pub domain: DomainId,
    /// Hardware generation of the accelerators.
    pub generation: Generation,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Address of the target's interfaces.
    pub address: SocketAddr,
    /// Incarnation of the target, which changes with every start.
    pub incarnation: u64,
    /// Whether the target is leaving, according to the platform's list or its own report.
    pub leaving: bool,
    /// Observed state.
    pub state: ObservedState,
}

/// The observed state of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedState {
    /// The target did not answer.
    Lost,
    /// The target belongs to no group.
    Idle,
    /// The target is loading weights for a group.
    Loading(Membership),
    /// The target serves as a member of a group.
    Ready(Membership),
    /// The target finishes its requests in a group and accepts no new ones.
    Draining(Membership),
    /// The target runs a plain service.
    Service(ServiceName),
}

impl From<Duty> for ObservedState {
    fn from(duty: Duty) -> Self {
        match duty {
            Duty::Idle => Self::Idle,
            Duty::Loading(m) => Self::Loading(m),
            Duty::Ready(m) => Self::Ready(m),
            Duty::Draining(m) => Self::Draining(m),
            Duty::Service { name } => Self::Service(name),
        }
    }
}

impl ObservedState {
    /// Returns the membership in a group, if the target has one.
    pub const fn membership(&self) -> Option<&Membership> {
        match self {
            Self::Loading(m) | Self::Ready(m) | Self::Draining(m) => Some(m),
            _ => None,
        }
    }
}

/// The load of a group's leader or of a plain service's target, which changes all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gauge {
    /// Instance that runs the target.
    pub instance: InstanceId,
    /// Load figures; their `age` is measured up to the sending of the heartbeat.
    pub pressure: Pressure,
    /// Events of the prefix cache since the last heartbeat, possibly with gaps.
    pub cache: Vec<CacheEvent>,
}

/// The periodic heartbeat of a watcher.
///
/// A heartbeat asserts that every sighting that the watcher has sent and not replaced was
/// confirmed by a report no older than `oldest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number, which rises by one with every heartbeat of a run.
    pub seq: u64,
    /// Identifies the watcher's run; changes with every start of the watcher.
    pub run: u64,
    /// Age of the oldest report that confirms a sent sighting, not counting lost targets.
    pub oldest: Millis,
    /// Number of changes sent in this run, including those of this heartbeat.
    pub changes: u64,
    /// Sightings that changed since they were last sent.
    pub changed: Vec<Sighting>,
    /// Load of watched leaders and plain services.
    pub gauges: Vec<Gauge>,
}

/// One part of a watcher's complete list of sightings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Identifies the watcher's run.
    pub run: u64,
    /// Number of changes of this run that the list includes.
    pub changes: u64,
    /// Index of this part, from 0.
    pub part: u32,
    /// Total number of parts.
    pub parts: u32,
    /// Age of the oldest report that confirms a sent sighting, not counting lost targets.
    pub oldest: Millis,
    /// Sightings in this part.
    pub sightings: Vec<Sighting>,
}

/// A router's usage per customer, for fair sharing over all routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Usage of each customer with active requests.
    pub customers: Vec<CustomerUsage>,
}

/// The usage of one customer at one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Number of requests that were sent to targets and have not ended.
    pub running: u32,
}

/// A router's observations and verdicts about requests that crash the groups which run them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fatal {
    /// Requests, each with a group (name and epoch) that was lost while it had the request.
    pub lost: Vec<(Fingerprint, (GroupId, u64))>,
    /// Verdicts of the sender.
    pub verdicts: Vec<Verdict>,
}

impl Fatal {
    /// Returns whether there is nothing to send.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.lost.is_empty() && self.verdicts.is_empty()
    }
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// The heartbeat of a watcher.
    Beat(Heartbeat),
    /// A request for the watcher's complete list of sightings.
    Want,
    /// One part of a watcher's complete list of sightings.
    Digest(Digest),
    /// A router's usage per customer.
    Usage(Usage),
    /// A router's observations and verdicts about requests that crash their groups.
    Fatal(Fatal),
    /// The revision of the settings in force at the sender.
    Head {
        /// Revision in force.
        revision: u64,
    },
}

/// A datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// Name of the sending daemon.
    pub from: NodeId,
    /// Stamp of the sender's clock at the time of sending.
    pub stamp: Stamp,
    /// Content of the datagram.
    pub body: PeerBody,
}

/// A request on a stream between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Requests the settings, if they are newer than `have`.
    Settings {
        /// Revision that the requesting daemon has.
        have: u64,
    },
}

/// A reply on a stream between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamReply {
    /// The requesting daemon has the newest settings.
    Nothing,
    /// The changes from the requesting daemon's revision to the newest one, in order.
    Changes {
        /// Changes in the order in which they apply.
        changes: Vec<ChangeEntry>,
    },
    /// The whole tree at a revision.
    Settings {
        /// Revision of the tree.
        revision: u64,
        /// All branches of the tree.
        branches: Vec<BranchEntry>,
    },
}

/// The change from one revision of the settings to a later one, encoded for the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// Revision that the change applies to.
    pub from: u64,
    /// Revision that results from the change.
    pub to: u64,
    /// The [`TreeDiff`] as JSON text.
    pub json: String,
}

impl ChangeEntry {
    /// Encodes a change.
    ///
    /// # Panics
    ///
    /// Never: changes always encode.
    pub fn new(from: u64, to: u64, diff: &TreeDiff) -> Self {
        Self {
            from,
            to,
            json: serde_json::to_string(diff).expect("changes always encode"),
        }
    }

    /// Decodes the change.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if `json` is not a valid change.
    pub fn diff(&self) -> Result<TreeDiff, serde_json::Error> {
        serde_json::from_str(&self.json)
    }
}

/// One branch of the settings tree, encoded for the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BranchEntry {
    /// Path of the branch.
    pub path: String,
    /// The branch as JSON text: its fields are skipped if absent, which requires a
    /// self-describing format.
    pub json: String,
}

impl Eq for BranchEntry {}

impl BranchEntry {
    /// Encodes a branch.
    ///
    /// # Panics
    ///
    /// Never: branches always encode.
    pub fn new(path: &str, branch: &Branch) -> Self {
        Self {
            path: path.to_owned(),
            json: serde_json::to_string(branch).expect("branches always encode"),
        }
    }

    /// Decodes the branch.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if `json` is not a valid branch.
    pub fn branch(&self) -> Result<Branch, serde_json::Error> {
        serde_json::from_str(&self.json)
    }
}
