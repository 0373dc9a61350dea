//! Limits on the requests a second that targets name in their answers.

use std::cell::RefCell;
use std::collections::HashMap;

use thistlesill_core::edge::{RateLimit, Target, TargetId};
use thistlesill_platform::caller::{AnswerHead, LimitHeader};

use crate::job::Job;

/// The limits that this daemon was told.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    named: RefCell<HashMap<TargetId, RateLimit>>,
}

impl Limits {
    /// Forgets targets that are gone.
    pub(crate) fn retain(&self, known: impl Fn(&TargetId) -> bool) {
        self.named.borrow_mut().retain(|id, _| known(id));
    }
}

/// Notes what an answer says of its target's limit.
pub(crate) fn note_answer(job: &Job, target: &Target, info: &AnswerHead) {
    let lines = &job.edge.lines;
    if let LimitHeader::Unreadable(text) = &info.rate {
        let line = lines.line("limit_unreadable").with("target", &target.id);
        line.with("id", &job.head.id).with("text", text).write();
    }
    // Another target at its address, or another request's answer.
    if !info.usable && !info.not_run {
        return;
    }
    let now = info.rate.limit();
    let mut named = job.edge.limits.named.borrow_mut();
    let before = match now {
        Some(limit) => named.insert(target.id.clone(), limit),
        None => named.remove(&target.id),
    };
    if before != now {
        let line = lines.line("limit_heard").with("target", &target.id);
        line.with("id", &job.head.id)
            .maybe("limit", now)
            .maybe("before", before)
            .write();
    }
}

/// Notes that a request is sent to a target, if that named a limit.
pub(crate) fn note_sent(job: &Job, target: &Target) {
    let named = job.edge.limits.named.borrow().get(&target.id).copied();
    if let Some(limit) = named {
        let line = job.edge.lines.line("limit_sent");
        line.with("id", &job.head.id)
            .with("target", &target.id)
            .with("limit", limit)
            .write();
    }
}
