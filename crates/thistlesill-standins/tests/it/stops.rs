//! Planned stops cut off no request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use thistlesill_core::ErrorKind;
use thistlesill_net::http::read_body;
use thistlesill_standins::harness::{Caller, CallerError, Deployment, Kind};
use thistlesill_standins::words;

use crate::support::{MODEL, SERVERS, SOON, serving, serving_with, small};

/// Bytes of an answer that fits into no buffers of a connection.
const LONG_ANSWER: usize = 16 << 20;

/// Callers behind a balancer: each request goes to a router whose health
/// check passes; a request that a router refused as not run, or that could
/// not be sent, goes to another one.
struct Crowd {
    stop: Arc<AtomicBool>,
    whole: Arc<AtomicUsize>,
    tasks: Vec<tokio::task::JoinHandle<Vec<String>>>,
}

impl Crowd {
    fn start(deployment: &Deployment, count: usize) -> Self {
        let (routers, _) = deployment.sizes();
        let stop = Arc::new(AtomicBool::new(false));
        let whole = Arc::new(AtomicUsize::new(0));
        let tasks = (0..count).map(|n| {
            let callers: Vec<Caller> = (0..routers)
                .map(|r| deployment.caller((n + r) % routers, "lowell"))
                .collect();
            let (stop, whole) = (stop.clone(), whole.clone());
            tokio::spawn(async move { ask_until(&callers, n, &stop, &whole).await })
        });
        Self {
            tasks: tasks.collect(),
            stop,
            whole,
        }
    }

    /// Ends the crowd; returns the requests that were not answered whole.
    async fn end(self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let mut faults = Vec::new();
        for task in self.tasks {
            faults.extend(task.await.expect("a caller"));
        }
        (self.whole.load(Ordering::Relaxed), faults)
    }
}

async fn ask_until(
    callers: &[Caller],
    n: usize,
    stop: &AtomicBool,
    whole: &AtomicUsize,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("crowd {n} {turn}");
        turn += 1;
        match ask(callers, turn, &prompt).await {
            Ok(text) if text == words::answer(&prompt, 60) => {
                whole.fetch_add(1, Ordering::Relaxed);
            }
            other => faults.push(format!("{prompt}: {other:?}")),
        }
    }
    faults
}

async fn ask(callers: &[Caller], turn: usize, prompt: &str) -> Result<String, CallerError> {
    let mut tries = 0;
    loop {
        let caller = &callers[(turn + tries) % callers.len()];
        tries += 1;
        let healthy = caller.get("/healthz").await.is_ok();
        if !healthy && tries < 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        match caller.chat(Kind::Streamed, MODEL, prompt, 60).await {
            Err(error) if not_run(&error) && tries < 200 => {}
            other => return other.map(|a| a.text),
        }
    }
}

/// Whether a request provably did not run.
fn not_run(error: &CallerError) -> bool {
    match error {
        CallerError::Answered(answer) => answer.body.error.code == ErrorKind::NotReady,
        CallerError::Lost(thistlesill_net::http::HttpError::Unsent { .. }) => true,
        _ => false,
    }
}

#[tokio::test]
async fn rolling_replacement_of_all_daemons_cuts_nothing() {
    let mut options = small();
    options.routers = 3;
    options.planners = 3;
    let mut deployment = serving_with(options).await;
    let crowd = Crowd::start(&deployment, 8);
    for n in 0..3 {
        deployment.router(n).stop();
        assert!(
            deployment.router(n).ended(SOON).await,
            "router {n} ends well"
        );
        deployment.start_router(n);
        assert!(deployment.wait_servers(SERVERS, SOON).await);
    }
    for n in 0..3 {
        deployment.planner(n).stop();
        assert!(
            deployment.planner(n).ended(SOON).await,
            "planner {n} ends well"
        );
        deployment.start_planner(n);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let (whole, faults) = crowd.end().await;
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(whole > 20, "{whole}");
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.cut, 0);
    let doubled = counts.targets.runs.values().filter(|n| **n > 1).count();
    assert_eq!(doubled, 0);
    assert!(deployment.wait_servers(SERVERS, SOON).await);
}

/// A caller may be slow to read: a router that has had all answers from its
/// targets still has bytes of them that no caller has.
#[tokio::test]
async fn a_stopping_router_ends_after_its_callers_have_read_their_answers() {
    let mut options = small();
    options.limits.body_bytes = 2 * LONG_ANSWER;
    let mut deployment = serving_with(options).await;
    let caller = deployment.caller(0, "lowell");
    let caller = caller.with_header("idempotency-key", "long");
    let body = "a".repeat(LONG_ANSWER);
    let answer = caller.post("/services/booking/bunks", body).await;
    let answer = answer.expect("an answer's head");
    deployment.router(0).stop();
    // Much longer than the balancer's time, after which the router is idle.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let read = read_body(answer.into_body()).await;
    let bytes = read.expect("the whole answer").len();
    assert!(bytes > LONG_ANSWER, "{bytes}");
    assert!(deployment.router(0).ended(SOON).await, "the router ends");
}

#[tokio::test]
async fn changed_version_under_streams_cuts_nothing() {
    let deployment = serving().await;
    let crowd = Crowd::start(&deployment, 6);
    deployment.edit_settings(|tree| {
        let root = tree.branches.get_mut("/").expect("a root");
        root.version = Some("2".into());
    });
    let all_new = deployment
        .until(Duration::from_secs(40), async || {
            let (_, text) = deployment.cli(&["--json", "groups"]);
            let halls: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            let groups = halls[0]["groups"].as_array().cloned().unwrap_or_default();
            let new =
                |g: &serde_json::Value| g["load"]["version"] == "2" && g["state"] == "serving";
            groups.len() == 2 && groups.iter().all(new)
        })
        .await;
    let (whole, faults) = crowd.end().await;
    assert!(all_new, "both groups run the new version");
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(whole > 10, "{whole}");
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.cut, 0);
}
