//! Which daemon does what for the others, as far as this one knows them.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::IndexedRandom;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_core::{HallId, Millis, NodeId};
use thistlesill_policy::edge::spread;

use super::packet::StoreUse;
use super::{Peer, Peers};

impl Peers {
    /// Whether the list of daemons in the store has been read.
    pub(crate) const fn is_listed(&self) -> bool {
        self.listed
    }

    /// Whether `me` comes first among all daemons that the store listed, whether they
    /// live or not.
    pub(crate) fn is_first_listed(&self, me: &NodeId) -> bool {
        self.listed && self.known.keys().all(|name| me < name)
    }

    /// The rank of `me` among all daemons of its data centre that are known, whether they
    /// live or not.
    pub(crate) fn rank(&self, me: &NodeId, hall: &HallId) -> usize {
        let near = self.known.iter().filter(|(_, p)| p.hall == *hall);
        near.filter(|(name, _)| *name < me).count()
    }

    /// The address of the peer of a rank, in a data centre in which all with a smaller
    /// rank than this daemon's are peers.
    pub(crate) fn at_rank(&self, rank: usize, hall: &HallId) -> Option<SocketAddr> {
        let near = self.known.iter().filter(|(_, p)| p.hall == *hall);
        let mut near: Vec<(&NodeId, SocketAddr)> = near.map(|(n, p)| (n, p.address)).collect();
        near.sort_unstable();
        near.get(rank).map(|(_, address)| *address)
    }

    /// Whether `me` comes first among the daemons of its data centre that are heard, or
    /// are listed and may be heard yet; those that cannot reach the store come last.
    pub(crate) fn is_first(&self, me: &NodeId, away: bool, hall: &HallId, now: Millis) -> bool {
        if !self.listed {
            // Most of them are not known yet, and all would take themselves for the first:
            // 894 calls of 12 daemons that start while the store turns them away for 4 s.
            return false;
        }
        self.ahead(me, away, hall, now) == 0
    }

    /// How many daemons of its data centre come before `me` among those that are heard, or
    /// are listed and may be heard yet; those that cannot reach the store come last.
    pub(crate) fn ahead(&self, me: &NodeId, away: bool, hall: &HallId, now: Millis) -> usize {
        let trust = self.trust(hall);
        let present = |p: &Peer| p.silence(now) < trust;
        let near = self
            .known
            .iter()
            .filter(|(_, p)| p.hall == *hall && present(p));
        let ranks = near.map(|(name, p)| (p.store == StoreUse::Away, name));
        ranks.filter(|rank| *rank < (away, me)).count()
    }

    /// Tells which peers count as living: those of the own data centre `own` beat more
    /// often than others.
    fn lives<'a>(&self, own: &'a HallId, now: Millis) -> impl Fn(&Peer) -> bool + use<'a> {
        let (near, far) = (self.trust(own), self.far_trust());
        move |peer| peer.is_heard(now, if peer.hall == *own { near } else { far })
    }

    /// The peers of a data centre that may own scopes; `own` is this daemon's one.
    pub(crate) fn owners(
        &self,
        hall: &HallId,
        own: &HallId,
        now: Millis,
    ) -> impl Iterator<Item = &NodeId> {
        let owners = self.able(own, now).filter(|(_, p)| p.hall == *hall);
        owners.map(|(name, _)| name)
    }

    /// The peers of all data centres that may own scopes; `own` is this daemon's one.
    pub(crate) fn all_owners(&self, own: &HallId, now: Millis) -> impl Iterator<Item = &NodeId> {
        self.able(own, now).map(|(name, _)| name)
    }

    /// The peers that may own scopes, wherever they are.
    fn able(&self, own: &HallId, now: Millis) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let lives = self.lives(own, now);
        self.known.iter().filter(move |(_, p)| p.owns && lives(p))
    }

    /// A peer that reads the store, of the same data centre if there is one.
    pub(crate) fn reader(&self, hall: &HallId, now: Millis) -> Option<NodeId> {
        let lives = self.lives(hall, now);
        let readers = self
            .known
            .iter()
            .filter(|(_, p)| p.store != StoreUse::Asks && lives(p));
        let best = readers.min_by_key(|(name, p)| (p.store, p.hall != *hall, (*name).clone()));
        best.map(|(name, _)| name.clone())
    }

    /// The daemon of its data centre that the one with these settings asks; `None` if it is
    /// one of those that ask the reader of the store.
    pub(crate) fn delegate(&self, settings: &EdgeSettings, now: Millis) -> Option<NodeId> {
        let (me, hall) = (&settings.name, &settings.hall);
        let lives = self.lives(hall, now);
        let near = self
            .known
            .iter()
            .filter(|(_, p)| p.hall == *hall && lives(p));
        let present = near.filter(|(_, p)| p.store != StoreUse::Away);
        let present = present.map(|(name, p)| (name, p.link));
        let all: Vec<(&NodeId, u32)> = present.chain([(me, settings.link)]).collect();
        spread::delegate(me, &all).cloned()
    }

    /// Some peers of each data centre, drawn among those that are heard.
    pub(crate) fn draw_by_hall(
        &self,
        count: usize,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) -> Vec<NodeId> {
        let trust = self.far_trust();
        let mut halls: HashMap<&HallId, Vec<(&NodeId, u32)>> = HashMap::new();
        for (name, peer) in self.known.iter().filter(|(_, p)| p.is_heard(now, trust)) {
            halls.entry(&peer.hall).or_default().push((name, peer.link));
        }
        let drawn = halls.into_values().flat_map(|there| {
            let able = spread::well_connected(&there);
            able.sample(rng, count).copied().collect::<Vec<_>>()
        });
        drawn.cloned().collect()
    }
}
