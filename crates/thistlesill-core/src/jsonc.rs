//! Parsing of JSON with comments, with errors that name line and column.
//!
//! Comments and trailing commas are replaced by spaces in place, so that the positions that
//! `serde_json` reports are valid in the original text.

use std::fmt;

use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::tokens::Token;
use jsonc_parser::{CollectOptions, CommentCollectionStrategy, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::suggest::nearest;

/// A position in a text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Line number, from 1.
    pub line: usize,
    /// Column number in bytes, from 1.
    pub column: usize,
}

impl Position {
    /// Returns the position of a byte offset in `text`.
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

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// The error for text that is not the expected JSON with comments.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{position}: {text}"))]
pub struct JsoncError {
    /// Position of the error.
    pub position: Position,
    /// What is wrong, and what is expected instead.
    pub text: String,
}

/// Parses a value from JSON with comments and trailing commas.
///
/// # Errors
///
/// Returns a [`JsoncError`] with the position of a syntax error, an unknown field (and the most
/// similar known one) or a value of the wrong type.
pub fn from_str<T: DeserializeOwned>(text: &str) -> Result<T, JsoncError> {
    let plain = blank_comments(text)?;
    serde_json::from_str(&plain).map_err(|e| JsoncError {
        position: Position {
            line: e.line(),
            column: e.column(),
        },
        text: improve_message(&e.to_string()),
    })
}

/// Returns the position of the property at a path of object keys, or of the deepest part of the
/// path that exists; the start of the text if the text cannot be parsed.
pub fn locate(text: &str, path: &[&str]) -> Position {
    let Ok(parsed) = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
    else {
        return Position { line: 1, column: 1 };
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
    Position::of(text, offset)
}

/// Replaces comments and trailing commas by spaces, keeping all positions.
fn blank_comments(text: &str) -> Result<String, JsoncError> {
    let collect = CollectOptions {
        comments: CommentCollectionStrategy::Separate,
        tokens: true,
    };
    let parsed =
        parse_to_ast(text, &collect, &ParseOptions::default()).map_err(|e| JsoncError {
            position: Position::of(text, e.range().start),
            text: e.kind().to_string(),
        })?;
    let mut bytes = text.as_bytes().to_vec();
    let lists = parsed.comments.iter().flat_map(|map| map.values());
    for comment in lists.flat_map(|list| list.iter()) {
        fill_with_spaces(&mut bytes, comment.start(), comment.end());
    }
    let tokens = parsed.tokens.unwrap_or_default();
    for pair in tokens.windows(2) {
        let closes = matches!(pair[1].token, Token::CloseBrace | Token::CloseBracket);
        if pair[0].token == Token::Comma && closes {
            fill_with_spaces(&mut bytes, pair[0].start(), pair[0].end());
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn fill_with_spaces(bytes: &mut [u8], start: usize, end: usize) {
    for b in &mut bytes[start..end] {
        if *b != b'\n' {
            *b = b' ';
        }
    }
}

/// Removes the position that `serde_json` appends to its messages, and adds a suggestion to
/// messages about an unknown field or variant.
fn improve_message(message: &str) -> String {
    let text = message.split(" at line ").next().unwrap_or(message);
    if !text.starts_with("unknown ") {
        return text.to_owned();
    }
    let mut words = text.split('`').skip(1).step_by(2);
    let Some(unknown) = words.next() else {
        return text.to_owned();
    };
    match nearest(unknown, words) {
        Some(suggestion) => format!("{text}; did you mean `{suggestion}`?"),
        None => text.to_owned(),
    }
}
