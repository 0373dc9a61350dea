//! Follows the operators' catalog.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use thistlesill_core::Millis;
use thistlesill_core::edge::Catalog;
use thistlesill_platform::catalog::decode_catalog;
use thistlesill_platform::store::{CATALOG_KEY, Content, Rows, StoreError, Table};
use thistlesill_policy::edge::freshness::MARGIN;

use super::{AfterFailure, IDLE, PAUSE, READ, SLACK, after_failure, next_pause, note_failure};
use crate::evacuation;
use crate::follow::{self, FIRST_WORD};
use crate::limits;
use crate::peers::{Reach, link, transfer};
use crate::start;
use crate::state::Edge;

/// Time for a read that shows whether the store is away, after a connection that
/// was kept brought no answer; an outage of 1.5 s is noticed then.
const CONFIRM: Duration = Duration::from_millis(400);
/// Part of the longest age of a proof for which a question about the catalog
/// waits. A proof holds from before its question, so its age reaches twice
/// the wait; daemons that ask this one add some; and one failed question must
/// still fit in.
const PROOF_PART: f64 = 0.22;
/// Part of the time in which a new catalog must be in force for which a
/// question waits: a daemon whose reader fell silent must notice and read the
/// catalog itself within the rest.
const APPLY_PART: f64 = 0.16;
/// Part of that time for which a peer is asked for its catalog before it is read
/// from the store.
const FETCH_PART: f64 = 0.15;

/// Follows the catalog, for ever.
pub(crate) async fn follow_catalog(edge: Rc<Edge>) {
    let mut version = None;
    let mut pause = PAUSE;
    let mut limit = READ;
    start::await_turn(&edge).await;
    if edge.settings().first_start {
        await_word(&edge).await;
    }
    loop {
        let known = edge.catalog.borrow().is_some();
        if known && !edge.is_reader.get() {
            version = None;
            tokio::select! {
                () = edge.newer_catalog.notified() => if fetch_catalog(&edge).await { continue },
                // It may only have begun to read the targets.
                () = edge.reader_changed.notified() => continue,
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
                evacuation::take_rows(&edge, &rows, version.is_none());
                if take_catalog(&edge, &rows) && newest {
                    edge.confirm_catalog(asked);
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
                        edge.store_failed.notify_waiters();
                    }
                    AfterFailure::ReadWhole => {}
                    AfterFailure::Wait => {
                        note_store(&edge, Some(&error));
                        pause_until_news(&edge, pause).await;
                        pause = next_pause(&edge);
                    }
                }
            }
        }
    }
}

/// At the first start of the whole system, waits until the daemon that will form
/// groups has the catalog, and gets it from there. This takes one call of the store
/// where each daemon made three: the catalog is not there yet at first, and its proof
/// not when it comes.
async fn await_word(edge: &Edge) {
    let until = edge.now() + FIRST_WORD;
    loop {
        let leads = {
            let peers = edge.peers.borrow();
            edge.is_planner.get() || peers.is_first_listed(&edge.settings().name)
        };
        if leads || edge.catalog.borrow().is_some() || edge.now() >= until {
            return;
        }
        tokio::select! {
            () = edge.newer_catalog.notified() => {
                if !fetch_catalog(edge).await {
                    return;
                }
            }
            () = tokio::time::sleep(IDLE) => {}
        }
    }
}

/// Gets the newer catalog that a peer told of from that peer; returns whether this
/// worked. On a calm day of 63 daemons with one new catalog, 142 reads of it are left of
/// 197.
async fn fetch_catalog(edge: &Edge) -> bool {
    let Some(address) = edge.catalog_source.take() else {
        return false;
    };
    let limit = edge.settings().bounds.apply.duration().mul_f64(FETCH_PART);
    match transfer::fetch_catalog(address, limit).await {
        Ok(text) => {
            let taken = put_text(edge, &text);
            // The proof that goes with it.
            follow::ask(edge);
            taken
        }
        Err(error) => {
            start::note_failed(edge, address, &error);
            false
        }
    }
}

/// Pauses after a failure, until a peer tells of a newer catalog at most: the store
/// may be back, and a pause to its end left an old catalog in force for up to 3.4 s
/// after a cut had healed.
async fn pause_until_news(edge: &Edge, pause: Duration) {
    tokio::select! {
        () = tokio::time::sleep(pause) => {}
        () = edge.listed.notified() => {}
        () = edge.loaded.notified() => {}
        () = edge.newer_catalog.notified() => {
            if !fetch_catalog(edge).await {
                tokio::time::sleep(PAUSE.min(pause)).await;
            }
        }
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

fn catalog_wait(edge: &Edge) -> Duration {
    let bounds = edge.settings().bounds;
    let apply = bounds.apply.duration().mul_f64(APPLY_PART);
    match bounds.revoke {
        None => apply,
        Some(bound) => apply.min((bound - MARGIN).duration().mul_f64(PROOF_PART)),
    }
}

/// Notes whether the store answers, with a line when that changes.
fn note_store(edge: &Edge, error: Option<&StoreError>) {
    let now = edge.now();
    if error.is_none() {
        edge.registry.borrow_mut().store_answered(now);
    } else {
        edge.registry.borrow_mut().store_failed();
        edge.store_failed.notify_waiters();
    }
    let was_away = edge
        .store_unreachable_at
        .replace(error.map(|_| now))
        .is_some();
    if was_away == error.is_some() {
        return;
    }
    if error.is_none() {
        // The others there ask this one, without waiting for its next beat.
        link::tell_beat(edge, Reach::Near);
    }
    let line = match error {
        None => edge.lines.line("store_regained"),
        Some(error) => edge.lines.line("store_lost").with("why", error),
    };
    let age = edge.catalog_freshness.get().age(now).map(Millis::get);
    line.maybe("proof_age_ms", age).write();
}

/// Takes in the catalog if it is newer; returns whether what is in force is
/// the newest that the store has.
fn take_catalog(edge: &Edge, rows: &Rows) -> bool {
    let row = rows.rows.iter().rfind(|row| row.key == CATALOG_KEY);
    match row.map(|row| &row.value) {
        None | Some(Content::Gone) => edge.catalog.borrow().is_some(),
        Some(Content::Bytes(bytes)) => put_text(edge, bytes),
        Some(Content::Unreadable(why)) => {
            note_refused(edge, why);
            false
        }
    }
}

/// Takes in a catalog as the operators wrote it; returns whether it is sound.
pub(crate) fn put_text(edge: &Edge, text: &[u8]) -> bool {
    match decode_catalog(text) {
        Ok(catalog) => {
            put_catalog(edge, catalog, text);
            true
        }
        Err(error) => {
            note_refused(edge, error);
            false
        }
    }
}

/// Notes a catalog that cannot be taken in; the one in force stays so.
fn note_refused(edge: &Edge, why: impl std::fmt::Display) {
    edge.lines.line("catalog_refused").with("why", why).write();
    metrics::counter!("thistlesill_edge_catalogs_refused_total").increment(1);
}

fn put_catalog(edge: &Edge, catalog: Catalog, text: &[u8]) {
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
    edge.catalog_text.replace(Bytes::copy_from_slice(text));
    let catalog = Rc::new(catalog);
    edge.catalog.replace(Some(catalog.clone()));
    edge.registry.borrow_mut().index(Some(&catalog));
    if old.is_none() {
        limits::limit_warming_targets(edge);
    }
    edge.loaded.notify_waiters();
    edge.fleet_changed.notify_one();
}
