//! Services that rank their callers: who is served when there is too little capacity, who decides
//! that, and when refused callers return.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::world::World;

use crate::support::{Timed, ask, send_through, sleep, stream, world};

/// The daemons in the data centre of the targets, of four.
const NEAR: [usize; 2] = [0, 2];
/// The daemons in the other data centre.
const FAR: [usize; 2] = [1, 3];
const DAEMONS: u8 = 4;
/// Requests per second of each kind. A group of four slots begins about 25 within the objective of
/// the most urgent kind.
const RATE: u32 = 40;
/// Longest time that a caller waits before it returns: a third of its deadline, with a margin for
/// the time of its first attempt.
const MAX_RETRY_AFTER: f64 = 1.2;
/// Time in which a catalog is in force at all daemons.
const PROPAGATION_TIME: u64 = 2_500;
/// Metric of the questions to owners about ranked requests.
const ASKED: &str = "thistlesill_edge_messages_sent_total{kind=\"place_ranked\"}";
/// Metric of the requests that were admitted because they can be in time.
const IN_TIME: &str = "thistlesill_edge_decisions_total{decision=\"in_time\",ground=\"none\"} 3";
/// Maximum time of a refusal; the wait for an owner that does not answer is 15 ms.
const IMMEDIATE: Duration = Duration::from_millis(150);

/// Starts a deployment whose service ranks its callers.
async fn ranked_world(net: u8) -> World {
    let mut world = world(net, DAEMONS).await;
    world.rank_callers(2, &["k1"]);
    sleep(PROPAGATION_TIME).await;
    world
}

/// Builds a request that no other caller sends: its body is its own.
fn unique(id: &str, path: &str) -> CallerRequest {
    CallerRequest::new(id, "POST", path).model("large").body(id)
}

fn urgent(id: &str) -> CallerRequest {
    unique(id, "/urgent/s")
}

fn later(id: &str) -> CallerRequest {
    unique(id, "/later/s")
}

fn served(all: &[Timed]) -> f64 {
    let served = all.iter().filter(|(got, _)| got.status == 200).count();
    served as f64 / all.len().max(1) as f64
}

/// Returns the values of a field in the log lines of requests to a route.
fn values(world: &World, daemon: usize, route: &str, field: &str) -> Vec<String> {
    let lines = world.log_lines(daemon, &format!(" route={route} "));
    let lines = lines.iter().filter(|line| line.contains(" ev=request "));
    let value = |line: &String| {
        let rest = line.split(&format!(" {field}=")).nth(1)?;
        rest.split(' ').next().map(ToOwned::to_owned)
    };
    lines.filter_map(value).collect()
}

/// Returns the key of a caller in the last log line of its request.
fn caller(world: &World, daemon: usize, id: &str) -> Option<String> {
    let lines = world.log_lines(daemon, &format!("ev=request id={id} "));
    let (_, rest) = lines.last()?.split_once(" caller=")?;
    rest.split(' ').next().map(ToOwned::to_owned)
}

/// Returns whether a daemon has a metric, given with its labels.
async fn has_metric(world: &World, daemon: usize, metric: &str) -> bool {
    let address = world.daemons[daemon].metrics_address();
    let got = call(address, &CallerRequest::new("metrics", "GET", "/metrics")).await;
    let text = got.expect("the metrics are served").body;
    text.contains(metric)
}

/// Returns the priorities that a target received for a request.
fn received_priorities(world: &World, id: &str) -> Vec<Option<u8>> {
    let runs = world.targets.ledger.runs(id);
    runs.iter().map(|run| run.priority).collect()
}

/// Guards against kinds that reach the engines with equal priorities, and against changes to
/// services whose routes have equal priorities.
#[tokio::test(flavor = "multi_thread")]
async fn only_services_with_routes_of_different_priorities_rank_their_callers() {
    let mut world = world(201, DAEMONS).await;
    sleep(2_000).await;
    for daemon in NEAR {
        let id = format!("equal-{daemon}");
        assert_eq!(ask(&world, daemon, stream(&id)).await.status, 200);
        assert_eq!(received_priorities(&world, &id), [Some(1)]);
        assert!(!has_metric(&world, daemon, ASKED).await, "{daemon}");
    }
    world.rank_callers(2, &["k1"]);
    sleep(PROPAGATION_TIME).await;
    let mut asked = 0;
    for daemon in NEAR {
        for (kind, priority) in [("urgent", 3), ("large", 4), ("later", 5)] {
            let id = format!("{kind}-{daemon}");
            let request = unique(&id, &format!("/{kind}/s"));
            assert_eq!(ask(&world, daemon, request).await.status, 200);
            assert_eq!(received_priorities(&world, &id), [Some(priority)], "{id}");
        }
        assert!(has_metric(&world, daemon, IN_TIME).await, "{daemon}");
        asked += usize::from(has_metric(&world, daemon, ASKED).await);
    }
    // One of the two owns the scope.
    assert_eq!(asked, 1);
    sleep(300).await;
    let decisions: Vec<String> = NEAR
        .iter()
        .flat_map(|daemon| values(&world, *daemon, "urgent", "decision"))
        .collect();
    assert_eq!(decisions, ["in_time", "in_time"]);
}

/// Guards against requests with long objectives that fill the groups so that none with a short one
/// can be in time.
#[tokio::test(flavor = "multi_thread")]
async fn a_kind_with_a_long_objective_displaces_a_more_urgent_one() {
    let world = ranked_world(202).await;
    let time = Duration::from_secs(6);
    let (urgent, later) = tokio::join!(
        send_through(&world, &NEAR, RATE, time, urgent),
        send_through(&world, &NEAR, RATE, time, later),
    );
    let (urgent, later) = (served(&urgent), served(&later));
    assert!(
        urgent + 0.05 >= later,
        "{urgent:.2} urgent, {later:.2} later"
    );
    // The less urgent kind keeps a quarter of its requests, and the urgent one is not served less.
    assert!(urgent >= 0.25, "{urgent:.2} urgent");
    assert!(later > 0.0, "the less urgent kind gets nothing");
}

/// Sends the request of a refused caller again with another id, to another daemon.
async fn return_to(world: &World, daemon: usize, id: String, after: f64) -> CallerAnswer {
    tokio::time::sleep(Duration::from_secs_f64(after)).await;
    let request = CallerRequest {
        id: format!("{id}-again"),
        ..urgent(&id)
    };
    ask(world, daemon, request).await
}

/// Sends 40 urgent requests at once, and those that are refused with a booked time again to a
/// daemon at that time. Returns the refused callers with their retry times, and the answers to those
/// that returned.
async fn refuse_and_return(
    world: &World,
    daemon: usize,
) -> (Vec<(String, f64)>, Vec<CallerAnswer>) {
    sleep(2_000).await;
    let ids: Vec<String> = (0..40).map(|n| format!("caller-{n}")).collect();
    let first = ids.iter().map(|id| ask(world, NEAR[0], urgent(id)));
    let first = futures_util::future::join_all(first).await;
    let refused = ids.into_iter().zip(first).filter(|(_, a)| a.status == 503);
    let refused: Vec<(String, f64)> = refused
        .filter_map(|(id, answer)| Some((id, answer.retry_after()?)))
        .collect();
    let on_time = refused
        .iter()
        .filter(|(_, after)| *after <= MAX_RETRY_AFTER);
    let again = on_time.map(|(id, after)| return_to(world, daemon, id.clone(), *after));
    let again = futures_util::future::join_all(again).await;
    (refused, again)
}

/// Returns the daemon that owns the scope of a data centre, of the daemons there.
async fn find_owner(world: &World, daemons: &[usize]) -> usize {
    for daemon in daemons {
        ask(world, *daemon, urgent(&format!("find-{daemon}"))).await;
    }
    sleep(300).await;
    let owns = |daemon: &&usize| values(world, **daemon, "urgent", "placed") == ["itself"];
    let owners: Vec<&usize> = daemons.iter().filter(owns).collect();
    assert_eq!(owners.len(), 1, "{owners:?}");
    *owners[0]
}

/// Guards against equal retry times: callers that return together are refused again.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_return_together_and_are_refused_again() {
    let world = ranked_world(203).await;
    let time = Duration::from_secs(6);
    let load = send_through(&world, &NEAR, 2 * RATE, time, later);
    let (_, (refused, again)) = tokio::join!(load, refuse_and_return(&world, NEAR[1]));
    let times: BTreeSet<u64> = refused.iter().map(|(_, s)| (s * 1e3) as u64).collect();
    assert!(times.len() >= 3, "{refused:?}");
    assert!(again.len() >= 2, "{refused:?}");
    let statuses: Vec<u16> = again.iter().map(|answer| answer.status).collect();
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    // Without a common key, the log does not tell which attempts are one caller's.
    sleep(300).await;
    for (id, _) in refused
        .iter()
        .filter(|(_, after)| *after <= MAX_RETRY_AFTER)
    {
        let first = caller(&world, NEAR[0], id);
        assert!(first.is_some(), "{id}");
        assert_eq!(first, caller(&world, NEAR[1], &format!("{id}-again")));
    }
}

/// Guards against owners that do not report refused callers: a retry in another data centre counts
/// as a new request, and its booking is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_booked_caller_that_returns_in_another_data_centre_counts_as_new() {
    let world = ranked_world(205).await;
    // The owner, since a daemon that gets no answer from it decides by its own table.
    let far = find_owner(&world, &FAR).await;
    let time = Duration::from_secs(6);
    let load = send_through(&world, &NEAR, 2 * RATE, time, later);
    let (_, (refused, again)) = tokio::join!(load, refuse_and_return(&world, far));
    assert!(again.len() >= 2, "{refused:?}");
    sleep(300).await;
    let standings = values(&world, far, "urgent", "return");
    assert_eq!(standings, vec!["kept"; again.len()], "{refused:?}");
    let statuses: Vec<u16> = again.iter().map(|answer| answer.status).collect();
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

/// Guards against peers that wait for an owner that froze under load instead of deciding by their
/// own tables.
#[tokio::test(flavor = "multi_thread")]
async fn requests_wait_for_the_decisions_of_an_owner_that_froze() {
    let world = ranked_world(204).await;
    let owner = find_owner(&world, &NEAR).await;
    let other = NEAR[0] + NEAR[1] - owner;
    let before = send_through(&world, &[other], RATE, Duration::from_secs(1), urgent).await;
    let frozen_at = Instant::now();
    world.daemons[owner].signal(Signal::SIGSTOP);
    let during = send_through(&world, &[other], RATE, Duration::from_secs(2), urgent).await;
    assert!(frozen_at.elapsed() < Duration::from_secs(4));
    world.daemons[owner].signal(Signal::SIGCONT);
    for (got, took) in before.iter().chain(&during) {
        assert!(matches!(got.status, 200 | 503), "{got:?}");
        assert!(
            got.status == 200 || *took < IMMEDIATE,
            "refused after {took:?}"
        );
    }
    assert!(
        served(&during) >= 0.5 * served(&before),
        "{}",
        served(&during)
    );
    sleep(300).await;
    let lines = world.log_lines(other, " placed=alone ");
    let decided = lines.iter().filter(|line| line.contains(" decision="));
    assert!(decided.count() >= 2, "{lines:?}");
}
