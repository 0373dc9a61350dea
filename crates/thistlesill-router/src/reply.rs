//! Whole answers to callers, and what is recorded of them for their keys.

use bytes::Bytes;
use thistlesill_core::event_id::EventId;
use thistlesill_core::row::Outcome;
use thistlesill_core::{ErrorKind, RequestId};
use thistlesill_policy::router::Ending;

use crate::pending::{Asked, Pending, StreamEnd, WholeReply};
use crate::send;

/// Bytes of an answer that is recorded for its key.
const MAX_RECORDED: usize = 64 << 10;

/// The caller's whole answer.
pub(crate) fn whole_reply(request: RequestId, pending: &Pending, ending: Ending) -> WholeReply {
    match (ending, &pending.asked) {
        (
            Ending::Streamed {
                text,
                count,
                reason,
                key,
            },
            Asked::Completion(ask),
        ) => WholeReply {
            status: 200,
            media: "application/json".to_owned(),
            body: Bytes::from(ask.whole(request, &text, count, &reason)),
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
        (Ending::Recorded(outcome), asked) => recorded_reply(outcome, asked),
        (Ending::Whole | Ending::Streamed { .. }, _) => plain_reply(pending),
    }
}

fn recorded_reply(outcome: Outcome, asked: &Asked) -> WholeReply {
    let body = outcome.body.unwrap_or_default();
    let end = match asked {
        Asked::Completion(ask) => Some(StreamEnd {
            id: None,
            reason: "stop".to_owned(),
            text: ask.text_of(&body),
        }),
        Asked::Plain(_) => None,
    };
    WholeReply {
        status: outcome.status,
        media: outcome.media,
        body: Bytes::from(body),
        end,
    }
}

fn plain_reply(pending: &Pending) -> WholeReply {
    match &pending.answer {
        Some(answer) => WholeReply {
            status: answer.status().as_u16(),
            media: send::media_of(answer),
            body: answer.body().clone(),
            end: None,
        },
        None => WholeReply {
            status: ErrorKind::Internal.answer().status,
            media: "text/plain".to_owned(),
            body: Bytes::new(),
            end: None,
        },
    }
}

/// What to record for a key; `None` if the answer is too large or no text.
pub(crate) fn outcome_of(whole: &WholeReply) -> Option<Outcome> {
    let fits = whole.body.len() <= MAX_RECORDED;
    let body = String::from_utf8(whole.body.to_vec()).ok();
    let body = body.filter(|_| fits)?;
    Some(Outcome {
        status: whole.status,
        media: whole.media.clone(),
        body: Some(body),
    })
}
