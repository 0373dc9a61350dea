//! An accepted settings change takes effect and is never replaced by an older revision.

use thistlesill_core::Millis;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::router::{RouterCore, RouterEvent, RouterOptions};
use thistlesill_replay::stage::Power;

use crate::support::{options, root, serving, tree};

#[test]
fn lower_revision_is_never_in_force() {
    let mut sim = serving(options(), 2);
    sim.set_settings(tree(5, root()));
    sim.set_settings(tree(3, root()));
    sim.run(Millis::new(1_000));
    for n in 0..2 {
        assert_eq!(sim.router(n).status().revision, 5);
    }
    for n in 0..3 {
        assert_eq!(sim.planner(n).status(sim.now()).revision, 5);
    }
}

#[test]
fn revisions_on_the_time_line_only_rise() {
    let mut sim = serving(options(), 2);
    for revision in [4, 2, 7, 7, 6, 9] {
        sim.set_settings(tree(revision, root()));
        sim.run(Millis::new(200));
    }
    sim.set_router_power(0, Power::Off);
    sim.set_router_power(0, Power::On);
    let mut last = std::collections::BTreeMap::new();
    for record in sim.records() {
        if let TimelineEvent::SettingsInForce { revision } = record.what {
            let before = last.insert(record.node.clone(), revision).unwrap_or(0);
            // A restarted daemon begins with the revision that it receives, here 9 at `r0`.
            let restarted = record.node.as_str() == "r0" && revision == 9;
            assert!(revision > before || restarted, "{record:?}");
        }
    }
}

#[test]
fn not_ready_before_settings() {
    let options = RouterOptions {
        name: "r9".into(),
        region: "r".into(),
        hall: "h".into(),
        max_waiting: 1,
        balancer_grace: Millis::ZERO,
        stop_timeout: Millis::ZERO,
        seed: 1,
        rule: PickRule::default(),
    };
    let mut core = RouterCore::new(options).expect("valid charts");
    assert!(!core.is_ready());
    core.step(RouterEvent::Settings(tree(1, root())), Millis::new(1));
    assert!(core.is_ready());
}
