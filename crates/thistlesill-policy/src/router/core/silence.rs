//! Requests that end without an answer while their groups are silent; see [`crate::quarantine`].

use thistlesill_core::message::ObservedState;
use thistlesill_core::{Fingerprint, Millis, RequestId};

use super::RouterCore;
use super::fatal::fingerprint;
use crate::quarantine::{
    AnswerPhase, CheckAnswer, Fate, Finding, LossCheck, QuarantineStatus, RequestKeys,
    UnansweredRequest,
};
use crate::serving::{GroupKey, Member};

impl RouterCore {
    /// Keeps a request whose attempt ends without an answer until it is known what became of its group.
    pub(super) fn keep_unanswered(&mut self, id: RequestId, now: Millis) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let print = fingerprint(&request.arrival);
        let (Some(attempt), Some(print)) = (&request.attempt, print) else {
            return;
        };
        let is_tried = matches!(
            self.quarantine.status(print, now),
            QuarantineStatus::Tried(_)
        );
        let phase = if attempt.streaming {
            AnswerPhase::Starting(attempt.sent_at)
        } else {
            AnswerPhase::Waiting(attempt.sent_at)
        };
        let unanswered = UnansweredRequest {
            id: id.to_string(),
            keys: RequestKeys {
                whole: print,
                parts: Vec::new(),
            },
            tried: is_tried.then_some(print).into_iter().collect(),
            phase,
            seen: attempt.last_event,
            ended: now,
            answered: None,
        };
        let (key, members) = (attempt.key.clone(), attempt.members.clone());
        request.is_kept = true;
        self.silent_members.insert(key.clone(), members);
        let dropped = self.unanswered.keep(key, unanswered);
        if let Some(dropped) = dropped {
            self.end_silent_trial(&dropped, now);
        }
    }

    /// Decides on the unanswered requests whose groups have shown life or have ended.
    pub(super) fn review_unanswered(&mut self, now: Millis) {
        if self.silent_members.is_empty() {
            return;
        }
        let mut unanswered = std::mem::take(&mut self.unanswered);
        let findings = unanswered.review(|key| self.fate(key, now), now);
        self.silent_members
            .retain(|key, _| unanswered.has_target(key));
        self.unanswered = unanswered;
        for finding in findings {
            match finding {
                Finding::Lost(key, request) => self.record_silent_loss(&key, &request, now),
                Finding::Dropped(request) => self.end_silent_trial(&request, now),
                Finding::Returned(key, prints) => {
                    let check = LossCheck {
                        lost: key.clone(),
                        begun: now,
                        answer: CheckAnswer::Named(key),
                    };
                    self.refute(&prints, check, now);
                }
            }
        }
    }

    /// Returns what became of a group: it has ended once a member has.
    fn fate(&self, key: &GroupKey, now: Millis) -> Fate {
        let members = self.silent_members.get(key).into_iter().flatten();
        let mut last = now;
        for member in members {
            match self.member_fate(member, now) {
                Fate::Listed(at) => last = last.min(at),
                fate => return fate,
            }
        }
        Fate::Listed(last)
    }

    /// Returns what became of a member of a group, by the reports of the watchers.
    fn member_fate(&self, member: &Member, now: Millis) -> Fate {
        let window = self.presence_window;
        let Some(seen) = self.view.observe(member.instance.as_str(), now, window) else {
            // The watchers that knew it have started again, and have not reported yet.
            return Fate::Listed(Millis::ZERO);
        };
        let sighting = &seen.sighting;
        let is_draining = matches!(sighting.state, ObservedState::Draining(_));
        if sighting.leaving || is_draining {
            Fate::Left
        } else if sighting.incarnation != member.incarnation
            || sighting.state == ObservedState::Lost
        {
            Fate::Ended
        } else {
            Fate::Listed(seen.until - window)
        }
    }

    /// Records that a group has ended under a request that it had not answered.
    fn record_silent_loss(&mut self, key: &GroupKey, request: &UnansweredRequest, now: Millis) {
        let effect = self.quarantine.note_silent_loss(request, key, now);
        let lost = (key.group.clone(), key.epoch);
        self.unsent_fatal.lost.push((request.keys.whole, lost));
        self.unsent_fatal.verdicts.extend(effect.verdicts);
    }

    /// Takes back the losses of a group that has not ended.
    fn refute(&mut self, prints: &[Fingerprint], check: LossCheck<GroupKey>, now: Millis) {
        let checks = [check];
        for print in prints {
            let effect = self.quarantine.apply_checks(*print, &checks, now);
            self.unsent_fatal.verdicts.extend(effect.verdict);
        }
    }

    /// Ends the trial of a request of which it did not become known what its group did.
    fn end_silent_trial(&mut self, request: &UnansweredRequest, now: Millis) {
        for print in &request.tried {
            let verdict = self.quarantine.end_trial(*print, now);
            self.unsent_fatal.verdicts.extend(verdict);
        }
    }
}
