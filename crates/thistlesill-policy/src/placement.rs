//! Placement: which instances form which groups.
//!
//! Each pool of a hall is placed on its own; a pool is the instances of one generation in one
//! fabric domain. Serving groups stay where they are, and lost groups are repaired before any
//! packing is improved.

mod baseline;
mod pack;
mod place;

use serde::{Deserialize, Serialize};
use thistlesill_core::report::Load;
use thistlesill_core::settings::Shape;
use thistlesill_core::{DomainId, Generation, GroupId, InstanceId, Millis};

pub use baseline::{first_fit, rebuild};
pub use pack::{best_use, pack};
pub use place::place;

/// Identifies a pool: the instances that can form groups with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolKey {
    /// The fabric domain.
    pub domain: DomainId,
    /// The hardware generation.
    pub generation: Generation,
}

/// What the settings ask of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// What the groups run.
    pub load: Load,
    /// The shapes for the pool's generation, best first.
    pub shapes: Vec<Shape>,
    /// The weight of downtime against stranded accelerators, from 0 to 1.
    pub downtime_weight: f64,
    /// The number of free instances to keep in reserve.
    pub spares: u32,
}

/// A free instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FreeInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Whether the instance held the pool's load when it last reported, so that the weights may
    /// still be in its memory.
    pub warm: bool,
}

/// A group that exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExistingGroup {
    /// The group.
    pub group: GroupId,
    /// The number of members.
    pub size: u32,
    /// Whether the group serves what the pool wants and could be broken up for a better packing.
    pub settled: bool,
}

/// The contents of a pool and what is asked of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Identifies the pool.
    pub key: PoolKey,
    /// What the settings ask of the pool.
    pub want: Want,
    /// The free instances.
    pub free: Vec<FreeInstance>,
    /// The existing groups.
    pub groups: Vec<ExistingGroup>,
    /// The number of usable instances that will come free soon, because their groups end.
    pub ending: u32,
    /// The number of listed instances that cannot be used now. Spares replace them.
    pub missing: u32,
    /// Since when the pool's free instances and groups have been the same.
    pub steady: Millis,
}

/// A group to form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewGroup {
    /// The pool of the members.
    pub pool: PoolKey,
    /// The members in order of rank.
    pub members: Vec<InstanceId>,
    /// What the group runs.
    pub load: Load,
    /// The number of members that have to load weights.
    pub cold: u32,
}

/// The groups to form and to drain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The groups to form; [`place()`] puts those with the most instances per weight load first.
    pub form: Vec<NewGroup>,
    /// Serving groups to drain so that their members can be packed better.
    pub drain: Vec<GroupId>,
}
