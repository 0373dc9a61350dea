//! Groups follow the work that callers ask for.

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, Order, TargetId};

use crate::stage::Simulation;

fn secs(s: u64) -> Millis {
    Millis::new(s * 1_000)
}

fn ask(stage: &mut Simulation, large: f64, small: f64) {
    stage.demand.insert("large".into(), large);
    stage.demand.insert("small".into(), small);
}

/// Groups that were told to end what they have.
fn closed(stage: &Simulation) -> usize {
    let closes = stage.orders.iter();
    let closes = closes.filter(|(_, _, o)| matches!(o, Order::Close(_)));
    closes.count()
}

#[test]
fn work_as_announced_changes_nothing() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 2.9, 2.4);
    stage.run(secs(30));
    assert_eq!(stage.sizes(), (6, 6));
    assert_eq!(closed(&stage), 0);
}

#[test]
fn groups_with_room_give_way_to_a_short_model_within_seconds() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 5.8, 0.8);
    stage.run(secs(12));
    let (large, small) = stage.sizes();
    assert!(large >= 8, "{large} large groups");
    assert!(small >= 2, "{small} small groups");
    stage.assert_no_breaches();
}

#[test]
fn the_model_that_gives_keeps_what_its_own_work_needs() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 9.0, 2.4);
    for _ in 0..30 {
        stage.run(secs(1));
        let (_, small) = stage.sizes();
        // 2.4 groups' work at 0.6 of their time, less what all must do without.
        assert!(small >= 3, "{small} small groups");
    }
    stage.assert_no_breaches();
}

/// Both models ask for more than there is: a change would cost both of them the groups
/// for its time, and the model that gives could not do without.
#[test]
fn a_model_that_is_short_itself_gives_nothing() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 12.0, 4.0);
    stage.run(secs(20));
    assert_eq!(closed(&stage), 0);
    assert_eq!(stage.sizes().1, 6);
}

/// Two models ask for more than there is, and the smaller one's places are full: two of
/// its groups that had given way were opened again 1.3 s later, and gave way anew, four
/// times in seven seconds, so that neither model had them.
#[test]
fn a_group_that_gave_way_is_not_opened_again_for_its_old_model() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 5.8, 0.8);
    for _ in 0..30 {
        for (leader, members) in stage.engines.serving() {
            if members.len() == 2 {
                stage.requests.insert(leader, 26);
            }
        }
        stage.run(secs(1));
    }
    let mut gone: Vec<&GroupRef> = Vec::new();
    let mut again = Vec::new();
    for (_, _, order) in &stage.orders {
        match order {
            Order::Close(group) => gone.push(group),
            Order::Open(group) if gone.contains(&group) => again.push(group),
            _ => {}
        }
    }
    assert_eq!(again, Vec::<&GroupRef>::new(), "opened after they closed");
    assert!(stage.sizes().0 >= 8, "{:?}", stage.sizes());
    stage.assert_no_breaches();
}

#[test]
fn groups_change_back_when_demand_returns() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 5.8, 0.8);
    stage.run(secs(20));
    ask(&mut stage, 2.0, 4.4);
    stage.run(secs(60));
    let (_, small) = stage.sizes();
    assert!(small >= 7, "{small} small groups: {:?}", stage.sizes());
    stage.assert_no_breaches();
}

#[test]
fn a_lost_group_is_no_reason_for_a_change() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 3.5, 1.6);
    let (_, members) = stage.group_of(4);
    stage.engines.kill(&members[1]);
    stage.run(secs(20));
    assert_eq!(stage.sizes().0, 6);
    assert_eq!(closed(&stage), 0);
}

#[test]
fn all_hold_the_large_model_before_the_first_requests() {
    let stage = Simulation::formed(6);
    for target in stage.engines.listed().values() {
        assert_eq!(target.staged, ["large".into()], "{target:?}");
    }
}

/// The leaders of the groups of the large model that take requests.
fn large_leaders(stage: &Simulation) -> Vec<TargetId> {
    let groups = stage.engines.serving().into_iter();
    let large = groups.filter(|(_, members)| members.len() == 4);
    large.map(|(leader, _)| leader).collect()
}

/// A group whose leader names a limit serves less than one without: others are needed for
/// the rest, and the group itself stays as it is.
#[test]
fn groups_are_formed_for_the_work_that_limits_leave() {
    let mut stage = Simulation::formed(6);
    ask(&mut stage, 3.4, 1.0);
    stage.run(secs(10));
    let (before, _) = stage.sizes();
    let leaders = large_leaders(&stage);
    stage.capacity_ratios = leaders
        .iter()
        .take(4)
        .map(|id| (id.clone(), 0.25))
        .collect();
    stage.run(secs(40));
    let (after, small) = stage.sizes();
    assert!(after > before, "{after} large groups, {before} before");
    assert!(small >= 1, "{small} small groups");
    for leader in &leaders {
        assert!(
            large_leaders(&stage).contains(leader),
            "{leader:?} was replaced"
        );
    }
    stage.assert_no_breaches();
}
