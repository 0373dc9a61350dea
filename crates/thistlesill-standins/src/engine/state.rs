//! State of a stand-in engine.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use thistlesill_core::report::Pressure;
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::{PrefixCache, Target};

use super::stream::StreamLog;

/// State of one engine's process.
#[derive(Debug)]
pub struct EngineState {
    /// Duty and weights of the target, as its orders changed them.
    pub target: Target,
    /// When the target was marked as leaving; `None` if it is not.
    pub leaving_since: Option<Instant>,
    /// Factor by which the engine is slower than usual.
    pub slowdown: u32,
    /// Requests that run now.
    pub running: u32,
    /// Tickets of the queued requests: priority (lower goes first) and number.
    pub waiting: Vec<(u8, u64)>,
    /// Number of the last ticket handed out.
    pub last_ticket: u64,
    /// Requests accepted since the engine started.
    pub accepted: u64,
    /// Streams that run or ran, by request.
    pub streams: HashMap<RequestId, Arc<StreamLog>>,
    history: VecDeque<(Instant, Pressure)>,
    /// Prefixes of recent prompts.
    pub cache: PrefixCache,
}

impl EngineState {
    /// Returns the state after a start of the engine.
    pub fn new(target: Target) -> Self {
        Self {
            target,
            leaving_since: None,
            slowdown: 1,
            running: 0,
            waiting: Vec::new(),
            last_ticket: 0,
            accepted: 0,
            streams: HashMap::new(),
            history: VecDeque::new(),
            cache: PrefixCache::default(),
        }
    }

    /// Returns whether a slot is free and the request's ticket is the next in the queue.
    pub fn can_begin(&self, ticket: (u8, u64), slots: u32) -> bool {
        self.running < slots && self.waiting.iter().min() == Some(&ticket)
    }

    /// Records the current pressure and returns the pressure as it was `lag` ago, with its age.
    pub fn delayed_pressure(&mut self, lag: Duration, now: Instant) -> Pressure {
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
