//! The targets as the store lists them, and which of them take requests.
//!
//! While the store is away entries can lapse although their targets live, so
//! an entry that vanishes just after the store came back is kept for the time
//! in which a living target writes itself in again.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::{Catalog, Target, TargetId};
use thistlesill_core::{HallId, InstanceId, Millis, Model, ServiceName};

/// Time in which living targets are listed again after the store returned.
pub const RELIST: Millis = Millis::new(2_300);

/// All targets that are known.
#[derive(Debug, Clone, Default)]
pub struct TargetBook {
    targets: HashMap<ServiceName, HashMap<TargetId, Target>>,
    /// What each instance was last listed as.
    lives: HashMap<InstanceId, Life>,
    /// Targets whose entries vanished while the store was in doubt, with the
    /// moment at which they are dropped.
    lapsed: HashMap<InstanceId, Millis>,
    /// Since when the store has answered without a break.
    steady: Option<Millis>,
    /// Data centres whose targets get no requests.
    evacuated: BTreeSet<HallId>,
    /// The catalog by which the targets are sorted.
    sorted_by: Option<u64>,
    /// Services whose targets serve in groups, by that catalog.
    grouped: HashSet<ServiceName>,
    /// The targets that take requests, sorted by id.
    serving: HashMap<ServiceName, HashMap<Option<Model>, Vec<Arc<Target>>>>,
}

/// What an instance was last listed as.
#[derive(Debug, Clone)]
struct Life {
    service: ServiceName,
    id: TargetId,
}

/// What a change of an entry means.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// A target is listed, or its entry changed.
    Listed(Box<Target>),
    /// The entry of an instance is gone.
    Gone(InstanceId),
    /// The entry of an instance became one that cannot be decoded. It names no target
    /// to use, and nothing tells that the one it named before is still there.
    Unusable(InstanceId),
}

impl Listing {
    /// The instance whose entry changed.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Listed(target) => target.id.instance(),
            Self::Gone(instance) | Self::Unusable(instance) => instance,
        }
    }
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
                Listing::Gone(instance) => self.lapse(instance, now),
                Listing::Unusable(instance) => self.drop_instance(&instance),
            }
        }
        self.index_if_changed(catalog);
    }

    /// Takes in all entries at once; what is missing in them is gone.
    pub fn replace(&mut self, all: Vec<Listing>, catalog: Option<&Catalog>, now: Millis) {
        let changes = self.difference(all);
        self.apply(changes, catalog, now);
    }

    /// The changes that lead from what is known to all entries as they were read at once;
    /// what is missing in them is gone.
    #[must_use]
    pub fn difference(&self, all: Vec<Listing>) -> Vec<Listing> {
        let listed: HashSet<&InstanceId> = all.iter().map(Listing::instance).collect();
        let known = self.lives.keys();
        let gone = known.filter(|instance| !listed.contains(instance)).cloned();
        let mut changes: Vec<Listing> = gone.map(Listing::Gone).collect();
        changes.extend(all.into_iter().filter(|listing| self.is_news(listing)));
        changes
    }

    fn is_news(&self, listing: &Listing) -> bool {
        let instance = listing.instance();
        let known = self.lives.get(instance);
        match listing {
            Listing::Listed(target) => {
                let same = |life: &Life| {
                    let targets = self.targets.get(&life.service);
                    targets.and_then(|t| t.get(&life.id)) == Some(&**target)
                };
                // A lapsed entry that is there again is news, however alike it is.
                !known.is_some_and(same) || self.lapsed.contains_key(instance)
            }
            Listing::Gone(_) | Listing::Unusable(_) => known.is_some(),
        }
    }

    /// Drops lapsed entries whose time is up; returns whether any was.
    pub fn expire(&mut self, catalog: Option<&Catalog>, now: Millis) -> bool {
        let due: Vec<InstanceId> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now && self.steady.is_some())
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &due {
            self.drop_instance(instance);
        }
        self.index_if_changed(catalog);
        !due.is_empty()
    }

    /// Takes in the data centres whose targets get no requests.
    pub fn evacuate(&mut self, halls: &BTreeSet<HallId>, catalog: Option<&Catalog>) {
        self.evacuated.clone_from(halls);
        self.index(catalog);
    }

    /// Whether the targets of a data centre get no requests.
    pub fn is_evacuated(&self, hall: &HallId) -> bool {
        self.evacuated.contains(hall)
    }

    /// Sorts the targets anew by what they serve.
    pub fn index(&mut self, catalog: Option<&Catalog>) {
        self.sorted_by = catalog.map(|c| c.version);
        let services = catalog.into_iter().flat_map(Catalog::services);
        let grouped = services.filter(|s| s.engine.is_some());
        self.grouped = grouped.map(|s| s.name.clone()).collect();
        self.serving.clear();
        let all = self.targets.values().flat_map(HashMap::values);
        for target in all {
            if let Serves::Requests(model) = served(target, &self.evacuated, &self.grouped) {
                let service = self.serving.entry(target.service.clone()).or_default();
                let targets = service.entry(model).or_default();
                targets.push(Arc::new(target.clone()));
            }
        }
        for targets in self.serving.values_mut().flat_map(HashMap::values_mut) {
            targets.sort_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// Sorts the targets anew if another catalog is in force; changes of single targets keep
    /// their order.
    fn index_if_changed(&mut self, catalog: Option<&Catalog>) {
        if catalog.map(|c| c.version) != self.sorted_by {
            self.index(catalog);
        }
    }

    /// Adds a target to those that take requests, if it does.
    fn serve(&mut self, target: &Target) {
        if let Serves::Requests(model) = served(target, &self.evacuated, &self.grouped) {
            let service = self.serving.entry(target.service.clone()).or_default();
            let targets = service.entry(model).or_default();
            let at = targets.partition_point(|t| t.id < target.id);
            targets.insert(at, Arc::new(target.clone()));
        }
    }

    /// Takes a target out of those that take requests.
    fn stop_serving(&mut self, target: &Target) {
        let Serves::Requests(model) = served(target, &self.evacuated, &self.grouped) else {
            return;
        };
        let service = self.serving.get_mut(&target.service);
        let Some(targets) = service.and_then(|models| models.get_mut(&model)) else {
            return;
        };
        if let Ok(at) = targets.binary_search_by(|t| t.id.cmp(&target.id)) {
            targets.remove(at);
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
    pub fn of(&self, service: &ServiceName) -> Option<&HashMap<TargetId, Target>> {
        self.targets.get(service)
    }

    /// A target, if this life of it is the one that is known.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        let life = self.lives.get(id.instance())?;
        self.targets.get(&life.service)?.get(id)
    }

    /// Whether this life of a target is the one that is known.
    pub fn knows(&self, id: &TargetId) -> bool {
        self.life(id.instance()) == Some(id)
    }

    /// The targets as the store lists them, without those that are only kept since their
    /// entries may have lapsed.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        let all = self.targets.values().flat_map(HashMap::values);
        all.filter(|t| !self.lapsed.contains_key(t.id.instance()))
    }

    /// How many targets are known.
    pub fn count(&self) -> usize {
        self.lives.len()
    }

    /// Which life of an instance's target is known.
    pub fn life(&self, instance: &InstanceId) -> Option<&TargetId> {
        self.lives.get(instance).map(|life| &life.id)
    }

    fn list(&mut self, target: Target) {
        let instance = target.id.instance().clone();
        let life = Life {
            service: target.service.clone(),
            id: target.id.clone(),
        };
        // An earlier life, or the same one under another service.
        self.drop_instance(&instance);
        self.serve(&target);
        let service = self.targets.entry(target.service.clone()).or_default();
        service.insert(target.id.clone(), target);
        self.lives.insert(instance, life);
    }

    fn lapse(&mut self, instance: InstanceId, now: Millis) {
        let steady = self.steady.unwrap_or(now);
        if now - steady >= RELIST {
            self.drop_instance(&instance);
        } else if self.lives.contains_key(&instance) {
            self.lapsed.insert(instance, steady + RELIST);
        }
    }

    fn drop_instance(&mut self, instance: &InstanceId) {
        self.lapsed.remove(instance);
        let Some(life) = self.lives.remove(instance) else {
            return;
        };
        let targets = self.targets.get_mut(&life.service);
        if let Some(target) = targets.and_then(|targets| targets.remove(&life.id)) {
            self.stop_serving(&target);
        }
    }
}

/// What a target takes requests for.
enum Serves {
    /// Nothing.
    Nothing,
    /// Requests; for this model if its service runs models.
    Requests(Option<Model>),
}

/// What a target takes requests for.
fn served(target: &Target, evacuated: &BTreeSet<HallId>, grouped: &HashSet<ServiceName>) -> Serves {
    if target.leaving || evacuated.contains(&target.hall) {
        return Serves::Nothing;
    }
    if !grouped.contains(&target.service) {
        return Serves::Requests(None);
    }
    match &target.member {
        Some(member) if target.is_open_leader() => Serves::Requests(member.model.clone()),
        _ => Serves::Nothing,
    }
}
