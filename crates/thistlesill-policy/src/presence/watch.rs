//! The watcher's side of presence: probes targets and reports what they answer.

use std::collections::BTreeMap;

use thistlesill_core::message::{Digest, Gauge, Heartbeat, MAX_SIGHTINGS, ObservedState, Sighting};
use thistlesill_core::rendezvous::is_among;
use thistlesill_core::report::{CacheEvent, ListedInstance, Pressure, Report};
use thistlesill_core::{HallId, InstanceId, Millis, NodeId};

use super::WATCHERS;

/// The maximum number of cache events in one gauge.
const MAX_CACHE_EVENTS: usize = 16;
/// The maximum number of gauges in one heartbeat, which keeps it within a datagram.
const MAX_GAUGES: usize = 24;

/// The durations that a watcher works with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPeriods {
    /// The interval between probes of a target.
    pub probe_interval: Millis,
    /// The age of the last good report at which a target counts as lost.
    pub lost_after: Millis,
}

impl WatchPeriods {
    /// Creates the durations for a probe interval: a target is lost when two probes in a row
    /// brought no report.
    pub fn new(probe_interval: Millis) -> Self {
        Self {
            probe_interval,
            lost_after: Millis::new(probe_interval.get() * 5 / 2),
        }
    }
}

#[derive(Debug, Clone)]
struct Target {
    /// Whether the target is in this watcher's share. If not, it is kept only until it has been
    /// reported as lost.
    in_share: bool,
    sighting: Sighting,
    sent: bool,
    probed: Option<Millis>,
    confirmed: Millis,
    pressure: Pressure,
    received_at: Millis,
    cache: Vec<CacheEvent>,
    last_cache_seq: u64,
}

/// A watcher's state for its share of the targets.
#[derive(Debug, Clone)]
pub struct Watch {
    run: u64,
    periods: WatchPeriods,
    seq: u64,
    changes: u64,
    targets: BTreeMap<InstanceId, Target>,
    next_gauge: usize,
}

impl Watch {
    /// Creates a watcher without targets; `run` must be greater at every start.
    pub const fn new(run: u64, periods: WatchPeriods) -> Self {
        Self {
            run,
            periods,
            seq: 0,
            changes: 0,
            targets: BTreeMap::new(),
            next_gauge: 0,
        }
    }

    /// Replaces the share of targets with the one that [`share`] returned.
    pub fn assign(&mut self, assigned: &[ListedInstance], now: Millis) {
        let mut updated = BTreeMap::new();
        for entry in assigned {
            let old = self.targets.remove(&entry.instance);
            updated.insert(entry.instance.clone(), update_target(old, entry, now));
        }
        // A target that is no longer in the share, or no longer listed, is reported as lost.
        for (instance, mut removed) in std::mem::take(&mut self.targets) {
            removed.in_share = false;
            removed.sent &= removed.sighting.state == ObservedState::Lost;
            removed.sighting.state = ObservedState::Lost;
            updated.insert(instance, removed);
        }
        self.targets = updated;
    }

    /// Returns the targets to probe now, and marks them as probed.
    pub fn due(&mut self, now: Millis) -> Vec<(InstanceId, std::net::SocketAddr)> {
        let mut due = Vec::new();
        for (instance, target) in &mut self.targets {
            let waits = target
                .probed
                .is_some_and(|t| now - t < self.periods.probe_interval);
            if target.in_share && !waits {
                target.probed = Some(now);
                due.push((instance.clone(), target.sighting.address));
            }
        }
        due
    }

    /// Records the report that a probe sent at `started` returned.
    pub fn record_report(&mut self, report: Report, started: Millis, now: Millis) {
        let found = self.targets.get_mut(&report.instance);
        let Some(target) = found.filter(|t| t.in_share) else {
            return;
        };
        if started < target.confirmed {
            return;
        }
        target.confirmed = started;
        target.pressure = report.pressure;
        target.received_at = now;
        for event in &report.cache {
            if event.seq > target.last_cache_seq && target.cache.len() < MAX_CACHE_EVENTS {
                target.last_cache_seq = event.seq;
                target.cache.push(*event);
            }
        }
        let mut next = target.sighting.clone();
        next.incarnation = report.incarnation;
        next.leaving |= report.leaving;
        next.state = report.duty.into();
        set_sighting(target, next);
    }

    /// Returns the next heartbeat for all peers; call this once per heartbeat interval.
    ///
    /// Changes that do not fit are left for the next heartbeat. This is safe because they have not
    /// been confirmed yet. Targets that are lost or leaving go first.
    pub fn next_heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.mark_lost(now);
        let changed = self.take_changes();
        self.changes += changed.len() as u64;
        self.seq += 1;
        self.targets.retain(|_, t| t.in_share || !t.sent);
        Heartbeat {
            seq: self.seq,
            run: self.run,
            oldest: self.oldest(now),
            changes: self.changes,
            changed,
            gauges: self.take_gauges(now),
        }
    }

    /// Returns this watcher's full view in parts, each of which fits into a datagram.
    pub fn digest(&mut self, now: Millis) -> Vec<Digest> {
        self.mark_lost(now);
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

    /// Returns the number of watched targets.
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Returns whether no target is watched.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Marks targets without a recent report as lost.
    fn mark_lost(&mut self, now: Millis) {
        for target in self.targets.values_mut() {
            let lost = now - target.confirmed >= self.periods.lost_after;
            if lost && target.sighting.state != ObservedState::Lost {
                let mut next = target.sighting.clone();
                next.state = ObservedState::Lost;
                set_sighting(target, next);
            }
        }
    }

    /// Returns the age of the oldest report behind the sightings that were sent.
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
            let instance = &leaders[(self.next_gauge + step) % leaders.len()];
            let Some(target) = self.targets.get_mut(instance) else {
                continue;
            };
            let mut pressure = target.pressure;
            pressure.age = pressure.age + (now - target.received_at);
            gauges.push(Gauge {
                instance: instance.clone(),
                pressure,
                cache: std::mem::take(&mut target.cache),
            });
        }
        self.next_gauge = self.next_gauge.wrapping_add(MAX_GAUGES);
        gauges
    }
}

/// The name and hall of a planner, which watches targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Watcher {
    /// The planner's name.
    pub name: NodeId,
    /// The planner's hall.
    pub hall: HallId,
}

/// Returns the targets that `me` has to watch, given the planners that are alive.
///
/// Each target has [`WATCHERS`] watchers, planners of its own hall first. If one of them dies, two
/// remain, and their reports still count.
pub fn share(me: &NodeId, alive: &[Watcher], listed: &[ListedInstance]) -> Vec<ListedInstance> {
    let mut near: BTreeMap<&HallId, Vec<NodeId>> = BTreeMap::new();
    for entry in listed {
        near.entry(&entry.hall)
            .or_insert_with(|| names(alive, |w| w.hall == entry.hall));
    }
    let own = listed.iter().filter(|entry| {
        let local = &near[&entry.hall];
        let key = entry.instance.as_str();
        if local.contains(me) {
            return is_among(me, local, key, WATCHERS);
        }
        let missing = WATCHERS.saturating_sub(local.len());
        let far = names(alive, |w| w.hall != entry.hall);
        missing > 0 && is_among(me, &far, key, missing)
    });
    own.cloned().collect()
}

fn names(watchers: &[Watcher], predicate: impl Fn(&Watcher) -> bool) -> Vec<NodeId> {
    let matching = watchers.iter().filter(|w| predicate(w));
    matching.map(|w| w.name.clone()).collect()
}

/// Returns whether a leader's gauge goes into the heartbeat of this turn. Each watcher sends the
/// gauge in one of [`WATCHERS`] heartbeats, so that the watchers of a target share the work. A
/// draining leader's gauge is always sent.
fn has_turn(turn: u64, instance: &InstanceId) -> bool {
    let offset: u64 = instance.as_str().bytes().map(u64::from).sum();
    (turn + offset).is_multiple_of(WATCHERS as u64)
}

/// Sets a target's sighting and marks it for sending if it differs.
fn set_sighting(target: &mut Target, next: Sighting) {
    if target.sighting != next {
        target.sighting = next;
        target.sent = false;
    }
}

/// Updates a listed target and keeps its known state, or creates it as lost if it is new or has
/// a new address.
fn update_target(old: Option<Target>, entry: &ListedInstance, now: Millis) -> Target {
    let fresh = Target {
        in_share: true,
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
        received_at: now,
        cache: Vec::new(),
        last_cache_seq: 0,
    };
    let Some(mut target) = old else { return fresh };
    let moved = target.sighting.address != entry.address;
    if moved {
        return fresh;
    }
    let mut next = target.sighting.clone();
    next.leaving = entry.leaving || (next.leaving && next.state != ObservedState::Lost);
    next.domain.clone_from(&entry.domain);
    set_sighting(&mut target, next);
    target.in_share = true;
    target
}
