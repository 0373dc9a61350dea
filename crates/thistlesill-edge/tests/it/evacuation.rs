//! Data centres that the operators evacuate: their targets get no more requests.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::json;
use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::targets::Fault;
use thistlesill_platform_standin::world::{WARMUP_RATE, World};

use crate::support::{ask, planner, read, sleep, stream, world};

/// Time within which an evacuation, or its end, is in force on all daemons.
const IN_FORCE: Duration = Duration::from_secs(1);

const SECOND: Duration = Duration::from_secs(1);
/// Most requests that a target may get in a second while it warms up: half more than its warm-up
/// rate, and five.
pub(crate) const WARMUP_BOUND: usize = (WARMUP_RATE * 1.5) as usize + 5;

/// Starts a deployment with a plain target in each of two data centres; all others are in `h`.
async fn two_halls(net: u8, daemons: u8) -> World {
    let world = world(net, daemons).await;
    world.targets.set_hall("p-1", "other");
    sleep(800).await;
    world
}

fn evacuate(world: &World, hall: &str) {
    world
        .store
        .put("op", &format!("evacuate/{hall}"), &json!({}));
}

fn withdraw(world: &World, hall: &str) {
    world.store.remove("op", &format!("evacuate/{hall}"));
}

/// Sends reads through all daemons in turn for `duration`; returns the answers.
async fn send_reads(world: &World, duration: Duration) -> Vec<CallerAnswer> {
    let start = Instant::now();
    let mut answers = Vec::new();
    while start.elapsed() < duration {
        for daemon in &world.daemons {
            let id = format!("{}-{}", daemon.name, start.elapsed().as_nanos());
            if let Ok(got) = call(daemon.caller_address(), &read(&id)).await {
                answers.push(got);
            }
        }
        sleep(10).await;
    }
    answers
}

/// Waits until a target runs a request; a request that is not sent yet is refused once its data
/// centre is evacuated.
async fn wait_for_run(world: &World, id: &str) {
    let deadline = Instant::now() + Duration::from_secs(5);
    while world.targets.ledger.runs(id).is_empty() {
        assert!(Instant::now() < deadline, "{id} does not run");
        sleep(1).await;
    }
}

/// Returns the number of runs that began in `h` after `since`.
fn runs_in_hall(world: &World, since: Instant) -> usize {
    let all = (0..8).map(|n| format!("i-{n:03}"));
    let all = all.chain(["p-0".to_owned()]);
    all.map(|id| {
        let starts = world.targets.ledger.starts_at(&id);
        starts.iter().filter(|at| **at > since).count()
    })
    .sum()
}

fn all_served(answers: &[CallerAnswer]) -> bool {
    !answers.is_empty() && answers.iter().all(|got| got.status == 200)
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_data_centre_gets_no_requests_until_it_is_taken_back() {
    let world = two_halls(111, 6).await;
    assert!(all_served(
        &send_reads(&world, Duration::from_secs(1)).await
    ));
    evacuate(&world, "h");
    sleep(1_000).await;
    let since = Instant::now();
    let answers = send_reads(&world, Duration::from_secs(2)).await;
    assert!(all_served(&answers), "the other data centre serves");
    for daemon in 0..6 {
        let sent = Instant::now();
        let refused = ask(&world, daemon, stream(&format!("away-{daemon}"))).await;
        assert_eq!(refused.status, 503, "no target of the model is left");
        assert!(sent.elapsed() < Duration::from_millis(100), "held");
        assert!(refused.retry_after().is_some_and(|s| s > 0.0));
    }
    assert_eq!(runs_in_hall(&world, since), 0);
    withdraw(&world, "h");
    sleep(1_000).await;
    for daemon in 0..6 {
        let served = ask(&world, daemon, stream(&format!("back-{daemon}"))).await;
        assert_eq!(served.status, 200, "it is taken back");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_that_run_in_an_evacuated_data_centre_end_there() {
    let world = two_halls(112, 4).await;
    let address = world.daemons[0].caller_address();
    let running: Vec<_> = (0..8)
        .map(|n| {
            let ask = stream(&format!("running-{n}"));
            tokio::spawn(async move { call(address, &ask).await })
        })
        .collect();
    for n in 0..8 {
        wait_for_run(&world, &format!("running-{n}")).await;
    }
    evacuate(&world, "h");
    for task in running {
        let got = task.await.expect("the task ends").expect("an answer");
        assert!(got.status == 200 && got.is_complete, "{got:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_do_not_go_to_an_evacuated_data_centre() {
    let world = two_halls(113, 4).await;
    evacuate(&world, "h");
    sleep(1_000).await;
    world.targets.set_fault("p-1", Fault::LoseAnswers);
    let since = Instant::now();
    send_reads(&world, Duration::from_secs(2)).await;
    assert_eq!(runs_in_hall(&world, since), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn daemons_that_start_or_wake_during_an_evacuation_keep_to_it() {
    let mut world = two_halls(114, 6).await;
    world.daemons[3].signal(Signal::SIGSTOP);
    evacuate(&world, "h");
    sleep(1_000).await;
    let since = Instant::now();
    world.daemons[3].signal(Signal::SIGCONT);
    let planner_index = planner(&world);
    for daemon in [planner_index, 5] {
        world.daemons[daemon].kill().await;
        world.daemons[daemon].start();
    }
    send_reads(&world, Duration::from_secs(4)).await;
    // A daemon that resumes first sends the requests that it had already accepted.
    let runs = runs_in_hall(&world, since + Duration::from_millis(500));
    assert_eq!(runs, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_the_store_turns_away_hears_of_an_evacuation_from_its_peers() {
    let world = two_halls(115, 6).await;
    let planner_index = planner(&world);
    let others = (0..6).filter(|daemon| *daemon != planner_index);
    for daemon in others {
        world.links[daemon].set_fault(LinkFault::Stalled);
    }
    evacuate(&world, "h");
    sleep(1_000).await;
    let since = Instant::now();
    let answers = send_reads(&world, Duration::from_secs(2)).await;
    assert!(all_served(&answers), "the other data centre serves");
    assert_eq!(runs_in_hall(&world, since), 0);
}

/// The target's entry shows only later that it warms up again.
#[tokio::test(flavor = "multi_thread")]
async fn a_target_that_is_taken_back_gets_no_more_than_one_that_warms_up() {
    let world = two_halls(117, 6).await;
    evacuate(&world, "h");
    sleep(1_000).await;
    let since = Instant::now();
    withdraw(&world, "h");
    let targets = world.targets.clone();
    let warm_up = tokio::spawn(async move {
        sleep(400).await;
        targets.warm_up("p-0", Duration::from_millis(2_600));
    });
    send_reads(&world, Duration::from_secs(3)).await;
    warm_up.await.expect("the task ends");
    let most = world.targets.ledger.max_starts_within("p-0", since, SECOND);
    assert!(most <= WARMUP_BOUND, "{most} requests in a second");
    assert!(most >= 5, "only {most} requests in a second");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuation_that_is_withdrawn_and_given_again_at_once_is_in_force() {
    let world = two_halls(116, 6).await;
    for _ in 0..3 {
        evacuate(&world, "h");
        sleep(150).await;
        withdraw(&world, "h");
        sleep(150).await;
    }
    evacuate(&world, "h");
    sleep(IN_FORCE.as_millis() as u64).await;
    let since = Instant::now();
    send_reads(&world, Duration::from_secs(1)).await;
    assert_eq!(runs_in_hall(&world, since), 0);
    // Both are evacuated at once, and the first one is taken back.
    evacuate(&world, "other");
    withdraw(&world, "h");
    // Waits until its target counts as warm.
    sleep(4_000).await;
    let answers = send_reads(&world, Duration::from_secs(1)).await;
    assert!(all_served(&answers), "the first one serves again");
    let health = CallerRequest::new("health", "GET", "/api/ready");
    let ready = call(world.daemons[0].health_address(), &health).await;
    assert_eq!(ready.expect("it answers").status, 200);
}
