//! The receiver's side of presence.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use thistlesill_core::message::{Digest, Gauge, Heartbeat, ObservedState, Sighting};
use thistlesill_core::report::Pressure;
use thistlesill_core::{InstanceId, Millis, NodeId};

/// What to do after a watcher's message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// Nothing.
    Fine,
    /// Ask the watcher for its full view: something was missed.
    AskDigest,
    /// The message is older than what is known.
    Stale,
}

/// What is believed of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observed {
    /// The sighting.
    pub sighting: Arc<Sighting>,
    /// Until when the sighting counts, if nothing more is heard.
    pub until: Millis,
}

/// A leader's pressure and when it was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measured {
    /// The figures.
    pub pressure: Pressure,
    /// When.
    pub at: Millis,
}

#[derive(Debug, Clone, Default)]
struct Watcher {
    run: u64,
    seq: u64,
    changes: u64,
    in_step: bool,
    /// When the reports behind the last message were all still good.
    confirmed: Millis,
    heard: Millis,
    /// The least difference seen between our wall clock and the sender's.
    least_lag: Option<i64>,
    sightings: HashMap<InstanceId, Arc<Sighting>>,
    gauges: HashMap<InstanceId, Measured>,
    parts: BTreeMap<u32, Digest>,
}

/// What all watchers together say of the targets.
#[derive(Debug, Clone, Default)]
pub struct View {
    watchers: BTreeMap<NodeId, Watcher>,
    /// Changes with every change of a sighting.
    generation: u64,
}

impl View {
    /// A view without watchers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes whenever a sighting does.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Takes in a beat.
    ///
    /// `lag` is our wall clock less the sender's when it sent, in
    /// milliseconds. What exceeds the least lag ever seen from this watcher
    /// is time spent on the way or in a queue, and ages the beat: a process
    /// that was paused does not take old beats from its socket for new ones.
    pub fn beat(&mut self, from: &NodeId, beat: &Heartbeat, lag: i64, now: Millis) -> Heard {
        let watcher = self.watchers.entry(from.clone()).or_default();
        if beat.run < watcher.run || (beat.run == watcher.run && beat.seq <= watcher.seq) {
            return Heard::Stale;
        }
        if beat.run > watcher.run {
            watcher.restart(beat.run);
            self.generation += 1;
        }
        let delay = watcher.delay(lag);
        watcher.seq = beat.seq;
        watcher.heard = now - delay;
        let expected = watcher.changes + beat.changed.len() as u64;
        if !watcher.in_step && beat.changes == beat.changed.len() as u64 {
            // The first change of a run: nothing was missed.
            watcher.in_step = true;
        } else if !watcher.in_step || expected != beat.changes {
            watcher.in_step = false;
            return Heard::AskDigest;
        }
        watcher.changes = beat.changes;
        watcher.confirmed = watcher.heard - beat.oldest;
        for gauge in &beat.gauges {
            let measured = Measured {
                pressure: gauge.pressure,
                at: watcher.heard - gauge.pressure.age,
            };
            watcher.gauges.insert(gauge.instance.clone(), measured);
        }
        for sighting in &beat.changed {
            let key = sighting.instance.clone();
            watcher.sightings.insert(key, Arc::new(sighting.clone()));
            self.generation += 1;
        }
        Heard::Fine
    }

    /// Takes in a part of a watcher's full view; it counts once all parts
    /// are there.
    pub fn digest(&mut self, from: &NodeId, part: &Digest, lag: i64, now: Millis) -> Heard {
        let watcher = self.watchers.entry(from.clone()).or_default();
        if part.run < watcher.run || (watcher.in_step && part.changes < watcher.changes) {
            return Heard::Stale;
        }
        if part.run > watcher.run {
            watcher.restart(part.run);
        }
        watcher.parts.retain(|_, p| p.changes == part.changes);
        watcher.parts.insert(part.part, part.clone());
        if watcher.parts.len() < part.parts as usize {
            return Heard::Fine;
        }
        let delay = watcher.delay(lag);
        let parts = std::mem::take(&mut watcher.parts);
        watcher.sightings.clear();
        for sighting in parts.into_values().flat_map(|p| p.sightings) {
            watcher
                .sightings
                .insert(sighting.instance.clone(), Arc::new(sighting));
        }
        watcher.changes = part.changes;
        watcher.in_step = true;
        watcher.heard = now - delay;
        watcher.confirmed = watcher.heard - part.oldest;
        self.generation += 1;
        Heard::Fine
    }

    /// The watchers heard from within `window`.
    pub fn alive(&self, now: Millis, window: Millis) -> Vec<NodeId> {
        let live = self.watchers.iter().filter(|(_, w)| now - w.heard < window);
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Forgets watchers not heard from for `window`.
    pub fn forget(&mut self, now: Millis, window: Millis) {
        let before = self.watchers.len();
        self.watchers.retain(|_, w| now - w.heard < window);
        if self.watchers.len() != before {
            self.generation += 1;
        }
    }

    /// All targets that any watcher knows, merged.
    pub fn observe_all(&self, now: Millis, window: Millis) -> BTreeMap<InstanceId, Observed> {
        let mut all: BTreeMap<InstanceId, Observed> = BTreeMap::new();
        for watcher in self.watchers.values() {
            for (instance, sighting) in &watcher.sightings {
                let seen = watcher.observed(sighting, window);
                match all.get_mut(instance) {
                    None => {
                        all.insert(instance.clone(), seen);
                    }
                    Some(known) => merge(known, seen, now),
                }
            }
        }
        all
    }

    /// One target, merged over all watchers.
    pub fn observe(&self, instance: &str, now: Millis, window: Millis) -> Option<Observed> {
        let mut merged: Option<Observed> = None;
        for watcher in self.watchers.values() {
            let Some(sighting) = watcher.sightings.get(instance) else {
                continue;
            };
            let seen = watcher.observed(sighting, window);
            match &mut merged {
                None => merged = Some(seen),
                Some(known) => merge(known, seen, now),
            }
        }
        merged
    }

    /// The latest pressure on a leader, over all watchers.
    pub fn pressure(&self, instance: &str) -> Option<Measured> {
        let all = self.watchers.values();
        let found = all.filter_map(|w| w.gauges.get(instance));
        found.max_by_key(|m| m.at).copied()
    }

    /// How old a gauge of this watcher is on arrival, beyond its own age.
    pub fn gauge_age(&self, from: &NodeId, gauge: &Gauge, now: Millis) -> Millis {
        let heard = self.watchers.get(from).map_or(now, |w| w.heard);
        gauge.pressure.age + (now - heard)
    }
}

impl Watcher {
    fn restart(&mut self, run: u64) {
        *self = Self {
            run,
            least_lag: self.least_lag,
            ..Self::default()
        };
    }

    /// The time that a message with this lag spent on the way.
    fn delay(&mut self, lag: i64) -> Millis {
        let least = self.least_lag.map_or(lag, |l| l.min(lag));
        self.least_lag = Some(least);
        Millis::new((lag - least).unsigned_abs())
    }

    fn observed(&self, sighting: &Arc<Sighting>, window: Millis) -> Observed {
        let until = if self.in_step && sighting.state != ObservedState::Lost {
            self.confirmed + window
        } else {
            Millis::ZERO
        };
        Observed {
            sighting: sighting.clone(),
            until,
        }
    }
}

/// Merges what two watchers say of one target.
///
/// A watcher whose word has run out says nothing. Between two that differ,
/// the target counts as lost until they agree: a group must not serve on the
/// word of one of them alone. Leaving holds if any watcher says so.
fn merge(known: &mut Observed, other: Observed, now: Millis) {
    let leaving = known.sighting.leaving || other.sighting.leaving;
    let (known_fresh, other_fresh) = (known.until > now, other.until > now);
    match (known_fresh, other_fresh) {
        (true, true) if differs(&known.sighting, &other.sighting) => {
            let mut newer = newer(&known.sighting, &other.sighting).clone();
            Arc::make_mut(&mut newer).state = ObservedState::Lost;
            *known = Observed {
                sighting: newer,
                until: known.until.max(other.until),
            };
        }
        (true, true) => known.until = known.until.max(other.until),
        (false, true) => *known = other,
        (true | false, false) => {}
    }
    if known.sighting.leaving != leaving {
        Arc::make_mut(&mut known.sighting).leaving = leaving;
    }
}

fn differs(a: &Sighting, b: &Sighting) -> bool {
    a.incarnation != b.incarnation || a.state != b.state
}

fn newer<'a>(a: &'a Arc<Sighting>, b: &'a Arc<Sighting>) -> &'a Arc<Sighting> {
    if b.incarnation > a.incarnation { b } else { a }
}
