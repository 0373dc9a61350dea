//! Advances the virtual time.

use thistlesill_core::Millis;
use thistlesill_policy::planner::PlannerEvent;
use thistlesill_policy::router::RouterEvent;

use super::{Power, STEP, Simulation};

impl Simulation {
    /// Runs the simulation for `time`, rounded up to whole steps.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the simulation by one [`STEP`].
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.elapsed().get().is_multiple_of(1_000) {
            self.publish_list();
        }
        self.finish_loads();
        self.run_engines();
        for n in 0..self.planners.len() {
            self.process_planner_inbox(n);
            self.planner_step(n, PlannerEvent::Tick);
        }
        for n in 0..self.routers.len() {
            self.process_router_inbox(n);
            self.router_step(n, RouterEvent::Tick);
        }
    }

    pub(super) fn publish_list(&mut self) {
        if !self.list_frozen {
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
        for instance in self.instances.values_mut().filter(|i| i.power == Power::On) {
            let done = instance.loading.take_if(|(at, _)| *at <= self.now);
            if let Some((_, membership)) = done {
                instance.target.finish_loading(&membership);
            }
            let warmed = instance.warming.take_if(|(at, _)| *at <= self.now);
            if let Some((_, load)) = warmed {
                instance.target.set_warm(load);
            }
        }
    }
}
