//! Failures and changes that traces and tests cause.

use std::sync::Arc;

use thistlesill_core::InstanceId;
use thistlesill_core::settings::Tree;
use thistlesill_policy::planner::PlannerEvent;
use thistlesill_policy::router::RouterEvent;

use super::{HeldOrder, Power, Simulation, TableMode};

impl Simulation {
    /// Sets the failure mode of the table.
    pub const fn set_table(&mut self, mode: TableMode) {
        self.table_mode = mode;
    }

    /// Sets whether an instance runs. An instance that is switched off loses its state and its
    /// connections, and restarts as a new incarnation.
    ///
    /// # Panics
    ///
    /// Panics if the instance is unknown.
    pub fn set_power(&mut self, instance: &str, power: Power) {
        let state = self.instances.get_mut(instance).expect("a known instance");
        if power == Power::Off {
            state.loading = None;
            state.warming = None;
            state.target.restart();
        }
        state.power = power;
        if power == Power::Off {
            self.break_runs(instance);
        }
    }

    /// Makes an instance slower than usual by a factor; 0 and 1 are its usual speed.
    ///
    /// # Panics
    ///
    /// Panics if the instance is unknown.
    pub fn set_slowness(&mut self, instance: &str, factor: u32) {
        let state = self.instances.get_mut(instance).expect("a known instance");
        state.load.slowness = factor.max(1);
    }

    /// Sets whether an instance is listed as leaving.
    pub fn set_leaving(&mut self, instance: &str, leaving: bool) {
        let instance = InstanceId::from(instance);
        if leaving {
            self.leaving.insert(instance);
        } else {
            self.leaving.remove(&instance);
        }
    }

    /// Makes an instance announce in its reports that it is leaving.
    ///
    /// # Panics
    ///
    /// Panics if the instance is unknown.
    pub fn announce_leaving(&mut self, instance: &str) {
        let state = self.instances.get_mut(instance).expect("a known instance");
        state.target.leaving = true;
    }

    /// Sets whether the list of instances stops following changes.
    pub const fn set_list_frozen(&mut self, frozen: bool) {
        self.list_frozen = frozen;
    }

    /// Returns the instances of a fabric domain.
    pub fn domain_instances(&self, domain: &str) -> Vec<InstanceId> {
        let inside = self
            .instances
            .values()
            .filter(|i| i.listed.domain.as_str() == domain);
        inside.map(|i| i.listed.instance.clone()).collect()
    }

    /// Sets whether a planner runs. Switched from off to on, it starts with a new core.
    pub fn set_planner_power(&mut self, n: usize, power: Power) {
        if self.planners[n].power == Power::Off && power == Power::On {
            self.planners[n].core = self.new_planner(n);
            self.planners[n].inbox.clear();
            self.planners[n].power = power;
            self.distribute_settings();
        }
        self.planners[n].power = power;
    }

    /// Sets whether a router runs. Switched from off to on, it starts with a new core.
    pub fn set_router_power(&mut self, n: usize, power: Power) {
        if self.routers[n].power == Power::Off && power == Power::On {
            self.routers[n].core = self.new_router(n);
            self.routers[n].inbox.clear();
            self.routers[n].power = power;
            self.distribute_settings();
        }
        self.routers[n].power = power;
    }

    /// Sets whether a planner is cut off from its peers.
    pub fn set_planner_isolated(&mut self, n: usize, isolated: bool) {
        self.planners[n].isolated = isolated;
    }

    /// Sets whether new orders are held back instead of delivered.
    pub const fn hold_orders(&mut self, hold: bool) {
        self.holds_orders = hold;
    }

    /// Removes and returns the orders held back so far.
    pub fn take_held(&mut self) -> Vec<HeldOrder> {
        std::mem::take(&mut self.held_orders)
    }

    /// Delivers an order that was held back.
    pub fn deliver_held_order(&mut self, held: &HeldOrder) {
        self.deliver_order(held.planner, &held.hall, &held.order);
    }

    /// Stops a planner in an orderly way and switches it off.
    pub fn stop_planner(&mut self, n: usize) {
        self.planner_step(n, PlannerEvent::Stop);
        self.planners[n].power = Power::Off;
    }

    /// Asks a router to stop in an orderly way.
    pub fn stop_router(&mut self, n: usize) {
        self.router_step(n, RouterEvent::Stop);
    }

    /// Puts settings in force at all daemons that run.
    pub fn set_settings(&mut self, tree: Arc<Tree>) {
        self.options.tree = tree;
        self.distribute_settings();
    }

    pub(super) fn distribute_settings(&mut self) {
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
