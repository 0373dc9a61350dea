//! `thistlesill explain losses`.

use std::io::Read as _;
use std::path::PathBuf;

use snafu::ResultExt;
use thistlesill_net::files::FileError;

use super::to_json;
use crate::failure::{Failure, FileSnafu};
use crate::losses::read;

/// Reads log lines of daemons from files, or from standard input without any, and shows why
/// requests were late or not served. Bytes that are not UTF-8 are replaced.
pub(super) fn show(files: &[PathBuf], json: bool) -> Result<String, Failure> {
    let mut bytes = Vec::new();
    if files.is_empty() {
        let path = PathBuf::from("standard input");
        let read = std::io::stdin().read_to_end(&mut bytes);
        read.map_err(|source| FileError::Unreadable { path, source })
            .context(FileSnafu)?;
    }
    for path in files {
        let text = std::fs::read(path);
        let path = path.clone();
        let text = text.map_err(|source| FileError::Unreadable { path, source });
        bytes.extend(text.context(FileSnafu)?);
    }
    let losses = read(String::from_utf8_lossy(&bytes).lines());
    if json {
        return Ok(to_json(&losses));
    }
    Ok(losses.to_string())
}
