//! Targets that restart under their id, and entries of other writers.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use thistlesill_platform_standin::entries::{dead_engine, largest_entries, odd_entries};
use thistlesill_platform_standin::targets::{PLAIN, POOL};
use thistlesill_platform_standin::world::World;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};

use crate::support::{ask, book, read, sleep, stream, world};

const DAEMONS: usize = 4;

/// Asks each daemon for both kinds of answers, all of which must succeed.
async fn assert_all_serve(world: &World, when: &str) {
    for daemon in 0..DAEMONS {
        let plain = ask(world, daemon, read(&format!("{when}-plain-{daemon}"))).await;
        assert_eq!(plain.status, 200, "{when}, daemon {daemon}");
        let model = ask(world, daemon, stream(&format!("{when}-model-{daemon}"))).await;
        assert_eq!(model.status, 200, "{when}, daemon {daemon}");
    }
}

/// Writes invalid rows of all sorts among the targets' entries.
fn write_invalid_rows(world: &World) {
    let store = &world.store;
    store.put_bytes("servers", "x-bytes", b"\xff\xfe\x00");
    store.put_bytes("servers", "x-empty", b"");
    store.put_corrupt("servers", "x-spoilt");
    store.put(
        "servers",
        "x-fields",
        &json!({"service": POOL, "state": "ready"}),
    );
    let entry = |state: &str, slots: serde_json::Value| {
        json!({"service": PLAIN, "address": "127.0.0.1:9", "zone": "h", "slots": slots,
               "state": state, "born": 1})
    };
    store.put("servers", "x-state", &entry("asleep", json!(6)));
    store.put("servers", "x-type", &entry("ready", json!("six")));
    store.put(
        "servers",
        "x-service",
        &json!({"service": "nobody's", "address": "127.0.0.1:9",
        "zone": "h", "slots": 6, "state": "ready", "born": 1}),
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_of_other_writers_hide_no_target() {
    let mut world = world(71, DAEMONS as u8).await;
    write_invalid_rows(&world);
    sleep(1_000).await;
    assert_all_serve(&world, "changed").await;
    // A daemon that starts alone reads all entries at once; a peer whose heartbeat arrived before
    // the store's answer would send it all but those that are refused.
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    world.daemons[1].start();
    sleep(1_500).await;
    for other in [0, 2, 3] {
        world.daemons[other].start();
    }
    sleep(1_500).await;
    assert_all_serve(&world, "started").await;
    let refused = world.log_lines(1, "ev=target_refused");
    assert!(refused.len() >= 6, "{refused:?}");
    assert!(refused.iter().all(|line| line.len() < 400), "{refused:?}");
}

/// Guards against one entry, nested deeply or with a number or port out of range, that ends the daemons
/// which read it, or keeps them from following the others.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_entry_of_another_writer_ends_the_daemons_that_read_it() {
    let mut world = world(199, DAEMONS as u8).await;
    for table in ["daemons", "halls", "op", "servers"] {
        for (number, entry) in odd_entries().iter().enumerate() {
            let key = format!("odd-{number}");
            world.store.put_bytes(table, &key, entry.as_bytes());
            if number % 10 == 0 {
                // Some of them arrive as changes, some with the whole table.
                sleep(30).await;
                world.store.compact();
            }
        }
    }
    sleep(1_000).await;
    for daemon in &mut world.daemons {
        assert!(daemon.is_running(), "{} ended", daemon.name);
    }
    for (number, _) in odd_entries().iter().enumerate() {
        world.store.remove("servers", &format!("odd-{number}"));
    }
    world.targets.leave("p-0");
    sleep(1_500).await;
    assert_all_serve(&world, "followed").await;
    for daemon in 0..DAEMONS {
        let starts = world.log_lines(daemon, "ev=start ").len();
        assert_eq!(starts, 1, "daemon {daemon} started again");
        let id = format!("followed-plain-{daemon}");
        let runs = world.targets.ledger.runs(&id);
        assert!(runs.iter().all(|r| r.target.as_str() == "p-1"), "{runs:?}");
    }
}

/// Restarts all engines, and waits until groups of both models serve again. A group that is lost while it is
/// formed keeps its members for ten seconds, the longest that an engine may drain.
async fn restart_engines(world: &World) {
    for number in 0..world.engine_count() {
        world.targets.restart(&format!("i-{number:03}"));
    }
    let until = Instant::now() + Duration::from_secs(25);
    let mut tries = 0;
    while Instant::now() < until {
        sleep(500).await;
        tries += 1;
        let large = ask(world, 0, stream(&format!("large-{tries}"))).await;
        let small = stream(&format!("small-{tries}")).model("small");
        if large.status == 200 && ask(world, 0, small).await.status == 200 {
            return;
        }
    }
}

/// Guards against an epoch of another writer's entry that ends all groups: the planner gave its own groups
/// the next higher one, which no daemon accepted.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_epoch_ends_all_groups_that_are_formed_after_it() {
    let world = world(228, DAEMONS as u8).await;
    let mut entry = dead_engine();
    entry["group"] = json!({"name": "odd", "epoch": 1_u64 << 62, "rank": 0, "state": "broken"});
    world.store.put("servers", "odd", &entry);
    sleep(1_000).await;
    restart_engines(&world).await;
    assert_all_serve(&world, "restarted").await;
}

/// Guards against a number of another writer's row that is carried on as a maximum, a sum, a product or a
/// shift, and ends service that way. One kind of row after the other is left.
#[tokio::test(flavor = "multi_thread")]
async fn the_largest_numbers_in_rows_of_other_writers_end_service() {
    let mut world = world(229, DAEMONS as u8).await;
    for (number, entry) in largest_entries("d-0").iter().enumerate() {
        let key = format!("odd-{number}");
        world.store.put("servers", &key, entry);
        sleep(500).await;
        assert_all_serve(&world, &key).await;
    }
    let lease = json!({"holder": "nobody", "term": u64::MAX, "beat": u64::MAX, "free": false});
    let print = [255_u8; 16];
    let withheld = json!({
        "print": print, "round": u32::MAX, "level": u32::MAX, "until": u64::MAX,
    });
    world.store.put("halls", "fleet/lease", &lease);
    let term = json!({"term": u64::MAX});
    world.store.put("halls", "fleet/term", &term);
    world.store.put("withheld", "odd", &withheld);
    sleep(4_000).await;
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    for daemon in &mut world.daemons {
        daemon.start();
    }
    sleep(4_000).await;
    restart_engines(&world).await;
    for daemon in 0..DAEMONS {
        let starts = world.log_lines(daemon, "ev=start ").len();
        assert_eq!(starts, 2, "daemon {daemon} started again");
        let panics = world.log_lines(daemon, "panicked");
        assert_eq!(panics, Vec::<String>::new());
    }
    assert_all_serve(&world, "restarted").await;
}

/// The id of such an engine cannot be sent in a header. It was planned with, and each of its orders ended
/// by a panic of the task that gave it.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_with_an_odd_id_is_given_orders_that_cannot_be_sent() {
    let mut world = world(212, DAEMONS as u8).await;
    let entry = dead_engine();
    for number in 0..8 {
        world
            .store
            .put("servers", &format!("x-{number}\u{1}"), &entry);
        world
            .store
            .put("servers", &format!("x-{number}\u{7f}"), &entry);
    }
    // All groups of the other domain are lost, so that the planner needs these engines.
    for (_, members) in world.targets.serving() {
        world.targets.kill(&members[1]);
    }
    sleep(6_000).await;
    for daemon in &mut world.daemons {
        assert!(daemon.is_running(), "{} ended", daemon.name);
    }
    assert_all_serve(&world, "after").await;
    let panics = (0..DAEMONS).flat_map(|d| world.log_lines(d, "panicked"));
    assert_eq!(panics.collect::<Vec<_>>(), Vec::<String>::new());
    let refused = (0..DAEMONS).map(|d| world.log_lines(d, "ev=target_refused").len());
    assert!(refused.max() >= Some(16), "the entries are refused");
}

/// Keys that mean something else in a query unless they are encoded.
const ODD_KEYS: [&str; 6] = [
    "f-&from=z",
    "f-#",
    "f-%41%",
    "f-+ \u{1}\u{7f}",
    "f-ü\u{1F600}",
    "f-?\"\\",
];

/// The list of targets is read in pages, the next one from the last key of the one before. After a key
/// with special characters the rest was never read.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_an_odd_key_hides_the_targets_after_it() {
    for (net, key) in (206..).zip(ODD_KEYS) {
        let mut world = world(net, 1).await;
        // One page has 500 rows: the entries of the targets follow these.
        for number in 0..499 {
            let key = format!("a-{number:03}");
            world.store.put_bytes("servers", &key, b"{}");
        }
        world.store.put_bytes("servers", key, b"{}");
        world.daemons[0].kill().await;
        world.daemons[0].start();
        sleep(1_500).await;
        let got = ask(&world, 0, read("after")).await;
        assert_eq!(got.status, 200, "{key:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_turned_into_garbage_takes_its_target_out_on_every_daemon() {
    let mut world = world(72, DAEMONS as u8).await;
    world.targets.release_entry("p-0");
    world.store.put_bytes("servers", "p-0", b"{\"service\":");
    sleep(1_000).await;
    // One daemon has read the changes and sent them to the others; the restarted one reads all
    // entries again.
    world.daemons[3].kill().await;
    world.daemons[3].start();
    sleep(1_500).await;
    for daemon in 0..DAEMONS {
        for turn in 0..4 {
            let id = format!("once-{daemon}-{turn}");
            let got = ask(&world, daemon, book(&id)).await;
            assert_eq!(got.status, 200, "daemon {daemon}");
            let runs = world.targets.ledger.runs(&id);
            assert!(runs.iter().all(|r| r.target.as_str() == "p-1"), "{runs:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_that_another_writer_spoilt_is_taken_again() {
    let world = world(73, DAEMONS as u8).await;
    let before: usize = (0..DAEMONS)
        .map(|d| world.log_lines(d, "ev=lease_gained").len())
        .sum();
    assert!(before > 0, "somebody forms groups");
    for _ in 0..4 {
        world.store.put_bytes("halls", "fleet/lease", b"\xff\xff");
        world.store.put_bytes("halls", "fleet/term", b"nothing");
        sleep(400).await;
    }
    // The lease lasts 2 s; a member is lost, and only a planner replaces it.
    sleep(4_000).await;
    let (_, members) = world
        .targets
        .serving()
        .into_iter()
        .next()
        .expect("a group serves");
    world.targets.restart(members[1].as_str());
    sleep(3_000).await;
    assert_all_serve(&world, "spoilt").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn targets_that_start_again_under_their_ids_serve_again() {
    let world = world(74, DAEMONS as u8).await;
    for round in 0..3 {
        let (leader, members) = world
            .targets
            .serving()
            .into_iter()
            .next()
            .expect("one serves");
        let lost = if round == 1 { &leader } else { &members[1] };
        world.targets.restart(lost.as_str());
        world.targets.restart("p-0");
        sleep(2_500).await;
        assert_all_serve(&world, &format!("round-{round}")).await;
    }
    assert!(
        world.targets.violations().is_empty(),
        "{:?}",
        world.targets.violations()
    );
    let noticed = (0..DAEMONS).all(|d| !world.log_lines(d, "ev=target_restarted").is_empty());
    assert!(noticed, "all daemons know of the starts");
}

/// Sends datagrams and frames that are not valid messages.
#[tokio::test(flavor = "multi_thread")]
async fn words_of_peers_that_cannot_be_read_change_nothing() {
    let mut world = world(78, DAEMONS as u8).await;
    let mut rng = SmallRng::seed_from_u64(78);
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let peers = world.daemons[0].peer_address();
    for round in 0..4_000_u32 {
        // The first byte selects the kind of message, one of the first twelve.
        let length = rng.random_range(0..300);
        let mut bytes: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        if let Some(first) = bytes.first_mut() {
            *first = (round % 12) as u8;
        }
        drop(socket.send_to(&bytes, peers).await);
        if round % 100 == 0 {
            sleep(1).await;
        }
    }
    // A frame that claims the greatest possible length, one that is cut off, and an empty one.
    let mut kept = Vec::new();
    for bytes in [&[0xff_u8; 8][..], &[0, 0, 0, 9, 1][..], &[][..]] {
        let mut stream = TcpStream::connect(peers).await.expect("it listens");
        drop(stream.write_all(bytes).await);
        kept.push(stream);
    }
    sleep(500).await;
    assert!(world.daemons[0].is_running(), "the daemon ended");
    assert_all_serve(&world, "told").await;
}
