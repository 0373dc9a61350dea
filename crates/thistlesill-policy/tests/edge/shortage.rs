//! Tests of admission under overload: loads are replayed with a small model of a scope.

#[path = "shortage/model.rs"]
mod model;

use thistlesill_core::Millis;
use thistlesill_core::edge::OverloadLimits;
use thistlesill_policy::edge::returns::{CallerReport, MAX_BOOKINGS, Standing};
use thistlesill_policy::edge::shortage::{
    AdmissionDecision, Ground, Prospect, RankedRequest, ShortageTable,
};

use model::*;

fn refused_from(ground: Ground) -> impl Fn(AdmissionDecision) -> bool {
    move |d| matches!(d, AdmissionDecision::Refuse { ground: g, .. } if g == ground)
}

/// A table, and a scope to decide on at times in milliseconds.
#[derive(Default)]
struct Owner(ShortageTable);

impl Owner {
    fn decide(&mut self, request: &RankedRequest, at: Prospect, ms: u64) -> AdmissionDecision {
        self.0
            .decide(&scope(), request, at, Millis::new(START + ms))
            .decision
    }

    /// Refuses a request and returns the time after which its caller may retry.
    fn refuse(&mut self, request: &RankedRequest, ms: u64) -> u64 {
        match self.decide(request, full(2_000.0), ms) {
            AdmissionDecision::Refuse { after, .. } => after.get(),
            other => panic!("{other:?}"),
        }
    }
}

/// Delivers the reports of one owner to another one.
fn exchange(from: &mut Owner, to: &mut Owner, ms: u64) {
    let now = Millis::new(START + ms);
    for (scope, report) in from.0.take_reports(now) {
        to.0.learn(&scope, report, now);
    }
}

/// Guards against urgent requests that are late or refused while less urgent ones are served, and
/// against less urgent ones that a burst keeps out.
#[test]
fn a_burst_of_an_urgent_kind_costs_no_kind_more_than_the_less_urgent_ones() {
    for urgent in [180.0, 250.0, 350.0] {
        let mut model = Model::new(4);
        model.run(&mixed(100.0), 3_000);
        assert!((model.all(URGENT).in_time() - 1.0).abs() < f64::EPSILON);
        model.forget_callers();
        model.run(&mixed(urgent), 10_000);
        let kinds = [URGENT, NORMAL, RELAXED].map(|kind| model.all(kind));
        for pair in kinds.windows(2) {
            assert!(
                pair[0].in_time() >= pair[1].in_time(),
                "{urgent}: {kinds:?}"
            );
            assert!(
                pair[0].answered() >= pair[1].answered(),
                "{urgent}: {kinds:?}"
            );
        }
        assert!(kinds[2].answered() > 0.25, "{urgent}: {kinds:?}");
        model.run(&mixed(100.0), 3_000);
        model.forget_callers();
        model.run(&mixed(100.0), 3_000);
        assert!(
            model.all(URGENT).in_time() > 0.99,
            "after the burst: {:?}",
            model.all(URGENT)
        );
    }
}

/// Guards against a floor that keeps a quarter for less urgent kinds and gives them much more than
/// the urgent kind has.
#[test]
fn in_a_flood_that_leaves_each_kind_a_quarter_no_kind_starves() {
    let mut model = Model::new(4);
    model.run(&mixed(600.0), 10_000);
    let kinds = [URGENT, NORMAL, RELAXED].map(|kind| model.all(kind));
    for kind in kinds {
        assert!(kind.answered() > 0.25, "{kinds:?}");
        assert!(kind.answered() < kinds[0].answered() + 0.1, "{kinds:?}");
    }
}

/// Guards against a less urgent kind that is answered more often than a more urgent one, also where
/// most requests are refused.
#[test]
fn in_a_flood_no_kind_is_answered_less_often_than_a_less_urgent_one() {
    let mut model = Model::new(4);
    model.run(&mixed(600.0), 10_000);
    let kinds = [URGENT, NORMAL, RELAXED].map(|kind| model.all(kind));
    let ordered = kinds.windows(2).all(|p| p[0].answered() >= p[1].answered());
    assert!(ordered, "{kinds:?}");
}

/// Guards against a less urgent kind that is refused only after it is ahead of a more urgent one.
#[test]
fn a_request_that_would_put_its_kind_ahead_of_a_more_urgent_one_is_refused() {
    let mut owner = Owner::default();
    let mut decide = |kind, key, begin| {
        let customer = format!("c{key}");
        owner.decide(&request(kind, &customer, key), full(begin), key)
    };
    // Half of the callers of each kind are served.
    for key in 0..2 {
        assert_eq!(decide(RELAXED, key, 100.0), AdmissionDecision::InTime);
    }
    for key in 2..7 {
        assert_eq!(decide(URGENT, key, 100.0), AdmissionDecision::InTime);
    }
    for key in 7..12 {
        let refused = decide(URGENT, key, 2_000.0);
        assert!(refused_from(Ground::NoRoom)(refused), "{refused:?}");
    }
    for key in 12..14 {
        decide(RELAXED, key, 2_000.0);
    }
    let ahead = decide(RELAXED, 14, 100.0);
    assert!(refused_from(Ground::LessUrgent)(ahead), "{ahead:?}");
    // With 8 of 13 of the urgent kind, 3 of 5 are not ahead.
    for key in 15..18 {
        assert_eq!(decide(URGENT, key, 100.0), AdmissionDecision::InTime);
    }
    assert_eq!(decide(RELAXED, 18, 100.0), AdmissionDecision::InTime);
}

/// Guards against returning callers that take the place of requests that can be in time.
#[test]
fn a_caller_that_returns_without_a_booking_is_not_in_time_any_more() {
    let mut owner = Owner::default();
    let caller = |left| RankedRequest {
        left: Millis::new(left),
        ..request(URGENT, "a", 1)
    };
    // A third of its time is too short for a booking.
    owner.refuse(&caller(800), 0);
    let returned = owner.decide(&caller(500), full(200.0), 300);
    assert!(refused_from(Ground::NoRoom)(returned), "{returned:?}");
    let other = owner.decide(&request(URGENT, "a", 2), full(200.0), 301);
    assert_eq!(other, AdmissionDecision::InTime);
}

/// Guards against a kind that is refused for being ahead of one of which all requests are served.
#[test]
fn a_kind_is_not_ahead_while_all_requests_of_more_urgent_ones_are_served() {
    let mut owner = Owner::default();
    for key in 0..10 {
        owner.decide(&request(URGENT, "a", key), full(100.0), key);
        owner.decide(&request(NORMAL, "a", 100 + key), full(100.0), key);
    }
    owner.refuse(&request(RELAXED, "a", 200), 20);
    let next = owner.decide(&request(NORMAL, "a", 201), full(100.0), 21);
    assert_eq!(next, AdmissionDecision::InTime);
}

/// Guards against a suspended owner that makes others forget callers which they have refused
/// meanwhile: its refusals have ended, and its answers were to earlier requests.
#[test]
fn reports_of_a_suspended_owner_forget_no_caller() {
    let caller = request(URGENT, "a", 1);
    let mut suspended = Owner::default();
    suspended.refuse(&caller, 0);
    let mut other = Owner::default();
    other.refuse(&caller, 3_000);
    exchange(&mut suspended, &mut other, 3_010);
    assert_eq!(other.0.bookings(&scope()), 1);
    let served_at = 3_000 + suspended.refuse(&caller, 3_000);
    let served = suspended.decide(&caller, full(200.0), served_at);
    assert_eq!(served, AdmissionDecision::Late);
    other.refuse(&caller, served_at + 2_000);
    exchange(&mut suspended, &mut other, served_at + 2_010);
    assert_eq!(other.0.bookings(&scope()), 1);
}

/// Guards against late work that fills free slots of targets whose prompts wait: slots are free
/// there, time is not.
#[test]
fn urgent_requests_with_long_prompts_are_not_displaced_by_late_or_short_ones() {
    let long = Kind {
        route: 0,
        aim: 500,
        ..RELAXED
    };
    let short = Kind {
        route: 1,
        aim: 500,
        ..URGENT
    };
    let mut model = Model::new(4);
    let loads: Vec<Load> = ten(long, 120.0).chain(ten(short, 120.0)).collect();
    model.run(&loads, 10_000);
    let (long, short) = (model.all(long), model.all(short));
    assert!(long.in_time() + short.in_time() > 0.7, "{long:?} {short:?}");
    assert!(
        long.answered() + 0.05 > short.answered(),
        "{long:?} {short:?}"
    );
}

/// Guards against a customer that takes from others what they had by sending more.
#[test]
fn the_flood_of_one_customer_leaves_the_others_what_they_had() {
    for flood in [100.0, 500.0] {
        let mut model = Model::new(4);
        let mut loads: Vec<Load> = ten(URGENT, 170.0).collect();
        model.run(&loads, 3_000);
        model.forget_callers();
        loads.push(load(URGENT, 99, flood));
        model.run(&loads, 10_000);
        let others = model.tally(URGENT, |customer| customer != 99);
        let flooding = model.tally(URGENT, |customer| customer == 99);
        assert!(others.in_time() > 0.95, "{flood}: {others:?} {flooding:?}");
        assert!(
            flooding.in_time > 100,
            "unused parts are open: {flooding:?}"
        );
    }
}

#[test]
fn callers_that_repeat_early_and_often_gain_nothing() {
    for rate in [250.0, 400.0] {
        let mut model = Model::new(4);
        let mut loads: Vec<Load> = ten(URGENT, rate).collect();
        loads[5..].iter_mut().for_each(|load| load.hasty = true);
        model.run(&loads, 10_000);
        let patient = model.tally(URGENT, |customer| customer < 5);
        let hasty = model.tally(URGENT, |customer| customer >= 5);
        assert!(hasty.in_time() < patient.in_time(), "{patient:?} {hasty:?}");
        assert!(
            hasty.answered() < patient.answered() + 0.05,
            "{patient:?} {hasty:?}"
        );
    }
}

/// Guards against rules that count a slow or lost target as capacity.
#[test]
fn slow_and_lost_targets_cost_no_more_than_their_part() {
    let mut model = Model::new(10);
    model.groups[0].pace = 4.0;
    model.run(&mixed(350.0), 10_000);
    for kind in [URGENT, NORMAL, RELAXED] {
        assert!(model.all(kind).in_time() > 0.95, "{:?}", model.all(kind));
    }
    let mut model = Model::new(12);
    model.run(&mixed(470.0), 3_000);
    model.groups.truncate(8);
    model.forget_callers();
    model.run(&mixed(470.0), 10_000);
    let kinds = [URGENT, NORMAL, RELAXED].map(|kind| model.all(kind));
    assert!(kinds[0].in_time() > 0.5, "{kinds:?}");
    assert!(
        kinds.windows(2).all(|p| p[0].answered() >= p[1].answered()),
        "{kinds:?}"
    );
    assert!(kinds[2].answered() > 0.25, "{kinds:?}");
}

/// Two daemons own a scope for a moment, and a caller's retry reaches the other one. Guards against
/// owners that do not know each other's callers, and against more late work than two owners admit.
#[test]
fn two_owners_of_a_scope_still_serve_in_time_what_one_serves() {
    let (mut in_time, mut late) = ([0, 0], [0, 0]);
    for owners in [1, 2] {
        let mut model = Model::new(4);
        model.tables = vec![ShortageTable::default(); owners];
        model.run(&mixed(250.0), 10_000);
        in_time[owners - 1] = model.all(URGENT).in_time;
        late[owners - 1] = model.late();
    }
    assert!(
        f64::from(in_time[1]) > 0.8 * f64::from(in_time[0]),
        "{in_time:?}"
    );
    assert!(late[1] <= 2 * late[0], "{late:?}");
}

/// Returns the number of requests of the most urgent kind that begin in time in the five seconds
/// after the owner is replaced in a flood, with these reports delivered, or without a replacement.
fn served_in_time_after(replacement: Option<Delivery>) -> u32 {
    let mut model = Model::new(4);
    model.delivery = replacement.unwrap_or(Delivery::Nothing);
    model.run(&mixed(250.0), 5_000);
    let before = model.all(URGENT).in_time;
    if replacement.is_some() {
        model.replace_owner();
    }
    model.run(&mixed(250.0), 5_000);
    model.all(URGENT).in_time - before
}

/// Guards against an owner that treats the refused callers of its predecessor as new ones, and
/// against reports that do harm if only some of them arrive.
#[test]
fn a_successor_that_received_reports_serves_in_time_what_its_predecessor_would() {
    let kept = served_in_time_after(None);
    let [all, half, nothing] =
        [Delivery::All, Delivery::Half, Delivery::Nothing].map(|d| served_in_time_after(Some(d)));
    assert!(f64::from(all) >= 0.8 * f64::from(kept), "{all} of {kept}");
    assert!(half >= nothing, "{half} with half, {nothing} without");
    assert!(all > nothing, "{all} with all, {nothing} without");
}

fn limits(late_ratio: f64, kept_ratio: f64) -> OverloadLimits {
    OverloadLimits::new(late_ratio, kept_ratio).expect("within the bounds")
}

/// Runs loads for 10 s at an owner with these limits.
fn run_with(limits: OverloadLimits, loads: &[Load]) -> Model {
    let mut model = Model::new(4);
    model.tables = vec![ShortageTable::new(limits)];
    model.run(loads, 10_000);
    model
}

/// Guards against late work where the operators want none: by rule 6, for a caller that another
/// owner booked, or by a booking that can only be late.
#[test]
fn without_a_late_ratio_nothing_is_sent_late_or_booked() {
    let loads = mixed(600.0);
    let model = run_with(OverloadLimits::default(), &loads);
    assert!(model.late > 0 && model.tables[0].bookings(&scope()) > 0);
    let model = run_with(limits(0.0, 0.25), &loads);
    assert_eq!((model.late, model.tables[0].bookings(&scope())), (0, 0));
    let mut owner = Owner(ShortageTable::new(limits(0.0, 0.25)));
    let report = CallerReport::Refused {
        key: 1,
        since: Millis::ZERO,
        ago: Millis::ZERO,
        booked: Some(Millis::new(300)),
        left: Millis::new(1_300),
    };
    owner.0.learn(&scope(), report, Millis::new(START));
    let kept = owner.decide(&request(URGENT, "a", 1), full(200.0), 300);
    assert!(refused_from(Ground::NoRoom)(kept), "{kept:?}");
}

/// Guards against less urgent kinds that take the place of a flood of the most urgent one although
/// the operators keep nothing for them.
#[test]
fn without_a_kept_ratio_a_flood_of_the_urgent_kind_is_not_displaced() {
    let others = ten(NORMAL, 100.0).chain(ten(RELAXED, 100.0));
    let loads: Vec<Load> = ten(URGENT, 1_200.0).chain(others).collect();
    let answered = |kept_ratio| {
        let model = run_with(limits(0.25, kept_ratio), &loads);
        [URGENT, NORMAL, RELAXED].map(|kind| model.all(kind).answered())
    };
    let kept = answered(0.25);
    assert!(kept[1] > kept[0], "the load is too low: {kept:?}");
    let free = answered(0.0);
    assert!(free[0] > free[1] && free[1] > free[2], "{free:?}");
    assert!(free[0] > 1.1 * kept[0], "{free:?} {kept:?}");
    // Nor is a kind that is served less often admitted by its own, longer objective.
    let mut owner = Owner(ShortageTable::new(limits(0.25, 0.0)));
    owner.decide(&request(URGENT, "a", 1), full(100.0), 0);
    for key in 2..10 {
        let relaxed = owner.decide(&request(RELAXED, "a", key), full(400.0), key);
        assert!(refused_from(Ground::LessUrgent)(relaxed), "{relaxed:?}");
    }
}

#[test]
fn objectives_are_capped_by_more_urgent_kinds_of_the_last_two_seconds() {
    let mut owner = Owner::default();
    let relaxed = |key| request(RELAXED, "a", key);
    assert_eq!(
        owner.decide(&relaxed(1), full(400.0), 0),
        AdmissionDecision::InTime
    );
    owner.decide(&request(URGENT, "a", 2), full(100.0), 10);
    let capped = owner.decide(&relaxed(3), full(400.0), 20);
    assert!(refused_from(Ground::LessUrgent)(capped), "{capped:?}");
    let room = Prospect {
        has_room: true,
        ..full(400.0)
    };
    assert_eq!(
        owner.decide(&relaxed(4), room, 30),
        AdmissionDecision::InTime
    );
    assert_eq!(
        owner.decide(&relaxed(5), full(400.0), 2_010),
        AdmissionDecision::InTime
    );
    // The urgent kind's objective has nothing to do with less urgent kinds.
    assert!(refused_from(Ground::NoRoom)(owner.decide(
        &request(URGENT, "a", 6),
        full(400.0),
        2_020
    )));
}

/// Guards against refusals for a fair share although there is hardly any wait: most of a short
/// objective passes at an idle target, too.
#[test]
fn shares_bind_only_in_the_last_part_of_the_time_for_waiting() {
    let mut owner = Owner::default();
    let begin_at = |begin| Prospect {
        idle: 180.0,
        ..full(begin)
    };
    for key in 0..40 {
        owner.decide(&request(URGENT, "flood", key), begin_at(190.0), key);
    }
    owner.decide(&request(URGENT, "quiet", 100), begin_at(190.0), 50);
    owner.decide(&request(URGENT, "quiet", 101), begin_at(300.0), 51);
    let mut flood = |key, begin| owner.decide(&request(URGENT, "flood", key), begin_at(begin), 160);
    assert_eq!(flood(102, 230.0), AdmissionDecision::InTime);
    let refused = flood(103, 240.0);
    assert!(refused_from(Ground::OverShare)(refused), "{refused:?}");
}

/// Guards against promises that are not kept, and against retries that count as in time although
/// their caller has waited longer than its objective.
#[test]
fn a_caller_is_served_at_its_booked_time_and_not_before() {
    let mut owner = Owner::default();
    let caller = request(URGENT, "a", 1);
    let after = owner.refuse(&caller, 0);
    assert!((300..2_000).contains(&after));
    let early = owner.decide(&caller, full(2_000.0), 100);
    let ground = Ground::Early;
    let kept = Millis::new(after - 100);
    assert_eq!(
        early,
        AdmissionDecision::Refuse {
            after: kept,
            ground
        }
    );
    // The target could begin it within the objective if it were new.
    let retry = RankedRequest {
        left: Millis::new(5_000),
        ..caller
    };
    assert_eq!(
        owner.decide(&retry, full(200.0), after),
        AdmissionDecision::Late
    );
    // The booking is used up.
    assert!(refused_from(Ground::NoRoom)(owner.decide(
        &retry,
        full(2_000.0),
        after + 1
    )));
    // Another one is booked, but nothing begins within half of the time that is left.
    let after = after + 1 + owner.refuse(&request(URGENT, "b", 2), after + 1);
    let late = owner.decide(&request(URGENT, "b", 2), full(3_001.0), after);
    assert!(refused_from(Ground::NoRoom)(late), "{late:?}");
}

/// An owner is replaced or its table is dropped: callers with bookings count as new.
#[test]
fn a_new_owner_serves_late_callers_on_free_slots_only() {
    let mut owner = Owner::default();
    let free = Prospect {
        requests: 22,
        ..full(300.0)
    };
    let caller = request(URGENT, "a", 1);
    assert_eq!(owner.decide(&caller, free, 0), AdmissionDecision::Late);
    assert!(refused_from(Ground::NoRoom)(owner.decide(
        &caller,
        full(300.0),
        1
    )));
    let mut owner = Owner::default();
    owner.refuse(&caller, 0);
    owner.0.retain(Millis::new(START + 9_999));
    assert_eq!(owner.0.bookings(&scope()), 1);
    owner.0.retain(Millis::new(START + 10_000));
    assert_eq!(owner.0.bookings(&scope()), 0);
}

#[test]
fn state_is_bounded_and_ends_with_time_that_passes_without_calls() {
    let mut owner = Owner::default();
    for key in 0..20_000 {
        let mut request = request(URGENT, &format!("c{}", key % 1_000), key);
        request.urgency.customer = (key % 50) as u8;
        request.left = Millis::new(600_000_000);
        owner.refuse(&request, key / 20);
    }
    assert_eq!(owner.0.bookings(&scope()), MAX_BOOKINGS);
    // Suspended for two hours: no caller has kept its time, nothing is capped, nobody is above.
    let later = 7_200_000;
    let relaxed = owner.decide(&request(RELAXED, "c1", 1), full(900.0), later);
    assert_eq!(relaxed, AdmissionDecision::InTime);
    let (caller, now) = (request(URGENT, "c1", 2), Millis::new(START + later));
    let decided = owner.0.decide(&scope(), &caller, full(900.0), now);
    assert_eq!((decided.standing, decided.returned), (Standing::New, false));
    // A clock that steps back does not end the decisions.
    owner.refuse(&request(URGENT, "c1", 3), 0);
}
