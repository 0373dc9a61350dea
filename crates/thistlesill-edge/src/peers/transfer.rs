//! Catalogs and lists of targets that daemons hand to each other over TCP.
//!
//! A new catalog reaches one daemon from the store and the others from daemons that
//! have it: calls of the store are dear, and hundreds of daemons would make hundreds
//! for each of the operators' changes. A daemon that starts, or that missed more than is
//! kept for it, has the list of all targets from a peer in the same way.
//!
//! The exchange is one frame each way. A daemon that starts is told in a frame more that
//! it will be answered, and is as soon as the other knows what it is asked for. Who comes while a daemon hands out as many as
//! its connection bears waits in line, for as long as it likes; it can still read the
//! store. Refusing instead had two thirds of 62 daemons read the store each time.

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

/// Catalogs that are handed out at the same time: a catalog of 300 kB takes 0.12 s
/// on a connection of 20 Mbit/s, so the last of these has it after one second, a
/// quarter of the time in which it must be in force.
const MAX_AT_ONCE: usize = 8;
/// Bytes of a frame, at most: a catalog, of which the operators' store takes 8 MB in a
/// row at most, and 12,000 targets of 0.2 kB.
const MAX_FRAME: usize = 12 << 20;
/// Bytes of a compressed catalog that goes along with the list of targets, at most: four of
/// them take 0.1 s on a line of 20 Mbit/s. Larger ones, handed on through three levels of
/// daemons, had the last of 89 daemons serve 2 s after the store was back; each reads one from
/// the store in 0.12 s.
const MAX_ALONG: usize = 64 << 10;
/// Daemons that wait in line or are served, at most; each takes a descriptor. The first seed
/// is asked by all daemons of a fleet at its start; those beyond go on to the next one.
const MAX_IN_LINE: usize = 1_024;
/// Time for handing one out.
const HAND_OUT: Duration = Duration::from_secs(2);
/// Bytes of a catalog and 12,000 targets, not compressed, at most.
const MAX_KNOWN: usize = 32 << 20;
/// How long a daemon may take to say that it is there, as one that has just started does
/// on an eighth of a core.
const SAY: Duration = Duration::from_millis(150);
/// The same for a seed, which all daemons of a fleet may ask at once.
const SEED_REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after its start in which a daemon has heard of those that start with it.
const START_SPREAD: Millis = Millis::new(700);
/// After a failure to accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a daemon is asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Question {
    /// The catalog as the operators wrote it.
    Catalog,
    /// All that a daemon must know to serve.
    State,
    /// The list of all targets.
    Targets,
    /// The daemons that it knows, of which this one is another.
    Members(Member),
}

/// What a daemon answers.
#[derive(Debug, Serialize, Deserialize)]
enum Answer {
    /// It is there, and the answer follows as soon as it knows it.
    Soon,
    /// The catalog, as the operators wrote it, compressed.
    Catalog(Bytes),
    /// What it knows.
    State(Box<State>),
    /// The daemons that it knows, encoded as a list of [`Member`] and compressed.
    Members(Bytes),
}

/// A daemon as another one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) name: NodeId,
    pub(crate) address: SocketAddr,
    pub(crate) hall: HallId,
    /// What its machine's connection bears, in Mbit a second.
    pub(crate) link: u32,
}

/// What a daemon must know to serve, as a peer knows it.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct State {
    /// [`Known`], encoded and compressed.
    packed: Bytes,
    /// How old the proof is that the catalog is the newest.
    pub(crate) proof: Option<Millis>,
    /// How old the knowledge of the targets is.
    pub(crate) age: Option<Millis>,
    /// How long the store has answered without a break.
    pub(crate) steady: Option<Millis>,
    /// The data centres that are evacuated.
    pub(crate) evacuated: Evacuations,
}

/// The catalog and the targets, as a peer knows them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Known {
    /// The catalog, as the operators wrote it; empty if it is not there yet, or is so
    /// large that it is read from the store sooner.
    pub(crate) catalog: Bytes,
    /// All targets that are listed.
    pub(crate) targets: Vec<Target>,
    /// The store's version up to which all changes of targets are in the list.
    pub(crate) version: u64,
}

impl Member {
    /// The daemon with these settings.
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
    /// Takes out what the peer knows.
    ///
    /// # Errors
    ///
    /// [`TransferError::Otherwise`] if it cannot be decoded, or is longer than anything
    /// that a daemon packs.
    pub(crate) fn unpack(&self) -> Result<Known, TransferError> {
        unpack(&self.packed)
    }
}

/// Decompresses and decodes what a peer packed.
fn unpack<T: DeserializeOwned>(bytes: &Bytes) -> Result<T, TransferError> {
    postcard::from_bytes(&decompress(bytes)?)
        .ok()
        .context(OtherwiseSnafu)
}

/// Decompresses what a peer compressed; what is longer than anything that a daemon packs is
/// refused.
fn decompress(bytes: &Bytes) -> Result<Bytes, TransferError> {
    let size = lz4_flex::block::uncompressed_size(bytes);
    let (length, packed) = size.ok().context(OtherwiseSnafu)?;
    if length > MAX_KNOWN {
        return OtherwiseSnafu.fail();
    }
    let plain = lz4_flex::block::decompress(packed, length);
    Ok(plain.ok().context(OtherwiseSnafu)?.into())
}

/// Encodes and compresses; `None` if it cannot be encoded.
fn pack<T: Serialize>(what: &T) -> Option<Bytes> {
    let encoded = postcard::to_stdvec(what)
        .inspect_err(|error| log::error!("transfer: not encoded: {error}"))
        .ok()?;
    Some(lz4_flex::block::compress_prepend_size(&encoded).into())
}

/// What a daemon last packed, for the next one that asks while what it is of stays the same:
/// four do when all start.
#[derive(Debug, Default)]
pub(crate) struct Packed<K> {
    last: RefCell<Option<(K, Bytes)>>,
}

impl<K: PartialEq> Packed<K> {
    /// What was packed last if it is `of` the same, and otherwise what `pack` makes.
    fn get(&self, of: K, pack: impl FnOnce() -> Option<Bytes>) -> Option<Bytes> {
        if let Some((last, bytes)) = self.last.borrow().as_ref()
            && *last == of
        {
            return Some(bytes.clone());
        }
        let bytes = pack()?;
        self.last.replace(Some((of, bytes.clone())));
        Some(bytes)
    }
}

/// Why nothing came.
#[derive(Debug, Snafu)]
pub(crate) enum TransferError {
    /// The connection did not come up or broke off.
    #[snafu(display("{source}"))]
    Connection { source: std::io::Error },
    /// The peer has none or hands out too many.
    #[snafu(display("the peer hands none out now"))]
    Refused,
    /// What came cannot be decoded, or is not what was asked for.
    #[snafu(display("the peer speaks otherwise"))]
    Otherwise,
    /// It took too long.
    #[snafu(display("no answer in time"))]
    Late,
}

/// Hands what this daemon knows to peers, for ever.
pub(crate) async fn serve(edge: Rc<Edge>) {
    let address = edge.settings().peer_address();
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("transfer: {address}: {error}");
            return;
        }
    };
    let line = Rc::new(Line::default());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => begin(&edge, stream, &line),
            Err(error) => {
                log::debug!("transfer: a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Who waits in line or is served, and who of them is served.
#[derive(Debug)]
struct Line {
    room: Arc<Semaphore>,
    places: Semaphore,
}

impl Default for Line {
    fn default() -> Self {
        Self {
            room: Arc::new(Semaphore::new(MAX_IN_LINE)),
            places: Semaphore::new(MAX_AT_ONCE),
        }
    }
}

fn begin(edge: &Rc<Edge>, stream: TcpStream, line: &Rc<Line>) {
    let Ok(room) = line.room.clone().try_acquire_owned() else {
        metrics::counter!("thistlesill_edge_transfers_refused_total").increment(1);
        return;
    };
    let (edge, line) = (edge.clone(), line.clone());
    tokio::task::spawn_local(async move {
        let until = Instant::now() + HAND_OUT;
        match timeout_at(until, hand_out(&edge, stream, &line)).await {
            Ok(Ok(())) => metrics::counter!("thistlesill_edge_transfers_total").increment(1),
            Ok(Err(error)) => log::debug!("transfer: not handed out: {error}"),
            Err(_) => log::debug!("transfer: not handed out in time"),
        }
        drop(room);
    });
}

async fn hand_out(edge: &Edge, stream: TcpStream, line: &Line) -> Result<(), TransferError> {
    let mut frames = frames(stream, MAX_FRAME);
    let question = postcard::from_bytes(&next_frame(&mut frames).await?);
    let question = question.ok().context(OtherwiseSnafu)?;
    if matches!(question, Question::State | Question::Members(_)) {
        // What follows may take a second on its way.
        send(&mut frames, &Answer::Soon).await?;
    }
    while !knows(edge, &question) {
        edge.loaded.notified().await;
    }
    if let Question::Members(member) = &question {
        edge.peers.borrow_mut().note_member(member, edge.now());
        // Daemons that start together have told of themselves by then.
        edge.alarm.sleep_until(edge.started + START_SPREAD).await;
    }
    let place = line.places.acquire().await;
    let answer = match question {
        Question::Catalog => pack_catalog(edge).map(Answer::Catalog),
        Question::Members(_) => members(edge).map(Answer::Members),
        Question::State | Question::Targets => {
            let state = state(edge).context(RefusedSnafu)?;
            Some(Answer::State(Box::new(state)))
        }
    };
    let answer = answer.context(RefusedSnafu)?;
    let (kind, bytes) = match &answer {
        Answer::Soon => ("transfer_soon", 0),
        Answer::Catalog(text) => ("transfer_catalog", text.len()),
        Answer::State(state) => ("transfer_state", state.packed.len()),
        Answer::Members(list) => ("transfer_members", list.len()),
    };
    edge.traffic.note(kind, 1, bytes);
    let sent = send(&mut frames, &answer).await;
    drop(place);
    sent
}

/// Whether this daemon knows what it is asked for. At the first start of the whole system
/// the targets come before the catalog.
fn knows(edge: &Edge, question: &Question) -> bool {
    let targets = edge.feed.borrow().is_known();
    match question {
        Question::Catalog | Question::Members(_) => true,
        Question::Targets => targets,
        Question::State => {
            let catalog = edge.catalog.borrow().is_some() || edge.settings().first_start;
            targets && catalog
        }
    }
}

/// The catalog as the operators wrote it, compressed once for all that ask; `None` if there
/// is none.
fn pack_catalog(edge: &Edge) -> Option<Bytes> {
    let version = edge.catalog()?.version;
    edge.packed_catalog.get(version, || {
        let text = edge.catalog_text.borrow();
        Some(lz4_flex::block::compress_prepend_size(&text).into())
    })
}

/// The daemons that this one knows, packed once for all that ask while they stay the same;
/// `None` if they cannot be encoded.
fn members(edge: &Edge) -> Option<Bytes> {
    let peers = edge.peers.borrow();
    let revision = peers.revision();
    edge.packed_members
        .get(revision, || pack(&peers.members(edge)))
}

/// What this daemon knows; `None` if it cannot be encoded.
fn state(edge: &Edge) -> Option<State> {
    let now = edge.now();
    Some(State {
        packed: pack_known(edge)?,
        proof: edge.catalog_freshness.get().age(now),
        age: edge.targets_age(),
        steady: edge.registry.borrow().store_uptime(now),
        evacuated: edge.evacuations.borrow().known().clone(),
    })
}

/// The catalog and the targets, encoded and compressed: 1,000 targets take some 30 kB.
fn pack_known(edge: &Edge) -> Option<Bytes> {
    let version = edge.feed.borrow().version();
    let of = (version, edge.catalog().map(|c| c.version));
    edge.packed.get(of, || {
        let along = pack_catalog(edge).is_some_and(|packed| packed.len() <= MAX_ALONG);
        pack(&Known {
            catalog: if along {
                edge.catalog_text.borrow().clone()
            } else {
                Bytes::new()
            },
            targets: edge.registry.borrow().listed().cloned().collect(),
            version,
        })
    })
}

/// Gets the catalog of the daemon at an address, within `limit`.
pub(crate) async fn fetch_catalog(
    address: SocketAddr,
    limit: Duration,
) -> Result<Bytes, TransferError> {
    match ask(address, Question::Catalog, limit, limit).await? {
        Answer::Catalog(text) => decompress(&text),
        Answer::Soon | Answer::State(_) | Answer::Members(_) => OtherwiseSnafu.fail(),
    }
}

/// Tells the daemon at an address of a member, and gets the daemons that it knows, within
/// `limit`.
pub(crate) async fn fetch_members(
    address: SocketAddr,
    member: Member,
    limit: Duration,
) -> Result<Vec<Member>, TransferError> {
    let question = Question::Members(member);
    match ask(address, question, SEED_REPLY_TIMEOUT, limit).await? {
        Answer::Members(list) => unpack(&list),
        Answer::Soon | Answer::State(_) | Answer::Catalog(_) => OtherwiseSnafu.fail(),
    }
}

/// Gets all that a daemon must know to serve from the daemon at an address, which has
/// `limit` for it if it starts itself.
pub(crate) async fn fetch_state(
    address: SocketAddr,
    limit: Duration,
) -> Result<State, TransferError> {
    into_state(ask(address, Question::State, SAY, limit).await?)
}

/// Gets the list of all targets from the daemon at an address, within `limit`.
pub(crate) async fn fetch_targets(
    address: SocketAddr,
    limit: Duration,
) -> Result<State, TransferError> {
    into_state(ask(address, Question::Targets, limit, limit).await?)
}

fn into_state(answer: Answer) -> Result<State, TransferError> {
    match answer {
        Answer::State(state) => Ok(*state),
        Answer::Soon | Answer::Catalog(_) | Answer::Members(_) => OtherwiseSnafu.fail(),
    }
}

/// Asks the daemon at an address, which has `say` for its first word, and `limit` for
/// what it is asked for.
async fn ask(
    address: SocketAddr,
    question: Question,
    say: Duration,
    limit: Duration,
) -> Result<Answer, TransferError> {
    let start = Instant::now();
    let first = async {
        let stream = TcpStream::connect(address).await.context(ConnectionSnafu)?;
        let mut frames = frames(stream, MAX_FRAME);
        send(&mut frames, &question).await?;
        let answer = next_answer(&mut frames).await?;
        Ok((frames, answer))
    };
    let (mut frames, answer) = in_time(start + say, first).await?;
    match answer {
        Answer::Soon => in_time(start + limit, next_answer(&mut frames)).await,
        answer => Ok(answer),
    }
}

async fn in_time<T>(
    until: Instant,
    step: impl Future<Output = Result<T, TransferError>>,
) -> Result<T, TransferError> {
    timeout_at(until, step).await.ok().context(LateSnafu)?
}

async fn send<T: Serialize>(frames: &mut Frames, message: &T) -> Result<(), TransferError> {
    let bytes = postcard::to_stdvec(message).ok().context(OtherwiseSnafu)?;
    let bytes = Bytes::from(bytes);
    frames.send(bytes).await.context(ConnectionSnafu)
}

async fn next_answer(frames: &mut Frames) -> Result<Answer, TransferError> {
    let frame = next_frame(frames).await?;
    postcard::from_bytes(&frame).ok().context(OtherwiseSnafu)
}

async fn next_frame(frames: &mut Frames) -> Result<Bytes, TransferError> {
    let frame = frames.next().await.context(RefusedSnafu)?;
    Ok(frame.context(ConnectionSnafu)?.freeze())
}
