//! A whole fleet of stand-ins, as its file describes it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use thistlesill_core::report::ListedInstance;
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{DomainId, InstanceId};
use thistlesill_fakes::FleetFile;

use crate::engine::{Common, Counts, Engine, lock};
use crate::faults::Fault;
use crate::platform::{self, PlatformState};
use crate::weights::WeightStore;

/// A running fleet.
#[derive(Debug)]
pub struct Fleet {
    /// What the targets share.
    pub common: Common,
    /// The platform.
    pub platform: PlatformState,
    engines: HashMap<InstanceId, Arc<Engine>>,
    places: Vec<ListedInstance>,
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
        let places = file.instances();
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
    pub fn places(&self) -> &[ListedInstance] {
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
