//! A small hall for sessions, and questions about what happened.

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
use thistlesill_replay::stage::{EngineModel, Seat, Stage, StageOptions};

/// The presence window of the sessions.
pub(crate) const WINDOW: Millis = Millis::new(4_000);

/// An instance of hall `h` in a domain.
pub(crate) fn place(domain: &str, n: u32) -> ListedInstance {
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

/// The root of the sessions' settings: groups of 4, one spare.
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
        presence_ms: Some(WINDOW.get()),
        drain_ms: Some(60_000),
        slots: Some(8),
        loads: Some(4),
        deadline_ms: Some(20_000),
        attempts: Some(4),
        retry_percent: Some(50),
        ..Branch::default()
    }
}

/// A tree with this root and customers `a` and `b`.
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

/// Options for a hall with nine instances in domain `d`.
pub(crate) fn options() -> StageOptions {
    StageOptions {
        region: "r".into(),
        places: (0..9).map(|n| place("d", n)).collect(),
        tree: tree(1, root()),
        planners: vec![
            Seat::new("p0", "h"),
            Seat::new("p1", "h"),
            Seat::new("p2", "h"),
        ],
        routers: vec![Seat::new("r0", "h"), Seat::new("r1", "h")],
        checks: true,
        strategy: Strategy::default(),
        rule: PickRule::default(),
        model: EngineModel {
            load: Millis::new(2_000),
            ..EngineModel::default()
        },
        seed: 7,
    }
}

/// A stage whose groups all serve.
pub(crate) fn serving(options: StageOptions, groups: usize) -> Stage {
    let mut stage = Stage::new(options);
    let formed = wait(&mut stage, 40_000, |s| {
        s.router(0).roster().servers.len() == groups
    });
    assert!(formed, "groups formed: {:?}", stage.router(0).roster());
    stage
}

/// Lets time pass until something holds, at most `limit` milliseconds.
pub(crate) fn wait(stage: &mut Stage, limit: u64, test: impl Fn(&Stage) -> bool) -> bool {
    let end = stage.elapsed() + Millis::new(limit);
    while stage.elapsed() < end {
        if test(stage) {
            return true;
        }
        stage.step();
    }
    test(stage)
}

/// A completion request of customer `a`.
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

/// A request of customer `a` that may run once only.
pub(crate) fn keyed(number: u128, key: &str) -> Arrival {
    Arrival {
        key: Some(key.to_owned()),
        repeatable: Some(false),
        ..chat(number)
    }
}

/// The holder's number among the planners.
pub(crate) fn holder(stage: &Stage) -> usize {
    let holds = |n: &usize| !stage.planner(*n).status(stage.now()).holds.is_empty();
    (0..3).find(holds).expect("a holder")
}

/// The groups that requests were sent to after `since`, with the times.
pub(crate) fn sends_since(stage: &Stage, since: Millis) -> Vec<(GroupId, Millis)> {
    let zero = stage.now() - stage.elapsed();
    let records = stage.records().iter();
    records
        .filter_map(|r| match &r.what {
            TimelineEvent::Sent { group, .. } => {
                let at = Millis::new(r.stamp.wall) - zero;
                (at >= since).then(|| (group.clone(), at))
            }
            _ => None,
        })
        .collect()
}

/// Asks one request a step for a while, through both routers in turn.
pub(crate) fn load(stage: &mut Stage, first: u128, count: u128) {
    for n in 0..count {
        let router = (n % 2) as usize;
        stage.ask(router, chat(first + n), 20, Millis::new(20_000));
        stage.step();
        stage.step();
    }
}

/// Asserts that every request so far has exactly one answer, and that no
/// answer contradicts what ran.
pub(crate) fn assert_answers_true(stage: &Stage) {
    use thistlesill_core::error::Ran;
    use thistlesill_replay::stage::Answer;
    for (request, asked) in stage.asked() {
        assert_eq!(asked.answers.len(), 1, "{request}: {asked:?}");
        let ran = stage.runs().get(&request.to_string()).copied().unwrap_or(0);
        if let Answer::Failed(kind) = &asked.answers[0].1
            && kind.answer().ran == Ran::No
        {
            assert_eq!(ran, 0, "{request} was told {kind}");
        }
    }
}
