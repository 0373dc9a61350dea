//! Retry times of callers whose requests were refused.
//!
//! Load pattern: thousands of requests are refused within a second, as in a burst or after all
//! daemons lost power. If all callers get the same retry time, they come back together and most are
//! refused again. Booked times are spaced by what the scope can serve in addition to new requests.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thistlesill_core::Millis;

use super::shortage::{RankedRequest, Urgency};

/// Maximum number of bookings per scope. Each takes 88 bytes of content, up to twice that with the
/// free space in the nodes of the trees.
pub const MAX_BOOKINGS: usize = 4_096;
/// Maximum number of callers that are remembered per scope besides those with a booking here: those
/// without a booking and those that other owners reported. Each takes 72 bytes of content.
const MAX_OTHERS: usize = 4_096;
/// Maximum number of queues; bookings of further urgencies are made in the last queue.
const MAX_QUEUES: usize = 16;
/// Time until the first booking: a shorter one would return into the same burst.
const MIN_DELAY: Millis = Millis::new(300);
/// Part of its remaining time that a caller waits for a retry.
const WAIT_DIVISOR: u64 = 3;
/// How much earlier than booked a caller may return: timers of callers and clocks differ little.
const MAX_EARLY: Millis = Millis::new(150);
/// How much later than booked a caller may return, with a new connection and a lost packet.
const MAX_LATE: Millis = Millis::new(1_000);
/// How long after its time a booked caller is expected before anyone else who is late. Most return
/// within some milliseconds, and those that do not return should not keep slots free.
const DUE_TIME: Millis = Millis::new(150);
/// Fraction of a turn, in units of 2^-64, between the retry times of two callers without a
/// booking: multiples of the golden ratio fill an interval evenly, whatever their number.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Least number of bookings per second, against a rate of zero.
const MIN_RATE: f64 = 0.1;
/// Maximum number of ended bookings that are dropped in one step, which bounds the time of a step
/// after a suspension.
const MAX_DROPS: usize = 16;

/// Whether a caller has a booking, and whether it has kept it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The caller has no booking.
    New,
    /// The caller returned at its booked time.
    Kept,
    /// The caller returned before its booked time.
    Early,
}

impl Standing {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
            Self::Early => "early",
        }
    }
}

/// What other owners learn of a caller. Times are relative, since the clocks of daemons differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerReport {
    /// The caller was refused.
    Refused {
        /// Hash of the request.
        key: u64,
        /// Time since the first refusal.
        since: Millis,
        /// Time since the last refusal.
        ago: Millis,
        /// Time until the booking, if there is one.
        booked: Option<Millis>,
        /// Time until the caller is forgotten.
        left: Millis,
    },
    /// A caller that had been refused is served.
    Served {
        /// Hash of the request.
        key: u64,
        /// Time since it was admitted.
        ago: Millis,
    },
}

/// A caller that was refused and may return.
#[derive(Debug, Clone, Copy)]
struct RefusedCaller {
    /// When its first attempt was refused.
    first: Millis,
    /// When its last attempt was refused.
    last: Millis,
    /// Whether an attempt came here, and not only to other owners.
    counted: bool,
    /// Its booked time, if it has one, here or at another owner.
    booked: Option<Millis>,
    /// When it is forgotten.
    end: Millis,
}

/// Retry times of one urgency.
#[derive(Debug, Clone, Copy)]
struct Queue {
    urgency: Urgency,
    /// Next time that can be booked, in milliseconds.
    next: f64,
}

/// Refused callers of one scope, and their bookings.
///
/// Callers without a booking are remembered, too: the objective counts from the first attempt, and
/// a caller that returns is not another one. Callers that other owners booked are recognized, but
/// take no turn in the queues here and are not counted as due.
#[derive(Debug, Clone, Default)]
pub struct Returns {
    callers: BTreeMap<u64, RefusedCaller>,
    /// Times that were booked here, with the keys of the callers.
    booked: BTreeSet<(Millis, u64)>,
    /// Times at which callers are forgotten, with their keys.
    ends: BTreeSet<(Millis, u64)>,
    /// In the order of urgency.
    queues: Vec<Queue>,
    /// Part of a turn at which the last retry time without a booking was placed, in units of 2^-64.
    turn: u64,
}

impl Returns {
    /// Books a retry time and returns the time until then, at `rate` retries per second.
    ///
    /// A caller that comes before its booked time keeps that time.
    ///
    /// # Errors
    ///
    /// Returns the time until capacity is expected, if the caller won't wait so long or if there
    /// are too many bookings.
    pub fn book(
        &mut self,
        request: &RankedRequest,
        rate: f64,
        now: Millis,
    ) -> Result<Millis, Millis> {
        if let Some(left) = self.time_to_booking(request.key, now) {
            return Ok(left);
        }
        let spacing = 1_000.0 / rate.max(MIN_RATE);
        let earliest = (now + MIN_DELAY).get() as f64;
        let index = self.queue(request.urgency);
        let at = self.queues[index].next.max(earliest);
        let limit = (now.get() + request.left.get() / WAIT_DIVISOR) as f64;
        if at > limit || self.booked.len() >= MAX_BOOKINGS {
            return Err(self.defer(request, now));
        }
        self.queues[index].next = at + spacing;
        for later in &mut self.queues[index + 1..] {
            later.next = later.next.max(earliest) + spacing;
        }
        let at = Millis::new(at.ceil() as u64);
        self.remember(request.key, Some(at), at + MAX_LATE, now);
        Ok(at - now)
    }

    /// Returns the time until a caller that gets no booking may come back. One that comes before its
    /// booked time keeps that time.
    ///
    /// The times are spread from the latest time that can be booked to the caller's deadline: capacity
    /// may be free then although none is booked. If the queue ends after the deadline, the time is later
    /// than the deadline, too, so that the caller knows that nothing will be free.
    pub fn defer(&mut self, request: &RankedRequest, now: Millis) -> Millis {
        if let Some(left) = self.time_to_booking(request.key, now) {
            return left;
        }
        self.remember(request.key, None, now + request.left, now);
        self.turn = self.turn.wrapping_add(GOLDEN_RATIO);
        let part = self.turn as f64 / u64::MAX as f64;
        let index = self.queue(request.urgency);
        let left = request.left.get() as f64;
        let queued = self.queues[index].next - now.get() as f64;
        let after = if queued > left {
            queued + part * left
        } else {
            let earliest = left / WAIT_DIVISOR as f64 + MIN_DELAY.get() as f64;
            earliest + part * (left - earliest).max(0.0)
        };
        Millis::new(after.ceil() as u64)
    }

    /// Returns whether a caller has a booking and has kept it.
    pub fn standing(&mut self, key: u64, now: Millis) -> Standing {
        self.drop_ended(now);
        let booked = self.callers.get(&key).and_then(|caller| caller.booked);
        booked.map_or(Standing::New, |at| standing(at, now))
    }

    /// Returns when the first attempt of a caller was refused, if it was.
    pub fn first(&self, key: u64, now: Millis) -> Option<Millis> {
        let caller = self.callers.get(&key)?;
        (now <= caller.end).then_some(caller.first)
    }

    /// Returns whether a caller has a booking, here or at another owner.
    pub fn is_booked(&self, key: u64, now: Millis) -> bool {
        let caller = self.callers.get(&key).filter(|caller| now <= caller.end);
        caller.is_some_and(|caller| caller.booked.is_some())
    }

    /// Returns whether an earlier attempt of a caller was refused here.
    pub fn is_counted(&self, key: u64, now: Millis) -> bool {
        let caller = self.callers.get(&key);
        caller.is_some_and(|caller| caller.counted && now <= caller.end)
    }

    /// Removes a caller that is served.
    pub fn remove(&mut self, key: u64) {
        if let Some(caller) = self.callers.remove(&key) {
            self.ends.remove(&(caller.end, key));
            if let Some(at) = caller.booked {
                self.booked.remove(&(at, key));
            }
        }
    }

    /// Returns what other owners should learn of a refused caller; `None` if it is not remembered
    /// any more, or was not because of the bounds.
    pub fn report(&self, key: u64, now: Millis) -> Option<CallerReport> {
        let caller = self.callers.get(&key).filter(|caller| now <= caller.end)?;
        Some(CallerReport::Refused {
            key,
            since: now - caller.first,
            ago: now - caller.last,
            booked: caller.booked.map(|at| at - now),
            left: caller.end - now,
        })
    }

    /// Records what another owner reports of a caller, unless a later refusal is known: the time that
    /// the caller was given last is the one that it keeps.
    pub fn learn(&mut self, report: CallerReport, now: Millis) {
        self.drop_ended(now);
        match report {
            CallerReport::Served { key, ago } => {
                let caller = self.callers.get(&key);
                if caller.is_some_and(|caller| caller.last <= now - ago) {
                    self.remove(key);
                }
            }
            CallerReport::Refused {
                key,
                since,
                ago,
                booked,
                left,
            } => self.learn_refused(
                key,
                RefusedCaller {
                    first: now - since,
                    last: now - ago,
                    counted: false,
                    booked: booked.map(|wait| now + wait),
                    end: now + left,
                },
            ),
        }
    }

    fn learn_refused(&mut self, key: u64, mut caller: RefusedCaller) {
        if let Some(known) = self.callers.get_mut(&key) {
            known.first = known.first.min(caller.first);
            if known.last >= caller.last {
                return;
            }
            (caller.first, caller.counted) = (known.first, known.counted);
            self.remove(key);
        }
        if !self.has_too_many_others() {
            self.insert(key, caller);
        }
    }

    /// Returns the number of booked callers that should have returned within the last 150 ms and
    /// have not.
    pub fn due(&self, now: Millis) -> usize {
        let from = now - DUE_TIME + Millis::new(1);
        self.booked.range((from, 0)..=(now, u64::MAX)).count()
    }

    /// Returns the number of bookings.
    pub fn len(&self) -> usize {
        self.booked.len()
    }

    /// Returns whether there are no bookings.
    pub fn is_empty(&self) -> bool {
        self.booked.is_empty()
    }

    /// Returns the time until the booking of a caller that comes before it.
    fn time_to_booking(&mut self, key: u64, now: Millis) -> Option<Millis> {
        self.drop_ended(now);
        let at = self.callers.get(&key)?.booked?;
        (standing(at, now) == Standing::Early).then(|| at - now)
    }

    /// Replaces what is known of a caller. Beyond the bound, callers without a booking are not
    /// remembered and count as new ones.
    fn remember(&mut self, key: u64, booked: Option<Millis>, end: Millis, now: Millis) {
        let first = self.first(key, now).unwrap_or(now);
        self.remove(key);
        if let Some(at) = booked {
            self.booked.insert((at, key));
        } else if self.has_too_many_others() {
            return;
        }
        let caller = RefusedCaller {
            first,
            last: now,
            counted: true,
            booked,
            end,
        };
        self.insert(key, caller);
    }

    fn insert(&mut self, key: u64, caller: RefusedCaller) {
        self.ends.insert((caller.end, key));
        self.callers.insert(key, caller);
    }

    fn has_too_many_others(&self) -> bool {
        self.callers.len() - self.booked.len() >= MAX_OTHERS
    }

    fn drop_ended(&mut self, now: Millis) {
        for _ in 0..MAX_DROPS {
            match self.ends.first() {
                Some(&(end, key)) if now > end => self.remove(key),
                _ => return,
            }
        }
    }

    /// Returns the index of the queue of an urgency. A new queue begins behind what is booked in
    /// the more urgent ones.
    fn queue(&mut self, urgency: Urgency) -> usize {
        let found = self.queues.binary_search_by_key(&urgency, |q| q.urgency);
        match found {
            Ok(index) => index,
            Err(index) if self.queues.len() >= MAX_QUEUES => index.min(MAX_QUEUES - 1),
            Err(index) => {
                let next = index.checked_sub(1).map_or(0.0, |i| self.queues[i].next);
                self.queues.insert(index, Queue { urgency, next });
                index
            }
        }
    }
}

fn standing(booked: Millis, now: Millis) -> Standing {
    if now + MAX_EARLY < booked {
        Standing::Early
    } else if now <= booked + MAX_LATE {
        Standing::Kept
    } else {
        Standing::New
    }
}
