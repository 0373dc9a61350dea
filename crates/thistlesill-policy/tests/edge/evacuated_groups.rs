//! What a planner does with the groups of data centres that are evacuated.

use thistlesill_core::edge::TargetId;
use thistlesill_core::{DomainId, Millis};

use crate::stage::Simulation;

const HALL: &str = "evacuated";

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

/// Six domains with groups that serve, two of them in a data centre of their own.
fn two_halls() -> (Simulation, Vec<TargetId>) {
    let mut stage = Simulation::formed(6);
    let listed = stage.engines.listed();
    let there = listed.values().filter(|t| {
        let domain = t.domain.as_ref().map_or("", DomainId::as_str);
        domain.ends_with('0') || domain.ends_with('1')
    });
    let there: Vec<TargetId> = there.map(|t| t.id.clone()).collect();
    assert!(!there.is_empty() && there.len() < listed.len());
    for id in &there {
        stage.engines.place_in(id, HALL);
    }
    (stage, there)
}

#[test]
fn groups_stay_as_they_are_and_none_is_formed_while_their_data_centre_is_evacuated() {
    let (mut stage, there) = two_halls();
    let before = stage.engines.serving();
    stage.evacuated.insert(HALL.into());
    stage.run(secs(20));
    let orders = stage.orders.iter().filter(|(_, t, _)| there.contains(t));
    let orders: Vec<_> = orders.collect();
    assert!(orders.is_empty(), "{orders:?}");
    let serving = stage.engines.serving();
    let kept = |leader: &TargetId| serving.iter().any(|(l, _)| l == leader);
    let away = before.iter().filter(|(l, _)| there.contains(l));
    assert!(away.clone().count() > 0);
    assert!(away.clone().all(|(leader, _)| kept(leader)));
    stage.assert_no_breaches();
}

#[test]
fn a_group_that_loses_a_member_during_an_evacuation_is_formed_again_after_it() {
    let (mut stage, there) = two_halls();
    let groups = stage.engines.serving().into_iter();
    let groups = groups.filter(|(leader, _)| there.contains(leader));
    let count = groups.clone().count();
    stage.evacuated.insert(HALL.into());
    stage.run(secs(1));
    let (_, members) = groups.max_by_key(|(_, m)| m.len()).expect("a group");
    stage.engines.kill(&members[1]);
    stage.engines.unlist(&members[1]);
    stage.run(secs(12));
    let serving = |stage: &Simulation| {
        let groups = stage.engines.serving().into_iter();
        groups.filter(|(l, _)| there.contains(l)).count()
    };
    assert!(
        serving(&stage) < count,
        "a lost group is not replaced there"
    );
    stage.evacuated.clear();
    stage.run(secs(20));
    assert_eq!(serving(&stage), count);
    stage.assert_no_breaches();
}

/// The rest of the fleet has a smaller fair number of groups, not a larger one: all of its
/// targets but the spares are in groups already.
#[test]
fn other_data_centres_keep_their_groups_while_one_is_evacuated() {
    let (mut stage, there) = two_halls();
    let elsewhere = |stage: &Simulation| {
        let groups = stage.engines.serving().into_iter();
        groups.filter(|(l, _)| !there.contains(l)).count()
    };
    let before = elsewhere(&stage);
    stage.evacuated.insert(HALL.into());
    stage.run(secs(20));
    assert!(elsewhere(&stage) >= before);
}
