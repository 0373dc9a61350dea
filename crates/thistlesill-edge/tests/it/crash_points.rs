//! A part of prompts that crashes targets before their daemons got anything of the answer.
//!
//! The fatal requests are lost while their daemons wait for an answer, and the sound streams beside
//! them while their answers start, so evidence that is taken from starting answers alone names the
//! parts of the sound ones:
//!
//! ```text
//! ev=lost_with_target id=fatal-7 target=A answer=waiting parts=first,deadly
//! ev=lost_with_target id=small-91 target=A answer=starting parts=first,other
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::exchange::{Exchange, Exchanges, Patience};
use thistlesill_platform_standin::link::{LinkFault, SEAL_CUT};
use thistlesill_platform_standin::targets::CrashPoint;
use thistlesill_platform_standin::world::{Size, World};
use tokio::task::JoinHandle;

use crate::support::{place, read, stream};

/// The part that crashes targets.
const FATAL_PART: &str = "deadly";
/// The operators' bound: once this many targets have crashed, and a daemon that is connected to the
/// others has had [`IN_TOUCH`], this many more requests with the part may reach targets.
const KNOWN_AFTER: usize = 5;
const MOST_LATER: usize = 3;
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Number of callers of sound requests; each sends one after the other.
const CALLERS: u64 = 48;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// Time between two requests with the fatal part.
const FATAL_INTERVAL: Duration = Duration::from_millis(100);
/// How long callers send sound requests alone, and beside fatal ones.
const ALONE: Duration = Duration::from_secs(4);
const BESIDE: Duration = Duration::from_secs(18);
/// Length of a standstill, and time to the next one.
const STANDSTILL: Duration = Duration::from_millis(1_200);
const REST: Duration = Duration::from_millis(1_300);

/// What targets do beside the crashes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    /// They go on.
    Nothing,
    /// Most of them stand still now and then, while the configuration changes.
    Standstills,
}

/// What callers and targets saw of sound requests and of those with the fatal part.
struct Outcome {
    /// Runs of requests with the fatal part.
    runs: usize,
    /// Those that the operators' bound limits.
    later: usize,
    /// Share of the sound streams that were served before the first crash.
    before: f64,
    /// Share of those that were sent once the part must be known.
    beside: f64,
    /// Verdicts on the parts of sound requests, over all daemons.
    sound_verdicts: usize,
}

/// Starts callers of sound requests, a third of them plain ones.
fn start_callers(world: &World, exchanges: &Exchanges) -> Vec<JoinHandle<()>> {
    let daemons: Vec<_> = world.daemons.iter().map(Daemon::caller_address).collect();
    let numbers = Arc::new(AtomicU64::new(0));
    let start = |caller: u64| {
        let (daemons, numbers) = (daemons.clone(), numbers.clone());
        let mut turn = caller as usize;
        let draw = move || {
            turn += 1;
            daemons[turn % daemons.len()]
        };
        let next = move || {
            let number = numbers.fetch_add(1, Ordering::Relaxed);
            (sound_request(number), CALLER_PAUSE)
        };
        tokio::spawn(exchanges.clone().run_caller(draw, next, Patience::AsTold))
    };
    (0..CALLERS).map(start).collect()
}

fn sound_request(number: u64) -> CallerRequest {
    let own = format!("own-{number}");
    let model = match number % 3 {
        0 => return read(&format!("read-{number}")),
        1 => "small",
        _ => "large",
    };
    let request = stream(&format!("{model}-{number}")).model(model);
    request.body(&own).prompt_parts(&["first", "other", &own])
}

/// Sends requests with the fatal part, no two alike, to all daemons in turn. Never returns.
async fn send_fatal(daemons: Vec<std::net::SocketAddr>) {
    let mut ticks = tokio::time::interval(FATAL_INTERVAL);
    for number in 0_usize.. {
        ticks.tick().await;
        let address = daemons[number % daemons.len()];
        let model = if number.is_multiple_of(2) {
            "small"
        } else {
            "large"
        };
        let own = format!("fatal-{number}");
        let request = stream(&own).model(model).body(&own);
        let request = request.prompt_parts(&["first", FATAL_PART, &own]);
        // The answer does not matter, only the targets that ran the request.
        tokio::spawn(async move { drop(call(address, &request).await) });
    }
}

/// Makes most targets stand still now and then, and changes the configuration. Never returns.
async fn stand_still(world: &World) {
    for round in 0_u64.. {
        world.set_catalog(2 + round, &["k1", "k2"]);
        let stands = |place: &usize| round.is_multiple_of(2) || !place.is_multiple_of(3);
        let places: Vec<usize> = (0..world.engine_count()).filter(stands).collect();
        world.targets.pause_only(&places);
        tokio::time::sleep(STANDSTILL).await;
        world.targets.pause_only(&[]);
        tokio::time::sleep(REST).await;
    }
}

fn share_served<'a>(exchanges: impl Iterator<Item = &'a Exchange>) -> f64 {
    let streams: Vec<&Exchange> = exchanges.filter(|e| e.request.model.is_some()).collect();
    let is_served = |e: &&&Exchange| {
        let answer = e.answer.as_ref();
        answer.is_some_and(|answer| answer.status == 200 && answer.is_complete)
    };
    streams.iter().filter(is_served).count() as f64 / streams.len().max(1) as f64
}

fn sound_verdicts(world: &World) -> usize {
    let lines = (0..world.daemons.len()).flat_map(|d| world.log_lines(d, "ev=request_withheld"));
    let is_sound = |line: &String| line.contains("part=first") || line.contains("part=other");
    lines.filter(is_sound).count()
}

/// Sends sound requests, alone at first and then beside fatal ones.
async fn observe(net: u8, point: CrashPoint, beside: Beside) -> Outcome {
    let (program, folder) = place(net);
    let world = World::start_sized(program, &folder, net, Size::with_many_groups(8)).await;
    world.targets.set_crash_point(point);
    world.targets.set_fatal_part(FATAL_PART);
    let exchanges = Exchanges::default();
    let callers = start_callers(&world, &exchanges);
    tokio::time::sleep(ALONE).await;
    let first_fatal = Instant::now();
    let daemons = world.daemons.iter().map(Daemon::caller_address).collect();
    let others = async {
        match beside {
            Beside::Nothing => std::future::pending().await,
            Beside::Standstills => stand_still(&world).await,
        }
    };
    tokio::select! {
        () = send_fatal(daemons) => {}
        () = others => {}
        () = tokio::time::sleep(BESIDE) => {}
    }
    world.targets.pause_only(&[]);
    callers.iter().for_each(JoinHandle::abort);
    let runs = world.targets.ledger.runs_of_part(FATAL_PART);
    let mut begun: Vec<Instant> = runs.iter().map(|run| run.started_at).collect();
    begun.sort_unstable();
    let known = begun.get(KNOWN_AFTER - 1).or(begun.last());
    let known = known.map_or(first_fatal, |at| *at + IN_TOUCH);
    let all = exchanges.take();
    let before = all.iter().filter(|e| e.sent_at < first_fatal);
    let after = all.iter().filter(|e| e.sent_at > known + IN_TOUCH);
    let outcome = Outcome {
        runs: runs.len(),
        later: begun.iter().filter(|at| **at > known).count(),
        before: share_served(before),
        beside: share_served(after),
        sound_verdicts: sound_verdicts(&world),
    };
    println!("{point:?}, {beside:?}: {outcome}");
    outcome
}

impl Outcome {
    fn assert_allowed(&self) {
        assert!(self.later <= MOST_LATER, "{self}");
        assert!(self.beside >= self.before / 2.0, "{self}");
    }
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (runs, later, verdicts) = (self.runs, self.later, self.sound_verdicts);
        write!(f, "{runs} runs, {later} of them late; ")?;
        write!(f, "{:.2} of the sound streams served before, ", self.before)?;
        write!(f, "{:.2} beside, {verdicts} verdicts on them", self.beside)
    }
}

/// Crashes the engines of one domain after the other, all at once and one by one in turn. Between
/// that, engines stand still, and live ones lose connections and answers.
async fn lose_targets(world: &World) {
    for domain in 0..3 {
        for engine in 8 * domain..8 * domain + 8 {
            world.targets.crash(&format!("i-{engine:03}"));
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        for engine in 8 * domain..8 * domain + 8 {
            world.targets.crash(&format!("i-{engine:03}"));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        let others: Vec<usize> = (0..world.engine_count())
            .filter(|p| p / 8 != domain)
            .collect();
        world.targets.pause_only(&others);
        tokio::time::sleep(STANDSTILL).await;
        world.targets.pause_only(&[]);
        for place in others {
            world.targets.links[place].set_fault(LinkFault::Reset);
            tokio::time::sleep(Duration::from_millis(60)).await;
            world.targets.links[place].set_fault(LinkFault::None);
        }
        set_engine_faults(world, LinkFault::CutAfter(SEAL_CUT));
        tokio::time::sleep(Duration::from_millis(700)).await;
        set_engine_faults(world, LinkFault::None);
    }
}

fn set_engine_faults(world: &World, fault: LinkFault) {
    for link in &world.targets.links[..world.engine_count()] {
        link.set_fault(fault);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_sound_requests_share_is_withheld_while_targets_are_lost_for_other_reasons() {
    let (program, folder) = place(224);
    let world = World::start_sized(program, &folder, 224, Size::with_many_groups(8)).await;
    let exchanges = Exchanges::default();
    let callers = start_callers(&world, &exchanges);
    lose_targets(&world).await;
    callers.iter().for_each(JoinHandle::abort);
    let served = share_served(exchanges.take().iter());
    let verdicts = sound_verdicts(&world);
    println!("{verdicts} verdicts, {served:.2} served");
    assert_eq!(verdicts, 0);
}

/// The processes of the engines are gone as soon as their daemon has lost them.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_crashes_further_targets_until_gone_ones_were_asked() {
    let (program, folder) = place(227);
    let world = World::start_sized(program, &folder, 227, Size::with_many_groups(1)).await;
    world.targets.set_crash_point(CrashPoint::BeforeHead);
    world.targets.set_fatal_part(FATAL_PART);
    let mut number = 0;
    let first = loop {
        let own = format!("fatal-{number}");
        let request = stream(&own).model("small").body(&own);
        let request = request.prompt_parts(&[FATAL_PART, &own]);
        drop(call(world.daemons[0].caller_address(), &request).await);
        tokio::time::sleep(FATAL_INTERVAL).await;
        let verdicts = world.log_lines(0, "ev=request_withheld");
        if let Some(first) = verdicts.first() {
            break first.clone();
        }
        number += 1;
        assert!(number < 100, "the part is never withheld");
    };
    let from = "from=\"crashes of lost targets\"";
    assert!(first.contains(from), "{first}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_targets_before_the_answers_head_is_never_withheld() {
    let outcome = observe(221, CrashPoint::BeforeHead, Beside::Nothing).await;
    outcome.assert_allowed();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_targets_before_or_after_the_answers_head_is_withheld_too_late() {
    let outcome = observe(222, CrashPoint::ByTurns, Beside::Nothing).await;
    outcome.assert_allowed();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_targets_which_stood_still_is_withheld_too_late() {
    let outcome = observe(223, CrashPoint::ByTurns, Beside::Standstills).await;
    outcome.assert_allowed();
}
