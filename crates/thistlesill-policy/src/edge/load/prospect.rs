//! Predictions of first events, by the published figures and by what was observed.

use thistlesill_core::Millis;
use thistlesill_core::edge::{Engine, Target};

use super::pass::Pass;
use super::{FAR_PENALTY_MS, LoadTable, PickRequest, SLOW_RATIO, Work};
use crate::edge::owner::Scope;
use crate::edge::shortage::Prospect;

impl LoadTable {
    /// Returns the predicted time until one more request has its first event at a target, in
    /// milliseconds; 0 for services that run no models.
    ///
    /// It is the published time at the observed pace, plus the time that first events of the target
    /// were observed to take beyond that.
    pub fn predict(&self, target: &Target, request: &PickRequest<'_>, now: Millis) -> f64 {
        let begin = self.begin_ms(target, request, now);
        begin.map_or(0.0, |begin| begin + self.delay_seen_from(target, request))
    }

    /// Returns the prediction with the penalty for a target in another data centre, whose load is
    /// known less precisely.
    fn predict_from(&self, target: &Target, request: &PickRequest<'_>, now: Millis) -> f64 {
        let is_far = target.hall != *request.hall;
        let penalty = if is_far { FAR_PENALTY_MS } else { 0.0 };
        self.predict(target, request, now) + penalty
    }

    /// Returns the predicted time until a request would have its first event at a target that has no
    /// other one, in milliseconds.
    fn predict_idle(
        &self,
        target: &Target,
        engine: &Engine,
        request: &PickRequest<'_>,
        now: Millis,
    ) -> f64 {
        let alone = Work {
            requests: 0,
            unread: request.prompt,
        };
        let begin = Pass::of(target, engine, alone).begin(engine, alone);
        begin * self.slowdown(&target.id, now) + self.delay_seen_from(target, request)
    }

    /// Returns the delay of a target, or that of the same model in the own data centre if none is
    /// known. An owner measures the targets of its own scope; without their delay, those of other
    /// data centres would seem to begin every request earlier.
    fn delay_seen_from(&self, target: &Target, request: &PickRequest<'_>) -> f64 {
        let delay = self.delay(target);
        if delay > 0.0 || target.hall == *request.hall {
            return delay;
        }
        let near = Scope {
            hall: request.hall.clone(),
            ..Scope::of(target)
        };
        self.first_events.scope_delay(&near)
    }

    /// Returns the part of a target's delay by which it is slower than others of its scope.
    ///
    /// The averages of targets that are equally fast differ by some tens of milliseconds, which is
    /// more than what one request adds to the load of a target.
    pub(super) fn excess_delay(&self, target: &Target) -> f64 {
        let usual = self.first_events.scope_delay(&Scope::of(target));
        (self.delay(target) - SLOW_RATIO * usual).max(0.0)
    }

    /// Returns the time in milliseconds that first events of a target take beyond the published time.
    pub fn delay(&self, target: &Target) -> f64 {
        if self.first_events.is_assigned(&target.id) {
            self.first_events.delay(&target.id)
        } else {
            self.first_events.scope_delay(&Scope::of(target))
        }
    }

    /// Returns the published time until one more request has its first event at a target, at the
    /// observed pace.
    pub(super) fn begin_ms(
        &self,
        target: &Target,
        request: &PickRequest<'_>,
        now: Millis,
    ) -> Option<f64> {
        let engine = request.engine?;
        let mut work = self.work(&target.id, now);
        work.unread += request.prompt;
        let begin = Pass::of(target, engine, work).begin(engine, work);
        Some(begin * self.slowdown(&target.id, now))
    }

    /// Returns the target that is predicted to begin a request first, of those that neither are
    /// avoided nor refused a request recently; `None` if there is none, or if the service runs no
    /// models.
    pub fn prospect<'a>(
        &self,
        candidates: &[&'a Target],
        request: &PickRequest<'_>,
        now: Millis,
    ) -> Option<(Prospect, &'a Target)> {
        let engine = request.engine?;
        let usable = |t: &&&Target| !self.is_suspect(&t.id, now) && !self.is_full(&t.id, now);
        let usable = candidates.iter().filter(usable);
        let predicted = usable.map(|t| (self.predict_from(t, request, now), *t));
        let (begin, target) = predicted.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let prospect = Prospect {
            begin,
            idle: self.predict_idle(target, engine, request, now),
            slots: engine.slots,
            requests: self.work(&target.id, now).requests,
            has_room: self.has_room(candidates, engine, now),
            open_groups: u32::try_from(candidates.len()).unwrap_or(u32::MAX),
        };
        Some((prospect, target))
    }
}
