//! No instance belongs to two groups at once.

use std::collections::BTreeMap;

use thistlesill_core::row::{GroupRow, Held, InstanceRow, plan_prefix};
use thistlesill_core::table::Read;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{GroupId, InstanceId, Millis};
use thistlesill_replay::stage::{Power, Stage, TableMode};

use crate::support::{holder, options, root, serving, tree, wait};

/// Asserts that the plan in the table gives each instance one group at most.
fn assert_plan_sound(stage: &Stage) {
    let mut table = stage.table().clone();
    let prefix = plan_prefix(&"h".into());
    let rows = table.read(&Read {
        prefixes: vec![prefix.into()],
    });
    let mut owner: BTreeMap<InstanceId, GroupId> = BTreeMap::new();
    let mut held: BTreeMap<String, Held> = BTreeMap::new();
    for row in &rows.rows {
        if let Some((_, name)) = row.key.split_once("/plan/instance/") {
            let row: InstanceRow = row.decode().expect("an instance's row");
            held.insert(name.to_owned(), row.held);
        }
    }
    for row in rows.rows.iter().filter(|r| r.key.contains("/plan/group/")) {
        let group: GroupRow = row.decode().expect("a group's row");
        for member in group.members {
            let other = owner.insert(member.clone(), group.group.clone());
            assert_eq!(other, None, "{member} is in two groups");
            let expected = Held::Member {
                group: group.group.clone(),
                epoch: group.epoch,
            };
            assert_eq!(held.get(member.as_str()), Some(&expected));
        }
    }
}

#[test]
fn holder_dies_and_another_takes_over() {
    let mut stage = serving(options(), 2);
    let first = holder(&stage);
    stage.planner_power(first, Power::Off);
    let taken = wait(&mut stage, 15_000, |s| {
        (0..3).any(|n| n != first && !s.planner(n).status(s.now()).holds.is_empty())
    });
    assert!(taken);
    stage.run(Millis::new(5_000));
    assert_plan_sound(&stage);
    assert_eq!(
        stage.whole_groups().len(),
        2,
        "the takeover rebuilt nothing"
    );
}

#[test]
fn no_two_holders_ever() {
    let mut stage = serving(options(), 2);
    for round in 0..6 {
        let first = holder(&stage);
        stage.planner_power(first, Power::Paused);
        for _ in 0..300 {
            stage.step();
            let holders = (0..3).filter(|n| {
                // A paused planner gives no orders; one that runs must not
                // believe that it holds a lease that another holds.
                *n != first && !stage.planner(*n).status(stage.now()).holds.is_empty()
            });
            assert!(holders.count() <= 1, "round {round}");
        }
        stage.planner_power(first, Power::On);
        stage.step();
        let old = stage.planner(first).status(stage.now()).holds;
        assert!(
            old.is_empty(),
            "the lease lapsed while its holder was paused"
        );
    }
    assert_plan_sound(&stage);
}

/// A holder is paused after it checked its lease and before its orders go
/// out; they arrive long after another has taken over.
fn late_orders(checks: bool) -> Stage {
    let mut options = options();
    options.checks = checks;
    let mut changed = root();
    changed.checks_orders = Some(checks);
    options.tree = tree(1, changed);
    let mut stage = Stage::new(options);
    stage.hold_orders(true);
    assert!(wait(&mut stage, 10_000, |s| {
        s.records()
            .iter()
            .any(|r| matches!(r.what, TimelineEvent::Ordered { .. }))
    }));
    let first = holder(&stage);
    stage.planner_power(first, Power::Paused);
    let late = stage.take_held();
    assert!(!late.is_empty());
    stage.hold_orders(false);
    let formed = wait(&mut stage, 60_000, |s| {
        s.router(0).roster().servers.len() == 2
    });
    assert!(formed, "the next holder forms the groups");
    // A failure, so that members have moved on to another group.
    stage.power("d-00", Power::Off);
    assert!(wait(&mut stage, 30_000, |s| {
        s.whole_groups().len() == 2 && s.router(0).roster().servers.len() == 2
    }));
    for held in &late {
        stage.release(held);
    }
    stage
}

#[test]
fn late_orders_of_a_paused_holder_are_refused() {
    let mut stage = late_orders(true);
    let before = stage.whole_groups();
    stage.run(Millis::new(5_000));
    assert_eq!(
        stage.whole_groups(),
        before,
        "no target followed a stale order"
    );
    assert_plan_sound(&stage);
}

#[test]
fn late_orders_to_targets_that_do_not_check() {
    let mut stage = late_orders(false);
    // A target may follow a stray order; its group must then not serve as
    // whole, and the plan must be restored.
    let restored = wait(&mut stage, 60_000, |s| {
        s.whole_groups().len() == 2 && s.router(0).roster().servers.len() == 2
    });
    assert!(restored, "{:?}", stage.router(0).roster());
    let whole = stage.whole_groups();
    let served = &stage.router(0).roster().servers;
    assert!(served.iter().all(|s| whole.contains_key(&s.key.group)));
    assert_plan_sound(&stage);
}

#[test]
fn quiet_time_before_first_orders_to_targets_that_do_not_check() {
    let mut options = options();
    options.checks = false;
    let mut changed = root();
    changed.checks_orders = Some(false);
    changed.order_delay_ms = Some(6_000);
    options.tree = tree(1, changed);
    let mut stage = serving(options, 2);
    let first = holder(&stage);
    stage.planner_power(first, Power::Off);
    stage.power("d-00", Power::Off);
    assert!(wait(&mut stage, 20_000, |s| {
        (0..3).any(|n| n != first && !s.planner(n).status(s.now()).holds.is_empty())
    }));
    let gained = stage.elapsed();
    let orders = stage.orders();
    // The lease's length, 8 s, and the order delay of the settings, 6 s.
    stage.run(Millis::new(13_500));
    assert_eq!(stage.orders(), orders, "orders since {gained}");
    assert!(wait(&mut stage, 20_000, |s| s.whole_groups().len() == 2));
}

#[test]
fn lost_answers_of_the_table() {
    let mut stage = Stage::new(options());
    for _ in 0..20 {
        stage.set_table(TableMode::LoseAnswers);
        stage.run(Millis::new(1_500));
        assert_plan_sound(&stage);
        stage.set_table(TableMode::Up);
        stage.run(Millis::new(500));
        assert_plan_sound(&stage);
    }
    stage.set_table(TableMode::Up);
    assert!(wait(&mut stage, 30_000, |s| s.whole_groups().len() == 2));
    assert_plan_sound(&stage);
}

#[test]
fn unreachable_instance_comes_back() {
    let mut stage = serving(options(), 2);
    stage.power("d-01", Power::Paused);
    assert!(wait(&mut stage, 30_000, |s| {
        s.elapsed() > Millis::ZERO
            && s.router(0).roster().servers.len() == 2
            && s.whole_groups().len() == 2
            && s.target("d-01").duty.membership().is_some()
            && !s
                .whole_groups()
                .contains_key(&s.target("d-01").duty.membership().unwrap().group)
    }));
    let old = stage.target("d-01").duty.membership().cloned();
    assert!(old.is_some(), "it still believes in its old group");
    stage.power("d-01", Power::On);
    stage.run(Millis::new(10_000));
    assert_eq!(stage.target("d-01").duty.membership(), None, "it was reset");
    assert_plan_sound(&stage);
    // Only now may it be used again.
    stage.power("d-02", Power::Off);
    assert!(wait(&mut stage, 30_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert_plan_sound(&stage);
}

#[test]
fn table_down_while_members_fail() {
    let mut stage = serving(options(), 2);
    stage.set_table(TableMode::Down);
    stage.run(Millis::new(30_000));
    assert_eq!(stage.router(0).roster().servers.len(), 2, "serving goes on");
    stage.power("d-00", Power::Off);
    stage.run(Millis::new(20_000));
    let before = stage.orders();
    assert_eq!(stage.router(0).roster().servers.len(), 1);
    stage.run(Millis::new(10_000));
    assert_eq!(stage.orders(), before, "no orders without a lease");
    stage.set_table(TableMode::Up);
    assert!(wait(&mut stage, 40_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert_plan_sound(&stage);
}
