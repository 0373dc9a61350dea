//! Open connections to the store that stop responding for good, while new ones work.
//!
//! Guards against requests reaching targets 2 to 6 s after these announced that they leave, where
//! 2 s are allowed, and against a catalog that is 8.4 s old. A missing answer was taken for no
//! changes: a request waited 8.5 s, far longer than its answer may be old, the age of the targets'
//! data was not tracked, and a failed connection did not count against others of its age.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use thistlesill_platform_standin::link::{Link, LinkFault};
use thistlesill_platform_standin::store::TARGETS_FEED;
use thistlesill_platform_standin::world::World;

use crate::support::{ask, planner, read, readers, sleep, world};

/// A target of the plain service; there are two.
const LEAVING_TARGET: &str = "p-0";

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_is_known_though_the_question_about_targets_fell_silent() {
    let world = world(51, 4).await;
    sleep(2_500).await;
    silence_all(&world.links, TARGETS_FEED);
    world.targets.leave(LEAVING_TARGET);
    sleep(2_000).await;
    assert_unused(&world, LEAVING_TARGET, 0..4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_is_known_though_all_connections_fell_silent() {
    let world = world(52, 4).await;
    sleep(2_500).await;
    silence_all(&world.links, "");
    world.targets.leave(LEAVING_TARGET);
    sleep(2_000).await;
    assert_unused(&world, LEAVING_TARGET, 0..4).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_catalog_is_known_though_kept_connections_fell_silent_and_readers_are_cut_off() {
    let world = world(53, 4).await;
    sleep(2_500).await;
    let readers = readers(&world);
    assert!(!readers.is_empty() && readers.len() < 4, "{readers:?}");
    for (daemon, link) in world.links.iter().enumerate() {
        if readers.contains(&daemon) {
            link.set_fault(LinkFault::Stalled);
        } else {
            link.stall_connections("");
        }
    }
    world.set_catalog(9, &["k1"]);
    // The settings allow two seconds.
    sleep(1_800).await;
    for daemon in (0..4).filter(|d| !readers.contains(d)) {
        let got = ask(&world, daemon, read("gone").key(Some("k2"))).await;
        assert_eq!(got.status, 401, "daemon {daemon}, readers {readers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_leaves_is_known_though_the_planner_is_cut_off() {
    let world = world(54, 4).await;
    sleep(2_500).await;
    let planner = planner(&world);
    world.links[planner].set_fault(LinkFault::Stalled);
    world.targets.leave(LEAVING_TARGET);
    // Half a second less than the settings allow.
    sleep(1_500).await;
    let others = (0..4).filter(|d| *d != planner);
    assert_unused(&world, LEAVING_TARGET, others).await;
}

/// Entries that vanish just after an outage of the store are kept for 2.3 s, since those of live
/// targets come back. When a daemon took its own unresponsive connection for an outage, all daemons
/// went on sending to targets that were gone, and members of a leader that had left joined another
/// group while it still worked.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_vanishes_is_dropped_though_connections_fell_silent() {
    let world = world(56, 4).await;
    sleep(2_500).await;
    silence_all(&world.links, "");
    // The requests have failed by now, and new ones were answered.
    sleep(1_500).await;
    world.targets.unlist(LEAVING_TARGET);
    sleep(1_200).await;
    assert_unused(&world, LEAVING_TARGET, 0..4).await;
}

/// The same fault in connections to targets: a plain request that may be repeated was sent on a
/// kept connection, and only its deadline ended the wait; each kept connection cost one request.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_though_kept_connections_to_targets_fell_silent() {
    let world = world(55, 1).await;
    let world = &world;
    let warm = (0..12).map(async |number| ask(world, 0, read(&format!("warm-{number}"))).await);
    let warm = join_all(warm).await;
    assert!(warm.iter().all(|got| got.status == 200));
    silence_all(&world.targets.links, "");
    for number in 0..6 {
        let sent = Instant::now();
        let got = ask(world, 0, read(&format!("after-{number}"))).await;
        assert_eq!(got.status, 200, "request {number}");
        // The objective is 400 ms, for each of two attempts.
        let took = sent.elapsed();
        assert!(
            took < Duration::from_millis(900),
            "request {number}: {took:?}"
        );
    }
}

/// A plain request whose kept connection fell silent was given up after its objective though no
/// other target could get it, and ended as "it may have run".
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_answered_though_the_connections_to_its_only_target_fell_silent() {
    let world = world(58, 1).await;
    world.targets.leave("p-1");
    sleep(1_000).await;
    let warm = ask(&world, 0, read("warm")).await;
    assert_eq!(warm.status, 200);
    silence_all(&world.targets.links, "");
    let sent = Instant::now();
    let got = ask(&world, 0, read("after")).await;
    let took = sent.elapsed();
    assert_eq!(got.status, 200, "{got:?} after {took:?}");
    // The objective is 400 ms, for each of two attempts.
    assert!(took < Duration::from_millis(900), "{took:?}");
}

/// A daemon that was cut off from the store waited for 2.4 s after each failure, even when the
/// connection was back and its peers announced a newer catalog: it still refused a route as the old
/// catalog required, 3.1 s after the end of the partition.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_whose_store_is_back_takes_a_catalog_that_peers_have() {
    let world = world(57, 4).await;
    sleep(2_500).await;
    let readers = readers(&world);
    let others = (0..4).filter(|daemon| !readers.contains(daemon));
    let others: Vec<usize> = others.collect();
    for daemon in &others {
        world.links[*daemon].set_fault(LinkFault::Stalled);
    }
    world.set_catalog(9, &["k1"]);
    // Two requests fail, and a delay begins.
    sleep(2_600).await;
    for daemon in &others {
        world.links[*daemon].set_fault(LinkFault::None);
    }
    sleep(1_400).await;
    for daemon in others {
        let got = ask(&world, daemon, read("gone").key(Some("k2"))).await;
        assert_eq!(got.status, 401, "daemon {daemon}, readers {readers:?}");
    }
}

/// Silences the open connections of all links whose last request holds `text`.
fn silence_all(links: &[Link], text: &str) {
    for link in links {
        link.stall_connections(text);
    }
}

/// Sends requests to daemons and asserts that none of them runs at `target`.
async fn assert_unused(world: &World, target: &str, daemons: impl Iterator<Item = usize>) {
    for daemon in daemons {
        for number in 0..8 {
            let id = format!("after-{daemon}-{number}");
            let got = ask(world, daemon, read(&id)).await;
            assert_eq!(got.status, 200, "{id}");
            let runs = world.targets.ledger.runs(&id);
            let there = runs.iter().any(|run| run.target.as_str() == target);
            assert!(!there, "{id} ran at {target}, which leaves");
        }
    }
}
