//! The headers of a caller's request.

use salvo::prelude::Request;
use thistlesill_core::error::ErrorBody;
use thistlesill_core::event_id::EventId;
use thistlesill_core::{ErrorKind, Millis};

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Characters of an idempotency key at most.
const MAX_KEY: usize = 128;
/// Header with the caller's deadline in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the caller's priority.
const PRIORITY_HEADER: &str = "x-priority";
/// Header that marks a request as not repeatable.
const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header with the id of the last event that the caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// The headers that matter to every request.
pub(super) struct Head {
    /// How long the caller waits.
    pub(super) deadline: Option<Millis>,
    /// Its rank.
    pub(super) priority: Option<u8>,
    /// Whether the request may run more than once.
    pub(super) repeatable: Option<bool>,
    /// Its idempotency key.
    pub(super) key: Option<String>,
}

impl Head {
    pub(super) fn read(req: &Request) -> Result<Self, ErrorBody> {
        Ok(Self {
            deadline: parsed(req, DEADLINE_HEADER)?.map(Millis::new),
            priority: parsed(req, PRIORITY_HEADER)?,
            repeatable: parsed(req, REPEATABLE_HEADER)?,
            key: idempotency_key(req)?,
        })
    }
}

fn parsed<T: std::str::FromStr>(req: &Request, name: &str) -> Result<Option<T>, ErrorBody> {
    let Some(text) = text_header(req, name) else {
        return Ok(None);
    };
    let value = text.trim().parse();
    value.map(Some).map_err(|_| {
        bad(&format!(
            "the header `{name}` has a value that is not understood"
        ))
    })
}

fn idempotency_key(req: &Request) -> Result<Option<String>, ErrorBody> {
    let Some(key) = text_header(req, KEY_HEADER) else {
        return Ok(None);
    };
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if key.is_empty() || key.len() > MAX_KEY || !key.chars().all(plain) {
        let text = "an Idempotency-Key has 1 to 128 letters, digits, `-`, `_`, `.` or `:`";
        return Err(bad(text));
    }
    Ok(Some(key))
}

pub(super) fn resume_point(req: &Request) -> Result<Option<EventId>, ErrorBody> {
    let Some(text) = text_header(req, LAST_EVENT_HEADER) else {
        return Ok(None);
    };
    let id = text.parse::<EventId>();
    id.map(Some)
        .map_err(|e| bad(&format!("the header `{LAST_EVENT_HEADER}`: {e}")))
}

pub(super) fn text_header(req: &Request, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    // A value that is no text must not pass for a missing one.
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

pub(super) fn bad(text: &str) -> ErrorBody {
    ErrorBody::new(ErrorKind::BadRequest, None).message(text)
}
