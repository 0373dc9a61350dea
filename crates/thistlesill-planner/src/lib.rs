//! The planner daemon, which watches targets, holds the leases of halls, forms groups and sends
//! orders.

pub mod daemon;
