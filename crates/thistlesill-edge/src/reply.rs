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

/// An answer that ends before it is complete; the connection to the caller is closed with it.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub(crate) struct Interrupted;

/// Number of targets that this daemon sent a request to before its answer began, as an extension of
/// the answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentTargets(pub(crate) u32);

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, Interrupted>>>>;

/// The body of an answer.
pub(crate) enum OutBody {
    /// A body that is known completely.
    Complete(Option<Bytes>),
    /// A body that is sent chunk by chunk.
    Streamed(Chunks),
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
            Self::Streamed(chunks) => {
                let next = std::task::ready!(chunks.as_mut().poll_next(cx));
                Poll::Ready(next.map(|chunk| chunk.map(Frame::data)))
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

/// Builds an answer of which the body is known completely.
pub(crate) fn complete(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<OutBody> {
    let mut answer = Response::new(OutBody::Complete(Some(body).filter(|b| !b.is_empty())));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Builds an answer of which the body is sent chunk by chunk.
pub(crate) fn streamed(
    status: StatusCode,
    headers: HeaderMap,
    chunks: impl Stream<Item = Result<Bytes, Interrupted>> + 'static,
) -> Response<OutBody> {
    let mut answer = Response::new(OutBody::Streamed(Box::pin(chunks)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}

/// Builds the answer to an error.
///
/// `after`, if given, replaces the usual time after which the caller may retry. The kind is an
/// extension of the answer, by which one that a peer gets is told from a target's.
pub(crate) fn error(kind: ErrorKind, after: Option<Millis>) -> Response<OutBody> {
    let row = kind.answer();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut headers = HeaderMap::new();
    if let Retry::After(usual) = row.retry {
        set_retry_after(&mut headers, after.unwrap_or(usual));
    }
    let mut answer = complete(status, headers, Bytes::from_static(row.text.as_bytes()));
    answer.extensions_mut().insert(kind);
    answer
}
