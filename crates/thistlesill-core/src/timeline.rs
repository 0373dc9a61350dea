//! Events of the time line, and the ring buffer that keeps the latest ones of a process.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{CustomerId, ErrorKind, GroupId, HallId, InstanceId, NodeId, RequestId, Stamp};

/// An event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TimelineEvent {
    /// The daemon started.
    Started,
    /// The daemon received the instruction to stop.
    Stopping,
    /// A revision of the settings came into force at the daemon.
    SettingsInForce {
        /// Revision of the settings.
        revision: u64,
    },
    /// A request arrived.
    Arrived {
        /// Id of the request.
        request: RequestId,
        /// Customer that sent the request.
        customer: CustomerId,
    },
    /// The claim of a request's idempotency key was granted.
    Claimed {
        /// Id of the request.
        request: RequestId,
    },
    /// An attempt of a request was sent to a group.
    Sent {
        /// Id of the request.
        request: RequestId,
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The first token of an answer reached the router.
    FirstToken {
        /// Id of the request.
        request: RequestId,
    },
    /// An attempt of a request failed.
    AttemptFailed {
        /// Id of the request.
        request: RequestId,
        /// Name of the group.
        group: GroupId,
    },
    /// A request was answered completely.
    Completed {
        /// Id of the request.
        request: RequestId,
        /// Number of delivered tokens.
        tokens: u32,
    },
    /// A request ended with an error.
    Failed {
        /// Id of the request.
        request: RequestId,
        /// Kind of the error.
        kind: ErrorKind,
    },
    /// The caller disconnected before the end of the answer.
    CallerGone {
        /// Id of the request.
        request: RequestId,
    },
    /// The daemon acquired the lease of a hall.
    LeaseGained {
        /// Name of the hall.
        hall: HallId,
        /// Term of the lease.
        term: u64,
    },
    /// The daemon lost or released the lease of a hall.
    LeaseEnded {
        /// Name of the hall.
        hall: HallId,
        /// Term of the lease.
        term: u64,
    },
    /// A group was written to the plan.
    GroupPlanned {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
        /// Members in order of their ranks.
        members: Vec<InstanceId>,
    },
    /// A group was removed from the plan.
    GroupEnded {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
        /// Reason for the removal.
        why: EndReason,
    },
    /// The daemon observed that all members of a group are ready.
    GroupComplete {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
    },
    /// The daemon observed that a group no longer has all its members.
    GroupBroken {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group.
        epoch: u64,
    },
    /// An order was given to a target.
    Ordered {
        /// Instance that runs the target.
        instance: InstanceId,
        /// Term of the lease.
        term: u64,
        /// Epoch of the order.
        epoch: u64,
    },
}

/// The reason for which a group was removed from the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// A member was lost.
    MemberLost,
    /// A member returned with another incarnation or without the group.
    MemberChanged,
    /// A member is leaving.
    MemberLeaving,
    /// The settings require something else.
    SettingsChanged,
    /// The members are more useful in other groups.
    Rebalanced,
}

impl TimelineEvent {
    /// Returns the request that the event is about, if any.
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

    /// Returns the group that the event is about, if any.
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

/// An event with its time and the daemon that recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the event by the hybrid logical clock.
    pub stamp: Stamp,
    /// Daemon that recorded the event.
    pub node: NodeId,
    /// Event itself.
    #[serde(flatten)]
    pub what: TimelineEvent,
}

/// A ring buffer of the latest events of a process.
#[derive(Debug, Clone)]
pub struct Ring {
    records: VecDeque<Record>,
    capacity: usize,
}

impl Ring {
    /// Creates a ring buffer for `capacity` events, but at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            records: VecDeque::with_capacity(capacity.min(1024)),
            capacity: capacity.max(1),
        }
    }

    /// Adds an event, dropping the oldest one if the buffer is full.
    pub fn push(&mut self, record: Record) {
        if self.records.len() == self.capacity {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the events in order, from the oldest.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.iter()
    }
}
