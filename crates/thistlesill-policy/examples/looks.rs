//! # Time of a planner's step
//!
//! Measures one step of a daemon that plans and of one that only watches, with fleets of three
//! sizes whose groups all serve, and the time that all watching daemons need together.
//!
//! Run with `cargo run --release -p thistlesill-policy --example looks`.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Membership, Target, TargetId};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::fleet::{Demand, FleetPlanner, FleetView};

/// Number of steps that are timed.
const STEPS: u32 = 50;
/// Members of each group.
const GROUP_SIZE: usize = 4;
/// Targets of each domain.
const DOMAIN_SIZE: usize = 8;
/// Targets per daemon of the fleet.
const TARGETS_PER_DAEMON: usize = 10;
/// Daemons that watch: three in each of three data centres.
const WATCHERS: u32 = 9;

fn main() {
    for daemons in [30_u32, 100, 300] {
        let targets = fleet(daemons as usize * TARGETS_PER_DAEMON);
        let watch = time_watch(&targets);
        let plan = time_plan(&targets);
        println!(
            "{daemons} daemons, {} targets: a step {watch:?} watching, {plan:?} planning; \
             one step of all daemons {:?}, of those that may take over {:?}",
            targets.len(),
            watch * daemons,
            watch * WATCHERS,
        );
    }
}

fn time_watch(targets: &HashMap<TargetId, Target>) -> Duration {
    let mut planner = FleetPlanner::default();
    time(|now| planner.watch(targets, now))
}

fn time_plan(targets: &HashMap<TargetId, Target>) -> Duration {
    let mut planner = FleetPlanner::default();
    let engine = engine();
    let (no_targets, no_requests, no_ratios) = (HashSet::new(), HashMap::new(), HashMap::new());
    let no_urgency = BTreeMap::new();
    let (demand, no_halls) = (Demand::new(), BTreeSet::new());
    time(|now| {
        let view = FleetView {
            targets,
            engine: &engine,
            stalled: &no_targets,
            slow: &no_targets,
            working: &no_targets,
            requests: &no_requests,
            demand: &demand,
            urgency: &no_urgency,
            capacity_ratios: &no_ratios,
            evacuated: &no_halls,
            term: 1,
            wall: 0,
            before_traffic: false,
        };
        drop(planner.step(&view, now));
    })
}

/// Returns the mean time of a step after [`STEPS`] untimed ones.
fn time(mut step: impl FnMut(Millis)) -> Duration {
    let at = |number: u32| Millis::new(1_000_000 + 200 * u64::from(number));
    for number in 0..STEPS {
        step(at(number));
    }
    let begin = Instant::now();
    for number in STEPS..2 * STEPS {
        step(at(number));
    }
    begin.elapsed() / STEPS
}

/// Returns targets in groups that all serve.
fn fleet(count: usize) -> HashMap<TargetId, Target> {
    let ids: BTreeSet<String> = (0..count).map(|n| format!("i-{n:06x}")).collect();
    let targets = ids.iter().enumerate().map(|(n, id)| target(n, id));
    targets.map(|t| (t.id.clone(), t)).collect()
}

fn target(number: usize, id: &str) -> Target {
    let rank = (number % GROUP_SIZE) as u32;
    let epoch = (1 << 20) + (number / GROUP_SIZE) as u64;
    let state = if rank == 0 {
        MemberState::Open
    } else {
        MemberState::Ready
    };
    Target {
        id: TargetId::from(id.to_owned()),
        service: "pool".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 80)),
        hall: "h".into(),
        slots: 26,
        leaving: false,
        warmup: Millis::ZERO,
        domain: Some(format!("d-{}", number / DOMAIN_SIZE).into()),
        staged: vec!["large".into()],
        member: Some(Membership {
            of: GroupRef {
                group: format!("g{epoch:x}").as_str().into(),
                epoch,
            },
            rank,
            state,
            model: Some("large".into()),
        }),
    }
}
