//! No serving group answers requests unless all its instances are present.

use thistlesill_core::message::{Heartbeat, ObservedState, Sighting};
use thistlesill_core::report::{Load, Membership};
use thistlesill_core::{GroupId, Millis};
use thistlesill_policy::presence::{Received, View};
use thistlesill_policy::serving::derive_servers;
use thistlesill_replay::stage::{Power, Stage};

use crate::support::{
    WINDOW, assert_answers_true, holder, load, options, place, sends_since, serving, wait,
};

/// The group that an instance belongs to.
fn group_of(stage: &Stage, instance: &str) -> GroupId {
    let duty = &stage.target(instance).duty;
    duty.membership().expect("a member").group.clone()
}

/// Asserts that no request went to a group after its presence ran out.
fn assert_no_sends(stage: &Stage, group: &GroupId, since: Millis) {
    let late = sends_since(stage, since + WINDOW);
    assert!(late.iter().all(|(g, _)| g != group), "{late:?}");
}

#[test]
fn member_killed() {
    let mut stage = serving(options(), 2);
    let group = group_of(&stage, "d-00");
    let at = stage.elapsed();
    stage.power("d-00", Power::Off);
    load(&mut stage, 1, 80);
    assert_no_sends(&stage, &group, at);
    let repaired = wait(&mut stage, 20_000, |s| {
        s.router(0).roster().servers.len() == 2
    });
    assert!(repaired, "the spare replaces the dead member");
    let whole = stage.whole_groups();
    assert!(!whole.contains_key(&group), "the old group is gone");
    stage.run(Millis::new(20_000));
    assert_answers_true(&stage);
}

#[test]
fn member_paused_and_continued() {
    let mut stage = serving(options(), 2);
    let group = group_of(&stage, "d-00");
    let at = stage.elapsed();
    stage.power("d-00", Power::Paused);
    stage.run(WINDOW);
    load(&mut stage, 1, 30);
    assert_no_sends(&stage, &group, at);
    stage.power("d-00", Power::On);
    // Back as if nothing had happened, with the old incarnation: by now its
    // place is taken, so it must not serve in the old group again.
    stage.run(Millis::new(10_000));
    let back = stage.elapsed();
    load(&mut stage, 100, 30);
    let sends = sends_since(&stage, back);
    assert!(sends.iter().all(|(g, _)| *g != group), "{sends:?}");
    assert!(wait(&mut stage, 20_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    stage.run(Millis::new(20_000));
    assert_answers_true(&stage);
}

#[test]
fn member_paused_for_a_moment() {
    let mut stage = serving(options(), 2);
    let group = group_of(&stage, "d-00");
    stage.power("d-00", Power::Paused);
    stage.run(Millis::new(2_000));
    stage.power("d-00", Power::On);
    stage.run(Millis::new(4_000));
    assert_eq!(group_of(&stage, "d-00"), group, "nothing was rebuilt");
    assert_eq!(stage.router(0).roster().servers.len(), 2);
}

#[test]
fn member_back_with_new_incarnation() {
    let mut stage = serving(options(), 2);
    let group = group_of(&stage, "d-00");
    let at = stage.elapsed();
    stage.power("d-00", Power::Off);
    stage.step();
    stage.power("d-00", Power::On);
    load(&mut stage, 1, 80);
    assert_no_sends(&stage, &group, at);
    assert!(wait(&mut stage, 20_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert!(!stage.whole_groups().contains_key(&group));
    stage.run(Millis::new(20_000));
    assert_answers_true(&stage);
}

#[test]
fn spare_is_warm_when_it_is_needed() {
    let mut options = options();
    options.model.load = Millis::new(30_000);
    let mut stage = Stage::new(options);
    assert!(wait(&mut stage, 90_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 2));
    assert!(wait(&mut stage, 60_000, |s| s
        .target("d-08")
        .warm
        .is_some()));
    assert_eq!(
        stage.target("d-08").duty.membership(),
        None,
        "it stays a spare"
    );
    let at = stage.elapsed();
    stage.power("d-00", Power::Off);
    assert!(wait(&mut stage, 60_000, |s| s.whole_groups().len() == 1));
    assert!(wait(&mut stage, 60_000, |s| s.whole_groups().len() == 2));
    let took = stage.elapsed() - at;
    assert!(
        took < Millis::new(20_000),
        "repaired without a load: {took}"
    );
}

#[test]
fn domain_dark() {
    let mut options = options();
    options.places.extend((0..4).map(|n| place("e", n)));
    let mut stage = serving(options, 3);
    let dark = stage.domain("d");
    let groups: Vec<GroupId> = ["d-00", "d-07"]
        .iter()
        .map(|i| group_of(&stage, i))
        .collect();
    let at = stage.elapsed();
    for instance in &dark {
        stage.power(instance.as_str(), Power::Off);
    }
    load(&mut stage, 1, 60);
    for group in &groups {
        assert_no_sends(&stage, group, at);
    }
    assert_eq!(stage.router(0).roster().servers.len(), 1);
    for instance in &dark {
        stage.power(instance.as_str(), Power::On);
    }
    assert!(wait(&mut stage, 30_000, |s| s
        .router(0)
        .roster()
        .servers
        .len()
        == 3));
    stage.run(Millis::new(20_000));
    assert_answers_true(&stage);
}

#[test]
fn watcher_dead() {
    let mut stage = serving(options(), 2);
    let at = stage.elapsed();
    let victim = (holder(&stage) + 1) % 3;
    stage.planner_power(victim, Power::Off);
    let mut least = 2;
    for _ in 0..400 {
        stage.step();
        least = least.min(stage.router(0).roster().servers.len());
    }
    assert_eq!(least, 2, "two watchers are left, and serving goes on");
    load(&mut stage, 1, 10);
    assert!(!sends_since(&stage, at).is_empty());
}

#[test]
fn all_watchers_dead() {
    let mut stage = serving(options(), 2);
    let at = stage.elapsed();
    for n in 0..3 {
        stage.planner_power(n, Power::Off);
    }
    stage.run(WINDOW);
    load(&mut stage, 1, 30);
    let sends = sends_since(&stage, at + WINDOW);
    assert!(
        sends.is_empty(),
        "nobody vouches for the members: {sends:?}"
    );
}

#[test]
fn router_paused_does_not_believe_old_beats() {
    let mut stage = serving(options(), 2);
    let group = group_of(&stage, "d-00");
    stage.router_power(0, Power::Paused);
    stage.run(Millis::new(1_000));
    stage.power("d-00", Power::Off);
    stage.run(Millis::new(20_000));
    let back = stage.elapsed();
    stage.router_power(0, Power::On);
    load(&mut stage, 1, 10);
    let sends = sends_since(&stage, back);
    assert!(sends.iter().all(|(g, _)| *g != group), "{sends:?}");
}

/// What a watcher says of one member of a group of two.
fn sighting(instance: u32, incarnation: u64, rank: u32) -> Sighting {
    let listed = place("d", instance);
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

fn beat(seq: u64, changes: u64, changed: Vec<Sighting>) -> Heartbeat {
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
    let truth = vec![sighting(0, 2, 0), sighting(1, 1, 1)];
    view.apply_heartbeat(&"p0".into(), &beat(1, 2, truth), 0, now);
    assert_eq!(derive_servers(&view, now, WINDOW).servers.len(), 1);
    // Another watcher reached a stale process under the same address.
    let stale = vec![sighting(0, 1, 0)];
    view.apply_heartbeat(&"p1".into(), &beat(1, 1, stale), 0, now);
    let roster = derive_servers(&view, now, WINDOW);
    assert!(
        roster.servers.is_empty(),
        "watchers that differ count for nothing"
    );
}

#[test]
fn missed_beat_is_noticed() {
    let mut view = View::new();
    let now = Millis::new(1_000_000);
    let both = vec![sighting(0, 1, 0), sighting(1, 1, 1)];
    view.apply_heartbeat(&"p0".into(), &beat(1, 2, both), 0, now);
    // Beat 2 with a change is lost; beat 3 tells that there were 3 changes.
    let heard = view.apply_heartbeat(&"p0".into(), &beat(3, 3, Vec::new()), 0, now);
    assert_eq!(heard, Received::NeedsDigest);
    assert!(derive_servers(&view, now, WINDOW).servers.is_empty());
}

#[test]
fn late_beat_is_old() {
    let mut view = View::new();
    let now = Millis::new(1_000_000);
    let both = vec![sighting(0, 1, 0), sighting(1, 1, 1)];
    view.apply_heartbeat(&"p0".into(), &beat(1, 2, both), 5, now);
    let later = now + Millis::new(30_000);
    // A beat that spent 28 s in a queue vouches for nothing any more.
    view.apply_heartbeat(&"p0".into(), &beat(2, 2, Vec::new()), 28_005, later);
    assert!(derive_servers(&view, later, WINDOW).servers.is_empty());
}
