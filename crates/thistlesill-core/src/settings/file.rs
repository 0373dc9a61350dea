//! Parsing of settings files, with errors that name file, line and column.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{Branch, Fault, check};
use crate::jsonc::{self, Position};

/// Largest settings file that is parsed.
const MAX_FILE_BYTES: usize = 16 << 20;

/// A settings tree in the form that operators write.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TreeFile {
    /// Revision that the file is based on; `settings put` accepts the file only while that
    /// revision is in force.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Branches by path.
    pub branches: BTreeMap<String, Branch>,
}

/// The error for one fault in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{file}:{position}: {text}"))]
pub struct FileError {
    /// Name of the file.
    pub file: String,
    /// Position of the fault in the file.
    pub position: Position,
    /// What is wrong, and what is required instead.
    pub text: String,
}

/// Parses and validates the text of a settings file; `file` names the file in errors.
///
/// # Errors
///
/// Returns a single error for a syntax error, or else one error with a position for every fault
/// that [`check`] finds.
pub fn parse_file(file: &str, text: &str) -> Result<TreeFile, Vec<FileError>> {
    let error = |position, text| FileError {
        file: file.to_owned(),
        position,
        text,
    };
    if text.len() > MAX_FILE_BYTES {
        let text = format!(
            "the file has {} bytes; the limit is {MAX_FILE_BYTES}",
            text.len()
        );
        return Err(vec![error(Position { line: 1, column: 1 }, text)]);
    }
    let tree: TreeFile = jsonc::from_str(text).map_err(|e| vec![error(e.position, e.text)])?;
    let faults = check(&tree.branches);
    if faults.is_empty() {
        return Ok(tree);
    }
    let position = |fault: &Fault| {
        let field = fault.field.as_deref().unwrap_or_default();
        jsonc::locate(text, &["branches", &fault.path, field])
    };
    let errors = faults.iter().map(|f| error(position(f), f.to_string()));
    Err(errors.collect())
}
