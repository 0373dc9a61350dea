//! Sound targets that stand still together for a second and go on, while callers keep their
//! connections and the configuration changes.

use std::time::Duration;

use thistlesill_platform_standin::daemon::RETRY_BOUNDS;
use thistlesill_platform_standin::exchange::{Exchange, Exchanges, Patience};
use thistlesill_platform_standin::ledger::SentRequest;
use thistlesill_platform_standin::world::{Size, World};

use crate::support::{place, read, sleep, stream, world};

/// Number of daemons.
const DAEMONS: u8 = 6;
/// Callers at each daemon.
const CALLERS: usize = 12;
/// Callers at each daemon of a deployment with several groups a model.
const MANY_CALLERS: usize = 24;
/// Time between two requests of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(5);
/// Time between a change of the configuration and a pause of targets.
const CHANGE_LEAD_MS: u64 = 500;
/// Length of a pause of targets.
const PAUSE_MS: u64 = 1_200;
/// Time from the end of a pause to the next change of the configuration.
const REST_MS: u64 = 2_000;
/// Time limit of the routes.
const TIME_LIMIT: Duration = Duration::from_secs(4);
/// Places of all targets; the engines come first.
const ALL: [usize; 10] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9];

/// Starts `callers` at each daemon that keep their connections; two in three requests are streams,
/// of these models by turns.
fn start_callers(world: &World, callers: usize, models: [&'static str; 2]) -> Exchanges {
    let exchanges = Exchanges::default();
    for daemon in &world.daemons {
        for caller in 0..callers {
            let (address, name) = (daemon.caller_address(), daemon.name.clone());
            let mut count = 0;
            let next = move || {
                count += 1;
                let id = format!("{name}-{caller}-{count}");
                let request = match count % 3 {
                    0 => read(&id),
                    place => stream(&id).model(models[place - 1]),
                };
                (request, CALLER_PAUSE)
            };
            tokio::spawn(
                exchanges
                    .clone()
                    .run_caller(move || address, next, Patience::AsTold),
            );
        }
    }
    exchanges
}

/// Pauses the targets at `places` three times, each time after a change of the configuration;
/// returns what callers saw.
async fn pause_thrice(world: &World, places: &[usize]) -> Vec<Exchange> {
    let exchanges = start_callers(world, CALLERS, ["large", "large"]);
    sleep(2_000).await;
    for version in 2..5 {
        pause(world, version, places, PAUSE_MS).await;
    }
    exchanges.take()
}

/// Changes the configuration, and pauses the targets at `places` for a time soon after that.
async fn pause(world: &World, version: u64, places: &[usize], ms: u64) {
    world.set_catalog(version, &["k1", "k2"]);
    sleep(CHANGE_LEAD_MS).await;
    world.targets.pause_only(places);
    sleep(ms).await;
    world.targets.pause_only(&[]);
    sleep(REST_MS).await;
}

/// Returns how many requests ended without a whole answer although their callers still waited.
fn lost(exchanges: &[Exchange]) -> usize {
    exchanges.iter().filter(|e| e.is_lost(TIME_LIMIT)).count()
}

/// Asserts that repeats kept to the operators' bounds.
fn assert_few_repeats(world: &World, exchanges: &[Exchange]) {
    let sent: Vec<SentRequest> = exchanges.iter().map(Exchange::sent).collect();
    let ledger = &world.targets.ledger;
    let excess = ledger.excess_repeats(&sent, RETRY_BOUNDS);
    assert_eq!(excess, Vec::<String>::new());
    assert_eq!(ledger.spread_too_far(|_| world.attempts()), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_break_off_when_all_targets_are_silent() {
    let world = world(181, DAEMONS).await;
    let exchanges = pause_thrice(&world, &ALL).await;
    assert_few_repeats(&world, &exchanges);
    let lost = lost(&exchanges);
    assert_eq!(lost, 0, "of {} requests", exchanges.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_break_off_when_most_targets_are_silent() {
    let world = world(182, DAEMONS).await;
    let exchanges = pause_thrice(&world, &ALL[..6]).await;
    assert_few_repeats(&world, &exchanges);
    let lost = lost(&exchanges);
    assert_eq!(lost, 0, "of {} requests", exchanges.len());
}

/// A request that its target will answer in a second was given up after its objective of 400 ms,
/// as one that may have run, with seconds left.
#[tokio::test(flavor = "multi_thread")]
async fn sent_requests_are_given_up_while_all_targets_are_silent() {
    let world = world(183, DAEMONS).await;
    let exchanges = pause_thrice(&world, &ALL).await;
    let given_up = exchanges.iter().filter(|exchange| {
        let status = exchange.answer.as_ref().map(|answer| answer.status);
        status == Some(502)
    });
    assert_eq!(given_up.count(), 0, "of {} requests", exchanges.len());
}

/// Copies of requests that targets read when they go on, long after another target got them, had
/// nearly all of their time left.
#[tokio::test(flavor = "multi_thread")]
async fn silent_targets_run_copies_of_requests_beyond_their_deadlines() {
    let (program, folder) = place(187);
    let size = Size::with_many_groups(DAEMONS);
    let world = World::start_sized(program, &folder, 187, size).await;
    let exchanges = start_callers(&world, MANY_CALLERS, ["large", "small"]);
    sleep(2_000).await;
    let all: Vec<usize> = (0..world.targets.links.len()).collect();
    // Three in five of the engines and of the plain targets, leaders of groups among them.
    let most = |shift: usize| {
        let is_paused = move |place: &usize| (place + shift) % 5 < 3;
        all.iter().copied().filter(is_paused).collect::<Vec<_>>()
    };
    let pauses = [
        (all.clone(), 1_200),
        (most(0), 1_100),
        (all.clone(), 1_300),
        (most(2), 1_000),
    ];
    for (version, (places, ms)) in (2..).zip(pauses.iter().chain(&pauses)) {
        pause(&world, version, places, *ms).await;
    }
    let exchanges = exchanges.take();
    assert_few_repeats(&world, &exchanges);
    let sent: Vec<SentRequest> = exchanges.iter().map(Exchange::sent).collect();
    let time_left = world.targets.ledger.time_left(&sent);
    println!("{} requests: {time_left}", exchanges.len());
    assert!(!time_left.is_excess(), "{time_left}");
}
