//! Backoffs that targets request from this daemon in their refusals.

use std::cell::RefCell;
use std::collections::BTreeSet;

use thistlesill_core::Millis;
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

impl Backoffs {
    /// Returns the time until the backoff of a target ends; zero if it has none.
    pub(crate) fn remaining(&self, id: &TargetId, now: Millis) -> Millis {
        self.table.borrow().remaining(id, now)
    }

    /// Returns whether a target wants no request from this daemon now.
    pub(crate) fn is_active(&self, id: &TargetId, now: Millis) -> bool {
        self.remaining(id, now) > Millis::ZERO
    }
}

/// Records the backoff that a target's answer requests.
pub(crate) fn note_answer(job: &Job, target: &Target, info: &AnswerHead) {
    match &info.backoff {
        BackoffHeader::Missing => {}
        BackoffHeader::Requested(time) => {
            let edge = &job.edge;
            let now = edge.now();
            let mut table = edge.backoffs.table.borrow_mut();
            let remaining = table.request(&target.id, *time, now);
            drop(table);
            // Owners are told to avoid the target. As an owner, this daemon only prefers others for
            // the requests of its peers, which the backoff does not bind.
            let mut loads = edge.loads.borrow_mut();
            loads.prefer_others(&target.id, now + remaining);
            drop(loads);
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

/// Removes targets that are gone, and backoffs that are over.
pub(crate) fn sweep(edge: &Edge) {
    let registry = edge.registry.borrow();
    let mut unreadable = edge.backoffs.unreadable.borrow_mut();
    unreadable.retain(|id| registry.is_current(id));
    let mut table = edge.backoffs.table.borrow_mut();
    table.remove_ended(edge.now());
}
