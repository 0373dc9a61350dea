//! Replays recorded inputs against the production cores in virtual time.
//!
//! A [`Simulation`](stage::Simulation) connects the cores of planners and routers to fakes of the
//! table and of targets, and carries out the cores' actions at once. It is not a model of a
//! cluster: time advances in fixed steps, messages have no latency, and a trace lists every
//! failure and change.

pub mod compare;
pub mod measure;
pub mod player;
pub mod slopes;
pub mod stage;
pub mod trace;
