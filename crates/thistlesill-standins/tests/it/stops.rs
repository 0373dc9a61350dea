//! Tests that planned stops and changes of version cut off no request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use thistlesill_core::ErrorKind;
use thistlesill_net::http::read_body;
use thistlesill_standins::harness::{AnswerMode, Caller, CallerError, Deployment};
use thistlesill_standins::words;

use crate::support::{MODEL, SERVERS, WAIT_TIMEOUT, serving, serving_with, small_fleet};

/// Length of an answer that exceeds all buffers of a connection.
const LONG_ANSWER_BYTES: usize = 16 << 20;

/// Callers behind a load balancer: each request goes to a router whose health check passes; a
/// request that a router refused as not run, or that could not be sent, goes to another router.
struct BalancedCallers {
    stop: Arc<AtomicBool>,
    complete: Arc<AtomicUsize>,
    tasks: Vec<tokio::task::JoinHandle<Vec<String>>>,
}

impl BalancedCallers {
    fn start(deployment: &Deployment, count: usize) -> Self {
        let (routers, _) = deployment.daemon_counts();
        let stop = Arc::new(AtomicBool::new(false));
        let complete = Arc::new(AtomicUsize::new(0));
        let tasks = (0..count).map(|n| {
            let callers: Vec<Caller> = (0..routers)
                .map(|r| deployment.caller((n + r) % routers, "lowell"))
                .collect();
            let (stop, complete) = (stop.clone(), complete.clone());
            tokio::spawn(async move { send_until_stopped(&callers, n, &stop, &complete).await })
        });
        Self {
            tasks: tasks.collect(),
            stop,
            complete,
        }
    }

    /// Stops the callers and returns the number of complete answers, and a description of each
    /// request without one.
    async fn finish(self) -> (usize, Vec<String>) {
        self.stop.store(true, Ordering::Relaxed);
        let mut faults = Vec::new();
        for task in self.tasks {
            faults.extend(task.await.expect("a caller"));
        }
        (self.complete.load(Ordering::Relaxed), faults)
    }
}

async fn send_until_stopped(
    callers: &[Caller],
    n: usize,
    stop: &AtomicBool,
    complete: &AtomicUsize,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("crowd {n} {turn}");
        turn += 1;
        match send(callers, turn, &prompt).await {
            Ok(text) if text == words::answer(&prompt, 60) => {
                complete.fetch_add(1, Ordering::Relaxed);
            }
            other => faults.push(format!("{prompt}: {other:?}")),
        }
    }
    faults
}

/// Sends a request until an answer other than "not run" comes, for at most 200 tries.
async fn send(callers: &[Caller], turn: usize, prompt: &str) -> Result<String, CallerError> {
    let mut tries = 0;
    loop {
        let caller = &callers[(turn + tries) % callers.len()];
        tries += 1;
        let healthy = caller.get("/healthz").await.is_ok();
        if !healthy && tries < 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        match caller.chat(AnswerMode::Streamed, MODEL, prompt, 60).await {
            Err(error) if not_run(&error) && tries < 200 => {}
            other => return other.map(|a| a.text),
        }
    }
}

/// Returns whether an error proves that the request did not run.
fn not_run(error: &CallerError) -> bool {
    match error {
        CallerError::Answered(answer) => answer.body.error.code == ErrorKind::NotReady,
        CallerError::Connection(thistlesill_net::http::HttpError::Unsent { .. }) => true,
        _ => false,
    }
}

#[tokio::test]
async fn rolling_replacement_of_all_daemons_cuts_nothing() {
    let mut options = small_fleet();
    options.routers = 3;
    options.planners = 3;
    let mut deployment = serving_with(options).await;
    let callers = BalancedCallers::start(&deployment, 8);
    for n in 0..3 {
        deployment.router(n).stop();
        assert!(
            deployment.router(n).wait_for_exit(WAIT_TIMEOUT).await,
            "router {n} exits successfully"
        );
        deployment.start_router(n);
        assert!(deployment.wait_servers(SERVERS, WAIT_TIMEOUT).await);
    }
    for n in 0..3 {
        deployment.planner(n).stop();
        assert!(
            deployment.planner(n).wait_for_exit(WAIT_TIMEOUT).await,
            "planner {n} exits successfully"
        );
        deployment.start_planner(n);
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    let (complete, faults) = callers.finish().await;
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(complete > 20, "{complete}");
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.cut, 0);
    let run_twice = counts.targets.runs.values().filter(|n| **n > 1).count();
    assert_eq!(run_twice, 0);
    assert!(deployment.wait_servers(SERVERS, WAIT_TIMEOUT).await);
}

/// Guards against a router that exits once all targets have answered: a slow caller has not yet
/// read all bytes of its answer by then.
#[tokio::test]
async fn a_stopping_router_ends_after_its_callers_have_read_their_answers() {
    let mut options = small_fleet();
    options.limits.body_bytes = 2 * LONG_ANSWER_BYTES;
    let mut deployment = serving_with(options).await;
    let caller = deployment.caller(0, "lowell");
    let caller = caller.with_header("idempotency-key", "long");
    let body = "a".repeat(LONG_ANSWER_BYTES);
    let answer = caller.post("/services/booking/bunks", body).await;
    let answer = answer.expect("the head of an answer");
    deployment.router(0).stop();
    // Much longer than `balancer_ms`, after which the router has no active request.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let read = read_body(answer.into_body()).await;
    let bytes = read.expect("the complete answer").len();
    assert!(bytes > LONG_ANSWER_BYTES, "{bytes}");
    assert!(
        deployment.router(0).wait_for_exit(WAIT_TIMEOUT).await,
        "the router exits"
    );
}

#[tokio::test]
async fn changed_version_under_streams_cuts_nothing() {
    let deployment = serving().await;
    let callers = BalancedCallers::start(&deployment, 6);
    deployment.edit_settings(|tree| {
        let root = tree.branches.get_mut("/").expect("a root");
        root.version = Some("2".into());
    });
    let all_new = deployment
        .wait_until(Duration::from_secs(40), async || {
            let (_, text) = deployment.cli(&["--json", "groups"]);
            let halls: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
            let groups = halls[0]["groups"].as_array().cloned().unwrap_or_default();
            let new =
                |g: &serde_json::Value| g["load"]["version"] == "2" && g["state"] == "serving";
            groups.len() == 2 && groups.iter().all(new)
        })
        .await;
    let (complete, faults) = callers.finish().await;
    assert!(all_new, "both groups run the new version");
    assert!(faults.is_empty(), "{faults:#?}");
    assert!(complete > 10, "{complete}");
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.cut, 0);
}
