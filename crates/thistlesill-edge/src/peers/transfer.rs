//! Catalogs that daemons hand to each other over TCP.
//!
//! A new catalog reaches one daemon from the store and the others from daemons that
//! have it: calls of the store are dear, and hundreds of daemons would make hundreds
//! for each of the operators' changes.
//!
//! The exchange is one frame each way. Who comes while a daemon hands out as many as
//! its connection bears waits in line, for as long as it likes; it can still read the
//! store. Refusing instead had two thirds of 62 daemons read the store each time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use snafu::{OptionExt, ResultExt, Snafu};
use thistlesill_net::peer::{Frames, frames};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

use crate::state::Edge;

/// Catalogs that are handed out at the same time: a catalog of 300 kB takes 0.12 s
/// on a connection of 20 Mbit/s, so the last of these has it after one second, a
/// quarter of the time in which it must be in force.
const MAX_AT_ONCE: usize = 8;
/// Bytes of a catalog, at most; the operators' store takes no more in a row.
const MAX_CATALOG: usize = 8 << 20;
/// Daemons that wait in line or are served, at most; each takes a descriptor.
const MAX_IN_LINE: usize = 256;
/// Time for handing one out.
const HAND_OUT: Duration = Duration::from_secs(2);
/// The question, the only one there is.
const QUESTION: &[u8] = b"catalog";
/// After a failure to accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why no catalog came.
#[derive(Debug, Snafu)]
pub(crate) enum TransferError {
    /// The connection did not come up or broke off.
    #[snafu(display("{source}"))]
    Connection { source: std::io::Error },
    /// The peer has none or hands out too many.
    #[snafu(display("the peer hands none out now"))]
    Refused,
    /// It took too long.
    #[snafu(display("no catalog in time"))]
    Late,
}

/// Hands the catalog to peers, for ever.
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
    let place = line.places.acquire().await;
    let mut frames = frames(stream, MAX_CATALOG);
    let question = next_frame(&mut frames).await?;
    let text = edge.catalog_text.borrow().clone();
    if question != QUESTION || text.is_empty() {
        return RefusedSnafu.fail();
    }
    let sent = frames.send(text).await.context(ConnectionSnafu);
    drop(place);
    sent
}

/// Gets the catalog of the daemon at an address, within `limit`.
pub(crate) async fn fetch_catalog(
    address: SocketAddr,
    limit: Duration,
) -> Result<Bytes, TransferError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await.context(ConnectionSnafu)?;
        let mut frames = frames(stream, MAX_CATALOG);
        let question = Bytes::from_static(QUESTION);
        frames.send(question).await.context(ConnectionSnafu)?;
        next_frame(&mut frames).await
    };
    match timeout_at(Instant::now() + limit, exchange).await {
        Ok(result) => result,
        Err(_) => LateSnafu.fail(),
    }
}

async fn next_frame(frames: &mut Frames) -> Result<Bytes, TransferError> {
    let frame = frames.next().await.context(RefusedSnafu)?;
    Ok(frame.context(ConnectionSnafu)?.freeze())
}
