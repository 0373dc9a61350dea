//! Answers that end at the deadline of their request, where targets and peers end their work.

use std::time::Duration;

use thistlesill_platform_standin::caller::CallerRequest;
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::targets::Fault;
use thistlesill_platform_standin::world::World;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{read, send_through, sleep, stream, world};

/// Number of requests of a test. Whether the daemon's own timer or the end of the answer comes first
/// differs from one to the next.
const REQUESTS: u64 = 60;
/// Time between two requests.
const INTERVAL_MS: u64 = 7;
/// Deadline of streams; a whole one takes longer.
const STREAM_DEADLINE: Duration = Duration::from_millis(100);
/// Deadline of streams that begin much later.
const SILENT_DEADLINE: Duration = Duration::from_millis(370);
/// How much later than its deadline an answer arrives, within the time that daemons wait for it.
const LATENESS: Duration = Duration::from_millis(25);
/// Deadline of plain requests, shorter than their target's work.
const PLAIN_DEADLINE: Duration = Duration::from_millis(10);

/// Time after the deadline within which a request must have its final answer, by the operators' bounds.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Sends a request of a caller that stays after its deadline, and returns what it gets.
async fn call_past_deadline(world: &World, request: CallerRequest) -> String {
    let connected = TcpStream::connect(world.daemons[0].caller_address()).await;
    let mut caller = connected.expect("the daemon accepts connections");
    let length = format!("content-length: {}", request.body.len());
    let text = request.head_text(&length) + &request.body;
    let sent = caller.write_all(text.as_bytes()).await;
    sent.expect("the daemon reads the request");
    let mut got = Vec::new();
    let all = caller.read_to_end(&mut got);
    drop(tokio::time::timeout(request.deadline + MAX_DELAY, all).await);
    String::from_utf8_lossy(&got).into_owned()
}

/// Sends requests whose deadline passes before they are answered, and asserts that each gets an
/// answer with this status; returns their ids.
async fn send_past_deadline(
    world: &World,
    status: u16,
    request: fn(&str) -> CallerRequest,
) -> Vec<String> {
    let (ids, mut others): (Vec<_>, Vec<_>) =
        ask_past_deadline(world, request).await.into_iter().unzip();
    others.retain(|got| !got.starts_with(&format!("HTTP/1.1 {status}")));
    assert!(others.is_empty(), "{others:?}");
    ids
}

/// Sends requests whose deadline passes before they are answered; returns their ids with what their callers
/// get.
async fn ask_past_deadline(
    world: &World,
    request: fn(&str) -> CallerRequest,
) -> Vec<(String, String)> {
    let calls = (0..REQUESTS).map(|n| async move {
        sleep(INTERVAL_MS * n).await;
        let id = format!("over-{n}");
        let got = call_past_deadline(world, request(&id)).await;
        (id, got)
    });
    let answers = futures_util::future::join_all(calls).await;
    // Until the last lines are written.
    sleep(300).await;
    answers
}

/// Asserts that each request ran once at most, and that no target counts as lost for its end.
fn assert_no_loss(world: &World, ids: &[String]) {
    let again = ids
        .iter()
        .filter(|id| world.targets.ledger.runs(id).len() > 1);
    assert_eq!(again.count(), 0, "requests that ran again");
    for sign in ["ev=lost_with_target", "ev=target_suspected"] {
        let lines = world.log_lines(0, sign);
        assert!(lines.is_empty(), "{lines:#?}");
    }
}

fn stream_past_deadline(id: &str) -> CallerRequest {
    stream(id).model("small").deadline(STREAM_DEADLINE)
}

fn read_past_deadline(id: &str) -> CallerRequest {
    read(id).deadline(PLAIN_DEADLINE)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_ends_a_stream_at_the_deadline_is_not_lost() {
    let world = world(160, 1).await;
    let ids = send_past_deadline(&world, 200, stream_past_deadline).await;
    assert_no_loss(&world, &ids);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_its_target_ends_at_the_deadline_goes_to_no_other() {
    let world = world(172, 1).await;
    let ids = send_past_deadline(&world, 504, read_past_deadline).await;
    assert_no_loss(&world, &ids);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_breaks_its_answer_off_at_the_deadline_is_not_lost() {
    let world = world(175, 1).await;
    for target in ["p-0", "p-1"] {
        world.targets.set_fault(target, Fault::LoseAnswers);
    }
    let ids = send_past_deadline(&world, 504, read_past_deadline).await;
    assert_no_loss(&world, &ids);
}

/// The target answers in time, and its answer arrives while the daemon still waits for late ones.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_relayed_after_its_deadline_ends_without_a_status() {
    let world = world(226, 1).await;
    for n in 0..5 {
        let mut large = read(&format!("large-{n}"));
        large.path = "/read/x?pad=700000".to_owned();
        for request in [stream(&format!("late-{n}")).model("small"), large] {
            set_faults(&world, LinkFault::StalledToClient);
            let call = call_past_deadline(&world, request.deadline(SILENT_DEADLINE));
            let release = async {
                tokio::time::sleep(SILENT_DEADLINE + LATENESS).await;
                set_faults(&world, LinkFault::None);
            };
            let (got, ()) = tokio::join!(call, release);
            let status = got.lines().next();
            assert_eq!(status, Some("HTTP/1.1 504 Gateway Timeout"));
        }
    }
}

fn set_faults(world: &World, fault: LinkFault) {
    world.set_engine_fault(0, fault);
    world.set_plain_fault(0, fault);
}

/// The objective for the first event, 400 ms, lies between the deadline and the time until which the
/// daemon waits for a late answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_silent_after_the_deadline_is_not_suspected() {
    let world = world(177, 1).await;
    for (leader, _) in world.targets.serving() {
        world.targets.set_fault(leader.as_str(), Fault::SlowStart);
    }
    // The requests before have left kept connections.
    world.set_plain_fault(0, LinkFault::StalledToClient);
    for request in [stream("silent-0").model("small"), read("silent-1")] {
        let got = call_past_deadline(&world, request.deadline(SILENT_DEADLINE)).await;
        assert!(got.starts_with("HTTP/1.1 504"), "{got}");
    }
    world.set_plain_fault(0, LinkFault::None);
    sleep(300).await;
    assert_no_loss(&world, &["silent-0".to_owned(), "silent-1".to_owned()]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_a_peer_ends_at_the_deadline_goes_to_no_other() {
    let world = world(171, 4).await;
    world.set_engine_fault(0, LinkFault::Reset);
    send_through(&world, &[0], 20, Duration::from_secs(1), stream).await;
    let mut begun = 0;
    for (id, got) in ask_past_deadline(&world, stream_past_deadline).await {
        let word = format!("ev=request id={id} ");
        let lines = (0..4).flat_map(|daemon| world.log_lines(daemon, &word));
        let lines: Vec<String> = lines.collect();
        assert_eq!(lines.len(), 2, "the daemon and its peer: {lines:#?}");
        if got.starts_with("HTTP/1.1 200") {
            begun += 1;
        } else {
            assert!(got.starts_with("HTTP/1.1 504"), "{got}");
            // The daemon that answers the caller had nothing of the answer by the deadline.
            let own = world.log_lines(0, &word).concat();
            let first = number_in(&own, "first_ms=");
            let is_late = first.is_none_or(|first| first >= STREAM_DEADLINE.as_millis());
            let mut outcomes = lines.iter();
            let is_over = outcomes.any(|line| line.contains("outcome=late_answer"));
            assert!(is_late && is_over, "it began in time: {lines:#?}");
        }
    }
    assert!(begun > 0, "some streams begin in time");
}

/// Returns the number after a word of a line of the log.
fn number_in(line: &str, word: &str) -> Option<u128> {
    let rest = line.split(word).nth(1)?;
    rest.split(' ').next()?.parse().ok()
}
