//! The calls that daemons make to the table and to the targets.

use std::net::SocketAddr;

use thistlesill_core::HallId;
use thistlesill_core::report::{Order, Report, Task};
use thistlesill_core::table::{Read, RowKey, Rows, Txn, TxnResult};
use thistlesill_policy::planner::PlannerEvent;

use super::{HeldOrder, Power, STEP, SimulatedInstance, Simulation, TableMode};

impl Simulation {
    pub(super) fn txn(&mut self, txn: &Txn) -> TxnResult {
        match self.table_mode {
            TableMode::Down => TxnResult::Unknown,
            TableMode::Up => TxnResult::Replied(self.table.txn(txn)),
            TableMode::LoseAnswers => {
                self.table.txn(txn);
                TxnResult::Unknown
            }
        }
    }

    pub(super) fn read(&mut self, prefixes: Vec<RowKey>) -> Option<Rows> {
        (self.table_mode != TableMode::Down).then(|| self.table.read(&Read { prefixes }))
    }

    pub(super) fn report(&mut self, address: SocketAddr) -> Option<Report> {
        let now = self.now;
        let lag = self.options.engine.lag;
        let instance = self.instance_at(address)?;
        if instance.power != Power::On {
            return None;
        }
        let pressure = instance.load.delayed_pressure(now, lag);
        let cache = instance.load.cache.events();
        Some(Report {
            cache,
            ..instance.target.report(pressure)
        })
    }

    pub(super) fn instance_at(&mut self, address: SocketAddr) -> Option<&mut SimulatedInstance> {
        let mut instances = self.instances.values_mut();
        instances.find(|i| i.listed.address == address)
    }

    pub(super) fn send_order(&mut self, planner: usize, hall: HallId, order: Order) {
        self.orders += 1;
        if self.holds_orders {
            self.held_orders.push(HeldOrder {
                planner,
                hall,
                order,
            });
        } else {
            self.deliver_order(planner, &hall, &order);
        }
    }

    pub(super) fn deliver_order(&mut self, planner: usize, hall: &HallId, order: &Order) {
        let now = self.now;
        let load = self.options.engine.load;
        let Some(instance) = self.instances.get_mut(&order.instance) else {
            return;
        };
        let mut reply = None;
        if instance.power == Power::On {
            let before = instance.target.duty.membership().cloned();
            reply = Some(instance.target.apply_order(order));
            if let Task::Join(m) = &order.task
                && instance.target.duty.membership() == Some(m)
                && before.as_ref() != Some(m)
            {
                let duration = if instance.target.is_warm(m) {
                    STEP
                } else {
                    load
                };
                instance.loading = Some((now + duration, m.clone()));
            }
            if let Task::Warm { load: weights } = &order.task {
                instance.warming = Some((now + load, weights.clone()));
            }
        }
        let id = order.instance.clone();
        self.check_runs(&id);
        let event = PlannerEvent::Answered {
            hall: hall.clone(),
            instance: order.instance.clone(),
            fence: order.fence,
            reply,
        };
        self.planner_step(planner, event);
    }
}
