//! A single HTTP/1.1 connection, owned by its user.
//!
//! A connection pool hides which connection carries a request; a proxy has to know whether a
//! request that failed can have reached the server.

use std::io::ErrorKind;
use std::net::{IpAddr, SocketAddr};
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::http::is_final_status;
use crate::stream::{BlockedWrites, BudgetedBody, ReadBudget, WatchedStream};

/// The local address of all connections of this process; without one, the system chooses it.
static SOURCE: OnceLock<IpAddr> = OnceLock::new();

/// Sets the local address of all connections that this process opens from now on.
///
/// Only the first call has an effect.
pub fn bind_source(address: IpAddr) {
    SOURCE.get_or_init(|| address);
}

/// Opens a TCP connection from the address that [`bind_source`] set, if any.
async fn open(address: SocketAddr) -> std::io::Result<TcpStream> {
    let Some(source) = SOURCE.get() else {
        return TcpStream::connect(address).await;
    };
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(*source, 0))?;
    socket.connect(address).await
}

/// The reason why a request on a connection has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ConnectionError {
    /// Nothing listens at the address; nothing was sent.
    #[snafu(display("connection refused"))]
    Refused,
    /// No part of the request was sent.
    #[snafu(display("not sent: {text}"))]
    Unsent {
        /// The cause.
        text: String,
    },
    /// The connection was lost; the request, or a part of it, may have arrived.
    #[snafu(display("connection lost: {text}"))]
    Lost {
        /// The cause.
        text: String,
    },
    /// The server closed the connection within the head of its answer; the request may have arrived.
    #[snafu(display("the head of the answer broke off: {text}"))]
    HeadCut {
        /// The cause.
        text: String,
    },
    /// The server sent bytes that are no answer, or a status that no answer may have; the request may
    /// have arrived.
    #[snafu(display("not an answer: {text}"))]
    Garbled {
        /// The cause.
        text: String,
    },
    /// No answer came in time; the request may have arrived.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// An open connection that carries one request at a time.
///
/// Dropping it closes the connection, whatever is under way.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    budget: ReadBudget,
    task: JoinHandle<()>,
}

impl HttpConnection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Refused`] if nothing listens there, [`ConnectionError::Unsent`] if the
    /// connection is not established by `until`.
    pub async fn connect(address: SocketAddr, until: Instant) -> Result<Self, ConnectionError> {
        let stream = match timeout_at(until, open(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ConnectionError::Refused);
            }
            Ok(Err(error)) => return Err(unsent(&error)),
            Err(_) => {
                let text = "the connection was not established in time".to_owned();
                return Err(ConnectionError::Unsent { text });
            }
        };
        stream.set_nodelay(true).map_err(|e| unsent(&e))?;
        let budget = ReadBudget::new();
        let stream = WatchedStream::new(stream, budget.clone(), BlockedWrites::default());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|e| unsent(&e))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
        Ok(Self {
            sender,
            budget,
            task,
        })
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and returns the response, whose body is not read yet. A server that sends
    /// bytes without end loses its connection.
    ///
    /// # Errors
    ///
    /// A [`ConnectionError`] that tells whether the request can have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<BudgetedBody>, ConnectionError> {
        self.budget.renew();
        let answer = self.sender.try_send_request(request);
        match timeout_at(until, answer).await {
            Ok(Ok(response)) if !is_final_status(response.status()) => {
                let text = format!("no answer has the status {}", response.status().as_u16());
                Err(ConnectionError::Garbled { text })
            }
            Ok(Ok(response)) => {
                Ok(response.map(|body| BudgetedBody::new(body, self.budget.clone())))
            }
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                let text = error.to_string();
                Err(if is_unsent {
                    ConnectionError::Unsent { text }
                } else if error.is_parse() {
                    ConnectionError::Garbled { text }
                } else if !self.budget.is_untouched() {
                    ConnectionError::HeadCut { text }
                } else {
                    ConnectionError::Lost { text }
                })
            }
            Err(_) => Err(ConnectionError::TimedOut),
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// As [`HttpConnection::send`]; a response that breaks off or exceeds `max_bytes` is
    /// [`ConnectionError::Lost`].
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
        until: Instant,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let (head, body) = self.send(request, until).await?.into_parts();
        let read = Limited::new(body, max_bytes).collect();
        match timeout_at(until, read).await {
            Ok(Ok(body)) => Ok(Response::from_parts(head, body.to_bytes())),
            Ok(Err(error)) => {
                let text = error.to_string();
                Err(ConnectionError::Lost { text })
            }
            Err(_) => Err(ConnectionError::TimedOut),
        }
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ConnectionError {
    /// Returns whether no part of the request can have arrived.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Refused | Self::Unsent { .. })
    }

    /// Returns whether the server has sent something, so that it was reached.
    pub const fn has_reached(&self) -> bool {
        matches!(self, Self::HeadCut { .. } | Self::Garbled { .. })
    }
}

/// The size to which a connection's read buffer may grow.
pub const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that the codecs hold of an answer which is read faster than its caller takes it: a read buffer, and
/// one that waits to be written.
pub const CODEC_BYTES: usize = 2 * MAX_BUFFER_BYTES;

/// Returns the point in time that is `limit` from now.
pub fn within(limit: Duration) -> Instant {
    Instant::now() + limit
}

fn unsent(error: &dyn std::error::Error) -> ConnectionError {
    let text = error.to_string();
    ConnectionError::Unsent { text }
}
