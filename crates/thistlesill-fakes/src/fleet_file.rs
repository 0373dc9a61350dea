//! The file that describes a fleet of stand-ins.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use serde::{Deserialize, Serialize};
use thistlesill_core::report::ListedInstance;
use thistlesill_core::{DomainId, Generation, HallId, InstanceId, RegionId, ServiceName};

/// The contents of the file that the stand-ins are started with.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// Address on which the platform listens.
    pub platform: SocketAddr,
    /// IP address on which the targets listen.
    pub targets: IpAddr,
    /// Port of the first target; each further target has the next port.
    pub first_port: u16,
    /// Region of all instances.
    pub region: RegionId,
    /// Halls of the fleet.
    pub halls: Vec<HallSpec>,
    /// Behaviour of all engines of the fleet.
    #[serde(default)]
    pub engine: EngineOptions,
    /// File with the key that authenticates orders.
    pub key_file: PathBuf,
}

/// One hall of a fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HallSpec {
    /// Name of the hall.
    pub hall: HallId,
    /// Fabric domains of the hall.
    pub domains: Vec<DomainSpec>,
    /// Plain services of the hall, one instance each.
    #[serde(default)]
    pub services: Vec<ServiceName>,
}

/// One fabric domain of a hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSpec {
    /// Name of the domain.
    pub domain: DomainId,
    /// Hardware generation of the instances.
    pub generation: Generation,
    /// Number of instances.
    pub instances: u32,
    /// Accelerators per instance.
    pub accelerators: u32,
}

/// The behaviour of a fleet's engines.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineOptions {
    /// Time per token of a request that runs alone, in milliseconds.
    pub token_ms: u64,
    /// Time to the first token, in milliseconds.
    pub prefill_ms: u64,
    /// Requests that an engine runs at the same time.
    pub slots: u32,
    /// Time to load weights, in milliseconds.
    pub load_ms: u64,
    /// Loads that the weight store starts per second.
    pub loads_per_second: u32,
    /// Age of the load figures in reports, in milliseconds.
    pub lag_ms: u64,
    /// Whether targets refuse stale orders.
    pub checks_orders: bool,
    /// Time for which a stream without a reader is kept, in milliseconds.
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
    /// Returns all instances in the order of the file.
    pub fn instances(&self) -> Vec<ListedInstance> {
        let mut instances = Vec::new();
        let mut port = self.first_port;
        for hall in &self.halls {
            for domain in &hall.domains {
                for n in 0..domain.instances {
                    instances.push(ListedInstance {
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
                instances.push(ListedInstance {
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
        instances
    }
}
