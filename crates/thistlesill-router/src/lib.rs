//! The router daemon: answers callers by way of the groups that may serve.
//!
//! Callers' handlers hand a typed event to the one loop, which steps the
//! pure [`RouterCore`](thistlesill_policy::router::RouterCore) and carries
//! out what it returns.

pub mod callers;
pub mod daemon;
pub mod openai;
mod pending;
mod reply;
mod send;
