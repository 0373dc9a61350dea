//! Follows the targets' entries.

use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::InstanceId;
use thistlesill_core::edge::Target;
use thistlesill_platform::store::{Content, Row, Rows, StoreError, Table};
use thistlesill_platform::target::decode_target;
use thistlesill_policy::edge::book::Listing;
use thistlesill_policy::edge::feed::Change;

use super::{AfterFailure, IDLE, PAUSE, READ, SLACK, after_failure, next_pause, note_failure};
use crate::state::Edge;
use crate::{follow, limits, start};

/// Part of the time after which a target that leaves gets no new requests for
/// which a question about targets waits. With a wait of 8 s, a connection that
/// fell silent kept all daemons sending to such targets for up to 6 s too long.
const DRAIN_PART: f64 = 0.2;
/// Between two batches of changes to targets, so that changes that belong
/// together come as one.
const BATCH: Duration = Duration::from_millis(200);
/// The same for the planner; with 40 ms its questions were a third of all calls of the
/// store on a calm day of 63 daemons.
const PLANNER_BATCH: Duration = Duration::from_millis(120);
/// Signs of the reason for which an entry is refused that its line holds: it quotes what
/// another writer wrote.
const MAX_WHY: usize = 120;

/// Follows the targets' entries, for ever.
pub(crate) async fn follow_targets(edge: Rc<Edge>) {
    start::await_turn(&edge).await;
    let mut whole = !edge.feed.borrow().is_known();
    let mut pause = PAUSE;
    loop {
        if whole && start::fetch_lack(&edge).await {
            whole = false;
        }
        if !whole && !follow::reads_targets(&edge) {
            tokio::select! {
                () = edge.newer_targets.notified() => whole = true,
                () = edge.reader_changed.notified() => {}
                () = tokio::time::sleep(IDLE) => {}
            }
            continue;
        }
        let asked = edge.now();
        let answer = tokio::select! {
            answer = ask_targets(&edge, whole) => answer,
            () = edge.store_failed.notified() => continue,
        };
        match answer {
            Ok(rows) => {
                if take_targets(&edge, &rows, whole) {
                    edge.last_targets_read.set(Some(asked));
                    edge.confirm_targets(asked);
                }
                // Where it was not taken, peers told of later changes meanwhile, and all before
                // those are known. Read again until none had come, 3,000 targets that go on
                // changing were read 85 times by a daemon.
                whole = false;
                pause = PAUSE;
                let batch = if edge.is_planner.get() {
                    PLANNER_BATCH
                } else {
                    BATCH
                };
                tokio::time::sleep(batch).await;
            }
            Err(error) => {
                note_failure(&edge, Table::Targets, &error, asked);
                match after_failure(&error) {
                    AfterFailure::AskAgain => {}
                    AfterFailure::ReadWhole => whole = true,
                    AfterFailure::Wait => {
                        tokio::select! {
                            () = tokio::time::sleep(pause) => {}
                            () = edge.newer_targets.notified() => {}
                            () = edge.listed.notified() => {}
                        }
                        pause = next_pause(&edge);
                    }
                }
            }
        }
    }
}

async fn ask_targets(edge: &Edge, whole: bool) -> Result<Rows, StoreError> {
    if whole {
        return edge.store.read(Table::Targets, READ).await;
    }
    let version = edge.feed.borrow().version();
    let wait = targets_wait(edge);
    edge.store
        .changes(Table::Targets, version, wait, SLACK)
        .await
}

fn targets_wait(edge: &Edge) -> Duration {
    edge.settings().bounds.drain.duration().mul_f64(DRAIN_PART)
}

/// Takes in what the store answered; returns whether all its changes are known
/// now.
fn take_targets(edge: &Edge, rows: &Rows, whole: bool) -> bool {
    let changes: Vec<Change> = rows.rows.iter().map(|row| decode(edge, row)).collect();
    if whole {
        let listings = changes.into_iter().map(|c| c.entry).collect();
        return put_all(edge, listings, rows.version);
    }
    let before = edge.feed.borrow().version();
    let changes = edge.feed.borrow().unknown(changes);
    edge.feed.borrow_mut().extend(&changes, rows.version);
    if !changes.is_empty() {
        // Who reads for itself alone has fallen behind, and the others know all of it.
        if follow::reads_for_others(edge) {
            follow::tell_changes(edge, before, &changes, rows.version);
        }
        apply(edge, changes.into_iter().map(|c| c.entry).collect());
    }
    true
}

/// Takes in all targets as a peer knew them at a version of the store; returns whether
/// they are news.
pub(crate) fn put_targets(edge: &Edge, targets: Vec<Target>, version: u64) -> bool {
    let listings = targets.into_iter().map(|t| Listing::Listed(Box::new(t)));
    put_all(edge, listings.collect(), version)
}

/// Takes in all entries at a version, unless peers told of later changes meanwhile.
fn put_all(edge: &Edge, listings: Vec<Listing>, version: u64) -> bool {
    let is_known = {
        let feed = edge.feed.borrow();
        if feed.is_ahead_of(version) {
            return false;
        }
        feed.is_known()
    };
    if is_known {
        let changes = edge.registry.borrow().difference(listings);
        let changes: Vec<Change> = changes
            .into_iter()
            .map(|what| Change {
                version,
                entry: what,
            })
            .collect();
        // Begun anew, what is kept for others would begin here, and whoever lags by some
        // tenths of a second would read all targets as well.
        edge.feed.borrow_mut().extend(&changes, version);
        apply(edge, changes.into_iter().map(|c| c.entry).collect());
        return true;
    }
    edge.feed.borrow_mut().restart(version);
    let (catalog, now) = (edge.catalog(), edge.now());
    edge.registry
        .borrow_mut()
        .replace(listings, catalog.as_deref(), now);
    limits::limit_warming_targets(edge);
    edge.loaded.notify_waiters();
    edge.fleet_changed.notify_one();
    true
}

/// Takes in changes of targets.
pub(crate) fn apply(edge: &Edge, listings: Vec<Listing>) {
    if listings.is_empty() {
        return;
    }
    for listing in &listings {
        match listing {
            Listing::Listed(target) => note_target(edge, target),
            Listing::Gone(id) => edge.lines.line("target_gone").with("target", id).write(),
            Listing::Unusable(id) => note_unusable(edge, id),
        }
    }
    for listing in &listings {
        if let Listing::Listed(target) = listing {
            limits::limit_warming_target(edge, target);
        }
    }
    let (catalog, now) = (edge.catalog(), edge.now());
    edge.registry
        .borrow_mut()
        .apply(listings, catalog.as_deref(), now);
    edge.fleet_changed.notify_one();
}

/// Takes in a row of a target. One that is no sound entry, whoever wrote it, names no
/// target to use on any daemon: had it been passed over, some daemons would have gone
/// on with the entry before it, and others, who read all targets, not.
fn decode(edge: &Edge, row: &Row) -> Change {
    let instance = || InstanceId::from(row.key.as_str());
    let what = match &row.value {
        Content::Gone => Listing::Gone(instance()),
        Content::Unreadable(why) => refuse(edge, instance(), "unreadable", why),
        Content::Bytes(bytes) => match decode_target(&row.key, bytes) {
            Ok(target) => Listing::Listed(Box::new(target)),
            Err(error) => refuse(edge, instance(), "malformed", &error.text),
        },
    };
    Change {
        version: row.version,
        entry: what,
    }
}

/// Notes an entry that names no target to use.
fn refuse(edge: &Edge, instance: InstanceId, cause: &'static str, why: &str) -> Listing {
    metrics::counter!("thistlesill_edge_targets_refused_total", "cause" => cause).increment(1);
    let line = edge.lines.line("target_refused").with("target", &instance);
    let why = why.chars().take(MAX_WHY).collect::<String>();
    line.with("cause", cause).with("why", why).write();
    Listing::Unusable(instance)
}

/// Writes a line about a target that is used no longer, since its entry cannot be.
fn note_unusable(edge: &Edge, instance: &InstanceId) {
    if edge.registry.borrow().incarnation(instance).is_some() {
        edge.lines
            .line("target_unusable")
            .with("target", instance)
            .write();
    }
}

/// Writes a line about a target's change if it changes who takes requests.
fn note_target(edge: &Edge, target: &Target) {
    let book = edge.registry.borrow();
    if let Some(life) = book.incarnation(target.id.instance())
        && life.is_other_incarnation_of(&target.id)
    {
        edge.lines
            .line("target_restarted")
            .with("target", &target.id)
            .with("before", life.incarnation())
            .with("now", target.id.incarnation())
            .write();
    }
    let old = book
        .of_service(&target.service)
        .and_then(|t| t.get(&target.id));
    let leads = target.is_open_leader();
    if old.is_some_and(|old| old.is_open_leader() == leads && old.leaving == target.leaving) {
        return;
    }
    if target.domain.is_some()
        && !leads
        && !target.leaving
        && old.is_none_or(|o| !o.is_open_leader())
    {
        return;
    }
    let group = target.member.as_ref().map(|m| m.of.group.clone());
    edge.lines
        .line("target_changed")
        .with("target", &target.id)
        .with("address", target.address)
        .with("serves", leads || target.domain.is_none())
        .with("leaving", target.leaving)
        .maybe("group", group)
        .write();
}
