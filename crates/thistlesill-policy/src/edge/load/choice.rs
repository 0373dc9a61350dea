//! The choice among the targets that may get a request.

use rand::RngExt;
use thistlesill_core::Millis;
use thistlesill_core::edge::Target;

use super::pass::Pass;
use super::{FAR_PENALTY_MS, Knowledge, LATE_RATIO, LoadTable, PickRequest};

/// Number of targets sampled in the own data centre to pick the best of, by a daemon that knows the
/// load of other daemons only from older reports.
const NEAR_SAMPLES: usize = 4;
/// Number of targets sampled in other data centres, in addition. Their load is known less
/// precisely, and daemons with the same knowledge should not all pick the same target.
const FAR_SAMPLES: usize = 2;
/// Weight of an answer's duration after the first event; the first event and the pauses determine
/// whether an answer is in time.
const ANSWER_WEIGHT: f64 = 0.25;

impl LoadTable {
    /// Returns the expected duration of one more request at a target, in milliseconds, with the
    /// penalty for another data centre.
    fn expected_ms(&self, target: &Target, request: &PickRequest<'_>, now: Millis) -> f64 {
        let mut work = self.work(&target.id, now);
        let far = if target.hall == *request.hall {
            0.0
        } else {
            FAR_PENALTY_MS
        };
        let Some(engine) = request.engine else {
            let slots = f64::from(target.slots.max(1));
            let duration = self.targets.get(&target.id).map_or(0.0, |l| l.duration);
            return far + duration.max(1.0) * (1.0 + f64::from(work.requests) / slots);
        };
        work.unread += request.prompt;
        let pass = Pass::of(target, engine, work);
        let duration = pass.begin(engine, work) + ANSWER_WEIGHT * pass.answer(engine);
        far + duration * self.slowdown(&target.id, now) + self.excess_delay(target)
    }

    /// Picks the best of `candidates`, as far as `knowledge` allows. Targets that refused a request
    /// recently are picked only if there is no other, and avoided ones last.
    pub fn pick<'a>(
        &self,
        candidates: &[&'a Target],
        request: &PickRequest<'_>,
        knowledge: Knowledge,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) -> Option<&'a Target> {
        let healthy = only(candidates, |t| !self.is_suspect(&t.id, now));
        let free = only(&healthy, |t| !self.is_full(&t.id, now));
        let pool = match (free.is_empty(), healthy.is_empty()) {
            (false, _) => &free,
            (true, false) => &healthy,
            (true, true) => candidates,
        };
        if pool.is_empty() {
            return None;
        }
        let (near, far): (Vec<&Target>, Vec<&Target>) =
            pool.iter().copied().partition(|t| t.hall == *request.hall);
        if let Some(target) = self.pick_far_in_time(&near, &far, request, now, rng) {
            return Some(target);
        }
        let near_samples = match knowledge {
            Knowledge::Exact => near.len(),
            Knowledge::Stale => NEAR_SAMPLES,
        };
        let mut sample = draw(&near, near_samples, rng);
        sample.extend(draw(&far, FAR_SAMPLES, rng));
        let expected = sample
            .into_iter()
            .map(|t| (self.expected_ms(t, request, now), t));
        let best = expected.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, target)| target)
    }

    /// Picks the best of a small sample of the `far` targets that begin the request within its
    /// objective, if no `near` one does. The sample is random, so that daemons with equal knowledge
    /// do not all pick one target.
    fn pick_far_in_time<'a>(
        &self,
        near: &[&'a Target],
        far: &[&'a Target],
        request: &PickRequest<'_>,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) -> Option<&'a Target> {
        let aim = request.aim?.get() as f64 * LATE_RATIO;
        request.engine?;
        let begins = near.iter().map(|t| self.predict(t, request, now));
        let earliest = begins.min_by(f64::total_cmp)?;
        if earliest <= aim {
            return None;
        }
        let latest = aim.min(earliest - FAR_PENALTY_MS);
        let in_time = only(far, |t| self.predict(t, request, now) <= latest);
        let sample = draw(&in_time, FAR_SAMPLES, rng).into_iter();
        let expected = sample.map(|t| (self.expected_ms(t, request, now), t));
        let best = expected.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, target)| target)
    }
}

/// Returns the targets for which `pass` is true.
fn only<'a>(targets: &[&'a Target], pass: impl Fn(&Target) -> bool) -> Vec<&'a Target> {
    targets.iter().copied().filter(|t| pass(t)).collect()
}

/// Draws up to `count` targets, from a random start and with a random stride that spreads them over
/// the list.
fn draw<'a>(pool: &[&'a Target], count: usize, rng: &mut impl rand::Rng) -> Vec<&'a Target> {
    let length = pool.len().max(1);
    let start = rng.random_range(0..length);
    let stride = 1 + rng.random_range(0..(length / count.max(1)).max(1));
    let sample = (0..count.min(pool.len())).map(|i| pool[(start + i * stride) % length]);
    sample.collect()
}
