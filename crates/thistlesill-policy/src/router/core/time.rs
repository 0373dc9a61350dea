//! What the passing of time does: requests that are too late, and telling the
//! peers.

use thistlesill_core::{ErrorKind, Millis, RequestId};

use super::{
    DERIVE_GAP, FORGET, HEAD_GAP, Lateness, PATIENCE, RouterCore, STREAM_SILENCE, USAGE_GAP,
};
use crate::charts::{DrainState, RequestState};
use crate::router::RouterAction;
use crate::router::dispatch::Choice;
use crate::router::request::Request;

impl RouterCore {
    pub(super) fn tick(&mut self, now: Millis) {
        let changed = self.derived_from != self.view.generation();
        if changed || self.derived.is_none_or(|t| now - t >= DERIVE_GAP) {
            self.derive(now);
        }
        let steps = self.claims.tick(now);
        self.claim_steps(steps, now);
        self.expire(now);
        self.pump(now);
        self.tell(now);
        self.view.forget(now, FORGET);
        let open = self.requests.len() + usize::from(!self.claims.is_idle());
        let before = self.drain.state();
        if self.drain.tick(now, open) == DrainState::Done && before != DrainState::Done {
            self.out.push(RouterAction::Exit);
        }
    }

    pub(super) fn tell(&mut self, now: Millis) {
        if now - self.told_usage >= USAGE_GAP {
            self.told_usage = now;
            let usage = self.queue.usage();
            self.out.push(RouterAction::TellUsage(usage));
        }
        self.tell_verdicts(now);
        let Some(tree) = &self.tree else { return };
        if now - self.told_head >= HEAD_GAP {
            self.told_head = now;
            self.out.push(RouterAction::TellHead(tree.revision()));
        }
    }

    /// Ends what is too late; each gets its answer at once.
    pub(super) fn expire(&mut self, now: Millis) {
        let mut late = Vec::new();
        for (id, request) in &self.requests {
            if let Some(verdict) = self.lateness(request, now) {
                late.push((*id, verdict));
            }
        }
        for (id, verdict) in late {
            match verdict {
                Lateness::Fail(kind) => self.fail(id, kind, None, now),
                Lateness::Silent => {
                    self.cancel(id);
                    self.broken(id, ErrorKind::StreamLost, now);
                }
                Lateness::TooLate => {
                    self.cancel(id);
                    self.expose(id);
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
            let attempt = request.tries;
            self.out.push(RouterAction::Cancel {
                request: id,
                attempt,
            });
        }
    }

    pub(super) fn expose(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.exposed = true;
        }
    }

    pub(super) fn lateness(&self, request: &Request, now: Millis) -> Option<Lateness> {
        let past = now >= request.terms.deadline;
        match request.state {
            RequestState::Queued => {
                let lost = request.exposed;
                if past && !lost {
                    return Some(Lateness::Fail(ErrorKind::DeadlinePassed));
                }
                if past {
                    return Some(Lateness::Fail(ErrorKind::StreamLost));
                }
                let waited = now - request.arrived.max(request.not_before);
                if waited < PATIENCE || self.has_server(request, now) {
                    return None;
                }
                Some(Lateness::Fail(if lost {
                    ErrorKind::StreamLost
                } else {
                    ErrorKind::NoGroup
                }))
            }
            RequestState::Sent if past => Some(Lateness::TooLate),
            RequestState::Streaming => {
                let heard = request.attempt.as_ref().map_or(now, |a| a.heard);
                (now - heard >= STREAM_SILENCE).then_some(Lateness::Silent)
            }
            _ => None,
        }
    }

    pub(super) fn has_server(&self, request: &Request, now: Millis) -> bool {
        let choice = Choice {
            roster: &self.roster,
            loads: &self.loads,
            hall: &self.options.hall,
            rule: self.options.rule,
            turn: self.turn,
            now,
        };
        choice.has_able(request)
    }

    /// Counts a step that a chart refused; returns whether it was accepted.
    pub(super) fn count_refusal(&mut self, accepted: bool) -> bool {
        self.status.refused_steps += u64::from(!accepted);
        accepted
    }
}
