//! The processes' edges: clients of the platform, of targets and of peers,
//! and what all daemons serve to operators.

pub mod admin;
pub mod base;
pub mod clock;
pub mod engine;
pub mod files;
pub mod http;
pub mod journal;
pub mod lane;
pub mod launch;
pub mod peer;
pub mod platform;
pub mod sync;
