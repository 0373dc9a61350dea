//! Runs the shipped decisions over recorded inputs in virtual time.
//!
//! A [`Stage`](stage::Stage) seats planners' and routers' cores around the
//! fakes of a table and of targets, and carries their actions out at once. It
//! is no model of a cluster: time comes in steps, messages take none, and all
//! that happens is in the trace.

pub mod compare;
pub mod measure;
pub mod player;
pub mod slopes;
pub mod stage;
pub mod trace;
