//! Transfers catalogs, lists of targets and lists of daemons between daemons over TCP.
//!
//! A new catalog reaches one daemon from the store and the others from daemons that have it: calls
//! of the store are expensive, and hundreds of daemons would make hundreds for each of the
//! operators' changes. A daemon that starts, or that missed more changes than its peers keep,
//! fetches the list of all targets from a peer in the same way.
//!
//! The exchange is one frame each way. A daemon that starts first receives a frame saying that the
//! reply will follow, and the reply as soon as the peer has what was asked for. While a daemon
//! serves as many transfers as its connection bears, further peers wait in a queue, until
//! `SERVE_TIMEOUT` at most; they can still read the store. When such peers were refused instead,
//! two thirds of 62 daemons read the store each time.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};
use thistlesill_core::edge::{EdgeSettings, Evacuations, Target};
use thistlesill_core::{HallId, Millis, NodeId};
use thistlesill_net::peer::{Frames, frames};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

use crate::state::Edge;

/// Transfers that are served at the same time: a catalog of 300 kB takes 0.12 s on a connection of
/// 20 Mbit/s, so the last of these has it after one second, a quarter of the time in which it must
/// be in force.
const MAX_ACTIVE: usize = 8;
/// Largest size of a frame: a catalog, of which the operators' store accepts at most 8 MB in a row,
/// and 12,000 targets of 0.2 kB.
const MAX_FRAME_BYTES: usize = 12 << 20;
/// Largest size of a compressed catalog that is sent with the list of targets: four of them take
/// 0.1 s on a line of 20 Mbit/s. Larger ones, forwarded through three levels of daemons, made the
/// last of 89 daemons serve 2 s after the store was back; each reads one from the store in 0.12 s.
const MAX_INLINE_CATALOG_BYTES: usize = 64 << 10;
/// Most peers that are queued or served; each takes a file descriptor. The first seed is asked by
/// all daemons of a fleet at its start; those beyond the limit ask the next seed.
const MAX_QUEUED: usize = 1_024;
/// Timeout for serving one transfer, including the time in the queue.
const SERVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest size of a catalog and 12,000 targets when decompressed.
const MAX_SNAPSHOT_BYTES: usize = 32 << 20;
/// How long a daemon may take for its first frame, as one that has just started does on an eighth
/// of a core.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(150);
/// How long a seed may take for its first frame: all daemons of a fleet may ask it at once.
const SEED_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after its start until a daemon has received the announcements of those that start with it.
const START_SPREAD: Millis = Millis::new(700);
/// Delay after a connection could not be accepted, as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request to a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Request {
    /// The catalog as the operators wrote it.
    Catalog,
    /// All that a daemon must know to serve.
    State,
    /// The list of all targets.
    Targets,
    /// The daemons that the receiver knows; the sender, given here, is added to them.
    Members(Member),
}

/// A reply to a [`Request`].
#[derive(Debug, Serialize, Deserialize)]
enum Reply {
    /// The reply follows as soon as the daemon has what was asked for.
    Soon,
    /// The catalog as the operators wrote it, compressed.
    Catalog(Bytes),
    /// The catalog and the targets that the daemon knows.
    State(Box<State>),
    /// The daemons that the sender knows, encoded as a list of [`Member`] and compressed.
    Members(Bytes),
}

/// A daemon as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) name: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) hall: HallId,
    /// Bandwidth of the network connection of the daemon's instance, in Mbit/s.
    pub(crate) link: u32,
}

/// What a daemon must know to serve, as a peer knows it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct State {
    /// [`Snapshot`], encoded and compressed.
    packed: Bytes,
    /// Age of the proof that the catalog is the newest.
    pub(crate) proof: Option<Millis>,
    /// Age of the knowledge of the targets.
    pub(crate) age: Option<Millis>,
    /// How long the store has answered without interruption.
    pub(crate) store_uptime: Option<Millis>,
    /// The data centres that are evacuated.
    pub(crate) evacuated: Evacuations,
}

/// The catalog and the targets, as a peer knows them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// The catalog as the operators wrote it; empty if the peer has none yet, or if it is so large
    /// that reading it from the store is faster.
    pub(crate) catalog: Bytes,
    /// All targets that are listed.
    pub(crate) targets: Vec<Target>,
    /// The store's version up to which all changes of targets are in the list.
    pub(crate) version: u64,
}

impl Member {
    /// Returns the daemon with these settings.
    pub(crate) fn own(settings: &EdgeSettings) -> Self {
        Self {
            name: settings.name.clone(),
            address: settings.peer_address(),
            hall: settings.hall.clone(),
            link: settings.link,
        }
    }
}

impl State {
    /// Decompresses and decodes the catalog and the targets.
    ///
    /// # Errors
    ///
    /// [`TransferError::Malformed`] if the bytes cannot be decoded, or are longer than anything
    /// that a daemon packs.
    pub(crate) fn unpack(&self) -> Result<Snapshot, TransferError> {
        unpack(&self.packed)
    }
}

/// Decompresses and decodes what a peer packed.
fn unpack<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, TransferError> {
    postcard::from_bytes(&decompress(bytes)?)
        .ok()
        .context(MalformedSnafu)
}

/// Decompresses what a peer compressed; refuses what is longer than anything that a daemon packs.
fn decompress(bytes: &Bytes) -> Result<Bytes, TransferError> {
    let size = lz4_flex::block::uncompressed_size(bytes);
    let (length, packed) = size.ok().context(MalformedSnafu)?;
    if length > MAX_SNAPSHOT_BYTES {
        return MalformedSnafu.fail();
    }
    let plain = lz4_flex::block::decompress(packed, length);
    Ok(plain.ok().context(MalformedSnafu)?.into())
}

/// Encodes and compresses a value; returns `None` if it cannot be encoded.
fn pack<T: Serialize>(value: &T) -> Option<Bytes> {
    let encoded = postcard::to_stdvec(value)
        .inspect_err(|error| log::error!("transfer: cannot encode a reply: {error}"))
        .ok()?;
    Some(lz4_flex::block::compress_prepend_size(&encoded).into())
}

/// Caches the last packed value for the next peer that asks while its source, identified by the
/// key, stays the same: when all daemons start, four peers ask.
#[derive(Debug, Default)]
pub(crate) struct PackedCache<K> {
    last: RefCell<Option<(K, Bytes)>>,
}

impl<K: PartialEq> PackedCache<K> {
    /// Returns the cached bytes if they belong to `key`, and otherwise packs and caches new ones.
    fn get(&self, key: K, pack: impl FnOnce() -> Option<Bytes>) -> Option<Bytes> {
        if let Some((last, bytes)) = self.last.borrow().as_ref()
            && *last == key
        {
            return Some(bytes.clone());
        }
        let bytes = pack()?;
        self.last.replace(Some((key, bytes.clone())));
        Some(bytes)
    }
}

/// Why a transfer failed.
#[derive(Debug, Snafu)]
pub(crate) enum TransferError {
    /// The connection did not come up or broke off.
    #[snafu(display("{source}"))]
    Connection { source: std::io::Error },
    /// The peer has nothing to send, or serves too many others.
    #[snafu(display("the peer refused the transfer"))]
    Refused,
    /// The message cannot be decoded, or is not what was asked for.
    #[snafu(display("the peer sent an unexpected or malformed message"))]
    Malformed,
    /// The peer did not answer in time.
    #[snafu(display("no answer in time"))]
    TimedOut,
}

/// Serves transfers to peers, without end.
pub(crate) async fn serve(edge: Rc<Edge>) {
    let address = edge.settings().peer_address();
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("transfer: {address}: {error}");
            return;
        }
    };
    let limits = Rc::new(TransferLimits::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_transfer(&edge, stream, &limits),
            Err(error) => {
                log::debug!("transfer: a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Limits on the peers that are queued or served, and on those of them that are served.
#[derive(Debug)]
struct TransferLimits {
    queued: Arc<Semaphore>,
    active: Semaphore,
}

impl Default for TransferLimits {
    fn default() -> Self {
        Self {
            queued: Arc::new(Semaphore::new(MAX_QUEUED)),
            active: Semaphore::new(MAX_ACTIVE),
        }
    }
}

fn spawn_transfer(edge: &Rc<Edge>, stream: TcpStream, limits: &Rc<TransferLimits>) {
    let Ok(slot) = limits.queued.clone().try_acquire_owned() else {
        metrics::counter!("thistlesill_edge_transfers_refused_total").increment(1);
        return;
    };
    let (edge, limits) = (edge.clone(), limits.clone());
    tokio::task::spawn_local(async move {
        let deadline = Instant::now() + SERVE_TIMEOUT;
        match timeout_at(deadline, serve_peer(&edge, stream, &limits)).await {
            Ok(Ok(())) => metrics::counter!("thistlesill_edge_transfers_total").increment(1),
            Ok(Err(error)) => log::debug!("transfer: failed: {error}"),
            Err(_) => log::debug!("transfer: timed out"),
        }
        drop(slot);
    });
}

async fn serve_peer(
    edge: &Edge,
    stream: TcpStream,
    limits: &TransferLimits,
) -> Result<(), TransferError> {
    let mut frames = frames(stream, MAX_FRAME_BYTES);
    let request = postcard::from_bytes(&next_frame(&mut frames).await?);
    let request = request.ok().context(MalformedSnafu)?;
    if matches!(request, Request::State | Request::Members(_)) {
        // The reply proper may take a second to arrive.
        send(&mut frames, &Reply::Soon).await?;
    }
    while !can_answer(edge, &request) {
        edge.loaded.notified().await;
    }
    if let Request::Members(member) = &request {
        edge.peers.borrow_mut().add_member(member, edge.now());
        // Daemons that start together have announced themselves by then.
        edge.alarm.sleep_until(edge.started + START_SPREAD).await;
    }
    let permit = limits.active.acquire().await;
    let reply = match request {
        Request::Catalog => pack_catalog(edge).map(Reply::Catalog),
        Request::Members(_) => members(edge).map(Reply::Members),
        Request::State | Request::Targets => {
            let state = state(edge).context(RefusedSnafu)?;
            Some(Reply::State(Box::new(state)))
        }
    };
    let reply = reply.context(RefusedSnafu)?;
    let (kind, bytes) = match &reply {
        Reply::Soon => ("transfer_soon", 0),
        Reply::Catalog(text) => ("transfer_catalog", text.len()),
        Reply::State(state) => ("transfer_state", state.packed.len()),
        Reply::Members(list) => ("transfer_members", list.len()),
    };
    edge.traffic.record(kind, 1, bytes);
    let sent = send(&mut frames, &reply).await;
    drop(permit);
    sent
}

/// Returns whether this daemon has what is asked for. At the first start of the whole system the
/// targets come before the catalog.
fn can_answer(edge: &Edge, request: &Request) -> bool {
    let targets = edge.feed.borrow().is_known();
    match request {
        Request::Catalog | Request::Members(_) => true,
        Request::Targets => targets,
        Request::State => {
            let catalog = edge.catalog.borrow().is_some() || edge.settings().first_start;
            targets && catalog
        }
    }
}

/// Returns the catalog as the operators wrote it, compressed once for all peers; `None` if there is
/// none.
fn pack_catalog(edge: &Edge) -> Option<Bytes> {
    let version = edge.catalog()?.version;
    edge.packed_catalog.get(version, || {
        let text = edge.catalog_text.borrow();
        Some(lz4_flex::block::compress_prepend_size(&text).into())
    })
}

/// Returns the daemons that this one knows, packed once for all peers while they stay the same;
/// `None` if they cannot be encoded.
fn members(edge: &Edge) -> Option<Bytes> {
    let peers = edge.peers.borrow();
    let revision = peers.revision();
    edge.packed_members
        .get(revision, || pack(&peers.members(edge)))
}

/// Returns what this daemon knows; `None` if it cannot be encoded.
fn state(edge: &Edge) -> Option<State> {
    let now = edge.now();
    Some(State {
        packed: pack_snapshot(edge)?,
        proof: edge.catalog_freshness.get().age(now),
        age: edge.targets_age(),
        store_uptime: edge.registry.borrow().store_uptime(now),
        evacuated: edge.evacuations.borrow().known().clone(),
    })
}

/// Returns the catalog and the targets, encoded and compressed: 1,000 targets take some 30 kB.
fn pack_snapshot(edge: &Edge) -> Option<Bytes> {
    let version = edge.feed.borrow().version();
    let key = (version, edge.catalog().map(|c| c.version));
    edge.packed.get(key, || {
        let inline =
            pack_catalog(edge).is_some_and(|packed| packed.len() <= MAX_INLINE_CATALOG_BYTES);
        pack(&Snapshot {
            catalog: if inline {
                edge.catalog_text.borrow().clone()
            } else {
                Bytes::new()
            },
            targets: edge.registry.borrow().listed().cloned().collect(),
            version,
        })
    })
}

/// Fetches the catalog from the daemon at an address, within `timeout`.
pub(crate) async fn fetch_catalog(
    address: SocketAddr,
    timeout: Duration,
) -> Result<Bytes, TransferError> {
    match ask(address, Request::Catalog, timeout, timeout).await? {
        Reply::Catalog(text) => decompress(&text),
        Reply::Soon | Reply::State(_) | Reply::Members(_) => MalformedSnafu.fail(),
    }
}

/// Announces a member to the daemon at an address, and fetches the daemons that it knows, within
/// `timeout`.
pub(crate) async fn fetch_members(
    address: SocketAddr,
    member: Member,
    timeout: Duration,
) -> Result<Vec<Member>, TransferError> {
    let request = Request::Members(member);
    match ask(address, request, SEED_REPLY_TIMEOUT, timeout).await? {
        Reply::Members(list) => unpack(&list),
        Reply::Soon | Reply::State(_) | Reply::Catalog(_) => MalformedSnafu.fail(),
    }
}

/// Fetches all that a daemon must know to serve from the daemon at an address, which has `timeout`
/// for it if it is starting itself.
pub(crate) async fn fetch_state(
    address: SocketAddr,
    timeout: Duration,
) -> Result<State, TransferError> {
    into_state(ask(address, Request::State, FIRST_REPLY_TIMEOUT, timeout).await?)
}

/// Fetches the list of all targets from the daemon at an address, within `timeout`.
pub(crate) async fn fetch_targets(
    address: SocketAddr,
    timeout: Duration,
) -> Result<State, TransferError> {
    into_state(ask(address, Request::Targets, timeout, timeout).await?)
}

fn into_state(reply: Reply) -> Result<State, TransferError> {
    match reply {
        Reply::State(state) => Ok(*state),
        Reply::Soon | Reply::Catalog(_) | Reply::Members(_) => MalformedSnafu.fail(),
    }
}

/// Sends a request to the daemon at an address, which has `first_timeout` for its first frame, and
/// `timeout` for the reply proper.
async fn ask(
    address: SocketAddr,
    request: Request,
    first_timeout: Duration,
    timeout: Duration,
) -> Result<Reply, TransferError> {
    let start = Instant::now();
    let first = async {
        let stream = TcpStream::connect(address).await.context(ConnectionSnafu)?;
        let mut frames = frames(stream, MAX_FRAME_BYTES);
        send(&mut frames, &request).await?;
        let reply = next_reply(&mut frames).await?;
        Ok((frames, reply))
    };
    let (mut frames, reply) = in_time(start + first_timeout, first).await?;
    match reply {
        Reply::Soon => in_time(start + timeout, next_reply(&mut frames)).await,
        reply => Ok(reply),
    }
}

async fn in_time<T>(
    deadline: Instant,
    step: impl Future<Output = Result<T, TransferError>>,
) -> Result<T, TransferError> {
    timeout_at(deadline, step)
        .await
        .ok()
        .context(TimedOutSnafu)?
}

async fn send<T: Serialize>(frames: &mut Frames, message: &T) -> Result<(), TransferError> {
    let bytes = postcard::to_stdvec(message).ok().context(MalformedSnafu)?;
    let bytes = Bytes::from(bytes);
    frames.send(bytes).await.context(ConnectionSnafu)
}

async fn next_reply(frames: &mut Frames) -> Result<Reply, TransferError> {
    let frame = next_frame(frames).await?;
    postcard::from_bytes(&frame).ok().context(MalformedSnafu)
}

async fn next_frame(frames: &mut Frames) -> Result<Bytes, TransferError> {
    let frame = frames.next().await.context(RefusedSnafu)?;
    Ok(frame.context(ConnectionSnafu)?.freeze())
}
