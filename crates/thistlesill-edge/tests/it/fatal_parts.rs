//! Prompts with a part that crashes each target which begins to answer them, whatever else the
//! request holds.
//!
//! No two of the requests are alike, so the lines of their losses share the part and nothing else:
//!
//! ```text
//! ev=lost_with_target id=fatal-0 target=A print=P answer=starting parts=first,deadly
//! ev=lost_with_target id=fatal-0 target=B print=P answer=starting parts=first,deadly
//! ev=lost_with_target id=fatal-1 target=C print=Q answer=starting parts=first,deadly
//! ```

use std::time::{Duration, Instant};

use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::ledger::Run;
use thistlesill_platform_standin::targets::{FATAL, Fault};
use thistlesill_platform_standin::world::{Size, World};

use crate::support::{ask, place, send_steadily_to, sleep, stream, world};

/// The part that crashes targets.
const PART: &str = "deadly";
/// The operators' bound: once this many targets have crashed, and a daemon that is connected to the
/// others has had [`IN_TOUCH`], this many more requests with the part may reach targets.
const KNOWN_AFTER: usize = 5;
const MOST_LATER: usize = 3;
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Pause between two requests with the part, in milliseconds.
const GAP: u64 = 150;

/// Builds a request with the part; no two have the same body.
fn fatal(id: &str) -> CallerRequest {
    let own = format!("own-{id}");
    stream(id)
        .model("small")
        .body(format!("prompt {id}"))
        .prompt_parts(&["first", PART, &own])
}

/// Builds a sound request of the same caller and route, with the same first part.
fn sound(id: &str) -> CallerRequest {
    let own = format!("own-{id}");
    stream(id)
        .model("small")
        .body(format!("prompt {id}"))
        .prompt_parts(&["first", "other", &own])
}

/// Returns when the operators' bound begins to count, if that many targets have crashed.
fn bound_from(runs: &[Run]) -> Option<Instant> {
    let mut begun: Vec<Instant> = runs.iter().map(|run| run.started_at).collect();
    begun.sort_unstable();
    begun.get(KNOWN_AFTER - 1).map(|fifth| *fifth + IN_TOUCH)
}

/// Counts the runs that the operators' bound limits.
fn later(runs: &[Run]) -> usize {
    bound_from(runs).map_or(0, |from| {
        runs.iter().filter(|run| run.started_at > from).count()
    })
}

/// Sends requests with the part, no two alike, through the daemons in turn.
async fn send_fatal(world: &World, name: &str, times: usize) -> Vec<CallerAnswer> {
    let mut all = Vec::new();
    for i in 0..times {
        let daemon = i % world.daemons.len();
        all.push(ask(world, daemon, fatal(&format!("{name}-{i}"))).await);
        sleep(GAP).await;
    }
    all
}

fn share_served(answers: &[CallerAnswer]) -> f64 {
    let served = answers.iter().filter(|a| a.status == 200 && a.is_complete);
    served.count() as f64 / answers.len().max(1) as f64
}

/// Sends sound requests through all daemons for `time`; returns the share served at the first
/// attempt.
async fn serve_sound(world: &World, time: Duration) -> f64 {
    let addresses: Vec<_> = world.daemons.iter().map(Daemon::caller_address).collect();
    let timed = send_steadily_to(&addresses, 10, time, sound).await;
    let answers: Vec<CallerAnswer> = timed.into_iter().map(|(answer, _)| answer).collect();
    share_served(&answers)
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_only_a_fatal_part_crash_one_target_after_another() {
    let world = world(161, 3).await;
    world.targets.set_fatal_part(PART);
    send_fatal(&world, "fatal", 80).await;
    let runs = world.targets.ledger.runs_of_part(PART);
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
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_is_withheld_for_one_model_crashes_the_targets_of_another() {
    let world = world(225, 2).await;
    world.targets.set_fatal_part(PART);
    send_fatal(&world, "small", 25).await;
    let before = world.targets.ledger.runs_of_part(PART).len();
    let large = fatal("large").model("large");
    let refused = ask(&world, 0, large).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(world.targets.ledger.runs_of_part(PART).len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_only_the_connection_marks_clears_the_part_that_crashed_the_target() {
    let world = world(166, 3).await;
    for engine in 0..8 {
        let name = format!("i-{engine:03}");
        world.targets.set_fault(&name, Fault::UnframedEmpty);
    }
    world.targets.set_fatal_part(PART);
    send_fatal(&world, "fatal", 80).await;
    let runs = world.targets.ledger.runs_of_part(PART);
    assert!(later(&runs) <= MOST_LATER, "{} late", later(&runs));
}

/// Guards against a sound stream that ends although it could go on a second later: it lost its target while a
/// part of its prompt was withheld for the first time, because of others that crashed theirs.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_ends_while_its_part_waits_for_its_first_trial() {
    let (program, folder) = place(250);
    let world = World::start_sized(program, &folder, 250, Size::with_many_groups(2)).await;
    let address = world.daemons[0].caller_address();
    let request = stream("long")
        .model("large")
        .prompt_parts(&["shared", "own"]);
    let long = tokio::spawn(async move { call(address, &request).await });
    sleep(60).await;
    let runs = world.targets.ledger.runs("long");
    let target = runs.first().expect("the stream runs").target.clone();
    let engine = target.instance().as_str().trim_start_matches("i-");
    let link: usize = engine.parse().expect("the number of an engine");
    world.targets.pause_only(&[link]);
    for n in 0..4 {
        let id = format!("fatal-{n}");
        let own = format!("own-{n}");
        let request = stream(&id).model("small").body(FATAL);
        drop(ask(&world, 1, request.prompt_parts(&["shared", &own])).await);
    }
    world.targets.restart(target.instance().as_str());
    world.targets.pause_only(&[]);
    let got = long.await.expect("the task ends").expect("an answer");
    assert!(got.is_complete, "{got:?}");
    sleep(600).await;
    let withheld = world.log_lines(0, "ev=request_withheld");
    assert!(
        withheld.len() > 1,
        "the part and the fatal request: {withheld:?}"
    );
}

/// The sound requests are served at the first attempt at least half as often as before, once the
/// daemons have had twice the time of being connected.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_with_the_first_part_and_caller_of_fatal_ones_are_refused_or_lost() {
    let world = world(162, 3).await;
    let before = serve_sound(&world, Duration::from_secs(3)).await;
    world.targets.set_fatal_part(PART);
    let settle = 2 * IN_TOUCH + Duration::from_secs(2);
    let (_, beside) = tokio::join!(send_fatal(&world, "fatal", 90), async {
        serve_sound(&world, settle).await;
        serve_sound(&world, Duration::from_secs(6)).await
    });
    assert!(beside >= before / 2.0, "{before:.2} before, {beside:.2}");
    let runs = world.targets.ledger.runs_of_part(PART);
    assert!(later(&runs) <= MOST_LATER, "{} late", later(&runs));
}
