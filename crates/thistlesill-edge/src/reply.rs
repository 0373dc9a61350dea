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
pub(crate) struct BrokenOff;

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenOff>>>>;

/// The body of an answer.
pub(crate) enum OutBody {
    /// Known whole.
    Whole(Option<Bytes>),
    /// Comes piece by piece.
    Pieces(Pieces),
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Pieces(pieces) => {
                let next = std::task::ready!(pieces.as_mut().poll_next(cx));
                Poll::Ready(next.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer whose body is known whole.
pub(crate) fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<OutBody> {
    let mut answer = Response::new(OutBody::Whole(Some(body).filter(|b| !b.is_empty())));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// An answer whose body comes piece by piece.
pub(crate) fn pieces(
    status: StatusCode,
    headers: HeaderMap,
    pieces: impl Stream<Item = Result<Bytes, BrokenOff>> + 'static,
) -> Response<OutBody> {
    let mut answer = Response::new(OutBody::Pieces(Box::pin(pieces)));
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
    whole(status, headers, Bytes::from_static(row.text.as_bytes()))
}
