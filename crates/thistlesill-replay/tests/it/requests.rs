//! Answers are true and whole, and retries are bounded, under load and
//! failures.

use std::collections::BTreeSet;

use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{CustomerId, ErrorKind, Millis, RequestId};
use thistlesill_policy::router::Arrival;
use thistlesill_policy::serving::GroupKey;
use thistlesill_replay::stage::{Answer, Power, Stage};

use crate::support::{assert_answers_true, chat, load, options, place, root, serving, tree};

#[test]
fn group_lost_midway_and_request_continued_elsewhere() {
    let mut stage = serving(options(), 2);
    for n in 0..8 {
        stage.ask(0, chat(n), 200, Millis::new(60_000));
    }
    stage.run(Millis::new(1_000));
    stage.power("d-00", Power::Off);
    stage.run(Millis::new(60_000));
    for n in 0..8 {
        assert_eq!(
            stage.answer(chat(n).request),
            Some(&Answer::Whole),
            "request {n}"
        );
    }
    assert_answers_true(&stage);
}

#[test]
fn no_group_at_all_is_told_soon() {
    let mut options = options();
    options.places.truncate(3);
    let mut stage = serving(options, 0);
    stage.run(Millis::new(5_000));
    let at = stage.elapsed();
    stage.ask(0, chat(1), 10, Millis::new(20_000));
    while stage.answer(chat(1).request).is_none() {
        stage.step();
    }
    let took = stage.elapsed() - at;
    assert!(took < Millis::new(4_000), "{took}");
    let told = Answer::Failed(ErrorKind::NoGroup);
    assert_eq!(stage.answer(chat(1).request), Some(&told));
}

#[test]
fn unknown_model_is_told_at_once() {
    let mut stage = serving(options(), 2);
    let arrival = Arrival {
        wanted: thistlesill_policy::router::Wanted::Model("nothing".into()),
        ..chat(1)
    };
    stage.ask(0, arrival, 10, Millis::new(20_000));
    let told = Answer::Failed(ErrorKind::UnknownModel);
    assert_eq!(stage.answer(chat(1).request), Some(&told));
}

#[test]
fn retries_are_bounded_while_targets_fail() {
    let mut changed = root();
    changed.retry_percent = Some(20);
    let mut options = options();
    options.tree = tree(1, changed);
    let mut stage = serving(options, 2);
    let before = stage.tally().clone();
    // A leader that answers nothing and dies again and again.
    for round in 0..10 {
        load(&mut stage, 1_000 * (round + 1), 20);
        stage.power("d-00", Power::Off);
        stage.power("d-04", Power::Off);
        load(&mut stage, 1_000 * (round + 1) + 500, 20);
        stage.power("d-00", Power::On);
        stage.power("d-04", Power::On);
        stage.run(Millis::new(3_000));
    }
    let tally = stage.tally();
    let firsts = tally.asked - before.asked;
    let retries = tally.retries - before.retries;
    let bound = firsts * 20 / 100 + 2 * 10;
    assert!(
        retries <= bound,
        "{retries} retries of {firsts}, bound {bound}"
    );
    stage.run(Millis::new(30_000));
    assert_answers_true(&stage);
}

#[test]
fn flood_of_one_customer_leaves_the_other_its_share() {
    let mut stage = serving(options(), 2);
    for second in 0..20_u128 {
        for n in 0..30 {
            stage.ask(0, chat(second * 100 + n), 100, Millis::new(20_000));
        }
        for n in 0..2 {
            let arrival = Arrival {
                customer: CustomerId::from("b"),
                ..chat(1_000_000 + second * 100 + n)
            };
            stage.ask(0, arrival, 100, Millis::new(20_000));
        }
        stage.run(Millis::new(1_000));
    }
    stage.run(Millis::new(40_000));
    let whole = |customer: &str| {
        let own = stage
            .asked()
            .values()
            .filter(|a| a.customer.as_str() == customer);
        let all = own.clone().count();
        let whole = own.filter(|a| a.answers.iter().any(|(_, x)| *x == Answer::Whole));
        (whole.count(), all)
    };
    assert_eq!(whole("b"), (40, 40), "the quiet customer is served in full");
    let (served, asked) = whole("a");
    assert!(
        served < asked,
        "the flood is shed in part: {served} of {asked}"
    );
    assert_answers_true(&stage);
}

#[test]
fn slow_group_loses_traffic() {
    let mut options = options();
    options.places.extend((0..4).map(|n| place("e", n)));
    let mut stage = serving(options, 3);
    load(&mut stage, 1, 60);
    stage.slow("d-01", 10);
    let slow = stage
        .target("d-01")
        .duty
        .membership()
        .unwrap()
        .group
        .clone();
    load(&mut stage, 1_000, 60);
    let at = stage.elapsed();
    load(&mut stage, 2_000, 100);
    let sends = crate::support::sends_since(&stage, at);
    let there = sends.iter().filter(|(g, _)| *g == slow).count();
    let part = there as f64 / sends.len() as f64;
    assert!(
        part < 0.15,
        "{there} of {} go to the slow group",
        sends.len()
    );
}

/// Ends the leader of each group that gets a request within a second of its arrival, and
/// has it start anew; returns how many groups these were.
fn end_its_leaders(stage: &mut Stage, request: RequestId) -> usize {
    let mut ended = BTreeSet::new();
    let end = stage.elapsed() + Millis::new(1_000);
    while stage.elapsed() < end {
        for key in groups_that_got(stage, request) {
            // A broken stream is first asked for where it broke.
            if !ended.insert(key.clone()) {
                continue;
            }
            let servers = &stage.router(0).roster().servers;
            let server = servers.iter().find(|s| s.key == key);
            if let Some(leader) = server.and_then(|s| s.members.first()) {
                let leader = leader.instance.to_string();
                stage.power(&leader, Power::Off);
                stage.power(&leader, Power::On);
            }
        }
        stage.step();
    }
    ended.len()
}

/// The groups that a request was sent to.
fn groups_that_got(stage: &Stage, request: RequestId) -> Vec<GroupKey> {
    let sent = stage.records().iter().filter_map(|r| match &r.what {
        TimelineEvent::Sent {
            request: of,
            group,
            epoch,
            ..
        } if *of == request => Some(GroupKey {
            group: group.clone(),
            epoch: *epoch,
        }),
        _ => None,
    });
    sent.collect()
}

/// Callers sent a request that ends each group which runs it again and again, with another
/// id; each time it was sent to as many groups as it may have attempts.
#[test]
fn a_request_that_ends_its_groups_is_soon_sent_to_none() {
    let mut stage = serving(options(), 2);
    let mut ended = 0;
    for n in 0..25 {
        let fatal = Arrival {
            body: "fatal".to_owned(),
            ..chat(1_000 + n)
        };
        let request = fatal.request;
        stage.ask((n % 2) as usize, fatal, 200, Millis::new(20_000));
        ended += end_its_leaders(&mut stage, request);
        stage.run(Millis::new(2_000));
    }
    assert!(ended <= 3 + 1, "{ended} groups ended");
    stage.run(Millis::new(30_000));
    stage.ask(0, chat(1), 20, Millis::new(20_000));
    stage.run(Millis::new(10_000));
    assert_eq!(stage.answer(chat(1).request), Some(&Answer::Whole));
    assert_answers_true(&stage);
}
