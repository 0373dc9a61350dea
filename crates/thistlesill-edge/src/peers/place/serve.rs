//! The owner's side: places requests of peers.

use thistlesill_policy::edge::limit::Grant;
use thistlesill_policy::edge::load::Knowledge;
use thistlesill_policy::edge::owner::Scope;
use thistlesill_policy::edge::shortage::RankedRequest;

use crate::choice::{Choice, Overload, Sender, TargetQuery};
use crate::peers::link;
use crate::peers::packet::{
    Packet, Permit, PlaceReply, PlaceRequest, Placement, RankedPlaceReply, RankedPlaceRequest,
};
use crate::ranking::{self, Ranking};
use crate::state::Edge;

/// As owner: places a request of a peer.
pub(crate) fn answer(edge: &Edge, request: &PlaceRequest) {
    if let Some((reply, _)) = place_for_peer(edge, request, None) {
        link::send_to(edge, &request.from, &Packet::Placed(reply));
    }
}

/// As owner: places a request of a peer to a service that ranks its callers.
pub(crate) fn answer_ranked(edge: &Edge, asked: &RankedPlaceRequest) {
    let request = &asked.request;
    if let Some((reply, ranking)) = place_for_peer(edge, request, Some(&asked.ranked)) {
        let reply = RankedPlaceReply { reply, ranking };
        link::send_to(edge, &request.from, &Packet::PlacedRanked(reply));
    }
}

fn place_for_peer(
    edge: &Edge,
    request: &PlaceRequest,
    ranked: Option<&RankedRequest>,
) -> Option<(PlaceReply, Option<Ranking>)> {
    let catalog = edge.catalog()?;
    let service = catalog.service(&request.service)?;
    let asking = TargetQuery {
        service,
        model: request.model.as_ref(),
        prompt: request.prompt,
        aim: request.aim,
        tried: &request.avoid,
        first: request.first,
        ranked: None,
        sender: Sender::Peer,
    };
    let (choice, ranking) = match ranked {
        Some(ranked) => {
            let scope = Scope {
                hall: edge.settings().hall.clone(),
                service: request.service.clone(),
                model: request.model.clone(),
            };
            let exact = Knowledge::Exact;
            ranking::pick(edge, &scope, &asking, ranked, exact)
        }
        None => (edge.pick(&asking, Knowledge::Exact), None),
    };
    let placement = match choice {
        Choice::Target(target) => {
            let now = edge.now();
            let until = now + edge.peer_data_lifetime();
            let mut loads = edge.loads.borrow_mut();
            // The counts of requests in other data centres go to the owners there.
            let is_near = target.hall == edge.settings().hall;
            let predicted = ranking.filter(|_| is_near);
            let predicted = predicted.and_then(|r| r.measured_prediction());
            loads.add_granted(
                &request.from,
                &target,
                request.prompt,
                until,
                predicted,
                now,
            );
            let permit = match edge.limits.take(&target.id, now) {
                Grant::Unlimited => Permit::NotNeeded,
                Grant::Granted => Permit::Granted,
                Grant::NotOwner | Grant::Exhausted(_) => Permit::Needed,
            };
            Placement::At(target.id.clone(), permit)
        }
        Choice::Overloaded(Overload::TooLate(time) | Overload::Refused(time)) => {
            Placement::Overloaded(time)
        }
        Choice::Unavailable(wait) => Placement::Unavailable(wait),
        Choice::NoTarget => Placement::NoTarget,
    };
    let reply = PlaceReply {
        from: edge.settings().name.clone(),
        id: request.id,
        placement,
    };
    Some((reply, ranking))
}
