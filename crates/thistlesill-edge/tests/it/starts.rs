//! A daemon obtains the targets however early it starts.

use std::time::Duration;

use serde_json::json;
use thistlesill_platform_standin::store::{CATALOG_READ, Mode, TARGETS_READ};
use thistlesill_platform_standin::world::World;

use crate::support::{ask, early_world, read, sleep, stream, world};

/// Number of daemons, in two data centres.
const DAEMONS: usize = 12;
/// Number of targets that are listed in addition to those that serve.
const EXTRA_TARGETS: usize = 1_200;
/// Number of pages of the store in which they are read.
const PAGES: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_read_an_empty_store_follow_the_targets_that_come() {
    // Five daemons in two data centres: some read the store for others, which receive the targets
    // from them alone.
    let world = early_world(26, 5).await;
    for daemon in 0..5 {
        let plain = ask(&world, daemon, read(&format!("plain-{daemon}"))).await;
        assert_eq!(plain.status, 200, "daemon {daemon}");
        let model = ask(&world, daemon, stream(&format!("model-{daemon}"))).await;
        assert_eq!(model.status, 200, "daemon {daemon}");
    }
}

/// Lists many targets of a service that no caller requests.
fn list_many(world: &World) {
    for number in 0..EXTRA_TARGETS {
        let entry = json!({"service": "archive", "address": "127.0.0.1:9", "zone": "h",
            "slots": 6, "state": "ready", "born": 1});
        world
            .store
            .put("servers", &format!("a-{number:04}"), &entry);
    }
}

async fn restart_all(world: &mut World) {
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    for daemon in &mut world.daemons {
        daemon.start();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn of_many_daemons_that_start_together_a_few_read_a_long_list() {
    let mut world = world(75, DAEMONS as u8).await;
    list_many(&world);
    sleep(2_500).await;
    let (targets, catalogs) = (
        world.store.call_count(TARGETS_READ),
        world.store.call_count(CATALOG_READ),
    );
    restart_all(&mut world).await;
    world
        .wait_until("all serve", Duration::from_secs(5), |got| got)
        .await;
    sleep(1_500).await;
    // Two daemons of each data centre read, and any daemon that finds one of these slow.
    let reads = world.store.call_count(TARGETS_READ) - targets;
    assert!(reads <= 5 * PAGES, "{reads} pages of targets");
    let reads = world.store.call_count(CATALOG_READ) - catalogs;
    assert!(reads <= 8, "{reads} reads of the catalog");
    // All daemons know the whole list, wherever it came from.
    for daemon in 0..DAEMONS {
        let source = world.log_lines(daemon, "ev=start_source");
        assert_eq!(source.len(), 2, "{source:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_while_the_store_turns_them_away_do_not_crowd_it() {
    let mut world = world(76, DAEMONS as u8).await;
    list_many(&world);
    sleep(2_500).await;
    world.store.set_mode(Mode::Busy);
    let before = world.store.call_count("");
    restart_all(&mut world).await;
    sleep(4_000).await;
    let calls = world.store.call_count("") - before;
    // Ten calls a second are for the two daemons that read for others in each data centre.
    assert!(calls <= 240, "{calls} calls in 4 s");
    world.store.set_mode(Mode::Up);
    world
        .wait_until("all serve", Duration::from_secs(5), |got| got)
        .await;
}
