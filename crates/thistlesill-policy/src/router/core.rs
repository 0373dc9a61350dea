//! The router's state and its step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use thistlesill_core::chart::ChartError;
use thistlesill_core::message::{Beat, Digest};
use thistlesill_core::row::Outcome;
use thistlesill_core::settings::{Context, Tree, Values};
use thistlesill_core::timeline::Happening;
use thistlesill_core::{CustomerId, ErrorKind, Millis, Model, NodeId, RequestId};

use super::dispatch::{self, Choice, Match};
use super::request::{Attempt, Request, Terms};
use super::stream::Placed;
use super::{
    Arrival, AttemptEvent, Ending, GroupUse, Mode, RouterAction, RouterEvent, RouterOptions, Wanted,
};
use crate::budget::{RetryBudget, backoff};
use crate::charts::{Charts, DrainState, RequestEvent, RequestState};
use crate::claim::{ClaimAsk, ClaimBook, ClaimStep, Verdict};
use crate::drain::Drain;
use crate::pick::GroupLoad;
use crate::presence::{Heard, View};
use crate::serving::{GroupKey, Roster, Server, derive};
use crate::share::{Admission, FairQueue};

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
    roster: Roster,
    derived: Option<Millis>,
    /// The view's generation that the roster was derived from.
    derived_from: u64,
    loads: BTreeMap<GroupKey, GroupLoad>,
    requests: BTreeMap<RequestId, Request>,
    queue: FairQueue,
    claims: ClaimBook,
    budget: RetryBudget,
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
            roster: Roster::default(),
            derived: None,
            derived_from: 0,
            loads: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: FairQueue::new(options.waiting),
            claims: ClaimBook::new(charts.claim.clone(), options.name.clone()),
            budget: RetryBudget::default(),
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
        self.tree.is_some() && self.drain.healthy()
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
    pub const fn roster(&self) -> &Roster {
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
            RouterEvent::Settings(tree) => self.settings(tree),
            RouterEvent::TxnDone { flight, result } => {
                let steps = self.claims.done(flight, &result);
                self.claim_steps(steps, now);
            }
            RouterEvent::RowsRead { flight, rows } => {
                let steps = self.claims.rows(flight, rows.as_ref());
                self.claim_steps(steps, now);
            }
            RouterEvent::Stop => {
                self.drain.stop(now);
                self.note(Happening::Stopping);
            }
            RouterEvent::Tick => self.tick(now),
        }
        std::mem::take(&mut self.out)
    }

    fn note(&mut self, what: Happening) {
        self.out.push(RouterAction::Note(what));
    }

    // Settings and presence.

    fn settings(&mut self, tree: Arc<Tree>) {
        if self
            .tree
            .as_ref()
            .is_some_and(|t| !t.yields_to(tree.revision()))
        {
            return;
        }
        let context = Context::default()
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        let values = tree.resolve(&context);
        self.window = values.presence_ms.map_or(PRESENCE, Millis::new);
        let models = tree.branches().values().filter_map(|b| b.model.clone());
        self.models = models.collect();
        let revision = tree.revision();
        self.tree = Some(tree);
        self.refresh_slots();
        self.note(Happening::SettingsInForce { revision });
        self.out.push(RouterAction::TellHead(revision));
    }

    fn beat(&mut self, from: &NodeId, beat: &Beat, lag: i64, now: Millis) {
        match self.view.beat(from, beat, lag, now) {
            Heard::Stale => return,
            Heard::AskDigest => self.out.push(RouterAction::AskDigest(from.clone())),
            Heard::Fine => {}
        }
        for gauge in &beat.gauges {
            let age = self.view.gauge_age(from, gauge, now);
            let servers = self.roster.servers.iter();
            let Some(server) = servers.into_iter().find(|s| *s.leader() == gauge.instance) else {
                continue;
            };
            if let Some(load) = self.loads.get_mut(&server.key) {
                load.report(gauge.pressure, age, now);
                load.learn_prefixes(&gauge.cache, now);
            }
        }
        if !beat.changed.is_empty() {
            self.derive(now);
        }
        self.pump(now);
    }

    fn digest(&mut self, from: &NodeId, part: &Digest, lag: i64, now: Millis) {
        if self.view.digest(from, part, lag, now) == Heard::Fine {
            self.derive(now);
            self.pump(now);
        }
    }

    fn derive(&mut self, now: Millis) {
        let roster = derive(&self.view, now, self.window);
        let old: BTreeSet<GroupKey> = self.roster.servers.iter().map(|s| s.key.clone()).collect();
        let new: BTreeSet<GroupKey> = roster.servers.iter().map(|s| s.key.clone()).collect();
        for key in new.difference(&old) {
            self.note(Happening::GroupComplete {
                group: key.group.clone(),
                epoch: key.epoch,
            });
        }
        for key in old.difference(&new) {
            self.note(Happening::GroupBroken {
                group: key.group.clone(),
                epoch: key.epoch,
            });
        }
        for server in &roster.servers {
            if !self.loads.contains_key(&server.key) {
                let slots = self.slots_of(server);
                self.loads.insert(server.key.clone(), GroupLoad::new(slots));
            }
        }
        self.loads
            .retain(|key, load| new.contains(key) || load.running() > 0);
        self.roster = roster;
        self.derived = Some(now);
        self.derived_from = self.view.generation();
    }

    /// Requests that a server may run at a time, by the settings of its
    /// place.
    fn slots_of(&self, server: &Server) -> u32 {
        let Some(tree) = &self.tree else { return SLOTS };
        let place = Context {
            region: Some(self.options.region.clone()),
            hall: Some(server.hall.clone()),
            domain: Some(server.domain.clone()),
            generation: Some(server.generation.clone()),
            customer: None,
        };
        tree.resolve(&place).slots.unwrap_or(SLOTS)
    }

    fn refresh_slots(&mut self) {
        let servers = self.roster.servers.iter();
        let slots: Vec<(GroupKey, u32)> =
            servers.map(|s| (s.key.clone(), self.slots_of(s))).collect();
        for (key, slots) in slots {
            if let Some(load) = self.loads.get_mut(&key) {
                load.set_slots(slots);
            }
        }
    }

    // Arrival and admission.

    fn arrive(&mut self, arrival: Arrival, now: Millis) {
        let id = arrival.request;
        self.note(Happening::Arrived {
            request: id,
            customer: arrival.customer.clone(),
        });
        let Some(tree) = self.tree.clone().filter(|_| self.drain.accepts()) else {
            self.fail_now(id, ErrorKind::NotReady, None);
            return;
        };
        if self.requests.contains_key(&id) {
            self.fail_now(id, ErrorKind::BadRequest, None);
            return;
        }
        let values = self.customer_values(&tree, &arrival.customer);
        if let Some(kind) = self.objection(&arrival, &values) {
            self.fail_now(id, kind, None);
            return;
        }
        let terms = Terms::new(&arrival, values, now);
        let start = self.charts.request.start();
        let request = Request::new(arrival, terms, start, now);
        if request.arrival.key.is_some() && request.arrival.resume.is_none() {
            self.claim(request, now);
        } else {
            self.requests.insert(id, request);
            self.enqueue(id, now);
        }
    }

    fn customer_values(&self, tree: &Tree, customer: &CustomerId) -> Values {
        let context = Context::customer(customer.clone())
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        tree.resolve(&context)
    }

    /// What is wrong with a request before anything else is looked at.
    fn objection(&self, arrival: &Arrival, values: &Values) -> Option<ErrorKind> {
        if let Wanted::Model(model) = &arrival.wanted {
            let known = self.models.contains(model) || dispatch::is_served(model, &self.roster);
            if !known {
                return Some(ErrorKind::UnknownModel);
            }
        }
        let once = arrival.repeatable == Some(false) || values.repeatable == Some(false);
        let demanded = values.key_required.unwrap_or(false);
        let resumed = arrival.resume.is_some();
        (once && demanded && arrival.key.is_none() && !resumed).then_some(ErrorKind::KeyRequired)
    }

    fn claim(&mut self, mut request: Request, now: Millis) {
        let id = request.id();
        let ask = ClaimAsk {
            request: id,
            customer: request.arrival.customer.clone(),
            key: request.arrival.key.clone().unwrap_or_default(),
            body: request.arrival.body.clone(),
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Claim);
        self.requests.insert(id, request);
        if self.count_refusal(stepped.is_ok()) {
            let steps = self.claims.ask(ask, now);
            self.claim_steps(steps, now);
        }
    }

    fn claim_steps(&mut self, steps: Vec<ClaimStep>, now: Millis) {
        for step in steps {
            match step {
                ClaimStep::Send { flight, txn } => {
                    self.out.push(RouterAction::SendTxn { flight, txn });
                }
                ClaimStep::Read { flight, keys } => {
                    self.out.push(RouterAction::ReadRows { flight, keys });
                }
                ClaimStep::Decide { request, verdict } => self.decided(request, verdict, now),
            }
        }
    }

    fn decided(&mut self, id: RequestId, verdict: Verdict, now: Millis) {
        match verdict {
            Verdict::Granted => {
                let Some(request) = self.requests.get_mut(&id) else {
                    // Its caller went away while the claim was under way.
                    self.claims.release(id);
                    return;
                };
                request.claimed = true;
                self.note(Happening::Claimed { request: id });
                self.enqueue(id, now);
            }
            Verdict::Held => self.fail(id, ErrorKind::KeyHeld, None, now),
            Verdict::Reused => self.fail(id, ErrorKind::KeyReused, None, now),
            Verdict::Down => self.fail(id, ErrorKind::ClaimDown, None, now),
            Verdict::Recorded(outcome) => {
                self.finish(id, Ending::Recorded(outcome), now);
            }
        }
    }

    fn enqueue(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Queue);
        let entry = request.waiting();
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        let wait = self.queue.expected_wait(&entry.customer);
        if wait > Millis::ZERO && now + wait + self.service_time() > entry.deadline {
            self.fail(id, ErrorKind::Overloaded, Some(wait), now);
            return;
        }
        match self.queue.push(entry) {
            Admission::Admitted => {}
            Admission::Displaced(other) => {
                let after = Some(self.come_back());
                self.fail(other, ErrorKind::OverShare, after, now);
            }
            Admission::OverShare => {
                let after = Some(self.come_back());
                self.fail(id, ErrorKind::OverShare, after, now);
            }
            Admission::Full => {
                let after = Some(self.come_back());
                self.fail(id, ErrorKind::Overloaded, after, now);
            }
        }
        self.pump(now);
    }

    /// How long an answer takes from its sending to its end, on average.
    const fn service_time(&self) -> Millis {
        Millis::new(self.service as u64)
    }

    /// When a caller that is turned away should come back: about as long as
    /// the queue takes to empty, by the requests that end now.
    fn come_back(&self) -> Millis {
        let room: u32 = self.loads.values().map(GroupLoad::limit).sum();
        let rounds = self.queue.len() as u64 / u64::from(room.max(1)) + 1;
        Millis::new((rounds * 500).min(10_000))
    }

    // Sending.

    /// Sends what can be sent, in the order of fair shares.
    fn pump(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        while self.send_one(now) {}
    }

    fn send_one(&mut self, now: Millis) -> bool {
        for customer in self.queue.order(now) {
            let line: Vec<RequestId> = self.queue.line(&customer).collect();
            let mut busy = false;
            for id in line {
                if busy {
                    break;
                }
                match self.match_request(id, now) {
                    Some(Match::Found(index)) => {
                        self.send(id, index, now);
                        return true;
                    }
                    Some(Match::TooLate) => {
                        self.fail(id, ErrorKind::DeadlinePassed, None, now);
                    }
                    // Others of the same customer would jump the line.
                    Some(Match::Busy) => busy = true,
                    Some(Match::Nothing) | None => {}
                }
            }
        }
        false
    }

    fn match_request(&mut self, id: RequestId, now: Millis) -> Option<Match> {
        if self.requests.get(&id)?.not_before > now {
            return None;
        }
        self.unpin_lost(id);
        let request = self.requests.get(&id)?;
        if self.is_hopeless(request, now) {
            return Some(Match::TooLate);
        }
        let choice = Choice {
            roster: &self.roster,
            loads: &self.loads,
            hall: &self.options.hall,
            rule: self.options.rule,
            turn: self.turn,
            now,
        };
        Some(choice.find(request, &mut self.rng))
    }

    /// Whether a request that had to wait would be answered too late even if
    /// it was sent now: others that wait can still make it.
    fn is_hopeless(&self, request: &Request, now: Millis) -> bool {
        let waited = now - request.arrived.max(request.not_before) > HARDLY;
        waited && !request.exposed && now + self.service_time() > request.terms.deadline
    }

    /// Frees a repeatable request from a group that serves no more.
    fn unpin_lost(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = &request.pinned else { return };
        let lost = !self.roster.servers.iter().any(|s| s.key == *key);
        if lost && request.terms.repeatable && request.arrival.resume.is_none() {
            self.go_elsewhere(id);
        }
    }

    fn send(&mut self, id: RequestId, index: usize, now: Millis) {
        self.turn += 1;
        let server = self.roster.servers[index].clone();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Send);
        let customer = request.arrival.customer.clone();
        let plan = dispatch::dispatch(request, &server, now);
        request.tries += 1;
        if request.tries == 1 {
            self.budget.earn(request.terms.retry_percent);
            self.status.firsts += 1;
        }
        request.assembly.restart();
        request.runs = Some(server.runs.clone());
        let prefix = request.arrival.prefix;
        let ahead = self.loads.get(&server.key).map_or(0, GroupLoad::occupancy);
        request.attempt = Some(Attempt {
            key: server.key.clone(),
            sent: now,
            heard: now,
            ahead,
            began: false,
            end: None,
        });
        let attempt = request.tries;
        self.queue.remove(&customer, id);
        self.count_refusal(stepped.is_ok());
        self.queue.started(&customer, now);
        if let Some(load) = self.loads.get_mut(&server.key) {
            load.sent(prefix, now);
        }
        self.note(Happening::Sent {
            request: id,
            group: server.key.group.clone(),
            epoch: server.key.epoch,
            attempt,
        });
        self.out.push(RouterAction::Send(Box::new(plan)));
    }

    // What becomes of attempts.

    fn attempt(&mut self, id: RequestId, attempt: u32, what: AttemptEvent, now: Millis) {
        let current = self
            .requests
            .get(&id)
            .is_some_and(|r| r.tries == attempt && r.attempt.is_some());
        if !current {
            self.status.dropped += 1;
            return;
        }
        match what {
            AttemptEvent::Unsent | AttemptEvent::Refused => self.unsent(id, now),
            AttemptEvent::Denied => {
                self.end_attempt(id, now);
                self.fail(id, ErrorKind::TargetDenied, None, now);
            }
            AttemptEvent::Forgotten => self.forgotten(id, now),
            AttemptEvent::Piece {
                request,
                key,
                offset,
                text,
            } => {
                if request == id && self.is_answering(id, &key) {
                    self.piece(id, offset, text, now);
                } else {
                    self.status.dropped += 1;
                }
            }
            AttemptEvent::End {
                request,
                key,
                count,
                reason,
            } => {
                if request == id && self.is_answering(id, &key) {
                    self.ending(id, count, reason, now);
                } else {
                    self.status.dropped += 1;
                }
            }
            AttemptEvent::Whole { status } => self.whole(id, status, now),
            AttemptEvent::Broken => self.broken(id, ErrorKind::SentUnknown, now),
            AttemptEvent::Garbage => self.broken(id, ErrorKind::BadTarget, now),
        }
    }

    fn is_answering(&self, id: RequestId, key: &GroupKey) -> bool {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        attempt.is_some_and(|a| a.key == *key)
    }

    fn piece(&mut self, id: RequestId, offset: u32, text: Arc<str>, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Token);
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        attempt.heard = now;
        let key = attempt.key.clone();
        let first = !std::mem::replace(&mut attempt.began, true);
        let took = now - attempt.sent;
        let (ahead, wanted) = (attempt.ahead, request.terms.first_token);
        let placed = request.assembly.place(offset, text);
        let end = attempt.end.clone();
        self.count_refusal(stepped.is_ok());
        if first {
            if let Some(load) = self.loads.get_mut(&key) {
                load.first_token(took, ahead, wanted, now);
            }
            if offset == 0 {
                self.note(Happening::FirstToken { request: id });
            }
        }
        match placed {
            Placed::Ready(pieces) => self.deliver(id, &key, pieces),
            Placed::Held => {}
            Placed::Doubled => self.status.dropped += 1,
            Placed::Gap => {
                self.broken(id, ErrorKind::StreamLost, now);
                return;
            }
        }
        if let Some((count, reason)) = end {
            self.ending(id, count, reason, now);
        }
    }

    fn deliver(&mut self, id: RequestId, key: &GroupKey, pieces: Vec<(u32, Arc<str>)>) {
        for (offset, text) in pieces {
            self.out.push(RouterAction::Deliver {
                request: id,
                key: key.clone(),
                offset,
                text,
            });
        }
    }

    /// The end was announced: the answer is whole once all pieces are here.
    fn ending(&mut self, id: RequestId, count: u32, reason: Arc<str>, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let next = request.assembly.next();
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        attempt.heard = now;
        if next < count {
            attempt.end = Some((count, reason));
            return;
        }
        if next > count {
            // The group ends before what was delivered: not our answer.
            self.broken(id, ErrorKind::BadTarget, now);
            return;
        }
        let took = (now - attempt.sent).get() as f64;
        self.service += SERVICE_LEARNING * (took - self.service);
        let ending = Ending::Streamed {
            text: request.assembly.text().to_owned(),
            count,
            reason,
            key: attempt.key.clone(),
        };
        self.end_attempt(id, now);
        self.finish(id, ending, now);
    }

    fn whole(&mut self, id: RequestId, _status: u16, now: Millis) {
        self.end_attempt(id, now);
        self.finish(id, Ending::Whole, now);
    }

    /// The attempt provably did not run.
    fn unsent(&mut self, id: RequestId, now: Millis) {
        self.fail_attempt(id, now);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pinned = request.pinned.is_some();
        let began = request.assembly.next() > 0;
        if pinned && request.terms.repeatable && request.arrival.resume.is_none() {
            self.go_elsewhere(id);
        }
        let kind = if began || request_exposed(&self.requests, id) {
            ErrorKind::StreamLost
        } else {
            ErrorKind::TargetRefused
        };
        self.retry_or_fail(id, kind, now);
    }

    fn forgotten(&mut self, id: RequestId, now: Millis) {
        self.fail_attempt(id, now);
        let request = self.requests.get(&id);
        let can_rerun = request.is_some_and(|r| r.terms.repeatable && r.arrival.resume.is_none());
        if !can_rerun {
            self.fail(id, ErrorKind::StreamLost, None, now);
            return;
        }
        self.go_elsewhere(id);
        self.retry_or_fail(id, ErrorKind::StreamLost, now);
    }

    /// The connection was lost after sending began: the request may run.
    fn broken(&mut self, id: RequestId, kind: ErrorKind, now: Millis) {
        self.fail_attempt(id, now);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.exposed = true;
        let streamed = matches!(request.arrival.wanted, Wanted::Model(_));
        if !streamed && !request.terms.repeatable {
            self.fail(id, kind, None, now);
            return;
        }
        if streamed {
            // The group may still run it: ask it for the rest first.
            let offset = request.assembly.next();
            request.mode = Mode::Resume { offset };
            let last = request.attempt_key.take();
            request.pinned = last;
        }
        self.retry_or_fail(id, kind, now);
    }

    fn go_elsewhere(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.pinned = None;
            request.mode = dispatch::continuation(request);
        }
    }

    fn retry_or_fail(&mut self, id: RequestId, kind: ErrorKind, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.tries >= request.terms.attempts {
            self.fail(id, kind, None, now);
            return;
        }
        if !self.budget.spend() {
            let spent = if request.exposed {
                kind
            } else {
                ErrorKind::RetryBudget
            };
            self.fail(id, spent, None, now);
            return;
        }
        self.status.retries += 1;
        request.not_before = now + backoff(request.tries + 1, &mut self.rng);
        let stepped = request.apply(&self.charts.request, RequestEvent::Requeue);
        let entry = request.waiting();
        if self.count_refusal(stepped.is_ok()) {
            self.queue.push_back(entry);
        }
    }

    /// Ends an attempt that failed, and passes its group over for a while.
    fn fail_attempt(&mut self, id: RequestId, now: Millis) {
        let Some(key) = self.end_attempt(id, now) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&key) {
            load.failed(now);
        }
        self.note(Happening::AttemptFailed {
            request: id,
            group: key.group,
        });
    }

    fn end_attempt(&mut self, id: RequestId, now: Millis) -> Option<GroupKey> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        request.attempt_key = Some(attempt.key.clone());
        self.queue.ended(&request.arrival.customer);
        if let Some(load) = self.loads.get_mut(&attempt.key) {
            load.ended(now);
        }
        Some(attempt.key)
    }

    // Endings.

    fn finish(&mut self, id: RequestId, ending: Ending, now: Millis) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Finish);
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        let tokens = match &ending {
            Ending::Streamed { count, .. } => *count,
            Ending::Whole | Ending::Recorded(_) => 0,
        };
        self.note(Happening::Completed {
            request: id,
            tokens,
        });
        let ending = Box::new(ending);
        self.out.push(RouterAction::Finish {
            request: id,
            ending,
        });
        self.pump(now);
    }

    /// Records the answer of a claimed request; the daemon calls this with
    /// the answer as the caller got it.
    pub fn record(&mut self, id: RequestId, outcome: Outcome) {
        self.claims.finish(id, outcome);
    }

    fn fail(&mut self, id: RequestId, kind: ErrorKind, after: Option<Millis>, now: Millis) {
        self.end_attempt(id, now);
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        self.queue.remove(&request.arrival.customer, id);
        let stepped = request.apply(&self.charts.request, RequestEvent::Fail);
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        if request.claimed && request.exposed {
            self.claims.abandon(id);
        } else if request.claimed {
            self.claims.release(id);
        }
        self.fail_now(id, kind, after);
    }

    fn fail_now(&mut self, id: RequestId, kind: ErrorKind, after: Option<Millis>) {
        self.note(Happening::Failed { request: id, kind });
        self.out.push(RouterAction::Fail {
            request: id,
            kind,
            after,
        });
    }

    fn caller_gone(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let sent = matches!(request.state, RequestState::Sent | RequestState::Streaming);
        let (attempt, claimed, state) = (request.tries, request.claimed, request.state);
        let exposed = sent || request.exposed;
        self.note(Happening::CallerGone { request: id });
        if sent && claimed {
            // It runs once only, so it runs to its end, and its outcome is
            // recorded for the caller that asks again.
            return;
        }
        if state == RequestState::Claiming {
            self.claims.withdraw(id);
        }
        if sent {
            self.out.push(RouterAction::Cancel {
                request: id,
                attempt,
            });
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.exposed = exposed;
        }
        self.drop_silently(id, now);
        self.pump(now);
    }

    /// Ends a request whose caller is gone: there is nobody to answer.
    fn drop_silently(&mut self, id: RequestId, now: Millis) {
        self.end_attempt(id, now);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.queue.remove(&request.arrival.customer, id);
        if request.claimed && request.exposed {
            self.claims.abandon(id);
        } else if request.claimed {
            self.claims.release(id);
        }
    }

    // Time.

    fn tick(&mut self, now: Millis) {
        let changed = self.derived_from != self.view.generation();
        if changed || self.derived.is_none_or(|t| now - t >= DERIVE_GAP) {
            self.derive(now);
        }
        let steps = self.claims.tick(now);
        self.claim_steps(steps, now);
        self.expire(now);
        self.pump(now);
        self.tell(now);
        self.view.forget(now, FORGET);
        let open = self.requests.len() + usize::from(!self.claims.is_settled());
        let before = self.drain.state();
        if self.drain.tick(now, open) == DrainState::Done && before != DrainState::Done {
            self.out.push(RouterAction::Exit);
        }
    }

    fn tell(&mut self, now: Millis) {
        if now - self.told_usage >= USAGE_GAP {
            self.told_usage = now;
            let usage = self.queue.usage();
            self.out.push(RouterAction::TellUsage(usage));
        }
        let Some(tree) = &self.tree else { return };
        if now - self.told_head >= HEAD_GAP {
            self.told_head = now;
            self.out.push(RouterAction::TellHead(tree.revision()));
        }
    }

    /// Ends what is too late; each gets its answer at once.
    fn expire(&mut self, now: Millis) {
        let mut late = Vec::new();
        for (id, request) in &self.requests {
            if let Some(verdict) = self.lateness(request, now) {
                late.push((*id, verdict));
            }
        }
        for (id, verdict) in late {
            match verdict {
                Lateness::Fail(kind) => self.fail(id, kind, None, now),
                Lateness::Silent => {
                    self.cancel(id);
                    self.broken(id, ErrorKind::StreamLost, now);
                }
                Lateness::TooLate => {
                    self.cancel(id);
                    self.expose(id);
                    self.fail(id, ErrorKind::LateAnswer, None, now);
                }
            }
        }
    }

    fn cancel(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.claimed {
            let attempt = request.tries;
            self.out.push(RouterAction::Cancel {
                request: id,
                attempt,
            });
        }
    }

    fn expose(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.exposed = true;
        }
    }

    fn lateness(&self, request: &Request, now: Millis) -> Option<Lateness> {
        let past = now >= request.terms.deadline;
        match request.state {
            RequestState::Queued => {
                let lost = request.exposed;
                if past && !lost {
                    return Some(Lateness::Fail(ErrorKind::DeadlinePassed));
                }
                if past {
                    return Some(Lateness::Fail(ErrorKind::StreamLost));
                }
                let waited = now - request.arrived.max(request.not_before);
                if waited < PATIENCE || self.has_server(request, now) {
                    return None;
                }
                Some(Lateness::Fail(if lost {
                    ErrorKind::StreamLost
                } else {
                    ErrorKind::NoGroup
                }))
            }
            RequestState::Sent if past => Some(Lateness::TooLate),
            RequestState::Streaming => {
                let heard = request.attempt.as_ref().map_or(now, |a| a.heard);
                (now - heard >= STREAM_SILENCE).then_some(Lateness::Silent)
            }
            _ => None,
        }
    }

    fn has_server(&self, request: &Request, now: Millis) -> bool {
        let choice = Choice {
            roster: &self.roster,
            loads: &self.loads,
            hall: &self.options.hall,
            rule: self.options.rule,
            turn: self.turn,
            now,
        };
        choice.has_able(request)
    }

    /// Counts a step that a chart refused; returns whether it was accepted.
    fn count_refusal(&mut self, accepted: bool) -> bool {
        self.status.refused_steps += u64::from(!accepted);
        accepted
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
