//! Evacuated data centres, as known to one daemon.
//!
//! Operators evacuate a data centre before they work on it and end the evacuation afterwards.
//! Daemons that read the store see both there and send the full list along with the proof that
//! their catalog is fresh, so a daemon with a recent proof has an equally recent list. A list of an
//! older store version is ignored, whichever way it arrived.

use std::collections::BTreeSet;

use thistlesill_core::HallId;
use thistlesill_core::edge::Evacuations;

/// A change of the list of evacuated data centres.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The evacuation of a data centre begins.
    Begun(HallId),
    /// The evacuation of a data centre ends.
    Ended(HallId),
}

/// A changed entry of the operators' list in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallEntry {
    /// Data centre of the entry.
    pub hall: HallId,
    /// Whether the data centre is evacuated.
    pub evacuated: bool,
}

/// Evacuated data centres, with the store version of the list.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    known: Evacuations,
}

impl EvacuationTable {
    /// Returns the current list.
    #[must_use]
    pub const fn known(&self) -> &Evacuations {
        &self.known
    }

    /// Replaces the list, unless the new one is older. Returns the changes.
    pub fn replace(&mut self, update: Evacuations) -> Vec<EvacuationChange> {
        if update.version < self.known.version {
            return Vec::new();
        }
        let begun = update.halls.difference(&self.known.halls).cloned();
        let ended = self.known.halls.difference(&update.halls).cloned();
        let begun = begun.map(EvacuationChange::Begun);
        let changes = begun.chain(ended.map(EvacuationChange::Ended)).collect();
        self.known = update;
        changes
    }

    /// Applies changed entries up to a store version, in their order. Returns the resulting
    /// changes.
    pub fn apply(&mut self, listed: &[HallEntry], version: u64) -> Vec<EvacuationChange> {
        let mut halls = self.known.halls.clone();
        for change in listed {
            if change.evacuated {
                halls.insert(change.hall.clone());
            } else {
                halls.remove(&change.hall);
            }
        }
        self.replace(Evacuations { version, halls })
    }

    /// Builds the list from all entries of a full read of the store.
    #[must_use]
    pub fn snapshot(listed: &[HallEntry], version: u64) -> Evacuations {
        let halls = listed.iter().filter(|l| l.evacuated);
        let halls: BTreeSet<HallId> = halls.map(|l| l.hall.clone()).collect();
        Evacuations { version, halls }
    }
}
