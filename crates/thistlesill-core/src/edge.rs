//! What the edge daemon knows of the fleet, in the project's own words.
//!
//! The edge daemon proxies plain HTTP routes to targets. An adapter decodes
//! the platform's documents into these types once; nothing behind it knows
//! how the platform spells them.

mod bounds;
mod catalog;
mod evacuation;
mod incarnation;
mod limit;
mod order;
mod target;

pub use bounds::{Bounds, EdgeSettings};
pub use catalog::{
    Catalog, Engine, KeyHolder, Limits, ModelPlan, Route, RouteKind, Service, TargetShare, Warmup,
};
pub use evacuation::Evacuations;
pub use incarnation::{Incarnation, TargetId};
pub use limit::{NoLimit, RateLimit};
pub use order::{GroupRef, Order, OrderReply};
pub use target::{MemberState, Membership, Target};
