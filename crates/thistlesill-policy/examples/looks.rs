//! # What a look at a fleet costs
//!
//! Times one look of a daemon that plans and of one that only watches, before fleets of
//! three sizes that all serve, and what the watching of all daemons costs together.
//!
//! Run with `cargo run --release -p thistlesill-policy --example looks`.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, MemberState, Membership, Target, TargetId};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::fleet::{Demand, FleetPlanner, FleetView};

/// Looks that are timed.
const LOOKS: u32 = 50;
/// Members of each group.
const SIZE: usize = 4;
/// Targets of a domain.
const DOMAIN: usize = 8;
/// Targets before each daemon.
const TARGETS_EACH: usize = 10;
/// Daemons that watch: three of each of three data centres.
const WATCHING: u32 = 9;

fn main() {
    for daemons in [30_u32, 100, 300] {
        let targets = fleet(daemons as usize * TARGETS_EACH);
        let watch = time_watch(&targets);
        let plan = time_plan(&targets);
        println!(
            "{daemons} daemons, {} targets: a look {watch:?} watching, {plan:?} planning; \
             one look of all daemons {:?}, of those that may succeed {:?}",
            targets.len(),
            watch * daemons,
            watch * WATCHING,
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
    let (none, no_requests, no_rooms) = (HashSet::new(), HashMap::new(), HashMap::new());
    let (demand, nowhere) = (Demand::new(), BTreeSet::new());
    time(|now| {
        let view = FleetView {
            targets,
            engine: &engine,
            stalled: &none,
            slow: &none,
            working: &none,
            requests: &no_requests,
            demand: &demand,
            capacity_ratios: &no_rooms,
            evacuated: &nowhere,
            term: 1,
            wall: 0,
            before_traffic: false,
        };
        drop(planner.step(&view, now));
    })
}

/// The mean time of a look after the first ones.
fn time(mut look: impl FnMut(Millis)) -> Duration {
    let at = |number: u32| Millis::new(1_000_000 + 200 * u64::from(number));
    for number in 0..LOOKS {
        look(at(number));
    }
    let begin = Instant::now();
    for number in LOOKS..2 * LOOKS {
        look(at(number));
    }
    begin.elapsed() / LOOKS
}

/// Targets in groups that all serve.
fn fleet(count: usize) -> HashMap<TargetId, Target> {
    let ids: BTreeSet<String> = (0..count).map(|n| format!("i-{n:06x}")).collect();
    let targets = ids.iter().enumerate().map(|(n, id)| target(n, id));
    targets.map(|t| (t.id.clone(), t)).collect()
}

fn target(number: usize, id: &str) -> Target {
    let rank = (number % SIZE) as u32;
    let epoch = (1 << 20) + (number / SIZE) as u64;
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
        domain: Some(format!("d-{}", number / DOMAIN).into()),
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
