//! Small stand-ins of the platform and of the model engines, for tests, the demo and the benchmark.
//! They are not shipped.
//!
//! Each stand-in counts what it did, so that a test can compare these counts with the answers of
//! the daemons.

pub mod engine;
pub mod faults;
pub mod fleet;
pub mod harness;
pub mod platform;
pub mod weights;
pub mod words;
