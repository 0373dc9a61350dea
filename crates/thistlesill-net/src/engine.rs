//! The client of targets: reports, orders, streams and plain calls.

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
/// Header with the first piece wanted of a stream that goes on.
pub const OFFSET_HEADER: &str = "x-offset";
/// Header by which a target says whether a refused request ran.
pub const RAN_HEADER: &str = "x-ran";
/// Header with the proof of an order.
pub const PROOF_HEADER: &str = "x-proof";

/// Time for a report.
const REPORT_LIMIT: Duration = Duration::from_millis(900);
/// Time for an order.
const ORDER_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for cancelling.
const CANCEL_LIMIT: Duration = Duration::from_millis(1_000);

/// A streaming request to a group's leader.
#[derive(Debug, Clone)]
pub struct StreamCall {
    /// Where the leader listens.
    pub address: SocketAddr,
    /// The request.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: u64,
    /// The priority.
    pub priority: u8,
    /// The adapter.
    pub adapter: Option<Adapter>,
    /// Time until the deadline.
    pub time_left: Millis,
    /// What is asked for.
    pub operation: StreamOperation,
    /// Whether the request may be repeated; if not, it gets a connection of
    /// its own.
    pub repeatable: bool,
}

/// What a streaming request asks for.
#[derive(Debug, Clone)]
pub enum StreamOperation {
    /// A completion; `offset` is the first piece wanted when the body holds
    /// what was delivered before.
    Complete {
        /// The path, one of the `OpenAI` protocol's.
        path: &'static str,
        /// The body.
        body: Bytes,
        /// Pieces delivered before.
        offset: u32,
    },
    /// The rest of a stream that the group runs.
    Resume {
        /// The first piece wanted.
        offset: u32,
    },
}

/// What a stream brings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// Nothing was sent.
    Unsent,
    /// The target did not run the request.
    Refused,
    /// The target says that the request is malformed.
    Denied,
    /// The target does not know the stream to resume.
    Forgotten,
    /// A piece.
    Piece {
        /// Its id.
        id: EventId,
        /// Its text.
        text: Arc<str>,
    },
    /// The answer is whole.
    End {
        /// The last event's id; its offset is the number of pieces.
        id: EventId,
        /// Why the model stopped.
        reason: Arc<str>,
    },
    /// The connection was lost.
    Broken,
    /// The answer could not be understood.
    Garbage,
}

impl StreamEvent {
    /// Whether nothing follows.
    pub const fn is_last(&self) -> bool {
        !matches!(self, Self::Piece { .. })
    }
}

/// What became of a plain call.
#[derive(Debug)]
pub enum PlainResult {
    /// Nothing was sent.
    Unsent,
    /// The target did not run the call.
    Refused,
    /// The whole answer.
    Complete(Response<Bytes>),
    /// The connection was lost.
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
    /// A client that proves its orders with the fleet's key.
    pub fn new(key: SharedKey) -> Self {
        Self {
            pooled: HttpClient::pooled(),
            fresh: HttpClient::fresh(),
            key,
        }
    }

    /// Asks a target for its report.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn report(&self, address: SocketAddr) -> Result<Report, HttpError> {
        let call = self
            .pooled
            .get_json(address, "/control/report", REPORT_LIMIT);
        call.await
    }

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`]; the order may have been taken.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<OrderReply, HttpError> {
        let body = encode(order)?;
        let proof = self.key.tag(&body);
        let head = Request::post(format!("http://{address}/control/order"))
            .header("content-type", "application/json")
            .header(PROOF_HEADER, hex::encode(proof));
        let request = build_request(head, body)?;
        decode(&self.pooled.call(request, ORDER_LIMIT).await?)
    }

    /// Tells a leader to cancel a request.
    pub async fn cancel(&self, address: SocketAddr, request: RequestId) {
        let url = format!("http://{address}/v1/streams/{request}/cancel");
        let Ok(call) = build_request(Request::post(url), Bytes::new()) else {
            return;
        };
        // A cancel that is lost costs the engine some tokens, nothing else.
        drop(self.pooled.call(call, CANCEL_LIMIT).await);
    }

    /// Sends a streaming request and passes what it brings to `take`, until
    /// the last event or until `take` returns false.
    pub async fn stream(&self, call: StreamCall, mut take: impl FnMut(StreamEvent) -> bool) {
        let client = if call.repeatable {
            &self.pooled
        } else {
            &self.fresh
        };
        let Ok(request) = stream_request(&call) else {
            take(StreamEvent::Unsent);
            return;
        };
        let limit = call.time_left.duration() + Duration::from_secs(1);
        let response = match client.send(request, limit).await {
            Err(HttpError::Unsent { .. }) => {
                take(StreamEvent::Unsent);
                return;
            }
            Err(_) => {
                take(StreamEvent::Broken);
                return;
            }
            Ok(response) => response,
        };
        if response.status() != StatusCode::OK {
            take(classify(&response));
            return;
        }
        read_events(response, take).await;
    }

    /// Calls a plain service.
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
            Ok(answer) if says_not_run(&answer) => PlainResult::Refused,
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

fn says_not_run<T>(answer: &Response<T>) -> bool {
    let ran = answer.headers().get(RAN_HEADER);
    ran.is_some_and(|v| v.as_bytes() == b"no")
}

/// What an answer other than 200 says of a streaming request.
fn classify<T>(answer: &Response<T>) -> StreamEvent {
    match answer.status() {
        StatusCode::GONE => StreamEvent::Forgotten,
        _ if says_not_run(answer) => StreamEvent::Refused,
        StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => StreamEvent::Denied,
        _ => StreamEvent::Broken,
    }
}

async fn read_events(response: Response<Incoming>, mut take: impl FnMut(StreamEvent) -> bool) {
    let body = response.into_body().into_data_stream();
    let mut events = body.eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else {
            take(StreamEvent::Broken);
            return;
        };
        let Some(read) = read_event(&event) else {
            continue;
        };
        let last = read.is_last();
        if !take(read) || last {
            return;
        }
    }
    take(StreamEvent::Broken);
}

/// Reads one event; `None` for the closing `[DONE]`, which follows the last.
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
