//! Picks the target of a request's next attempt.

use thistlesill_core::edge::{Service, Target, TargetId};
use thistlesill_core::{HallId, Millis, Model};
use thistlesill_policy::edge::book::TargetRegistry;
use thistlesill_policy::edge::limit::Clearance;
use thistlesill_policy::edge::load::{Knowledge, LoadTable, PickRequest};
use thistlesill_policy::edge::shortage::RankedRequest;

use crate::ranking::Ranking;
use crate::reach;
use crate::state::Edge;

/// Time after its start in which a daemon receives the load of its peers.
const PEER_LOAD_DELAY: Millis = Millis::new(400);

/// The properties of a request that decide on its target.
#[derive(Clone)]
pub(crate) struct TargetQuery<'a> {
    pub(crate) service: &'a Service,
    pub(crate) model: Option<&'a Model>,
    /// Number of prompt tokens.
    pub(crate) prompt: u32,
    /// The latency objective.
    pub(crate) aim: Millis,
    /// Targets that the request was sent to already, or that its daemon avoids.
    pub(crate) tried: &'a [TargetId],
    /// Whether this is the first attempt, so that the caller may still be told to retry later.
    pub(crate) first: bool,
    /// What decides on the admission of the request; `None` if that is decided already, or if its
    /// service does not rank its callers.
    pub(crate) ranked: Option<RankedRequest>,
    /// The daemon that will send the request: backoffs bind only the daemon that was asked.
    pub(crate) sender: Sender,
}

/// The daemon that will send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sender {
    /// This daemon.
    Itself,
    /// A peer whose request this daemon places.
    Peer,
}

impl TargetQuery<'_> {
    /// Returns the model that decides which targets serve the request; `None` for services
    /// without an engine.
    pub(crate) fn served_model(&self) -> Option<&Model> {
        self.model.filter(|_| self.service.engine.is_some())
    }

    /// Returns the query for a request whose admission has been decided.
    pub(crate) fn decided(self) -> Self {
        Self {
            first: false,
            ranked: None,
            ..self
        }
    }

    /// Returns what the load table is asked; `ranks` tells whether the service ranks its callers.
    pub(crate) fn pick_request<'a>(&'a self, hall: &'a HallId, ranks: bool) -> PickRequest<'a> {
        PickRequest {
            engine: self.service.engine.as_ref(),
            prompt: self.prompt,
            hall,
            aim: ranks.then_some(self.aim),
        }
    }

    /// Returns the targets that serve the request and were not tried yet.
    fn untried<'a>(&'a self, registry: &'a TargetRegistry) -> impl Iterator<Item = &'a Target> {
        let serving = registry.serving(&self.service.name, self.served_model());
        let serving = serving.iter().map(AsRef::as_ref);
        serving.filter(|t| !self.tried.contains(&t.id))
    }
}

/// The result of picking a target.
pub(crate) enum Choice {
    /// The target of the next attempt.
    Target(Box<Target>),
    /// No target now: those that serve the request have too much work.
    Overloaded(Overload),
    /// No target now: the rate limits of the targets, or the backoffs that they requested, allow the
    /// request after this time.
    Unavailable(Millis),
    /// No target serves the request.
    NoTarget,
}

/// Why the targets have too much work for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Overload {
    /// The answer would begin too late by this much.
    TooLate(Millis),
    /// The request is refused by its rank; its caller may retry after this time.
    Refused(Millis),
}

/// The decision on the next attempt of a request.
pub(crate) struct Pick {
    pub(crate) choice: Choice,
    pub(crate) by: PlacedBy,
    /// The permission to send the request to the chosen target.
    pub(crate) clearance: Clearance,
    /// The decision on the request by its rank, if that was due.
    pub(crate) ranking: Option<Ranking>,
    /// Predicted time of the first event, in milliseconds, if the observed one is to be compared
    /// with it.
    pub(crate) predicted: Option<f64>,
}

/// The daemon that chose the target of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacedBy {
    /// This daemon, as the owner of the scope.
    Itself,
    /// Another daemon, which owns the scope.
    Owner,
    /// This daemon, since no owner is known or the owner did not answer.
    Alone,
}

impl PlacedBy {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::Owner => "owner",
            Self::Alone => "alone",
        }
    }
}

impl Edge {
    /// Returns whether a request that exceeds its objective in any case may be sent now.
    pub(crate) fn has_room(&self, service: &Service, model: Option<&Model>) -> bool {
        let (Some(engine), loads) = (&service.engine, self.loads.borrow()) else {
            return true;
        };
        let now = self.now();
        let blind = now - self.started < PEER_LOAD_DELAY && !loads.has_peer_counts();
        let registry = self.registry.borrow();
        let serving = registry.serving(&service.name, model);
        let serving = serving.iter().map(AsRef::as_ref);
        let serving: Vec<&Target> = serving.filter(|t| self.is_available(&t.id, now)).collect();
        !blind && loads.has_room(&serving, engine, now)
    }

    /// Returns the time until `sender` may send a target a request, as far as is known: the target's
    /// rate limit must allow one, and a backoff that it requested from that daemon must be over.
    fn wait_for(&self, id: &TargetId, sender: Sender, now: Millis) -> Millis {
        let limit = self.limits.wait(id, now);
        match sender {
            Sender::Itself => limit.max(self.backoffs.remaining(id, now)),
            Sender::Peer => limit,
        }
    }

    /// Returns whether this daemon may send a target a request now.
    fn is_available(&self, id: &TargetId, now: Millis) -> bool {
        self.wait_for(id, Sender::Itself, now) == Millis::ZERO
    }

    /// Returns the time until a request may be sent to some target that was not tried yet; `None` if
    /// that is now, or if there is no such target.
    pub(crate) fn wait_for_any(&self, query: &TargetQuery<'_>) -> Option<Millis> {
        let (registry, now) = (self.registry.borrow(), self.now());
        let untried = query.untried(&registry);
        let wait = untried
            .map(|t| self.wait_for(&t.id, query.sender, now))
            .min();
        wait.filter(|wait| *wait > Millis::ZERO)
    }

    /// Returns the untried targets that may get the request now, or the time until one may.
    pub(crate) fn available<'a>(
        &self,
        query: &'a TargetQuery<'_>,
        registry: &'a TargetRegistry,
    ) -> Result<Vec<&'a Target>, Millis> {
        if let Some(wait) = self.wait_for_any(query) {
            return Err(wait);
        }
        let now = self.now();
        let mut untried: Vec<&Target> = query.untried(registry).collect();
        untried.retain(|t| self.wait_for(&t.id, query.sender, now) == Millis::ZERO);
        Ok(untried)
    }

    /// Picks the target for the next attempt of a request.
    pub(crate) fn pick(&self, query: &TargetQuery<'_>, knowledge: Knowledge) -> Choice {
        let registry = self.registry.borrow();
        let untried = match self.available(query, &registry) {
            Ok(untried) => untried,
            Err(wait) => return Choice::Unavailable(wait),
        };
        let settings = self.settings();
        let ranks = self.catalog();
        let ranks = ranks.is_some_and(|c| c.ranks_callers(&query.service.name));
        let request = query.pick_request(&settings.hall, ranks);
        let loads = self.loads.borrow();
        if query.first
            && let Some(lateness) = loads.lateness(&untried, &request, query.aim, self.now())
        {
            return Choice::Overloaded(Overload::TooLate(lateness));
        }
        self.pick_among(&loads, &untried, &request, knowledge)
    }

    /// Picks one of the candidates by their load.
    pub(crate) fn pick_among(
        &self,
        loads: &LoadTable,
        candidates: &[&Target],
        request: &PickRequest<'_>,
        knowledge: Knowledge,
    ) -> Choice {
        let rng = &mut *self.rng.borrow_mut();
        match loads.pick(candidates, request, knowledge, self.now(), rng) {
            Some(target) => Choice::Target(Box::new(target.clone())),
            None => Choice::NoTarget,
        }
    }

    /// Returns whether a further attempt may be made now and there is an untried target for it.
    pub(crate) fn can_retry_elsewhere(&self, query: &TargetQuery<'_>) -> bool {
        !self.retry_targets(query).is_empty()
    }

    /// Returns the untried targets for a further attempt; none if no retry is left for it.
    pub(crate) fn retry_targets(&self, query: &TargetQuery<'_>) -> Vec<Target> {
        if !self.with_budget(&query.service.name, |budget| budget.has_retry()) {
            return Vec::new();
        }
        let registry = self.registry.borrow();
        self.sound_targets(query, &registry).cloned().collect()
    }

    /// Returns whether there is an untried target that has not just failed and may get a request now.
    pub(crate) fn has_sound_target(&self, query: &TargetQuery<'_>) -> bool {
        let registry = self.registry.borrow();
        self.sound_targets(query, &registry).next().is_some()
    }

    /// Returns the untried targets that have not just failed and may get a request now.
    fn sound_targets<'a>(
        &'a self,
        query: &'a TargetQuery<'_>,
        registry: &'a TargetRegistry,
    ) -> impl Iterator<Item = &'a Target> {
        let (loads, now) = (self.loads.borrow(), self.now());
        let untried = query.untried(registry);
        untried.filter(move |t| !loads.is_suspect(&t.id, now) && self.is_available(&t.id, now))
    }

    /// Returns the untried targets that have just answered no check, or none if all have not.
    pub(crate) fn unresponsive(&self, query: &TargetQuery<'_>) -> Vec<TargetId> {
        let registry = self.registry.borrow();
        let untried = query.untried(&registry).map(|target| &target.id);
        let (silent, others): (Vec<_>, Vec<_>) =
            untried.partition(|id| reach::is_unresponsive(self, id));
        if others.is_empty() {
            return Vec::new();
        }
        silent.into_iter().cloned().collect()
    }

    /// Returns whether some target serves a request that it was not sent to yet.
    pub(crate) fn is_served(&self, query: &TargetQuery<'_>) -> bool {
        let registry = self.registry.borrow();
        query.untried(&registry).next().is_some()
    }
}
