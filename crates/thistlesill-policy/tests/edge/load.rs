//! Tests of the choice of a target for a request, and of the refusal of requests that would be
//! late.

use std::collections::HashMap;

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
    let request = PickRequest {
        engine: Some(&engine),
        prompt: 1_000,
        hall: &hall,
        aim: None,
    };
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
    let request = PickRequest {
        engine: Some(&engine),
        prompt: 1_000,
        hall: &hall,
        aim: None,
    };
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
    let request = PickRequest {
        engine: Some(&engine),
        prompt: 600,
        hall: &HallId::from("h"),
        aim: None,
    };
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
