//! Edits of the settings tree: one transaction each, conditional on the revision that the edit was
//! made from or rebased to.

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

/// The number of attempts of an edit whose transaction was refused or not answered.
const MAX_ATTEMPTS: u32 = 4;

/// The tree in force, with the row version that a transaction is conditional on.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Current {
    /// The tree; empty at revision 0 if there is none yet.
    pub tree: Tree,
    /// The version of the head's row; 0 for none.
    pub head_version: u64,
    /// The accepted edits, oldest first.
    pub edits: Vec<EditRow>,
}

/// An edit to be put in force.
#[derive(Debug, Clone, PartialEq)]
pub struct EditRequest {
    /// The revision that the edit was made from.
    pub base: u64,
    /// The complete tree after the edit.
    pub branches: BTreeMap<String, Branch>,
    /// The id of the edit, by which a retry finds it accepted.
    pub edit: RequestId,
    /// The editor's name, for the history.
    pub editor: String,
    /// The reason for the edit, for the history.
    pub note: String,
    /// Whether to carry the changes over to the revision in force.
    pub rebase: bool,
}

/// The result of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The edit is in force.
    Accepted {
        /// The revision of the edit.
        revision: u64,
        /// The changes of the edit.
        changes: TreeDiff,
    },
    /// The edit would change nothing.
    Unchanged {
        /// The revision in force.
        revision: u64,
    },
    /// Another edit changed the tree first.
    Conflict {
        /// The revision in force.
        revision: u64,
        /// The changes of others since the base.
        theirs: TreeDiff,
        /// The paths of the branches that both changed.
        both: Vec<String>,
    },
    /// The tree after the edit does not pass its check.
    Invalid {
        /// The errors that the check found.
        errors: Vec<String>,
    },
    /// It is not known whether the edit took effect.
    Unknown,
}

/// Reads the tree in force and its accepted edits.
///
/// # Errors
///
/// Any [`HttpError`].
pub async fn read(platform: &Platform) -> Result<Current, HttpError> {
    let prefixes = vec![SETTINGS_PREFIX.into(), EDIT_PREFIX.into()];
    Ok(current_of(&platform.read(prefixes).await?))
}

/// Builds the tree in force from the rows of one read.
pub fn current_of(rows: &Rows) -> Current {
    let edits = rows.rows.iter().filter(|r| r.key.starts_with(EDIT_PREFIX));
    Current {
        tree: tree_from_rows(rows).unwrap_or_default(),
        head_version: rows.find(HEAD_KEY).map_or(0, |r| r.version),
        edits: edits.filter_map(|r| r.decode().ok()).collect(),
    }
}

/// Returns the tree as it was at a revision, by undoing the later edits.
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
pub async fn put(platform: &Platform, request: &EditRequest) -> Result<Outcome, HttpError> {
    let mut current = read(platform).await?;
    for _ in 0..MAX_ATTEMPTS {
        if let Some(edit) = current.edits.iter().find(|e| e.edit == request.edit) {
            return Ok(Outcome::Accepted {
                revision: edit.revision,
                changes: TreeDiff {
                    changes: edit.changes.clone(),
                },
            });
        }
        let changes = match plan(&current, request) {
            Ok(changes) => changes,
            Err(outcome) => return Ok(*outcome),
        };
        let revision = current.tree.revision() + 1;
        let result = platform
            .txn(&transaction(&current, request, &changes))
            .await;
        if let TxnResult::Replied(TxnReply::Committed { .. }) = result {
            return Ok(Outcome::Accepted { revision, changes });
        }
        // The transaction was refused or not answered: reading the table tells whether the edit
        // took effect.
        match read(platform).await {
            Ok(rows) => current = rows,
            Err(_) if result == TxnResult::Unknown => return Ok(Outcome::Unknown),
            Err(error) => return Err(error),
        }
    }
    Ok(Outcome::Unknown)
}

/// Returns the changes that an edit makes to the tree in force.
///
/// # Errors
///
/// The [`Outcome`] of an edit that conflicts, changes nothing or leads to an invalid tree.
pub fn plan(current: &Current, request: &EditRequest) -> Result<TreeDiff, Box<Outcome>> {
    let revision = current.tree.revision();
    let base = tree_at(current, request.base);
    let mine = base.diff(&request.branches);
    if request.base != revision {
        let theirs = base.diff(current.tree.branches());
        let both: Vec<String> = mine
            .changes
            .keys()
            .filter(|path| theirs.changes.contains_key(*path))
            .cloned()
            .collect();
        if !request.rebase || !both.is_empty() {
            return Err(Box::new(Outcome::Conflict {
                revision,
                theirs,
                both,
            }));
        }
    }
    if mine.changes.is_empty() {
        return Err(Box::new(Outcome::Unchanged { revision }));
    }
    let next = current.tree.apply(revision + 1, &mine);
    let errors = check(next.branches());
    if errors.is_empty() {
        Ok(mine)
    } else {
        let errors = errors.iter().map(ToString::to_string).collect();
        Err(Box::new(Outcome::Invalid { errors }))
    }
}

fn transaction(current: &Current, request: &EditRequest, diff: &TreeDiff) -> Txn {
    let revision = current.tree.revision() + 1;
    let old = current.tree.branches();
    let before = diff
        .changes
        .keys()
        .map(|p| (p.clone(), old.get(p).cloned()));
    let edit = EditRow {
        revision,
        edit: request.edit,
        editor: request.editor.clone(),
        note: request.note.clone(),
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
