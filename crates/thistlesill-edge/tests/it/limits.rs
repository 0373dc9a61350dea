//! Targets name how many requests a second they take from all daemons together.
//!
//! Two targets each named a limit and went on getting three times as much: 19 requests in
//! 4 s where 1.5 and 1.6 a second were named. No daemon read the limit, and none knew what
//! the others sent there. The lines that settled it: each daemon was told with its first
//! answer, and sent as before; owners and those that they place for alike.
//!
//! ```text
//! ev=limit_heard target=p-0 id=234780126-7 limit=1.5
//! limit_sent by daemon: 23, 26, 27; placed by owners 52, by the daemons themselves 23
//! ```

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use thistlesill_platform_standin::caller::{Ask, Got, call};
use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::world::World;

use crate::support::{read, sleep, stream, world};

/// The time over which what a target got is held against its limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Time in which all daemons have heard of a limit.
const HEARD: Duration = Duration::from_millis(500);
/// A refusal that was not held.
const AT_ONCE: Duration = Duration::from_millis(100);

/// An answer, and how long it took.
type Timed = (Got, Duration);

/// Sends requests at a steady rate through all daemons in turn; returns the answers.
async fn press(world: &World, per_second: u32, time: Duration, ask: fn(&str) -> Ask) -> Vec<Timed> {
    let addresses: Vec<SocketAddr> = world.daemons.iter().map(Daemon::callers).collect();
    press_at(&addresses, per_second, time, ask).await
}

async fn press_at(
    addresses: &[SocketAddr],
    per_second: u32,
    time: Duration,
    ask: fn(&str) -> Ask,
) -> Vec<Timed> {
    let start = Instant::now();
    let mut calls = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_second);
    while start.elapsed() < time {
        ticks.tick().await;
        let address = addresses[calls.len() % addresses.len()];
        let ask = ask(&format!("{}-{}", start.elapsed().as_nanos(), calls.len()));
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            let got = call(address, &ask).await;
            got.map(|got| (got, sent.elapsed()))
        }));
    }
    let mut all = Vec::new();
    for call in calls {
        // A daemon that a test kills answers nothing.
        if let Ok(got) = call.await.expect("the task ends") {
            all.push(got);
        }
    }
    all
}

/// The most runs that began at a target within one window since a moment.
fn most_in_window(world: &World, target: &str, since: Instant) -> usize {
    let mut starts = world.targets.ledger.starts_at(target);
    starts.retain(|at| *at > since);
    let in_window = |from: &Instant| {
        let until = *from + WINDOW;
        let there = starts.iter().filter(|at| *at >= from && **at < until);
        there.count()
    };
    starts.iter().map(in_window).max().unwrap_or(0)
}

/// The most runs that a limit allows within one window; a part of one counts as one.
fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64()).ceil() as usize
}

/// The instance that leads the group of the large model.
fn large_leader(world: &World) -> String {
    let groups = world.targets.serving();
    let group = groups.iter().find(|(_, members)| members.len() == 4);
    group
        .expect("the large model is served")
        .0
        .as_str()
        .to_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_together_keep_to_a_limit() {
    let world = world(91, 6).await;
    press(&world, 30, Duration::from_secs(2), read).await;
    world.targets.name_limit("p-0", Some("1.5"));
    let named = Instant::now();
    let all = press(&world, 30, Duration::from_secs(9), read).await;
    let most = most_in_window(&world, "p-0", named + HEARD);
    assert!(
        most <= allowed(1.5),
        "{most} requests in 4 s, 6 are allowed"
    );
    assert!(most >= 4, "only {most} requests in 4 s, 6 are allowed");
    // The other target has room for all the rest.
    assert!(all.iter().all(|(got, _)| got.status == 200));
}

#[tokio::test(flavor = "multi_thread")]
async fn what_a_limit_leaves_no_room_for_is_refused_at_once() {
    let world = world(92, 4).await;
    sleep(1_500).await;
    let leader = large_leader(&world);
    world.targets.name_limit(&leader, Some("2"));
    let named = Instant::now();
    let all = press(&world, 12, Duration::from_secs(9), stream).await;
    let most = most_in_window(&world, &leader, named + HEARD);
    assert!(most <= allowed(2.0), "{most} streams in 4 s, 8 are allowed");
    let refused: Vec<&Timed> = all.iter().filter(|(got, _)| got.status != 200).collect();
    for (got, took) in &refused {
        assert_eq!(got.status, 503, "{got:?}");
        assert!(*took < AT_ONCE, "refused after {took:?}");
        assert!(got.retry_after().is_some_and(|s| s > 0.0), "{got:?}");
    }
    let served = all.len() - refused.len();
    assert!(served >= 12, "only {served} of {} are served", all.len());
}
