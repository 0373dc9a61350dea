//! The watcher's side of presence.

use std::collections::BTreeMap;

use thistlesill_core::message::{Digest, Gauge, Heartbeat, MAX_SIGHTINGS, ObservedState, Sighting};
use thistlesill_core::rendezvous::is_among;
use thistlesill_core::report::{CacheEvent, ListedInstance, Pressure, Report};
use thistlesill_core::{HallId, InstanceId, Millis, NodeId};

use super::WATCHERS;

/// Cache events that a gauge carries at most.
const MAX_CACHE_EVENTS: usize = 16;
/// Gauges in one beat at most; keeps it within a datagram.
const MAX_GAUGES: usize = 24;

/// Times of a watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPeriods {
    /// Between probes of a target.
    pub probe: Millis,
    /// The age of the last good report from which a target counts as lost.
    pub lost: Millis,
}

impl WatchPeriods {
    /// Periods for a time between probes: a target is lost when two probes
    /// in a row brought nothing.
    pub fn new(probe: Millis) -> Self {
        Self {
            probe,
            lost: Millis::new(probe.get() * 5 / 2),
        }
    }
}

#[derive(Debug, Clone)]
struct Target {
    /// Whether it is in this watcher's share; if not, it is only kept until
    /// its loss has been told.
    mine: bool,
    sighting: Sighting,
    sent: bool,
    probed: Option<Millis>,
    confirmed: Millis,
    pressure: Pressure,
    taken: Millis,
    cache: Vec<CacheEvent>,
    cache_seen: u64,
}

/// Watches this daemon's share of the targets.
#[derive(Debug, Clone)]
pub struct Watch {
    run: u64,
    periods: WatchPeriods,
    seq: u64,
    changes: u64,
    targets: BTreeMap<InstanceId, Target>,
    gauge_turn: usize,
}

impl Watch {
    /// A watcher without targets; `run` must differ between starts.
    pub const fn new(run: u64, periods: WatchPeriods) -> Self {
        Self {
            run,
            periods,
            seq: 0,
            changes: 0,
            targets: BTreeMap::new(),
            gauge_turn: 0,
        }
    }

    /// Takes over a share of the targets, as [`share`] gives it.
    pub fn assign(&mut self, mine: &[ListedInstance], now: Millis) {
        let mut kept = BTreeMap::new();
        for entry in mine {
            let old = self.targets.remove(&entry.instance);
            kept.insert(entry.instance.clone(), renew(old, entry, now));
        }
        // A target that is not ours any more, or not listed, is taken back.
        for (instance, mut gone) in std::mem::take(&mut self.targets) {
            gone.mine = false;
            gone.sent &= gone.sighting.state == ObservedState::Lost;
            gone.sighting.state = ObservedState::Lost;
            kept.insert(instance, gone);
        }
        self.targets = kept;
    }

    /// The targets to probe now; each counts as probed from here on.
    pub fn due(&mut self, now: Millis) -> Vec<(InstanceId, std::net::SocketAddr)> {
        let mut due = Vec::new();
        for (instance, target) in &mut self.targets {
            let waits = target.probed.is_some_and(|t| now - t < self.periods.probe);
            if target.mine && !waits {
                target.probed = Some(now);
                due.push((instance.clone(), target.sighting.address));
            }
        }
        due
    }

    /// Takes in the report that a probe begun at `started` brought.
    pub fn reported(&mut self, report: Report, started: Millis, now: Millis) {
        let found = self.targets.get_mut(&report.instance);
        let Some(target) = found.filter(|t| t.mine) else {
            return;
        };
        if started < target.confirmed {
            return;
        }
        target.confirmed = started;
        target.pressure = report.pressure;
        target.taken = now;
        for event in &report.cache {
            if event.seq > target.cache_seen && target.cache.len() < MAX_CACHE_EVENTS {
                target.cache_seen = event.seq;
                target.cache.push(*event);
            }
        }
        let mut next = target.sighting.clone();
        next.incarnation = report.incarnation;
        next.leaving |= report.leaving;
        next.state = report.duty.into();
        replace(target, next);
    }

    /// The beat for all peers; call it once per period.
    ///
    /// Changes that do not fit are left for the next beat. They were not
    /// confirmed before, so leaving them out is safe; a change for the worse
    /// goes first.
    pub fn beat(&mut self, now: Millis) -> Heartbeat {
        self.sweep(now);
        let changed = self.take_changes();
        self.changes += changed.len() as u64;
        self.seq += 1;
        self.targets.retain(|_, t| t.mine || !t.sent);
        Heartbeat {
            seq: self.seq,
            run: self.run,
            oldest: self.oldest(now),
            changes: self.changes,
            changed,
            gauges: self.take_gauges(now),
        }
    }

    /// This watcher's full view in parts.
    pub fn digest(&mut self, now: Millis) -> Vec<Digest> {
        self.sweep(now);
        let sent = self.targets.values().filter(|t| t.sent);
        let sightings: Vec<Sighting> = sent.map(|t| t.sighting.clone()).collect();
        let parts = sightings.len().div_ceil(MAX_SIGHTINGS).max(1);
        let part = |n: usize| {
            let start = n * MAX_SIGHTINGS;
            let end = (start + MAX_SIGHTINGS).min(sightings.len());
            Digest {
                run: self.run,
                changes: self.changes,
                part: n as u32,
                parts: parts as u32,
                oldest: self.oldest(now),
                sightings: sightings[start..end].to_vec(),
            }
        };
        (0..parts).map(part).collect()
    }

    /// How many targets are watched.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is watched.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Marks targets without a fresh report as lost.
    fn sweep(&mut self, now: Millis) {
        for target in self.targets.values_mut() {
            let lost = now - target.confirmed >= self.periods.lost;
            if lost && target.sighting.state != ObservedState::Lost {
                let mut next = target.sighting.clone();
                next.state = ObservedState::Lost;
                replace(target, next);
            }
        }
    }

    /// The age of the oldest report that a sent sighting rests on.
    fn oldest(&self, now: Millis) -> Millis {
        let held = self.targets.values().filter(|t| t.sent);
        held.filter(|t| t.sighting.state != ObservedState::Lost)
            .map(|t| now - t.confirmed)
            .max()
            .unwrap_or(Millis::ZERO)
    }

    fn take_changes(&mut self) -> Vec<Sighting> {
        let mut unsent: Vec<&mut Target> = self.targets.values_mut().filter(|t| !t.sent).collect();
        unsent.sort_by_key(|t| t.sighting.state != ObservedState::Lost && !t.sighting.leaving);
        let mut changed = Vec::new();
        for target in unsent.into_iter().take(MAX_SIGHTINGS) {
            target.sent = true;
            changed.push(target.sighting.clone());
        }
        changed
    }

    fn take_gauges(&mut self, now: Millis) -> Vec<Gauge> {
        let turn = self.seq + self.run;
        let leads = |t: &Target| match &t.sighting.state {
            ObservedState::Draining(m) => m.rank == 0,
            ObservedState::Ready(m) => m.rank == 0 && has_turn(turn, &t.sighting.instance),
            ObservedState::Service(_) => has_turn(turn, &t.sighting.instance),
            _ => false,
        };
        let leaders: Vec<InstanceId> = self
            .targets
            .iter()
            .filter(|(_, t)| leads(t))
            .map(|(i, _)| i.clone())
            .collect();
        let mut gauges = Vec::new();
        for step in 0..leaders.len().min(MAX_GAUGES) {
            let instance = &leaders[(self.gauge_turn + step) % leaders.len()];
            let Some(target) = self.targets.get_mut(instance) else {
                continue;
            };
            let mut pressure = target.pressure;
            pressure.age = pressure.age + (now - target.taken);
            gauges.push(Gauge {
                instance: instance.clone(),
                pressure,
                cache: std::mem::take(&mut target.cache),
            });
        }
        self.gauge_turn = self.gauge_turn.wrapping_add(MAX_GAUGES);
        gauges
    }
}

/// A planner that is alive, and its hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watcher {
    /// The planner.
    pub name: NodeId,
    /// Its hall.
    pub hall: HallId,
}

/// The share of `me` among the living planners.
///
/// Each target has [`WATCHERS`] of them, of its own hall first: the death of
/// one leaves two, whose word goes on counting.
pub fn share(me: &NodeId, alive: &[Watcher], listed: &[ListedInstance]) -> Vec<ListedInstance> {
    let mut near: BTreeMap<&HallId, Vec<NodeId>> = BTreeMap::new();
    for entry in listed {
        near.entry(&entry.hall)
            .or_insert_with(|| names(alive, |w| w.hall == entry.hall));
    }
    let mine = listed.iter().filter(|entry| {
        let own = &near[&entry.hall];
        let key = entry.instance.as_str();
        if own.contains(me) {
            return is_among(me, own, key, WATCHERS);
        }
        let missing = WATCHERS.saturating_sub(own.len());
        let far = names(alive, |w| w.hall != entry.hall);
        missing > 0 && is_among(me, &far, key, missing)
    });
    mine.cloned().collect()
}

fn names(watchers: &[Watcher], keep: impl Fn(&Watcher) -> bool) -> Vec<NodeId> {
    let kept = watchers.iter().filter(|w| keep(w));
    kept.map(|w| w.name.clone()).collect()
}

/// Whether a leader's gauge goes into the beat of this turn: the watchers of
/// a target share the beats between them. A draining leader's always goes.
fn has_turn(turn: u64, instance: &InstanceId) -> bool {
    let offset: u64 = instance.as_str().bytes().map(u64::from).sum();
    (turn + offset).is_multiple_of(WATCHERS as u64)
}

/// Sets a target's sighting and marks it for sending if it differs.
fn replace(target: &mut Target, next: Sighting) {
    if target.sighting != next {
        target.sighting = next;
        target.sent = false;
    }
}

/// Keeps what is known of a listed target, or starts anew with a lost one.
fn renew(old: Option<Target>, entry: &ListedInstance, now: Millis) -> Target {
    let fresh = Target {
        mine: true,
        sighting: Sighting {
            instance: entry.instance.clone(),
            hall: entry.hall.clone(),
            domain: entry.domain.clone(),
            generation: entry.generation.clone(),
            accelerators: entry.accelerators,
            address: entry.address,
            incarnation: 0,
            leaving: entry.leaving,
            state: ObservedState::Lost,
        },
        sent: false,
        probed: None,
        confirmed: Millis::ZERO,
        pressure: Pressure::default(),
        taken: now,
        cache: Vec::new(),
        cache_seen: 0,
    };
    let Some(mut target) = old else { return fresh };
    let moved = target.sighting.address != entry.address;
    if moved {
        return fresh;
    }
    let mut next = target.sighting.clone();
    next.leaving = entry.leaving || (next.leaving && next.state != ObservedState::Lost);
    next.domain.clone_from(&entry.domain);
    replace(&mut target, next);
    target.mine = true;
    target
}
