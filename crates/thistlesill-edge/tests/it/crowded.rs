//! Most new connections of callers go to one daemon, as when a balancer finds few others ready.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use thistlesill_net::lane::{HttpConnection, within};
use thistlesill_platform_standin::caller::{CallerRequest, call, call_on};
use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::world::World;

use crate::support::{place, read, sleep, stream, world};

/// Time after which the operators' bound counts.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Share of the rate before at which requests that a daemon has read must be served.
const MIN_RATIO: f64 = 0.75;
/// New connections a second.
const RATE: u32 = 60;
/// Files that a daemon with few of them may open.
const FEW_FILES: u32 = 400;

/// How the first attempt of a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FirstAttempt {
    Served,
    Failed,
    /// The connection was closed with the request unread, and another daemon served it.
    Unread,
}

/// Sends a request on a new connection, and to another daemon if the first one left it unread.
async fn attempt(first: SocketAddr, other: SocketAddr, ask: CallerRequest) -> FirstAttempt {
    match call(first, &ask).await {
        Ok(got) if got.status == 200 && got.is_complete => FirstAttempt::Served,
        Ok(_) => FirstAttempt::Failed,
        Err(_) => match call(other, &ask).await {
            Ok(got) if got.status == 200 => FirstAttempt::Unread,
            _ => FirstAttempt::Failed,
        },
    }
}

/// Sends reads and streams on new connections to some daemons in turn.
async fn send(
    world: &World,
    to: &[usize],
    rate: u32,
    time: Duration,
    name: &str,
) -> Vec<FirstAttempt> {
    let addresses: Vec<SocketAddr> = world.daemons.iter().map(Daemon::caller_address).collect();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate);
    let (start, mut attempts) = (Instant::now(), Vec::new());
    while start.elapsed() < time {
        ticks.tick().await;
        let number = attempts.len();
        let first = to[number % to.len()];
        let other = (first + 1) % addresses.len();
        let id = format!("{name}-{number}");
        let ask = if number % 2 == 0 {
            read(&id)
        } else {
            stream(&id)
        };
        let attempt = attempt(addresses[first], addresses[other], ask);
        attempts.push(tokio::spawn(attempt));
    }
    let mut all = Vec::new();
    for attempt in attempts {
        all.push(attempt.await.expect("the task ends"));
    }
    all
}

/// Returns the share of the requests that were served at the first attempt that a daemon has read.
fn served(attempts: &[FirstAttempt]) -> f64 {
    let count = |of| attempts.iter().filter(|a| **a == of).count() as f64;
    let served = count(FirstAttempt::Served);
    served / (served + count(FirstAttempt::Failed)).max(1.0)
}

/// Sends requests to all daemons, then more of them to the first one only; returns the shares that
/// are served before and once [`IN_TOUCH`] is over.
async fn served_before_and_while_crowded(world: &World) -> [f64; 2] {
    let all: Vec<usize> = (0..world.daemons.len()).collect();
    let before = send(world, &all, RATE, IN_TOUCH, "before").await;
    send(world, &[0], 2 * RATE, IN_TOUCH, "first").await;
    let crowded = send(world, &[0], 2 * RATE, IN_TOUCH, "crowded").await;
    let read = crowded.iter().filter(|a| **a != FirstAttempt::Unread);
    assert!(read.count() > 0, "the daemon is ready and reads nothing");
    [served(&before), served(&crowded)]
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_fail_while_all_new_connections_go_to_one_daemon() {
    let world = world(167, 6).await;
    let [before, crowded] = served_before_and_while_crowded(&world).await;
    assert!(crowded >= MIN_RATIO * before, "{before:.2}, {crowded:.2}");
}

/// Connections of callers leave the daemon enough files for its connections to targets.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_daemon_take_all_its_files() {
    let (program, folder) = place(168);
    let mut world = World::start(program, &folder, 168, 2).await;
    world.daemons[0].kill().await;
    world.daemons[0].set_max_files(FEW_FILES);
    world.daemons[0].start();
    sleep(2_000).await;
    let address = world.daemons[0].caller_address();
    let first = HttpConnection::connect(address, within(Duration::from_secs(1))).await;
    let mut first = first.expect("the daemon accepts callers");
    let before = call_on(&mut first, &read("before")).await;
    assert_eq!(before.expect("an answer").status, 200);
    // Connections that send nothing do not displace it.
    let mut open = Vec::new();
    for _ in 0..500 {
        let limit = within(Duration::from_secs(1));
        open.push(HttpConnection::connect(address, limit).await);
    }
    for i in 0..10 {
        let id = format!("open-{i}");
        let got = call_on(&mut first, &stream(&id)).await;
        let got = got.unwrap_or_else(|e| panic!("{id}: {e}"));
        assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
        // The client's connection takes the next request a moment after the end of an answer.
        sleep(50).await;
    }
    sleep(300).await;
    assert!(world.log_lines(0, "ev=target_suspected").is_empty());
    assert!(!world.log_lines(0, "ev=callers_turned_away").is_empty());
}

/// The daemon runs for 10 ms of every 160, as on an instance whose processor share is used up.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_processor_time_reads_requests_that_it_cannot_serve() {
    let world = world(169, 4).await;
    let [before, crowded] = served_while_throttled(&world).await;
    assert!(crowded >= MIN_RATIO * before, "{before:.2}, {crowded:.2}");
}

/// Guards against sound groups that are cut: their planner, short of processor time, missed the answers to
/// its probes.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_without_processor_time_takes_sound_targets_for_lost() {
    let world = world(251, 4).await;
    let lines = world.log_lines(0, "ev=lease_gained");
    assert!(!lines.is_empty(), "the first daemon plans");
    served_while_throttled(&world).await;
    sleep(600).await;
    for word in ["alive=false confirmed=true", "order=cut"] {
        assert_eq!(world.log_lines(0, word), Vec::<String>::new());
    }
}

/// Returns the shares served before and while the first daemon is crowded, which runs for 10 ms of every
/// 160 meanwhile.
async fn served_while_throttled(world: &World) -> [f64; 2] {
    let daemon = &world.daemons[0];
    let throttle = async {
        loop {
            daemon.signal(Signal::SIGSTOP);
            sleep(150).await;
            daemon.signal(Signal::SIGCONT);
            sleep(10).await;
        }
    };
    let shares = tokio::select! {
        shares = served_before_and_while_crowded(world) => shares,
        () = throttle => unreachable!("it never ends"),
    };
    daemon.signal(Signal::SIGCONT);
    shares
}
