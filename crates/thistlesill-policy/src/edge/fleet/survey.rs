//! The groups that the targets' entries show, and what each one needs.

use std::collections::BTreeMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Membership, ModelPlan, Target, TargetId};

use super::{
    FleetPlanner, FleetView, LEADER_CLOSE_TIMEOUT, LEADER_DRAIN_TIMEOUT, LEADER_GONE_TIMEOUT,
    MEMBERS_SHOW_TIMEOUT,
};

/// What a group needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Nothing: it serves.
    Serve,
    /// Nothing yet.
    Wait,
    /// Its leader may take requests.
    Open,
    /// Its leader must stop at once.
    Cut,
    /// Its leader must stop, since spares can take the place of slow members.
    Replace,
    /// Its leader must end what runs.
    Retire,
    /// It has ended, but its leader could be opened again by a late order.
    Dissolve,
    /// Its leader cannot be told to end it: its members must leave it.
    Release,
    /// Its leader must end what runs; the group then stands by.
    Rest,
    /// Its leader must end what runs; its members go to a model that is short.
    GiveWay,
    /// Its leader is no longer listed and must end what runs.
    Dismiss,
    /// Its leader is no longer listed and must stop at once.
    Stop,
    /// Its members must be asked whether they live.
    Probe,
    /// Its members must be asked whether one of them is slow.
    Ask,
    /// It is complete and not wanted now; its members are free.
    Standby,
    /// It has ended; its members are free.
    Void,
}

/// A group as the entries show it.
#[derive(Debug, Default)]
pub(super) struct Standing<'a> {
    /// All members that are listed.
    pub(super) members: Vec<&'a Target>,
    /// The member that leads.
    pub(super) leader: Option<&'a Target>,
}

impl<'a> Standing<'a> {
    fn states(&self) -> impl Iterator<Item = &'a Membership> {
        self.members.iter().filter_map(|t| t.member.as_ref())
    }

    /// What the leader says of itself.
    pub(super) fn leader_state(&self) -> Option<MemberState> {
        let member = self.leader?.member.as_ref()?;
        Some(member.state)
    }

    /// What the group runs, as its members show it.
    pub(super) fn model(&self) -> Option<&'a thistlesill_core::Model> {
        self.states().find_map(|m| m.model.as_ref())
    }

    /// The plan of what the group runs. Members that still load do not say
    /// what, so a group that another planner is forming is told by its size.
    pub(super) fn plan<'v>(&self, view: &FleetView<'v>) -> Option<&'v ModelPlan> {
        if let Some(model) = self.model() {
            view.engine.plan(model)
        } else {
            let size = self.members.len();
            view.engine.models.iter().find(|p| p.size as usize == size)
        }
    }

    /// Whether the group takes or will take requests.
    pub(super) fn is_alive(&self) -> bool {
        !matches!(
            self.leader_state(),
            None | Some(MemberState::Broken | MemberState::Closing)
        )
    }
}

/// All groups of a service.
#[derive(Debug)]
pub(super) struct Survey<'a> {
    pub(super) groups: BTreeMap<GroupRef, Standing<'a>>,
    /// Targets without a group.
    pub(super) single: Vec<&'a Target>,
}

impl<'a> Survey<'a> {
    pub(super) fn new(view: &FleetView<'a>) -> Self {
        let mut groups: BTreeMap<GroupRef, Standing<'a>> = BTreeMap::new();
        let mut single = Vec::new();
        let mut targets: Vec<&Target> = view.targets.values().collect();
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        for target in targets {
            let Some(member) = &target.member else {
                single.push(target);
                continue;
            };
            let standing = groups.entry(member.of.clone()).or_default();
            standing.members.push(target);
            if member.rank == 0 {
                standing.leader = Some(target);
            }
        }
        Self { groups, single }
    }
}

impl FleetPlanner {
    /// Decides what a group needs.
    pub(super) fn judge(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        standing: &Standing<'_>,
        now: Millis,
    ) -> Verdict {
        let verdict = self.judge_state(view, group, standing, now);
        let doubtful = self.may_open_late(group, standing);
        let leader = self.leaders.get(group);
        let silent = leader.is_some_and(|id| self.is_dead(id) || self.is_gone(id, now));
        let verdict = match verdict {
            Verdict::Void | Verdict::Standby if doubtful && silent => Verdict::Release,
            Verdict::Void | Verdict::Standby if doubtful => Verdict::Dissolve,
            verdict => verdict,
        };
        match verdict {
            Verdict::Release if self.may_join_late(group, now) => Verdict::Stop,
            verdict => verdict,
        }
    }

    /// Whether a target has been off the list for so long that it is gone.
    fn is_gone(&self, id: &TargetId, now: Millis) -> bool {
        let missing = self.missing.get(id);
        missing.is_some_and(|since| now - *since >= LEADER_GONE_TIMEOUT)
    }

    fn judge_state(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        standing: &Standing<'_>,
        now: Millis,
    ) -> Verdict {
        let Some(leader) = standing.leader else {
            return self.judge_leaderless(view, group, now);
        };
        let state = standing.leader_state().unwrap_or(MemberState::Broken);
        let lost = self.lacks(group, view.targets);
        match state {
            MemberState::Broken => Verdict::Void,
            MemberState::Open if self.cut.contains(group) => Verdict::Wait,
            MemberState::Open if lost && !self.is_dead(&leader.id) => Verdict::Cut,
            MemberState::Open if leader.leaving => Verdict::Serve,
            MemberState::Open if standing.members.iter().any(|t| t.leaving) => Verdict::Retire,
            MemberState::Open if self.can_replace_slow(view, standing) => Verdict::Replace,
            MemberState::Open if self.surplus.contains(group) => Verdict::Rest,
            MemberState::Open if self.gives_way(group) => Verdict::GiveWay,
            MemberState::Open if view.stalled.contains(&leader.id) => Verdict::Probe,
            MemberState::Open if view.slow.contains(&leader.id) => Verdict::Ask,
            MemberState::Open => Verdict::Serve,
            MemberState::Closing => Verdict::Wait,
            MemberState::Joining | MemberState::Ready => {
                self.judge_forming(view, group, standing, lost, now)
            }
        }
    }

    /// Whether a group has slow members and its domain idle targets that can
    /// take their places at once.
    fn can_replace_slow(&self, view: &FleetView<'_>, standing: &Standing<'_>) -> bool {
        let slow = standing
            .members
            .iter()
            .filter(|t| self.slow.contains(&t.id));
        let slow = slow.count();
        let (Some(plan), Some(leader)) = (standing.plan(view), standing.leader) else {
            return false;
        };
        let ready = |t: &&Target| {
            let idle = t.member.is_none() || self.stands_by(t);
            idle && t.domain == leader.domain
                && self.is_warm(t, plan)
                && self.is_usable(&t.id, view)
        };
        slow > 0 && view.targets.values().filter(ready).count() >= slow
    }

    /// A group that does not serve yet, or no longer.
    fn judge_forming(
        &self,
        view: &FleetView<'_>,
        group: &GroupRef,
        standing: &Standing<'_>,
        lost: bool,
        now: Millis,
    ) -> Verdict {
        let ready = standing.states().all(|m| m.state == MemberState::Ready);
        if let Some(planned) = self.planned.get(group) {
            return if ready && !planned.standby && planned.is_shown(group, view) {
                Verdict::Open
            } else {
                Verdict::Wait
            };
        }
        let leaving = standing.members.iter().any(|t| t.leaving);
        if lost || leaving || self.cut.contains(group) {
            return Verdict::Void;
        }
        if self.standby.contains(group) {
            return Verdict::Standby;
        }
        let young = self
            .seen
            .get(group)
            .is_none_or(|at| now - *at < MEMBERS_SHOW_TIMEOUT);
        let plan = standing.model().and_then(|model| view.engine.plan(model));
        match plan {
            Some(plan) if standing.members.len() >= plan.size as usize && ready => {
                if self.is_current(group, standing) {
                    Verdict::Open
                } else {
                    Verdict::Void
                }
            }
            // While it loads, a member does not say what it will run.
            _ if young || !ready => Verdict::Wait,
            _ => Verdict::Void,
        }
    }

    /// A group whose leader is not listed. The leader may still serve: it may
    /// be leaving without a word, or be cut off from the store. So it is told
    /// to stop, and its members stay with it until it has answered or they have left.
    fn judge_leaderless(&self, view: &FleetView<'_>, group: &GroupRef, now: Millis) -> Verdict {
        if self.planned.contains_key(group) {
            return Verdict::Wait;
        }
        // The leader has ended it, or has left it.
        let left = self.left.contains(group) || self.is_left_by_leader(view, group);
        if left || self.cut.contains(group) {
            return Verdict::Void;
        }
        let leader = self.leaders.get(group);
        // Its process is another one, which knows nothing of the group.
        if leader.is_some_and(|id| self.ended.contains(id)) {
            return Verdict::Void;
        }
        let silent = |id: &TargetId| self.is_dead(id) && !view.working.contains(id);
        if leader.is_some_and(silent) {
            return Verdict::Release;
        }
        let missing = leader.and_then(|id| self.missing.get(id));
        let since = missing
            .or_else(|| self.seen.get(group))
            .copied()
            .unwrap_or(now);
        // A planner that has just started does not know who led, and can tell no
        // leader to stop: a target was in two groups on 1 of 120 drawn days.
        let gone = leader.map_or(LEADER_DRAIN_TIMEOUT, |_| LEADER_GONE_TIMEOUT);
        match now - since {
            time if time < LEADER_CLOSE_TIMEOUT => Verdict::Dismiss,
            time if time < gone => Verdict::Stop,
            _ => Verdict::Release,
        }
    }
}
