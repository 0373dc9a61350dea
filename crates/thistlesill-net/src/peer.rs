//! The link between daemons: sealed datagrams over UDP, and requests for settings over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};
use thistlesill_core::NodeId;
use thistlesill_core::config::PeerConfig;
use thistlesill_core::message::{Datagram, PeerBody, StreamReply, StreamRequest};
use thistlesill_core::seal::{MAX_DATAGRAM, SealError, SharedKey};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::clock::Clock;
use crate::journal::Journal;

/// The largest frame on a stream.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// The time for a request and its reply on a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of peers' streams that are served at a time.
const MAX_STREAMS: usize = 64;

/// An error of the peer link.
#[derive(Debug, Snafu)]
pub enum PeerError {
    /// An address could not be bound or reached.
    #[snafu(display("{address}: {source}"))]
    Io {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A reply does not verify or decode.
    #[snafu(display("{source}"))]
    Seal {
        /// The cause.
        source: SealError,
    },
    /// The peer did not answer in time, or closed the connection.
    #[snafu(display("the peer did not answer"))]
    Unresponsive,
}

/// An accepted datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerMessage {
    /// The sender's name.
    pub from: NodeId,
    /// The local wall clock minus the sender's timestamp, in milliseconds.
    pub lag: i64,
    /// The message.
    pub body: PeerBody,
}

/// The sending side of the link; cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerLink {
    local_name: NodeId,
    key: SharedKey,
    socket: Arc<UdpSocket>,
    journal: Journal,
}

impl PeerLink {
    /// Binds the datagram socket.
    ///
    /// # Errors
    ///
    /// [`PeerError::Io`] if the address cannot be bound.
    pub async fn bind(
        local_name: NodeId,
        address: SocketAddr,
        key: SharedKey,
        journal: Journal,
    ) -> Result<Self, PeerError> {
        let socket = UdpSocket::bind(address)
            .await
            .context(IoSnafu { address })?;
        Ok(Self {
            local_name,
            key,
            socket: Arc::new(socket),
            journal,
        })
    }

    /// Sends a message to each of the peers, once: a later message makes up for a lost one.
    ///
    /// A message that exceeds [`MAX_DATAGRAM`] is counted and not sent.
    pub fn send<'a>(&self, peers: impl IntoIterator<Item = &'a PeerConfig>, body: PeerBody) {
        let datagram = Datagram {
            from: self.local_name.clone(),
            stamp: self.journal.stamp(),
            body,
        };
        let bytes = self.key.seal(&datagram);
        if bytes.len() > MAX_DATAGRAM {
            metrics::counter!("thistlesill_peer_oversize_total").increment(1);
            return;
        }
        for peer in peers {
            metrics::counter!("thistlesill_peer_sent_total").increment(1);
            metrics::counter!("thistlesill_peer_sent_bytes_total").increment(bytes.len() as u64);
            // A full socket buffer drops the datagram, as the network may.
            drop(self.socket.try_send_to(&bytes, peer.peer));
        }
    }

    /// Receives datagrams and passes accepted ones to `messages`, until the receiver is dropped.
    pub async fn listen(self, messages: mpsc::Sender<PeerMessage>) {
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            metrics::counter!("thistlesill_peer_received_bytes_total").increment(length as u64);
            match self.open(&buffer[..length]) {
                Ok(message) => {
                    if messages.send(message).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    metrics::counter!("thistlesill_peer_refused_total").increment(1);
                    log::debug!("peer: refused a datagram: {error}");
                }
            }
        }
    }

    fn open(&self, bytes: &[u8]) -> Result<PeerMessage, SealError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(SealError::Length);
        }
        let datagram: Datagram = self.key.open(bytes)?;
        self.journal.merge(datagram.stamp);
        Ok(PeerMessage {
            from: datagram.from,
            lag: Clock::wall().cast_signed() - datagram.stamp.wall.cast_signed(),
            body: datagram.body,
        })
    }

    /// Sends a request to a peer on a new stream, and returns the reply.
    ///
    /// # Errors
    ///
    /// A [`PeerError`] if the peer cannot be reached, does not answer in time or has another key.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: &StreamRequest,
    ) -> Result<StreamReply, PeerError> {
        let exchange = async {
            let stream = TcpStream::connect(address)
                .await
                .context(IoSnafu { address })?;
            let mut frames = frames(stream, MAX_FRAME_BYTES);
            write(&mut frames, &self.key, request).await?;
            read(&mut frames, &self.key).await
        };
        match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::Unresponsive),
        }
    }
}

/// Backoff after a failure to accept, such as when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Answers requests on streams with `reply`, until the process ends.
///
/// # Errors
///
/// [`PeerError::Io`] if the address cannot be bound.
pub async fn serve<F>(address: SocketAddr, key: SharedKey, reply: F) -> Result<(), PeerError>
where
    F: Fn(StreamRequest) -> StreamReply + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .context(IoSnafu { address })?;
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_STREAMS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("peer: a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            metrics::counter!("thistlesill_peer_refused_total").increment(1);
            continue;
        };
        let (key, reply) = (key.clone(), reply.clone());
        tokio::spawn(async move {
            let exchange = serve_one(stream, &key, reply);
            if !matches!(
                tokio::time::timeout(REQUEST_TIMEOUT, exchange).await,
                Ok(Ok(()))
            ) {
                metrics::counter!("thistlesill_peer_refused_total").increment(1);
            }
            drop(permit);
        });
    }
}

async fn serve_one<F>(stream: TcpStream, key: &SharedKey, reply: F) -> Result<(), PeerError>
where
    F: Fn(StreamRequest) -> StreamReply,
{
    let mut frames = frames(stream, MAX_FRAME_BYTES);
    let request: StreamRequest = read(&mut frames, key).await?;
    write(&mut frames, key, &reply(request)).await
}

/// A connection that carries length-prefixed frames.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Reads and writes a connection as frames of at most `max_bytes` each.
pub fn frames(stream: TcpStream, max_bytes: usize) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(max_bytes)
        .new_codec();
    Framed::new(stream, codec)
}

async fn write<T: Serialize>(
    frames: &mut Frames,
    key: &SharedKey,
    message: &T,
) -> Result<(), PeerError> {
    let bytes = Bytes::from(key.seal(message));
    frames
        .send(bytes)
        .await
        .map_err(|_| PeerError::Unresponsive)
}

async fn read<T: DeserializeOwned>(frames: &mut Frames, key: &SharedKey) -> Result<T, PeerError> {
    let Some(Ok(bytes)) = frames.next().await else {
        return Err(PeerError::Unresponsive);
    };
    key.open(&bytes).context(SealSnafu)
}
