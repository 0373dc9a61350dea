//! Steps the daemons' cores and carries out their actions.

use thistlesill_core::timeline::{Record, TimelineEvent};
use thistlesill_policy::planner::{PlannerAction, PlannerEvent};
use thistlesill_policy::router::{RouterAction, RouterEvent};

use super::{Message, Power, Simulation};

impl Simulation {
    pub(super) fn planner_step(&mut self, n: usize, event: PlannerEvent) {
        if self.planners[n].power != Power::On {
            return;
        }
        let actions = self.planners[n].core.step(event, self.now);
        for action in actions {
            self.apply_planner_action(n, action);
        }
    }

    pub(super) fn apply_planner_action(&mut self, n: usize, action: PlannerAction) {
        match action {
            PlannerAction::Probe(address) => {
                if let Some(report) = self.report(address) {
                    let started = self.now;
                    let report = Box::new(report);
                    self.planner_step(n, PlannerEvent::Reported { report, started });
                }
            }
            PlannerAction::SendTxn { hall, flight, txn } => {
                let result = self.txn(&txn);
                let event = PlannerEvent::TxnDone {
                    hall,
                    flight,
                    result,
                };
                self.planner_step(n, event);
            }
            PlannerAction::Read {
                hall,
                flight,
                prefixes,
            } => {
                let rows = self.read(prefixes);
                self.planner_step(n, PlannerEvent::RowsRead { hall, flight, rows });
            }
            PlannerAction::SendOrder { hall, order, .. } => self.send_order(n, hall, order),
            PlannerAction::SendHeartbeat(heartbeat) => self.send_heartbeat(n, &heartbeat),
            PlannerAction::SendDigest { to, parts } => {
                for part in parts {
                    let from = self.planners[n].spec.name.clone();
                    self.send_to(n, &to, Message::Digest(from, part, self.now));
                }
            }
            PlannerAction::RequestDigest(to) => {
                let from = self.planners[n].spec.name.clone();
                self.send_to(n, &to, Message::DigestRequest(from));
            }
            PlannerAction::Note(what) => {
                let wall = self.now.get();
                let daemon = &mut self.planners[n];
                let stamp = daemon.clock.tick(wall);
                let node = daemon.spec.name.clone();
                self.records.push(Record { stamp, node, what });
            }
            PlannerAction::SendHead(_) | PlannerAction::Exit => {}
        }
    }

    pub(super) fn router_step(&mut self, n: usize, event: RouterEvent) {
        if self.routers[n].power != Power::On {
            return;
        }
        let actions = self.routers[n].core.step(event, self.now);
        for action in actions {
            self.apply_router_action(n, action);
        }
    }

    pub(super) fn apply_router_action(&mut self, n: usize, action: RouterAction) {
        match action {
            RouterAction::SendTxn { flight, txn } => {
                let result = self.txn(&txn);
                self.router_step(n, RouterEvent::TxnDone { flight, result });
            }
            RouterAction::ReadRows { flight, keys } => {
                let rows = self.read(keys);
                self.router_step(n, RouterEvent::RowsRead { flight, rows });
            }
            RouterAction::RequestDigest(to) => {
                let from = self.routers[n].spec.name.clone();
                let planner = self.planners.iter().position(|p| p.spec.name == to);
                if let Some(p) = planner.filter(|p| !self.planners[*p].isolated) {
                    self.deliver_to_planner(p, Message::DigestRequest(from));
                }
            }
            RouterAction::SendUsage(usage) => {
                let from = self.routers[n].spec.name.clone();
                for other in (0..self.routers.len()).filter(|o| *o != n) {
                    let message = Message::Usage(from.clone(), usage.clone());
                    self.deliver_to_router(other, message);
                }
            }
            RouterAction::SendFatal(fatal) => {
                for other in (0..self.routers.len()).filter(|o| *o != n) {
                    self.deliver_to_router(other, Message::Fatal(fatal.clone()));
                }
            }
            RouterAction::Note(what) => {
                let wall = self.now.get();
                let daemon = &mut self.routers[n];
                let stamp = daemon.clock.tick(wall);
                let node = daemon.spec.name.clone();
                self.count_attempt(&what);
                self.records.push(Record { stamp, node, what });
            }
            RouterAction::SendHead(_) | RouterAction::Exit => {}
            other => self.apply_request_action(n, other),
        }
    }

    /// Counts an attempt that a router records.
    pub(super) fn count_attempt(&mut self, what: &TimelineEvent) {
        if let TimelineEvent::Sent { attempt, .. } = what {
            self.tally.attempts += 1;
            self.tally.retries += u64::from(*attempt > 1);
        }
    }
}
