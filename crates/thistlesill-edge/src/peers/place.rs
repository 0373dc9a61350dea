//! Decides where a request goes: the owner of the request's scope places it.
//!
//! A daemon asks the owner with one datagram and has the reply in less than a millisecond. Without
//! a reply in time it decides by itself, from the load that it last received; the request is never
//! lost, and at worst goes to a busier group.

mod serve;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{HallId, Millis, NodeId, rendezvous};
use thistlesill_policy::edge::limit::Clearance;
use thistlesill_policy::edge::load::{Knowledge, Work};
use thistlesill_policy::edge::owner::{OwnerHealth, Scope};

pub(crate) use self::serve::{answer, answer_ranked};
use super::packet::{
    Counts, Packet, Permit, PlaceReply, PlaceRequest, Placement, RankedPlaceRequest, Totals,
};
use super::questions::{self, PendingReplies, ReplyKind};
use super::{Reach, link};
use crate::choice::{Choice, Overload, Pick, PlacedBy, TargetQuery};
use crate::leaving;
use crate::limits;
use crate::ranking::{self, Ranking};
use crate::state::Edge;

/// Time after its start until a daemon has received the requests in progress of its peers.
const LEARNING_PERIOD: Millis = Millis::new(1_200);
/// Time between two rounds in which an owner sends the work at its targets.
const TOTALS_INTERVAL: Duration = Duration::from_millis(250);
/// How long received totals stay valid: two rounds to the own data centre.
const TOTALS_VALIDITY: Millis = Millis::new(1_100);
/// One in this many rounds also goes to the own data centre, where the totals are only needed when
/// the owner does not answer.
const NEAR_TOTALS_ROUNDS: u32 = 2;
/// Targets whose bucket owners may deny a request before the request is refused: each may cost the
/// time of a round trip.
const MAX_DENIALS: usize = 4;
/// Targets in one datagram.
const MAX_TOTALS_PER_DATAGRAM: usize = 100;

/// Unanswered requests to owners, and the owner of each scope.
#[derive(Debug)]
pub(crate) struct PlacementState {
    questions: PendingReplies<OwnerReply>,
    owner_health: OwnerHealth,
    /// Owners of scopes, computed at most one round ago.
    owners: HashMap<Scope, Option<NodeId>>,
}

/// What an owner answers.
#[derive(Debug)]
struct OwnerReply {
    placement: Placement,
    ranking: Option<Ranking>,
}

/// The target that was chosen for a request, and the decision on its admission if one was due.
struct Placed {
    choice: Choice,
    permit: Permit,
    by: PlacedBy,
    ranking: Option<Ranking>,
    /// Predicted time of the first event at the chosen target, in milliseconds, if the observed one
    /// is to be compared with it.
    predicted: Option<f64>,
}

/// Returns whether this daemon may own scopes.
pub(crate) fn may_own(edge: &Edge, now: Millis) -> bool {
    edge.stopping.get().is_none() && now - edge.started >= LEARNING_PERIOD
}

/// Returns the owner of a scope, if one is known.
pub(crate) fn owner(edge: &Edge, scope: &Scope) -> Option<NodeId> {
    if let Some(known) = edge.placing.borrow().owners.get(scope) {
        return known.clone();
    }
    let now = edge.now();
    let settings = edge.settings();
    let peers = edge.peers.borrow();
    let own = settings.hall == scope.hall && may_own(edge, now);
    let me = own.then_some(&settings.name);
    let owner = scope.owner(peers.owners(&scope.hall, &settings.hall, now).chain(me));
    let owner = owner.cloned();
    let owners = &mut edge.placing.borrow_mut().owners;
    owners.insert(scope.clone(), owner.clone());
    owner
}

/// Returns the owner that a scope would have among all live daemons of all data centres.
pub(crate) fn owner_anywhere(edge: &Edge, scope: &Scope) -> Option<NodeId> {
    let now = edge.now();
    let settings = edge.settings();
    let peers = edge.peers.borrow();
    let me = may_own(edge, now).then_some(&settings.name);
    let owner = scope.owner(peers.all_owners(&settings.hall, now).chain(me));
    owner.cloned()
}

/// Picks a target for a request, or has the owner of its scope pick one. A target with a limit is
/// picked only with a grant of its bucket owner.
pub(crate) async fn pick(edge: &Edge, mut asking: TargetQuery<'_>) -> Pick {
    let mut by = PlacedBy::Alone;
    let mut ranking = None;
    for _ in 0..MAX_DENIALS {
        let asked = edge.now();
        let placed = place(edge, &asking).await;
        by = placed.by;
        if placed.ranking.is_some() {
            ranking = placed.ranking;
            asking = asking.decided();
        }
        let clearance = match &placed.choice {
            Choice::Target(target) => {
                limits::obtain_clearance(edge, target, placed.permit, asked).await
            }
            Choice::Overloaded(_) | Choice::Unavailable(_) | Choice::NoTarget => {
                Some(Clearance::Unlimited)
            }
        };
        if let Some(clearance) = clearance {
            metrics::counter!("thistlesill_edge_placed_total", "by" => by.name()).increment(1);
            return Pick {
                choice: placed.choice,
                by,
                clearance,
                ranking,
                predicted: placed.predicted,
            };
        }
    }
    Pick {
        choice: Choice::Unavailable(Millis::ZERO),
        by,
        clearance: Clearance::Unlimited,
        ranking,
        predicted: None,
    }
}

async fn place(edge: &Edge, asking: &TargetQuery<'_>) -> Placed {
    let settings = edge.settings();
    let scope = Scope {
        hall: placing_hall(edge, asking),
        service: asking.service.name.clone(),
        model: asking.served_model().cloned(),
    };
    let owner = owner(edge, &scope);
    if owner.as_ref() == Some(&settings.name) {
        return place_here(edge, &scope, asking, PlacedBy::Itself);
    }
    let Some(owner) = owner else {
        return place_here(edge, &scope, asking, PlacedBy::Alone);
    };
    let Some(reply) = ask_owner(edge, &owner, &scope, asking).await else {
        return place_here(edge, &scope, asking, PlacedBy::Alone);
    };
    if let Some((choice, permit)) = choice_of_owner(edge, &owner, &scope, &reply) {
        return Placed {
            choice,
            permit,
            by: PlacedBy::Owner,
            ranking: reply.ranking,
            predicted: reply.ranking.and_then(|r| r.measured_prediction()),
        };
    }
    if reply.ranking.is_none() {
        return place_here(edge, &scope, asking, PlacedBy::Alone);
    }
    // The request is admitted, but the owner's target is unknown here or wants no request now.
    Placed {
        ranking: reply.ranking,
        ..place_here(edge, &scope, &asking.clone().decided(), PlacedBy::Alone)
    }
}

/// Picks a target, and decides on the admission of the request if that is due.
fn place_here(edge: &Edge, scope: &Scope, asking: &TargetQuery<'_>, by: PlacedBy) -> Placed {
    let knowledge = match by {
        PlacedBy::Itself => Knowledge::Exact,
        PlacedBy::Owner | PlacedBy::Alone => Knowledge::Stale,
    };
    let (choice, ranking) = match &asking.ranked {
        Some(ranked) => ranking::pick(edge, scope, asking, ranked, knowledge),
        None => (edge.pick(asking, knowledge), None),
    };
    Placed {
        choice,
        permit: Permit::NotNeeded,
        by,
        ranking,
        predicted: ranking.and_then(|r| r.measured_prediction()),
    }
}

/// Returns the data centre whose owner places a request: this daemon's, or while that one is
/// evacuated another one, drawn in proportion to the targets that serve there. An owner knows the
/// load of its own data centre exactly, and of others only what it last received. A caller that is
/// ranked gets the same data centre each time: its booking takes a place in that owner's queue.
fn placing_hall(edge: &Edge, asking: &TargetQuery<'_>) -> HallId {
    let hall = edge.settings().hall.clone();
    let book = edge.registry.borrow();
    if !book.is_evacuated(&hall) {
        return hall;
    }
    let serving = book.serving(&asking.service.name, asking.served_model());
    let drawn = match &asking.ranked {
        Some(ranked) => {
            let key = ranked.key.to_string();
            rendezvous::first_item(serving.iter(), |target| target.id.as_str(), &key)
        }
        None => serving.choose(&mut *edge.rng.borrow_mut()),
    };
    drawn.map_or(hall, |target| target.hall.clone())
}

/// Asks an owner for a target. Returns `None` if the owner does not answer.
async fn ask_owner(
    edge: &Edge,
    owner: &NodeId,
    scope: &Scope,
    asking: &TargetQuery<'_>,
) -> Option<OwnerReply> {
    let now = edge.now();
    if !edge.placing.borrow().owner_health.may_ask(owner, now) {
        return None;
    }
    let (id, answer) = questions::begin(&mut edge.placing.borrow_mut().questions, owner);
    let request = PlaceRequest {
        from: edge.settings().name.clone(),
        id,
        service: scope.service.clone(),
        model: scope.model.clone(),
        prompt: asking.prompt,
        aim: asking.aim,
        first: asking.first,
        avoid: targets_to_avoid(edge, scope, asking),
    };
    let packet = match asking.ranked.clone() {
        Some(ranked) => Packet::PlaceRanked(Box::new(RankedPlaceRequest { request, ranked })),
        None => Packet::Place(request),
    };
    link::send_to(edge, owner, &packet);
    let reply = questions::in_time(answer).await;
    if reply.is_none() {
        metrics::counter!("thistlesill_edge_owner_misses_total").increment(1);
        edge.placing
            .borrow_mut()
            .owner_health
            .missed(owner, edge.now());
    }
    reply
}

/// Returns the choice in an owner's reply; `None` if the owner knows no target, or its target cannot
/// be used by this daemon.
fn choice_of_owner(
    edge: &Edge,
    owner: &NodeId,
    scope: &Scope,
    reply: &OwnerReply,
) -> Option<(Choice, Permit)> {
    let choice = match &reply.placement {
        Placement::At(id, permit) => {
            leaving::update_owner(edge, owner, id);
            // The target may have requested a backoff since the owner was asked.
            let target = known_target(edge, scope, id)
                .filter(|target| !edge.backoffs.is_active(&target.id, edge.now()))?;
            return Some((Choice::Target(Box::new(target)), *permit));
        }
        Placement::Overloaded(time) => {
            let refusal = reply.ranking.and_then(|ranking| ranking.overload());
            Choice::Overloaded(refusal.unwrap_or(Overload::TooLate(*time)))
        }
        Placement::Unavailable(wait) => Choice::Unavailable(*wait),
        // The owner may lag behind this daemon.
        Placement::NoTarget => return None,
    };
    Some((choice, Permit::NotNeeded))
}

/// Returns the targets of a scope that an owner must not pick for a request of this daemon: those
/// that were tried, and those that this daemon knows to be unavailable.
fn targets_to_avoid(edge: &Edge, scope: &Scope, asking: &TargetQuery<'_>) -> Vec<TargetId> {
    let (loads, registry, now) = (edge.loads.borrow(), edge.registry.borrow(), edge.now());
    let in_scope = |id: &TargetId| {
        let target = registry.target(id);
        target.is_some_and(|t| {
            t.service == scope.service
                && (scope.model.is_none() || t.model() == scope.model.as_ref())
        })
    };
    // A backoff that a target requested counts as a refusal until it ends.
    let mut avoid = loads.suspects(now);
    avoid.extend(loads.full(now));
    avoid.extend(edge.limits.exhausted(now));
    avoid.retain(in_scope);
    avoid.sort_unstable();
    avoid.dedup();
    avoid.extend(asking.tried.iter().cloned());
    avoid
}

fn known_target(edge: &Edge, scope: &Scope, id: &TargetId) -> Option<Target> {
    let book = edge.registry.borrow();
    let serving = book.serving(&scope.service, scope.model.as_ref());
    let target = serving.iter().find(|t| t.id == *id);
    target.map(|t| Target::clone(t))
}

impl PlacementState {
    /// Creates the state of a daemon that has asked no owner; `rng` draws the number of its first
    /// request.
    pub(crate) fn new(rng: &mut impl Rng) -> Self {
        Self {
            questions: PendingReplies::new(rng),
            owner_health: OwnerHealth::default(),
            owners: HashMap::new(),
        }
    }

    /// Forgets the computed owners, so that they are computed again from the peers that are alive
    /// now, and the requests whose replies no task waits for.
    fn remove_stale(&mut self) {
        self.owners.clear();
        questions::remove_closed(&mut self.questions);
    }
}

/// Receives an owner's reply.
pub(crate) fn receive_reply(edge: &Edge, reply: PlaceReply, ranking: Option<Ranking>) {
    let mut placing = edge.placing.borrow_mut();
    placing.owner_health.answered(&reply.from);
    let answer = OwnerReply {
        placement: reply.placement,
        ranking,
    };
    // If the reply comes too late, the owner drops the placement when it receives this daemon's
    // next counts.
    let (id, from) = (reply.id, &reply.from);
    questions::resolve(
        &mut placing.questions,
        id,
        from,
        answer,
        ReplyKind::Placement,
    );
}

/// Sends this daemon's requests to the owner of a scope after one of them changed there.
pub(crate) fn send_counts(edge: &Edge, scope: &Scope) {
    let settings = edge.settings();
    let Some(owner) = owner(edge, scope).filter(|o| *o != settings.name) else {
        return;
    };
    let counts = Counts {
        from: settings.name.clone(),
        counts: edge.loads.borrow().counts(),
    };
    link::send_to(edge, &owner, &Packet::Counts(counts));
}

/// As owner: receives the requests of a peer.
pub(crate) fn receive_counts(edge: &Edge, counts: Counts) {
    let now = edge.now();
    let until = now + edge.peer_data_lifetime();
    let list = counts.counts.into_iter().collect();
    edge.loads
        .borrow_mut()
        .set_peer_counts(&counts.from, list, until, now);
}

/// Receives the totals that an owner sent for its targets.
pub(crate) fn receive_totals(edge: &Edge, totals: Totals) {
    let until = edge.now() + TOTALS_VALIDITY;
    let mut loads = edge.loads.borrow_mut();
    for (id, work) in totals.list {
        loads.set_total(id, work, until);
    }
}

/// As owner: sends the work at its targets to other daemons, without end.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut rounds = 0;
    loop {
        tokio::time::sleep(TOTALS_INTERVAL).await;
        edge.placing.borrow_mut().remove_stale();
        if edge.had_requests.get() || edge.peers.borrow().any_busy() {
            rounds += 1;
            send_totals(&edge, rounds % NEAR_TOTALS_ROUNDS == 0);
        }
    }
}

fn send_totals(edge: &Edge, near: bool) {
    let settings = edge.settings();
    let Some(catalog) = edge.catalog() else {
        return;
    };
    for service in catalog.services() {
        let models = service.engine.as_ref().map(|e| &e.models);
        let models = models.map_or_else(
            || vec![None],
            |models| models.iter().map(|m| Some(m.model.clone())).collect(),
        );
        for model in models {
            let scope = Scope {
                hall: settings.hall.clone(),
                service: service.name.clone(),
                model,
            };
            if owner(edge, &scope).as_ref() == Some(&settings.name) {
                send_scope_totals(edge, &scope, near);
            }
        }
    }
}

fn send_scope_totals(edge: &Edge, scope: &Scope, near: bool) {
    let (own, far) = work_by_hall(edge, scope);
    for hall in &far.halls {
        let other = Scope {
            hall: hall.clone(),
            ..scope.clone()
        };
        if let Some(owner) = owner(edge, &other) {
            send_totals_list(&own, |packet| link::send_to(edge, &owner, packet));
        }
    }
    if near {
        let all = [own, far.list].concat();
        send_totals_list(&all, |packet| link::broadcast(edge, packet, Reach::Near));
    }
}

/// Work at the targets of other data centres.
#[derive(Debug, Default)]
struct FarWork {
    halls: Vec<HallId>,
    list: Vec<(TargetId, Work)>,
}

fn work_by_hall(edge: &Edge, scope: &Scope) -> (Vec<(TargetId, Work)>, FarWork) {
    let (book, loads, now) = (edge.registry.borrow(), edge.loads.borrow(), edge.now());
    let (mut own, mut far) = (Vec::new(), FarWork::default());
    for target in book.serving(&scope.service, scope.model.as_ref()) {
        let work = (target.id.clone(), loads.work(&target.id, now));
        if target.hall == scope.hall {
            own.push(work);
            continue;
        }
        far.list.push(work);
        if !far.halls.contains(&target.hall) {
            far.halls.push(target.hall.clone());
        }
    }
    (own, far)
}

fn send_totals_list(list: &[(TargetId, Work)], send: impl Fn(&Packet)) {
    for part in list.chunks(MAX_TOTALS_PER_DATAGRAM) {
        let list = part.to_vec();
        send(&Packet::Totals(Totals { list }));
    }
}
