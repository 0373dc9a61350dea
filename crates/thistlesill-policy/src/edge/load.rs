//! Choice of the target for a request, by load.
//!
//! A daemon counts the requests that it has at each target and adds the counts that its peers
//! report. Targets that stopped making progress are avoided until they make progress again.

mod choice;
mod pass;
mod peers;
mod prospect;
mod work;

use std::collections::HashMap;
use std::sync::LazyLock;

use thistlesill_core::edge::{Engine, Target, TargetId};
use thistlesill_core::{HallId, Millis, NodeId};

use self::pass::Pass;
use self::peers::PeerCounts;
pub use self::work::Work;
use super::room::FirstEvents;

/// Name under which this daemon's own requests are measured; no peer has it.
static OWN: LazyLock<NodeId> = LazyLock::new(|| NodeId::new(""));
/// Penalty on the expected time at a target in another data centre, in milliseconds: it stands for
/// the cost of traffic between data centres, and decides where the waits are about equal.
const FAR_PENALTY_MS: f64 = 25.0;
/// Ratio of a target's slots from which on it counts as busy; no request is refused while any
/// target is below that.
const BUSY_RATIO: f64 = 0.6;
/// Ratio of the latency objective beyond which a request would begin too late. Ratios of 0.8 to 1.5
/// gave the same result on twenty measured days.
const LATE_RATIO: f64 = 1.0;
/// How many usual pauses a group may be silent before it counts as stalled, since the prompts of
/// all daemons are processed in between.
const MAX_SILENT_PAUSES: f64 = 3.0;
/// How long a target that failed a request is avoided.
const SUSPECT_DURATION: Millis = Millis::new(2_500);
/// How long after an event the streams of a target count as active: several usual pauses, and less
/// than the shortest pause after which a stream is resumed at another target.
const STREAM_ACTIVITY: Millis = Millis::new(150);
/// First backoff after a target refused a request: about the time in which a slot comes free there.
const REFUSAL_BACKOFF: Millis = Millis::new(100);
/// Maximum number of times that the backoff is doubled, so that a target that keeps refusing costs
/// one retry every 1.6 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Ratio of the observed to the usual pause between events from which on a group counts as slow;
/// prompts that daemons have not reported yet account for half of that.
const SLOW_RATIO: f64 = 2.0;
/// Cap on a sampled pause, as a ratio to the usual pause.
const MAX_PAUSE_RATIO: f64 = 20.0;
/// How long a group is believed to be slow without another event.
const SLOW_VALIDITY: Millis = Millis::new(2_500);

/// A request for which a target is picked.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Engines of the service, if it runs models.
    pub engine: Option<&'a Engine>,
    /// Length of the prompt in tokens.
    pub prompt: u32,
    /// Data centre of this daemon.
    pub hall: &'a HallId,
    /// The latency objective, if targets of other data centres may be preferred to meet it.
    pub aim: Option<Millis>,
}

/// State of one target, as observed by this daemon.
#[derive(Debug, Clone, Default)]
pub struct TargetLoad {
    /// Work of this daemon's own requests.
    own: Work,
    /// When the target last sent something to this daemon.
    progress: Millis,
    /// Until when the target is avoided.
    suspect: Millis,
    /// Requests that the target refused since it last accepted one.
    refusals: u32,
    /// Until when other targets are preferred after a refusal.
    full_until: Millis,
    /// Moving average of the duration of a request, in milliseconds; 0 if unknown.
    duration: f64,
    /// Moving average of the pause between the events of a stream, as a ratio to the usual pause; 0
    /// if unknown.
    pause: f64,
}

impl TargetLoad {
    /// Records that the target sent something.
    const fn note_activity(&mut self, now: Millis) {
        self.progress = now;
        self.suspect = Millis::ZERO;
    }

    /// Returns whether this daemon has active streams at the target.
    fn has_active_streams(&self, now: Millis) -> bool {
        self.own.requests > 0 && now - self.progress < STREAM_ACTIVITY
    }

    /// Returns how many times slower than usual the target is; 1 if it is not slow.
    fn slowdown(&self, now: Millis) -> f64 {
        let known = now - self.progress < SLOW_VALIDITY;
        if known && self.pause >= SLOW_RATIO {
            self.pause
        } else {
            1.0
        }
    }
}

/// Load of all targets, as known to one daemon.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    targets: HashMap<TargetId, TargetLoad>,
    peers: PeerCounts,
    /// Total work at targets as reported by their owners, and until when that is valid.
    totals: HashMap<TargetId, (Work, Millis)>,
    first_events: FirstEvents,
}

/// How precisely the load of targets is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// The counts of the own data centre are exact: the best target is picked.
    Exact,
    /// The counts are old: the best of a small sample is picked, since daemons with the same
    /// knowledge should not all pick the same target.
    Stale,
}

impl LoadTable {
    /// Records that a request with a prompt of `unread` tokens was sent, with its first event in
    /// milliseconds as [`Self::predict`] has just returned it; `None` if it is not measured.
    pub fn begin(&mut self, target: &Target, unread: u32, predicted: Option<f64>, now: Millis) {
        let before = self.own_work(&target.id);
        self.measure(&OWN, target, before, predicted, now);
        let own = &mut self.entry(&target.id).own;
        own.requests += 1;
        own.unread += unread;
        let own = *own;
        self.first_events.counted_at(&OWN, &target.id, own, now);
    }

    /// Records that the prompt of a request was processed.
    pub fn end_prefill(&mut self, id: &TargetId, unread: u32, now: Millis) {
        let own = &mut self.entry(id).own;
        own.unread = own.unread.saturating_sub(unread);
        let own = *own;
        self.first_events.counted_at(&OWN, id, own, now);
    }

    /// Records that a request ended of whose prompt `unread` tokens were not processed.
    pub fn cancel_prefill(&mut self, id: &TargetId, unread: u32, now: Millis) {
        if unread > 0 {
            self.first_events.mix(&OWN, id);
            self.end_prefill(id, unread, now);
        }
    }

    /// Records that a request at a target ended.
    pub fn end(&mut self, id: &TargetId) {
        let own = &mut self.entry(id).own;
        own.requests = own.requests.saturating_sub(1);
    }

    /// Records that a target sent something, and resets its count of refusals.
    pub fn note_progress(&mut self, id: &TargetId, now: Millis) {
        let load = self.entry(id);
        load.note_activity(now);
        load.refusals = 0;
    }

    /// Records the duration of a request.
    pub fn note_time(&mut self, id: &TargetId, took: Millis) {
        let load = self.entry(id);
        let took = took.get() as f64;
        load.duration = if load.duration > 0.0 {
            load.duration + SAMPLE_WEIGHT * (took - load.duration)
        } else {
            took
        };
    }

    /// Returns the mean time that plain requests to a target have taken; `None` if there were none.
    pub fn usual_time(&self, id: &TargetId) -> Option<Millis> {
        let duration = self.targets.get(id)?.duration;
        (duration > 0.0).then(|| Millis::new(duration as u64))
    }

    /// Records the pause before an event of a stream.
    pub fn note_pause(&mut self, target: &Target, engine: &Engine, pause: Millis, now: Millis) {
        let work = self.work(&target.id, now);
        let usual = Pass::of(target, engine, work).pause();
        let pause = (pause.get() as f64 / usual.max(1.0)).min(MAX_PAUSE_RATIO);
        let load = self.entry(&target.id);
        load.pause += SAMPLE_WEIGHT * (pause - load.pause);
    }

    /// Returns the targets whose streams are slow.
    pub fn slow(&self, now: Millis) -> Vec<TargetId> {
        let slow = self.targets.iter().filter(|(_, l)| l.slowdown(now) > 1.0);
        slow.map(|(id, _)| id.clone()).collect()
    }

    fn slowdown(&self, id: &TargetId, now: Millis) -> f64 {
        self.targets.get(id).map_or(1.0, |l| l.slowdown(now))
    }

    /// Returns when the target last sent something to this daemon; zero if never.
    pub fn progress(&self, id: &TargetId) -> Millis {
        self.targets.get(id).map_or(Millis::ZERO, |l| l.progress)
    }

    /// Records that a target failed or stalled, so that it is avoided for a while. Returns whether
    /// the target was not avoided already.
    pub fn suspect(&mut self, id: &TargetId, now: Millis) -> bool {
        let load = self.entry(id);
        let is_new = load.suspect <= now;
        load.suspect = now + SUSPECT_DURATION;
        is_new
    }

    /// Drops the suspicion that a target failed or stalled.
    pub fn clear_suspicion(&mut self, id: &TargetId) {
        if let Some(load) = self.targets.get_mut(id) {
            load.suspect = Millis::ZERO;
        }
    }

    /// Records that a target refused a request: others are preferred for a time that grows with
    /// each refusal until the target accepts a request.
    ///
    /// A refusal is a fast answer, so the average duration does not count against the target, and
    /// each request that is sent to the target first costs one of few retries. With one of two
    /// targets full, 20 of 20 requests in a row are answered, and 6 without this rule (one daemon
    /// before stand-ins, the other target 30 ms farther away).
    pub fn note_refused(&mut self, id: &TargetId, now: Millis) {
        let load = self.entry(id);
        let doubled = load.refusals.min(MAX_BACKOFF_DOUBLINGS);
        load.note_activity(now);
        load.refusals += 1;
        self.prefer_others(id, now + Millis::new(REFUSAL_BACKOFF.get() << doubled));
    }

    /// Records that other targets are preferred until `until` or longer.
    pub fn prefer_others(&mut self, id: &TargetId, until: Millis) {
        let load = self.entry(id);
        load.full_until = load.full_until.max(until);
    }

    /// Returns whether a target refused a request recently.
    fn is_full(&self, id: &TargetId, now: Millis) -> bool {
        self.targets.get(id).is_some_and(|l| l.full_until > now)
    }

    /// Returns the targets that refused a request recently.
    pub fn full(&self, now: Millis) -> Vec<TargetId> {
        let found = self.targets.iter().filter(|(_, l)| l.full_until > now);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a target is avoided.
    pub fn is_suspect(&self, id: &TargetId, now: Millis) -> bool {
        self.targets.get(id).is_some_and(|l| l.suspect > now)
    }

    /// Returns the targets that are avoided now.
    pub fn suspects(&self, now: Millis) -> Vec<TargetId> {
        let found = self.targets.iter().filter(|(_, l)| l.suspect > now);
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Returns whether a target is sending streams to this daemon.
    pub fn has_active_streams(&self, id: &TargetId, now: Millis) -> bool {
        let load = self.targets.get(id);
        load.is_some_and(|load| load.has_active_streams(now))
    }

    /// Returns the targets that are avoided although this daemon has active streams there: a target
    /// that leaves accepts no connections while it completes its requests.
    pub fn suspects_with_streams(&self, now: Millis) -> Vec<TargetId> {
        let found = self.targets.iter().filter(|(_, l)| l.suspect > now);
        let found = found.filter(|(_, l)| l.has_active_streams(now));
        found.map(|(id, _)| id.clone()).collect()
    }

    /// Replaces a peer's counts, which are valid until `until`.
    pub fn set_peer_counts(
        &mut self,
        peer: &NodeId,
        counts: HashMap<TargetId, Work>,
        until: Millis,
        now: Millis,
    ) {
        self.first_events.counted(peer, &counts, now);
        self.peers.replace(peer, counts, until);
    }

    /// Counts a request that a peer is about to send to a target, until the peer's next counts, with
    /// its first event in milliseconds as [`Self::predict`] has just returned it; `None` if it is
    /// not measured, as a request that engines start behind all others.
    pub fn add_granted(
        &mut self,
        peer: &NodeId,
        target: &Target,
        unread: u32,
        until: Millis,
        predicted: Option<f64>,
        now: Millis,
    ) {
        let before = self.peers.work_of(peer, &target.id);
        self.measure(peer, target, before, predicted, now);
        self.peers.add_granted(peer, &target.id, unread, until);
    }

    /// Starts the measurement of a first event, unless `before`, the work of the daemon at the target,
    /// contains a prompt whose end cannot be told from that of this one.
    fn measure(
        &mut self,
        daemon: &NodeId,
        target: &Target,
        before: Work,
        predicted: Option<f64>,
        now: Millis,
    ) {
        match predicted {
            Some(predicted) if before.unread == 0 => {
                self.first_events.assign(target);
                self.first_events
                    .granted(daemon, &target.id, predicted, now);
            }
            Some(_) | None => self.first_events.mix(daemon, &target.id),
        }
    }

    /// Sets the total work at a target as reported by its owner, valid until `until`.
    pub fn set_total(&mut self, id: TargetId, work: Work, until: Millis) {
        self.totals.insert(id, (work, until));
    }

    /// Returns this daemon's own work by target.
    pub fn counts(&self) -> Vec<(TargetId, Work)> {
        let busy = self.targets.iter().filter(|(_, l)| l.own.requests > 0);
        busy.map(|(id, l)| (id.clone(), l.own)).collect()
    }

    /// Removes targets that no longer exist, unless this daemon has requests there, and counts that
    /// are no longer valid.
    pub fn retain(&mut self, known: impl Fn(&TargetId) -> bool, now: Millis) {
        self.targets.retain(|id, l| l.own.requests > 0 || known(id));
        self.totals.retain(|_, (_, until)| now < *until);
        self.peers.retain(now);
        self.first_events.retain(&known, now);
    }

    /// Returns the work at a target, of this daemon and its peers.
    ///
    /// The total that an owner reported counts where it is higher: this daemon may not receive the
    /// counts of every daemon that has requests there.
    pub fn work(&self, id: &TargetId, now: Millis) -> Work {
        let counted = self.own_work(id) + self.peers.work(id, now);
        let total = self.totals.get(id).filter(|(_, until)| now < *until);
        total.map_or(counted, |(total, _)| counted.max(*total))
    }

    fn own_work(&self, id: &TargetId) -> Work {
        self.targets.get(id).map_or_else(Work::default, |l| l.own)
    }

    /// Returns the number of requests at each target, of this daemon and its peers.
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

    /// Returns how long a group may be silent while it processes its requests.
    pub fn stall_timeout(&self, target: &Target, engine: &Engine, now: Millis) -> Millis {
        let work = self.work(&target.id, now);
        let pass = Pass::of(target, engine, work);
        let slowdown = self.slowdown(&target.id, now);
        Millis::new((MAX_SILENT_PAUSES * pass.pause() * slowdown) as u64)
    }

    /// Returns how much later than `aim` a request would begin at the best target if all targets
    /// are busy; `None` if the request may be sent.
    ///
    /// A request that would begin too late also delays those behind it, so its caller does better
    /// to retry when the targets have caught up.
    pub fn lateness(
        &self,
        candidates: &[&Target],
        request: &PickRequest<'_>,
        aim: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let engine = request.engine?;
        let mut least = f64::MAX;
        for target in candidates {
            let requests = self.work(&target.id, now).requests;
            let busy = f64::from(requests) >= BUSY_RATIO * f64::from(engine.slots);
            if !busy && !self.is_suspect(&target.id, now) {
                return None;
            }
            least = least.min(self.begin_ms(target, request, now)?);
        }
        let aim = aim.get() as f64;
        let late = least - aim * LATE_RATIO;
        (late > 0.0 && least < f64::MAX).then(|| Millis::new(late as u64))
    }

    /// Returns whether some target has room, so that a request that is late in any case takes no
    /// capacity from requests that can be in time.
    pub fn has_room(&self, candidates: &[&Target], engine: &Engine, now: Millis) -> bool {
        let most = BUSY_RATIO * f64::from(engine.slots);
        let room = |target: &&Target| {
            let requests = self.work(&target.id, now).requests;
            f64::from(requests) < most && !self.is_suspect(&target.id, now)
        };
        candidates.iter().any(room)
    }

    /// Returns whether counts of any peer are known.
    pub fn has_peer_counts(&self) -> bool {
        !self.peers.is_empty()
    }

    fn entry(&mut self, id: &TargetId) -> &mut TargetLoad {
        self.targets.entry(id.clone()).or_default()
    }
}
