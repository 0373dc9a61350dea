//! The final answer of a request: one, and at once.

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
            self.ran_well(&request.arrival, now);
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
        self.pump(now);
    }

    /// Records the answer of a claimed request; the daemon calls this with
    /// the answer as the caller got it.
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
        self.is_over(&request.arrival, now);
        let stepped = request.apply(&self.charts.request, RequestEvent::Fail);
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        if request.claimed && request.exposed {
            self.claims.abandon(id);
        } else if request.claimed {
            self.claims.release(id);
        }
        self.fail_now(id, kind, after);
    }

    pub(super) fn fail_now(&mut self, id: RequestId, kind: ErrorKind, after: Option<Millis>) {
        self.note(TimelineEvent::Failed { request: id, kind });
        self.out.push(RouterAction::Fail {
            request: id,
            kind,
            after,
        });
    }

    pub(super) fn caller_gone(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let sent = matches!(request.state, RequestState::Sent | RequestState::Streaming);
        let (attempt, claimed, state) = (request.tries, request.claimed, request.state);
        let exposed = sent || request.exposed;
        self.note(TimelineEvent::CallerGone { request: id });
        if sent && claimed {
            // It runs once only, so it runs to its end, and its outcome is
            // recorded for the caller that asks again.
            return;
        }
        if state == RequestState::Claiming {
            self.claims.withdraw(id);
        }
        if sent {
            self.out.push(RouterAction::Cancel {
                request: id,
                attempt,
            });
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.exposed = exposed;
        }
        self.drop_silently(id, now);
        self.pump(now);
    }

    /// Ends a request whose caller is gone: there is nobody to answer.
    pub(super) fn drop_silently(&mut self, id: RequestId, now: Millis) {
        self.end_attempt(id, now);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.queue.remove(&request.arrival.customer, id);
        self.is_over(&request.arrival, now);
        if request.claimed && request.exposed {
            self.claims.abandon(id);
        } else if request.claimed {
            self.claims.release(id);
        }
    }
}
