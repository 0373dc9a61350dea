//! A whole fleet of stand-ins, as its file describes it.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use thistlesill_core::report::Listed;
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{DomainId, Generation, HallId, InstanceId, RegionId, ServiceName};

use crate::engine::{Common, Counts, Engine, EngineOptions, lock};
use crate::faults::Fault;
use crate::platform::{self, PlatformState};
use crate::weights::WeightStore;

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

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// What the targets share.
    pub common: Common,
    /// The platform.
    pub platform: PlatformState,
    engines: HashMap<InstanceId, Arc<Engine>>,
    places: Vec<Listed>,
    truth: Mutex<HashMap<InstanceId, bool>>,
    frozen: Mutex<bool>,
}

impl Fleet {
    /// Makes the fleet of a file.
    pub fn new(file: &FleetFile, key: SharedKey) -> Arc<Self> {
        let common = Common {
            weights: WeightStore::new(file.engine.loads_per_second),
            options: file.engine.clone(),
            key,
            registry: Arc::new(Mutex::new(HashMap::new())),
            counts: Arc::new(Mutex::new(Counts::default())),
        };
        let places = places(file);
        let mut engines = HashMap::new();
        for place in &places {
            let engine = Engine::new(
                place.instance.clone(),
                place.address,
                place.service.clone(),
                &common,
            );
            engines.insert(place.instance.clone(), engine);
        }
        lock(&common.registry).extend(engines.clone());
        let platform = PlatformState::default();
        lock(&platform.listed).clone_from(&places);
        Arc::new(Self {
            common,
            platform,
            engines,
            places,
            truth: Mutex::new(HashMap::new()),
            frozen: Mutex::new(false),
        })
    }

    /// Starts all targets, then serves the platform, for ever.
    pub async fn serve(self: Arc<Self>, address: SocketAddr) {
        for engine in self.engines.values() {
            engine.start();
        }
        thistlesill_net::admin::serve(address, platform::router(&self)).await;
    }

    /// All instances.
    pub fn places(&self) -> &[Listed] {
        &self.places
    }

    /// Makes a failure happen, or end.
    pub fn apply(&self, fault: &Fault) {
        match fault {
            Fault::Table(mode) => *lock(&self.platform.mode) = *mode,
            Fault::Kill { instance } => self.with(instance, |e| e.kill()),
            Fault::Restart { instance } => self.with(instance, Engine::restart),
            Fault::Pause { instance } => self.with(instance, |e| e.pause(true)),
            Fault::Continue { instance } => self.with(instance, |e| e.pause(false)),
            Fault::Slow { instance, factor } => self.with(instance, |e| e.slow(*factor)),
            Fault::Dark { domain } => self.in_domain(domain, |e| e.kill()),
            Fault::Light { domain } => self.in_domain(domain, Engine::restart),
            Fault::Leave { instance, leaving } => {
                self.with(instance, |e| e.listed_leaving(*leaving));
                lock(&self.truth).insert(instance.clone(), *leaving);
                self.publish();
            }
            Fault::SayLeaving { instance } => {
                self.with(instance, |e| {
                    e.listed_leaving(true);
                    e.say_leaving();
                });
            }
            Fault::FreezeList { frozen } => {
                *lock(&self.frozen) = *frozen;
                self.publish();
            }
        }
    }

    fn with(&self, instance: &InstanceId, f: impl Fn(&Arc<Engine>)) {
        if let Some(engine) = self.engines.get(instance) {
            f(engine);
        }
    }

    fn in_domain(&self, domain: &DomainId, f: impl Fn(&Arc<Engine>)) {
        let inside = self.places.iter().filter(|p| p.domain == *domain);
        for place in inside {
            self.with(&place.instance, &f);
        }
    }

    /// Brings the list up to date, unless it is frozen.
    fn publish(&self) {
        if *lock(&self.frozen) {
            return;
        }
        let truth = lock(&self.truth).clone();
        for entry in lock(&self.platform.listed).iter_mut() {
            entry.leaving = truth.get(&entry.instance).copied().unwrap_or(false);
        }
    }
}

fn places(file: &FleetFile) -> Vec<Listed> {
    let mut places = Vec::new();
    let mut port = file.first_port;
    for hall in &file.halls {
        for domain in &hall.domains {
            for n in 0..domain.instances {
                places.push(Listed {
                    instance: InstanceId::new(format!("{}-{n:02}", domain.domain)),
                    region: file.region.clone(),
                    hall: hall.hall.clone(),
                    domain: domain.domain.clone(),
                    generation: domain.generation.clone(),
                    accelerators: domain.accelerators,
                    address: SocketAddr::new(file.targets, port),
                    leaving: false,
                    service: None,
                });
                port += 1;
            }
        }
        for service in &hall.services {
            places.push(Listed {
                instance: InstanceId::new(format!("{}-{service}", hall.hall)),
                region: file.region.clone(),
                hall: hall.hall.clone(),
                domain: DomainId::new(format!("{}-plain", hall.hall)),
                generation: Generation::from("plain"),
                accelerators: 0,
                address: SocketAddr::new(file.targets, port),
                leaving: false,
                service: Some(service.clone()),
            });
            port += 1;
        }
    }
    places
}
