//! Admission of requests, from arrival to the queue.

use thistlesill_core::settings::{Context, Tree, Values};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{CustomerId, ErrorKind, Millis, RequestId};

use super::RouterCore;
use crate::charts::RequestEvent;
use crate::claim::{ClaimParams, ClaimStep, Verdict};
use crate::pick::GroupLoad;
use crate::router::request::{Request, RequestPolicy};
use crate::router::{Arrival, Ending, RouterAction, Wanted, dispatch};
use crate::share::Admission;

impl RouterCore {
    pub(super) fn handle_arrival(&mut self, arrival: Arrival, now: Millis) {
        let id = arrival.request;
        self.note(TimelineEvent::Arrived {
            request: id,
            customer: arrival.customer.clone(),
        });
        let Some(tree) = self.tree.clone().filter(|_| self.drain.accepts_requests()) else {
            self.emit_failure(id, ErrorKind::NotReady, None);
            return;
        };
        if self.requests.contains_key(&id) {
            self.emit_failure(id, ErrorKind::BadRequest, None);
            return;
        }
        let values = self.customer_values(&tree, &arrival.customer);
        if let Some(kind) = self.validation_error(&arrival, &values) {
            self.emit_failure(id, kind, None);
            return;
        }
        // A prompt that crashes its groups, sent again every 3 s to two routers, ended 15 of them
        // in 75 s without this check, and 4 with it.
        if let Some(left) = self.withheld(&arrival, now) {
            self.emit_failure(id, ErrorKind::Withheld, Some(left));
            return;
        }
        let policy = RequestPolicy::new(&arrival, values, now);
        let start = self.charts.request.start();
        let request = Request::new(arrival, policy, start, now);
        if request.arrival.key.is_some() && request.arrival.resume.is_none() {
            self.claim(request, now);
        } else {
            self.requests.insert(id, request);
            self.enqueue(id, now);
        }
    }

    pub(super) fn customer_values(&self, tree: &Tree, customer: &CustomerId) -> Values {
        let context = Context::customer(customer.clone())
            .with_region(self.options.region.clone())
            .with_hall(self.options.hall.clone());
        tree.resolve(&context)
    }

    /// Checks a request before any other step; returns the error if it is invalid.
    pub(super) fn validation_error(&self, arrival: &Arrival, values: &Values) -> Option<ErrorKind> {
        if let Wanted::Model(model) = &arrival.wanted {
            let known = self.models.contains(model) || dispatch::is_served(model, &self.roster);
            if !known {
                return Some(ErrorKind::UnknownModel);
            }
        }
        let once = arrival.repeatable == Some(false) || values.repeatable == Some(false);
        let demanded = values.key_required.unwrap_or(false);
        let resumed = arrival.resume.is_some();
        (once && demanded && arrival.key.is_none() && !resumed).then_some(ErrorKind::KeyRequired)
    }

    pub(super) fn claim(&mut self, mut request: Request, now: Millis) {
        let id = request.id();
        let ask = ClaimParams {
            request: id,
            customer: request.arrival.customer.clone(),
            key: request.arrival.key.clone().unwrap_or_default(),
            body: request.arrival.body.clone(),
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Claim);
        self.requests.insert(id, request);
        if self.count_refusal(stepped.is_ok()) {
            let steps = self.claims.begin(ask, now);
            self.claim_steps(steps, now);
        }
    }

    pub(super) fn claim_steps(&mut self, steps: Vec<ClaimStep>, now: Millis) {
        for step in steps {
            match step {
                ClaimStep::Send { flight, txn } => {
                    self.out.push(RouterAction::SendTxn { flight, txn });
                }
                ClaimStep::Read { flight, keys } => {
                    self.out.push(RouterAction::ReadRows { flight, keys });
                }
                ClaimStep::Decide { request, verdict } => self.claim_decided(request, verdict, now),
            }
        }
    }

    pub(super) fn claim_decided(&mut self, id: RequestId, verdict: Verdict, now: Millis) {
        match verdict {
            Verdict::Granted => {
                let Some(request) = self.requests.get_mut(&id) else {
                    // The caller disconnected while the claim was pending.
                    self.claims.release(id);
                    return;
                };
                request.claimed = true;
                self.note(TimelineEvent::Claimed { request: id });
                self.enqueue(id, now);
            }
            Verdict::Held => self.fail(id, ErrorKind::KeyHeld, None, now),
            Verdict::Reused => self.fail(id, ErrorKind::KeyReused, None, now),
            Verdict::Down => self.fail(id, ErrorKind::ClaimDown, None, now),
            Verdict::Recorded(outcome) => {
                self.finish(id, Ending::Recorded(outcome), now);
            }
        }
    }

    pub(super) fn enqueue(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Queue);
        let entry = request.queue_entry();
        if !self.count_refusal(stepped.is_ok()) {
            return;
        }
        let wait = self.queue.expected_wait(&entry.customer);
        if wait > Millis::ZERO && now + wait + self.service_time() > entry.deadline {
            self.fail(id, ErrorKind::Overloaded, Some(wait), now);
            return;
        }
        match self.queue.push(entry) {
            Admission::Admitted => {}
            Admission::Displaced(other) => {
                let after = Some(self.retry_after());
                self.fail(other, ErrorKind::OverShare, after, now);
            }
            Admission::OverShare => {
                let after = Some(self.retry_after());
                self.fail(id, ErrorKind::OverShare, after, now);
            }
            Admission::Full => {
                let after = Some(self.retry_after());
                self.fail(id, ErrorKind::Overloaded, after, now);
            }
        }
        self.send_waiting(now);
    }

    /// Returns the average time from sending a request to the end of its answer.
    pub(super) const fn service_time(&self) -> Millis {
        Millis::new(self.mean_service_ms as u64)
    }

    /// Returns when a rejected caller should retry: the approximate time to empty the queue, at
    /// 500 ms for every batch that fits the groups' limits, and 10 s at most.
    pub(super) fn retry_after(&self) -> Millis {
        let slots: u32 = self.loads.values().map(GroupLoad::limit).sum();
        let rounds = self.queue.len() as u64 / u64::from(slots.max(1)) + 1;
        Millis::new((rounds * 500).min(10_000))
    }
}
