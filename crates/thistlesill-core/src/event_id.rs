//! Ids of the events of a streamed answer.
//!
//! An event id is sent as the `id` of a server-sent event, from engine to router to caller, and
//! contains everything that any router needs to resume the stream.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

use crate::{GroupId, RequestId};

/// Longest text that is parsed as an event id.
const MAX_TEXT_BYTES: usize = 256;

/// Identifies one piece of a streamed answer.
///
/// # Examples
///
/// ```
/// use thistlesill_core::event_id::EventId;
/// let text = "0000000000000000000000000000002a/concord-1.4/16777220/7";
/// let id: EventId = text.parse().unwrap();
/// assert_eq!(id.offset, 7);
/// assert_eq!(id.to_string(), text);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct EventId {
    /// Request that is being answered.
    pub request: RequestId,
    /// Group that answers the request.
    pub group: GroupId,
    /// Epoch of the group.
    pub epoch: u64,
    /// Index of the piece, from 0; in the last event, the total number of pieces.
    pub offset: u32,
}

/// The error for text that is not a valid event id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event id must have the form request/group/epoch/offset"))]
pub struct BadEventId;

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            request,
            group,
            epoch,
            offset,
        } = self;
        write!(f, "{request}/{group}/{epoch}/{offset}")
    }
}

impl FromStr for EventId {
    type Err = BadEventId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() > MAX_TEXT_BYTES {
            return Err(BadEventId);
        }
        let parts: Vec<&str> = text.split('/').collect();
        let [request, group, epoch, offset] = parts[..] else {
            return Err(BadEventId);
        };
        Ok(Self {
            request: request.parse().map_err(|_| BadEventId)?,
            group: GroupId::from(group),
            epoch: epoch.parse().map_err(|_| BadEventId)?,
            offset: offset.parse().map_err(|_| BadEventId)?,
        })
    }
}
