//! Adaptive limits, fair shares, retries, drain and the picking of groups.

use rand::SeedableRng;
use rand::rngs::StdRng;
use thistlesill_core::report::Pressure;
use thistlesill_core::{Millis, RequestId};
use thistlesill_policy::budget::{RetryBudget, backoff};
use thistlesill_policy::charts::{Charts, DrainState};
use thistlesill_policy::drain::Drain;
use thistlesill_policy::limit::AdaptiveLimit;
use thistlesill_policy::pick::{Candidate, GroupLoad, PickContext, PickRule, pick};
use thistlesill_policy::prefix::PrefixHints;
use thistlesill_policy::share::{Admission, FairQueue, QueueEntry};

const NOW: Millis = Millis::new(1_000_000);

fn entry(number: u128, customer: &str, share: u32) -> QueueEntry {
    QueueEntry {
        request: RequestId::new(number),
        customer: customer.into(),
        share,
        priority: 5,
        deadline: NOW,
    }
}

#[test]
fn budget_bounds_retries_to_a_part_of_the_requests() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit_percent(20);
        retries += u32::from(budget.withdraw());
    }
    assert!((200..=211).contains(&retries), "{retries}");
}

#[test]
fn backoff_grows_and_is_jittered() {
    let mut rng = StdRng::seed_from_u64(1);
    let longest = |attempt: u32, rng: &mut StdRng| (0..200).map(|_| backoff(attempt, rng)).max();
    assert!(longest(2, &mut rng) <= Some(Millis::new(25)));
    assert!(longest(4, &mut rng) > Some(Millis::new(50)));
    assert!(longest(60, &mut rng) <= Some(Millis::new(1_000)));
}

#[test]
fn limit_falls_when_late_and_recovers() {
    let mut limit = AdaptiveLimit::new(20);
    let wanted = Millis::new(100);
    for round in 0..10 {
        limit.observe(Millis::new(500), wanted, NOW + Millis::new(round * 600));
    }
    let low = limit.get();
    assert!(low < 8, "{low}");
    for _ in 0..400 {
        limit.observe(Millis::new(50), wanted, NOW);
    }
    assert_eq!(limit.get(), 20);
}

#[test]
fn shares_order_the_customers() {
    let mut queue = FairQueue::new(100);
    queue.push(entry(1, "small", 1));
    queue.push(entry(2, "large", 4));
    queue.record_start(&"small".into(), NOW);
    queue.record_start(&"large".into(), NOW);
    // Each runs one request, so the large customer uses less of its share.
    assert_eq!(queue.order(NOW), vec!["large".into(), "small".into()]);
    for _ in 0..4 {
        queue.record_start(&"large".into(), NOW);
    }
    assert_eq!(queue.order(NOW), vec!["small".into(), "large".into()]);
}

#[test]
fn use_at_other_routers_counts() {
    let mut queue = FairQueue::new(100);
    queue.push(entry(1, "a", 1));
    queue.push(entry(2, "b", 1));
    queue.record_start(&"b".into(), NOW);
    let mut other = FairQueue::new(100);
    for _ in 0..3 {
        other.record_start(&"a".into(), NOW);
    }
    assert_eq!(queue.order(NOW)[0], "a".into());
    queue.receive_usage(&"r1".into(), other.usage(), NOW);
    assert_eq!(queue.order(NOW)[0], "b".into());
    let later = NOW + Millis::new(5_000);
    assert_eq!(
        queue.order(later)[0],
        "a".into(),
        "expired usage does not count"
    );
}

#[test]
fn full_queue_turns_the_flood_away() {
    let mut queue = FairQueue::new(10);
    for n in 0..10 {
        assert_eq!(queue.push(entry(n, "flood", 1)), Admission::Admitted);
    }
    assert_eq!(queue.push(entry(10, "flood", 1)), Admission::OverShare);
    let admission = queue.push(entry(11, "quiet", 1));
    assert_eq!(admission, Admission::Displaced(RequestId::new(9)));
    assert_eq!(queue.len(), 10);
}

#[test]
fn wait_is_foretold_by_how_the_line_moves() {
    let mut queue = FairQueue::new(1_000);
    assert_eq!(queue.expected_wait(&"a".into()), Millis::ZERO);
    for n in 0..300 {
        queue.push(entry(n, "a", 1));
    }
    // One send every 100 ms: the 200 requests in front take about 20 s.
    for n in 0..100 {
        queue.remove(&"a".into(), RequestId::new(n));
        queue.record_start(
            &"a".into(),
            NOW + Millis::new(u64::try_from(n).unwrap() * 100),
        );
    }
    let wait = queue.expected_wait(&"a".into()).get();
    assert!((19_000..=20_000).contains(&wait), "{wait}");
}

#[test]
fn priority_then_deadline_within_a_customer() {
    let mut queue = FairQueue::new(10);
    let mut urgent = entry(1, "a", 1);
    urgent.priority = 1;
    let mut late = entry(2, "a", 1);
    late.deadline = NOW + Millis::new(9);
    queue.push(late);
    queue.push(entry(3, "a", 1));
    queue.push(urgent);
    let requests: Vec<RequestId> = queue.requests_of(&"a".into()).collect();
    assert_eq!(requests, [1, 3, 2].map(RequestId::new).to_vec());
}

fn loaded(reported: u32, age: u64) -> GroupLoad {
    let mut load = GroupLoad::new(64);
    let pressure = Pressure {
        running: reported,
        ..Pressure::default()
    };
    load.apply_report(pressure, Millis::new(age), NOW);
    load
}

#[test]
fn own_sends_since_the_report_count() {
    let mut load = loaded(3, 500);
    for _ in 0..4 {
        load.record_send(None, NOW);
    }
    assert_eq!(load.occupancy(), 7);
    load.record_end(NOW);
    assert_eq!(load.occupancy(), 6);
}

#[test]
fn corrected_rule_avoids_the_group_just_filled() {
    let mut filled = loaded(0, 500);
    for _ in 0..10 {
        filled.record_send(None, NOW);
    }
    let idle = loaded(2, 500);
    let candidates = [&filled, &idle].map(|load| load);
    let list: Vec<Candidate<'_>> = candidates
        .iter()
        .enumerate()
        .map(|(index, load)| Candidate {
            index,
            load,
            same_hall: true,
        })
        .collect();
    let mut context = PickContext {
        rule: PickRule::Corrected,
        prefix: None,
        now: NOW,
        pick_count: 0,
    };
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(pick(&list, &context, &mut rng), Some(1));
    context.rule = PickRule::LeastReported;
    assert_eq!(
        pick(&list, &context, &mut rng),
        Some(0),
        "the baseline ignores requests sent since the report"
    );
}

#[test]
fn hints_age_and_a_gap_shortens_them() {
    use thistlesill_core::report::CacheEvent;
    let event = |seq, prefix| CacheEvent {
        seq,
        prefix,
        added: true,
    };
    let mut hints = PrefixHints::default();
    hints.apply_events(&[event(1, 10)], NOW);
    let soon = NOW + Millis::new(30_000);
    assert!(hints.is_cached(10, soon));
    hints.apply_events(&[event(5, 11)], NOW);
    assert!(
        !hints.is_cached(10, soon),
        "hints older than a gap expire sooner"
    );
    assert!(hints.is_cached(11, soon));
    assert!(!hints.is_cached(11, NOW + Millis::new(61_000)));
}

#[test]
fn drain_fails_health_then_closes_then_ends() {
    let charts = Charts::load().expect("valid charts");
    let mut drain = Drain::new(charts.drain, Millis::new(100), Millis::new(1_000));
    drain.tick(NOW, 0);
    assert!(drain.is_healthy());
    drain.stop(NOW);
    assert!(!drain.is_healthy());
    assert!(
        drain.accepts_requests(),
        "the balancer may not have noticed yet"
    );
    drain.tick(NOW + Millis::new(100), 3);
    assert!(!drain.accepts_requests());
    assert_eq!(drain.tick(NOW + Millis::new(500), 1), DrainState::Closing);
    assert_eq!(drain.tick(NOW + Millis::new(600), 0), DrainState::Done);
}

#[test]
fn drain_waits_no_longer_than_its_limit() {
    let charts = Charts::load().expect("valid charts");
    let mut drain = Drain::new(charts.drain, Millis::new(100), Millis::new(1_000));
    drain.stop(NOW);
    drain.tick(NOW + Millis::new(100), 1);
    assert_eq!(drain.tick(NOW + Millis::new(1_200), 1), DrainState::Done);
}
