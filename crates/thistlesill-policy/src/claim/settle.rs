//! What is written or looked for after a request has its answer.

use thistlesill_core::Millis;
use thistlesill_core::row::ClaimRow;
use thistlesill_core::table::{Rows, Txn, TxnResult};

use super::{ClaimBook, ClaimStep, Entry, Flight, Settling};
use crate::charts::{ClaimEvent, ClaimState};

/// Between two tries to settle what was given up or ended.
const SETTLE_GAP: Millis = Millis::new(500);
/// How often a row that was given up in doubt is looked for.
const MAX_LOOKS: u32 = 20;

impl ClaimBook {
    /// The row of a given-up claim may be there, or may appear yet.
    pub(super) fn give_up_entry(&mut self, mut entry: Entry) {
        let written = entry.state != ClaimState::Waiting;
        if let Ok(next) = self.chart.step(entry.state, ClaimEvent::GiveUp) {
            entry.state = next;
        }
        if written {
            self.push_settling(Settling::Look { entry, looks: 0 });
        }
    }

    pub(super) fn settle(&mut self, now: Millis) -> Vec<ClaimStep> {
        let recent = self.settled.is_some_and(|t| now - t < SETTLE_GAP);
        let busy = self
            .flights
            .values()
            .any(|f| matches!(f, Flight::Settle(_)));
        if busy || (recent && !matches!(self.settling.front(), Some(Settling::Record { .. }))) {
            return Vec::new();
        }
        let Some(next) = self.settling.pop_front() else {
            return Vec::new();
        };
        self.settled = Some(now);
        let step = match &next {
            Settling::Record { entry, outcome } => {
                let row = self.row(entry, Some(outcome.clone()));
                let txn = Txn::new().at(entry.row_key.clone(), entry.version);
                Err(txn.put(entry.row_key.clone(), &row))
            }
            Settling::Remove { entry } => {
                let txn = Txn::new().at(entry.row_key.clone(), entry.version);
                Err(txn.delete(entry.row_key.clone()))
            }
            Settling::Look { entry, .. } => Ok(vec![entry.row_key.clone()]),
        };
        let flight = self.flight(Flight::Settle(Box::new(next)));
        vec![match step {
            Ok(keys) => ClaimStep::Read { flight, keys },
            Err(txn) => {
                self.transactions += 1;
                ClaimStep::Send { flight, txn }
            }
        }]
    }

    pub(super) fn settle_done(&mut self, settling: Settling, result: &TxnResult) {
        // A refusal means that an earlier try took effect.
        if *result == TxnResult::Unknown {
            self.settling.push_back(settling);
        }
    }

    pub(super) fn look_done(&mut self, settling: Settling, rows: Option<&Rows>) {
        let Settling::Look { mut entry, looks } = settling else {
            self.settling.push_back(settling);
            return;
        };
        let found = rows.and_then(|r| r.find(&entry.row_key));
        let mine = found.filter(|r| {
            r.decode::<ClaimRow>()
                .is_ok_and(|c| c.request == entry.ask.request)
        });
        if let Some(row) = mine {
            entry.version = row.version;
            self.push_settling(Settling::Remove { entry });
        } else if looks < MAX_LOOKS && found.is_none() {
            let looks = looks + u32::from(rows.is_some());
            self.push_settling(Settling::Look { entry, looks });
        }
    }
}
