//! How a daemon that starts obtains the catalog and the targets.
//!
//! The first daemons of each data centre read the store; the others ask the daemon above them
//! ([`thistlesill_policy::edge::start`]), which answers as soon as it has them. A daemon that gets
//! no answer reads the store after all, and still accepts what a peer announces.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_policy::edge::start::{self as policy, Source, source};

use crate::evacuation;
use crate::peers::transfer::{self, State, TransferError};
use crate::state::Edge;
use crate::watch;

/// How long a daemon waits for the store's list of daemons, or for a peer that knows, before it
/// reads the store itself. A store that does not answer this request hardly answers others.
const LIST_TIMEOUT: Millis = Millis::new(3_000);
/// How long a peer that is starting itself is waited for: a read of 3,000 targets takes a small
/// machine one second. Waiting for it is still cheaper than waiting for a busy store.
const STARTING_PEER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for a peer that knows, for a list of 3,000 targets on a line of 20 Mbit/s and seven
/// others before it.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// All daemons start within this time of each other after a loss of power, as the platform starts
/// them. Before this wait, one of four found no listening daemon above it, and read the store.
const START_SPREAD: Millis = Millis::new(300);
/// Time between two rounds of requests to daemons that do not listen yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Whether a daemon that starts still waits for peers, or reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    /// The daemon has not decided yet, or waits for a peer.
    Waiting,
    /// The daemon reads the store, for itself and for the daemons that ask it.
    ReadsStore,
    /// The daemon has the data of a peer, or reads the store for itself.
    Done,
}

/// Obtains what this daemon must know to serve from a peer, or has this daemon read the store.
pub(crate) async fn run(edge: Rc<Edge>) {
    let (from, next) = match await_source(&edge).await {
        FirstSource::Fetched => ("a peer that announced its data".to_owned(), Start::Done),
        FirstSource::Decided(Source::Store) => ("store".to_owned(), Start::ReadsStore),
        FirstSource::Decided(Source::Peers(ranks)) => match ask_above(&edge, &ranks).await {
            Some(address) => (address.to_string(), Start::Done),
            None => ("store, since no peer answered".to_owned(), Start::Done),
        },
    };
    edge.lines.line("start_source").with("from", from).write();
    edge.start.set(next);
    // If this were decided only later, the daemon would read the catalog a second time to begin
    // with.
    edge.is_reader
        .set(next == Start::ReadsStore && !edge.settings().first_start);
    edge.start_ended.notify_waiters();
}

/// Returns the time after which a caller may retry that this daemon refuses because it has no catalog
/// or no targets yet; `None` once it has both.
pub(crate) fn retry_after(edge: &Edge) -> Option<Millis> {
    if edge.has_loaded() {
        return None;
    }
    let settings = edge.settings();
    let peers = edge.peers.borrow();
    let rank = peers
        .is_listed()
        .then(|| peers.rank(&settings.name, &settings.hall));
    let elapsed = edge.now() - edge.started;
    let rng = &mut *edge.rng.borrow_mut();
    Some(policy::retry_after(rank, elapsed, rng))
}

/// Waits until the daemon may read the store, unless it has obtained everything before.
pub(crate) async fn await_turn(edge: &Edge) {
    while edge.start.get() == Start::Waiting {
        edge.start_ended.notified().await;
    }
}

/// The first event that tells a starting daemon where to obtain its data.
enum FirstSource {
    /// A peer announced its data, and this daemon has fetched them.
    Fetched,
    /// The list of daemons, or a timeout, decided on this source.
    Decided(Source),
}

/// Waits for the list of daemons, or for a peer that knows, for a short time.
async fn await_source(edge: &Edge) -> FirstSource {
    let deadline = edge.now() + LIST_TIMEOUT;
    while !edge.peers.borrow().is_listed() {
        tokio::select! {
            () = edge.listed.notified() => {}
            () = edge.newer_targets.notified() => if fetch_missing(edge).await {
                return FirstSource::Fetched;
            },
            // Without the list, this daemon knows of no daemon above it.
            () = edge.alarm.sleep_until(deadline) => return FirstSource::Decided(Source::Store),
        }
    }
    let settings = edge.settings();
    FirstSource::Decided(source(
        edge.peers.borrow().rank(&settings.name, &settings.hall),
    ))
}

/// Asks the daemons of some ranks one after the other, and again as long as they may not listen
/// yet; returns the address of the one that answered.
async fn ask_above(edge: &Edge, ranks: &[usize]) -> Option<SocketAddr> {
    loop {
        let answered = ask_each(edge, ranks).await;
        if answered.is_some() || edge.now() - edge.started >= START_SPREAD {
            return answered;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Asks the daemons of some ranks one after the other; returns the address of the one that
/// answered.
async fn ask_each(edge: &Edge, ranks: &[usize]) -> Option<SocketAddr> {
    let hall = edge.settings().hall.clone();
    for rank in ranks {
        let address = edge.peers.borrow().address_at_rank(*rank, &hall);
        let Some(address) = address else { continue };
        let asked_at = edge.now();
        match transfer::fetch_state(address, STARTING_PEER_TIMEOUT).await {
            Ok(state) => {
                if apply_state(edge, address, &state, asked_at) {
                    return Some(address);
                }
            }
            Err(error) => log_failed(edge, address, &error),
        }
    }
    None
}

/// Fetches what this daemon lacks from the peer that announced it: the list of targets, since this
/// daemon missed changes that peers no longer keep, or everything, since the store was busy when it
/// started. Returns whether that succeeded.
pub(crate) async fn fetch_missing(edge: &Edge) -> bool {
    let Some(address) = edge.targets_source.take() else {
        return false;
    };
    let asked_at = edge.now();
    let fetched = if edge.catalog.borrow().is_none() && !edge.settings().first_start {
        transfer::fetch_state(address, TRANSFER_TIMEOUT).await
    } else {
        transfer::fetch_targets(address, TRANSFER_TIMEOUT).await
    };
    match fetched {
        Ok(state) => apply_state(edge, address, &state, asked_at),
        Err(error) => {
            log_failed(edge, address, &error);
            false
        }
    }
}

/// Logs that a peer did not send what was asked for.
pub(crate) fn log_failed(edge: &Edge, from: SocketAddr, why: &TransferError) {
    metrics::counter!("thistlesill_edge_transfers_failed_total").increment(1);
    let line = edge.lines.line("transfer_failed").with("from", from);
    line.with("why", why).write();
}

/// Applies what a peer knew when it answered the request sent at `asked_at`; returns whether the
/// peer knew enough.
fn apply_state(edge: &Edge, from: SocketAddr, state: &State, asked_at: Millis) -> bool {
    let known = match state.unpack() {
        Ok(known) => known,
        Err(error) => {
            log_failed(edge, from, &error);
            return false;
        }
    };
    evacuation::replace(edge, state.evacuated.clone());
    let is_newer = watch::apply_targets(edge, known.targets, known.version);
    if let Some(store_uptime) = state.store_uptime.filter(|_| is_newer) {
        edge.registry
            .borrow_mut()
            .set_store_up_since(edge.now() - store_uptime);
    }
    if let Some(age) = state.age.filter(|_| is_newer) {
        edge.confirm_targets(asked_at - age);
    }
    if known.catalog.is_empty() {
        return is_newer;
    }
    let is_valid = watch::apply_text(edge, &known.catalog);
    if let Some(proof) = state.proof.filter(|_| is_valid) {
        // The catalog in force is that one or a later one, and there was no later one at that time.
        edge.confirm_catalog(asked_at - proof);
    }
    is_newer && is_valid
}
