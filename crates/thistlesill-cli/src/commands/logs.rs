//! `thistlesill explain losses` and `explain refusal`, which read log lines of daemons.

use std::fs::File;
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
        let read = File::open(path).and_then(|mut file| file.read_to_end(&mut bytes));
        let path = path.clone();
        read.map_err(|source| FileError::Unreadable { path, source })
            .context(FileSnafu)?;
        // The last line of a daemon that was killed may have no end.
        bytes.push(b'\n');
    }
    Ok(into_text(bytes))
}

/// Converts bytes to text; only if some of them are not UTF-8, they are copied.
fn into_text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes)
        .unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned())
}

#[cfg(test)]
mod tests {
    use super::into_text;

    /// Guards against the text of all files being held twice.
    #[test]
    fn valid_text_is_not_copied() {
        let bytes = b"ev=request".to_vec();
        let start = bytes.as_ptr();
        let text = into_text(bytes);
        assert_eq!((text.as_ptr(), &*text), (start, "ev=request"));
    }

    /// Guards against files that cannot be read since a daemon was killed within a character.
    #[test]
    fn invalid_bytes_are_replaced() {
        assert_eq!(into_text(b"why=\xc3\n".to_vec()), "why=\u{fffd}\n");
    }
}
