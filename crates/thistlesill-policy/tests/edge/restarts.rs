//! Tests of targets that restart under the same instance id: state belongs to one incarnation.

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, Incarnation, MemberState, Order, Target, TargetId};
use thistlesill_policy::edge::book::{Listing, RELIST_GRACE, TargetRegistry};
use thistlesill_policy::edge::feed::{Batch, Change, Feed};
use thistlesill_policy::edge::fleet::{FleetPlanner, ProbeOutcome};
use thistlesill_policy::edge::load::{LoadTable, Work};

use crate::book::{listed, target};
use crate::leaders::leader;
use crate::stage::{Delivery, STEP, Simulation};

const NOW: Millis = Millis::new(1_000_000);
const FIRST: Incarnation = Incarnation::new(1_790_000_000_000);
/// The clock of the instance jumped back before this start.
const RESTARTED: Incarnation = Incarnation::new(1_789_999_000_000);

fn target_id(instance: &str, incarnation: Incarnation) -> TargetId {
    TargetId::new(instance.into(), incarnation)
}

fn book() -> TargetRegistry {
    let mut book = TargetRegistry::default();
    book.store_answered(NOW);
    book.apply(
        vec![listed(target_id("a", FIRST)), listed(target_id("b", FIRST))],
        None,
        NOW,
    );
    book
}

fn serving(book: &TargetRegistry) -> Vec<TargetId> {
    let serving = book.serving(&"s".into(), None).iter();
    serving.map(|t| t.id.clone()).collect()
}

#[test]
fn the_later_listing_of_an_instance_replaces_the_earlier_one() {
    let mut book = book();
    book.apply(vec![listed(target_id("a", RESTARTED))], None, NOW);
    assert_eq!(
        serving(&book),
        [target_id("a", RESTARTED), target_id("b", FIRST)]
    );
    assert!(
        book.is_current(&target_id("a", RESTARTED)) && !book.is_current(&target_id("a", FIRST))
    );
    assert_eq!(book.count(), 2);
}

#[test]
fn a_life_that_lapsed_with_the_store_does_not_outlast_the_next_one() {
    let mut book = book();
    book.store_failed();
    let back = NOW + Millis::new(9_000);
    book.store_answered(back);
    book.apply(vec![Listing::Gone("a".into())], None, back);
    assert!(
        book.is_current(&target_id("a", FIRST)),
        "the entry may only have expired"
    );
    book.apply(vec![listed(target_id("a", RESTARTED))], None, back);
    assert_eq!(
        serving(&book),
        [target_id("a", RESTARTED), target_id("b", FIRST)]
    );
    assert!(
        !book.expire(None, back + RELIST_GRACE),
        "the new incarnation is listed"
    );
    assert_eq!(book.count(), 2);
}

#[test]
fn a_whole_read_brings_the_lives_that_it_lists() {
    let mut book = book();
    let all = vec![
        listed(target_id("a", RESTARTED)),
        Listing::Unusable("b".into()),
    ];
    book.replace(all, None, NOW);
    assert_eq!(serving(&book), [target_id("a", RESTARTED)]);
}

#[test]
fn an_entry_that_cannot_be_used_ends_what_it_replaced_at_once() {
    let mut book = book();
    // Unlike an entry that expires just after the store came back, this one is not kept.
    book.apply(vec![Listing::Unusable("a".into())], None, NOW);
    assert_eq!(serving(&book), [target_id("b", FIRST)]);
    assert_eq!(book.incarnation(&"a".into()), None);
    book.apply(vec![listed(target_id("a", FIRST))], None, NOW);
    assert_eq!(book.count(), 2, "its target registered again");
}

#[test]
fn an_instance_that_changes_its_service_serves_the_old_one_no_longer() {
    let mut book = book();
    let moved = Target {
        service: "other".into(),
        ..target(target_id("a", FIRST))
    };
    book.apply(vec![Listing::Listed(Box::new(moved))], None, NOW);
    assert_eq!(serving(&book), [target_id("b", FIRST)]);
    assert_eq!(book.serving(&"other".into(), None).len(), 1);
}

#[test]
fn lives_told_of_in_the_wrong_order_end_as_the_store_has_them() {
    let change = |version, id| Change {
        version,
        entry: listed(id),
    };
    let batch = |before, after, changes| Batch {
        before,
        after,
        changes,
        store_uptime: None,
    };
    let mut feed = Feed::default();
    feed.restart(10);
    let mut book = book();
    // The second start arrives before the first one, which arrives again from a peer that lags.
    let late = batch(11, 12, vec![change(12, target_id("a", RESTARTED))]);
    let early = batch(
        10,
        11,
        vec![change(11, target_id("a", Incarnation::new(7)))],
    );
    let mut apply_from = |first: Option<Batch>, feed: &mut Feed| {
        let mut next = first;
        while let Some(batch) = next {
            let new_changes = feed.unknown(batch.changes);
            feed.extend(&new_changes, batch.after);
            book.apply(
                new_changes.into_iter().map(|c| c.entry).collect(),
                None,
                NOW,
            );
            next = feed.next_held();
        }
    };
    for batch in [late.clone(), early.clone(), late, early] {
        let first = feed.accept(batch);
        apply_from(first, &mut feed);
    }
    assert_eq!(
        serving(&book),
        [target_id("a", RESTARTED), target_id("b", FIRST)]
    );
}

#[test]
fn load_and_suspicion_stay_with_the_life_that_they_are_of() {
    let mut loads = LoadTable::default();
    let (old, new) = (target_id("a", FIRST), target_id("a", RESTARTED));
    let target = Target {
        id: old.clone(),
        ..leader("a")
    };
    loads.begin(&target, 100, None, NOW);
    loads.suspect(&old, NOW);
    loads.add_granted(
        &"peer".into(),
        &target,
        100,
        NOW + Millis::new(900),
        None,
        NOW,
    );
    assert!(!loads.is_suspect(&new, NOW));
    assert_eq!(loads.work(&new, NOW), Work::default());
    loads.end(&old);
    loads.retain(|id| *id == new, NOW);
    assert!(
        !loads.is_suspect(&old, NOW),
        "the old incarnation is forgotten"
    );
}

#[test]
fn an_answer_of_another_life_tells_that_a_member_is_lost() {
    let known = target_id("a", FIRST);
    let of = |answered, pace| ProbeOutcome::from_report(&known, answered, pace, 2.5);
    assert_eq!(of(FIRST, 1.0), ProbeOutcome::Healthy);
    assert_eq!(of(FIRST, 3.0), ProbeOutcome::Slow);
    assert_eq!(of(RESTARTED, 1.0), ProbeOutcome::Restarted);
    // Not all platforms report the incarnation.
    assert_eq!(of(Incarnation::default(), 1.0), ProbeOutcome::Healthy);
}

#[test]
fn a_group_whose_member_started_again_is_cut_and_replaced_at_once() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    stage.engines.restart(&members[2], RESTARTED);
    stage.run(STEP);
    assert!(
        stage.first_order("cut", &leader).is_some(),
        "{:?}",
        stage.orders
    );
    stage.run(Millis::new(4_000));
    assert_eq!(stage.sizes(), (6, 6));
    stage.assert_no_breaches();
}

#[test]
fn a_leader_that_started_again_leaves_its_members_free() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    stage.engines.restart(&leader, RESTARTED);
    // Some daemon has not noticed the restart yet.
    stage.working.insert(leader.clone());
    stage.run(Millis::new(300));
    // Orders to the earlier incarnation do not count for the new one.
    assert!(stage.first_order("cut", &leader).is_none());
    let joins = members[1..].iter();
    let joined = joins.filter(|id| stage.first_order("join", id).is_some());
    assert!(joined.count() >= 2, "{:?}", stage.orders);
    stage.run(Millis::new(3_000));
    assert_eq!(stage.sizes(), (6, 6));
    stage.assert_no_breaches();
}

#[test]
fn an_instance_waits_for_the_end_of_the_group_of_its_earlier_life() {
    let mut stage = Simulation::formed(1);
    let (leader, members) = stage.group_of(2);
    // Since the group is full, its model would get another group, of one spare and the instance
    // that restarts.
    stage.requests.insert(leader.clone(), 26);
    stage.demand.insert("small".into(), 3.0);
    let spares = stage.spares();
    stage.engines.kill(&spares[0].id);
    stage.engines.unlist(&spares[0].id);
    let new = stage
        .engines
        .restart(&members[1], RESTARTED)
        .expect("known");
    // The leader does not receive its order and continues to serve.
    for _ in 0..40 {
        stage.now = stage.now + STEP;
        stage.engines.advance(stage.now);
        stage.step_planner(|order| match order {
            Order::Cut(_) => Delivery::Lost,
            _ => Delivery::Answered,
        });
    }
    assert!(stage.engines.serving().iter().any(|(l, _)| *l == leader));
    let ordered = |stage: &Simulation| stage.orders.iter().any(|(_, id, _)| *id == new);
    assert!(!ordered(&stage), "{:?}", stage.orders);
    stage.run(Millis::new(4_000));
    assert!(ordered(&stage), "{:?}", stage.orders);
    stage.assert_no_breaches();
}

#[test]
fn a_group_whose_member_was_taken_by_a_late_order_is_cut() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    let stray = Order::Join {
        to: GroupRef {
            group: "g-new".into(),
            epoch: u64::MAX >> 2,
        },
        model: "large".into(),
        members: vec!["i-999".into(), members[1].clone()],
        orders_taken: stage.engines.orders_taken(&members[1]),
    };
    stage.engines.order(&members[1], &stray, stage.now);
    stage.run(STEP);
    assert!(
        stage.first_order("cut", &leader).is_some(),
        "{:?}",
        stage.orders
    );
}

#[test]
fn a_probe_tells_of_a_restart_before_the_list_does() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    stage
        .planner
        .record_probe(&members[1], ProbeOutcome::Restarted, stage.now);
    let targets = stage.engines.listed();
    assert_eq!(stage.planner.broken_targets(&targets), {
        let mut both = vec![leader.clone(), members[1].clone()];
        both.sort();
        both
    });
    stage.run(STEP);
    assert!(
        stage.first_order("cut", &leader).is_some(),
        "{:?}",
        stage.orders
    );
}

#[test]
fn a_join_of_the_earlier_life_that_comes_late_opens_nothing() {
    let mut stage = Simulation::formed(2);
    let (leader, members) = stage.group_of(4);
    let group = stage.engines.listed()[&leader]
        .member
        .clone()
        .expect("it leads")
        .of;
    let late = Order::Join {
        to: group.clone(),
        model: "large".into(),
        members: members.clone(),
        orders_taken: 0,
    };
    let new = stage.engines.restart(&leader, RESTARTED).expect("known");
    // The new incarnation knows no epoch and accepts the order.
    stage.engines.order(&new, &late, stage.now);
    stage.run(Millis::new(30_000));
    let (large, _) = stage.sizes();
    assert_eq!(large, 2, "{:?}", stage.orders);
    let member = stage.engines.listed()[&new].member.clone();
    assert!(
        member.is_none_or(|m| m.of != group || m.state != MemberState::Open),
        "a group of the earlier incarnation serves again"
    );
    stage.assert_no_breaches();
}

#[test]
fn a_planner_that_takes_over_finds_restarts_of_before_its_lease() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    let mut other = FleetPlanner::default();
    other.watch(&stage.engines.listed(), stage.now);
    stage.engines.restart(&members[3], RESTARTED);
    other.watch(&stage.engines.listed(), stage.now);
    stage.planner = other;
    stage.term += 1;
    stage.run(STEP);
    assert!(
        stage.first_order("cut", &leader).is_some(),
        "{:?}",
        stage.orders
    );
    stage.assert_no_breaches();
}

#[test]
fn a_whole_read_is_told_as_the_changes_that_it_brings() {
    let mut book = book();
    let all = vec![listed(target_id("a", FIRST)), listed(target_id("c", FIRST))];
    let changes = book.difference(all.clone());
    assert_eq!(
        changes,
        [Listing::Gone("b".into()), listed(target_id("c", FIRST))]
    );
    book.apply(changes, None, NOW + Millis::new(60_000));
    assert_eq!(book.difference(all), []);
    // An entry that may only have expired counts as a change when it is listed again.
    book.store_failed();
    book.store_answered(NOW + Millis::new(90_000));
    book.apply(
        vec![Listing::Gone("a".into())],
        None,
        NOW + Millis::new(90_100),
    );
    let again = vec![listed(target_id("a", FIRST)), listed(target_id("c", FIRST))];
    assert_eq!(book.difference(again), [listed(target_id("a", FIRST))]);
}
