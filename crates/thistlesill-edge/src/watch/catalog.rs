//! Follows the operators' catalog.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use thistlesill_core::Millis;
use thistlesill_core::edge::Catalog;
use thistlesill_platform::catalog::decode_catalog;
use thistlesill_platform::store::{CATALOG_KEY, Content, Rows, StoreError, Table};
use thistlesill_policy::edge::freshness::MARGIN;

use super::{
    AfterFailure, CHECK_INTERVAL, READ_TIMEOUT, RETRY_DELAY, WAIT_MARGIN, after_failure,
    log_failure, next_retry_delay,
};
use crate::evacuation;
use crate::follow::{self, FIRST_CATALOG_TIMEOUT};
use crate::limits;
use crate::peers::{Reach, link, transfer};
use crate::start;
use crate::state::Edge;

/// Timeout of a read that shows whether the store is unreachable, after a kept connection brought
/// no answer; an outage of 1.5 s is detected then.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Part of the longest age of a proof for which a request for changes of the catalog waits. A proof
/// holds from before its request, so its age reaches twice the wait; daemons that ask this one add
/// some; and one failed request must still fit in.
const PROOF_WAIT_RATIO: f64 = 0.22;
/// Part of the time in which a new catalog must be in force for which such a request waits: a
/// daemon whose reader stops sending must detect this and read the catalog itself within the rest.
const APPLY_WAIT_RATIO: f64 = 0.16;
/// Part of that time for which a peer is asked for its catalog before it is read from the store.
const FETCH_TIMEOUT_RATIO: f64 = 0.15;

/// Follows the catalog, without end.
pub(crate) async fn follow_catalog(edge: Rc<Edge>) {
    let mut version = None;
    let mut delay = RETRY_DELAY;
    let mut timeout = READ_TIMEOUT;
    start::await_turn(&edge).await;
    if edge.settings().first_start {
        await_first_catalog(&edge).await;
    }
    loop {
        let known = edge.catalog.borrow().is_some();
        if known && !edge.is_reader.get() {
            version = None;
            tokio::select! {
                () = edge.newer_catalog.notified() => if fetch_catalog(&edge).await { continue },
                // This daemon may only have begun to read the targets.
                () = edge.reader_changed.notified() => continue,
                () = tokio::time::sleep(CHECK_INTERVAL) => continue,
            }
        }
        let asked_at = edge.now();
        let answer = ask_catalog(&edge, version, timeout).await;
        timeout = READ_TIMEOUT;
        match answer {
            Ok(rows) => {
                record_store_status(&edge, None);
                delay = RETRY_DELAY;
                // An answer with changes may be followed by more of them; only a whole read, or an
                // answer without changes, shows that the catalog in force was the newest when the
                // request was sent.
                let newest = version.is_none() || rows.rows.is_empty();
                evacuation::apply_rows(&edge, &rows, version.is_none());
                if apply_row(&edge, &rows) && newest {
                    edge.confirm_catalog(asked_at);
                }
                version = Some(rows.version);
            }
            Err(error) => {
                log_failure(&edge, Table::Operators, &error, asked_at);
                // A whole read gives a proof at once.
                version = None;
                match after_failure(&error) {
                    AfterFailure::RetryNow => {
                        timeout = CONFIRM_TIMEOUT;
                        edge.store_failed.notify_waiters();
                    }
                    AfterFailure::ReadAll => {}
                    AfterFailure::RetryLater => {
                        record_store_status(&edge, Some(&error));
                        wait_to_retry(&edge, delay).await;
                        delay = next_retry_delay(&edge);
                    }
                }
            }
        }
    }
}

/// At the first start of the whole system, waits until the daemon that will form groups has the
/// catalog, and fetches it from there. This takes one call of the store where each daemon made
/// three: the catalog does not exist yet at first, and its proof does not when it comes.
async fn await_first_catalog(edge: &Edge) {
    let deadline = edge.now() + FIRST_CATALOG_TIMEOUT;
    loop {
        let will_plan = {
            let peers = edge.peers.borrow();
            edge.is_planner.get() || peers.is_first_listed(&edge.settings().name)
        };
        if will_plan || edge.catalog.borrow().is_some() || edge.now() >= deadline {
            return;
        }
        tokio::select! {
            () = edge.newer_catalog.notified() => {
                if !fetch_catalog(edge).await {
                    return;
                }
            }
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Fetches the newer catalog that a peer announced from that peer; returns whether this succeeded.
/// On a day without faults with 63 daemons and one new catalog, this leaves 142 of 197 reads of the
/// catalog.
async fn fetch_catalog(edge: &Edge) -> bool {
    let Some(address) = edge.catalog_source.take() else {
        return false;
    };
    let timeout = edge
        .settings()
        .bounds
        .apply
        .duration()
        .mul_f64(FETCH_TIMEOUT_RATIO);
    match transfer::fetch_catalog(address, timeout).await {
        Ok(text) => {
            let is_valid = apply_text(edge, &text);
            // Asks for the proof that goes with the catalog.
            follow::request_proof(edge);
            is_valid
        }
        Err(error) => {
            start::log_failed(edge, address, &error);
            false
        }
    }
}

/// Waits after a failure, but no longer than until a peer announces a newer catalog: the store may
/// be back, and waiting to the end left an old catalog in force for up to 3.4 s after a network
/// partition had healed.
async fn wait_to_retry(edge: &Edge, delay: Duration) {
    tokio::select! {
        () = tokio::time::sleep(delay) => {}
        () = edge.listed.notified() => {}
        () = edge.loaded.notified() => {}
        () = edge.newer_catalog.notified() => {
            if !fetch_catalog(edge).await {
                tokio::time::sleep(RETRY_DELAY.min(delay)).await;
            }
        }
    }
}

/// Reads the catalog, within `timeout`, or waits for changes after a version.
async fn ask_catalog(
    edge: &Edge,
    version: Option<u64>,
    timeout: Duration,
) -> Result<Rows, StoreError> {
    let Some(version) = version else {
        return edge.store.read(Table::Operators, timeout).await;
    };
    let wait = catalog_wait(edge);
    edge.store
        .changes(Table::Operators, version, wait, WAIT_MARGIN)
        .await
}

fn catalog_wait(edge: &Edge) -> Duration {
    let bounds = edge.settings().bounds;
    let apply = bounds.apply.duration().mul_f64(APPLY_WAIT_RATIO);
    match bounds.revoke {
        None => apply,
        Some(bound) => apply.min((bound - MARGIN).duration().mul_f64(PROOF_WAIT_RATIO)),
    }
}

/// Records whether the store answers, and logs when that changes.
fn record_store_status(edge: &Edge, error: Option<&StoreError>) {
    let now = edge.now();
    if error.is_none() {
        edge.registry.borrow_mut().store_answered(now);
    } else {
        edge.registry.borrow_mut().store_failed();
        edge.store_failed.notify_waiters();
    }
    let was_unreachable = edge
        .store_unreachable_at
        .replace(error.map(|_| now))
        .is_some();
    if was_unreachable == error.is_some() {
        return;
    }
    if error.is_none() {
        // The other daemons there can ask this one without waiting for its next heartbeat.
        link::send_heartbeat(edge, Reach::Near);
    }
    let line = match error {
        None => edge.lines.line("store_regained"),
        Some(error) => edge.lines.line("store_lost").with("why", error),
    };
    let age = edge.catalog_freshness.get().age(now).map(Millis::get);
    line.maybe("proof_age_ms", age).write();
}

/// Applies the catalog's row if it is newer. Returns whether the catalog in force is the newest
/// that the store has.
fn apply_row(edge: &Edge, rows: &Rows) -> bool {
    let row = rows.rows.iter().rfind(|row| row.key == CATALOG_KEY);
    match row.map(|row| &row.value) {
        None | Some(Content::Gone) => edge.catalog.borrow().is_some(),
        Some(Content::Bytes(bytes)) => apply_text(edge, bytes),
        Some(Content::Unreadable(why)) => {
            log_refused(edge, why);
            false
        }
    }
}

/// Decodes and applies a catalog as the operators wrote it; returns whether it is valid.
pub(crate) fn apply_text(edge: &Edge, text: &[u8]) -> bool {
    match decode_catalog(text) {
        Ok(catalog) => {
            apply_catalog(edge, catalog, text);
            true
        }
        Err(error) => {
            log_refused(edge, error);
            false
        }
    }
}

/// Logs a catalog that cannot be applied; the one in force stays.
fn log_refused(edge: &Edge, why: impl std::fmt::Display) {
    edge.lines.line("catalog_refused").with("why", why).write();
    metrics::counter!("thistlesill_edge_catalogs_refused_total").increment(1);
}

fn apply_catalog(edge: &Edge, catalog: Catalog, text: &[u8]) {
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
