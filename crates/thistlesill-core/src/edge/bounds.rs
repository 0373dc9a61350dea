//! The settings of an edge daemon's process.

use std::net::{IpAddr, SocketAddr};

use crate::{HallId, Millis, NodeId};

/// Bounds that the operators set for the behaviour of all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest age of the proof that a key is still valid; `None` where a
    /// removed key may be used for longer.
    pub revoke: Option<Millis>,
    /// Time in which a new catalog must be in force.
    pub apply: Millis,
    /// Time after which a target that said that it leaves gets no new requests.
    pub drain: Millis,
    /// Time that a stopping process has before it is killed.
    pub grace: Millis,
    /// Retries of a service per request, over all daemons.
    pub retry_ratio: f64,
    /// Retries beyond the ratio, over all daemons and one window.
    pub retry_slack: f64,
}

/// The settings of one edge daemon's process.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// The daemon's name.
    pub name: NodeId,
    /// Its data centre.
    pub hall: HallId,
    /// Its own address.
    pub ip: IpAddr,
    /// Where callers connect, if the process serves any.
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether the daemon takes callers.
    pub health: Option<SocketAddr>,
    /// The first port that daemons may use among themselves.
    pub peer_port: u16,
    /// The last such port.
    pub last_port: u16,
    /// Machines on which a daemon may be found first; some may be down or replaced.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The bounds in force.
    pub bounds: Bounds,
    /// Where the store listens.
    pub store: SocketAddr,
    /// What the machine's connection bears, in Mbit a second; 0 if it is not known.
    pub link: u32,
}

impl EdgeSettings {
    /// Where the daemon's peers send datagrams.
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Where the daemons of the seeds receive datagrams, without this daemon, in the same
    /// order for all.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let others = self.seeds.iter().filter(|ip| **ip != self.ip);
        let others = others.map(|ip| SocketAddr::new(*ip, self.peer_port));
        let mut others: Vec<SocketAddr> = others.collect();
        others.sort_unstable();
        others
    }

    /// Where the daemon serves its metrics.
    pub const fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.last_port)
    }
}
