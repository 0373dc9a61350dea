//! Requests that were passed to a peer which is lost, or which fails with them.

use std::time::Duration;

use thistlesill_net::lane::ConnectionError;
use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::targets::{EVENTS, Fault};
use thistlesill_platform_standin::world::{Size, World};
use tokio::task::JoinHandle;

use crate::silent_targets::leaders;
use crate::support::{place, read, send_through, sleep, stream};

/// The daemon that loses its links; the others are its peers.
const CUT: usize = 0;
/// The only peer in its data centre, which gets its requests.
const PEER: usize = 2;
/// A peer that gets none of them.
const OTHER: usize = 1;
/// Number of requests that are in progress when the peer is lost.
const REQUESTS: usize = 2;

async fn start(net: u8) -> World {
    let size = Size::with_many_groups(3);
    start_with(net, size.attempts).await
}

/// Starts a deployment whose requests may be sent to this number of targets.
async fn start_with(net: u8, attempts: u32) -> World {
    let (program, folder) = place(net);
    let size = Size {
        attempts,
        ..Size::with_many_groups(3)
    };
    World::start_sized(program, &folder, net, size).await
}

/// Returns the places of the targets that a request has reached, in the order of the links.
fn places_of(world: &World, id: &str) -> Vec<usize> {
    let arrivals = world.targets.ledger.arrivals();
    let reached = arrivals.iter().filter(|arrival| arrival.id == id);
    let places = reached.map(|a| a.instance.as_str().trim_start_matches("i-").parse());
    places.map(|place| place.expect("an engine")).collect()
}

/// Waits until a request has reached `count` targets; returns whether it did so in time.
async fn wait_for_arrivals(world: &World, id: &str, count: usize) -> bool {
    for _ in 0..150 {
        if places_of(world, id).len() >= count {
            return true;
        }
        sleep(20).await;
    }
    false
}

/// Its first target stands still, and the peer that requests the rest has sent it to a second one in
/// vain. The daemon then sent it to a third one itself, where the route allows two.
#[tokio::test(flavor = "multi_thread")]
async fn a_resume_that_fails_at_a_peer_counts_as_no_attempt() {
    let world = start(193).await;
    let request = stream("resumed").deadline(Duration::from_secs(8));
    let address = world.daemons[CUT].caller_address();
    let running = tokio::spawn(async move { call(address, &request).await });
    assert!(wait_for_arrivals(&world, "resumed", 1).await);
    let first = places_of(&world, "resumed")[0];
    world.targets.pause_only(&[first]);
    world.set_engine_fault(CUT, LinkFault::ResetNew);
    let others = (0..world.engine_count()).filter(|place| *place != first);
    let others: Vec<String> = others.map(|place| format!("i-{place:03}")).collect();
    for other in &others {
        world.targets.set_fault(other, Fault::FullUnclearLate);
    }
    assert!(wait_for_arrivals(&world, "resumed", 2).await, "no resume");
    // The links are restored before the peer has its answer.
    world.set_engine_fault(CUT, LinkFault::None);
    for other in &others {
        world.targets.set_fault(other, Fault::None);
    }
    sleep(3_000).await;
    world.targets.pause_only(&[]);
    let got = running.await.expect("the task ends").expect("an answer");
    let reached = places_of(&world, "resumed");
    assert_eq!(reached.len(), world.attempts(), "{reached:?}");
    assert!(got.status == 200 && got.is_complete, "{got:?}");
}

/// Cuts a daemon off from the targets, and sends it requests once it has noticed that: it passes them
/// to its peer.
async fn start_requests(
    world: &World,
    ask: fn(&str) -> CallerRequest,
) -> Vec<JoinHandle<Result<CallerAnswer, ConnectionError>>> {
    // Each request adds to the retry budget of its daemon.
    send_through(world, &[0, 1, 2], 60, Duration::from_secs(1), ask).await;
    world.set_target_fault(CUT, LinkFault::Stalled);
    start_request(world, CUT, ask("before"));
    for _ in 0..200 {
        if !world.log_lines(CUT, "ev=links_lost").is_empty() {
            break;
        }
        sleep(10).await;
    }
    let passed = (0..REQUESTS).map(|number| ask(&format!("passed-{number}")));
    passed
        .map(|request| start_request(world, CUT, request))
        .collect()
}

fn start_request(
    world: &World,
    daemon: usize,
    request: CallerRequest,
) -> JoinHandle<Result<CallerAnswer, ConnectionError>> {
    let address = world.daemons[daemon].caller_address();
    tokio::spawn(async move { call(address, &request).await })
}

/// Returns a stream unlike all others: requests that are alike are withheld after some were lost with
/// their targets.
fn own_stream(id: &str) -> CallerRequest {
    stream(id).body(id)
}

/// Lets targets stand still for 1.4 s, which all daemons notice by a request. In that time the
/// links of the cut daemon are given back, and its peer is killed after `ms`.
async fn lose_peer_in_standstill(
    world: &mut World,
    places: &[usize],
    ms: u64,
    ask: fn(&str) -> CallerRequest,
) {
    world.targets.pause_only(places);
    world.set_target_fault(CUT, LinkFault::None);
    start_request(world, OTHER, ask("during"));
    sleep(ms).await;
    world.daemons[PEER].kill().await;
    world.daemons[PEER].start();
    sleep(1_400 - ms).await;
    world.targets.pause_only(&[]);
}

/// The stream ended at once with seconds left, since at that moment no daemon reached the targets.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_lost_with_its_peer_while_all_targets_stand_still() {
    let mut world = start(194).await;
    let requests = start_requests(&world, own_stream).await;
    sleep(60).await;
    let all = all_places(&world);
    lose_peer_in_standstill(&mut world, &all, 1_000, own_stream).await;
    assert_whole(requests).await;
}

/// Other targets went on, so links were up, and the targets of the stream's model were given up one
/// after the other although they only stood still.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_lost_with_its_peer_while_the_targets_of_its_model_stand_still() {
    let mut world = start(213).await;
    let requests = start_requests(&world, own_stream).await;
    sleep(60).await;
    let leaders = leaders(&world, 4);
    lose_peer_in_standstill(&mut world, &leaders, 200, own_stream).await;
    assert_whole(requests).await;
}

/// Its route allows no further attempt, so that the stream could not go on once targets did. It was held
/// until then.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_an_attempt_left_is_held_when_its_peer_is_lost() {
    let mut world = start_with(215, 1).await;
    let requests = start_requests(&world, own_stream).await;
    // By this one the other peer notices the standstill.
    start_request(&world, OTHER, own_stream("during"));
    sleep(60).await;
    world.targets.pause_only(&all_places(&world));
    sleep(1_000).await;
    world.daemons[PEER].kill().await;
    for request in requests {
        let ended = tokio::time::timeout(Duration::from_millis(500), request).await;
        let got = ended.expect("it ends at once").expect("the task ends");
        assert!(got.is_ok_and(|got| !got.is_complete));
    }
}

fn all_places(world: &World) -> Vec<usize> {
    (0..world.targets.links.len()).collect()
}

async fn assert_whole(requests: Vec<JoinHandle<Result<CallerAnswer, ConnectionError>>>) {
    for request in requests {
        let got = request.await.expect("the task ends").expect("an answer");
        assert!(got.status == 200 && got.is_complete, "{got:?}");
        assert_eq!(got.events(), (1..=EVENTS).collect::<Vec<u64>>());
    }
}

/// Its links were down by then, and the peers, which reached the targets a moment earlier, had no retry
/// budget left. The streams ended although their sources were open.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_cut_off_at_the_end_of_a_long_standstill() {
    let world = start(214).await;
    let streams = (0..24).map(|number| {
        let request = own_stream(&format!("standing-{number}"));
        start_request(&world, [CUT, OTHER][number % 2], request)
    });
    let streams: Vec<_> = streams.collect();
    sleep(60).await;
    world.targets.pause_only(&all_places(&world));
    world.set_engine_fault(CUT, LinkFault::Stalled);
    sleep(2_200).await;
    world.targets.pause_only(&[]);
    sleep(300).await;
    world.set_engine_fault(CUT, LinkFault::None);
    assert_whole(streams).await;
}

/// A request whose peer was lost ended with an error at once, although targets only stood still.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_fails_with_its_peer_while_all_targets_stand_still() {
    let mut world = start(195).await;
    let requests = start_requests(&world, read).await;
    let all = all_places(&world);
    lose_peer_in_standstill(&mut world, &all, 1_000, read).await;
    for request in requests {
        let got = request.await.expect("the task ends").expect("an answer");
        assert_eq!(got.status, 200, "{got:?}");
    }
}
