//! Which targets of a service form groups, and the orders that make them.
//!
//! The targets' own entries hold all that is known of groups, so a planner
//! that takes over needs no plan of its predecessor: it goes on from what the
//! entries say. Epochs begin with the lease's term, so no two planners ever
//! give out the same one, and a target refuses a join that is older than one
//! it has seen.

mod census;
mod conversion;
mod demand;
mod forming;
mod loads;
mod memory;
mod orders;
mod release;
mod revisions;
mod spares;
mod standby;
mod survey;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use thistlesill_core::edge::{Engine, GroupRef, Incarnation, Order, OrderReply, Target, TargetId};
use thistlesill_core::{GroupId, HallId, InstanceId, Millis, Model};

pub use self::census::{Census, DomainCensus, ModelCensus};
use self::conversion::Conversion;
pub use self::demand::{Demand, capacity_ratio};
use self::forming::Planned;
use self::loads::LoadRate;
pub use self::release::LateJoins;
use self::revisions::Revisions;
use self::survey::{Survey, Verdict};

/// Bits of an epoch that count the groups within a term.
const EPOCH_BITS: u32 = 20;
/// An order without effect is given again after this time; an engine takes
/// some milliseconds, and its entry some more.
const ORDER_RETRY_INTERVAL: Millis = Millis::new(700);
/// How long a target that left orders unanswered or refused them is not
/// planned with.
const AVOID_TIME: Millis = Millis::new(4_000);
/// How long a leader that is no longer listed may go on with what runs.
const LEADER_CLOSE_TIMEOUT: Millis = Millis::new(800);
/// How long a leader may be missing from the list and answer no order before
/// its group counts as ended: several orders went unanswered by then.
const LEADER_GONE_TIMEOUT: Millis = Millis::new(2_800);
/// How long a leader that leaves may work off what it has; the platform's longest
/// time for it.
const LEADER_DRAIN_TIMEOUT: Millis = Millis::new(10_000);
/// How long after it was given an order may be carried out: the platform's longest time.
const LATE_ORDER_TIMEOUT: Millis = Millis::new(12_000);
/// Time after a join in which its planner has announced that it got no answer: the
/// longest wait for one, and three of a planner's beats.
const JOIN_ANNOUNCE_DELAY: Millis = Millis::new(1_600);
/// How long the members of a group that another planner formed may take to
/// show themselves.
const MEMBERS_SHOW_TIMEOUT: Millis = Millis::new(2_000);
/// After a target appeared, how long others may follow that belong to the
/// same domain.
const DOMAIN_SETTLE_TIME: Millis = Millis::new(600);
/// How long a target that answered no probe counts as dead without another
/// probe.
const DEAD_TARGET_RETENTION: Millis = Millis::new(8_000);
/// Probes in a row without an answer after which a target counts as dead.
const DEAD_PROBES: u32 = 2;
/// Rounds of probes of one group; members that answered all of them live, and
/// the group stands still for another reason.
const PROBE_ROUNDS: u32 = 4;
/// After the first of these rounds, when more may follow.
const PROBE_ROUND_INTERVAL: Millis = Millis::new(2_000);
/// Between two probes of an idle target that was slow.
const SLOW_PROBE_INTERVAL: Millis = Millis::new(1_000);
/// Between two probes of one target.
const PROBE_INTERVAL: Millis = Millis::new(140);

/// What the planner wants done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Give an order.
    SendOrder {
        /// The engine.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Order,
        /// Why it is given.
        reason: &'static str,
    },
    /// Ask a target whether it lives.
    Probe {
        /// The target.
        target: TargetId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// What the planner decides on.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The targets of the service.
    pub targets: &'a HashMap<TargetId, Target>,
    /// The service's engines.
    pub engine: &'a Engine,
    /// Leaders whose groups stand still, as the daemons see it.
    pub stalled: &'a HashSet<TargetId>,
    /// Leaders whose streams are slow, as the daemons see it.
    pub slow: &'a HashSet<TargetId>,
    /// Leaders that still work for some daemon.
    pub working: &'a HashSet<TargetId>,
    /// Requests at leaders, of all daemons.
    pub requests: &'a HashMap<TargetId, u32>,
    /// The work that each model is asked for, over all daemons.
    pub demand: &'a Demand,
    /// Leaders that name a limit, with the part of their groups' usual work that it
    /// leaves: less than 1.
    pub capacity_ratios: &'a HashMap<TargetId, f64>,
    /// Data centres whose targets get no requests.
    pub evacuated: &'a BTreeSet<HallId>,
    /// The term of the lease.
    pub term: u64,
    /// The time of day, in Unix milliseconds.
    pub wall: u64,
    /// Whether no caller has sent a request yet; loads are cheap until then.
    pub before_traffic: bool,
}

impl FleetView<'_> {
    /// Whether a target gets no requests, since its data centre is evacuated.
    fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuated.contains(&target.hall)
    }
}

/// What a probe found of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// It lives and is as fast as usual.
    Healthy,
    /// It lives and is much slower than usual.
    Slow,
    /// It did not answer.
    Unresponsive,
    /// It has started again and knows nothing of its group.
    Restarted,
}

impl ProbeOutcome {
    /// What a target's answer says of it: the life that answered, and its pace as a
    /// factor on its usual times; over `slow` it counts as slow.
    #[must_use]
    pub fn from_report(target: &TargetId, answered: Incarnation, pace: f64, slow: f64) -> Self {
        let is_named = answered != Incarnation::default();
        if is_named && answered != target.incarnation() {
            Self::Restarted
        } else if pace >= slow {
            Self::Slow
        } else {
            Self::Healthy
        }
    }
}

/// The planner of one service's groups, while its daemon holds the lease.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    counter: u64,
    /// When it first looked at the list.
    began: Option<Millis>,
    /// The term in which it plans.
    term: Option<u64>,
    revisions: Revisions,
    planned: BTreeMap<GroupRef, Planned>,
    /// Groups whose leader took an order to break off.
    cut: BTreeSet<GroupRef>,
    /// Groups whose leader was told to open and has not been seen open since,
    /// with the orders that got no answer: they may yet be carried out.
    opening: BTreeMap<GroupRef, u32>,
    /// Doubtful groups whose leader has left them.
    left: BTreeSet<GroupRef>,
    /// Groups that this planner formed in its present term.
    formed: BTreeSet<GroupRef>,
    /// When a join of each group last got no answer, this planner's or its predecessor's.
    unanswered: BTreeMap<GroupRef, Millis>,
    /// When such joins of other planners were last announced.
    announced: Option<Millis>,
    /// The highest epoch of the joins that each target was given in that term.
    joined: BTreeMap<TargetId, u64>,
    /// Groups that have ended, as of the last look.
    void: BTreeSet<GroupRef>,
    /// Groups that are complete and not wanted, as of the last look.
    standby: BTreeSet<GroupRef>,
    /// Groups that serve and are not wanted, as of the last look.
    surplus: BTreeSet<GroupRef>,
    /// Since when each model would do with a group fewer.
    eased: BTreeMap<Model, Millis>,
    /// When an order was last given to a target, by its kind.
    given: BTreeMap<(TargetId, &'static str), Millis>,
    avoid: BTreeMap<TargetId, Millis>,
    /// Probes in a row that a target did not answer, and the last one's time.
    silent: BTreeMap<TargetId, (u32, Millis)>,
    probed: BTreeMap<TargetId, Millis>,
    /// Targets that were much slower than usual when they were last asked.
    slow: BTreeSet<TargetId>,
    /// Rounds of probes of a leader's group, and when they began.
    rounds: BTreeMap<TargetId, (u32, Millis)>,
    /// When the members of a slow leader were last asked for their pace.
    asked: BTreeMap<TargetId, Millis>,
    missing: BTreeMap<TargetId, Millis>,
    /// Lives of targets that are over, since their instances have started again.
    ended: BTreeSet<TargetId>,
    /// Lives of members whose last group's leader may serve on, by instance, with the moment
    /// at which it must have ended: another life of the instance waits for that.
    waiting: BTreeMap<InstanceId, (TargetId, Millis)>,
    /// Who has shown itself as a member of each group.
    rosters: BTreeMap<GroupRef, BTreeSet<TargetId>>,
    /// When each group was first seen.
    seen: BTreeMap<GroupRef, Millis>,
    /// The model of each target's last group: it joins another one of that model
    /// without taking over weights.
    loaded: BTreeMap<TargetId, Model>,
    /// Who led each group when it was last seen.
    leaders: BTreeMap<GroupRef, TargetId>,
    /// The most targets that were seen.
    most: usize,
    /// The most targets that groups may be formed of, as of the last look: those of data
    /// centres that are evacuated do not count.
    usable: usize,
    /// When a target was last seen for the first time.
    grown: Millis,
    addresses: BTreeMap<TargetId, SocketAddr>,
    /// Spares that were told to hold a model ready, and when.
    staging: BTreeMap<TargetId, (Model, Millis)>,
    /// Conversions of groups to short models that are under way.
    conversions: Vec<Conversion>,
    /// Since when each model has been so short that others give way.
    short_since: BTreeMap<Model, Millis>,
    /// Groups that end so that another model gets their members.
    yielding: BTreeSet<GroupRef>,
    /// When groups that gave way were told to end; they stay closed for a while.
    gave_way: BTreeMap<GroupRef, Millis>,
    /// Whether a group waits to be formed until others have their weights.
    held_back: bool,
    loads: LoadRate,
}

impl FleetPlanner {
    /// Looks at the fleet and decides what to do next.
    pub fn step(&mut self, view: &FleetView<'_>, now: Millis) -> Vec<FleetAction> {
        let plans = self.enter_term(view, now);
        self.remember(view.targets, plans, now);
        let survey = Survey::new(view);
        let evacuated = view.targets.values().filter(|t| view.is_evacuated(t));
        self.usable = self.most.saturating_sub(evacuated.count());
        let mut actions = Vec::new();
        let mut free = BTreeSet::new();
        self.void.clear();
        self.find_standby(view, &survey, now);
        for (group, standing) in &survey.groups {
            let verdict = self.judge(view, group, standing, now);
            self.carry_out(view, group, standing, verdict, now, &mut actions);
            if verdict != Verdict::Serve && !view.before_traffic {
                // Its members may soon join another group.
                for member in &standing.members {
                    self.ask_taken(member, now, &mut actions);
                }
            }
            if verdict == Verdict::Void {
                self.void.insert(group.clone());
            }
            if matches!(verdict, Verdict::Void | Verdict::Standby) {
                free.extend(standing.members.iter().map(|m| m.id.clone()));
            }
        }
        let bound = self.bound(view, &survey);
        let single = survey.single.iter().map(|t| &t.id);
        let fresh =
            |id: &&TargetId| bound.contains(id.instance()) || self.may_be_bound(view, id, now);
        free.extend(single.filter(|id| !fresh(id)).cloned());
        self.advance_planned(view, now, &mut actions);
        self.ask_slow(view, &free, now, &mut actions);
        self.drop_taken(&mut free, view, now);
        // Its groups stay as they are until it is taken back.
        free.retain(|id| view.targets.get(id).is_none_or(|t| !view.is_evacuated(t)));
        self.form(view, &survey, &mut free, now, &mut actions);
        self.stage(view, &survey, &free, now, &mut actions);
        self.convert(view, &survey, &free, now, &mut actions);
        actions
    }

    /// Takes in what became of an order.
    pub fn record_reply(
        &mut self,
        target: &TargetId,
        order: &Order,
        reply: OrderReply,
        now: Millis,
    ) {
        self.revisions.note_reply(target, order, reply);
        match (order, reply) {
            (Order::Join { to, .. }, OrderReply::Begun | OrderReply::Held) => {
                if let Some(planned) = self.planned.get_mut(to) {
                    planned.taken.insert(target.clone());
                }
            }
            (
                Order::Join {
                    to, orders_taken, ..
                },
                OrderReply::Unknown,
            ) => {
                self.unanswered.insert(to.clone(), now);
                self.revisions.note_late_join(target, *orders_taken, now);
                self.count_try(to, target, now);
            }
            // It may have taken another order since its orders were counted.
            (Order::Join { to, .. }, OrderReply::Unfit) => self.count_try(to, target, now),
            (Order::Join { to, .. }, _) => self.abandon(to, target, now),
            // A leader that refuses connections may still work off what it has.
            (Order::Cut(group), OrderReply::Begun | OrderReply::Held | OrderReply::Elsewhere) => {
                self.cut.insert(group.clone());
            }
            (Order::Open(_), OrderReply::Unknown) => {}
            (Order::Open(group), _) => {
                if let Some(open) = self.opening.get_mut(group) {
                    *open = open.saturating_sub(1);
                }
            }
            // A member that left shows it in its entry.
            (Order::Leave(group), OrderReply::Begun | OrderReply::Held | OrderReply::Elsewhere)
                if self.leaders.get(group) == Some(target) =>
            {
                self.left.insert(group.clone());
            }
            (_, OrderReply::Refused) => {
                self.silent.insert(target.clone(), (DEAD_PROBES, now));
            }
            (_, OrderReply::Begun | OrderReply::Held | OrderReply::Unknown) => {}
            (_, _) => {
                self.avoid.insert(target.clone(), now);
            }
        }
    }

    /// Takes in how many orders a target reports to have taken in its present life.
    pub fn record_orders_taken(&mut self, target: &TargetId, orders_taken: u64, now: Millis) {
        self.revisions.note_reported(target, orders_taken, now);
    }

    /// Takes in what a probe found of a target.
    pub fn record_probe(&mut self, target: &TargetId, found: ProbeOutcome, now: Millis) {
        match found {
            ProbeOutcome::Healthy => {
                self.silent.remove(target);
                self.slow.remove(target);
            }
            ProbeOutcome::Slow => {
                self.silent.remove(target);
                self.slow.insert(target.clone());
            }
            ProbeOutcome::Restarted => {
                self.ended.insert(target.clone());
            }
            ProbeOutcome::Unresponsive => {
                let silent = self.silent.entry(target.clone()).or_insert((0, now));
                *silent = (silent.0 + 1, now);
            }
        }
    }

    /// Listed targets that answered no probe or have started again, and the leaders
    /// that still take requests for groups that lost a member.
    pub fn broken_targets(&self, targets: &HashMap<TargetId, Target>) -> Vec<TargetId> {
        let broken = |t: &&Target| {
            let group = t.member.as_ref().map(|m| &m.of);
            self.is_dead(&t.id)
                || t.is_open_leader() && group.is_some_and(|g| self.lacks(g, targets))
        };
        let found = targets.values().filter(broken).map(|t| t.id.clone());
        let mut found: Vec<TargetId> = found.collect();
        found.sort_unstable();
        found
    }

    fn is_dead(&self, id: &TargetId) -> bool {
        let silent = self.silent.get(id);
        silent.is_some_and(|(probes, _)| *probes >= DEAD_PROBES) || self.ended.contains(id)
    }

    /// Whether a member of a group is surely lost: it answers no probe, it has started
    /// again, or it shows another group or none.
    ///
    /// A member whose entry is gone may live: it may leave without a word and work on,
    /// or its entry lapsed with the store.
    fn lacks(&self, group: &GroupRef, targets: &HashMap<TargetId, Target>) -> bool {
        let lost = |id: &TargetId| self.is_dead(id) || is_elsewhere(id, group, targets);
        self.rosters.get(group).is_some_and(|r| r.iter().any(lost))
    }

    /// Counts a join that was not taken; after several ones its group is given up.
    fn count_try(&mut self, group: &GroupRef, target: &TargetId, now: Millis) {
        let tries = self
            .planned
            .get_mut(group)
            .map_or(0, |p| p.note_try(target));
        if tries >= forming::MAX_TRIES {
            self.abandon(group, target, now);
        }
    }

    /// Gives up a group that cannot be completed because of one member.
    fn abandon(&mut self, group: &GroupRef, target: &TargetId, now: Millis) {
        self.planned.remove(group);
        self.avoid.insert(target.clone(), now);
    }

    /// Repeats joins that are still unanswered and drops what is complete or
    /// can no longer become so.
    fn advance_planned(
        &mut self,
        view: &FleetView<'_>,
        now: Millis,
        actions: &mut Vec<FleetAction>,
    ) {
        let groups: Vec<GroupRef> = self.planned.keys().cloned().collect();
        for group in groups {
            let Some(planned) = self.planned.get(&group) else {
                continue;
            };
            if planned.is_done(&group, view) {
                self.planned.remove(&group);
                continue;
            }
            let lost = planned.members.iter().find(|id| !self.is_usable(id, view));
            if let Some(lost) = lost.cloned() {
                self.abandon(&group, &lost, now);
                continue;
            }
            let invited = planned.unjoined(&group, view);
            let why = "the group is formed";
            self.invite(&group, &invited, why, view, now, actions);
        }
    }

    fn is_usable(&self, id: &TargetId, view: &FleetView<'_>) -> bool {
        let listed = view.targets.get(id).is_some_and(|t| !t.leaving);
        let sound = !self.is_dead(id) && !self.slow.contains(id);
        listed && sound && !self.avoid.contains_key(id)
    }

    /// Instances that have started again while the group of their earlier life has not
    /// ended: its leader may serve on until it has noticed.
    fn bound(&self, view: &FleetView<'_>, survey: &Survey<'_>) -> HashSet<&InstanceId> {
        let stands = |group: &&GroupRef| survey.groups.contains_key(*group);
        let groups = self.rosters.keys().filter(stands);
        let standing = groups.filter(|group| !self.void.contains(*group));
        let members = standing.flat_map(|group| &self.rosters[group]);
        let over = members.filter(|id| self.ended.contains(*id));
        let waiting = self.waiting.values().map(|(life, _)| life);
        let waiting = waiting.filter(|life| !view.targets.contains_key(*life));
        over.chain(waiting).map(TargetId::instance).collect()
    }

    /// Leaves only targets that can be planned with now.
    fn drop_taken(&self, free: &mut BTreeSet<TargetId>, view: &FleetView<'_>, now: Millis) {
        for planned in self.planned.values() {
            for id in &planned.members {
                free.remove(id);
            }
        }
        let busy = |id: &TargetId| {
            let slot = (id.clone(), "stage");
            self.given
                .get(&slot)
                .is_some_and(|at| now - *at < ORDER_RETRY_INTERVAL)
        };
        let exposed = |id: &TargetId| self.revisions.is_exposed(id, now);
        free.retain(|id| self.is_usable(id, view) && !busy(id) && !exposed(id));
    }

    fn next_group(&mut self, view: &FleetView<'_>) -> GroupRef {
        self.counter += 1;
        let seen = view.targets.values().filter_map(|t| t.member.as_ref());
        let highest = seen.map(|m| m.of.epoch).max().unwrap_or(0);
        let epoch = ((view.term << EPOCH_BITS) + self.counter).max(highest.saturating_add(1));
        self.counter = self
            .counter
            .max(epoch.saturating_sub(view.term << EPOCH_BITS));
        GroupRef {
            group: GroupId::from(format!("g{epoch:x}")),
            epoch,
        }
    }
}

/// Whether a listed target shows another group than this one, or none.
fn is_elsewhere(id: &TargetId, group: &GroupRef, targets: &HashMap<TargetId, Target>) -> bool {
    let of = |t: &Target| t.member.as_ref().is_none_or(|m| m.of != *group);
    targets.get(id).is_some_and(of)
}
