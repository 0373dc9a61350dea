//! From a request that arrives to one that waits to be sent.

use thistlesill_core::settings::{Context, Tree, Values};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{CustomerId, ErrorKind, Millis, RequestId};

use super::RouterCore;
use crate::charts::RequestEvent;
use crate::claim::{ClaimParams, ClaimStep, Verdict};
use crate::pick::GroupLoad;
use crate::router::request::{Request, Terms};
use crate::router::{Arrival, Ending, RouterAction, Wanted, dispatch};
use crate::share::Admission;

impl RouterCore {
    pub(super) fn arrive(&mut self, arrival: Arrival, now: Millis) {
        let id = arrival.request;
        self.note(TimelineEvent::Arrived {
            request: id,
            customer: arrival.customer.clone(),
        });
        let Some(tree) = self.tree.clone().filter(|_| self.drain.accepts_requests()) else {
            self.fail_now(id, ErrorKind::NotReady, None);
            return;
        };
        if self.requests.contains_key(&id) {
            self.fail_now(id, ErrorKind::BadRequest, None);
            return;
        }
        let values = self.customer_values(&tree, &arrival.customer);
        if let Some(kind) = self.objection(&arrival, &values) {
            self.fail_now(id, kind, None);
            return;
        }
        // Without this a prompt that ends its groups ended 15 in 75 s, asked again every
        // three seconds at two routers; 4 with it.
        if let Some(left) = self.withheld(&arrival, now) {
            self.fail_now(id, ErrorKind::Withheld, Some(left));
            return;
        }
        let terms = Terms::new(&arrival, values, now);
        let start = self.charts.request.start();
        let request = Request::new(arrival, terms, start, now);
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

    /// What is wrong with a request before anything else is looked at.
    pub(super) fn objection(&self, arrival: &Arrival, values: &Values) -> Option<ErrorKind> {
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
                ClaimStep::Decide { request, verdict } => self.decided(request, verdict, now),
            }
        }
    }

    pub(super) fn decided(&mut self, id: RequestId, verdict: Verdict, now: Millis) {
        match verdict {
            Verdict::Granted => {
                let Some(request) = self.requests.get_mut(&id) else {
                    // Its caller went away while the claim was under way.
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
        let entry = request.waiting();
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
                let after = Some(self.come_back());
                self.fail(other, ErrorKind::OverShare, after, now);
            }
            Admission::OverShare => {
                let after = Some(self.come_back());
                self.fail(id, ErrorKind::OverShare, after, now);
            }
            Admission::Full => {
                let after = Some(self.come_back());
                self.fail(id, ErrorKind::Overloaded, after, now);
            }
        }
        self.pump(now);
    }

    /// How long an answer takes from its sending to its end, on average.
    pub(super) const fn service_time(&self) -> Millis {
        Millis::new(self.service as u64)
    }

    /// When a caller that is turned away should come back: about as long as
    /// the queue takes to empty, by the requests that end now.
    pub(super) fn come_back(&self) -> Millis {
        let room: u32 = self.loads.values().map(GroupLoad::limit).sum();
        let rounds = self.queue.len() as u64 / u64::from(room.max(1)) + 1;
        Millis::new((rounds * 500).min(10_000))
    }
}
