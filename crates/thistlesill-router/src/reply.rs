//! Complete answers to callers, and the outcomes recorded for idempotency keys.

use bytes::Bytes;
use thistlesill_core::event_id::EventId;
use thistlesill_core::row::Outcome;
use thistlesill_core::{ErrorKind, RequestId};
use thistlesill_policy::router::Ending;

use crate::pending::{CallerRequest, CompleteReply, Pending, StreamEnd};
use crate::send;

/// Maximum size of an answer that is recorded for its key.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// Returns the complete answer to a caller.
pub(crate) fn complete_reply(
    request: RequestId,
    pending: &Pending,
    ending: Ending,
) -> CompleteReply {
    match (ending, &pending.caller_request) {
        (
            Ending::Streamed {
                text,
                count,
                reason,
                key,
            },
            CallerRequest::Completion(completion),
        ) => CompleteReply {
            status: 200,
            media: "application/json".to_owned(),
            body: Bytes::from(completion.complete_answer(request, &text, count, &reason)),
            end: Some(StreamEnd {
                id: Some(EventId {
                    request,
                    group: key.group,
                    epoch: key.epoch,
                    offset: count,
                }),
                reason: reason.to_string(),
                text: None,
            }),
        },
        (Ending::Recorded(outcome), caller_request) => recorded_reply(outcome, caller_request),
        (Ending::Whole | Ending::Streamed { .. }, _) => plain_reply(pending),
    }
}

fn recorded_reply(outcome: Outcome, caller_request: &CallerRequest) -> CompleteReply {
    let body = outcome.body.unwrap_or_default();
    let end = match caller_request {
        CallerRequest::Completion(completion) => Some(StreamEnd {
            id: None,
            reason: "stop".to_owned(),
            text: completion.answer_text(&body),
        }),
        CallerRequest::Plain(_) => None,
    };
    CompleteReply {
        status: outcome.status,
        media: outcome.media,
        body: Bytes::from(body),
        end,
    }
}

fn plain_reply(pending: &Pending) -> CompleteReply {
    match &pending.answer {
        Some(answer) => CompleteReply {
            status: answer.status().as_u16(),
            media: send::media_of(answer),
            body: answer.body().clone(),
            end: None,
        },
        None => CompleteReply {
            status: ErrorKind::Internal.answer().status,
            media: "text/plain".to_owned(),
            body: Bytes::new(),
            end: None,
        },
    }
}

/// Returns the outcome to record for an idempotency key; `None` if the body is too large or not
/// UTF-8.
pub(crate) fn recordable_outcome(reply: &CompleteReply) -> Option<Outcome> {
    let fits = reply.body.len() <= MAX_RECORDED_BYTES;
    let body = String::from_utf8(reply.body.to_vec()).ok();
    let body = body.filter(|_| fits)?;
    Some(Outcome {
        status: reply.status,
        media: reply.media.clone(),
        body: Some(body),
    })
}
