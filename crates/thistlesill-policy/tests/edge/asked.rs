//! Tests of the measurement of demand, in fully busy groups.

use thistlesill_core::{Millis, Model, ServiceName};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::asked::{DemandMeter, DemandSample};

/// Time between two requests: 50 per second.
const GAP: Millis = Millis::new(20);
/// Time of a group that one request takes up, in milliseconds: 40 ms of prefill, and 0.24 ms for
/// each of 50 tokens.
const WORK: f64 = 52.0;

fn start() -> Millis {
    Millis::new(1_000_000)
}

/// Records requests for the large model during `time`, and returns the end of that time.
fn ask(meter: &mut DemandMeter, from: Millis, time: Millis, refused: bool) -> Millis {
    let (engine, model) = (engine(), Model::from("large"));
    let mut now = from;
    while now < from + time {
        let sample = DemandSample {
            engine: &engine,
            model: &model,
            prompt: 1_840,
            answer: Some(50),
            refused,
        };
        meter.record(&"s".into(), &sample, now);
        now = now + GAP;
    }
    now
}

fn work(meter: &mut DemandMeter, now: Millis) -> f64 {
    let key = (ServiceName::from("s"), Model::from("large"));
    meter.work(now).get(&key).copied().unwrap_or(0.0)
}

fn assert_near(work: f64, expected: f64) {
    let ratio = work / expected;
    assert!((0.9..1.1).contains(&ratio), "{work} for {expected}");
}

#[test]
fn work_is_told_in_groups_from_the_first_second_on() {
    let mut meter = DemandMeter::default();
    let groups = WORK / GAP.get() as f64;
    let second = ask(&mut meter, start(), Millis::new(1_000), false);
    assert_near(work(&mut meter, second), groups);
    let later = ask(&mut meter, second, Millis::new(20_000), false);
    assert_near(work(&mut meter, later), groups);
}

/// Long answers take all slots of a group long before its computing time. Counted by computing time
/// alone, no group is missing while all slots of all groups are taken.
#[test]
fn slots_count_where_they_are_scarcer_than_computing_time() {
    let mut few_slots = engine();
    few_slots.slots = 10;
    let (service, model) = (ServiceName::from("s"), Model::from("large"));
    let mut meter = DemandMeter::default();
    let sample = DemandSample {
        engine: &few_slots,
        model: &model,
        prompt: 460,
        answer: Some(200),
        refused: false,
    };
    meter.record(&service, &sample, start());
    // 10 ms of prefill and 200 steps of 6 ms and 0.24 ms for each of six running requests, in one
    // of ten slots; the computing time is 58 ms.
    let each = meter.work_per_request(&service, &model).unwrap_or(0.0);
    let slot = (10.0 + 200.0 * (few_slots.step + 6.0 * few_slots.step_each)) / 10.0;
    assert_near(each, slot);
    assert!(each > 2.0 * 58.0, "{each}");
}

#[test]
fn refused_requests_count_half_since_they_come_back() {
    let mut meter = DemandMeter::default();
    let end = ask(&mut meter, start(), Millis::new(10_000), true);
    assert_near(work(&mut meter, end), WORK / GAP.get() as f64 / 2.0);
}

#[test]
fn work_that_ends_is_forgotten() {
    let mut meter = DemandMeter::default();
    let end = ask(&mut meter, start(), Millis::new(10_000), false);
    let before = work(&mut meter, end);
    let after = work(&mut meter, end + Millis::new(8_000));
    assert!(after < before * 0.15, "{before} to {after}");
    assert!(meter.work(end + Millis::new(60_000)).is_empty());
}

#[test]
fn models_that_the_service_does_not_run_count_nothing() {
    let mut meter = DemandMeter::default();
    let (engine, model) = (engine(), Model::from("unknown"));
    let sample = DemandSample {
        engine: &engine,
        model: &model,
        prompt: 1_000,
        answer: None,
        refused: false,
    };
    meter.record(&"s".into(), &sample, start());
    assert!(meter.work(start()).is_empty());
}

#[test]
fn the_work_of_one_request_is_known_whether_some_are_turned_away_or_not() {
    let mut meter = DemandMeter::default();
    let (service, model) = (ServiceName::from("s"), Model::from("large"));
    assert_eq!(meter.work_per_request(&service, &model), None);
    let now = ask(&mut meter, start(), Millis::new(2_000), false);
    ask(&mut meter, now, Millis::new(2_000), true);
    let each = meter
        .work_per_request(&service, &model)
        .expect("requests arrived");
    assert_near(each, WORK);
}
