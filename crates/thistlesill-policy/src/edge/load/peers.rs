//! Requests at each target as reported by peers.

use std::collections::HashMap;
use std::ops::Add;

use thistlesill_core::edge::TargetId;
use thistlesill_core::{Millis, NodeId};

use super::Work;

/// Requests of one peer, by target.
#[derive(Debug, Clone, Default)]
struct PeerReport {
    until: Millis,
    counts: HashMap<TargetId, Work>,
}

/// Requests of all peers, by target.
///
/// The sums are kept up to date: computing them would take lookups at some hundred peers for each
/// of about ten targets, on every request.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerCounts {
    peers: HashMap<NodeId, PeerReport>,
    /// Sum of all peers' counts, by target.
    sums: HashMap<TargetId, Work>,
    /// When the first of the counts expires; the sums are valid until then.
    expires_at: Option<Millis>,
}

impl PeerCounts {
    pub(super) fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Replaces the counts of a peer.
    pub(super) fn replace(
        &mut self,
        peer: &NodeId,
        counts: HashMap<TargetId, Work>,
        until: Millis,
    ) {
        for (id, work) in &counts {
            *self.sums.entry(id.clone()).or_default() += *work;
        }
        let report = PeerReport { until, counts };
        if let Some(old) = self.peers.insert(peer.clone(), report) {
            self.subtract(&old);
        }
        self.expire_by(until);
    }

    /// Adds a request to a peer's counts.
    pub(super) fn add_granted(&mut self, peer: &NodeId, id: &TargetId, unread: u32, until: Millis) {
        let work = Work {
            requests: 1,
            unread,
        };
        let report = self.peers.entry(peer.clone()).or_insert(PeerReport {
            until,
            counts: HashMap::new(),
        });
        *report.counts.entry(id.clone()).or_default() += work;
        *self.sums.entry(id.clone()).or_default() += work;
        self.expire_by(until);
    }

    /// Removes expired counts.
    pub(super) fn retain(&mut self, now: Millis) {
        let expired = self.peers.extract_if(|_, report| now >= report.until);
        let expired: Vec<PeerReport> = expired.map(|(_, report)| report).collect();
        for report in &expired {
            self.subtract(report);
        }
        self.expires_at = self.peers.values().map(|report| report.until).min();
    }

    /// Returns the work of all peers at a target.
    pub(super) fn work(&self, id: &TargetId, now: Millis) -> Work {
        if self.expires_at.is_none_or(|expires_at| now < expires_at) {
            return self.sums.get(id).copied().unwrap_or_default();
        }
        let counts = self.valid(now).filter_map(|report| report.counts.get(id));
        counts.copied().fold(Work::default(), Add::add)
    }

    /// Returns the work of one peer at a target.
    pub(super) fn work_of(&self, peer: &NodeId, id: &TargetId) -> Work {
        let report = self.peers.get(peer);
        let work = report.and_then(|report| report.counts.get(id));
        work.copied().unwrap_or_default()
    }

    /// Returns the valid counts of all peers, one item for each peer and target.
    pub(super) fn counts(&self, now: Millis) -> impl Iterator<Item = (&TargetId, &Work)> {
        self.valid(now).flat_map(|report| &report.counts)
    }

    fn valid(&self, now: Millis) -> impl Iterator<Item = &PeerReport> {
        self.peers.values().filter(move |report| now < report.until)
    }

    fn expire_by(&mut self, until: Millis) {
        self.expires_at = Some(
            self.expires_at
                .map_or(until, |expires_at| expires_at.min(until)),
        );
    }

    fn subtract(&mut self, old: &PeerReport) {
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
