//! Prediction of first events from those that were observed.
//!
//! Load pattern: a burst of requests with short objectives at groups whose first events take a fixed
//! time that the published figures do not contain, or that are slower than published. Requests are
//! then admitted until they begin late, and each of them delays those behind it.

use std::collections::{HashMap, HashSet};

use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{Millis, NodeId};

use super::load::Work;
use super::owner::Scope;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Number of samples from which on an average is used: before, its deviation means little.
const MIN_SAMPLES: u32 = 5;
/// Longest measurement: a request that takes longer is resumed elsewhere or lost, or the daemon that
/// measures was suspended.
const MAX_MEASUREMENT: Millis = Millis::new(5_000);
/// Time in which a daemon has sent a granted request and its counts have arrived: the 15 ms for
/// which it waits for the grant, a connection and a datagram.
const SEND_TIME: Millis = Millis::new(50);
/// Longest time between two calls. A daemon that measures receives counts every few milliseconds;
/// after a longer time it was suspended, and its measurements contain that time.
const MAX_IDLE: Millis = Millis::new(500);
/// How long an average is used after its last sample. A slow target gets few requests, so it is
/// tried again after this time and gets its share back if it has recovered.
const AVERAGE_VALIDITY: Millis = Millis::new(2_500);

/// Observed times of first events, compared to their predictions, by target.
#[derive(Debug, Clone, Default)]
pub struct FirstEvents {
    /// Measurements that have not ended, at most one for each daemon and target.
    pending: HashMap<NodeId, HashMap<TargetId, Measurement>>,
    targets: HashMap<TargetId, (Option<Scope>, Average)>,
    scopes: HashMap<Scope, Average>,
    /// Time of the last call.
    called: Millis,
}

/// Time of a first event that is being measured.
#[derive(Debug, Clone, Copy)]
struct Measurement {
    since: Millis,
    /// Predicted time without the observed delay, in milliseconds.
    predicted: f64,
    stage: Stage,
}

/// What the counts of the daemon have shown about a measured request.
#[derive(Debug, Clone, Copy)]
enum Stage {
    /// Nothing: counts without the request may have been sent before the grant arrived.
    Granted,
    /// Its prompt is being read; this is all work of the daemon at the target.
    Reading(Work),
    /// Other requests of the daemon are being read there, so that the end of this one is unknown.
    Mixed,
}

/// What follows from a daemon's counts for one measurement.
enum Outcome {
    Continue(Stage),
    Sample,
    Drop,
}

impl Measurement {
    fn counted(&self, work: Work, now: Millis) -> Outcome {
        let took = now - self.since;
        match self.stage {
            _ if took > MAX_MEASUREMENT => Outcome::Drop,
            Stage::Granted if work.unread == 0 && took <= SEND_TIME => {
                Outcome::Continue(Stage::Granted)
            }
            Stage::Mixed if work.unread > 0 => Outcome::Continue(Stage::Mixed),
            Stage::Reading(last) if work.unread > last.unread => Outcome::Continue(Stage::Mixed),
            _ if work.unread > 0 => Outcome::Continue(Stage::Reading(work)),
            // A request that ends together with its prompt may have failed or been cancelled.
            Stage::Reading(last) if work.requests >= last.requests => Outcome::Sample,
            Stage::Granted | Stage::Mixed | Stage::Reading(_) => Outcome::Drop,
        }
    }
}

/// Moving average of differences and of their deviation, in milliseconds.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    mean: f64,
    deviation: f64,
    samples: u32,
    /// Time of the last sample.
    at: Millis,
}

impl Average {
    fn add(&mut self, difference: f64, now: Millis) {
        if self.samples == 0 {
            self.mean = difference;
        }
        let error = difference - self.mean;
        self.mean += SAMPLE_WEIGHT * error;
        self.deviation += SAMPLE_WEIGHT * (error.abs() - self.deviation);
        self.samples = self.samples.saturating_add(1);
        self.at = now;
    }

    fn is_used(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Returns the mean plus one deviation, since a request that is admitted and late also delays
    /// those behind it. Published figures are a lower bound: engines that start urgent requests
    /// earlier begin some of them before the prediction, at the cost of others.
    fn delay(&self) -> f64 {
        (self.mean + self.deviation).max(0.0)
    }

    /// Drops all samples if the last one is too old.
    fn expire(&mut self, now: Millis) {
        if now - self.at > AVERAGE_VALIDITY {
            *self = Self::default();
        }
    }
}

impl FirstEvents {
    /// Records the scope of a target, whose average is used while the target has too few samples.
    pub fn assign(&mut self, target: &Target) {
        if !self.is_assigned(&target.id) {
            let known = self.targets.entry(target.id.clone()).or_default();
            known.0 = Some(Scope::of(target));
        }
    }

    /// Records that a request was granted to a daemon, with its predicted first event in
    /// milliseconds; the prediction contains the present delay of the target.
    pub fn granted(&mut self, daemon: &NodeId, target: &TargetId, predicted_ms: f64, now: Millis) {
        self.note_call(now);
        let predicted = predicted_ms - self.delay(target);
        let pending = self.pending.entry(daemon.clone()).or_default();
        let measurement = pending.entry(target.clone());
        measurement
            .and_modify(|m| m.stage = Stage::Mixed)
            .or_insert(Measurement {
                since: now,
                predicted,
                stage: Stage::Granted,
            });
    }

    /// Records that a daemon sends a target a request that is not measured, or that the end of a
    /// measured one is not its first event.
    pub fn mix(&mut self, daemon: &NodeId, target: &TargetId) {
        let pending = self.pending.get_mut(daemon);
        if let Some(measurement) = pending.and_then(|p| p.get_mut(target)) {
            measurement.stage = Stage::Mixed;
        }
    }

    /// Records the work that a daemon reports by target; zero unread tokens end a measurement.
    pub fn counted(&mut self, daemon: &NodeId, counts: &HashMap<TargetId, Work>, now: Millis) {
        self.note_call(now);
        let pending = self.pending.get(daemon).into_iter().flat_map(HashMap::keys);
        for target in pending.cloned().collect::<Vec<_>>() {
            let work = counts.get(&target).copied().unwrap_or_default();
            self.counted_at(daemon, &target, work, now);
        }
    }

    /// Records the work that a daemon reports for one target.
    pub fn counted_at(&mut self, daemon: &NodeId, target: &TargetId, work: Work, now: Millis) {
        self.note_call(now);
        let Some(pending) = self.pending.get_mut(daemon) else {
            return;
        };
        let Some(measurement) = pending.get_mut(target) else {
            return;
        };
        let (since, predicted) = (measurement.since, measurement.predicted);
        match measurement.counted(work, now) {
            Outcome::Continue(stage) => measurement.stage = stage,
            Outcome::Drop => _ = pending.remove(target),
            Outcome::Sample => {
                pending.remove(target);
                self.add(target, (now - since).get() as f64 - predicted, now);
            }
        }
    }

    /// Returns the time in milliseconds that first events of a target take beyond their predictions.
    #[must_use]
    pub fn delay(&self, target: &TargetId) -> f64 {
        let Some((scope, average)) = self.targets.get(target) else {
            return 0.0;
        };
        match scope {
            _ if average.is_used() => average.delay(),
            Some(scope) => self.scope_delay(scope),
            None => 0.0,
        }
    }

    /// Returns the delay in milliseconds of the targets of a scope that have too few samples.
    #[must_use]
    pub fn scope_delay(&self, scope: &Scope) -> f64 {
        let average = self.scopes.get(scope).filter(|a| a.is_used());
        average.map_or(0.0, Average::delay)
    }

    /// Returns whether the scope of a target was recorded.
    #[must_use]
    pub fn is_assigned(&self, target: &TargetId) -> bool {
        self.targets
            .get(target)
            .is_some_and(|(scope, _)| scope.is_some())
    }

    /// Removes targets that no longer exist, measurements that take too long, and averages that are
    /// too old.
    pub fn retain(&mut self, known: impl Fn(&TargetId) -> bool, now: Millis) {
        self.note_call(now);
        self.pending.retain(|_, pending| {
            pending.retain(|id, m| known(id) && now - m.since <= MAX_MEASUREMENT);
            !pending.is_empty()
        });
        self.targets.retain(|id, _| known(id));
        let averages = self.targets.values_mut().map(|(_, average)| average);
        averages
            .chain(self.scopes.values_mut())
            .for_each(|a| a.expire(now));
        let scopes = self
            .targets
            .values()
            .filter_map(|(scope, _)| scope.as_ref());
        let scopes: HashSet<&Scope> = scopes.collect();
        self.scopes.retain(|scope, _| scopes.contains(scope));
    }

    /// Drops all measurements if this daemon was suspended since the last call.
    fn note_call(&mut self, now: Millis) {
        if now - self.called > MAX_IDLE {
            self.pending.clear();
        }
        self.called = now;
    }

    fn add(&mut self, target: &TargetId, difference: f64, now: Millis) {
        let (scope, average) = self.targets.entry(target.clone()).or_default();
        average.add(difference, now);
        if let Some(scope) = scope {
            let average = self.scopes.entry(scope.clone()).or_default();
            average.add(difference, now);
        }
    }
}
