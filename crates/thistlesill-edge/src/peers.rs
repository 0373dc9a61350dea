//! What the daemons tell each other: their load, what they suspect, and that
//! one of them forms groups.
//!
//! Datagrams between the addresses in the daemons' table; one that is lost is
//! made good by the next.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thistlesill_core::table::Txn;
use thistlesill_core::{InstanceId, Millis, NodeId};
use thistlesill_platform::store::{Row, StoreError, Table};
use thistlesill_policy::edge::load::Work;
use thistlesill_policy::lease::LeaseSeen;
use tokio::net::UdpSocket;

use crate::state::Edge;

/// The shortest time between two beats of a daemon that has requests: about
/// as long as the target that was picked takes to begin.
const BEAT: Duration = Duration::from_millis(60);
/// Added for each peer, so that what a daemon hears stays at about 150 beats
/// a second however many there are.
const BEAT_EACH: Duration = Duration::from_micros(6_500);
/// Between two beats of a daemon without requests.
const IDLE_BEAT: Duration = Duration::from_millis(300);
/// After this silence a peer counts as down.
const SILENT: Millis = Millis::new(1_500);
/// After this silence the planner counts as down.
const PLANNER_SILENT: Millis = Millis::new(900);
/// After this silence a daemon's row is removed.
const REMOVED: Millis = Millis::new(40_000);
/// Bytes of a datagram, at most.
const MAX_DATAGRAM: usize = 8 * 1024;
/// Wait of questions about the daemons' table.
const WAIT: Duration = Duration::from_secs(20);
/// Time for a call beyond its wait.
const LIMIT: Duration = Duration::from_millis(1_000);
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(400);

/// A daemon's row in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct DaemonRow {
    address: SocketAddr,
}

/// What a daemon tells its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Beat {
    from: NodeId,
    /// Drawn at each start of the process.
    boot: u64,
    /// Whether it forms groups.
    plans: bool,
    /// Whether any caller has sent a request since its start.
    busy: bool,
    /// Its requests by target.
    counts: Vec<(InstanceId, Work)>,
    /// Targets that stopped answering it.
    suspects: Vec<InstanceId>,
    /// As planner: the lease.
    lease: Option<LeaseSeen>,
    /// As planner: targets that answered no probe.
    dead: Vec<InstanceId>,
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    heard: Option<Millis>,
    listed: Millis,
    busy: bool,
    suspects: Vec<InstanceId>,
    busy_at: Vec<InstanceId>,
}

/// The daemons that are known.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    peers: HashMap<NodeId, Peer>,
    planner: Option<Millis>,
    /// The lease as this daemon holds it.
    pub(crate) shown: Option<LeaseSeen>,
    /// The lease as another daemon told of it.
    pub(crate) heard_lease: Option<LeaseSeen>,
    /// As planner: targets that answered no probe.
    pub(crate) dead: Vec<InstanceId>,
}

impl Peers {
    /// How many daemons there may be, this one included.
    pub(crate) fn most(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether a daemon that forms groups was heard a moment ago.
    pub(crate) fn hears_planner(&self, now: Millis) -> bool {
        self.planner.is_some_and(|at| now - at < PLANNER_SILENT)
    }

    /// Whether any peer has had a request.
    pub(crate) fn any_busy(&self) -> bool {
        self.peers.values().any(|p| p.busy)
    }

    /// Targets that peers suspect.
    pub(crate) fn suspects(&self, now: Millis) -> HashSet<InstanceId> {
        let fresh = self.peers.values().filter(|p| is_heard(p, now));
        fresh.flat_map(|p| p.suspects.iter().cloned()).collect()
    }

    /// Targets at which a peer has requests without suspecting them.
    pub(crate) fn working(&self, now: Millis) -> HashSet<InstanceId> {
        let fresh = self.peers.values().filter(|p| is_heard(p, now));
        let busy = fresh.flat_map(|p| p.busy_at.iter().filter(|id| !p.suspects.contains(id)));
        busy.cloned().collect()
    }

    fn hear(&mut self, beat: &Beat, now: Millis) -> bool {
        let Some(peer) = self.peers.get_mut(&beat.from) else {
            return false;
        };
        peer.heard = Some(now);
        peer.busy = beat.busy;
        peer.suspects.clone_from(&beat.suspects);
        peer.busy_at = beat.counts.iter().map(|(id, _)| id.clone()).collect();
        if beat.plans {
            self.planner = Some(now);
            self.heard_lease.clone_from(&beat.lease);
        }
        true
    }

    fn list(&mut self, name: NodeId, address: SocketAddr, now: Millis) {
        let peer = self.peers.entry(name).or_insert(Peer {
            address,
            heard: None,
            listed: now,
            busy: false,
            suspects: Vec::new(),
            busy_at: Vec::new(),
        });
        peer.address = address;
    }
}

fn is_heard(peer: &Peer, now: Millis) -> bool {
    peer.heard.is_some_and(|at| now - at < SILENT)
}

/// Sends and takes in beats, for ever.
pub(crate) async fn gossip(edge: Rc<Edge>) {
    let address = edge.settings().peer_address();
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log::error!("peers: {address}: {error}");
            return;
        }
    };
    tokio::task::spawn_local(listen(edge.clone(), socket.clone()));
    loop {
        let peers = u32::try_from(edge.peers.borrow().most()).unwrap_or(u32::MAX);
        let busy = BEAT.max(BEAT_EACH * peers);
        let idle = edge.active.get() == 0;
        let gap = if idle { IDLE_BEAT.max(busy) } else { busy };
        tokio::time::sleep(gap).await;
        tell(&edge, &socket);
    }
}

fn tell(edge: &Edge, socket: &UdpSocket) {
    let now = edge.now();
    let beat = {
        let loads = edge.loads.borrow();
        let peers = edge.peers.borrow();
        Beat {
            from: edge.settings().name.clone(),
            boot: edge.boot,
            plans: edge.plans.get(),
            busy: edge.busy.get(),
            counts: loads.counts(),
            suspects: loads.suspects(now),
            lease: peers.shown.clone(),
            dead: peers.dead.clone(),
        }
    };
    let bytes = match postcard::to_stdvec(&beat) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
        Ok(bytes) => {
            log::warn!("peers: a beat of {} bytes is too large", bytes.len());
            return;
        }
        Err(error) => {
            log::error!("peers: a beat was not encoded: {error}");
            return;
        }
    };
    let peers = edge.peers.borrow();
    for peer in peers.peers.values() {
        let silent = now - peer.heard.unwrap_or(peer.listed) > REMOVED;
        if silent {
            continue;
        }
        metrics::counter!("thistlesill_edge_beats_sent_total").increment(1);
        if let Err(error) = socket.try_send_to(&bytes, peer.address) {
            log::debug!("peers: {}: {error}", peer.address);
        }
    }
}

async fn listen(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("peers: {error}");
                continue;
            }
        };
        match postcard::from_bytes::<Beat>(&buffer[..length]) {
            Ok(beat) => hear(&edge, beat),
            Err(error) => {
                metrics::counter!("thistlesill_edge_beats_refused_total").increment(1);
                log::debug!("peers: {from}: {error}");
            }
        }
    }
}

fn hear(edge: &Edge, beat: Beat) {
    let now = edge.now();
    if !edge.peers.borrow_mut().hear(&beat, now) {
        return;
    }
    let counts = beat.counts.into_iter().collect();
    edge.loads.borrow_mut().hear(&beat.from, counts, now);
    for target in &beat.dead {
        if !edge.book.borrow().knows(target) {
            continue;
        }
        edge.suspect(target, "it answered no probe of the planner");
    }
    if !beat.suspects.is_empty() && edge.plans.get() {
        edge.fleet_news.notify_one();
    }
}

/// Lists this daemon in the store and follows the list of all, for ever.
pub(crate) async fn follow(edge: Rc<Edge>) {
    let mut version = None;
    let mut listed = false;
    loop {
        if !listed {
            listed = enlist(&edge).await;
        }
        let asked = match version {
            None => edge.store.read(Table::Daemons, LIMIT).await,
            Some(version) => edge.store.changes(Table::Daemons, version, WAIT, LIMIT).await,
        };
        match asked {
            Ok(rows) => {
                version = Some(rows.version);
                for row in &rows.rows {
                    take(&edge, row);
                }
                if rows.rows.is_empty() {
                    remove_silent(&edge).await;
                }
            }
            Err(error) => {
                if matches!(error, StoreError::HistoryGone) {
                    version = None;
                }
                log::debug!("peers: {error}");
                tokio::time::sleep(PAUSE).await;
            }
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
        Ok(thistlesill_core::table::TxnResult::Replied(_)) => true,
        Ok(thistlesill_core::table::TxnResult::Unknown) => false,
        Err(error) => {
            log::debug!("peers: not listed: {error}");
            false
        }
    }
}

fn take(edge: &Edge, row: &Row) {
    let name = NodeId::from(row.key.as_str());
    if name == edge.settings().name {
        return;
    }
    let Some(value) = &row.value else {
        edge.peers.borrow_mut().peers.remove(&name);
        return;
    };
    match serde_json::from_slice::<DaemonRow>(value) {
        Ok(daemon) => edge.peers.borrow_mut().list(name, daemon.address, edge.now()),
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
    let now = edge.now();
    let silent: Vec<NodeId> = {
        let peers = edge.peers.borrow();
        let old = peers.peers.iter().filter(|(_, p)| {
            let since = p.heard.unwrap_or(p.listed);
            now - since > REMOVED
        });
        old.map(|(name, _)| name.clone()).collect()
    };
    for name in silent {
        let txn = Txn::new().delete(key(&name));
        if let Err(error) = edge.store.txn(&txn, LIMIT).await {
            log::debug!("peers: {name} not removed: {error}");
        }
    }
}
