//! An instance never belongs to two groups at once.

use std::collections::BTreeMap;

use thistlesill_core::row::{GroupRow, Held, InstanceRow, plan_prefix};
use thistlesill_core::table::Read;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{GroupId, InstanceId, Millis};
use thistlesill_replay::stage::{Power, Simulation, TableMode};

use crate::support::{holder, options, root, serving, tree, wait_until};

/// Asserts that the plan in the table assigns each instance to at most one group, and that the
/// instances' rows agree with their groups'.
fn assert_plan_consistent(sim: &Simulation) {
    let mut table = sim.table().clone();
    let prefix = plan_prefix(&"h".into());
    let rows = table.read(&Read {
        prefixes: vec![prefix.into()],
    });
    let mut groups: BTreeMap<InstanceId, GroupId> = BTreeMap::new();
    let mut held: BTreeMap<String, Held> = BTreeMap::new();
    for row in &rows.rows {
        if let Some((_, name)) = row.key.split_once("/plan/instance/") {
            let row: InstanceRow = row.decode().expect("a valid instance row");
            held.insert(name.to_owned(), row.held);
        }
    }
    for row in rows.rows.iter().filter(|r| r.key.contains("/plan/group/")) {
        let group: GroupRow = row.decode().expect("a valid group row");
        for member in group.members {
            let other = groups.insert(member.clone(), group.group.clone());
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
    let mut sim = serving(options(), 2);
    let first = holder(&sim);
    sim.set_planner_power(first, Power::Off);
    let taken = wait_until(&mut sim, 15_000, |s| {
        (0..3).any(|n| n != first && !s.planner(n).status(s.now()).holds.is_empty())
    });
    assert!(taken);
    sim.run(Millis::new(5_000));
    assert_plan_consistent(&sim);
    assert_eq!(
        sim.complete_groups().len(),
        2,
        "the takeover rebuilt nothing"
    );
}

#[test]
fn no_two_holders_ever() {
    let mut sim = serving(options(), 2);
    for round in 0..6 {
        let first = holder(&sim);
        sim.set_planner_power(first, Power::Paused);
        for _ in 0..300 {
            sim.step();
            let holders = (0..3).filter(|n| {
                // A paused planner sends no orders. Of those that run, at most one may hold the
                // lease.
                *n != first && !sim.planner(*n).status(sim.now()).holds.is_empty()
            });
            assert!(holders.count() <= 1, "round {round}");
        }
        sim.set_planner_power(first, Power::On);
        sim.step();
        let old = sim.planner(first).status(sim.now()).holds;
        assert!(
            old.is_empty(),
            "the lease expired while its holder was paused"
        );
    }
    assert_plan_consistent(&sim);
}

/// Pauses a lease holder after it has checked its lease and before its orders are sent. They
/// arrive long after another planner has taken over. `checks` says whether targets refuse them.
fn late_orders(checks: bool) -> Simulation {
    let mut options = options();
    options.checks_orders = checks;
    let mut changed = root();
    changed.checks_orders = Some(checks);
    options.tree = tree(1, changed);
    let mut sim = Simulation::new(options);
    sim.hold_orders(true);
    assert!(wait_until(&mut sim, 10_000, |s| {
        s.records()
            .iter()
            .any(|r| matches!(r.what, TimelineEvent::Ordered { .. }))
    }));
    let first = holder(&sim);
    sim.set_planner_power(first, Power::Paused);
    let late = sim.take_held();
    assert!(!late.is_empty());
    sim.hold_orders(false);
    let formed = wait_until(&mut sim, 60_000, |s| {
        s.router(0).roster().servers.len() == 2
    });
    assert!(formed, "the next lease holder forms the groups");
    // After this failure, members have moved to another group.
    sim.set_power("d-00", Power::Off);
    assert!(wait_until(&mut sim, 30_000, |s| {
        s.complete_groups().len() == 2 && s.router(0).roster().servers.len() == 2
    }));
    for held in &late {
        sim.deliver_held_order(held);
    }
    sim
}

#[test]
fn late_orders_of_a_paused_holder_are_refused() {
    let mut sim = late_orders(true);
    let before = sim.complete_groups();
    sim.run(Millis::new(5_000));
    assert_eq!(
        sim.complete_groups(),
        before,
        "no target carried out a stale order"
    );
    assert_plan_consistent(&sim);
}

#[test]
fn late_orders_to_targets_that_do_not_check() {
    let mut sim = late_orders(false);
    // A target may carry out a stale order. Its group must then not count as complete, and the
    // plan must be restored.
    let restored = wait_until(&mut sim, 60_000, |s| {
        s.complete_groups().len() == 2 && s.router(0).roster().servers.len() == 2
    });
    assert!(restored, "{:?}", sim.router(0).roster());
    let complete = sim.complete_groups();
    let served = &sim.router(0).roster().servers;
    assert!(served.iter().all(|s| complete.contains_key(&s.key.group)));
    assert_plan_consistent(&sim);
}

#[test]
fn quiet_time_before_first_orders_to_targets_that_do_not_check() {
    let mut options = options();
    options.checks_orders = false;
    let mut changed = root();
    changed.checks_orders = Some(false);
    changed.order_delay_ms = Some(6_000);
    options.tree = tree(1, changed);
    let mut sim = serving(options, 2);
    let first = holder(&sim);
    sim.set_planner_power(first, Power::Off);
    sim.set_power("d-00", Power::Off);
    assert!(wait_until(&mut sim, 20_000, |s| {
        (0..3).any(|n| n != first && !s.planner(n).status(s.now()).holds.is_empty())
    }));
    let gained = sim.elapsed();
    let orders = sim.orders();
    // The new holder waits for the lease length of 8 s and the order delay of 6 s; 13.5 s is just
    // before the end of the two.
    sim.run(Millis::new(13_500));
    assert_eq!(sim.orders(), orders, "orders since {gained}");
    assert!(wait_until(&mut sim, 20_000, |s| s.complete_groups().len() == 2));
}

#[test]
fn lost_answers_of_the_table() {
    let mut sim = Simulation::new(options());
    for _ in 0..20 {
        sim.set_table(TableMode::LoseAnswers);
        sim.run(Millis::new(1_500));
        assert_plan_consistent(&sim);
        sim.set_table(TableMode::Up);
        sim.run(Millis::new(500));
        assert_plan_consistent(&sim);
    }
    sim.set_table(TableMode::Up);
    assert!(wait_until(&mut sim, 30_000, |s| s.complete_groups().len() == 2));
    assert_plan_consistent(&sim);
}

#[test]
fn unreachable_instance_comes_back() {
    let mut sim = serving(options(), 2);
    sim.set_power("d-01", Power::Paused);
    assert!(wait_until(&mut sim, 30_000, |s| {
        s.elapsed() > Millis::ZERO
            && s.router(0).roster().servers.len() == 2
            && s.complete_groups().len() == 2
            && s.target("d-01").duty.membership().is_some()
            && !s
                .complete_groups()
                .contains_key(&s.target("d-01").duty.membership().unwrap().group)
    }));
    let old = sim.target("d-01").duty.membership().cloned();
    assert!(old.is_some(), "it still reports its old group");
    sim.set_power("d-01", Power::On);
    sim.run(Millis::new(10_000));
    assert_eq!(sim.target("d-01").duty.membership(), None, "it was reset");
    assert_plan_consistent(&sim);
    // It may be used again only after the reset.
    sim.set_power("d-02", Power::Off);
    assert!(wait_until(&mut sim, 30_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert_plan_consistent(&sim);
}

#[test]
fn table_down_while_members_fail() {
    let mut sim = serving(options(), 2);
    sim.set_table(TableMode::Down);
    sim.run(Millis::new(30_000));
    assert_eq!(
        sim.router(0).roster().servers.len(),
        2,
        "all groups keep serving"
    );
    sim.set_power("d-00", Power::Off);
    sim.run(Millis::new(20_000));
    let before = sim.orders();
    assert_eq!(sim.router(0).roster().servers.len(), 1);
    sim.run(Millis::new(10_000));
    assert_eq!(sim.orders(), before, "no orders are sent without a lease");
    sim.set_table(TableMode::Up);
    assert!(wait_until(&mut sim, 40_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert_plan_consistent(&sim);
}
