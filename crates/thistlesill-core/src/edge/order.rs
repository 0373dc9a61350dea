//! Orders to model engines.

use serde::{Deserialize, Serialize};

use super::TargetId;
use crate::{GroupId, Model};

/// One forming of a group: its name and epoch.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupRef {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: u64,
}

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a group.
    Join {
        /// The group.
        to: GroupRef,
        /// What it runs.
        model: Model,
        /// All members; the first leads.
        members: Vec<TargetId>,
        /// Orders that the target took before in its present life. One that took another
        /// number of them refuses the join.
        orders_taken: u64,
    },
    /// As leader: take requests.
    Open(GroupRef),
    /// As leader: break off what runs and take no more requests.
    Cut(GroupRef),
    /// As leader: take no more requests, and end those that run.
    Close(GroupRef),
    /// Be a member no longer, so that no late order can open the group again.
    Leave(GroupRef),
    /// Load a model's weights to the host.
    Stage(Model),
}

impl Order {
    /// The order's name in logs and metrics.
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

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is begun.
    Begun,
    /// What it asks for holds, and nothing is under way.
    Held,
    /// It does not fit the engine's state, or the engine took other orders than it names.
    Unfit,
    /// The engine has seen a higher epoch.
    Outdated,
    /// Another engine lives at the address.
    Elsewhere,
    /// The engine refused it with this status.
    Denied(u16),
    /// Nothing listens at the address: the engine's process is gone, or it is
    /// about to end and still works off what it has.
    Refused,
    /// No answer: it may be carried out at any time.
    Unknown,
}
