//! Tests of the measurement of demand, in fully busy groups.

use thistlesill_core::{Millis, Model, ServiceName};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::asked::{DemandMeter, DemandSample, model_urgency};
use thistlesill_policy::edge::shortage::Urgency;

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
    ask_ranked(meter, from, time, refused, None)
}

/// Like [`ask`], for a service that ranks its callers if `urgency` is set.
pub(crate) fn ask_ranked(
    meter: &mut DemandMeter,
    from: Millis,
    time: Millis,
    refused: bool,
    urgency: Option<Urgency>,
) -> Millis {
    let (engine, model) = (engine(), Model::from("large"));
    let mut now = from;
    while now < from + time {
        let sample = DemandSample {
            engine: &engine,
            model: &model,
            prompt: 1_840,
            answer: Some(50),
            refused,
            urgency,
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
        urgency: None,
    };
    meter.record(&service, &sample, start());
    // 10 ms of prefill and 200 steps of 6 ms and 0.24 ms for each of 7.5 running requests, in one
    // of ten slots, of which three quarters may be taken where 0.6 of the computing time may; the
    // computing time is 58 ms.
    let each = meter.work_per_request(&service, &model).unwrap_or(0.0);
    let taken = 10.0 + 200.0 * (few_slots.step + 7.5 * few_slots.step_each);
    let slot = taken / 10.0 * 0.6 / 0.75;
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
        urgency: None,
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

/// Guards against a model whose most urgent requests are refused and which gets no groups for them.
#[test]
fn refused_requests_count_in_full_where_callers_are_ranked() {
    let mut meter = DemandMeter::default();
    let urgent = Some(urgency(1, 0));
    let end = ask_ranked(&mut meter, start(), Millis::new(10_000), true, urgent);
    assert_near(work(&mut meter, end), WORK / GAP.get() as f64);
}

const fn urgency(customer: u8, route: u8) -> Urgency {
    Urgency { customer, route }
}

/// Returns the urgency of the large model's demand.
fn large_urgency(meter: &mut DemandMeter, now: Millis) -> Option<Urgency> {
    let key = (ServiceName::from("s"), Model::from("large"));
    meter.urgency(now).get(&key).copied()
}

/// Guards against an urgency that outlasts its requests, and against one where none is configured.
#[test]
fn a_model_is_as_urgent_as_its_recent_requests() {
    let mut meter = DemandMeter::default();
    let time = Millis::new(10_000);
    let now = ask(&mut meter, start(), time, false);
    assert_eq!(large_urgency(&mut meter, now), None);
    let now = ask_ranked(&mut meter, now, time, false, Some(urgency(1, 0)));
    assert_eq!(large_urgency(&mut meter, now), Some(urgency(1, 0)));
    let now = ask_ranked(&mut meter, now, time, false, Some(urgency(1, 2)));
    assert_eq!(large_urgency(&mut meter, now), Some(urgency(1, 2)));
    assert_eq!(large_urgency(&mut meter, now + Millis::new(60_000)), None);
}

/// Guards against a few requests of an urgent customer that raise all requests of a model above the
/// more urgent kind of another one.
#[test]
fn requests_that_are_less_than_a_quarter_of_the_work_do_not_decide_the_urgency() {
    let (few, most) = (urgency(0, 1), urgency(1, 1));
    assert_eq!(model_urgency([(most, 9.0), (few, 1.0)]), Some(most));
    assert_eq!(model_urgency([(most, 3.0), (few, 1.0)]), Some(few));
    // Requests of both urgencies together are a quarter.
    let parts = [(urgency(2, 2), 8.0), (most, 2.0), (few, 1.0)];
    assert_eq!(model_urgency(parts), Some(most));
    assert_eq!(model_urgency([]), None);
    assert_eq!(model_urgency([(few, 0.0)]), None);
}
