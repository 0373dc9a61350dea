//! No target is in two groups, whatever arrives late and whoever is cut off.

use thistlesill_core::Millis;
use thistlesill_core::edge::Order;
use thistlesill_policy::edge::fleet::FleetPlanner;

use crate::stage::{Fate, STEP, Stage};

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

/// A planner cut a group with a slow member, gave its members joins of another one that were
/// not answered, and was killed. Its successor saw the old group whole and ready, and opened
/// it; then the joins took effect at its leader and members, while it served.
#[test]
fn a_group_whose_members_may_join_another_one_late_is_not_opened_by_a_successor() {
    let mut stage = Stage::formed(6);
    let (leader, members) = stage.group_of(4);
    stage.slow.insert(members[2].clone());
    stage.doubted.insert(leader.clone());
    let joins = |stage: &Stage| stage.orders.iter().any(|(_, _, o)| o.name() == "join");
    for _ in 0..40 {
        stage.now = stage.now + STEP;
        stage.engines.advance(stage.now);
        stage.look(|order| match order {
            Order::Join { .. } => Fate::Late(secs(4)),
            _ => Fate::Done,
        });
        if joins(&stage) {
            break;
        }
    }
    assert!(joins(&stage), "{:?}", stage.orders);
    assert!(stage.given("cut", &leader).is_some());
    stage.planner = FleetPlanner::default();
    stage.term = 2;
    stage.slow.clear();
    stage.doubted.clear();
    stage.run(secs(10));
    stage.assert_sound();
    assert_eq!(stage.sizes(), (6, 6));
}

/// A leader was cut off from the store and the planner, and served on. Its entry lapsed; a
/// planner that had just started saw its members without a leader, took them for idle
/// 3.1 s later, and had them join another group: two targets were in two groups. The lines
/// that settled it, seconds apart: `target_gone` of the leader at 24.1, `order=stage` to a
/// member at 27.2, `order=join reply=Taken` at 29.2, the leader `serves=true` at 29.3.
#[test]
fn members_of_a_leader_that_is_cut_off_and_serves_are_in_no_other_group() {
    for watched in [true, false] {
        let mut stage = Stage::formed(6);
        let (leader, _) = stage.group_of(4);
        if !watched {
            stage.planner = FleetPlanner::default();
            stage.term = 2;
        }
        stage.cut_off(&leader);
        stage.run(secs(14));
        stage.heal(&leader);
        stage.run(secs(8));
        stage.assert_sound();
        assert_eq!(stage.sizes(), (6, 6));
    }
}
