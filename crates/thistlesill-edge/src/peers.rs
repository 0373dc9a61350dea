//! The other daemons: what they tell of their load, what they suspect, and
//! which of them reads the store and forms groups.
//!
//! Datagrams may be lost; each is made good by a later one.

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
use thistlesill_core::{HallId, Millis, Model, NodeId, ServiceName};
use thistlesill_policy::edge::fleet::{Demand, LateJoins};
use thistlesill_policy::edge::spread;
use thistlesill_policy::lease::LeaseSnapshot;
use tokio::net::UdpSocket;

use self::packet::{AskedWork, Beat, StoreUse};
use self::transfer::Member;
use crate::state::Edge;

/// The shortest silence after which a peer counts as down.
const SILENT: Millis = Millis::new(1_500);
/// The shortest time between two beats of a daemon that has requests. Owners know
/// the load exactly, so beats only tell who lives and what it suspects.
const NEAR_LEAST: Millis = Millis::new(150);
/// Between two beats to the own data centre, for each daemon there, in milliseconds:
/// what a daemon hears of them stays at some sixty beats a second.
const NEAR_EACH: u64 = 16;
/// Between two beats to other data centres, for each daemon, in milliseconds:
/// what a daemon hears of them stays at thirty beats a second.
const FAR_EACH: u64 = 34;
/// Between two beats to a planner in another data centre, for each daemon, in
/// tenths of a millisecond: it hears three hundred a second.
const PLANNER_EACH: u64 = 34;
/// The shortest time between two of these.
const PLANNER_LEAST: Millis = Millis::new(300);
/// After this silence the planner counts as down.
const PLANNER_SILENT: Millis = Millis::new(1_200);
/// After this silence a daemon is forgotten.
const REMOVED: Millis = Millis::new(40_000);
/// The shortest time between two accounts of what callers ask a daemon for: groups follow
/// it within seconds.
const ASKED_LEAST: Millis = Millis::new(1_000);
/// Between two of them, for each daemon, in tenths of a millisecond: the daemon that forms
/// groups hears 660 a second.
const ASKED_EACH: u64 = 15;

/// Which peers a datagram goes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Those of the same data centre, and those whose data centre is not known.
    Near,
    /// All.
    All,
}

/// What a beat tells that is new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Nothing of note.
    Nothing,
    /// There is a peer of which this daemon knew nothing, or that has started again.
    Peer,
    /// The peer has begun to read the store, or reads it again.
    Reader,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    hall: HallId,
    /// What its machine's connection bears, in Mbit a second.
    link: u32,
    /// Which start of it was heard last.
    boot: Option<u64>,
    heard: Option<Millis>,
    listed: Millis,
    store: StoreUse,
    busy: bool,
    owns: bool,
    suspects: Vec<TargetId>,
    going_on: Vec<TargetId>,
    slow: Vec<TargetId>,
    busy_at: Vec<TargetId>,
}

impl Peer {
    fn is_heard(&self, now: Millis, trust: Millis) -> bool {
        self.heard.is_some_and(|at| now - at < trust)
    }

    fn is_near(&self, hall: &HallId) -> bool {
        spread::is_near(&self.hall, hall)
    }

    fn working(&self) -> impl Iterator<Item = &TargetId> {
        let sound = |id: &&TargetId| !self.suspects.contains(id);
        self.busy_at.iter().filter(sound).chain(&self.going_on)
    }

    fn silence(&self, now: Millis) -> Millis {
        now - self.heard.unwrap_or(self.listed)
    }
}

/// The daemons that are known.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: HashMap<NodeId, Peer>,
    /// Rises when a daemon becomes known, moves or is forgotten.
    revision: u64,
    /// How many of them there are by data centre: each beat's trust depends on it.
    by_hall: HashMap<HallId, usize>,
    /// Whether the list of daemons in the store has been read.
    listed: bool,
    planner: Option<(NodeId, Millis)>,
    /// Whether that planner has said since that it forms groups no longer.
    planner_ended: bool,
    pub(crate) socket: Option<Rc<UdpSocket>>,
    /// The lease as this daemon holds it.
    pub(crate) shown: Option<LeaseSnapshot>,
    /// The lease as another daemon told of it.
    pub(crate) heard_lease: Option<LeaseSnapshot>,
    /// As planner: what callers ask the other daemons for, and when they told.
    asked: HashMap<NodeId, (Millis, AskedWork)>,
    /// As planner: targets that answered no probe.
    pub(crate) dead: Vec<TargetId>,
    /// The same as another planner told last.
    told_dead: Vec<TargetId>,
    /// Groups whose members may be joined late, if this daemon knows of all.
    pub(crate) late: Option<Vec<GroupRef>>,
    /// The same as another daemon told last: the planner, or any while this one has not
    /// watched for long.
    pub(crate) told_late: Option<LateJoins>,
}

impl Peers {
    /// How many daemons there may be, this one included.
    pub(crate) fn most(&self) -> usize {
        self.known.len() + 1
    }

    /// How many daemons of a data centre there may be, this one included.
    pub(crate) fn near(&self, hall: &HallId) -> usize {
        let near = self
            .by_hall
            .iter()
            .filter(|(h, _)| spread::is_near(h, hall));
        near.map(|(_, count)| count).sum::<usize>() + 1
    }

    /// The time between two beats to the own data centre.
    pub(crate) fn near_gap(&self, hall: &HallId) -> Millis {
        NEAR_LEAST.max(Millis::new(NEAR_EACH * self.near(hall) as u64))
    }

    /// The time between two beats to other data centres. Bytes on the way there
    /// cost, and only their owners, and the planner, need to know more.
    pub(crate) fn far_gap(&self) -> Millis {
        Millis::new(FAR_EACH * self.most() as u64)
    }

    /// The time between two beats to the planner, wherever it is.
    pub(crate) fn planner_gap(&self) -> Millis {
        PLANNER_LEAST.max(Millis::new(PLANNER_EACH * self.most() as u64 / 10))
    }

    /// The time between two accounts of what callers ask a daemon for.
    pub(crate) fn asked_gap(&self) -> Millis {
        ASKED_LEAST.max(Millis::new(ASKED_EACH * self.most() as u64 / 10))
    }

    /// How long such an account is believed: two of them may be lost.
    fn asked_trust(&self) -> Millis {
        Millis::new(self.asked_gap().get() * 7 / 2)
    }

    /// How long what a peer told is believed, by those that are told more often than
    /// the rest: two beats may come late in a row.
    pub(crate) fn trust(&self, hall: &HallId) -> Millis {
        let gap = self.near_gap(hall).max(self.planner_gap());
        SILENT.max(Millis::new(gap.get() * 9 / 4))
    }

    /// How long a peer of another data centre counts as living after its last beat.
    fn far_trust(&self) -> Millis {
        SILENT.max(Millis::new(self.far_gap().get() * 9 / 4))
    }

    /// How many peers were heard a moment ago.
    pub(crate) fn heard(&self, now: Millis) -> usize {
        let trust = self.far_trust();
        self.known
            .values()
            .filter(|p| p.is_heard(now, trust))
            .count()
    }

    /// Whether a daemon that forms groups was heard a moment ago.
    pub(crate) fn hears_planner(&self, now: Millis) -> bool {
        let heard = self.planner_heard();
        !self.planner_ended && heard.is_some_and(|at| now - at < PLANNER_SILENT)
    }

    /// When a daemon that forms groups was last heard.
    pub(crate) fn planner_heard(&self) -> Option<Millis> {
        self.planner.as_ref().map(|(_, at)| *at)
    }

    /// The daemon that formed groups when it was last heard.
    pub(crate) fn planner(&self) -> Option<NodeId> {
        self.planner.as_ref().map(|(name, _)| name.clone())
    }

    /// Whether the daemon that forms groups found a target dead.
    pub(crate) fn is_dead(&self, target: &TargetId) -> bool {
        self.dead.contains(target) || self.told_dead.contains(target)
    }

    /// Whether a peer is in another data centre than `hall`.
    fn is_far(&self, name: &NodeId, hall: &HallId) -> bool {
        self.known.get(name).is_some_and(|p| p.hall != *hall)
    }

    /// Whether any peer has had a request.
    pub(crate) fn any_busy(&self) -> bool {
        self.known.values().any(|p| p.busy)
    }

    /// Targets that peers suspect.
    pub(crate) fn suspects(&self, hall: &HallId, now: Millis) -> HashSet<TargetId> {
        let trust = self.trust(hall);
        let fresh = self.known.values().filter(|p| p.is_heard(now, trust));
        fresh.flat_map(|p| p.suspects.iter().cloned()).collect()
    }

    /// Targets whose streams are slow, as peers see it.
    pub(crate) fn slow(&self, hall: &HallId, now: Millis) -> HashSet<TargetId> {
        let trust = self.trust(hall);
        let fresh = self.known.values().filter(|p| p.is_heard(now, trust));
        fresh.flat_map(|p| p.slow.iter().cloned()).collect()
    }

    /// Targets at which a peer has requests without suspecting them, or streams that
    /// go on.
    pub(crate) fn working(&self, hall: &HallId, now: Millis) -> HashSet<TargetId> {
        let trust = self.trust(hall);
        let fresh = self.known.values().filter(|p| p.is_heard(now, trust));
        let all = fresh.flat_map(Peer::working);
        all.cloned().collect()
    }

    /// Takes in what callers ask a peer for.
    pub(crate) fn hear_asked(&mut self, asked: AskedWork, now: Millis) {
        self.asked.insert(asked.from.clone(), (now, asked));
        let trust = self.asked_trust();
        self.asked.retain(|_, (at, _)| now - *at < trust);
    }

    /// What callers ask the peers for, of one service.
    pub(crate) fn demand(&self, service: &ServiceName, now: Millis) -> Demand {
        let trust = self.asked_trust();
        let fresh = self.asked.values().filter(|(at, _)| now - *at < trust);
        let all = fresh.flat_map(|(_, asked)| &asked.work);
        let mut demand = Demand::new();
        for (_, model, work) in all.filter(|(name, _, _)| name == service) {
            *demand.entry(Model::clone(model)).or_default() += f64::from(*work);
        }
        demand
    }

    /// Changes whenever [`Peers::members`] would name other daemons.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    /// The addresses of all daemons that are known.
    fn all_addresses(&self) -> Vec<SocketAddr> {
        self.known.values().map(|p| p.address).collect()
    }

    /// The daemons that live as far as is known, with `edge`'s own.
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

    /// Takes in a daemon that another one tells of.
    fn note_member(&mut self, member: &Member, now: Millis) {
        let (name, hall) = (member.name.clone(), member.hall.clone());
        self.list(name.clone(), member.address, hall, now);
        if let Some(peer) = self.known.get_mut(&name) {
            peer.link = member.link;
        }
    }

    /// The peers that may live.
    fn alive(&self, now: Millis) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let alive = move |p: &Peer| p.silence(now) < REMOVED;
        self.known.iter().filter(move |(_, p)| alive(p))
    }

    /// The names of all peers that may live.
    pub(crate) fn living(&self, now: Millis) -> Vec<NodeId> {
        self.alive(now).map(|(name, _)| name.clone()).collect()
    }

    /// The names of the peers of a data centre.
    pub(crate) fn near_names(&self, hall: &HallId) -> Vec<NodeId> {
        let near = self.known.iter().filter(|(_, p)| p.is_near(hall));
        near.map(|(name, _)| name.clone()).collect()
    }

    /// The address of a peer.
    pub(crate) fn address(&self, name: &NodeId) -> Option<SocketAddr> {
        self.known.get(name).map(|p| p.address)
    }

    /// The addresses of all peers that may live.
    fn addresses(
        &self,
        now: Millis,
        hall: &HallId,
        reach: Reach,
    ) -> impl Iterator<Item = SocketAddr> {
        let wanted = move |p: &Peer| reach == Reach::All || p.is_near(hall);
        let peers = self.alive(now).filter(move |(_, p)| wanted(p));
        peers.map(|(_, p)| p.address)
    }

    fn silent_for(&self, time: Millis, now: Millis) -> Vec<NodeId> {
        let silent = self.known.iter().filter(|(_, p)| p.silence(now) > time);
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets all that have been silent for long, so that those that the store
    /// still lists are told of this daemon again.
    fn forget_silent(&mut self, now: Millis) {
        self.known.retain(|_, p| p.silence(now) < REMOVED);
        self.revision += 1;
        self.by_hall.clear();
        for peer in self.known.values() {
            *self.by_hall.entry(peer.hall.clone()).or_default() += 1;
        }
    }

    /// Takes in how a peer is; returns what is new of it.
    fn hear(&mut self, beat: &Beat, from: SocketAddr, now: Millis) -> News {
        let news = match self.known.get(&beat.from) {
            // One that has started again knows as little as one that is new: without this it
            // was told of targets' limits two seconds later, and sent requests meanwhile.
            None => News::Peer,
            Some(peer) if peer.boot != Some(beat.boot) => News::Peer,
            Some(peer) if beat.store == StoreUse::Reads && peer.store != beat.store => News::Reader,
            Some(_) => News::Nothing,
        };
        self.list(beat.from.clone(), from, beat.hall.clone(), now);
        let Some(peer) = self.known.get_mut(&beat.from) else {
            return news;
        };
        peer.heard = Some(now);
        peer.boot = Some(beat.boot);
        peer.link = beat.link;
        if peer.hall != beat.hall {
            let before = std::mem::replace(&mut peer.hall, beat.hall.clone());
            self.revision += 1;
            *self.by_hall.entry(beat.hall.clone()).or_default() += 1;
            if let Some(count) = self.by_hall.get_mut(&before) {
                *count -= 1;
            }
        }
        peer.store = beat.store;
        peer.busy = beat.busy;
        peer.owns = beat.owns;
        peer.suspects.clone_from(&beat.suspects);
        peer.going_on.clone_from(&beat.going_on);
        peer.slow.clone_from(&beat.slow);
        peer.busy_at = beat.counts.iter().map(|(id, _)| id.clone()).collect();
        if let Some(late) = &beat.late
            && (beat.plans || self.late.is_none())
        {
            let groups = late.clone();
            self.told_late = Some(LateJoins { groups, at: now });
        }
        if beat.plans {
            self.planner = Some((beat.from.clone(), now));
            self.planner_ended = false;
            self.heard_lease.clone_from(&beat.lease);
            self.told_dead.clone_from(&beat.dead);
        } else if self.planner().as_ref() == Some(&beat.from) {
            self.planner_ended = true;
        }
        news
    }

    fn list(&mut self, name: NodeId, address: SocketAddr, hall: HallId, now: Millis) {
        let peer = self.known.entry(name).or_insert_with(|| {
            self.revision += 1;
            *self.by_hall.entry(hall.clone()).or_default() += 1;
            Peer {
                address,
                hall,
                link: 0,
                boot: None,
                heard: None,
                listed: now,
                store: StoreUse::Asks,
                busy: false,
                owns: false,
                suspects: Vec::new(),
                going_on: Vec::new(),
                slow: Vec::new(),
                busy_at: Vec::new(),
            }
        });
        if peer.address != address {
            peer.address = address;
            self.revision += 1;
        }
    }
}
