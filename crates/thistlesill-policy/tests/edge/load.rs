//! Tests of the choice of a target for a request, and of the refusal of requests that would be
//! late.

use std::collections::HashMap;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use thistlesill_core::edge::{Engine, Target, TargetId};
use thistlesill_core::{HallId, Millis};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::load::{Knowledge, LoadTable, PickRequest, Work};

use crate::leaders::leader;

const NOW: Millis = Millis::new(1_000_000);
/// How long a peer's counts are valid.
const COUNTS_VALIDITY: Millis = Millis::new(1_500);
const AIM: Millis = Millis::new(300);

/// Builds a request without an objective.
fn request<'a>(engine: &'a Engine, hall: &'a HallId, prompt: u32) -> PickRequest<'a> {
    PickRequest {
        engine: Some(engine),
        prompt,
        hall,
        aim: None,
    }
}

/// Picks one of two groups many times and counts how often that is the first one.
fn wins(loads: &LoadTable, now: Millis) -> usize {
    wins_among(loads, [leader("a"), leader("b")], Some(&engine()), now)
}

/// Picks one of two plain targets many times and counts how often that is the first one.
fn plain_wins(loads: &LoadTable, now: Millis) -> usize {
    let plain = |id: &str| Target {
        member: None,
        ..leader(id)
    };
    wins_among(loads, [plain("a"), plain("b")], None, now)
}

fn wins_among(
    loads: &LoadTable,
    [first, second]: [Target; 2],
    engine: Option<&Engine>,
    now: Millis,
) -> usize {
    let hall = HallId::from("h");
    let request = PickRequest {
        engine,
        prompt: 1_000,
        hall: &hall,
        aim: None,
    };
    let both = [&first, &second];
    let mut rng = SmallRng::seed_from_u64(5);
    let picks =
        (0..40).filter_map(|_| loads.pick(&both, &request, Knowledge::Stale, now, &mut rng));
    picks.filter(|t| t.id == first.id).count()
}

#[test]
fn a_group_has_room_until_most_of_its_places_are_taken() {
    let (a, engine) = (leader("a"), engine());
    let mut loads = LoadTable::default();
    let mut taken = 0;
    while loads.has_room(&[&a], &engine, NOW) {
        loads.begin(&a, 0, None, NOW);
        taken += 1;
    }
    assert_eq!(taken, 16, "three fifths of 26 slots");
    assert!(loads.has_room(&[&a, &leader("b")], &engine, NOW));
    loads.suspect(&"b".into(), NOW);
    assert!(!loads.has_room(&[&a, &leader("b")], &engine, NOW));
}

#[test]
fn nobody_is_turned_away_while_places_are_free() {
    let (a, engine, hall) = (leader("a"), engine(), HallId::from("h"));
    let mut loads = LoadTable::default();
    // One prompt whose prefill takes far longer than the objective.
    loads.begin(&a, 100_000, None, NOW);
    let request = request(&engine, &hall, 1_000);
    assert_eq!(loads.lateness(&[&a], &request, AIM, NOW), None);
    for _ in 0..16 {
        loads.begin(&a, 0, None, NOW);
    }
    assert!(loads.lateness(&[&a], &request, AIM, NOW).is_some());
}

#[test]
fn prompts_that_wait_to_be_read_count_more_than_requests() {
    let mut loads = LoadTable::default();
    loads.begin(&leader("a"), 6_000, None, NOW);
    for _ in 0..3 {
        loads.begin(&leader("b"), 0, None, NOW);
    }
    assert_eq!(wins(&loads, NOW), 0);
    loads.end_prefill(&"a".into(), 6_000, NOW);
    assert_eq!(wins(&loads, NOW), 40);
}

#[test]
fn what_peers_sent_counts_for_a_while() {
    let mut loads = LoadTable::default();
    let work = Work {
        requests: 10,
        unread: 4_000,
    };
    loads.set_peer_counts(
        &"peer".into(),
        HashMap::from([("a".into(), work)]),
        NOW + COUNTS_VALIDITY,
        NOW,
    );
    assert_eq!(wins(&loads, NOW), 0);
    assert_ne!(wins(&loads, NOW + Millis::new(5_000)), 0);
}

#[test]
fn a_suspected_group_is_passed_over_until_it_shows_progress() {
    let mut loads = LoadTable::default();
    assert!(loads.suspect(&"a".into(), NOW));
    assert!(
        !loads.suspect(&"a".into(), NOW),
        "only the first time is a change"
    );
    assert_eq!(wins(&loads, NOW), 0);
    loads.note_progress(&"a".into(), NOW);
    assert_ne!(wins(&loads, NOW), 0);
}

#[test]
fn a_request_is_turned_away_only_when_every_group_is_busy_and_late() {
    let (a, b) = (leader("a"), leader("b"));
    let engine = engine();
    let hall = HallId::from("h");
    let request = request(&engine, &hall, 1_000);
    let mut loads = LoadTable::default();
    for _ in 0..26 {
        loads.begin(&leader("a"), 1_000, None, NOW);
    }
    assert_eq!(
        loads.lateness(&[&a, &b], &request, AIM, NOW),
        None,
        "b is free"
    );
    for _ in 0..26 {
        loads.begin(&leader("b"), 1_000, None, NOW);
    }
    assert!(loads.lateness(&[&a, &b], &request, AIM, NOW).is_some());
    assert_eq!(
        loads.lateness(&[], &request, AIM, NOW),
        None,
        "there is no target to wait for"
    );
}

#[test]
fn the_own_data_centre_is_preferred_where_the_wait_is_about_equal() {
    let mut loads = LoadTable::default();
    let (near, mut far) = (leader("a"), leader("b"));
    far.hall = "other".into();
    let engine = engine();
    let hall = HallId::from("h");
    let request = request(&engine, &hall, 600);
    let mut rng = SmallRng::seed_from_u64(5);
    let mut pick = |loads: &LoadTable| {
        let both = [&near, &far];
        loads
            .pick(&both, &request, Knowledge::Stale, NOW, &mut rng)
            .map(|t| t.id.clone())
    };
    assert_eq!(pick(&loads), Some("a".into()));
    // One more prompt costs 20 ms there: 13 for its prefill, the rest for its answer.
    loads.begin(&leader("a"), 600, None, NOW);
    assert_eq!(pick(&loads), Some("a".into()));
    loads.begin(&leader("a"), 600, None, NOW);
    assert_eq!(pick(&loads), Some("b".into()));
}

/// A leader that was leaving refused connections, which counted as its failure although its streams
/// were still active; its members were used in another group 10 ms before it ended.
#[test]
fn a_target_whose_streams_go_on_is_told_of_though_it_is_suspected() {
    let mut loads = LoadTable::default();
    let id = TargetId::from("t");
    let now = Millis::new(10_000);
    loads.begin(&leader("t"), 100, None, now);
    loads.note_progress(&id, now);
    loads.suspect(&id, now);
    assert!(loads.is_suspect(&id, now), "no new requests go there");
    assert_eq!(loads.suspects_with_streams(now + Millis::new(100)), [id]);
    assert!(
        loads
            .suspects_with_streams(now + Millis::new(200))
            .is_empty()
    );
}

/// A target without free slots answers faster than any other, so its average duration kept it the
/// best choice: all requests were sent there first, and the fifth retry of them was denied.
#[test]
fn a_target_that_refuses_is_passed_over_for_longer_each_time() {
    let (a, b) = (TargetId::from("a"), TargetId::from("b"));
    let mut loads = LoadTable::default();
    loads.note_time(&a, Millis::new(10));
    loads.note_time(&b, Millis::new(20));
    let ms = |ms: u64| NOW + Millis::new(ms);
    assert_eq!(plain_wins(&loads, NOW), 40);
    loads.note_refused(&a, NOW);
    assert_eq!(plain_wins(&loads, ms(50)), 0);
    assert_eq!(plain_wins(&loads, ms(150)), 40, "it is tried again");
    loads.note_refused(&a, ms(150));
    assert_eq!(plain_wins(&loads, ms(150 + 150)), 0);
    assert_eq!(plain_wins(&loads, ms(150 + 250)), 40);
    // A target that accepted a request starts anew.
    loads.note_progress(&a, ms(400));
    loads.note_refused(&a, ms(400));
    assert_eq!(plain_wins(&loads, ms(550)), 40);
    // A shorter backoff of this daemon's own ends no longer one.
    loads.prefer_others(&a, ms(1_000));
    loads.note_refused(&a, ms(410));
    assert_eq!(plain_wins(&loads, ms(900)), 0);
    // The target is picked all the same where there is no other.
    loads.suspect(&b, ms(400));
    assert_eq!(plain_wins(&loads, ms(420)), 40);
}

/// Guards against requests that are admitted because of a target in another data centre that the
/// choice then does not consider.
#[test]
fn any_far_target_is_picked_that_begins_in_time_if_no_near_one_does() {
    let mut groups: Vec<Target> = (0..40).map(|i| leader(&format!("t{i}"))).collect();
    for far in &mut groups[..30] {
        far.hall = "other".into();
    }
    let (free, near) = (&groups[..4], &groups[39]);
    let (engine, hall) = (engine(), HallId::from("h"));
    let mut request = request(&engine, &hall, 600);
    let busy = Work {
        requests: 26,
        unread: 26_000,
    };
    let until = NOW + COUNTS_VALIDITY;
    let mut loads = LoadTable::default();
    for group in &groups[4..] {
        loads.set_total(group.id.clone(), busy, until);
    }
    let mut rng = SmallRng::seed_from_u64(5);
    let mut picks = |loads: &LoadTable, request: &PickRequest<'_>| {
        let candidates: Vec<&Target> = groups.iter().collect();
        let pick = || loads.pick(&candidates, request, Knowledge::Exact, NOW, &mut rng);
        let picked = std::iter::repeat_with(pick).take(200).flatten();
        picked.map(|t| t.id.clone()).collect::<Vec<_>>()
    };
    let at = |picks: &[TargetId], target: &Target| {
        let picked = picks.iter().filter(|id| **id == target.id);
        picked.count()
    };
    let counts = |picks: &[TargetId]| free.iter().map(|t| at(picks, t)).collect::<Vec<_>>();
    let before = counts(&picks(&loads, &request));
    request.aim = Some(AIM);
    let after = counts(&picks(&loads, &request));
    println!("picks of those in time, of 200: {before:?}, with the objective {after:?}");
    assert!(before.iter().sum::<usize>() < 100, "{before:?}");
    assert_eq!(after.iter().sum::<usize>(), 200);
    assert!(
        after.iter().all(|count| (25..=75).contains(count)),
        "{after:?}"
    );
    // If no target begins it in time, the choice is the one without the objective.
    request.aim = Some(Millis::new(1));
    let none = counts(&picks(&loads, &request));
    assert!(none.iter().sum::<usize>() < 100, "{none:?}");
    // One near target that begins it in time gets all.
    request.aim = Some(AIM);
    loads.set_total(near.id.clone(), Work::default(), until);
    assert_eq!(at(&picks(&loads, &request), near), 200);
}

#[test]
fn the_prospect_is_the_target_that_begins_first_of_those_that_may_be_asked() {
    let (a, b, c) = (leader("a"), leader("b"), leader("c"));
    let (engine, hall) = (engine(), HallId::from("h"));
    let request = request(&engine, &hall, 600);
    let mut loads = LoadTable::default();
    loads.begin(&c, 6_000, None, NOW);
    let all = [&a, &b, &c];
    loads.suspect(&a.id, NOW);
    loads.note_refused(&b.id, NOW);
    let (prospect, target) = loads.prospect(&all, &request, NOW).expect("c is usable");
    assert_eq!(target.id, c.id);
    assert!((prospect.begin - loads.predict(&c, &request, NOW)).abs() < 0.01);
    assert_eq!((prospect.slots, prospect.requests), (26, 1));
    assert_eq!((prospect.has_room, prospect.open_groups), (true, 3));
    loads.suspect(&c.id, NOW);
    assert!(loads.prospect(&all, &request, NOW).is_none());
    loads.clear_suspicion(&a.id);
    let (_, target) = loads.prospect(&all, &request, NOW).expect("a is usable");
    assert_eq!(target.id, a.id);
}

/// Guards against a decision on 25 targets that costs more than the 20 us that are allowed. Debug
/// builds only print the cost.
#[test]
fn a_prospect_costs_less_than_a_decision_may() {
    let groups: Vec<Target> = (0..25).map(|i| leader(&format!("target-{i}"))).collect();
    let candidates: Vec<&Target> = groups.iter().collect();
    let (engine, hall) = (engine(), HallId::from("h"));
    let request = request(&engine, &hall, 600);
    let mut loads = LoadTable::default();
    for group in &groups[..12] {
        loads.begin(group, 600, Some(40.0), NOW);
        loads.set_total(group.id.clone(), Work::default(), NOW + COUNTS_VALIDITY);
    }
    let cost = |step: &dyn Fn()| {
        let round = |_| {
            let start = Instant::now();
            (0..200).for_each(|_| step());
            start.elapsed().as_secs_f64() * 1e6 / 200.0
        };
        // The least of several rounds is the one without interruption.
        (0..20).map(round).fold(f64::MAX, f64::min)
    };
    let predict = cost(&|| {
        let sum: f64 = groups.iter().map(|t| loads.predict(t, &request, NOW)).sum();
        std::hint::black_box(sum);
    });
    let prospect = cost(&|| {
        std::hint::black_box(loads.prospect(&candidates, &request, NOW));
    });
    println!("25 targets: predict {predict:.1} us, prospect {prospect:.1} us");
    assert!(cfg!(debug_assertions) || prospect < 20.0, "{prospect} us");
}
