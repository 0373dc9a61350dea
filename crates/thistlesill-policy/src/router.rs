//! The router's decisions: one step per event, from a caller's request to
//! its final answer.
//!
//! The core knows nothing of bodies: the daemon around it keeps these and
//! does the sending that the core asks for.

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
pub use self::request::GroupUse;
use crate::pick::Rule;
use crate::serving::GroupKey;

/// What a router is started with.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// Its name.
    pub name: NodeId,
    /// Its region.
    pub region: RegionId,
    /// Its hall.
    pub hall: HallId,
    /// Requests that may wait at a time.
    pub waiting: usize,
    /// How long it accepts requests after its health check fails.
    pub balancer: Millis,
    /// The longest wait for streams when it stops.
    pub stop: Millis,
    /// Seed of its random source.
    pub seed: u64,
    /// How groups are picked.
    pub rule: Rule,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// A completion by a model.
    Model(Model),
    /// A call of a plain service.
    Service(ServiceName),
}

/// Where a broken answer is to be taken up again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// The group that answers.
    pub key: GroupKey,
    /// The next piece wanted.
    pub offset: u32,
}

/// A request as it arrives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Arrival {
    /// The request; for a resumed one, its first id.
    pub request: RequestId,
    /// Who asks.
    pub customer: CustomerId,
    /// What for.
    pub wanted: Wanted,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// The caller's own deadline, from now.
    pub deadline: Option<Millis>,
    /// The caller's own priority; it can only lower the branch's.
    pub priority: Option<u8>,
    /// Whether method or header say that the request may be repeated.
    pub repeatable: Option<bool>,
    /// The idempotency key.
    pub key: Option<String>,
    /// SHA-256 of the body.
    pub body: String,
    /// Where to resume.
    pub resume: Option<ResumePoint>,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptEvent {
    /// Nothing of the request reached the target.
    Unsent,
    /// The target says that it did not run the request and why not here.
    Refused,
    /// The target says that the request is malformed; it did not run.
    Denied,
    /// The target knows nothing of the stream to resume.
    Forgotten,
    /// A piece of a streamed answer.
    Piece {
        /// The request it names.
        request: RequestId,
        /// The group it names.
        key: GroupKey,
        /// Its place from 0.
        offset: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// A streamed answer is whole.
    End {
        /// The request it names.
        request: RequestId,
        /// The group it names.
        key: GroupKey,
        /// How many pieces there are.
        count: u32,
        /// Why the model stopped.
        reason: Arc<str>,
    },
    /// A plain answer, whole.
    Whole {
        /// HTTP status.
        status: u16,
    },
    /// The connection was lost after sending began.
    Broken,
    /// The answer could not be understood.
    Garbage,
}

/// What a router learns.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterEvent {
    /// A request arrived.
    Arrive(Box<Arrival>),
    /// Something became of an attempt.
    Attempt {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// What.
        what: AttemptEvent,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// A watcher's beat.
    Beat {
        /// The watcher.
        from: NodeId,
        /// The beat.
        beat: Heartbeat,
        /// Our wall clock less the sender's, in milliseconds.
        lag: i64,
    },
    /// A part of a watcher's view.
    Digest {
        /// The watcher.
        from: NodeId,
        /// The part.
        part: Digest,
        /// Our wall clock less the sender's, in milliseconds.
        lag: i64,
    },
    /// Another router's usage.
    Usage {
        /// The router.
        from: NodeId,
        /// Its usage.
        usage: Usage,
    },
    /// What another router knows of requests that end their groups.
    Fatal(Fatal),
    /// A revision of the settings was read.
    Settings(Arc<Tree>),
    /// A transaction ended.
    TxnDone {
        /// Its number.
        flight: u64,
        /// How.
        result: TxnResult,
    },
    /// Rows were read, or not.
    RowsRead {
        /// The read's number.
        flight: u64,
        /// The rows, if the read succeeded.
        rows: Option<Rows>,
    },
    /// The daemon is told to stop.
    Stop,
    /// Time has passed.
    Tick,
}

/// How an attempt is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Mode {
    /// From the beginning.
    Fresh,
    /// Take up the stream at this piece, on the group that runs it.
    Resume {
        /// The next piece wanted.
        offset: u32,
    },
    /// Go on from the prompt and what was delivered, on another group.
    Continue {
        /// The next piece wanted.
        offset: u32,
        /// What was delivered.
        text: String,
    },
}

/// An attempt to send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Counts from 1.
    pub attempt: u32,
    /// The group.
    pub key: GroupKey,
    /// Where to.
    pub address: SocketAddr,
    /// What for.
    pub wanted: Wanted,
    /// The adapter to use.
    pub adapter: Option<Adapter>,
    /// Priority for the engine; lower goes first.
    pub priority: u8,
    /// Time left until the deadline.
    pub left: Millis,
    /// How.
    pub mode: Mode,
}

/// A caller's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// A streamed answer ended; all pieces were delivered.
    Streamed {
        /// The text of all pieces.
        text: String,
        /// How many pieces.
        count: u32,
        /// Why the model stopped.
        reason: Arc<str>,
        /// The group that ended it.
        key: GroupKey,
    },
    /// The plain answer that the daemon holds is to be passed on.
    Whole,
    /// The recorded answer of an earlier request with the same key.
    Recorded(Outcome),
}

/// What a router is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterAction {
    /// Send an attempt.
    Send(Box<Dispatch>),
    /// Cancel an attempt at its target.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Pass a piece on to the caller.
    Deliver {
        /// The request.
        request: RequestId,
        /// The group that made it.
        key: GroupKey,
        /// Its place.
        offset: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// Give the caller the rest of its answer.
    Finish {
        /// The request.
        request: RequestId,
        /// The answer.
        ending: Box<Ending>,
    },
    /// Give the caller an error.
    Fail {
        /// The request.
        request: RequestId,
        /// The kind.
        kind: ErrorKind,
        /// When to come back, if better known than from the table.
        after: Option<Millis>,
    },
    /// Send a transaction to the table.
    SendTxn {
        /// Its number.
        flight: u64,
        /// The transaction.
        txn: Txn,
    },
    /// Read rows of the table.
    ReadRows {
        /// The read's number.
        flight: u64,
        /// Exact keys.
        keys: Vec<RowKey>,
    },
    /// Ask a watcher for its full view.
    AskDigest(NodeId),
    /// Tell the other routers what this one uses.
    TellUsage(Usage),
    /// Tell the other routers of requests that end their groups.
    TellFatal(Fatal),
    /// Tell the peers which settings are in force here.
    TellHead(u64),
    /// Note an event on the time line.
    Note(TimelineEvent),
    /// The daemon may exit.
    Exit,
}
