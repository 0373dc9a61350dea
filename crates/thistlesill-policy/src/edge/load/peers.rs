//! What peers told of their requests at each target.

use std::collections::HashMap;
use std::ops::Add;

use thistlesill_core::edge::TargetId;
use thistlesill_core::{Millis, NodeId};

use super::Work;

/// One peer's requests by target.
#[derive(Debug, Clone, Default)]
struct Told {
    until: Millis,
    counts: HashMap<TargetId, Work>,
}

/// All peers' requests by target.
///
/// The sums are kept: some hundred peers would be asked for each of some ten targets
/// at each request.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerCounts {
    peers: HashMap<NodeId, Told>,
    /// The sum of all peers' counts, by target.
    sums: HashMap<TargetId, Work>,
    /// When the first of the counts ends; the sums hold until then.
    ends: Option<Millis>,
}

impl PeerCounts {
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Takes in a peer's counts in place of those that it told before.
    pub(super) fn hear(&mut self, peer: &NodeId, counts: HashMap<TargetId, Work>, until: Millis) {
        for (id, work) in &counts {
            *self.sums.entry(id.clone()).or_default() += *work;
        }
        let news = Told { until, counts };
        if let Some(old) = self.peers.insert(peer.clone(), news) {
            self.subtract(&old);
        }
        self.end_by(until);
    }

    /// Adds a request to a peer's counts.
    pub(super) fn grant(&mut self, peer: &NodeId, id: &TargetId, unread: u32, until: Millis) {
        let work = Work {
            requests: 1,
            unread,
        };
        let told = self.peers.entry(peer.clone()).or_insert(Told {
            until,
            counts: HashMap::new(),
        });
        *told.counts.entry(id.clone()).or_default() += work;
        *self.sums.entry(id.clone()).or_default() += work;
        self.end_by(until);
    }

    /// Forgets counts that are out of time.
    pub(super) fn retain(&mut self, now: Millis) {
        let over = self.peers.extract_if(|_, told| now >= told.until);
        let over: Vec<Told> = over.map(|(_, told)| told).collect();
        for told in &over {
            self.subtract(told);
        }
        self.ends = self.peers.values().map(|told| told.until).min();
    }

    /// Work at a target.
    pub(super) fn work(&self, id: &TargetId, now: Millis) -> Work {
        if self.ends.is_none_or(|ends| now < ends) {
            return self.sums.get(id).copied().unwrap_or_default();
        }
        let counts = self.fresh(now).filter_map(|told| told.counts.get(id));
        counts.copied().fold(Work::default(), Add::add)
    }

    /// The counts of each peer.
    pub(super) fn counts(&self, now: Millis) -> impl Iterator<Item = (&TargetId, &Work)> {
        self.fresh(now).flat_map(|told| &told.counts)
    }

    fn fresh(&self, now: Millis) -> impl Iterator<Item = &Told> {
        self.peers.values().filter(move |told| now < told.until)
    }

    fn end_by(&mut self, until: Millis) {
        self.ends = Some(self.ends.map_or(until, |ends| ends.min(until)));
    }

    fn subtract(&mut self, old: &Told) {
        for (id, work) in &old.counts {
            if let Some(sum) = self.sums.get_mut(id) {
                *sum = *sum - *work;
                if *sum == Work::default() {
                    self.sums.remove(id);
                }
            }
        }
    }
}
