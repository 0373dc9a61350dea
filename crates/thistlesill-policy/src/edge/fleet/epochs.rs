//! Epochs of new groups.
//!
//! An epoch begins with the term of the lease and ends with a number of the planner, so no two planners
//! assign the same one, and a target refuses a join that is older than one it has taken. A target may hold
//! an epoch that no planner of this term can have caused: the term was lost with its row, or another
//! writer wrote the entry. Such an epoch raises those of the groups that the target itself joins, and no
//! others. The target is invited first: until it has joined, nothing but its entry tells of the epoch.

use std::collections::HashMap;

use thistlesill_core::GroupId;
use thistlesill_core::edge::{GroupRef, Target, TargetId};

use super::{FleetPlanner, FleetView};

/// Bits of an epoch that number the groups of one term.
const EPOCH_BITS: u32 = 20;
/// Highest epoch that is assigned: entries with a higher one describe no target.
const MAX_EPOCH: u64 = u64::MAX - 1;

impl FleetPlanner {
    /// Records the epochs that the entries of the listed targets show.
    pub(super) fn record_epochs(&mut self, targets: &HashMap<TargetId, Target>) {
        for target in targets.values() {
            if let Some(member) = &target.member {
                let held = self.held_epochs.entry(target.id.clone()).or_default();
                *held = (*held).max(member.of.epoch);
            }
        }
        self.held_epochs.retain(|id, _| targets.contains_key(id));
    }

    /// Returns the name and epoch of a new group, which exceeds all epochs that its members hold. A
    /// term that begins anew assigns no group that its predecessor of the same number did.
    pub(super) fn next_group(&mut self, view: &FleetView<'_>, members: &[&Target]) -> GroupRef {
        let is_shown = |group: &GroupRef| {
            let mut shown = view.targets.values().filter_map(|t| t.member.as_ref());
            shown.any(|member| member.of == *group)
        };
        loop {
            self.counter += 1;
            let group = self.group_for(view.term, members);
            if !is_shown(&group) {
                return group;
            }
        }
    }

    /// Returns the group that the planner's counter names.
    fn group_for(&self, term: u64, members: &[&Target]) -> GroupRef {
        let own = self.own_epoch(term);
        let held = members.iter().map(|t| self.foreign_epoch(&t.id)).max();
        let base = match held {
            Some(held) if held >= own => held.checked_add(own).unwrap_or(MAX_EPOCH),
            _ => own,
        };
        let ordered = members.iter().filter_map(|t| self.join_epochs.get(&t.id));
        let ordered = ordered.max().copied().unwrap_or(0);
        GroupRef {
            group: GroupId::from(format!("g{own:x}")),
            epoch: base.max(ordered.saturating_add(1)).min(MAX_EPOCH),
        }
    }

    /// Returns the members that must join a group before the others are invited.
    pub(super) fn first_to_join(&self, term: u64, members: &[&Target]) -> Vec<TargetId> {
        let own = self.own_epoch(term);
        let is_first = |target: &&&Target| self.foreign_epoch(&target.id) >= own;
        let first = members.iter().filter(is_first);
        first.map(|target| target.id.clone()).collect()
    }

    /// Returns whether a target holds so high an epoch that it would refuse all further joins.
    pub(super) fn has_last_epoch(&self, id: &TargetId) -> bool {
        self.held_epochs.get(id).is_some_and(|e| *e >= MAX_EPOCH)
    }

    /// Returns the epoch of the latest group if no member holds a higher one.
    fn own_epoch(&self, term: u64) -> u64 {
        let first = term.saturating_mul(1 << EPOCH_BITS);
        first.saturating_add(self.counter)
    }

    /// Returns the epoch that a target holds from a join of another planner, or that another writer
    /// ascribes to it; 0 if there is none.
    fn foreign_epoch(&self, id: &TargetId) -> u64 {
        let held = self.held_epochs.get(id).copied().unwrap_or(0);
        let ordered = self.join_epochs.get(id).copied().unwrap_or(0);
        if held > ordered { held } else { 0 }
    }
}
