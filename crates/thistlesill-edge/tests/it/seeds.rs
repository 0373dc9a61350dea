//! Daemons discover each other through the seeds of their settings.
//!
//! Guards against each daemon writing a row and reading the list of all: with 984 daemons that made
//! 24,957 calls of the store, most of them refused, and they cost half of what callers were served
//! on a day without faults.

use std::time::Duration;

use thistlesill_platform_standin::store::DAEMONS_READ;
use thistlesill_platform_standin::world::World;

use crate::support::{ask, read, seeded_world, sleep};

const DAEMONS: usize = 8;

/// Returns the number of daemons that the store lists.
fn listed_daemons(world: &World) -> usize {
    let names = world.daemons.iter().map(|daemon| &daemon.name);
    names
        .filter(|name| world.store.get("daemons", name).is_some())
        .count()
}

/// Waits until a daemon knows `peers` peers, according to its `status` lines.
async fn wait_for_peers(world: &World, daemon: usize, peers: usize) {
    let pattern = format!("peers={peers} ");
    for _ in 0..120 {
        if world
            .log_lines(daemon, &pattern)
            .iter()
            .any(|l| l.contains("ev=status"))
        {
            return;
        }
        sleep(100).await;
    }
    panic!("daemon {daemon} does not know {peers} peers");
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_together_know_each_other_without_reading_the_store() {
    let world = seeded_world(121, DAEMONS as u8).await;
    for daemon in 0..DAEMONS {
        wait_for_peers(&world, daemon, DAEMONS - 1).await;
    }
    assert_eq!(world.store.call_count(DAEMONS_READ), 0, "reads of the list");
    assert_eq!(listed_daemons(&world), DAEMONS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_again_knows_the_others_at_once() {
    let mut world = seeded_world(122, DAEMONS as u8).await;
    sleep(1_000).await;
    world.daemons[5].kill().await;
    world.daemons[5].start();
    sleep(1_000).await;
    assert_eq!(ask(&world, 5, read("again")).await.status, 200);
    wait_for_peers(&world, 5, DAEMONS - 1).await;
    assert_eq!(world.store.call_count(DAEMONS_READ), 1, "reads of the list");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_whose_seeds_are_all_down_finds_the_others_in_the_store() {
    let mut world = seeded_world(123, DAEMONS as u8).await;
    sleep(1_500).await;
    for seed in [0, 1] {
        world.daemons[seed].kill().await;
    }
    world.daemons[6].kill().await;
    world.daemons[6].start();
    sleep(4_500).await;
    assert_eq!(ask(&world, 6, read("alone")).await.status, 200);
    wait_for_peers(&world, 6, DAEMONS - 3).await;
    let reads = world.store.call_count(DAEMONS_READ);
    assert!(reads <= 2, "{reads} reads of the list");
    assert_eq!(listed_daemons(&world), DAEMONS);
}

#[tokio::test(flavor = "multi_thread")]
async fn after_all_daemons_were_killed_they_serve_again_within_three_seconds() {
    let mut world = seeded_world(124, DAEMONS as u8).await;
    sleep(1_500).await;
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    for daemon in &mut world.daemons {
        daemon.start();
    }
    sleep(300).await;
    let all_answered = |good| good;
    let limit = Duration::from_millis(2_700);
    world
        .wait_until("all daemons answer again", limit, all_answered)
        .await;
}
