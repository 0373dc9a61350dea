//! Requests that stop the machines of the targets that run them, without a word.
//!
//! A daemon sees nothing but silence: the request ends at its deadline, or as its caller leaves, and the
//! connections are reset seconds later, if at all.
//!
//! ```text
//! ev=request id=repeat-3 outcome=late_answer target=p-0#1 attempts=1
//! ev=target_restarted target=p-0#2 before=1 now=2
//! ```

use std::time::{Duration, Instant};

use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::ledger::Run;
use thistlesill_platform_standin::targets::{CrashPoint, FATAL};
use thistlesill_platform_standin::world::{Size, World};
use tokio::time::timeout;

use crate::support::{ask, place, read, sleep, stream, world};

/// The operators' bound: once the third target has crashed, and a daemon that is connected to the others
/// has had [`IN_TOUCH`], this many more targets may get the request.
const KNOWN_AFTER: usize = 3;
const MOST_LATER: usize = 3;
const IN_TOUCH: Duration = Duration::from_secs(3);
/// How long the request comes again.
const DURATION: Duration = Duration::from_secs(30);
/// The part of prompts that stops machines, and the targets that it may stop before it counts.
const FATAL_PART: &str = "deadly";
const PART_KNOWN_AFTER: usize = 5;

/// How callers repeat a request.
#[derive(Debug, Clone, Copy)]
struct Repetition {
    /// Time between two of them.
    interval: Duration,
    /// How long the caller waits before it leaves.
    patience: Duration,
}

impl Repetition {
    const fn new(interval: u64, patience: u64) -> Self {
        Self {
            interval: Duration::from_millis(interval),
            patience: Duration::from_millis(patience),
        }
    }
}

/// Counts the runs that the operators' bound limits.
fn later(runs: &[Run], known_after: usize) -> usize {
    let mut begun: Vec<Instant> = runs.iter().map(|run| run.started_at).collect();
    begun.sort_unstable();
    let Some(known) = begun.get(known_after - 1) else {
        return 0;
    };
    begun.iter().filter(|at| **at > *known + IN_TOUCH).count()
}

/// Repeats a request at all daemons in turn. The answers do not matter, only the targets that run it.
async fn repeat(world: &World, repetition: Repetition, request: impl Fn(usize) -> CallerRequest) {
    let end = Instant::now() + DURATION;
    let mut ticks = tokio::time::interval(repetition.interval);
    for number in 0.. {
        ticks.tick().await;
        if Instant::now() > end {
            return;
        }
        let address = world.daemons[number % world.daemons.len()].caller_address();
        let request = request(number);
        let patience = repetition.patience;
        tokio::spawn(async move { drop(timeout(patience, call(address, &request)).await) });
    }
}

/// Asserts that a request which stops the machines of plain targets is withheld in time.
async fn assert_withheld(net: u8, point: CrashPoint, repetition: Repetition) {
    let world = world(net, 3).await;
    world.targets.set_crash_point(point);
    let fatal =
        |number| CallerRequest::new(format!("repeat-{number}"), "POST", "/read/x").body(FATAL);
    repeat(&world, repetition, fatal).await;
    let runs = world.targets.ledger.runs_of_body(FATAL);
    let later = later(&runs, KNOWN_AFTER);
    println!(
        "{point:?}, {repetition:?}: {} runs, {later} of them late",
        runs.len()
    );
    assert!(later <= MOST_LATER, "{} runs, {later} late", runs.len());
    let lines = (0..3).flat_map(|daemon| world.log_lines(daemon, "ev=lost_in_silence"));
    assert!(lines.count() > 0, "losses are noticed");
}

/// Guards against a request that takes its targets away in silence and is never withheld: it ended at its
/// deadline before anything showed a loss.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_targets_fall_silent_until_its_deadline_is_never_withheld() {
    let away = CrashPoint::Silent(Duration::from_millis(4_500));
    assert_withheld(231, away, Repetition::new(2_000, 10_000)).await;
}

/// Guards against the same where the caller leaves long before the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_callers_leave_while_its_targets_are_silent_is_never_withheld() {
    let away = CrashPoint::Silent(Duration::from_millis(4_500));
    assert_withheld(232, away, Repetition::new(1_500, 700)).await;
}

/// Guards against a request that takes its targets away and is cleared by its answers: some came whole
/// from targets that ended right after.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cleared_by_answers_that_their_targets_did_not_survive() {
    let away = CrashPoint::SilentByTurns(Duration::from_millis(4_500));
    assert_withheld(249, away, Repetition::new(2_000, 10_000)).await;
}

/// Asserts that a part of prompts which stops the machines of engines is withheld in time.
async fn assert_part_withheld(net: u8, point: CrashPoint) {
    let (program, folder) = place(net);
    let world = World::start_sized(program, &folder, net, Size::with_many_groups(4)).await;
    world.targets.set_crash_point(point);
    world.targets.set_fatal_part(FATAL_PART);
    let fatal = |number: usize| {
        let own = format!("fatal-{number}");
        let model = ["small", "large"][number % 2];
        let request = stream(&own).model(model).body(&own);
        request.prompt_parts(&["first", FATAL_PART, &own])
    };
    repeat(&world, Repetition::new(1_000, 10_000), fatal).await;
    let runs = world.targets.ledger.runs_of_part(FATAL_PART);
    let later = later(&runs, PART_KNOWN_AFTER);
    println!("{point:?}: {} runs, {later} of them late", runs.len());
    assert!(later <= MOST_LATER, "{} runs, {later} late", runs.len());
}

/// Guards against a part of prompts that stops machines in silence, which no single request repeats.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_prompts_whose_targets_fall_silent_is_never_withheld() {
    let point = CrashPoint::Silent(Duration::from_millis(4_500));
    assert_part_withheld(233, point).await;
}

/// Guards against the same where the machines never come back, so that only their entries lapse.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_of_prompts_whose_targets_are_gone_for_good_is_never_withheld() {
    assert_part_withheld(235, CrashPoint::Gone).await;
}

/// Guards against verdicts on sound requests whose targets stand still, or whose links hang, beyond the
/// patience of their callers: silence alone proves nothing.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_withheld_because_sound_targets_were_silent() {
    let world = world(234, 3).await;
    let all: Vec<usize> = (0..world.targets.links.len()).collect();
    for round in 0..6 {
        world.targets.pause_only(&all);
        let calls = (0..24).map(|number| {
            let address = world.daemons[number % 3].caller_address();
            let request = match number % 2 {
                0 => CallerRequest::new(format!("read-{round}-{number}"), "POST", "/read/x")
                    .body("same"),
                _ => stream(&format!("stream-{round}-{number}")).prompt_parts(&["first", "own"]),
            };
            let patience = Duration::from_millis(600);
            tokio::spawn(async move { drop(timeout(patience, call(address, &request)).await) })
        });
        for call in calls.collect::<Vec<_>>() {
            drop(call.await);
        }
        sleep(600).await;
        world.targets.pause_only(&[]);
        sleep(1_300).await;
    }
    for daemon in 0..3 {
        let got = ask(&world, daemon, read(&format!("after-{daemon}"))).await;
        assert_eq!(got.status, 200);
        for event in ["ev=request_withheld", "ev=lost_in_silence"] {
            let lines = world.log_lines(daemon, event);
            assert_eq!(lines, Vec::<String>::new());
        }
    }
}
