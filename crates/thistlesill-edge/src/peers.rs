//! What this daemon knows of the other edge daemons: their load, the targets that they suspect, and
//! which of them reads the store and forms groups.
//!
//! Datagrams may be lost; a later one makes up for each.

pub(crate) mod callers;
mod demand;
pub(crate) mod link;
pub(crate) mod packet;
pub(crate) mod place;
pub(crate) mod questions;
mod roles;
pub(crate) mod roster;
pub(crate) mod traffic;
pub(crate) mod transfer;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use thistlesill_core::edge::{GroupRef, TargetId};
use thistlesill_core::{HallId, Millis, NodeId, ServiceName};
use thistlesill_policy::edge::fleet::LateJoins;
use thistlesill_policy::edge::spread;
use thistlesill_policy::lease::LeaseSnapshot;
use tokio::net::UdpSocket;

use self::packet::{DemandReport, Heartbeat, LostLinks, StoreUse, UrgentDemand};
use self::transfer::Member;
use crate::state::Edge;

/// Shortest time without a heartbeat after which a peer counts as down.
const PEER_TIMEOUT: Millis = Millis::new(1_500);
/// Shortest time between two heartbeats of a daemon that has requests. Owners know the load
/// exactly, so heartbeats only show which daemons are alive and what they suspect.
const MIN_HEARTBEAT_INTERVAL: Millis = Millis::new(150);
/// Milliseconds between two heartbeats to the own data centre, for each daemon there. A daemon then
/// receives some sixty heartbeats a second from its data centre.
const NEAR_INTERVAL_MS: u64 = 16;
/// Milliseconds between two heartbeats to other data centres, for each daemon. A daemon then
/// receives thirty heartbeats a second from them.
const FAR_INTERVAL_MS: u64 = 34;
/// Tenths of a millisecond between two heartbeats to a planner in another data centre, for each
/// daemon. The planner then receives three hundred a second.
const PLANNER_INTERVAL_TENTHS_MS: u64 = 34;
/// Shortest time between two heartbeats to a planner in another data centre.
const MIN_PLANNER_INTERVAL: Millis = Millis::new(300);
/// Time without a heartbeat after which the planner counts as down.
const PLANNER_TIMEOUT: Millis = Millis::new(1_200);
/// Time without a heartbeat after which a daemon is removed.
const REMOVAL_TIMEOUT: Millis = Millis::new(40_000);

/// The peers that a datagram goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Peers of the same data centre, and those whose data centre is not known.
    Near,
    /// All peers.
    All,
}

/// What a heartbeat changed in the knowledge of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerChange {
    /// Nothing that needs a reaction.
    Unchanged,
    /// The peer is new or has restarted.
    Started,
    /// The peer has begun to read the store, or reads it again.
    ReadsStore,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    hall: HallId,
    /// Bandwidth of the instance's network connection, in Mbit/s.
    link: u32,
    /// Identifies the start of the peer that the last heartbeat came from.
    boot: Option<u64>,
    last_heartbeat: Option<Millis>,
    listed_at: Millis,
    store: StoreUse,
    busy: bool,
    owns: bool,
    suspects: Vec<TargetId>,
    streaming: Vec<TargetId>,
    slow: Vec<TargetId>,
    active_targets: Vec<TargetId>,
    /// Services whose targets the peer does not reach, and until when that is believed.
    lost_links: Option<(Vec<ServiceName>, Millis)>,
}

impl Peer {
    /// Returns whether the peer has lost its links to the targets of a service.
    fn has_lost(&self, service: &ServiceName, now: Millis) -> bool {
        let lost = self.lost_links.as_ref();
        lost.is_some_and(|(services, until)| now < *until && services.contains(service))
    }

    fn is_recent(&self, now: Millis, timeout: Millis) -> bool {
        self.last_heartbeat.is_some_and(|at| now - at < timeout)
    }

    fn is_near(&self, hall: &HallId) -> bool {
        spread::is_near(&self.hall, hall)
    }

    fn working(&self) -> impl Iterator<Item = &TargetId> {
        let unsuspected = |id: &&TargetId| !self.suspects.contains(id);
        self.active_targets
            .iter()
            .filter(unsuspected)
            .chain(&self.streaming)
    }

    fn since_heartbeat(&self, now: Millis) -> Millis {
        now - self.last_heartbeat.unwrap_or(self.listed_at)
    }
}

/// The other daemons of the fleet, as far as this daemon knows them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: HashMap<NodeId, Peer>,
    /// Increases when a daemon is added, changes its address or data centre, or is removed.
    revision: u64,
    /// Number of known peers by data centre, kept up to date since the timeout of each heartbeat
    /// depends on it.
    by_hall: HashMap<HallId, usize>,
    /// Whether the list of daemons has been read, from the store or from a peer.
    listed: bool,
    planner: Option<(NodeId, Millis)>,
    /// Whether that planner has announced since that it no longer forms groups.
    planner_ended: bool,
    pub(crate) socket: Option<Rc<UdpSocket>>,
    /// The lease as this daemon holds it.
    pub(crate) lease: Option<LeaseSnapshot>,
    /// The lease in the planner's last heartbeat.
    pub(crate) received_lease: Option<LeaseSnapshot>,
    /// As planner: the last demand report of each daemon, and when it was received.
    demand_reports: HashMap<NodeId, (Millis, DemandReport)>,
    /// As planner: the urgency of the demand of each daemon, and when it was received.
    urgent_demand: HashMap<NodeId, (Millis, UrgentDemand)>,
    /// As planner: targets that answered no probe.
    pub(crate) unresponsive: Vec<TargetId>,
    /// Targets that answered no probe, in the planner's last heartbeat.
    received_unresponsive: Vec<TargetId>,
    /// Groups whose members may be joined late, if this daemon knows of all.
    pub(crate) late_joins: Option<Vec<GroupRef>>,
    /// Groups whose members may be joined late, as received last: from the planner, or from any
    /// daemon while this one has not watched for long.
    pub(crate) received_late_joins: Option<LateJoins>,
}

impl Peers {
    /// Returns the number of known daemons, this one included, whether they are alive or not.
    pub(crate) fn daemon_count(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns the number of known daemons of a data centre, this one included.
    pub(crate) fn near_count(&self, hall: &HallId) -> usize {
        let near = self
            .by_hall
            .iter()
            .filter(|(h, _)| spread::is_near(h, hall));
        near.map(|(_, count)| count).sum::<usize>() + 1
    }

    /// Returns the time between two heartbeats to the own data centre.
    pub(crate) fn near_interval(&self, hall: &HallId) -> Millis {
        MIN_HEARTBEAT_INTERVAL.max(Millis::new(NEAR_INTERVAL_MS * self.near_count(hall) as u64))
    }

    /// Returns the time between two heartbeats to other data centres. Traffic between data centres
    /// is expensive, and only their owners and the planner need more frequent reports.
    pub(crate) fn far_interval(&self) -> Millis {
        Millis::new(FAR_INTERVAL_MS * self.daemon_count() as u64)
    }

    /// Returns the time between two heartbeats to the planner, in whichever data centre it is.
    pub(crate) fn planner_interval(&self) -> Millis {
        MIN_PLANNER_INTERVAL.max(Millis::new(
            PLANNER_INTERVAL_TENTHS_MS * self.daemon_count() as u64 / 10,
        ))
    }

    /// Returns how long the state in a peer's heartbeat stays valid, for daemons that receive more
    /// heartbeats than the rest: two heartbeats in a row may be late.
    pub(crate) fn peer_timeout(&self, hall: &HallId) -> Millis {
        let interval = self.near_interval(hall).max(self.planner_interval());
        PEER_TIMEOUT.max(Millis::new(interval.get() * 9 / 4))
    }

    /// Returns how long a peer of another data centre counts as alive after its last heartbeat.
    fn far_timeout(&self) -> Millis {
        PEER_TIMEOUT.max(Millis::new(self.far_interval().get() * 9 / 4))
    }

    /// Returns the number of peers with a recent heartbeat.
    pub(crate) fn live_count(&self, now: Millis) -> usize {
        let timeout = self.far_timeout();
        self.known
            .values()
            .filter(|p| p.is_recent(now, timeout))
            .count()
    }

    /// Returns whether the planner has sent a recent heartbeat and still forms groups.
    pub(crate) fn is_planner_alive(&self, now: Millis) -> bool {
        let seen_at = self.planner_seen_at();
        !self.planner_ended && seen_at.is_some_and(|at| now - at < PLANNER_TIMEOUT)
    }

    /// Returns when the last heartbeat of a planner was received.
    pub(crate) fn planner_seen_at(&self) -> Option<Millis> {
        self.planner.as_ref().map(|(_, at)| *at)
    }

    /// Returns the daemon that sent the last heartbeat of a planner.
    pub(crate) fn planner(&self) -> Option<NodeId> {
        self.planner.as_ref().map(|(name, _)| name.clone())
    }

    /// Returns whether the planner found a target unresponsive.
    pub(crate) fn is_unresponsive(&self, target: &TargetId) -> bool {
        self.unresponsive.contains(target) || self.received_unresponsive.contains(target)
    }

    /// Returns whether a peer is in another data centre than `hall`.
    fn is_far(&self, name: &NodeId, hall: &HallId) -> bool {
        self.known.get(name).is_some_and(|p| p.hall != *hall)
    }

    /// Returns whether any peer has received a request.
    pub(crate) fn any_busy(&self) -> bool {
        self.known.values().any(|p| p.busy)
    }

    /// Returns the targets that peers suspect.
    pub(crate) fn suspects(&self, hall: &HallId, now: Millis) -> HashSet<TargetId> {
        let timeout = self.peer_timeout(hall);
        let fresh = self.known.values().filter(|p| p.is_recent(now, timeout));
        fresh.flat_map(|p| p.suspects.iter().cloned()).collect()
    }

    /// Returns the targets whose streams are slow according to peers.
    pub(crate) fn slow(&self, hall: &HallId, now: Millis) -> HashSet<TargetId> {
        let timeout = self.peer_timeout(hall);
        let fresh = self.known.values().filter(|p| p.is_recent(now, timeout));
        fresh.flat_map(|p| p.slow.iter().cloned()).collect()
    }

    /// Returns the targets at which a peer has requests without suspecting them, or that still send
    /// it streams.
    pub(crate) fn working(&self, hall: &HallId, now: Millis) -> HashSet<TargetId> {
        let timeout = self.peer_timeout(hall);
        let fresh = self.known.values().filter(|p| p.is_recent(now, timeout));
        let all = fresh.flat_map(Peer::working);
        all.cloned().collect()
    }

    /// Records the services whose targets a peer does not reach; valid until `until`.
    pub(crate) fn set_lost_links(&mut self, lost: LostLinks, until: Millis) {
        if let Some(peer) = self.known.get_mut(&lost.from) {
            peer.lost_links = Some((lost.services, until)).filter(|(s, _)| !s.is_empty());
        }
    }

    /// Returns a number that changes whenever [`Peers::members`] would return other daemons.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the addresses of all known daemons.
    fn all_addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|p| p.address).collect()
    }

    /// Returns the daemons that count as alive, including the one that `edge` belongs to.
    fn members(&self, edge: &Edge) -> Vec<Member> {
        let (now, settings) = (edge.now(), edge.settings());
        let peers = self.alive(now).map(|(name, p)| Member {
            name: name.clone(),
            address: p.address,
            hall: p.hall.clone(),
            link: p.link,
        });
        peers.chain([Member::own(&settings)]).collect()
    }

    /// Adds a daemon that another daemon reported.
    fn add_member(&mut self, member: &Member, now: Millis) {
        let (name, hall) = (member.name.clone(), member.hall.clone());
        self.add(name.clone(), member.address, hall, now);
        if let Some(peer) = self.known.get_mut(&name) {
            peer.link = member.link;
        }
    }

    /// Returns the peers that have not been without a heartbeat for too long.
    fn alive(&self, now: Millis) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let alive = move |p: &Peer| p.since_heartbeat(now) < REMOVAL_TIMEOUT;
        self.known.iter().filter(move |(_, p)| alive(p))
    }

    /// Returns the names of the peers in [`Peers::alive`].
    pub(crate) fn live_names(&self, now: Millis) -> Vec<NodeId> {
        self.alive(now).map(|(name, _)| name.clone()).collect()
    }

    /// Returns the names of the peers of a data centre.
    pub(crate) fn near_names(&self, hall: &HallId) -> Vec<NodeId> {
        let near = self.known.iter().filter(|(_, p)| p.is_near(hall));
        near.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the address of a peer.
    pub(crate) fn address(&self, name: &NodeId) -> Option<SocketAddr> {
        self.known.get(name).map(|p| p.address)
    }

    /// Returns the addresses of the peers in [`Peers::alive`] that are within reach.
    fn addresses(
        &self,
        now: Millis,
        hall: &HallId,
        reach: Reach,
    ) -> impl Iterator<Item = SocketAddr> {
        let is_within_reach = move |p: &Peer| reach == Reach::All || p.is_near(hall);
        let peers = self.alive(now).filter(move |(_, p)| is_within_reach(p));
        peers.map(|(_, p)| p.address)
    }

    fn expired(&self, timeout: Millis, now: Millis) -> Vec<NodeId> {
        let expired = self
            .known
            .iter()
            .filter(|(_, p)| p.since_heartbeat(now) > timeout);
        expired.map(|(name, _)| name.clone()).collect()
    }

    /// Removes the peers that have sent no heartbeat for long. Those that the store still lists are
    /// added again and receive this daemon's heartbeats again.
    fn remove_expired(&mut self, now: Millis) {
        self.known
            .retain(|_, p| p.since_heartbeat(now) < REMOVAL_TIMEOUT);
        self.revision += 1;
        self.by_hall.clear();
        for peer in self.known.values() {
            *self.by_hall.entry(peer.hall.clone()).or_default() += 1;
        }
    }

    /// Records a peer's heartbeat and returns what it changed.
    fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        address: SocketAddr,
        now: Millis,
    ) -> PeerChange {
        let change = match self.known.get(&heartbeat.from) {
            // A daemon that has restarted knows as little as a new one. When restarts were not
            // detected, such a daemon received the limits of targets two seconds later, and sent
            // requests meanwhile.
            None => PeerChange::Started,
            Some(peer) if peer.boot != Some(heartbeat.boot) => PeerChange::Started,
            Some(peer) if heartbeat.store == StoreUse::Reads && peer.store != heartbeat.store => {
                PeerChange::ReadsStore
            }
            Some(_) => PeerChange::Unchanged,
        };
        self.add(heartbeat.from.clone(), address, heartbeat.hall.clone(), now);
        let Some(peer) = self.known.get_mut(&heartbeat.from) else {
            return change;
        };
        peer.last_heartbeat = Some(now);
        peer.boot = Some(heartbeat.boot);
        peer.link = heartbeat.link;
        if peer.hall != heartbeat.hall {
            let old_hall = std::mem::replace(&mut peer.hall, heartbeat.hall.clone());
            self.revision += 1;
            *self.by_hall.entry(heartbeat.hall.clone()).or_default() += 1;
            if let Some(count) = self.by_hall.get_mut(&old_hall) {
                *count -= 1;
            }
        }
        peer.store = heartbeat.store;
        peer.busy = heartbeat.busy;
        peer.owns = heartbeat.owns;
        peer.suspects.clone_from(&heartbeat.suspects);
        peer.streaming.clone_from(&heartbeat.streaming);
        peer.slow.clone_from(&heartbeat.slow);
        peer.active_targets = heartbeat.counts.iter().map(|(id, _)| id.clone()).collect();
        if let Some(late) = &heartbeat.late_joins
            && (heartbeat.plans || self.late_joins.is_none())
        {
            let groups = late.clone();
            self.received_late_joins = Some(LateJoins { groups, at: now });
        }
        if heartbeat.plans {
            self.planner = Some((heartbeat.from.clone(), now));
            self.planner_ended = false;
            self.received_lease.clone_from(&heartbeat.lease);
            self.received_unresponsive
                .clone_from(&heartbeat.unresponsive);
        } else if self.planner().as_ref() == Some(&heartbeat.from) {
            self.planner_ended = true;
        }
        change
    }

    fn add(&mut self, name: NodeId, address: SocketAddr, hall: HallId, now: Millis) {
        let peer = self.known.entry(name).or_insert_with(|| {
            self.revision += 1;
            *self.by_hall.entry(hall.clone()).or_default() += 1;
            Peer {
                address,
                hall,
                link: 0,
                boot: None,
                last_heartbeat: None,
                listed_at: now,
                store: StoreUse::Asks,
                busy: false,
                owns: false,
                suspects: Vec::new(),
                streaming: Vec::new(),
                slow: Vec::new(),
                active_targets: Vec::new(),
                lost_links: None,
            }
        });
        if peer.address != address {
            peer.address = address;
            self.revision += 1;
        }
    }
}
