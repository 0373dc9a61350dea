//! Failures that a test can order of the stand-ins.

use serde::{Deserialize, Serialize};
use thistlesill_core::{DomainId, InstanceId};

/// How the table service behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum TableMode {
    /// As it should.
    #[default]
    Up,
    /// Answers with an error and does nothing.
    Down,
    /// Answers late.
    Slow {
        /// How late.
        ms: u64,
    },
    /// Does what it is asked and loses the answer.
    LoseAnswers,
}

/// A failure, or its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Sets how the table behaves.
    Table(TableMode),
    /// An instance dies.
    Kill {
        /// The instance.
        instance: InstanceId,
    },
    /// A dead instance starts anew.
    Restart {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance stops doing anything.
    Pause {
        /// The instance.
        instance: InstanceId,
    },
    /// A paused instance goes on as if nothing had happened.
    Continue {
        /// The instance.
        instance: InstanceId,
    },
    /// An instance turns slow.
    Slow {
        /// The instance.
        instance: InstanceId,
        /// How many times slower; 1 ends it.
        factor: u32,
    },
    /// A whole fabric domain goes dark.
    Dark {
        /// The domain.
        domain: DomainId,
    },
    /// A dark domain comes back, its instances started anew.
    Light {
        /// The domain.
        domain: DomainId,
    },
    /// An instance is listed as leaving, or no more.
    Leave {
        /// The instance.
        instance: InstanceId,
        /// Whether it leaves.
        leaving: bool,
    },
    /// An instance says itself that it is leaving.
    SayLeaving {
        /// The instance.
        instance: InstanceId,
    },
    /// The list stops following, or follows again.
    FreezeList {
        /// Whether it is frozen.
        frozen: bool,
    },
}
