//! The engines of the simulation. A group runs requests in a limited number of slots, only while
//! all its members are running, and each token takes longer the more requests run.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use thistlesill_core::report::{Duty, Membership, Pressure};
use thistlesill_core::{InstanceId, Millis, RequestId};
use thistlesill_fakes::PrefixCache;
use thistlesill_policy::router::AttemptEvent;
use thistlesill_policy::serving::GroupKey;

use super::{Power, STEP, SimulatedInstance, Simulation};

/// Tokens per piece of an answer after the first.
const TOKENS_PER_PIECE: u64 = 50;

/// Part of the prefill that is left when the prefix is cached, in percent.
const CACHED_PREFILL_PERCENT: u64 = 40;
/// Capacity of an engine's prefix cache.
const MAX_PREFIXES: usize = 24;

/// The behaviour of the engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineModel {
    /// Requests that a group runs at the same time.
    pub slots: u32,
    /// Time to the first token, from the start of a request that runs alone.
    pub prefill: Millis,
    /// Time per token of a request that runs alone.
    pub token: Millis,
    /// Increase of all times for each further request that runs, in percent.
    pub crowding: u64,
    /// Time to load weights.
    pub load: Millis,
    /// Age of the load figures in reports.
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

/// An attempt that waits or runs at an engine.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) router: usize,
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) key: GroupKey,
    pub(super) priority: u8,
    sequence: u64,
    /// Work left until the first token. Work is counted in microseconds of a request that runs
    /// alone.
    prefill: u64,
    /// Work left for the tokens after the prefill.
    tokens: u64,
    prefix: Option<u64>,
    /// Work of all tokens of the answer, without the prefill.
    total_tokens: u64,
    /// Number of pieces sent so far.
    pieces: u32,
}

/// The requests of one engine.
#[derive(Debug, Clone, Default)]
pub(super) struct EngineLoad {
    pub(super) slowness: u32,
    running: Vec<Run>,
    waiting: Vec<Run>,
    last_sequence: u64,
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

    pub(super) fn delayed_pressure(&mut self, now: Millis, lag: Millis) -> Pressure {
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

    pub(super) fn enqueue(&mut self, mut run: Run) {
        self.last_sequence += 1;
        run.sequence = self.last_sequence;
        self.waiting.push(run);
    }

    pub(super) fn cancel(&mut self, request: RequestId) {
        self.running.retain(|r| r.request != request);
        self.waiting.retain(|r| r.request != request);
    }

    fn take_runs(&mut self) -> Vec<Run> {
        let mut all = std::mem::take(&mut self.running);
        all.append(&mut self.waiting);
        all
    }

    /// Starts waiting requests in free slots, by priority and then in order of arrival, and returns
    /// them.
    fn fill(&mut self, slots: u32) -> Vec<RequestId> {
        let mut started = Vec::new();
        self.waiting.sort_by_key(|r| (r.priority, r.sequence));
        while self.running.len() < slots as usize && !self.waiting.is_empty() {
            let mut run = self.waiting.remove(0);
            if run
                .prefix
                .is_some_and(|p| self.cache.touch(p, MAX_PREFIXES))
            {
                run.prefill = run.prefill * CACHED_PREFILL_PERCENT / 100;
            }
            started.push(run.request);
            self.running.push(run);
        }
        started
    }

    /// Does the work of one [`STEP`]. Returns the runs with a new piece and those that ended.
    fn work(&mut self, model: &EngineModel, slowness: u32) -> (Vec<Run>, Vec<Run>) {
        let others = self.running.len().saturating_sub(1) as u64;
        let time_percent = 100 + model.crowding * others;
        let done = STEP.get() * 1_000 * 100 / time_percent / u64::from(slowness.max(1));
        let mut with_piece = Vec::new();
        for run in &mut self.running {
            let mut left = done;
            let prefilled = run.prefill.min(left);
            run.prefill -= prefilled;
            left -= prefilled;
            run.tokens = run.tokens.saturating_sub(left);
            if run.prefill == 0 && run.pieces < run.due_pieces(model) {
                run.pieces += 1;
                with_piece.push(run.clone());
            }
        }
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|r| r.prefill == 0 && r.tokens == 0);
        self.running = running;
        (with_piece, ended)
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
            sequence: 0,
            prefill: model.prefill.get() * 1_000,
            tokens: model.token.get() * 1_000 * tokens as u64,
            prefix: None,
            total_tokens: model.token.get() * 1_000 * tokens as u64,
            pieces: 0,
        }
    }

    /// Sets the prefix of the prompt.
    pub(super) const fn with_prefix(mut self, prefix: Option<u64>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Returns how many pieces should have been sent by now: one, plus one per
    /// [`TOKENS_PER_PIECE`] tokens.
    fn due_pieces(&self, model: &EngineModel) -> u32 {
        let work_per_piece = TOKENS_PER_PIECE * model.token.get().max(1) * 1_000;
        1 + ((self.total_tokens - self.tokens) / work_per_piece) as u32
    }
}

impl Simulation {
    /// Runs all engines for one step.
    pub(super) fn run_engines(&mut self) {
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        for id in ids {
            let Some(member) = self.leader_membership(&id) else {
                continue;
            };
            let Some(slowness) = self.slowness_if_complete(&member) else {
                continue;
            };
            let model = self.options.engine.clone();
            let Some(state) = self.instances.get_mut(&id) else {
                continue;
            };
            let started = state.load.fill(model.slots);
            let (with_piece, ended) = state.load.work(&model, slowness);
            for request in started {
                *self.runs.entry(request.to_string()).or_default() += 1;
            }
            for run in with_piece {
                self.send_piece(&run);
            }
            for run in ended {
                self.send_end(&run);
            }
        }
    }

    /// Returns the membership of an instance that is a running leader.
    fn leader_membership(&self, instance: &InstanceId) -> Option<Membership> {
        let state = self.instances.get(instance)?;
        match &state.target.duty {
            Duty::Ready(m) | Duty::Draining(m) if m.rank == 0 && state.power == Power::On => {
                Some(m.clone())
            }
            _ => None,
        }
    }

    /// Returns the slowness factor of a group's slowest member, or `None` unless all members are
    /// running and serve.
    fn slowness_if_complete(&self, member: &Membership) -> Option<u32> {
        let in_group = |i: &&SimulatedInstance| {
            let same = i
                .target
                .duty
                .membership()
                .is_some_and(|m| m.group == member.group && m.epoch == member.epoch);
            let serving = matches!(i.target.duty, Duty::Ready(_) | Duty::Draining(_));
            same && serving && i.power == Power::On
        };
        let members: Vec<&SimulatedInstance> = self.instances.values().filter(in_group).collect();
        if members.len() as u32 != member.size {
            return None;
        }
        members.iter().map(|i| i.load.slowness.max(1)).max()
    }

    fn send_piece(&mut self, run: &Run) {
        let what = AttemptEvent::Piece {
            request: run.request,
            key: run.key.clone(),
            offset: run.pieces - 1,
            text: "piece".into(),
        };
        self.send_attempt_event(run, what);
    }

    fn send_end(&mut self, run: &Run) {
        let what = AttemptEvent::End {
            request: run.request,
            key: run.key.clone(),
            count: run.pieces,
            reason: "stop".into(),
        };
        self.send_attempt_event(run, what);
    }

    /// Breaks the connections of all requests at an instance.
    pub(super) fn break_runs(&mut self, instance: &str) {
        let Some(state) = self.instances.get_mut(instance) else {
            return;
        };
        for run in state.load.take_runs() {
            self.send_attempt_event(&run, AttemptEvent::Broken);
        }
    }

    /// Breaks the connections of all requests at an instance that is no longer a running leader.
    pub(super) fn check_runs(&mut self, instance: &InstanceId) {
        if self.leader_membership(instance).is_none() {
            self.break_runs(instance.as_str());
        }
    }
}
