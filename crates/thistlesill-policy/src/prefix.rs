//! Estimate of the contents of a group's prefix cache.
//!
//! Cache events arrive late and with gaps, so an entry is a hint that expires, and a gap in the
//! events shortens the lifetime of all entries.

use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::report::CacheEvent;

/// Lifetime of a hint that is not confirmed again.
const HINT_TTL: Millis = Millis::new(60_000);
/// Remaining lifetime of hints that are older than a gap in the events.
const HINT_TTL_AFTER_GAP: Millis = Millis::new(10_000);
/// Maximum number of hints per group; the one that expires first is evicted.
const MAX_ENTRIES: usize = 1_024;

/// Prefixes that one group's cache is expected to hold.
#[derive(Debug, Clone, Default)]
pub struct PrefixHints {
    last_seq: u64,
    expiry: HashMap<u64, Millis>,
}

impl PrefixHints {
    /// Applies cache events of the group's leader.
    pub fn apply_events(&mut self, events: &[CacheEvent], now: Millis) {
        for event in events {
            if event.seq <= self.last_seq {
                continue;
            }
            if event.seq > self.last_seq + 1 {
                self.shorten(now + HINT_TTL_AFTER_GAP);
            }
            self.last_seq = event.seq;
            if event.added {
                self.record(event.prefix, now);
            } else {
                self.expiry.remove(&event.prefix);
            }
        }
    }

    /// Records that a prefix is expected to be cached, as after a request with it was sent.
    pub fn record(&mut self, prefix: u64, now: Millis) {
        if self.expiry.len() >= MAX_ENTRIES && !self.expiry.contains_key(&prefix) {
            self.evict(now);
        }
        self.expiry.insert(prefix, now + HINT_TTL);
    }

    /// Returns whether the prefix is expected to be cached.
    pub fn is_cached(&self, prefix: u64, now: Millis) -> bool {
        self.expiry.get(&prefix).is_some_and(|expiry| *expiry > now)
    }

    fn shorten(&mut self, limit: Millis) {
        for expiry in self.expiry.values_mut() {
            *expiry = (*expiry).min(limit);
        }
    }

    fn evict(&mut self, now: Millis) {
        self.expiry.retain(|_, expiry| *expiry > now);
        if self.expiry.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self.expiry.iter().min_by_key(|(p, expiry)| (**expiry, **p));
        if let Some(prefix) = oldest.map(|(p, _)| *p) {
            self.expiry.remove(&prefix);
        }
    }
}
