//! The file form of a tree, with errors that name file, line and column.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Branch, Fault, check};
use crate::jsonc::{self, Place};

/// The most bytes of a tree's file.
const MAX_FILE: usize = 16 << 20;

/// A tree as operators write it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TreeFile {
    /// The revision that the file was made from; `settings put` accepts the
    /// file only while that revision is in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// The branches by path.
    pub branches: BTreeMap<String, Branch>,
}

/// Why a file was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{place}: {text}"))]
pub struct FileError {
    /// The file's name.
    pub file: String,
    /// The place in it.
    pub place: Place,
    /// What is wrong and what would be right.
    pub text: String,
}

/// Reads and checks a tree.
///
/// # Errors
///
/// One error per thing that is wrong: a syntax error alone, or all faults
/// that [`check`] finds, each with its place.
pub fn parse_file(file: &str, text: &str) -> Result<TreeFile, Vec<FileError>> {
    let error = |place, text| FileError {
        file: file.to_owned(),
        place,
        text,
    };
    if text.len() > MAX_FILE {
        let text = format!("the file has {} bytes; at most {MAX_FILE}", text.len());
        return Err(vec![error(Place { line: 1, column: 1 }, text)]);
    }
    let tree: TreeFile = jsonc::from_str(text).map_err(|e| vec![error(e.place, e.text)])?;
    let faults = check(&tree.branches);
    if faults.is_empty() {
        return Ok(tree);
    }
    let place = |fault: &Fault| {
        let field = fault.field.as_deref().unwrap_or_default();
        jsonc::locate(text, &["branches", &fault.path, field])
    };
    let errors = faults.iter().map(|f| error(place(f), f.to_string()));
    Err(errors.collect())
}
