//! The passing of time.

use thistlesill_core::Millis;
use thistlesill_policy::planner::PlannerEvent;
use thistlesill_policy::router::RouterEvent;

use super::{Power, STEP, Stage};

impl Stage {
    /// Lets time pass.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.elapsed().get().is_multiple_of(1_000) {
            self.publish_list();
        }
        self.finish_loads();
        self.run_engines();
        for n in 0..self.planners.len() {
            self.read_mail_of_planner(n);
            self.planner_step(n, PlannerEvent::Tick);
        }
        for n in 0..self.routers.len() {
            self.read_mail_of_router(n);
            self.router_step(n, RouterEvent::Tick);
        }
    }

    pub(super) fn publish_list(&mut self) {
        if !self.frozen {
            for entry in &mut self.listed {
                entry.leaving = self.leaving.contains(&entry.instance);
            }
        }
        for n in 0..self.planners.len() {
            let listed = self.listed.clone();
            self.planner_step(n, PlannerEvent::Listed(listed));
        }
    }

    pub(super) fn finish_loads(&mut self) {
        for body in self.bodies.values_mut().filter(|b| b.power == Power::On) {
            let done = body.loading.take_if(|(at, _)| *at <= self.now);
            if let Some((_, membership)) = done {
                body.target.finish_loading(&membership);
            }
            let warm = body.warming.take_if(|(at, _)| *at <= self.now);
            if let Some((_, load)) = warm {
                body.target.set_warm(load);
            }
        }
    }
}
