//! Demo: runs both example deployments as separate processes on loopback, sends requests, edits
//! the settings under load, and prints what was measured.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use thistlesill_standins::harness::{AnswerMode, Caller, ChatAnswer, Deployment, Options};
use thistlesill_standins::words;

/// Concurrent callers of each deployment; each sends one request at a time.
const CALLERS: usize = 40;
/// Requests that each caller sends.
const REQUESTS_PER_CALLER: usize = 8;
/// Length of each answer in tokens.
const TOKENS: u32 = 32;
/// Time within which an accepted edit must be in force on every router.
const EDIT_TIMEOUT: Duration = Duration::from_secs(3);

/// A deployment that the demo runs.
struct Scenario {
    name: &'static str,
    model: &'static str,
    service: &'static str,
    customers: [&'static str; 3],
    servers: usize,
}

const SCENARIOS: [Scenario; 2] = [
    Scenario {
        name: "association",
        model: "minutes-70b",
        service: "portal",
        customers: ["lowell", "nashua", "keene"],
        servers: 18,
    },
    Scenario {
        name: "cascade",
        model: "hut-guide-34b",
        service: "booking",
        customers: ["rangers", "mazamas", "scouts"],
        servers: 21,
    },
];

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let faults = runtime.block_on(async {
        let mut faults = Vec::new();
        for scenario in &SCENARIOS {
            faults.extend(run_scenario(scenario).await);
        }
        faults
    });
    if faults.is_empty() {
        println!("\nall answers complete, no request run twice");
        return ExitCode::SUCCESS;
    }
    for fault in faults {
        eprintln!("demo: {fault}");
    }
    ExitCode::FAILURE
}

async fn run_scenario(scenario: &Scenario) -> Vec<String> {
    println!("\n== {} ==", scenario.name);
    let begun = Instant::now();
    let mut deployment = Deployment::start(Options::from_deploy_dir(scenario.name)).await;
    deployment.put_settings();
    let formed = deployment
        .wait_servers(scenario.servers, Duration::from_secs(25))
        .await;
    println!("groups formed in {:.1} s", begun.elapsed().as_secs_f64());
    println!("{}", deployment.cli(&["groups"]).1);
    let mut faults = Vec::new();
    if !formed {
        faults.push(format!("{}: not all groups formed", scenario.name));
        return faults;
    }
    faults.extend(single_requests(&deployment, scenario).await);
    faults.extend(requests_under_load(&deployment, scenario).await);
    println!("{}", deployment.cli(&["status"]).1);
    faults.extend(check_counts(&deployment, scenario).await);
    faults.extend(stop(&mut deployment, scenario).await);
    faults
}

fn customer(scenario: &Scenario, n: usize) -> &'static str {
    scenario.customers[n % scenario.customers.len()]
}

/// Sends one request of each mode and prints its answer.
async fn single_requests(deployment: &Deployment, scenario: &Scenario) -> Vec<String> {
    let mut faults = Vec::new();
    let caller = deployment.caller(0, customer(scenario, 0));
    match caller.get("/v1/models").await {
        Ok(models) => println!("models: {}", models["data"]),
        Err(error) => faults.push(format!("models: {error:?}")),
    }
    let prompt = format!("A first question to {}", scenario.name);
    for mode in [AnswerMode::Streamed, AnswerMode::Complete] {
        let result = caller.chat(mode, scenario.model, &prompt, TOKENS).await;
        match result {
            Ok(answer) if answer.text == words::answer(&prompt, TOKENS) => {
                println!("{mode:?}: {}", answer.text);
                if mode == AnswerMode::Streamed {
                    print_request(deployment, scenario, &answer);
                }
            }
            other => faults.push(format!("{mode:?}: {other:?}")),
        }
    }
    faults.extend(keyed_call(deployment, scenario).await);
    faults
}

/// Sends the same keyed call through two routers; the call must run once.
async fn keyed_call(deployment: &Deployment, scenario: &Scenario) -> Vec<String> {
    let key = format!("{}-demo-1", scenario.name);
    let call = async |router: usize| {
        let caller: Caller = deployment.caller(router, customer(scenario, 0));
        let caller = caller.with_header("idempotency-key", &key);
        caller
            .plain(scenario.service, "records", "{\"bunk\": 7}")
            .await
    };
    let first = call(0).await;
    let limit = Duration::from_secs(3);
    let mut second = None;
    let answered = deployment
        .wait_until(limit, async || {
            // The outcome is recorded shortly after the answer is sent.
            second = call(1).await.ok();
            second.is_some()
        })
        .await;
    let runs = deployment.counts().await.map(|c| c.targets.runs);
    let run_count = runs.ok().and_then(|r| r.get(&key).copied());
    println!("keyed call twice, through two routers: ran {run_count:?} times");
    match first {
        Ok(text) if answered && Some(&text) == second.as_ref() && run_count == Some(1) => {
            Vec::new()
        }
        other => vec![format!(
            "keyed call: {other:?}, then {second:?}, ran {run_count:?} times"
        )],
    }
}

fn print_request(deployment: &Deployment, scenario: &Scenario, answer: &ChatAnswer) {
    println!("first token after {} ms", answer.first_piece.as_millis());
    println!(
        "{}",
        deployment
            .cli(&["timeline", "--request", &answer.request])
            .1
    );
    println!(
        "{}",
        deployment.cli(&["explain", "request", &answer.request]).1
    );
    let dir = std::path::Path::new("demo-out");
    drop(std::fs::create_dir_all(dir));
    let picture = dir.join(format!("{}.svg", scenario.name));
    let picture = picture.display().to_string();
    print!(
        "{}",
        deployment
            .cli(&["timeline", "--last", "40", "--svg", &picture])
            .1
    );
}

/// Sends requests from many callers at once and edits the settings meanwhile.
async fn requests_under_load(deployment: &Deployment, scenario: &Scenario) -> Vec<String> {
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        let caller = deployment.caller(n % 3, customer(scenario, n));
        callers.push(tokio::spawn(send_many(caller, scenario.model, n)));
    }
    let mut faults = Vec::new();
    let revision = deployment.edit_settings(|tree| {
        if let Some(root) = tree.branches.get_mut("/") {
            root.first_token_ms = Some(1_100);
        }
    });
    let accepted = Instant::now();
    let in_force = deployment.wait_revision(revision, EDIT_TIMEOUT).await;
    println!(
        "edit in force on every router {} ms after it was accepted, under load",
        accepted.elapsed().as_millis()
    );
    if !in_force {
        faults.push(format!(
            "{}: the edit was not in force within 3 s",
            scenario.name
        ));
    }
    let mut first_pieces = Histogram::<u64>::new(3).expect("a valid histogram");
    let mut complete = 0;
    for caller in callers {
        for result in caller.await.unwrap_or_default() {
            match result {
                Ok(answer) => {
                    complete += 1;
                    first_pieces
                        .record(answer.first_piece.as_millis() as u64)
                        .expect("the histogram resizes");
                }
                Err(fault) => faults.push(fault),
            }
        }
    }
    println!(
        "{complete} of {} answers complete; first token p50 {} ms, p95 {} ms",
        CALLERS * REQUESTS_PER_CALLER,
        first_pieces.value_at_quantile(0.5),
        first_pieces.value_at_quantile(0.95)
    );
    faults
}

async fn send_many(
    caller: Caller,
    model: &'static str,
    n: usize,
) -> Vec<Result<ChatAnswer, String>> {
    let mut results = Vec::new();
    for turn in 0..REQUESTS_PER_CALLER {
        let prompt = format!("caller {n} asks for the {turn}th time");
        let result = caller
            .chat(AnswerMode::Streamed, model, &prompt, TOKENS)
            .await;
        results.push(match result {
            Ok(answer) if answer.text == words::answer(&prompt, TOKENS) => Ok(answer),
            other => Err(format!("{prompt}: {other:?}")),
        });
    }
    results
}

/// Checks that no request ran twice and that no incomplete group generated tokens.
async fn check_counts(deployment: &Deployment, scenario: &Scenario) -> Vec<String> {
    let Ok(counts) = deployment.counts().await else {
        return vec![format!("{}: the counts could not be read", scenario.name)];
    };
    let run_twice = counts.targets.runs.values().filter(|n| **n > 1).count();
    println!(
        "at the targets: {} runs, {run_twice} run more than once, {} tokens of incomplete groups; \
         at the table: {} transactions, {} reads",
        counts.targets.runs.len(),
        counts.targets.incomplete_tokens,
        counts.transactions,
        counts.reads
    );
    if run_twice > 0 || counts.targets.incomplete_tokens > 0 {
        return vec![format!("{}: {counts:?}", scenario.name)];
    }
    Vec::new()
}

/// Stops all daemons and checks that each exits successfully.
async fn stop(deployment: &mut Deployment, scenario: &Scenario) -> Vec<String> {
    let (routers, planners) = deployment.daemon_counts();
    let mut faults = Vec::new();
    for n in 0..routers {
        deployment.router(n).stop();
    }
    for n in 0..planners {
        deployment.planner(n).stop();
    }
    let limit = Duration::from_secs(8);
    for n in 0..routers {
        if !deployment.router(n).wait_for_exit(limit).await {
            faults.push(format!(
                "{}: router {n} did not exit successfully in time",
                scenario.name
            ));
        }
    }
    for n in 0..planners {
        if !deployment.planner(n).wait_for_exit(limit).await {
            faults.push(format!(
                "{}: planner {n} did not exit successfully in time",
                scenario.name
            ));
        }
    }
    faults
}
