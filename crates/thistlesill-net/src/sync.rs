//! Distribution of the settings: from the platform's table, or from a peer that has a newer
//! revision.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwapOption;
use thistlesill_core::config::PeerConfig;
use thistlesill_core::message::{ChangeEntry, StreamReply, StreamRequest};
use thistlesill_core::rendezvous::is_among;
use thistlesill_core::row::{BRANCH_PREFIX, EditRow, HEAD_KEY, HeadRow, SETTINGS_PREFIX, edit_key};
use thistlesill_core::settings::{Branch, Tree, TreeDiff, check};
use thistlesill_core::table::Rows;
use thistlesill_core::{HallId, Millis, NodeId};

use crate::peer::PeerLink;
use crate::platform::Platform;

/// The number of changes that are kept for peers with an older revision.
const MAX_CHANGES: usize = 64;

/// The settings in force, shared between the tasks of a process.
#[derive(Debug, Clone, Default)]
pub struct CurrentSettings {
    tree: Arc<ArcSwapOption<Tree>>,
    changes: Arc<Mutex<VecDeque<ChangeEntry>>>,
}

impl CurrentSettings {
    /// Returns the settings in force, or `None` before the first ones were read.
    pub fn get(&self) -> Option<Arc<Tree>> {
        self.tree.load_full()
    }

    /// Puts settings in force, unless their revision or a newer one already is.
    pub fn update(&self, tree: &Arc<Tree>) {
        let old = self.get();
        if old
            .as_ref()
            .is_some_and(|t| !t.is_older_than(tree.revision()))
        {
            return;
        }
        if let Some(old) = old {
            let diff = old.diff(tree.branches());
            let entry = ChangeEntry::new(old.revision(), tree.revision(), &diff);
            let mut changes = self.changes();
            changes.push_back(entry);
            if changes.len() > MAX_CHANGES {
                changes.pop_front();
            }
        }
        self.tree.store(Some(tree.clone()));
    }

    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.get().map_or(0, |t| t.revision())
    }

    /// Answers a peer's request with the changes since its revision if they are kept, or else with
    /// the complete tree.
    pub fn reply(&self, request: &StreamRequest) -> StreamReply {
        let StreamRequest::Settings { have } = request;
        let Some(tree) = self.get().filter(|t| t.revision() > *have) else {
            return StreamReply::Nothing;
        };
        let changes: Vec<ChangeEntry> = {
            let kept = self.changes();
            let since = kept.iter().skip_while(|c| c.from != *have);
            since.cloned().collect()
        };
        if changes.last().is_some_and(|c| c.to == tree.revision()) {
            return StreamReply::Changes { changes };
        }
        StreamReply::Settings {
            revision: tree.revision(),
            branches: tree.entries(),
        }
    }

    fn changes(&self) -> MutexGuard<'_, VecDeque<ChangeEntry>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Decides when this process reads the settings' head from the table, and when it may fetch
/// settings from a peer.
///
/// The two daemons of a hall that rank highest read the head every period. The others receive the
/// revision from them, and read the head every tenth period, in case they do not.
#[derive(Debug, Clone)]
pub struct HeadSchedule {
    local_name: NodeId,
    hall: HallId,
    period: Millis,
    /// When each daemon of the hall last announced its revision.
    neighbours: BTreeMap<NodeId, Millis>,
    last_read: Option<Millis>,
    last_fetch: Option<Millis>,
}

impl HeadSchedule {
    /// The number of daemons of a hall that read every period.
    const READERS: usize = 2;
    /// The number of periods between two reads of the other daemons.
    const OTHERS_READ_PERIODS: u64 = 10;
    /// The time after which a neighbour without messages counts as gone; neighbours send every two
    /// seconds.
    const NEIGHBOUR_TIMEOUT: Millis = Millis::new(7_000);

    /// Creates a schedule without known neighbours.
    pub const fn new(local_name: NodeId, hall: HallId, period_ms: u64) -> Self {
        Self {
            local_name,
            hall,
            period: Millis::new(period_ms),
            neighbours: BTreeMap::new(),
            last_read: None,
            last_fetch: None,
        }
    }

    /// Records that a peer announced its revision; peers of other halls are ignored.
    pub fn record_peer(&mut self, peer: &PeerConfig, now: Millis) {
        if peer.hall == self.hall {
            self.neighbours.insert(peer.name.clone(), now);
        }
    }

    /// Returns whether to read the head now, and records the read if so.
    pub fn is_due(&mut self, now: Millis) -> bool {
        self.neighbours
            .retain(|_, t| now - *t < Self::NEIGHBOUR_TIMEOUT);
        let names: Vec<NodeId> = self.neighbours.keys().cloned().collect();
        let reader = is_among(&self.local_name, &names, self.hall.as_str(), Self::READERS);
        let factor = if reader { 1 } else { Self::OTHERS_READ_PERIODS };
        let interval = Millis::new(self.period.get() * factor);
        let due = self.last_read.is_none_or(|t| now - t >= interval);
        if due {
            self.last_read = Some(now);
        }
        due
    }

    /// Returns whether to fetch newer settings from a peer now, and records the fetch if so.
    ///
    /// Fetches are at least a quarter of a period apart, so that newer settings that many peers
    /// announce are not fetched several times.
    pub fn may_fetch(&mut self, now: Millis) -> bool {
        let interval = Millis::new(self.period.get() / 4);
        let allowed = self.last_fetch.is_none_or(|t| now - t >= interval);
        if allowed {
            self.last_fetch = Some(now);
        }
        allowed
    }
}

/// Reads the settings from the table if they are newer than those in force: the edits since, or
/// the complete tree if these are many or not all there.
pub async fn fetch_from_platform(
    platform: &Platform,
    current: &CurrentSettings,
) -> Option<Arc<Tree>> {
    let have = current.get();
    let head = platform.read(vec![HEAD_KEY.into()]).await.ok()?;
    let revision = head.find(HEAD_KEY)?.decode::<HeadRow>().ok()?.revision;
    let known = have.as_ref().map_or(0, |t| t.revision());
    if revision <= known {
        return None;
    }
    if let Some(old) = have.filter(|_| revision - known <= MAX_CHANGES as u64) {
        let keys = (known + 1..=revision).map(|r| edit_key(r).into()).collect();
        let rows = platform.read(keys).await.ok()?;
        if let Some(tree) = apply_edits(&old, &rows, revision) {
            return Some(Arc::new(tree));
        }
    }
    let rows = platform.read(vec![SETTINGS_PREFIX.into()]).await.ok()?;
    tree_from_rows(&rows)
        .filter(|t| t.revision() > known)
        .map(Arc::new)
}

/// Applies the edits that lead to `revision`; returns `None` unless all are there and the result
/// passes its check.
fn apply_edits(old: &Tree, rows: &Rows, revision: u64) -> Option<Tree> {
    let mut tree = old.clone();
    for row in &rows.rows {
        let edit: EditRow = row.decode().ok()?;
        if edit.revision != tree.revision() + 1 {
            return None;
        }
        let diff = TreeDiff {
            changes: edit.changes,
        };
        tree = tree.apply(edit.revision, &diff);
    }
    let complete = tree.revision() == revision;
    complete.then(|| checked_tree(revision, tree.branches().clone()))?
}

/// Builds a tree from the rows of one read; returns `None` if a row is missing or malformed, or if
/// the tree does not pass its check.
pub fn tree_from_rows(rows: &Rows) -> Option<Tree> {
    let head: HeadRow = rows.find(HEAD_KEY)?.decode().ok()?;
    let mut branches = BTreeMap::new();
    for row in &rows.rows {
        if let Some(path) = row.key.strip_prefix(BRANCH_PREFIX) {
            branches.insert(path.to_owned(), row.decode::<Branch>().ok()?);
        }
    }
    checked_tree(head.revision, branches)
}

/// Reads the settings from a peer if they are newer than those in force.
pub async fn fetch_from_peer(
    link: &PeerLink,
    peer: SocketAddr,
    current: &CurrentSettings,
) -> Option<Arc<Tree>> {
    let have = current.revision();
    let reply = link
        .request(peer, &StreamRequest::Settings { have })
        .await
        .ok()?;
    let tree = match reply {
        StreamReply::Nothing => None,
        StreamReply::Changes { changes } => {
            let old = current.get()?;
            apply_changes(&old, &changes)
        }
        StreamReply::Settings { revision, branches } => {
            let mut read = BTreeMap::new();
            for entry in &branches {
                read.insert(entry.path.clone(), entry.branch().ok()?);
            }
            checked_tree(revision, read)
        }
    };
    tree.filter(|t| t.revision() > have).map(Arc::new)
}

/// Applies a peer's changes; returns `None` if they do not follow one another or the result does
/// not pass its check.
fn apply_changes(old: &Tree, changes: &[ChangeEntry]) -> Option<Tree> {
    let mut tree = old.clone();
    for change in changes {
        if change.from != tree.revision() || change.to <= change.from {
            return None;
        }
        tree = tree.apply(change.to, &change.diff().ok()?);
    }
    checked_tree(tree.revision(), tree.branches().clone())
}

fn checked_tree(revision: u64, branches: BTreeMap<String, Branch>) -> Option<Tree> {
    if check(&branches).is_empty() {
        Some(Tree::new(revision, branches))
    } else {
        log::error!("settings: revision {revision} does not pass its check and is ignored");
        None
    }
}
