//! How often daemons call the store, since every call has a cost.
//!
//! With 63 daemons and 191 targets, 1 390 calls cost a tenth of the value of the served requests:
//! 11 calls per daemon at its start, one per daemon for each new catalog, and 1.2 a second for each
//! daemon that read the catalog.

use thistlesill_platform_standin::store::{CATALOG_FEED, CATALOG_READ, DAEMONS_READ, LEASE_READ};

use crate::support::{ask, read, sleep, world};

const DAEMONS: usize = 6;

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_together_read_the_list_once_and_one_looks_for_the_lease() {
    let world = world(61, DAEMONS as u8).await;
    sleep(2_500).await;
    let lists = world.store.call_count(DAEMONS_READ);
    assert!(lists <= DAEMONS, "{lists} reads of the list");
    // The first daemon of each data centre reads the lease again if the first of all is slow.
    let leases = world.store.call_count(LEASE_READ);
    assert!(leases <= 3, "{leases} reads of the lease");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_catalog_goes_from_daemon_to_daemon() {
    let world = world(62, DAEMONS as u8).await;
    sleep(2_500).await;
    let before = world.store.call_count(CATALOG_READ);
    for version in [9, 10, 11] {
        world.set_catalog(version, &["k1"]);
        sleep(1_500).await;
    }
    for daemon in 0..DAEMONS {
        let got = ask(&world, daemon, read("gone").key(Some("k2"))).await;
        assert_eq!(got.status, 401, "daemon {daemon}");
    }
    let reads = world.store.call_count(CATALOG_READ) - before;
    assert!(reads <= 3, "{reads} reads of the catalog");
}

/// Each of 984 daemons read the complete catalog whenever it read the targets from the store: six
/// times before the first request, 0.6 GB in all.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_looks_at_the_targets_itself_reads_no_catalog() {
    let mut world = world(128, DAEMONS as u8).await;
    sleep(2_000).await;
    // Heartbeats of the planner come every 0.4 s, so the knowledge of this daemon is often too old.
    world.daemons[5].kill().await;
    world.daemons[5].set_bound("drainMs", 300);
    world.daemons[5].start();
    sleep(5_500).await;
    let lines = world.log_lines(5, "ev=status");
    let last = lines.last().expect("the daemon logs its status");
    let calls = |name: &str| {
        let count = last.split(&format!(" {name}=")).nth(1);
        let count = count.and_then(|rest| rest.split(' ').next()?.parse::<u32>().ok());
        count.unwrap_or(0)
    };
    assert!(calls("await_targets") >= 3, "{last}");
    assert!(calls("read_operators") <= 1, "{last}");
}

#[tokio::test(flavor = "multi_thread")]
async fn one_daemon_follows_the_catalog_for_all() {
    let world = world(63, DAEMONS as u8).await;
    sleep(2_500).await;
    let before = world.store.call_count(CATALOG_FEED);
    sleep(4_000).await;
    let questions = world.store.call_count(CATALOG_FEED) - before;
    // By the settings a catalog is in force within 2 s; a request for it waits for a sixth of that.
    assert!(questions <= 14, "{questions} questions in 4 s");
}
