//! The link between daemons: sealed datagrams over UDP, and questions about
//! settings over TCP.

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

/// Bytes of a frame on a stream, at most.
const MAX_FRAME: usize = 64 << 20;
/// Time for a question on a stream.
const ASK_LIMIT: Duration = Duration::from_secs(5);
/// Streams of peers at a time.
const MAX_STREAMS: usize = 64;

/// Why the link failed.
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
    /// A message was not accepted.
    #[snafu(display("{source}"))]
    Seal {
        /// The cause.
        source: SealError,
    },
    /// The peer did not answer in time.
    #[snafu(display("the peer did not answer"))]
    Silent,
}

/// A datagram that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerMessage {
    /// The sender.
    pub from: NodeId,
    /// Our wall clock less the sender's, in milliseconds.
    pub lag: i64,
    /// The content.
    pub body: PeerBody,
}

/// The sending side of the link; cheap to clone.
#[derive(Debug, Clone)]
pub struct PeerLink {
    me: NodeId,
    key: SharedKey,
    socket: Arc<UdpSocket>,
    journal: Journal,
}

impl PeerLink {
    /// Binds the datagram socket.
    ///
    /// # Errors
    ///
    /// [`PeerError::Io`] if the address is taken.
    pub async fn bind(
        me: NodeId,
        address: SocketAddr,
        key: SharedKey,
        journal: Journal,
    ) -> Result<Self, PeerError> {
        let socket = UdpSocket::bind(address)
            .await
            .context(IoSnafu { address })?;
        Ok(Self {
            me,
            key,
            socket: Arc::new(socket),
            journal,
        })
    }

    /// Sends a message to each of the peers. A message that is lost is made
    /// good by a later one.
    pub fn send<'a>(&self, peers: impl IntoIterator<Item = &'a PeerConfig>, body: PeerBody) {
        let datagram = Datagram {
            from: self.me.clone(),
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
            // A full socket buffer loses the datagram, as the network may.
            drop(self.socket.try_send_to(&bytes, peer.peer));
        }
    }

    /// Receives datagrams until the receiver of `out` is gone.
    pub async fn listen(self, out: mpsc::Sender<PeerMessage>) {
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            metrics::counter!("thistlesill_peer_received_bytes_total").increment(length as u64);
            match self.open(&buffer[..length]) {
                Ok(heard) => {
                    if out.send(heard).await.is_err() {
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

    /// Asks a peer a question on a stream.
    ///
    /// # Errors
    ///
    /// A [`PeerError`] if the peer cannot be reached, does not answer in
    /// time or has another key.
    pub async fn ask(
        &self,
        address: SocketAddr,
        ask: &StreamRequest,
    ) -> Result<StreamReply, PeerError> {
        let exchange = async {
            let stream = TcpStream::connect(address)
                .await
                .context(IoSnafu { address })?;
            let mut frames = frames(stream, MAX_FRAME);
            write(&mut frames, &self.key, ask).await?;
            read(&mut frames, &self.key).await
        };
        match tokio::time::timeout(ASK_LIMIT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PeerError::Silent),
        }
    }
}

/// Answers questions on streams with `reply`, for ever.
///
/// # Errors
///
/// [`PeerError::Io`] if the address is taken.
pub async fn answer<F>(address: SocketAddr, key: SharedKey, reply: F) -> Result<(), PeerError>
where
    F: Fn(StreamRequest) -> StreamReply + Clone + Send + 'static,
{
    let listener = TcpListener::bind(address)
        .await
        .context(IoSnafu { address })?;
    let room = Arc::new(tokio::sync::Semaphore::new(MAX_STREAMS));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            metrics::counter!("thistlesill_peer_refused_total").increment(1);
            continue;
        };
        let (key, reply) = (key.clone(), reply.clone());
        tokio::spawn(async move {
            let exchange = answer_one(stream, &key, reply);
            if !matches!(tokio::time::timeout(ASK_LIMIT, exchange).await, Ok(Ok(()))) {
                metrics::counter!("thistlesill_peer_refused_total").increment(1);
            }
            drop(permit);
        });
    }
}

async fn answer_one<F>(stream: TcpStream, key: &SharedKey, reply: F) -> Result<(), PeerError>
where
    F: Fn(StreamRequest) -> StreamReply,
{
    let mut frames = frames(stream, MAX_FRAME);
    let ask: StreamRequest = read(&mut frames, key).await?;
    write(&mut frames, key, &reply(ask)).await
}

/// A connection that carries frames of a known length.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// Frames of at most `most` bytes on a connection.
pub fn frames(stream: TcpStream, most: usize) -> Frames {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(most)
        .new_codec();
    Framed::new(stream, codec)
}

async fn write<T: Serialize>(
    frames: &mut Frames,
    key: &SharedKey,
    message: &T,
) -> Result<(), PeerError> {
    let bytes = Bytes::from(key.seal(message));
    frames.send(bytes).await.map_err(|_| PeerError::Silent)
}

async fn read<T: DeserializeOwned>(frames: &mut Frames, key: &SharedKey) -> Result<T, PeerError> {
    let Some(Ok(bytes)) = frames.next().await else {
        return Err(PeerError::Silent);
    };
    key.open(&bytes).context(SealSnafu)
}
