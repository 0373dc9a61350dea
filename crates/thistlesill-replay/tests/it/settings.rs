//! An accepted settings change is in force and never reverts.

use thistlesill_core::Millis;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::router::{RouterCore, RouterEvent, RouterOptions};
use thistlesill_replay::stage::Power;

use crate::support::{options, root, serving, tree};

#[test]
fn lower_revision_is_never_in_force() {
    let mut stage = serving(options(), 2);
    stage.settings(tree(5, root()));
    stage.settings(tree(3, root()));
    stage.run(Millis::new(1_000));
    for n in 0..2 {
        assert_eq!(stage.router(n).status().revision, 5);
    }
    for n in 0..3 {
        assert_eq!(stage.planner(n).status(stage.now()).revision, 5);
    }
}

#[test]
fn revisions_on_the_time_line_only_rise() {
    let mut stage = serving(options(), 2);
    for revision in [4, 2, 7, 7, 6, 9] {
        stage.settings(tree(revision, root()));
        stage.run(Millis::new(200));
    }
    stage.router_power(0, Power::Off);
    stage.router_power(0, Power::On);
    let mut last = std::collections::BTreeMap::new();
    for record in stage.records() {
        if let TimelineEvent::SettingsInForce { revision } = record.what {
            let before = last.insert(record.node.clone(), revision).unwrap_or(0);
            // A daemon that starts anew begins again, from what it is given.
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
    let mut core = RouterCore::new(options).expect("sound charts");
    assert!(!core.is_ready());
    core.step(RouterEvent::Settings(tree(1, root())), Millis::new(1));
    assert!(core.is_ready());
}
