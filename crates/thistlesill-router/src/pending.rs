//! State that the daemon keeps for each request beside the core: its body, the channel to its
//! caller, and the attempt under way.

use bytes::Bytes;
use salvo::hyper::{Method, Response, Uri};
use thistlesill_core::RequestId;
use thistlesill_core::error::ErrorBody;
use thistlesill_core::event_id::EventId;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::openai::Completion;

/// A message from the loop to the handler of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// A piece of a streamed answer.
    Piece {
        /// Event id of the piece, for resuming after it.
        id: EventId,
        /// Generated text.
        text: String,
    },
    /// The answer is complete; nothing follows.
    Complete(CompleteReply),
    /// The request failed; nothing follows.
    Failed(ErrorBody),
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteReply {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// Complete body; unused if the caller gets a stream.
    pub body: Bytes,
    /// End of the stream; `None` for a plain service.
    pub end: Option<StreamEnd>,
}

/// End of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEnd {
    /// Event id of the end; `None` if the answer was recorded earlier.
    pub id: Option<EventId>,
    /// Finish reason given by the model.
    pub reason: String,
    /// Complete text, if no pieces were sent before.
    pub text: Option<String>,
}

/// What a caller requested, in the form needed to send attempts.
#[derive(Debug, Clone)]
pub enum CallerRequest {
    /// A completion.
    Completion(Box<Completion>),
    /// A call of a plain service.
    Plain(Box<PlainCall>),
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query at the service.
    pub uri: Uri,
    /// Media type of the body.
    pub media: Option<String>,
    /// Idempotency key, passed on to the service.
    pub key: Option<String>,
    /// Body of the call.
    pub body: Bytes,
}

/// A request without a final answer.
#[derive(Debug)]
pub struct Pending {
    /// Request to send with each attempt.
    pub caller_request: CallerRequest,
    /// Channel to the handler of the caller's request.
    pub reply: mpsc::UnboundedSender<Reply>,
    /// Whether the request may run more than once, for the choice of connection.
    pub repeatable: bool,
    /// Answer of a plain service, until it is passed on.
    pub answer: Option<Response<Bytes>>,
    /// Attempt under way.
    pub attempt: Option<RunningAttempt>,
}

/// An attempt under way.
#[derive(Debug)]
pub struct RunningAttempt {
    /// Target of the attempt.
    pub address: std::net::SocketAddr,
    /// Task that sends the attempt and reads its answer.
    pub task: JoinHandle<()>,
}

/// Notifies the loop when the handler is dropped, because its caller disconnected before the answer
/// was complete.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    request: RequestId,
    events: mpsc::UnboundedSender<crate::daemon::LoopEvent>,
    done: bool,
}

impl CallerGuard {
    /// Creates a guard for a request.
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

    /// Records that the request has its final answer, so that nothing is sent on drop.
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
