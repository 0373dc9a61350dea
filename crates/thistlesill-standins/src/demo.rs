//! The demo: both deployments as separate processes on loopback, an
//! operator's edits, callers' requests, and what was measured.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use thistlesill_standins::harness::{Caller, ChatAnswer, Deployment, Kind, Options};
use thistlesill_standins::words;

/// Requests sent at a time, per deployment.
const CALLERS: usize = 40;
/// Requests of each caller.
const EACH: usize = 8;
/// Tokens of each answer.
const TOKENS: u32 = 32;
/// How soon an edit must be in force on every router.
const EDIT_LIMIT: Duration = Duration::from_secs(3);

/// One deployment of the demo.
struct Show {
    name: &'static str,
    model: &'static str,
    service: &'static str,
    customers: [&'static str; 3],
    servers: usize,
}

const SHOWS: [Show; 2] = [
    Show {
        name: "association",
        model: "minutes-70b",
        service: "portal",
        customers: ["lowell", "nashua", "keene"],
        servers: 18,
    },
    Show {
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
        for show in &SHOWS {
            faults.extend(play(show).await);
        }
        faults
    });
    if faults.is_empty() {
        println!("\nall answers whole, nothing run twice");
        return ExitCode::SUCCESS;
    }
    for fault in faults {
        eprintln!("demo: {fault}");
    }
    ExitCode::FAILURE
}

async fn play(show: &Show) -> Vec<String> {
    println!("\n== {} ==", show.name);
    let begun = Instant::now();
    let mut deployment = Deployment::start(Options::deployed(show.name)).await;
    deployment.put_settings();
    let formed = deployment
        .wait_servers(show.servers, Duration::from_secs(25))
        .await;
    println!("groups formed in {:.1} s", begun.elapsed().as_secs_f64());
    println!("{}", deployment.cli(&["groups"]).1);
    let mut faults = Vec::new();
    if !formed {
        faults.push(format!("{}: not all groups formed", show.name));
        return faults;
    }
    faults.extend(single_requests(&deployment, show).await);
    faults.extend(under_load(&deployment, show).await);
    println!("{}", deployment.cli(&["status"]).1);
    faults.extend(check_counts(&deployment, show).await);
    faults.extend(stop(&mut deployment, show).await);
    faults
}

fn customer(show: &Show, n: usize) -> &'static str {
    show.customers[n % show.customers.len()]
}

/// One request of each sort, shown in full.
async fn single_requests(deployment: &Deployment, show: &Show) -> Vec<String> {
    let mut faults = Vec::new();
    let caller = deployment.caller(0, customer(show, 0));
    match caller.get("/v1/models").await {
        Ok(models) => println!("models: {}", models["data"]),
        Err(error) => faults.push(format!("models: {error:?}")),
    }
    let prompt = format!("A first question to {}", show.name);
    for kind in [Kind::Streamed, Kind::Whole] {
        let result = caller.chat(kind, show.model, &prompt, TOKENS).await;
        match result {
            Ok(answer) if answer.text == words::answer(&prompt, TOKENS) => {
                println!("{kind:?}: {}", answer.text);
                if kind == Kind::Streamed {
                    show_request(deployment, show, &answer);
                }
            }
            other => faults.push(format!("{kind:?}: {other:?}")),
        }
    }
    faults.extend(keyed_call(deployment, show).await);
    faults
}

/// The same keyed call through two routers: it must run once.
async fn keyed_call(deployment: &Deployment, show: &Show) -> Vec<String> {
    let key = format!("{}-demo-1", show.name);
    let call = async |router: usize| {
        let caller: Caller = deployment.caller(router, customer(show, 0));
        let caller = caller.with_header("idempotency-key", &key);
        caller.plain(show.service, "records", "{\"bunk\": 7}").await
    };
    let first = call(0).await;
    let limit = Duration::from_secs(3);
    let mut second = None;
    let same = deployment
        .until(limit, async || {
            // The outcome is recorded a moment after the answer.
            second = call(1).await.ok();
            second.is_some()
        })
        .await;
    let runs = deployment.counts().await.map(|c| c.targets.runs);
    let ran = runs.ok().and_then(|r| r.get(&key).copied());
    println!("keyed call twice, through two routers: ran {ran:?} times");
    match first {
        Ok(text) if same && Some(&text) == second.as_ref() && ran == Some(1) => Vec::new(),
        other => vec![format!(
            "keyed call: {other:?}, then {second:?}, ran {ran:?}"
        )],
    }
}

fn show_request(deployment: &Deployment, show: &Show, answer: &ChatAnswer) {
    println!("first token after {} ms", answer.first.as_millis());
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
    let picture = dir.join(format!("{}.svg", show.name));
    let picture = picture.display().to_string();
    print!(
        "{}",
        deployment
            .cli(&["timeline", "--last", "40", "--svg", &picture])
            .1
    );
}

/// Many callers at a time, and an edit of the settings amid them.
async fn under_load(deployment: &Deployment, show: &Show) -> Vec<String> {
    let mut callers = Vec::new();
    for n in 0..CALLERS {
        let caller = deployment.caller(n % 3, customer(show, n));
        callers.push(tokio::spawn(ask_many(caller, show.model, n)));
    }
    let mut faults = Vec::new();
    let revision = deployment.edit_settings(|tree| {
        if let Some(root) = tree.branches.get_mut("/") {
            root.first_token_ms = Some(1_100);
        }
    });
    let accepted = Instant::now();
    let in_force = deployment.wait_revision(revision, EDIT_LIMIT).await;
    println!(
        "edit in force on every router {} ms after it was accepted, under load",
        accepted.elapsed().as_millis()
    );
    if !in_force {
        faults.push(format!("{}: the edit was not in force in 3 s", show.name));
    }
    let mut firsts = Histogram::<u64>::new(3).expect("a sound histogram");
    let mut whole = 0;
    for caller in callers {
        for result in caller.await.unwrap_or_default() {
            match result {
                Ok(answer) => {
                    whole += 1;
                    firsts
                        .record(answer.first.as_millis() as u64)
                        .expect("it resizes");
                }
                Err(fault) => faults.push(fault),
            }
        }
    }
    println!(
        "{whole} of {} answers whole; first token p50 {} ms, p95 {} ms",
        CALLERS * EACH,
        firsts.value_at_quantile(0.5),
        firsts.value_at_quantile(0.95)
    );
    faults
}

async fn ask_many(
    caller: Caller,
    model: &'static str,
    n: usize,
) -> Vec<Result<ChatAnswer, String>> {
    let mut results = Vec::new();
    for turn in 0..EACH {
        let prompt = format!("caller {n} asks for the {turn}th time");
        let result = caller.chat(Kind::Streamed, model, &prompt, TOKENS).await;
        results.push(match result {
            Ok(answer) if answer.text == words::answer(&prompt, TOKENS) => Ok(answer),
            other => Err(format!("{prompt}: {other:?}")),
        });
    }
    results
}

async fn check_counts(deployment: &Deployment, show: &Show) -> Vec<String> {
    let Ok(counts) = deployment.counts().await else {
        return vec![format!("{}: no counts", show.name)];
    };
    let doubled = counts.targets.runs.values().filter(|n| **n > 1).count();
    println!(
        "at the targets: {} runs, {doubled} doubled, {} tokens of incomplete groups; \
         at the table: {} transactions, {} reads",
        counts.targets.runs.len(),
        counts.targets.incomplete_tokens,
        counts.transactions,
        counts.reads
    );
    if doubled > 0 || counts.targets.incomplete_tokens > 0 {
        return vec![format!("{}: {counts:?}", show.name)];
    }
    Vec::new()
}

async fn stop(deployment: &mut Deployment, show: &Show) -> Vec<String> {
    let (routers, planners) = deployment.sizes();
    let mut faults = Vec::new();
    for n in 0..routers {
        deployment.router(n).stop();
    }
    for n in 0..planners {
        deployment.planner(n).stop();
    }
    let limit = Duration::from_secs(8);
    for n in 0..routers {
        if !deployment.router(n).ended(limit).await {
            faults.push(format!("{}: router {n} did not end well", show.name));
        }
    }
    for n in 0..planners {
        if !deployment.planner(n).ended(limit).await {
            faults.push(format!("{}: planner {n} did not end well", show.name));
        }
    }
    faults
}
