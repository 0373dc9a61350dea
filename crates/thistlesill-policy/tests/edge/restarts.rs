//! Targets that start again under their id: what is remembered belongs to one life.

use thistlesill_core::Millis;
use thistlesill_core::edge::{GroupRef, Incarnation, MemberState, Order, Target, TargetId};
use thistlesill_policy::edge::book::{Listing, RELIST, TargetBook};
use thistlesill_policy::edge::feed::{Batch, Change, Feed};
use thistlesill_policy::edge::fleet::{FleetPlanner, ProbeOutcome};
use thistlesill_policy::edge::load::{LoadTable, Work};

use crate::book::{listed, target};
use crate::stage::{Delivery, STEP, Simulation};

const NOW: Millis = Millis::new(1_000_000);
const BORN: Incarnation = Incarnation::new(1_790_000_000_000);
/// Its clock jumped back before this start.
const AGAIN: Incarnation = Incarnation::new(1_789_999_000_000);

fn life(instance: &str, incarnation: Incarnation) -> TargetId {
    TargetId::new(instance.into(), incarnation)
}

fn book() -> TargetBook {
    let mut book = TargetBook::default();
    book.store_answered(NOW);
    book.apply(
        vec![listed(life("a", BORN)), listed(life("b", BORN))],
        None,
        NOW,
    );
    book
}

fn serving(book: &TargetBook) -> Vec<TargetId> {
    let serving = book.serving(&"s".into(), None).iter();
    serving.map(|t| t.id.clone()).collect()
}

#[test]
fn the_later_listing_of_an_instance_replaces_the_earlier_one() {
    let mut book = book();
    book.apply(vec![listed(life("a", AGAIN))], None, NOW);
    assert_eq!(serving(&book), [life("a", AGAIN), life("b", BORN)]);
    assert!(book.knows(&life("a", AGAIN)) && !book.knows(&life("a", BORN)));
    assert_eq!(book.count(), 2);
}

#[test]
fn a_life_that_lapsed_with_the_store_does_not_outlast_the_next_one() {
    let mut book = book();
    book.store_failed();
    let back = NOW + Millis::new(9_000);
    book.store_answered(back);
    book.apply(vec![Listing::Gone("a".into())], None, back);
    assert!(book.knows(&life("a", BORN)), "it may have lapsed only");
    book.apply(vec![listed(life("a", AGAIN))], None, back);
    assert_eq!(serving(&book), [life("a", AGAIN), life("b", BORN)]);
    assert!(!book.expire(None, back + RELIST), "the new life is listed");
    assert_eq!(book.count(), 2);
}

#[test]
fn a_whole_read_brings_the_lives_that_it_lists() {
    let mut book = book();
    let all = vec![listed(life("a", AGAIN)), Listing::Unusable("b".into())];
    book.replace(all, None, NOW);
    assert_eq!(serving(&book), [life("a", AGAIN)]);
}

#[test]
fn an_entry_that_cannot_be_used_ends_what_it_replaced_at_once() {
    let mut book = book();
    // Not kept like one that lapses just after the store came back.
    book.apply(vec![Listing::Unusable("a".into())], None, NOW);
    assert_eq!(serving(&book), [life("b", BORN)]);
    assert_eq!(book.life(&"a".into()), None);
    book.apply(vec![listed(life("a", BORN))], None, NOW);
    assert_eq!(book.count(), 2, "its target wrote itself in again");
}

#[test]
fn an_instance_that_changes_its_service_serves_the_old_one_no_longer() {
    let mut book = book();
    let moved = Target {
        service: "other".into(),
        ..target(life("a", BORN))
    };
    book.apply(vec![Listing::Listed(Box::new(moved))], None, NOW);
    assert_eq!(serving(&book), [life("b", BORN)]);
    assert_eq!(book.serving(&"other".into(), None).len(), 1);
}

#[test]
fn lives_told_of_in_the_wrong_order_end_as_the_store_has_them() {
    let change = |version, id| Change {
        version,
        what: listed(id),
    };
    let batch = |before, after, list| Batch {
        before,
        after,
        list,
        steady: None,
    };
    let mut feed = Feed::default();
    feed.restart(10);
    let mut book = book();
    // The second start comes first, and the first one also from a peer that lags.
    let late = batch(11, 12, vec![change(12, life("a", AGAIN))]);
    let early = batch(10, 11, vec![change(11, life("a", Incarnation::new(7)))]);
    let mut take = |first: Option<Batch>, feed: &mut Feed| {
        let mut next = first;
        while let Some(batch) = next {
            let fresh = feed.unknown(batch.list);
            feed.extend(&fresh, batch.after);
            book.apply(fresh.into_iter().map(|c| c.what).collect(), None, NOW);
            next = feed.next_held();
        }
    };
    for batch in [late.clone(), early.clone(), late, early] {
        let first = feed.order(batch);
        take(first, &mut feed);
    }
    assert_eq!(serving(&book), [life("a", AGAIN), life("b", BORN)]);
}

#[test]
fn load_and_suspicion_stay_with_the_life_that_they_are_of() {
    let mut loads = LoadTable::default();
    let (old, new) = (life("a", BORN), life("a", AGAIN));
    loads.begin(&old, 100);
    loads.suspect(&old, NOW);
    loads.grant(&"peer".into(), &old, 100, NOW + Millis::new(900));
    assert!(!loads.is_suspect(&new, NOW));
    assert_eq!(loads.work(&new, NOW), Work::default());
    loads.end(&old);
    loads.retain(|id| *id == new, NOW);
    assert!(!loads.is_suspect(&old, NOW), "the old life is forgotten");
}

#[test]
fn an_answer_of_another_life_tells_that_a_member_is_lost() {
    let known = life("a", BORN);
    let of = |answered, pace| ProbeOutcome::from_report(&known, answered, pace, 2.5);
    assert_eq!(of(BORN, 1.0), ProbeOutcome::Healthy);
    assert_eq!(of(BORN, 3.0), ProbeOutcome::Slow);
    assert_eq!(of(AGAIN, 1.0), ProbeOutcome::Restarted);
    // Not all platforms tell it.
    assert_eq!(of(Incarnation::default(), 1.0), ProbeOutcome::Healthy);
}

#[test]
fn a_group_whose_member_started_again_is_cut_and_replaced_at_once() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    stage.engines.restart(&members[2], AGAIN);
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
    stage.engines.restart(&leader, AGAIN);
    // Some daemon has not noticed yet.
    stage.working.insert(leader.clone());
    stage.run(Millis::new(300));
    // What its earlier life was told is nothing to the new one.
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
    // Full as it is, its model would have another group of one spare and the instance
    // that starts again.
    stage.requests.insert(leader.clone(), 26);
    stage.demand.insert("small".into(), 3.0);
    let spares = stage.spares();
    stage.engines.kill(&spares[0].id);
    stage.engines.unlist(&spares[0].id);
    let new = stage.engines.restart(&members[1], AGAIN).expect("known");
    // The leader hears nothing and serves on.
    for _ in 0..40 {
        stage.now = stage.now + STEP;
        stage.engines.advance(stage.now);
        stage.step_planner(|order| match order {
            Order::Cut(_) => Delivery::Lost,
            _ => Delivery::Answered,
        });
    }
    assert!(stage.engines.serving().iter().any(|(l, _)| *l == leader));
    let told = |stage: &Simulation| stage.orders.iter().any(|(_, id, _)| *id == new);
    assert!(!told(&stage), "{:?}", stage.orders);
    stage.run(Millis::new(4_000));
    assert!(told(&stage), "{:?}", stage.orders);
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
    let new = stage.engines.restart(&leader, AGAIN).expect("known");
    // The new life knows no epoch and takes it.
    stage.engines.order(&new, &late, stage.now);
    stage.run(Millis::new(30_000));
    let (large, _) = stage.sizes();
    assert_eq!(large, 2, "{:?}", stage.orders);
    let member = stage.engines.listed()[&new].member.clone();
    assert!(
        member.is_none_or(|m| m.of != group || m.state != MemberState::Open),
        "a group of the earlier life serves again"
    );
    stage.assert_no_breaches();
}

#[test]
fn a_planner_that_takes_over_finds_restarts_of_before_its_lease() {
    let mut stage = Simulation::formed(6);
    let (leader, members) = stage.group_of(4);
    let mut other = FleetPlanner::default();
    other.watch(&stage.engines.listed(), stage.now);
    stage.engines.restart(&members[3], AGAIN);
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
    let all = vec![listed(life("a", BORN)), listed(life("c", BORN))];
    let changes = book.difference(all.clone());
    assert_eq!(
        changes,
        [Listing::Gone("b".into()), listed(life("c", BORN))]
    );
    book.apply(changes, None, NOW + Millis::new(60_000));
    assert_eq!(book.difference(all), []);
    // One whose entry may have lapsed only is news when it is listed again.
    book.store_failed();
    book.store_answered(NOW + Millis::new(90_000));
    book.apply(
        vec![Listing::Gone("a".into())],
        None,
        NOW + Millis::new(90_100),
    );
    let again = vec![listed(life("a", BORN)), listed(life("c", BORN))];
    assert_eq!(book.difference(again), [listed(life("a", BORN))]);
}
