//! The lease on a hall, which decides which planner may give orders there.
//!
//! The table has no clock, so a lease is a row whose renewal counter (`beat`) the holder keeps
//! raising. Another planner takes the lease over once it has seen the row unchanged for the lease's
//! whole length on its own monotonic clock. The holder counts the length from before it sent the
//! write that renewed the lease.

use serde::{Deserialize, Serialize};
use thistlesill_core::chart::Chart;
use thistlesill_core::row::{LeaseRow, TermRow, lease_key, next_lease_number, term_key};
use thistlesill_core::table::{Row, Rows, Txn, TxnReply, TxnResult};
use thistlesill_core::{HallId, Millis, NodeId};

use crate::charts::{LeaseEvent, LeaseState};

/// What the caller has to do next about the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing to do.
    Wait,
    /// Read the lease row and the term row, and pass them to [`Lease::apply_rows`].
    Read,
    /// Send a transaction that takes or renews the lease, and pass its result to
    /// [`Lease::apply_result`].
    Send(Txn),
}

/// A change in who holds the lease, as far as this planner is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// No change.
    None,
    /// This planner gained the lease.
    Gained {
        /// The new term.
        term: u64,
    },
    /// This planner lost the lease, or its lease ran out.
    Ended {
        /// The term that ended.
        term: u64,
    },
}

/// The durations that govern a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePeriods {
    /// The interval between renewals, and between reads of a lease that another planner holds.
    pub renew: Millis,
    /// How long a lease lasts without a renewal.
    pub length: Millis,
    /// How much earlier the holder stops using the lease than others may take it over.
    pub margin: Millis,
    /// An additional wait before a planner of another hall takes the lease over.
    pub grace: Millis,
}

/// The rows of a lease with their versions, as the holder announces them to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSnapshot {
    /// The lease row.
    pub row: LeaseRow,
    /// The version of the lease row.
    pub version: u64,
    /// The version of the term row.
    pub term_version: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct KnownRow {
    row: LeaseRow,
    version: u64,
    term_version: u64,
    unchanged_since: Millis,
}

/// One planner's state machine for the lease of one hall.
#[derive(Debug, Clone)]
pub struct Lease {
    chart: Chart<LeaseState, LeaseEvent>,
    state: LeaseState,
    me: NodeId,
    hall: HallId,
    periods: LeasePeriods,
    known: Option<KnownRow>,
    /// When the rows were first read and found absent.
    absent_since: Option<Millis>,
    sent_at: Millis,
    sent_row: Option<LeaseRow>,
    /// The highest `beat` ever sent, so that no two writes of this planner are alike and a write
    /// that arrives late is not mistaken for a newer one.
    last_beat: u64,
    valid_until: Millis,
    last_check: Option<Millis>,
    reading: bool,
}

impl Lease {
    /// Creates the state machine of a planner that does not hold the lease.
    pub const fn new(
        chart: Chart<LeaseState, LeaseEvent>,
        me: NodeId,
        hall: HallId,
        periods: LeasePeriods,
    ) -> Self {
        Self {
            state: chart.start(),
            chart,
            me,
            hall,
            periods,
            known: None,
            absent_since: None,
            sent_at: Millis::ZERO,
            sent_row: None,
            last_beat: 0,
            valid_until: Millis::ZERO,
            last_check: None,
            reading: false,
        }
    }

    /// Returns the term if the lease is held and has not run out at `now`.
    ///
    /// Call this right before each order is sent.
    pub fn term(&self, now: Millis) -> Option<u64> {
        let holds = matches!(
            self.state,
            LeaseState::Holding | LeaseState::Renewing | LeaseState::Doubting
        );
        let known = self
            .known
            .as_ref()
            .filter(|_| holds && now < self.valid_until)?;
        Some(known.row.term)
    }

    /// Returns the term in the last known row, whether or not this planner holds the lease.
    pub fn known_term(&self) -> Option<u64> {
        self.known.as_ref().map(|k| k.row.term)
    }

    /// Returns the state of this planner with regard to the lease.
    pub const fn state(&self) -> LeaseState {
        self.state
    }

    /// Returns the holder named by the last known row.
    pub fn holder(&self) -> Option<&NodeId> {
        self.known.as_ref().map(|k| &k.row.holder)
    }

    /// Returns the rows as they were last written or read, for the holder to announce to others.
    pub fn snapshot(&self) -> Option<LeaseSnapshot> {
        let known = self.known.as_ref()?;
        Some(LeaseSnapshot {
            row: known.row.clone(),
            version: known.version,
            term_version: known.term_version,
        })
    }

    /// Applies the rows that the holder announced, if they are newer than the known ones.
    ///
    /// The rows were in this state at some moment before `now`, so counting the lease's length from
    /// `now` is safe. If the row changes later, its new version makes the table refuse a takeover.
    pub fn observe(&mut self, seen: LeaseSnapshot, now: Millis) {
        let newer = self.known.as_ref().is_none_or(|k| k.version < seen.version);
        if self.state != LeaseState::Watching || !newer {
            return;
        }
        self.known = Some(KnownRow {
            row: seen.row,
            version: seen.version,
            term_version: seen.term_version,
            unchanged_since: now,
        });
    }

    /// Returns the version of the term row, which guards writes to the plan; 0 if no row is known.
    pub fn term_version(&self) -> u64 {
        self.known.as_ref().map_or(0, |k| k.term_version)
    }

    /// Checks the time: ends a lease that has run out and returns the next step.
    pub fn tick(&mut self, now: Millis) -> (LeaseStep, LeaseChange) {
        let change = self.check_lapse(now);
        let due = self
            .last_check
            .is_none_or(|t| now - t >= self.periods.renew);
        let step = match self.state {
            LeaseState::Holding if due => self.send_renewal(now),
            LeaseState::Watching if self.may_take(now) => self.send_takeover(now),
            LeaseState::Watching | LeaseState::Unsure | LeaseState::Doubting
                if due && !self.reading =>
            {
                self.last_check = Some(now);
                self.reading = true;
                LeaseStep::Read
            }
            _ => LeaseStep::Wait,
        };
        (step, change)
    }

    /// Applies the rows that were read; `rows` is `None` if the read failed.
    pub fn apply_rows(&mut self, rows: Option<&Rows>, now: Millis) -> LeaseChange {
        self.reading = false;
        let Some(rows) = rows else {
            return LeaseChange::None;
        };
        let found = self.decode(rows, now);
        let in_doubt = matches!(self.state, LeaseState::Unsure | LeaseState::Doubting);
        let ours = found
            .as_ref()
            .is_some_and(|k| Some(&k.row) == self.sent_row.as_ref());
        let other_term =
            found.as_ref().map(|k| k.row.term) != self.known.as_ref().map(|k| k.row.term);
        let old_term = self.known.as_ref().map(|k| k.row.term);
        self.absent_since = match found {
            Some(_) => None,
            None => self.absent_since.or(Some(now)),
        };
        self.known = found;
        if !in_doubt {
            return LeaseChange::None;
        }
        if ours {
            return self.granted();
        }
        // The write did not take effect. The time since when the row is unchanged is kept, so that
        // a lease that ran out during an outage of the store is taken over as soon as the store
        // returns. Counting its length anew left the hall without a planner for another 2.6 s.
        // After a renewal with an unknown result, the lease is still held as long as the term is
        // the same. The renewal is repeated at once, since much of the lease's length has passed.
        if self.state == LeaseState::Doubting && !other_term {
            self.apply(LeaseEvent::Granted);
            self.last_check = None;
            return LeaseChange::None;
        }
        self.denied(old_term)
    }

    /// Applies the result of a transaction.
    pub fn apply_result(&mut self, result: &TxnResult, now: Millis) -> LeaseChange {
        let old_term = self.known.as_ref().map(|k| k.row.term);
        match result {
            TxnResult::Replied(TxnReply::Committed { version }) => {
                if !matches!(self.state, LeaseState::Asking | LeaseState::Renewing) {
                    return LeaseChange::None;
                }
                self.record_commit(*version, now);
                self.granted()
            }
            TxnResult::Replied(TxnReply::Refused { .. }) if self.state == LeaseState::Asking => {
                self.last_check = None;
                // The row differs from the one that was known.
                self.known = None;
                self.absent_since = None;
                self.denied(old_term)
            }
            // A renewal may have been refused because an earlier renewal of this planner arrived
            // late, so the row has to be read to decide.
            TxnResult::Replied(TxnReply::Refused { .. }) | TxnResult::Unknown => {
                self.last_check = None;
                self.apply(LeaseEvent::Lost);
                LeaseChange::None
            }
        }
    }

    /// Gives up the lease and returns the transaction for it, which is to be sent once.
    pub fn release(&mut self, now: Millis) -> Option<Txn> {
        self.term(now)?;
        let known = self.known.as_ref()?;
        let row = LeaseRow {
            free: true,
            ..known.row.clone()
        };
        let key = lease_key(&self.hall);
        let txn = Txn::new().at(key.clone(), known.version).put(key, &row);
        self.apply(LeaseEvent::Release);
        self.valid_until = Millis::ZERO;
        self.last_check = Some(now);
        Some(txn)
    }

    fn decode(&self, rows: &Rows, now: Millis) -> Option<KnownRow> {
        let lease = rows.find(&lease_key(&self.hall))?;
        let term = rows.find(&term_key(&self.hall));
        let row = lease.decode().ok().filter(LeaseRow::is_valid);
        let row = row.unwrap_or_else(|| self.fallback_row(term));
        let term_version = term.map_or(0, |r| r.version);
        let same = self.known.as_ref().filter(|k| k.version == lease.version);
        Some(KnownRow {
            row,
            version: lease.version,
            term_version,
            unchanged_since: same.map_or(now, |k| k.unchanged_since),
        })
    }

    /// Returns the row to assume when the lease row cannot be decoded, or holds numbers that no planner
    /// has reached, because something else wrote to it: the last known row.
    ///
    /// Such a lease runs out like any other. If it counted as absent, it would never be replaced,
    /// and no more groups would be formed.
    fn fallback_row(&self, term: Option<&Row>) -> LeaseRow {
        let term_row = term.and_then(|row| row.decode::<TermRow>().ok());
        let term_row = term_row.filter(TermRow::is_valid);
        let known = self.known.as_ref().map(|k| k.row.clone());
        let last = known.unwrap_or_else(|| LeaseRow {
            holder: NodeId::default(),
            term: 0,
            beat: 0,
            free: false,
        });
        LeaseRow {
            term: term_row.map_or(0, |row| row.term).max(last.term),
            free: false,
            ..last
        }
    }

    fn may_take(&self, now: Millis) -> bool {
        let Some(known) = &self.known else {
            let grace = self.periods.grace;
            return self.absent_since.is_some_and(|t| now - t >= grace);
        };
        let wait = self.periods.length + self.periods.grace;
        // A row under this daemon's own name that was not written since the daemon started comes
        // from a previous run, which has ended.
        let from_previous_run = known.row.holder == self.me && self.last_beat == 0;
        known.row.free || from_previous_run || now - known.unchanged_since >= wait
    }

    fn send_takeover(&mut self, now: Millis) -> LeaseStep {
        let old = self.known.as_ref();
        let term = next_lease_number(old.map_or(0, |k| k.row.term));
        let beat = next_lease_number(old.map_or(0, |k| k.row.beat).max(self.last_beat));
        let row = LeaseRow {
            holder: self.me.clone(),
            term,
            beat,
            free: false,
        };
        let (key, term_key) = (lease_key(&self.hall), term_key(&self.hall));
        let txn = Txn::new()
            .at(key.clone(), old.map_or(0, |k| k.version))
            .at(term_key.clone(), old.map_or(0, |k| k.term_version))
            .put(key, &row)
            .put(term_key, &TermRow { term });
        self.record_sent(row, now);
        LeaseStep::Send(txn)
    }

    fn send_renewal(&mut self, now: Millis) -> LeaseStep {
        let Some(known) = &self.known else {
            return LeaseStep::Wait;
        };
        let row = LeaseRow {
            beat: next_lease_number(known.row.beat.max(self.last_beat)),
            ..known.row.clone()
        };
        let key = lease_key(&self.hall);
        let txn = Txn::new().at(key.clone(), known.version).put(key, &row);
        self.record_sent(row, now);
        LeaseStep::Send(txn)
    }

    fn record_sent(&mut self, row: LeaseRow, now: Millis) {
        self.last_beat = row.beat;
        self.sent_row = Some(row);
        self.sent_at = now;
        self.last_check = Some(now);
        self.apply(LeaseEvent::Ask);
    }

    fn record_commit(&mut self, version: u64, now: Millis) {
        let Some(row) = self.sent_row.clone() else {
            return;
        };
        let took_over = self.state == LeaseState::Asking;
        let term_version = if took_over {
            version
        } else {
            self.term_version()
        };
        self.known = Some(KnownRow {
            row,
            version,
            term_version,
            unchanged_since: now,
        });
    }

    fn granted(&mut self) -> LeaseChange {
        let gained = matches!(self.state, LeaseState::Asking | LeaseState::Unsure);
        self.apply(LeaseEvent::Granted);
        self.valid_until = self.sent_at + self.periods.length - self.periods.margin;
        match &self.known {
            Some(known) if gained => LeaseChange::Gained {
                term: known.row.term,
            },
            _ => LeaseChange::None,
        }
    }

    fn denied(&mut self, term: Option<u64>) -> LeaseChange {
        let held = matches!(self.state, LeaseState::Renewing | LeaseState::Doubting);
        self.apply(LeaseEvent::Denied);
        self.valid_until = Millis::ZERO;
        match term {
            Some(term) if held => LeaseChange::Ended { term },
            _ => LeaseChange::None,
        }
    }

    fn check_lapse(&mut self, now: Millis) -> LeaseChange {
        let held = matches!(
            self.state,
            LeaseState::Holding | LeaseState::Renewing | LeaseState::Doubting
        );
        if !held || now < self.valid_until {
            return LeaseChange::None;
        }
        self.apply(LeaseEvent::Lapse);
        // The known row dates from before the lease ran out: read it again first, and count its
        // length from then.
        let term = self.known.take().map_or(0, |k| k.row.term);
        self.absent_since = None;
        self.last_check = None;
        LeaseChange::Ended { term }
    }

    fn apply(&mut self, event: LeaseEvent) {
        if let Ok(next) = self.chart.step(self.state, event) {
            self.state = next;
        }
    }
}
