//! Router daemon: answers callers through the groups that serve.
//!
//! Handlers of callers' connections send typed events to a single loop, which steps the pure
//! [`RouterCore`](thistlesill_policy::router::RouterCore) and carries out the actions that it
//! returns.

pub mod callers;
pub mod daemon;
pub mod openai;
mod pending;
mod reply;
mod send;
