//! What a stand-in engine remembers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use thistlesill_core::report::Pressure;
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::{PrefixCache, Target};

use super::stream::StreamLog;

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
    /// The prefix cache.
    pub cache: PrefixCache,
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
            cache: PrefixCache::default(),
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
}
