//! The engines on the stage: requests run in slots, tokens take longer the
//! more of them run, and all members must be there.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use thistlesill_core::report::{Duty, Membership, Pressure};
use thistlesill_core::{InstanceId, Millis, RequestId};
use thistlesill_fakes::PrefixCache;
use thistlesill_policy::router::AttemptEvent;
use thistlesill_policy::serving::GroupKey;

use super::{Body, Power, STEP, Stage};

/// Tokens in a piece of an answer.
const PIECE: u64 = 50;

/// Part of the prefill that a cached prefix leaves, in hundredths.
const CACHED_PREFILL: u64 = 40;
/// Prefixes that fit into an engine's cache.
const MAX_PREFIXES: usize = 24;

/// How the engines behave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModel {
    /// Requests that a group runs at a time.
    pub slots: u32,
    /// Time to the first token of a request that runs.
    pub prefill: Millis,
    /// Time per token of one request alone.
    pub token: Millis,
    /// Added to the time per token for each other request, in hundredths.
    pub crowding: u64,
    /// Time to load weights.
    pub load: Millis,
    /// How much reports lag.
    pub lag: Millis,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill: Millis::new(150),
            token: Millis::new(20),
            crowding: 8,
            load: Millis::new(45_000),
            lag: Millis::new(700),
        }
    }
}

/// One request at an engine.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) router: usize,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) key: GroupKey,
    pub(super) priority: u8,
    turn: u64,
    /// Work left to the first token and to the end, in thousandths of a
    /// millisecond alone.
    prefill: u64,
    tokens: u64,
    prefix: Option<u64>,
    /// Work of the whole answer after its first token.
    whole: u64,
    /// Pieces that were sent.
    pieces: u32,
}

/// An engine's requests.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineLoad {
    pub(super) slowness: u32,
    running: Vec<Run>,
    waiting: Vec<Run>,
    turns: u64,
    pub(super) cache: PrefixCache,
    history: VecDeque<(Millis, Pressure)>,
}

impl EngineLoad {
    pub(super) fn pressure(&self) -> Pressure {
        Pressure {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            ..Pressure::default()
        }
    }

    pub(super) fn lagged(&mut self, now: Millis, lag: Millis) -> Pressure {
        self.history.push_back((now, self.pressure()));
        while self.history.len() > 1 && now - self.history[1].0 >= lag {
            self.history.pop_front();
        }
        let (at, pressure) = self.history[0];
        Pressure {
            age: now - at,
            ..pressure
        }
    }

    pub(super) fn enter(&mut self, mut run: Run) {
        self.turns += 1;
        run.turn = self.turns;
        self.waiting.push(run);
    }

    pub(super) fn drop_run(&mut self, request: RequestId) {
        self.running.retain(|r| r.request != request);
        self.waiting.retain(|r| r.request != request);
    }

    fn take_all(&mut self) -> Vec<Run> {
        let mut all = std::mem::take(&mut self.running);
        all.append(&mut self.waiting);
        all
    }

    /// Starts waiting requests in free slots, by priority and turn.
    fn fill(&mut self, slots: u32) -> Vec<RequestId> {
        let mut begun = Vec::new();
        self.waiting.sort_by_key(|r| (r.priority, r.turn));
        while self.running.len() < slots as usize && !self.waiting.is_empty() {
            let mut run = self.waiting.remove(0);
            if run
                .prefix
                .is_some_and(|p| self.cache.touch(p, MAX_PREFIXES))
            {
                run.prefill = run.prefill * CACHED_PREFILL / 100;
            }
            begun.push(run.request);
            self.running.push(run);
        }
        begun
    }

    /// Lets a step of work pass; returns the runs with a new piece and those
    /// that ended.
    fn work(&mut self, model: &EngineModel, slowness: u32) -> (Vec<Run>, Vec<Run>) {
        let others = self.running.len().saturating_sub(1) as u64;
        let crowd = 100 + model.crowding * others;
        let done = STEP.get() * 1_000 * 100 / crowd / u64::from(slowness.max(1));
        let mut first = Vec::new();
        for run in &mut self.running {
            let mut left = done;
            let spent = run.prefill.min(left);
            run.prefill -= spent;
            left -= spent;
            run.tokens = run.tokens.saturating_sub(left);
            if run.prefill == 0 && run.pieces < run.due_pieces(model) {
                run.pieces += 1;
                first.push(run.clone());
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.prefill == 0 && r.tokens == 0);
        self.running = running;
        (first, ended)
    }
}

impl Run {
    pub(super) const fn new(
        router: usize,
        request: RequestId,
        attempt: u32,
        key: GroupKey,
        priority: u8,
        model: &EngineModel,
        tokens: u32,
    ) -> Self {
        Self {
            router,
            request,
            attempt,
            key,
            priority,
            turn: 0,
            prefill: model.prefill.get() * 1_000,
            tokens: model.token.get() * 1_000 * tokens as u64,
            prefix: None,
            whole: model.token.get() * 1_000 * tokens as u64,
            pieces: 0,
        }
    }

    /// The same run with a prefix.
    pub(super) const fn with_prefix(mut self, prefix: Option<u64>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Pieces that should have been sent by now: one, and another for every
    /// [`PIECE`] tokens.
    fn due_pieces(&self, model: &EngineModel) -> u32 {
        let each = PIECE * model.token.get().max(1) * 1_000;
        1 + ((self.whole - self.tokens) / each) as u32
    }
}

impl Stage {
    /// Lets all engines work for a step.
    pub(super) fn run_engines(&mut self) {
        let names: Vec<InstanceId> = self.bodies.keys().cloned().collect();
        for name in names {
            let Some(member) = self.leads(&name) else {
                continue;
            };
            let Some(slowness) = self.slowness_if_whole(&member) else {
                continue;
            };
            let model = self.options.model.clone();
            let Some(body) = self.bodies.get_mut(&name) else {
                continue;
            };
            let begun = body.load.fill(model.slots);
            let (first, ended) = body.load.work(&model, slowness);
            for request in begun {
                *self.runs.entry(request.to_string()).or_default() += 1;
            }
            for run in first {
                self.tell_piece(&run);
            }
            for run in ended {
                self.tell_end(&run);
            }
        }
    }

    /// The membership of a running leader.
    fn leads(&self, instance: &InstanceId) -> Option<Membership> {
        let body = self.bodies.get(instance)?;
        match &body.target.duty {
            Duty::Ready(m) | Duty::Draining(m) if m.rank == 0 && body.power == Power::On => {
                Some(m.clone())
            }
            _ => None,
        }
    }

    /// How slow a group is, by its slowest member; `None` unless all are
    /// there.
    fn slowness_if_whole(&self, member: &Membership) -> Option<u32> {
        let in_group = |b: &&Body| {
            let same = b
                .target
                .duty
                .membership()
                .is_some_and(|m| m.group == member.group && m.epoch == member.epoch);
            let serving = matches!(b.target.duty, Duty::Ready(_) | Duty::Draining(_));
            same && serving && b.power == Power::On
        };
        let members: Vec<&Body> = self.bodies.values().filter(in_group).collect();
        if members.len() as u32 != member.size {
            return None;
        }
        members.iter().map(|b| b.load.slowness.max(1)).max()
    }

    fn tell_piece(&mut self, run: &Run) {
        let what = AttemptEvent::Piece {
            request: run.request,
            key: run.key.clone(),
            offset: run.pieces - 1,
            text: "piece".into(),
        };
        self.tell_attempt(run, what);
    }

    fn tell_end(&mut self, run: &Run) {
        let what = AttemptEvent::End {
            request: run.request,
            key: run.key.clone(),
            count: run.pieces,
            reason: "stop".into(),
        };
        self.tell_attempt(run, what);
    }

    /// Breaks all connections to an instance.
    pub(super) fn break_runs(&mut self, instance: &str) {
        let Some(body) = self.bodies.get_mut(instance) else {
            return;
        };
        for run in body.load.take_all() {
            self.tell_attempt(&run, AttemptEvent::Broken);
        }
    }

    /// Breaks the connections of runs whose group an instance has left.
    pub(super) fn check_runs(&mut self, instance: &InstanceId) {
        if self.leads(instance).is_none() {
            self.break_runs(instance.as_str());
        }
    }
}
