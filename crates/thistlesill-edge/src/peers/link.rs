//! Sends and receives the datagrams between daemons.

use std::net::SocketAddr;
use std::rc::Rc;

use thistlesill_core::{Millis, NodeId};
use thistlesill_policy::edge::beats::{DueHeartbeat, HeartbeatIntervals, HeartbeatSchedule};
use thistlesill_policy::quarantine::LossCause;
use tokio::net::UdpSocket;

use super::packet::{DemandReport, Heartbeat, Packet, StoreUse, UrgentDemand};
use super::{PeerChange, Reach, callers, place};
use crate::follow;
use crate::leaving;
use crate::limits;
use crate::quarantine;
use crate::reach;
use crate::state::Edge;

/// Longest time between two heartbeats of the planner: others count it as down after three of
/// these.
const MAX_PLANNER_INTERVAL: Millis = Millis::new(400);
/// Time between two heartbeats of a daemon without requests.
const IDLE_INTERVAL: Millis = Millis::new(300);
/// Largest size of a datagram.
pub(crate) const MAX_DATAGRAM: usize = 8 * 1024;

/// Opens the socket for datagrams. A daemon whose socket cannot be opened logs an error and runs
/// without contact to its peers.
pub(crate) async fn open(edge: &Edge) {
    let address = edge.settings().peer_address();
    match UdpSocket::bind(address).await {
        Ok(socket) => edge.peers.borrow_mut().socket = Some(Rc::new(socket)),
        Err(error) => log::error!("peers: {address}: {error}"),
    }
}

/// Sends heartbeats and demand reports when they are due and receives datagrams, without end.
pub(crate) async fn run(edge: Rc<Edge>) {
    tokio::task::spawn_local(receive(edge.clone()));
    let mut schedule = HeartbeatSchedule::new(edge.now());
    loop {
        let listed = edge.peers.borrow().is_listed();
        match schedule.next(&intervals(&edge), listed, edge.now()) {
            DueHeartbeat::All => {
                send_heartbeat(&edge, Reach::All);
                reach::report_again(&edge, Reach::All);
            }
            DueHeartbeat::Near => {
                send_heartbeat(&edge, Reach::Near);
                reach::report_again(&edge, Reach::Near);
            }
            DueHeartbeat::Planner => send_heartbeat_to_far_planner(&edge),
            DueHeartbeat::Demand => send_demand_report(&edge),
            // The intervals change with the requests, the list of daemons and the lease.
            DueHeartbeat::Wait(until) => {
                let latest = edge.now() + IDLE_INTERVAL;
                edge.alarm.sleep_until(until.min(latest)).await;
            }
        }
    }
}

/// Returns the times between two heartbeats and between two demand reports.
fn intervals(edge: &Edge) -> HeartbeatIntervals {
    let peers = edge.peers.borrow();
    let near = peers.near_interval(&edge.settings().hall);
    let idle = edge.active.get() == 0;
    let all = peers.far_interval();
    HeartbeatIntervals {
        near: if idle { IDLE_INTERVAL.max(near) } else { near },
        all: if edge.is_planner.get() {
            all.min(MAX_PLANNER_INTERVAL)
        } else {
            all
        },
        planner: peers.planner_interval(),
        demand: peers.demand_interval(),
    }
}

/// Returns the planner, if it is another daemon.
fn other_planner(edge: &Edge) -> Option<NodeId> {
    let planner = edge.peers.borrow().planner();
    planner.filter(|_| !edge.is_planner.get())
}

/// Sends the demand of this daemon's callers to the planner.
fn send_demand_report(edge: &Edge) {
    let Some(planner) = other_planner(edge) else {
        return;
    };
    let work = edge.demand_meter.borrow_mut().work(edge.now());
    let work = work.into_iter();
    let work = work.map(|((service, model), work)| (service, model, work as f32));
    let from = edge.settings().name.clone();
    let report = DemandReport {
        from: from.clone(),
        work: work.collect(),
    };
    send_to(edge, &planner, &Packet::DemandReport(report));
    // Only services that rank their callers have demand of known urgency.
    let urgency = edge.demand_meter.borrow_mut().urgency(edge.now());
    if urgency.is_empty() {
        return;
    }
    let work = urgency.into_iter();
    let work = work.map(|((service, model), u)| (service, model, u.customer, u.route));
    let report = UrgentDemand {
        from,
        work: work.collect(),
    };
    send_to(edge, &planner, &Packet::UrgentDemand(report));
}

/// Sends a heartbeat to peers.
pub(crate) fn send_heartbeat(edge: &Edge, reach: Reach) {
    broadcast(edge, &heartbeat(edge), reach);
}

/// Sends a heartbeat to some addresses, whether their daemons are known or not.
pub(crate) fn send_heartbeat_to(edge: &Edge, addresses: &[SocketAddr]) {
    send(edge, &heartbeat(edge), addresses.iter().copied());
}

/// Sends this daemon's suspected targets to the planner at once: until the planner has probed the
/// group, other daemons send requests there.
pub(crate) fn report_suspects(edge: &Edge) {
    if let Some(planner) = other_planner(edge) {
        send_to(edge, &planner, &heartbeat(edge));
    }
}

/// Sends a heartbeat to the planner if it is in another data centre.
fn send_heartbeat_to_far_planner(edge: &Edge) {
    let Some(planner) = other_planner(edge) else {
        return;
    };
    let far = edge.peers.borrow().is_far(&planner, &edge.settings().hall);
    if far {
        send_to(edge, &planner, &heartbeat(edge));
    }
}

fn heartbeat(edge: &Edge) -> Packet {
    let now = edge.now();
    let settings = edge.settings();
    let (loads, peers) = (edge.loads.borrow(), edge.peers.borrow());
    Packet::Heartbeat(Box::new(Heartbeat {
        from: settings.name.clone(),
        boot: edge.boot,
        hall: settings.hall.clone(),
        store: edge.store_use(),
        link: settings.link,
        plans: edge.is_planner.get(),
        busy: edge.had_requests.get(),
        owns: place::may_own(edge, now),
        counts: loads.counts(),
        suspects: loads.suspects(now),
        streaming: loads.suspects_with_streams(now),
        slow: loads.slow(now),
        lease: peers.lease.clone(),
        unresponsive: peers.unresponsive.clone(),
        late_joins: peers.late_joins.clone(),
        targets: follow::known_targets(edge, now),
        verdicts: edge.quarantine.digest(),
    }))
}

/// Sends a datagram to the peers within reach that count as alive.
pub(crate) fn broadcast(edge: &Edge, packet: &Packet, reach: Reach) {
    let (peers, hall) = (edge.peers.borrow(), edge.settings().hall.clone());
    send(edge, packet, peers.addresses(edge.now(), &hall, reach));
}

/// Sends a datagram to one peer.
pub(crate) fn send_to(edge: &Edge, to: &NodeId, packet: &Packet) {
    send_to_each(edge, std::slice::from_ref(to), packet);
}

/// Sends a datagram to some peers.
pub(crate) fn send_to_each(edge: &Edge, to: &[NodeId], packet: &Packet) {
    let peers = edge.peers.borrow();
    let to = to.iter().filter_map(|name| peers.address(name));
    send(edge, packet, to);
}

fn send(edge: &Edge, packet: &Packet, to: impl Iterator<Item = SocketAddr>) {
    let socket = edge.peers.borrow().socket.clone();
    let (Some(bytes), Some(socket)) = (encode(packet), socket) else {
        return;
    };
    let mut count = 0;
    for address in to {
        count += 1;
        if let Err(error) = socket.try_send_to(&bytes, address) {
            log::debug!("peers: {address}: {error}");
        }
    }
    edge.traffic.record(packet.kind(), count, bytes.len());
}

fn encode(packet: &Packet) -> Option<Vec<u8>> {
    match postcard::to_stdvec(packet) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => Some(bytes),
        Ok(bytes) => {
            metrics::counter!("thistlesill_edge_datagrams_oversize_total").increment(1);
            log::warn!("peers: a datagram of {} bytes is too large", bytes.len());
            None
        }
        Err(error) => {
            log::error!("peers: cannot encode a datagram: {error}");
            None
        }
    }
}

async fn receive(edge: Rc<Edge>) {
    let Some(socket) = edge.peers.borrow().socket.clone() else {
        return;
    };
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("peers: {error}");
                continue;
            }
        };
        match postcard::from_bytes::<Packet>(&buffer[..length]) {
            Ok(Packet::Heartbeat(heartbeat)) => receive_heartbeat(&edge, *heartbeat, from),
            Ok(Packet::FreshnessRequest(request)) => follow::answer(&edge, &request),
            Ok(Packet::FreshnessReply(reply)) => follow::receive_reply(&edge, &reply),
            Ok(Packet::Changes(changes)) => follow::receive_changes(&edge, changes),
            Ok(Packet::Place(request)) => place::answer(&edge, &request),
            Ok(Packet::Placed(reply)) => place::receive_reply(&edge, reply, None),
            Ok(Packet::PlaceRanked(request)) => place::answer_ranked(&edge, &request),
            Ok(Packet::PlacedRanked(reply)) => {
                place::receive_reply(&edge, reply.reply, reply.ranking);
            }
            Ok(Packet::Counts(counts)) => place::receive_counts(&edge, counts),
            Ok(Packet::Totals(totals)) => place::receive_totals(&edge, totals),
            Ok(Packet::Lost(lost)) => quarantine::receive_losses(&edge, &lost),
            Ok(Packet::PartsLost(lost)) => {
                quarantine::receive_part_losses(&edge, &lost, LossCause::Crash);
            }
            Ok(Packet::UnclearPartsLost(lost)) => {
                quarantine::receive_part_losses(&edge, &lost, LossCause::Unclear);
            }
            Ok(Packet::SilentPartsLost(lost)) => {
                quarantine::receive_part_losses(&edge, &lost, LossCause::Silence);
            }
            Ok(Packet::LossesRefuted(refuted)) => {
                quarantine::receive_refutations(&edge, &refuted);
            }
            Ok(Packet::RefusedCallers(reports)) => callers::receive(&edge, reports),
            Ok(Packet::Verdicts(verdicts)) => quarantine::receive_verdicts(&edge, &verdicts),
            Ok(Packet::VerdictsRequest(peer)) => quarantine::send_verdicts(&edge, &peer),
            Ok(Packet::Limits(updates)) => limits::receive(&edge, &updates),
            Ok(Packet::Leaving(target)) => leaving::receive(&edge, &target),
            Ok(Packet::GrantRequest(request)) => limits::reply_to_grant_request(&edge, &request),
            Ok(Packet::LinksLost(lost)) => reach::receive(&edge, lost),
            Ok(Packet::Grant(reply)) => limits::receive_grant(&edge, reply),
            Ok(Packet::DemandReport(report)) => edge
                .peers
                .borrow_mut()
                .record_demand_report(report, edge.now()),
            Ok(Packet::UrgentDemand(report)) => edge
                .peers
                .borrow_mut()
                .record_urgent_demand(report, edge.now()),
            Err(error) => {
                metrics::counter!("thistlesill_edge_datagrams_refused_total").increment(1);
                log::debug!("peers: {from}: {error}");
            }
        }
    }
}

fn receive_heartbeat(edge: &Edge, heartbeat: Heartbeat, from: SocketAddr) {
    let now = edge.now();
    if heartbeat.from == edge.settings().name {
        return;
    }
    let change = edge
        .peers
        .borrow_mut()
        .apply_heartbeat(&heartbeat, from, now);
    if change == PeerChange::Started {
        edge.peer_discovered.notify_one();
        limits::send_to_new_peer(edge, &heartbeat.from);
    }
    if change != PeerChange::Unchanged && heartbeat.store == StoreUse::Reads {
        follow::request_from_new_reader(edge, &heartbeat.from);
    }
    if let Some(known) = heartbeat.targets {
        follow::receive_known_targets(edge, &heartbeat.from, known);
    }
    quarantine::receive_digest(edge, &heartbeat.from, heartbeat.verdicts);
    let has_suspects = !heartbeat.suspects.is_empty() || !heartbeat.slow.is_empty();
    if has_suspects && edge.is_planner.get() {
        edge.fleet_changed.notify_one();
    }
    let counts = heartbeat.counts.into_iter().collect();
    let until = now + edge.peer_data_lifetime();
    edge.loads
        .borrow_mut()
        .set_peer_counts(&heartbeat.from, counts, until, now);
    for target in &heartbeat.unresponsive {
        // Events that arrive here show that only the planner does not reach the target.
        let is_active = edge.loads.borrow().has_active_streams(target, now);
        if !is_active && edge.registry.borrow().is_current(target) {
            edge.suspect(target, "it answered no probe of the planner");
        }
    }
}
