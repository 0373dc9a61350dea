//! The socket for datagrams between daemons.

use std::net::SocketAddr;
use std::rc::Rc;

use thistlesill_core::{Millis, NodeId};
use thistlesill_policy::edge::beats::{DueHeartbeat, HeartbeatIntervals, HeartbeatSchedule};
use tokio::net::UdpSocket;

use super::packet::{AskedWork, Beat, Packet, StoreUse};
use super::{News, Reach, place};
use crate::follow;
use crate::limits;
use crate::quarantine;
use crate::state::Edge;

/// The longest time between two beats of the daemon that forms groups: others
/// take it for down after three of them.
const PLANNER_BEAT: Millis = Millis::new(400);
/// Between two beats of a daemon without requests.
const IDLE_BEAT: Millis = Millis::new(300);
/// Bytes of a datagram, at most.
pub(crate) const MAX_DATAGRAM: usize = 8 * 1024;

/// Opens the socket for datagrams. Whoever has none hears of nobody, and says so.
pub(crate) async fn open(edge: &Edge) {
    let address = edge.settings().peer_address();
    match UdpSocket::bind(address).await {
        Ok(socket) => edge.peers.borrow_mut().socket = Some(Rc::new(socket)),
        Err(error) => log::error!("peers: {address}: {error}"),
    }
}

/// Sends and takes in datagrams, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    tokio::task::spawn_local(listen(edge.clone()));
    let mut schedule = HeartbeatSchedule::new(edge.now());
    loop {
        let listed = edge.peers.borrow().is_listed();
        match schedule.next(&gaps(&edge), listed, edge.now()) {
            DueHeartbeat::All => tell_beat(&edge, Reach::All),
            DueHeartbeat::Near => tell_beat(&edge, Reach::Near),
            DueHeartbeat::Planner => tell_far_planner(&edge),
            DueHeartbeat::Demand => tell_asked(&edge),
            // The gaps change with the requests, the list and the lease.
            DueHeartbeat::Wait(until) => {
                let look = edge.now() + IDLE_BEAT;
                edge.alarm.sleep_until(until.min(look)).await;
            }
        }
    }
}

/// The times between two beats.
fn gaps(edge: &Edge) -> HeartbeatIntervals {
    let peers = edge.peers.borrow();
    let near = peers.near_gap(&edge.settings().hall);
    let idle = edge.active.get() == 0;
    let all = peers.far_gap();
    HeartbeatIntervals {
        near: if idle { IDLE_BEAT.max(near) } else { near },
        all: if edge.is_planner.get() {
            all.min(PLANNER_BEAT)
        } else {
            all
        },
        planner: peers.planner_gap(),
        demand: peers.asked_gap(),
    }
}

/// The daemon that forms groups, if it is another one.
fn other_planner(edge: &Edge) -> Option<NodeId> {
    let planner = edge.peers.borrow().planner();
    planner.filter(|_| !edge.is_planner.get())
}

/// Tells the daemon that forms groups what callers ask this one for.
fn tell_asked(edge: &Edge) {
    let Some(planner) = other_planner(edge) else {
        return;
    };
    let work = edge.demand_meter.borrow_mut().work(edge.now());
    let work = work.into_iter();
    let work = work.map(|((service, model), work)| (service, model, work as f32));
    let from = edge.settings().name.clone();
    let asked = AskedWork {
        from,
        work: work.collect(),
    };
    tell(edge, &planner, &Packet::Asked(asked));
}

/// Tells peers how this daemon is.
pub(crate) fn tell_beat(edge: &Edge, reach: Reach) {
    tell_peers(edge, &beat(edge), reach);
}

/// Tells daemons at some addresses, known or not, how this one is.
pub(crate) fn tell_beat_to(edge: &Edge, addresses: &[SocketAddr]) {
    send(edge, &beat(edge), addresses.iter().copied());
}

/// Tells the daemon that forms groups at once what this one suspects: until it
/// has probed the group, others send requests there.
pub(crate) fn tell_suspects(edge: &Edge) {
    if let Some(planner) = other_planner(edge) {
        tell(edge, &planner, &beat(edge));
    }
}

/// Tells a planner in another data centre how this daemon is.
fn tell_far_planner(edge: &Edge) {
    let Some(planner) = other_planner(edge) else {
        return;
    };
    let far = edge.peers.borrow().is_far(&planner, &edge.settings().hall);
    if far {
        tell(edge, &planner, &beat(edge));
    }
}

fn beat(edge: &Edge) -> Packet {
    let now = edge.now();
    let settings = edge.settings();
    let (loads, peers) = (edge.loads.borrow(), edge.peers.borrow());
    Packet::Beat(Box::new(Beat {
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
        going_on: loads.suspects_with_streams(now),
        slow: loads.slow(now),
        lease: peers.shown.clone(),
        dead: peers.dead.clone(),
        late: peers.late.clone(),
        targets: follow::known_targets(edge, now),
        verdicts: edge.quarantine.digest(),
    }))
}

/// Sends a datagram to the peers within reach that may live.
pub(crate) fn tell_peers(edge: &Edge, packet: &Packet, reach: Reach) {
    let (peers, hall) = (edge.peers.borrow(), edge.settings().hall.clone());
    send(edge, packet, peers.addresses(edge.now(), &hall, reach));
}

/// Sends a datagram to one peer.
pub(crate) fn tell(edge: &Edge, to: &NodeId, packet: &Packet) {
    tell_each(edge, std::slice::from_ref(to), packet);
}

/// Sends a datagram to some peers.
pub(crate) fn tell_each(edge: &Edge, to: &[NodeId], packet: &Packet) {
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
    edge.traffic.note(packet.kind(), count, bytes.len());
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
            log::error!("peers: a datagram was not encoded: {error}");
            None
        }
    }
}

async fn listen(edge: Rc<Edge>) {
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
            Ok(Packet::Beat(beat)) => hear_beat(&edge, *beat, from),
            Ok(Packet::Ask(ask)) => follow::answer(&edge, &ask),
            Ok(Packet::Vouch(vouch)) => follow::take_vouch(&edge, &vouch),
            Ok(Packet::Changes(changes)) => follow::take_changes(&edge, changes),
            Ok(Packet::Place(ask)) => place::answer(&edge, &ask),
            Ok(Packet::Placed(reply)) => place::take_reply(&edge, reply),
            Ok(Packet::Counts(counts)) => place::hear_counts(&edge, counts),
            Ok(Packet::Totals(totals)) => place::hear_totals(&edge, totals),
            Ok(Packet::Lost(lost)) => quarantine::receive_losses(&edge, &lost),
            Ok(Packet::Verdicts(verdicts)) => quarantine::receive_verdicts(&edge, &verdicts),
            Ok(Packet::AskVerdicts(peer)) => quarantine::send_verdicts(&edge, &peer),
            Ok(Packet::Limits(told)) => limits::receive(&edge, &told),
            Ok(Packet::AskGrant(ask)) => limits::reply_to_grant_request(&edge, &ask),
            Ok(Packet::Grant(reply)) => limits::receive_grant(&edge, reply),
            Ok(Packet::Asked(asked)) => edge.peers.borrow_mut().hear_asked(asked, edge.now()),
            Err(error) => {
                metrics::counter!("thistlesill_edge_datagrams_refused_total").increment(1);
                log::debug!("peers: {from}: {error}");
            }
        }
    }
}

fn hear_beat(edge: &Edge, beat: Beat, from: SocketAddr) {
    let now = edge.now();
    if beat.from == edge.settings().name {
        return;
    }
    let news = edge.peers.borrow_mut().hear(&beat, from, now);
    if news == News::Peer {
        edge.peer_discovered.notify_one();
        limits::send_to_new_peer(edge, &beat.from);
    }
    if news != News::Nothing && beat.store == StoreUse::Reads {
        follow::hear_reader(edge, &beat.from);
    }
    if let Some(known) = beat.targets {
        follow::hear_known(edge, &beat.from, known);
    }
    quarantine::receive_digest(edge, &beat.from, beat.verdicts);
    let doubt = !beat.suspects.is_empty() || !beat.slow.is_empty();
    if doubt && edge.is_planner.get() {
        edge.fleet_changed.notify_one();
    }
    let counts = beat.counts.into_iter().collect();
    let until = now + edge.peer_data_lifetime();
    edge.loads
        .borrow_mut()
        .set_peer_counts(&beat.from, counts, until);
    for target in &beat.dead {
        if edge.registry.borrow().is_current(target) {
            edge.suspect(target, "it answered no probe of the planner");
        }
    }
}
