//! The changes of targets, kept by daemons that read the store for those that
//! follow them.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use thistlesill_core::Millis;

use super::book::Listing;

/// Batches that are held back, at most; who misses more asks for them anyway.
const MAX_HELD: usize = 32;

/// Changes that are kept for daemons that missed them: three of each of a thousand
/// targets. While groups are first formed each changes several times in seconds, and
/// who lags behind what is kept reads all targets from the store; with 600, daemons of
/// a fleet of 295 did so three times each. Each takes some 0.4 kB.
const MAX_KEPT: usize = 3_000;

/// One change of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The store's version of the change.
    pub version: u64,
    /// What the target's entry became.
    pub what: Listing,
}

/// Changes of targets from one version of the store to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Who knows the targets at this version knows them at `after` with these.
    pub before: u64,
    /// The store's version of the newest change.
    pub after: u64,
    /// The changes.
    pub list: Vec<Change>,
    /// How long the store has answered the sender without a break.
    pub steady: Option<Millis>,
}

/// The targets' changes that a reader keeps for others, and what it knows.
#[derive(Debug, Default)]
pub struct Feed {
    /// The store's version up to which all changes are known.
    version: u64,
    /// Whether all targets have been read once; an empty store's version is 0.
    known: bool,
    /// All changes after this version are kept.
    floor: u64,
    kept: VecDeque<Change>,
    /// Batches that came before those that they follow: they take different ways.
    held: Vec<Batch>,
}

impl Feed {
    /// Whether all targets have been read once.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// The store's version up to which all changes are known.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The version of the newest change; who knows the targets at this version
    /// or a later one lacks none of the changes that are known here.
    pub fn newest(&self) -> u64 {
        let last = self.kept.back().map(|change| change.version);
        last.unwrap_or_default().max(self.floor)
    }

    /// Whether a whole read at a version is older than what is known.
    #[must_use]
    pub const fn is_ahead_of(&self, version: u64) -> bool {
        self.known && self.version > version
    }

    /// Those of `changes` that are not known yet. The store's answer can be
    /// older than what a peer told meanwhile, and a target that leaves would
    /// take requests again.
    #[must_use]
    pub fn unknown(&self, changes: Vec<Change>) -> Vec<Change> {
        let unknown = changes.into_iter().filter(|c| c.version > self.version);
        unknown.collect()
    }

    /// Changes after this version are kept; who knows less must read all targets.
    pub const fn floor(&self) -> u64 {
        self.floor
    }

    /// Orders a batch that came: returns it if it is to be taken in now, and holds it
    /// back if it follows changes that are not known yet.
    pub fn order(&mut self, batch: Batch) -> Option<Batch> {
        if batch.after <= self.version {
            return None;
        }
        if batch.before <= self.version {
            return Some(batch);
        }
        let known = self.held.iter().any(|held| held.after == batch.after);
        if !known && self.held.len() < MAX_HELD {
            self.held.push(batch);
        }
        None
    }

    /// The next batch that was held back and follows what is known now.
    pub fn next_held(&mut self) -> Option<Batch> {
        let version = self.version;
        self.held.retain(|batch| batch.after > version);
        let next = self.held.iter().position(|batch| batch.before <= version)?;
        Some(self.held.swap_remove(next))
    }

    /// The newest version that was heard of while changes before it are missing.
    pub fn held(&self) -> Option<u64> {
        self.held.iter().map(|batch| batch.after).max()
    }

    /// Starts anew at a version, after a whole read.
    pub fn restart(&mut self, version: u64) {
        self.known = true;
        self.version = version;
        self.floor = version;
        self.kept.clear();
    }

    /// Takes in changes up to a version.
    pub fn extend(&mut self, changes: &[Change], version: u64) {
        self.kept.extend(changes.iter().cloned());
        self.version = self.version.max(version);
        while self.kept.len() > MAX_KEPT {
            if let Some(dropped) = self.kept.pop_front() {
                self.floor = self.floor.max(dropped.version);
            }
        }
    }

    /// The changes after a version, if all of them are kept.
    pub fn after(&self, version: u64) -> Option<Vec<Change>> {
        if version < self.floor {
            return None;
        }
        let later = self.kept.iter().filter(|c| c.version > version);
        Some(later.cloned().collect())
    }
}
