//! Follows the store: the operators' catalog and the targets' entries.

mod catalog;
mod targets;

use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_platform::store::{StoreError, Table};

pub(crate) use self::catalog::{apply_text, follow_catalog};
pub(crate) use self::targets::{apply, apply_targets, follow_targets};
use crate::follow;
use crate::state::Edge;

/// Timeout of a read; the store answers within some milliseconds, and within some hundred when it
/// is slow.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Added to the time for which the store was asked to wait.
const WAIT_MARGIN: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Delay after a second failed call, for a daemon on which no others depend: then the store is
/// unreachable, not just one answer lost, and the readers, which this daemon asks as well, try more
/// often.
const LONG_RETRY_DELAY: Duration = Duration::from_millis(2_400);
/// Time between two checks of a daemon that does not read the store.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// What follows a request that brought no rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterFailure {
    /// The request is repeated at once, on a new connection.
    RetryNow,
    /// The whole table is read.
    ReadAll,
    /// The store is unreachable; the request is repeated after a delay.
    RetryLater,
}

/// Decides what follows a failed request. Only a failure on a new connection shows that the store
/// is down. When a failure on a kept connection was taken for an outage, all daemons kept vanished
/// entries for 2.3 s: requests reached targets that were gone, and members of a leader that still
/// worked were used in another group.
const fn after_failure(error: &StoreError) -> AfterFailure {
    match error {
        StoreError::HistoryGone => AfterFailure::ReadAll,
        _ if error.is_on_reused_connection() => AfterFailure::RetryNow,
        _ => AfterFailure::RetryLater,
    }
}

/// Returns the delay after the next failed call.
fn next_retry_delay(edge: &Edge) -> Duration {
    if follow::reads_for_others(edge) {
        RETRY_DELAY
    } else {
        LONG_RETRY_DELAY
    }
}

/// Logs a request that brought no rows.
fn log_failure(edge: &Edge, table: Table, error: &StoreError, asked_at: Millis) {
    metrics::counter!("thistlesill_edge_store_failures_total").increment(1);
    edge.lines
        .line("store_failed")
        .with("table", table)
        .with("why", error)
        .with("took_ms", (edge.now() - asked_at).get())
        .write();
}
