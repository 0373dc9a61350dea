//! Tests that models get groups in the order of their urgency while targets are rationed.

use std::collections::HashMap;

use thistlesill_core::edge::{GroupRef, Order};
use thistlesill_core::{DomainId, Millis};
use thistlesill_policy::edge::asked::DemandMeter;
use thistlesill_policy::edge::shortage::Urgency;

use crate::asked::ask_ranked;
use crate::stage::Simulation;

/// Domains of the fleet, with eight targets each.
const DOMAINS: usize = 6;
/// Time for all conversions: the delay before one, the loads and the joins.
const SETTLE_TIME: Millis = Millis::new(90_000);

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

fn urgency(customer: u8, route: u8) -> Urgency {
    Urgency { customer, route }
}

/// Sets the work of both models, in groups, and whether the requests for the small one are the more
/// urgent ones.
fn set_demand(sim: &mut Simulation, large: f64, small: f64, is_small_urgent: bool) {
    sim.demand.insert("large".into(), large);
    sim.demand.insert("small".into(), small);
    let (large, small) = if is_small_urgent { (1, 0) } else { (0, 1) };
    sim.urgency.insert("large".into(), urgency(1, large));
    sim.urgency.insert("small".into(), urgency(1, small));
}

/// Ends all targets of the first `count` domains.
fn lose_domains(sim: &mut Simulation, count: usize) {
    for target in sim.engines.listed().into_values() {
        let domain = target.domain.as_ref().map_or("", DomainId::as_str);
        if (0..count).any(|lost| domain == format!("d-{lost}")) {
            sim.engines.kill(&target.id);
            sim.engines.unlist(&target.id);
        }
    }
}

/// Returns how often each group was closed.
fn closes(sim: &Simulation) -> HashMap<GroupRef, usize> {
    let mut closes = HashMap::new();
    for (_, _, order) in &sim.orders {
        if let Order::Close(group) = order {
            *closes.entry(group.clone()).or_default() += 1;
        }
    }
    closes
}

/// Guards against a less urgent model that has groups to spare while requests for another one are
/// refused.
#[test]
fn with_a_third_of_the_targets_gone_the_urgent_model_has_what_it_needs() {
    let mut sim = Simulation::formed(DOMAINS);
    // 8.3 small groups and 6.7 large ones, 43 targets; 32 are left.
    set_demand(&mut sim, 4.0, 5.0, true);
    lose_domains(&mut sim, 2);
    sim.run(SETTLE_TIME);
    let (large, small) = sim.sizes();
    assert!(small >= 8, "{small} small groups, {large} large ones");
    assert!(large >= 2, "{large} large groups");
    sim.assert_no_breaches();
}

/// Guards against a model that starves, and against one that has more than its floor before the
/// urgent one has what it needs.
#[test]
fn with_two_thirds_of_the_targets_gone_the_other_model_keeps_its_floor() {
    let mut sim = Simulation::formed(DOMAINS);
    // 8.3 small groups need all of the 16 targets that are left. A quarter of the large model's need
    // is 1.7 groups.
    set_demand(&mut sim, 4.0, 5.0, true);
    lose_domains(&mut sim, 4);
    sim.run(SETTLE_TIME);
    assert_eq!(sim.sizes(), (2, 4));
    sim.assert_no_breaches();
}

/// Guards against an order that follows the sizes of the models and not their urgency.
#[test]
fn the_larger_model_takes_the_groups_of_the_smaller_one_if_it_is_more_urgent() {
    // With 16 targets left, each of the two domains has a small group, a large one and two spares.
    for (lost, expected) in [(2, 6), (4, 2)] {
        let mut sim = Simulation::formed(DOMAINS);
        // 6.7 large groups and 6.7 small ones, 40 targets.
        set_demand(&mut sim, 4.0, 4.0, false);
        lose_domains(&mut sim, lost);
        sim.run(SETTLE_TIME);
        let (large, small) = sim.sizes();
        assert!(large >= expected, "{large} large, {small} small");
        assert!(small >= 2, "{large} large, {small} small");
        sim.assert_no_breaches();
    }
}

/// Guards against a model of little demand that is left without any group.
#[test]
fn each_model_keeps_at_least_one_group() {
    let mut sim = Simulation::formed(DOMAINS);
    // 27 small groups, more than the fleet has targets for.
    set_demand(&mut sim, 0.01, 16.0, true);
    for _ in 0..90 {
        sim.run(secs(1));
        assert!(sim.sizes().0 >= 1, "{:?}", sim.sizes());
    }
    assert_eq!(sim.sizes().0, 1);
}

/// Guards against groups that are converted back and forth while both models lack groups, so that
/// neither has them.
#[test]
fn groups_are_converted_once_although_both_models_lack_them() {
    for is_small_urgent in [true, false] {
        let mut sim = Simulation::formed(DOMAINS);
        set_demand(&mut sim, 12.0, 12.0, is_small_urgent);
        let before = sim.sizes();
        for _ in 0..30 {
            for (leader, _) in sim.engines.serving() {
                sim.requests.insert(leader, 26);
            }
            sim.run(secs(1));
        }
        let closes = closes(&sim);
        assert!(closes.values().all(|count| *count == 1), "{closes:?}");
        let early = closes.len();
        sim.run(SETTLE_TIME);
        let (large, small) = sim.sizes();
        let gained = if is_small_urgent {
            small > before.1
        } else {
            large > before.0
        };
        assert!(gained, "{early} closed, {before:?} to {:?}", (large, small));
        // Both models need 20 groups, and a quarter is five.
        assert!(large.min(small) >= 5, "{large} large, {small} small");
        let total = self::closes(&sim);
        assert!(total.values().all(|count| *count == 1), "{total:?}");
        sim.assert_no_breaches();
    }
}

/// Guards against plans that favour the models whose reports arrive first.
#[test]
fn models_are_equally_urgent_until_all_reports_have_arrived() {
    let mut sim = Simulation::formed(DOMAINS);
    set_demand(&mut sim, 12.0, 6.0, true);
    let known = std::mem::take(&mut sim.urgency);
    sim.run(secs(10));
    assert_eq!(closes(&sim).len(), 0, "no report");
    sim.urgency.insert("small".into(), urgency(1, 0));
    sim.run(secs(10));
    assert_eq!(closes(&sim).len(), 0, "a part of the reports");
    let before = sim.sizes().1;
    sim.urgency = known;
    sim.run(SETTLE_TIME);
    assert!(sim.sizes().1 > before, "{:?}", sim.sizes());
}

/// Guards against a plan that follows only the requests that were admitted.
#[test]
fn refused_requests_raise_the_groups_of_the_urgent_model() {
    // Ranked callers send 50 requests a second of 0.052 groups' time each, all of which are refused.
    let groups = |ranked: Option<Urgency>| {
        let mut meter = DemandMeter::default();
        let now = ask_ranked(&mut meter, secs(1_000), secs(10), true, ranked);
        let work: f64 = meter.work(now).into_values().sum();
        let mut sim = Simulation::formed(DOMAINS);
        set_demand(&mut sim, 2.0 * work, 5.0, false);
        if ranked.is_none() {
            sim.urgency.clear();
        }
        sim.run(SETTLE_TIME);
        sim.assert_no_breaches();
        sim.sizes().0
    };
    let (counted, halved) = (groups(Some(urgency(1, 0))), groups(None));
    assert!(
        counted > halved,
        "{counted} large groups, {halved} if half of the work counts"
    );
}
