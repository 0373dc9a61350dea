//! Entries of targets that are gone, beside those of targets that serve.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::entries::dead_plain;
use thistlesill_platform_standin::world::World;

use crate::support::{read, send_steadily_to, sleep, world};

const DAEMONS: u8 = 4;
/// Reads per second, over all daemons.
const RATE: u32 = 80;
/// Time for which they are sent.
const TIME: Duration = Duration::from_secs(8);

/// Writes entries of plain targets at which no process listens.
fn write_dead_entries(world: &World, net: u8, count: u8) {
    for number in 0..count {
        let address = SocketAddr::from((Ipv4Addr::new(127, 6, net, 10 + number), 9));
        let entry = dead_plain(address);
        world
            .store
            .put("servers", &format!("dead-{number}"), &entry);
    }
}

/// Three refused connections without an answer between them counted as a loss of the daemon's own
/// links, and each request was refused while two sound targets stood idle.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_serve_are_not_used_beside_entries_of_dead_ones() {
    let world = world(196, DAEMONS).await;
    write_dead_entries(&world, 196, 16);
    sleep(1_000).await;
    let addresses: Vec<SocketAddr> = world.daemons.iter().map(Daemon::caller_address).collect();
    let answers = send_steadily_to(&addresses, RATE, TIME, read).await;
    let served = answers.iter().filter(|(got, _)| got.status == 200).count();
    // RECOVER allows 11 and one in 50 of the first attempts to fail.
    let allowed = 11 + answers.len() / 50;
    let lost = (0..DAEMONS.into()).map(|d| world.log_lines(d, "ev=links_lost").len());
    let lost: usize = lost.sum();
    println!(
        "served {served} of {}, links lost {lost} times",
        answers.len()
    );
    assert!(
        answers.len() - served <= allowed,
        "{served} of {}",
        answers.len()
    );
}
