//! Tests with the table down or losing answers, a suspended planner, and a leaving target.

use std::time::Duration;

use thistlesill_core::ErrorKind;
use thistlesill_core::error::Ran;
use thistlesill_standins::faults::{Fault, TableMode};
use thistlesill_standins::harness::AnswerMode;
use thistlesill_standins::words;

use crate::support::{MODEL, SERVERS, WAIT_TIMEOUT, serving};

#[tokio::test]
async fn serving_goes_on_and_keyed_requests_are_refused_as_not_run() {
    let deployment = serving().await;
    deployment.inject(&Fault::Table(TableMode::Down)).await;
    // Longer than the lease length of 2.5 s.
    tokio::time::sleep(Duration::from_secs(4)).await;
    let caller = deployment.caller(0, "lowell");
    let answer = caller.chat(AnswerMode::Streamed, MODEL, "outage", 20).await;
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
    deployment.inject(&Fault::Table(TableMode::Up)).await;
    let limit = Duration::from_secs(10);
    let served = deployment
        .wait_until(limit, async || {
            keyed.plain("booking", "bunks", "{}").await.is_ok()
        })
        .await;
    assert!(served, "the key is free once the table answers again");
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.runs["k"], 1);
}

#[tokio::test]
async fn lost_answers_lose_nothing_and_double_nothing() {
    let deployment = serving().await;
    deployment
        .inject(&Fault::Table(TableMode::LoseAnswers))
        .await;
    for n in 0..8 {
        let key = format!("lost-{n}");
        let caller = deployment.caller(n % 2, "lowell");
        let caller = caller.with_header("idempotency-key", &key);
        caller
            .plain("booking", "bunks", "{}")
            .await
            .expect("served");
        let repeated = caller.plain("booking", "bunks", "{}").await;
        if let Err(error) = repeated {
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
    // The table goes down once one daemon has the revision, so the others get it from that peer.
    let limit = Duration::from_secs(3);
    let first_applied = deployment
        .wait_until(limit, async || {
            let status = deployment.router_status(0).await;
            status.is_ok_and(|s| s.revision == revision)
        })
        .await;
    deployment.inject(&Fault::Table(TableMode::Down)).await;
    assert!(first_applied);
    assert!(
        deployment.wait_revision(revision, limit).await,
        "in force everywhere"
    );
    deployment.router(1).kill();
    deployment.start_router(1);
    let restarted = deployment
        .wait_until(Duration::from_secs(10), async || {
            let status = deployment.router_status(1).await;
            status.is_ok_and(|s| s.revision == revision && s.servers == SERVERS)
        })
        .await;
    assert!(
        restarted,
        "a daemon that starts during the outage gets the settings from a peer"
    );
    let caller = deployment.caller(1, "lowell");
    let answer = caller.chat(AnswerMode::Complete, MODEL, "x", 5).await;
    assert_eq!(answer.expect("an answer").text, words::answer("x", 5));
}

#[tokio::test]
async fn frozen_holder_is_replaced_and_harmless_when_it_returns() {
    let mut deployment = serving().await;
    let (_, planners) = deployment.daemon_counts();
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
    deployment.planner(holder).suspend();
    let fault = Fault::Kill {
        instance: "d-00".into(),
    };
    deployment.inject(&fault).await;
    assert!(
        deployment.wait_servers(SERVERS - 1, WAIT_TIMEOUT).await,
        "the group has ended"
    );
    assert!(
        deployment.wait_servers(SERVERS, WAIT_TIMEOUT).await,
        "the other planner replaces the group"
    );
    deployment.planner(holder).resume();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(
        deployment
            .wait_servers(SERVERS, Duration::from_secs(1))
            .await
    );
    let caller = deployment.caller(0, "lowell");
    let answer = caller.chat(AnswerMode::Streamed, MODEL, "y", 20).await;
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
    deployment.inject(&leave).await;
    let begun = std::time::Instant::now();
    let mut n = 0_usize;
    while begun.elapsed() < Duration::from_secs(6) {
        let caller = deployment.caller(n % 2, "lowell");
        caller
            .chat(AnswerMode::Complete, MODEL, &format!("q{n}"), 2)
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
