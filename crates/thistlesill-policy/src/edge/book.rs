//! Targets by service, with an index of those that accept requests.
//!
//! While the store is unreachable, entries can expire although their targets are running. An entry
//! that disappears shortly after the store came back is therefore kept for the time in which a
//! running target registers again.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::{Catalog, Target, TargetId};
use thistlesill_core::{HallId, InstanceId, Millis, Model, ServiceName};

/// Time in which running targets register again after the store came back.
pub const RELIST_GRACE: Millis = Millis::new(2_300);
/// How long a target's announcement that it leaves is remembered without an entry of the target,
/// which may lapse and come back while the store is away.
const LEAVING_RETENTION: Millis = Millis::new(600_000);

/// All known targets.
#[derive(Debug, Clone, Default)]
pub struct TargetRegistry {
    targets: HashMap<ServiceName, HashMap<TargetId, Target>>,
    /// Incarnation under which each instance was last listed.
    incarnations: HashMap<InstanceId, Incarnation>,
    /// Targets whose entries disappeared while the store may have lost them, with the time at which
    /// they are removed.
    expired: HashMap<InstanceId, Millis>,
    /// Targets that announced that they leave, whatever their entries say, and when.
    announced: HashMap<TargetId, Millis>,
    /// Since when the store has answered without interruption.
    store_up_since: Option<Millis>,
    /// Data centres whose targets get no requests.
    evacuated: BTreeSet<HallId>,
    /// Version of the catalog that the index was built with.
    indexed_version: Option<u64>,
    /// Services whose targets run in groups, by that catalog.
    grouped: HashSet<ServiceName>,
    /// Targets that accept requests, by service and model, sorted by id.
    serving: HashMap<ServiceName, HashMap<Option<Model>, Vec<Arc<Target>>>>,
}

/// Service and id under which an instance was last listed.
#[derive(Debug, Clone)]
struct Incarnation {
    service: ServiceName,
    id: TargetId,
}

/// A change of an entry in the store's list of targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Listing {
    /// A target was added, or its entry changed.
    Listed(Box<Target>),
    /// The entry of an instance was removed.
    Gone(InstanceId),
    /// The entry of an instance changed to one that cannot be decoded. The entry describes no
    /// target that could be used, and nothing shows that the previous target still exists.
    Unusable(InstanceId),
}

impl Listing {
    /// Returns the instance whose entry changed.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Listed(target) => target.id.instance(),
            Self::Gone(instance) | Self::Unusable(instance) => instance,
        }
    }
}

impl TargetRegistry {
    /// Records that the store answered.
    pub fn store_answered(&mut self, now: Millis) {
        self.store_up_since.get_or_insert(now);
    }

    /// Records that the store did not answer.
    pub const fn store_failed(&mut self) {
        self.store_up_since = None;
    }

    /// Sets the time since which the store has answered, as reported by another daemon.
    pub const fn set_store_up_since(&mut self, since: Millis) {
        self.store_up_since = Some(since);
    }

    /// Returns how long the store has answered without interruption; `None` if it does not answer.
    pub fn store_uptime(&self, now: Millis) -> Option<Millis> {
        self.store_up_since.map(|since| now - since)
    }

    /// Applies changes of entries.
    pub fn apply(&mut self, changes: Vec<Listing>, catalog: Option<&Catalog>, now: Millis) {
        for change in changes {
            match change {
                Listing::Listed(target) => self.list(*target),
                Listing::Gone(instance) => self.expire_entry(instance, now),
                Listing::Unusable(instance) => self.drop_instance(&instance),
            }
        }
        self.index_if_changed(catalog);
    }

    /// Replaces all entries; targets that `all` lacks are treated as removed.
    pub fn replace(&mut self, all: Vec<Listing>, catalog: Option<&Catalog>, now: Millis) {
        let changes = self.difference(all);
        self.apply(changes, catalog, now);
    }

    /// Returns the changes that lead from the known entries to `all`, the result of a full read;
    /// entries that `all` lacks are removed.
    #[must_use]
    pub fn difference(&self, all: Vec<Listing>) -> Vec<Listing> {
        let listed: HashSet<&InstanceId> = all.iter().map(Listing::instance).collect();
        let known = self.incarnations.keys();
        let gone = known.filter(|instance| !listed.contains(instance)).cloned();
        let mut changes: Vec<Listing> = gone.map(Listing::Gone).collect();
        changes.extend(all.into_iter().filter(|listing| self.is_change(listing)));
        changes
    }

    fn is_change(&self, listing: &Listing) -> bool {
        let instance = listing.instance();
        let known = self.incarnations.get(instance);
        match listing {
            Listing::Listed(target) => {
                let same = |incarnation: &Incarnation| {
                    let targets = self.targets.get(&incarnation.service);
                    let known = targets.and_then(|t| t.get(&incarnation.id));
                    known.is_some_and(|known| self.is_described_by(known, target))
                };
                // An expired entry that reappears is a change, even with the same content.
                !known.is_some_and(same) || self.expired.contains_key(instance)
            }
            Listing::Gone(_) | Listing::Unusable(_) => known.is_some(),
        }
    }

    /// Removes targets whose entries expired and were not listed again in time. Returns whether any
    /// was removed.
    pub fn expire(&mut self, catalog: Option<&Catalog>, now: Millis) -> bool {
        let due: Vec<InstanceId> = self
            .expired
            .iter()
            .filter(|(_, until)| **until <= now && self.store_up_since.is_some())
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &due {
            self.drop_instance(instance);
        }
        let incarnations = &self.incarnations;
        self.announced.retain(|id, at| {
            let current = incarnations.get(id.instance());
            current.is_some_and(|current| current.id == *id) || now - *at < LEAVING_RETENTION
        });
        self.index_if_changed(catalog);
        !due.is_empty()
    }

    /// Records that a target announced that it leaves: from now on it accepts no requests, whatever
    /// its entry says. Returns whether that was not known yet.
    pub fn announce_leaving(&mut self, id: &TargetId, now: Millis) -> bool {
        if self.announced.insert(id.clone(), now).is_some() {
            return false;
        }
        if let Some(target) = self.target(id).cloned() {
            self.remove_from_index(&target);
            let targets = self.targets.get_mut(&target.service);
            if let Some(target) = targets.and_then(|targets| targets.get_mut(id)) {
                target.leaving = true;
            }
        }
        true
    }

    /// Returns whether a target leaves, as its entry or the target itself says.
    pub fn is_leaving(&self, id: &TargetId) -> bool {
        self.announced.contains_key(id) || self.target(id).is_some_and(|t| t.leaving)
    }

    /// Returns whether an entry describes a known target, which may have announced more than its
    /// entry says.
    fn is_described_by(&self, known: &Target, entry: &Target) -> bool {
        if !self.announced.contains_key(&entry.id) {
            return known == entry;
        }
        let leaving = Target {
            leaving: true,
            ..entry.clone()
        };
        *known == leaving
    }

    /// Sets the data centres whose targets get no requests.
    pub fn evacuate(&mut self, halls: &BTreeSet<HallId>, catalog: Option<&Catalog>) {
        self.evacuated.clone_from(halls);
        self.index(catalog);
    }

    /// Returns whether a data centre is evacuated, so that its targets get no requests.
    pub fn is_evacuated(&self, hall: &HallId) -> bool {
        self.evacuated.contains(hall)
    }

    /// Rebuilds the index of the targets that accept requests.
    pub fn index(&mut self, catalog: Option<&Catalog>) {
        self.indexed_version = catalog.map(|c| c.version);
        let services = catalog.into_iter().flat_map(Catalog::services);
        let grouped = services.filter(|s| s.engine.is_some());
        self.grouped = grouped.map(|s| s.name.clone()).collect();
        self.serving.clear();
        let all = self.targets.values().flat_map(HashMap::values);
        for target in all {
            if let Accepted::Requests(model) = accepted(target, &self.evacuated, &self.grouped) {
                let service = self.serving.entry(target.service.clone()).or_default();
                let targets = service.entry(model).or_default();
                targets.push(Arc::new(target.clone()));
            }
        }
        for targets in self.serving.values_mut().flat_map(HashMap::values_mut) {
            targets.sort_by(|a, b| a.id.cmp(&b.id));
        }
    }

    /// Rebuilds the index if the catalog has changed. Changes of single targets keep the index
    /// sorted by themselves.
    fn index_if_changed(&mut self, catalog: Option<&Catalog>) {
        if catalog.map(|c| c.version) != self.indexed_version {
            self.index(catalog);
        }
    }

    /// Adds a target to the index if it accepts requests.
    fn add_to_index(&mut self, target: &Target) {
        if let Accepted::Requests(model) = accepted(target, &self.evacuated, &self.grouped) {
            let service = self.serving.entry(target.service.clone()).or_default();
            let targets = service.entry(model).or_default();
            let at = targets.partition_point(|t| t.id < target.id);
            targets.insert(at, Arc::new(target.clone()));
        }
    }

    /// Removes a target from the index.
    fn remove_from_index(&mut self, target: &Target) {
        let Accepted::Requests(model) = accepted(target, &self.evacuated, &self.grouped) else {
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

    /// Returns the targets that accept requests for a service, and for a model if the service runs
    /// models; sorted by id.
    pub fn serving(&self, service: &ServiceName, model: Option<&Model>) -> &[Arc<Target>] {
        let by_model = self.serving.get(service);
        let found = by_model.and_then(|m| m.get(&model.cloned()));
        found.map_or(&[], Vec::as_slice)
    }

    /// Returns all known targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> Option<&HashMap<TargetId, Target>> {
        self.targets.get(service)
    }

    /// Returns a target if `id` is its current incarnation.
    pub fn target(&self, id: &TargetId) -> Option<&Target> {
        let incarnation = self.incarnations.get(id.instance())?;
        self.targets.get(&incarnation.service)?.get(id)
    }

    /// Returns whether `id` is the current incarnation of its target.
    pub fn is_current(&self, id: &TargetId) -> bool {
        self.incarnation(id.instance()) == Some(id)
    }

    /// Returns the targets that the store lists, without those that are only kept because their
    /// entries may have expired.
    pub fn listed(&self) -> impl Iterator<Item = &Target> {
        let all = self.targets.values().flat_map(HashMap::values);
        all.filter(|t| !self.expired.contains_key(t.id.instance()))
    }

    /// Returns the number of known targets.
    pub fn count(&self) -> usize {
        self.incarnations.len()
    }

    /// Returns the id of the current incarnation of an instance's target.
    pub fn incarnation(&self, instance: &InstanceId) -> Option<&TargetId> {
        self.incarnations
            .get(instance)
            .map(|incarnation| &incarnation.id)
    }

    fn list(&mut self, mut target: Target) {
        target.leaving |= self.announced.contains_key(&target.id);
        let instance = target.id.instance().clone();
        let incarnation = Incarnation {
            service: target.service.clone(),
            id: target.id.clone(),
        };
        // Removes an earlier incarnation, or the same one under another service.
        self.drop_instance(&instance);
        self.add_to_index(&target);
        let service = self.targets.entry(target.service.clone()).or_default();
        service.insert(target.id.clone(), target);
        self.incarnations.insert(instance, incarnation);
    }

    fn expire_entry(&mut self, instance: InstanceId, now: Millis) {
        let store_up_since = self.store_up_since.unwrap_or(now);
        if now - store_up_since >= RELIST_GRACE {
            self.drop_instance(&instance);
        } else if self.incarnations.contains_key(&instance) {
            self.expired.insert(instance, store_up_since + RELIST_GRACE);
        }
    }

    fn drop_instance(&mut self, instance: &InstanceId) {
        self.expired.remove(instance);
        let Some(incarnation) = self.incarnations.remove(instance) else {
            return;
        };
        let targets = self.targets.get_mut(&incarnation.service);
        if let Some(target) = targets.and_then(|targets| targets.remove(&incarnation.id)) {
            self.remove_from_index(&target);
        }
    }
}

/// What a target accepts requests for.
enum Accepted {
    /// The target accepts no requests.
    Nothing,
    /// The target accepts requests, for this model if its service runs models.
    Requests(Option<Model>),
}

/// Returns what a target accepts requests for.
fn accepted(
    target: &Target,
    evacuated: &BTreeSet<HallId>,
    grouped: &HashSet<ServiceName>,
) -> Accepted {
    if target.leaving || evacuated.contains(&target.hall) {
        return Accepted::Nothing;
    }
    if !grouped.contains(&target.service) {
        return Accepted::Requests(None);
    }
    match &target.member {
        Some(member) if target.is_open_leader() => Accepted::Requests(member.model.clone()),
        _ => Accepted::Nothing,
    }
}
