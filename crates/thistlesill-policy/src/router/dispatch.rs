//! Which server can take a request, and how its next attempt is made.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use thistlesill_core::{Adapter, HallId, Millis, Model};

use super::request::Request;
use super::{Dispatch, Mode, Wanted};
use crate::pick::{Candidate, GroupLoad, PickContext, Rule, pick};
use crate::serving::{GroupKey, Runs, Server, ServerList};

/// What came of looking for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Match {
    /// The position of the server in the roster.
    Found(usize),
    /// All that could take it are at their limit.
    Busy,
    /// None could take it.
    Nothing,
    /// It would be answered too late.
    TooLate,
}

/// What a pick needs beside the request.
pub(super) struct Choice<'a> {
    pub(super) roster: &'a ServerList,
    pub(super) loads: &'a BTreeMap<GroupKey, GroupLoad>,
    pub(super) hall: &'a HallId,
    pub(super) rule: Rule,
    pub(super) turn: u64,
    pub(super) now: Millis,
}

impl Choice<'_> {
    /// Finds a server for a request.
    pub(super) fn find(&self, request: &Request, rng: &mut StdRng) -> Match {
        let able: Vec<usize> = (0..self.roster.servers.len())
            .filter(|i| self.is_able(request, &self.roster.servers[*i]))
            .collect();
        let open: Vec<Candidate<'_>> = able.iter().filter_map(|i| self.candidate(*i)).collect();
        let context = PickContext {
            rule: self.rule,
            prefix: request.arrival.prefix,
            now: self.now,
            turn: self.turn,
        };
        match pick(&self.prefer_sound(&open), &context, rng) {
            Some(index) => Match::Found(index),
            None if able.is_empty() => Match::Nothing,
            None => Match::Busy,
        }
    }

    /// Whether any server could take a request if it had room.
    pub(super) fn has_able(&self, request: &Request) -> bool {
        let mut servers = self.roster.servers.iter();
        servers.any(|s| self.is_able(request, s))
    }

    fn is_able(&self, request: &Request, server: &Server) -> bool {
        if server.until <= self.now {
            return false;
        }
        if request.pinned.as_ref().is_some_and(|p| *p != server.key) {
            return false;
        }
        // The second half of an answer must come from what wrote the first.
        let continues = matches!(request.mode, Mode::Continue { .. });
        if continues && request.runs.as_ref() != Some(&server.runs) {
            return false;
        }
        match (&request.arrival.wanted, &server.runs) {
            (Wanted::Service(name), Runs::Service(s)) => name == s,
            (Wanted::Model(model), Runs::Model(load)) => {
                let adapter = request.terms.values.adapter.as_ref();
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
            near: server.hall == *self.hall,
        })
    }

    /// Passes over servers that just failed, unless there are no others.
    fn prefer_sound<'a>(&self, open: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
        let sound = open.iter().filter(|c| !c.load.is_suspect(self.now));
        let sound: Vec<Candidate<'a>> = sound.copied().collect();
        if sound.is_empty() {
            open.to_vec()
        } else {
            sound
        }
    }
}

/// The adapter that goes with a dispatch.
fn adapter(request: &Request) -> Option<Adapter> {
    match request.arrival.wanted {
        Wanted::Model(_) => request.terms.values.adapter.clone(),
        Wanted::Service(_) => None,
    }
}

/// The next attempt of a request at a server.
pub(super) fn dispatch(request: &Request, server: &Server, now: Millis) -> Dispatch {
    Dispatch {
        request: request.id(),
        attempt: request.tries + 1,
        key: server.key.clone(),
        address: server.address,
        wanted: request.arrival.wanted.clone(),
        adapter: adapter(request),
        priority: request.terms.priority,
        left: request.terms.deadline - now,
        mode: request.mode.clone(),
    }
}

/// How the answer of a lost stream can go on elsewhere.
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

/// Whether any branch or server knows a model.
pub(super) fn is_served(model: &Model, roster: &ServerList) -> bool {
    let runs = |s: &Server| matches!(&s.runs, Runs::Model(load) if load.model == *model);
    roster.servers.iter().any(runs)
}
