//! The view of the targets that results from all watchers' messages.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use thistlesill_core::message::{Digest, Gauge, Heartbeat, ObservedState, Sighting};
use thistlesill_core::report::Pressure;
use thistlesill_core::{InstanceId, Millis, NodeId};

/// The result of applying a watcher's message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// The message was applied.
    Applied,
    /// An earlier message was missed, so the watcher's full view has to be requested.
    NeedsDigest,
    /// The message is older than what is known, and was ignored.
    Stale,
}

/// The state of a target, merged over its watchers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observed {
    /// What the watchers report of the target.
    pub sighting: Arc<Sighting>,
    /// When the sighting stops counting unless another message confirms it.
    pub until: Millis,
}

/// A leader's pressure and when it was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PressureSample {
    /// The measured pressure.
    pub pressure: Pressure,
    /// When the pressure was measured.
    pub at: Millis,
}

#[derive(Debug, Clone, Default)]
struct WatcherState {
    run: u64,
    seq: u64,
    changes: u64,
    in_sync: bool,
    /// The time of the oldest report that the last message rests on.
    confirmed: Millis,
    last_received: Millis,
    /// The smallest difference seen between the local wall clock and the sender's, in milliseconds.
    least_lag: Option<i64>,
    sightings: HashMap<InstanceId, Arc<Sighting>>,
    gauges: HashMap<InstanceId, PressureSample>,
    parts: BTreeMap<u32, Digest>,
}

/// The targets as reported by all watchers together.
#[derive(Debug, Clone, Default)]
pub struct View {
    watchers: BTreeMap<NodeId, WatcherState>,
    /// Changes with every change of a sighting.
    generation: u64,
}

impl View {
    /// Creates a view without watchers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a counter that changes whenever a sighting does.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies a heartbeat.
    ///
    /// `lag` is the local wall clock minus the sender's at the time of sending, in milliseconds.
    /// What exceeds the smallest lag ever seen from this watcher is time that the heartbeat spent
    /// in transit or in a queue, and the heartbeat counts as that much older. A process that was
    /// paused therefore does not mistake old heartbeats in its socket for new ones.
    pub fn apply_heartbeat(
        &mut self,
        from: &NodeId,
        heartbeat: &Heartbeat,
        lag: i64,
        now: Millis,
    ) -> Received {
        let watcher = self.watchers.entry(from.clone()).or_default();
        if heartbeat.run < watcher.run
            || (heartbeat.run == watcher.run && heartbeat.seq <= watcher.seq)
        {
            return Received::Stale;
        }
        if heartbeat.run > watcher.run {
            watcher.restart(heartbeat.run);
            self.generation += 1;
        }
        let delay = watcher.delay(lag);
        watcher.seq = heartbeat.seq;
        watcher.last_received = now - delay;
        let expected = watcher.changes + heartbeat.changed.len() as u64;
        if !watcher.in_sync && heartbeat.changes == heartbeat.changed.len() as u64 {
            // These are the first changes of a run, so nothing was missed.
            watcher.in_sync = true;
        } else if !watcher.in_sync || expected != heartbeat.changes {
            watcher.in_sync = false;
            return Received::NeedsDigest;
        }
        watcher.changes = heartbeat.changes;
        watcher.confirmed = watcher.last_received - heartbeat.oldest;
        for gauge in &heartbeat.gauges {
            let measured = PressureSample {
                pressure: gauge.pressure,
                at: watcher.last_received - gauge.pressure.age,
            };
            watcher.gauges.insert(gauge.instance.clone(), measured);
        }
        for sighting in &heartbeat.changed {
            let key = sighting.instance.clone();
            watcher.sightings.insert(key, Arc::new(sighting.clone()));
            self.generation += 1;
        }
        Received::Applied
    }

    /// Applies a part of a watcher's full view. The view replaces the known one once all its parts
    /// have arrived.
    pub fn apply_digest(
        &mut self,
        from: &NodeId,
        part: &Digest,
        lag: i64,
        now: Millis,
    ) -> Received {
        let watcher = self.watchers.entry(from.clone()).or_default();
        if part.run < watcher.run || (watcher.in_sync && part.changes < watcher.changes) {
            return Received::Stale;
        }
        if part.run > watcher.run {
            watcher.restart(part.run);
        }
        watcher.parts.retain(|_, p| p.changes == part.changes);
        watcher.parts.insert(part.part, part.clone());
        if watcher.parts.len() < part.parts as usize {
            return Received::Applied;
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
        watcher.in_sync = true;
        watcher.last_received = now - delay;
        watcher.confirmed = watcher.last_received - part.oldest;
        self.generation += 1;
        Received::Applied
    }

    /// Returns the watchers whose last message is younger than `window`.
    pub fn alive(&self, now: Millis, window: Millis) -> Vec<NodeId> {
        let live = self
            .watchers
            .iter()
            .filter(|(_, w)| now - w.last_received < window);
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Removes the watchers whose last message is older than `window`.
    pub fn forget(&mut self, now: Millis, window: Millis) {
        let before = self.watchers.len();
        self.watchers.retain(|_, w| now - w.last_received < window);
        if self.watchers.len() != before {
            self.generation += 1;
        }
    }

    /// Returns all targets that any watcher knows, merged over the watchers.
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

    /// Returns one target, merged over the watchers that know it.
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

    /// Returns the most recent pressure on a leader, over all watchers.
    pub fn pressure(&self, instance: &str) -> Option<PressureSample> {
        let all = self.watchers.values();
        let found = all.filter_map(|w| w.gauges.get(instance));
        found.max_by_key(|m| m.at).copied()
    }

    /// Returns the age of a gauge from this watcher's last message: its age at sending plus the
    /// time since then.
    pub fn gauge_age(&self, from: &NodeId, gauge: &Gauge, now: Millis) -> Millis {
        let last_received = self.watchers.get(from).map_or(now, |w| w.last_received);
        gauge.pressure.age + (now - last_received)
    }
}

impl WatcherState {
    fn restart(&mut self, run: u64) {
        *self = Self {
            run,
            least_lag: self.least_lag,
            ..Self::default()
        };
    }

    /// Returns how long a message with this lag was in transit.
    fn delay(&mut self, lag: i64) -> Millis {
        let least = self.least_lag.map_or(lag, |l| l.min(lag));
        self.least_lag = Some(least);
        Millis::new((lag - least).unsigned_abs())
    }

    fn observed(&self, sighting: &Arc<Sighting>, window: Millis) -> Observed {
        let until = if self.in_sync && sighting.state != ObservedState::Lost {
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

/// Merges the sightings that two watchers have of one target.
///
/// A sighting that has expired does not count. If two valid sightings differ, the target counts as
/// lost until they agree: a group must not serve on the report of one of them alone. A target is
/// leaving if either watcher says so.
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
