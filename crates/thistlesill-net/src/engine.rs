//! The client of targets: reports, orders, streaming requests and plain calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Deserialize;
use thistlesill_core::event_id::EventId;
use thistlesill_core::report::{Order, OrderReply, Report};
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{Adapter, GroupId, Millis, RequestId};

use crate::http::{HttpClient, HttpError, build_request, decode, encode};

/// Header with the request's id.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the group that the request is for.
pub const GROUP_HEADER: &str = "x-group";
/// Header with the epoch that the request is for.
pub const EPOCH_HEADER: &str = "x-epoch";
/// Header with the request's priority; lower goes first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the adapter to use.
pub const ADAPTER_HEADER: &str = "x-adapter";
/// Header with the milliseconds left until the deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the index of the first piece wanted of a stream.
pub const OFFSET_HEADER: &str = "x-offset";
/// Response header that is `no` if the target did not run the request.
pub const RAN_HEADER: &str = "x-ran";
/// Header with the authentication tag of an order's body, in hexadecimal.
pub const PROOF_HEADER: &str = "x-proof";

const REPORT_TIMEOUT: Duration = Duration::from_millis(900);
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A streaming request to a group's leader.
#[derive(Debug, Clone)]
pub struct StreamCall {
    /// The address at which the leader listens.
    pub address: SocketAddr,
    /// The id of the request.
    pub request: RequestId,
    /// The group that the request is for.
    pub group: GroupId,
    /// The epoch of the group that the request is for.
    pub epoch: u64,
    /// The request's priority; lower goes first.
    pub priority: u8,
    /// The adapter to use, if any.
    pub adapter: Option<Adapter>,
    /// The time until the request's deadline.
    pub time_left: Millis,
    /// Whether to start a completion or resume a stream.
    pub operation: StreamOperation,
    /// Whether the request may be repeated; if not, it is sent on a new connection.
    pub repeatable: bool,
}

/// The operation that a streaming request asks for.
#[derive(Debug, Clone)]
pub enum StreamOperation {
    /// Starts a completion.
    Complete {
        /// The path, one of the `OpenAI` protocol's.
        path: &'static str,
        /// The request body, in JSON; includes the text that was delivered before, if any.
        body: Bytes,
        /// The number of pieces delivered before, which is the index of the first piece wanted.
        offset: u32,
    },
    /// Resumes a stream that the group already runs.
    Resume {
        /// The index of the first piece wanted.
        offset: u32,
    },
}

/// An event of a streaming request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// Nothing was sent.
    Unsent,
    /// The target did not run the request.
    Refused,
    /// The target rejected the request as malformed (status 400 or 422).
    Denied,
    /// The target does not know the stream to resume (status 410).
    Forgotten,
    /// A piece of the answer.
    Piece {
        /// The event's id.
        id: EventId,
        /// The generated text.
        text: Arc<str>,
    },
    /// The answer is complete.
    End {
        /// The last event's id; its offset is the number of pieces.
        id: EventId,
        /// The model's finish reason.
        reason: Arc<str>,
    },
    /// The connection was lost, or the target failed; the request may have run.
    Broken,
    /// The answer could not be decoded.
    Garbage,
}

impl StreamEvent {
    /// Returns whether this event is the last of its request.
    pub const fn is_last(&self) -> bool {
        !matches!(self, Self::Piece { .. })
    }
}

/// The result of a plain call.
#[derive(Debug)]
pub enum PlainResult {
    /// Nothing was sent.
    Unsent,
    /// The target did not run the call.
    Refused,
    /// The complete answer, of any status.
    Complete(Response<Bytes>),
    /// The connection was lost; the call may have run.
    Broken,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<ChunkChoice>,
}

#[derive(Debug, Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    finish_reason: Option<Arc<str>>,
}

#[derive(Debug, Default, Deserialize)]
struct ChunkDelta {
    content: Option<Arc<str>>,
}

/// A client of targets.
#[derive(Debug, Clone)]
pub struct Engines {
    pooled: HttpClient,
    fresh: HttpClient,
    key: SharedKey,
}

impl Engines {
    /// Creates a client that authenticates its orders with the fleet's key.
    pub fn new(key: SharedKey) -> Self {
        Self {
            pooled: HttpClient::pooled(),
            fresh: HttpClient::fresh(),
            key,
        }
    }

    /// Requests a target's report.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn report(&self, address: SocketAddr) -> Result<Report, HttpError> {
        let call = self
            .pooled
            .get_json(address, "/control/report", REPORT_TIMEOUT);
        call.await
    }

    /// Sends an order, authenticated by a tag of its body.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`]; the target may have taken the order nevertheless.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, HttpError> {
        let body = encode(order)?;
        let proof = self.key.tag(&body);
        let head = Request::post(format!("http://{address}/control/order"))
            .header("content-type", "application/json")
            .header(PROOF_HEADER, hex::encode(proof));
        let request = build_request(head, body)?;
        decode(&self.pooled.call(request, ORDER_TIMEOUT).await?)
    }

    /// Asks a leader to cancel a request; errors are ignored.
    pub async fn cancel(&self, address: SocketAddr, request: RequestId) {
        let url = format!("http://{address}/v1/streams/{request}/cancel");
        let Ok(call) = build_request(Request::post(url), Bytes::new()) else {
            return;
        };
        // A lost cancellation costs the engine some tokens, nothing else.
        drop(self.pooled.call(call, CANCEL_TIMEOUT).await);
    }

    /// Sends a streaming request and passes its events to `on_event`, until the last event or
    /// until `on_event` returns false.
    pub async fn stream(&self, call: StreamCall, mut on_event: impl FnMut(StreamEvent) -> bool) {
        let client = if call.repeatable {
            &self.pooled
        } else {
            &self.fresh
        };
        let Ok(request) = stream_request(&call) else {
            on_event(StreamEvent::Unsent);
            return;
        };
        let limit = call.time_left.duration() + Duration::from_secs(1);
        let response = match client.send(request, limit).await {
            Err(HttpError::Unsent { .. }) => {
                on_event(StreamEvent::Unsent);
                return;
            }
            Err(_) => {
                on_event(StreamEvent::Broken);
                return;
            }
            Ok(response) => response,
        };
        if response.status() != StatusCode::OK {
            on_event(classify(&response));
            return;
        }
        read_events(response, on_event).await;
    }

    /// Calls a service without streaming. A call that may not be repeated is sent on a new
    /// connection.
    pub async fn plain(
        &self,
        request: Request<http_body_util::Full<Bytes>>,
        limit: Duration,
        repeatable: bool,
    ) -> PlainResult {
        let client = if repeatable {
            &self.pooled
        } else {
            &self.fresh
        };
        match client.call(request, limit).await {
            Err(HttpError::Unsent { .. }) => PlainResult::Unsent,
            Err(_) => PlainResult::Broken,
            Ok(answer) if did_not_run(&answer) => PlainResult::Refused,
            Ok(answer) => PlainResult::Complete(answer),
        }
    }
}

fn stream_request(call: &StreamCall) -> Result<Request<http_body_util::Full<Bytes>>, HttpError> {
    let address = call.address;
    let (head, body) = match &call.operation {
        StreamOperation::Complete { path, body, offset } => {
            let head = Request::post(format!("http://{address}{path}"))
                .header("content-type", "application/json")
                .header(OFFSET_HEADER, offset.to_string());
            (head, body.clone())
        }
        StreamOperation::Resume { offset } => {
            let request = call.request;
            let url = format!("http://{address}/v1/streams/{request}/resume");
            let head = Request::post(url).header(OFFSET_HEADER, offset.to_string());
            (head, Bytes::new())
        }
    };
    let mut head = head
        .header(REQUEST_HEADER, call.request.to_string())
        .header(GROUP_HEADER, call.group.as_str())
        .header(EPOCH_HEADER, call.epoch.to_string())
        .header(PRIORITY_HEADER, call.priority.to_string())
        .header(DEADLINE_HEADER, call.time_left.get().to_string());
    if let Some(adapter) = &call.adapter {
        head = head.header(ADAPTER_HEADER, adapter.as_str());
    }
    build_request(head, body)
}

fn did_not_run<T>(answer: &Response<T>) -> bool {
    let ran = answer.headers().get(RAN_HEADER);
    ran.is_some_and(|v| v.as_bytes() == b"no")
}

/// Maps a response with a status other than 200 to the event that ends the stream.
fn classify<T>(answer: &Response<T>) -> StreamEvent {
    match answer.status() {
        StatusCode::GONE => StreamEvent::Forgotten,
        _ if did_not_run(answer) => StreamEvent::Refused,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => StreamEvent::Denied,
        _ => StreamEvent::Broken,
    }
}

async fn read_events(response: Response<Incoming>, mut on_event: impl FnMut(StreamEvent) -> bool) {
    let body = response.into_body().into_data_stream();
    let mut events = body.eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            on_event(StreamEvent::Broken);
            return;
        };
        let Some(read) = read_event(&event) else {
            continue;
        };
        let last = read.is_last();
        if !on_event(read) || last {
            return;
        }
    }
    on_event(StreamEvent::Broken);
}

/// Decodes a server-sent event; returns `None` for `[DONE]`, which follows the last one.
fn read_event(event: &eventsource_stream::Event) -> Option<StreamEvent> {
    if event.data == "[DONE]" {
        return None;
    }
    let parsed = event.id.parse::<EventId>();
    let chunk = serde_json::from_str::<Chunk>(&event.data);
    let (Ok(id), Ok(chunk)) = (parsed, chunk) else {
        return Some(StreamEvent::Garbage);
    };
    let Some(choice) = chunk.choices.into_iter().next() else {
        return Some(StreamEvent::Garbage);
    };
    Some(match choice.finish_reason {
        Some(reason) => StreamEvent::End { id, reason },
        None => StreamEvent::Piece {
            id,
            text: choice.delta.content.unwrap_or_else(|| Arc::from("")),
        },
    })
}
