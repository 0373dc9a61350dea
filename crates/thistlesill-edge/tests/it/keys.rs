//! A removed API key is refused, whatever a daemon can reach.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::store::{LEASE_READ, Mode};
use thistlesill_platform_standin::world::{SECOND_KEY, World, catalog};

use crate::support::{ask, book, planner, read, readers, sleep, world};

#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_is_refused_and_a_new_catalog_never_reverts() {
    let world = world(11, 3).await;
    assert_eq!(
        ask(&world, 1, read("old").key(Some("k2"))).await.status,
        200
    );
    world.set_catalog(5, &["k1"]);
    sleep(1_500).await;
    for daemon in 0..3 {
        let got = ask(&world, daemon, read("gone").key(Some("k2"))).await;
        assert_eq!(got.status, 401, "daemon {daemon}");
        assert_eq!(ask(&world, daemon, read("kept")).await.status, 200);
    }
    world.set_catalog(4, &["k1", "k2"]);
    sleep(1_500).await;
    let got = ask(&world, 0, read("older").key(Some("k2"))).await;
    assert_eq!(got.status, 401, "an older catalog is not taken");
    assert!(world.targets.ledger.runs("gone").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_store_keys_pass_only_as_long_as_the_proof_is_young() {
    let world = world(12, 2).await;
    assert_eq!(ask(&world, 0, book("before")).await.status, 200);
    world.store.set_mode(Mode::Unresponsive);
    sleep(3_200).await;
    for daemon in 0..2 {
        let got = ask(&world, daemon, book("after")).await;
        assert_eq!(got.status, 503, "daemon {daemon}");
        assert!(got.retry_after().is_some());
    }
    assert!(world.targets.ledger.runs("after").is_empty());
    world.store.set_mode(Mode::Up);
    sleep(2_500).await;
    for daemon in 0..2 {
        assert_eq!(ask(&world, daemon, book("back")).await.status, 200);
    }
}

/// Guards against settings that change without a signal and are never obeyed: a removed key passed for as
/// long as the settings before allowed.
#[tokio::test(flavor = "multi_thread")]
async fn settings_that_change_without_a_signal_are_not_obeyed() {
    let mut world = world(219, 1).await;
    world.daemons[0].set_bound("revokeMs", 1_000);
    world.daemons[0].write_settings();
    // The operators allow two seconds until a change is obeyed.
    sleep(2_000).await;
    let reloads = world.log_lines(0, "ev=reload result=taken");
    assert_eq!(reloads.len(), 1, "{reloads:?}");
    assert_eq!(
        ask(&world, 0, book("before").key(Some("k2"))).await.status,
        200
    );
    world.links[0].set_fault(LinkFault::Stalled);
    sleep(200).await;
    world.set_catalog(9, &["k1"]);
    sleep(1_200).await;
    for number in 0..8 {
        let id = format!("removed-{number}");
        let got = ask(&world, 0, book(&id).key(Some("k2"))).await;
        assert_eq!(got.status, 503, "{id}");
        assert!(world.targets.ledger.runs(&id).is_empty(), "{id} ran");
        sleep(150).await;
    }
    // A file that cannot be read changes nothing, and is named once.
    let path = world.daemons[0].log_path().with_extension("json");
    std::fs::write(path, "{").expect("the file can be written");
    sleep(3_200).await;
    let reloads = world.log_lines(0, "ev=reload");
    assert_eq!(reloads.len(), 2, "{reloads:?}");
}

/// Guards against a daemon that asks for no key once the last customer has lost its last one.
#[tokio::test(flavor = "multi_thread")]
async fn after_the_last_key_is_removed_every_request_with_and_without_a_key_is_refused() {
    let world = world(19, 3).await;
    assert_eq!(ask(&world, 1, read("before")).await.status, 200);
    let mut version = 4;
    for write in [
        World::set_catalog_without_keys,
        World::set_catalog_without_customers,
    ] {
        version += 1;
        write(&world, version);
        sleep(1_500).await;
        for daemon in 0..3 {
            for key in [Some("k1"), Some(SECOND_KEY), Some("never"), None] {
                let got = ask(&world, daemon, read("refused").key(key)).await;
                assert_eq!(got.status, 401, "daemon {daemon}, {key:?}");
            }
        }
    }
    assert!(world.targets.ledger.runs("refused").is_empty());
    world.set_catalog(7, &["k3"]);
    sleep(1_500).await;
    assert_eq!(
        ask(&world, 1, read("back").key(Some("k3"))).await.status,
        200
    );
}

/// Longer than the planner's lease lasts, so that no daemon forms groups any more.
const OUTAGE_MS: u64 = 6_500;

#[tokio::test(flavor = "multi_thread")]
async fn after_an_outage_all_daemons_have_a_proof_as_soon_as_one_of_them_has() {
    let world = world(77, 10).await;
    sleep(1_500).await;
    let planner = planner(&world);
    world.store.set_mode(Mode::Busy);
    // Otherwise all daemons ask the one that they know to read the store.
    world.daemons[planner].signal(Signal::SIGSTOP);
    sleep(OUTAGE_MS - 1_500).await;
    let lease_reads = world.store.call_count(LEASE_READ);
    sleep(1_500).await;
    let lease_reads = world.store.call_count(LEASE_READ) - lease_reads;
    world.store.set_mode(Mode::Up);
    let back = Instant::now();
    for daemon in (0..world.daemons.len()).filter(|d| *d != planner) {
        while ask(&world, daemon, read(&format!("back-{daemon}")))
            .await
            .status
            != 200
        {
            sleep(20).await;
        }
    }
    let took = back.elapsed();
    assert!(took < Duration::from_millis(800), "{took:?}");
    // Only the first daemons of both data centres read the lease.
    assert!(
        lease_reads <= 8,
        "{lease_reads} reads of the lease in 1.5 s"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_daemon_does_not_trust_its_proof_when_it_wakes() {
    let mut world = world(13, 2).await;
    world.daemons[0].signal(Signal::SIGSTOP);
    world.set_catalog(9, &["k1"]);
    sleep(3_500).await;
    let pending = tokio::spawn({
        let address = world.daemons[0].caller_address();
        let ask = book("frozen").key(Some("k2"));
        async move { thistlesill_platform_standin::caller::call(address, &ask).await }
    });
    sleep(200).await;
    world.daemons[0].signal(Signal::SIGCONT);
    let got = pending.await.expect("the task ends").expect("an answer");
    assert!(matches!(got.status, 401 | 503), "{}", got.status);
    assert!(world.targets.ledger.runs("frozen").is_empty());
    assert!(world.daemons[0].is_running());
}

/// How long a daemon runs before it is replaced: longer than its successor runs in the test, so that
/// times on the first one's clock lie ahead on the successor's.
const FIRST_RUN_MS: u64 = 9_000;

/// Guards against replies to an earlier incarnation of a daemon, held up by a peer that stood still,
/// that count as young proofs in a later one, by which a daemon that is cut off accepts removed keys.
#[tokio::test(flavor = "multi_thread")]
async fn replies_to_an_earlier_incarnation_of_a_daemon_prove_nothing_to_a_later_one() {
    let mut world = world(18, 2).await;
    sleep(FIRST_RUN_MS).await;
    let reader = planner(&world);
    let daemon = 1 - reader;
    world.daemons[reader].signal(Signal::SIGSTOP);
    sleep(1_200).await;
    world.daemons[daemon].kill().await;
    world.daemons[daemon].start();
    sleep(2_300).await;
    world.daemons[reader].signal(Signal::SIGCONT);
    sleep(1_000).await;
    assert_eq!(ask(&world, daemon, read("before")).await.status, 200);
    world.links[daemon].set_fault(LinkFault::Stalled);
    world.daemons[reader].kill().await;
    world.set_catalog(9, &["k1"]);
    // The settings allow removed keys for three seconds.
    sleep(3_100).await;
    for i in 0..3 {
        let got = ask(&world, daemon, read("removed").key(Some("k2"))).await;
        assert!(matches!(got.status, 401 | 503), "{i}: {}", got.status);
    }
    assert!(world.targets.ledger.runs("removed").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_knows_no_catalog_says_that_it_is_not_ready() {
    let mut world = world(14, 1).await;
    world.store.set_mode(Mode::Busy);
    world.daemons[0].kill().await;
    world.daemons[0].start();
    sleep(700).await;
    let mut nowhere = read("nowhere");
    nowhere.path = "/nowhere/".to_owned();
    assert_eq!(ask(&world, 0, nowhere).await.status, 503);
    assert_eq!(
        ask(&world, 0, read("key").key(Some("k9"))).await.status,
        503
    );
    // Callers that are refused during a start must not all come back at once.
    let mut times = Vec::new();
    for i in 0..8 {
        let refused = ask(&world, 0, read(&format!("early-{i}"))).await;
        times.push(refused.retry_after().expect("a time to come back"));
    }
    let (first, last) = (times.iter().copied()).fold((f64::MAX, 0.0), |(first, last), time| {
        (time.min(first), time.max(last))
    });
    assert!(first >= 0.3 && last > first, "{times:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_catalog_leaves_the_last_one_in_force() {
    let world = world(15, 1).await;
    let mut broken = catalog(7, &["k1"]);
    broken["routes"][0]["kind"] = "sometimes".into();
    world.store.put("op", "config", &broken);
    sleep(800).await;
    assert_eq!(ask(&world, 0, read("still")).await.status, 200);
    assert!(!world.log_lines(0, "ev=catalog_refused").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_whose_reader_is_cut_off_hears_of_a_change_in_time() {
    let world = world(16, 4).await;
    sleep(2_500).await;
    let readers = readers(&world);
    assert!(!readers.is_empty() && readers.len() < 4, "{readers:?}");
    for reader in &readers {
        world.links[*reader].set_fault(LinkFault::Stalled);
    }
    world.set_catalog(9, &["k1"]);
    // The settings allow two seconds.
    sleep(1_800).await;
    for daemon in (0..4).filter(|d| !readers.contains(d)) {
        let got = ask(&world, daemon, read("gone").key(Some("k2"))).await;
        assert_eq!(got.status, 401, "daemon {daemon}, readers {readers:?}");
    }
}
