//! What becomes of attempts: pieces, endings, and what broke.

use std::sync::Arc;

use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::{RouterCore, SERVICE_LEARNING, request_exposed};
use crate::budget::backoff;
use crate::charts::RequestEvent;
use crate::router::stream::Placed;
use crate::router::{AttemptEvent, Ending, Mode, RouterAction, Wanted, dispatch};
use crate::serving::GroupKey;

impl RouterCore {
    pub(super) fn attempt(&mut self, id: RequestId, attempt: u32, what: AttemptEvent, now: Millis) {
        let current = self
            .requests
            .get(&id)
            .is_some_and(|r| r.tries == attempt && r.attempt.is_some());
        if !current {
            self.status.dropped += 1;
            return;
        }
        match what {
            AttemptEvent::Unsent | AttemptEvent::Refused => self.unsent(id, now),
            AttemptEvent::Denied => {
                self.end_attempt(id, now);
                self.fail(id, ErrorKind::TargetDenied, None, now);
            }
            AttemptEvent::Forgotten => self.forgotten(id, now),
            AttemptEvent::Piece {
                request,
                key,
                offset,
                text,
            } => {
                if request == id && self.is_answering(id, &key) {
                    self.piece(id, offset, text, now);
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
                    self.ending(id, count, reason, now);
                } else {
                    self.status.dropped += 1;
                }
            }
            AttemptEvent::Whole { status } => self.whole(id, status, now),
            AttemptEvent::Broken => self.broken(id, ErrorKind::SentUnknown, now),
            AttemptEvent::Garbage => self.broken(id, ErrorKind::BadTarget, now),
        }
    }

    pub(super) fn is_answering(&self, id: RequestId, key: &GroupKey) -> bool {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        attempt.is_some_and(|a| a.key == *key)
    }

    pub(super) fn piece(&mut self, id: RequestId, offset: u32, text: Arc<str>, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Token);
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        attempt.heard = now;
        let key = attempt.key.clone();
        let first = !std::mem::replace(&mut attempt.began, true);
        let took = now - attempt.sent;
        let (ahead, wanted) = (attempt.ahead, request.terms.first_token);
        let placed = request.assembly.place(offset, text);
        let end = attempt.end.clone();
        self.count_refusal(stepped.is_ok());
        if first {
            if let Some(load) = self.loads.get_mut(&key) {
                load.first_token(took, ahead, wanted, now);
            }
            if offset == 0 {
                self.note(TimelineEvent::FirstToken { request: id });
            }
        }
        match placed {
            Placed::Ready(pieces) => self.deliver(id, &key, pieces),
            Placed::Held => {}
            Placed::Doubled => self.status.dropped += 1,
            Placed::Gap => {
                self.broken(id, ErrorKind::StreamLost, now);
                return;
            }
        }
        if let Some((count, reason)) = end {
            self.ending(id, count, reason, now);
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

    /// The end was announced: the answer is whole once all pieces are here.
    pub(super) fn ending(&mut self, id: RequestId, count: u32, reason: Arc<str>, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let next = request.assembly.next();
        let Some(attempt) = &mut request.attempt else {
            return;
        };
        attempt.heard = now;
        if next < count {
            attempt.end = Some((count, reason));
            return;
        }
        if next > count {
            // The group ends before what was delivered: not our answer.
            self.broken(id, ErrorKind::BadTarget, now);
            return;
        }
        let took = (now - attempt.sent).get() as f64;
        self.service += SERVICE_LEARNING * (took - self.service);
        let ending = Ending::Streamed {
            text: request.assembly.text().to_owned(),
            count,
            reason,
            key: attempt.key.clone(),
        };
        self.end_attempt(id, now);
        self.finish(id, ending, now);
    }

    pub(super) fn whole(&mut self, id: RequestId, _status: u16, now: Millis) {
        self.end_attempt(id, now);
        self.finish(id, Ending::Whole, now);
    }

    /// The attempt provably did not run.
    pub(super) fn unsent(&mut self, id: RequestId, now: Millis) {
        self.fail_attempt(id, now);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pinned = request.pinned.is_some();
        let began = request.assembly.next() > 0;
        if pinned && request.terms.repeatable && request.arrival.resume.is_none() {
            self.go_elsewhere(id);
        }
        let kind = if began || request_exposed(&self.requests, id) {
            ErrorKind::StreamLost
        } else {
            ErrorKind::TargetRefused
        };
        self.retry_or_fail(id, kind, now);
    }

    pub(super) fn forgotten(&mut self, id: RequestId, now: Millis) {
        self.fail_attempt(id, now);
        let request = self.requests.get(&id);
        let can_rerun = request.is_some_and(|r| r.terms.repeatable && r.arrival.resume.is_none());
        if !can_rerun {
            self.fail(id, ErrorKind::StreamLost, None, now);
            return;
        }
        self.go_elsewhere(id);
        self.retry_or_fail(id, ErrorKind::StreamLost, now);
    }

    /// The connection was lost after sending began: the request may run.
    pub(super) fn broken(&mut self, id: RequestId, kind: ErrorKind, now: Millis) {
        let others_failed = self.is_at_suspect(id, now);
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let key = attempt.map(|a| a.key.clone());
        self.fail_attempt(id, now);
        let may_go_on = key.is_none_or(|key| self.lost_under(id, &key, now));
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.exposed = true;
        if !may_go_on {
            self.fail(id, kind, None, now);
            return;
        }
        let streamed = matches!(request.arrival.wanted, Wanted::Model(_));
        if !streamed && !request.terms.repeatable {
            self.fail(id, kind, None, now);
            return;
        }
        let elsewhere = others_failed && request.terms.repeatable;
        if streamed && elsewhere && request.arrival.resume.is_none() {
            // Others just failed there: asking it for the rest would only
            // cost one of the attempts.
            self.go_elsewhere(id);
        } else if streamed {
            // The group may still run it: ask it for the rest first.
            let offset = request.assembly.next();
            request.mode = Mode::Resume { offset };
            let last = request.attempt_key.take();
            request.pinned = last;
        }
        self.retry_or_fail(id, kind, now);
    }

    /// Whether the group of a request's attempt has just failed others.
    fn is_at_suspect(&self, id: RequestId, now: Millis) -> bool {
        let attempt = self.requests.get(&id).and_then(|r| r.attempt.as_ref());
        let load = attempt.and_then(|a| self.loads.get(&a.key));
        load.is_some_and(|l| l.is_suspect(now))
    }

    pub(super) fn go_elsewhere(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.pinned = None;
            request.mode = dispatch::continuation(request);
        }
    }

    pub(super) fn retry_or_fail(&mut self, id: RequestId, kind: ErrorKind, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.tries >= request.terms.attempts {
            self.fail(id, kind, None, now);
            return;
        }
        if !self.budget.spend() {
            let spent = if request.exposed {
                kind
            } else {
                ErrorKind::RetryBudget
            };
            self.fail(id, spent, None, now);
            return;
        }
        self.status.retries += 1;
        request.not_before = now + backoff(request.tries + 1, &mut self.rng);
        let stepped = request.apply(&self.charts.request, RequestEvent::Requeue);
        let entry = request.waiting();
        if self.count_refusal(stepped.is_ok()) {
            self.queue.push_back(entry);
        }
    }

    /// Ends an attempt that failed, and passes its group over for a while.
    pub(super) fn fail_attempt(&mut self, id: RequestId, now: Millis) {
        let Some(key) = self.end_attempt(id, now) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&key) {
            load.failed(now);
        }
        self.note(TimelineEvent::AttemptFailed {
            request: id,
            group: key.group,
        });
    }

    pub(super) fn end_attempt(&mut self, id: RequestId, now: Millis) -> Option<GroupKey> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.attempt.take()?;
        request.attempt_key = Some(attempt.key.clone());
        self.queue.ended(&request.arrival.customer);
        if let Some(load) = self.loads.get_mut(&attempt.key) {
            load.ended(now);
        }
        Some(attempt.key)
    }
}
