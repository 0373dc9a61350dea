//! Backoffs that targets request from this daemon in their refusals.

use std::cell::RefCell;

use thistlesill_core::Millis;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_platform::caller::{AnswerHead, BackoffHeader};
use thistlesill_policy::edge::backoff::BackoffTable;

use crate::job::Job;
use crate::state::Edge;
use crate::unreadable::UnreadableHeaders;

/// The requested backoffs.
#[derive(Debug, Default)]
pub(crate) struct Backoffs {
    table: RefCell<BackoffTable>,
    /// Targets of which the requested backoff can't be parsed.
    unreadable: UnreadableHeaders,
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
            // The backoff does not bind the peers for which this daemon picks targets as an owner.
            let mut loads = edge.loads.borrow_mut();
            loads.prefer_others(&target.id, now + remaining);
            drop(loads);
            edge.backoffs.unreadable.clear(&target.id);
            metrics::counter!("thistlesill_edge_backoffs_requested_total").increment(1);
            edge.lines
                .line("backoff_requested")
                .with("target", &target.id)
                .with("id", &job.head.id)
                .with("requested_ms", time.get())
                .with("remaining_ms", remaining.get())
                .write();
        }
        BackoffHeader::Unreadable(text) => {
            let unreadable = &job.edge.backoffs.unreadable;
            unreadable.log_once("backoff_unreadable", job, target, text);
        }
    }
}

/// Removes targets that are gone, and backoffs that are over.
pub(crate) fn sweep(edge: &Edge) {
    let registry = edge.registry.borrow();
    let unreadable = &edge.backoffs.unreadable;
    unreadable.retain(|id| registry.is_current(id));
    let mut table = edge.backoffs.table.borrow_mut();
    table.remove_ended(edge.now());
}
