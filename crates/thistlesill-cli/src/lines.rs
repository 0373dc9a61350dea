//! Reading of the daemons' log lines.

use std::collections::HashMap;

/// The `name=value` pairs of a line.
pub(crate) type Fields<'a> = HashMap<&'a str, &'a str>;

/// Returns the `name=value` pairs of a line; a value in quotes may contain blanks.
pub(crate) fn fields(line: &str) -> Fields<'_> {
    let mut found = Fields::new();
    let mut rest = line;
    while let Some((head, tail)) = rest.split_once('=') {
        let name = head.rsplit(char::is_whitespace).next().unwrap_or(head);
        let (value, later) = match tail.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => tail.split_once(char::is_whitespace).unwrap_or((tail, "")),
        };
        found.insert(name, value);
        rest = later;
    }
    found
}
