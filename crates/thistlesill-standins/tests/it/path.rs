//! Tests of the path from caller to engine: answers are complete and no request runs twice, also
//! when members, routers or streams are lost.

use std::time::Duration;

use thistlesill_core::ErrorKind;
use thistlesill_core::error::Ran;
use thistlesill_standins::faults::Fault;
use thistlesill_standins::harness::{AnswerMode, CallerError, Deployment};
use thistlesill_standins::words;

use crate::support::{MODEL, SERVERS, WAIT_TIMEOUT, serving};

/// Returns the group in an event id.
fn group_of(last_id: &str) -> String {
    last_id.split('/').nth(1).unwrap_or_default().to_owned()
}

/// Returns the members of a group, as the operators' client lists them.
fn members(deployment: &Deployment, group: &str) -> Vec<String> {
    let (code, text) = deployment.cli(&["--json", "explain", "group", group]);
    assert_eq!(code, 0, "{text}");
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let list = value["members"].as_array().expect("members").clone();
    list.iter()
        .filter_map(|m| m.as_str().map(str::to_owned))
        .collect()
}

#[tokio::test]
async fn streamed_whole_models_and_plain() {
    let deployment = serving().await;
    let caller = deployment.caller(0, "lowell");
    for mode in [AnswerMode::Streamed, AnswerMode::Complete] {
        let answer = caller
            .chat(mode, MODEL, "hello", 20)
            .await
            .expect("an answer");
        assert_eq!(answer.text, words::answer("hello", 20));
    }
    let models = caller.get("/v1/models").await.expect("models");
    assert_eq!(models["data"][0]["id"], MODEL);
    let keyed = caller.clone().with_header("idempotency-key", "k1");
    let first = keyed
        .plain("booking", "bunks/7", "{}")
        .await
        .expect("an answer");
    assert!(first.contains("\"path\":\"/bunks/7\""), "{first}");
    let refused = caller.plain("booking", "bunks/7", "{}").await;
    let refused = refused.expect_err("a key is required");
    let answer = refused.answer().expect("an answer");
    assert_eq!(answer.body.error.code, ErrorKind::KeyRequired);
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.runs["k1"], 1);
}

#[tokio::test]
async fn wrong_token_and_wrong_model() {
    let deployment = serving().await;
    let unauthorized = deployment.caller(0, "nobody");
    let error = unauthorized.chat(AnswerMode::Complete, MODEL, "x", 1).await;
    let error = error.expect_err("refused");
    assert_eq!(error.answer().map(|a| a.status), Some(401));
    let caller = deployment.caller(0, "lowell");
    let error = caller.chat(AnswerMode::Streamed, "zz", "x", 1).await;
    let error = error.expect_err("refused");
    assert_eq!(error.answer().map(|a| a.status), Some(404));
    assert_eq!(error.answer().map(|a| a.body.error.ran), Some(Ran::No));
}

#[tokio::test]
async fn member_killed_under_a_stream_and_continued_elsewhere() {
    let deployment = serving().await;
    let mut streams = Vec::new();
    for n in 0..6 {
        let caller = deployment.caller(n % 2, "lowell");
        streams.push(tokio::spawn(async move {
            let prompt = format!("long {n}");
            let answer = caller.chat(AnswerMode::Streamed, MODEL, &prompt, 200).await;
            (prompt, answer)
        }));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let fault = Fault::Kill {
        instance: "d-00".into(),
    };
    deployment.inject(&fault).await;
    for stream in streams {
        let (prompt, answer) = stream.await.expect("a caller");
        let answer = answer.expect("a complete answer");
        assert_eq!(answer.text, words::answer(&prompt, 200));
        assert_eq!(answer.pieces, 200, "no piece is lost or repeated");
    }
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.incomplete_tokens, 0);
    assert!(
        deployment.wait_servers(SERVERS, WAIT_TIMEOUT).await,
        "the spare completed the group"
    );
}

#[tokio::test]
async fn caller_resumes_through_another_router() {
    let mut deployment = serving().await;
    let caller = deployment.caller(0, "lowell");
    let call = tokio::spawn(async move {
        caller
            .chat(AnswerMode::Streamed, MODEL, "resume", 150)
            .await
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    deployment.router(0).kill();
    let error = call
        .await
        .expect("a caller")
        .expect_err("the router was killed");
    let CallerError::Incomplete(part) = error else {
        panic!("{error:?}");
    };
    assert!(part.pieces > 0 && part.pieces < 150, "{part:?}");
    let other = deployment.caller(1, "lowell");
    let other = other.with_header("last-event-id", &part.last_id);
    let rest = other.chat(AnswerMode::Streamed, MODEL, "resume", 150).await;
    let rest = rest.expect("the rest");
    let joined = part.text.clone() + &rest.text;
    assert_eq!(joined, words::answer("resume", 150));
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(
        counts.targets.runs[&part.request], 1,
        "the request ran once"
    );
}

#[tokio::test]
async fn resuming_what_is_gone_is_told_truly() {
    let deployment = serving().await;
    let caller = deployment.caller(0, "lowell");
    let answer = caller.chat(AnswerMode::Streamed, MODEL, "x", 5).await;
    let id = answer
        .expect("an answer")
        .last_id
        .replacen("/h-", "/gone-", 1);
    let resuming = caller.with_header("last-event-id", &id);
    let error = resuming.chat(AnswerMode::Streamed, MODEL, "x", 5).await;
    let error = error.expect_err("no such group");
    let answer = error.answer().expect("an answer");
    assert_eq!(answer.body.error.code, ErrorKind::StreamLost);
    assert_eq!(answer.body.error.ran, Ran::Unknown);
}

#[tokio::test]
async fn member_paused_stalls_and_the_group_is_replaced() {
    let deployment = serving().await;
    let caller = deployment.caller(0, "lowell");
    let answer = caller.chat(AnswerMode::Streamed, MODEL, "x", 5).await;
    let group = group_of(&answer.expect("an answer").last_id);
    let member = members(&deployment, &group)[2].clone();
    let call =
        tokio::spawn(async move { caller.chat(AnswerMode::Streamed, MODEL, "pause", 100).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    let instance = thistlesill_core::InstanceId::from(member);
    deployment
        .inject(&Fault::Pause {
            instance: instance.clone(),
        })
        .await;
    let answer = call.await.expect("a caller").expect("a complete answer");
    assert_eq!(answer.text, words::answer("pause", 100));
    deployment.inject(&Fault::Continue { instance }).await;
    assert!(deployment.wait_servers(SERVERS, WAIT_TIMEOUT).await);
    let counts = deployment.counts().await.expect("counts");
    assert_eq!(counts.targets.incomplete_tokens, 0);
}

#[tokio::test]
async fn same_key_through_two_routers_at_once() {
    let deployment = serving().await;
    for round in 0..5 {
        let key = format!("race-{round}");
        let mut calls = Vec::new();
        for router in [0, 1, 0, 1] {
            let caller = deployment.caller(router, "lowell");
            let caller = caller.with_header("idempotency-key", &key);
            calls.push(tokio::spawn(async move {
                caller.plain("booking", "bunks?hold_ms=100", "{}").await
            }));
        }
        let mut answered = 0;
        for call in calls {
            match call.await.expect("a caller") {
                Ok(_) => answered += 1,
                Err(error) => {
                    let answer = error.answer().expect("an answer");
                    assert_eq!(answer.body.error.code, ErrorKind::KeyHeld);
                }
            }
        }
        assert!(answered >= 1);
        let counts = deployment.counts().await.expect("counts");
        assert_eq!(counts.targets.runs[&key], 1);
    }
}
