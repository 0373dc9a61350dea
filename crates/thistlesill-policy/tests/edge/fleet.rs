//! Tests the orders by which groups are formed, repaired and ended.

use thistlesill_core::Millis;
use thistlesill_core::edge::Order;
use thistlesill_policy::edge::fleet::FleetPlanner;

use crate::stage::{Delivery, STEP, Simulation};

const SECOND: Millis = Millis::new(1_000);

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

#[test]
fn every_domain_gets_both_models_and_keeps_spares() {
    let sim = Simulation::formed(6);
    assert_eq!(sim.sizes(), (6, 6));
    let spares = sim.spares();
    assert_eq!(spares.len(), 12);
    // The spares wait as groups of the small model and hold the large model's weights.
    for spare in &spares {
        let loaded = spare.member.as_ref().and_then(|m| m.model.clone());
        assert_eq!(loaded, Some("small".into()), "{spare:?}");
        assert_eq!(spare.staged, ["large".into()], "{spare:?}");
    }
    sim.assert_no_breaches();
}

#[test]
fn a_group_that_stands_by_is_opened_when_its_model_is_short() {
    let mut sim = Simulation::formed(6);
    let serving = sim.engines.serving();
    let small = serving.iter().find(|(_, m)| m.len() == 2);
    let (leader, _) = small.expect("a small group").clone();
    sim.engines.kill(&leader);
    sim.engines.unlist(&leader);
    sim.run(SECOND);
    assert_eq!(sim.sizes(), (6, 6));
    let joined = sim.orders.iter().any(|(_, _, o)| o.name() == "join");
    assert!(!joined, "{:?}", sim.orders);
}

#[test]
fn a_burst_opens_groups_that_stand_by_and_its_end_closes_them() {
    let mut sim = Simulation::formed(6);
    let small = |sim: &Simulation| -> Vec<_> {
        let serving = sim.engines.serving().into_iter();
        serving
            .filter(|(_, m)| m.len() == 2)
            .map(|(l, _)| l)
            .collect()
    };
    for leader in small(&sim) {
        sim.requests.insert(leader, 25);
    }
    sim.run(secs(2));
    // 150 requests at 26 slots per group, two thirds of them occupied.
    assert_eq!(sim.sizes(), (6, 9));
    for leader in small(&sim) {
        sim.requests.insert(leader, 7);
    }
    sim.run(secs(2));
    assert_eq!(sim.sizes(), (6, 9), "a moment's ease closes nothing");
    sim.run(secs(20));
    assert_eq!(sim.sizes(), (6, 6));
    sim.assert_no_breaches();
}

#[test]
fn two_losses_in_a_row_are_replaced_by_spares_of_one_domain() {
    let mut sim = Simulation::formed(1);
    for _ in 0..2 {
        let (_, members) = sim.group_of(4);
        sim.engines.kill(&members[1]);
        sim.run(secs(4));
        assert_eq!(sim.sizes().0, 1, "{:?}", sim.orders);
    }
    sim.assert_no_breaches();
}

#[test]
fn a_planner_that_takes_over_has_doubtful_groups_end_before_it_uses_them() {
    let mut sim = Simulation::formed(1);
    let mut successor = FleetPlanner::default();
    successor.watch(&sim.engines.listed(), sim.now);
    sim.planner = successor;
    sim.term = 2;
    sim.run(secs(2));
    // The previous planner may have sent an order to open that is carried out late.
    let left = sim.orders.iter().filter(|(_, _, o)| o.name() == "leave");
    assert_eq!(left.count(), 1, "{:?}", sim.orders);
    let (_, members) = sim.group_of(4);
    sim.engines.kill(&members[1]);
    sim.run(secs(4));
    assert_eq!(sim.sizes().0, 1, "{:?}", sim.orders);
    sim.assert_no_breaches();
}

#[test]
fn a_census_counts_missing_groups_and_idle_targets() {
    let mut sim = Simulation::formed(6);
    let census = sim.census();
    assert_eq!(census.idle(), 12);
    assert!(census.missing() < 1.0, "{census:?}");
    let (leader, members) = sim.group_of(4);
    sim.engines.kill(&leader);
    sim.engines.unlist(&leader);
    let census = sim.census();
    assert_eq!(census.idle(), 12 + members.len() - 1);
    assert!(census.missing() >= 1.0, "{census:?}");
}

#[test]
fn domains_that_are_listed_first_are_not_filled_up() {
    let mut sim = Simulation::new(0);
    for number in 0..48 {
        sim.engines.add(number);
        sim.run(Millis::new(100));
    }
    sim.run(secs(60));
    let spares = sim.spares();
    for domain in 0..6 {
        let name = format!("d-{domain}");
        let near = spares
            .iter()
            .filter(|t| t.domain.as_ref().is_some_and(|d| d.as_str() == name));
        assert_eq!(near.count(), 2, "{name}");
    }
}

#[test]
fn a_lost_member_is_replaced_by_a_spare_that_is_ready() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    let killed = sim.now;
    sim.engines.kill(&members[2]);
    sim.run(secs(4));
    let cut = sim
        .first_order("cut", &leader)
        .expect("the leader is stopped");
    assert!(cut - killed <= SECOND, "{}", cut - killed);
    assert_eq!(sim.sizes(), (6, 6));
    sim.assert_no_breaches();
}

#[test]
fn a_slow_member_is_replaced_by_a_spare_and_used_again_when_it_is_sound() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    let slow = members[2].clone();
    sim.slow_targets.insert(slow.clone());
    sim.slow_leaders.insert(leader.clone());
    sim.run(secs(4));
    assert!(sim.first_order("cut", &leader).is_some());
    assert_eq!(sim.sizes(), (6, 6));
    let serving = sim.engines.serving();
    assert!(serving.iter().all(|(_, m)| !m.contains(&slow)));
    // The next loss in its domain uses the target again, once it is healthy.
    sim.slow_leaders.clear();
    sim.slow_targets.clear();
    sim.run(secs(3));
    let group = serving.iter().find(|(_, m)| m.contains(&members[1]));
    let (_, now) = group.expect("the group was formed anew");
    let lost = now.iter().find(|m| !members.contains(m)).expect("a spare");
    sim.engines.kill(lost);
    sim.run(secs(6));
    let back = sim.engines.serving();
    assert!(back.iter().any(|(_, m)| m.contains(&slow)), "{back:?}");
    sim.assert_no_breaches();
}

#[test]
fn a_member_that_dies_in_a_slow_group_is_noticed_at_once() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    // The group's streams are slow although all its members are healthy.
    sim.slow_leaders.insert(leader.clone());
    sim.run(secs(5));
    let killed = sim.now;
    sim.engines.kill(&members[2]);
    sim.run(secs(3));
    let cut = sim
        .first_order("cut", &leader)
        .expect("the leader is stopped");
    assert!(cut - killed <= SECOND, "{}", cut - killed);
}

#[test]
fn a_slow_group_goes_on_if_no_spare_can_take_a_place() {
    let mut sim = Simulation::formed(1);
    let (leader, members) = sim.group_of(4);
    let idle = sim.spares();
    for spare in &idle {
        sim.engines.kill(&spare.id);
        sim.engines.unlist(&spare.id);
    }
    sim.slow_targets.insert(members[2].clone());
    sim.slow_leaders.insert(leader.clone());
    sim.run(secs(4));
    assert!(sim.first_order("cut", &leader).is_none());
    assert_eq!(sim.sizes(), (1, 1));
}

#[test]
fn members_of_a_silent_leader_wait_until_it_is_off_the_list() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    sim.engines.kill(&leader);
    sim.run(secs(3));
    assert!(members.iter().all(|m| sim.first_order("join", m).is_none()));
    sim.engines.unlist(&leader);
    sim.run(secs(3));
    assert_eq!(sim.sizes(), (6, 6));
}

#[test]
fn a_leader_that_vanishes_from_the_list_is_told_to_stop_first() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    // The leader still serves; only its entry is gone.
    sim.engines.unlist(&leader);
    sim.run(secs(6));
    let close = sim
        .first_order("close", &leader)
        .expect("the leader is ordered to close");
    let cut = sim
        .first_order("cut", &leader)
        .expect("the leader is ordered to stop");
    let rejoined = members
        .iter()
        .filter_map(|m| sim.first_order("join", m))
        .min();
    assert!(close < cut);
    assert!(rejoined.is_none_or(|at| at >= cut));
    sim.assert_no_breaches();
}

#[test]
fn members_of_a_leader_that_refuses_orders_wait_while_it_works() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    // The leader has left the list and accepts no connection, but still finishes its running
    // requests.
    sim.engines.unlist(&leader);
    sim.working.insert(leader.clone());
    for _ in 0..20 {
        sim.now = sim.now + Millis::new(100);
        sim.engines.advance(sim.now);
        sim.step_planner(|order| match order {
            Order::Close(_) | Order::Cut(_) => Delivery::Refused,
            _ => Delivery::Answered,
        });
    }
    let ordered = sim
        .first_order("cut", &leader)
        .or(sim.first_order("close", &leader));
    assert!(ordered.is_some(), "{:?}", sim.orders);
    let joined = |sim: &Simulation| members.iter().any(|m| sim.first_order("join", m).is_some());
    assert!(!joined(&sim), "{:?}", sim.orders);
    sim.engines.kill(&leader);
    sim.working.clear();
    sim.run(secs(2));
    assert!(joined(&sim), "{:?}", sim.orders);
    sim.assert_no_breaches();
}

/// Guards against a target in two groups after a planner was lost. The new planner had started 1.2
/// s before a leader left the list, did not know the leader, and reused a member 2.8 s later while
/// the leader still finished its requests.
#[test]
fn members_of_a_leader_that_nobody_knows_wait_until_its_work_must_have_ended() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    sim.engines.unlist(&leader);
    sim.planner = FleetPlanner::default();
    sim.orders.clear();
    let joined = |sim: &Simulation| members.iter().any(|m| sim.first_order("join", m).is_some());
    // An order to join the old group again may be carried out 12 s after it was sent.
    sim.run(secs(11));
    assert!(!joined(&sim), "{:?}", sim.orders);
    sim.run(secs(3));
    assert!(joined(&sim), "{:?}", sim.orders);
    sim.assert_no_breaches();
}

#[test]
fn a_planner_that_takes_over_knows_who_led() {
    let mut sim = Simulation::formed(6);
    let mut successor = FleetPlanner::default();
    successor.watch(&sim.engines.listed(), sim.now);
    let (leader, _) = sim.group_of(4);
    sim.engines.unlist(&leader);
    sim.planner = successor;
    sim.term = 2;
    sim.run(secs(6));
    assert!(sim.first_order("close", &leader).is_some());
    sim.assert_no_breaches();
}

/// The previous planner's joins to other groups may be in flight, so the members join anew, with
/// the weights that they have loaded.
#[test]
fn a_group_that_another_planner_formed_is_formed_anew_and_opened_when_it_is_ready() {
    let mut sim = Simulation::new(1);
    // The first planner is lost when all members have joined.
    for _ in 0..20 {
        sim.now = sim.now + Millis::new(100);
        sim.engines.advance(sim.now);
        sim.step_planner(|_| Delivery::Answered);
    }
    let joins = sim
        .orders
        .iter()
        .filter(|(_, _, o)| o.name() == "join")
        .count();
    assert_eq!(joins, 8, "two serving groups and one on standby");
    sim.planner = FleetPlanner::default();
    sim.term = 2;
    sim.before_traffic = false;
    sim.orders.clear();
    let ready = |sim: &Simulation| {
        let listed = sim.engines.listed();
        let mut large = listed
            .values()
            .filter(|t| t.model() == Some(&"large".into()));
        large.next().is_some()
    };
    while !ready(&sim) {
        sim.run(STEP);
    }
    sim.run(SECOND);
    assert_eq!(
        sim.sizes().0,
        1,
        "the large group serves a second after its load"
    );
    sim.run(secs(10));
    assert_eq!(sim.sizes(), (1, 1));
    let joins = sim.orders.iter().filter(|(_, _, o)| o.name() == "join");
    assert_eq!(joins.count(), 6, "{:?}", sim.orders);
    sim.assert_no_breaches();
}

#[test]
fn a_join_without_an_answer_is_given_again_with_the_same_epoch() {
    let mut sim = Simulation::new(1);
    let mut lost = 2;
    for _ in 0..40 {
        sim.now = sim.now + Millis::new(100);
        sim.engines.advance(sim.now);
        sim.step_planner(|order| match order {
            Order::Join { .. } if lost > 0 => {
                lost -= 1;
                Delivery::Lost
            }
            _ => Delivery::Answered,
        });
    }
    sim.run(secs(60));
    assert_eq!(sim.sizes(), (1, 1));
    let mut epochs: Vec<u64> = sim.orders.iter().filter_map(|(_, _, o)| epoch(o)).collect();
    epochs.sort_unstable();
    epochs.dedup();
    assert_eq!(epochs.len(), 3, "one epoch a group: {epochs:?}");
}

#[test]
fn a_leaving_member_ends_its_group_and_leaves_it_in_peace() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    sim.engines.leave(&members[3]);
    sim.run(secs(4));
    assert!(sim.first_order("close", &leader).is_some());
    assert!(sim.first_order("join", &members[3]).is_none());
    assert_eq!(sim.sizes(), (6, 6), "{:?}", sim.orders);
}

#[test]
fn no_more_loads_run_at_once_than_the_weight_store_serves_at_full_rate() {
    let mut sim = Simulation::formed(6);
    for number in 48..64 {
        sim.engines.add(number);
    }
    // The first loads end after 16 s.
    sim.run(secs(15));
    let loads = sim.orders.iter();
    let loads = loads.filter(|(_, _, o)| matches!(o, Order::Stage(_)));
    assert_eq!(loads.count(), 6);
    sim.run(secs(90));
    assert!(
        sim.sizes().0 > 6,
        "the new targets form groups: {:?}",
        sim.sizes()
    );
}

#[test]
fn idle_targets_load_what_the_next_group_lacks_first() {
    let mut sim = Simulation::formed(1);
    // Targets without weights in one domain; in another domain three that hold the weights of the
    // large model and one without weights.
    for number in 8..11 {
        sim.engines.add(number);
    }
    let near: Vec<_> = (16..20).map(|n| sim.engines.add(n)).collect();
    let large = Order::Stage("large".into());
    for id in &near[..3] {
        sim.engines.order(id, &large, sim.now);
    }
    sim.now = sim.now + secs(17);
    sim.engines.advance(sim.now);
    sim.run(secs(1));
    let mut orders = sim.orders.iter();
    let first = orders.find(|(_, _, o)| matches!(o, Order::Stage(_)));
    let (_, first, order) = first.expect("a load is begun");
    assert_eq!((first, order), (&near[3], &large), "{:?}", sim.orders);
}

#[test]
fn a_model_that_has_enough_takes_no_targets_while_another_is_short() {
    let mut sim = Simulation::formed(1);
    let (leader, members) = sim.group_of(4);
    for lost in [&leader, &members[1]] {
        sim.engines.kill(lost);
        sim.engines.unlist(lost);
    }
    sim.run(secs(12));
    let small = sim.orders.iter().filter(|(_, _, o)| match o {
        Order::Join { model, .. } => model.as_str() == "small",
        _ => false,
    });
    assert_eq!(small.count(), 0, "{:?}", sim.orders);
}

fn epoch(order: &Order) -> Option<u64> {
    match order {
        Order::Join { to, .. } => Some(to.epoch),
        _ => None,
    }
}
