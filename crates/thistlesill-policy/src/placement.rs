//! Which instances form which groups.
//!
//! Placement looks at one hall at a time, and within it at each pool: the
//! instances of one generation in one fabric domain. What serves stays where
//! it is; lost groups are repaired before anything is improved.

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

/// Names the instances that can form groups together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PoolKey {
    /// The fabric domain.
    pub domain: DomainId,
    /// The hardware generation.
    pub generation: Generation,
}

/// What the settings want of a pool.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    /// What groups run.
    pub load: Load,
    /// Shapes for the pool's generation, best first.
    pub shapes: Vec<Shape>,
    /// Weight of downtime against stranded accelerators, 0 to 1.
    pub downtime_weight: f64,
    /// Instances to keep ready.
    pub spares: u32,
}

/// A free instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Free {
    /// The instance.
    pub instance: InstanceId,
    /// Whether it held what the pool wants when it last reported, so that
    /// its weights may still be in memory.
    pub warm: bool,
}

/// A group that exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Existing {
    /// The group.
    pub group: GroupId,
    /// How many members it has.
    pub size: u32,
    /// Whether it serves what the pool wants and could be broken up for a
    /// better packing.
    pub settled: bool,
}

/// A pool as it stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Its name.
    pub key: PoolKey,
    /// What is wanted of it.
    pub want: Want,
    /// Its free instances.
    pub free: Vec<Free>,
    /// Its groups.
    pub groups: Vec<Existing>,
    /// Usable instances that come free soon: members of groups that end.
    pub ending: u32,
    /// Instances of the pool that are listed and cannot be used now. The
    /// spares stand in for them.
    pub missing: u32,
    /// Since when the pool's free instances and groups have been the same.
    pub steady: Millis,
}

/// A group to form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forming {
    /// Where.
    pub pool: PoolKey,
    /// Members in order of rank.
    pub members: Vec<InstanceId>,
    /// What it runs.
    pub load: Load,
    /// How many of the members must load weights.
    pub cold: u32,
}

/// What placement decides.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Groups to form, the one that ends most downtime first.
    pub form: Vec<Forming>,
    /// Serving groups to drain so that their members serve better elsewhere.
    pub drain: Vec<GroupId>,
}
