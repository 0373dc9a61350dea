//! Mail between daemons; one that stands still reads it later.

use thistlesill_core::message::Heartbeat;
use thistlesill_core::{Millis, NodeId};
use thistlesill_policy::planner::PlannerEvent;
use thistlesill_policy::router::RouterEvent;

use super::{Mail, Power, Stage};

impl Stage {
    pub(super) fn tell_beat(&mut self, n: usize, beat: &Heartbeat) {
        let from = self.planners[n].seat.name.clone();
        if self.planners[n].cut {
            return;
        }
        for other in (0..self.planners.len()).filter(|o| *o != n) {
            if !self.planners[other].cut {
                let mail = Mail::Beat(from.clone(), beat.clone(), self.now);
                self.deliver_to_planner(other, mail);
            }
        }
        for router in 0..self.routers.len() {
            let mail = Mail::Beat(from.clone(), beat.clone(), self.now);
            self.deliver_to_router(router, mail);
        }
    }

    pub(super) fn post(&mut self, n: usize, to: &NodeId, mail: Mail) {
        if self.planners[n].cut {
            return;
        }
        if let Some(other) = self.planners.iter().position(|p| p.seat.name == *to) {
            if !self.planners[other].cut {
                self.deliver_to_planner(other, mail);
            }
        } else if let Some(router) = self.routers.iter().position(|r| r.seat.name == *to) {
            self.deliver_to_router(router, mail);
        }
    }

    pub(super) fn deliver_to_planner(&mut self, n: usize, mail: Mail) {
        if self.planners[n].power != Power::Off {
            self.planners[n].inbox.push(mail);
        }
    }

    pub(super) fn deliver_to_router(&mut self, n: usize, mail: Mail) {
        if self.routers[n].power != Power::Off {
            self.routers[n].inbox.push(mail);
        }
    }

    pub(super) fn read_mail_of_planner(&mut self, n: usize) {
        if self.planners[n].power != Power::On {
            return;
        }
        for mail in std::mem::take(&mut self.planners[n].inbox) {
            let lag = |sent: Millis| (self.now - sent).get().cast_signed();
            let event = match mail {
                Mail::Beat(from, beat, sent) => PlannerEvent::Heartbeat {
                    from,
                    heartbeat: beat,
                    lag: lag(sent),
                },
                Mail::Digest(from, part, sent) => PlannerEvent::Digest {
                    from,
                    part,
                    lag: lag(sent),
                },
                Mail::Want(from) => PlannerEvent::DigestRequested(from),
                Mail::Usage(..) | Mail::Fatal(_) => continue,
            };
            self.planner_step(n, event);
        }
    }

    pub(super) fn read_mail_of_router(&mut self, n: usize) {
        if self.routers[n].power != Power::On {
            return;
        }
        for mail in std::mem::take(&mut self.routers[n].inbox) {
            let lag = |sent: Millis| (self.now - sent).get().cast_signed();
            let event = match mail {
                Mail::Beat(from, beat, sent) => RouterEvent::Heartbeat {
                    from,
                    heartbeat: beat,
                    lag: lag(sent),
                },
                Mail::Digest(from, part, sent) => RouterEvent::Digest {
                    from,
                    part,
                    lag: lag(sent),
                },
                Mail::Usage(from, usage) => RouterEvent::Usage { from, usage },
                Mail::Fatal(told) => RouterEvent::Fatal(told),
                Mail::Want(_) => continue,
            };
            self.router_step(n, event);
        }
    }
}
