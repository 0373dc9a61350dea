//! What callers ask of each model.
//!
//! Each daemon measures the work of the requests that come to it, in the unit
//! that decides how many groups there should be: the part of one group, its time or its
//! places, that the work would take up. The planner adds up what all daemons tell.

use std::collections::BTreeMap;

use thistlesill_core::edge::Engine;
use thistlesill_core::{Millis, Model, ServiceName};

use super::fleet::USED;

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
    /// What the request takes up of a group; `None` if the service does not run the
    /// model.
    fn share(&self) -> Option<Share> {
        let engine = self.engine;
        let plan = engine.plan(self.model)?;
        let read = f64::from(self.prompt) / engine.read_rate.max(1.0) * 1_000.0;
        let answer = self.answer.map_or(engine.usual_answer, |t| t as f64);
        let part = if self.refused { REFUSED_PART } else { 1.0 };
        let scale = part * plan.pace;
        Some(Share {
            busy: scale * (read + answer * engine.step_each),
            held: scale * answer * engine.step / f64::from(engine.slots.max(1)),
        })
    }
}

/// What requests take up of a group, in milliseconds of it.
#[derive(Debug, Clone, Copy, Default)]
struct Share {
    /// Time in which nothing else is done: reading a prompt takes the whole group; of a
    /// step that writes, what each running request adds.
    busy: f64,
    /// Time for which places are held by the rest of the steps, which all share: one
    /// request that holds all places counts as the group.
    held: f64,
}

impl Share {
    /// The part of the group's time that counts, where it or its places are the
    /// tighter limit.
    ///
    /// Requests that hold places for `held` do so for longer by what the group does for
    /// others: with a part `b` of its time busy, the places held are `held / (1 - b)`.
    /// They are to be [`USED`] of all, as the busy time is. Where time alone counted, short
    /// prompts with long answers would hold 34 of 26 places (a played group); with places,
    /// one model asked for four times as often on four deployments gave 0.013 more worth
    /// (thirteen plays each, paired).
    fn work(self) -> f64 {
        self.busy.max(USED * self.busy + self.held)
    }
}

/// Work by service and model; 1 keeps one group fully busy.
pub type WorkByModel = BTreeMap<(ServiceName, Model), f64>;

/// An average that forgets.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    /// What requests of the last [`MEMORY`] take up.
    sum: Share,
    at: Millis,
}

impl Average {
    fn decay(&mut self, now: Millis) {
        let passed = (now - self.at).get() as f64;
        let left = (-passed / MEMORY).exp();
        self.sum.busy *= left;
        self.sum.held *= left;
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
        let Some(share) = asked.share() else { return };
        self.since.get_or_insert(now);
        let key = (service.clone(), asked.model.clone());
        let average = self.averages.entry(key).or_default();
        average.decay(now);
        average.sum.busy += share.busy;
        average.sum.held += share.held;
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
            let work = average.sum.work() / MEMORY / seen;
            (key.clone(), work)
        });
        told.filter(|(_, work)| *work >= LEAST).collect()
    }
}
