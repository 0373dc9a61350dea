//! Failures that a trace or a test orders.

use std::sync::Arc;

use thistlesill_core::InstanceId;
use thistlesill_core::settings::Tree;
use thistlesill_policy::planner::PlannerEvent;
use thistlesill_policy::router::RouterEvent;

use super::{HeldOrder, Power, Stage, TableMode};

impl Stage {
    /// Sets how the table behaves.
    pub const fn set_table(&mut self, mode: TableMode) {
        self.mode = mode;
    }

    /// Sets whether an instance runs; from off to on, it starts anew.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn power(&mut self, instance: &str, power: Power) {
        let body = self.bodies.get_mut(instance).expect("a known instance");
        if power == Power::Off {
            body.loading = None;
            body.warming = None;
            body.target.restart();
        }
        body.power = power;
        if power == Power::Off {
            self.break_runs(instance);
        }
    }

    /// Sets how many times slower than usual an instance is.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn slow(&mut self, instance: &str, factor: u32) {
        let body = self.bodies.get_mut(instance).expect("a known instance");
        body.load.slowness = factor.max(1);
    }

    /// Sets whether an instance is listed as leaving.
    pub fn leave(&mut self, instance: &str, leaving: bool) {
        let instance = InstanceId::from(instance);
        if leaving {
            self.leaving.insert(instance);
        } else {
            self.leaving.remove(&instance);
        }
    }

    /// Makes an instance say itself that it is leaving.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn say_leaving(&mut self, instance: &str) {
        let body = self.bodies.get_mut(instance).expect("a known instance");
        body.target.leaving = true;
    }

    /// Stops the list, or lets it follow again.
    pub const fn freeze_list(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// The instances of a fabric domain.
    pub fn domain(&self, domain: &str) -> Vec<InstanceId> {
        let inside = self
            .bodies
            .values()
            .filter(|b| b.place.domain.as_str() == domain);
        inside.map(|b| b.place.instance.clone()).collect()
    }

    /// Sets whether a planner runs; from off to on, it starts anew.
    pub fn planner_power(&mut self, n: usize, power: Power) {
        if self.planners[n].power == Power::Off && power == Power::On {
            self.planners[n].core = self.new_planner(n);
            self.planners[n].inbox.clear();
            self.planners[n].power = power;
            self.spread_settings();
        }
        self.planners[n].power = power;
    }

    /// Sets whether a router runs; from off to on, it starts anew.
    pub fn router_power(&mut self, n: usize, power: Power) {
        if self.routers[n].power == Power::Off && power == Power::On {
            self.routers[n].core = self.new_router(n);
            self.routers[n].inbox.clear();
            self.routers[n].power = power;
            self.spread_settings();
        }
        self.routers[n].power = power;
    }

    /// Cuts a planner off from its peers, or ends that.
    pub fn cut_planner(&mut self, n: usize, cut: bool) {
        self.planners[n].cut = cut;
    }

    /// Holds orders back from now on, or stops doing so.
    pub const fn hold_orders(&mut self, hold: bool) {
        self.holding = hold;
    }

    /// The orders held back so far.
    pub fn take_held(&mut self) -> Vec<HeldOrder> {
        std::mem::take(&mut self.held)
    }

    /// Lets an order through that was held back.
    pub fn release(&mut self, held: &HeldOrder) {
        self.give(held.planner, &held.hall, &held.order);
    }

    /// Tells a planner to stop.
    pub fn stop_planner(&mut self, n: usize) {
        self.planner_step(n, PlannerEvent::Stop);
        self.planners[n].power = Power::Off;
    }

    /// Tells a router to stop.
    pub fn stop_router(&mut self, n: usize) {
        self.router_step(n, RouterEvent::Stop);
    }

    /// Puts settings in force.
    pub fn settings(&mut self, tree: Arc<Tree>) {
        self.options.tree = tree;
        self.spread_settings();
    }

    pub(super) fn spread_settings(&mut self) {
        for n in 0..self.planners.len() {
            let tree = self.options.tree.clone();
            self.planner_step(n, PlannerEvent::Settings(tree));
        }
        for n in 0..self.routers.len() {
            let tree = self.options.tree.clone();
            self.router_step(n, RouterEvent::Settings(tree));
        }
    }
}
