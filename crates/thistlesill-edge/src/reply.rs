//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::stream::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{HeaderMap, Response, StatusCode};
use snafu::Snafu;
use thistlesill_core::error::Retry;
use thistlesill_core::{ErrorKind, Millis};
use thistlesill_platform::caller::set_retry_after;

/// The answer breaks off; the connection to the caller ends with it.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct Interrupted;

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Interrupted>>>>;

/// The body of an answer.
pub(crate) enum OutBody {
    /// Known whole.
    Complete(Option<Bytes>),
    /// Comes piece by piece.
    Streamed(Pieces),
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match &mut *self {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Streamed(pieces) => {
                let next = std::task::ready!(pieces.as_mut().poll_next(cx));
                Poll::Ready(next.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// An answer whose body is known whole.
pub(crate) fn complete(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<OutBody> {
    let mut answer = Response::new(OutBody::Complete(Some(body).filter(|b| !b.is_empty())));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// An answer whose body comes piece by piece.
pub(crate) fn streamed(
    status: StatusCode,
    headers: HeaderMap,
    pieces: impl Stream<Item = Result<Bytes, Interrupted>> + 'static,
) -> Response<OutBody> {
    let mut answer = Response::new(OutBody::Streamed(Box::pin(pieces)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// The answer that belongs to an error, with a better estimate of when to
/// come back if there is one.
pub(crate) fn error(kind: ErrorKind, after: Option<Millis>) -> Response<OutBody> {
    let row = kind.answer();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = HeaderMap::new();
    if let Retry::After(usual) = row.retry {
        set_retry_after(&mut headers, after.unwrap_or(usual));
    }
    complete(status, headers, Bytes::from_static(row.text.as_bytes()))
}
