//! The list of daemons in the store.
//!
//! A daemon writes its row when it starts and reads the list once the others
//! that start with it have had time to do the same. After that daemons know
//! each other by their beats, and the list is only read now and then.

use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thistlesill_core::NodeId;
use thistlesill_core::table::{Txn, TxnResult};
use thistlesill_platform::store::{Row, Table};

use super::REMOVED;
use crate::state::Edge;

/// Time in which daemons that start together have written their rows.
const GATHER: Duration = Duration::from_millis(700);
/// Between two reads of the list.
const REREAD: Duration = Duration::from_secs(30);
/// Time for a call.
const LIMIT: Duration = Duration::from_millis(1_000);
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(400);

/// A daemon's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DaemonRow {
    address: std::net::SocketAddr,
}

/// Lists this daemon and reads the list of all, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    while !enlist(&edge).await {
        tokio::time::sleep(PAUSE).await;
    }
    // After a restart the rows of the others are already there, and what they
    // tell of their load is wanted for the first requests.
    read_list(&edge).await;
    tokio::time::sleep(GATHER).await;
    loop {
        if read_list(&edge).await {
            remove_silent(&edge).await;
            tokio::time::sleep(REREAD).await;
        } else {
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Reads the list once; returns whether it could be read.
async fn read_list(edge: &Edge) -> bool {
    match edge.store.read(Table::Daemons, LIMIT).await {
        Ok(rows) => {
            for row in &rows.rows {
                take(edge, row);
            }
            true
        }
        Err(error) => {
            log::debug!("peers: the list was not read: {error}");
            false
        }
    }
}

fn key(name: &NodeId) -> String {
    format!("daemons/{name}")
}

/// Writes this daemon's row. The write is the same whenever it is repeated,
/// so an unknown outcome is simply written again.
async fn enlist(edge: &Edge) -> bool {
    let settings = edge.settings();
    let row = DaemonRow {
        address: settings.peer_address(),
    };
    let txn = Txn::new().put(key(&settings.name), &row);
    match edge.store.txn(&txn, LIMIT).await {
        Ok(TxnResult::Replied(_)) => true,
        Ok(TxnResult::Unknown) => false,
        Err(error) => {
            log::debug!("peers: not listed: {error}");
            false
        }
    }
}

fn take(edge: &Edge, row: &Row) {
    let name = NodeId::from(row.key.as_str());
    let Some(value) = row.value.as_ref().filter(|_| name != edge.settings().name) else {
        return;
    };
    match serde_json::from_slice::<DaemonRow>(value) {
        Ok(daemon) => edge
            .peers
            .borrow_mut()
            .list(name, daemon.address, edge.now()),
        Err(error) => edge
            .lines
            .line("daemon_refused")
            .with("name", name)
            .with("why", error)
            .write(),
    }
}

/// As planner: removes the rows of daemons that have been silent for long.
async fn remove_silent(edge: &Edge) {
    if !edge.plans.get() {
        return;
    }
    let silent = edge.peers.borrow().silent_for(REMOVED, edge.now());
    for name in silent {
        let txn = Txn::new().delete(key(&name));
        if let Err(error) = edge.store.txn(&txn, LIMIT).await {
            log::debug!("peers: {name} not removed: {error}");
            continue;
        }
        edge.peers.borrow_mut().forget(&name);
    }
}
