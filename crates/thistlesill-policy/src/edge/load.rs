//! Which target gets a request.
//!
//! A daemon counts the requests that it has at each target and adds what its
//! peers told of theirs. Targets that stopped making progress are passed
//! over until they show some again.

mod pass;
mod peers;
mod work;

use std::collections::HashMap;

use rand::RngExt;
use thistlesill_core::edge::{Engine, Target, TargetId};
use thistlesill_core::{HallId, Millis, NodeId};

use self::pass::Pass;
use self::peers::PeerCounts;
pub use self::work::Work;

/// Targets of the own data centre that are drawn to pick the best of, by a daemon
/// that knows the load of the others only from what they told a while ago.
const DRAWN_NEAR: usize = 4;
/// Targets of other data centres that are drawn beside them. Their load is known
/// less well, and daemons that know the same should not all pick the same one.
const DRAWN_FAR: usize = 2;
/// Added to the expected time in another data centre, in milliseconds: its
/// share of the price of bytes between them, where the wait is about equal.
const FAR: f64 = 25.0;
/// Part of an answer's time after the first event that counts in the choice;
/// the first event and the pauses decide whether an answer is in time.
const ANSWER_PART: f64 = 0.25;
/// Part of a target's places from which on it counts as busy; no request is
/// turned away while a target has more than that free.
const BUSY: f64 = 0.6;
/// Part of the objective beyond which a request would begin too late.
/// Bounds of 0.8 to 1.5 gave the same on twenty measured days.
const LATE: f64 = 1.0;
/// How many times its usual pause a group may be silent before it counts as
/// stopped, since prompts that all daemons send are read in between.
const PASSES: f64 = 3.0;
/// How long a target that failed a request is passed over.
const SUSPECT: Millis = Millis::new(2_500);
/// How long after an event the streams of a target count as going on: several
/// usual pauses, and less than the shortest after which a stream is taken up
/// elsewhere.
const GOES_ON: Millis = Millis::new(150);
/// How long a target that refused a request is passed over: about the time in which a
/// place comes free there.
const REFUSED: Millis = Millis::new(100);
/// How often that time is doubled for a target that goes on refusing, so that it costs
/// a retry every 1.6 s.
const REFUSED_DOUBLED: u32 = 4;
/// Weight of a new observation of a target's time.
const LEARNING: f64 = 0.2;
/// Times the usual pause between events from which on a group counts as slow;
/// prompts that daemons have not told of yet make half of that.
const SLOW: f64 = 2.0;
/// The longest pause that is learnt, in usual ones.
const SLOWEST: f64 = 20.0;
/// How long it is believed that a group is slow without another event.
const SLOW_TRUST: Millis = Millis::new(2_500);

/// A request that asks for a target.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// The engines of its service, if it runs models.
    pub engine: Option<&'a Engine>,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// The data centre of the daemon.
    pub hall: &'a HallId,
}

/// What a daemon knows of one target's load.
#[derive(Debug, Clone, Default)]
pub struct TargetLoad {
    /// Work of this daemon's requests.
    own: Work,
    /// When the target last sent something to this daemon.
    progress: Millis,
    /// Until when it is passed over.
    suspect: Millis,
    /// Requests that it refused since it last took one.
    refusals: u32,
    /// Until when others are preferred since it refused.
    full: Millis,
    /// Time of a request, in milliseconds, learnt; 0 if unknown.
    time: f64,
    /// Pause between the events of a stream, in usual ones, learnt; 0 if
    /// unknown.
    pause: f64,
}

impl TargetLoad {
    /// Notes that the target sent something.
    const fn hear(&mut self, now: Millis) {
        self.progress = now;
        self.suspect = Millis::ZERO;
    }

    /// Whether streams of this daemon go on at the target.
    fn goes_on(&self, now: Millis) -> bool {
        self.own.requests > 0 && now - self.progress < GOES_ON
    }

    /// How many times slower than usual the target is; 1 if it is not slow.
    fn slowness(&self, now: Millis) -> f64 {
        let known = now - self.progress < SLOW_TRUST;
        if known && self.pause >= SLOW {
            self.pause
        } else {
            1.0
        }
    }
}

/// What a daemon knows of all targets' load.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    targets: HashMap<TargetId, TargetLoad>,
    peers: PeerCounts,
    /// All work at targets as their owners told of it, and until when it is believed.
    told: HashMap<TargetId, (Work, Millis)>,
}

/// How a target is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// The counts of the own data centre are exact: the best target is picked.
    Exact,
    /// They are old: the best of a few drawn ones is picked, since daemons that know
    /// the same should not all pick the same one.
    Old,
}

impl LoadTable {
    /// Notes that a request with a prompt of `unread` tokens was sent.
    pub fn begin(&mut self, id: &TargetId, unread: u32) {
        let own = &mut self.entry(id).own;
        own.requests += 1;
        own.unread += unread;
    }

    /// Notes that the prompt of a request was read.
    pub fn read(&mut self, id: &TargetId, unread: u32) {
        let own = &mut self.entry(id).own;
        own.unread = own.unread.saturating_sub(unread);
    }

    /// Notes that a request at a target ended.
    pub fn end(&mut self, id: &TargetId) {
        let own = &mut self.entry(id).own;
        own.requests = own.requests.saturating_sub(1);
    }

    /// Notes that a target sent something.
    pub fn note_progress(&mut self, id: &TargetId, now: Millis) {
        let load = self.entry(id);
        load.hear(now);
        load.refusals = 0;
    }

    /// Notes how long a request took.
    pub fn note_time(&mut self, id: &TargetId, took: Millis) {
        let load = self.entry(id);
        let took = took.get() as f64;
        load.time = if load.time > 0.0 {
            load.time + LEARNING * (took - load.time)
        } else {
            took
        };
    }

    /// Notes the pause before an event of a stream.
    pub fn note_pause(&mut self, target: &Target, engine: &Engine, pause: Millis, now: Millis) {
        let work = self.work(&target.id, now);
        let usual = Pass::of(target, engine, work).pause();
        let pause = (pause.get() as f64 / usual.max(1.0)).min(SLOWEST);
        let load = self.entry(&target.id);
        load.pause += LEARNING * (pause - load.pause);
    }

    /// Targets whose streams are slow.
    pub fn slow(&self, now: Millis) -> Vec<TargetId> {
        let slow = self.targets.iter().filter(|(_, l)| l.slowness(now) > 1.0);
        slow.map(|(id, _)| id.clone()).collect()
    }

    fn slowness(&self, id: &TargetId, now: Millis) -> f64 {
        self.targets.get(id).map_or(1.0, |l| l.slowness(now))
    }

    /// When the target last sent something to this daemon.
    pub fn progress(&self, id: &TargetId) -> Millis {
        self.targets.get(id).map_or(Millis::ZERO, |l| l.progress)
    }

    /// Notes that a target failed or stopped; returns whether this is news.
    pub fn suspect(&mut self, id: &TargetId, now: Millis) -> bool {
        let load = self.entry(id);
        let news = load.suspect <= now;
        load.suspect = now + SUSPECT;
        news
    }

    /// Notes that a target answered a request without taking it: others are preferred for
    /// a time that grows until it takes one.
    ///
    /// A refusal is a fast answer, so what is learnt of times does not speak against the
    /// target; each request that it is sent first costs a retry, of which there are few.
    /// With one of two targets full, 20 of 20 requests in a row are answered and 6 without
    /// this (a daemon before stand-ins, the other target 30 ms farther away).
    pub fn note_refused(&mut self, id: &TargetId, now: Millis) {
        let load = self.entry(id);
        let doubled = load.refusals.min(REFUSED_DOUBLED);
        load.hear(now);
        load.refusals += 1;
        load.full = now + Millis::new(REFUSED.get() << doubled);
    }

    /// Whether a target refused a request a moment ago.
    fn is_full(&self, id: &TargetId, now: Millis) -> bool {
        self.targets.get(id).is_some_and(|l| l.full > now)
    }

    /// Whether a target is passed over.
    pub fn is_suspect(&self, id: &TargetId, now: Millis) -> bool {
        self.targets.get(id).is_some_and(|l| l.suspect > now)
    }

    /// Targets that are passed over now.
    pub fn suspects(&self, now: Millis) -> Vec<TargetId> {
        let found = self.targets.iter().filter(|(_, l)| l.suspect > now);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Targets that are passed over although this daemon's streams there go on: one
    /// that leaves accepts no connections while it works off what it has.
    pub fn going_on(&self, now: Millis) -> Vec<TargetId> {
        let found = self.targets.iter().filter(|(_, l)| l.suspect > now);
        let found = found.filter(|(_, l)| l.goes_on(now));
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Takes in a peer's counts, to be believed until a moment.
    pub fn hear(&mut self, peer: &NodeId, counts: HashMap<TargetId, Work>, until: Millis) {
        self.peers.hear(peer, counts, until);
    }

    /// Counts a request that a peer will send to a target, until it tells more.
    pub fn grant(&mut self, peer: &NodeId, id: &TargetId, unread: u32, until: Millis) {
        self.peers.grant(peer, id, unread, until);
    }

    /// Takes in all work at a target as its owner told of it, to be believed until a
    /// moment.
    pub fn hear_total(&mut self, id: TargetId, work: Work, until: Millis) {
        self.told.insert(id, (work, until));
    }

    /// This daemon's requests by target.
    pub fn counts(&self) -> Vec<(TargetId, Work)> {
        let busy = self.targets.iter().filter(|(_, l)| l.own.requests > 0);
        busy.map(|(id, l)| (id.clone(), l.own)).collect()
    }

    /// Forgets targets that are gone and peers that fell silent.
    pub fn retain(&mut self, known: impl Fn(&TargetId) -> bool, now: Millis) {
        self.targets.retain(|id, l| l.own.requests > 0 || known(id));
        self.told.retain(|_, (_, until)| now < *until);
        self.peers.retain(now);
    }

    /// Work at a target, of this daemon and its peers.
    ///
    /// An owner's word counts where it tells of more: this daemon may not hear all
    /// who have requests there.
    pub fn work(&self, id: &TargetId, now: Millis) -> Work {
        let own = self.targets.get(id).map_or_else(Work::default, |l| l.own);
        let counted = own + self.peers.work(id, now);
        let told = self.told.get(id).filter(|(_, until)| now < *until);
        told.map_or(counted, |(told, _)| counted.max(*told))
    }

    /// Requests at each target, of this daemon and its peers.
    pub fn requests(&self, now: Millis) -> HashMap<TargetId, u32> {
        let mut all: HashMap<TargetId, u32> = HashMap::new();
        for (id, work) in self.counts() {
            *all.entry(id).or_default() += work.requests;
        }
        for (id, work) in self.peers.counts(now) {
            *all.entry(id.clone()).or_default() += work.requests;
        }
        all
    }

    /// How long a group may be silent while it works off what it has, in
    /// milliseconds.
    pub fn patience(&self, target: &Target, engine: &Engine, now: Millis) -> Millis {
        let work = self.work(&target.id, now);
        let pass = Pass::of(target, engine, work);
        let slowness = self.slowness(&target.id, now);
        Millis::new((PASSES * pass.pause() * slowness) as u64)
    }

    /// The expected time of one more request at a target, in milliseconds.
    fn expected(&self, target: &Target, wanted: &Wanted<'_>, now: Millis) -> f64 {
        let mut work = self.work(&target.id, now);
        let far = if target.hall == *wanted.hall {
            0.0
        } else {
            FAR
        };
        let Some(engine) = wanted.engine else {
            let slots = f64::from(target.slots.max(1));
            let time = self.targets.get(&target.id).map_or(0.0, |l| l.time);
            return far + time.max(1.0) * (1.0 + f64::from(work.requests) / slots);
        };
        work.unread += wanted.prompt;
        let pass = Pass::of(target, engine, work);
        let time = pass.begin(engine, work) + ANSWER_PART * pass.answer(engine);
        far + time * self.slowness(&target.id, now)
    }

    /// How much later than `aim` a request would begin at the best target,
    /// if all are busy; `None` if it may be sent.
    ///
    /// A request that would begin too late also delays those behind it, so
    /// its caller does better to come back when the targets have caught up.
    pub fn overload(
        &self,
        candidates: &[&Target],
        wanted: &Wanted<'_>,
        aim: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let engine = wanted.engine?;
        let mut least = f64::MAX;
        for target in candidates {
            let mut work = self.work(&target.id, now);
            let busy = f64::from(work.requests) >= BUSY * f64::from(engine.slots);
            if !busy && !self.is_suspect(&target.id, now) {
                return None;
            }
            work.unread += wanted.prompt;
            let begin = Pass::of(target, engine, work).begin(engine, work);
            least = least.min(begin * self.slowness(&target.id, now));
        }
        let aim = aim.get() as f64;
        let late = least - aim * LATE;
        (late > 0.0 && least < f64::MAX).then(|| Millis::new(late as u64))
    }

    /// Whether some target has room, so that a request that is late in any
    /// case takes nothing away from those that can be in time.
    pub fn has_room(&self, candidates: &[&Target], engine: &Engine, now: Millis) -> bool {
        let most = BUSY * f64::from(engine.slots);
        let room = |target: &&Target| {
            let requests = self.work(&target.id, now).requests;
            f64::from(requests) < most && !self.is_suspect(&target.id, now)
        };
        candidates.iter().any(room)
    }

    /// Whether any peer has told of its load.
    pub fn hears_peers(&self) -> bool {
        !self.peers.is_empty()
    }

    /// The best of `candidates`, as far as `knowledge` goes; those that are full only if
    /// there is no other, and those that are passed over last.
    pub fn pick<'a>(
        &self,
        candidates: &[&'a Target],
        wanted: &Wanted<'_>,
        knowledge: Knowledge,
        now: Millis,
        rng: &mut impl rand::Rng,
    ) -> Option<&'a Target> {
        let sound = only(candidates, |t| !self.is_suspect(&t.id, now));
        let free = only(&sound, |t| !self.is_full(&t.id, now));
        let pool = match (free.is_empty(), sound.is_empty()) {
            (false, _) => &free,
            (true, false) => &sound,
            (true, true) => candidates,
        };
        if pool.is_empty() {
            return None;
        }
        let (near, far): (Vec<&Target>, Vec<&Target>) =
            pool.iter().copied().partition(|t| t.hall == *wanted.hall);
        let drawn_near = match knowledge {
            Knowledge::Exact => near.len(),
            Knowledge::Old => DRAWN_NEAR,
        };
        let mut drawn = draw(&near, drawn_near, rng);
        drawn.extend(draw(&far, DRAWN_FAR, rng));
        let timed = drawn
            .into_iter()
            .map(|t| (self.expected(t, wanted, now), t));
        let best = timed.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, target)| target)
    }

    fn entry(&mut self, id: &TargetId) -> &mut TargetLoad {
        self.targets.entry(id.clone()).or_default()
    }
}

/// Those targets that pass.
fn only<'a>(targets: &[&'a Target], pass: impl Fn(&Target) -> bool) -> Vec<&'a Target> {
    targets.iter().copied().filter(|t| pass(t)).collect()
}

/// Draws some targets, as far apart in the list as they can be.
fn draw<'a>(pool: &[&'a Target], count: usize, rng: &mut impl rand::Rng) -> Vec<&'a Target> {
    let length = pool.len().max(1);
    let start = rng.random_range(0..length);
    let stride = 1 + rng.random_range(0..(length / count.max(1)).max(1));
    let drawn = (0..count.min(pool.len())).map(|i| pool[(start + i * stride) % length]);
    drawn.collect()
}
