//! The plan in the table: reading it, and taking over what was written.

use thistlesill_core::row::{GroupRow, Held, InstanceRow, plan_prefix, term_key};
use thistlesill_core::table::{RowKey, Rows, TxnReply, TxnResult};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{InstanceId, Millis};

use super::{Change, Flight, HallPlanner, HeldRow, planned};
use crate::plan::PlanAction;

impl HallPlanner {
    pub(super) fn flight(&mut self, flight: Flight) -> u64 {
        self.next_flight += 1;
        self.flights.insert(self.next_flight, flight);
        self.next_flight
    }

    pub(super) fn is_flying(&self) -> bool {
        let mut plans = self.flights.values();
        plans.any(|f| matches!(f, Flight::PlanRead { .. } | Flight::Plan(_)))
    }

    pub(super) fn read_plan(&mut self, term: u64) {
        let hall = &self.options.hall;
        let prefixes: Vec<RowKey> = vec![plan_prefix(hall).into(), term_key(hall).into()];
        let flight = self.flight(Flight::PlanRead { term });
        self.out.push(PlanAction::Read { flight, prefixes });
    }

    pub(super) fn rows_read(&mut self, flight: u64, rows: Option<&Rows>, now: Millis) {
        match self.flights.remove(&flight) {
            Some(Flight::LeaseRead) => {
                let news = self.lease.read(rows, now);
                self.news(news, now);
            }
            Some(Flight::PlanRead { term }) if self.lease.term(now) == Some(term) => {
                if let Some(rows) = rows {
                    self.load(rows, now);
                }
            }
            _ => {}
        }
    }

    pub(super) fn load(&mut self, rows: &Rows, now: Millis) {
        let hall = &self.options.hall;
        let term_row = rows.find(&term_key(hall)).map(|r| r.version);
        if term_row != Some(self.lease.term_version()) {
            return;
        }
        let groups_at = format!("{}group/", plan_prefix(hall));
        let instances_at = format!("{}instance/", plan_prefix(hall));
        let known = std::mem::take(&mut self.groups);
        self.held.clear();
        for row in &rows.rows {
            if row.key.starts_with(&groups_at) {
                if let Ok(group) = row.decode::<GroupRow>() {
                    let planned = planned(group, row.version, self.chart.start(), now);
                    self.groups.insert(planned.row.group.clone(), planned);
                }
            } else if let Some(name) = row.key.strip_prefix(&instances_at)
                && let Ok(instance) = row.decode::<InstanceRow>()
            {
                let held = HeldRow {
                    row: instance,
                    version: row.version,
                    since: now,
                };
                self.held.insert(InstanceId::from(name), held);
            }
        }
        for (id, old) in known {
            if let Some(new) = self.groups.get_mut(&id) {
                new.state = old.state;
                new.since = old.since;
                new.drained = old.drained;
                new.why = old.why;
            }
        }
        self.loaded = true;
    }

    pub(super) fn txn_done(&mut self, flight: u64, result: &TxnResult, now: Millis) {
        match self.flights.remove(&flight) {
            Some(Flight::LeaseTxn) => {
                let news = self.lease.done(result, now);
                self.news(news, now);
            }
            Some(Flight::Plan(change)) => match result {
                TxnResult::Replied(TxnReply::Committed { version }) => {
                    self.committed(change, *version, now);
                }
                // The table knows what became of it.
                TxnResult::Replied(TxnReply::Refused { .. }) | TxnResult::Unknown => {
                    self.loaded = false;
                }
            },
            _ => {}
        }
    }

    pub(super) fn committed(&mut self, change: Change, version: u64, now: Millis) {
        self.unfinished = true;
        for (group, why) in change.ended {
            if let Some(planned) = self.groups.remove(&group) {
                let epoch = planned.row.epoch;
                self.note(TimelineEvent::GroupEnded { group, epoch, why });
            }
        }
        for (instance, row) in change.aside {
            self.orders.drop(&instance);
            self.hold(instance, row, version, now);
        }
        for row in change.formed {
            for instance in &row.members {
                let held = Held::Member {
                    group: row.group.clone(),
                    epoch: row.epoch,
                };
                self.hold(instance.clone(), InstanceRow { held }, version, now);
                self.orders.drop(instance);
            }
            self.note(TimelineEvent::GroupPlanned {
                group: row.group.clone(),
                epoch: row.epoch,
                members: row.members.clone(),
            });
            let planned = planned(row, version, self.chart.start(), now);
            self.groups.insert(planned.row.group.clone(), planned);
        }
    }

    pub(super) fn hold(
        &mut self,
        instance: InstanceId,
        row: InstanceRow,
        version: u64,
        now: Millis,
    ) {
        let held = HeldRow {
            row,
            version,
            since: now,
        };
        self.held.insert(instance, held);
    }
}
