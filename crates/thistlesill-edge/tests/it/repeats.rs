//! Repeats of a request, and the retry budgets that cover them.

use std::time::Duration;

use thistlesill_core::edge::EdgeSettings;
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::targets::Fault;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{ask, book, read, sleep, world};

/// What a peer says of a request that it passes on for the first time: version of the catalog, then
/// no attempts, none that may have run, not counted and not paid for.
const FIRST_HOP: &str = "thistlesill-hop: 1 0 0 0 0";
/// Delay in each direction between the daemon and its targets.
const LINK_DELAY: Duration = Duration::from_millis(150);

/// The peer took what was declined for a request that no target got, and passed it to a further
/// daemon as a first attempt, which no retry budget covers.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_declines_a_request_does_not_say_that_a_target_got_it() {
    let world = world(185, 1).await;
    for target in ["p-0", "p-1"] {
        world.targets.set_fault(target, Fault::Full);
    }
    world.set_plain_fault(0, LinkFault::Delay(LINK_DELAY));
    let address = EdgeSettings::forward_address_of(world.daemons[0].peer_address());
    let mut peer = TcpStream::connect(address).await.expect("it listens");
    let request = read("passed-on").head_text(FIRST_HOP);
    let sent = peer.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    sleep(190).await;
    // The target has turned the request away, and its answer is on the way. The links are lost
    // meanwhile.
    world.set_plain_fault(0, LinkFault::ResetNew);
    for number in 0..4 {
        ask(&world, 0, book(&format!("lost-{number}"))).await;
    }
    let mut answer = String::new();
    let read = peer.read_to_string(&mut answer).await;
    read.expect("the answer ends with its connection");
    let arrivals = world.targets.ledger.arrivals();
    let count = arrivals.iter().filter(|a| a.id == "passed-on").count();
    assert_eq!(count, 1, "arrivals");
    assert!(
        answer.contains("thistlesill-declined: unreached"),
        "{answer}"
    );
    assert!(answer.contains("thistlesill-sent: 1\r\n"), "{answer}");
}
