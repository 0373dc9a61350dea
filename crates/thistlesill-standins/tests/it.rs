//! Whole fleets as separate processes on loopback, under kill, pause and cut.
//!
//! The workspace's binaries must be built first, as `scripts/test` does.

#[path = "it/client.rs"]
mod client;
#[path = "it/intruders.rs"]
mod intruders;
#[path = "it/outages.rs"]
mod outages;
#[path = "it/path.rs"]
mod path;
#[path = "it/stops.rs"]
mod stops;
#[path = "it/support.rs"]
mod support;
