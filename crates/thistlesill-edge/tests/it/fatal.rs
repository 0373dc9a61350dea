//! Requests that crash each target that runs them.
//!
//! Callers repeated such a request with a new id each time, so every repetition had all its
//! attempts, and no daemon knew what the others had observed. Six targets crashed within 1.6 s,
//! eighteen in twelve seconds, and none of 45 requests a second for the model was served. The
//! requests that were lost with their targets share one fingerprint in the log:
//!
//! ```text
//! ev=lost_with_target target=A why="the stream broke off" print=P requests=19
//! ev=lost_with_target target=B why="the stream broke off" print=P requests=23
//! ev=lost_with_target target=C why="connection lost" print=P requests=21
//! ```

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::ledger::Run;
use thistlesill_platform_standin::targets::{FATAL, Fault};
use thistlesill_platform_standin::world::{SECOND_KEY, World};

use crate::support::{ask, read, sleep, stream, world};

/// Targets that a request may crash before it is withheld.
const KNOWN_AFTER: usize = 3;
/// The operators' bound: this many more targets may get the request later, once a daemon that is
/// connected to the others has had this time.
const MOST_LATER: usize = 3;
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Pause between two repetitions by the caller, in milliseconds.
const GAP: u64 = 150;

/// Builds a request that crashes its targets.
fn fatal(id: impl Into<String>) -> CallerRequest {
    CallerRequest::new(id, "POST", "/read/x").body(FATAL)
}

/// Counts the runs that the operators' bound limits.
fn later(runs: &[Run]) -> usize {
    let mut begun: Vec<Instant> = runs.iter().map(|run| run.started_at).collect();
    begun.sort_unstable();
    let Some(known) = begun.get(KNOWN_AFTER - 1) else {
        return 0;
    };
    begun.iter().filter(|at| **at > *known + IN_TOUCH).count()
}

/// Sends the request `times` times, through the daemons in turn.
async fn repeat(world: &World, name: &str, times: usize) -> Vec<CallerAnswer> {
    let mut all = Vec::new();
    for i in 0..times {
        let daemon = i % world.daemons.len();
        all.push(ask(world, daemon, fatal(format!("{name}-{i}"))).await);
        sleep(GAP).await;
    }
    all
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ends_its_targets_is_soon_sent_to_none() {
    let world = world(83, 3).await;
    repeat(&world, "again", 45).await;
    let runs = world.targets.ledger.runs_of_body(FATAL);
    let ended = world.targets.restarts();
    assert!(
        later(&runs) <= MOST_LATER,
        "{} runs, {} of them late, {ended} targets ended",
        runs.len(),
        later(&runs)
    );
    let refused = ask(&world, 0, fatal("refused")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.retry_after().is_some_and(|s| s > 0.0));
    assert!(world.targets.ledger.runs("refused").is_empty());
    // Lines are written in batches.
    sleep(300).await;
    let lines = world.log_lines(0, "id=refused");
    assert!(
        lines.iter().any(|l| l.contains("outcome=withheld")),
        "{lines:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn other_requests_and_the_same_body_of_another_customer_are_served() {
    let world = world(84, 2).await;
    repeat(&world, "before", 20).await;
    for i in 0..10 {
        let other = ask(&world, i % 2, read(&format!("other-{i}"))).await;
        assert_eq!(other.status, 200, "{other:?}");
        let mut same = fatal(format!("same-{i}"));
        same.key = Some(SECOND_KEY.to_owned());
        let same = ask(&world, i % 2, same).await;
        assert_eq!(same.status, 200, "{same:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_learns_of_it_from_the_others() {
    let mut world = world(85, 3).await;
    repeat(&world, "before", 20).await;
    world.daemons[2].kill().await;
    world.daemons[2].start();
    tokio::time::sleep(IN_TOUCH).await;
    let before = world.targets.restarts();
    let got = ask(&world, 2, fatal("anew")).await;
    assert_eq!(world.targets.restarts(), before, "{got:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn it_is_known_after_all_daemons_were_lost_at_once() {
    let mut world = world(86, 3).await;
    repeat(&world, "before", 20).await;
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    for daemon in &mut world.daemons {
        daemon.start();
    }
    tokio::time::sleep(IN_TOUCH).await;
    let before = world.targets.restarts();
    for daemon in 0..3 {
        let got = ask(&world, daemon, fatal(format!("anew-{daemon}"))).await;
        assert_eq!(world.targets.restarts(), before, "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_that_may_run_once_is_withheld_too_and_its_refusals_are_true() {
    let world = world(87, 2).await;
    for i in 0..30 {
        let ask = CallerRequest::new(format!("once-{i}"), "POST", "/book/x").body(FATAL);
        let got = call(world.daemons[i % 2].caller_address(), &ask).await;
        let got = got.unwrap_or_else(|e| panic!("{}: {e}", ask.id));
        let runs = world.targets.ledger.runs(&ask.id).len();
        assert!(runs <= 1, "{} ran {runs} times", ask.id);
        assert!(got.status != 503 || runs == 0, "{got:?}");
        sleep(GAP).await;
    }
    let runs = world.targets.ledger.runs_of_body(FATAL);
    assert!(later(&runs) <= MOST_LATER, "{} late", later(&runs));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_ran_beside_it_are_served() {
    let world = world(88, 2).await;
    let addresses: Vec<_> = world.daemons.iter().map(Daemon::caller_address).collect();
    let others: Vec<_> = (0..12)
        .map(|i| {
            let address = addresses[i % 2];
            tokio::spawn(async move { served_in_the_end(address, i).await })
        })
        .collect();
    for i in 0..20 {
        let ask = stream(&format!("fatal-{i}")).model("small").body(FATAL);
        // The outcome does not matter here; the test is about other streams at the same targets.
        drop(call(addresses[i % 2], &ask).await);
        sleep(GAP).await;
    }
    for other in others {
        let tries = other.await.expect("the task ends");
        assert!(tries.is_some(), "a stream beside it was never served");
    }
    let runs = world.targets.ledger.runs_of_body(FATAL);
    assert!(later(&runs) <= MOST_LATER, "{} late", later(&runs));
    assert!(world.targets.violations().is_empty());
}

/// Body of a request that crashes no target.
const SOUND: &str = "sound";

fn set_engine_faults(world: &World, fault: Fault) {
    for engine in 0..8 {
        world.targets.set_fault(&format!("i-{engine:03}"), fault);
    }
}

/// Sends the sound request until `count` targets have run it.
async fn run_at(world: &World, model: &'static str, count: usize) {
    for i in 0..40 {
        let ask = stream(&format!("cut-{count}-{i}")).model(model).body(SOUND);
        // The outcome does not matter here: the target breaks off in any case.
        drop(call(world.daemons[i % 2].caller_address(), &ask).await);
        let runs = world.targets.ledger.runs_of_body(SOUND);
        let targets: BTreeSet<_> = runs.into_iter().map(|run| run.target).collect();
        if targets.len() >= count {
            return;
        }
        sleep(GAP).await;
    }
    panic!("{count} targets did not run it");
}

/// All engines break off their answers, as behind a failing switch. One of them starts again later
/// for another reason, so that another group runs the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_met_resets_of_live_engines_stays_withheld_until_its_trial() {
    let world = world(170, 2).await;
    set_engine_faults(&world, Fault::CutShort);
    run_at(&world, "small", 1).await;
    let first = world.targets.ledger.runs_of_body(SOUND);
    world.targets.restart(first[0].target.as_str());
    run_at(&world, "small", 2).await;
    run_at(&world, "large", 3).await;
    set_engine_faults(&world, Fault::None);
    // Lines are written in batches. The first trial could begin 1 s after the last loss.
    sleep(600).await;
    let lines = |word: &str| -> Vec<String> {
        let all = (0..2).flat_map(|daemon| world.log_lines(daemon, word));
        all.collect()
    };
    assert!(!lines("ev=request_withheld").is_empty(), "three were lost");
    let refuted = lines("ev=losses_refuted");
    assert!(
        refuted.iter().any(|l| l.contains("targets=2")),
        "{refuted:?}"
    );
    for daemon in 0..2 {
        let cleared = world.log_lines(daemon, "ev=request_cleared");
        assert!(!cleared.is_empty(), "withheld at daemon {daemon}");
        let after = stream(&format!("after-{daemon}"))
            .model("small")
            .body(SOUND);
        let served = ask(&world, daemon, after).await;
        assert_eq!(served.status, 200, "{served:?}");
    }
    assert_eq!(lines("ev=withheld_tried"), Vec::<String>::new());
}

/// Requests a stream until it is served, as a caller does after a stream broke off; returns the
/// number of tries.
async fn served_in_the_end(address: SocketAddr, number: usize) -> Option<usize> {
    for tries in 1..=40 {
        let ask = stream(&format!("beside-{number}-{tries}")).model("small");
        let ask = ask.body(format!("prompt {number}"));
        if call(address, &ask)
            .await
            .is_ok_and(|got| got.is_complete && got.status == 200)
        {
            return Some(tries);
        }
        sleep(GAP).await;
    }
    None
}

/// Of requests that share a body, those for a model without a group took all trials, none of which
/// was sent. Requests for the other model, which had not crashed anything, were withheld for 28 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_no_target_serves_takes_the_trial_of_one_that_is_served() {
    let world = world(186, 1).await;
    let fatal = |id: String, model| {
        let request = CallerRequest::new(id, "POST", "/large/s").body(FATAL);
        request.model(model)
    };
    let is_withheld = || !world.log_lines(0, "ev=request_withheld").is_empty();
    for number in 0..40 {
        if is_withheld() {
            break;
        }
        ask(&world, 0, fatal(format!("small-{number}"), "small")).await;
        sleep(GAP).await;
    }
    assert!(is_withheld());
    for number in 0..30 {
        ask(&world, 0, fatal(format!("absent-{number}"), "absent")).await;
        sleep(100).await;
    }
    let tried = world.log_lines(0, "ev=withheld_tried id=absent");
    assert_eq!(tried, Vec::<String>::new());
}
