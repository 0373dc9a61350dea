//! What a daemon knows from peers that read the store.
//!
//! Every call of the store has its price, and hundreds of daemons that all
//! follow it would exceed its rate. So the first daemon of each data centre,
//! and the one that forms groups, read the store; the others ask it. A
//! question carries the asker's time and comes back with the answer, so a
//! proof's age is right on the asker's clock however long the datagrams, or
//! either process, were held up.

use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_policy::edge::feed::Change;

use crate::peers::link;
use crate::peers::packet::{Ask, Changes, Packet, Vouch};
use crate::state::Edge;
use crate::watch;

/// Between two looks at whether this daemon reads the store.
const LOOK: Duration = Duration::from_millis(200);
/// Looks between two questions.
const ASK_LOOKS: u32 = 2;
/// Part of the time in which a new catalog must be in force after which a
/// daemon without a younger proof reads the store itself. A reader's proof is
/// up to half that time old; the rest is for the read.
const ALONE_PART: f64 = 0.72;
/// Time after the start in which the daemons find each other; all read the
/// store once then, and none follows it yet.
pub(crate) const FIND: Millis = Millis::new(1_300);
/// Changes in one datagram.
const MAX_TOLD: usize = 24;

/// Decides whether this daemon reads the store now.
pub(crate) fn reads_store(edge: &Edge) -> bool {
    let now = edge.now();
    let settings = edge.settings();
    if edge.plans.get() {
        return true;
    }
    if now - edge.started < FIND {
        return false;
    }
    let most = settings.bounds.apply.get() as f64 * ALONE_PART;
    let age = edge.fresh.get().age(now);
    let alone = age.is_none_or(|age| age.get() as f64 > most);
    alone || reads_for_others(edge)
}

/// Whether other daemons depend on what this one reads.
pub(crate) fn reads_for_others(edge: &Edge) -> bool {
    let settings = edge.settings();
    let peers = edge.peers.borrow();
    edge.plans.get() || peers.is_first(&settings.name, edge.away.get(), &settings.hall, edge.now())
}

/// Decides whether this daemon reads the targets' entries from the store: the
/// one that forms groups does, and tells the others. Without it, the readers
/// that others depend on do.
pub(crate) fn reads_targets(edge: &Edge) -> bool {
    let planner = edge.peers.borrow().hears_planner(edge.now());
    edge.plans.get() || (edge.reads.get() && !planner && reads_for_others(edge))
}

/// Asks a peer that reads the store, for ever.
pub(crate) async fn run(edge: Rc<Edge>) {
    let mut looks = 0;
    loop {
        tokio::time::sleep(LOOK).await;
        looks += 1;
        let reads = reads_store(&edge);
        if edge.reads.replace(reads) != reads {
            edge.lines.line("store_reader").with("reads", reads).write();
            edge.reads_changed.notify_waiters();
        }
        if !edge.plans.get() && looks % ASK_LOOKS == 0 {
            ask(&edge);
        }
    }
}

fn ask(edge: &Edge) {
    let settings = edge.settings();
    let reader = {
        let peers = edge.peers.borrow();
        // A daemon that reads the catalog itself asks for targets only.
        if edge.reads.get() {
            peers.planner()
        } else {
            peers.reader(&settings.hall, edge.now())
        }
    };
    let Some(reader) = reader else { return };
    let question = Ask {
        from: settings.name.clone(),
        asked: edge.now(),
        targets: edge.feed.borrow().version(),
    };
    link::tell(edge, &reader, &Packet::Ask(question));
}

/// As reader: answers a question, with the changes that the asker lacks.
pub(crate) fn answer(edge: &Edge, ask: &Ask) {
    let now = edge.now();
    let catalog = edge.catalog().map(|c| c.version);
    let age = edge.fresh.get().age(now);
    if let (true, Some(catalog), Some(age)) = (edge.reads.get(), catalog, age) {
        let vouch = Vouch {
            asked: ask.asked,
            catalog,
            age,
            floor: edge.feed.borrow().floor(),
        };
        link::tell(edge, &ask.from, &Packet::Vouch(vouch));
    }
    let feed = edge.feed.borrow();
    if !edge.reads.get() || ask.targets >= feed.version() {
        return;
    }
    let Some(mut missed) = feed.after(ask.targets) else {
        return;
    };
    let whole = missed.len() <= MAX_TOLD;
    missed.truncate(MAX_TOLD);
    let last = missed.last().map(|c| c.version);
    let after = last.filter(|_| !whole).unwrap_or(feed.version());
    let changes = Changes {
        before: ask.targets,
        after,
        list: missed,
        steady: edge.book.borrow().steady_for(now),
    };
    link::tell(edge, &ask.from, &Packet::Changes(changes));
}

/// As reader: tells all daemons what changed.
pub(crate) fn tell_changes(edge: &Edge, before: u64, changes: &[Change], after: u64) {
    let steady = edge.book.borrow().steady_for(edge.now());
    let mut before = before;
    let mut rest = changes;
    while !rest.is_empty() {
        let (part, later) = rest.split_at(rest.len().min(MAX_TOLD));
        let last = part.last().map_or(after, |c| c.version);
        let until = if later.is_empty() { after } else { last };
        let packet = Packet::Changes(Changes {
            before,
            after: until,
            list: part.to_vec(),
            steady,
        });
        link::tell_all(edge, &packet);
        (before, rest) = (until, later);
    }
}

/// Takes in another daemon's word for the catalog.
pub(crate) fn take_vouch(edge: &Edge, vouch: Vouch) {
    if edge.feed.borrow().version() < vouch.floor && !reads_targets(edge) {
        edge.targets_news.notify_one();
    }
    let Some(own) = edge.catalog().map(|c| c.version) else {
        return;
    };
    if vouch.catalog > own {
        edge.catalog_news.notify_one();
        return;
    }
    if vouch.catalog == own {
        edge.confirm(vouch.asked - vouch.age);
    }
}

/// Takes in changes of targets from a daemon that reads the store.
pub(crate) fn take_changes(edge: &Edge, news: Changes) {
    let known = edge.feed.borrow().version();
    if reads_targets(edge) || !edge.feed.borrow().is_known() || news.after <= known {
        return;
    }
    if news.before > known {
        // Something between was missed; the next question brings it.
        ask(edge);
        return;
    }
    let now = edge.now();
    if let Some(steady) = news.steady {
        edge.book.borrow_mut().store_steady(now - steady);
    }
    let fresh: Vec<Change> = news
        .list
        .into_iter()
        .filter(|c| c.version > known)
        .collect();
    edge.feed.borrow_mut().extend(&fresh, news.after);
    watch::apply(edge, fresh.into_iter().map(|c| c.what).collect());
}
