//! The state of a target as the target last published it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{GroupRef, TargetId};
use crate::{DomainId, HallId, Millis, Model, ServiceName};

/// The state of a target as a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is loading weights, or taking over weights that are loaded.
    Joining,
    /// The member is ready to serve as part of the group.
    Ready,
    /// The member is the leader, and the group accepts requests.
    Open,
    /// The member is the leader, and the group finishes its requests and accepts no more.
    Closing,
    /// The member is the leader, and the group has lost a member and serves no requests.
    Broken,
}

/// A target's place in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Group that the target belongs to.
    pub of: GroupRef,
    /// Position in the list of members; rank 0 is the leader.
    pub rank: u32,
    /// State of the target as a member.
    pub state: MemberState,
    /// Model that the group runs, if known.
    pub model: Option<Model>,
}

/// One incarnation of a target, as described by the target itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Identifies the target and its incarnation.
    pub id: TargetId,
    /// Service that the target belongs to.
    pub service: ServiceName,
    /// Address for requests and orders.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub hall: HallId,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target is about to leave and accepts no new work.
    pub leaving: bool,
    /// Remaining warm-up time at the moment of the description.
    pub warmup: Millis,
    /// Fabric domain, if the target runs models.
    pub domain: Option<DomainId>,
    /// Models whose weights are staged on the host.
    pub staged: Vec<Model>,
    /// Membership in a group, if the target has one.
    pub member: Option<Membership>,
}

impl Target {
    /// Returns whether the target leads a group that accepts requests.
    pub fn is_open_leader(&self) -> bool {
        let open = |m: &Membership| m.rank == 0 && m.state == MemberState::Open;
        self.member.as_ref().is_some_and(open)
    }

    /// Returns the model that the target's group runs.
    pub fn model(&self) -> Option<&Model> {
        self.member.as_ref()?.model.as_ref()
    }
}
