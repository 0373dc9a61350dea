//! The platform and the targets, as far as daemons reach them.

use std::net::SocketAddr;

use thistlesill_core::HallId;
use thistlesill_core::report::{Order, Report, Task};
use thistlesill_core::table::{Read, RowKey, Rows, Txn, TxnResult};
use thistlesill_policy::planner::PlannerEvent;

use super::{Body, HeldOrder, Power, STEP, Stage, TableMode};

impl Stage {
    pub(super) fn txn(&mut self, txn: &Txn) -> TxnResult {
        match self.mode {
            TableMode::Down => TxnResult::Unknown,
            TableMode::Up => TxnResult::Replied(self.table.txn(txn)),
            TableMode::LoseAnswers => {
                self.table.txn(txn);
                TxnResult::Unknown
            }
        }
    }

    pub(super) fn read(&mut self, prefixes: Vec<RowKey>) -> Option<Rows> {
        (self.mode != TableMode::Down).then(|| self.table.read(&Read { prefixes }))
    }

    pub(super) fn report(&mut self, address: SocketAddr) -> Option<Report> {
        let now = self.now;
        let lag = self.options.model.lag;
        let body = self.body_at(address)?;
        if body.power != Power::On {
            return None;
        }
        let pressure = body.load.lagged(now, lag);
        let cache = body.load.cache.events();
        Some(Report {
            cache,
            ..body.target.report(pressure)
        })
    }

    pub(super) fn body_at(&mut self, address: SocketAddr) -> Option<&mut Body> {
        let mut bodies = self.bodies.values_mut();
        bodies.find(|b| b.place.address == address)
    }

    pub(super) fn give_or_hold(&mut self, planner: usize, hall: HallId, order: Order) {
        self.orders += 1;
        if self.holding {
            self.held.push(HeldOrder {
                planner,
                hall,
                order,
            });
        } else {
            self.give(planner, &hall, &order);
        }
    }

    pub(super) fn give(&mut self, planner: usize, hall: &HallId, order: &Order) {
        let now = self.now;
        let load = self.options.model.load;
        let Some(body) = self.bodies.get_mut(&order.instance) else {
            return;
        };
        let mut reply = None;
        if body.power == Power::On {
            let was = body.target.duty.membership().cloned();
            reply = Some(body.target.apply_order(order));
            if let Task::Join(m) = &order.task
                && body.target.duty.membership() == Some(m)
                && was.as_ref() != Some(m)
            {
                let wait = if body.target.is_warm(m) { STEP } else { load };
                body.loading = Some((now + wait, m.clone()));
            }
            if let Task::Warm { load: wanted } = &order.task {
                body.warming = Some((now + load, wanted.clone()));
            }
        }
        let changed = order.instance.clone();
        self.check_runs(&changed);
        let event = PlannerEvent::Answered {
            hall: hall.clone(),
            instance: order.instance.clone(),
            fence: order.fence,
            reply,
        };
        self.planner_step(planner, event);
    }
}
