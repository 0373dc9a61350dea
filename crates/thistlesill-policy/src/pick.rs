//! Which group gets a request.
//!
//! The engines' load reports lag, so a router adds what it sent and takes
//! off what ended since the report. A group's slowness is learnt from first
//! tokens; it fades towards the others' so that a group is tried again.

use std::collections::VecDeque;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;
use thistlesill_core::report::{CacheEvent, Pressure};

use crate::limit::Limit;
use crate::prefix::PrefixHints;

/// The slowness assumed of a group before its first answer, in milliseconds
/// per request in front.
const FIRST_SLOWNESS: f64 = 50.0;
/// Weight of a new observation of slowness.
const LEARNING: f64 = 0.2;
/// Time after which half of an old observation has faded, in milliseconds.
const FADE: f64 = 15_000.0;
/// What remains of the expected wait when the prefix is cached.
const CACHED_PART: f64 = 0.7;
/// Added to the expected wait in another hall, in milliseconds.
const FAR: f64 = 3.0;
/// How long a group that failed a request is passed over at first.
const SUSPECT: Millis = Millis::new(1_000);
/// How often that time doubles at most.
const MAX_DOUBLINGS: u32 = 3;
/// Sends and ends kept for correcting reports.
const MAX_RECENT: usize = 512;

/// The rule for picking a group; the first is what ships, the others are the
/// baselines that it is measured against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Of a few drawn at random, the least expected wait by corrected load.
    #[default]
    Corrected,
    /// The least reported load, as reported.
    LeastReported,
    /// The less loaded of two drawn at random, as reported.
    TwoReported,
    /// One after the other.
    RoundRobin,
}

/// Groups drawn by [`Rule::Corrected`].
const DRAWN: usize = 4;

/// What a router knows of one group's load.
#[derive(Debug, Clone)]
pub struct GroupLoad {
    pressure: Pressure,
    measured: Millis,
    running: u32,
    sends: VecDeque<Millis>,
    ends: VecDeque<Millis>,
    limit: Limit,
    slowness: f64,
    learnt: Millis,
    hints: PrefixHints,
    suspect: Option<Millis>,
    /// Failures since the last first token.
    failures: u32,
}

impl GroupLoad {
    /// A group with nothing known, that may run `slots` requests.
    pub fn new(slots: u32) -> Self {
        Self {
            pressure: Pressure::default(),
            measured: Millis::ZERO,
            running: 0,
            sends: VecDeque::new(),
            ends: VecDeque::new(),
            limit: Limit::new(slots),
            slowness: FIRST_SLOWNESS,
            learnt: Millis::ZERO,
            hints: PrefixHints::default(),
            suspect: None,
            failures: 0,
        }
    }

    /// Takes in a report that is `age` old.
    pub fn report(&mut self, pressure: Pressure, age: Millis, now: Millis) {
        let measured = now - age;
        if measured < self.measured {
            return;
        }
        self.pressure = pressure;
        self.measured = measured;
        drop_until(&mut self.sends, measured);
        drop_until(&mut self.ends, measured);
    }

    /// Takes in cache events.
    pub fn learn_prefixes(&mut self, events: &[CacheEvent], now: Millis) {
        self.hints.learn(events, now);
    }

    /// Changes the most requests allowed.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_ceiling(slots);
    }

    /// Notes a request sent there.
    pub fn sent(&mut self, prefix: Option<u64>, now: Millis) {
        self.running += 1;
        push_recent(&mut self.sends, now);
        if let Some(prefix) = prefix {
            self.hints.note(prefix, now);
        }
    }

    /// Notes that a request sent there has ended.
    pub fn ended(&mut self, now: Millis) {
        self.running = self.running.saturating_sub(1);
        push_recent(&mut self.ends, now);
    }

    /// Learns from a first token that took `took`, when `ahead` requests
    /// were there at its sending.
    pub fn first_token(&mut self, took: Millis, ahead: u32, wanted: Millis, now: Millis) {
        let each = took.get() as f64 / f64::from(ahead + 1);
        self.slowness += LEARNING * (each - self.slowness);
        self.learnt = now;
        self.failures = 0;
        self.limit.observe(took, wanted, now);
    }

    /// Notes a failure: the group is passed over for a while, and for longer
    /// with each failure in a row.
    pub fn failed(&mut self, now: Millis) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        self.suspect = Some(now + Millis::new(SUSPECT.get() << doublings));
    }

    /// Whether the group failed a short while ago.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.suspect.is_some_and(|until| until > now)
    }

    /// Requests believed to be there now.
    pub fn occupancy(&self) -> u32 {
        let reported = self.pressure.running + self.pressure.waiting;
        let since = (reported + self.sends.len() as u32).saturating_sub(self.ends.len() as u32);
        since.max(self.running)
    }

    /// Requests of this router there.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Whether another request fits under the limit.
    pub fn has_room(&self) -> bool {
        self.occupancy() < self.limit.get()
    }

    /// The limit in force.
    pub const fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Requests as last reported, uncorrected.
    pub const fn reported(&self) -> u32 {
        self.pressure.running + self.pressure.waiting
    }

    /// The expected wait for the first token, in milliseconds.
    pub fn expected_wait(&self, prefix: Option<u64>, near: bool, mean: f64, now: Millis) -> f64 {
        let kept = FADE / (FADE + (now - self.learnt).get() as f64);
        let slowness = mean + (self.slowness - mean) * kept;
        let cached = prefix.is_some_and(|p| self.hints.has(p, now));
        let part = if cached { CACHED_PART } else { 1.0 };
        let far = if near { 0.0 } else { FAR };
        slowness * f64::from(self.occupancy() + 1) * part + far
    }
}

/// A group that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its position in the caller's list.
    pub index: usize,
    /// Its load.
    pub load: &'a GroupLoad,
    /// Whether it is in the router's own hall.
    pub near: bool,
}

/// What a pick looks at beside the candidates.
#[derive(Debug, Clone, Copy)]
pub struct PickContext {
    /// The rule.
    pub rule: Rule,
    /// Hash of the request's prefix.
    pub prefix: Option<u64>,
    /// The time.
    pub now: Millis,
    /// Counts the picks, for taking turns.
    pub turn: u64,
}

/// Picks one of the candidates; returns its `index`.
pub fn pick(
    candidates: &[Candidate<'_>],
    context: &PickContext,
    rng: &mut impl rand::Rng,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let chosen = match context.rule {
        Rule::RoundRobin => candidates.get(context.turn as usize % candidates.len()),
        Rule::LeastReported => candidates.iter().min_by_key(|c| c.load.reported()),
        Rule::TwoReported => {
            let drawn = draw(candidates, 2, rng);
            drawn.into_iter().min_by_key(|c| c.load.reported())
        }
        Rule::Corrected => least_wait(candidates, context, rng),
    };
    chosen.map(|c| c.index)
}

fn least_wait<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    context: &PickContext,
    rng: &mut impl rand::Rng,
) -> Option<&'b Candidate<'a>> {
    let mean = mean_slowness(candidates);
    let mut drawn = draw(candidates, DRAWN, rng);
    if let Some(prefix) = context.prefix {
        let cached = |c: &&Candidate<'_>| c.load.hints.has(prefix, context.now);
        drawn.extend(candidates.iter().find(cached));
    }
    let wait = |c: &Candidate<'_>| {
        c.load
            .expected_wait(context.prefix, c.near, mean, context.now)
    };
    drawn.into_iter().min_by(|a, b| wait(a).total_cmp(&wait(b)))
}

fn mean_slowness(candidates: &[Candidate<'_>]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.load.slowness).sum();
    sum / candidates.len() as f64
}

/// Draws up to `count` candidates, possibly one twice.
fn draw<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    count: usize,
    rng: &mut impl rand::Rng,
) -> Vec<&'b Candidate<'a>> {
    if candidates.len() <= count {
        return candidates.iter().collect();
    }
    let place = |_| rng.random_range(0..candidates.len());
    (0..count).map(place).map(|i| &candidates[i]).collect()
}

fn push_recent(list: &mut VecDeque<Millis>, now: Millis) {
    if list.len() == MAX_RECENT {
        list.pop_front();
    }
    list.push_back(now);
}

fn drop_until(list: &mut VecDeque<Millis>, time: Millis) {
    while list.front().is_some_and(|t| *t <= time) {
        list.pop_front();
    }
}
