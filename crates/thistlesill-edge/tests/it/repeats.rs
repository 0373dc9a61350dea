//! Repeats of a request, and the retry budgets that cover them.

use std::time::Duration;

use thistlesill_platform_standin::daemon::RETRY_BOUNDS;
use thistlesill_platform_standin::exchange::{Exchange, Exchanges, Patience};
use thistlesill_platform_standin::ledger::SentRequest;
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::targets::Fault;

use crate::support::{ask, book, pass_on, read, read_answer, sleep, world};

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
    let peer = pass_on(&world, 0, &read("passed-on")).await;
    sleep(190).await;
    // The target has turned the request away, and its answer is on the way. The links are lost
    // meanwhile.
    world.set_plain_fault(0, LinkFault::ResetNew);
    for number in 0..4 {
        ask(&world, 0, book(&format!("lost-{number}"))).await;
    }
    let answer = read_answer(peer).await;
    let arrivals = world.targets.ledger.arrivals();
    let count = arrivals.iter().filter(|a| a.id == "passed-on").count();
    assert_eq!(count, 1, "arrivals");
    assert!(
        answer.contains("thistlesill-declined: unreached"),
        "{answer}"
    );
    assert!(answer.contains("thistlesill-sent: 1\r\n"), "{answer}");
}

/// Callers that send reads at the same time.
const CALLERS: usize = 40;
/// Time for which they send them: the window of the operators' bound.
const TIME_MS: u64 = 10_000;

/// Targets that turn requests away got each of them twice. Only the budget bounds that.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_exceed_the_budget_while_all_targets_are_full() {
    let world = world(191, 3).await;
    for target in ["p-0", "p-1"] {
        world.targets.set_fault(target, Fault::Full);
    }
    let exchanges = Exchanges::default();
    for caller in 0..CALLERS {
        let address = world.daemons[caller % 3].caller_address();
        let mut count = 0;
        let next = move || {
            count += 1;
            (
                read(&format!("{caller}-{count}")),
                Duration::from_millis(50),
            )
        };
        let sent = exchanges.clone();
        tokio::spawn(sent.run_caller(move || address, next, Patience::None));
    }
    sleep(TIME_MS).await;
    let sent: Vec<SentRequest> = exchanges.take().iter().map(Exchange::sent).collect();
    let excess = world.targets.ledger.excess_repeats(&sent, RETRY_BOUNDS);
    assert_eq!(excess, Vec::<String>::new(), "of {} requests", sent.len());
}
