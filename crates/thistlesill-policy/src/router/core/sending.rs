//! Sending of queued requests, in the order of fair shares.

use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::{MIN_QUEUE_WAIT, RouterCore};
use crate::charts::RequestEvent;
use crate::pick::GroupLoad;
use crate::router::dispatch::{Selection, Selector};
use crate::router::request::{Attempt, Request};
use crate::router::{RouterAction, dispatch};

impl RouterCore {
    /// Sends queued requests, in the order of fair shares, until none of them can be sent.
    pub(super) fn send_waiting(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        while self.send_one(now) {}
    }

    pub(super) fn send_one(&mut self, now: Millis) -> bool {
        for customer in self.queue.order(now) {
            let waiting_ids: Vec<RequestId> = self.queue.requests_of(&customer).collect();
            let mut busy = false;
            for id in waiting_ids {
                if busy {
                    break;
                }
                match self.select_server(id, now) {
                    Some(Selection::Found(index)) => {
                        self.send(id, index, now);
                        return true;
                    }
                    Some(Selection::TooLate) => {
                        self.fail(id, ErrorKind::DeadlinePassed, None, now);
                    }
                    // Later requests of the same customer must not overtake this one.
                    Some(Selection::Busy) => busy = true,
                    Some(Selection::NoServer) | None => {}
                }
            }
        }
        false
    }

    pub(super) fn select_server(&mut self, id: RequestId, now: Millis) -> Option<Selection> {
        if self.requests.get(&id)?.not_before > now {
            return None;
        }
        self.unpin_if_gone(id);
        let request = self.requests.get(&id)?;
        if self.will_miss_deadline(request, now) {
            return Some(Selection::TooLate);
        }
        let selector = Selector {
            roster: &self.roster,
            loads: &self.loads,
            hall: &self.options.hall,
            rule: self.options.rule,
            pick_count: self.pick_count,
            now,
        };
        Some(selector.select(request, &mut self.rng))
    }

    /// Returns whether a request that had to wait would miss its deadline even if it was sent now.
    /// Others in the queue may still meet theirs.
    pub(super) fn will_miss_deadline(&self, request: &Request, now: Millis) -> bool {
        let waited = now - request.arrived_at.max(request.not_before) > MIN_QUEUE_WAIT;
        waited && !request.may_have_run && now + self.service_time() > request.policy.deadline
    }

    /// Unpins a repeatable request from a group that no longer serves.
    pub(super) fn unpin_if_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = &request.pinned else { return };
        let lost = !self.roster.servers.iter().any(|s| s.key == *key);
        if lost && request.policy.repeatable && request.arrival.resume.is_none() {
            self.continue_elsewhere(id);
        }
    }

    pub(super) fn send(&mut self, id: RequestId, index: usize, now: Millis) {
        self.pick_count += 1;
        let server = self.roster.servers[index].clone();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Send);
        let customer = request.arrival.customer.clone();
        let plan = dispatch::build(request, &server, now);
        request.attempt_count += 1;
        if request.attempt_count == 1 {
            self.budget.deposit_percent(request.policy.retry_percent);
            self.status.firsts += 1;
        }
        request.assembly.restart();
        request.last_runs = Some(server.runs.clone());
        let prefix = request.arrival.prefix;
        let ahead = self.loads.get(&server.key).map_or(0, GroupLoad::occupancy);
        request.attempt = Some(Attempt {
            key: server.key.clone(),
            members: server.members.clone(),
            sent_at: now,
            last_event: now,
            ahead,
            streaming: false,
            end: None,
        });
        let attempt = request.attempt_count;
        self.queue.remove(&customer, id);
        self.count_refusal(stepped.is_ok());
        self.queue.record_start(&customer, now);
        if let Some(load) = self.loads.get_mut(&server.key) {
            load.record_send(prefix, now);
        }
        self.note(TimelineEvent::Sent {
            request: id,
            group: server.key.group.clone(),
            epoch: server.key.epoch,
            attempt,
        });
        self.out.push(RouterAction::Send(Box::new(plan)));
    }
}
