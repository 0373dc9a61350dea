//! How daemons come to know each other.
//!
//! A daemon that starts tells the seeds of its settings of itself and has the list of all
//! daemons from one of them. After that daemons know each other by their beats: of two that
//! start at the same moment at least one has the other in its list, and its beat tells the
//! other.
//!
//! The first daemons of each data centre also have rows in the store, for the case that all
//! daemons start again at once, and for those whose seeds are all down: they ask those. Who finds nobody there either, or has no seeds at all, writes
//! a row of its own and reads the list of all. With a row and two pages of the list for each of
//! 984 daemons, which the store takes in at 200 a second, the start of a fleet made 25,000 calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use thistlesill_core::table::Txn;
use thistlesill_core::{HallId, Millis, NodeId};
use thistlesill_platform::store::{Content, Row, Table};

use super::transfer::{self, Member};
use super::{REMOVED, Reach, link};
use crate::state::Edge;

/// Time in which daemons that start together have written their rows.
const GATHER: Duration = Duration::from_millis(700);
/// Between two looks at whether the list is to be read again.
const LOOK: Duration = Duration::from_secs(30);
/// Looks after which it is read in any case, for what beats cannot heal: daemons
/// that were apart for long have forgotten each other.
const REREAD_LOOKS: u32 = 10;
/// Daemons of each data centre that are found in the store: 7 kB a data centre for each daemon
/// that starts after all were lost.
const LISTED_PER_HALL: usize = 32;
/// How long only the store is asked by a daemon that starts again.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// How long the seeds are asked before the store is: they start within some tenths of a second
/// of each other, and wait for each other's beats before they answer.
const SEEDS_TIMEOUT: Millis = Millis::new(2_000);
/// Time for a list of daemons, with hundreds of others that ask for it.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after its list in which all that started with a daemon have told all seeds.
const SECOND_JOIN_DELAY: Duration = Duration::from_millis(1_500);
/// Between two rounds of questions to seeds that do not listen yet.
const SEEDS_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Time for a call.
const LIMIT: Duration = Duration::from_millis(1_000);
/// After a call that failed; the pause grows with each further one.
const PAUSE: Duration = Duration::from_millis(400);
/// The longest of these: a hundred daemons that start while the store turns them away
/// make a hundred calls a second, and the first one that gets through wakes the others.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// Each pause is drawn between this part of it and all of it, so that daemons that
/// started together do not call together.
const JITTER: f64 = 0.5;

/// A daemon's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DaemonRow {
    address: SocketAddr,
    #[serde(default)]
    hall: HallId,
}

/// Has this daemon and the others know each other, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    let seeds = edge.settings().seed_addresses();
    let seeded = !seeds.is_empty();
    if edge.settings().first_start || !seeded {
        if !join_by_seeds(&edge, &seeds).await {
            join_by_store(&edge, seeded).await;
        }
    } else {
        rejoin(&edge, &seeds).await;
    }
    // What the others have under way is wanted for the first requests, and they answer
    // with their next beats.
    link::tell_beat(&edge, Reach::All);
    if seeded {
        // Of two daemons that asked different seeds neither may know the other yet.
        tokio::time::sleep(SECOND_JOIN_DELAY).await;
        join_by_seeds(&edge, &seeds).await;
        if is_listed_in_store(&edge) {
            enlist(&edge).await;
        }
    }
    let mut looks = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        looks += 1;
        if seeded {
            join_by_seeds(&edge, &seeds).await;
        }
        let alone = edge.peers.borrow().heard(edge.now()) == 0;
        if alone || edge.is_planner.get() || looks % REREAD_LOOKS == 0 {
            remove_silent(&edge).await;
            edge.peers.borrow_mut().forget_silent(edge.now());
            let missing = join(&edge).await == Own::Missing;
            if missing && (!seeded || is_listed_in_store(&edge)) {
                enlist(&edge).await;
            }
        }
    }
}

/// Whether this daemon is one of those that are found in the store.
fn is_listed_in_store(edge: &Edge) -> bool {
    let settings = edge.settings();
    let rank = edge.peers.borrow().rank(&settings.name, &settings.hall);
    rank < LISTED_PER_HALL
}

/// Joins after an earlier life: by the store, which has the first daemons at once also when
/// all start again, or by the seeds if it does not answer.
async fn rejoin(edge: &Edge, seeds: &[SocketAddr]) {
    let by_seeds = async {
        tokio::time::sleep(STORE_HEAD_START).await;
        while !join_by_seeds(edge, seeds).await {}
    };
    tokio::select! {
        _ = join(edge) => {}
        () = by_seeds => {}
    }
}

/// Tells daemons at some addresses of this one, and has the list of all from one of them;
/// returns whether any answered.
async fn join_by_seeds(edge: &Edge, addresses: &[SocketAddr]) -> bool {
    if addresses.is_empty() {
        return false;
    }
    let (until, me) = (edge.now() + SEEDS_TIMEOUT, Member::own(&edge.settings()));
    while edge.now() < until {
        // Those that start as well may not listen yet.
        link::tell_beat_to(edge, addresses);
        // All ask the same one first, so that its list is whole.
        for address in addresses {
            match transfer::fetch_members(*address, me.clone(), MEMBERS_TIMEOUT).await {
                Ok(members) => {
                    apply_members(edge, &members);
                    return true;
                }
                Err(error) => log::debug!("peers: {address} hands out no list: {error}"),
            }
        }
        tokio::time::sleep(SEEDS_RETRY_INTERVAL).await;
    }
    false
}

/// Takes in the daemons that a peer knows.
fn apply_members(edge: &Edge, members: &[Member]) {
    let (me, now) = (edge.settings().name.clone(), edge.now());
    {
        let mut peers = edge.peers.borrow_mut();
        for member in members.iter().filter(|m| m.name != me) {
            peers.note_member(member, now);
        }
    }
    note_listed(edge);
}

/// Notes that this daemon has a list of the others.
fn note_listed(edge: &Edge) {
    edge.peers.borrow_mut().listed = true;
    edge.listed.notify_waiters();
}

/// Finds the other daemons in the store, and is found there. Where daemons have seeds, only
/// some are listed, and know the others.
async fn join_by_store(edge: &Edge, seeded: bool) {
    if seeded {
        join(edge).await;
        let listed = edge.peers.borrow().all_addresses();
        if join_by_seeds(edge, &listed).await {
            return;
        }
    }
    if edge.settings().first_start {
        enlist(edge).await;
        tokio::time::sleep(GATHER).await;
        join(edge).await;
    } else if join(edge).await == Own::Missing {
        enlist(edge).await;
        join(edge).await;
    }
}

/// Whether this daemon's own row is in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Own {
    /// It is, and tells the right address.
    Listed,
    /// It is not.
    Missing,
}

/// Reads the list, however often that takes.
async fn join(edge: &Edge) -> Own {
    let mut pause = PAUSE;
    loop {
        match edge.store.read(Table::Daemons, LIMIT).await {
            Ok(rows) => return take_all(edge, &rows.rows),
            Err(error) => log::debug!("peers: the list was not read: {error}"),
        }
        let part = edge.rng.borrow_mut().random_range(JITTER..1.0);
        tokio::select! {
            () = tokio::time::sleep(pause.mul_f64(part)) => {}
            () = edge.peer_discovered.notified() => {}
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

fn take_all(edge: &Edge, rows: &[Row]) -> Own {
    let settings = edge.settings();
    let mut own = Own::Missing;
    for row in rows {
        let Some((name, daemon)) = decode(edge, row) else {
            continue;
        };
        if name != settings.name {
            let (now, mut peers) = (edge.now(), edge.peers.borrow_mut());
            peers.list(name, daemon.address, daemon.hall, now);
        } else if daemon.address == settings.peer_address() {
            own = Own::Listed;
        }
    }
    note_listed(edge);
    own
}

/// Writes this daemon's row, however often that takes.
async fn enlist(edge: &Edge) {
    while !write_row(edge).await {
        tokio::time::sleep(PAUSE).await;
    }
}

fn key(name: &NodeId) -> String {
    format!("daemons/{name}")
}

/// Writes this daemon's row. The write is the same whenever it is repeated,
/// so an unknown outcome is simply written again.
async fn write_row(edge: &Edge) -> bool {
    let settings = edge.settings();
    let row = DaemonRow {
        address: settings.peer_address(),
        hall: settings.hall.clone(),
    };
    let txn = Txn::new().put(key(&settings.name), &row);
    edge.write(&txn, LIMIT, "peers: not listed").await
}

fn decode(edge: &Edge, row: &Row) -> Option<(NodeId, DaemonRow)> {
    let name = NodeId::from(row.key.as_str());
    let decoded = match &row.value {
        Content::Gone => return None,
        Content::Unreadable(why) => Err(why.clone()),
        Content::Bytes(bytes) => serde_json::from_slice(bytes).map_err(|e| e.to_string()),
    };
    decoded
        .inspect_err(|why| {
            let line = edge.lines.line("daemon_refused").with("name", &name);
            line.with("why", why).write();
        })
        .ok()
        .map(|daemon| (name, daemon))
}

/// As planner: removes the rows of daemons that have been silent for long.
async fn remove_silent(edge: &Edge) {
    if !edge.is_planner.get() {
        return;
    }
    let silent = edge.peers.borrow().silent_for(REMOVED, edge.now());
    for name in silent {
        let txn = Txn::new().delete(key(&name));
        // What stays is removed at the next look.
        edge.write(&txn, LIMIT, "peers: a row not removed").await;
    }
}
