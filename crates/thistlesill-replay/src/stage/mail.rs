//! Messages between daemons. A paused daemon processes its messages once it continues.

use thistlesill_core::message::Heartbeat;
use thistlesill_core::{Millis, NodeId};
use thistlesill_policy::planner::PlannerEvent;
use thistlesill_policy::router::RouterEvent;

use super::{Message, Power, Simulation};

impl Simulation {
    pub(super) fn send_heartbeat(&mut self, n: usize, heartbeat: &Heartbeat) {
        let from = self.planners[n].spec.name.clone();
        if self.planners[n].isolated {
            return;
        }
        for other in (0..self.planners.len()).filter(|o| *o != n) {
            if !self.planners[other].isolated {
                let message = Message::Heartbeat(from.clone(), heartbeat.clone(), self.now);
                self.deliver_to_planner(other, message);
            }
        }
        for router in 0..self.routers.len() {
            let message = Message::Heartbeat(from.clone(), heartbeat.clone(), self.now);
            self.deliver_to_router(router, message);
        }
    }

    pub(super) fn send_to(&mut self, n: usize, to: &NodeId, message: Message) {
        if self.planners[n].isolated {
            return;
        }
        if let Some(other) = self.planners.iter().position(|p| p.spec.name == *to) {
            if !self.planners[other].isolated {
                self.deliver_to_planner(other, message);
            }
        } else if let Some(router) = self.routers.iter().position(|r| r.spec.name == *to) {
            self.deliver_to_router(router, message);
        }
    }

    pub(super) fn deliver_to_planner(&mut self, n: usize, message: Message) {
        if self.planners[n].power != Power::Off {
            self.planners[n].inbox.push(message);
        }
    }

    pub(super) fn deliver_to_router(&mut self, n: usize, message: Message) {
        if self.routers[n].power != Power::Off {
            self.routers[n].inbox.push(message);
        }
    }

    pub(super) fn process_planner_inbox(&mut self, n: usize) {
        if self.planners[n].power != Power::On {
            return;
        }
        for message in std::mem::take(&mut self.planners[n].inbox) {
            let lag = |sent: Millis| (self.now - sent).get().cast_signed();
            let event = match message {
                Message::Heartbeat(from, heartbeat, sent) => PlannerEvent::Heartbeat {
                    from,
                    heartbeat,
                    lag: lag(sent),
                },
                Message::Digest(from, part, sent) => PlannerEvent::Digest {
                    from,
                    part,
                    lag: lag(sent),
                },
                Message::DigestRequest(from) => PlannerEvent::DigestRequested(from),
                Message::Usage(..) | Message::Fatal(_) => continue,
            };
            self.planner_step(n, event);
        }
    }

    pub(super) fn process_router_inbox(&mut self, n: usize) {
        if self.routers[n].power != Power::On {
            return;
        }
        for message in std::mem::take(&mut self.routers[n].inbox) {
            let lag = |sent: Millis| (self.now - sent).get().cast_signed();
            let event = match message {
                Message::Heartbeat(from, heartbeat, sent) => RouterEvent::Heartbeat {
                    from,
                    heartbeat,
                    lag: lag(sent),
                },
                Message::Digest(from, part, sent) => RouterEvent::Digest {
                    from,
                    part,
                    lag: lag(sent),
                },
                Message::Usage(from, usage) => RouterEvent::Usage { from, usage },
                Message::Fatal(fatal) => RouterEvent::Fatal(fatal),
                Message::DigestRequest(_) => continue,
            };
            self.router_step(n, event);
        }
    }
}
