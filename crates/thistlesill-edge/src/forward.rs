//! Passes requests on to a peer while this daemon has lost its own links to their targets.
//!
//! The peer admits and places such a request as if its caller had sent it there, so that limits,
//! backoffs and the retry budget bind the daemon that sends to the targets. The peer never passes
//! the request on again; it declines what it cannot send itself, and then the request has not run.

mod head;
mod serve;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_core::{Millis, NodeId, ServiceName};
use thistlesill_net::lane::{ConnectionError, HttpConnection, within};
use thistlesill_policy::edge::attempt::{Attempts, Outcome};
use thistlesill_policy::edge::reach::LinkState;

use self::head::Decline;
pub(crate) use self::head::Hop;
pub(crate) use self::serve::serve;
use crate::attempt::{Answered, Failure};
use crate::job::Job;
use crate::quarantine;
use crate::reach;
use crate::state::Edge;

/// Time to connect to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long no request is passed to a peer that declined one or did not accept the connection.
const PEER_BACKOFF: Millis = Millis::new(500);
/// Number of peers that a request is passed to at most.
const MAX_PEERS: usize = 3;
/// Time after which a request that could be sent nowhere is tried again.
const RETRY_INTERVAL: Millis = Millis::new(250);
/// Interval between two checks whether a peer is alive or may take a request.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Peers that take no requests for a while.
#[derive(Debug, Default)]
pub(crate) struct ForwardState {
    unusable: RefCell<HashMap<NodeId, Millis>>,
}

impl ForwardState {
    fn is_usable(&self, peer: &NodeId, now: Millis) -> bool {
        let unusable = self.unusable.borrow();
        unusable.get(peer).is_none_or(|until| *until <= now)
    }

    fn avoid(&self, peer: &NodeId, now: Millis) {
        let mut unusable = self.unusable.borrow_mut();
        unusable.retain(|_, until| *until > now);
        unusable.insert(peer.clone(), now + PEER_BACKOFF);
    }
}

/// The way of a request's next attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Way {
    /// To a target.
    Direct,
    /// To a peer that reaches the targets.
    Peer(NodeId),
    /// None: neither this daemon nor a peer reaches the targets.
    Nowhere,
}

/// Returns the way of a request's next attempt, through a peer other than `tried` if at all.
pub(crate) fn way(job: &Job, tried: &[NodeId]) -> Way {
    let edge = &job.edge;
    let service = &job.admission.service.name;
    if !edge.links.is_lost(service) {
        return Way::Direct;
    }
    if job.hop.is_some() || tried.len() >= MAX_PEERS {
        return Way::Nowhere;
    }
    pick_peer(edge, service, tried).map_or(Way::Nowhere, Way::Peer)
}

/// Returns the way of a request's next attempt after the given ones, as [`way`] does. The first one
/// goes to a target that is silent if there is no other way: it may stand still for a moment.
pub(crate) fn next_way(job: &Job, tried: &[NodeId], attempts: Attempts) -> Way {
    let (edge, service) = (&job.edge, &job.admission.service.name);
    let way = way(job, tried);
    let is_first = job.hop.is_none() && attempts.sent == 0;
    let is_silent = edge.links.state(service, edge.now()) == LinkState::Silent;
    if way == Way::Nowhere && is_first && is_silent {
        return Way::Direct;
    }
    way
}

/// Returns a peer for a request that no target is left for, if this daemon's links are the reason:
/// a target failed, and no other answers either.
pub(crate) async fn peer_for_doubted(job: &Job, tried: &[NodeId]) -> Option<NodeId> {
    let (edge, service) = (&job.edge, &job.admission.service.name);
    let since = edge.links.doubted_since(service)?;
    let may_pass = job.hop.is_none() && tried.len() < MAX_PEERS;
    if !may_pass || reach::is_confirmed(edge, service, since).await {
        return None;
    }
    pick_peer(edge, service, tried)
}

/// Returns whether a request that a target has may now be sent elsewhere: to another target while
/// this daemon reaches them, or through a peer while it does not. Targets that accept connections
/// are reached: the request may wait there for targets that all stand still.
pub(crate) fn may_leave_target(job: &Job) -> bool {
    let (edge, service) = (&job.edge, &job.admission.service.name);
    match edge.links.state(service, edge.now()) {
        LinkState::Up => true,
        LinkState::Silent => false,
        LinkState::Down => is_possible(job),
    }
}

/// Returns whether a request could now be passed to a peer.
pub(crate) fn is_possible(job: &Job) -> bool {
    matches!(way(job, &[]), Way::Peer(_))
}

/// Returns once a request could be passed to a peer other than `tried`, after some time at least.
pub(crate) async fn wait_until_possible(job: &Job, tried: &[NodeId]) {
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        if matches!(way(job, tried), Way::Peer(_)) && may_leave_target(job) {
            return;
        }
    }
}

/// Waits a moment before a request that could be sent nowhere is tried again; returns whether its
/// deadline has not passed by then.
pub(crate) async fn wait_to_try_again(job: &Job) -> bool {
    let edge = &job.edge;
    let next = edge.now() + RETRY_INTERVAL;
    edge.alarm.sleep_until(next.min(job.due)).await;
    !job.is_over()
}

/// Returns whether a request that was sent, and that has no way now, waits for one: targets that
/// accept connections may go on in a moment. A peer's request does not, since the peer may have
/// another way.
pub(crate) fn may_wait_for_way(job: &Job, attempts: Attempts) -> bool {
    let (edge, service) = (&job.edge, &job.admission.service.name);
    let is_silent = edge.links.state(service, edge.now()) == LinkState::Silent;
    job.hop.is_none() && attempts.sent > 0 && is_silent
}

/// Draws a live peer that reaches the targets of a service, of the same data centre if there is
/// one: traffic between data centres is expensive.
fn pick_peer(edge: &Edge, service: &ServiceName, tried: &[NodeId]) -> Option<NodeId> {
    let (now, hall) = (edge.now(), &edge.settings().hall);
    let peers = edge.peers.borrow();
    let usable = |name: &&NodeId| !tried.contains(name) && edge.forwarding.is_usable(name, now);
    let rng = &mut *edge.rng.borrow_mut();
    let near = peers.reaching(service, hall, now).filter(|(_, far)| !far);
    let near = near.map(|(name, _)| name).filter(usable).choose(rng);
    let all = peers.reaching(service, hall, now).map(|(name, _)| name);
    near.or_else(|| all.filter(usable).choose(rng)).cloned()
}

/// Passes a request to a peer and awaits the head of the answer.
///
/// A request that the peer declined has run at no target.
pub(crate) async fn attempt(
    job: &Rc<Job>,
    peer: &NodeId,
    last_event: Option<&str>,
    attempts: Attempts,
) -> Result<Answered, Failure> {
    let edge = &job.edge;
    // The peer withholds a request that is on trial at another daemon.
    quarantine::end_trial(job);
    let address = edge.peers.borrow().address(peer);
    let Some(address) = address.map(EdgeSettings::forward_address_of) else {
        return Err(Failure::new(Outcome::NotSent, &"the peer is gone"));
    };
    let until = within(CONNECT_TIMEOUT.min(job.time_left().duration()));
    let mut lane = match HttpConnection::connect(address, until).await {
        Ok(lane) => lane,
        Err(error) => {
            edge.forwarding.avoid(peer, edge.now());
            return Err(Failure::new(Outcome::NotSent, &error));
        }
    };
    if job.admission.customer.is_some() && !edge.is_fresh() {
        let reason = "the catalog is not confirmed as current";
        return Err(Failure::new(Outcome::NotSent, &reason));
    }
    let request = head::request(job, last_event, attempts);
    let last = job.answer_deadline();
    let limit = within((last - edge.now()).duration());
    let answer = tokio::select! {
        answer = lane.send(request, limit) => answer,
        () = edge.alarm.sleep_until(last) => Err(ConnectionError::TimedOut),
        () = wait_for_peer_loss(edge, peer) => {
            return Err(passed_on(job, Outcome::MayHaveRun, &"the peer is lost"));
        }
    };
    let mut response = match answer {
        Ok(response) => response,
        Err(ConnectionError::TimedOut) => {
            return Err(passed_on(job, Outcome::Late, &"no answer in time"));
        }
        Err(error) if error.is_unsent() => return Err(Failure::new(Outcome::NotSent, &error)),
        Err(error) => return Err(passed_on(job, Outcome::MayHaveRun, &error)),
    };
    let Some(sent) = head::take_sent(response.headers_mut()) else {
        let reason = "the answer does not come from a daemon";
        return Err(passed_on(job, Outcome::MayHaveRun, &reason));
    };
    if let Some(decline) = head::declined(response.headers()) {
        if decline == Decline::Any {
            edge.forwarding.avoid(peer, edge.now());
        }
        let reason = format!("the peer declined: {}", head::reason(response.headers()));
        return Err(declined(job, sent, &reason));
    }
    job.forget_retry();
    Ok(Answered::from_peer(job, peer, response, lane, sent))
}

/// Returns the failure of a request that a peer has and may have sent to a target.
fn passed_on(job: &Job, outcome: Outcome, reason: &impl ToString) -> Failure {
    job.forget_retry();
    Failure::new(outcome, reason)
}

/// Returns the failure of a request that a peer declined after `sent` targets had turned it away.
fn declined(job: &Job, sent: u32, reason: &impl ToString) -> Failure {
    let Some(further) = sent.checked_sub(1) else {
        return Failure::new(Outcome::NotSent, reason);
    };
    let failure = passed_on(job, Outcome::NotRun, reason);
    Failure { further, ..failure }
}

/// Returns once a peer counts as dead.
pub(crate) async fn wait_for_peer_loss(edge: &Edge, peer: &NodeId) {
    loop {
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
        let hall = &edge.settings().hall;
        if !edge.peers.borrow().is_alive(peer, hall, edge.now()) {
            return;
        }
    }
}
