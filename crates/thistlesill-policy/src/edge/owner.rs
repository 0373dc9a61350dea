//! Which daemon places the requests for the groups of a model.
//!
//! Load pattern: hundreds of daemons with a few requests a second each before some
//! ten groups of a model in a data centre. Where each decides alone, on counts that
//! are some hundred milliseconds old, prompts meet at one group while others are
//! idle, and the streams there pause. One of them, the owner, counts and decides for
//! all; it is the same one for everybody who hears the same daemons, so nothing is
//! agreed on or stored, and two owners for a while cost no more than old counts do.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::Target;
use thistlesill_core::{HallId, Millis, Model, NodeId, ServiceName, rendezvous};

/// Questions in a row without an answer after which an owner is not asked for a
/// while; one datagram in forty may be lost.
const MISSES: u32 = 2;
/// How long it is not asked then: short against the time in which it counts as down.
const REST: Millis = Millis::new(700);

/// The targets that one owner places requests at: those that serve a model of a
/// service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// The data centre.
    pub hall: HallId,
    /// The service.
    pub service: ServiceName,
    /// The model, if the service runs models.
    pub model: Option<Model>,
}

impl Scope {
    /// The scope that a target belongs to.
    #[must_use]
    pub fn of(target: &Target) -> Self {
        Self {
            hall: target.hall.clone(),
            service: target.service.clone(),
            model: target.model().cloned(),
        }
    }

    /// The owner among the daemons of the scope's data centre.
    pub fn owner<'a>(&self, daemons: impl Iterator<Item = &'a NodeId>) -> Option<&'a NodeId> {
        let model = self.model.as_ref().map_or("", Model::as_str);
        let key = format!("{}\0{}\0{model}", self.hall, self.service);
        rendezvous::first(daemons, &key)
    }
}

/// Which owners answer.
///
/// A frozen or overloaded owner is heard for seconds after it has ceased to answer,
/// and each question to it would cost its caller the wait.
#[derive(Debug, Clone, Default)]
pub struct Answering {
    silent: HashMap<NodeId, (u32, Millis)>,
}

impl Answering {
    /// Whether an owner may be asked.
    #[must_use]
    pub fn may_ask(&self, owner: &NodeId, now: Millis) -> bool {
        let silent = self.silent.get(owner);
        silent.is_none_or(|(misses, at)| *misses < MISSES || now - *at >= REST)
    }

    /// Notes that an owner answered.
    pub fn answered(&mut self, owner: &NodeId) {
        self.silent.remove(owner);
    }

    /// Notes that an owner did not answer in time.
    pub fn missed(&mut self, owner: &NodeId, now: Millis) {
        let silent = self.silent.entry(owner.clone()).or_insert((0, now));
        *silent = (silent.0 + 1, now);
    }
}
