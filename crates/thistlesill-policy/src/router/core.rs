//! The router's state and its step.

mod admission;
mod attempts;
mod endings;
mod fatal;
mod presence;
mod sending;
mod time;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use thistlesill_core::chart::ChartError;
use thistlesill_core::message::Fatal;
use thistlesill_core::settings::Tree;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, Model, RequestId};

use super::request::Request;
use super::{GroupUse, RouterAction, RouterEvent, RouterOptions};
use crate::budget::RetryBudget;
use crate::charts::Charts;
use crate::claim::Claims;
use crate::drain::Drain;
use crate::pick::GroupLoad;
use crate::presence::View;
use crate::quarantine::Quarantine;
use crate::serving::{GroupKey, ServerList};
use crate::share::FairQueue;

/// Presence window while no branch sets one.
const PRESENCE: Millis = Millis::new(4_000);
/// Requests that a group may run while no branch says.
const SLOTS: u32 = 16;
/// Between two derivations of the roster while no sighting changes; they only
/// extend how long its servers count.
const DERIVE_GAP: Millis = Millis::new(250);
/// Between two messages about usage.
const USAGE_GAP: Millis = Millis::new(1_000);
/// Between two messages about the settings' head, beside the one that is sent
/// at once when a revision comes into force.
const HEAD_GAP: Millis = Millis::new(2_000);
/// Between two tellings of all verdicts on requests that end their groups, for routers that
/// missed some or started since.
const VERDICTS_GAP: Millis = Millis::new(1_000);
/// Verdicts told at once; 30 bytes each.
const MAX_VERDICTS: usize = 100;
/// How long a watcher that is silent is remembered.
const FORGET: Millis = Millis::new(60_000);
/// How long a request waits for a whole group before it is told that there
/// is none: about as long as presence takes to follow a planned change.
const PATIENCE: Millis = Millis::new(3_000);
/// A wait that is no wait: the time between two looks at the queue.
const HARDLY: Millis = Millis::new(100);
/// Weight of a new observation of how long an answer takes.
const SERVICE_LEARNING: f64 = 0.05;
/// Silence of a stream after which it is taken for broken.
const STREAM_SILENCE: Millis = Millis::new(8_000);

/// Figures of a router for operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision of the settings in force; 0 for none.
    pub revision: u64,
    /// Requests under way.
    pub under_way: usize,
    /// Requests waiting.
    pub waiting: usize,
    /// Groups and services that may take requests.
    pub servers: usize,
    /// Groups seen that are not whole.
    pub incomplete: usize,
    /// Pieces dropped since they belonged to another request, group, epoch
    /// or attempt, or came twice.
    pub dropped: u64,
    /// Attempts beyond a request's first.
    pub retries: u64,
    /// First attempts.
    pub firsts: u64,
    /// Claims granted.
    pub claims: u64,
    /// Transactions sent for claims and outcomes.
    pub transactions: u64,
    /// Steps that a state chart refused.
    pub refused_steps: u64,
    /// Whether the router takes new requests.
    pub ready: bool,
    /// Use of each group.
    pub groups: Vec<GroupUse>,
}

/// The router's state.
#[derive(Debug)]
pub struct RouterCore {
    options: RouterOptions,
    charts: Charts,
    rng: StdRng,
    tree: Option<Arc<Tree>>,
    models: BTreeSet<Model>,
    window: Millis,
    view: View,
    roster: ServerList,
    derived: Option<Millis>,
    /// The view's generation that the roster was derived from.
    derived_from: u64,
    loads: BTreeMap<GroupKey, GroupLoad>,
    requests: BTreeMap<RequestId, Request>,
    queue: FairQueue,
    claims: Claims,
    budget: RetryBudget,
    /// Requests that end their groups.
    quarantine: Quarantine<GroupKey>,
    /// What the other routers are to be told of these.
    untold: Fatal,
    told_verdicts: Millis,
    drain: Drain,
    told_usage: Millis,
    told_head: Millis,
    turn: u64,
    /// Time from the sending of a request to the end of its answer, in
    /// milliseconds, averaged.
    service: f64,
    status: Status,
    out: Vec<RouterAction>,
}

impl RouterCore {
    /// A router that knows nothing yet.
    ///
    /// # Errors
    ///
    /// A [`ChartError`] if a state chart does not pass its check.
    pub fn new(options: RouterOptions) -> Result<Self, ChartError> {
        let charts = Charts::load()?;
        Ok(Self {
            rng: StdRng::seed_from_u64(options.seed),
            tree: None,
            models: BTreeSet::new(),
            window: PRESENCE,
            view: View::new(),
            roster: ServerList::default(),
            derived: None,
            derived_from: 0,
            loads: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: FairQueue::new(options.waiting),
            claims: Claims::new(charts.claim.clone(), options.name.clone()),
            budget: RetryBudget::default(),
            quarantine: Quarantine::default(),
            untold: Fatal::default(),
            told_verdicts: Millis::ZERO,
            drain: Drain::new(charts.drain.clone(), options.balancer, options.stop),
            told_usage: Millis::ZERO,
            told_head: Millis::ZERO,
            turn: 0,
            service: 0.0,
            status: Status::default(),
            out: Vec::new(),
            charts,
            options,
        })
    }

    /// Whether the router has settings and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.tree.is_some() && self.drain.is_healthy()
    }

    /// Whether a request has no final answer yet.
    pub fn is_under_way(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// The settings in force.
    pub const fn tree(&self) -> Option<&Arc<Tree>> {
        self.tree.as_ref()
    }

    /// The groups seen.
    pub const fn roster(&self) -> &ServerList {
        &self.roster
    }

    /// Figures for operators.
    pub fn status(&self) -> Status {
        let (claims, transactions) = self.claims.counts();
        let groups = self.loads.iter().map(|(key, load)| GroupUse {
            group: key.group.clone(),
            running: load.running(),
            occupancy: load.occupancy(),
            limit: load.limit(),
        });
        Status {
            revision: self.tree.as_ref().map_or(0, |t| t.revision()),
            under_way: self.requests.len(),
            waiting: self.queue.len(),
            servers: self.roster.servers.len(),
            incomplete: self.roster.incomplete.len(),
            claims,
            transactions,
            ready: self.is_ready(),
            groups: groups.collect(),
            ..self.status.clone()
        }
    }

    /// Takes in an event at `now` and returns what to do.
    pub fn step(&mut self, event: RouterEvent, now: Millis) -> Vec<RouterAction> {
        match event {
            RouterEvent::Arrive(arrival) => self.arrive(*arrival, now),
            RouterEvent::Attempt {
                request,
                attempt,
                what,
            } => self.attempt(request, attempt, what, now),
            RouterEvent::CallerGone(request) => self.caller_gone(request, now),
            RouterEvent::Beat { from, beat, lag } => self.beat(&from, &beat, lag, now),
            RouterEvent::Digest { from, part, lag } => self.digest(&from, &part, lag, now),
            RouterEvent::Usage { from, usage } => self.queue.heard(&from, usage, now),
            RouterEvent::Fatal(told) => self.hear_fatal(&told, now),
            RouterEvent::Settings(tree) => self.settings(tree),
            RouterEvent::TxnDone { flight, result } => {
                let steps = self.claims.apply_result(flight, &result);
                self.claim_steps(steps, now);
            }
            RouterEvent::RowsRead { flight, rows } => {
                let steps = self.claims.apply_rows(flight, rows.as_ref());
                self.claim_steps(steps, now);
            }
            RouterEvent::Stop => {
                self.drain.stop(now);
                self.note(TimelineEvent::Stopping);
            }
            RouterEvent::Tick => self.tick(now),
        }
        self.tell_fatal();
        std::mem::take(&mut self.out)
    }

    fn note(&mut self, what: TimelineEvent) {
        self.out.push(RouterAction::Note(what));
    }
}

enum Lateness {
    Fail(ErrorKind),
    Silent,
    TooLate,
}

fn request_exposed(requests: &BTreeMap<RequestId, Request>, id: RequestId) -> bool {
    requests.get(&id).is_some_and(|r| r.exposed)
}
