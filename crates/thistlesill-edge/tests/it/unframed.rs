//! Answers with neither a length nor chunks, which end with their connection.

use thistlesill_platform_standin::targets::{EVENTS, Fault};
use thistlesill_platform_standin::world::World;

use crate::support::{ask, read, sleep, stream, world};

/// Sets the fault of all engines that serve a model of two targets.
fn set_small_fault(world: &World, fault: Fault) {
    let groups = world.targets.serving();
    for (leader, _) in groups.iter().filter(|(_, members)| members.len() == 2) {
        world.targets.set_fault(leader.as_str(), fault);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ends_with_its_connection_is_lost() {
    let world = world(163, 1).await;
    set_small_fault(&world, Fault::Unframed);
    for target in ["p-0", "p-1"] {
        world.targets.set_fault(target, Fault::Unframed);
    }
    for i in 0..5 {
        let got = ask(&world, 0, stream(&format!("s-{i}")).model("small")).await;
        assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
        assert_eq!(got.events(), (1..=EVENTS).collect::<Vec<_>>());
        let got = ask(&world, 0, read(&format!("r-{i}"))).await;
        assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
        assert_eq!(got.body, format!("GET r-{i}"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_connection_ends_early_is_passed_on_as_complete() {
    let world = world(164, 1).await;
    for fault in [Fault::UnframedEmpty, Fault::UnframedCut] {
        set_small_fault(&world, fault);
        for i in 0..5 {
            let got = ask(&world, 0, stream(&format!("{fault:?}-{i}")).model("small")).await;
            let is_whole = got.events() == (1..=EVENTS).collect::<Vec<_>>();
            assert!(is_whole || !got.is_complete, "{fault:?}: {got:?}");
        }
    }
    sleep(300).await;
    assert!(!world.log_lines(0, "ev=lost_with_target").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_large_answer_without_a_length_is_held_in_memory() {
    let world = world(165, 1).await;
    for target in ["p-0", "p-1"] {
        world.targets.set_fault(target, Fault::Unframed);
    }
    let mut large = read("large");
    large.path = "/read/x?pad=700000".to_owned();
    let got = ask(&world, 0, large).await;
    assert_eq!((got.status, got.is_complete), (200, true));
    assert_eq!(got.body.len(), "GET large".len() + 700_000);
    // An answer that was held has a length.
    assert!(!got.headers.contains_key("content-length"));
}
