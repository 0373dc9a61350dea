//! Sound targets that stand still together for a second and go on, while callers keep their
//! connections and the configuration changes.

use std::time::Duration;

use thistlesill_platform_standin::daemon::RETRY_BOUNDS;
use thistlesill_platform_standin::exchange::{Exchange, Exchanges, Patience};
use thistlesill_platform_standin::ledger::SentRequest;
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::world::{Size, World};

use crate::support::{place, planner, read, send_steadily_to, sleep, stream, world};

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

/// Places of the leaders that serve a model whose groups have this many members.
pub(crate) fn leaders(world: &World, members: usize) -> Vec<usize> {
    let serving = world.targets.serving();
    let groups = serving.iter().filter(|(_, all)| all.len() == members);
    let place = |leader: &str| leader.trim_start_matches("i-").parse();
    let places = groups.map(|(leader, _)| place(leader.instance().as_str()));
    places
        .map(|place| place.expect("engines are numbered"))
        .collect()
}

/// All groups of one model fell silent while those of the other one went on. The rest of a stream was
/// requested from a second silent target, which read that a second later.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_repeated_at_targets_that_are_silent_too() {
    let (program, folder) = place(188);
    let size = Size::with_many_groups(3);
    let world = World::start_sized(program, &folder, 188, size).await;
    let exchanges = start_callers(&world, CALLERS, ["large", "small"]);
    sleep(2_000).await;
    let small = leaders(&world, 2);
    assert!(small.len() > 1, "{small:?}");
    for version in 2..5 {
        pause(&world, version, &small, PAUSE_MS).await;
    }
    let sent: Vec<SentRequest> = exchanges.take().iter().map(Exchange::sent).collect();
    let time_left = world.targets.ledger.time_left(&sent);
    assert_eq!(time_left.overlong, 0, "{time_left}");
}

/// A target that had not read its requests was left for another one; it read and ran them when it
/// went on, with nearly all of their time.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_a_silent_target_has_not_read_run_at_a_second_one() {
    let (program, folder) = place(189);
    let size = Size::with_many_groups(3);
    let world = World::start_sized(program, &folder, 189, size).await;
    let exchanges = start_callers(&world, CALLERS, ["large", "small"]);
    sleep(2_000).await;
    // One leader, and one of two plain targets.
    let paused = [leaders(&world, 2)[0], world.targets.links.len() - 1];
    for version in 2..5 {
        pause(&world, version, &paused, PAUSE_MS).await;
    }
    let exchanges = exchanges.take();
    assert_eq!(lost(&exchanges), 0, "of {} requests", exchanges.len());
    let sent: Vec<SentRequest> = exchanges.iter().map(Exchange::sent).collect();
    let time_left = world.targets.ledger.time_left(&sent);
    assert_eq!(time_left.overlong, 0, "{time_left}");
}

/// The planner gave its lease up as soon as it noticed the silence, if a peer had not noticed it.
#[tokio::test(flavor = "multi_thread")]
async fn a_planner_gives_its_lease_up_when_targets_are_silent() {
    let world = world(190, 3).await;
    let planner = planner(&world);
    let address = [world.daemons[planner].caller_address()];
    let calls = send_steadily_to(&address, 20, Duration::from_secs(3), stream);
    let silence = async {
        sleep(1_000).await;
        world.set_engine_fault(planner, LinkFault::Stalled);
        sleep(PAUSE_MS).await;
        world.set_engine_fault(planner, LinkFault::None);
    };
    tokio::join!(calls, silence);
    let lost = world.log_lines(planner, "ev=links_lost");
    assert!(!lost.is_empty(), "the daemon notices the silence");
    let given_up = world.log_lines(planner, "ev=lease_given_up");
    assert!(given_up.is_empty(), "{given_up:#?}");
}
