//! Sends attempts to targets and reports their progress and outcome to the loop.

use std::time::Duration;

use bytes::Bytes;
use salvo::hyper::{Request, Response};
use thistlesill_core::RequestId;
use thistlesill_net::engine::{
    DEADLINE_HEADER, Engines, PRIORITY_HEADER, PlainResult, REQUEST_HEADER, StreamCall,
    StreamEvent, StreamOperation,
};
use thistlesill_net::http::build_request;
use thistlesill_policy::router::{AttemptEvent, Dispatch, Mode};
use thistlesill_policy::serving::GroupKey;
use tokio::sync::mpsc;

use crate::daemon::LoopEvent;
use crate::openai::Completion;
use crate::pending::PlainCall;

/// Maximum duration of a call of a plain service.
const MAX_PLAIN_DURATION: Duration = Duration::from_secs(120);

/// Sends a completion request and forwards the events of its stream.
pub(crate) async fn completion(
    engines: Engines,
    dispatch: Dispatch,
    completion: Completion,
    repeatable: bool,
    events: mpsc::UnboundedSender<LoopEvent>,
) {
    let ask = match &dispatch.mode {
        Mode::Fresh => complete(&completion, completion.engine_body(), 0),
        Mode::Resume { offset } => StreamOperation::Resume { offset: *offset },
        Mode::Continue { offset, text } => {
            complete(&completion, completion.continued_body(text), *offset)
        }
    };
    let call = StreamCall {
        address: dispatch.address,
        request: dispatch.request,
        group: dispatch.key.group.clone(),
        epoch: dispatch.key.epoch,
        priority: dispatch.priority,
        adapter: dispatch.adapter.clone(),
        time_left: dispatch.left,
        operation: ask,
        repeatable,
    };
    let (request, attempt) = (dispatch.request, dispatch.attempt);
    let forward = |event: StreamEvent| {
        let what = attempt_event(event);
        events
            .send(LoopEvent::attempt(request, attempt, what))
            .is_ok()
    };
    engines.stream(call, forward).await;
}

fn complete(completion: &Completion, body: Vec<u8>, offset: u32) -> StreamOperation {
    StreamOperation::Complete {
        path: completion.dialect.path(),
        body: Bytes::from(body),
        offset,
    }
}

fn attempt_event(event: StreamEvent) -> AttemptEvent {
    match event {
        StreamEvent::Unsent => AttemptEvent::Unsent,
        StreamEvent::Refused => AttemptEvent::Refused,
        StreamEvent::Denied => AttemptEvent::Denied,
        StreamEvent::Forgotten => AttemptEvent::Forgotten,
        StreamEvent::Broken => AttemptEvent::Broken,
        StreamEvent::Garbage => AttemptEvent::Garbage,
        StreamEvent::Piece { id, text } => AttemptEvent::Piece {
            request: id.request,
            key: GroupKey {
                group: id.group,
                epoch: id.epoch,
            },
            offset: id.offset,
            text,
        },
        StreamEvent::End { id, reason } => AttemptEvent::End {
            request: id.request,
            key: GroupKey {
                group: id.group,
                epoch: id.epoch,
            },
            count: id.offset,
            reason,
        },
    }
}

/// Calls a plain service and reports the answer or the failure.
pub(crate) async fn plain(
    engines: Engines,
    dispatch: Dispatch,
    plain_call: PlainCall,
    repeatable: bool,
    events: mpsc::UnboundedSender<LoopEvent>,
) {
    let (request, attempt) = (dispatch.request, dispatch.attempt);
    let Some(call) = plain_request(&dispatch, &plain_call) else {
        drop(events.send(LoopEvent::attempt(request, attempt, AttemptEvent::Denied)));
        return;
    };
    let limit = dispatch.left.duration().min(MAX_PLAIN_DURATION) + Duration::from_secs(1);
    let what = match engines.plain(call, limit, repeatable).await {
        PlainResult::Unsent => AttemptEvent::Unsent,
        PlainResult::Refused => AttemptEvent::Refused,
        PlainResult::Broken => AttemptEvent::Broken,
        PlainResult::Complete(answer) => {
            drop(events.send(LoopEvent::answer(request, attempt, answer)));
            return;
        }
    };
    drop(events.send(LoopEvent::attempt(request, attempt, what)));
}

fn plain_request(
    dispatch: &Dispatch,
    plain_call: &PlainCall,
) -> Option<Request<http_body_util::Full<Bytes>>> {
    let url = format!("http://{}{}", dispatch.address, plain_call.uri);
    let mut head = Request::builder()
        .method(plain_call.method.clone())
        .uri(url)
        .header(REQUEST_HEADER, dispatch.request.to_string())
        .header(PRIORITY_HEADER, dispatch.priority.to_string())
        .header(DEADLINE_HEADER, dispatch.left.get().to_string());
    if let Some(media) = &plain_call.media {
        head = head.header("content-type", media);
    }
    if let Some(key) = &plain_call.key {
        head = head.header("idempotency-key", key);
    }
    build_request(head, plain_call.body.clone()).ok()
}

/// Returns the media type of a plain service's answer.
pub(crate) fn media_of(answer: &Response<Bytes>) -> String {
    let value = answer.headers().get("content-type");
    let text = value.and_then(|v| v.to_str().ok());
    text.unwrap_or("application/octet-stream").to_owned()
}

/// Cancels a request at its target.
pub(crate) async fn cancel(engines: Engines, address: std::net::SocketAddr, request: RequestId) {
    engines.cancel(address, request).await;
}
