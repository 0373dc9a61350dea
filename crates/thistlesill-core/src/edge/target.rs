//! A target as it last described itself.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{GroupRef, TargetId};
use crate::{DomainId, HallId, Millis, Model, ServiceName};

/// How far a member of a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// It is loading or taking over weights.
    Joining,
    /// It is ready to serve as part of the group.
    Ready,
    /// It leads the group, which takes requests.
    Open,
    /// It leads the group, which ends its requests and takes no more.
    Closing,
    /// It leads the group, which lost a member and serves nothing.
    Broken,
}

/// A target's place in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub of: GroupRef,
    /// Position in the list of members; 0 leads.
    pub rank: u32,
    /// How far it is.
    pub state: MemberState,
    /// What the group runs.
    pub model: Option<Model>,
}

/// One life of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Which target it is, and which of its lives.
    pub id: TargetId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub hall: HallId,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// How much longer it warmed up when it described itself.
    pub warmup: Millis,
    /// Its fabric domain, if it runs models.
    pub domain: Option<DomainId>,
    /// Models whose weights lie on its host.
    pub staged: Vec<Model>,
    /// Its group, if it has one.
    pub member: Option<Membership>,
}

impl Target {
    /// Whether the target leads a group that takes requests.
    pub fn leads_open(&self) -> bool {
        let open = |m: &Membership| m.rank == 0 && m.state == MemberState::Open;
        self.member.as_ref().is_some_and(open)
    }

    /// The model that its group runs.
    pub fn model(&self) -> Option<&Model> {
        self.member.as_ref()?.model.as_ref()
    }
}
