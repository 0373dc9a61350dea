//! Which daemon does what for the others, as far as this daemon knows them.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_core::{HallId, Millis, NodeId, ServiceName};
use thistlesill_policy::edge::spread;

use super::packet::StoreUse;
use super::{Peer, Peers};

impl Peers {
    /// Returns whether the list of daemons has been read.
    pub(crate) const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns whether `me` comes first among all listed daemons, whether they are alive or not.
    pub(crate) fn is_first_listed(&self, me: &NodeId) -> bool {
        self.listed && self.known.keys().all(|name| me < name)
    }

    /// Returns the rank of `me` among all known daemons of its data centre, whether they are alive
    /// or not.
    pub(crate) fn rank(&self, me: &NodeId, hall: &HallId) -> usize {
        let near = self.known.iter().filter(|(_, p)| p.hall == *hall);
        near.filter(|(name, _)| *name < me).count()
    }

    /// Returns the address of the peer with a rank in its data centre. All daemons of a smaller
    /// rank than this daemon's must be known peers.
    pub(crate) fn address_at_rank(&self, rank: usize, hall: &HallId) -> Option<SocketAddr> {
        let near = self.known.iter().filter(|(_, p)| p.hall == *hall);
        let mut near: Vec<(&NodeId, SocketAddr)> = near.map(|(n, p)| (n, p.address)).collect();
        near.sort_unstable();
        near.get(rank).map(|(_, address)| *address)
    }

    /// Returns whether `me` comes first among the daemons of its data centre that are alive, or
    /// were listed recently and may yet send a heartbeat; those that cannot reach the store come
    /// last.
    pub(crate) fn is_first(
        &self,
        me: &NodeId,
        unreachable: bool,
        hall: &HallId,
        now: Millis,
    ) -> bool {
        if !self.listed {
            // Most peers are not known yet, and each daemon would take itself for the first: 12
            // daemons that start while the store refuses them for 4 s made 894 calls.
            return false;
        }
        self.ahead(me, unreachable, hall, now) == 0
    }

    /// Returns how many daemons of its data centre come before `me` among those that are alive, or
    /// were listed recently and may yet send a heartbeat; those that cannot reach the store come
    /// last.
    pub(crate) fn ahead(
        &self,
        me: &NodeId,
        unreachable: bool,
        hall: &HallId,
        now: Millis,
    ) -> usize {
        let timeout = self.peer_timeout(hall);
        let present = |p: &Peer| p.since_heartbeat(now) < timeout;
        let near = self
            .known
            .iter()
            .filter(|(_, p)| p.hall == *hall && present(p));
        let ranks = near.map(|(name, p)| (p.store == StoreUse::Unreachable, name));
        ranks.filter(|rank| *rank < (unreachable, me)).count()
    }

    /// Returns a test for whether a peer is alive: peers of the own data centre, `own`, send
    /// heartbeats more often than others.
    fn liveness<'a>(&self, own: &'a HallId, now: Millis) -> impl Fn(&Peer) -> bool + use<'a> {
        let (near, far) = (self.peer_timeout(own), self.far_timeout());
        move |peer| peer.is_recent(now, if peer.hall == *own { near } else { far })
    }

    /// Returns the peers of a data centre that may own scopes; `own` is this daemon's data centre.
    pub(crate) fn owners(
        &self,
        hall: &HallId,
        own: &HallId,
        now: Millis,
    ) -> impl Iterator<Item = &NodeId> {
        let owners = self
            .owner_candidates(own, now)
            .filter(|(_, p)| p.hall == *hall);
        owners.map(|(name, _)| name)
    }

    /// Returns the data centres of the known peers.
    pub(crate) fn halls(&self) -> HashSet<HallId> {
        let halls = self.known.values().map(|peer| peer.hall.clone());
        halls.collect()
    }

    /// Returns the peers of all data centres that may own scopes; `own` is this daemon's data
    /// centre.
    pub(crate) fn all_owners(&self, own: &HallId, now: Millis) -> impl Iterator<Item = &NodeId> {
        self.owner_candidates(own, now).map(|(name, _)| name)
    }

    /// Returns the live peers that may own scopes, in whichever data centre.
    fn owner_candidates(
        &self,
        own: &HallId,
        now: Millis,
    ) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let is_alive = self.liveness(own, now);
        self.known
            .iter()
            .filter(move |(_, p)| p.owns && is_alive(p))
    }

    /// Returns whether a peer is alive; `own` is this daemon's data centre.
    pub(crate) fn is_alive(&self, name: &NodeId, own: &HallId, now: Millis) -> bool {
        let is_alive = self.liveness(own, now);
        self.known.get(name).is_some_and(is_alive)
    }

    /// Returns the live peers that have not reported that they lost their links to the targets of a
    /// service, and whether each is in another data centre than `own`.
    pub(crate) fn reaching<'a>(
        &'a self,
        service: &'a ServiceName,
        own: &'a HallId,
        now: Millis,
    ) -> impl Iterator<Item = (&'a NodeId, bool)> {
        let is_alive = self.liveness(own, now);
        let peers = self.known.iter();
        let reaching = peers.filter(move |(_, p)| is_alive(p) && !p.has_lost(service, now));
        reaching.map(|(name, p)| (name, p.hall != *own))
    }

    /// Returns a peer that reads the store, of the same data centre if there is one.
    pub(crate) fn reader(&self, hall: &HallId, now: Millis) -> Option<NodeId> {
        let is_alive = self.liveness(hall, now);
        let readers = self
            .known
            .iter()
            .filter(|(_, p)| p.store != StoreUse::Asks && is_alive(p));
        let best = readers.min_by_key(|(name, p)| (p.store, p.hall != *hall, (*name).clone()));
        best.map(|(name, _)| name.clone())
    }

    /// Returns the daemon of its data centre that the daemon with these settings asks; `None` if
    /// that daemon is one of those that ask the reader of the store.
    pub(crate) fn delegate(&self, settings: &EdgeSettings, now: Millis) -> Option<NodeId> {
        let (me, hall) = (&settings.name, &settings.hall);
        let is_alive = self.liveness(hall, now);
        let near = self
            .known
            .iter()
            .filter(|(_, p)| p.hall == *hall && is_alive(p));
        let present = near.filter(|(_, p)| p.store != StoreUse::Unreachable);
        let present = present.map(|(name, p)| (name, p.link));
        let all: Vec<(&NodeId, u32)> = present.chain([(me, settings.link)]).collect();
        spread::delegate(me, &all).cloned()
    }

    /// Draws some peers of each data centre among those that are alive.
    pub(crate) fn sample_by_hall(
        &self,
        count: usize,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) -> Vec<NodeId> {
        let timeout = self.far_timeout();
        let mut halls: HashMap<&HallId, Vec<(&NodeId, u32)>> = HashMap::new();
        for (name, peer) in self.known.iter().filter(|(_, p)| p.is_recent(now, timeout)) {
            halls.entry(&peer.hall).or_default().push((name, peer.link));
        }
        let drawn = halls.into_values().flat_map(|there| {
            let connected = spread::well_connected(&there);
            connected.sample(rng, count).copied().collect::<Vec<_>>()
        });
        drawn.cloned().collect()
    }
}
