//! Configuration file of a daemon: addresses, peers, limits and periods.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::{HallId, NodeId, RegionId};

/// The configuration that a daemon reads at its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonConfig {
    /// Name of this daemon, unique in the fleet.
    pub name: NodeId,
    /// Region that the daemon runs in.
    pub region: RegionId,
    /// Hall that the daemon runs in.
    pub hall: HallId,
    /// Address that serves callers; only routers have one.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Address that serves the admin interface, health checks and metrics.
    pub admin: SocketAddr,
    /// Address that serves other daemons, over both UDP and TCP.
    pub peer: SocketAddr,
    /// The other daemons of the fleet.
    pub peers: Vec<PeerConfig>,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// File with the key shared by the daemons of the fleet.
    pub key_file: PathBuf,
    /// File with the token that operators authenticate with.
    pub token_file: PathBuf,
    /// Limits on incoming connections and requests.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts of the daemon's periodic work.
    #[serde(default)]
    pub periods: Periods,
}

/// Another daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Name of the daemon.
    pub name: NodeId,
    /// Hall that the daemon runs in.
    pub hall: HallId,
    /// Address where the daemon serves its peers.
    pub peer: SocketAddr,
    /// Role of the daemon.
    pub role: Role,
}

/// The role of a daemon in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts callers' requests and sends them to groups.
    Router,
    /// Probes targets and forms groups.
    Planner,
}

/// Limits on incoming connections and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Memory that the bodies of all requests may take together, in bytes; at least that of four bodies of
    /// the largest size.
    pub held_bytes: usize,
    /// Largest header section of a request, in bytes.
    pub head_bytes: usize,
    /// Largest number of open connections from callers.
    pub connections: usize,
    /// Time from the start of a connection to the end of the header section, in milliseconds.
    pub head_ms: u64,
    /// Time until the end of the body, in milliseconds.
    pub body_ms: u64,
    /// Largest number of waiting requests, over all customers.
    pub waiting: usize,
    /// Number of events that the time line keeps.
    pub events: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            held_bytes: 32 << 20,
            head_bytes: 16 << 10,
            connections: 4_096,
            head_ms: 5_000,
            body_ms: 10_000,
            waiting: 512,
            events: 20_000,
        }
    }
}

/// Intervals and timeouts of a daemon's periodic work, all in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Periods {
    /// Interval between two probes of a target.
    pub probe_ms: u64,
    /// Interval between two heartbeats of a watcher.
    pub beat_ms: u64,
    /// Interval between two reads of the head row of the settings.
    pub head_ms: u64,
    /// Interval between two reads of the platform's list of instances.
    pub list_ms: u64,
    /// Interval between two renewals of a lease.
    pub renew_ms: u64,
    /// Time after which a lease that is not renewed expires.
    pub lease_ms: u64,
    /// Interval between two planning steps.
    pub plan_ms: u64,
    /// Time for which a stopping router still accepts requests: the platform's load balancer
    /// takes this long to notice that the health check fails.
    pub balancer_ms: u64,
    /// Longest time that a stopping router waits for active streams after `balancer_ms`.
    pub stop_ms: u64,
}

impl Default for Periods {
    fn default() -> Self {
        Self {
            probe_ms: 1_000,
            beat_ms: 500,
            head_ms: 1_000,
            list_ms: 1_000,
            renew_ms: 2_000,
            lease_ms: 8_000,
            plan_ms: 500,
            balancer_ms: 3_000,
            stop_ms: 120_000,
        }
    }
}

/// Checks constraints between the values of a configuration that its types do not express.
///
/// # Errors
///
/// Returns a sentence that names the wrong value and what is required.
pub fn check(config: &DaemonConfig, role: Role) -> Result<(), String> {
    let periods = &config.periods;
    if role == Role::Router && config.callers.is_none() {
        return Err("`callers` is missing: a router needs an address for callers".to_owned());
    }
    if config.peers.iter().any(|p| p.name == config.name) {
        return Err(format!(
            "`peers` lists `{}`, which is this daemon itself",
            config.name
        ));
    }
    if periods.lease_ms < 3 * periods.renew_ms {
        return Err(format!(
            "`lease_ms` is {}; it must be at least three times `renew_ms`, {}",
            periods.lease_ms, periods.renew_ms
        ));
    }
    if periods.probe_ms == 0 || periods.beat_ms == 0 || periods.plan_ms == 0 {
        return Err("`probe_ms`, `beat_ms` and `plan_ms` must be above 0".to_owned());
    }
    Ok(())
}
