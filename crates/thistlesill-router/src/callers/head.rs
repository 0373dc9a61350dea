//! Headers of callers' requests.

use salvo::prelude::Request;
use thistlesill_core::error::ErrorBody;
use thistlesill_core::event_id::EventId;
use thistlesill_core::{ErrorKind, Millis};

/// Request header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key.
const MAX_KEY_LEN: usize = 128;
/// Request header with the time limit in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header with the priority; lower goes first.
const PRIORITY_HEADER: &str = "x-priority";
/// Request header that says whether the request may run more than once.
const REPEATABLE_HEADER: &str = "x-repeatable";
/// Request header with the id of the last event that the caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Headers that apply to every request.
pub(super) struct Head {
    /// How long the caller waits for the answer.
    pub(super) deadline: Option<Millis>,
    /// Priority; lower goes first.
    pub(super) priority: Option<u8>,
    /// Whether the request may run more than once.
    pub(super) repeatable: Option<bool>,
    /// Idempotency key.
    pub(super) key: Option<String>,
}

impl Head {
    pub(super) fn read(req: &Request) -> Result<Self, ErrorBody> {
        Ok(Self {
            deadline: parse_header(req, DEADLINE_HEADER)?.map(Millis::new),
            priority: parse_header(req, PRIORITY_HEADER)?,
            repeatable: parse_header(req, REPEATABLE_HEADER)?,
            key: idempotency_key(req)?,
        })
    }
}

fn parse_header<T: std::str::FromStr>(req: &Request, name: &str) -> Result<Option<T>, ErrorBody> {
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
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if key.is_empty() || key.len() > MAX_KEY_LEN || !key.chars().all(allowed) {
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
    // A value that is not valid text must not be treated as a missing header.
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

pub(super) fn bad(text: &str) -> ErrorBody {
    ErrorBody::new(ErrorKind::BadRequest, None).message(text)
}
