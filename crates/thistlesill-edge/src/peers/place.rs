//! Where a request goes, as the owner of its scope decides.
//!
//! A daemon asks the owner with one datagram and has the answer in less than a
//! millisecond. Without an answer in time it decides by itself, on what it was told
//! of the load; the request is never lost, and at worst goes to a busier group.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{HallId, Millis, NodeId};
use thistlesill_policy::edge::limit::{Clearance, Grant};
use thistlesill_policy::edge::load::{Knowledge, Work};
use thistlesill_policy::edge::owner::{OwnerHealth, Scope};

use super::packet::{Counts, Packet, Permit, PlaceAsk, PlaceReply, Placed, Totals};
use super::questions::{self, Questions};
use super::{Reach, link};
use crate::limits;
use crate::state::{Choice, Edge, Pick, PlacedBy, TargetQuery};

/// Time after its start in which a daemon has heard what its peers have under way.
const LEARN: Millis = Millis::new(1_200);
/// Between two tellings of all work at an owner's targets.
const TELL: Duration = Duration::from_millis(250);
/// How long what an owner told is believed: two tellings to the own data centre.
const BELIEVE: Millis = Millis::new(1_100);
/// Rounds of telling between two to the own data centre, where the totals are only
/// needed when the owner does not answer.
const NEAR_ROUNDS: u32 = 2;
/// Targets whose keepers may deny a request before it is refused: each may cost the time
/// of a question.
const MAX_DENIED: usize = 4;
/// Targets that are told of in one datagram.
const MAX_TOLD: usize = 100;

/// Questions to owners that are under way, and who owns what.
#[derive(Debug, Default)]
pub(crate) struct Placing {
    questions: Questions<Placed>,
    answering: OwnerHealth,
    /// Owners as they were computed a moment ago.
    owners: HashMap<Scope, Option<NodeId>>,
}

/// Whether this daemon may own scopes.
pub(crate) fn may_own(edge: &Edge, now: Millis) -> bool {
    edge.stopping.get().is_none() && now - edge.started >= LEARN
}

/// The owner of a scope, if one is known.
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

/// The first daemon for a scope among all that live, of whichever data centre.
pub(crate) fn owner_anywhere(edge: &Edge, scope: &Scope) -> Option<NodeId> {
    let now = edge.now();
    let settings = edge.settings();
    let peers = edge.peers.borrow();
    let me = may_own(edge, now).then_some(&settings.name);
    let owner = scope.owner(peers.all_owners(&settings.hall, now).chain(me));
    owner.cloned()
}

/// Picks a target for a request, or has its owner do so; one that names a limit only with
/// a grant of its keeper.
pub(crate) async fn pick(edge: &Edge, asking: TargetQuery<'_>) -> Pick {
    let mut by = PlacedBy::Alone;
    for _ in 0..MAX_DENIED {
        let asked = edge.now();
        let (choice, permit, placed) = pick_or_ask(edge, &asking).await;
        by = placed;
        let clearance = match &choice {
            Choice::Target(target) => limits::obtain_clearance(edge, target, permit, asked).await,
            Choice::Overloaded(_) | Choice::Exhausted(_) | Choice::NoTarget => {
                Some(Clearance::Unlimited)
            }
        };
        if let Some(clearance) = clearance {
            metrics::counter!("thistlesill_edge_placed_total", "by" => by.name()).increment(1);
            return Pick {
                choice,
                by,
                clearance,
            };
        }
    }
    Pick {
        choice: Choice::Exhausted(Millis::ZERO),
        by,
        clearance: Clearance::Unlimited,
    }
}

async fn pick_or_ask(edge: &Edge, asking: &TargetQuery<'_>) -> (Choice, Permit, PlacedBy) {
    let settings = edge.settings();
    let scope = Scope {
        hall: serving_hall(edge, asking),
        service: asking.service.name.clone(),
        model: asking.served_model().cloned(),
    };
    let owner = owner(edge, &scope);
    if owner.as_ref() == Some(&settings.name) {
        let choice = edge.pick(asking, Knowledge::Exact);
        return (choice, Permit::NotNeeded, PlacedBy::Itself);
    }
    if let Some(owner) = owner
        && let Some((choice, permit)) = ask(edge, &owner, &scope, asking).await
    {
        return (choice, permit, PlacedBy::Owner);
    }
    let choice = edge.pick(asking, Knowledge::Stale);
    (choice, Permit::NotNeeded, PlacedBy::Alone)
}

/// The data centre whose owner places a request: this daemon's, or while that one is
/// evacuated another, drawn by the targets that serve there. An owner knows the load of its
/// own data centre exactly, and of others only what was told.
fn serving_hall(edge: &Edge, asking: &TargetQuery<'_>) -> HallId {
    let hall = edge.settings().hall.clone();
    let book = edge.registry.borrow();
    if !book.is_evacuated(&hall) {
        return hall;
    }
    let serving = book.serving(&asking.service.name, asking.served_model());
    let drawn = serving.choose(&mut *edge.rng.borrow_mut());
    drawn.map_or(hall, |target| target.hall.clone())
}

/// Asks an owner; `None` if it does not answer, or with a target that this daemon
/// does not know.
async fn ask(
    edge: &Edge,
    owner: &NodeId,
    scope: &Scope,
    asking: &TargetQuery<'_>,
) -> Option<(Choice, Permit)> {
    let now = edge.now();
    if !edge.placing.borrow().answering.may_ask(owner, now) {
        return None;
    }
    let (id, answer) = edge.placing.borrow_mut().questions.begin();
    let mut avoid = asking.tried.to_vec();
    avoid.extend(edge.loads.borrow().suspects(now));
    avoid.extend(edge.limits.exhausted(now));
    let question = PlaceAsk {
        from: edge.settings().name.clone(),
        id,
        service: scope.service.clone(),
        model: scope.model.clone(),
        prompt: asking.prompt,
        aim: asking.aim,
        first: asking.first,
        avoid,
    };
    link::tell(edge, owner, &Packet::Place(question));
    let Some(placed) = questions::in_time(answer).await else {
        metrics::counter!("thistlesill_edge_owner_misses_total").increment(1);
        edge.placing
            .borrow_mut()
            .answering
            .missed(owner, edge.now());
        return None;
    };
    let choice = match placed {
        Placed::At(id, permit) => {
            let target = known(edge, scope, &id)?;
            return Some((Choice::Target(Box::new(target)), permit));
        }
        Placed::Overloaded(late) => Some(Choice::Overloaded(late)),
        Placed::Spent(wait) => Some(Choice::Exhausted(wait)),
        // The owner may lag behind; this daemon may know better.
        Placed::Nobody => None,
    };
    choice.map(|choice| (choice, Permit::NotNeeded))
}

fn known(edge: &Edge, scope: &Scope, id: &TargetId) -> Option<Target> {
    let book = edge.registry.borrow();
    let serving = book.serving(&scope.service, scope.model.as_ref());
    let target = serving.iter().find(|t| t.id == *id);
    target.map(|t| Target::clone(t))
}

impl Placing {
    /// Forgets who owns what, so that it is computed from whom is heard now, and
    /// questions that nobody waits for.
    fn tidy(&mut self) {
        self.owners.clear();
        self.questions.tidy();
    }
}

/// As owner: places a request of a peer.
pub(crate) fn answer(edge: &Edge, ask: &PlaceAsk) {
    let Some(catalog) = edge.catalog() else {
        return;
    };
    let Some(service) = catalog.service(&ask.service) else {
        return;
    };
    let asking = TargetQuery {
        service,
        model: ask.model.as_ref(),
        prompt: ask.prompt,
        aim: ask.aim,
        tried: &ask.avoid,
        first: ask.first,
    };
    let choice = edge.pick(&asking, Knowledge::Exact);
    let placed = match choice {
        Choice::Target(target) => {
            let until = edge.now() + edge.peer_data_lifetime();
            let mut loads = edge.loads.borrow_mut();
            loads.add_granted(&ask.from, &target.id, ask.prompt, until);
            let permit = match edge.limits.take(&target.id, edge.now()) {
                Grant::Unlimited => Permit::NotNeeded,
                Grant::Granted => Permit::Given,
                Grant::NotOwner | Grant::Exhausted(_) => Permit::Needed,
            };
            Placed::At(target.id.clone(), permit)
        }
        Choice::Overloaded(late) => Placed::Overloaded(late),
        Choice::Exhausted(wait) => Placed::Spent(wait),
        Choice::NoTarget => Placed::Nobody,
    };
    let reply = PlaceReply {
        from: edge.settings().name.clone(),
        id: ask.id,
        placed,
    };
    link::tell(edge, &ask.from, &Packet::Placed(reply));
}

/// Takes in an owner's answer.
pub(crate) fn take_reply(edge: &Edge, reply: PlaceReply) {
    let mut placing = edge.placing.borrow_mut();
    placing.answering.answered(&reply.from);
    // Of one that comes too late the owner forgets the place with this daemon's next
    // counts.
    placing.questions.answered(reply.id, reply.placed);
}

/// Tells the owner of a scope of this daemon's requests, one of which changed there.
pub(crate) fn tell_counts(edge: &Edge, scope: &Scope) {
    let settings = edge.settings();
    let Some(owner) = owner(edge, scope).filter(|o| *o != settings.name) else {
        return;
    };
    let counts = Counts {
        from: settings.name.clone(),
        counts: edge.loads.borrow().counts(),
    };
    link::tell(edge, &owner, &Packet::Counts(counts));
}

/// As owner: takes in a peer's requests.
pub(crate) fn hear_counts(edge: &Edge, counts: Counts) {
    let until = edge.now() + edge.peer_data_lifetime();
    let list = counts.counts.into_iter().collect();
    edge.loads
        .borrow_mut()
        .set_peer_counts(&counts.from, list, until);
}

/// Takes in what an owner told of the work at its targets.
pub(crate) fn hear_totals(edge: &Edge, totals: Totals) {
    let until = edge.now() + BELIEVE;
    let mut loads = edge.loads.borrow_mut();
    for (id, work) in totals.list {
        loads.set_total(id, work, until);
    }
}

/// As owner: tells others of the work at its targets, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut rounds = 0;
    loop {
        tokio::time::sleep(TELL).await;
        edge.placing.borrow_mut().tidy();
        if edge.had_requests.get() || edge.peers.borrow().any_busy() {
            rounds += 1;
            tell_totals(&edge, rounds % NEAR_ROUNDS == 0);
        }
    }
}

fn tell_totals(edge: &Edge, near: bool) {
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
                tell_scope(edge, &scope, near);
            }
        }
    }
}

fn tell_scope(edge: &Edge, scope: &Scope, near: bool) {
    let (own, far) = work_by_hall(edge, scope);
    for hall in &far.halls {
        let other = Scope {
            hall: hall.clone(),
            ..scope.clone()
        };
        if let Some(owner) = owner(edge, &other) {
            tell_list(&own, |packet| link::tell(edge, &owner, packet));
        }
    }
    if near {
        let all = [own, far.list].concat();
        tell_list(&all, |packet| link::tell_peers(edge, packet, Reach::Near));
    }
}

/// Work at the targets of other data centres.
#[derive(Debug, Default)]
struct Far {
    halls: Vec<HallId>,
    list: Vec<(TargetId, Work)>,
}

fn work_by_hall(edge: &Edge, scope: &Scope) -> (Vec<(TargetId, Work)>, Far) {
    let (book, loads, now) = (edge.registry.borrow(), edge.loads.borrow(), edge.now());
    let (mut own, mut far) = (Vec::new(), Far::default());
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

fn tell_list(list: &[(TargetId, Work)], tell: impl Fn(&Packet)) {
    for part in list.chunks(MAX_TOLD) {
        let list = part.to_vec();
        tell(&Packet::Totals(Totals { list }));
    }
}
