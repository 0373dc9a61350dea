//! `thistlesill explain losses` and `explain refusal`, which read log lines of daemons.

use std::io::Read as _;
use std::path::PathBuf;

use snafu::ResultExt;
use thistlesill_net::files::FileError;

use super::to_json;
use crate::failure::{Failure, FileSnafu};
use crate::{losses, refusal};

/// Shows why requests were late or not served.
pub(super) fn losses(files: &[PathBuf], json: bool) -> Result<String, Failure> {
    let losses = losses::read(read(files)?.lines());
    if json {
        return Ok(to_json(&losses));
    }
    Ok(losses.to_string())
}

/// Shows why a request was refused.
pub(super) fn refusal(id: &str, files: &[PathBuf], json: bool) -> Result<String, Failure> {
    let text = read(files)?;
    let explanation = refusal::explain(id, text.lines()).ok_or_else(|| Failure::NotFound {
        text: format!("no line of request {id} was found"),
    })?;
    if json {
        return Ok(to_json(&explanation));
    }
    Ok(explanation.to_string())
}

/// Reads log lines from files, or from standard input without any. Bytes that are not UTF-8 are
/// replaced.
fn read(files: &[PathBuf]) -> Result<String, Failure> {
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
        // The last line of a daemon that was killed may have no end.
        bytes.push(b'\n');
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
