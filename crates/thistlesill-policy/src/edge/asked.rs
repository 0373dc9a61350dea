//! Demand for each model.
//!
//! Each daemon measures the work of the requests that arrive at it, in the unit that determines how
//! many groups there should be: the fraction of one group that the work takes up. A group has two
//! resources, its computing time and its slots, and the scarcer one counts. The planner adds up the
//! reports of all daemons.
//!
//! Load pattern: engines with few slots and long answers. Their slots are all taken while half of
//! their computing time is free, and a demand in computing time alone shows no lack of groups.

use std::collections::BTreeMap;
use std::ops::{AddAssign, MulAssign};

use thistlesill_core::edge::Engine;
use thistlesill_core::{Millis, Model, ServiceName};

use super::fleet::{FLOOR_RATIO, TARGET_UTILIZATION};
use super::shortage::Urgency;

/// Time constant of the moving averages, in milliseconds: long enough that some hundred requests
/// count, and a quarter of the time that loading weights takes, so that the average has followed
/// the demand before the weights are loaded.
const AVERAGING_MS: f64 = 4_000.0;
/// Weight of a refused request's work: its caller usually retries once, and would be counted twice.
/// Where callers are ranked, refused requests count in full: models get groups in the order of
/// urgency, and half of the demand would leave a more urgent model without groups that it needs.
const REFUSED_WEIGHT: f64 = 0.5;
/// Ratio of a group's slots that may be taken. It is higher than the ratio of computing time: a
/// request waits for a slot only if all are taken, and for computing time behind each prompt.
const SLOT_UTILIZATION: f64 = 0.75;
/// Work below this fraction of a group is not reported: it would round to zero.
const MIN_REPORTED_WORK: f64 = 0.001;

/// Work of one urgency below this is forgotten, in milliseconds of a group's time: a fraction of the
/// smallest requests, which take some milliseconds.
const MIN_RANKED_MS: f64 = 0.1;

/// The properties of a request that determine how much work it is.
#[derive(Debug, Clone, Copy)]
pub struct DemandSample<'a> {
    /// Engines of the service.
    pub engine: &'a Engine,
    /// Model that was requested.
    pub model: &'a Model,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Expected length of the answer in tokens, if the caller gave a hint.
    pub answer: Option<u64>,
    /// Whether the request was refused.
    pub refused: bool,
    /// Urgency of the request; `None` if the service does not rank its callers.
    pub urgency: Option<Urgency>,
}

impl DemandSample<'_> {
    /// Returns the weight with which the request counts.
    const fn weight(&self) -> f64 {
        if self.refused && self.urgency.is_none() {
            REFUSED_WEIGHT
        } else {
            1.0
        }
    }

    /// Returns what the request takes up of a group; `None` if the service does not run the model.
    ///
    /// Prefill takes up the whole group. Of a decoding step only what each running request adds
    /// counts as computing time: the rest is shared by all requests. A slot is taken for the
    /// prefill and for all steps.
    fn usage(&self) -> Option<Usage> {
        let (engine, plan) = (self.engine, self.engine.plan(self.model)?);
        let read = f64::from(self.prompt) / engine.read_rate.max(1.0) * 1_000.0;
        let answer = self.answer.map_or(engine.mean_answer, |t| t as f64);
        let slots = f64::from(engine.slots.max(1));
        let step = engine.step + engine.step_each * SLOT_UTILIZATION * slots;
        let planned = slots * SLOT_UTILIZATION / TARGET_UTILIZATION;
        let scale = self.weight() * plan.pace;
        Some(Usage {
            computing: scale * (read + answer * engine.step_each),
            slots: scale * (read + answer * step) / planned,
        })
    }
}

/// Time of a group that requests take up, in milliseconds, by resource.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    computing: f64,
    /// Time in which slots are taken, divided by their number, on the scale of computing time: the
    /// same value calls for the same number of groups.
    slots: f64,
}

impl Usage {
    const fn scarcer(self) -> f64 {
        self.computing.max(self.slots)
    }
}

impl AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.computing += other.computing;
        self.slots += other.slots;
    }
}

impl MulAssign<f64> for Usage {
    fn mul_assign(&mut self, factor: f64) {
        self.computing *= factor;
        self.slots *= factor;
    }
}

/// Work by service and model; 1 keeps one group fully busy.
pub type WorkByModel = BTreeMap<(ServiceName, Model), f64>;

/// The most urgent requests of each model, by service and model.
pub type UrgencyByModel = BTreeMap<(ServiceName, Model), Urgency>;

/// Returns the urgency of a model, given the work of its requests by urgency; `None` if there is
/// none.
///
/// Requests that are less than a quarter of the work do not count: a model keeps a quarter
/// of the groups that it needs in any case, which suffices for them. If they counted, one urgent
/// customer among many would raise all requests of the model above those of other models.
pub fn model_urgency(work: impl IntoIterator<Item = (Urgency, f64)>) -> Option<Urgency> {
    let mut by_urgency: Vec<(Urgency, f64)> = work.into_iter().collect();
    by_urgency.sort_by_key(|(urgency, _)| *urgency);
    let total: f64 = by_urgency.iter().map(|(_, work)| work).sum();
    let mut sum = 0.0;
    let counts = |(_, work): &&(Urgency, f64)| {
        sum += work;
        sum > 0.0 && sum >= FLOOR_RATIO * total
    };
    by_urgency.iter().find(counts).map(|(urgency, _)| *urgency)
}

/// An exponentially decaying sum.
#[derive(Debug, Clone, Default)]
struct Average {
    /// Usage of about the last [`AVERAGING_MS`].
    sum: Usage,
    /// Requests of the same time.
    requests: f64,
    /// The part of `sum` from callers that are ranked, by urgency.
    ranked: BTreeMap<Urgency, f64>,
    updated_at: Millis,
}

impl Average {
    fn decay(&mut self, now: Millis) {
        let elapsed = (now - self.updated_at).get() as f64;
        let factor = (-elapsed / AVERAGING_MS).exp();
        self.sum *= factor;
        self.requests *= factor;
        self.ranked.retain(|_, work| {
            *work *= factor;
            *work >= MIN_RANKED_MS
        });
        self.updated_at = now;
    }
}

/// Measures the demand that arrives at one daemon.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    averages: BTreeMap<(ServiceName, Model), Average>,
    /// When the first request arrived.
    started_at: Option<Millis>,
}

impl DemandMeter {
    /// Records a request that arrived, whether or not it was refused.
    pub fn record(&mut self, service: &ServiceName, sample: &DemandSample<'_>, now: Millis) {
        let Some(usage) = sample.usage() else { return };
        self.started_at.get_or_insert(now);
        let key = (service.clone(), sample.model.clone());
        let average = self.averages.entry(key).or_default();
        average.decay(now);
        average.sum += usage;
        average.requests += sample.weight();
        if let Some(urgency) = sample.urgency {
            *average.ranked.entry(urgency).or_default() += usage.scarcer();
        }
    }

    /// Returns the average time of a group that one request of a model takes up, in milliseconds of
    /// its scarcer resource; `None` if there was no request.
    pub fn work_per_request(&self, service: &ServiceName, model: &Model) -> Option<f64> {
        let average = self.averages.get(&(service.clone(), model.clone()))?;
        (average.requests > 0.0).then(|| average.sum.scarcer() / average.requests)
    }

    /// Returns the urgency of the current demand for models of services that rank their callers.
    pub fn urgency(&mut self, now: Millis) -> UrgencyByModel {
        for average in self.averages.values_mut() {
            average.decay(now);
        }
        let models = self.averages.iter();
        let ranked = models.filter_map(|(key, average)| {
            let work = average
                .ranked
                .iter()
                .map(|(urgency, work)| (*urgency, *work));
            Some((key.clone(), model_urgency(work)?))
        });
        ranked.collect()
    }

    /// Returns the current demand.
    ///
    /// A meter that has just started extrapolates, as if requests had arrived at the same rate all
    /// the time.
    pub fn work(&mut self, now: Millis) -> WorkByModel {
        let elapsed = (now - self.started_at.unwrap_or(now)).get() as f64;
        let covered = (1.0 - (-elapsed / AVERAGING_MS).exp()).max(0.1);
        for average in self.averages.values_mut() {
            average.decay(now);
        }
        let reported = self.averages.iter().map(|(key, average)| {
            let work = average.sum.scarcer() / AVERAGING_MS / covered;
            (key.clone(), work)
        });
        reported
            .filter(|(_, work)| *work >= MIN_REPORTED_WORK)
            .collect()
    }
}
