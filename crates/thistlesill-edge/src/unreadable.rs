//! Headers of targets' answers that can't be parsed, logged once for each target.

use std::cell::RefCell;
use std::collections::BTreeSet;

use thistlesill_core::edge::{Target, TargetId};

use crate::job::Job;
use crate::lines::excerpt;

/// Targets of which the last value of a header can't be parsed.
#[derive(Debug, Default)]
pub(crate) struct UnreadableHeaders {
    targets: RefCell<BTreeSet<TargetId>>,
}

impl UnreadableHeaders {
    /// Logs a value as `event`, unless that of an earlier answer was logged and no valid one followed.
    pub(crate) fn log_once(&self, event: &str, job: &Job, target: &Target, text: &str) {
        if self.targets.borrow_mut().insert(target.id.clone()) {
            let line = job.edge.lines.line(event);
            line.with("target", &target.id)
                .with("id", &job.head.id)
                .with("text", excerpt(text))
                .write();
        }
    }

    /// Records that a target sent a valid value.
    pub(crate) fn clear(&self, target: &TargetId) {
        self.targets.borrow_mut().remove(target);
    }

    /// Removes targets that no longer exist.
    pub(crate) fn retain(&self, known: impl Fn(&TargetId) -> bool) {
        self.targets.borrow_mut().retain(known);
    }
}
