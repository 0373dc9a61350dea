//! Answers of targets whose status no answer may have.
//!
//! Callers got them as answers: 600, 999, and 101 though nobody asked for another protocol.

use std::time::Duration;

use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::world::World;

use crate::support::{ask, book, pass_on, read, read_answer, sleep, stream, world};

/// Statuses that no answer may have, or no final one.
const ODD_STATUSES: [&str; 9] = [
    "000", "001", "099", "100", "101", "199", "600", "999", "2OO",
];
/// Link of the first plain target; those of the engines come before it.
const FIRST_PLAIN: usize = 8;
/// Body of an answer that is too large to be held.
const LARGE: &str = "/read/x?pad=700000";

/// Gives the answers of some targets another status.
fn set_status(world: &World, links: std::ops::Range<usize>, status: &'static str) {
    for link in &world.targets.links[links] {
        link.set_fault(LinkFault::Status(status));
    }
}

/// Guards against an answer with such a status that is passed on to its caller.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_a_status_that_none_may_have_is_passed_on() {
    let world = world(236, 2).await;
    for status in ODD_STATUSES {
        // One of two plain targets has it.
        set_status(&world, FIRST_PLAIN..FIRST_PLAIN + 1, status);
        for number in 0..10 {
            let id = format!("{status}-{number}");
            let got = ask(&world, number % 2, read(&format!("read-{id}"))).await;
            assert_eq!((got.status, got.is_complete), (200, true), "{id}: {got:?}");
            let got = ask(&world, number % 2, book(&format!("book-{id}"))).await;
            assert!(matches!(got.status, 200 | 502), "{id}: {got:?}");
            let runs = world.targets.ledger.runs(&format!("book-{id}"));
            assert_eq!(runs.len(), 1, "{id}");
        }
    }
}

/// Guards against the same for a request that came through a peer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_such_a_status_is_passed_on_through_a_peer() {
    let world = world(237, 1).await;
    set_status(&world, FIRST_PLAIN..FIRST_PLAIN + 2, "999");
    for number in 0..4 {
        let peer = pass_on(&world, 0, &book(&format!("hop-{number}"))).await;
        let got = read_answer(peer).await;
        assert!(got.starts_with("HTTP/1.1 502 "), "{got}");
    }
}

/// Guards against the same for streams and for answers that are too large to be held.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_with_such_a_status_is_passed_on() {
    let world = world(238, 1).await;
    for status in ["101", "600"] {
        set_status(&world, 0..FIRST_PLAIN + 2, status);
        let got = ask(&world, 0, stream(&format!("stream-{status}"))).await;
        assert!(matches!(got.status, 502 | 503), "{status}: {got:?}");
        let large = CallerRequest::new(format!("large-{status}"), "GET", LARGE);
        let got = ask(&world, 0, large).await;
        assert!(matches!(got.status, 502 | 503), "{status}: {got:?}");
        set_status(&world, 0..FIRST_PLAIN + 2, "200");
        sleep(2_500).await;
    }
    let got = ask(&world, 0, stream("after")).await;
    assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
}

/// Guards against a request that is withheld since targets answer it with nonsense: none of them has
/// crashed, and the one that many callers ask for was refused most.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_targets_answer_with_nonsense_is_withheld() {
    let world = world(239, 2).await;
    set_status(&world, FIRST_PLAIN..FIRST_PLAIN + 1, "000");
    let mut refused = 0;
    for number in 0..200 {
        let address = world.daemons[number % 2].caller_address();
        let request = CallerRequest::new(format!("same-{number}"), "GET", "/read/same");
        let got = call(address, &request).await.expect("an answer");
        refused += usize::from(got.status == 503);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Lines are written in batches.
    sleep(300).await;
    for daemon in 0..2 {
        for event in ["ev=request_withheld", "ev=lost_with_target"] {
            let lines = world.log_lines(daemon, event);
            assert_eq!(lines, Vec::<String>::new());
        }
    }
    assert_eq!(refused, 0);
}
