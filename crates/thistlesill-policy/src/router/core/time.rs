//! Timers: request timeouts and periodic messages to peers.

use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::{
    HEAD_INTERVAL, NO_GROUP_TIMEOUT, ROSTER_INTERVAL, RouterCore, STREAM_IDLE_TIMEOUT, Timeout,
    USAGE_INTERVAL, WATCHER_RETENTION,
};
use crate::charts::{DrainState, RequestState};
use crate::router::RouterAction;
use crate::router::dispatch::Selector;
use crate::router::request::Request;

impl RouterCore {
    pub(super) fn tick(&mut self, now: Millis) {
        let changed = self.derived_generation != self.view.generation();
        if changed || self.derived_at.is_none_or(|t| now - t >= ROSTER_INTERVAL) {
            self.update_roster(now);
        }
        let steps = self.claims.tick(now);
        self.claim_steps(steps, now);
        self.expire(now);
        self.review_unanswered(now);
        self.send_waiting(now);
        self.send_updates(now);
        self.view.forget(now, WATCHER_RETENTION);
        let open = self.requests.len() + usize::from(!self.claims.is_idle());
        let before = self.drain.state();
        if self.drain.tick(now, open) == DrainState::Done && before != DrainState::Done {
            self.out.push(RouterAction::Exit);
        }
    }

    pub(super) fn send_updates(&mut self, now: Millis) {
        if now - self.last_usage_sent >= USAGE_INTERVAL {
            self.last_usage_sent = now;
            let usage = self.queue.usage();
            self.out.push(RouterAction::SendUsage(usage));
        }
        self.collect_verdicts(now);
        let Some(tree) = &self.tree else { return };
        if now - self.last_head_sent >= HEAD_INTERVAL {
            self.last_head_sent = now;
            self.out.push(RouterAction::SendHead(tree.revision()));
        }
    }

    /// Handles requests that have timed out: a silent stream counts as broken, all others get their
    /// error at once.
    pub(super) fn expire(&mut self, now: Millis) {
        let mut timed_out = Vec::new();
        for (id, request) in &self.requests {
            if let Some(timeout) = self.timeout_of(request, now) {
                timed_out.push((*id, timeout));
            }
        }
        for (id, timeout) in timed_out {
            match timeout {
                Timeout::Waiting(kind) => self.fail(id, kind, None, now),
                Timeout::StreamIdle => {
                    self.cancel(id);
                    self.handle_broken(id, ErrorKind::StreamLost, now);
                }
                Timeout::Unanswered => {
                    self.keep_unanswered(id, now);
                    self.cancel(id);
                    self.mark_may_have_run(id);
                    self.fail(id, ErrorKind::LateAnswer, None, now);
                }
            }
        }
    }

    pub(super) fn cancel(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.claimed {
            let attempt = request.attempt_count;
            self.out.push(RouterAction::Cancel {
                request: id,
                attempt,
            });
        }
    }

    pub(super) fn mark_may_have_run(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.may_have_run = true;
        }
    }

    pub(super) fn timeout_of(&self, request: &Request, now: Millis) -> Option<Timeout> {
        let past = now >= request.policy.deadline;
        match request.state {
            RequestState::Queued => {
                let started = request.may_have_run;
                if past && !started {
                    return Some(Timeout::Waiting(ErrorKind::DeadlinePassed));
                }
                if past {
                    return Some(Timeout::Waiting(ErrorKind::StreamLost));
                }
                let waited = now - request.arrived_at.max(request.not_before);
                if waited < NO_GROUP_TIMEOUT || self.has_eligible_server(request, now) {
                    return None;
                }
                Some(Timeout::Waiting(if started {
                    ErrorKind::StreamLost
                } else {
                    ErrorKind::NoGroup
                }))
            }
            RequestState::Sent if past => Some(Timeout::Unanswered),
            RequestState::Streaming => {
                let last_event = request.attempt.as_ref().map_or(now, |a| a.last_event);
                (now - last_event >= STREAM_IDLE_TIMEOUT).then_some(Timeout::StreamIdle)
            }
            _ => None,
        }
    }

    pub(super) fn has_eligible_server(&self, request: &Request, now: Millis) -> bool {
        let selector = Selector {
            roster: &self.roster,
            loads: &self.loads,
            hall: &self.options.hall,
            rule: self.options.rule,
            pick_count: self.pick_count,
            now,
        };
        selector.has_eligible(request)
    }

    /// Counts a step that a state chart refused; returns whether the step was accepted.
    pub(super) fn count_refusal(&mut self, accepted: bool) -> bool {
        self.status.refused_steps += u64::from(!accepted);
        accepted
    }
}
