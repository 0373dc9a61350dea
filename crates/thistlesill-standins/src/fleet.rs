//! A fleet of stand-ins, as described by its fleet file.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use thistlesill_core::report::ListedInstance;
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{DomainId, InstanceId};
use thistlesill_fakes::FleetFile;

use crate::engine::{Counts, Engine, EngineContext, lock};
use crate::faults::Fault;
use crate::platform::{self, PlatformState};
use crate::weights::WeightStore;

/// A fleet of stand-in targets and their platform.
#[derive(Debug)]
pub struct Fleet {
    /// State and settings that the targets share.
    pub context: EngineContext,
    /// State of the platform.
    pub platform: PlatformState,
    engines: HashMap<InstanceId, Arc<Engine>>,
    instances: Vec<ListedInstance>,
    // Current even while the platform's list is frozen.
    leaving: Mutex<HashMap<InstanceId, bool>>,
    list_frozen: Mutex<bool>,
}

impl Fleet {
    /// Creates the fleet that a file describes; `key` authenticates orders.
    pub fn new(file: &FleetFile, key: SharedKey) -> Arc<Self> {
        let context = EngineContext {
            weights: WeightStore::new(file.engine.loads_per_second),
            options: file.engine.clone(),
            key,
            registry: Arc::new(Mutex::new(HashMap::new())),
            counts: Arc::new(Mutex::new(Counts::default())),
        };
        let instances = file.instances();
        let mut engines = HashMap::new();
        for listed in &instances {
            let engine = Engine::new(
                listed.instance.clone(),
                listed.address,
                listed.service.clone(),
                &context,
            );
            engines.insert(listed.instance.clone(), engine);
        }
        lock(&context.registry).extend(engines.clone());
        let platform = PlatformState::default();
        lock(&platform.listed).clone_from(&instances);
        Arc::new(Self {
            context,
            platform,
            engines,
            instances,
            leaving: Mutex::new(HashMap::new()),
            list_frozen: Mutex::new(false),
        })
    }

    /// Starts all targets, then serves the platform until the process ends.
    pub async fn serve(self: Arc<Self>, address: SocketAddr) {
        for engine in self.engines.values() {
            engine.start();
        }
        thistlesill_net::admin::serve(address, platform::router(&self)).await;
    }

    /// Returns all instances as the fleet file lists them.
    pub fn instances(&self) -> &[ListedInstance] {
        &self.instances
    }

    /// Injects a fault or ends one.
    pub fn apply(&self, fault: &Fault) {
        match fault {
            Fault::Table(mode) => *lock(&self.platform.mode) = *mode,
            Fault::Kill { instance } => self.with_engine(instance, |e| e.kill()),
            Fault::Restart { instance } => self.with_engine(instance, Engine::restart),
            Fault::Pause { instance } => self.with_engine(instance, |e| e.set_paused(true)),
            Fault::Continue { instance } => self.with_engine(instance, |e| e.set_paused(false)),
            Fault::Slow { instance, factor } => self.with_engine(instance, |e| e.slow_by(*factor)),
            Fault::Dark { domain } => self.with_domain(domain, |e| e.kill()),
            Fault::Light { domain } => self.with_domain(domain, Engine::restart),
            Fault::Leave { instance, leaving } => {
                self.with_engine(instance, |e| e.mark_leaving(*leaving));
                lock(&self.leaving).insert(instance.clone(), *leaving);
                self.update_list();
            }
            Fault::SayLeaving { instance } => {
                self.with_engine(instance, |e| {
                    e.mark_leaving(true);
                    e.report_leaving();
                });
            }
            Fault::FreezeList { frozen } => {
                *lock(&self.list_frozen) = *frozen;
                self.update_list();
            }
        }
    }

    fn with_engine(&self, instance: &InstanceId, f: impl Fn(&Arc<Engine>)) {
        if let Some(engine) = self.engines.get(instance) {
            f(engine);
        }
    }

    fn with_domain(&self, domain: &DomainId, f: impl Fn(&Arc<Engine>)) {
        let in_domain = self.instances.iter().filter(|p| p.domain == *domain);
        for listed in in_domain {
            self.with_engine(&listed.instance, &f);
        }
    }

    /// Updates the platform's list of instances unless it is frozen.
    fn update_list(&self) {
        if *lock(&self.list_frozen) {
            return;
        }
        let leaving = lock(&self.leaving).clone();
        for entry in lock(&self.platform.listed).iter_mut() {
            entry.leaving = leaving.get(&entry.instance).copied().unwrap_or(false);
        }
    }
}
