//! Processor time per step of the cores.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use thistlesill_core::message::{Heartbeat, ObservedState, Sighting};
use thistlesill_core::report::{Duty, ListedInstance, Load, Membership, Pressure, Report};
use thistlesill_core::settings::{Branch, Shape, Tree};
use thistlesill_core::{InstanceId, Millis, RequestId};
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::placement::{ExistingGroup, FreeInstance, Pool, PoolKey, Want, place};
use thistlesill_policy::presence::{View, Watch, WatchPeriods};
use thistlesill_policy::router::{
    Arrival, AttemptEvent, RouterAction, RouterCore, RouterEvent, RouterOptions, Wanted,
};
use thistlesill_policy::serving::derive_servers;

use super::fit::{Point, Slope, min_micros};

/// Members per group at the size that the system is designed for.
const MEMBERS: usize = 16;
const NOW: Millis = Millis::new(1_000_000_000);
const WINDOW: Millis = Millis::new(4_000);
const ROUNDS: usize = 5;

pub(super) fn slopes() -> Vec<Slope> {
    vec![
        slope(
            "router: beat without changes",
            "watcher",
            &[1, 10, 40],
            unchanged_heartbeat,
        ),
        slope(
            "router: roster derived",
            "target",
            &[48, 192, 704],
            server_list,
        ),
        slope(
            "router: request, sent to ended",
            "group in view",
            &[3, 50, 800],
            request,
        ),
        slope(
            "watcher: report taken in",
            "target watched",
            &[16, 64, 256],
            record_report,
        ),
        slope(
            "watcher: beat made",
            "target watched",
            &[16, 64, 256],
            make_heartbeat,
        ),
        slope(
            "planner: pool placed after a death",
            "instance",
            &[50, 200, 1_000],
            place_pool,
        ),
    ]
}

fn slope(
    name: &'static str,
    per: &'static str,
    sizes: &[usize],
    cost: impl Fn(usize) -> f64,
) -> Slope {
    let point = |size: &usize| Point {
        size: *size as f64,
        cost: cost(*size),
    };
    Slope {
        name,
        per,
        unit: "us",
        points: sizes.iter().map(point).collect(),
    }
}

fn instance(n: usize) -> InstanceId {
    InstanceId::new(format!("hall-domain-{n:05}"))
}

fn membership(n: usize) -> Membership {
    Membership {
        group: format!("hall-1.{}", n / MEMBERS).into(),
        epoch: (n / MEMBERS) as u64,
        rank: (n % MEMBERS) as u32,
        size: MEMBERS as u32,
        load: Load {
            model: "model".into(),
            version: "1".into(),
            adapters: vec!["a".into(), "b".into()],
        },
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + (n % 60_000) as u16))
}

/// Returns a watcher's entry for ready target `n`.
pub(super) fn sighting(n: usize) -> Sighting {
    Sighting {
        instance: instance(n),
        hall: "hall".into(),
        domain: "hall-domain".into(),
        generation: "new".into(),
        accelerators: 4,
        address: address(n),
        incarnation: 1,
        leaving: false,
        state: ObservedState::Ready(membership(n)),
    }
}

/// Returns a watcher's heartbeat.
pub(super) fn heartbeat(seq: u64, changes: u64, changed: Vec<Sighting>) -> Heartbeat {
    Heartbeat {
        seq,
        run: 1,
        oldest: Millis::new(500),
        changes,
        changed,
        gauges: Vec::new(),
    }
}

/// Returns a view of `count` targets, each reported by three watchers.
fn view(count: usize) -> View {
    let mut view = View::new();
    for watcher in ["p0", "p1", "p2"] {
        let all: Vec<Sighting> = (0..count).map(sighting).collect();
        view.apply_heartbeat(&watcher.into(), &heartbeat(1, count as u64, all), 0, NOW);
    }
    view
}

fn unchanged_heartbeat(watchers: usize) -> f64 {
    let mut view = View::new();
    let names: Vec<_> = (0..watchers).map(|n| format!("p{n}").into()).collect();
    for name in &names {
        let all: Vec<Sighting> = (0..54).map(sighting).collect();
        view.apply_heartbeat(name, &heartbeat(1, 54, all), 0, NOW);
    }
    min_micros(ROUNDS, 2_000, |n| {
        let name = &names[n % watchers];
        let seq = 2 + (n / watchers) as u64;
        view.apply_heartbeat(name, &heartbeat(seq, 54, Vec::new()), 0, NOW);
    })
}

fn server_list(count: usize) -> f64 {
    let view = view(count);
    min_micros(ROUNDS, 20, |_| {
        let list = derive_servers(&view, NOW, WINDOW);
        assert_eq!(list.servers.len(), count / MEMBERS);
    })
}

/// Returns the settings that the routers are measured with.
pub(super) fn tree() -> Arc<Tree> {
    let root = Branch {
        model: Some("model".into()),
        version: Some("1".into()),
        shapes: Some(vec![Shape {
            generation: "new".into(),
            instances: MEMBERS as u32,
        }]),
        downtime_weight: Some(0.5),
        slots: Some(256),
        ..Branch::default()
    };
    Arc::new(Tree::new(1, [("/".to_owned(), root)].into()))
}

/// Returns a router that sees `groups` ready groups.
fn router(groups: usize) -> RouterCore {
    let options = RouterOptions {
        name: "r0".into(),
        region: "r".into(),
        hall: "hall".into(),
        max_waiting: 512,
        balancer_grace: Millis::new(3_000),
        stop_timeout: Millis::new(60_000),
        seed: 1,
        rule: PickRule::default(),
    };
    let mut core = RouterCore::new(options).expect("valid charts");
    core.step(RouterEvent::Settings(tree()), NOW);
    for watcher in ["p0", "p1", "p2"] {
        let all: Vec<Sighting> = (0..groups * MEMBERS).map(sighting).collect();
        let event = RouterEvent::Heartbeat {
            from: watcher.into(),
            heartbeat: heartbeat(1, all.len() as u64, all),
            lag: 0,
        };
        core.step(event, NOW);
    }
    core
}

/// Measures a request with sixteen pieces, from its arrival to its end.
fn request(groups: usize) -> f64 {
    const PIECES: u32 = 16;
    let mut core = router(groups);
    min_micros(ROUNDS, 2_000, |n| {
        let id = RequestId::new(n as u128 + 1);
        let arrival = Arrival {
            request: id,
            customer: "c".into(),
            wanted: Wanted::Model("model".into()),
            prefix: Some(n as u64 % 100),
            deadline: None,
            priority: None,
            repeatable: None,
            key: None,
            body: String::new(),
            resume: None,
        };
        let actions = core.step(RouterEvent::Arrive(Box::new(arrival)), NOW);
        let sent = actions.into_iter().find_map(|a| match a {
            RouterAction::Send(d) => Some(d),
            _ => None,
        });
        let sent = sent.expect("the request is sent");
        for offset in 0..=PIECES {
            let what = if offset < PIECES {
                AttemptEvent::Piece {
                    request: id,
                    key: sent.key.clone(),
                    offset,
                    text: "some words".into(),
                }
            } else {
                AttemptEvent::End {
                    request: id,
                    key: sent.key.clone(),
                    count: PIECES,
                    reason: "stop".into(),
                }
            };
            let event = RouterEvent::Attempt {
                request: id,
                attempt: 1,
                what,
            };
            core.step(event, NOW);
        }
        assert!(!core.is_under_way(id));
    })
}

fn listed(n: usize) -> ListedInstance {
    ListedInstance {
        instance: instance(n),
        region: "r".into(),
        hall: "hall".into(),
        domain: "hall-domain".into(),
        generation: "new".into(),
        accelerators: 4,
        address: address(n),
        leaving: false,
        service: None,
    }
}

/// Returns the report of ready target `n`.
pub(super) fn report(n: usize) -> Report {
    Report {
        instance: instance(n),
        incarnation: 1,
        duty: Duty::Ready(membership(n)),
        fence: thistlesill_core::report::Fence::default(),
        leaving: false,
        pressure: Pressure::default(),
        cache: Vec::new(),
    }
}

fn watch(count: usize) -> Watch {
    let mut watch = Watch::new(1, WatchPeriods::new(Millis::new(1_000)));
    let assigned: Vec<ListedInstance> = (0..count).map(listed).collect();
    watch.assign(&assigned, NOW);
    for n in 0..count {
        watch.record_report(report(n), NOW, NOW);
    }
    for _ in 0..count {
        watch.next_heartbeat(NOW);
    }
    watch
}

fn record_report(count: usize) -> f64 {
    let mut watch = watch(count);
    min_micros(ROUNDS, 2_000, |n| {
        let at = NOW + Millis::new(n as u64 / count as u64);
        watch.record_report(report(n % count), at, at);
    })
}

fn make_heartbeat(count: usize) -> f64 {
    let mut watch = watch(count);
    min_micros(ROUNDS, 500, |_| {
        let heartbeat = watch.next_heartbeat(NOW);
        assert!(heartbeat.changed.is_empty());
    })
}

/// Measures the placement of a pool that misses one group because a member was lost.
fn place_pool(instances: usize) -> f64 {
    let groups = instances / MEMBERS - 1;
    let pool = Pool {
        key: PoolKey {
            domain: "d".into(),
            generation: "new".into(),
        },
        want: Want {
            load: Load::default(),
            shapes: vec![Shape {
                generation: "new".into(),
                instances: MEMBERS as u32,
            }],
            downtime_weight: 0.5,
            spares: 2,
        },
        free: (groups * MEMBERS..instances - 1)
            .map(|n| FreeInstance {
                instance: instance(n),
                warm: true,
            })
            .collect(),
        groups: (0..groups)
            .map(|n| ExistingGroup {
                group: format!("g{n}").into(),
                size: MEMBERS as u32,
                settled: true,
            })
            .collect(),
        ending: 0,
        missing: 1,
        steady: Millis::ZERO,
    };
    min_micros(ROUNDS, 200, |_| {
        let placement = place(std::slice::from_ref(&pool), NOW);
        assert!(!placement.form.is_empty());
    })
}
