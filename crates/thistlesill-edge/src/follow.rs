//! What a daemon learns from the peers that read the store.
//!
//! Every call of the store is expensive, and hundreds of daemons that all follow it would exceed
//! its rate limit. So the planner reads the store, and the others ask it; when its proof grows old,
//! the first daemon of each data centre reads, and at last each for itself. A proof counts from the
//! time when this daemon sent the request that the reply belongs to, so its age is right however
//! long the datagrams, or either process, were held up. A reply to a request of an earlier
//! incarnation of this daemon proves nothing.
//!
//! Changes of targets go from the reader to all daemons; in a large fleet to some of each data
//! centre, which forward them there. A daemon that misses changes detects the gap by the versions,
//! and asks the daemon that sent later ones.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use thistlesill_core::{Millis, NodeId};
use thistlesill_policy::edge::feed::{Batch, Change};
use thistlesill_policy::edge::spread;

use crate::evacuation;
use crate::peers::packet::{
    Changes, Forwarding, FreshnessReply, FreshnessRequest, KnownTargets, Packet,
};
use crate::peers::questions::{self, ReplyKind};
use crate::peers::{Reach, link};
use crate::start::Start;
use crate::state::{Edge, FeedGap};
use crate::watch;

/// Time between two checks of whether this daemon reads the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Checks between two requests to a peer.
const CHECKS_PER_REQUEST: u32 = 2;
/// Part of the time in which a new catalog must be in force after which a daemon without a younger
/// proof reads the store itself. A reader's proof is up to half that time old; the rest is for the
/// read.
const OWN_READ_RATIO: f64 = 0.72;
/// The same part for the first daemon of a data centre, which then reads for the others there. A
/// proof is usually at most half of that time old: two requests of the planner, and the time
/// between two of this daemon's.
const HALL_READ_RATIO: f64 = 0.56;
/// Part of that time after which a daemon of a large fleet asks the daemon that reads the store,
/// and no longer one of its data centre that asks the reader.
const DELEGATE_PROOF_RATIO: f64 = 0.4;
/// Part of the time after which a target that leaves gets no new requests. When its knowledge of
/// the targets is older, a daemon on which others depend reads them from the store, although the
/// planner is alive: the planner may be cut off from the store, and its lease lasts 2 s. Usually
/// the knowledge is at most 0.85 s old: a request of the planner, and the time between two of its
/// heartbeats.
const HALL_TARGETS_READ_RATIO: f64 = 0.5;
/// The same part for daemons on which no others depend; the rest is for the read.
const OWN_TARGETS_READ_RATIO: f64 = 0.75;
/// Time after the start in which the daemons discover each other; all read the store once then, and
/// none follows it yet.
pub(crate) const DISCOVERY_PERIOD: Millis = Millis::new(1_300);
/// At the first start of the whole system, how long a daemon waits for the first catalog from a
/// peer: the daemons discover each other, and two of its requests follow.
pub(crate) const FIRST_CATALOG_TIMEOUT: Millis = Millis::new(2_300);
/// How long a gap in the changes must last before a daemon asks for them. When every report of
/// later changes triggered a request, the replies cost more than all else: 4.3 GB in 48 s between
/// the data centres of 295 daemons.
const GAP_REQUEST_DELAY: Millis = Millis::new(250);
/// How long a gap that a peer cannot fill must last before a daemon fetches the list of all
/// targets: three requests, and the steps in which changes are forwarded.
const GAP_SNAPSHOT_DELAY: Millis = Millis::new(1_200);
/// Changes in one datagram.
const MAX_CHANGES_PER_DATAGRAM: usize = 24;
/// Changes in one reply, over several datagrams: more than come in until the next request, so that
/// a daemon that has missed some catches up while targets go on changing.
const MAX_CHANGES_PER_REPLY: usize = 8 * MAX_CHANGES_PER_DATAGRAM;

/// Returns whether this daemon should read the store now.
pub(crate) fn reads_store(edge: &Edge) -> bool {
    let now = edge.now();
    let settings = edge.settings();
    if edge.is_planner.get() {
        return true;
    }
    let discovery = if settings.first_start {
        FIRST_CATALOG_TIMEOUT
    } else {
        DISCOVERY_PERIOD
    };
    if now - edge.started < discovery {
        // The other daemons there get their proofs from this one, and would otherwise read the
        // store before they have received another reader's heartbeat.
        return edge.start.get() == Start::ReadsStore && !settings.first_start;
    }
    if proof_is_older(edge, OWN_READ_RATIO) {
        return true;
    }
    let keeps_reading = edge.is_reader.get() && !edge.peers.borrow().is_planner_alive(now);
    (proof_is_older(edge, HALL_READ_RATIO) || keeps_reading) && reads_for_others(edge)
}

/// Returns whether this daemon's proof of the catalog is older than `ratio` of the time in which a
/// new catalog must be in force.
fn proof_is_older(edge: &Edge, ratio: f64) -> bool {
    let apply = edge.settings().bounds.apply.get() as f64;
    let age = edge.catalog_freshness.get().age(edge.now());
    age.is_none_or(|age| age.get() as f64 > apply * ratio)
}

/// Returns whether other daemons depend on what this one reads.
pub(crate) fn reads_for_others(edge: &Edge) -> bool {
    let settings = edge.settings();
    let peers = edge.peers.borrow();
    edge.is_planner.get()
        || peers.is_first(
            &settings.name,
            edge.is_store_unreachable(),
            &settings.hall,
            edge.now(),
        )
}

/// Returns whether this daemon should read the targets' entries from the store: the planner does,
/// and sends them to the others. Without a planner, or when the data that it sends grows old, the
/// readers that others depend on do, and at last all.
pub(crate) fn reads_targets(edge: &Edge) -> bool {
    if edge.is_planner.get() {
        return true;
    }
    let drain = edge.settings().bounds.drain.get() as f64;
    let age = edge.targets_age().map_or(0.0, |age| age.get() as f64);
    if age > drain * OWN_TARGETS_READ_RATIO && !edge.is_store_unreachable() {
        return true;
    }
    let planner = edge.peers.borrow().is_planner_alive(edge.now());
    let is_current = planner && age <= drain * HALL_TARGETS_READ_RATIO;
    !is_current && edge.is_reader.get() && reads_for_others(edge)
}

/// Returns what this daemon itself recently read of the targets, for its peers. What it received
/// from others is not passed on: a datagram that was held up would make it seem younger with each
/// hop.
pub(crate) fn known_targets(edge: &Edge, now: Millis) -> Option<KnownTargets> {
    let age = now - edge.last_targets_read.get()?;
    if age > edge.settings().bounds.drain {
        // Knowledge of this age proves nothing to any peer.
        return None;
    }
    let newest = edge.feed.borrow().newest();
    Some(KnownTargets { newest, age })
}

/// Receives how much of the targets a peer knows: as much as this daemon, or changes that this
/// daemon missed.
pub(crate) fn receive_known_targets(edge: &Edge, from: &NodeId, known: KnownTargets) {
    if !edge.feed.borrow().is_known() {
        // This daemon is starting, and would otherwise wait for the store.
        fetch_targets_from(edge, from);
        return;
    }
    let at = edge.now() - known.age;
    let proved = edge.feed.borrow_mut().claim(known.newest, at);
    match proved {
        Some(at) => edge.confirm_targets(at),
        None => request_persistent_gap(edge, from, known.newest),
    }
}

/// Decides on reading the store, and asks a peer that reads it, without end.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut checks = 0;
    let mut targets = false;
    // Daemons that start together would all ask at the same moment.
    let phase = edge.rng.borrow_mut().random_range(0.0..1.0);
    tokio::time::sleep(CHECK_INTERVAL.mul_f64(phase * f64::from(CHECKS_PER_REQUEST))).await;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        checks += 1;
        let had_targets = std::mem::replace(&mut targets, reads_targets(&edge));
        if targets && !had_targets {
            edge.reader_changed.notify_waiters();
        }
        let reads = reads_store(&edge);
        if edge.is_reader.replace(reads) != reads {
            edge.lines.line("store_reader").with("reads", reads).write();
            edge.reader_changed.notify_waiters();
            // The others there start or stop asking this daemon without waiting for its next
            // heartbeat: requests to a daemon that had stopped reading left 61 daemons without a
            // proof.
            link::send_heartbeat(&edge, Reach::Near);
        }
        expire_requests(&edge);
        if !edge.is_planner.get() && checks % CHECKS_PER_REQUEST == 0 {
            request_proof(&edge);
        }
    }
}

pub(crate) fn request_proof(edge: &Edge) {
    let settings = edge.settings();
    let reader = {
        let (peers, now) = (edge.peers.borrow(), edge.now());
        // A daemon that reads the catalog itself asks for targets only, unless the store does not
        // answer it.
        if edge.is_reader.get() && !edge.is_store_unreachable() {
            peers.planner()
        } else if spread::asks_delegate(peers.daemon_count())
            && !proof_is_older(edge, DELEGATE_PROOF_RATIO)
            && let Some(delegate) = peers.delegate(&settings, now)
        {
            Some(delegate)
        } else {
            peers.reader(&settings.hall, now)
        }
    };
    if let Some(reader) = reader {
        send_request(edge, &reader);
    }
}

/// Asks a peer for changes up to a version, which this daemon lacks, if they have not arrived by
/// themselves within a short time: they take two steps more than the report that they exist.
fn request_persistent_gap(edge: &Edge, peer: &NodeId, newest: u64) {
    if gap_persists(edge, &edge.feed_gap, newest, GAP_REQUEST_DELAY) {
        send_request(edge, peer);
    }
}

/// Records a gap up to a version. Returns whether the gap that was recorded before has lasted for
/// `duration`; that time then starts again.
fn gap_persists(
    edge: &Edge,
    recorded: &Cell<Option<FeedGap>>,
    newest: u64,
    duration: Millis,
) -> bool {
    let (now, version) = (edge.now(), edge.feed.borrow().version());
    let gap = recorded.get().filter(|gap| version < gap.version);
    if gap.is_some_and(|gap| now - gap.since < duration) {
        return false;
    }
    recorded.set(Some(FeedGap {
        version: newest,
        since: now,
    }));
    gap.is_some()
}

/// Reacts to a peer that has begun to read the store: a daemon without a young proof asks it at
/// once. After an outage in which the planner was lost, daemons were without a proof for up to 2.4
/// s more, until each had asked the store itself.
pub(crate) fn request_from_new_reader(edge: &Edge, peer: &NodeId) {
    if proof_is_older(edge, HALL_READ_RATIO) {
        send_request(edge, peer);
    }
}

fn send_request(edge: &Edge, peer: &NodeId) {
    let settings = edge.settings();
    let mut requests = edge.proof_requests.borrow_mut();
    let request = FreshnessRequest {
        from: settings.name.clone(),
        id: requests.add(peer.clone(), edge.now()),
        targets: edge.feed.borrow().version(),
    };
    link::send_to(edge, peer, &Packet::FreshnessRequest(request));
}

/// Removes the requests of which a reply would bring a proof that is too old for any use.
fn expire_requests(edge: &Edge) {
    let (now, bounds) = (edge.now(), edge.settings().bounds);
    let lifetime = bounds.apply.max(bounds.revoke.unwrap_or_default());
    let mut requests = edge.proof_requests.borrow_mut();
    requests.retain(|sent_at| now - *sent_at < lifetime);
}

/// Answers a request with this daemon's proof of the catalog, wherever the proof came from, and
/// with the changes that the sender lacks.
pub(crate) fn answer(edge: &Edge, request: &FreshnessRequest) {
    let now = edge.now();
    let catalog = edge.catalog().map(|c| c.version);
    let age = edge.catalog_freshness.get().age(now);
    if let (Some(catalog), Some(age)) = (catalog, age) {
        let reply = FreshnessReply {
            from: edge.settings().name.clone(),
            id: request.id,
            catalog,
            age,
            floor: edge.feed.borrow().floor(),
            evacuated: edge.evacuations.borrow().known().clone(),
        };
        link::send_to(edge, &request.from, &Packet::FreshnessReply(reply));
    }
    let feed = edge.feed.borrow();
    if !feed.is_known() || request.targets >= feed.version() {
        return;
    }
    let Some(mut missed) = feed.after(request.targets) else {
        return;
    };
    let complete = missed.len() <= MAX_CHANGES_PER_REPLY;
    missed.truncate(MAX_CHANGES_PER_REPLY);
    let last = missed.last().map(|c| c.version);
    let after = last.filter(|_| !complete).unwrap_or(feed.version());
    let to = std::slice::from_ref(&request.from);
    send_changes(
        edge,
        to,
        &Forwarding::Nobody,
        request.targets,
        &missed,
        after,
    );
}

/// As reader: sends changes to all daemons, directly or through relays.
pub(crate) fn broadcast_changes(edge: &Edge, before: u64, changes: &[Change], after: u64) {
    let (to, forwarding) = receivers(edge);
    send_changes(edge, &to, &forwarding, before, changes, after);
}

/// Sends the changes from one version to another to some daemons, in as many datagrams as needed.
/// An empty list is sent as well, since it proves that there were no changes.
fn send_changes(
    edge: &Edge,
    to: &[NodeId],
    forwarding: &Forwarding,
    mut before: u64,
    mut rest: &[Change],
    after: u64,
) {
    let store_uptime = edge.registry.borrow().store_uptime(edge.now());
    loop {
        let (part, later) = rest.split_at(rest.len().min(MAX_CHANGES_PER_DATAGRAM));
        let last = part.last().map_or(after, |c| c.version);
        let until = if later.is_empty() { after } else { last };
        let packet = Packet::Changes(Changes {
            batch: Batch {
                before,
                after: until,
                changes: part.to_vec(),
                store_uptime,
            },
            from: edge.settings().name.clone(),
            forwarding: forwarding.clone(),
        });
        link::send_to_each(edge, to, &packet);
        if later.is_empty() {
            return;
        }
        (before, rest) = (until, later);
    }
}

/// Returns the daemons that this one sends changes to, and how those forward them.
fn receivers(edge: &Edge) -> (Vec<NodeId>, Forwarding) {
    let (peers, now) = (edge.peers.borrow(), edge.now());
    if !spread::uses_relays(peers.daemon_count()) {
        return (peers.live_names(now), Forwarding::Nobody);
    }
    let rng = &mut *edge.rng.borrow_mut();
    (
        peers.sample_by_hall(spread::RELAYS, now, rng),
        Forwarding::Hall,
    )
}

/// Returns whether this daemon has lagged behind the changes that a peer keeps for longer than
/// changes take to arrive. A reader that has just started keeps no earlier changes, and all others
/// lag behind it by some tenths of a second: without this delay each read all targets then, five
/// times in half a minute with 3,000 of them.
fn lag_persists(edge: &Edge, floor: u64) -> bool {
    let lags = edge.feed.borrow().version() < floor;
    let persists = lags && gap_persists(edge, &edge.unserved_gap, floor, GAP_SNAPSHOT_DELAY);
    if persists {
        // The list of all targets is being fetched; the next reply records a new gap.
        edge.unserved_gap.set(None);
    }
    persists
}

/// Triggers a fetch of the list of all targets from a peer that knows it.
fn fetch_targets_from(edge: &Edge, peer: &NodeId) {
    let address = edge.peers.borrow().address(peer);
    edge.targets_source.set(address);
    edge.newer_targets.notify_one();
}

/// Receives another daemon's proof of the catalog.
pub(crate) fn receive_reply(edge: &Edge, reply: &FreshnessReply) {
    let sent_at = edge.proof_requests.borrow_mut().take(reply.id, &reply.from);
    let Some(sent_at) = sent_at else {
        log_unrequested(edge, &reply.from);
        return;
    };
    evacuation::replace(edge, reply.evacuated.clone());
    if lag_persists(edge, reply.floor) && !reads_targets(edge) {
        fetch_targets_from(edge, &reply.from);
    }
    let own = edge.catalog().map(|c| c.version);
    if own.is_none_or(|own| reply.catalog > own) {
        let address = edge.peers.borrow().address(&reply.from);
        edge.catalog_source.set(address);
        edge.newer_catalog.notify_one();
        return;
    }
    if own == Some(reply.catalog) {
        edge.confirm_catalog(sent_at - reply.age);
    }
}

/// Logs a proof that belongs to no request of this daemon: the request was sent by an earlier
/// incarnation of it, or too long ago.
fn log_unrequested(edge: &Edge, from: &NodeId) {
    questions::count_unrequested(ReplyKind::Proof);
    let line = edge.lines.line("proof_unrequested");
    line.with("from", from).write();
}

/// Receives changes of targets from a daemon that reads the store, directly or forwarded.
pub(crate) fn receive_changes(edge: &Edge, changes: Changes) {
    forward(edge, &changes);
    if !edge.feed.borrow().is_known() {
        return;
    }
    let from = changes.from.clone();
    let mut next = edge.feed.borrow_mut().accept(changes.batch);
    while let Some(batch) = next {
        apply_batch(edge, batch);
        next = edge.feed.borrow_mut().next_held();
    }
    let reached = edge.feed.borrow_mut().resolve_claims();
    if let Some(at) = reached {
        edge.confirm_targets(at);
    }
    let held = edge.feed.borrow().newest_held();
    if let Some(newest) = held {
        request_persistent_gap(edge, &from, newest);
    }
}

/// Applies changes that follow those that are known.
fn apply_batch(edge: &Edge, batch: Batch) {
    let now = edge.now();
    if let Some(store_uptime) = batch.store_uptime {
        edge.registry
            .borrow_mut()
            .set_store_up_since(now - store_uptime);
    }
    let unknown = edge.feed.borrow().unknown(batch.changes);
    edge.feed.borrow_mut().extend(&unknown, batch.after);
    watch::apply(edge, unknown.into_iter().map(|c| c.entry).collect());
}

/// Forwards changes under this daemon's name, so that the receivers ask this daemon for what they
/// miss.
fn forward(edge: &Edge, changes: &Changes) {
    let to = |forwarding| {
        Packet::Changes(Changes {
            from: edge.settings().name.clone(),
            forwarding,
            ..changes.clone()
        })
    };
    match &changes.forwarding {
        Forwarding::Nobody => {}
        Forwarding::Hall => {
            let near = edge.peers.borrow().near_names(&edge.settings().hall);
            for (first, rest) in spread::parts(&near) {
                link::send_to(edge, first, &to(Forwarding::To(rest.to_vec())));
            }
        }
        Forwarding::To(names) => link::send_to_each(edge, names, &to(Forwarding::Nobody)),
    }
}
