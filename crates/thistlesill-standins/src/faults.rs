//! Faults that a test can inject into the stand-ins.

use serde::{Deserialize, Serialize};
use thistlesill_core::{DomainId, InstanceId};

/// Behaviour of the table service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum TableMode {
    /// Answers as usual.
    #[default]
    Up,
    /// Answers with an error and applies nothing.
    Down,
    /// Answers after a delay.
    Slow {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// Applies transactions but answers them with an error, as if the answer was lost.
    LoseAnswers,
}

/// A fault to inject, or the end of one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Sets the behaviour of the table service.
    Table(TableMode),
    /// Kills an instance.
    Kill {
        /// The instance.
        instance: InstanceId,
    },
    /// Restarts an instance that was killed.
    Restart {
        /// The instance.
        instance: InstanceId,
    },
    /// Pauses an instance; its connections stay open.
    Pause {
        /// The instance.
        instance: InstanceId,
    },
    /// Lets a paused instance continue with its state unchanged.
    Continue {
        /// The instance.
        instance: InstanceId,
    },
    /// Slows an instance down.
    Slow {
        /// The instance.
        instance: InstanceId,
        /// Factor by which the instance is slower; 1 ends the fault.
        factor: u32,
    },
    /// Kills all instances of a fabric domain.
    Dark {
        /// The domain.
        domain: DomainId,
    },
    /// Restarts the killed instances of a fabric domain.
    Light {
        /// The domain.
        domain: DomainId,
    },
    /// Lists an instance as leaving, or no longer.
    Leave {
        /// The instance.
        instance: InstanceId,
        /// Whether the instance is leaving.
        leaving: bool,
    },
    /// Makes an instance report that it is leaving; the platform's list does not change.
    SayLeaving {
        /// The instance.
        instance: InstanceId,
    },
    /// Stops updates of the platform's list of instances, or resumes them.
    FreezeList {
        /// Whether the list is frozen.
        frozen: bool,
    },
}
