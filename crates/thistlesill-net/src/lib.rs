//! Network input and output of the daemons: clients of the platform, of targets and of peers,
//! and the operators' interface that all daemons serve.

pub mod admin;
pub mod base;
pub mod clock;
pub mod engine;
pub mod files;
pub mod http;
pub mod journal;
pub mod lane;
pub mod launch;
pub mod listen;
pub mod memory;
pub mod peer;
pub mod platform;
pub mod stream;
pub mod sync;
