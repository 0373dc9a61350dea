//! What a daemon knows from peers that read the store.
//!
//! Every call of the store has its price, and hundreds of daemons that all
//! follow it would exceed its rate. So the daemon that forms groups reads the
//! store, and the others ask it; when its word grows old, the first daemon of each
//! data centre reads, and at last each for itself. A question carries the asker's
//! time and comes back with the answer, so a proof's age is right on the asker's
//! clock however long the datagrams, or either process, were held up.
//!
//! Changes of targets go from the reader to all daemons; in a large fleet to some of
//! each data centre, which pass them on there. Who misses some notices it by the
//! versions, and asks whoever told of later ones.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use thistlesill_core::{Millis, NodeId};
use thistlesill_policy::edge::feed::{Batch, Change};
use thistlesill_policy::edge::spread;

use crate::evacuation;
use crate::peers::packet::{Ask, Changes, KnownTargets, Packet, Pass, Vouch};
use crate::peers::{Reach, link};
use crate::start::Start;
use crate::state::{Edge, FeedGap};
use crate::watch;

/// Between two looks at whether this daemon reads the store.
const LOOK: Duration = Duration::from_millis(200);
/// Looks between two questions.
const ASK_LOOKS: u32 = 2;
/// Part of the time in which a new catalog must be in force after which a
/// daemon without a younger proof reads the store itself. A reader's proof is
/// up to half that time old; the rest is for the read.
const ALONE_PART: f64 = 0.72;
/// The same for the first daemon of a data centre, which then reads for the others
/// there. A proof is usually at most half of that time old: two questions of the
/// daemon that forms groups, and the time between two of this one's.
const HEAD_PART: f64 = 0.56;
/// Part of that time after which a daemon of a large fleet asks the daemon that reads the
/// store, and no longer one of its data centre that asks that.
const DELEGATE_PROOF_PART: f64 = 0.4;
/// Part of the time after which a target that leaves gets no new requests. When
/// its knowledge of the targets is older, a daemon on which others depend reads
/// them from the store, although a planner is heard: the planner may be cut off
/// from the store, and its lease lasts 2 s. Usually the knowledge is at most 0.85 s
/// old: a question of the planner, and the time between two of its beats.
const DOUBT_PART: f64 = 0.5;
/// The same for daemons on which none depends; the rest is for the read.
const TARGETS_ALONE_PART: f64 = 0.75;
/// Time after the start in which the daemons find each other; all read the
/// store once then, and none follows it yet.
pub(crate) const FIND: Millis = Millis::new(1_300);
/// At the first start of the whole system, how long a daemon waits for the first
/// catalog from a peer: they find each other, and two of its questions follow.
pub(crate) const FIRST_WORD: Millis = Millis::new(2_300);
/// How long a daemon lacks changes before it asks for them. Where each word of later
/// ones had it ask at once, the answers cost more than all else: 4.3 GB in 48 s between
/// the data centres of 295 daemons.
const LACK: Millis = Millis::new(250);
/// How long a daemon lacks changes that a peer does not keep before it has the list of all
/// targets: three questions, and the steps in which changes go on.
const GAP: Millis = Millis::new(1_200);
/// Changes in one datagram.
const MAX_TOLD: usize = 24;
/// Changes that one answer holds, in several datagrams: more than come in until the next
/// question, so that who has missed some catches up while targets go on changing.
const MAX_ANSWERED: usize = 8 * MAX_TOLD;

/// Decides whether this daemon reads the store now.
pub(crate) fn reads_store(edge: &Edge) -> bool {
    let now = edge.now();
    let settings = edge.settings();
    if edge.is_planner.get() {
        return true;
    }
    let quiet = if settings.first_start {
        FIRST_WORD
    } else {
        FIND
    };
    if now - edge.started < quiet {
        // The others there have their proofs from it, and would else read the store
        // before they have heard of another reader.
        return edge.start.get() == Start::Reads && !settings.first_start;
    }
    if proof_is_older(edge, ALONE_PART) {
        return true;
    }
    let goes_on = edge.is_reader.get() && !edge.peers.borrow().hears_planner(now);
    (proof_is_older(edge, HEAD_PART) || goes_on) && reads_for_others(edge)
}

/// Whether this daemon's proof of the catalog is older than a part of the time in which a
/// new catalog must be in force.
fn proof_is_older(edge: &Edge, part: f64) -> bool {
    let apply = edge.settings().bounds.apply.get() as f64;
    let age = edge.catalog_freshness.get().age(edge.now());
    age.is_none_or(|age| age.get() as f64 > apply * part)
}

/// Whether other daemons depend on what this one reads.
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

/// Decides whether this daemon reads the targets' entries from the store: the
/// one that forms groups does, and tells the others. Without it, or when what
/// it tells grows old, the readers that others depend on do, and at last all.
pub(crate) fn reads_targets(edge: &Edge) -> bool {
    if edge.is_planner.get() {
        return true;
    }
    let drain = edge.settings().bounds.drain.get() as f64;
    let age = edge.targets_age().map_or(0.0, |age| age.get() as f64);
    if age > drain * TARGETS_ALONE_PART && !edge.is_store_unreachable() {
        return true;
    }
    let planner = edge.peers.borrow().hears_planner(edge.now());
    let told = planner && age <= drain * DOUBT_PART;
    !told && edge.is_reader.get() && reads_for_others(edge)
}

/// What this daemon read of the targets itself a short time ago, for its peers. What
/// it heard from others is not passed on: a datagram that was held up would make it
/// seem younger with each hop.
pub(crate) fn known_targets(edge: &Edge, now: Millis) -> Option<KnownTargets> {
    let age = now - edge.last_targets_read.get()?;
    if age > edge.settings().bounds.drain {
        // It proves nothing to anyone any more.
        return None;
    }
    let newest = edge.feed.borrow().newest();
    Some(KnownTargets { newest, age })
}

/// Takes in how much of the targets a peer knows: as much as this daemon, or
/// changes that it missed.
pub(crate) fn hear_known(edge: &Edge, from: &NodeId, known: KnownTargets) {
    if !edge.feed.borrow().is_known() {
        // It starts, and would wait for the store.
        have_targets_of(edge, from);
        return;
    }
    let at = edge.now() - known.age;
    let proved = edge.feed.borrow_mut().claim(known.newest, at);
    match proved {
        Some(at) => edge.confirm_targets(at),
        None => ask_if_it_lasts(edge, from, known.newest),
    }
}

/// Asks a peer that reads the store, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut looks = 0;
    let mut targets = false;
    // Daemons that start together would all ask at the same moment.
    let phase = edge.rng.borrow_mut().random_range(0.0..1.0);
    tokio::time::sleep(LOOK.mul_f64(phase * f64::from(ASK_LOOKS))).await;
    loop {
        tokio::time::sleep(LOOK).await;
        looks += 1;
        let had = std::mem::replace(&mut targets, reads_targets(&edge));
        if targets && !had {
            edge.reader_changed.notify_waiters();
        }
        let reads = reads_store(&edge);
        if edge.is_reader.replace(reads) != reads {
            edge.lines.line("store_reader").with("reads", reads).write();
            edge.reader_changed.notify_waiters();
            // The others there ask this one, or no longer, without waiting for its next
            // beat: asking one that had ceased to read left 61 daemons without a proof.
            link::tell_beat(&edge, Reach::Near);
        }
        if !edge.is_planner.get() && looks % ASK_LOOKS == 0 {
            ask(&edge);
        }
    }
}

pub(crate) fn ask(edge: &Edge) {
    let settings = edge.settings();
    let reader = {
        let (peers, now) = (edge.peers.borrow(), edge.now());
        // A daemon that reads the catalog itself asks for targets only, unless the store
        // does not answer it.
        if edge.is_reader.get() && !edge.is_store_unreachable() {
            peers.planner()
        } else if spread::asks_delegate(peers.most())
            && !proof_is_older(edge, DELEGATE_PROOF_PART)
            && let Some(delegate) = peers.delegate(&settings, now)
        {
            Some(delegate)
        } else {
            peers.reader(&settings.hall, now)
        }
    };
    if let Some(reader) = reader {
        ask_peer(edge, &reader);
    }
}

/// Asks a peer for changes up to a version, which this daemon lacks, if they have not
/// come by themselves within a short time: they take two steps more than the word that
/// there are some.
fn ask_if_it_lasts(edge: &Edge, peer: &NodeId, newest: u64) {
    if lasts(edge, &edge.feed_gap, newest, LACK) {
        ask_peer(edge, peer);
    }
}

/// Notes that this daemon lacks changes up to a version, and returns whether it has lacked
/// those that were noted for a time; then that time begins anew.
fn lasts(edge: &Edge, noted: &Cell<Option<FeedGap>>, newest: u64, time: Millis) -> bool {
    let (now, version) = (edge.now(), edge.feed.borrow().version());
    let lack = noted.get().filter(|lack| version < lack.version);
    if lack.is_some_and(|lack| now - lack.since < time) {
        return false;
    }
    noted.set(Some(FeedGap {
        version: newest,
        since: now,
    }));
    lack.is_some()
}

/// Takes in that a peer has begun to read the store: who has no young proof asks it at
/// once. After an outage in which the planner was lost, daemons were without a proof for
/// up to 2.4 s more, until each had asked the store itself.
pub(crate) fn hear_reader(edge: &Edge, peer: &NodeId) {
    if proof_is_older(edge, HEAD_PART) {
        ask_peer(edge, peer);
    }
}

fn ask_peer(edge: &Edge, peer: &NodeId) {
    let settings = edge.settings();
    let question = Ask {
        from: settings.name.clone(),
        asked: edge.now(),
        targets: edge.feed.borrow().version(),
    };
    link::tell(edge, peer, &Packet::Ask(question));
}

/// Answers a question with this daemon's proof of the catalog, however it got it, and
/// with the changes that the asker lacks.
pub(crate) fn answer(edge: &Edge, ask: &Ask) {
    let now = edge.now();
    let catalog = edge.catalog().map(|c| c.version);
    let age = edge.catalog_freshness.get().age(now);
    if let (Some(catalog), Some(age)) = (catalog, age) {
        let vouch = Vouch {
            from: edge.settings().name.clone(),
            asked: ask.asked,
            catalog,
            age,
            floor: edge.feed.borrow().floor(),
            evacuated: edge.evacuations.borrow().known().clone(),
        };
        link::tell(edge, &ask.from, &Packet::Vouch(vouch));
    }
    let feed = edge.feed.borrow();
    if !feed.is_known() || ask.targets >= feed.version() {
        return;
    }
    let Some(mut missed) = feed.after(ask.targets) else {
        return;
    };
    let whole = missed.len() <= MAX_ANSWERED;
    missed.truncate(MAX_ANSWERED);
    let last = missed.last().map(|c| c.version);
    let after = last.filter(|_| !whole).unwrap_or(feed.version());
    let to = std::slice::from_ref(&ask.from);
    send_changes(edge, to, &Pass::Nobody, ask.targets, &missed, after);
}

/// As reader: tells all daemons what changed.
pub(crate) fn tell_changes(edge: &Edge, before: u64, changes: &[Change], after: u64) {
    let (to, pass) = receivers(edge);
    send_changes(edge, &to, &pass, before, changes, after);
}

/// Tells some daemons of the changes from one version to another, in as many datagrams as
/// they need; of none as well, since that proves something.
fn send_changes(
    edge: &Edge,
    to: &[NodeId],
    pass: &Pass,
    mut before: u64,
    mut rest: &[Change],
    after: u64,
) {
    let steady = edge.registry.borrow().store_uptime(edge.now());
    loop {
        let (part, later) = rest.split_at(rest.len().min(MAX_TOLD));
        let last = part.last().map_or(after, |c| c.version);
        let until = if later.is_empty() { after } else { last };
        let packet = Packet::Changes(Changes {
            batch: Batch {
                before,
                after: until,
                changes: part.to_vec(),
                store_uptime: steady,
            },
            from: edge.settings().name.clone(),
            pass: pass.clone(),
        });
        link::tell_each(edge, to, &packet);
        if later.is_empty() {
            return;
        }
        (before, rest) = (until, later);
    }
}

/// Whom this daemon tells of changes, and whom those pass them on to.
fn receivers(edge: &Edge) -> (Vec<NodeId>, Pass) {
    let (peers, now) = (edge.peers.borrow(), edge.now());
    if !spread::uses_relays(peers.most()) {
        return (peers.living(now), Pass::Nobody);
    }
    let rng = &mut *edge.rng.borrow_mut();
    (peers.draw_by_hall(spread::RELAYS, now, rng), Pass::Hall)
}

/// Whether this daemon has known less than what a peer keeps for longer than changes take
/// on their way. A reader that has just started keeps nothing of before, and all others
/// lag behind it by some tenths of a second: each read all targets then, five times in
/// half a minute before 3,000 of them.
fn lags_for_long(edge: &Edge, floor: u64) -> bool {
    let lags = edge.feed.borrow().version() < floor;
    let long = lags && lasts(edge, &edge.unserved_gap, floor, GAP);
    if long {
        // The list of all targets is on its way; another gap is noted with the next word.
        edge.unserved_gap.set(None);
    }
    long
}

/// Has the list of all targets be got from a peer that knows it.
fn have_targets_of(edge: &Edge, peer: &NodeId) {
    let address = edge.peers.borrow().address(peer);
    edge.targets_source.set(address);
    edge.newer_targets.notify_one();
}

/// Takes in another daemon's word for the catalog.
pub(crate) fn take_vouch(edge: &Edge, vouch: &Vouch) {
    evacuation::replace(edge, vouch.evacuated.clone());
    if lags_for_long(edge, vouch.floor) && !reads_targets(edge) {
        have_targets_of(edge, &vouch.from);
    }
    let own = edge.catalog().map(|c| c.version);
    if own.is_none_or(|own| vouch.catalog > own) {
        let address = edge.peers.borrow().address(&vouch.from);
        edge.catalog_source.set(address);
        edge.newer_catalog.notify_one();
        return;
    }
    if own == Some(vouch.catalog) {
        edge.confirm_catalog(vouch.asked - vouch.age);
    }
}

/// Takes in changes of targets from a daemon that reads the store.
pub(crate) fn take_changes(edge: &Edge, news: Changes) {
    pass_on(edge, &news);
    if !edge.feed.borrow().is_known() {
        return;
    }
    let from = news.from.clone();
    let mut next = edge.feed.borrow_mut().accept(news.batch);
    while let Some(batch) = next {
        take_next(edge, batch);
        next = edge.feed.borrow_mut().next_held();
    }
    let reached = edge.feed.borrow_mut().resolve_claims();
    if let Some(at) = reached {
        edge.confirm_targets(at);
    }
    let held = edge.feed.borrow().newest_held();
    if let Some(newest) = held {
        ask_if_it_lasts(edge, &from, newest);
    }
}

/// Takes in changes that follow those that are known.
fn take_next(edge: &Edge, batch: Batch) {
    let now = edge.now();
    if let Some(steady) = batch.store_uptime {
        edge.registry.borrow_mut().set_store_up_since(now - steady);
    }
    let fresh = edge.feed.borrow().unknown(batch.changes);
    edge.feed.borrow_mut().extend(&fresh, batch.after);
    watch::apply(edge, fresh.into_iter().map(|c| c.entry).collect());
}

/// Passes changes on; who gets them may ask this daemon for what it misses.
fn pass_on(edge: &Edge, news: &Changes) {
    let to = |pass| {
        Packet::Changes(Changes {
            from: edge.settings().name.clone(),
            pass,
            ..news.clone()
        })
    };
    match &news.pass {
        Pass::Nobody => {}
        Pass::Hall => {
            let near = edge.peers.borrow().near_names(&edge.settings().hall);
            for (first, rest) in spread::parts(&near) {
                link::tell(edge, first, &to(Pass::To(rest.to_vec())));
            }
        }
        Pass::To(names) => link::tell_each(edge, names, &to(Pass::Nobody)),
    }
}
