//! Under load and failures, answers are correct and complete, and retries are bounded.

use std::collections::BTreeSet;

use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{CustomerId, ErrorKind, Millis, RequestId};
use thistlesill_policy::router::Arrival;
use thistlesill_policy::serving::GroupKey;
use thistlesill_replay::stage::{Answer, Power, Simulation};

use crate::support::{
    assert_answers_consistent, chat, listed_instance, options, root, send_load, serving, tree,
};

#[test]
fn group_lost_midway_and_request_continued_elsewhere() {
    let mut sim = serving(options(), 2);
    for n in 0..8 {
        sim.submit(0, chat(n), 200, Millis::new(60_000));
    }
    sim.run(Millis::new(1_000));
    sim.set_power("d-00", Power::Off);
    sim.run(Millis::new(60_000));
    for n in 0..8 {
        assert_eq!(
            sim.answer(chat(n).request),
            Some(&Answer::Whole),
            "request {n}"
        );
    }
    assert_answers_consistent(&sim);
}

#[test]
fn no_group_at_all_is_told_soon() {
    let mut options = options();
    options.instances.truncate(3);
    let mut sim = serving(options, 0);
    sim.run(Millis::new(5_000));
    let at = sim.elapsed();
    sim.submit(0, chat(1), 10, Millis::new(20_000));
    while sim.answer(chat(1).request).is_none() {
        sim.step();
    }
    let took = sim.elapsed() - at;
    assert!(took < Millis::new(4_000), "{took}");
    let expected = Answer::Failed(ErrorKind::NoGroup);
    assert_eq!(sim.answer(chat(1).request), Some(&expected));
}

#[test]
fn unknown_model_is_told_at_once() {
    let mut sim = serving(options(), 2);
    let arrival = Arrival {
        wanted: thistlesill_policy::router::Wanted::Model("nothing".into()),
        ..chat(1)
    };
    sim.submit(0, arrival, 10, Millis::new(20_000));
    let expected = Answer::Failed(ErrorKind::UnknownModel);
    assert_eq!(sim.answer(chat(1).request), Some(&expected));
}

#[test]
fn retries_are_bounded_while_targets_fail() {
    let mut changed = root();
    changed.retry_percent = Some(20);
    let mut options = options();
    options.tree = tree(1, changed);
    let mut sim = serving(options, 2);
    let before = sim.tally().clone();
    // Two instances are killed again and again, so requests that they run get no answer.
    for round in 0..10 {
        send_load(&mut sim, 1_000 * (round + 1), 20);
        sim.set_power("d-00", Power::Off);
        sim.set_power("d-04", Power::Off);
        send_load(&mut sim, 1_000 * (round + 1) + 500, 20);
        sim.set_power("d-00", Power::On);
        sim.set_power("d-04", Power::On);
        sim.run(Millis::new(3_000));
    }
    let tally = sim.tally();
    let firsts = tally.asked - before.asked;
    let retries = tally.retries - before.retries;
    let bound = firsts * 20 / 100 + 2 * 10;
    assert!(
        retries <= bound,
        "{retries} retries of {firsts}, bound {bound}"
    );
    sim.run(Millis::new(30_000));
    assert_answers_consistent(&sim);
}

#[test]
fn flood_of_one_customer_leaves_the_other_its_share() {
    let mut sim = serving(options(), 2);
    for second in 0..20_u128 {
        for n in 0..30 {
            sim.submit(0, chat(second * 100 + n), 100, Millis::new(20_000));
        }
        for n in 0..2 {
            let arrival = Arrival {
                customer: CustomerId::from("b"),
                ..chat(1_000_000 + second * 100 + n)
            };
            sim.submit(0, arrival, 100, Millis::new(20_000));
        }
        sim.run(Millis::new(1_000));
    }
    sim.run(Millis::new(40_000));
    let answered = |customer: &str| {
        let own = sim
            .requests()
            .values()
            .filter(|a| a.customer.as_str() == customer);
        let all = own.clone().count();
        let complete = own.filter(|a| a.answers.iter().any(|(_, x)| *x == Answer::Whole));
        (complete.count(), all)
    };
    assert_eq!(
        answered("b"),
        (40, 40),
        "the quiet customer is served in full"
    );
    let (served, submitted) = answered("a");
    assert!(
        served < submitted,
        "the flood is shed in part: {served} of {submitted}"
    );
    assert_answers_consistent(&sim);
}

#[test]
fn slow_group_loses_traffic() {
    let mut options = options();
    options
        .instances
        .extend((0..4).map(|n| listed_instance("e", n)));
    let mut sim = serving(options, 3);
    send_load(&mut sim, 1, 60);
    sim.set_slowness("d-01", 10);
    let slow = sim.target("d-01").duty.membership().unwrap().group.clone();
    send_load(&mut sim, 1_000, 60);
    let at = sim.elapsed();
    send_load(&mut sim, 2_000, 100);
    let sends = crate::support::sends_since(&sim, at);
    let to_slow = sends.iter().filter(|(g, _)| *g == slow).count();
    let ratio = to_slow as f64 / sends.len() as f64;
    assert!(
        ratio < 0.15,
        "{to_slow} of {} go to the slow group",
        sends.len()
    );
}

/// Kills and restarts the leader of each group that receives a request within a second of its
/// arrival, as a request that crashes engines would. Returns the number of these groups.
fn crash_its_leaders(sim: &mut Simulation, request: RequestId) -> usize {
    let mut crashed = BTreeSet::new();
    let end = sim.elapsed() + Millis::new(1_000);
    while sim.elapsed() < end {
        for key in groups_sent_to(sim, request) {
            // The router first tries to resume a broken stream at the group where it broke.
            if !crashed.insert(key.clone()) {
                continue;
            }
            let servers = &sim.router(0).roster().servers;
            let server = servers.iter().find(|s| s.key == key);
            if let Some(leader) = server.and_then(|s| s.members.first()) {
                let leader = leader.instance.to_string();
                sim.set_power(&leader, Power::Off);
                sim.set_power(&leader, Power::On);
            }
        }
        sim.step();
    }
    crashed.len()
}

/// Guards against a request that takes its groups away in silence and is never withheld: it ended at its
/// deadline before anything showed a loss.
#[test]
fn a_request_whose_groups_fall_silent_until_its_deadline_is_never_withheld() {
    let mut sim = serving(options(), 2);
    let mut stopped: Vec<(String, Millis)> = Vec::new();
    let mut count = 0;
    for n in 0..15 {
        let silencing = Arrival {
            body: "fatal".to_owned(),
            deadline: Some(Millis::new(4_000)),
            ..chat(1_000 + n)
        };
        let request = silencing.request;
        sim.submit((n % 2) as usize, silencing, 200, Millis::new(4_000));
        let end = sim.elapsed() + Millis::new(5_000);
        while sim.elapsed() < end {
            for leader in leaders_sent_to(&sim, request) {
                if stopped.iter().all(|(known, _)| *known != leader) {
                    sim.set_power(&leader, Power::Paused);
                    stopped.push((leader, sim.elapsed() + Millis::new(4_500)));
                    count += 1;
                }
            }
            let now = sim.elapsed();
            for (leader, _) in stopped.extract_if(.., |(_, until)| *until <= now) {
                sim.set_power(&leader, Power::Off);
                sim.set_power(&leader, Power::On);
            }
            sim.step();
        }
    }
    assert!(count <= 3 + 2, "{count} groups fell silent");
}

/// Guards against verdicts on requests whose groups only stood still: silence alone proves nothing.
#[test]
fn a_request_is_withheld_because_its_groups_stood_still() {
    let mut sim = serving(options(), 2);
    let same = |n: u128| Arrival {
        body: "same".to_owned(),
        deadline: Some(Millis::new(600)),
        ..chat(2_000 + n)
    };
    for round in 0..6 {
        for n in 0..4 {
            sim.submit((n % 2) as usize, same(round * 4 + n), 200, Millis::new(600));
        }
        let sent = (0..4).flat_map(|n| leaders_sent_to(&sim, same(round * 4 + n).request));
        let leaders: BTreeSet<String> = sent.collect();
        for leader in &leaders {
            sim.set_power(leader, Power::Paused);
        }
        sim.run(Millis::new(1_200));
        for leader in &leaders {
            sim.set_power(leader, Power::On);
        }
        sim.run(Millis::new(1_300));
    }
    sim.run(Millis::new(30_000));
    let after = Arrival {
        deadline: None,
        ..same(100)
    };
    let request = after.request;
    sim.submit(0, after, 20, Millis::new(20_000));
    sim.run(Millis::new(5_000));
    assert_eq!(sim.answer(request), Some(&Answer::Whole));
}

/// Returns the leaders of the groups that a request was sent to, as far as these are listed.
fn leaders_sent_to(sim: &Simulation, request: RequestId) -> Vec<String> {
    let servers = &sim.router(0).roster().servers;
    let keys = groups_sent_to(sim, request);
    let sent = servers.iter().filter(|s| keys.contains(&s.key));
    sent.map(|s| s.leader().to_string()).collect()
}

/// Returns the groups that a request was sent to, one per attempt.
fn groups_sent_to(sim: &Simulation, request: RequestId) -> Vec<GroupKey> {
    let sent = sim.records().iter().filter_map(|r| match &r.what {
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

/// A request that crashes every group that runs it must not be sent to more and more groups.
/// Callers send it again and again under new IDs, and each ID could reach as many groups as a
/// request may have attempts.
#[test]
fn a_request_that_ends_its_groups_is_soon_sent_to_none() {
    let mut sim = serving(options(), 2);
    let mut crashed = 0;
    for n in 0..25 {
        let crashing = Arrival {
            body: "fatal".to_owned(),
            ..chat(1_000 + n)
        };
        let request = crashing.request;
        sim.submit((n % 2) as usize, crashing, 200, Millis::new(20_000));
        crashed += crash_its_leaders(&mut sim, request);
        sim.run(Millis::new(2_000));
    }
    assert!(crashed <= 3 + 1, "{crashed} groups crashed");
    sim.run(Millis::new(30_000));
    sim.submit(0, chat(1), 20, Millis::new(20_000));
    sim.run(Millis::new(10_000));
    assert_eq!(sim.answer(chat(1).request), Some(&Answer::Whole));
    assert_answers_consistent(&sim);
}
