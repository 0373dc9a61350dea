//! Sending what waits, in the order of fair shares.

use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::{HARDLY, RouterCore};
use crate::charts::RequestEvent;
use crate::pick::GroupLoad;
use crate::router::dispatch::{Choice, Match};
use crate::router::request::{Attempt, Request};
use crate::router::{RouterAction, dispatch};

impl RouterCore {
    /// Sends what can be sent, in the order of fair shares.
    pub(super) fn pump(&mut self, now: Millis) {
        if self.queue.is_empty() {
            return;
        }
        while self.send_one(now) {}
    }

    pub(super) fn send_one(&mut self, now: Millis) -> bool {
        for customer in self.queue.order(now) {
            let line: Vec<RequestId> = self.queue.line(&customer).collect();
            let mut busy = false;
            for id in line {
                if busy {
                    break;
                }
                match self.match_request(id, now) {
                    Some(Match::Found(index)) => {
                        self.send(id, index, now);
                        return true;
                    }
                    Some(Match::TooLate) => {
                        self.fail(id, ErrorKind::DeadlinePassed, None, now);
                    }
                    // Others of the same customer would jump the line.
                    Some(Match::Busy) => busy = true,
                    Some(Match::Nothing) | None => {}
                }
            }
        }
        false
    }

    pub(super) fn match_request(&mut self, id: RequestId, now: Millis) -> Option<Match> {
        if self.requests.get(&id)?.not_before > now {
            return None;
        }
        self.unpin_lost(id);
        let request = self.requests.get(&id)?;
        if self.is_hopeless(request, now) {
            return Some(Match::TooLate);
        }
        let choice = Choice {
            roster: &self.roster,
            loads: &self.loads,
            hall: &self.options.hall,
            rule: self.options.rule,
            turn: self.turn,
            now,
        };
        Some(choice.find(request, &mut self.rng))
    }

    /// Whether a request that had to wait would be answered too late even if
    /// it was sent now: others that wait can still make it.
    pub(super) fn is_hopeless(&self, request: &Request, now: Millis) -> bool {
        let waited = now - request.arrived.max(request.not_before) > HARDLY;
        waited && !request.exposed && now + self.service_time() > request.terms.deadline
    }

    /// Frees a repeatable request from a group that serves no more.
    pub(super) fn unpin_lost(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = &request.pinned else { return };
        let lost = !self.roster.servers.iter().any(|s| s.key == *key);
        if lost && request.terms.repeatable && request.arrival.resume.is_none() {
            self.go_elsewhere(id);
        }
    }

    pub(super) fn send(&mut self, id: RequestId, index: usize, now: Millis) {
        self.turn += 1;
        let server = self.roster.servers[index].clone();
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let stepped = request.apply(&self.charts.request, RequestEvent::Send);
        let customer = request.arrival.customer.clone();
        let plan = dispatch::dispatch(request, &server, now);
        request.tries += 1;
        if request.tries == 1 {
            self.budget.earn(request.terms.retry_percent);
            self.status.firsts += 1;
        }
        request.assembly.restart();
        request.runs = Some(server.runs.clone());
        let prefix = request.arrival.prefix;
        let ahead = self.loads.get(&server.key).map_or(0, GroupLoad::occupancy);
        request.attempt = Some(Attempt {
            key: server.key.clone(),
            sent: now,
            heard: now,
            ahead,
            began: false,
            end: None,
        });
        let attempt = request.tries;
        self.queue.remove(&customer, id);
        self.count_refusal(stepped.is_ok());
        self.queue.started(&customer, now);
        if let Some(load) = self.loads.get_mut(&server.key) {
            load.sent(prefix, now);
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
