//! Random runs: engines die, leave and vanish from the list, orders are lost,
//! late or unanswered, and planners take over from each other.

use quickcheck::TestResult;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use thistlesill_core::Millis;
use thistlesill_core::edge::{Incarnation, TargetId};
use thistlesill_fakes::seeded;
use thistlesill_policy::edge::fleet::FleetPlanner;

use crate::stage::{Delivery, STEP, Simulation};

/// Steps of one run, 50 s.
const STEPS: u32 = 500;

fn disturb(stage: &mut Simulation, rng: &mut SmallRng) {
    let mut ids: Vec<TargetId> = stage.engines.listed().into_keys().collect();
    ids.sort();
    if ids.is_empty() {
        return;
    }
    let id = ids[rng.random_range(0..ids.len())].clone();
    match rng.random_range(0..200) {
        0 => stage.engines.kill(&id),
        1 => stage.engines.unlist(&id),
        2 => stage.engines.leave(&id),
        3 => {
            // The new planner has watched the list like every daemon.
            let mut other = FleetPlanner::default();
            other.watch(&stage.engines.listed(), stage.now);
            stage.planner = other;
            stage.term += 1;
        }
        4 => {
            let number = 48 + rng.random_range(0..40);
            stage.engines.add(number);
        }
        _ => {}
    }
}

/// Now and then callers ask for other models than before. The draws are apart
/// from the others, so that older seeds meet the same disturbances.
fn turn_demand(stage: &mut Simulation, rng: &mut SmallRng) {
    if rng.random_range(0..50) > 0 {
        return;
    }
    let work: u32 = rng.random_range(0..80);
    for (model, work) in [("large", work), ("small", 80 - work)] {
        stage.demand.insert(model.into(), f64::from(work) / 10.0);
    }
}

/// Now and then an engine starts again under its id, dead or alive; its clock may have
/// jumped back. The draws are apart from the others, too.
fn restart(stage: &mut Simulation, rng: &mut SmallRng) {
    if rng.random_range(0..60) > 0 {
        return;
    }
    let mut ids: Vec<TargetId> = stage.engines.listed().into_keys().collect();
    ids.sort();
    if let Some(id) = ids.choose(rng) {
        let born = Incarnation::new(rng.random_range(1..u64::MAX));
        stage.engines.restart(id, born);
    }
}

fn fate(rng: &mut SmallRng) -> Delivery {
    match rng.random_range(0..20) {
        0 => Delivery::Lost,
        1 => Delivery::Unanswered,
        2 => Delivery::Late(Millis::new(rng.random_range(2_000..12_000))),
        _ => Delivery::Answered,
    }
}

fn play(seed: u64) -> Simulation {
    play_with(seed, false)
}

fn play_with(seed: u64, restarts: bool) -> Simulation {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut asking = SmallRng::seed_from_u64(!seed);
    let mut starting = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut stage = Simulation::new(6);
    for step in 0..STEPS {
        stage.now = stage.now + STEP;
        stage.before_traffic = step < 100;
        stage.engines.advance(stage.now);
        stage.deliver_late();
        if step > 60 {
            disturb(&mut stage, &mut rng);
            turn_demand(&mut stage, &mut asking);
            if restarts {
                restart(&mut stage, &mut starting);
            }
        }
        stage.step_planner(|_| fate(&mut rng));
    }
    stage
}

seeded! {
    fn no_group_serves_without_its_members_and_none_shares_one(seed: u64) -> TestResult {
        let stage = play(seed);
        match stage.engines.breaches.first() {
            None => TestResult::passed(),
            Some(breach) => TestResult::error(format!("seed {seed}: {breach}")),
        }
    }

    fn none_does_where_engines_start_again_under_their_ids(seed: u64) -> TestResult {
        let stage = play_with(seed, true);
        match stage.engines.breaches.first() {
            None => TestResult::passed(),
            Some(breach) => TestResult::error(format!("seed {seed}: {breach}")),
        }
    }
}

/// Seeds that once broke a promise, with the cause.
const CASES: [(u64, &str); 1] = [(
    581,
    "a member left while the order to open was under way: the leader opened \
     after the others had been given to another group",
)];

#[test]
fn seeds_that_once_failed_pass() {
    for (seed, cause) in CASES {
        let breaches = play(seed).engines.breaches;
        assert!(breaches.is_empty(), "seed {seed} ({cause}): {breaches:?}");
    }
}
