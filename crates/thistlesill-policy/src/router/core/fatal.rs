//! Requests that crash the groups that run them.
//!
//! Routers share under which requests they lost a group, which suspected requests completed, and
//! which verdicts were reached; see [`crate::quarantine`].

use thistlesill_core::message::Fatal;
use thistlesill_core::{Fingerprint, Millis, RequestId, Verdict};

use super::{MAX_VERDICTS_PER_MESSAGE, RouterCore, VERDICTS_INTERVAL};
use crate::quarantine::QuarantineStatus;
use crate::router::request::Request;
use crate::router::{Arrival, RouterAction, Wanted};
use crate::serving::GroupKey;

/// Returns the fingerprint by which a repeated request is recognised; `None` for a plain service,
/// whose calls differ by parts that the core does not see.
pub(super) fn fingerprint(arrival: &Arrival) -> Option<Fingerprint> {
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
    /// Returns the fingerprint of a request if any request is suspected. Usually none is, and no
    /// fingerprint has to be computed.
    fn suspect_fingerprint(&self, arrival: &Arrival) -> Option<Fingerprint> {
        if self.quarantine.is_empty() && self.unanswered.is_empty() {
            return None;
        }
        fingerprint(arrival)
    }

    /// Returns for how long a request is still withheld; `None` if it may run. A request that is
    /// due for a trial starts it here.
    pub(super) fn withheld(&mut self, arrival: &Arrival, now: Millis) -> Option<Millis> {
        let print = self.suspect_fingerprint(arrival)?;
        match self.quarantine.status(print, now) {
            QuarantineStatus::Free => None,
            QuarantineStatus::Withheld(left) | QuarantineStatus::Tried(left) => Some(left),
            QuarantineStatus::Trial => {
                let verdict = self.quarantine.begin_trial(print, now);
                self.unsent_fatal.verdicts.extend(verdict);
                None
            }
        }
    }

    /// Records that a group was lost while it ran a request; returns whether the request may still
    /// be sent to another group.
    pub(super) fn record_loss(&mut self, id: RequestId, key: &GroupKey, now: Millis) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let Some(print) = fingerprint(&request.arrival) else {
            return true;
        };
        let verdict = self.quarantine.note_lost(print, key, now);
        let lost = (key.group.clone(), key.epoch);
        self.unsent_fatal.lost.push((print, lost));
        self.unsent_fatal.verdicts.extend(verdict);
        self.quarantine.status(print, now) == QuarantineStatus::Free
    }

    /// Records that a request, which arrived at `began`, completed successfully.
    pub(super) fn record_success(&mut self, arrival: &Arrival, began: Millis, now: Millis) {
        if let Some(print) = self.suspect_fingerprint(arrival) {
            self.unanswered.note_sound([print], began);
            let verdict = self.quarantine.note_success(print, now);
            self.unsent_fatal.verdicts.extend(verdict);
        }
    }

    /// Records that a request ended without success; a trial without an outcome may be repeated. One
    /// that is kept as unanswered may still have an outcome.
    pub(super) fn record_unsuccessful(&mut self, request: &Request, now: Millis) {
        let print = self.suspect_fingerprint(&request.arrival);
        if let Some(print) = print.filter(|_| !request.is_kept) {
            let verdict = self.quarantine.end_trial(print, now);
            self.unsent_fatal.verdicts.extend(verdict);
        }
    }

    pub(super) fn receive_fatal(&mut self, fatal: &Fatal, now: Millis) {
        for (print, (group, epoch)) in &fatal.lost {
            let key = GroupKey {
                group: group.clone(),
                epoch: *epoch,
            };
            self.quarantine.note_lost(*print, &key, now);
        }
        for verdict in &fatal.verdicts {
            self.quarantine.receive(*verdict, now);
        }
    }

    /// Adds all verdicts to the next message once per interval, and removes expired cases.
    pub(super) fn collect_verdicts(&mut self, now: Millis) {
        if now - self.last_verdicts_sent < VERDICTS_INTERVAL {
            return;
        }
        self.last_verdicts_sent = now;
        self.quarantine.retain(now);
        let mut all: Vec<Verdict> = self.quarantine.verdicts(now);
        all.truncate(MAX_VERDICTS_PER_MESSAGE);
        self.unsent_fatal.verdicts.extend(all);
    }

    pub(super) fn send_fatal(&mut self) {
        if !self.unsent_fatal.is_empty() {
            let fatal = std::mem::take(&mut self.unsent_fatal);
            self.out.push(RouterAction::SendFatal(fatal));
        }
    }
}
