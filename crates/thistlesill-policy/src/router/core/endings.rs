//! Final answers. Every request gets exactly one, as soon as it is known.

use thistlesill_core::row::Outcome;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::RouterCore;
use crate::charts::{RequestEvent, RequestState};
use crate::router::{Ending, RouterAction};

impl RouterCore {
    pub(super) fn finish(&mut self, id: RequestId, ending: Ending, now: Millis) {
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Finish);
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        if !matches!(ending, Ending::Recorded(_)) {
            self.record_success(&request.arrival, request.arrived_at, now);
        }
        let tokens = match &ending {
            Ending::Streamed { count, .. } => *count,
            Ending::Whole | Ending::Recorded(_) => 0,
        };
        self.note(TimelineEvent::Completed {
            request: id,
            tokens,
        });
        let ending = Box::new(ending);
        self.out.push(RouterAction::Finish {
            request: id,
            ending,
        });
        self.send_waiting(now);
    }

    /// Records the answer of a claimed request under its key. The daemon calls this with the answer
    /// as the caller got it.
    pub fn record(&mut self, id: RequestId, outcome: Outcome) {
        self.claims.finish(id, outcome);
    }

    pub(super) fn fail(
        &mut self,
        id: RequestId,
        kind: ErrorKind,
        after: Option<Millis>,
        now: Millis,
    ) {
        self.end_attempt(id, now);
        let Some(mut request) = self.requests.remove(&id) else {
            return;
        };
        self.queue.remove(&request.arrival.customer, id);
        self.record_unsuccessful(&request, now);
        let stepped = request.apply(&self.charts.request, RequestEvent::Fail);
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        if request.claimed && request.may_have_run {
            self.claims.abandon(id);
        } else if request.claimed {
            self.claims.release(id);
        }
        self.emit_failure(id, kind, after);
    }

    pub(super) fn emit_failure(&mut self, id: RequestId, kind: ErrorKind, after: Option<Millis>) {
        self.note(TimelineEvent::Failed { request: id, kind });
        self.out.push(RouterAction::Fail {
            request: id,
            kind,
            after,
        });
    }

    pub(super) fn handle_caller_gone(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let sent = matches!(request.state, RequestState::Sent | RequestState::Streaming);
        let (attempt, claimed, state) = (request.attempt_count, request.claimed, request.state);
        let may_have_run = sent || request.may_have_run;
        self.note(TimelineEvent::CallerGone { request: id });
        if sent && claimed {
            // The request must not run twice, so it runs to its end, and its outcome is recorded
            // for a caller that asks again.
            return;
        }
        if state == RequestState::Claiming {
            self.claims.withdraw(id);
        }
        if sent {
            self.keep_unanswered(id, now);
            self.out.push(RouterAction::Cancel {
                request: id,
                attempt,
            });
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.may_have_run = may_have_run;
        }
        self.discard(id, now);
        self.send_waiting(now);
    }

    /// Ends a request without an answer, because its caller is gone.
    pub(super) fn discard(&mut self, id: RequestId, now: Millis) {
        self.end_attempt(id, now);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.queue.remove(&request.arrival.customer, id);
        self.record_unsuccessful(&request, now);
        if request.claimed && request.may_have_run {
            self.claims.abandon(id);
        } else if request.claimed {
            self.claims.release(id);
        }
    }
}
