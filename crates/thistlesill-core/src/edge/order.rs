//! Orders to model engines, and their replies.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::{GroupId, Model};

/// Identifies one formation of a group by its name and epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupRef {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch of this formation.
    pub epoch: u64,
}

/// An instruction to a model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a group.
    Join {
        /// Group to join.
        to: GroupRef,
        /// Model that the group runs.
        model: Model,
        /// All members of the group; the first one is the leader.
        members: Vec<TargetId>,
        /// Number of orders that the target has taken in its current incarnation. A target that
        /// has taken a different number refuses the join.
        orders_taken: u64,
    },
    /// As leader: start to accept requests.
    Open(GroupRef),
    /// As leader: abort the running requests and accept no more.
    Cut(GroupRef),
    /// As leader: accept no more requests, and finish the running ones.
    Close(GroupRef),
    /// Leave the group, so that no delayed order can open the group again.
    Leave(GroupRef),
    /// Load a model's weights onto the host.
    Stage(Model),
}

impl Order {
    /// Returns the name of the order in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open(_) => "open",
            Self::Cut(_) => "cut",
            Self::Close(_) => "close",
            Self::Leave(_) => "leave",
            Self::Stage(_) => "stage",
        }
    }
}

/// The result of sending an order to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine has started to carry out the order.
    Begun,
    /// The engine already is in the requested state, with no change in progress.
    Held,
    /// The order conflicts with the engine's state, or the engine has taken a different number of
    /// orders than the order states.
    Unfit,
    /// The engine has seen a higher epoch.
    Outdated,
    /// A different engine answers at the address.
    Elsewhere,
    /// The engine refused the order with this HTTP status.
    Denied(u16),
    /// Nothing listens at the address: the engine's process has ended, or is about to end and
    /// only finishes its current work.
    Refused,
    /// No reply came: the engine may still carry out the order at any time.
    Unknown,
}
