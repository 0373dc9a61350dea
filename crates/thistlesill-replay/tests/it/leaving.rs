//! A leaving target receives no new requests after a few seconds, and planned stops interrupt no
//! request.

use thistlesill_core::Millis;
use thistlesill_replay::stage::{Answer, Power, Simulation, TableMode};

use crate::support::{chat, options, root, send_load, sends_since, serving, tree, wait_until};

/// Time after which a leaving target must receive no new requests.
const LEAVING_LIMIT: Millis = Millis::new(3_000);

/// Asserts that the group of a leaving instance receives no new requests, and another one does.
fn assert_no_new_requests(sim: &mut Simulation, instance: &str) {
    let group = sim
        .target(instance)
        .duty
        .membership()
        .expect("a member")
        .group
        .clone();
    let at = sim.elapsed();
    send_load(sim, 1, 100);
    let late = sends_since(sim, at + LEAVING_LIMIT);
    assert!(!late.is_empty(), "the other group receives the requests");
    assert!(late.iter().all(|(g, _)| *g != group), "{late:?}");
}

#[test]
fn listed_as_leaving() {
    let mut sim = serving(options(), 2);
    sim.set_leaving("d-00", true);
    assert_no_new_requests(&mut sim, "d-00");
}

#[test]
fn listed_as_leaving_while_nobody_can_give_orders() {
    let mut sim = serving(options(), 2);
    sim.set_table(TableMode::Down);
    sim.run(Millis::new(15_000));
    sim.set_leaving("d-00", true);
    assert_no_new_requests(&mut sim, "d-00");
}

#[test]
fn says_itself_that_it_leaves_while_the_list_is_stuck() {
    let mut sim = serving(options(), 2);
    sim.set_list_frozen(true);
    sim.set_leaving("d-00", true);
    sim.announce_leaving("d-00");
    assert_no_new_requests(&mut sim, "d-00");
}

#[test]
fn list_alone_while_the_target_says_nothing() {
    let mut sim = serving(options(), 2);
    sim.set_leaving("d-03", true);
    assert_no_new_requests(&mut sim, "d-03");
    assert!(wait_until(&mut sim, 60_000, |s| s
        .target("d-03")
        .duty
        .membership()
        .is_none()));
    assert!(wait_until(&mut sim, 30_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
}

/// Starts long answers, calls `change`, and asserts that none of them was interrupted and that
/// each ran once.
fn assert_no_interruption(change: impl FnOnce(&mut Simulation)) -> Simulation {
    let mut sim = serving(options(), 2);
    for n in 0..12 {
        sim.submit((n % 2) as usize, chat(n), 300, Millis::new(60_000));
    }
    sim.run(Millis::new(1_000));
    change(&mut sim);
    sim.run(Millis::new(60_000));
    for n in 0..12 {
        let request = chat(n).request;
        assert_eq!(sim.answer(request), Some(&Answer::Whole), "request {n}");
        assert_eq!(sim.runs()[&request.to_string()], 1, "request {n}");
    }
    sim
}

#[test]
fn leaving_member_cuts_no_stream() {
    let sim = assert_no_interruption(|sim| sim.set_leaving("d-00", true));
    assert_eq!(
        sim.router(0).roster().servers.len(),
        2,
        "the spare replaced the leaving member"
    );
}

#[test]
fn changed_version_cuts_no_stream() {
    let sim = assert_no_interruption(|sim| {
        let mut changed = root();
        changed.version = Some("2".into());
        sim.set_settings(tree(2, changed));
    });
    let servers = &sim.router(0).roster().servers;
    assert!(!servers.is_empty());
}

#[test]
fn changed_version_reaches_all_groups_one_at_a_time() {
    let mut sim = serving(options(), 2);
    let mut changed = root();
    changed.version = Some("2".into());
    sim.set_settings(tree(2, changed));
    let mut least = 2;
    for _ in 0..2_400 {
        sim.step();
        least = least.min(sim.router(0).roster().servers.len());
    }
    assert_eq!(least, 1, "one group at a time");
    let versions: Vec<String> = ["d-00", "d-07"]
        .iter()
        .filter_map(|i| sim.target(i).duty.membership())
        .map(|m| m.load.version.to_string())
        .collect();
    assert!(
        !versions.is_empty() && versions.iter().all(|v| v == "2"),
        "{versions:?}"
    );
    assert_eq!(sim.router(0).roster().servers.len(), 2);
}

#[test]
fn stopped_planner_cuts_no_stream() {
    assert_no_interruption(|sim| {
        for n in 0..3 {
            sim.stop_planner(n);
            sim.set_planner_power(n, Power::On);
            sim.run(Millis::new(2_000));
        }
    });
}

#[test]
fn stopped_router_ends_its_streams_first() {
    let mut sim = serving(options(), 2);
    sim.submit(0, chat(1), 300, Millis::new(60_000));
    sim.run(Millis::new(1_000));
    sim.stop_router(0);
    sim.run(Millis::new(500));
    // The load balancer may not have noticed the stop yet, so requests are still accepted.
    sim.submit(0, chat(2), 10, Millis::new(60_000));
    sim.run(Millis::new(10_000));
    sim.submit(0, chat(3), 10, Millis::new(60_000));
    sim.run(Millis::new(30_000));
    assert_eq!(sim.answer(chat(1).request), Some(&Answer::Whole));
    assert_eq!(sim.answer(chat(2).request), Some(&Answer::Whole));
    let refused = Answer::Failed(thistlesill_core::ErrorKind::NotReady);
    assert_eq!(sim.answer(chat(3).request), Some(&refused));
    assert!(!sim.router(0).is_ready());
}
