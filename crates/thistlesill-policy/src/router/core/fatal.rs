//! Requests that end the groups which run them.
//!
//! A router tells all others under which requests it lost a group, what ran to a good end
//! although it was suspected, and what is decided; see [`crate::quarantine`].

use thistlesill_core::message::Fatal;
use thistlesill_core::{Fingerprint, Millis, RequestId, Verdict};

use super::{MAX_VERDICTS, RouterCore, VERDICTS_GAP};
use crate::quarantine::QuarantineStatus;
use crate::router::{Arrival, RouterAction, Wanted};
use crate::serving::GroupKey;

/// What tells whether the same request came before; nothing does for a plain service, whose
/// calls differ by what the core does not know.
fn fingerprint(arrival: &Arrival) -> Option<Fingerprint> {
    let Wanted::Model(model) = &arrival.wanted else {
        return None;
    };
    Some(Fingerprint::of(&[
        arrival.customer.as_str().as_bytes(),
        model.as_str().as_bytes(),
        arrival.body.as_bytes(),
    ]))
}

impl RouterCore {
    /// The fingerprint of a request, if any request is suspected; usually none is, and none
    /// has to be computed.
    fn suspected(&self, arrival: &Arrival) -> Option<Fingerprint> {
        if self.quarantine.is_empty() {
            return None;
        }
        fingerprint(arrival)
    }

    /// For how long a request is withheld, if it is; one that may be tried is tried then.
    pub(super) fn withheld(&mut self, arrival: &Arrival, now: Millis) -> Option<Millis> {
        let print = self.suspected(arrival)?;
        match self.quarantine.status(print, now) {
            QuarantineStatus::Free => None,
            QuarantineStatus::Withheld(left) | QuarantineStatus::Tried(left) => Some(left),
            QuarantineStatus::Trial => {
                let verdict = self.quarantine.begin_trial(print, now);
                self.untold.verdicts.extend(verdict);
                None
            }
        }
    }

    /// Notes that a group was lost while it had a request; returns whether the request may
    /// still be sent elsewhere.
    pub(super) fn lost_under(&mut self, id: RequestId, key: &GroupKey, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let Some(print) = fingerprint(&request.arrival) else {
            return true;
        };
        let verdict = self.quarantine.note_lost(print, key, now);
        let lost = (key.group.clone(), key.epoch);
        self.untold.lost.push((print, lost));
        self.untold.verdicts.extend(verdict);
        self.quarantine.status(print, now) == QuarantineStatus::Free
    }

    /// Notes that a request ran to a good end.
    pub(super) fn ran_well(&mut self, arrival: &Arrival, now: Millis) {
        if let Some(print) = self.suspected(arrival) {
            let verdict = self.quarantine.note_success(print, now);
            self.untold.verdicts.extend(verdict);
        }
    }

    /// Notes that a request is over; what was a trial without an outcome may be tried again.
    pub(super) fn is_over(&mut self, arrival: &Arrival, now: Millis) {
        if let Some(print) = self.suspected(arrival) {
            let verdict = self.quarantine.end_trial(print, now);
            self.untold.verdicts.extend(verdict);
        }
    }

    pub(super) fn hear_fatal(&mut self, told: &Fatal, now: Millis) {
        for (print, (group, epoch)) in &told.lost {
            let key = GroupKey {
                group: group.clone(),
                epoch: *epoch,
            };
            self.quarantine.note_lost(*print, &key, now);
        }
        for verdict in &told.verdicts {
            self.quarantine.receive(*verdict, now);
        }
    }

    /// Has all verdicts told again now and then, and forgets what is out of time.
    pub(super) fn tell_verdicts(&mut self, now: Millis) {
        if now - self.told_verdicts < VERDICTS_GAP {
            return;
        }
        self.told_verdicts = now;
        self.quarantine.retain(now);
        let mut all: Vec<Verdict> = self.quarantine.verdicts(now);
        all.truncate(MAX_VERDICTS);
        self.untold.verdicts.extend(all);
    }

    pub(super) fn tell_fatal(&mut self) {
        if !self.untold.is_empty() {
            let told = std::mem::take(&mut self.untold);
            self.out.push(RouterAction::TellFatal(told));
        }
    }
}
