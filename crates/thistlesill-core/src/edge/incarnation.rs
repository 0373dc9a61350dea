//! Identifiers that tell the successive starts of a target apart.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// Identifies one start of a target.
///
/// The value is the start time by the target's own clock in Unix milliseconds, or zero if
/// targets do not report one. Clocks jump, so a later start may have a smaller number: two
/// incarnations can only be compared for equality, never for which one is newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates the incarnation for a start time in Unix milliseconds.
    pub const fn new(started_ms: u64) -> Self {
        Self(started_ms)
    }

    /// Returns the start time in Unix milliseconds; zero if unknown.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one incarnation of a target: the instance that runs the target, and its start.
///
/// A restarted target is listed under the same instance but has lost all its earlier state.
/// State about targets is keyed by this id, so that state of an earlier incarnation is never
/// applied to the current one.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl TargetId {
    /// Creates the id of one incarnation of the target on an instance.
    pub const fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
        }
    }

    /// Returns the instance, which is the same for all incarnations.
    pub const fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the incarnation.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the text of the instance's id, without the incarnation.
    pub fn as_str(&self) -> &str {
        self.instance.as_str()
    }

    /// Returns whether both ids name the same instance but different incarnations.
    #[must_use]
    pub fn is_other_incarnation_of(&self, other: &Self) -> bool {
        self.instance == other.instance && self.incarnation != other.incarnation
    }
}

impl From<InstanceId> for TargetId {
    fn from(instance: InstanceId) -> Self {
        Self::new(instance, Incarnation::default())
    }
}

impl From<&str> for TargetId {
    fn from(text: &str) -> Self {
        InstanceId::from(text).into()
    }
}

impl From<String> for TargetId {
    fn from(text: String) -> Self {
        InstanceId::from(text).into()
    }
}

impl fmt::Display for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.instance.fmt(f)
    }
}

impl fmt::Debug for TargetId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.incarnation.get() {
            0 => self.instance.fmt(f),
            started_ms => write!(f, "{}#{started_ms}", self.instance),
        }
    }
}
