//! The id of one event of a streamed answer.
//!
//! It travels as the `id` of a server-sent event, from engine to router to
//! caller, and holds all that any router needs to take the stream up again.

use std::fmt;
use std::str::FromStr;

use snafu::Snafu;

use crate::{GroupId, RequestId};

/// The longest id that is read.
const MAX_LEN: usize = 256;

/// Names one piece of one answer.
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
    /// The request.
    pub request: RequestId,
    /// The group that answers.
    pub group: GroupId,
    /// The group's epoch.
    pub epoch: u64,
    /// The piece's place from 0; in the last event, the number of pieces.
    pub offset: u32,
}

/// A text that is no event id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("an event id is request/group/epoch/offset"))]
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
        if text.len() > MAX_LEN {
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
