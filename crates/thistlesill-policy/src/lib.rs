//! The decisions of thistlesill: placement, leases, presence, routing,
//! admission, retries, claims and drain.
//!
//! Every decision is a step from a state, an event and the time to a new
//! state and what to do next. Nothing here reads a clock, opens a socket or
//! draws from a random source that was not seeded by the caller, so golden
//! files and recorded traces drive the very code that ships.

pub mod budget;
pub mod charts;
pub mod claim;
pub mod drain;
pub mod edge;
pub mod lease;
pub mod limit;
pub mod pick;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod prefix;
pub mod presence;
pub mod quarantine;
pub mod router;
pub mod serving;
pub mod share;
