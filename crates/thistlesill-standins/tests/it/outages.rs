//! The platform's table down, slow or losing answers.

use std::time::Duration;

use thistlesill_core::ErrorKind;
use thistlesill_core::error::Ran;
use thistlesill_standins::faults::{Fault, TableMode};
use thistlesill_standins::harness::Kind;
use thistlesill_standins::words;

use crate::support::{MODEL, SERVERS, SOON, serving};

#[tokio::test]
async fn serving_goes_on_and_keyed_requests_are_refused_as_not_run() {
    let deployment = serving().await;
    deployment.fault(&Fault::Table(TableMode::Down)).await;
    // Longer than a lease.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let caller = deployment.caller(0, "lowell");
    let answer = caller.chat(Kind::Streamed, MODEL, "outage", 20).await;
    assert_eq!(answer.expect("an answer").text, words::answer("outage", 20));
    let keyed = caller.clone().with_header("idempotency-key", "k");
    let error = keyed.plain("booking", "bunks", "{}").await;
    let error = error.expect_err("refused");
    let answer = error.answer().expect("an answer");
    assert_eq!(answer.body.error.code, ErrorKind::ClaimDown);
    assert_eq!(answer.body.error.ran, Ran::No);
    assert!(answer.body.error.retry_after_ms.is_some());
    let counts = deployment.counts().await.expect("counts");
    assert!(!counts.targets.runs.contains_key("k"));
    deployment.fault(&Fault::Table(TableMode::Up)).await;
    let limit = Duration::from_secs(10);
    let served = deployment
        .until(limit, async || {
            keyed.plain("booking", "bunks", "{}").await.is_ok()
        })
        .await;
    assert!(served, "the key is free when the table is back");
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.runs["k"], 1);
}

#[tokio::test]
async fn lost_answers_lose_nothing_and_double_nothing() {
    let deployment = serving().await;
    deployment
        .fault(&Fault::Table(TableMode::LoseAnswers))
        .await;
    for n in 0..8 {
        let key = format!("lost-{n}");
        let caller = deployment.caller(n % 2, "lowell");
        let caller = caller.with_header("idempotency-key", &key);
        caller
            .plain("booking", "bunks", "{}")
            .await
            .expect("served");
        let again = caller.plain("booking", "bunks", "{}").await;
        if let Err(error) = again {
            let code = error.answer().map(|a| a.body.error.code);
            assert_eq!(code, Some(ErrorKind::KeyHeld));
        }
        let counts = deployment.counts().await.expect("counts");
        assert_eq!(counts.targets.runs[&key], 1);
    }
}

#[tokio::test]
async fn accepted_settings_spread_and_stay_while_the_table_is_down() {
    let mut deployment = serving().await;
    let revision = deployment.edit_settings(|tree| {
        let root = tree.branches.get_mut("/").expect("a root");
        root.slots = Some(12);
    });
    // Down as soon as one daemon has it: the others hear it from that one.
    let limit = Duration::from_secs(3);
    let heard = deployment
        .until(limit, async || {
            let status = deployment.router_status(0).await;
            status.is_ok_and(|s| s.revision == revision)
        })
        .await;
    deployment.fault(&Fault::Table(TableMode::Down)).await;
    assert!(heard);
    assert!(
        deployment.wait_revision(revision, limit).await,
        "in force everywhere"
    );
    deployment.router(1).kill();
    deployment.start_router(1);
    let again = deployment
        .until(Duration::from_secs(10), async || {
            let status = deployment.router_status(1).await;
            status.is_ok_and(|s| s.revision == revision && s.servers == SERVERS)
        })
        .await;
    assert!(
        again,
        "a daemon that starts in the outage learns it from a peer"
    );
    let caller = deployment.caller(1, "lowell");
    let answer = caller.chat(Kind::Whole, MODEL, "x", 5).await;
    assert_eq!(answer.expect("an answer").text, words::answer("x", 5));
}

#[tokio::test]
async fn frozen_holder_is_replaced_and_harmless_when_it_returns() {
    let mut deployment = serving().await;
    let (_, planners) = deployment.sizes();
    let mut holder = None;
    for n in 0..planners {
        let status: Result<thistlesill_policy::planner::PlannerStatus, _> = deployment
            .admin_get(thistlesill_core::config::Role::Planner, n, "/admin/status")
            .await;
        if status.is_ok_and(|s| !s.holds.is_empty()) {
            holder = Some(n);
        }
    }
    let holder = holder.expect("a holder");
    deployment.planner(holder).freeze();
    let fault = Fault::Kill {
        instance: "d-00".into(),
    };
    deployment.fault(&fault).await;
    assert!(
        deployment.wait_servers(SERVERS - 1, SOON).await,
        "the group is gone"
    );
    assert!(
        deployment.wait_servers(SERVERS, SOON).await,
        "the other planner repairs it"
    );
    deployment.planner(holder).thaw();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        deployment
            .wait_servers(SERVERS, Duration::from_secs(1))
            .await
    );
    let caller = deployment.caller(0, "lowell");
    let answer = caller.chat(Kind::Streamed, MODEL, "y", 20).await;
    assert_eq!(answer.expect("an answer").text, words::answer("y", 20));
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.incomplete_tokens, 0);
}

#[tokio::test]
async fn leaving_target_gets_nothing_after_three_seconds() {
    let deployment = serving().await;
    let leave = Fault::Leave {
        instance: "d-00".into(),
        leaving: true,
    };
    deployment.fault(&leave).await;
    let begun = std::time::Instant::now();
    let mut n = 0_usize;
    while begun.elapsed() < Duration::from_secs(6) {
        let caller = deployment.caller(n % 2, "lowell");
        caller
            .chat(Kind::Whole, MODEL, &format!("q{n}"), 2)
            .await
            .expect("an answer");
        n += 1;
    }
    let counts = deployment.counts().await.expect("counts");
    let late: Vec<u64> = counts
        .targets
        .after_leaving
        .into_iter()
        .filter(|ms| *ms > 3_000)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    assert_eq!(counts.targets.cut, 0);
}
