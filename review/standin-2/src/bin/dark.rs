//! A request that crashes each server that begins to run it, where the crash is silent: the machine
//! stops without a reset of its channels, and is back after some seconds.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::ledger::Run;
use thistlesill_platform_standin::world::World;
use thistlesill_review_2::{Case, program};

const DAEMONS: u8 = 3;
/// Time for which a crashed server is away: `for_s` of `srv_crash` with `dark` in the site file.
const DOWN: Duration = Duration::from_millis(4_500);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Crashes after which the rule counts, and the retries that it allows after that.
const CRASHES: usize = 3;
const ALLOWED: usize = 3;
/// Time between two repetitions of the request, and their number.
const GAP: Duration = Duration::from_millis(5_000);
const REPETITIONS: usize = 15;
/// Body of the request that crashes its servers.
const BODY: &str = "crashes its server";

#[tokio::main]
async fn main() {
    let case = Case::from_args();
    let world = World::start(&program(), &case.folder, 243, DAEMONS).await;
    let (trouble, record) = (case.trouble, case.record.clone());
    let links = world.targets.links.clone();
    let targets = world.targets.clone();
    let ledger = world.targets.ledger.clone();
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let engines = world.engine_count();
    // The machines: one that begins to run the request stops at once, without a word.
    let machines = tokio::spawn(async move {
        let mut crashes: Vec<Instant> = Vec::new();
        let mut seen: HashSet<(String, u128)> = HashSet::new();
        let mut down: Vec<(Instant, usize, String)> = Vec::new();
        let origin = Instant::now();
        while !stopped.load(Ordering::Relaxed) {
            for run in ledger.runs_of_body(BODY) {
                let instance = run.target.instance().as_str().to_owned();
                let at = run.started_at.saturating_duration_since(origin).as_nanos();
                if !seen.insert((instance.clone(), at)) {
                    continue;
                }
                record.line(&format!("server {instance} begins to run the request"));
                let number: usize = instance.trim_start_matches("p-").parse().unwrap_or(0);
                if trouble {
                    links[engines + number].hold(true);
                    record.line(&format!("server {instance} has crashed and is silent"));
                    crashes.push(run.started_at);
                    down.push((Instant::now() + DOWN, engines + number, instance));
                }
            }
            let now = Instant::now();
            for (_, link, instance) in down.extract_if(.., |(until, ..)| *until <= now) {
                links[link].take_down(true);
                targets.restart(&instance);
                tokio::time::sleep(Duration::from_millis(30)).await;
                links[link].hold(false);
                links[link].take_down(false);
                record.line(&format!("server {instance} is back, as a new process"));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        crashes
    });
    let mut calls = Vec::new();
    for number in 0..REPETITIONS {
        let daemon = number % world.daemons.len();
        let address = world.daemons[daemon].caller_address();
        let record = case.record.clone();
        calls.push(tokio::spawn(async move {
            let id = format!("repeat-{number}");
            record.line(&format!("{id} sent to edge-{daemon}"));
            let request = CallerRequest::new(&id, "POST", "/read/x").body(BODY);
            let answer = call(address, &request).await.map(|answer| answer.status);
            record.line(&format!("{id}: {answer:?}"));
        }));
        tokio::time::sleep(GAP).await;
    }
    for call in calls {
        let _ = call.await;
    }
    stop.store(true, Ordering::Relaxed);
    let crashes = machines.await.unwrap_or_default();
    let mut runs: Vec<Run> = world.targets.ledger.runs_of_body(BODY);
    runs.sort_by_key(|run| run.started_at);
    // Only a request that has crashed three servers is bound by the rule.
    let later = crashes.get(CRASHES - 1).map_or(0, |third| {
        let from = *third + CONTACT;
        runs.iter().filter(|run| run.started_at > from).count()
    });
    case.record.line(&format!(
        "the request ran {} times and crashed {} servers; {later} runs began later than {} ms after the \
         third crash",
        runs.len(),
        crashes.len(),
        CONTACT.as_millis()
    ));
    let broken = (!runs.is_empty()).then_some(later > ALLOWED);
    case.end(world, "BUDGET", broken).await;
}
