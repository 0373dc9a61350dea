//! Plays a trace on a stage.

use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use thistlesill_core::settings::Tree;
use thistlesill_core::{Millis, RequestId};
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::plan::Strategy;
use thistlesill_policy::router::{Arrival, Wanted};

use crate::measure::{Measures, Meter, SAMPLE};
use crate::stage::{Power, STEP, Seat, Stage, StageOptions};
use crate::trace::{Arrivals, Loaded, What};

/// The decisions that a trace is played with.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Decisions {
    /// How groups are formed.
    pub strategy: Strategy,
    /// How groups are picked.
    pub rule: PickRule,
}

/// Plays a trace to its end and measures it.
pub fn play(loaded: &Loaded, decisions: Decisions) -> Measures {
    let trace = &loaded.trace;
    let mut player = Player::new(loaded, decisions);
    let mut meter = Meter::default();
    let warm_up = Millis::new(trace.warm_up * 1_000);
    let end = Millis::new(trace.seconds * 1_000);
    while player.stage.elapsed() < end {
        if player.stage.elapsed() == warm_up {
            meter.begin(&player.stage);
        }
        player.step();
        if player.stage.elapsed().get().is_multiple_of(SAMPLE.get()) {
            meter.sample(&player.stage);
        }
    }
    // What is under way comes to its end, unmeasured.
    player.stage.run(Millis::new(60_000));
    meter.end(&player.stage, warm_up)
}

struct Player<'a> {
    loaded: &'a Loaded,
    stage: Stage,
    rng: StdRng,
    next_event: usize,
    next_request: u128,
    routers: usize,
    tree: Arc<Tree>,
}

impl<'a> Player<'a> {
    fn new(loaded: &'a Loaded, decisions: Decisions) -> Self {
        let trace = &loaded.trace;
        let tree = Arc::new(Tree::new(1, loaded.settings.branches.clone()));
        let halls = loaded.fleet.halls.iter().enumerate();
        let seats = |letter: char| {
            let seat = |(n, h): (usize, &thistlesill_fakes::HallSpec)| {
                Seat::new(&format!("{}-{letter}{n}", h.hall), h.hall.as_str())
            };
            halls.clone().map(seat).collect::<Vec<Seat>>()
        };
        let options = StageOptions {
            region: loaded.fleet.region.clone(),
            places: loaded.fleet.instances(),
            tree: tree.clone(),
            planners: seats('p'),
            routers: seats('r'),
            checks: loaded.fleet.engine.checks_orders,
            strategy: decisions.strategy,
            rule: decisions.rule,
            model: trace.engine.clone(),
            seed: trace.seed,
        };
        Self {
            routers: options.routers.len(),
            stage: Stage::new(options),
            rng: StdRng::seed_from_u64(trace.seed),
            next_event: 0,
            next_request: 1,
            loaded,
            tree,
        }
    }

    fn step(&mut self) {
        self.happen();
        self.arrive();
        self.stage.step();
    }

    fn happen(&mut self) {
        let events = &self.loaded.trace.events;
        while let Some(event) = events.get(self.next_event) {
            if self.stage.elapsed() < Millis::new(event.at * 1_000) {
                return;
            }
            self.next_event += 1;
            self.apply(&event.what);
        }
    }

    fn apply(&mut self, what: &What) {
        let stage = &mut self.stage;
        match what {
            What::Kill(i) => stage.power(i.as_str(), Power::Off),
            What::Restart(i) | What::Continue(i) => stage.power(i.as_str(), Power::On),
            What::Pause(i) => stage.power(i.as_str(), Power::Paused),
            What::Slow(i, factor) => stage.slow(i.as_str(), *factor),
            What::Leave(i) => stage.leave(i.as_str(), true),
            What::Table(mode) => stage.set_table(*mode),
            What::KillPlanner(n) => stage.planner_power(*n, Power::Off),
            What::StartPlanner(n) | What::ContinuePlanner(n) => {
                stage.planner_power(*n, Power::On);
            }
            What::PausePlanner(n) => stage.planner_power(*n, Power::Paused),
            What::Dark(domain) => {
                for i in stage.domain(domain.as_str()) {
                    stage.power(i.as_str(), Power::Off);
                }
            }
            What::Light(domain) => {
                for i in stage.domain(domain.as_str()) {
                    stage.power(i.as_str(), Power::On);
                }
            }
            What::Edit(path, branch) => {
                let mut branches = self.tree.branches().clone();
                branches.insert(path.clone(), (**branch).clone());
                self.tree = Arc::new(Tree::new(self.tree.revision() + 1, branches));
                stage.settings(self.tree.clone());
            }
        }
    }

    fn arrive(&mut self) {
        let second = self.stage.elapsed().get() / 1_000;
        let step = STEP.get() as f64 / 1_000.0;
        for n in 0..self.loaded.trace.arrivals.len() {
            let flow = self.loaded.trace.arrivals[n].clone();
            if second < flow.from || second >= flow.until {
                continue;
            }
            let expected = flow.rate * step;
            let mut count = expected as u32;
            count += u32::from(self.rng.random_bool(expected.fract()));
            for _ in 0..count {
                self.ask(&flow);
            }
        }
    }

    fn ask(&mut self, flow: &Arrivals) {
        let model = self.model();
        let prompt = flow
            .prompts
            .map(|p| self.rng.random_range(0..u64::from(p.max(1))));
        // Answers vary in length, by a half to each side.
        let tokens = self.rng.random_range(flow.tokens / 2..=flow.tokens * 3 / 2);
        let router = self.rng.random_range(0..self.routers);
        let arrival = Arrival {
            request: RequestId::new(self.next_request),
            customer: flow.customer.clone(),
            wanted: Wanted::Model(model),
            prefix: prompt,
            deadline: Some(Millis::new(flow.due_ms)),
            priority: flow.priority,
            repeatable: None,
            key: None,
            body: String::new(),
            resume: None,
        };
        self.next_request += 1;
        let due = Millis::new(flow.due_ms);
        self.stage.ask(router, arrival, tokens.max(1), due);
    }

    fn model(&self) -> thistlesill_core::Model {
        let root = self.tree.branches().get("/");
        root.and_then(|b| b.model.clone()).unwrap_or_default()
    }
}
