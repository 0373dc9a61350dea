//! What a stand-in engine remembers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use thistlesill_core::report::{CacheEvent, Pressure};
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::Target;

use super::stream::StreamLog;

/// Cache events kept; older ones are lost, as gaps.
const MAX_EVENTS: usize = 8;
/// Prefixes that fit into the cache.
const MAX_PREFIXES: usize = 32;

/// The state of one engine.
#[derive(Debug)]
pub struct EngineState {
    /// What it was ordered to do.
    pub target: Target,
    /// When it was listed as leaving.
    pub told_leaving: Option<Instant>,
    /// How many times slower than usual it is.
    pub slowness: u32,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait, as priority and turn.
    pub waiting: Vec<(u8, u64)>,
    /// Turns given so far.
    pub turns: u64,
    /// Requests accepted since the start.
    pub accepted: u64,
    /// Streams by request.
    pub streams: HashMap<RequestId, Arc<StreamLog>>,
    history: VecDeque<(Instant, Pressure)>,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
    prefixes: VecDeque<u64>,
}

impl EngineState {
    /// The state after a start.
    pub fn new(target: Target) -> Self {
        Self {
            target,
            told_leaving: None,
            slowness: 1,
            running: 0,
            waiting: Vec::new(),
            turns: 0,
            accepted: 0,
            streams: HashMap::new(),
            history: VecDeque::new(),
            events: VecDeque::new(),
            event_seq: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// Whether a request may begin, by priority and turn.
    pub fn may_begin(&self, turn: (u8, u64), slots: u32) -> bool {
        self.running < slots && self.waiting.iter().min() == Some(&turn)
    }

    /// The pressure as it was `lag` ago, with its age.
    pub fn lagged(&mut self, lag: Duration, now: Instant) -> Pressure {
        let current = Pressure {
            running: self.running,
            waiting: self.waiting.len() as u32,
            backlog: 0,
            speed: 0,
            accepted: self.accepted,
            age: Millis::ZERO,
        };
        self.history.push_back((now, current));
        while self.history.len() > 1 && now - self.history[1].0 >= lag {
            self.history.pop_front();
        }
        let (at, pressure) = self.history[0];
        Pressure {
            age: Millis::new((now - at).as_millis() as u64),
            ..pressure
        }
    }

    /// Whether a prefix is cached; it is afterwards.
    pub fn touch_prefix(&mut self, prefix: u64) -> bool {
        let hit = self.prefixes.contains(&prefix);
        self.prefixes.retain(|p| *p != prefix);
        self.prefixes.push_back(prefix);
        if !hit {
            self.cache_event(prefix, true);
        }
        if self.prefixes.len() > MAX_PREFIXES
            && let Some(dropped) = self.prefixes.pop_front()
        {
            self.cache_event(dropped, false);
        }
        hit
    }

    /// Recent cache events.
    pub fn events(&self) -> Vec<CacheEvent> {
        self.events.iter().copied().collect()
    }

    fn cache_event(&mut self, prefix: u64, added: bool) {
        self.event_seq += 1;
        self.events.push_back(CacheEvent {
            seq: self.event_seq,
            prefix,
            added,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
