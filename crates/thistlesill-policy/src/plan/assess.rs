//! The status of a planned group, derived from the reports of its members.

use std::collections::BTreeMap;

use thistlesill_core::message::ObservedState;
use thistlesill_core::row::GroupRow;
use thistlesill_core::timeline::EndReason;
use thistlesill_core::{InstanceId, Millis};

use crate::presence::Observed;

/// The status of a member with regard to its planned group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberStatus {
    /// No fresh report.
    Missing,
    /// Idle: the target has not taken the order yet, or has restarted.
    Idle,
    /// Loads weights for the group.
    Loading,
    /// Serves in the group.
    Ready,
    /// Finishes its requests in the group.
    Draining,
    /// Reports another group or another duty.
    Mismatched,
}

/// The status of a group's members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Assessment {
    /// The members in order of rank.
    pub(super) members: Vec<(InstanceId, MemberStatus)>,
    /// Whether any member is leaving.
    pub(super) leaving: bool,
}

impl Assessment {
    /// Returns whether all members have a status that `fits` accepts.
    pub(super) fn all(&self, fits: impl Fn(MemberStatus) -> bool) -> bool {
        self.members.iter().all(|(_, s)| fits(*s))
    }

    /// Returns whether any member has the given status.
    pub(super) fn any(&self, status: MemberStatus) -> bool {
        self.members.iter().any(|(_, s)| *s == status)
    }

    /// Returns why the group has to end at once, if it has to.
    ///
    /// A member that is idle after all members had taken their orders (`orders_taken`) has
    /// restarted. A missing member counts only once it has been missing for long (`missing_long`).
    pub(super) fn end_reason(&self, orders_taken: bool, missing_long: bool) -> Option<EndReason> {
        if self.any(MemberStatus::Mismatched) || orders_taken && self.any(MemberStatus::Idle) {
            return Some(EndReason::MemberChanged);
        }
        (missing_long && self.any(MemberStatus::Missing)).then_some(EndReason::MemberLost)
    }

    /// Describes what the group waits for, one sentence per member that is not ready.
    pub(super) fn describe_waits(&self) -> Vec<String> {
        let text = |(instance, status): &(InstanceId, MemberStatus)| match status {
            MemberStatus::Missing => Some(format!("{instance} sends no reports")),
            MemberStatus::Idle => Some(format!("{instance} has not taken its order")),
            MemberStatus::Loading => Some(format!("{instance} loads weights")),
            MemberStatus::Draining => Some(format!("{instance} finishes its streams")),
            MemberStatus::Mismatched => Some(format!("{instance} reports another duty")),
            MemberStatus::Ready => None,
        };
        self.members.iter().filter_map(text).collect()
    }
}

/// Determines the status of each member of a group.
pub(super) fn assess(
    row: &GroupRow,
    observed: &BTreeMap<InstanceId, Observed>,
    now: Millis,
) -> Assessment {
    let status = |i: &InstanceId| member_status(row, observed.get(i), now);
    let leaving = |i: &InstanceId| observed.get(i).is_some_and(|o| o.sighting.leaving);
    Assessment {
        members: row.members.iter().map(|i| (i.clone(), status(i))).collect(),
        leaving: row.members.iter().any(leaving),
    }
}

fn member_status(row: &GroupRow, seen: Option<&Observed>, now: Millis) -> MemberStatus {
    let Some(seen) = seen.filter(|s| s.until > now) else {
        return MemberStatus::Missing;
    };
    let ours = seen
        .sighting
        .state
        .membership()
        .is_some_and(|m| m.group == row.group && m.epoch == row.epoch);
    match &seen.sighting.state {
        ObservedState::Lost => MemberStatus::Missing,
        ObservedState::Idle => MemberStatus::Idle,
        ObservedState::Loading(_) if ours => MemberStatus::Loading,
        ObservedState::Ready(_) if ours => MemberStatus::Ready,
        ObservedState::Draining(_) if ours => MemberStatus::Draining,
        _ => MemberStatus::Mismatched,
    }
}
