//! Writes and reads of claim rows that remain after a request has been answered.

use thistlesill_core::Millis;
use thistlesill_core::row::ClaimRow;
use thistlesill_core::table::{Rows, Txn, TxnResult};

use super::{ClaimStep, Claims, Entry, Flight, FollowUp};
use crate::charts::{ClaimEvent, ClaimState};

/// The minimum time from one follow-up to the next, unless the next one records an outcome.
const FOLLOW_UP_INTERVAL: Millis = Millis::new(500);
/// How often the row of a claim that was given up with an unknown result is looked for.
const MAX_LOOKUPS: u32 = 20;

impl Claims {
    /// Gives up a claim. If its row may have been written, or may still appear, the row is looked
    /// for and removed.
    pub(super) fn give_up_entry(&mut self, mut entry: Entry) {
        let written = entry.state != ClaimState::Waiting;
        if let Ok(next) = self.chart.step(entry.state, ClaimEvent::GiveUp) {
            entry.state = next;
        }
        if written {
            self.push_follow_up(FollowUp::Lookup { entry, attempts: 0 });
        }
    }

    pub(super) fn start_follow_up(&mut self, now: Millis) -> Vec<ClaimStep> {
        let recent = self
            .last_follow_up
            .is_some_and(|t| now - t < FOLLOW_UP_INTERVAL);
        let busy = self
            .flights
            .values()
            .any(|f| matches!(f, Flight::FollowUp(_)));
        if busy || (recent && !matches!(self.follow_ups.front(), Some(FollowUp::Record { .. }))) {
            return Vec::new();
        }
        let Some(next) = self.follow_ups.pop_front() else {
            return Vec::new();
        };
        self.last_follow_up = Some(now);
        let step = match &next {
            FollowUp::Record { entry, outcome } => {
                let row = self.row(entry, Some(outcome.clone()));
                let txn = Txn::new().at(entry.row_key.clone(), entry.version);
                Err(txn.put(entry.row_key.clone(), &row))
            }
            FollowUp::Remove { entry } => {
                let txn = Txn::new().at(entry.row_key.clone(), entry.version);
                Err(txn.delete(entry.row_key.clone()))
            }
            FollowUp::Lookup { entry, .. } => Ok(vec![entry.row_key.clone()]),
        };
        let flight = self.start_flight(Flight::FollowUp(Box::new(next)));
        vec![match step {
            Ok(keys) => ClaimStep::Read { flight, keys },
            Err(txn) => {
                self.transactions += 1;
                ClaimStep::Send { flight, txn }
            }
        }]
    }

    pub(super) fn write_done(&mut self, follow_up: FollowUp, result: &TxnResult) {
        // A refusal means that an earlier attempt took effect.
        if *result == TxnResult::Unknown {
            self.follow_ups.push_back(follow_up);
        }
    }

    pub(super) fn lookup_done(&mut self, follow_up: FollowUp, rows: Option<&Rows>) {
        let FollowUp::Lookup {
            mut entry,
            attempts,
        } = follow_up
        else {
            self.follow_ups.push_back(follow_up);
            return;
        };
        let found = rows.and_then(|r| r.find(&entry.row_key));
        let mine = found.filter(|r| {
            r.decode::<ClaimRow>()
                .is_ok_and(|c| c.request == entry.params.request)
        });
        if let Some(row) = mine {
            entry.version = row.version;
            self.push_follow_up(FollowUp::Remove { entry });
        } else if attempts < MAX_LOOKUPS && found.is_none() {
            let attempts = attempts + u32::from(rows.is_some());
            self.push_follow_up(FollowUp::Lookup { entry, attempts });
        }
    }
}
