//! Which life of a target something belongs to.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::InstanceId;

/// One start of a target.
///
/// It is the moment of the start on the target's own clock, in Unix milliseconds, or
/// zero where targets do not tell it. Clocks jump, so a later start may bear a smaller
/// number: two incarnations are the same or differ, and neither is the newer one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// An incarnation that began at a moment, in Unix milliseconds.
    pub const fn new(born: u64) -> Self {
        Self(born)
    }

    /// The moment of the start, in Unix milliseconds; zero if it is not known.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of a target: the instance that runs it, and which of its starts.
///
/// A target that starts again is listed under the same instance and holds nothing of
/// what it held before. All that is remembered of a target is kept under this id, so
/// nothing of an earlier life is taken for the present one's.
#[derive(Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TargetId {
    instance: InstanceId,
    incarnation: Incarnation,
}

impl TargetId {
    /// A life of the target that an instance runs.
    pub const fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance,
            incarnation,
        }
    }

    /// The instance; the same in all lives.
    pub const fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Which life it is.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The text of the instance's id.
    pub fn as_str(&self) -> &str {
        self.instance.as_str()
    }

    /// Whether both are lives of the same instance, and not the same one.
    #[must_use]
    pub fn is_other_life_of(&self, other: &Self) -> bool {
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
            born => write!(f, "{}#{born}", self.instance),
        }
    }
}
