//! A leaving target receives no new work after a few seconds, and a planned
//! stop cuts off no request.

use thistlesill_core::Millis;
use thistlesill_replay::stage::{Answer, Power, Stage, TableMode};

use crate::support::{chat, load, options, root, sends_since, serving, tree, wait};

/// The time after which a leaving target must get nothing new.
const FEW_SECONDS: Millis = Millis::new(3_000);

fn assert_left_alone(stage: &mut Stage, instance: &str) {
    let group = stage
        .target(instance)
        .duty
        .membership()
        .expect("a member")
        .group
        .clone();
    let at = stage.elapsed();
    load(stage, 1, 100);
    let late = sends_since(stage, at + FEW_SECONDS);
    assert!(!late.is_empty(), "the other group takes the work");
    assert!(late.iter().all(|(g, _)| *g != group), "{late:?}");
}

#[test]
fn listed_as_leaving() {
    let mut stage = serving(options(), 2);
    stage.leave("d-00", true);
    assert_left_alone(&mut stage, "d-00");
}

#[test]
fn listed_as_leaving_while_nobody_can_give_orders() {
    let mut stage = serving(options(), 2);
    stage.set_table(TableMode::Down);
    stage.run(Millis::new(15_000));
    stage.leave("d-00", true);
    assert_left_alone(&mut stage, "d-00");
}

#[test]
fn says_itself_that_it_leaves_while_the_list_is_stuck() {
    let mut stage = serving(options(), 2);
    stage.freeze_list(true);
    stage.leave("d-00", true);
    stage.say_leaving("d-00");
    assert_left_alone(&mut stage, "d-00");
}

#[test]
fn list_alone_while_the_target_says_nothing() {
    let mut stage = serving(options(), 2);
    stage.leave("d-03", true);
    assert_left_alone(&mut stage, "d-03");
    assert!(wait(&mut stage, 60_000, |s| s
        .target("d-03")
        .duty
        .membership()
        .is_none()));
    assert!(wait(&mut stage, 30_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
}

/// Starts long answers, does something, and asserts that none was cut.
fn cuts_none(act: impl FnOnce(&mut Stage)) -> Stage {
    let mut stage = serving(options(), 2);
    for n in 0..12 {
        stage.ask((n % 2) as usize, chat(n), 300, Millis::new(60_000));
    }
    stage.run(Millis::new(1_000));
    act(&mut stage);
    stage.run(Millis::new(60_000));
    for n in 0..12 {
        let request = chat(n).request;
        assert_eq!(stage.answer(request), Some(&Answer::Whole), "request {n}");
        assert_eq!(stage.runs()[&request.to_string()], 1, "request {n}");
    }
    stage
}

#[test]
fn leaving_member_cuts_no_stream() {
    let stage = cuts_none(|stage| stage.leave("d-00", true));
    assert_eq!(
        stage.router(0).roster().servers.len(),
        2,
        "the spare took its place"
    );
}

#[test]
fn changed_version_cuts_no_stream() {
    let stage = cuts_none(|stage| {
        let mut changed = root();
        changed.version = Some("2".into());
        stage.settings(tree(2, changed));
    });
    let servers = &stage.router(0).roster().servers;
    assert!(!servers.is_empty());
}

#[test]
fn changed_version_reaches_all_groups_one_at_a_time() {
    let mut stage = serving(options(), 2);
    let mut changed = root();
    changed.version = Some("2".into());
    stage.settings(tree(2, changed));
    let mut least = 2;
    for _ in 0..2_400 {
        stage.step();
        least = least.min(stage.router(0).roster().servers.len());
    }
    assert_eq!(least, 1, "one group at a time");
    let versions: Vec<String> = ["d-00", "d-07"]
        .iter()
        .filter_map(|i| stage.target(i).duty.membership())
        .map(|m| m.load.version.to_string())
        .collect();
    assert!(
        !versions.is_empty() && versions.iter().all(|v| v == "2"),
        "{versions:?}"
    );
    assert_eq!(stage.router(0).roster().servers.len(), 2);
}

#[test]
fn stopped_planner_cuts_no_stream() {
    cuts_none(|stage| {
        for n in 0..3 {
            stage.stop_planner(n);
            stage.planner_power(n, Power::On);
            stage.run(Millis::new(2_000));
        }
    });
}

#[test]
fn stopped_router_ends_its_streams_first() {
    let mut stage = serving(options(), 2);
    stage.ask(0, chat(1), 300, Millis::new(60_000));
    stage.run(Millis::new(1_000));
    stage.stop_router(0);
    stage.run(Millis::new(500));
    // The balancer may not have noticed yet: requests are still taken.
    stage.ask(0, chat(2), 10, Millis::new(60_000));
    stage.run(Millis::new(10_000));
    stage.ask(0, chat(3), 10, Millis::new(60_000));
    stage.run(Millis::new(30_000));
    assert_eq!(stage.answer(chat(1).request), Some(&Answer::Whole));
    assert_eq!(stage.answer(chat(2).request), Some(&Answer::Whole));
    let refused = Answer::Failed(thistlesill_core::ErrorKind::NotReady);
    assert_eq!(stage.answer(chat(3).request), Some(&refused));
    assert!(!stage.router(0).is_ready());
}
