//! Reads of the plan from the table, and the local copy of what was written.

use thistlesill_core::row::{GroupRow, Held, InstanceRow, plan_prefix, term_key};
use thistlesill_core::table::{RowKey, Rows, TxnReply, TxnResult};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{InstanceId, Millis};

use super::{Flight, HallPlanner, HeldRow, PlanChange, planned_group};
use crate::plan::PlanAction;

impl HallPlanner {
    pub(super) fn start_flight(&mut self, flight: Flight) -> u64 {
        self.next_flight += 1;
        self.flights.insert(self.next_flight, flight);
        self.next_flight
    }

    pub(super) fn has_plan_flight(&self) -> bool {
        let mut plans = self.flights.values();
        plans.any(|f| matches!(f, Flight::PlanRead { .. } | Flight::Plan(_)))
    }

    pub(super) fn read_plan(&mut self, term: u64) {
        let hall = &self.options.hall;
        let prefixes: Vec<RowKey> = vec![plan_prefix(hall).into(), term_key(hall).into()];
        let flight = self.start_flight(Flight::PlanRead { term });
        self.out.push(PlanAction::Read { flight, prefixes });
    }

    pub(super) fn rows_read(&mut self, flight: u64, rows: Option<&Rows>, now: Millis) {
        match self.flights.remove(&flight) {
            Some(Flight::LeaseRead) => {
                let lease_change = self.lease.apply_rows(rows, now);
                self.apply_lease_change(lease_change, now);
            }
            Some(Flight::PlanRead { term }) if self.lease.term(now) == Some(term) => {
                if let Some(rows) = rows {
                    self.load_plan(rows, now);
                }
            }
            _ => {}
        }
    }

    pub(super) fn load_plan(&mut self, rows: &Rows, now: Millis) {
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
                    let planned = planned_group(group, row.version, self.chart.start(), now);
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
                new.drain_start = old.drain_start;
                new.why = old.why;
            }
        }
        self.plan_loaded = true;
    }

    pub(super) fn txn_done(&mut self, flight: u64, result: &TxnResult, now: Millis) {
        match self.flights.remove(&flight) {
            Some(Flight::LeaseTxn) => {
                let lease_change = self.lease.apply_result(result, now);
                self.apply_lease_change(lease_change, now);
            }
            Some(Flight::Plan(change)) => match result {
                TxnResult::Replied(TxnReply::Committed { version }) => {
                    self.committed(change, *version, now);
                }
                // Reads the plan again, since the transaction may have taken effect.
                TxnResult::Replied(TxnReply::Refused { .. }) | TxnResult::Unknown => {
                    self.plan_loaded = false;
                }
            },
            _ => {}
        }
    }

    pub(super) fn committed(&mut self, change: PlanChange, version: u64, now: Millis) {
        self.in_transition = true;
        for (group, why) in change.ended {
            if let Some(planned) = self.groups.remove(&group) {
                let epoch = planned.row.epoch;
                self.note(TimelineEvent::GroupEnded { group, epoch, why });
            }
        }
        for (instance, row) in change.aside {
            self.orders.discard(&instance);
            self.set_held(instance, row, version, now);
        }
        for row in change.formed {
            for instance in &row.members {
                let held = Held::Member {
                    group: row.group.clone(),
                    epoch: row.epoch,
                };
                self.set_held(instance.clone(), InstanceRow { held }, version, now);
                self.orders.discard(instance);
            }
            self.note(TimelineEvent::GroupPlanned {
                group: row.group.clone(),
                epoch: row.epoch,
                members: row.members.clone(),
            });
            let planned = planned_group(row, version, self.chart.start(), now);
            self.groups.insert(planned.row.group.clone(), planned);
        }
    }

    pub(super) fn set_held(
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
