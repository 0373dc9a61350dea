//! Which target gets a request.
//!
//! A daemon counts the requests that it has at each target and adds what its
//! peers told of theirs. Targets that stopped making progress are passed
//! over until they show some again.

use std::collections::HashMap;

use rand::RngExt;
use thistlesill_core::edge::{Engine, Target};
use thistlesill_core::{InstanceId, Millis, NodeId};

/// Targets that are drawn to pick the best of; a few suffice, and daemons
/// that know the same do not all pick the same one.
const DRAWN: usize = 4;
/// How long a target that failed a request is passed over.
const SUSPECT: Millis = Millis::new(2_500);
/// How long a peer's counts are believed.
const PEER_TRUST: Millis = Millis::new(1_500);
/// Weight of a new observation of a target's time.
const LEARNING: f64 = 0.2;

/// What a daemon knows of one target's load.
#[derive(Debug, Clone, Default)]
pub struct TargetLoad {
    /// Requests of this daemon.
    own: u32,
    /// When the target last sent something to this daemon.
    progress: Millis,
    /// Until when it is passed over.
    suspect: Millis,
    /// Time of a request, in milliseconds, learnt; 0 if unknown.
    time: f64,
}

/// What a daemon knows of all targets' load.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    targets: HashMap<InstanceId, TargetLoad>,
    peers: HashMap<NodeId, PeerCounts>,
}

#[derive(Debug, Clone, Default)]
struct PeerCounts {
    heard: Millis,
    counts: HashMap<InstanceId, u32>,
}

impl LoadTable {
    /// Notes that a request was sent to a target.
    pub fn begin(&mut self, id: &InstanceId) {
        self.entry(id).own += 1;
    }

    /// Notes that a request at a target ended.
    pub fn end(&mut self, id: &InstanceId) {
        let load = self.entry(id);
        load.own = load.own.saturating_sub(1);
    }

    /// Notes that a target sent something.
    pub fn note_progress(&mut self, id: &InstanceId, now: Millis) {
        let load = self.entry(id);
        load.progress = now;
        load.suspect = Millis::ZERO;
    }

    /// Notes how long a request took.
    pub fn note_time(&mut self, id: &InstanceId, took: Millis) {
        let load = self.entry(id);
        let took = took.get() as f64;
        load.time = if load.time > 0.0 {
            load.time + LEARNING * (took - load.time)
        } else {
            took
        };
    }

    /// When the target last sent something to this daemon.
    pub fn progress(&self, id: &InstanceId) -> Millis {
        self.targets.get(id).map_or(Millis::ZERO, |l| l.progress)
    }

    /// Notes that a target failed or stopped; returns whether this is news.
    pub fn suspect(&mut self, id: &InstanceId, now: Millis) -> bool {
        let load = self.entry(id);
        let news = load.suspect <= now;
        load.suspect = now + SUSPECT;
        news
    }

    /// Whether a target is passed over.
    pub fn is_suspect(&self, id: &InstanceId, now: Millis) -> bool {
        self.targets.get(id).is_some_and(|l| l.suspect > now)
    }

    /// Targets that are passed over now.
    pub fn suspects(&self, now: Millis) -> Vec<InstanceId> {
        let found = self.targets.iter().filter(|(_, l)| l.suspect > now);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Takes in the counts of a peer.
    pub fn hear(&mut self, peer: &NodeId, counts: HashMap<InstanceId, u32>, now: Millis) {
        let heard = PeerCounts { heard: now, counts };
        self.peers.insert(peer.clone(), heard);
    }

    /// This daemon's requests by target.
    pub fn counts(&self) -> Vec<(InstanceId, u32)> {
        let busy = self.targets.iter().filter(|(_, l)| l.own > 0);
        busy.map(|(id, l)| (id.clone(), l.own)).collect()
    }

    /// Forgets targets that are gone and peers that fell silent.
    pub fn retain(&mut self, known: impl Fn(&InstanceId) -> bool, now: Millis) {
        self.targets.retain(|id, l| l.own > 0 || known(id));
        self.peers.retain(|_, p| now - p.heard < PEER_TRUST);
    }

    /// Requests at a target, of this daemon and its peers.
    pub fn running(&self, id: &InstanceId, now: Millis) -> u32 {
        let own = self.targets.get(id).map_or(0, |l| l.own);
        let fresh = self.peers.values().filter(|p| now - p.heard < PEER_TRUST);
        own + fresh
            .filter_map(|p| p.counts.get(id).copied())
            .sum::<u32>()
    }

    /// The expected time of one more request at a target, in milliseconds.
    fn expected(&self, target: &Target, engine: Option<&Engine>, now: Millis) -> f64 {
        let running = f64::from(self.running(&target.id, now));
        let Some(engine) = engine else {
            let slots = f64::from(target.slots.max(1));
            let time = self.targets.get(&target.id).map_or(0.0, |l| l.time);
            return time.max(1.0) * (1.0 + running / slots);
        };
        let model = target.member.as_ref().and_then(|m| m.model.as_ref());
        let pace = model.and_then(|m| engine.plan(m)).map_or(1.0, |p| p.pace);
        let slots = f64::from(engine.slots.max(1));
        let step = pace * (engine.step + engine.step_each * running.min(slots));
        let answer = step * engine.usual_answer;
        // Each `slots` requests in front end within about one answer.
        let wait = (running + 1.0 - slots).max(0.0) / slots * answer;
        answer + wait
    }

    /// The best of a few targets drawn from `candidates`; those that are
    /// passed over only if there is no other.
    pub fn pick<'a>(
        &self,
        candidates: &[&'a Target],
        engine: Option<&Engine>,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) -> Option<&'a Target> {
        let sound: Vec<&'a Target> = candidates
            .iter()
            .copied()
            .filter(|t| !self.is_suspect(&t.id, now))
            .collect();
        let pool = if sound.is_empty() { candidates } else { &sound };
        if pool.is_empty() {
            return None;
        }
        let start = rng.random_range(0..pool.len());
        let stride = if pool.len() > DRAWN {
            1 + rng.random_range(0..pool.len() / DRAWN)
        } else {
            1
        };
        let drawn = (0..DRAWN.min(pool.len())).map(|i| pool[(start + i * stride) % pool.len()]);
        drawn.min_by(|a, b| {
            let (a, b) = (
                self.expected(a, engine, now),
                self.expected(b, engine, now),
            );
            a.total_cmp(&b)
        })
    }

    fn entry(&mut self, id: &InstanceId) -> &mut TargetLoad {
        self.targets.entry(id.clone()).or_default()
    }
}
