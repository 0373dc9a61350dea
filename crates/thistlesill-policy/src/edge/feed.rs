//! The changes of targets, kept by daemons that read the store for those that
//! follow them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use thistlesill_core::{InstanceId, Millis};

use super::book::Listing;

/// Batches that are held back, at most; who misses more asks for them anyway.
const MAX_HELD: usize = 32;

/// Claims that wait for their changes, at most: those of some seconds.
const MAX_CLAIMS: usize = 16;

/// Entries that are gone and kept for daemons that missed it. Of the others the newest
/// change of each target is kept, some 0.4 kB: while groups are first formed each changes
/// several times in seconds, and who lags behind what is kept reads all targets.
const MAX_GONE: usize = 3_000;

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

/// A change's version and the instance that it is of.
type Slot = (u64, InstanceId);

/// The targets' changes that a reader keeps for others, and what it knows.
#[derive(Debug, Default)]
pub struct Feed {
    /// The store's version up to which all changes are known.
    version: u64,
    /// Whether all targets have been read once; an empty store's version is 0.
    known: bool,
    /// All changes after this version are kept.
    floor: u64,
    /// The newest change of each target, by version.
    kept: BTreeMap<Slot, Listing>,
    /// The version under which the change of each target is kept.
    newest: HashMap<InstanceId, u64>,
    /// Those of the kept changes by which an entry is gone.
    gone: BTreeSet<Slot>,
    /// Batches that came before those that they follow: they take different ways.
    held: Vec<Batch>,
    /// Versions that a peer knew to be the newest at a moment, and that are not known yet.
    claims: Vec<Claim>,
}

/// Says that there was no change after a version at a moment.
#[derive(Debug, Clone, Copy)]
struct Claim {
    version: u64,
    at: Millis,
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
        let last = self.kept.last_key_value().map(|((version, _), _)| *version);
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

    /// Takes in that a version was the newest at a moment; returns that moment if all changes
    /// up to it are known.
    ///
    /// While targets change all the time a daemon is always some tenths of a second behind
    /// what it is told of. Without its claims being kept, what it knew seemed to grow old, and
    /// each of 984 daemons read the store six times before the first request.
    pub fn claim(&mut self, version: u64, at: Millis) -> Option<Millis> {
        if self.known && version <= self.version {
            return Some(at);
        }
        if self.claims.len() == MAX_CLAIMS {
            self.claims.remove(0);
        }
        self.claims.push(Claim { version, at });
        None
    }

    /// The latest moment of the claims whose changes have come since; they are forgotten.
    pub fn reached(&mut self) -> Option<Millis> {
        let version = self.version;
        let reached = self.claims.extract_if(.., |claim| claim.version <= version);
        reached.map(|claim| claim.at).max()
    }

    /// Starts anew at a version, after a whole read.
    pub fn restart(&mut self, version: u64) {
        self.known = true;
        self.version = version;
        self.floor = version;
        self.kept.clear();
        self.newest.clear();
        self.gone.clear();
    }

    /// Takes in changes up to a version.
    pub fn extend(&mut self, changes: &[Change], version: u64) {
        for change in changes {
            self.keep(change);
        }
        self.version = self.version.max(version);
        while self.gone.len() > MAX_GONE {
            if let Some(slot) = self.gone.pop_first() {
                self.floor = self.floor.max(slot.0);
                self.newest.remove(&slot.1);
                self.kept.remove(&slot);
            }
        }
    }

    /// Keeps a change in place of the one before it of the same target: what the target
    /// is now is all that those who missed both need.
    fn keep(&mut self, change: &Change) {
        let instance = change.what.instance();
        if let Some(before) = self.newest.insert(instance.clone(), change.version) {
            let slot = (before, instance.clone());
            self.kept.remove(&slot);
            self.gone.remove(&slot);
        }
        let slot = (change.version, instance.clone());
        if !matches!(change.what, Listing::Listed(_)) {
            self.gone.insert(slot.clone());
        }
        self.kept.insert(slot, change.what.clone());
    }

    /// The newest changes after a version, of all targets that changed, if all are kept.
    pub fn after(&self, version: u64) -> Option<Vec<Change>> {
        if version < self.floor {
            return None;
        }
        let first = (version.saturating_add(1), InstanceId::default());
        let changes = self.kept.range(first..).map(|((version, _), what)| Change {
            version: *version,
            what: what.clone(),
        });
        Some(changes.collect())
    }
}
