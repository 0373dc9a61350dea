//! The edge daemon's model of the fleet: catalog, targets, orders and limits.
//!
//! The edge daemon proxies HTTP routes to targets. An adapter decodes the platform's documents
//! into these types, so that no other code depends on the platform's formats.

mod bounds;
mod catalog;
mod evacuation;
mod incarnation;
mod limit;
mod order;
mod overload;
mod target;

pub use bounds::{Bounds, EdgeSettings};
pub use catalog::{
    Catalog, Engine, KeyHolder, Limits, ModelPlan, Route, RouteKind, Service, ServiceShare, Warmup,
};
pub use evacuation::Evacuations;
pub use incarnation::{Incarnation, TargetId};
pub use limit::{InvalidRateLimit, RateLimit};
pub use order::{GroupRef, Order, OrderReply};
pub use overload::{OutOfBounds, OverloadLimits};
pub use target::{MemberState, Membership, Target};
