//! What the daemon keeps of a request beside the core: its body, the way
//! back to the caller, and the attempt under way.

use bytes::Bytes;
use salvo::hyper::{Method, Response, Uri};
use thistlesill_core::RequestId;
use thistlesill_core::error::ErrorBody;
use thistlesill_core::event_id::EventId;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::openai::Completion;

/// What goes back to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A piece of a streamed answer.
    Piece {
        /// Its id.
        id: EventId,
        /// Its text.
        text: String,
    },
    /// The answer is whole; nothing follows.
    Whole(WholeReply),
    /// The request failed; nothing follows.
    Failed(ErrorBody),
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeReply {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub media: String,
    /// The body.
    pub body: Bytes,
    /// The last event's id and why the model stopped, for a stream.
    pub end: Option<StreamEnd>,
}

/// The end of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEnd {
    /// The last event's id, if the answer came from a group.
    pub id: Option<EventId>,
    /// Why the model stopped.
    pub reason: String,
    /// The text, if no pieces were sent before.
    pub text: Option<String>,
}

/// What a caller asked for.
#[derive(Debug, Clone)]
pub enum Asked {
    /// A completion.
    Completion(Box<Completion>),
    /// A call of a plain service.
    Plain(Box<PlainAsk>),
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainAsk {
    /// The method.
    pub method: Method,
    /// Path and query at the service.
    pub uri: Uri,
    /// The media type of the body.
    pub media: Option<String>,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A request under way.
#[derive(Debug)]
pub struct Pending {
    /// What was asked.
    pub asked: Asked,
    /// The way back to the caller.
    pub reply: mpsc::UnboundedSender<Reply>,
    /// Whether it may be repeated, for the choice of connection.
    pub repeatable: bool,
    /// The answer of a plain call.
    pub answer: Option<Response<Bytes>>,
    /// The attempt under way.
    pub attempt: Option<Running>,
}

/// An attempt under way.
#[derive(Debug)]
pub struct Running {
    /// Where it was sent.
    pub address: std::net::SocketAddr,
    /// The task that sends it and reads its answer.
    pub task: JoinHandle<()>,
}

/// Tells the loop when a caller is gone before its answer was whole.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    request: RequestId,
    events: mpsc::UnboundedSender<crate::daemon::LoopEvent>,
    done: bool,
}

impl CallerGuard {
    /// Guards a request.
    pub(crate) const fn new(
        request: RequestId,
        events: mpsc::UnboundedSender<crate::daemon::LoopEvent>,
    ) -> Self {
        Self {
            request,
            events,
            done: false,
        }
    }

    /// Notes that the caller has its whole answer.
    pub(crate) const fn done(&mut self) {
        self.done = true;
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.done {
            let gone = crate::daemon::LoopEvent::CallerGone(self.request);
            drop(self.events.send(gone));
        }
    }
}
