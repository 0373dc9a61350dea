//! Which data centres are evacuated, as a daemon knows it.
//!
//! Operators evacuate a data centre before they work on it and take it back afterwards.
//! Daemons that read the store hear of both there and hand the whole list on beside the proof
//! of their catalog, so a daemon with a young proof has a list that is as young. A list of an
//! older version of the store changes nothing, whichever way it came.

use std::collections::BTreeSet;

use thistlesill_core::HallId;
use thistlesill_core::edge::Evacuations;

/// A change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// A data centre is evacuated from now on.
    Begun(HallId),
    /// A data centre is taken back.
    Ended(HallId),
}

/// One change of the operators' list, as the store tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHall {
    /// The data centre.
    pub hall: HallId,
    /// Whether it is evacuated.
    pub evacuated: bool,
}

/// The data centres that are evacuated.
#[derive(Debug, Clone, Default)]
pub struct EvacuationTable {
    known: Evacuations,
}

impl EvacuationTable {
    /// The list as it is known.
    #[must_use]
    pub const fn known(&self) -> &Evacuations {
        &self.known
    }

    /// Takes in a whole list; returns what it changes.
    pub fn replace(&mut self, news: Evacuations) -> Vec<EvacuationChange> {
        if news.version < self.known.version {
            return Vec::new();
        }
        let begun = news.halls.difference(&self.known.halls).cloned();
        let ended = self.known.halls.difference(&news.halls).cloned();
        let begun = begun.map(EvacuationChange::Begun);
        let changes = begun.chain(ended.map(EvacuationChange::Ended)).collect();
        self.known = news;
        changes
    }

    /// Takes in changes up to a version of the store, in their order; returns what they
    /// change.
    pub fn apply(&mut self, listed: &[ListedHall], version: u64) -> Vec<EvacuationChange> {
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

    /// The list that a whole read of the store shows.
    #[must_use]
    pub fn whole(listed: &[ListedHall], version: u64) -> Evacuations {
        let halls = listed.iter().filter(|l| l.evacuated);
        let halls: BTreeSet<HallId> = halls.map(|l| l.hall.clone()).collect();
        Evacuations { version, halls }
    }
}
