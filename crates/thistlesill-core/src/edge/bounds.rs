//! Process settings of an edge daemon.

use std::net::{IpAddr, SocketAddr};

use super::OverloadLimits;
use crate::{HallId, Millis, NodeId};

/// Time and retry bounds that the operators set for all edge daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Longest time since the daemon last confirmed that its catalog is the newest, for requests
    /// with keys to be accepted; `None` if a removed key may be used for longer.
    pub revoke: Option<Millis>,
    /// Time within which a new catalog must be in force.
    pub apply: Millis,
    /// Time after which a target that announced its departure must get no new requests.
    pub drain: Millis,
    /// Time between the signal to stop and the kill of the process.
    pub grace: Millis,
    /// Largest number of retries per request to a service, summed over all daemons.
    pub retry_ratio: f64,
    /// Retries of a service allowed beyond the ratio within one window, summed over all daemons.
    pub retry_slack: f64,
}

/// The settings of one edge daemon's process.
#[derive(Debug, Clone, PartialEq)]
pub struct EdgeSettings {
    /// Name of the daemon.
    pub name: NodeId,
    /// Data centre of the daemon.
    pub hall: HallId,
    /// IP address of the daemon.
    pub ip: IpAddr,
    /// Address that callers connect to; `None` if the process serves no callers.
    pub callers: Option<SocketAddr>,
    /// Address where the load balancer checks whether the daemon is ready for callers.
    pub health: Option<SocketAddr>,
    /// First port of the range for traffic between daemons; receives their datagrams.
    pub peer_port: u16,
    /// Last port of that range; serves the daemon's metrics.
    pub last_port: u16,
    /// Machines to contact first to find other daemons; some may be down or replaced.
    pub seeds: Vec<IpAddr>,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// Time and retry bounds in force.
    pub bounds: Bounds,
    /// Address of the store.
    pub store: SocketAddr,
    /// Bandwidth of the machine's network connection in Mbit/s; 0 if unknown.
    pub link: u32,
    /// Number of files and connections that the process may open, if it is limited.
    pub files: Option<usize>,
    /// Memory that the process may use in bytes, if it is limited.
    pub memory: Option<usize>,
    /// Limits of admission under overload.
    pub overload: OverloadLimits,
}

impl EdgeSettings {
    /// Returns the address where this daemon receives datagrams from its peers.
    pub const fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }

    /// Returns the addresses where the seeds other than this daemon receive datagrams.
    ///
    /// They are sorted, so that all daemons use the same order.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let others = self.seeds.iter().filter(|ip| **ip != self.ip);
        let others = others.map(|ip| SocketAddr::new(*ip, self.peer_port));
        let mut others: Vec<SocketAddr> = others.collect();
        others.sort_unstable();
        others
    }

    /// Returns the address where this daemon takes the requests that its peers pass on.
    pub const fn forward_address(&self) -> SocketAddr {
        Self::forward_address_of(self.peer_address())
    }

    /// Returns the address where the daemon that receives datagrams at `peer` takes the requests
    /// that its peers pass on: the third port of the range, since the second one is for a planner
    /// that runs as a process of its own.
    pub const fn forward_address_of(peer: SocketAddr) -> SocketAddr {
        SocketAddr::new(peer.ip(), peer.port() + 2)
    }

    /// Returns the address where this daemon serves its metrics.
    pub const fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.last_port)
    }
}
