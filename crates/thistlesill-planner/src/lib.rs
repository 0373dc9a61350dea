//! The planner daemon: watches targets, holds halls' leases, forms groups
//! and gives orders.

pub mod daemon;
