//! Replays a trace in a simulation.

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use thistlesill_core::settings::Tree;
use thistlesill_core::{Millis, RequestId};
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::plan::Strategy;
use thistlesill_policy::router::{Arrival, Wanted};

use crate::measure::{Measures, Meter, SAMPLE_INTERVAL};
use crate::stage::{DaemonSpec, Power, STEP, Simulation, SimulationOptions};
use crate::trace::{Arrivals, EventKind, LoadedTrace};

/// The policies that a trace is replayed with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Decisions {
    /// Strategy that planners use to form groups.
    pub strategy: Strategy,
    /// Rule that routers use to pick a group.
    pub rule: PickRule,
}

/// Replays a trace to its end and returns its measures.
pub fn play(loaded: &LoadedTrace, decisions: Decisions) -> Measures {
    let trace = &loaded.trace;
    let mut player = Player::new(loaded, decisions);
    let mut meter = Meter::default();
    let warm_up = Millis::new(trace.warm_up * 1_000);
    let end = Millis::new(trace.seconds * 1_000);
    while player.sim.elapsed() < end {
        if player.sim.elapsed() == warm_up {
            meter.begin(&player.sim);
        }
        player.step();
        if player
            .sim
            .elapsed()
            .get()
            .is_multiple_of(SAMPLE_INTERVAL.get())
        {
            meter.sample(&player.sim);
        }
    }
    // Lets requests in progress end; downtime and stranded time are no longer sampled.
    player.sim.run(Millis::new(60_000));
    meter.end(&player.sim, warm_up)
}

struct Player<'a> {
    loaded: &'a LoadedTrace,
    sim: Simulation,
    rng: StdRng,
    next_event: usize,
    next_request: u128,
    routers: usize,
    tree: Arc<Tree>,
}

impl<'a> Player<'a> {
    fn new(loaded: &'a LoadedTrace, decisions: Decisions) -> Self {
        let trace = &loaded.trace;
        let tree = Arc::new(Tree::new(1, loaded.settings.branches.clone()));
        let halls = loaded.fleet.halls.iter().enumerate();
        let daemons = |letter: char| {
            let daemon = |(n, h): (usize, &thistlesill_fakes::HallSpec)| {
                DaemonSpec::new(&format!("{}-{letter}{n}", h.hall), h.hall.as_str())
            };
            halls.clone().map(daemon).collect::<Vec<DaemonSpec>>()
        };
        let options = SimulationOptions {
            region: loaded.fleet.region.clone(),
            instances: loaded.fleet.instances(),
            tree: tree.clone(),
            planners: daemons('p'),
            routers: daemons('r'),
            checks_orders: loaded.fleet.engine.checks_orders,
            strategy: decisions.strategy,
            rule: decisions.rule,
            engine: trace.engine.clone(),
            seed: trace.seed,
        };
        Self {
            routers: options.routers.len(),
            sim: Simulation::new(options),
            rng: StdRng::seed_from_u64(trace.seed),
            next_event: 0,
            next_request: 1,
            loaded,
            tree,
        }
    }

    fn step(&mut self) {
        self.apply_due_events();
        self.generate_arrivals();
        self.sim.step();
    }

    fn apply_due_events(&mut self) {
        let events = &self.loaded.trace.events;
        while let Some(event) = events.get(self.next_event) {
            if self.sim.elapsed() < Millis::new(event.at * 1_000) {
                return;
            }
            self.next_event += 1;
            self.apply(&event.what);
        }
    }

    fn apply(&mut self, what: &EventKind) {
        let sim = &mut self.sim;
        match what {
            EventKind::Kill(i) => sim.set_power(i.as_str(), Power::Off),
            EventKind::Restart(i) | EventKind::Continue(i) => sim.set_power(i.as_str(), Power::On),
            EventKind::Pause(i) => sim.set_power(i.as_str(), Power::Paused),
            EventKind::Slow(i, factor) => sim.set_slowness(i.as_str(), *factor),
            EventKind::Leave(i) => sim.set_leaving(i.as_str(), true),
            EventKind::Table(mode) => sim.set_table(*mode),
            EventKind::KillPlanner(n) => sim.set_planner_power(*n, Power::Off),
            EventKind::StartPlanner(n) | EventKind::ContinuePlanner(n) => {
                sim.set_planner_power(*n, Power::On);
            }
            EventKind::PausePlanner(n) => sim.set_planner_power(*n, Power::Paused),
            EventKind::Dark(domain) => {
                for i in sim.domain_instances(domain.as_str()) {
                    sim.set_power(i.as_str(), Power::Off);
                }
            }
            EventKind::Light(domain) => {
                for i in sim.domain_instances(domain.as_str()) {
                    sim.set_power(i.as_str(), Power::On);
                }
            }
            EventKind::Edit(path, branch) => {
                let mut branches = self.tree.branches().clone();
                branches.insert(path.clone(), (**branch).clone());
                self.tree = Arc::new(Tree::new(self.tree.revision() + 1, branches));
                sim.set_settings(self.tree.clone());
            }
        }
    }

    fn generate_arrivals(&mut self) {
        let second = self.sim.elapsed().get() / 1_000;
        let step = STEP.get() as f64 / 1_000.0;
        for n in 0..self.loaded.trace.arrivals.len() {
            let arrivals = self.loaded.trace.arrivals[n].clone();
            if second < arrivals.from || second >= arrivals.until {
                continue;
            }
            let expected = arrivals.rate * step;
            let mut count = expected as u32;
            count += u32::from(self.rng.random_bool(expected.fract()));
            for _ in 0..count {
                self.submit(&arrivals);
            }
        }
    }

    fn submit(&mut self, arrivals: &Arrivals) {
        let model = self.model();
        let prompt = arrivals
            .prompts
            .map(|p| self.rng.random_range(0..u64::from(p.max(1))));
        // Answer lengths vary by up to half of the mean in each direction.
        let tokens = self
            .rng
            .random_range(arrivals.tokens / 2..=arrivals.tokens * 3 / 2);
        let router = self.rng.random_range(0..self.routers);
        let arrival = Arrival {
            request: RequestId::new(self.next_request),
            customer: arrivals.customer.clone(),
            wanted: Wanted::Model(model),
            prefix: prompt,
            deadline: Some(Millis::new(arrivals.due_ms)),
            priority: arrivals.priority,
            repeatable: None,
            key: None,
            body: String::new(),
            resume: None,
        };
        self.next_request += 1;
        let due = Millis::new(arrivals.due_ms);
        self.sim.submit(router, arrival, tokens.max(1), due);
    }

    fn model(&self) -> thistlesill_core::Model {
        let root = self.tree.branches().get("/");
        root.and_then(|b| b.model.clone()).unwrap_or_default()
    }
}
