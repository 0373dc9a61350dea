//! Kinds of requests of a scope, by urgency: their objectives, and how often each is served.

use thistlesill_core::Millis;

use super::fair::FairShares;
use super::recent::{Recent, WINDOW};
use super::{RankedRequest, Urgency};

/// Maximum number of kinds per scope; further kinds are served but not recorded. A service has
/// priorities of a few routes for one or two priorities of customers.
const MAX_KINDS: usize = 16;

/// Requests of one urgency.
#[derive(Debug, Clone)]
pub(super) struct Kind {
    urgency: Urgency,
    /// Shortest objective of the last two seconds.
    aim: Millis,
    aim_at: Millis,
    last: Millis,
    /// Callers, each counted at its first attempt.
    callers: Recent,
    started: Recent,
    /// Those of the started requests that can be in time.
    in_time: Recent,
    pub(super) shares: FairShares,
}

impl Kind {
    /// Returns the part of its callers whose requests were started; 1 if there were none.
    fn served(&self, now: Millis) -> f64 {
        ratio(self.started.count(now), self.callers.count(now))
    }

    /// Returns the part of its callers whose requests were started in time; 1 if there were none.
    fn in_time(&self, now: Millis) -> f64 {
        ratio(self.in_time.count(now), self.callers.count(now))
    }

    /// Returns the parts of its callers that are served if one more request is sent in time.
    fn with_one_more(&self, is_new: bool, now: Millis) -> Served {
        let callers = self.callers.count(now) + u32::from(is_new);
        Served {
            served: ratio(self.started.count(now) + 1, callers),
            in_time: ratio(self.in_time.count(now) + 1, callers),
        }
    }

    fn is_active(&self, now: Millis) -> bool {
        now - self.last < WINDOW
    }
}

/// Returns a part of callers. More may have been started than came, if they came earlier.
fn ratio(part: u32, all: u32) -> f64 {
    match all {
        0 => 1.0,
        all => (f64::from(part) / f64::from(all)).min(1.0),
    }
}

/// Parts of a kind's callers.
#[derive(Debug, Clone, Copy)]
struct Served {
    served: f64,
    in_time: f64,
}

/// How a request is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Start {
    InTime,
    Late,
}

/// One attempt of a caller.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    /// Whether no earlier attempt of the caller is known.
    pub(super) is_new: bool,
    /// Whether the caller came before its booked time.
    pub(super) is_early: bool,
    /// How the request was started, if it was.
    pub(super) start: Option<Start>,
}

/// How often a kind is served, compared with more urgent kinds that sent requests recently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Treatment {
    /// Neither of the others.
    Usual,
    /// With one more request, more often than a more urgent kind and than it keeps in any case.
    Preferred,
    /// Less often than each more urgent kind, and less than the part that it keeps in any case.
    Starved,
}

/// Kinds of a scope in the order of urgency.
#[derive(Debug, Clone, Default)]
pub(super) struct Kinds {
    kinds: Vec<Kind>,
}

impl Kinds {
    /// Returns the kind of an urgency; `None` if it is not recorded.
    pub(super) fn get_mut(&mut self, urgency: Urgency) -> Option<&mut Kind> {
        let index = self.kinds.binary_search_by_key(&urgency, |k| k.urgency);
        index.ok().map(|index| &mut self.kinds[index])
    }

    fn more_urgent(&self, urgency: Urgency, now: Millis) -> impl Iterator<Item = &Kind> {
        let before = self.kinds.iter().take_while(move |k| k.urgency < urgency);
        before.filter(move |k| k.is_active(now))
    }

    /// Returns the shortest objective of the more urgent kinds that sent requests recently.
    pub(super) fn cap(&self, urgency: Urgency, now: Millis) -> Option<Millis> {
        self.more_urgent(urgency, now).map(|k| k.aim).min()
    }

    /// Returns how a kind is treated compared with more urgent ones, if each keeps the part
    /// `kept_ratio` of its callers in any case. The attempt that is decided on is not recorded yet;
    /// `is_new` tells whether it is its caller's first one here.
    pub(super) fn treatment(
        &self,
        urgency: Urgency,
        is_new: bool,
        kept_ratio: f64,
        now: Millis,
    ) -> Treatment {
        let index = self.kinds.binary_search_by_key(&urgency, |k| k.urgency);
        let Ok(index) = index else {
            return Treatment::Usual;
        };
        let kind = &self.kinds[index];
        let least = |part: fn(&Kind, Millis) -> f64| {
            let parts = self.more_urgent(urgency, now).map(|k| part(k, now));
            parts.min_by(f64::total_cmp)
        };
        let (Some(served), Some(in_time)) = (least(Kind::served), least(Kind::in_time)) else {
            return Treatment::Usual;
        };
        let next = kind.with_one_more(is_new, now);
        let is_ahead = next.served > served || next.in_time > in_time;
        // A kind without a started request keeps its first one, however few callers it has.
        if kind.started.count(now) > 0 && next.served > kept_ratio && is_ahead {
            Treatment::Preferred
        } else if kind.served(now) < served.min(kept_ratio) {
            Treatment::Starved
        } else {
            Treatment::Usual
        }
    }

    /// Records an attempt to have a request served.
    pub(super) fn record(&mut self, request: &RankedRequest, attempt: Attempt, now: Millis) {
        let found = self
            .kinds
            .binary_search_by_key(&request.urgency, |k| k.urgency);
        let index = match found {
            Ok(index) => index,
            Err(_) => match self.insert(request, now) {
                Some(index) => index,
                None => return,
            },
        };
        let kind = &mut self.kinds[index];
        if request.aim <= kind.aim || now - kind.aim_at >= WINDOW {
            (kind.aim, kind.aim_at) = (request.aim, now);
        }
        kind.last = now;
        // A kind needs an answer per caller, however often callers repeat their requests.
        if attempt.is_new {
            kind.callers.add(now);
        }
        let started = attempt.start.is_some();
        if started {
            kind.started.add(now);
        }
        if attempt.start == Some(Start::InTime) {
            kind.in_time.add(now);
        }
        if started || !attempt.is_early {
            let customer = request.customer.as_ref();
            kind.shares.record(customer, started, now);
        }
    }

    /// Adds a kind; returns its index, or `None` if there is no space for it.
    fn insert(&mut self, request: &RankedRequest, now: Millis) -> Option<usize> {
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.retain(|k| k.is_active(now));
        }
        if self.kinds.len() >= MAX_KINDS {
            return None;
        }
        let kind = Kind {
            urgency: request.urgency,
            aim: request.aim,
            aim_at: now,
            last: now,
            callers: Recent::default(),
            started: Recent::default(),
            in_time: Recent::default(),
            shares: FairShares::default(),
        };
        let index = self.kinds.partition_point(|k| k.urgency < request.urgency);
        self.kinds.insert(index, kind);
        Some(index)
    }
}
