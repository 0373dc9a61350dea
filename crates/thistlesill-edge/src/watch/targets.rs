//! Follows the targets' entries.

use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::InstanceId;
use thistlesill_core::edge::Target;
use thistlesill_platform::store::{Content, Row, Rows, StoreError, Table};
use thistlesill_platform::target::decode_target;
use thistlesill_policy::edge::book::Listing;
use thistlesill_policy::edge::feed::Change;

use super::{
    AfterFailure, CHECK_INTERVAL, READ_TIMEOUT, RETRY_DELAY, WAIT_MARGIN, after_failure,
    log_failure, next_retry_delay,
};
use crate::state::Edge;
use crate::{follow, limits, start};

/// Part of the time after which a target that leaves gets no new requests for which a request for
/// changes of targets waits. With a wait of 8 s, a connection that stopped responding kept all
/// daemons sending to such targets for up to 6 s too long.
const DRAIN_WAIT_RATIO: f64 = 0.2;
/// Time between two batches of changes to targets, so that related changes arrive as one batch.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two batches for the planner; with 40 ms its requests were a third of all calls of
/// the store on a day without faults of 63 daemons.
const PLANNER_BATCH_INTERVAL: Duration = Duration::from_millis(120);
/// Characters of the reason for which an entry is refused that its log line holds: the reason
/// quotes what another writer wrote.
const MAX_REASON_CHARS: usize = 120;

/// Follows the targets' entries, without end.
pub(crate) async fn follow_targets(edge: Rc<Edge>) {
    start::await_turn(&edge).await;
    let mut read_all = !edge.feed.borrow().is_known();
    let mut delay = RETRY_DELAY;
    loop {
        if read_all && start::fetch_missing(&edge).await {
            read_all = false;
        }
        if !read_all && !follow::reads_targets(&edge) {
            tokio::select! {
                () = edge.newer_targets.notified() => read_all = true,
                () = edge.reader_changed.notified() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
            continue;
        }
        let asked_at = edge.now();
        let answer = tokio::select! {
            answer = ask_targets(&edge, read_all) => answer,
            () = edge.store_failed.notified() => continue,
        };
        match answer {
            Ok(rows) => {
                if apply_rows(&edge, &rows, read_all) {
                    edge.last_targets_read.set(Some(asked_at));
                    edge.confirm_targets(asked_at);
                }
                // Rows that were not applied are older than changes that peers sent meanwhile, and
                // all before those are known. When the table was read again until no such changes
                // had arrived, a daemon read 3,000 targets that go on changing 85 times.
                read_all = false;
                delay = RETRY_DELAY;
                let interval = if edge.is_planner.get() {
                    PLANNER_BATCH_INTERVAL
                } else {
                    BATCH_INTERVAL
                };
                tokio::time::sleep(interval).await;
            }
            Err(error) => {
                log_failure(&edge, Table::Targets, &error, asked_at);
                match after_failure(&error) {
                    AfterFailure::RetryNow => {}
                    AfterFailure::ReadAll => read_all = true,
                    AfterFailure::RetryLater => {
                        tokio::select! {
                            () = tokio::time::sleep(delay) => {}
                            () = edge.newer_targets.notified() => {}
                            () = edge.listed.notified() => {}
                        }
                        delay = next_retry_delay(&edge);
                    }
                }
            }
        }
    }
}

async fn ask_targets(edge: &Edge, read_all: bool) -> Result<Rows, StoreError> {
    if read_all {
        return edge.store.read(Table::Targets, READ_TIMEOUT).await;
    }
    let version = edge.feed.borrow().version();
    let wait = targets_wait(edge);
    edge.store
        .changes(Table::Targets, version, wait, WAIT_MARGIN)
        .await
}

fn targets_wait(edge: &Edge) -> Duration {
    edge.settings()
        .bounds
        .drain
        .duration()
        .mul_f64(DRAIN_WAIT_RATIO)
}

/// Applies what the store answered; returns whether all its changes are known now.
fn apply_rows(edge: &Edge, rows: &Rows, read_all: bool) -> bool {
    let changes: Vec<Change> = rows.rows.iter().map(|row| decode(edge, row)).collect();
    if read_all {
        let listings = changes.into_iter().map(|c| c.entry).collect();
        return apply_all(edge, listings, rows.version);
    }
    let before = edge.feed.borrow().version();
    let changes = edge.feed.borrow().unknown(changes);
    edge.feed.borrow_mut().extend(&changes, rows.version);
    if !changes.is_empty() {
        // A daemon that reads for itself alone has fallen behind, and the others know all these
        // changes.
        if follow::reads_for_others(edge) {
            follow::broadcast_changes(edge, before, &changes, rows.version);
        }
        apply(edge, changes.into_iter().map(|c| c.entry).collect());
    }
    true
}

/// Applies all targets as a peer knew them at a version of the store. Returns whether they were
/// newer than what is known.
pub(crate) fn apply_targets(edge: &Edge, targets: Vec<Target>, version: u64) -> bool {
    let listings = targets.into_iter().map(|t| Listing::Listed(Box::new(t)));
    apply_all(edge, listings.collect(), version)
}

/// Applies all entries at a version, unless peers sent later changes meanwhile.
fn apply_all(edge: &Edge, listings: Vec<Listing>, version: u64) -> bool {
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
            .map(|entry| Change { version, entry })
            .collect();
        // A restarted feed would keep changes for other daemons from here on only, and a daemon
        // that lags by some tenths of a second would read all targets as well.
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

/// Applies changes of targets.
pub(crate) fn apply(edge: &Edge, listings: Vec<Listing>) {
    if listings.is_empty() {
        return;
    }
    for listing in &listings {
        match listing {
            Listing::Listed(target) => log_target(edge, target),
            Listing::Gone(id) => edge.lines.line("target_gone").with("target", id).write(),
            Listing::Unusable(id) => log_unusable(edge, id),
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

/// Decodes a row of a target. An invalid entry, whichever writer it came from, makes its target
/// unusable on every daemon: if it were skipped, some daemons would go on with the entry before it,
/// and others, who read all targets, would not.
fn decode(edge: &Edge, row: &Row) -> Change {
    let instance = || InstanceId::from(row.key.as_str());
    let entry = match &row.value {
        Content::Gone => Listing::Gone(instance()),
        Content::Unreadable(why) => log_refused(edge, instance(), "unreadable", why),
        Content::Bytes(bytes) => match decode_target(&row.key, bytes) {
            Ok(target) => Listing::Listed(Box::new(target)),
            Err(error) => log_refused(edge, instance(), "malformed", &error.text),
        },
    };
    Change {
        version: row.version,
        entry,
    }
}

/// Logs an entry that names no usable target.
fn log_refused(edge: &Edge, instance: InstanceId, cause: &'static str, why: &str) -> Listing {
    metrics::counter!("thistlesill_edge_targets_refused_total", "cause" => cause).increment(1);
    let line = edge.lines.line("target_refused").with("target", &instance);
    let why = why.chars().take(MAX_REASON_CHARS).collect::<String>();
    line.with("cause", cause).with("why", why).write();
    Listing::Unusable(instance)
}

/// Logs that a target is no longer used since its entry is unusable.
fn log_unusable(edge: &Edge, instance: &InstanceId) {
    if edge.registry.borrow().incarnation(instance).is_some() {
        edge.lines
            .line("target_unusable")
            .with("target", instance)
            .write();
    }
}

/// Logs a target's change if it changes which targets take requests.
fn log_target(edge: &Edge, target: &Target) {
    let book = edge.registry.borrow();
    if let Some(previous) = book.incarnation(target.id.instance())
        && previous.is_other_incarnation_of(&target.id)
    {
        edge.lines
            .line("target_restarted")
            .with("target", &target.id)
            .with("before", previous.incarnation())
            .with("now", target.id.incarnation())
            .write();
    }
    let old = book
        .of_service(&target.service)
        .and_then(|t| t.get(&target.id));
    let is_open_leader = target.is_open_leader();
    if old
        .is_some_and(|old| old.is_open_leader() == is_open_leader && old.leaving == target.leaving)
    {
        return;
    }
    if target.domain.is_some()
        && !is_open_leader
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
        .with("serves", is_open_leader || target.domain.is_none())
        .with("leaving", target.leaving)
        .maybe("group", group)
        .write();
}
