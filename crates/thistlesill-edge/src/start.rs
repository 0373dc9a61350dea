//! How a daemon that starts comes to know the catalog and the targets.
//!
//! The first daemons of each data centre read the store; the others ask the daemon above
//! them ([`thistlesill_policy::edge::start`]), which answers as soon as it knows. Who gets
//! no answer reads the store after all, and goes on listening for a peer that knows.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_policy::edge::start::{Source, source};

use crate::evacuation;
use crate::peers::transfer::{self, State, TransferError};
use crate::state::Edge;
use crate::watch;

/// How long a daemon waits for the store's list of daemons, or for a peer that knows,
/// before it reads the store itself. A store that does not answer this question hardly
/// answers others.
const LIST: Millis = Millis::new(3_000);
/// How long a peer that starts itself is waited for: a read of 3,000 targets takes a
/// small machine one second. It is still cheaper to wait on than a store that is busy.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Time for a peer that knows, for a list of 3,000 targets on a line of 20 Mbit/s and
/// seven others before it.
const HAND_OUT: Duration = Duration::from_millis(1_500);

/// Within this time of each other all daemons start after a loss of power, as the platform
/// starts them; one of four found nobody listening above it, and read the store.
const SPREAD: Millis = Millis::new(300);
/// Between two rounds of questions to daemons that do not listen yet.
const AGAIN: Duration = Duration::from_millis(40);

/// Whether a daemon that starts still waits for peers, or reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Start {
    /// It has not found out yet, or waits for a peer.
    Waits,
    /// It reads the store, for itself and for the daemons that ask it.
    Reads,
    /// It knows what a peer knew, or reads the store for itself.
    Over,
}

/// Has this daemon know what it must to serve, or read the store for it.
pub(crate) async fn run(edge: Rc<Edge>) {
    let (from, next) = match await_word(&edge).await {
        Word::Told => ("a peer that told of itself".to_owned(), Start::Over),
        Word::From(Source::Store) => ("store".to_owned(), Start::Reads),
        Word::From(Source::Peers(ranks)) => match ask_above(&edge, &ranks).await {
            Some(address) => (address.to_string(), Start::Over),
            None => ("store, since no peer answered".to_owned(), Start::Over),
        },
    };
    edge.lines.line("start_source").with("from", from).write();
    edge.start.set(next);
    // Found out later only, it would read the catalog a second time to begin with.
    edge.is_reader
        .set(next == Start::Reads && !edge.settings().first_start);
    edge.start_ended.notify_waiters();
}

/// Waits until the daemon may read the store, if it has not learned all before.
pub(crate) async fn await_turn(edge: &Edge) {
    while edge.start.get() == Start::Waits {
        edge.start_ended.notified().await;
    }
}

/// What a daemon that starts hears first.
enum Word {
    /// A peer that knows told of itself, and handed on what it knows.
    Told,
    /// The list of daemons, or nothing for too long: it learns all from there.
    From(Source),
}

/// Awaits the list of daemons, or a peer that knows, for a short time.
async fn await_word(edge: &Edge) -> Word {
    let until = edge.now() + LIST;
    while !edge.peers.borrow().is_listed() {
        tokio::select! {
            () = edge.listed.notified() => {}
            () = edge.newer_targets.notified() => if fetch_lack(edge).await {
                return Word::Told;
            },
            // Without the list, this daemon knows of nobody above it.
            () = edge.alarm.sleep_until(until) => return Word::From(Source::Store),
        }
    }
    let settings = edge.settings();
    Word::From(source(
        edge.peers.borrow().rank(&settings.name, &settings.hall),
    ))
}

/// Asks the daemons of some ranks one after the other, and again as long as they may not
/// listen yet; returns who answered.
async fn ask_above(edge: &Edge, ranks: &[usize]) -> Option<SocketAddr> {
    loop {
        let answered = ask_each(edge, ranks).await;
        if answered.is_some() || edge.now() - edge.started >= SPREAD {
            return answered;
        }
        tokio::time::sleep(AGAIN).await;
    }
}

/// Asks the daemons of some ranks one after the other; returns who answered.
async fn ask_each(edge: &Edge, ranks: &[usize]) -> Option<SocketAddr> {
    let hall = edge.settings().hall.clone();
    for rank in ranks {
        let address = edge.peers.borrow().at_rank(*rank, &hall);
        let Some(address) = address else { continue };
        let asked = edge.now();
        match transfer::fetch_state(address, PATIENCE).await {
            Ok(state) => {
                if take_state(edge, address, &state, asked) {
                    return Some(address);
                }
            }
            Err(error) => note_failed(edge, address, &error),
        }
    }
    None
}

/// Has what this daemon lacks from a peer that told of it: the list of targets, since it
/// missed changes that are not told one by one, or all, since the store was busy when it
/// started. Returns whether that worked.
pub(crate) async fn fetch_lack(edge: &Edge) -> bool {
    let Some(address) = edge.targets_source.take() else {
        return false;
    };
    let asked = edge.now();
    let fetched = if edge.catalog.borrow().is_none() && !edge.settings().first_start {
        transfer::fetch_state(address, HAND_OUT).await
    } else {
        transfer::fetch_targets(address, HAND_OUT).await
    };
    match fetched {
        Ok(state) => take_state(edge, address, &state, asked),
        Err(error) => {
            note_failed(edge, address, &error);
            false
        }
    }
}

/// Notes that a peer did not hand out what it was asked for.
pub(crate) fn note_failed(edge: &Edge, from: SocketAddr, why: &TransferError) {
    metrics::counter!("thistlesill_edge_transfers_failed_total").increment(1);
    let line = edge.lines.line("transfer_failed").with("from", from);
    line.with("why", why).write();
}

/// Takes in what a peer knew when it answered the question of the moment `asked`; returns
/// whether it knew enough.
fn take_state(edge: &Edge, from: SocketAddr, state: &State, asked: Millis) -> bool {
    let known = match state.unpack() {
        Ok(known) => known,
        Err(error) => {
            note_failed(edge, from, &error);
            return false;
        }
    };
    evacuation::replace(edge, state.evacuated.clone());
    let is_news = watch::put_targets(edge, known.targets, known.version);
    if let Some(steady) = state.steady.filter(|_| is_news) {
        edge.registry
            .borrow_mut()
            .set_store_up_since(edge.now() - steady);
    }
    if let Some(age) = state.age.filter(|_| is_news) {
        edge.confirm_targets(asked - age);
    }
    if known.catalog.is_empty() {
        return is_news;
    }
    let taken = watch::put_text(edge, &known.catalog);
    if let Some(proof) = state.proof.filter(|_| taken) {
        // What is in force is that catalog or a later one, and there was none later then.
        edge.confirm_catalog(asked - proof);
    }
    is_news && taken
}
