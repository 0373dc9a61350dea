//! The targets and peers that the attempts of a request go to.

use std::fmt;

use thistlesill_core::NodeId;
use thistlesill_core::edge::{Target, TargetId};

use crate::attempt::Origin;

/// Where a request was sent to, or should have been.
#[derive(Debug, Default)]
pub(crate) struct Tried {
    pub(crate) targets: Vec<TargetId>,
    pub(crate) peers: Vec<NodeId>,
}

impl Tried {
    /// Returns the target or peer that an answer comes from.
    pub(crate) fn by(origin: &Origin) -> Self {
        let mut tried = Self::default();
        match origin {
            Origin::Target { target, .. } => tried.targets.push(target.id.clone()),
            Origin::Peer(peer) => tried.peers.push(peer.clone()),
        }
        tried
    }
}

/// The target or peer of one attempt.
pub(crate) enum Destination {
    Target(Box<Target>),
    Peer(NodeId),
}

impl fmt::Display for Destination {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(target) => target.id.fmt(f),
            Self::Peer(peer) => peer.fmt(f),
        }
    }
}
