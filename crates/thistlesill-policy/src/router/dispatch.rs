//! Selection of a server for a request, and construction of the next attempt.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use thistlesill_core::{Adapter, HallId, Millis, Model};

use super::request::Request;
use super::{Dispatch, Mode, Wanted};
use crate::pick::{Candidate, GroupLoad, PickContext, PickRule, pick};
use crate::serving::{GroupKey, Runs, Server, ServerList};

/// Result of selecting a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Selection {
    /// Index of the server in the roster.
    Found(usize),
    /// All eligible servers are at their limit.
    Busy,
    /// No server is eligible.
    NoServer,
    /// The answer would miss the deadline.
    TooLate,
}

/// Inputs of the selection other than the request.
pub(super) struct Selector<'a> {
    pub(super) roster: &'a ServerList,
    pub(super) loads: &'a BTreeMap<GroupKey, GroupLoad>,
    pub(super) hall: &'a HallId,
    pub(super) rule: PickRule,
    pub(super) pick_count: u64,
    pub(super) now: Millis,
}

impl Selector<'_> {
    /// Selects a server for a request.
    pub(super) fn select(&self, request: &Request, rng: &mut StdRng) -> Selection {
        let eligible: Vec<usize> = (0..self.roster.servers.len())
            .filter(|i| self.is_eligible(request, &self.roster.servers[*i]))
            .collect();
        let open: Vec<Candidate<'_>> = eligible.iter().filter_map(|i| self.candidate(*i)).collect();
        let context = PickContext {
            rule: self.rule,
            prefix: request.arrival.prefix,
            now: self.now,
            pick_count: self.pick_count,
        };
        match pick(&self.avoid_suspects(&open), &context, rng) {
            Some(index) => Selection::Found(index),
            None if eligible.is_empty() => Selection::NoServer,
            None => Selection::Busy,
        }
    }

    /// Returns whether any server is eligible for a request, whether or not it has a free slot.
    pub(super) fn has_eligible(&self, request: &Request) -> bool {
        let mut servers = self.roster.servers.iter();
        servers.any(|s| self.is_eligible(request, s))
    }

    fn is_eligible(&self, request: &Request, server: &Server) -> bool {
        if server.until <= self.now {
            return false;
        }
        if request.pinned.as_ref().is_some_and(|p| *p != server.key) {
            return false;
        }
        // The rest of an answer must come from the same model and adapters as its beginning.
        let continues = matches!(request.mode, Mode::Continue { .. });
        if continues && request.last_runs.as_ref() != Some(&server.runs) {
            return false;
        }
        match (&request.arrival.wanted, &server.runs) {
            (Wanted::Service(name), Runs::Service(s)) => name == s,
            (Wanted::Model(model), Runs::Model(load)) => {
                let adapter = request.policy.values.adapter.as_ref();
                load.model == *model && adapter.is_none_or(|a| load.adapters.contains(a))
            }
            _ => false,
        }
    }

    fn candidate(&self, index: usize) -> Option<Candidate<'_>> {
        let server = &self.roster.servers[index];
        let load = self.loads.get(&server.key)?;
        load.has_room().then_some(Candidate {
            index,
            load,
            same_hall: server.hall == *self.hall,
        })
    }

    /// Excludes servers that failed recently, unless there are no others.
    fn avoid_suspects<'a>(&self, open: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
        let healthy = open.iter().filter(|c| !c.load.is_suspect(self.now));
        let healthy: Vec<Candidate<'a>> = healthy.copied().collect();
        if healthy.is_empty() {
            open.to_vec()
        } else {
            healthy
        }
    }
}

/// Returns the adapter for a request; plain services have none.
fn adapter(request: &Request) -> Option<Adapter> {
    match request.arrival.wanted {
        Wanted::Model(_) => request.policy.values.adapter.clone(),
        Wanted::Service(_) => None,
    }
}

/// Builds the next attempt of a request at a server.
pub(super) fn build(request: &Request, server: &Server, now: Millis) -> Dispatch {
    Dispatch {
        request: request.id(),
        attempt: request.attempt_count + 1,
        key: server.key.clone(),
        address: server.address,
        wanted: request.arrival.wanted.clone(),
        adapter: adapter(request),
        priority: request.policy.priority,
        left: request.policy.deadline - now,
        mode: request.mode.clone(),
    }
}

/// Returns how another group can continue the answer of a lost stream.
pub(super) fn continuation(request: &Request) -> Mode {
    let offset = request.assembly.next();
    if offset == 0 {
        return Mode::Fresh;
    }
    Mode::Continue {
        offset,
        text: request.assembly.text().to_owned(),
    }
}

/// Returns whether any server runs a model.
pub(super) fn is_served(model: &Model, roster: &ServerList) -> bool {
    let runs = |s: &Server| matches!(&s.runs, Runs::Model(load) if load.model == *model);
    roster.servers.iter().any(runs)
}
