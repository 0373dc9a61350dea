//! Plans the groups of a service's targets: decides which targets form a group, and which orders
//! each of them needs.
//!
//! All knowledge of groups is in the targets' own entries, so a planner that takes over needs no
//! plan from its predecessor and continues from the entries. Epochs begin with the term of the
//! lease, so no two planners ever assign the same one ([`epochs`]).

mod census;
mod conversion;
mod demand;
mod epochs;
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
use thistlesill_core::{HallId, InstanceId, Millis, Model};

pub use self::census::{Census, DomainCensus, ModelCensus};
use self::conversion::Conversion;
use self::demand::TargetCounts;
pub use self::demand::{Demand, capacity_ratio};
pub(crate) use self::demand::{FLOOR_RATIO, TARGET_UTILIZATION};
use self::forming::PlannedGroup;
use self::loads::LoadRate;
pub use self::release::LateJoins;
use self::revisions::OrderCounts;
use self::survey::{Decision, Survey};
use super::shortage::Urgency;

/// Time after which an order without effect is sent again. An engine takes some milliseconds to
/// carry it out, and the target's entry is updated some milliseconds later.
const ORDER_RETRY_INTERVAL: Millis = Millis::new(700);
/// How long a target that refused orders or left them unanswered is excluded from new groups.
const AVOID_DURATION: Millis = Millis::new(4_000);
/// How long a leader that is no longer listed may finish its running requests before it is ordered
/// to stop at once.
const LEADER_CLOSE_TIMEOUT: Millis = Millis::new(800);
/// How long a leader may be missing from the list and answer no order before its group counts as
/// ended. Several orders have gone unanswered by then.
const LEADER_GONE_TIMEOUT: Millis = Millis::new(2_800);
/// How long a leader that shuts down may finish its running requests: the platform's limit.
const LEADER_DRAIN_TIMEOUT: Millis = Millis::new(10_000);
/// Time after sending within which an order may still be carried out: the platform's limit.
const LATE_ORDER_TIMEOUT: Millis = Millis::new(12_000);
/// Time after a join within which its planner has announced that the join got no answer: the
/// longest wait for an answer, and three heartbeats of a planner.
const JOIN_ANNOUNCE_DELAY: Millis = Millis::new(1_600);
/// How long the members of a group that another planner formed may take to appear in the list.
const MEMBERS_APPEAR_TIMEOUT: Millis = Millis::new(2_000);
/// How long after a target appeared the other targets of its domain may still follow.
const DOMAIN_SETTLE_TIME: Millis = Millis::new(600);
/// How long a target that answered no probe counts as dead without another probe.
const DEAD_TARGET_RETENTION: Millis = Millis::new(8_000);
/// Consecutive unanswered probes after which a target counts as dead.
const MAX_FAILED_PROBES: u32 = 2;
/// Probe rounds of one stalled group per [`PROBE_ROUND_INTERVAL`]. Members that answered all of
/// them are alive, and the group is stalled for another reason.
const MAX_PROBE_ROUNDS: u32 = 4;
/// Time from the first probe round of a stalled group until its rounds are counted anew.
const PROBE_ROUND_INTERVAL: Millis = Millis::new(2_000);
/// Time between two probes of an idle target that was slow or did not answer.
const IDLE_PROBE_INTERVAL: Millis = Millis::new(1_000);
/// Time between two probes of one target.
const PROBE_INTERVAL: Millis = Millis::new(140);

/// An action that the planner requests from its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetAction {
    /// Send an order to a target.
    SendOrder {
        /// The target that receives the order.
        target: TargetId,
        /// The address at which the target listens.
        address: SocketAddr,
        /// The order to send.
        order: Order,
        /// Why the order is sent, for the log.
        reason: &'static str,
    },
    /// Probe a target: ask whether it is alive, and for its report.
    Probe {
        /// The target to probe.
        target: TargetId,
        /// The address at which the target listens.
        address: SocketAddr,
    },
}

/// The state of the service on which the planner bases its decisions.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The listed targets of the service.
    pub targets: &'a HashMap<TargetId, Target>,
    /// Performance figures and models of the service's engines.
    pub engine: &'a Engine,
    /// Leaders whose groups make no progress, as observed by the daemons.
    pub stalled: &'a HashSet<TargetId>,
    /// Leaders whose streams are slow, as observed by the daemons.
    pub slow: &'a HashSet<TargetId>,
    /// Leaders at which some daemon still has requests that make progress.
    pub working: &'a HashSet<TargetId>,
    /// Running requests at each leader, summed over all daemons.
    pub requests: &'a HashMap<TargetId, u32>,
    /// The demand for each model, summed over all daemons.
    pub demand: &'a Demand,
    /// The most urgent requests of each model with demand; empty if the service does not rank its
    /// callers.
    pub urgency: &'a BTreeMap<Model, Urgency>,
    /// For each leader that reports a rate limit, the ratio of its group's usual work that the
    /// limit leaves, at most 1.
    pub capacity_ratios: &'a HashMap<TargetId, f64>,
    /// Data centres that are evacuated: their targets get no requests.
    pub evacuated: &'a BTreeSet<HallId>,
    /// The term of the lease.
    pub term: u64,
    /// The time of day, in Unix milliseconds.
    pub wall: u64,
    /// Whether no caller has sent a request yet. Until then, loading weights is cheap.
    pub before_traffic: bool,
}

impl FleetView<'_> {
    /// Returns whether a target gets no requests because its data centre is evacuated.
    fn is_evacuated(&self, target: &Target) -> bool {
        self.evacuated.contains(&target.hall)
    }
}

/// The result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The target is alive and about as fast as usual.
    Healthy,
    /// The target is alive and much slower than usual.
    Slow,
    /// The target did not answer.
    Unresponsive,
    /// The target's process has restarted and knows nothing of its group.
    Restarted,
}

impl ProbeOutcome {
    /// Classifies a target's report by the incarnation that answered and by its pace, a factor on
    /// its usual step times. From `slow_pace` on the target counts as slow.
    #[must_use]
    pub fn from_report(
        target: &TargetId,
        reported: Incarnation,
        pace: f64,
        slow_pace: f64,
    ) -> Self {
        let is_named = reported != Incarnation::default();
        if is_named && reported != target.incarnation() {
            Self::Restarted
        } else if pace >= slow_pace {
            Self::Slow
        } else {
            Self::Healthy
        }
    }
}

/// Plans the groups of one service while its daemon holds the lease.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    counter: u64,
    /// When this planner first received the list of targets.
    watching_since: Option<Millis>,
    /// The term in which this planner plans.
    term: Option<u64>,
    order_counts: OrderCounts,
    planned: BTreeMap<GroupRef, PlannedGroup>,
    /// Groups whose leader accepted an order to abort its requests.
    cut: BTreeSet<GroupRef>,
    /// Groups whose leader was ordered to open and has not been seen open since, with the number of
    /// such orders that got no answer: these may still be carried out.
    opening: BTreeMap<GroupRef, u32>,
    /// Groups that a late order could open and whose leader has left them.
    leader_left: BTreeSet<GroupRef>,
    /// Groups that this planner formed in its present term.
    formed: BTreeSet<GroupRef>,
    /// When a join of each group last got no answer, whether this planner or its predecessor sent
    /// it.
    unanswered_joins: BTreeMap<GroupRef, Millis>,
    /// When another planner last announced its unanswered joins.
    last_announcement: Option<Millis>,
    /// The highest epoch among the joins that were sent to each target in the present term.
    join_epochs: BTreeMap<TargetId, u64>,
    /// The highest epoch that the entry of each listed target has shown.
    held_epochs: BTreeMap<TargetId, u64>,
    /// Groups that have ended, as of the last step.
    ended_groups: BTreeSet<GroupRef>,
    /// Groups that are complete and not needed, as of the last step.
    standby: BTreeSet<GroupRef>,
    /// Groups that serve and are not needed, as of the last step.
    surplus: BTreeSet<GroupRef>,
    /// Since when one group fewer would suffice for each model.
    underused_since: BTreeMap<Model, Millis>,
    /// When an order of each kind was last sent to a target.
    last_orders: BTreeMap<(TargetId, &'static str), Millis>,
    avoided: BTreeMap<TargetId, Millis>,
    /// Consecutive probes that a target did not answer, and the time of the last one.
    failed_probes: BTreeMap<TargetId, (u32, Millis)>,
    last_probes: BTreeMap<TargetId, Millis>,
    /// Targets that were much slower than usual at their last probe.
    slow: BTreeSet<TargetId>,
    /// Probe rounds of a leader's group, and when they began.
    probe_rounds: BTreeMap<TargetId, (u32, Millis)>,
    /// When the members of a slow leader were last probed for their pace.
    pace_probes: BTreeMap<TargetId, Millis>,
    missing_since: BTreeMap<TargetId, Millis>,
    /// Incarnations that are over because their instances have restarted.
    superseded: BTreeSet<TargetId>,
    /// Incarnations of members whose last group's leader may still serve, by instance and leader,
    /// with the time by which that leader must have stopped. A later incarnation of the instance
    /// joins no group until then, or until the leader's process has been replaced.
    blocked_until: BTreeMap<(InstanceId, Option<TargetId>), (TargetId, Millis)>,
    /// All targets that were seen as members of each group.
    group_members: BTreeMap<GroupRef, BTreeSet<TargetId>>,
    /// When each group was first seen.
    first_seen: BTreeMap<GroupRef, Millis>,
    /// The model of each target's last group. The target joins another group of that model without
    /// loading weights.
    last_models: BTreeMap<TargetId, Model>,
    /// The last known leader of each group.
    leaders: BTreeMap<GroupRef, TargetId>,
    /// The largest number of targets that was seen in domains with enough of them for a group.
    peak_targets: usize,
    /// The size of the smallest group of any model, once that is known.
    smallest_group: Option<usize>,
    /// The numbers of targets from which groups may be formed, as of the last step.
    target_counts: TargetCounts,
    /// When a target was last listed for the first time.
    last_appeared: Millis,
    addresses: BTreeMap<TargetId, SocketAddr>,
    /// Targets that were ordered to stage a model's weights, and when.
    staging: BTreeMap<TargetId, (Model, Millis)>,
    /// Conversions of groups to models that lack groups, in progress.
    conversions: Vec<Conversion>,
    /// Since when each model has lacked so many groups that groups of other models are converted.
    short_since: BTreeMap<Model, Millis>,
    /// Groups that are closed because their members are needed for another model.
    converting: BTreeSet<GroupRef>,
    /// When converted groups were ordered to close. They stay closed for a while.
    converted_at: BTreeMap<GroupRef, Millis>,
    /// Whether a group is not formed yet because too many other targets are loading weights.
    formation_deferred: bool,
    load_rate: LoadRate,
}

impl FleetPlanner {
    /// Evaluates the fleet and returns the actions to take next.
    pub fn step(&mut self, view: &FleetView<'_>, now: Millis) -> Vec<FleetAction> {
        let is_sole_planner = self.enter_term(view, now);
        let sizes = view.engine.models.iter().map(|plan| plan.size as usize);
        self.smallest_group = sizes.min();
        self.observe(view.targets, is_sole_planner, now);
        let survey = Survey::new(view);
        self.target_counts = self.count_targets(view);
        let mut actions = Vec::new();
        let mut free = BTreeSet::new();
        self.ended_groups.clear();
        self.find_standby(view, &survey, now);
        for (group, observed) in &survey.groups {
            let decision = self.decide(view, group, observed, now);
            self.execute(view, group, observed, decision, now, &mut actions);
            if decision != Decision::Serve && !view.before_traffic {
                // The members may soon join another group.
                for member in &observed.members {
                    self.probe_orders_taken(member, now, &mut actions);
                }
            }
            if decision == Decision::Ended {
                self.ended_groups.insert(group.clone());
            }
            if matches!(decision, Decision::Ended | Decision::Standby) {
                free.extend(observed.members.iter().map(|m| m.id.clone()));
            }
        }
        let blocked = self.blocked_instances(view, &survey);
        let ungrouped = survey.ungrouped.iter().map(|t| &t.id);
        let is_blocked =
            |id: &&TargetId| blocked.contains(id.instance()) || self.may_be_blocked(view, id, now);
        free.extend(ungrouped.filter(|id| !is_blocked(id)).cloned());
        self.advance_planned(view, now, &mut actions);
        self.probe_idle(view, &free, now, &mut actions);
        self.remove_busy(&mut free, view, now);
        // Targets of an evacuated data centre join no new group until the evacuation ends.
        free.retain(|id| view.targets.get(id).is_none_or(|t| !view.is_evacuated(t)));
        self.form_groups(view, &survey, &mut free, now, &mut actions);
        self.stage_weights(view, &survey, &free, now, &mut actions);
        self.convert_groups(view, &survey, &free, now, &mut actions);
        actions
    }

    /// Applies the reply to an order.
    pub fn record_reply(
        &mut self,
        target: &TargetId,
        order: &Order,
        reply: OrderReply,
        now: Millis,
    ) {
        self.order_counts.apply_reply(target, order, reply);
        match (order, reply) {
            (Order::Join { to, .. }, OrderReply::Begun | OrderReply::Held) => {
                if let Some(planned) = self.planned.get_mut(to) {
                    planned.accepted.insert(target.clone());
                }
            }
            (
                Order::Join {
                    to, orders_taken, ..
                },
                OrderReply::Unknown,
            ) => {
                self.unanswered_joins.insert(to.clone(), now);
                self.order_counts
                    .record_late_join(target, *orders_taken, now);
                self.count_attempt(to, target, now);
            }
            // The target may have taken another order since its orders were counted.
            (Order::Join { to, .. }, OrderReply::Unfit) => self.count_attempt(to, target, now),
            (Order::Join { to, .. }, _) => self.abandon(to, target, now),
            // A leader that refuses connections may still finish its running requests.
            (Order::Cut(group), OrderReply::Begun | OrderReply::Held | OrderReply::Elsewhere) => {
                self.cut.insert(group.clone());
            }
            (Order::Open(_), OrderReply::Unknown) => {}
            (Order::Open(group), _) => {
                if let Some(pending) = self.opening.get_mut(group) {
                    *pending = pending.saturating_sub(1);
                }
            }
            // Only the leader's reply is recorded: a member that left shows this in its entry.
            (Order::Leave(group), OrderReply::Begun | OrderReply::Held | OrderReply::Elsewhere)
                if self.leaders.get(group) == Some(target) =>
            {
                self.leader_left.insert(group.clone());
            }
            (_, OrderReply::Refused) => {
                self.failed_probes
                    .insert(target.clone(), (MAX_FAILED_PROBES, now));
            }
            (_, OrderReply::Begun | OrderReply::Held | OrderReply::Unknown) => {}
            (_, _) => {
                self.avoided.insert(target.clone(), now);
            }
        }
    }

    /// Records how many orders a target reports to have taken in its present incarnation.
    pub fn record_orders_taken(&mut self, target: &TargetId, orders_taken: u64, now: Millis) {
        self.order_counts.record_reported(target, orders_taken, now);
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, target: &TargetId, outcome: ProbeOutcome, now: Millis) {
        match outcome {
            ProbeOutcome::Healthy => {
                self.failed_probes.remove(target);
                self.slow.remove(target);
            }
            ProbeOutcome::Slow => {
                self.failed_probes.remove(target);
                self.slow.insert(target.clone());
            }
            ProbeOutcome::Restarted => {
                self.superseded.insert(target.clone());
            }
            ProbeOutcome::Unresponsive => {
                let failed = self.failed_probes.entry(target.clone()).or_insert((0, now));
                *failed = (failed.0 + 1, now);
            }
        }
    }

    /// Returns the listed targets that answered no probe or have restarted, and the leaders that
    /// still take requests although their group lost a member, in the order of their ids.
    pub fn broken_targets(&self, targets: &HashMap<TargetId, Target>) -> Vec<TargetId> {
        let broken = |t: &&Target| {
            let group = t.member.as_ref().map(|m| &m.of);
            self.is_dead(&t.id)
                || t.is_open_leader() && group.is_some_and(|g| self.has_lost_member(g, targets))
        };
        let found = targets.values().filter(broken).map(|t| t.id.clone());
        let mut found: Vec<TargetId> = found.collect();
        found.sort_unstable();
        found
    }

    fn is_dead(&self, id: &TargetId) -> bool {
        let failed = self.failed_probes.get(id);
        failed.is_some_and(|(probes, _)| *probes >= MAX_FAILED_PROBES)
            || self.superseded.contains(id)
    }

    /// Returns whether a member of a group is certainly lost: the member answers no probe, has
    /// restarted, or shows another group or none.
    ///
    /// A member without an entry may be alive: it may have left the list unannounced and still
    /// work, or its entry expired with the store.
    fn has_lost_member(&self, group: &GroupRef, targets: &HashMap<TargetId, Target>) -> bool {
        let lost = |id: &TargetId| self.is_dead(id) || is_elsewhere(id, group, targets);
        self.group_members
            .get(group)
            .is_some_and(|r| r.iter().any(lost))
    }

    /// Counts a join that was not accepted. The group is given up after
    /// [`forming::MAX_JOIN_ATTEMPTS`] of them.
    fn count_attempt(&mut self, group: &GroupRef, target: &TargetId, now: Millis) {
        let attempts = self
            .planned
            .get_mut(group)
            .map_or(0, |p| p.record_attempt(target));
        if attempts >= forming::MAX_JOIN_ATTEMPTS {
            self.abandon(group, target, now);
        }
    }

    /// Gives up a group that cannot be completed because of one member.
    fn abandon(&mut self, group: &GroupRef, target: &TargetId, now: Millis) {
        self.planned.remove(group);
        self.avoided.insert(target.clone(), now);
    }

    /// Repeats unanswered joins, and drops planned groups that are complete or can no longer become
    /// so.
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
            let not_joined = planned.not_joined(&group, view);
            let reason = "the group is formed";
            self.order_joins(&group, &not_joined, reason, view, now, actions);
        }
    }

    fn is_usable(&self, id: &TargetId, view: &FleetView<'_>) -> bool {
        let listed = view.targets.get(id).is_some_and(|t| !t.leaving);
        let healthy = !self.is_dead(id) && !self.slow.contains(id);
        listed && healthy && !self.avoided.contains_key(id)
    }

    /// Returns instances that have restarted while the group of their earlier incarnation has not
    /// ended: its leader may serve until it has noticed the loss.
    fn blocked_instances(&self, view: &FleetView<'_>, survey: &Survey<'_>) -> HashSet<&InstanceId> {
        let is_observed = |group: &&GroupRef| survey.groups.contains_key(*group);
        let groups = self.group_members.keys().filter(is_observed);
        let active = groups.filter(|group| !self.ended_groups.contains(*group));
        let members = active.flat_map(|group| &self.group_members[group]);
        let restarted = members.filter(|id| self.superseded.contains(*id));
        let waiting = self
            .blocked_until
            .values()
            .map(|(incarnation, _)| incarnation);
        let waiting = waiting.filter(|incarnation| !view.targets.contains_key(*incarnation));
        restarted.chain(waiting).map(TargetId::instance).collect()
    }

    /// Removes the targets that cannot be used for a new group now.
    fn remove_busy(&self, free: &mut BTreeSet<TargetId>, view: &FleetView<'_>, now: Millis) {
        for planned in self.planned.values() {
            for id in &planned.members {
                free.remove(id);
            }
        }
        let busy = |id: &TargetId| {
            let key = (id.clone(), "stage");
            self.last_orders
                .get(&key)
                .is_some_and(|at| now - *at < ORDER_RETRY_INTERVAL)
        };
        let may_take_stale = |id: &TargetId| self.order_counts.may_take_stale_join(id, now);
        let can_join = |id: &TargetId| !may_take_stale(id) && !self.has_last_epoch(id);
        free.retain(|id| self.is_usable(id, view) && !busy(id) && can_join(id));
    }
}

/// Returns whether a listed target shows a group other than this one, or none.
fn is_elsewhere(id: &TargetId, group: &GroupRef, targets: &HashMap<TargetId, Target>) -> bool {
    let differs = |t: &Target| t.member.as_ref().is_none_or(|m| m.of != *group);
    targets.get(id).is_some_and(differs)
}
