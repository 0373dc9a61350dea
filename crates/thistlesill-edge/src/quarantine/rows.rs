//! Rows of withheld requests in the store, for the case that all daemons are lost at once.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thistlesill_core::table::{Row, Txn};
use thistlesill_core::{Fingerprint, Millis, Verdict};
use thistlesill_net::clock::Clock;
use thistlesill_policy::quarantine::MAX_HOLD;

use super::log_verdict;
use crate::start::{self, Start};
use crate::state::Edge;

/// Time limit of a store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Backoff after a store call that failed.
const STORE_BACKOFF: Duration = Duration::from_millis(800);
/// How long a row is kept after the end of the time for which its request is withheld.
const ROW_RETENTION_MS: u64 = 600_000;
/// How far apart the clocks of two daemons may be.
const MAX_CLOCK_ERROR: Millis = Millis::new(60_000);
/// Highest round of a verdict that counts as valid; each verdict on a request starts another one.
const MAX_ROUND: u32 = 1 << 24;
/// The table of withheld requests.
const TABLE: &str = "withheld/";

/// The stored row of a withheld request.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WithheldRow {
    print: Fingerprint,
    round: u32,
    level: u32,
    /// When the request is no longer withheld, in Unix milliseconds.
    until: u64,
}

impl WithheldRow {
    /// Returns whether a daemon may have written the row at a time of day, in Unix milliseconds.
    fn is_valid(self, wall: u64) -> bool {
        let left = Millis::new(self.until.saturating_sub(wall));
        self.round <= MAX_ROUND && left <= MAX_HOLD + MAX_CLOCK_ERROR
    }
}

/// Writes verdicts to the store; never returns.
///
/// First reads the stored verdicts, for the case that all daemons were lost, if this daemon reads
/// the store for others that start.
pub(crate) async fn persist(edge: Rc<Edge>) {
    start::await_turn(&edge).await;
    if edge.start.get() == Start::ReadsStore && !edge.settings().first_start {
        read_rows(&edge).await;
    }
    loop {
        edge.quarantine.write.notified().await;
        loop {
            let next = edge.quarantine.unwritten.borrow().first().copied();
            let Some(verdict) = next else { break };
            if write_row(&edge, &verdict).await {
                let mut unwritten = edge.quarantine.unwritten.borrow_mut();
                unwritten.retain(|v| *v != verdict);
            } else {
                tokio::time::sleep(STORE_BACKOFF).await;
            }
        }
    }
}

async fn read_rows(edge: &Edge) {
    let rows = loop {
        match edge.store.read_own(TABLE, STORE_TIMEOUT).await {
            Ok(rows) => break rows.rows,
            Err(error) => log::debug!("quarantine: not read: {error}"),
        }
        tokio::time::sleep(STORE_BACKOFF).await;
    };
    for row in rows {
        load_row(edge, &row).await;
    }
}

async fn load_row(edge: &Edge, row: &Row) {
    let wall = Clock::wall();
    match serde_json::from_str::<WithheldRow>(&row.value) {
        Ok(stored) if !stored.is_valid(wall) => {
            refuse_row(edge, &row.key, &"its numbers are out of range").await;
        }
        Ok(stored) if wall < stored.until.saturating_add(ROW_RETENTION_MS) => {
            let verdict = Verdict {
                print: stored.print,
                round: stored.round,
                level: stored.level,
                left: Millis::new(stored.until.saturating_sub(wall)),
                trial: false,
            };
            let is_new = edge
                .quarantine
                .known
                .borrow_mut()
                .receive(verdict, edge.now());
            if is_new {
                log_verdict(edge, &verdict, "the store", None);
            }
        }
        Ok(_) => remove_row(edge, &row.key).await,
        Err(error) => refuse_row(edge, &row.key, &error).await,
    }
}

/// Logs and removes a row that no daemon has written.
async fn refuse_row(edge: &Edge, key: &str, why: &impl Display) {
    let line = edge.lines.line("withheld_refused").with("key", key);
    line.with("why", why).write();
    remove_row(edge, key).await;
}

/// Removes an expired or unreadable row. If that fails, a later start removes the row.
async fn remove_row(edge: &Edge, key: &str) {
    let txn = Txn::new().delete(key.to_owned());
    edge.write(&txn, STORE_TIMEOUT, "quarantine: a row not removed")
        .await;
}

/// Writes a verdict to the store; returns whether the store confirmed the write.
///
/// The write is idempotent, so one with an unknown outcome is repeated.
async fn write_row(edge: &Edge, verdict: &Verdict) -> bool {
    let key = format!("{TABLE}{}", verdict.print);
    let txn = if verdict.level == 0 {
        Txn::new().delete(key)
    } else {
        let row = WithheldRow {
            print: verdict.print,
            round: verdict.round,
            level: verdict.level,
            until: Clock::wall() + verdict.left.get(),
        };
        Txn::new().put(key, &row)
    };
    edge.write(&txn, STORE_TIMEOUT, "quarantine: not written")
        .await
}
