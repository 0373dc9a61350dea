//! The targets as the store lists them, and which of them take requests.
//!
//! While the store is away entries can lapse although their targets live, so
//! an entry that vanishes just after the store came back is kept for the time
//! in which a living target writes itself in again.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::{Catalog, Target};
use thistlesill_core::{InstanceId, Millis, Model, ServiceName};

/// Time in which living targets are listed again after the store returned.
pub const RELIST: Millis = Millis::new(2_300);

/// All targets that are known.
#[derive(Debug, Clone, Default)]
pub struct TargetBook {
    targets: HashMap<ServiceName, HashMap<InstanceId, Target>>,
    /// Targets whose entries vanished while the store was in doubt, with the
    /// moment at which they are dropped.
    lapsed: HashMap<InstanceId, Millis>,
    /// Since when the store has answered without a break.
    steady: Option<Millis>,
    serving: HashMap<ServiceName, HashMap<Option<Model>, Vec<Arc<Target>>>>,
}

/// What a change of an entry means.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// A target is listed, or its entry changed.
    Listed(Box<Target>),
    /// A target's entry is gone.
    Gone(InstanceId),
}

impl TargetBook {
    /// Notes that the store answered.
    pub fn store_answered(&mut self, now: Millis) {
        self.steady.get_or_insert(now);
    }

    /// Notes that the store did not answer.
    pub const fn store_failed(&mut self) {
        self.steady = None;
    }

    /// Notes since when the store has answered, as another daemon tells.
    pub const fn store_steady(&mut self, since: Millis) {
        self.steady = Some(since);
    }

    /// How long the store has answered without a break.
    pub fn steady_for(&self, now: Millis) -> Option<Millis> {
        self.steady.map(|since| now - since)
    }

    /// Takes in changes of entries.
    pub fn apply(&mut self, changes: Vec<Listing>, catalog: Option<&Catalog>, now: Millis) {
        for change in changes {
            match change {
                Listing::Listed(target) => self.list(*target),
                Listing::Gone(id) => self.lapse(id, now),
            }
        }
        self.index(catalog);
    }

    /// Takes in all entries at once; what is missing in them is gone.
    pub fn replace(&mut self, all: Vec<Target>, catalog: Option<&Catalog>, now: Millis) {
        let known: Vec<InstanceId> = self.ids().cloned().collect();
        let gone = known
            .into_iter()
            .filter(|id| all.iter().all(|t| t.id != *id));
        let mut changes: Vec<Listing> = gone.map(Listing::Gone).collect();
        changes.extend(all.into_iter().map(|t| Listing::Listed(Box::new(t))));
        self.apply(changes, catalog, now);
    }

    /// Drops lapsed entries whose time is up; returns whether any was.
    pub fn expire(&mut self, catalog: Option<&Catalog>, now: Millis) -> bool {
        let due: Vec<InstanceId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now && self.steady.is_some())
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.lapsed.remove(id);
            self.drop_target(id);
        }
        if !due.is_empty() {
            self.index(catalog);
        }
        !due.is_empty()
    }

    /// Sorts the targets anew by what they serve.
    pub fn index(&mut self, catalog: Option<&Catalog>) {
        self.serving.clear();
        for (service, targets) in &self.targets {
            let grouped = catalog
                .and_then(|c| c.service(service))
                .is_some_and(|s| s.engine.is_some());
            let by_model = self.serving.entry(service.clone()).or_default();
            for target in targets.values().filter(|t| !t.leaving) {
                let model = match (&target.member, grouped) {
                    (Some(member), true) if target.leads_open() => member.model.clone(),
                    (_, true) => continue,
                    (_, false) => None,
                };
                by_model
                    .entry(model)
                    .or_default()
                    .push(Arc::new(target.clone()));
            }
        }
        for targets in self.serving.values_mut().flat_map(HashMap::values_mut) {
            targets.sort_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// The targets that take requests for a service, for a model if it runs
    /// models.
    pub fn serving(&self, service: &ServiceName, model: Option<&Model>) -> &[Arc<Target>] {
        let by_model = self.serving.get(service);
        let found = by_model.and_then(|m| m.get(&model.cloned()));
        found.map_or(&[], Vec::as_slice)
    }

    /// The targets of a service.
    pub fn of(&self, service: &ServiceName) -> Option<&HashMap<InstanceId, Target>> {
        self.targets.get(service)
    }

    /// Whether a target is known.
    pub fn knows(&self, id: &InstanceId) -> bool {
        self.targets.values().any(|t| t.contains_key(id))
    }

    /// The ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.targets.values().flat_map(HashMap::keys)
    }

    fn list(&mut self, target: Target) {
        self.lapsed.remove(&target.id);
        let service = self.targets.entry(target.service.clone()).or_default();
        service.insert(target.id.clone(), target);
    }

    fn lapse(&mut self, id: InstanceId, now: Millis) {
        let steady = self.steady.unwrap_or(now);
        if now - steady < RELIST {
            self.lapsed.insert(id, steady + RELIST);
        } else {
            self.drop_target(&id);
        }
    }

    fn drop_target(&mut self, id: &InstanceId) {
        for targets in self.targets.values_mut() {
            targets.remove(id);
        }
    }
}
