//! The work that callers ask for is measured in groups.

use thistlesill_core::edge::Engine;
use thistlesill_core::{Millis, Model, ServiceName};
use thistlesill_fakes::engines::engine;
use thistlesill_policy::edge::asked::{Asked, AskedMeter};
use thistlesill_policy::edge::fleet::USED;

/// Between two requests: 50 a second.
const GAP: Millis = Millis::new(20);
/// Between two requests: 200 a second.
const QUARTER: Millis = Millis::new(5);
/// Milliseconds of a group that a request takes: its prompt is read in 40 ms,
/// and 50 tokens add 0.24 ms each.
const WORK: f64 = 52.0;

fn start() -> Millis {
    Millis::new(1_000_000)
}

/// Notes requests for the large model over a time, and returns its end.
fn ask(meter: &mut AskedMeter, from: Millis, time: Millis, refused: bool) -> Millis {
    let (engine, model) = (engine(), Model::from("large"));
    let mut now = from;
    while now < from + time {
        let asked = Asked {
            engine: &engine,
            model: &model,
            prompt: 1_840,
            answer: Some(50),
            refused,
        };
        meter.note(&"s".into(), &asked, now);
        now = now + GAP;
    }
    now
}

fn work(meter: &mut AskedMeter, now: Millis) -> f64 {
    let key = (ServiceName::from("s"), Model::from("large"));
    meter.work(now).get(&key).copied().unwrap_or(0.0)
}

fn assert_near(work: f64, expected: f64) {
    let part = work / expected;
    assert!((0.9..1.1).contains(&part), "{work} for {expected}");
}

#[test]
fn work_is_told_in_groups_from_the_first_second_on() {
    let mut meter = AskedMeter::default();
    let groups = WORK / GAP.get() as f64;
    let second = ask(&mut meter, start(), Millis::new(1_000), false);
    assert_near(work(&mut meter, second), groups);
    let later = ask(&mut meter, second, Millis::new(20_000), false);
    assert_near(work(&mut meter, later), groups);
}

#[test]
fn refused_requests_count_half_since_they_come_back() {
    let mut meter = AskedMeter::default();
    let end = ask(&mut meter, start(), Millis::new(10_000), true);
    assert_near(work(&mut meter, end), WORK / GAP.get() as f64 / 2.0);
}

#[test]
fn work_that_ends_is_forgotten() {
    let mut meter = AskedMeter::default();
    let end = ask(&mut meter, start(), Millis::new(10_000), false);
    let before = work(&mut meter, end);
    let after = work(&mut meter, end + Millis::new(8_000));
    assert!(after < before * 0.15, "{before} to {after}");
    assert!(meter.work(end + Millis::new(60_000)).is_empty());
}

#[test]
fn models_that_the_service_does_not_run_count_nothing() {
    let mut meter = AskedMeter::default();
    let (engine, model) = (engine(), Model::from("unknown"));
    let asked = Asked {
        engine: &engine,
        model: &model,
        prompt: 1_000,
        answer: None,
        refused: false,
    };
    meter.note(&"s".into(), &asked, start());
    assert!(meter.work(start()).is_empty());
}

/// Requests with short prompts and long answers hold a group's places when the group is
/// busy for a small part of its time: by time alone 17.7 groups were planned, in which
/// their streams would hold 34 of 26 places.
#[test]
fn places_count_where_they_are_the_tighter_limit() {
    const PROMPT: u32 = 230;
    const ANSWER: u32 = 200;
    let (engine, model) = (engine(), Model::from("large"));
    let mut meter = AskedMeter::default();
    let mut now = start();
    for _ in 0..1_000 {
        let asked = Asked {
            engine: &engine,
            model: &model,
            prompt: PROMPT,
            answer: Some(u64::from(ANSWER)),
            refused: false,
        };
        meter.note(&"s".into(), &asked, now);
        now = now + QUARTER;
    }
    let groups = work(&mut meter, now) / USED;
    let held = places_held(&engine, groups, PROMPT, ANSWER);
    let aim = USED * f64::from(engine.slots);
    assert!(
        (0.8 * aim..1.1 * aim).contains(&held),
        "{held} of {aim} at {groups}"
    );
}

/// Plays one of some groups that share requests that come every [`QUARTER`], and
/// counts the places that are held in it on the mean.
fn places_held(engine: &Engine, groups: f64, prompt: u32, answer: u32) -> f64 {
    let gap = QUARTER.get() as f64 * groups;
    let read = f64::from(prompt) / engine.read_rate * 1_000.0;
    let (mut now, mut next) = (0.0, 0.0);
    let mut left: Vec<u32> = Vec::new();
    let (mut held, mut since) = (0.0, 0.0);
    while now < 60_000.0 {
        let mut step = engine.step + engine.step_each * left.len() as f64;
        while next <= now {
            left.push(answer);
            next += gap;
            step += read;
        }
        // The first seconds fill the group.
        if now > 10_000.0 {
            held += left.len() as f64 * step;
            since += step;
        }
        for tokens in &mut left {
            *tokens -= 1;
        }
        left.retain(|tokens| *tokens > 0);
        now += step;
    }
    held / since
}
