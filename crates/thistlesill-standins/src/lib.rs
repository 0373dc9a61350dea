//! Small stand-ins of the platform and of the systems served, for tests and
//! the demo. They are not shipped.
//!
//! Each keeps count of what it really did, so that a test can hold the
//! system's answers against it.

pub mod engine;
pub mod faults;
pub mod fleet;
pub mod harness;
pub mod platform;
pub mod weights;
pub mod words;
