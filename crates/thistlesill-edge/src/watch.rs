//! Follows the store: the operators' catalog and the targets' entries.

mod catalog;
mod targets;

use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_platform::store::{StoreError, Table};

pub(crate) use self::catalog::{follow_catalog, put_text};
pub(crate) use self::targets::{apply, follow_targets, put_targets};
use crate::follow;
use crate::state::Edge;

/// Time for a read; the store answers within some milliseconds, and slowly
/// within some hundred.
const READ: Duration = Duration::from_millis(1_000);
/// Added to the time for which the store was asked to wait.
const SLACK: Duration = Duration::from_millis(500);
/// After a call that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// After a second call that failed, for a daemon on which no other depends: the
/// store is away rather than an answer lost, and the readers, which it asks as
/// well, try more often.
const LONG_PAUSE: Duration = Duration::from_millis(2_400);
/// How often a daemon that does not read the store looks whether it should.
const IDLE: Duration = Duration::from_millis(400);

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
        _ if error.is_on_reused_connection() => AfterFailure::AskAgain,
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
