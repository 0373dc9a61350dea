//! Decision logic of thistlesill: placement, leases, presence, routing, admission, retries, claims
//! and drain.
//!
//! Every decision is a step from a state, an event and the current time to a new state and a list
//! of actions. Nothing here reads a clock, opens a socket or uses a random source that the caller
//! did not seed, so golden files and recorded traces run the same code as production.

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
