//! Selection of the group that gets a request.
//!
//! The load reports of engines lag, so a router adds the requests that it sent since the report and
//! subtracts those that ended. The slowness of a group is learned from first tokens; it decays
//! towards the average of the others, so that a slow group is tried again.

use std::collections::VecDeque;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;
use thistlesill_core::report::{CacheEvent, Pressure};

use crate::limit::AdaptiveLimit;
use crate::prefix::PrefixHints;

/// Slowness of a group before its first answer, in milliseconds per request in front.
const INITIAL_SLOWNESS_MS: f64 = 50.0;
/// Weight of a new observation in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Time after which half of the difference to the average slowness has decayed, in milliseconds.
const SLOWNESS_DECAY_MS: f64 = 15_000.0;
/// Factor on the expected wait when the prefix is cached.
const CACHED_WAIT_RATIO: f64 = 0.7;
/// Penalty on the expected wait for a group in another hall, in milliseconds.
const OTHER_HALL_PENALTY_MS: f64 = 3.0;
/// How long a group is avoided after its first failure.
const INITIAL_SUSPECT_TIME: Millis = Millis::new(1_000);
/// Maximum number of times that this period doubles.
const MAX_DOUBLINGS: u32 = 3;
/// Maximum number of sends, and of ends, kept to correct reports.
const MAX_RECENT_EVENTS: usize = 512;

/// Rule for picking a group. Production uses the default; the others are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PickRule {
    /// The lowest expected wait by corrected load, among a random sample.
    #[default]
    Corrected,
    /// The lowest load as reported.
    LeastReported,
    /// The lower load as reported, of two groups drawn at random.
    TwoReported,
    /// All groups in turn.
    RoundRobin,
}

/// Number of groups drawn by [`PickRule::Corrected`].
const SAMPLE_SIZE: usize = 4;

/// Load of one group, estimated from its reports and the router's own requests.
#[derive(Debug, Clone)]
pub struct GroupLoad {
    pressure: Pressure,
    measured_at: Millis,
    running: u32,
    sends: VecDeque<Millis>,
    ends: VecDeque<Millis>,
    limit: AdaptiveLimit,
    slowness: f64,
    observed_at: Millis,
    hints: PrefixHints,
    suspect_until: Option<Millis>,
    /// Failures since the last first token.
    consecutive_failures: u32,
}

impl GroupLoad {
    /// Creates the load of a group without reports that may run `slots` requests.
    pub fn new(slots: u32) -> Self {
        Self {
            pressure: Pressure::default(),
            measured_at: Millis::ZERO,
            running: 0,
            sends: VecDeque::new(),
            ends: VecDeque::new(),
            limit: AdaptiveLimit::new(slots),
            slowness: INITIAL_SLOWNESS_MS,
            observed_at: Millis::ZERO,
            hints: PrefixHints::default(),
            suspect_until: None,
            consecutive_failures: 0,
        }
    }

    /// Applies a load report that was measured `age` ago. A report older than the last one is
    /// ignored.
    pub fn apply_report(&mut self, pressure: Pressure, age: Millis, now: Millis) {
        let measured_at = now - age;
        if measured_at < self.measured_at {
            return;
        }
        self.pressure = pressure;
        self.measured_at = measured_at;
        drop_until(&mut self.sends, measured_at);
        drop_until(&mut self.ends, measured_at);
    }

    /// Applies prefix cache events of the group's leader.
    pub fn apply_cache_events(&mut self, events: &[CacheEvent], now: Millis) {
        self.hints.apply_events(events, now);
    }

    /// Changes the maximum number of concurrent requests.
    pub fn set_slots(&mut self, slots: u32) {
        self.limit.set_ceiling(slots);
    }

    /// Records that a request was sent to the group.
    pub fn record_send(&mut self, prefix: Option<u64>, now: Millis) {
        self.running += 1;
        push_recent(&mut self.sends, now);
        if let Some(prefix) = prefix {
            self.hints.record(prefix, now);
        }
    }

    /// Records that a request sent to the group has ended.
    pub fn record_end(&mut self, now: Millis) {
        self.running = self.running.saturating_sub(1);
        push_recent(&mut self.ends, now);
    }

    /// Updates slowness and limit from a first token that arrived after `took`, when `ahead`
    /// requests were at the group at the time of sending; `wanted` is the target time.
    pub fn record_first_token(&mut self, took: Millis, ahead: u32, wanted: Millis, now: Millis) {
        let per_request = took.get() as f64 / f64::from(ahead + 1);
        self.slowness += SLOWNESS_WEIGHT * (per_request - self.slowness);
        self.observed_at = now;
        self.consecutive_failures = 0;
        self.limit.observe(took, wanted, now);
    }

    /// Records a failure: the group is avoided for a while, and for longer with each failure in a
    /// row.
    pub fn record_failure(&mut self, now: Millis) {
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        self.consecutive_failures += 1;
        self.suspect_until = Some(now + Millis::new(INITIAL_SUSPECT_TIME.get() << doublings));
    }

    /// Returns whether the group failed recently and is to be avoided.
    pub fn is_suspect(&self, now: Millis) -> bool {
        self.suspect_until.is_some_and(|until| until > now)
    }

    /// Returns an estimate of the requests at the group now.
    pub fn occupancy(&self) -> u32 {
        let reported = self.pressure.running + self.pressure.waiting;
        let since = (reported + self.sends.len() as u32).saturating_sub(self.ends.len() as u32);
        since.max(self.running)
    }

    /// Returns the number of this router's requests at the group.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns whether the limit allows another request.
    pub fn has_room(&self) -> bool {
        self.occupancy() < self.limit.get()
    }

    /// Returns the adaptive limit in force.
    pub const fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the requests as last reported, without correction.
    pub const fn reported(&self) -> u32 {
        self.pressure.running + self.pressure.waiting
    }

    /// Returns the expected wait for the first token, in milliseconds.
    ///
    /// `same_hall` is whether the group is in the router's own hall, and `mean` the average slowness
    /// of the candidates.
    pub fn expected_wait(
        &self,
        prefix: Option<u64>,
        same_hall: bool,
        mean: f64,
        now: Millis,
    ) -> f64 {
        let weight =
            SLOWNESS_DECAY_MS / (SLOWNESS_DECAY_MS + (now - self.observed_at).get() as f64);
        let slowness = mean + (self.slowness - mean) * weight;
        let cached = prefix.is_some_and(|p| self.hints.is_cached(p, now));
        let ratio = if cached { CACHED_WAIT_RATIO } else { 1.0 };
        let penalty = if same_hall {
            0.0
        } else {
            OTHER_HALL_PENALTY_MS
        };
        slowness * f64::from(self.occupancy() + 1) * ratio + penalty
    }
}

/// A group that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Index in the caller's list, returned by [`pick`].
    pub index: usize,
    /// Load of the group.
    pub load: &'a GroupLoad,
    /// Whether the group is in the router's own hall.
    pub same_hall: bool,
}

/// Inputs of a pick other than the candidates.
#[derive(Debug, Clone, Copy)]
pub struct PickContext {
    /// Rule to apply.
    pub rule: PickRule,
    /// Hash of the beginning of the request's prompt.
    pub prefix: Option<u64>,
    /// Current time.
    pub now: Millis,
    /// Number of picks so far, for [`PickRule::RoundRobin`].
    pub pick_count: u64,
}

/// Picks one of the candidates and returns its `index`; `None` if there are none.
pub fn pick(
    candidates: &[Candidate<'_>],
    context: &PickContext,
    rng: &mut impl rand::Rng,
) -> Option<usize> {
    if candidates.is_empty() {
        return None;
    }
    let chosen = match context.rule {
        PickRule::RoundRobin => candidates.get(context.pick_count as usize % candidates.len()),
        PickRule::LeastReported => candidates.iter().min_by_key(|c| c.load.reported()),
        PickRule::TwoReported => {
            let sample = draw_sample(candidates, 2, rng);
            sample.into_iter().min_by_key(|c| c.load.reported())
        }
        PickRule::Corrected => least_wait(candidates, context, rng),
    };
    chosen.map(|c| c.index)
}

fn least_wait<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    context: &PickContext,
    rng: &mut impl rand::Rng,
) -> Option<&'b Candidate<'a>> {
    let mean = mean_slowness(candidates);
    let mut sample = draw_sample(candidates, SAMPLE_SIZE, rng);
    if let Some(prefix) = context.prefix {
        let cached = |c: &&Candidate<'_>| c.load.hints.is_cached(prefix, context.now);
        sample.extend(candidates.iter().find(cached));
    }
    let wait = |c: &Candidate<'_>| {
        c.load
            .expected_wait(context.prefix, c.same_hall, mean, context.now)
    };
    sample
        .into_iter()
        .min_by(|a, b| wait(a).total_cmp(&wait(b)))
}

fn mean_slowness(candidates: &[Candidate<'_>]) -> f64 {
    let sum: f64 = candidates.iter().map(|c| c.load.slowness).sum();
    sum / candidates.len() as f64
}

/// Draws up to `count` candidates at random, possibly one of them twice.
fn draw_sample<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    count: usize,
    rng: &mut impl rand::Rng,
) -> Vec<&'b Candidate<'a>> {
    if candidates.len() <= count {
        return candidates.iter().collect();
    }
    let index = |_| rng.random_range(0..candidates.len());
    (0..count).map(index).map(|i| &candidates[i]).collect()
}

fn push_recent(list: &mut VecDeque<Millis>, now: Millis) {
    if list.len() == MAX_RECENT_EVENTS {
        list.pop_front();
    }
    list.push_back(now);
}

fn drop_until(list: &mut VecDeque<Millis>, time: Millis) {
    while list.front().is_some_and(|t| *t <= time) {
        list.pop_front();
    }
}
