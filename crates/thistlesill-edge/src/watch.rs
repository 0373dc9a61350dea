//! Follows the store: the operators' catalog and the targets' entries.

use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_core::edge::{Catalog, Target};
use thistlesill_platform::catalog::decode_catalog;
use thistlesill_platform::store::{CATALOG_KEY, Row, Rows, StoreError, Table};
use thistlesill_platform::target::decode_target;
use thistlesill_policy::edge::book::Listing;
use thistlesill_policy::edge::freshness::MARGIN;

use crate::follow;
use crate::state::Edge;
use thistlesill_policy::edge::feed::Change;

/// Time for a read; the store answers within some milliseconds, and slowly
/// within some hundred.
const READ: Duration = Duration::from_millis(1_000);
/// Time for a read that shows whether the store is away, after a connection that
/// was kept brought no answer; an outage of 1.5 s is noticed then.
const CONFIRM: Duration = Duration::from_millis(400);
/// Added to the time for which the store was asked to wait.
const SLACK: Duration = Duration::from_millis(500);
/// Part of the longest age of a proof for which a question about the catalog
/// waits. A proof holds from before its question, so its age reaches twice
/// the wait; daemons that ask this one add some; and one failed question must
/// still fit in.
const PROOF_PART: f64 = 0.22;
/// Part of the time in which a new catalog must be in force for which a
/// question waits: a daemon whose reader fell silent must notice and read the
/// catalog itself within the rest.
const APPLY_PART: f64 = 0.25;
/// Part of the time after which a target that leaves gets no new requests for
/// which a question about targets waits. With a wait of 8 s, a connection that
/// fell silent kept all daemons sending to such targets for up to 6 s too long.
const DRAIN_PART: f64 = 0.2;
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// After a second call that failed, for a daemon on which no other depends: the
/// store is away rather than an answer lost, and the readers, which it asks as
/// well, try more often.
const LONG_PAUSE: Duration = Duration::from_millis(2_400);
/// Between two batches of changes to targets, so that changes that belong
/// together come as one; the planner does not wait.
const BATCH: Duration = Duration::from_millis(200);
/// The same for the planner.
const PLANNER_BATCH: Duration = Duration::from_millis(40);
/// How often a daemon that does not read the store looks whether it should.
const IDLE: Duration = Duration::from_millis(400);

/// Follows the catalog, for ever.
pub(crate) async fn follow_catalog(edge: Rc<Edge>) {
    let mut version = None;
    let mut pause = PAUSE;
    let mut limit = READ;
    loop {
        let known = edge.catalog.borrow().is_some();
        if known && !edge.reads.get() {
            version = None;
            tokio::select! {
                () = edge.catalog_news.notified() => {}
                () = edge.reads_changed.notified() => {}
                () = tokio::time::sleep(IDLE) => continue,
            }
        }
        let asked = edge.now();
        let answer = ask_catalog(&edge, version, limit).await;
        limit = READ;
        match answer {
            Ok(rows) => {
                note_store(&edge, None);
                pause = PAUSE;
                // An answer with changes may be followed by more of them; only
                // a whole read, or an answer without changes, shows that what
                // is in force was the newest when the question was sent.
                let newest = version.is_none() || rows.rows.is_empty();
                if take_catalog(&edge, &rows) && newest {
                    edge.confirm(asked);
                }
                version = Some(rows.version);
            }
            Err(error) => {
                note_failure(&edge, Table::Operators, &error, asked);
                // Reading whole gives a proof at once.
                version = None;
                match after_failure(&error) {
                    AfterFailure::AskAgain => {
                        limit = CONFIRM;
                        edge.store_doubt.notify_waiters();
                    }
                    AfterFailure::ReadWhole => {}
                    AfterFailure::Wait => {
                        note_store(&edge, Some(&error));
                        rest(&edge, pause).await;
                        pause = next_pause(&edge);
                    }
                }
            }
        }
    }
}

/// Pauses after a failure, until a peer tells of a newer catalog at most: the store
/// may be back, and a pause to its end left an old catalog in force for up to 3.4 s
/// after a cut had healed.
async fn rest(edge: &Edge, pause: Duration) {
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = edge.catalog_news.notified() => tokio::time::sleep(PAUSE.min(pause)).await,
    }
}

/// Reads the catalog, within `limit`, or awaits changes after a version.
async fn ask_catalog(
    edge: &Edge,
    version: Option<u64>,
    limit: Duration,
) -> Result<Rows, StoreError> {
    let Some(version) = version else {
        return edge.store.read(Table::Operators, limit).await;
    };
    let wait = catalog_wait(edge);
    edge.store
        .changes(Table::Operators, version, wait, SLACK)
        .await
}

/// What follows a question that brought no rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterFailure {
    /// It is asked again at once, on a new connection.
    AskAgain,
    /// The table is read whole.
    ReadWhole,
    /// The store is away; it is asked again after a pause.
    Wait,
}

/// Only a failure on a new connection tells of the store. One on a connection that
/// was kept, taken for an outage, had entries that vanished be kept for 2.3 s on all
/// daemons: requests reached targets that were gone, and members of a leader that
/// still worked were used in another group.
const fn after_failure(error: &StoreError) -> AfterFailure {
    match error {
        StoreError::HistoryGone => AfterFailure::ReadWhole,
        _ if error.is_of_kept() => AfterFailure::AskAgain,
        _ => AfterFailure::Wait,
    }
}

/// The pause after the next call that fails.
fn next_pause(edge: &Edge) -> Duration {
    if follow::reads_for_others(edge) {
        PAUSE
    } else {
        LONG_PAUSE
    }
}

fn targets_wait(edge: &Edge) -> Duration {
    edge.settings().bounds.drain.duration().mul_f64(DRAIN_PART)
}

fn catalog_wait(edge: &Edge) -> Duration {
    let bounds = edge.settings().bounds;
    let apply = bounds.apply.duration().mul_f64(APPLY_PART);
    match bounds.revoke {
        None => apply,
        Some(bound) => apply.min((bound - MARGIN).duration().mul_f64(PROOF_PART)),
    }
}

/// Writes a line about a question that brought no rows.
fn note_failure(edge: &Edge, table: Table, error: &StoreError, asked: Millis) {
    metrics::counter!("thistlesill_edge_store_failures_total").increment(1);
    edge.lines
        .line("store_failed")
        .with("table", table)
        .with("why", error)
        .with("took_ms", (edge.now() - asked).get())
        .write();
}

/// Notes whether the store answers, with a line when that changes.
fn note_store(edge: &Edge, error: Option<&StoreError>) {
    let now = edge.now();
    if error.is_none() {
        edge.book.borrow_mut().store_answered(now);
    } else {
        edge.book.borrow_mut().store_failed();
        edge.store_doubt.notify_waiters();
    }
    if edge.away.replace(error.is_some()) == error.is_some() {
        return;
    }
    let line = match error {
        None => edge.lines.line("store_regained"),
        Some(error) => edge.lines.line("store_lost").with("why", error),
    };
    let age = edge.fresh.get().age(now).map(Millis::get);
    line.maybe("proof_age_ms", age).write();
}

/// Takes in the catalog if it is newer; returns whether what is in force is
/// the newest that the store has.
fn take_catalog(edge: &Edge, rows: &Rows) -> bool {
    let row = rows.rows.iter().rfind(|row| row.key == CATALOG_KEY);
    let Some(bytes) = row.and_then(|row| row.value.as_deref()) else {
        return edge.catalog.borrow().is_some();
    };
    match decode_catalog(bytes) {
        Ok(catalog) => {
            put_catalog(edge, catalog);
            true
        }
        Err(error) => {
            edge.lines
                .line("catalog_refused")
                .with("why", error)
                .write();
            metrics::counter!("thistlesill_edge_catalogs_refused_total").increment(1);
            false
        }
    }
}

fn put_catalog(edge: &Edge, catalog: Catalog) {
    let old = edge.catalog().map(|c| c.version);
    if old.is_some_and(|old| old >= catalog.version) {
        return;
    }
    edge.lines
        .line("catalog_in_force")
        .with("version", catalog.version)
        .maybe("before", old)
        .write();
    metrics::gauge!("thistlesill_edge_catalog_version").set(catalog.version as f64);
    let catalog = Rc::new(catalog);
    edge.catalog.replace(Some(catalog.clone()));
    edge.book.borrow_mut().index(Some(&catalog));
    edge.learned.notify_waiters();
    edge.fleet_news.notify_one();
}

/// Follows the targets' entries, for ever.
pub(crate) async fn follow_targets(edge: Rc<Edge>) {
    let mut whole = true;
    let mut pause = PAUSE;
    loop {
        if !whole && !follow::reads_targets(&edge) {
            tokio::select! {
                () = edge.targets_news.notified() => whole = true,
                () = edge.reads_changed.notified() => {}
                () = tokio::time::sleep(IDLE) => {}
            }
            continue;
        }
        let asked = edge.now();
        let answer = tokio::select! {
            answer = ask_targets(&edge, whole) => answer,
            () = edge.store_doubt.notified() => continue,
        };
        match answer {
            Ok(rows) => {
                if take_targets(&edge, &rows, whole) {
                    edge.targets_read.set(Some(asked));
                    edge.confirm_targets(asked);
                    whole = false;
                }
                pause = PAUSE;
                let batch = if edge.plans.get() {
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
                        tokio::time::sleep(pause).await;
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

/// Takes in what the store answered; returns whether all its changes are known
/// now.
fn take_targets(edge: &Edge, rows: &Rows, whole: bool) -> bool {
    let changes: Vec<Change> = rows
        .rows
        .iter()
        .filter_map(|row| decode(edge, row))
        .collect();
    if whole {
        return take_all_targets(edge, changes, rows.version);
    }
    let before = edge.feed.borrow().version();
    let changes = edge.feed.borrow().unknown(changes);
    edge.feed.borrow_mut().extend(&changes, rows.version);
    if !changes.is_empty() {
        follow::tell_changes(edge, before, &changes, rows.version);
        apply(edge, changes.into_iter().map(|c| c.what).collect());
    }
    true
}

/// Takes in a whole read, unless peers told of later changes meanwhile.
fn take_all_targets(edge: &Edge, all: Vec<Change>, version: u64) -> bool {
    if edge.feed.borrow().is_ahead_of(version) {
        return false;
    }
    edge.feed.borrow_mut().restart(version);
    let listed = all.into_iter().filter_map(|change| match change.what {
        Listing::Listed(target) => Some(*target),
        Listing::Gone(_) => None,
    });
    let (catalog, now) = (edge.catalog(), edge.now());
    let mut book = edge.book.borrow_mut();
    book.replace(listed.collect(), catalog.as_deref(), now);
    edge.learned.notify_waiters();
    edge.fleet_news.notify_one();
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
        }
    }
    let (catalog, now) = (edge.catalog(), edge.now());
    edge.book
        .borrow_mut()
        .apply(listings, catalog.as_deref(), now);
    edge.fleet_news.notify_one();
}

fn decode(edge: &Edge, row: &Row) -> Option<Change> {
    let what = match &row.value {
        None => Listing::Gone(row.key.as_str().into()),
        Some(value) => match decode_target(&row.key, value) {
            Ok(target) => Listing::Listed(Box::new(target)),
            Err(error) => {
                edge.lines.line("target_refused").with("why", error).write();
                metrics::counter!("thistlesill_edge_targets_refused_total").increment(1);
                return None;
            }
        },
    };
    Some(Change {
        version: row.version,
        what,
    })
}

/// Writes a line about a target's change if it changes who takes requests.
fn note_target(edge: &Edge, target: &Target) {
    let book = edge.book.borrow();
    let old = book.of(&target.service).and_then(|t| t.get(&target.id));
    let leads = target.leads_open();
    if old.is_some_and(|old| old.leads_open() == leads && old.leaving == target.leaving) {
        return;
    }
    if target.domain.is_some() && !leads && !target.leaving && old.is_none_or(|o| !o.leads_open()) {
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
