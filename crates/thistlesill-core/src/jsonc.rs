//! JSON with comments, with errors that name line and column.
//!
//! Comments and trailing commas are blanked in place, so that the positions
//! that `serde_json` reports are those of the original text.

use std::fmt;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::suggest::nearest;

/// A place in a text: line and column from 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    /// Line from 1.
    pub line: usize,
    /// Column from 1, in bytes.
    pub column: usize,
}

impl Place {
    /// The place of a byte offset in `text`.
    pub fn of(text: &str, offset: usize) -> Self {
        let before = &text.as_bytes()[..offset.min(text.len())];
        let line = text[..offset.min(text.len())].matches('\n').count() + 1;
        let start = before
            .iter()
            .rposition(|b| *b == b'\n')
            .map_or(0, |p| p + 1);
        Self {
            line,
            column: before.len() - start + 1,
        }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Why a text was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {text}"))]
pub struct JsoncError {
    /// Where.
    pub place: Place,
    /// What is wrong and what would be right.
    pub text: String,
}

/// Reads a value from JSON with comments.
///
/// # Errors
///
/// A [`JsoncError`] with the place of a syntax error, an unknown field (with
/// the nearest known one) or a value of the wrong type.
pub fn from_str<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let plain = blank(text)?;
    serde_json::from_str(&plain).map_err(|e| JsoncError {
        place: Place {
            line: e.line(),
            column: e.column(),
        },
        text: explain(&e.to_string()),
    })
}

/// The place of the value at a path of object keys, or of the deepest part
/// of the path that exists.
pub fn locate(text: &str, path: &[&str]) -> Place {
    let Ok(parsed) = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
    else {
        return Place { line: 1, column: 1 };
    };
    let mut offset = 0;
    let mut value = parsed.value.as_ref();
    for key in path {
        let Some(Value::Object(object)) = value else {
            break;
        };
        let Some(prop) = object.properties.iter().find(|p| p.name.as_str() == *key) else {
            break;
        };
        offset = prop.range.start;
        value = Some(&prop.value);
    }
    Place::of(text, offset)
}

/// Replaces comments and trailing commas by spaces.
fn blank(text: &str) -> Result<String, JsoncError> {
    let collect = CollectOptions {
        comments: CommentCollectionStrategy::Separate,
        tokens: true,
    };
    let parsed =
        parse_to_ast(text, &collect, &ParseOptions::default()).map_err(|e| JsoncError {
            place: Place::of(text, e.range().start),
            text: e.kind().to_string(),
        })?;
    let mut bytes = text.as_bytes().to_vec();
    let lists = parsed.comments.iter().flat_map(|map| map.values());
    for comment in lists.flat_map(|list| list.iter()) {
        wipe(&mut bytes, comment.start(), comment.end());
    }
    let tokens = parsed.tokens.unwrap_or_default();
    for pair in tokens.windows(2) {
        let closes = matches!(pair[1].token, Token::CloseBrace | Token::CloseBracket);
        if pair[0].token == Token::Comma && closes {
            wipe(&mut bytes, pair[0].start(), pair[0].end());
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn wipe(bytes: &mut [u8], start: usize, end: usize) {
    for b in &mut bytes[start..end] {
        if *b != b'\n' {
            *b = b' ';
        }
    }
}

/// Adds the nearest known word to an error about an unknown one, and drops
/// the position that `serde_json` appends.
fn explain(message: &str) -> String {
    let text = message.split(" at line ").next().unwrap_or(message);
    if !text.starts_with("unknown ") {
        return text.to_owned();
    }
    let mut words = text.split('`').skip(1).step_by(2);
    let Some(wrong) = words.next() else {
        return text.to_owned();
    };
    match nearest(wrong, words) {
        Some(right) => format!("{text}; did you mean `{right}`?"),
        None => text.to_owned(),
    }
}
