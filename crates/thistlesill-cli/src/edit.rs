//! Edits of the tree of settings: one transaction each, conditional on the
//! revision that the edit was made from.

use std::collections::BTreeMap;

use thistlesill_core::RequestId;
use thistlesill_core::row::{
    EDIT_PREFIX, EditRow, HEAD_KEY, HeadRow, SETTINGS_PREFIX, branch_key, edit_key,
};
use thistlesill_core::settings::{Branch, Tree, TreeDiff, check};
use thistlesill_core::table::{Rows, Txn, TxnReply, TxnResult};
use thistlesill_net::http::HttpError;
use thistlesill_net::platform::Platform;
use thistlesill_net::sync::tree_from_rows;

/// Tries of a transaction whose answer is lost.
const TRIES: u32 = 4;

/// The tree in force with the versions that guard it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Current {
    /// The tree; empty at revision 0 if there is none yet.
    pub tree: Tree,
    /// The version of the head's row; 0 for none.
    pub head_version: u64,
    /// The edits, the oldest first.
    pub edits: Vec<EditRow>,
}

/// What an edit wants to do.
#[derive(Debug, Clone, PartialEq)]
pub struct Wish {
    /// The revision that it was made from.
    pub base: u64,
    /// The whole tree that it wants.
    pub branches: BTreeMap<String, Branch>,
    /// Names the edit.
    pub edit: RequestId,
    /// Who.
    pub editor: String,
    /// Why.
    pub note: String,
    /// Whether to carry the changes over to the revision in force.
    pub rebase: bool,
}

/// What became of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// It is in force.
    Accepted {
        /// Its revision.
        revision: u64,
        /// What it changed.
        changes: TreeDiff,
    },
    /// It would change nothing.
    Nothing {
        /// The revision in force.
        revision: u64,
    },
    /// Others changed the tree first.
    Conflict {
        /// The revision in force.
        revision: u64,
        /// What others changed since the base.
        theirs: TreeDiff,
        /// The branches that both changed.
        both: Vec<String>,
    },
    /// The tree after the rebase does not pass its check.
    Unsound {
        /// What is wrong.
        faults: Vec<String>,
    },
    /// It is not known whether it took effect.
    Unknown,
}

/// Reads the tree in force.
///
/// # Errors
///
/// Any [`HttpError`].
pub async fn read(platform: &Platform) -> Result<Current, HttpError> {
    let prefixes = vec![SETTINGS_PREFIX.into(), EDIT_PREFIX.into()];
    Ok(current_of(&platform.read(prefixes).await?))
}

/// The tree in force from its rows.
pub fn current_of(rows: &Rows) -> Current {
    let edits = rows.rows.iter().filter(|r| r.key.starts_with(EDIT_PREFIX));
    Current {
        tree: tree_from_rows(rows).unwrap_or_default(),
        head_version: rows.find(HEAD_KEY).map_or(0, |r| r.version),
        edits: edits.filter_map(|r| r.decode().ok()).collect(),
    }
}

/// The tree as it was at a revision.
pub fn tree_at(current: &Current, revision: u64) -> Tree {
    let later = current.edits.iter().rev();
    let mut tree = current.tree.clone();
    for edit in later.filter(|e| e.revision > revision) {
        let undo = TreeDiff {
            changes: edit.before.clone(),
        };
        tree = tree.apply(edit.revision - 1, &undo);
    }
    tree
}

/// Tries to put an edit in force.
///
/// # Errors
///
/// Any [`HttpError`] of reading the tree; the edit then did not take effect.
pub async fn put(platform: &Platform, wish: &Wish) -> Result<Outcome, HttpError> {
    let mut current = read(platform).await?;
    for _ in 0..TRIES {
        if let Some(edit) = current.edits.iter().find(|e| e.edit == wish.edit) {
            return Ok(Outcome::Accepted {
                revision: edit.revision,
                changes: TreeDiff {
                    changes: edit.changes.clone(),
                },
            });
        }
        let changes = match plan(&current, wish) {
            Ok(changes) => changes,
            Err(outcome) => return Ok(*outcome),
        };
        let revision = current.tree.revision() + 1;
        let result = platform.txn(&transaction(&current, wish, &changes)).await;
        if let TxnResult::Replied(TxnReply::Committed { .. }) = result {
            return Ok(Outcome::Accepted { revision, changes });
        }
        // Refused or not answered: the table says which.
        match read(platform).await {
            Ok(rows) => current = rows,
            Err(_) if result == TxnResult::Unknown => return Ok(Outcome::Unknown),
            Err(error) => return Err(error),
        }
    }
    Ok(Outcome::Unknown)
}

/// What an edit changes in the tree in force, or why it cannot.
///
/// # Errors
///
/// The [`Outcome`] that ends the edit.
pub fn plan(current: &Current, wish: &Wish) -> Result<TreeDiff, Box<Outcome>> {
    let revision = current.tree.revision();
    let base = tree_at(current, wish.base);
    let mine = base.diff(&wish.branches);
    if wish.base != revision {
        let theirs = base.diff(current.tree.branches());
        let both: Vec<String> = mine
            .changes
            .keys()
            .filter(|path| theirs.changes.contains_key(*path))
            .cloned()
            .collect();
        if !wish.rebase || !both.is_empty() {
            return Err(Box::new(Outcome::Conflict {
                revision,
                theirs,
                both,
            }));
        }
    }
    if mine.changes.is_empty() {
        return Err(Box::new(Outcome::Nothing { revision }));
    }
    let next = current.tree.apply(revision + 1, &mine);
    let faults = check(next.branches());
    if faults.is_empty() {
        Ok(mine)
    } else {
        let faults = faults.iter().map(ToString::to_string).collect();
        Err(Box::new(Outcome::Unsound { faults }))
    }
}

fn transaction(current: &Current, wish: &Wish, diff: &TreeDiff) -> Txn {
    let revision = current.tree.revision() + 1;
    let old = current.tree.branches();
    let before = diff
        .changes
        .keys()
        .map(|p| (p.clone(), old.get(p).cloned()));
    let edit = EditRow {
        revision,
        edit: wish.edit,
        editor: wish.editor.clone(),
        note: wish.note.clone(),
        changes: diff.changes.clone(),
        before: before.collect(),
    };
    let mut txn = Txn::new()
        .at(HEAD_KEY, current.head_version)
        .put(HEAD_KEY, &HeadRow { revision })
        .put(edit_key(revision), &edit);
    for (path, change) in &diff.changes {
        txn = match change {
            Some(branch) => txn.put(branch_key(path), branch),
            None => txn.delete(branch_key(path)),
        };
    }
    txn
}
