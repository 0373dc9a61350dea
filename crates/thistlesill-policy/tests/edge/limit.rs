//! Tests of the limits that a daemon believes targets to have, and of the token buckets that
//! enforce them.

use thistlesill_core::Millis;
use thistlesill_core::edge::{Incarnation, RateLimit, TargetId};
use thistlesill_policy::edge::limit::{
    Clearance, Grant, LimitChange, LimitReport, LimitTable, LimitUpdate,
};

/// Window over which granted requests are compared with a limit, in milliseconds.
const WINDOW: u64 = 4_000;

fn target() -> TargetId {
    TargetId::from("i-1")
}

fn ms(ms: u64) -> Millis {
    Millis::new(ms)
}

/// A report from an answer that arrived at `until` to a request that was sent at `from`.
fn report(limit: impl Into<Option<f64>>, from: u64, until: u64) -> LimitReport {
    LimitReport {
        limit: limit.into().and_then(RateLimit::new),
        from: ms(from),
        until: ms(until),
    }
}

/// A table that observed the reports in this order.
fn observed(reports: &[LimitReport]) -> LimitTable {
    let mut table = LimitTable::default();
    for report in reports {
        table.observe(&target(), *report);
    }
    table
}

fn limit(table: &LimitTable) -> Option<f64> {
    table.limit(&target()).map(RateLimit::get)
}

/// The times at which requests are granted to callers that ask every millisecond.
fn granted(table: &mut LimitTable, from: u64, until: u64) -> Vec<u64> {
    let at = from..until;
    at.filter(|at| table.take(&target(), ms(*at)) == Grant::Granted)
        .collect()
}

/// The times at which an owner grants requests during 40 s under a constant limit.
fn granted_under(reported: f64) -> Vec<u64> {
    let mut table = observed(&[report(reported, 0, 10)]);
    table.own(&target(), 1.0, ms(10));
    granted(&mut table, 10, 40_010)
}

fn most_in_window(granted: &[u64]) -> usize {
    let in_window = |from: &u64| {
        let there = granted
            .iter()
            .filter(|at| (*from..from + WINDOW).contains(at));
        there.count()
    };
    granted.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn an_answer_to_a_later_request_holds_whatever_it_says() {
    let first = report(5.0, 0, 10);
    for later in [2.0, 9.0] {
        let table = observed(&[first, report(later, 10, 20)]);
        assert_eq!(limit(&table), Some(later));
    }
    assert_eq!(limit(&observed(&[first, report(None, 10, 20)])), None);
}

#[test]
fn an_old_answer_that_comes_after_a_newer_one_changes_nothing() {
    let (old, new) = (report(None, 0, 10), report(2.0, 10, 20));
    assert_eq!(limit(&observed(&[new, old])), Some(2.0));
    let (old, new) = (report(2.0, 0, 10), report(None, 10, 20));
    let mut table = observed(&[report(7.0, 0, 5), new]);
    assert_eq!(table.observe(&target(), old), LimitChange::Outdated);
    assert_eq!(limit(&table), None);
}

#[test]
fn of_answers_in_an_unknown_order_the_stricter_one_holds_until_the_next() {
    let (some, other) = (report(2.0, 0, 30), report(None, 5, 25));
    for order in [[some, other], [other, some]] {
        let mut table = observed(&order);
        assert_eq!(limit(&table), Some(2.0));
        table.observe(&target(), report(None, 31, 40));
        assert_eq!(limit(&table), None);
    }
    let table = observed(&[report(2.0, 0, 30), report(3.0, 5, 40)]);
    assert_eq!(limit(&table), Some(2.0));
}

#[test]
fn targets_that_never_named_a_limit_cost_nothing() {
    let mut table = observed(&[report(None, 0, 10)]);
    assert!(table.is_empty());
    assert_eq!(table.take(&target(), ms(20)), Grant::Unlimited);
    assert!(!table.is_exhausted(&target(), ms(20)));
}

#[test]
fn a_keeper_grants_no_more_than_the_limit_in_any_window_and_most_of_it() {
    for reported in [0.25, 0.5, 1.0, 1.5, 1.6, 2.0, 5.0, 10.0, 40.0, 250.0] {
        let granted = granted_under(reported);
        let allowed = (reported * WINDOW as f64 / 1_000.0).ceil();
        let most = most_in_window(&granted) as f64;
        assert!(most <= allowed, "{reported}: {most} of {allowed}");
        let all = granted.len() as f64;
        assert!(
            all >= (reported * 40.0 * 0.9).floor() - 1.0,
            "{reported}: {all}"
        );
    }
}

/// How long a grant may be used after it was requested, in milliseconds.
fn validity() -> u64 {
    let clearance = Clearance::granted(ms(10));
    let late = (0..WINDOW).find(|late| !clearance.is_valid(true, ms(10 + late)));
    late.expect("a grant runs out") - 1
}

/// A daemon that is frozen while it holds a grant, or whose connection is established late, sends
/// its request in a window in which the owner grants as many as the limit.
#[test]
fn grants_used_at_any_moment_while_they_are_valid_keep_to_the_limit() {
    for reported in [0.25, 0.5, 1.0, 1.5, 1.6, 2.0, 5.0, 10.0, 40.0, 250.0] {
        let granted = granted_under(reported);
        let span = WINDOW + validity();
        let used = |from: u64| {
            let there = granted
                .iter()
                .filter(|at| (from..from + span).contains(*at));
            there.count()
        };
        let most = granted.iter().map(|from| used(*from)).max();
        let allowed = (reported * WINDOW as f64 / 1_000.0).ceil() as usize;
        let most = most.unwrap_or(0);
        assert!(most <= allowed, "{reported}: {most} of {allowed}");
    }
}

#[test]
fn a_request_that_needed_no_grant_is_held_back_when_a_limit_is_named() {
    assert!(Clearance::Unlimited.is_valid(false, ms(10)));
    assert!(!Clearance::Unlimited.is_valid(true, ms(10)));
}

#[test]
fn nothing_is_saved_up_while_nobody_asks() {
    let mut table = observed(&[report(1.5, 0, 10)]);
    table.own(&target(), 1.0, ms(10));
    let granted = granted(&mut table, 60_000, 64_000);
    assert!(granted.len() <= 6, "{}", granted.len());
}

#[test]
fn a_limit_that_falls_holds_at_once() {
    let mut table = observed(&[report(50.0, 0, 10)]);
    table.own(&target(), 1.0, ms(10));
    granted(&mut table, 10, 5_000);
    table.observe(&target(), report(0.5, 5_000, 5_010));
    let granted = granted(&mut table, 5_010, 9_010);
    assert!(granted.len() <= 2, "{}", granted.len());
}

#[test]
fn a_limit_of_zero_is_tried_now_and_then_and_can_be_lifted() {
    let mut table = observed(&[report(0.0, 0, 10)]);
    table.own(&target(), 1.0, ms(10));
    let tried = granted(&mut table, 10, 60_010);
    assert!((1..=3).contains(&tried.len()), "{tried:?}");
    table.observe(&target(), report(None, 60_010, 60_020));
    assert_eq!(table.take(&target(), ms(60_030)), Grant::Unlimited);
}

/// Each side of a partition may have an owner; together they grant the limit.
#[test]
fn keepers_that_hear_parts_of_the_daemons_grant_the_limit_together() {
    let mut all = Vec::new();
    for part in [2.0 / 9.0, 7.0 / 9.0] {
        let mut table = observed(&[report(3.0, 0, 10)]);
        table.own(&target(), part, ms(10));
        all.extend(granted(&mut table, 10, 40_010));
    }
    // Each owner may have one token in its bucket.
    assert!(most_in_window(&all) <= 13, "{}", most_in_window(&all));
}

#[test]
fn a_keeper_grants_nothing_for_what_was_granted_before_it() {
    let mut table = observed(&[report(1.0, 0, 10)]);
    assert_eq!(table.take(&target(), ms(5_000)), Grant::NotOwner);
    table.own(&target(), 1.0, ms(5_000));
    assert!(matches!(
        table.take(&target(), ms(5_100)),
        Grant::Exhausted(_)
    ));
    table.own(&target(), 1.0, ms(9_000));
    table.disown(&target());
    table.own(&target(), 1.0, ms(9_100));
    assert!(matches!(
        table.take(&target(), ms(9_200)),
        Grant::Exhausted(_)
    ));
}

#[test]
fn another_life_of_a_target_begins_without_a_limit() {
    let mut table = observed(&[report(1.0, 0, 10)]);
    let born = TargetId::new(target().instance().clone(), Incarnation::new(7));
    assert_eq!(table.take(&born, ms(20)), Grant::Unlimited);
    table.retain(|id| *id == born, ms(30));
    assert!(table.is_empty());
}

#[test]
fn what_is_told_has_the_same_order_at_another_daemon() {
    let table = observed(&[report(2.0, 1_000, 1_020)]);
    let update: LimitUpdate = table.update(&target(), ms(1_050)).expect("it is known");
    // The other daemon's clock, 4 ms after the update was sent.
    let mut other = LimitTable::default();
    other.observe(&target(), update.report(ms(90_004)));
    assert_eq!(limit(&other), Some(2.0));
    other.observe(&target(), report(None, 89_960, 90_010));
    assert_eq!(limit(&other), Some(2.0), "it was sent before");
    other.observe(&target(), report(None, 89_975, 90_020));
    assert_eq!(limit(&other), None);
}

#[test]
fn a_target_that_warms_up_is_limited_for_as_long_as_that_lasts() {
    let rate = RateLimit::new(4.0).expect("a limit");
    let mut table = LimitTable::default();
    table.note_warmup(&target(), rate, ms(10_000));
    assert_eq!(table.limit_at(&target(), ms(9_999)), Some(rate));
    assert_eq!(limit(&table), None, "it reports none");
    assert!(table.update(&target(), ms(20)).is_none());
    table.own(&target(), 1.0, ms(10));
    let granted = granted(&mut table, 10, 10_000);
    let most = most_in_window(&granted);
    assert!((14..=16).contains(&most), "{most}");
    assert_eq!(table.take(&target(), ms(10_000)), Grant::Unlimited);
    table.retain(|_| true, ms(10_000));
    assert!(table.is_empty());
}

#[test]
fn the_lower_one_of_a_named_limit_and_of_a_warm_up_holds() {
    let rate = RateLimit::new(4.0).expect("a limit");
    for (reported, lower) in [(1.0, 1.0), (9.0, 4.0)] {
        let mut table = observed(&[report(reported, 0, 10)]);
        table.note_warmup(&target(), rate, ms(5_000));
        let limit = |at| table.limit_at(&target(), ms(at)).map(RateLimit::get);
        assert_eq!((limit(4_000), limit(5_000)), (Some(lower), Some(reported)));
    }
}

#[test]
fn a_limit_that_was_lifted_is_forgotten_after_a_while() {
    let mut table = observed(&[report(2.0, 0, 10), report(None, 10, 20)]);
    table.retain(|_| true, ms(30_000));
    assert!(!table.is_empty());
    table.retain(|_| true, ms(60_020));
    assert!(table.is_empty());
}
