//! Routing decisions: one step per event, from a caller's request to its final answer.
//!
//! The core does no I/O, and holds no bodies of requests or plain answers: the daemon around it
//! keeps these and carries out the sends that the core asks for.

mod core;
mod dispatch;
mod request;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::message::{Digest, Fatal, Heartbeat, Usage};
use thistlesill_core::row::Outcome;
use thistlesill_core::settings::Tree;
use thistlesill_core::table::{RowKey, Rows, Txn, TxnResult};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{
    Adapter, CustomerId, ErrorKind, HallId, Millis, Model, NodeId, RegionId, RequestId, ServiceName,
};

pub use self::core::{RouterCore, Status};
pub use self::request::GroupUsage;
use crate::pick::PickRule;
use crate::serving::GroupKey;

/// Configuration of a [`RouterCore`], fixed for its lifetime.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// Name of this router among the daemons.
    pub name: NodeId,
    /// Region whose settings apply.
    pub region: RegionId,
    /// Hall that the router runs in; groups in the same hall are preferred.
    pub hall: HallId,
    /// Maximum number of requests in the queue.
    pub max_waiting: usize,
    /// How long requests are still accepted after the health check starts to fail, so that the load
    /// balancer can notice.
    pub balancer_grace: Millis,
    /// Maximum time to wait for requests under way when the router stops, after the balancer's
    /// time.
    pub stop_timeout: Millis,
    /// Seed of the random source for picks and backoff.
    pub seed: u64,
    /// Rule by which groups are picked.
    pub rule: PickRule,
}

/// Model or service that a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// A completion by a model.
    Model(Model),
    /// A call of a plain service.
    Service(ServiceName),
}

/// Position at which an interrupted stream resumes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// Group that was generating the answer.
    pub key: GroupKey,
    /// Offset of the next piece that the caller needs.
    pub offset: u32,
}

/// A request as received from a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// Id of the request; a resumed request keeps its original id.
    pub request: RequestId,
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Requested model or service.
    pub wanted: Wanted,
    /// Hash of the beginning of the prompt, for prefix cache hits; `None` without a prompt.
    pub prefix: Option<u64>,
    /// Time limit set by the caller, counted from arrival; the settings cap it.
    pub deadline: Option<Millis>,
    /// Priority set by the caller, where lower goes first; it cannot go ahead of the priority in
    /// the settings.
    pub priority: Option<u8>,
    /// Whether the request may run more than once, as far as its method or a header says so.
    pub repeatable: Option<bool>,
    /// Idempotency key.
    pub key: Option<String>,
    /// SHA-256 of the body.
    pub body: String,
    /// Where to resume; `None` for a new request.
    pub resume: Option<ResumePoint>,
}

/// Progress or outcome of an attempt, as reported by the daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEvent {
    /// No byte of the request reached the target.
    Unsent,
    /// The target did not run the request; another group may take it.
    Refused,
    /// The target rejected the request as malformed without running it.
    Denied,
    /// The target has no state of the stream to resume.
    Forgotten,
    /// A piece of a streamed answer.
    Piece {
        /// Request id that the piece carries.
        request: RequestId,
        /// Group that the piece carries.
        key: GroupKey,
        /// Offset of the piece in the answer, from 0.
        offset: u32,
        /// Generated text.
        text: Arc<str>,
    },
    /// End of a streamed answer.
    End {
        /// Request id that the end marker carries.
        request: RequestId,
        /// Group that the end marker carries.
        key: GroupKey,
        /// Total number of pieces of the answer.
        count: u32,
        /// Finish reason given by the model.
        reason: Arc<str>,
    },
    /// A complete answer that was not streamed.
    Whole {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The connection was lost after sending began, so the request may have run.
    Broken,
    /// The target's answer could not be parsed.
    Garbage,
}

/// Input of [`RouterCore::step`].
#[derive(Debug, Clone, PartialEq)]
pub enum RouterEvent {
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// An attempt made progress or ended.
    Attempt {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// What happened.
        what: AttemptEvent,
    },
    /// The caller disconnected.
    CallerGone(RequestId),
    /// A watcher's heartbeat was received.
    Heartbeat {
        /// Sending watcher.
        from: NodeId,
        /// Heartbeat with the watcher's changed sightings.
        heartbeat: Heartbeat,
        /// Local wall clock minus the sender's, in milliseconds.
        lag: i64,
    },
    /// Part of a watcher's full view was received.
    Digest {
        /// Sending watcher.
        from: NodeId,
        /// Part of the view.
        part: Digest,
        /// Local wall clock minus the sender's, in milliseconds.
        lag: i64,
    },
    /// Another router's usage was received.
    Usage {
        /// Sending router.
        from: NodeId,
        /// Requests that each customer runs there.
        usage: Usage,
    },
    /// Another router's losses and verdicts on requests that crash their groups were received.
    Fatal(Fatal),
    /// A revision of the settings was read; older revisions are ignored.
    Settings(Arc<Tree>),
    /// A transaction completed.
    TxnDone {
        /// Number from [`RouterAction::SendTxn`].
        flight: u64,
        /// Result of the transaction.
        result: TxnResult,
    },
    /// A read of rows completed or failed.
    RowsRead {
        /// Number from [`RouterAction::ReadRows`].
        flight: u64,
        /// The rows; `None` if the read failed.
        rows: Option<Rows>,
    },
    /// The daemon was asked to stop.
    Stop,
    /// Periodic timer.
    Tick,
}

/// How much of an answer an attempt asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// The whole answer.
    Fresh,
    /// The rest of a stream, from the group that is still running the request.
    Resume {
        /// Offset of the next piece that the caller needs.
        offset: u32,
    },
    /// The rest of an answer, generated by a group that runs the same model, from the prompt and
    /// the text delivered so far.
    Continue {
        /// Offset of the next piece that the caller needs.
        offset: u32,
        /// Text delivered so far.
        text: String,
    },
}

/// An attempt that the daemon is to send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of the request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Group that gets the attempt.
    pub key: GroupKey,
    /// Address of the group's leader or of the service.
    pub address: SocketAddr,
    /// Requested model or service.
    pub wanted: Wanted,
    /// Adapter to apply to the model, from the customer's settings.
    pub adapter: Option<Adapter>,
    /// Priority for the engine; lower goes first.
    pub priority: u8,
    /// Time left until the deadline.
    pub left: Millis,
    /// How much of the answer to ask for.
    pub mode: Mode,
}

/// The final answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// A streamed answer ended, and all its pieces were delivered.
    Streamed {
        /// Text of all pieces.
        text: String,
        /// Number of pieces.
        count: u32,
        /// Finish reason given by the model.
        reason: Arc<str>,
        /// Group that sent the end.
        key: GroupKey,
    },
    /// The daemon passes on the plain answer that it holds.
    Whole,
    /// The recorded answer of an earlier request with the same idempotency key.
    Recorded(Outcome),
}

/// Output of [`RouterCore::step`], carried out by the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterAction {
    /// Send an attempt.
    Send(Box<Dispatch>),
    /// Cancel an attempt at its target.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Pass a piece on to the caller.
    Deliver {
        /// Request that the piece answers.
        request: RequestId,
        /// Group that generated the piece.
        key: GroupKey,
        /// Offset of the piece in the answer.
        offset: u32,
        /// Generated text.
        text: Arc<str>,
    },
    /// Complete the caller's answer.
    Finish {
        /// Request that is complete.
        request: RequestId,
        /// Final part of the answer.
        ending: Box<Ending>,
    },
    /// Answer the caller with an error.
    Fail {
        /// Request that failed.
        request: RequestId,
        /// Kind of the error.
        kind: ErrorKind,
        /// Delay before the caller should retry; `None` for the default of the error kind.
        after: Option<Millis>,
    },
    /// Send a transaction to the table.
    SendTxn {
        /// Number to return in [`RouterEvent::TxnDone`].
        flight: u64,
        /// Transaction to send.
        txn: Txn,
    },
    /// Read rows of the table.
    ReadRows {
        /// Number to return in [`RouterEvent::RowsRead`].
        flight: u64,
        /// Exact keys of the rows.
        keys: Vec<RowKey>,
    },
    /// Ask a watcher for its full view.
    RequestDigest(NodeId),
    /// Send the usage of this router to the other routers.
    SendUsage(Usage),
    /// Send losses and verdicts on requests that crash their groups to the other routers.
    SendFatal(Fatal),
    /// Publish the settings in force, and send their revision to all peers.
    SendHead(u64),
    /// Record an event on the time line.
    Note(TimelineEvent),
    /// Stopping is complete; the daemon may exit.
    Exit,
}
