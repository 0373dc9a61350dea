//! An engine's prefix cache, and the few events that it publishes of it.

use std::collections::VecDeque;

use thistlesill_core::report::CacheEvent;

/// Cache events kept; older ones are lost, as gaps.
const MAX_EVENTS: usize = 8;

/// A cache of prefixes that drops the one used longest ago.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixCache {
    prefixes: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    seq: u64,
}

impl PrefixCache {
    /// Whether a prefix is cached; it is afterwards, beside at most
    /// `capacity` in all.
    pub fn touch(&mut self, prefix: u64, capacity: usize) -> bool {
        let hit = self.prefixes.contains(&prefix);
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if !hit {
            self.publish(prefix, true);
        }
        if self.prefixes.len() > capacity
            && let Some(dropped) = self.prefixes.pop_front()
        {
            self.publish(dropped, false);
        }
        hit
    }

    /// Recent events.
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
