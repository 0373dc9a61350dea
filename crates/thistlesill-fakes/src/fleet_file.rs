//! The file that describes a fleet of stand-ins.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use thistlesill_core::report::ListedInstance;
use thistlesill_core::{DomainId, Generation, HallId, InstanceId, RegionId, ServiceName};

/// The file that the stand-ins are started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Where the platform listens.
    pub platform: SocketAddr,
    /// The IP number on which targets listen.
    pub targets: IpAddr,
    /// The first target's port; the others follow.
    pub first_port: u16,
    /// The region.
    pub region: RegionId,
    /// The halls.
    pub halls: Vec<HallSpec>,
    /// How engines behave.
    #[serde(default)]
    pub engine: EngineOptions,
    /// File with the key that orders are proved with.
    pub key_file: PathBuf,
}

/// One hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HallSpec {
    /// Its name.
    pub hall: HallId,
    /// Its fabric domains.
    pub domains: Vec<DomainSpec>,
    /// Its plain services, one instance each.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// One fabric domain.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Its name.
    pub domain: DomainId,
    /// The generation of its instances.
    pub generation: Generation,
    /// How many instances.
    pub instances: u32,
    /// Accelerators of each.
    pub accelerators: u32,
}

/// How the engines of a fleet behave.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineOptions {
    /// Milliseconds per token of one request alone.
    pub token_ms: u64,
    /// Milliseconds to the first token.
    pub prefill_ms: u64,
    /// Requests that run at a time.
    pub slots: u32,
    /// Milliseconds to load weights.
    pub load_ms: u64,
    /// Loads that the weight store begins per second.
    pub loads_per_second: u32,
    /// By how much reports of load lag, in milliseconds.
    pub lag_ms: u64,
    /// Whether stale orders are refused.
    pub checks_orders: bool,
    /// How long a stream without a reader is kept, in milliseconds.
    pub keep_ms: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            token_ms: 10,
            prefill_ms: 30,
            slots: 8,
            load_ms: 300,
            loads_per_second: 50,
            lag_ms: 300,
            checks_orders: true,
            keep_ms: 30_000,
        }
    }
}

impl FleetFile {
    /// All instances, in the order of the file.
    pub fn instances(&self) -> Vec<ListedInstance> {
        let mut places = Vec::new();
        let mut port = self.first_port;
        for hall in &self.halls {
            for domain in &hall.domains {
                for n in 0..domain.instances {
                    places.push(ListedInstance {
                        instance: InstanceId::new(format!("{}-{n:02}", domain.domain)),
                        region: self.region.clone(),
                        hall: hall.hall.clone(),
                        domain: domain.domain.clone(),
                        generation: domain.generation.clone(),
                        accelerators: domain.accelerators,
                        address: SocketAddr::new(self.targets, port),
                        leaving: false,
                        service: None,
                    });
                    port += 1;
                }
            }
            for service in &hall.services {
                places.push(ListedInstance {
                    instance: InstanceId::new(format!("{}-{service}", hall.hall)),
                    region: self.region.clone(),
                    hall: hall.hall.clone(),
                    domain: DomainId::new(format!("{}-plain", hall.hall)),
                    generation: Generation::from("plain"),
                    accelerators: 0,
                    address: SocketAddr::new(self.targets, port),
                    leaving: false,
                    service: Some(service.clone()),
                });
                port += 1;
            }
        }
        places
    }
}
