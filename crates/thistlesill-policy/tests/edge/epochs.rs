//! Tests the epochs of new groups beside entries whose epochs no planner has assigned.

use std::collections::{HashMap, HashSet};

use thistlesill_core::Millis;
use thistlesill_core::edge::{
    GroupRef, Incarnation, MemberState, Membership, Order, OrderReply, TargetId,
};
use thistlesill_policy::edge::fleet::FleetPlanner;

use crate::stage::Simulation;

/// Epochs that another writer may leave: far beyond those of the term, at the limits of integers, and
/// right below and above what earlier versions accepted.
const ODD_EPOCHS: [u64; 8] = [
    1 << 32,
    1 << 53,
    (1 << 62) - 1,
    1 << 62,
    (1 << 62) + 1,
    1 << 63,
    u64::MAX - 2,
    u64::MAX - 1,
];

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

/// Returns the joins that were ordered, with the groups and all members.
fn joins(sim: &Simulation) -> Vec<(TargetId, GroupRef)> {
    let orders = sim.orders.iter();
    let joins = orders.filter_map(|(_, target, order)| match order {
        Order::Join { to, .. } => Some((target.clone(), to.clone())),
        _ => None,
    });
    joins.collect()
}

/// Returns the groups that the listed targets show.
fn shown(sim: &Simulation) -> HashMap<TargetId, GroupRef> {
    let targets = sim.engines.listed().into_iter();
    targets
        .filter_map(|(id, target)| Some((id, target.member?.of)))
        .collect()
}

/// Adds an engine that no order reaches, and whose entry shows this epoch.
fn add_odd(sim: &mut Simulation, number: usize, epoch: u64) -> TargetId {
    let odd = sim.engines.add(number);
    let member = Membership {
        of: GroupRef {
            group: "odd".into(),
            epoch,
        },
        rank: 0,
        state: MemberState::Broken,
        model: None,
    };
    sim.engines.ascribe(&odd, member);
    sim.isolated.insert(odd.clone());
    odd
}

#[test]
fn epochs_exceed_all_that_their_members_have_shown() {
    // A term that was lost and begins anew must not bring old epochs back.
    for term in [0, 1] {
        let mut sim = Simulation::formed(2);
        let before = shown(&sim);
        sim.planner = FleetPlanner::default();
        sim.term = term;
        let (_, members) = sim.group_of(4);
        sim.engines.kill(&members[1]);
        sim.run(secs(30));
        let joins = joins(&sim);
        assert!(!joins.is_empty(), "a group is formed");
        for (target, group) in joins {
            let held = before.get(&target).map_or(0, |of| of.epoch);
            assert!(group.epoch > held, "{target} held {held}: {group:?}");
            let is_old = before.values().any(|of| *of == group);
            assert!(!is_old, "{group:?} was formed before");
        }
        sim.assert_no_breaches();
    }
}

/// Guards against groups that no daemon accepts since one odd entry sets their epochs.
#[test]
fn an_odd_entry_sets_the_epochs_of_groups_that_it_has_no_part_in() {
    for epoch in ODD_EPOCHS {
        let mut sim = Simulation::formed(2);
        // In a domain of its own.
        let odd = add_odd(&mut sim, 40, epoch);
        sim.run(secs(1));
        let before = sim.sizes();
        // All engines are lost, and come back as new incarnations.
        for id in sim.engines.listed().into_keys().filter(|id| *id != odd) {
            let born = Incarnation::new(sim.wall());
            sim.engines.restart(&id, born);
        }
        sim.run(secs(90));
        let joins = joins(&sim);
        assert!(!joins.is_empty(), "{epoch}: groups are formed");
        let limit = (sim.term + 1) << 20;
        assert!(joins.iter().all(|(_, g)| g.epoch < limit), "{joins:?}");
        assert!(sim.sizes().0 >= before.0, "{epoch}: {:?}", sim.sizes());
        sim.assert_no_breaches();
    }
}

/// Guards against members that accept no later join since one odd entry was chosen to join with them.
#[test]
fn members_hold_the_epoch_of_an_odd_entry_that_never_joined() {
    for epoch in ODD_EPOCHS {
        let mut sim = Simulation::formed(1);
        // The other engines of its domain need it for another group.
        let odd = add_odd(&mut sim, 7 + 8, epoch);
        for number in 8..15 {
            sim.engines.add(number);
        }
        sim.run(secs(120));
        let limit = (sim.term + 1) << 20;
        for (target, group) in joins(&sim) {
            let is_sound = target == odd || group.epoch < limit;
            assert!(is_sound, "{epoch}: {target} is ordered to join {group:?}");
        }
        assert_eq!(sim.sizes().0, 2, "{epoch}: a group without it is formed");
        sim.assert_no_breaches();
    }
}

#[test]
fn targets_that_hold_a_high_epoch_join_the_next_group() {
    for held in [1 << 40, (1 << 62) - 1, 1 << 62, 1 << 63, u64::MAX - 2] {
        let mut sim = Simulation::formed(2);
        // All took joins of a planner whose term is lost.
        let model = "small".into();
        for (number, id) in sim.engines.listed().into_keys().enumerate() {
            let to = GroupRef {
                group: format!("x-{number}").into(),
                epoch: held,
            };
            if let Some(of) = shown(&sim).get(&id).cloned() {
                sim.engines.order(&id, &Order::Leave(of), sim.now);
            }
            let order = Order::Join {
                to,
                model: Clone::clone(&model),
                members: vec![id.clone()],
                orders_taken: sim.engines.orders_taken(&id),
            };
            assert_eq!(
                sim.engines.order(&id, &order, sim.now),
                OrderReply::Begun,
                "{id}"
            );
        }
        sim.planner = FleetPlanner::default();
        sim.run(secs(60));
        assert_eq!(sim.sizes().0, 2, "{held}: {:?}", joins(&sim));
        sim.assert_no_breaches();
    }
}

/// Two planners whose terms overlap follow the same high epoch.
#[test]
fn planners_of_two_terms_assign_the_same_epoch_after_a_high_one() {
    let ordered = |term| {
        let mut sim = Simulation::formed(1);
        for (id, of) in shown(&sim) {
            let epoch = 1 << 62;
            let member = Membership {
                of: GroupRef { epoch, ..of },
                rank: 9,
                state: MemberState::Broken,
                model: None,
            };
            sim.engines.ascribe(&id, member);
        }
        sim.planner = FleetPlanner::default();
        sim.term = term;
        sim.run(secs(60));
        joins(&sim).into_iter().map(|(_, group)| group)
    };
    let first: HashSet<GroupRef> = ordered(5).collect();
    let second: HashSet<GroupRef> = ordered(6).collect();
    let highest = first.iter().map(|group| group.epoch).max();
    let lowest = second.iter().map(|group| group.epoch).min();
    assert!(first.iter().all(|group| group.epoch > 1 << 62), "{first:?}");
    assert!(
        highest.is_some() && highest < lowest,
        "{first:?}, {second:?}"
    );
}

/// Guards against a model that gets no group for good, as an entry in a domain of its own counts as capacity
/// for a further group of the other model.
#[test]
fn an_odd_entry_in_a_domain_of_its_own_is_capacity() {
    for pause in [1, 2, 3, 5] {
        let mut sim = Simulation::formed(1);
        let odd = add_odd(&mut sim, 40, 1 << 62);
        sim.run(secs(1));
        // All engines start again, in two batches.
        let ids: Vec<TargetId> = sim.engines.listed().into_keys().collect();
        let sound = ids.iter().filter(|id| **id != odd);
        let (first, second): (Vec<&TargetId>, Vec<&TargetId>) = sound.partition(|id| {
            let instance = id.instance().as_str();
            !matches!(instance, "i-001" | "i-004" | "i-005")
        });
        for batch in [first, second] {
            for id in batch {
                let born = Incarnation::new(sim.wall());
                sim.engines.restart(id, born);
            }
            sim.run(Millis::new(100 * pause));
        }
        sim.run(secs(60));
        assert_eq!(sim.sizes(), (1, 1), "{pause}");
        sim.assert_no_breaches();
    }
}

/// Guards against sound members that are ordered to join with an odd one before it has joined itself.
#[test]
fn sound_members_join_with_an_odd_one_that_has_not_joined() {
    let mut sim = Simulation::new(0);
    for number in 0..3 {
        sim.engines.add(number);
    }
    let odd = add_odd(&mut sim, 3, 1 << 62);
    // With two of them in a group, the third one is left with the odd one.
    sim.run(secs(20));
    let limit = (sim.term + 1) << 20;
    let joins = joins(&sim);
    assert!(!joins.is_empty(), "the sound ones form a group");
    let others = joins.iter().filter(|(target, _)| *target != odd);
    let raised: Vec<_> = others.filter(|(_, group)| group.epoch >= limit).collect();
    assert!(raised.is_empty(), "{raised:?}");
}
