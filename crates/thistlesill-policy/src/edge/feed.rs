//! Log of target changes that readers of the store keep for the daemons that follow them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};

use thistlesill_core::{InstanceId, Millis};

use super::book::Listing;

/// Maximum number of buffered batches; a daemon that misses more requests them anyway.
const MAX_HELD: usize = 32;

/// Maximum number of claims that wait for their changes: those of a few seconds.
const MAX_CLAIMS: usize = 16;

/// Maximum number of removed entries that are kept for daemons that missed the removal. Of all
/// other targets the newest change is kept, about 0.4 kB each: while groups are first formed each
/// target changes several times within seconds, and a daemon that falls behind what is kept reads
/// all targets.
const MAX_GONE: usize = 3_000;

/// One change of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Store version of the change.
    pub version: u64,
    /// The target's entry after the change.
    pub entry: Listing,
}

/// Changes of targets from one store version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Store version that the changes apply to: with them, a daemon that knows the targets at this
    /// version knows them at `after`.
    pub before: u64,
    /// Store version of the newest change.
    pub after: u64,
    /// The changes up to `after`.
    pub changes: Vec<Change>,
    /// How long the store has answered the sender without interruption.
    pub store_uptime: Option<Millis>,
}

/// Store version of a change and the instance that changed.
type ChangeKey = (u64, InstanceId);

/// Log of target changes that a reader of the store keeps for other daemons.
#[derive(Debug, Default)]
pub struct Feed {
    /// Store version up to which all changes are known.
    version: u64,
    /// Whether all targets have been read once; the version of an empty store is 0.
    known: bool,
    /// All changes after this version are kept.
    floor: u64,
    /// Newest change of each target, by version.
    kept: BTreeMap<ChangeKey, Listing>,
    /// Version under which the change of each target is kept.
    newest: HashMap<InstanceId, u64>,
    /// Keys of the kept changes that remove an entry.
    gone: BTreeSet<ChangeKey>,
    /// Batches that arrived before the ones they follow, since batches take different paths.
    held: Vec<Batch>,
    /// Versions that a peer knew to be the newest at some time and that are not reached yet.
    claims: Vec<Claim>,
}

/// A peer's statement that the store had no change after `version` at the time `at`.
#[derive(Debug, Clone, Copy)]
struct Claim {
    version: u64,
    at: Millis,
}

impl Feed {
    /// Returns whether all targets have been read once.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Returns the store version up to which all changes are known.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the version of the newest change. A daemon that knows the targets at this version or
    /// a later one lacks none of the changes known here.
    pub fn newest(&self) -> u64 {
        let last = self.kept.last_key_value().map(|((version, _), _)| *version);
        last.unwrap_or_default().max(self.floor)
    }

    /// Returns whether a full read at `version` is older than what is known.
    #[must_use]
    pub const fn is_ahead_of(&self, version: u64) -> bool {
        self.known && self.version > version
    }

    /// Returns those of `changes` that are not known yet. The store's answer can be older than what
    /// a peer has sent meanwhile, and with it a target that leaves would get requests again.
    #[must_use]
    pub fn unknown(&self, changes: Vec<Change>) -> Vec<Change> {
        let unknown = changes.into_iter().filter(|c| c.version > self.version);
        unknown.collect()
    }

    /// Returns the version after which all changes are kept; a daemon at an older version must read
    /// all targets.
    pub const fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns a received batch if it can be applied now. A batch that follows unknown changes is
    /// buffered.
    pub fn accept(&mut self, batch: Batch) -> Option<Batch> {
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

    /// Returns the next buffered batch that follows what is known now.
    pub fn next_held(&mut self) -> Option<Batch> {
        let version = self.version;
        self.held.retain(|batch| batch.after > version);
        let next = self.held.iter().position(|batch| batch.before <= version)?;
        Some(self.held.swap_remove(next))
    }

    /// Returns the newest version among the buffered batches, which wait for missing changes.
    pub fn newest_held(&self) -> Option<u64> {
        self.held.iter().map(|batch| batch.after).max()
    }

    /// Records that a version was the newest at the time `at`. Returns that time if all changes up
    /// to the version are known.
    ///
    /// While targets change all the time, a daemon is always some tenths of a second behind the
    /// versions that it receives. Without the kept claims its knowledge appeared to age, and each
    /// of 984 daemons read the store six times before the first request.
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

    /// Returns the latest time of the claims whose changes have arrived since, and removes those
    /// claims.
    pub fn resolve_claims(&mut self) -> Option<Millis> {
        let version = self.version;
        let reached = self.claims.extract_if(.., |claim| claim.version <= version);
        reached.map(|claim| claim.at).max()
    }

    /// Starts anew at a version, after a full read.
    pub fn restart(&mut self, version: u64) {
        self.known = true;
        self.version = version;
        self.floor = version;
        self.kept.clear();
        self.newest.clear();
        self.gone.clear();
    }

    /// Applies changes up to a version.
    pub fn extend(&mut self, changes: &[Change], version: u64) {
        for change in changes {
            self.keep(change);
        }
        self.version = self.version.max(version);
        while self.gone.len() > MAX_GONE {
            if let Some(key) = self.gone.pop_first() {
                self.floor = self.floor.max(key.0);
                self.newest.remove(&key.1);
                self.kept.remove(&key);
            }
        }
    }

    /// Keeps a change in place of the previous one of the same target: a daemon that missed both
    /// needs only the current state of the target.
    fn keep(&mut self, change: &Change) {
        let instance = change.entry.instance();
        if let Some(before) = self.newest.insert(instance.clone(), change.version) {
            let key = (before, instance.clone());
            self.kept.remove(&key);
            self.gone.remove(&key);
        }
        let key = (change.version, instance.clone());
        if !matches!(change.entry, Listing::Listed(_)) {
            self.gone.insert(key.clone());
        }
        self.kept.insert(key, change.entry.clone());
    }

    /// Returns the newest change of each target that changed after `version`; `None` if not all of
    /// these changes are kept.
    pub fn after(&self, version: u64) -> Option<Vec<Change>> {
        if version < self.floor {
            return None;
        }
        let first = (version.saturating_add(1), InstanceId::default());
        let changes = self
            .kept
            .range(first..)
            .map(|((version, _), entry)| Change {
                version: *version,
                entry: entry.clone(),
            });
        Some(changes.collect())
    }
}
