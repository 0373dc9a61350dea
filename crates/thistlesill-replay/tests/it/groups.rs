//! A group receives requests only while all its instances are present.

use thistlesill_core::message::{Heartbeat, ObservedState, Sighting};
use thistlesill_core::report::{Load, Membership};
use thistlesill_core::{GroupId, Millis};
use thistlesill_policy::presence::{Received, View};
use thistlesill_policy::serving::derive_servers;
use thistlesill_replay::stage::{Power, Simulation};

use crate::support::{
    PRESENCE_WINDOW, assert_answers_consistent, holder, listed_instance, options, send_load,
    sends_since, serving, wait_until,
};

/// Returns the group that an instance belongs to.
fn group_of(sim: &Simulation, instance: &str) -> GroupId {
    let duty = &sim.target(instance).duty;
    duty.membership().expect("a member").group.clone()
}

/// Asserts that a group received no requests from one presence window after `since` on.
fn assert_no_sends(sim: &Simulation, group: &GroupId, since: Millis) {
    let late = sends_since(sim, since + PRESENCE_WINDOW);
    assert!(late.iter().all(|(g, _)| g != group), "{late:?}");
}

#[test]
fn member_killed() {
    let mut sim = serving(options(), 2);
    let group = group_of(&sim, "d-00");
    let at = sim.elapsed();
    sim.set_power("d-00", Power::Off);
    send_load(&mut sim, 1, 80);
    assert_no_sends(&sim, &group, at);
    let replaced = wait_until(&mut sim, 20_000, |s| {
        s.router(0).roster().servers.len() == 2
    });
    assert!(replaced, "the spare replaces the killed member");
    let complete = sim.complete_groups();
    assert!(!complete.contains_key(&group), "the old group is gone");
    sim.run(Millis::new(20_000));
    assert_answers_consistent(&sim);
}

#[test]
fn member_paused_and_continued() {
    let mut sim = serving(options(), 2);
    let group = group_of(&sim, "d-00");
    let at = sim.elapsed();
    sim.set_power("d-00", Power::Paused);
    sim.run(PRESENCE_WINDOW);
    send_load(&mut sim, 1, 30);
    assert_no_sends(&sim, &group, at);
    sim.set_power("d-00", Power::On);
    // The member continues with its old incarnation. It has been replaced by now, so it must not
    // serve in the old group again.
    sim.run(Millis::new(10_000));
    let back = sim.elapsed();
    send_load(&mut sim, 100, 30);
    let sends = sends_since(&sim, back);
    assert!(sends.iter().all(|(g, _)| *g != group), "{sends:?}");
    assert!(wait_until(&mut sim, 20_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    sim.run(Millis::new(20_000));
    assert_answers_consistent(&sim);
}

#[test]
fn member_paused_for_a_moment() {
    let mut sim = serving(options(), 2);
    let group = group_of(&sim, "d-00");
    sim.set_power("d-00", Power::Paused);
    sim.run(Millis::new(2_000));
    sim.set_power("d-00", Power::On);
    sim.run(Millis::new(4_000));
    assert_eq!(group_of(&sim, "d-00"), group, "nothing was rebuilt");
    assert_eq!(sim.router(0).roster().servers.len(), 2);
}

#[test]
fn member_back_with_new_incarnation() {
    let mut sim = serving(options(), 2);
    let group = group_of(&sim, "d-00");
    let at = sim.elapsed();
    sim.set_power("d-00", Power::Off);
    sim.step();
    sim.set_power("d-00", Power::On);
    send_load(&mut sim, 1, 80);
    assert_no_sends(&sim, &group, at);
    assert!(wait_until(&mut sim, 20_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert!(!sim.complete_groups().contains_key(&group));
    sim.run(Millis::new(20_000));
    assert_answers_consistent(&sim);
}

#[test]
fn spare_is_warm_when_it_is_needed() {
    let mut options = options();
    options.engine.load = Millis::new(30_000);
    let mut sim = Simulation::new(options);
    assert!(wait_until(&mut sim, 90_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert!(wait_until(&mut sim, 60_000, |s| s
        .target("d-08")
        .warm
        .is_some()));
    assert_eq!(
        sim.target("d-08").duty.membership(),
        None,
        "it stays a spare"
    );
    let at = sim.elapsed();
    sim.set_power("d-00", Power::Off);
    assert!(wait_until(&mut sim, 60_000, |s| s.complete_groups().len() == 1));
    assert!(wait_until(&mut sim, 60_000, |s| s.complete_groups().len() == 2));
    let took = sim.elapsed() - at;
    assert!(
        took < Millis::new(20_000),
        "repaired without a load: {took}"
    );
}

#[test]
fn domain_dark() {
    let mut options = options();
    options
        .instances
        .extend((0..4).map(|n| listed_instance("e", n)));
    let mut sim = serving(options, 3);
    let killed = sim.domain_instances("d");
    let groups: Vec<GroupId> = ["d-00", "d-07"].iter().map(|i| group_of(&sim, i)).collect();
    let at = sim.elapsed();
    for instance in &killed {
        sim.set_power(instance.as_str(), Power::Off);
    }
    send_load(&mut sim, 1, 60);
    for group in &groups {
        assert_no_sends(&sim, group, at);
    }
    assert_eq!(sim.router(0).roster().servers.len(), 1);
    for instance in &killed {
        sim.set_power(instance.as_str(), Power::On);
    }
    assert!(wait_until(&mut sim, 30_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 3));
    sim.run(Millis::new(20_000));
    assert_answers_consistent(&sim);
}

#[test]
fn watcher_dead() {
    let mut sim = serving(options(), 2);
    let at = sim.elapsed();
    let victim = (holder(&sim) + 1) % 3;
    sim.set_planner_power(victim, Power::Off);
    let mut least = 2;
    for _ in 0..400 {
        sim.step();
        least = least.min(sim.router(0).roster().servers.len());
    }
    assert_eq!(least, 2, "two watchers remain, and all groups keep serving");
    send_load(&mut sim, 1, 10);
    assert!(!sends_since(&sim, at).is_empty());
}

#[test]
fn all_watchers_dead() {
    let mut sim = serving(options(), 2);
    let at = sim.elapsed();
    for n in 0..3 {
        sim.set_planner_power(n, Power::Off);
    }
    sim.run(PRESENCE_WINDOW);
    send_load(&mut sim, 1, 30);
    let sends = sends_since(&sim, at + PRESENCE_WINDOW);
    assert!(
        sends.is_empty(),
        "no watcher reports the members: {sends:?}"
    );
}

#[test]
fn router_paused_does_not_believe_old_beats() {
    let mut sim = serving(options(), 2);
    let group = group_of(&sim, "d-00");
    sim.set_router_power(0, Power::Paused);
    sim.run(Millis::new(1_000));
    sim.set_power("d-00", Power::Off);
    sim.run(Millis::new(20_000));
    let back = sim.elapsed();
    sim.set_router_power(0, Power::On);
    send_load(&mut sim, 1, 10);
    let sends = sends_since(&sim, back);
    assert!(sends.iter().all(|(g, _)| *g != group), "{sends:?}");
}

/// Returns a watcher's entry for one member of a group of two.
fn sighting(instance: u32, incarnation: u64, rank: u32) -> Sighting {
    let listed = listed_instance("d", instance);
    Sighting {
        instance: listed.instance,
        hall: listed.hall,
        domain: listed.domain,
        generation: listed.generation,
        accelerators: 8,
        address: listed.address,
        incarnation,
        leaving: false,
        state: ObservedState::Ready(Membership {
            group: "g".into(),
            epoch: 1,
            rank,
            size: 2,
            load: Load::default(),
        }),
    }
}

fn heartbeat(seq: u64, changes: u64, changed: Vec<Sighting>) -> Heartbeat {
    Heartbeat {
        seq,
        run: 1,
        oldest: Millis::ZERO,
        changes,
        changed,
        gauges: Vec::new(),
    }
}

#[test]
fn forged_report_of_a_stale_process() {
    let mut view = View::new();
    let now = Millis::new(1_000_000);
    let current = vec![sighting(0, 2, 0), sighting(1, 1, 1)];
    view.apply_heartbeat(&"p0".into(), &heartbeat(1, 2, current), 0, now);
    assert_eq!(derive_servers(&view, now, PRESENCE_WINDOW).servers.len(), 1);
    // Another watcher reached a stale process under the same address.
    let stale = vec![sighting(0, 1, 0)];
    view.apply_heartbeat(&"p1".into(), &heartbeat(1, 1, stale), 0, now);
    let list = derive_servers(&view, now, PRESENCE_WINDOW);
    assert!(
        list.servers.is_empty(),
        "a target that watchers disagree on counts as absent"
    );
}

#[test]
fn missed_beat_is_noticed() {
    let mut view = View::new();
    let now = Millis::new(1_000_000);
    let both = vec![sighting(0, 1, 0), sighting(1, 1, 1)];
    view.apply_heartbeat(&"p0".into(), &heartbeat(1, 2, both), 0, now);
    // Heartbeat 2 with a change is lost; heartbeat 3 reports 3 changes so far.
    let received = view.apply_heartbeat(&"p0".into(), &heartbeat(3, 3, Vec::new()), 0, now);
    assert_eq!(received, Received::NeedsDigest);
    assert!(
        derive_servers(&view, now, PRESENCE_WINDOW)
            .servers
            .is_empty()
    );
}

#[test]
fn late_beat_is_old() {
    let mut view = View::new();
    let now = Millis::new(1_000_000);
    let both = vec![sighting(0, 1, 0), sighting(1, 1, 1)];
    view.apply_heartbeat(&"p0".into(), &heartbeat(1, 2, both), 5, now);
    let later = now + Millis::new(30_000);
    // A heartbeat that spent 28 s in a queue no longer proves that targets are present.
    view.apply_heartbeat(&"p0".into(), &heartbeat(2, 2, Vec::new()), 28_005, later);
    assert!(
        derive_servers(&view, later, PRESENCE_WINDOW)
            .servers
            .is_empty()
    );
}
