//! The list of daemons in the store.
//!
//! At the first start of the whole system all daemons write their rows, and each
//! reads the list once, when the others have had time to do the same. A daemon
//! that starts later reads the list at once and writes its row only if the row is
//! missing. After that daemons know each other by their beats. Of two daemons that
//! start at the same moment at least one reads the other's row, and its beat tells
//! the other. This takes two calls of the store a start instead of four.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use thistlesill_core::table::Txn;
use thistlesill_core::{HallId, NodeId};
use thistlesill_platform::store::{Content, Row, Table};

use super::{REMOVED, Reach, link};
use crate::state::Edge;

/// Time in which daemons that start together have written their rows.
const GATHER: Duration = Duration::from_millis(700);
/// Between two looks at whether the list is to be read again.
const LOOK: Duration = Duration::from_secs(30);
/// Looks after which it is read in any case, for what beats cannot heal: daemons
/// that were apart for long have forgotten each other.
const REREAD_LOOKS: u32 = 10;
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
    address: std::net::SocketAddr,
    #[serde(default)]
    hall: HallId,
}

/// Lists this daemon and reads the list of all, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    if edge.settings().first_start {
        enlist(&edge).await;
        tokio::time::sleep(GATHER).await;
        join(&edge).await;
    } else if join(&edge).await == Own::Missing {
        enlist(&edge).await;
        join(&edge).await;
    }
    // What the others have under way is wanted for the first requests, and they answer
    // with their next beats.
    link::tell_beat(&edge, Reach::All);
    let mut looks = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        looks += 1;
        let alone = edge.peers.borrow().heard(edge.now()) == 0;
        if alone || edge.plans.get() || looks % REREAD_LOOKS == 0 {
            remove_silent(&edge).await;
            edge.peers.borrow_mut().forget_silent(edge.now());
            if join(&edge).await == Own::Missing {
                enlist(&edge).await;
            }
        }
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
            () = edge.peer_heard.notified() => {}
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
    edge.peers.borrow_mut().listed = true;
    edge.listed.notify_waiters();
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
    if !edge.plans.get() {
        return;
    }
    let silent = edge.peers.borrow().silent_for(REMOVED, edge.now());
    for name in silent {
        let txn = Txn::new().delete(key(&name));
        // What stays is removed at the next look.
        edge.write(&txn, LIMIT, "peers: a row not removed").await;
    }
}
