//! Connections under an HTTP codec, bounded in what they read and observed in what they write.
//!
//! A peer in trouble may send informational responses, bytes before a head or the digits of a
//! chunk's size without end. The codec reads all of these without a result, as fast as they come,
//! and so keeps the process from everything else.
//!
//! A message counts as sent when the codec has taken it. A slow reader keeps the codec from writing
//! it for long after that, and a process that ended meanwhile would cut it off.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may arrive before the next result: the head of a message, or a part of its
/// body. Several times the codec's largest read, which may run ahead of the reader by one part.
const MAX_BYTES: usize = 256 * 1024;

/// The number of bytes that a connection may still read before the next result.
#[derive(Debug, Clone)]
pub struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Creates the budget of a new connection.
    #[must_use]
    pub fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_BYTES)))
    }

    /// Starts the count anew, since a result arrived or is awaited from now on.
    pub fn renew(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Returns whether nothing has arrived since the count was started.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        self.0.load(Ordering::Relaxed) == MAX_BYTES
    }

    fn is_exhausted(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn consume(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
}

impl Default for ReadBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Number of connections that cannot write all they have to send. Clones share the number.
#[derive(Debug, Clone, Default)]
pub struct BlockedWrites(Arc<AtomicUsize>);

impl BlockedWrites {
    /// Returns the number of connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection of which reads fail once its budget is exhausted, and which is counted while its
/// last write could not be completed.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    budget: ReadBudget,
    blocked: BlockedWrites,
    is_blocked: bool,
}

impl WatchedStream {
    /// Watches a connection until the returned value is dropped.
    #[must_use]
    pub const fn new(stream: TcpStream, budget: ReadBudget, blocked: BlockedWrites) -> Self {
        Self {
            stream,
            budget,
            blocked,
            is_blocked: false,
        }
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        let count = &self.blocked.0;
        match (self.is_blocked, is_blocked) {
            (false, true) => drop(count.fetch_add(1, Ordering::Relaxed)),
            (true, false) => drop(count.fetch_sub(1, Ordering::Relaxed)),
            (false, false) | (true, true) => {}
        }
        self.is_blocked = is_blocked;
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        self.set_blocked(false);
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.budget.is_exhausted() {
            let text = "the peer sends bytes without end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        self.budget.consume(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.set_blocked(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.set_blocked(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The body of a message. Each part of it renews the budget of its connection.
#[derive(Debug)]
pub struct BudgetedBody {
    incoming: Incoming,
    budget: ReadBudget,
}

impl BudgetedBody {
    /// Wraps the body of a message whose head has arrived, which renews the budget as well.
    #[must_use]
    pub fn new(incoming: Incoming, budget: ReadBudget) -> Self {
        budget.renew();
        Self { incoming, budget }
    }
}

impl Body for BudgetedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        self.budget.renew();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
