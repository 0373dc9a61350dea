//! Backoffs that targets request from this daemon in their refusals.

use std::cell::RefCell;
use std::collections::BTreeSet;

use thistlesill_core::edge::{Target, TargetId};
use thistlesill_platform::caller::{AnswerHead, BackoffHeader};
use thistlesill_policy::edge::backoff::BackoffTable;

use crate::job::Job;
use crate::lines::excerpt;
use crate::state::Edge;

/// The requested backoffs.
#[derive(Debug, Default)]
pub(crate) struct Backoffs {
    table: RefCell<BackoffTable>,
    /// Targets of which the requested backoff can't be parsed.
    unreadable: RefCell<BTreeSet<TargetId>>,
}

/// Records the backoff that a target's answer requests.
pub(crate) fn note_answer(job: &Job, target: &Target, info: &AnswerHead) {
    match &info.backoff {
        BackoffHeader::Missing => {}
        BackoffHeader::Requested(time) => {
            let edge = &job.edge;
            let mut table = edge.backoffs.table.borrow_mut();
            let remaining = table.request(&target.id, *time, edge.now());
            drop(table);
            edge.backoffs.unreadable.borrow_mut().remove(&target.id);
            metrics::counter!("thistlesill_edge_backoffs_requested_total").increment(1);
            edge.lines
                .line("backoff_requested")
                .with("target", &target.id)
                .with("id", &job.head.id)
                .with("requested_ms", time.get())
                .with("remaining_ms", remaining.get())
                .write();
        }
        BackoffHeader::Unreadable(text) => log_unreadable(job, target, text),
    }
}

/// Logs a backoff that can't be parsed, once until a valid one follows.
fn log_unreadable(job: &Job, target: &Target, text: &str) {
    let mut unreadable = job.edge.backoffs.unreadable.borrow_mut();
    if unreadable.insert(target.id.clone()) {
        let line = job.edge.lines.line("backoff_unreadable");
        line.with("target", &target.id)
            .with("id", &job.head.id)
            .with("text", excerpt(text))
            .write();
    }
}

/// Logs and counts a request that is sent to a target during its backoff.
pub(crate) fn log_sent(job: &Job, target: &Target) {
    let edge = &job.edge;
    let remaining = edge
        .backoffs
        .table
        .borrow()
        .remaining(&target.id, edge.now());
    if remaining.get() > 0 {
        metrics::counter!("thistlesill_edge_sent_in_backoff_total").increment(1);
        edge.lines
            .line("sent_in_backoff")
            .with("id", &job.head.id)
            .with("target", &target.id)
            .with("remaining_ms", remaining.get())
            .write();
    }
}

/// Removes targets that are gone, and backoffs that are over.
pub(crate) fn sweep(edge: &Edge) {
    let registry = edge.registry.borrow();
    let mut unreadable = edge.backoffs.unreadable.borrow_mut();
    unreadable.retain(|id| registry.is_current(id));
    let mut table = edge.backoffs.table.borrow_mut();
    table.remove_ended(edge.now());
}
