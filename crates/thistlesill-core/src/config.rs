//! The daemons' own settings: addresses, peers and limits.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use crate::{HallId, NodeId, RegionId};

/// The file that a daemon is started with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonConfig {
    /// This daemon's name, unique in the fleet.
    pub name: NodeId,
    /// The region that it runs in.
    pub region: RegionId,
    /// The hall that it runs in.
    pub hall: HallId,
    /// Where callers are answered; routers only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Where operators, probes and metrics are answered.
    pub admin: SocketAddr,
    /// Where peers are answered, over both UDP and TCP.
    pub peer: SocketAddr,
    /// The other daemons of the fleet.
    pub peers: Vec<PeerConfig>,
    /// Where the platform's service is.
    pub platform: SocketAddr,
    /// File with the key that the fleet's daemons share.
    pub key_file: PathBuf,
    /// File with the operators' token.
    pub token_file: PathBuf,
    /// Limits on what comes in.
    #[serde(default)]
    pub limits: Limits,
    /// Periods of the daemon's own work.
    #[serde(default)]
    pub periods: Periods,
}

/// Another daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerConfig {
    /// Its name.
    pub name: NodeId,
    /// Its hall.
    pub hall: HallId,
    /// Its address for peers.
    pub peer: SocketAddr,
    /// What it does.
    pub role: Role,
}

/// What a daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Answers callers.
    Router,
    /// Watches targets and forms groups.
    Planner,
}

/// Limits on what comes in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a request's header section.
    pub head_bytes: usize,
    /// Connections of callers at a time.
    pub connections: usize,
    /// Milliseconds from the connection to the end of the header section.
    pub head_ms: u64,
    /// Milliseconds to the end of the body.
    pub body_ms: u64,
    /// Requests waiting at a time, over all customers.
    pub waiting: usize,
    /// Events that the time line keeps.
    pub events: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            head_bytes: 16 << 10,
            connections: 4_096,
            head_ms: 5_000,
            body_ms: 10_000,
            waiting: 512,
            events: 20_000,
        }
    }
}

/// Periods of a daemon's own work, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Periods {
    /// Between probes of a target.
    pub probe_ms: u64,
    /// Between a watcher's beats.
    pub beat_ms: u64,
    /// Between reads of the settings' head.
    pub head_ms: u64,
    /// Between reads of the live list.
    pub list_ms: u64,
    /// Between renewals of a lease.
    pub renew_ms: u64,
    /// How long a lease lasts without renewal.
    pub lease_ms: u64,
    /// Between looks at the plan.
    pub plan_ms: u64,
    /// For which a stopping router goes on accepting, until the platform's
    /// balancer has seen its health check fail.
    pub balancer_ms: u64,
    /// At most, for streams under way when a router stops.
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

/// What is wrong in a daemon's settings beyond their shape.
///
/// # Errors
///
/// A sentence that names the value and what would be right.
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
