//! Reading of the daemons' log lines.

use std::collections::HashMap;

/// The `name=value` pairs of a line.
pub(crate) type Fields<'a> = HashMap<&'a str, &'a str>;

/// Returns the `name=value` pairs of a line; a value in quotes may contain blanks.
pub(crate) fn fields(line: &str) -> Fields<'_> {
    pairs(line).collect()
}

/// Returns the first value with this name, without reading the rest of the line.
pub(crate) fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let found = pairs(line).find(|(other, _)| *other == name);
    found.map(|(_, value)| value)
}

fn pairs(line: &str) -> impl Iterator<Item = (&str, &str)> {
    let mut rest = line;
    std::iter::from_fn(move || {
        let (head, tail) = rest.split_once('=')?;
        let name = head.rsplit(char::is_whitespace).next().unwrap_or(head);
        let (value, later) = match tail.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => tail.split_once(char::is_whitespace).unwrap_or((tail, "")),
        };
        rest = later;
        Some((name, value))
    })
}
