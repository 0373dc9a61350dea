//! The groups that the targets' entries show, and the decision on each of them.

use std::collections::BTreeMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Membership, ModelPlan, Target, TargetId};

use super::{
    FleetPlanner, FleetView, LEADER_CLOSE_TIMEOUT, LEADER_DRAIN_TIMEOUT, LEADER_GONE_TIMEOUT,
    MEMBERS_APPEAR_TIMEOUT,
};

/// What the planner does about a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// Nothing: the group serves.
    Serve,
    /// Nothing yet.
    Wait,
    /// Order the leader to open the group for requests.
    Open,
    /// Order the leader to abort its requests at once, since a member is lost.
    Cut,
    /// Order the leader to abort its requests, since spares can take the place of slow members.
    ReplaceSlow,
    /// Order the leader to finish its running requests, since a member is shutting down.
    DrainLeaving,
    /// Order the leader to leave the group, which has ended but could be opened again by a late
    /// order.
    Dissolve,
    /// Order all members to leave the group, since its leader cannot be ordered to end it.
    Release,
    /// Order the leader to finish its running requests; the group then becomes a standby group.
    DrainToStandby,
    /// Order the leader to finish its running requests; the members are needed for another model.
    DrainForConversion,
    /// Order a leader that is no longer listed to finish its running requests.
    DrainUnlisted,
    /// Order a leader that is no longer listed, or does not respond, to abort its requests at once.
    CutUnlisted,
    /// Probe the members, to learn whether they are alive.
    ProbeStalled,
    /// Probe the members, to learn whether one of them is slow.
    ProbeSlow,
    /// Nothing: the group is complete and not needed now, and its members are free.
    Standby,
    /// Nothing: the group has ended, and its members are free.
    Ended,
}

/// A group as the targets' entries show it.
#[derive(Debug, Default)]
pub(super) struct ObservedGroup<'a> {
    /// All listed members.
    pub(super) members: Vec<&'a Target>,
    /// The leader, if it is listed.
    pub(super) leader: Option<&'a Target>,
}

impl<'a> ObservedGroup<'a> {
    fn memberships(&self) -> impl Iterator<Item = &'a Membership> {
        self.members.iter().filter_map(|t| t.member.as_ref())
    }

    /// Returns the state that the leader reports.
    pub(super) fn leader_state(&self) -> Option<MemberState> {
        let member = self.leader?.member.as_ref()?;
        Some(member.state)
    }

    /// Returns the model that the group runs, as its members report it.
    pub(super) fn model(&self) -> Option<&'a thistlesill_core::Model> {
        self.memberships().find_map(|m| m.model.as_ref())
    }

    /// Returns the plan of the model that the group runs. Members that are still loading do not
    /// report their model, so a group that another planner is forming is recognized by its size.
    pub(super) fn plan<'v>(&self, view: &FleetView<'v>) -> Option<&'v ModelPlan> {
        if let Some(model) = self.model() {
            view.engine.plan(model)
        } else {
            let size = self.members.len();
            view.engine.models.iter().find(|p| p.size as usize == size)
        }
    }

    /// Returns whether the group takes requests or will take them.
    pub(super) fn can_serve(&self) -> bool {
        !matches!(
            self.leader_state(),
            None | Some(MemberState::Broken | MemberState::Closing)
        )
    }
}

/// All groups of a service, and the targets without a group.
#[derive(Debug)]
pub(super) struct Survey<'a> {
    pub(super) groups: BTreeMap<GroupRef, ObservedGroup<'a>>,
    /// Targets without a group.
    pub(super) ungrouped: Vec<&'a Target>,
}

impl<'a> Survey<'a> {
    pub(super) fn new(view: &FleetView<'a>) -> Self {
        let mut groups: BTreeMap<GroupRef, ObservedGroup<'a>> = BTreeMap::new();
        let mut ungrouped = Vec::new();
        let mut targets: Vec<&Target> = view.targets.values().collect();
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        for target in targets {
            let Some(member) = &target.member else {
                ungrouped.push(target);
                continue;
            };
            let observed = groups.entry(member.of.clone()).or_default();
            observed.members.push(target);
            if member.rank == 0 {
                observed.leader = Some(target);
            }
        }
        Self { groups, ungrouped }
    }
}

impl FleetPlanner {
    /// Decides what to do about a group.
    pub(super) fn decide(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        observed: &ObservedGroup<'_>,
        now: Millis,
    ) -> Decision {
        let decision = self.decide_by_state(view, group, observed, now);
        let may_open_late = self.may_open_late(group, observed);
        let leader = self.leaders.get(group);
        let is_unresponsive = leader.is_some_and(|id| self.is_dead(id) || self.is_gone(id, now));
        let decision = match decision {
            Decision::Ended | Decision::Standby if may_open_late && is_unresponsive => {
                Decision::Release
            }
            Decision::Ended | Decision::Standby if may_open_late => Decision::Dissolve,
            decision => decision,
        };
        match decision {
            Decision::Release if self.may_join_late(group, now) => Decision::CutUnlisted,
            decision => decision,
        }
    }

    /// Returns whether a target has been off the list for [`LEADER_GONE_TIMEOUT`].
    fn is_gone(&self, id: &TargetId, now: Millis) -> bool {
        let missing = self.missing_since.get(id);
        missing.is_some_and(|since| now - *since >= LEADER_GONE_TIMEOUT)
    }

    fn decide_by_state(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        observed: &ObservedGroup<'_>,
        now: Millis,
    ) -> Decision {
        let Some(leader) = observed.leader else {
            return self.decide_leaderless(view, group, now);
        };
        let state = observed.leader_state().unwrap_or(MemberState::Broken);
        let lost = self.has_lost_member(group, view.targets);
        match state {
            MemberState::Broken => Decision::Ended,
            MemberState::Open if self.cut.contains(group) => Decision::Wait,
            MemberState::Open if lost && !self.is_dead(&leader.id) => Decision::Cut,
            MemberState::Open if leader.leaving => Decision::Serve,
            MemberState::Open if observed.members.iter().any(|t| t.leaving) => {
                Decision::DrainLeaving
            }
            MemberState::Open if self.can_replace_slow(view, observed) => Decision::ReplaceSlow,
            MemberState::Open if self.surplus.contains(group) => Decision::DrainToStandby,
            MemberState::Open if self.is_converting(group) => Decision::DrainForConversion,
            MemberState::Open if view.stalled.contains(&leader.id) => Decision::ProbeStalled,
            MemberState::Open if view.slow.contains(&leader.id) => Decision::ProbeSlow,
            MemberState::Open => Decision::Serve,
            MemberState::Closing => Decision::Wait,
            MemberState::Joining | MemberState::Ready => {
                self.decide_forming(view, group, observed, lost, now)
            }
        }
    }

    /// Returns whether a group has slow members and its domain has enough idle targets that can
    /// replace them at once.
    fn can_replace_slow(&self, view: &FleetView<'_>, observed: &ObservedGroup<'_>) -> bool {
        let slow = observed
            .members
            .iter()
            .filter(|t| self.slow.contains(&t.id));
        let slow = slow.count();
        let (Some(plan), Some(leader)) = (observed.plan(view), observed.leader) else {
            return false;
        };
        let ready = |t: &&Target| {
            let idle = t.member.is_none() || self.in_standby(t);
            idle && t.domain == leader.domain
                && self.is_warm(t, plan)
                && self.is_usable(&t.id, view)
        };
        slow > 0 && view.targets.values().filter(ready).count() >= slow
    }

    /// Decides on a group that does not serve yet, or no longer.
    fn decide_forming(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        observed: &ObservedGroup<'_>,
        lost: bool,
        now: Millis,
    ) -> Decision {
        let ready = observed
            .memberships()
            .all(|m| m.state == MemberState::Ready);
        if let Some(planned) = self.planned.get(group) {
            return if ready && !planned.standby && planned.all_members_show(group, view) {
                Decision::Open
            } else {
                Decision::Wait
            };
        }
        let leaving = observed.members.iter().any(|t| t.leaving);
        if lost || leaving || self.cut.contains(group) {
            return Decision::Ended;
        }
        if self.standby.contains(group) {
            return Decision::Standby;
        }
        let is_recent = self
            .first_seen
            .get(group)
            .is_none_or(|at| now - *at < MEMBERS_APPEAR_TIMEOUT);
        let plan = observed.model().and_then(|model| view.engine.plan(model));
        match plan {
            Some(plan) if observed.members.len() >= plan.size as usize && ready => {
                if self.may_be_opened(group, observed) {
                    Decision::Open
                } else {
                    Decision::Ended
                }
            }
            // A member that is loading does not report the model that it will run.
            _ if is_recent || !ready => Decision::Wait,
            _ => Decision::Ended,
        }
    }

    /// Decides on a group whose leader is not listed. The leader may still serve: it may be
    /// shutting down unannounced, or be cut off from the store. So the leader is ordered to stop,
    /// and its members stay in the group until the leader has answered or they have left.
    fn decide_leaderless(&self, view: &FleetView<'_>, group: &GroupRef, now: Millis) -> Decision {
        if self.planned.contains_key(group) {
            return Decision::Wait;
        }
        // The leader has ended the group, or has left it.
        let left = self.leader_left.contains(group) || self.is_left_by_leader(view, group);
        if left || self.cut.contains(group) {
            return Decision::Ended;
        }
        let leader = self.leaders.get(group);
        // The leader's process has been replaced by another one, which knows nothing of the group.
        if leader.is_some_and(|id| self.superseded.contains(id)) {
            return Decision::Ended;
        }
        let is_unresponsive = |id: &TargetId| self.is_dead(id) && !view.working.contains(id);
        if leader.is_some_and(is_unresponsive) {
            return Decision::Release;
        }
        let missing = leader.and_then(|id| self.missing_since.get(id));
        let since = missing
            .or_else(|| self.first_seen.get(group))
            .copied()
            .unwrap_or(now);
        // A planner that has just started does not know the leader and can order none to stop. With
        // the shorter timeout a target was in two groups on 1 of 120 randomly drawn days.
        let gone = leader.map_or(LEADER_DRAIN_TIMEOUT, |_| LEADER_GONE_TIMEOUT);
        match now - since {
            time if time < LEADER_CLOSE_TIMEOUT => Decision::DrainUnlisted,
            time if time < gone => Decision::CutUnlisted,
            _ => Decision::Release,
        }
    }
}
