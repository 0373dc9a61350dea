//! Tests the planner's treatment of groups in evacuated data centres.

use thistlesill_core::edge::TargetId;
use thistlesill_core::{DomainId, Millis};

use crate::stage::Simulation;

const HALL: &str = "evacuated";

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

/// Returns six domains with serving groups, two of them in a data centre of their own, and the ids
/// of the targets there.
fn two_halls() -> (Simulation, Vec<TargetId>) {
    let mut sim = Simulation::formed(6);
    let listed = sim.engines.listed();
    let evacuated_ids = listed.values().filter(|t| {
        let domain = t.domain.as_ref().map_or("", DomainId::as_str);
        domain.ends_with('0') || domain.ends_with('1')
    });
    let evacuated_ids: Vec<TargetId> = evacuated_ids.map(|t| t.id.clone()).collect();
    assert!(!evacuated_ids.is_empty() && evacuated_ids.len() < listed.len());
    for id in &evacuated_ids {
        sim.engines.set_hall(id, HALL);
    }
    (sim, evacuated_ids)
}

#[test]
fn groups_stay_as_they_are_and_none_is_formed_while_their_data_centre_is_evacuated() {
    let (mut sim, evacuated_ids) = two_halls();
    let before = sim.engines.serving();
    sim.evacuated.insert(HALL.into());
    sim.run(secs(20));
    let orders = sim
        .orders
        .iter()
        .filter(|(_, t, _)| evacuated_ids.contains(t));
    let orders: Vec<_> = orders.collect();
    assert!(orders.is_empty(), "{orders:?}");
    let serving = sim.engines.serving();
    let is_serving = |leader: &TargetId| serving.iter().any(|(l, _)| l == leader);
    let evacuated_groups = before.iter().filter(|(l, _)| evacuated_ids.contains(l));
    assert!(evacuated_groups.clone().count() > 0);
    assert!(
        evacuated_groups
            .clone()
            .all(|(leader, _)| is_serving(leader))
    );
    sim.assert_no_breaches();
}

#[test]
fn a_group_that_loses_a_member_during_an_evacuation_is_formed_again_after_it() {
    let (mut sim, evacuated_ids) = two_halls();
    let groups = sim.engines.serving().into_iter();
    let groups = groups.filter(|(leader, _)| evacuated_ids.contains(leader));
    let count = groups.clone().count();
    sim.evacuated.insert(HALL.into());
    sim.run(secs(1));
    let (_, members) = groups.max_by_key(|(_, m)| m.len()).expect("a group");
    sim.engines.kill(&members[1]);
    sim.engines.unlist(&members[1]);
    sim.run(secs(12));
    let serving = |sim: &Simulation| {
        let groups = sim.engines.serving().into_iter();
        groups.filter(|(l, _)| evacuated_ids.contains(l)).count()
    };
    assert!(serving(&sim) < count, "a lost group is not replaced there");
    sim.evacuated.clear();
    sim.run(secs(20));
    assert_eq!(serving(&sim), count);
    sim.assert_no_breaches();
}

/// The rest of the fleet has fewer desired groups than before, not more: all of its targets except
/// the spares are in groups already.
#[test]
fn other_data_centres_keep_their_groups_while_one_is_evacuated() {
    let (mut sim, evacuated_ids) = two_halls();
    let other_groups = |sim: &Simulation| {
        let groups = sim.engines.serving().into_iter();
        groups.filter(|(l, _)| !evacuated_ids.contains(l)).count()
    };
    let before = other_groups(&sim);
    sim.evacuated.insert(HALL.into());
    sim.run(secs(20));
    assert!(other_groups(&sim) >= before);
}
