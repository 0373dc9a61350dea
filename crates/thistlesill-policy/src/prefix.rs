//! What a router believes of a group's prefix cache.
//!
//! Cache events arrive late and with gaps, so an entry is a hint: it ages,
//! and a gap in the events ages all entries at once.

use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::report::CacheEvent;

/// How long a hint is trusted without news.
const TRUSTED: Millis = Millis::new(60_000);
/// How long hints older than a gap are trusted.
const TRUSTED_AFTER_GAP: Millis = Millis::new(10_000);
/// Entries kept per group; the oldest go first.
const MAX_ENTRIES: usize = 1_024;

/// Hints about one group's prefix cache.
#[derive(Debug, Clone, Default)]
pub struct PrefixHints {
    seq: u64,
    until: HashMap<u64, Millis>,
}

impl PrefixHints {
    /// Takes in events of the group's leader.
    pub fn learn(&mut self, events: &[CacheEvent], now: Millis) {
        for event in events {
            if event.seq <= self.seq {
                continue;
            }
            if event.seq > self.seq + 1 {
                self.shorten(now + TRUSTED_AFTER_GAP);
            }
            self.seq = event.seq;
            if event.added {
                self.note(event.prefix, now);
            } else {
                self.until.remove(&event.prefix);
            }
        }
    }

    /// Notes that a request with this prefix was sent there.
    pub fn note(&mut self, prefix: u64, now: Millis) {
        if self.until.len() >= MAX_ENTRIES && !self.until.contains_key(&prefix) {
            self.evict(now);
        }
        self.until.insert(prefix, now + TRUSTED);
    }

    /// Whether the prefix is believed to be cached.
    pub fn has(&self, prefix: u64, now: Millis) -> bool {
        self.until.get(&prefix).is_some_and(|until| *until > now)
    }

    fn shorten(&mut self, limit: Millis) {
        for until in self.until.values_mut() {
            *until = (*until).min(limit);
        }
    }

    fn evict(&mut self, now: Millis) {
        self.until.retain(|_, until| *until > now);
        if self.until.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self.until.iter().min_by_key(|(p, until)| (**until, **p));
        if let Some(prefix) = oldest.map(|(p, _)| *p) {
            self.until.remove(&prefix);
        }
    }
}
