//! How a planned group stands, by its members' reports.

use std::collections::BTreeMap;

use thistlesill_core::message::ObservedState;
use thistlesill_core::row::GroupRow;
use thistlesill_core::timeline::EndReason;
use thistlesill_core::{InstanceId, Millis};

use crate::presence::Observed;

/// A member's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// Not heard of.
    Missing,
    /// Idle: the order was not taken yet, or the target started anew.
    Idle,
    /// Loads for the group.
    Loading,
    /// Serves in the group.
    Ready,
    /// Ends its work in the group.
    Draining,
    /// Reports another group or duty.
    Elsewhere,
}

/// How a group stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Assessment {
    /// Members in order of rank.
    pub(super) members: Vec<(InstanceId, Standing)>,
    /// Whether any member is leaving.
    pub(super) leaving: bool,
}

impl Assessment {
    /// Whether all members stand as given.
    pub(super) fn all(&self, fits: impl Fn(Standing) -> bool) -> bool {
        self.members.iter().all(|(_, s)| fits(*s))
    }

    /// Whether any member stands as given.
    pub(super) fn any(&self, standing: Standing) -> bool {
        self.members.iter().any(|(_, s)| *s == standing)
    }

    /// Why the group cannot go on. A member that is idle after all had
    /// taken their orders has started anew.
    pub(super) fn fault(&self, was_taken: bool, missing_long: bool) -> Option<EndReason> {
        if self.any(Standing::Elsewhere) || was_taken && self.any(Standing::Idle) {
            return Some(EndReason::MemberChanged);
        }
        (missing_long && self.any(Standing::Missing)).then_some(EndReason::MemberLost)
    }

    /// What the group waits for, in words.
    pub(super) fn waits(&self) -> Vec<String> {
        let text = |(instance, standing): &(InstanceId, Standing)| match standing {
            Standing::Missing => Some(format!("{instance} is not heard of")),
            Standing::Idle => Some(format!("{instance} has not taken its order")),
            Standing::Loading => Some(format!("{instance} loads weights")),
            Standing::Draining => Some(format!("{instance} ends its streams")),
            Standing::Elsewhere => Some(format!("{instance} reports another duty")),
            Standing::Ready => None,
        };
        self.members.iter().filter_map(text).collect()
    }
}

/// Looks at each member of a group.
pub(super) fn assess(
    row: &GroupRow,
    observed: &BTreeMap<InstanceId, Observed>,
    now: Millis,
) -> Assessment {
    let standing = |i: &InstanceId| stand(row, observed.get(i), now);
    let leaving = |i: &InstanceId| observed.get(i).is_some_and(|o| o.sighting.leaving);
    Assessment {
        members: row
            .members
            .iter()
            .map(|i| (i.clone(), standing(i)))
            .collect(),
        leaving: row.members.iter().any(leaving),
    }
}

fn stand(row: &GroupRow, seen: Option<&Observed>, now: Millis) -> Standing {
    let Some(seen) = seen.filter(|s| s.until > now) else {
        return Standing::Missing;
    };
    let ours = seen
        .sighting
        .state
        .membership()
        .is_some_and(|m| m.group == row.group && m.epoch == row.epoch);
    match &seen.sighting.state {
        ObservedState::Lost => Standing::Missing,
        ObservedState::Idle => Standing::Idle,
        ObservedState::Loading(_) if ours => Standing::Loading,
        ObservedState::Ready(_) if ours => Standing::Ready,
        ObservedState::Draining(_) if ours => Standing::Draining,
        _ => Standing::Elsewhere,
    }
}
