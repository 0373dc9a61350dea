//! Reads and rewrites a JSON object without building its values, whose parsed form takes many times the
//! memory of their text.

use std::borrow::Cow;
use std::fmt;

use serde::de::{self, DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Deepest nesting of a body. Targets parse it recursively.
const MAX_DEPTH: usize = 128;

/// The fields of a request that the router reads, as their text.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct KnownFields<'a> {
    pub(super) model: Option<&'a RawValue>,
    pub(super) stream: Option<&'a RawValue>,
    pub(super) prompt: Option<&'a RawValue>,
    pub(super) messages: Option<&'a RawValue>,
}

impl<'a> KnownFields<'a> {
    /// Reads the fields of an object.
    ///
    /// # Errors
    ///
    /// Fails if the text is no object, is nested too deeply, or has one of the fields twice.
    pub(super) fn read(text: &'a str) -> serde_json::Result<Self> {
        let mut fields = Self::default();
        visit(text, |name, value| fields.set(name, value))?;
        Ok(fields)
    }

    fn set(&mut self, name: &str, value: &'a RawValue) -> Result<(), &'static str> {
        let field = match name {
            "model" => &mut self.model,
            "stream" => &mut self.stream,
            "prompt" => &mut self.prompt,
            "messages" => &mut self.messages,
            _ => return Ok(()),
        };
        match field.replace(value) {
            None => Ok(()),
            Some(_) => Err("a field is given twice"),
        }
    }
}

/// A field that replaces the one of the same name in an object, as its text.
pub(super) struct NewField<'a> {
    pub(super) name: &'static str,
    pub(super) value: Cow<'a, str>,
}

/// Returns the text of an object with some fields replaced.
///
/// # Errors
///
/// Fails if the text is no object.
pub(super) fn replace(text: &str, new: &[NewField<'_>]) -> serde_json::Result<Vec<u8>> {
    let mut out = Vec::with_capacity(text.len() + new.iter().map(|f| f.value.len()).sum::<usize>());
    let mut write = |name: &str, value: &str| {
        out.push(if out.is_empty() { b'{' } else { b',' });
        let name = serde_json::to_string(name).unwrap_or_default();
        out.extend_from_slice(name.as_bytes());
        out.push(b':');
        out.extend_from_slice(value.as_bytes());
    };
    visit(text, |name, value| {
        if new.iter().all(|field| field.name != name) {
            write(name, value.get());
        }
        Ok(())
    })?;
    for field in new {
        write(field.name, &field.value);
    }
    out.push(b'}');
    Ok(out)
}

/// Calls `visit` with the name and the text of each field of an object.
fn visit<'a>(
    text: &'a str,
    visit: impl FnMut(&str, &'a RawValue) -> Result<(), &'static str>,
) -> serde_json::Result<()> {
    if depth(text) > MAX_DEPTH {
        return Err(de::Error::custom("nested too deeply"));
    }
    let mut deserializer = serde_json::Deserializer::from_str(text);
    FieldVisitor(visit).deserialize(&mut deserializer)?;
    deserializer.end()
}

/// Returns the deepest nesting of lists and objects in a JSON text.
fn depth(text: &str) -> usize {
    let (mut depth, mut deepest) = (0_usize, 0);
    let (mut in_string, mut is_escaped) = (false, false);
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => {
                depth += 1;
                deepest = deepest.max(depth);
            }
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    deepest
}

struct FieldVisitor<F>(F);

impl<'a, F> DeserializeSeed<'a> for FieldVisitor<F>
where
    F: FnMut(&str, &'a RawValue) -> Result<(), &'static str>,
{
    type Value = ();

    fn deserialize<D: Deserializer<'a>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'a, F> Visitor<'a> for FieldVisitor<F>
where
    F: FnMut(&str, &'a RawValue) -> Result<(), &'static str>,
{
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'a>>(mut self, mut map: A) -> Result<(), A::Error> {
        while let Some(Name(name)) = map.next_key()? {
            let value: &RawValue = map.next_value()?;
            (self.0)(&name, value).map_err(de::Error::custom)?;
        }
        Ok(())
    }
}

/// The name of a field, borrowed unless it has escapes.
#[derive(Deserialize)]
struct Name<'a>(#[serde(borrow)] Cow<'a, str>);

/// A message of a chat, as far as the router reads it.
#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, default)]
    role: Option<&'a RawValue>,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

/// What the router reads of the messages of a chat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct MessageList {
    /// Number of messages.
    pub(super) count: usize,
    /// Whether each message has a role.
    pub(super) has_roles: bool,
    /// The first content that is a text.
    pub(super) first_text: Option<String>,
}

impl MessageList {
    /// Reads a list of messages; `None` if the text is no list.
    pub(super) fn read(messages: &RawValue) -> Option<Self> {
        let mut deserializer = serde_json::Deserializer::from_str(messages.get());
        deserializer.deserialize_seq(MessageVisitor).ok()
    }

    fn add(&mut self, message: Option<&Message<'_>>) {
        self.count += 1;
        let role = message.and_then(|message| message.role);
        self.has_roles &= role.is_some_and(|role| text_of(role).is_some());
        if self.first_text.is_none() {
            self.first_text = message.and_then(|m| m.content).and_then(text_of);
        }
    }
}

struct MessageVisitor;

impl<'a> Visitor<'a> for MessageVisitor {
    type Value = MessageList;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'a>>(self, mut list: A) -> Result<MessageList, A::Error> {
        let mut messages = MessageList {
            has_roles: true,
            ..MessageList::default()
        };
        while let Some(text) = list.next_element::<&RawValue>()? {
            let message = serde_json::from_str::<Message<'_>>(text.get());
            messages.add(message.ok().as_ref());
            if !messages.has_roles {
                // The rest does not matter.
                while list.next_element::<IgnoredAny>()?.is_some() {}
                break;
            }
        }
        Ok(messages)
    }
}

/// Returns a value if it is a string.
pub(super) fn text_of(value: &RawValue) -> Option<String> {
    serde_json::from_str(value.get()).ok()
}
