//! How daemons discover each other.
//!
//! A daemon that starts announces itself to the seeds of its settings and fetches the list of all
//! daemons from one of them. After that daemons discover each other by their heartbeats: of two
//! that start at the same moment at least one has the other in its list, and its heartbeat reaches
//! the other.
//!
//! The first daemons of each data centre also have rows in the store, for the case that all daemons
//! restart at once, and for those whose seeds are all down: they ask the listed daemons. A daemon
//! that reaches none of these either, or that has no seeds, writes a row of its own and reads the
//! list of all. With a row and two pages of the list for each of 984 daemons, which the store
//! accepts at 200 a second, the start of a fleet made 25,000 calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use thistlesill_core::table::Txn;
use thistlesill_core::{HallId, Millis, NodeId};
use thistlesill_platform::store::{Content, Row, Table};

use super::transfer::{self, Member};
use super::{REMOVAL_TIMEOUT, Reach, link};
use crate::state::Edge;

/// Time in which daemons that start together have written their rows.
const ENLIST_DELAY: Duration = Duration::from_millis(700);
/// Time between two checks of whether the list must be read again.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Checks after which the list is read in any case, since heartbeats cannot repair this: daemons
/// that were separated for long have removed each other.
const REREAD_CHECKS: u32 = 10;
/// Daemons of each data centre that are listed in the store: 7 kB per data centre for each daemon
/// that starts after all were lost.
const ROWS_PER_HALL: usize = 32;
/// How long a restarted daemon asks only the store.
const STORE_HEAD_START: Duration = Duration::from_millis(300);
/// How long the seeds are asked before the store is: they start within some tenths of a second of
/// each other, and wait for each other's heartbeats before they answer.
const SEEDS_TIMEOUT: Millis = Millis::new(2_000);
/// Timeout for fetching a list of daemons, with hundreds of others that ask for it.
const MEMBERS_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after a daemon has its list until all that started with it have announced themselves to all
/// seeds.
const SECOND_JOIN_DELAY: Duration = Duration::from_millis(1_500);
/// Time between two rounds of requests to seeds that do not listen yet.
const SEEDS_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call of the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after the first failed call; each further failure doubles it.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest delay: a hundred daemons that start while the store refuses them make a hundred calls a
/// second, and the first one that succeeds wakes the others.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_600);
/// Each delay is drawn between this part of it and all of it, so that daemons that started together
/// do not call together.
const MIN_JITTER_RATIO: f64 = 0.5;

/// A daemon's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DaemonRow {
    address: SocketAddr,
    #[serde(default)]
    hall: HallId,
}

/// Discovers the other daemons and announces this one, without end.
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
    // The peers' requests in progress are needed for the first requests; they come with the peers'
    // next heartbeats.
    link::send_heartbeat(&edge, Reach::All);
    if seeded {
        // Of two daemons that asked different seeds neither may know the other yet.
        tokio::time::sleep(SECOND_JOIN_DELAY).await;
        join_by_seeds(&edge, &seeds).await;
        if is_listed_in_store(&edge) {
            enlist(&edge).await;
        }
    }
    let mut checks = 0;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        checks += 1;
        if seeded {
            join_by_seeds(&edge, &seeds).await;
        }
        let alone = edge.peers.borrow().live_count(edge.now()) == 0;
        if alone || edge.is_planner.get() || checks % REREAD_CHECKS == 0 {
            remove_expired_rows(&edge).await;
            edge.peers.borrow_mut().remove_expired(edge.now());
            let missing = read_list(&edge).await == OwnRow::Missing;
            if missing && (!seeded || is_listed_in_store(&edge)) {
                enlist(&edge).await;
            }
        }
    }
}

/// Returns whether this daemon is one of those that are listed in the store.
fn is_listed_in_store(edge: &Edge) -> bool {
    let settings = edge.settings();
    let rank = edge.peers.borrow().rank(&settings.name, &settings.hall);
    rank < ROWS_PER_HALL
}

/// Joins after a restart: through the store, which has the first daemons at once even when all
/// restart, or through the seeds if the store does not answer.
async fn rejoin(edge: &Edge, seeds: &[SocketAddr]) {
    let by_seeds = async {
        tokio::time::sleep(STORE_HEAD_START).await;
        while !join_by_seeds(edge, seeds).await {}
    };
    tokio::select! {
        _ = read_list(edge) => {}
        () = by_seeds => {}
    }
}

/// Announces this daemon to some addresses, and fetches the list of all daemons from the first that
/// answers. Returns whether any did.
async fn join_by_seeds(edge: &Edge, addresses: &[SocketAddr]) -> bool {
    if addresses.is_empty() {
        return false;
    }
    let (deadline, me) = (edge.now() + SEEDS_TIMEOUT, Member::own(&edge.settings()));
    while edge.now() < deadline {
        // Seeds that start at the same time may not listen yet.
        link::send_heartbeat_to(edge, addresses);
        // All daemons ask the same seed first, so that its list is complete.
        for address in addresses {
            match transfer::fetch_members(*address, me.clone(), MEMBERS_TIMEOUT).await {
                Ok(members) => {
                    apply_members(edge, &members);
                    return true;
                }
                Err(error) => log::debug!("peers: no list of daemons from {address}: {error}"),
            }
        }
        tokio::time::sleep(SEEDS_RETRY_INTERVAL).await;
    }
    false
}

/// Adds the daemons that a peer knows.
fn apply_members(edge: &Edge, members: &[Member]) {
    let (me, now) = (edge.settings().name.clone(), edge.now());
    {
        let mut peers = edge.peers.borrow_mut();
        for member in members.iter().filter(|m| m.name != me) {
            peers.add_member(member, now);
        }
    }
    record_listed(edge);
}

/// Records that this daemon has a list of the others.
fn record_listed(edge: &Edge) {
    edge.peers.borrow_mut().listed = true;
    edge.listed.notify_waiters();
}

/// Finds the other daemons in the store, and lists this one there. Where daemons have seeds, only
/// some are listed, and those know the others.
async fn join_by_store(edge: &Edge, seeded: bool) {
    if seeded {
        read_list(edge).await;
        let listed = edge.peers.borrow().all_addresses();
        if join_by_seeds(edge, &listed).await {
            return;
        }
    }
    if edge.settings().first_start {
        enlist(edge).await;
        tokio::time::sleep(ENLIST_DELAY).await;
        read_list(edge).await;
    } else if read_list(edge).await == OwnRow::Missing {
        enlist(edge).await;
        read_list(edge).await;
    }
}

/// Whether this daemon's own row is in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnRow {
    /// The row is in the list, with the right address.
    Listed,
    /// The row is missing, or has another address.
    Missing,
}

/// Reads the list, with retries until a read succeeds.
async fn read_list(edge: &Edge) -> OwnRow {
    let mut delay = RETRY_DELAY;
    loop {
        match edge.store.read(Table::Daemons, CALL_TIMEOUT).await {
            Ok(rows) => return apply_rows(edge, &rows.rows),
            Err(error) => log::debug!("peers: the list was not read: {error}"),
        }
        let ratio = edge.rng.borrow_mut().random_range(MIN_JITTER_RATIO..1.0);
        tokio::select! {
            () = tokio::time::sleep(delay.mul_f64(ratio)) => {}
            () = edge.peer_discovered.notified() => {}
        }
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

fn apply_rows(edge: &Edge, rows: &[Row]) -> OwnRow {
    let settings = edge.settings();
    let mut own = OwnRow::Missing;
    for row in rows {
        let Some((name, daemon)) = decode(edge, row) else {
            continue;
        };
        if name != settings.name {
            let (now, mut peers) = (edge.now(), edge.peers.borrow_mut());
            peers.add(name, daemon.address, daemon.hall, now);
        } else if daemon.address == settings.peer_address() {
            own = OwnRow::Listed;
        }
    }
    record_listed(edge);
    own
}

/// Writes this daemon's row, with retries until a write succeeds.
async fn enlist(edge: &Edge) {
    while !write_row(edge).await {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn key(name: &NodeId) -> String {
    format!("daemons/{name}")
}

/// Writes this daemon's row. The write is idempotent, so a write of unknown outcome is simply
/// repeated.
async fn write_row(edge: &Edge) -> bool {
    let settings = edge.settings();
    let row = DaemonRow {
        address: settings.peer_address(),
        hall: settings.hall.clone(),
    };
    let txn = Txn::new().put(key(&settings.name), &row);
    edge.write(&txn, CALL_TIMEOUT, "peers: row not written")
        .await
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

/// As planner: removes the rows of daemons that have sent no heartbeat for long.
async fn remove_expired_rows(edge: &Edge) {
    if !edge.is_planner.get() {
        return;
    }
    let expired = edge.peers.borrow().expired(REMOVAL_TIMEOUT, edge.now());
    for name in expired {
        let txn = Txn::new().delete(key(&name));
        // A row that could not be removed is removed at the next check.
        edge.write(&txn, CALL_TIMEOUT, "peers: row not removed")
            .await;
    }
}
