//! Backoffs that targets request from single daemons in their refusals.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use thistlesill_platform_standin::ledger::Arrival;
use thistlesill_platform_standin::store::Mode;
use thistlesill_platform_standin::targets::Fault;
use thistlesill_platform_standin::world::World;

use crate::support::{ask, daemon_of, large_leader, read, send_through, sleep, stream, world};

/// Time after a refusal in which requests that were sent before it may still arrive.
const CROSSING_TIME: Duration = Duration::from_millis(500);
/// Requests of one daemon that may reach a target between that time and the end of its backoff.
const MAX_REPEATS: usize = 2;
/// Maximum time of an immediate refusal.
const IMMEDIATE: Duration = Duration::from_millis(100);

/// Starts a deployment of which `p-0` is near to the daemons with even numbers and `p-1` to the
/// others, and returns it with the daemons that are near to `p-0` and do not place their requests
/// themselves, by the requests of a short load.
async fn world_with_asking_daemons(net: u8) -> (World, Vec<usize>) {
    let world = world(net, 6).await;
    world.targets.set_hall("p-1", "other");
    sleep(800).await;
    let near = [0, 2, 4];
    send_through(&world, &near, 60, Duration::from_secs(1), read).await;
    sleep(500).await;
    let asks = |daemon: &usize| {
        let lines = world.log_lines(*daemon, &format!("ev=request id={daemon}-"));
        let count = |by: &str| lines.iter().filter(|line| line.contains(by)).count();
        count("placed=owner") > count("placed=itself")
    };
    let asking: Vec<usize> = near.into_iter().filter(asks).collect();
    assert!(!asking.is_empty(), "owners place the requests of others");
    (world, asking)
}

/// Returns the largest number of requests that one daemon sent to a target during one backoff of
/// `time` that it requested, leaving out those that may have crossed the refusal.
fn most_repeats(world: &World, target: &str, time: Duration) -> usize {
    let arrivals = world.targets.ledger.arrivals_at(target);
    let refusals = arrivals.iter().filter(|a| a.shed);
    let repeats = refusals.map(|refusal| {
        let span = refusal.at + CROSSING_TIME..refusal.at + time;
        let same = arrivals
            .iter()
            .filter(|a| daemon_of(a) == daemon_of(refusal));
        same.filter(|a| span.contains(&a.at)).count()
    });
    repeats.max().unwrap_or(0)
}

/// The owner that places a daemon's requests does not get the answers that ask for a backoff.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_pile_up_at_a_target_that_requested_a_backoff() {
    let (world, asking) = world_with_asking_daemons(141).await;
    world.targets.shed("p-0", Some("3"));
    let all = send_through(&world, &asking, 40, Duration::from_secs(8), read).await;
    let most = most_repeats(&world, "p-0", Duration::from_secs(3));
    let arrivals = world.targets.ledger.arrivals_at("p-0");
    let refused = arrivals.iter().filter(|a| a.shed).count();
    assert!(
        most <= MAX_REPEATS,
        "{most} requests of a daemon within 3 s, {refused} refused in all"
    );
    assert!(
        refused >= 2 * asking.len(),
        "each daemon sends again after its backoff"
    );
    // The other target has capacity for all requests.
    assert!(all.iter().all(|(got, _)| got.status == 200));
    world.targets.shed("p-0", None);
    sleep(3_000).await;
    let before = world.targets.ledger.starts_at("p-0").len();
    send_through(&world, &asking, 40, Duration::from_secs(2), read).await;
    let runs = world.targets.ledger.starts_at("p-0").len() - before;
    assert!(runs >= 70, "{runs} of 80 after the end of the backoffs");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_no_target_takes_during_backoffs_is_refused_at_once() {
    let world = world(142, 4).await;
    let leader = large_leader(&world);
    let daemons = [0, 1, 2, 3];
    world.targets.shed(&leader, Some("2.5"));
    let all = send_through(&world, &daemons, 40, Duration::from_secs(2), stream).await;
    let refusals = world.targets.ledger.arrivals_at(&leader);
    assert_eq!(refusals.iter().filter(|a| a.shed).count(), daemons.len());
    for (got, took) in &all {
        assert_eq!(got.status, 503, "{got:?}");
        assert!(*took < IMMEDIATE, "refused after {took:?}");
        let after = got.retry_after().expect("a time to come back");
        assert!((0.3..=2.5).contains(&after), "{after} s");
    }
    // Whoever comes back at the named time is served.
    world.targets.shed(&leader, None);
    let last = ask(&world, 0, stream("0-last")).await;
    let after = last.retry_after().expect("a time to come back");
    sleep((after * 1_000.0) as u64 + 20).await;
    let served = ask(&world, 0, stream("0-served")).await;
    assert_eq!(served.status, 200, "{served:?}");
}

/// A stream that its caller resumes waits for free capacity, of which there is none during backoffs.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_stream_is_held_before_it_is_refused_during_backoffs() {
    let world = world(148, 1).await;
    let leader = large_leader(&world);
    world.targets.shed(&leader, Some("5"));
    ask(&world, 0, stream("0-asked")).await;
    let sent = Instant::now();
    let refused = ask(&world, 0, stream("0-resumed").resume_after(3)).await;
    let took = sent.elapsed();
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(took < IMMEDIATE, "refused after {took:?}");
    assert!(
        refused.retry_after().is_some_and(|s| s > 4.0),
        "{refused:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_keep_to_a_backoff_too() {
    let world = world(143, 4).await;
    world.targets.set_fault("p-1", Fault::LoseAnswers);
    world.targets.shed("p-0", Some("3"));
    send_through(&world, &[0, 1, 2, 3], 20, Duration::from_secs(7), read).await;
    let most = most_repeats(&world, "p-0", Duration::from_secs(3));
    assert!(
        most <= MAX_REPEATS,
        "{most} requests of a daemon within 3 s"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backoff_holds_while_the_store_and_owners_are_away() {
    let world = world(144, 6).await;
    let daemons = [0, 1, 2, 3, 4, 5];
    send_through(&world, &daemons, 60, Duration::from_secs(1), read).await;
    world.store.set_mode(Mode::Unresponsive);
    world.targets.shed("p-0", Some("3"));
    for frozen in [0, 3] {
        world.daemons[frozen].signal(Signal::SIGSTOP);
        let others: Vec<usize> = daemons.into_iter().filter(|d| *d != frozen).collect();
        send_through(&world, &others, 40, Duration::from_secs(1), read).await;
        world.daemons[frozen].signal(Signal::SIGCONT);
        send_through(&world, &daemons, 40, Duration::from_secs(1), read).await;
    }
    let most = most_repeats(&world, "p-0", Duration::from_secs(3));
    assert!(
        most <= MAX_REPEATS,
        "{most} requests of a daemon within 3 s"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backoff_that_cannot_be_read_is_noted_and_counts_as_none() {
    let world = world(145, 2).await;
    world.targets.leave("p-1");
    sleep(1_500).await;
    world
        .targets
        .shed("p-0", Some("Thu, 03 Dec 2026 18:00:00 GMT"));
    send_through(&world, &[0, 1], 20, Duration::from_secs(1), read).await;
    world.targets.shed("p-0", None);
    sleep(2_000).await;
    let all = send_through(&world, &[0, 1], 20, Duration::from_secs(1), read).await;
    assert!(all.iter().all(|(got, _)| got.status == 200));
    let lines = world.log_lines(0, "ev=backoff_unreadable");
    assert!(lines.iter().any(|l| l.contains("Thu, 03 Dec")), "{lines:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_life_of_a_target_is_not_held_to_a_backoff_of_the_one_before() {
    let world = world(146, 2).await;
    world.targets.leave("p-1");
    sleep(1_500).await;
    world.targets.shed("p-0", Some("60"));
    for daemon in [0, 1] {
        ask(&world, daemon, read(&format!("{daemon}-asked"))).await;
        let refused = ask(&world, daemon, read(&format!("{daemon}-refused"))).await;
        assert!(
            refused.retry_after().is_some_and(|s| s > 50.0),
            "{refused:?}"
        );
    }
    world.targets.restart("p-0");
    sleep(1_000).await;
    for daemon in [0, 1] {
        let served = ask(&world, daemon, read(&format!("{daemon}-served"))).await;
        assert_eq!(served.status, 200, "{served:?}");
    }
}

/// A daemon tries a target that refuses after 0.1, 0.2, 0.4, 0.8 and 1.6 s, also where owners place
/// its requests.
#[tokio::test(flavor = "multi_thread")]
async fn owners_pick_no_target_that_has_just_refused_the_asking_daemon() {
    let (world, asking) = world_with_asking_daemons(147).await;
    world.targets.set_fault("p-0", Fault::Full);
    let since = Instant::now();
    send_through(&world, &asking, 40, Duration::from_secs(4), read).await;
    let arrivals = world.targets.ledger.arrivals_at("p-0");
    for daemon in asking {
        let own = |a: &&Arrival| a.at > since && daemon_of(a) == daemon.to_string();
        let count = arrivals.iter().filter(own).count();
        assert!(count <= 7, "{count} requests in 4 s");
    }
}
