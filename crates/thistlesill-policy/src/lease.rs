//! The lease on a hall: who may give orders there.
//!
//! The table has no clock, so a lease is a row whose beat the holder keeps
//! raising. Others take it over when they have seen it unchanged for its
//! whole length on their own monotonic clock. The holder counts its length
//! from before it sent the write that renewed it.

use serde::{Deserialize, Serialize};
use thistlesill_core::chart::Chart;
use thistlesill_core::row::{LeaseRow, TermRow, lease_key, term_key};
use thistlesill_core::table::{Row, Rows, Txn, TxnReply, TxnResult};
use thistlesill_core::{HallId, Millis, NodeId};

use crate::charts::{LeaseEvent, LeaseState};

/// What to do about the lease now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Read the lease and term rows.
    Read,
    /// Send a transaction that takes or renews the lease.
    Send(Txn),
}

/// What became of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseNews {
    /// Nothing new.
    None,
    /// It was gained.
    Gained {
        /// The new term.
        term: u64,
    },
    /// It was lost or lapsed.
    Ended {
        /// The term that ended.
        term: u64,
    },
}

/// Times of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePeriods {
    /// Between renewals, and between looks at another's lease.
    pub renew: Millis,
    /// The lease's length.
    pub length: Millis,
    /// How much earlier the holder stops than others may take over.
    pub margin: Millis,
    /// Waited in addition before a planner of another hall takes over.
    pub courtesy: Millis,
}

/// The lease's rows as a holder knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSeen {
    /// The lease.
    pub row: LeaseRow,
    /// The version of its row.
    pub version: u64,
    /// The version of the term's row.
    pub term_version: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    row: LeaseRow,
    version: u64,
    term_version: u64,
    since: Millis,
}

/// One planner's side of one hall's lease.
#[derive(Debug, Clone)]
pub struct Lease {
    chart: Chart<LeaseState, LeaseEvent>,
    state: LeaseState,
    me: NodeId,
    hall: HallId,
    periods: LeasePeriods,
    known: Option<Known>,
    /// Since when the rows were read and found absent.
    vacant: Option<Millis>,
    asked: Millis,
    sought: Option<LeaseRow>,
    /// The highest beat ever written or sent, so that no two writes of ours
    /// are alike and a late one is not taken for a newer one.
    beat: u64,
    valid: Millis,
    looked: Option<Millis>,
    reading: bool,
}

impl Lease {
    /// A planner that holds nothing.
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
            vacant: None,
            asked: Millis::ZERO,
            sought: None,
            beat: 0,
            valid: Millis::ZERO,
            looked: None,
            reading: false,
        }
    }

    /// The term, if the lease is held and has not run out. Ask right before
    /// each order.
    pub fn term(&self, now: Millis) -> Option<u64> {
        let holds = matches!(
            self.state,
            LeaseState::Holding | LeaseState::Renewing | LeaseState::Doubting
        );
        let known = self.known.as_ref().filter(|_| holds && now < self.valid)?;
        Some(known.row.term)
    }

    /// The term of the row last known, held or not.
    pub fn known_term(&self) -> Option<u64> {
        self.known.as_ref().map(|k| k.row.term)
    }

    /// Where this planner stands.
    pub const fn state(&self) -> LeaseState {
        self.state
    }

    /// The holder that was last read.
    pub fn holder(&self) -> Option<&NodeId> {
        self.known.as_ref().map(|k| &k.row.holder)
    }

    /// The rows as the holder last wrote or read them, to be told to others.
    pub fn shown(&self) -> Option<LeaseSeen> {
        let known = self.known.as_ref()?;
        Some(LeaseSeen {
            row: known.row.clone(),
            version: known.version,
            term_version: known.term_version,
        })
    }

    /// Takes in what the holder told of the rows. They were so at some moment
    /// before now, so counting the lease's length from now is safe, and a
    /// later change of the row refuses a takeover.
    pub fn witness(&mut self, seen: LeaseSeen, now: Millis) {
        let newer = self.known.as_ref().is_none_or(|k| k.version < seen.version);
        if self.state != LeaseState::Watching || !newer {
            return;
        }
        self.known = Some(Known {
            row: seen.row,
            version: seen.version,
            term_version: seen.term_version,
            since: now,
        });
    }

    /// Version of the term row, the guard of plan writes.
    pub fn term_version(&self) -> u64 {
        self.known.as_ref().map_or(0, |k| k.term_version)
    }

    /// Looks at the time.
    pub fn tick(&mut self, now: Millis) -> (LeaseStep, LeaseNews) {
        let news = self.check_lapse(now);
        let due = self.looked.is_none_or(|t| now - t >= self.periods.renew);
        let step = match self.state {
            LeaseState::Holding if due => self.send_renewal(now),
            LeaseState::Watching if self.may_take(now) => self.send_takeover(now),
            LeaseState::Watching | LeaseState::Unsure | LeaseState::Doubting
                if due && !self.reading =>
            {
                self.looked = Some(now);
                self.reading = true;
                LeaseStep::Read
            }
            _ => LeaseStep::Wait,
        };
        (step, news)
    }

    /// Takes in the rows; `None` if the read failed.
    pub fn read(&mut self, rows: Option<&Rows>, now: Millis) -> LeaseNews {
        self.reading = false;
        let Some(rows) = rows else {
            return LeaseNews::None;
        };
        let found = self.decode(rows, now);
        let settled = matches!(self.state, LeaseState::Unsure | LeaseState::Doubting);
        let ours = found
            .as_ref()
            .is_some_and(|k| Some(&k.row) == self.sought.as_ref());
        let other_term =
            found.as_ref().map(|k| k.row.term) != self.known.as_ref().map(|k| k.row.term);
        let before = self.known.as_ref().map(|k| k.row.term);
        self.vacant = match found {
            Some(_) => None,
            None => self.vacant.or(Some(now)),
        };
        self.known = found;
        if !settled {
            return LeaseNews::None;
        }
        if ours {
            return self.granted();
        }
        // Our write did not take effect. Since when the row stands as it was read is kept: a
        // lease that ran out while the store was away is taken at its return, and not after
        // its length once more (2.6 s without a planner). In doubt over a renewal, the lease
        // is still ours as long as the term is; it is renewed at once, since
        // much of its length is gone.
        if self.state == LeaseState::Doubting && !other_term {
            self.apply(LeaseEvent::Granted);
            self.looked = None;
            return LeaseNews::None;
        }
        self.denied(before)
    }

    /// Takes in what became of a transaction.
    pub fn done(&mut self, result: &TxnResult, now: Millis) -> LeaseNews {
        let before = self.known.as_ref().map(|k| k.row.term);
        match result {
            TxnResult::Replied(TxnReply::Committed { version }) => {
                if !matches!(self.state, LeaseState::Asking | LeaseState::Renewing) {
                    return LeaseNews::None;
                }
                self.note_commit(*version, now);
                self.granted()
            }
            TxnResult::Replied(TxnReply::Refused { .. }) if self.state == LeaseState::Asking => {
                self.looked = None;
                // The row is another one than was known.
                self.known = None;
                self.vacant = None;
                self.denied(before)
            }
            // A refused renewal may have met an earlier one of ours that
            // came late: the row decides.
            TxnResult::Replied(TxnReply::Refused { .. }) | TxnResult::Unknown => {
                self.looked = None;
                self.apply(LeaseEvent::Lost);
                LeaseNews::None
            }
        }
    }

    /// Gives the lease up; the transaction is to be sent once.
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
        self.valid = Millis::ZERO;
        self.looked = Some(now);
        Some(txn)
    }

    fn decode(&self, rows: &Rows, now: Millis) -> Option<Known> {
        let lease = rows.find(&lease_key(&self.hall))?;
        let term = rows.find(&term_key(&self.hall));
        let row = lease.decode().unwrap_or_else(|_| self.unreadable(term));
        let term_version = term.map_or(0, |r| r.version);
        let same = self.known.as_ref().filter(|k| k.version == lease.version);
        Some(Known {
            row,
            version: lease.version,
            term_version,
            since: same.map_or(now, |k| k.since),
        })
    }

    /// What stands in for a lease that cannot be read, since another writer wrote there:
    /// the last one that is known. It runs out like any other; taken for no lease at all,
    /// it would never be replaced, and no group would be formed any more.
    fn unreadable(&self, term: Option<&Row>) -> LeaseRow {
        let told = term.and_then(|row| row.decode::<TermRow>().ok());
        let known = self.known.as_ref().map(|k| k.row.clone());
        let last = known.unwrap_or_else(|| LeaseRow {
            holder: NodeId::default(),
            term: 0,
            beat: 0,
            free: false,
        });
        LeaseRow {
            term: told.map_or(0, |row| row.term).max(last.term),
            free: false,
            ..last
        }
    }

    fn may_take(&self, now: Millis) -> bool {
        let Some(known) = &self.known else {
            let courtesy = self.periods.courtesy;
            return self.vacant.is_some_and(|t| now - t >= courtesy);
        };
        let wait = self.periods.length + self.periods.courtesy;
        // A row of this daemon's own name that it did not write in this life
        // is from a life that ended.
        let own = known.row.holder == self.me && self.beat == 0;
        known.row.free || own || now - known.since >= wait
    }

    fn send_takeover(&mut self, now: Millis) -> LeaseStep {
        let old = self.known.as_ref();
        let term = old.map_or(0, |k| k.row.term) + 1;
        let beat = old.map_or(0, |k| k.row.beat).max(self.beat) + 1;
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
        self.sent(row, now);
        LeaseStep::Send(txn)
    }

    fn send_renewal(&mut self, now: Millis) -> LeaseStep {
        let Some(known) = &self.known else {
            return LeaseStep::Wait;
        };
        let row = LeaseRow {
            beat: known.row.beat.max(self.beat) + 1,
            ..known.row.clone()
        };
        let key = lease_key(&self.hall);
        let txn = Txn::new().at(key.clone(), known.version).put(key, &row);
        self.sent(row, now);
        LeaseStep::Send(txn)
    }

    fn sent(&mut self, row: LeaseRow, now: Millis) {
        self.beat = row.beat;
        self.sought = Some(row);
        self.asked = now;
        self.looked = Some(now);
        self.apply(LeaseEvent::Ask);
    }

    fn note_commit(&mut self, version: u64, now: Millis) {
        let Some(row) = self.sought.clone() else {
            return;
        };
        let took_over = self.state == LeaseState::Asking;
        let term_version = if took_over {
            version
        } else {
            self.term_version()
        };
        self.known = Some(Known {
            row,
            version,
            term_version,
            since: now,
        });
    }

    fn granted(&mut self) -> LeaseNews {
        let gained = matches!(self.state, LeaseState::Asking | LeaseState::Unsure);
        self.apply(LeaseEvent::Granted);
        self.valid = self.asked + self.periods.length - self.periods.margin;
        match &self.known {
            Some(known) if gained => LeaseNews::Gained {
                term: known.row.term,
            },
            _ => LeaseNews::None,
        }
    }

    fn denied(&mut self, term: Option<u64>) -> LeaseNews {
        let held = matches!(self.state, LeaseState::Renewing | LeaseState::Doubting);
        self.apply(LeaseEvent::Denied);
        self.valid = Millis::ZERO;
        match term {
            Some(term) if held => LeaseNews::Ended { term },
            _ => LeaseNews::None,
        }
    }

    fn check_lapse(&mut self, now: Millis) -> LeaseNews {
        let held = matches!(
            self.state,
            LeaseState::Holding | LeaseState::Renewing | LeaseState::Doubting
        );
        if !held || now < self.valid {
            return LeaseNews::None;
        }
        self.apply(LeaseEvent::Lapse);
        // What was known of the row is from before the lapse; look again
        // before anything else, and count its length anew.
        let term = self.known.take().map_or(0, |k| k.row.term);
        self.vacant = None;
        self.looked = None;
        LeaseNews::Ended { term }
    }

    fn apply(&mut self, event: LeaseEvent) {
        if let Ok(next) = self.chart.step(self.state, event) {
            self.state = next;
        }
    }
}
