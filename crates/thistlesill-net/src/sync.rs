//! How a daemon learns the settings: from the platform's table, or from a
//! peer that has a newer revision.

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

/// Changes that are kept for peers that lag behind.
const MAX_CHANGES: usize = 64;

/// The settings in force in a process, for its other tasks to read.
#[derive(Debug, Clone, Default)]
pub struct CurrentSettings {
    tree: Arc<ArcSwapOption<Tree>>,
    changes: Arc<Mutex<VecDeque<ChangeEntry>>>,
}

impl CurrentSettings {
    /// The settings in force.
    pub fn get(&self) -> Option<Arc<Tree>> {
        self.tree.load_full()
    }

    /// Puts settings in force, unless newer ones are.
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

    /// The revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.get().map_or(0, |t| t.revision())
    }

    /// Answers a peer's question: with the changes since its revision if
    /// they are kept, else with the whole tree.
    pub fn reply(&self, ask: &StreamRequest) -> StreamReply {
        let StreamRequest::Settings { have } = ask;
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

/// Decides when this process reads the settings' head from the table.
///
/// The two daemons of a hall that rank highest read it every period; the
/// others hear of it from them, and read it seldom, in case they do not.
#[derive(Debug, Clone)]
pub struct HeadWatch {
    me: NodeId,
    hall: HallId,
    period: Millis,
    neighbours: BTreeMap<NodeId, Millis>,
    read: Option<Millis>,
    fetched: Option<Millis>,
}

impl HeadWatch {
    /// Daemons of a hall that read every period.
    const READERS: usize = 2;
    /// Periods after which the others read, too.
    const SELDOM: u64 = 10;
    /// After which a silent neighbour counts as gone: it speaks every two
    /// seconds.
    const SILENT: Millis = Millis::new(7_000);

    /// A watch that has heard of no neighbours.
    pub const fn new(me: NodeId, hall: HallId, period_ms: u64) -> Self {
        Self {
            me,
            hall,
            period: Millis::new(period_ms),
            neighbours: BTreeMap::new(),
            read: None,
            fetched: None,
        }
    }

    /// Notes that a peer said which settings it has.
    pub fn heard(&mut self, peer: &PeerConfig, now: Millis) {
        if peer.hall == self.hall {
            self.neighbours.insert(peer.name.clone(), now);
        }
    }

    /// Whether to read the head now; counts as read from here on.
    pub fn is_due(&mut self, now: Millis) -> bool {
        self.neighbours.retain(|_, t| now - *t < Self::SILENT);
        let names: Vec<NodeId> = self.neighbours.keys().cloned().collect();
        let reader = is_among(&self.me, &names, self.hall.as_str(), Self::READERS);
        let factor = if reader { 1 } else { Self::SELDOM };
        let gap = Millis::new(self.period.get() * factor);
        let due = self.read.is_none_or(|t| now - t >= gap);
        if due {
            self.read = Some(now);
        }
        due
    }

    /// Whether to fetch newer settings from a peer now: not several times
    /// over, when many peers say that they have them.
    pub fn may_fetch(&mut self, now: Millis) -> bool {
        let gap = Millis::new(self.period.get() / 4);
        let free = self.fetched.is_none_or(|t| now - t >= gap);
        if free {
            self.fetched = Some(now);
        }
        free
    }
}

/// Reads the settings from the table if they are newer than those on the
/// shelf: the edits since, or the whole tree if these are many.
pub async fn from_platform(platform: &Platform, shelf: &CurrentSettings) -> Option<Arc<Tree>> {
    let have = shelf.get();
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

/// Applies the edits that lead to `revision`; `None` unless all are there.
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
    complete.then(|| sound(revision, tree.branches().clone()))?
}

/// Makes a tree of the rows of one read; `None` if they are not all sound.
pub fn tree_from_rows(rows: &Rows) -> Option<Tree> {
    let head: HeadRow = rows.find(HEAD_KEY)?.decode().ok()?;
    let mut branches = BTreeMap::new();
    for row in &rows.rows {
        if let Some(path) = row.key.strip_prefix(BRANCH_PREFIX) {
            branches.insert(path.to_owned(), row.decode::<Branch>().ok()?);
        }
    }
    sound(head.revision, branches)
}

/// Reads the settings from a peer if they are newer than those on the shelf.
pub async fn from_peer(
    link: &PeerLink,
    peer: SocketAddr,
    shelf: &CurrentSettings,
) -> Option<Arc<Tree>> {
    let have = shelf.revision();
    let reply = link
        .ask(peer, &StreamRequest::Settings { have })
        .await
        .ok()?;
    let tree = match reply {
        StreamReply::Nothing => None,
        StreamReply::Changes { changes } => {
            let old = shelf.get()?;
            apply_changes(&old, &changes)
        }
        StreamReply::Settings { revision, branches } => {
            let mut read = BTreeMap::new();
            for entry in &branches {
                read.insert(entry.path.clone(), entry.branch().ok()?);
            }
            sound(revision, read)
        }
    };
    tree.filter(|t| t.revision() > have).map(Arc::new)
}

/// Applies a peer's changes; `None` if they do not follow one another.
fn apply_changes(old: &Tree, changes: &[ChangeEntry]) -> Option<Tree> {
    let mut tree = old.clone();
    for change in changes {
        if change.from != tree.revision() || change.to <= change.from {
            return None;
        }
        tree = tree.apply(change.to, &change.diff().ok()?);
    }
    sound(tree.revision(), tree.branches().clone())
}

fn sound(revision: u64, branches: BTreeMap<String, Branch>) -> Option<Tree> {
    if check(&branches).is_empty() {
        Some(Tree::new(revision, branches))
    } else {
        log::error!("settings: revision {revision} does not pass its check and is not taken");
        None
    }
}
