//! Tests of complete deployments as separate processes on loopback, with processes and instances
//! killed or paused, and an unavailable table.
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
