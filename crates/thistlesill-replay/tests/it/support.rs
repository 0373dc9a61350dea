//! A small hall for simulations, and helpers that query what happened.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use thistlesill_core::report::ListedInstance;
use thistlesill_core::settings::{Branch, Cover, Shape, Tree};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{GroupId, Millis, RequestId};
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::plan::Strategy;
use thistlesill_policy::router::{Arrival, Wanted};
use thistlesill_replay::stage::{DaemonSpec, EngineModel, Simulation, SimulationOptions};

/// Age at which a member's report becomes invalid, as set in the settings.
pub(crate) const PRESENCE_WINDOW: Millis = Millis::new(4_000);

/// Returns a listed instance of hall `h` in a domain.
pub(crate) fn listed_instance(domain: &str, n: u32) -> ListedInstance {
    ListedInstance {
        instance: format!("{domain}-{n:02}").into(),
        region: "r".into(),
        hall: "h".into(),
        domain: domain.into(),
        generation: "new".into(),
        accelerators: 8,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        leaving: false,
        service: None,
    }
}

/// Returns the root branch of the settings: groups of 4 instances, and one spare.
pub(crate) fn root() -> Branch {
    Branch {
        model: Some("m".into()),
        version: Some("1".into()),
        shapes: Some(vec![Shape {
            generation: "new".into(),
            instances: 4,
        }]),
        downtime_weight: Some(0.8),
        spares: Some(1),
        checks_orders: Some(true),
        presence_ms: Some(PRESENCE_WINDOW.get()),
        drain_ms: Some(60_000),
        slots: Some(8),
        loads: Some(4),
        deadline_ms: Some(20_000),
        attempts: Some(4),
        retry_percent: Some(50),
        ..Branch::default()
    }
}

/// Returns a settings tree with a root branch and the customers `a` and `b`.
pub(crate) fn tree(revision: u64, root: Branch) -> Arc<Tree> {
    let customer = |name: &str| Branch {
        covers: Some(Cover::Customer(name.into())),
        ..Branch::default()
    };
    let branches = BTreeMap::from([
        ("/".to_owned(), root),
        ("/a".to_owned(), customer("a")),
        ("/b".to_owned(), customer("b")),
    ]);
    Arc::new(Tree::new(revision, branches))
}

/// Returns options for a hall with nine instances in domain `d`, three planners and two routers.
pub(crate) fn options() -> SimulationOptions {
    SimulationOptions {
        region: "r".into(),
        instances: (0..9).map(|n| listed_instance("d", n)).collect(),
        tree: tree(1, root()),
        planners: vec![
            DaemonSpec::new("p0", "h"),
            DaemonSpec::new("p1", "h"),
            DaemonSpec::new("p2", "h"),
        ],
        routers: vec![DaemonSpec::new("r0", "h"), DaemonSpec::new("r1", "h")],
        checks_orders: true,
        strategy: Strategy::default(),
        rule: PickRule::default(),
        engine: EngineModel {
            load: Millis::new(2_000),
            ..EngineModel::default()
        },
        seed: 7,
    }
}

/// Starts a simulation and waits until `groups` groups serve.
pub(crate) fn serving(options: SimulationOptions, groups: usize) -> Simulation {
    let mut sim = Simulation::new(options);
    let formed = wait_until(&mut sim, 40_000, |s| {
        s.router(0).roster().servers.len() == groups
    });
    assert!(formed, "groups formed: {:?}", sim.router(0).roster());
    sim
}

/// Advances the simulation until a condition is met, by at most `limit` milliseconds, and returns
/// whether it is met.
pub(crate) fn wait_until(
    sim: &mut Simulation,
    limit: u64,
    condition: impl Fn(&Simulation) -> bool,
) -> bool {
    let end = sim.elapsed() + Millis::new(limit);
    while sim.elapsed() < end {
        if condition(sim) {
            return true;
        }
        sim.step();
    }
    condition(sim)
}

/// Returns a completion request of customer `a`.
pub(crate) fn chat(number: u128) -> Arrival {
    Arrival {
        request: RequestId::new(number),
        customer: "a".into(),
        wanted: Wanted::Model("m".into()),
        prefix: None,
        deadline: None,
        priority: None,
        repeatable: None,
        key: None,
        body: "b".into(),
        resume: None,
    }
}

/// Returns a request of customer `a` with an idempotency key that may run only once.
pub(crate) fn keyed(number: u128, key: &str) -> Arrival {
    Arrival {
        key: Some(key.to_owned()),
        repeatable: Some(false),
        ..chat(number)
    }
}

/// Returns the index of the planner that holds the lease.
pub(crate) fn holder(sim: &Simulation) -> usize {
    let holds = |n: &usize| !sim.planner(*n).status(sim.now()).holds.is_empty();
    (0..3).find(holds).expect("a planner holds the lease")
}

/// Returns the groups that requests were sent to from `since` on, with the times.
pub(crate) fn sends_since(sim: &Simulation, since: Millis) -> Vec<(GroupId, Millis)> {
    let start = sim.now() - sim.elapsed();
    let records = sim.records().iter();
    records
        .filter_map(|r| match &r.what {
            TimelineEvent::Sent { group, .. } => {
                let at = Millis::new(r.stamp.wall) - start;
                (at >= since).then(|| (group.clone(), at))
            }
            _ => None,
        })
        .collect()
}

/// Sends `count` requests, one every two steps, through both routers in turn.
pub(crate) fn send_load(sim: &mut Simulation, first: u128, count: u128) {
    for n in 0..count {
        let router = (n % 2) as usize;
        sim.submit(router, chat(first + n), 20, Millis::new(20_000));
        sim.step();
        sim.step();
    }
}

/// Asserts that every request so far has exactly one answer, and that none that ran was answered
/// with an error which says that it did not run.
pub(crate) fn assert_answers_consistent(sim: &Simulation) {
    use thistlesill_core::error::Ran;
    use thistlesill_replay::stage::Answer;
    for (request, record) in sim.requests() {
        assert_eq!(record.answers.len(), 1, "{request}: {record:?}");
        let ran = sim.runs().get(&request.to_string()).copied().unwrap_or(0);
        if let Answer::Failed(kind) = &record.answers[0].1
            && kind.answer().ran == Ran::No
        {
            assert_eq!(ran, 0, "{request} ran but failed with {kind}");
        }
    }
}
