//! Answers arrive complete and unchanged, and an error is true about whether the request ran.

use std::time::Duration;

use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::targets::Fault;

use crate::support::{ask, book, read, sleep, world};

const BOTH: [&str; 2] = ["p-0", "p-1"];

#[tokio::test(flavor = "multi_thread")]
async fn requests_pass_unchanged_and_keys_stay_here() {
    let world = world(1, 1).await;
    let got = ask(&world, 0, book("once")).await;
    assert_eq!(
        (got.status, got.body.as_str(), got.is_complete),
        (200, "POST once", true)
    );
    let got = ask(&world, 0, read("read")).await;
    assert_eq!(got.body, "GET read");
    let runs = world.targets.ledger.runs("read");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].path, "/read/x?a=1&b=%2F");
    assert_eq!(runs[0].customer.as_deref(), Some("customer"));
    assert!(!runs[0].has_caller_key);
    assert_eq!(world.targets.ledger.runs("once")[0].body, b"two bunks");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_too_large_to_hold_is_handed_on_whole() {
    let world = world(7, 1).await;
    let mut large = read("large");
    large.path = "/read/x?pad=700000".to_owned();
    let got = ask(&world, 0, large).await;
    assert_eq!((got.status, got.is_complete), (200, true));
    assert_eq!(got.body.len(), "GET large".len() + 700_000);
    sleep(300).await;
    let ends = world.log_lines(0, "id=large");
    assert!(
        ends.iter().any(|l| l.contains("outcome=answered")),
        "{ends:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_have_run_once_is_neither_sent_again_nor_refused() {
    let world = world(2, 1).await;
    for (i, fault) in [
        Fault::LoseAnswers,
        Fault::CutShort,
        Fault::WrongId,
        Fault::FullUnclear,
    ]
    .into_iter()
    .enumerate()
    {
        for target in BOTH {
            world.targets.set_fault(target, fault);
        }
        let id = format!("once-{i}");
        let got = ask(&world, 0, book(&id)).await;
        assert_eq!(got.status, 502, "{fault:?}");
        assert_eq!(got.retry_after(), None, "{fault:?}");
        assert!(world.targets.ledger.runs(&id).len() <= 1, "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_when_to_come_back_and_nothing_ran() {
    let world = world(3, 1).await;
    for target in BOTH {
        world.targets.set_fault(target, Fault::Full);
    }
    let got = ask(&world, 0, book("refused")).await;
    assert_eq!(got.status, 503);
    assert!(got.retry_after().is_some_and(|s| s > 0.0));
    assert!(world.targets.ledger.runs("refused").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn what_may_be_repeated_is_asked_for_elsewhere() {
    let world = world(4, 1).await;
    for fault in [
        Fault::LoseAnswers,
        Fault::CutShort,
        Fault::WrongId,
        Fault::Full,
    ] {
        world.targets.set_fault("p-0", fault);
        for i in 0..6 {
            let id = format!("{fault:?}-{i}");
            let got = ask(&world, 0, read(&id)).await;
            assert_eq!((got.status, got.body), (200, format!("GET {id}")));
            // The retry budget of the test is small; waits until it is full again.
            sleep(20).await;
        }
    }
}

/// The target with the shortest measured times refuses requests. Each request that is sent there
/// first costs a retry, and the retry budget is small.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_refuses_is_not_asked_first_by_every_request() {
    let world = world(82, 1).await;
    world.targets.links[9].set_fault(LinkFault::Delay(Duration::from_millis(30)));
    for i in 0..6 {
        let got = ask(&world, 0, read(&format!("before-{i}"))).await;
        assert_eq!(got.status, 200);
    }
    world.targets.set_fault("p-0", Fault::Full);
    let mut statuses = Vec::new();
    for i in 0..20 {
        statuses.push(ask(&world, 0, read(&format!("after-{i}"))).await.status);
        sleep(20).await;
    }
    assert_eq!(statuses, [200; 20]);
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_over_the_limit_and_unknown_paths_get_their_status() {
    let world = world(5, 1).await;
    let got = ask(&world, 0, book("large").body("x".repeat(100_001))).await;
    assert_eq!(got.status, 413);
    let mut nowhere = read("nowhere");
    nowhere.path = "/nowhere/".to_owned();
    assert_eq!(ask(&world, 0, nowhere).await.status, 404);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_gets_nothing_more() {
    let world = world(6, 1).await;
    world.targets.leave("p-0");
    sleep(900).await;
    for i in 0..12 {
        let id = format!("after-{i}");
        assert_eq!(ask(&world, 0, read(&id)).await.status, 200);
        assert_eq!(world.targets.ledger.runs(&id)[0].target.as_str(), "p-1");
    }
}
