//! What callers ask of each model.
//!
//! Each daemon measures the work of the requests that come to it, in the unit
//! that decides how many groups there should be: the part of one group's time
//! that the work would take up. The planner adds up what all daemons tell.

use std::collections::BTreeMap;

use thistlesill_core::edge::Engine;
use thistlesill_core::{Millis, Model, ServiceName};

/// The time over which work is averaged, in milliseconds: long enough that some
/// hundred requests count, and a quarter of what it takes to load weights, so
/// that the average has followed before the weights are there.
const MEMORY: f64 = 4_000.0;
/// Part of a refused request's work that counts: its caller mostly comes back
/// once, and would be counted twice.
const REFUSED_PART: f64 = 0.5;
/// Work below this part of a group is not told: it would round to nothing.
const LEAST: f64 = 0.001;

/// A request for a model, as it counts for the number of groups.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// The service's engines.
    pub engine: &'a Engine,
    /// The model that was asked for.
    pub model: &'a Model,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer, if its caller has told a guess.
    pub answer: Option<u64>,
    /// Whether it was turned away.
    pub refused: bool,
}

impl Asked<'_> {
    /// The part of the request that counts.
    const fn part(&self) -> f64 {
        if self.refused { REFUSED_PART } else { 1.0 }
    }

    /// The time of a group that the request takes up, in milliseconds; `None`
    /// if the service does not run the model.
    ///
    /// Reading a prompt takes the whole group. Of a step that writes, only what
    /// each running request adds counts: the rest is shared by all.
    fn work(&self) -> Option<f64> {
        let plan = self.engine.plan(self.model)?;
        let read = f64::from(self.prompt) / self.engine.read_rate.max(1.0) * 1_000.0;
        let answer = self.answer.map_or(self.engine.mean_answer, |t| t as f64);
        Some(self.part() * plan.pace * (read + answer * self.engine.step_each))
    }
}

/// Work by service and model; 1 keeps one group fully busy.
pub type WorkByModel = BTreeMap<(ServiceName, Model), f64>;

/// An average that forgets.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    /// Work of the last [`MEMORY`], in milliseconds of a group.
    sum: f64,
    /// Requests of that time.
    requests: f64,
    at: Millis,
}

impl Average {
    fn decay(&mut self, now: Millis) {
        let passed = (now - self.at).get() as f64;
        let kept = (-passed / MEMORY).exp();
        self.sum *= kept;
        self.requests *= kept;
        self.at = now;
    }
}

/// Measures the work that one daemon is asked for.
#[derive(Debug, Clone, Default)]
pub struct AskedMeter {
    averages: BTreeMap<(ServiceName, Model), Average>,
    /// When the first request came.
    since: Option<Millis>,
}

impl AskedMeter {
    /// Notes a request that came or was turned away.
    pub fn note(&mut self, service: &ServiceName, asked: &Asked<'_>, now: Millis) {
        let Some(work) = asked.work() else { return };
        self.since.get_or_insert(now);
        let key = (service.clone(), asked.model.clone());
        let average = self.averages.entry(key).or_default();
        average.decay(now);
        average.sum += work;
        average.requests += asked.part();
    }

    /// The time of a group that one request of a model takes up, in milliseconds; `None`
    /// if none came.
    pub fn each(&self, service: &ServiceName, model: &Model) -> Option<f64> {
        let average = self.averages.get(&(service.clone(), model.clone()))?;
        (average.requests > 0.0).then(|| average.sum / average.requests)
    }

    /// The work that is asked for now.
    ///
    /// A meter that began a moment ago tells what it would if requests had come
    /// at this rate all the time.
    pub fn work(&mut self, now: Millis) -> WorkByModel {
        let passed = (now - self.since.unwrap_or(now)).get() as f64;
        let seen = (1.0 - (-passed / MEMORY).exp()).max(0.1);
        for average in self.averages.values_mut() {
            average.decay(now);
        }
        let told = self.averages.iter().map(|(key, average)| {
            let work = average.sum / MEMORY / seen;
            (key.clone(), work)
        });
        told.filter(|(_, work)| *work >= LEAST).collect()
    }
}
