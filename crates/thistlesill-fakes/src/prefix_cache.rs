//! An engine's prefix cache and the cache events that the engine publishes.

use std::collections::VecDeque;

use thistlesill_core::report::CacheEvent;

/// Number of recent events kept. Older ones are lost; readers see a gap in the sequence numbers.
const MAX_EVENTS: usize = 8;

/// A cache of prompt prefixes that evicts the least recently used one.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixCache {
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    /// Inserts a prefix or marks it as just used, and returns whether it was cached before.
    /// Evicts the least recently used prefix if there are more than `capacity`.
    pub fn touch(&mut self, prefix: u64, capacity: usize) -> bool {
        let hit = self.prefixes.contains(&prefix);
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if !hit {
            self.publish(prefix, true);
        }
        if self.prefixes.len() > capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(evicted, false);
        }
        hit
    }

    /// Returns the most recent events, oldest first.
    pub fn events(&self) -> Vec<CacheEvent> {
        self.events.iter().copied().collect()
    }

    fn publish(&mut self, prefix: u64, added: bool) {
        self.seq += 1;
        self.events.push_back(CacheEvent {
            seq: self.seq,
            prefix,
            added,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
