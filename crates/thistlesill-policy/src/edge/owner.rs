//! Choice of the daemon that places the requests for the groups of a model.
//!
//! Load pattern: hundreds of daemons with a few requests per second each send to about ten groups
//! of a model in a data centre. If each daemon decides alone, on counts that are some hundred
//! milliseconds old, prompts collide at one group while others are idle, and the streams there
//! pause. One daemon, the owner, counts and decides for all. All daemons that see the same peers
//! compute the same owner, so the owner needs neither an election nor the store, and two owners for
//! a while cost no more than old counts do.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::Target;
use thistlesill_core::{HallId, Millis, Model, NodeId, ServiceName, rendezvous};

/// Consecutive unanswered requests after which an owner is not asked for a while; one datagram in
/// forty may be lost.
const MAX_MISSES: u32 = 2;
/// How long the owner is not asked then: short compared to the time in which it is considered down.
const ASK_BACKOFF: Millis = Millis::new(700);

/// The targets that one owner places requests at: those that serve a model of a service in one data
/// centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Data centre of the targets.
    pub hall: HallId,
    /// Service of the targets.
    pub service: ServiceName,
    /// Model of the targets, if the service runs models.
    pub model: Option<Model>,
}

impl Scope {
    /// Returns the scope that a target belongs to.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        Self {
            hall: target.hall.clone(),
            service: target.service.clone(),
            model: target.model().cloned(),
        }
    }

    /// Returns the owner among `daemons`, those of the scope's data centre.
    pub fn owner<'a>(&self, daemons: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
        let model = self.model.as_ref().map_or("", Model::as_str);
        let key = format!("{}\0{}\0{model}", self.hall, self.service);
        rendezvous::first(daemons, &key)
    }
}

/// Tracks which owners answer.
///
/// Heartbeats of a frozen or overloaded owner are received for seconds after it has stopped
/// answering, and each request to it would cost the caller the wait for a timeout.
#[derive(Debug, Clone, Default)]
pub struct OwnerHealth {
    silent: HashMap<NodeId, (u32, Millis)>,
}

impl OwnerHealth {
    /// Returns whether an owner may be asked.
    #[must_use]
    pub fn may_ask(&self, owner: &NodeId, now: Millis) -> bool {
        let silent = self.silent.get(owner);
        silent.is_none_or(|(misses, at)| *misses < MAX_MISSES || now - *at >= ASK_BACKOFF)
    }

    /// Records that an owner answered.
    pub fn answered(&mut self, owner: &NodeId) {
        self.silent.remove(owner);
    }

    /// Records that an owner did not answer in time.
    pub fn missed(&mut self, owner: &NodeId, now: Millis) {
        let silent = self.silent.entry(owner.clone()).or_insert((0, now));
        *silent = (silent.0 + 1, now);
    }
}
