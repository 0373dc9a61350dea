//! Tests that no target is in two groups, whichever orders are late and whichever engines are
//! isolated.

use thistlesill_core::Millis;
use thistlesill_core::edge::{Incarnation, Order, TargetId};
use thistlesill_policy::edge::fleet::FleetPlanner;

use crate::stage::{Delivery, STEP, Simulation};

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

/// Replaces the planner by one that has watched for 13 s.
fn hand_over(sim: &mut Simulation) {
    let mut successor = FleetPlanner::default();
    for _ in 0..130 {
        sim.step(|_| Delivery::Answered);
        successor.watch(&sim.engines.listed(), sim.now);
    }
    sim.planner = successor;
    sim.term = 2;
}

/// Guards against a successor that opens a group whose members have unanswered joins to another
/// group. The planner had cut the group for a slow member, sent the joins and was killed; the joins
/// were carried out while the group served.
#[test]
fn a_group_whose_members_may_join_another_one_late_is_not_opened_by_a_successor() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    sim.slow_targets.insert(members[2].clone());
    sim.slow_leaders.insert(leader.clone());
    let joins = |sim: &Simulation| sim.orders.iter().any(|(_, _, o)| o.name() == "join");
    for _ in 0..40 {
        sim.now = sim.now + STEP;
        sim.engines.advance(sim.now);
        sim.step_planner(|order| match order {
            Order::Join { .. } => Delivery::Late(secs(4)),
            _ => Delivery::Answered,
        });
        if joins(&sim) {
            break;
        }
    }
    assert!(joins(&sim), "{:?}", sim.orders);
    assert!(sim.first_order("cut", &leader).is_some());
    sim.planner = FleetPlanner::default();
    sim.term = 2;
    sim.slow_targets.clear();
    sim.slow_leaders.clear();
    sim.run(secs(10));
    sim.assert_no_breaches();
    assert_eq!(sim.sizes(), (6, 6));
}

/// Guards against reusing the members of an isolated leader that still serves. Its entry expired,
/// and a planner that had just started took the members without a leader for idle 3.1 s later and
/// had them join another group, so that two targets were in two groups.
#[test]
fn members_of_a_leader_that_is_cut_off_and_serves_are_in_no_other_group() {
    for watched in [true, false] {
        let mut sim = Simulation::formed(6);
        let (leader, _) = sim.group_of(4);
        if !watched {
            sim.planner = FleetPlanner::default();
            sim.term = 2;
        }
        sim.isolate(&leader);
        sim.run(secs(14));
        sim.heal(&leader);
        sim.run(secs(8));
        sim.assert_no_breaches();
        assert_eq!(sim.sizes(), (6, 6));
    }
}

/// Guards against a late join that reaches a restarted target. The member had joined the serving
/// group after the join, then restarted and lost its epochs, so the new incarnation accepted the
/// late join while its leader, which no order reached, served.
#[test]
fn a_join_that_was_given_to_an_earlier_life_is_refused_by_a_later_one() {
    let mut sim = Simulation::formed(6);
    let (leader, members) = sim.group_of(4);
    sim.slow_targets.insert(members[2].clone());
    sim.slow_leaders.insert(leader.clone());
    let member = members[1].clone();
    while sim.first_order("join", &member).is_none() {
        sim.step(|order| match order {
            Order::Join { .. } => Delivery::Late(secs(9)),
            _ => Delivery::Answered,
        });
    }
    let given = sim.now;
    sim.planner = FleetPlanner::default();
    sim.term = 2;
    sim.slow_targets.clear();
    sim.slow_leaders.clear();
    sim.run(secs(4));
    let serving = sim.engines.serving();
    let serves = serving.iter().any(|(_, all)| all.contains(&member));
    assert!(serves, "{:?}", sim.orders);
    let born = Incarnation::new(sim.wall());
    sim.engines.restart(&member, born).expect("it is known");
    while sim.now < given + secs(11) {
        sim.step(|order| match order {
            Order::Cut(_) => Delivery::Lost,
            _ => Delivery::Answered,
        });
    }
    sim.assert_no_breaches();
    sim.run(secs(20));
    sim.assert_no_breaches();
    assert_eq!(sim.sizes(), (6, 6));
}

/// The same for a target whose first order got no answer: an incarnation that has taken no order
/// either accepts the order of the earlier one.
#[test]
fn a_first_order_without_an_answer_keeps_its_target_out_of_other_groups() {
    let mut sim = Simulation::new(2);
    sim.engines.times.load = Millis::new(500);
    let mut first = None;
    for _ in 0..20 {
        sim.step(|order| match order {
            Order::Join { to, members, .. } if members.len() == 2 && first.is_none() => {
                first = Some((to.clone(), members.clone()));
                Delivery::Late(secs(9))
            }
            _ => Delivery::Answered,
        });
        if first.is_some() {
            break;
        }
    }
    let (group, members) = first.expect("a small group is formed");
    // The group is given up, and so is another one of the domain: two targets are left.
    for lost in [&members[1], &TargetId::from("i-007")] {
        sim.engines.kill(lost);
        sim.engines.unlist(lost);
    }
    let other_joins = |sim: &Simulation| {
        let joins = sim.orders.iter().filter(|(_, id, _)| *id == members[0]);
        let other = joins.filter(|(_, _, o)| matches!(o, Order::Join { to, .. } if *to != group));
        other.count()
    };
    sim.run(secs(11));
    assert_eq!(other_joins(&sim), 0, "{:?}", sim.orders);
    sim.run(secs(10));
    assert!(other_joins(&sim) > 0, "{:?}", sim.orders);
    sim.assert_no_breaches();
}

/// Guards against targets that idle for 12 s when they restart under a new planner, as after an
/// outage of the store. Their earlier incarnations had been members of groups for so long that no
/// first order to them could still arrive.
#[test]
fn targets_that_start_again_under_a_new_planner_are_used_at_once() {
    let mut sim = Simulation::formed(6);
    hand_over(&mut sim);
    sim.run(secs(2));
    let (leader, members) = sim.group_of(4);
    for id in [&leader, &members[1], &members[2], &members[3]] {
        let born = Incarnation::new(sim.wall());
        sim.engines.restart(id, born).expect("it is known");
    }
    sim.run(secs(4));
    sim.assert_no_breaches();
    assert_eq!(sim.sizes(), (6, 6));
}

/// The same for instances that were never listed before: they have no earlier incarnation.
#[test]
fn instances_that_join_the_list_under_a_new_planner_are_used_at_once() {
    let mut sim = Simulation::formed(2);
    sim.engines.times.load = Millis::new(500);
    hand_over(&mut sim);
    sim.demand.insert("large".into(), 6.0);
    sim.run(secs(2));
    let added: Vec<TargetId> = (16..24).map(|number| sim.engines.add(number)).collect();
    sim.run(secs(4));
    let joined = added
        .iter()
        .filter(|id| sim.first_order("join", id).is_some());
    assert!(joined.count() >= 4, "{:?}", sim.orders);
    sim.assert_no_breaches();
}
