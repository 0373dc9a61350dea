//! Simulates a planner with fake engines in virtual time.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use thistlesill_core::edge::{Engine, Order, OrderReply, Target, TargetId};
use thistlesill_core::{HallId, Millis, Model};
use thistlesill_fakes::engines::{Engines, engine};
use thistlesill_policy::edge::fleet::{
    Census, Demand, FleetAction, FleetPlanner, FleetView, ProbeOutcome,
};
use thistlesill_policy::edge::shortage::Urgency;

/// The time of day at which virtual time begins, in Unix milliseconds.
const UNIX_START_MS: u64 = 1_790_000_000_000;
/// Time between two steps of the planner.
pub(crate) const STEP: Millis = Millis::new(100);

/// An order that is carried out later.
pub(crate) struct LateOrder {
    at: Millis,
    target: TargetId,
    order: Order,
}

/// The planner, the engines and the virtual time.
pub(crate) struct Simulation {
    pub(crate) engines: Engines,
    pub(crate) planner: FleetPlanner,
    pub(crate) term: u64,
    pub(crate) now: Millis,
    pub(crate) before_traffic: bool,
    /// Leaders at which daemons have requests that make progress.
    pub(crate) working: HashSet<TargetId>,
    /// Running requests at each leader.
    pub(crate) requests: HashMap<TargetId, u32>,
    /// Demand for each model, in groups.
    pub(crate) demand: Demand,
    /// The most urgent requests of each model; empty unless callers are ranked.
    pub(crate) urgency: BTreeMap<Model, Urgency>,
    /// For each leader with a rate limit, the ratio of its group's usual work that the limit
    /// leaves.
    pub(crate) capacity_ratios: HashMap<TargetId, f64>,
    /// Data centres that are evacuated.
    pub(crate) evacuated: BTreeSet<HallId>,
    /// Targets that are slow.
    pub(crate) slow_targets: HashSet<TargetId>,
    /// Leaders whose streams are slow.
    pub(crate) slow_leaders: HashSet<TargetId>,
    /// All orders that were sent, with their times.
    pub(crate) orders: Vec<(Millis, TargetId, Order)>,
    pub(crate) late_orders: VecDeque<LateOrder>,
    /// Engines that no order and no probe reaches.
    pub(crate) isolated: HashSet<TargetId>,
    /// Events of the engines and the planner, in the order of time.
    events: Vec<(Millis, String)>,
    engine: Engine,
}

impl Simulation {
    pub(crate) fn new(domains: usize) -> Self {
        Self {
            engines: Engines::new(domains),
            planner: FleetPlanner::default(),
            term: 1,
            now: Millis::new(1_000_000),
            before_traffic: true,
            working: HashSet::new(),
            requests: HashMap::new(),
            demand: Demand::new(),
            urgency: BTreeMap::new(),
            capacity_ratios: HashMap::new(),
            evacuated: BTreeSet::new(),
            slow_targets: HashSet::new(),
            slow_leaders: HashSet::new(),
            orders: Vec::new(),
            late_orders: VecDeque::new(),
            isolated: HashSet::new(),
            events: Vec::new(),
            engine: engine(),
        }
    }

    /// Runs until the first groups serve, then lets requests begin.
    pub(crate) fn formed(domains: usize) -> Self {
        let mut sim = Self::new(domains);
        // Three rounds of loads, which the fake engines do not shorten.
        sim.run(Millis::new(120_000));
        sim.before_traffic = false;
        sim.orders.clear();
        sim
    }

    /// Advances the time; the planner runs every [`STEP`].
    pub(crate) fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step(|_| Delivery::Answered);
        }
    }

    /// Advances the time by one step; `delivery` decides what happens to each order.
    pub(crate) fn step(&mut self, delivery: impl FnMut(&Order) -> Delivery) {
        self.now = self.now + STEP;
        self.engines.advance(self.now);
        self.deliver_late();
        self.step_planner(delivery);
    }

    /// Runs one step of the planner; `delivery` decides what happens to each order.
    pub(crate) fn step_planner(&mut self, mut delivery: impl FnMut(&Order) -> Delivery) {
        let targets = self.engines.listed();
        let stalled = self.engines.stalled();
        let view = FleetView {
            targets: &targets,
            engine: &self.engine,
            stalled: &stalled,
            slow: &self.slow_leaders,
            working: &self.working,
            requests: &self.requests,
            demand: &self.demand,
            urgency: &self.urgency,
            capacity_ratios: &self.capacity_ratios,
            evacuated: &self.evacuated,
            term: self.term,
            wall: self.wall(),
            before_traffic: self.before_traffic,
        };
        for action in self.planner.step(&view, self.now) {
            match action {
                FleetAction::SendOrder { target, order, .. } => {
                    self.orders.push((self.now, target.clone(), order.clone()));
                    let delivery = if self.isolated.contains(&target) {
                        Delivery::Lost
                    } else {
                        delivery(&order)
                    };
                    self.log(format!("{target} {order:?} {delivery:?}"));
                    let reply = match delivery {
                        Delivery::Answered => self.engines.order(&target, &order, self.now),
                        Delivery::Lost => OrderReply::Unknown,
                        Delivery::Refused => OrderReply::Refused,
                        Delivery::Late(after) => {
                            self.delay(&target, &order, after);
                            OrderReply::Unknown
                        }
                        Delivery::Twice(after) => {
                            self.delay(&target, &order, after);
                            self.engines.order(&target, &order, self.now);
                            OrderReply::Unknown
                        }
                        Delivery::Unanswered => {
                            self.engines.order(&target, &order, self.now);
                            OrderReply::Unknown
                        }
                    };
                    self.planner.record_reply(&target, &order, reply, self.now);
                }
                FleetAction::Probe { target, .. } => {
                    let reached = !self.isolated.contains(&target);
                    let outcome = match reached && self.engines.is_alive(&target) {
                        true if self.slow_targets.contains(&target) => ProbeOutcome::Slow,
                        true => ProbeOutcome::Healthy,
                        false => ProbeOutcome::Unresponsive,
                    };
                    self.planner.record_probe(&target, outcome, self.now);
                    if reached && self.engines.incarnation(&target).as_ref() == Some(&target) {
                        let taken = self.engines.orders_taken(&target);
                        self.planner.record_orders_taken(&target, taken, self.now);
                    }
                }
            }
        }
    }

    /// Returns the time of day, in Unix milliseconds.
    pub(crate) fn wall(&self) -> u64 {
        UNIX_START_MS + self.now.get()
    }

    /// Logs an event with the present time.
    pub(crate) fn log(&mut self, event: String) {
        self.events.push((self.now, event));
    }

    /// Returns the events of the last `time` that contain one of the names.
    pub(crate) fn events_of(&self, names: &[&str], time: Millis) -> Vec<String> {
        let recent = self.events.iter().filter(|(at, _)| self.now - *at <= time);
        let named = recent.filter(|(_, event)| names.iter().any(|name| event.contains(name)));
        named.map(|(at, event)| format!("{at} {event}")).collect()
    }

    /// Has an order carried out after a delay.
    fn delay(&mut self, target: &TargetId, order: &Order, after: Millis) {
        self.late_orders.push_back(LateOrder {
            at: self.now + after,
            target: target.clone(),
            order: order.clone(),
        });
    }

    /// Isolates an engine: it leaves the list and nothing reaches it, but it continues to work.
    pub(crate) fn isolate(&mut self, id: &TargetId) {
        self.engines.unlist(id);
        self.isolated.insert(id.clone());
        self.log(format!("{id} is isolated"));
    }

    /// Reconnects an isolated engine.
    pub(crate) fn heal(&mut self, id: &TargetId) {
        self.engines.relist(id);
        self.isolated.remove(id);
        self.log(format!("{id} is reached again"));
    }

    /// Returns the planner's summary of the fleet.
    pub(crate) fn census(&self) -> Census {
        let targets = self.engines.listed();
        self.planner.census(&FleetView {
            targets: &targets,
            engine: &self.engine,
            stalled: &HashSet::new(),
            slow: &HashSet::new(),
            working: &self.working,
            requests: &self.requests,
            demand: &self.demand,
            urgency: &self.urgency,
            capacity_ratios: &self.capacity_ratios,
            evacuated: &self.evacuated,
            term: self.term,
            wall: self.wall(),
            before_traffic: self.before_traffic,
        })
    }

    pub(crate) fn deliver_late(&mut self) {
        let late = std::mem::take(&mut self.late_orders);
        let (due, rest): (VecDeque<LateOrder>, _) =
            late.into_iter().partition(|l| l.at <= self.now);
        self.late_orders = rest;
        for late in due {
            let reply = self.engines.order(&late.target, &late.order, self.now);
            let (target, order) = (late.target, late.order);
            self.log(format!("{target} {order:?} late: {reply:?}"));
        }
    }

    /// Returns when an order of this name was first sent to a target.
    pub(crate) fn first_order(&self, name: &str, target: &TargetId) -> Option<Millis> {
        let outcome = self
            .orders
            .iter()
            .find(|(_, t, o)| o.name() == name && t == target);
        outcome.map(|(at, _, _)| *at)
    }

    /// Asserts that the engines recorded no breach of an invariant.
    pub(crate) fn assert_no_breaches(&self) {
        let breaches = &self.engines.breaches;
        assert!(breaches.is_empty(), "{breaches:?}");
    }

    /// Returns the listed targets that are in no serving group.
    pub(crate) fn spares(&self) -> Vec<Target> {
        let serving = self.engines.serving();
        let serves = |t: &Target| serving.iter().any(|(_, m)| m.contains(&t.id));
        let targets = self.engines.listed().into_values();
        targets.filter(|t| !serves(t)).collect()
    }

    /// Returns the leader and all members of a serving group of this size.
    pub(crate) fn group_of(&self, size: usize) -> (TargetId, Vec<TargetId>) {
        let mut serving = self.engines.serving().into_iter();
        let group = serving.find(|(_, members)| members.len() == size);
        group.expect("a group of that size serves")
    }

    /// Returns the numbers of serving groups with four members and of other sizes.
    pub(crate) fn sizes(&self) -> (usize, usize) {
        let serving = self.engines.serving();
        let large = serving.iter().filter(|(_, m)| m.len() == 4).count();
        (large, serving.len() - large)
    }
}

/// What happens to an order.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Delivery {
    /// The order is carried out and answered.
    Answered,
    /// The order never arrives.
    Lost,
    /// The engine accepts no connection.
    Refused,
    /// The order is carried out and the answer is lost.
    Unanswered,
    /// The order gets no answer, is carried out, and is carried out once more after a delay.
    Twice(Millis),
    /// The order gets no answer and is carried out after a delay.
    Late(Millis),
}
