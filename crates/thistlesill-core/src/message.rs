//! Messages between daemons, encoded with `postcard` and sealed with the
//! fleet's shared key.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::report::{CacheEvent, Duty, Membership, Pressure};
use crate::settings::{Branch, TreeDiff};
use crate::{
    CustomerId, DomainId, Fingerprint, Generation, GroupId, HallId, InstanceId, Millis, NodeId,
    ServiceName, Stamp, Verdict,
};

/// Reports in one datagram at most; keeps it within
/// [`MAX_DATAGRAM`](crate::seal::MAX_DATAGRAM).
pub const MAX_SIGHTINGS: usize = 12;

/// What a watcher last saw of a target; changes rarely.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The target.
    pub instance: InstanceId,
    /// Its hall.
    pub hall: HallId,
    /// Its fabric domain.
    pub domain: DomainId,
    /// The generation of its accelerators.
    pub generation: Generation,
    /// How many accelerators it has.
    pub accelerators: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it leaves, by the list or by its own word.
    pub leaving: bool,
    /// What it does.
    pub state: Seen,
}

/// What a target was seen to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Seen {
    /// It did not answer.
    Lost,
    /// It belongs to no group.
    Idle,
    /// It loads for a group.
    Loading(Membership),
    /// It serves in a group.
    Ready(Membership),
    /// It ends what it serves and takes nothing new.
    Draining(Membership),
    /// It runs a plain service.
    Service(ServiceName),
}

impl From<Duty> for Seen {
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

impl Seen {
    /// The place in a group, if there is one.
    pub const fn membership(&self) -> Option<&Membership> {
        match self {
            Self::Loading(m) | Self::Ready(m) | Self::Draining(m) => Some(m),
            _ => None,
        }
    }
}

/// The pressure on a leader, which changes all the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gauge {
    /// The target.
    pub instance: InstanceId,
    /// Its figures; `age` counts up to the sending of the beat.
    pub pressure: Pressure,
    /// Its cache events since the last beat, possibly with gaps.
    pub cache: Vec<CacheEvent>,
}

/// A watcher's regular message.
///
/// It says: every sighting that I sent and did not take back was confirmed
/// by a report no older than `oldest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Counts up by one for every beat of a watcher's run.
    pub seq: u64,
    /// Changes with every start of the watcher.
    pub run: u64,
    /// Age of the oldest confirmation among targets not lost.
    pub oldest: Millis,
    /// The number of changes sent in this run, this beat's included.
    pub changes: u64,
    /// Sightings that changed since the last beat.
    pub changed: Vec<Sighting>,
    /// Pressure on the leaders watched.
    pub gauges: Vec<Gauge>,
}

/// A part of a watcher's full view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The watcher's run.
    pub run: u64,
    /// The number of changes that the view includes.
    pub changes: u64,
    /// This part's position from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Age of the oldest confirmation among targets not lost.
    pub oldest: Millis,
    /// The sightings of this part.
    pub sightings: Vec<Sighting>,
}

/// A router's use of its groups, for fair sharing over all routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests under way or waiting for each customer.
    pub customers: Vec<CustomerUse>,
}

/// One customer's use at one router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// The customer.
    pub customer: CustomerId,
    /// Requests sent and not ended.
    pub running: u32,
}

/// What a router tells of requests that end the groups which run them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fatal {
    /// Groups that it lost, by name and epoch, and the requests that were there.
    pub lost: Vec<(Fingerprint, (GroupId, u64))>,
    /// What was decided.
    pub verdicts: Vec<Verdict>,
}

impl Fatal {
    /// Whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.lost.is_empty() && self.verdicts.is_empty()
    }
}

/// What a datagram carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A watcher's regular message.
    Beat(Beat),
    /// A request for the watcher's full view.
    Want,
    /// A part of a watcher's full view.
    Digest(Digest),
    /// A router's use of its groups.
    Usage(Usage),
    /// What a router knows of requests that end their groups.
    Fatal(Fatal),
    /// The revision of the settings in force at the sender.
    Head {
        /// The revision.
        revision: u64,
    },
}

/// A datagram between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: NodeId,
    /// The sender's clock.
    pub stamp: Stamp,
    /// The content.
    pub body: PeerBody,
}

/// A question on a stream between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamAsk {
    /// The settings, if they are newer than `have`.
    Settings {
        /// The revision that the asker has.
        have: u64,
    },
}

/// An answer on a stream between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamReply {
    /// Nothing newer.
    Nothing,
    /// The changes that lead from the asker's revision to this one, in order.
    Changes {
        /// The changes.
        changes: Vec<ChangeEntry>,
    },
    /// The whole tree at a revision.
    Settings {
        /// The revision.
        revision: u64,
        /// Path and branch.
        branches: Vec<BranchEntry>,
    },
}

/// What led from one revision to a later one, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEntry {
    /// The revision that it applies to.
    pub from: u64,
    /// The revision that it gives.
    pub to: u64,
    /// The change, as JSON text.
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
    /// The decoder's error if the text is no change.
    pub fn diff(&self) -> Result<TreeDiff, serde_json::Error> {
        serde_json::from_str(&self.json)
    }
}

/// One branch of a tree on the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BranchEntry {
    /// The path.
    pub path: String,
    /// The branch, as JSON text: its optional fields need a format that
    /// describes itself.
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
    /// The decoder's error if the text is no branch.
    pub fn branch(&self) -> Result<Branch, serde_json::Error> {
        serde_json::from_str(&self.json)
    }
}
