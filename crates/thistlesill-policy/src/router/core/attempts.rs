//! Events of attempts: pieces, ends and failures.

use std::sync::Arc;

use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::{RouterCore, SERVICE_TIME_WEIGHT, request_may_have_run};
use crate::budget::backoff;
use crate::charts::RequestEvent;
use crate::router::stream::PieceResult;
use crate::router::{AttemptEvent, Ending, Mode, RouterAction, Wanted, dispatch};
use crate::serving::GroupKey;

impl RouterCore {
    pub(super) fn handle_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        what: AttemptEvent,
        now: Millis,
    ) {
        let current = self
            .requests
            .get(&id)
            .is_some_and(|r| r.attempt_count == attempt && r.attempt.is_some());
        if !current {
            self.status.dropped += 1;
            return;
        }
        match what {
            AttemptEvent::Unsent | AttemptEvent::Refused => self.handle_not_run(id, now),
            AttemptEvent::Denied => {
                self.end_attempt(id, now);
                self.fail(id, ErrorKind::TargetDenied, None, now);
            }
            AttemptEvent::Forgotten => self.handle_forgotten(id, now),
            AttemptEvent::Piece {
                request,
                key,
                offset,
                text,
            } => {
                if request == id && self.is_answering(id, &key) {
                    self.handle_piece(id, offset, text, now);
                } else {
                    self.status.dropped += 1;
                }
            }
            AttemptEvent::End {
                request,
                key,
                count,
                reason,
            } => {
                if request == id && self.is_answering(id, &key) {
                    self.handle_end(id, count, reason, now);
                } else {
                    self.status.dropped += 1;
                }
            }
            AttemptEvent::Whole { status } => self.handle_plain_answer(id, status, now),
            AttemptEvent::Broken => self.handle_broken(id, ErrorKind::SentUnknown, now),
            AttemptEvent::Garbage => self.handle_broken(id, ErrorKind::BadTarget, now),
        }
    }

    pub(super) fn is_answering(&self, id: RequestId, key: &GroupKey) -> bool {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        attempt.is_some_and(|a| a.key == *key)
    }

    pub(super) fn handle_piece(&mut self, id: RequestId, offset: u32, text: Arc<str>, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Token);
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        attempt.last_event = now;
        let key = attempt.key.clone();
        let first = !std::mem::replace(&mut attempt.streaming, true);
        let took = now - attempt.sent_at;
        let (ahead, wanted) = (attempt.ahead, request.policy.first_token);
        let result = request.assembly.accept(offset, text);
        let end = attempt.end.clone();
        self.count_refusal(stepped.is_ok());
        if first {
            if let Some(load) = self.loads.get_mut(&key) {
                load.record_first_token(took, ahead, wanted, now);
            }
            if offset == 0 {
                self.note(TimelineEvent::FirstToken { request: id });
            }
        }
        match result {
            PieceResult::Ready(pieces) => self.deliver(id, &key, pieces),
            PieceResult::Buffered => {}
            PieceResult::Duplicate => self.status.dropped += 1,
            PieceResult::Gap => {
                self.handle_broken(id, ErrorKind::StreamLost, now);
                return;
            }
        }
        if let Some((count, reason)) = end {
            self.handle_end(id, count, reason, now);
        }
    }

    pub(super) fn deliver(&mut self, id: RequestId, key: &GroupKey, pieces: Vec<(u32, Arc<str>)>) {
        for (offset, text) in pieces {
            self.out.push(RouterAction::Deliver {
                request: id,
                key: key.clone(),
                offset,
                text,
            });
        }
    }

    /// Handles the end of a stream: the answer is complete once all pieces have arrived.
    pub(super) fn handle_end(&mut self, id: RequestId, count: u32, reason: Arc<str>, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let next = request.assembly.next();
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        attempt.last_event = now;
        if next < count {
            attempt.end = Some((count, reason));
            return;
        }
        if next > count {
            // The stream ends before what was already delivered, so the end belongs to another
            // answer.
            self.handle_broken(id, ErrorKind::BadTarget, now);
            return;
        }
        let took = (now - attempt.sent_at).get() as f64;
        self.mean_service_ms += SERVICE_TIME_WEIGHT * (took - self.mean_service_ms);
        let ending = Ending::Streamed {
            text: request.assembly.text().to_owned(),
            count,
            reason,
            key: attempt.key.clone(),
        };
        self.end_attempt(id, now);
        self.finish(id, ending, now);
    }

    pub(super) fn handle_plain_answer(&mut self, id: RequestId, _status: u16, now: Millis) {
        self.end_attempt(id, now);
        self.finish(id, Ending::Whole, now);
    }

    /// Handles an attempt that is known not to have run.
    pub(super) fn handle_not_run(&mut self, id: RequestId, now: Millis) {
        self.fail_attempt(id, now);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pinned = request.pinned.is_some();
        let began = request.assembly.next() > 0;
        if pinned && request.policy.repeatable && request.arrival.resume.is_none() {
            self.continue_elsewhere(id);
        }
        let kind = if began || request_may_have_run(&self.requests, id) {
            ErrorKind::StreamLost
        } else {
            ErrorKind::TargetRefused
        };
        self.retry_or_fail(id, kind, now);
    }

    /// Handles a target that has no state of the stream to resume.
    pub(super) fn handle_forgotten(&mut self, id: RequestId, now: Millis) {
        self.fail_attempt(id, now);
        let request = self.requests.get(&id);
        let can_rerun = request.is_some_and(|r| r.policy.repeatable && r.arrival.resume.is_none());
        if !can_rerun {
            self.fail(id, ErrorKind::StreamLost, None, now);
            return;
        }
        self.continue_elsewhere(id);
        self.retry_or_fail(id, ErrorKind::StreamLost, now);
    }

    /// Handles a connection lost after sending began: the request may have run.
    pub(super) fn handle_broken(&mut self, id: RequestId, kind: ErrorKind, now: Millis) {
        let others_failed = self.is_group_suspect(id, now);
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let key = attempt.map(|a| a.key.clone());
        self.fail_attempt(id, now);
        let may_go_on = key.is_none_or(|key| self.record_loss(id, &key, now));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.may_have_run = true;
        if !may_go_on {
            self.fail(id, kind, None, now);
            return;
        }
        let streamed = matches!(request.arrival.wanted, Wanted::Model(_));
        if !streamed && !request.policy.repeatable {
            self.fail(id, kind, None, now);
            return;
        }
        let elsewhere = others_failed && request.policy.repeatable;
        if streamed && elsewhere && request.arrival.resume.is_none() {
            // Other requests just failed there, so asking that group for the rest would only use up
            // one of the attempts.
            self.continue_elsewhere(id);
        } else if streamed {
            // The group may still run the request: ask it for the rest first.
            let offset = request.assembly.next();
            request.mode = Mode::Resume { offset };
            let last = request.last_group.take();
            request.pinned = last;
        }
        self.retry_or_fail(id, kind, now);
    }

    /// Returns whether other requests just failed at the group of a request's attempt.
    fn is_group_suspect(&self, id: RequestId, now: Millis) -> bool {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let load = attempt.and_then(|a| self.loads.get(&a.key));
        load.is_some_and(|l| l.is_suspect(now))
    }

    /// Lets another group continue the answer.
    pub(super) fn continue_elsewhere(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.pinned = None;
            request.mode = dispatch::continuation(request);
        }
    }

    /// Queues another attempt after a backoff, or fails the request if its attempts or the retry
    /// budget are used up.
    pub(super) fn retry_or_fail(&mut self, id: RequestId, kind: ErrorKind, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.attempt_count >= request.policy.attempts {
            self.fail(id, kind, None, now);
            return;
        }
        if !self.budget.withdraw() {
            let spent = if request.may_have_run {
                kind
            } else {
                ErrorKind::RetryBudget
            };
            self.fail(id, spent, None, now);
            return;
        }
        self.status.retries += 1;
        request.not_before = now + backoff(request.attempt_count + 1, &mut self.rng);
        let stepped = request.apply(&self.charts.request, RequestEvent::Requeue);
        let entry = request.queue_entry();
        if self.count_refusal(stepped.is_ok()) {
            self.queue.requeue(entry);
        }
    }

    /// Ends an attempt that failed, and marks its group as suspect.
    pub(super) fn fail_attempt(&mut self, id: RequestId, now: Millis) {
        let Some(key) = self.end_attempt(id, now) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&key) {
            load.record_failure(now);
        }
        self.note(TimelineEvent::AttemptFailed {
            request: id,
            group: key.group,
        });
    }

    /// Ends the attempt under way, if any, and returns its group.
    pub(super) fn end_attempt(&mut self, id: RequestId, now: Millis) -> Option<GroupKey> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        request.last_group = Some(attempt.key.clone());
        self.queue.record_end(&request.arrival.customer);
        if let Some(load) = self.loads.get_mut(&attempt.key) {
            load.record_end(now);
        }
        Some(attempt.key)
    }
}
