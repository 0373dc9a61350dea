//! Events of the time line, and the bounded ring that each process keeps.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, ErrorKind, GroupId, HallId, InstanceId, NodeId, RequestId, Stamp};

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Happening {
    /// The daemon started.
    Started,
    /// The daemon was told to stop.
    Stopping,
    /// A revision of the settings came into force here.
    SettingsInForce {
        /// The revision.
        revision: u64,
    },
    /// A request arrived.
    Arrived {
        /// The request.
        request: RequestId,
        /// Its customer.
        customer: CustomerId,
    },
    /// A claim was granted.
    Claimed {
        /// The request.
        request: RequestId,
    },
    /// A request was sent to a group.
    Sent {
        /// The request.
        request: RequestId,
        /// The group.
        group: GroupId,
        /// The group's epoch.
        epoch: u64,
        /// Counts the attempts from 1.
        attempt: u32,
    },
    /// The first token reached the router.
    FirstToken {
        /// The request.
        request: RequestId,
    },
    /// An attempt failed.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The group.
        group: GroupId,
    },
    /// A request ended whole.
    Completed {
        /// The request.
        request: RequestId,
        /// Tokens delivered.
        tokens: u32,
    },
    /// A request ended with an error.
    Failed {
        /// The request.
        request: RequestId,
        /// The kind.
        kind: ErrorKind,
    },
    /// The caller went away.
    CallerGone {
        /// The request.
        request: RequestId,
    },
    /// A hall's lease was gained.
    LeaseGained {
        /// The hall.
        hall: HallId,
        /// The term.
        term: u64,
    },
    /// A hall's lease was lost or given up.
    LeaseEnded {
        /// The hall.
        hall: HallId,
        /// The term.
        term: u64,
    },
    /// A group was written to the plan.
    GroupPlanned {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
        /// Its members.
        members: Vec<InstanceId>,
    },
    /// A group was taken out of the plan.
    GroupEnded {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
        /// Why.
        why: EndReason,
    },
    /// A group has all its members ready, seen from here.
    GroupComplete {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// A group no longer has all its members, seen from here.
    GroupBroken {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// An order was given.
    Ordered {
        /// The target.
        instance: InstanceId,
        /// The term.
        term: u64,
        /// The order's epoch.
        epoch: u64,
    },
}

/// Why a group was taken out of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// A member was lost.
    MemberLost,
    /// A member came back as another incarnation or without the group.
    MemberChanged,
    /// A member is leaving.
    MemberLeaving,
    /// The settings ask for something else.
    SettingsChanged,
    /// Its members serve better elsewhere.
    Rebalanced,
}

impl Happening {
    /// The request that the event is about, if any.
    pub const fn request(&self) -> Option<RequestId> {
        match self {
            Self::Arrived { request, .. }
            | Self::Claimed { request }
            | Self::Sent { request, .. }
            | Self::FirstToken { request }
            | Self::AttemptFailed { request, .. }
            | Self::Completed { request, .. }
            | Self::Failed { request, .. }
            | Self::CallerGone { request } => Some(*request),
            _ => None,
        }
    }

    /// The group that the event is about, if any.
    pub const fn group(&self) -> Option<&GroupId> {
        match self {
            Self::Sent { group, .. }
            | Self::AttemptFailed { group, .. }
            | Self::GroupPlanned { group, .. }
            | Self::GroupEnded { group, .. }
            | Self::GroupComplete { group, .. }
            | Self::GroupBroken { group, .. } => Some(group),
            _ => None,
        }
    }
}

/// An event with its time and place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When, by the hybrid logical clock.
    pub stamp: Stamp,
    /// At which daemon.
    pub node: NodeId,
    /// What.
    #[serde(flatten)]
    pub what: Happening,
}

/// The last events of a process.
#[derive(Debug, Clone)]
pub struct Ring {
    records: VecDeque<Record>,
    capacity: usize,
}

impl Ring {
    /// A ring that keeps `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: VecDeque::with_capacity(capacity.min(1024)),
            capacity: capacity.max(1),
        }
    }

    /// Adds an event and drops the oldest one if the ring is full.
    pub fn push(&mut self, record: Record) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// The events from the oldest on.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }
}
