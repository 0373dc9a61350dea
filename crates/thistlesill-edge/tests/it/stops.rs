//! Planned stops, kills and takeovers of the lease.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use thistlesill_net::lane::ConnectionError;
use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::slow;
use thistlesill_platform_standin::world::World;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::support::{ask, book, pass_on, read, read_answer, sleep, stream, world};

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_ends_what_runs_and_then_the_process() {
    let mut world = world(31, 1).await;
    let address = world.daemons[0].caller_address();
    let running = tokio::spawn(async move { call(address, &stream("running")).await });
    sleep(60).await;
    world.daemons[0].signal(Signal::SIGTERM);
    sleep(50).await;
    let health = CallerRequest::new("health", "GET", "/api/ready");
    let got = call(world.daemons[0].health_address(), &health)
        .await
        .expect("the stopping daemon still answers");
    assert_eq!(got.status, 503);
    // The balancer has not noticed yet: a caller still gets an answer.
    assert_eq!(ask(&world, 0, book("late")).await.status, 200);
    let got = running.await.expect("the task ends").expect("an answer");
    assert!(got.is_complete, "the stream was cut off");
    world.daemons[0].wait().await;
    assert!(!world.log_lines(0, "ev=stop ").is_empty());
}

/// The stopping daemon took a stream of a peer, which it could not end before its exit, and cut it
/// off.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_cuts_a_stream_off_that_a_peer_passed_to_it() {
    let world = world(192, 1).await;
    world.daemons[0].signal(Signal::SIGTERM);
    sleep(100).await;
    let peer = pass_on(&world, 0, &stream("passed-on")).await;
    let answer = read_answer(peer).await;
    assert!(
        answer.contains("thistlesill-declined: not_ready"),
        "{answer}"
    );
}

/// Size of an answer that the kernel does not hold for a slow caller, and that the daemon reads
/// completely before it passes it on.
const LARGE_ANSWER_BYTES: usize = 250_000;

/// Sends a request for a large answer on a connection that holds little of it.
async fn ask_slowly(address: SocketAddr) -> TcpStream {
    let mut request = book("slow");
    request.path = format!("/book/bunk?pad={LARGE_ANSWER_BYTES}");
    request.deadline = Duration::from_secs(8);
    let sent = slow::send(address, &request).await;
    sent.expect("the request is sent")
}

/// Guards against a stop that cuts off an answer which the daemon has read but not yet written.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_writes_the_whole_answer_of_a_slow_caller() {
    let mut world = world(39, 1).await;
    let mut caller = ask_slowly(world.daemons[0].caller_address()).await;
    sleep(200).await;
    world.daemons[0].signal(Signal::SIGTERM);
    // The balancer notices within 2.6 s; the settings allow a stop of four seconds.
    sleep(3_000).await;
    let mut answer = Vec::new();
    let read = caller.read_to_end(&mut answer).await;
    read.expect("the connection is closed and not reset");
    let answer = String::from_utf8_lossy(&answer);
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 200 OK"), "{head}");
    assert_eq!(body.len(), "POST slow".len() + LARGE_ANSWER_BYTES);
    world.daemons[0].wait().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_holds_a_stop_no_longer_than_the_settings_allow() {
    let mut world = world(40, 1).await;
    let caller = ask_slowly(world.daemons[0].caller_address()).await;
    sleep(200).await;
    world.daemons[0].signal(Signal::SIGTERM);
    let stopped = world.daemons[0].wait();
    let in_time = tokio::time::timeout(Duration::from_secs(4), stopped).await;
    assert!(in_time.is_ok(), "the daemon would be killed");
    let stop = world.log_lines(0, "ev=stop ");
    assert!(stop[0].contains("unsent=1"), "{stop:?}");
    drop(caller);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_refuses_what_it_could_not_end() {
    let world = world(36, 1).await;
    hold_stop(&world).await;
    sleep(3_000).await;
    let late = ask(&world, 0, stream("late")).await;
    assert_eq!(late.status, 503);
    assert!(late.retry_after().is_some());
    assert!(world.targets.ledger.runs("late").is_empty());
}

/// Keeps a daemon running for the whole time that the settings allow for a stop, and tells it to
/// stop.
async fn hold_stop(world: &World) {
    // A request to a silent target keeps the process running until the request's time is over.
    for link in &world.targets.links[8..] {
        link.set_fault(LinkFault::Stalled);
    }
    let address = world.daemons[0].caller_address();
    tokio::spawn(async move { call(address, &book("held")).await });
    sleep(50).await;
    world.daemons[0].signal(Signal::SIGTERM);
}

/// Sends requests that may run once every 20 ms, each on a new connection, from just before a daemon is
/// told to stop until it listens no more. Returns when each was sent after that, with its status; `None` for
/// a connection that closed without a whole answer.
async fn ask_through_stop(world: &mut World) -> Vec<(String, Duration, Option<u16>)> {
    let address = world.daemons[0].caller_address();
    world.daemons[0].signal(Signal::SIGTERM);
    let stopped = Instant::now();
    let mut calls = Vec::new();
    for number in 0.. {
        let sent = stopped.elapsed();
        if sent > Duration::from_millis(3_400) {
            break;
        }
        let id = format!("late-{number}");
        let request = book(&id);
        calls.push(tokio::spawn(async move {
            match call(address, &request).await {
                Err(ConnectionError::Refused) => None,
                Ok(got) if got.is_complete => Some((id, sent, Some(got.status))),
                _ => Some((id, sent, None)),
            }
        }));
        sleep(20).await;
    }
    let calls = futures_util::future::join_all(calls).await;
    world.daemons[0].wait().await;
    calls
        .into_iter()
        .filter_map(|c| c.expect("the task ends"))
        .collect()
}

/// Asserts that each request has a whole answer, and that a refusal is true.
fn assert_answered(world: &World, calls: &[(String, Duration, Option<u16>)]) {
    for (id, sent, status) in calls {
        let runs = world.targets.ledger.runs(id).len();
        let what = format!("{id}, sent after {sent:?}: {status:?}, {runs} runs");
        assert!(matches!(status, Some(200 | 502 | 503)), "{what}");
        assert!(*status != Some(503) || runs == 0, "{what}");
        assert!(*status != Some(200) || runs == 1, "{what}");
    }
}

/// Guards against requests that come late in a planned stop, are passed on, and are cut off without an
/// answer: their service usually takes longer than the daemon lasts.
#[tokio::test(flavor = "multi_thread")]
async fn requests_late_in_a_stop_are_passed_on_and_cut_off() {
    let mut world = world(247, 1).await;
    for link in &world.targets.links[8..] {
        link.set_fault(LinkFault::Delay(Duration::from_millis(700)));
    }
    for number in 0..10 {
        let got = ask(&world, 0, book(&format!("before-{number}"))).await;
        assert_eq!(got.status, 200);
    }
    let calls = ask_through_stop(&mut world).await;
    assert_answered(&world, &calls);
    let count = |status| calls.iter().filter(|(_, _, s)| *s == Some(status)).count();
    assert!(count(200) > 20, "{} were served", count(200));
    assert!(count(502) <= 3, "{} may have run", count(502));
}

/// Guards against the same where nothing tells that their answers will not come in time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_stop_leaves_open_get_no_answer() {
    let mut world = world(248, 1).await;
    for link in &world.targets.links[8..] {
        link.hold(true);
    }
    let calls = ask_through_stop(&mut world).await;
    assert_answered(&world, &calls);
    let open = calls.iter().filter(|(_, _, s)| *s == Some(502)).count();
    assert!(open > 0, "requests were at a silent target");
}

/// Guards against a stopping daemon that takes a new connection for an idle one, and closes it while
/// its first request is on the way.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_daemon_answers_the_first_request_of_a_new_connection() {
    let world = world(176, 1).await;
    hold_stop(&world).await;
    sleep(2_650).await;
    let address = world.daemons[0].caller_address();
    // The daemon closes idle connections every 100 ms, and ends 3.6 s after the signal.
    let until = Instant::now() + Duration::from_millis(600);
    let callers = (0..8).map(|caller| async move {
        while Instant::now() < until {
            let got = call(address, &stream(&format!("new-{caller}"))).await;
            assert_eq!(got.map(|got| got.status), Ok(503));
            sleep(5).await;
        }
    });
    futures_util::future::join_all(callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_daemon_to_start_are_served() {
    let mut world = world(34, 1).await;
    world.daemons[0].kill().await;
    // The first reads of the store end after the first requests have arrived.
    world.links[0].set_fault(LinkFault::Delay(Duration::from_millis(15)));
    world.daemons[0].start();
    let address = world.daemons[0].caller_address();
    let first = loop {
        if let Ok(got) = call(address, &stream("first")).await {
            break got;
        }
        sleep(1).await;
    };
    assert_eq!(
        first.status, 200,
        "a caller that connected at once was refused"
    );
    assert!(first.is_complete);
    assert_eq!(ask(&world, 0, read("second")).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_again_together_know_each_other_at_once() {
    let mut world = world(35, 2).await;
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    for daemon in &mut world.daemons {
        daemon.start();
    }
    sleep(450).await;
    for daemon in &world.daemons {
        let metrics = CallerRequest::new("metrics", "GET", "/metrics");
        let got = call(daemon.metrics_address(), &metrics)
            .await
            .expect("metrics");
        let sent = got
            .body
            .lines()
            .find(|l| l.starts_with("thistlesill_edge_messages_sent_total"));
        assert!(
            sent.is_some(),
            "{} has sent its load to no peer",
            daemon.name
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_forms_groups_when_the_one_that_did_is_killed() {
    let mut world = world(32, 3).await;
    let holder = (0..3).find(|d| !world.log_lines(*d, "ev=lease_gained").is_empty());
    let holder = holder.expect("one daemon holds the lease");
    world.daemons[holder].kill().await;
    sleep(4_000).await;
    let others = (0..3).filter(|d| *d != holder);
    let gained: Vec<_> = others
        .flat_map(|d| world.log_lines(d, "ev=lease_gained"))
        .collect();
    assert_eq!(gained.len(), 1, "{gained:?}");
    assert!(gained[0].contains("term=2"));
    let (_, members) = world.targets.serving().swap_remove(0);
    world.targets.kill(&members[1]);
    sleep(4_000).await;
    assert!(
        world.targets.violations().is_empty(),
        "{:?}",
        world.targets.violations()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_lease_goes_to_a_daemon_that_reaches_the_store() {
    let world = world(37, 4).await;
    sleep(2_500).await;
    let holder = (0..4).find(|d| !world.log_lines(*d, "ev=lease_gained").is_empty());
    // The first daemons of their data centres, and the holder, lose the store; they can still reach
    // the other daemons.
    let mut cut = vec![0, 1];
    cut.extend(holder.filter(|h| *h > 1));
    for daemon in &cut {
        world.links[*daemon].set_fault(LinkFault::Stalled);
    }
    sleep(4_800).await;
    let others = (0..4).filter(|d| !cut.contains(d));
    let gained: usize = others
        .map(|d| world.log_lines(d, "ev=lease_gained").len())
        .sum();
    assert_eq!(gained, 1, "held by {holder:?} before");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planner_that_is_stopped_gives_its_lease_up() {
    let world = world(38, 3).await;
    let holder = (0..3).find(|d| !world.log_lines(*d, "ev=lease_gained").is_empty());
    let holder = holder.expect("one daemon holds the lease");
    world.daemons[holder].signal(Signal::SIGTERM);
    sleep(3_900).await;
    let others = (0..3).filter(|d| *d != holder);
    let gained: usize = others
        .map(|d| world.log_lines(d, "ev=lease_gained").len())
        .sum();
    assert_eq!(gained, 1);
    assert!(!world.log_lines(holder, "ev=lease_given_up").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_settings_file_is_taken_and_a_bad_one_is_not() {
    let world = world(33, 1).await;
    world.daemons[0].signal(Signal::SIGHUP);
    sleep(300).await;
    assert!(
        world
            .log_lines(0, "ev=reload")
            .iter()
            .any(|l| l.contains("taken"))
    );
    let file = world.daemons[0].log_path().with_extension("json");
    std::fs::write(file, "{").expect("the file can be written");
    world.daemons[0].signal(Signal::SIGHUP);
    sleep(300).await;
    assert!(
        world
            .log_lines(0, "ev=reload")
            .iter()
            .any(|l| l.contains("line 1"))
    );
    assert_eq!(ask(&world, 0, book("still")).await.status, 200);
}
