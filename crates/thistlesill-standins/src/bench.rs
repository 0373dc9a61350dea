//! Measures the daemons as processes on loopback: what control costs by the
//! number of targets, and what the router adds to a call of an engine.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use thistlesill_core::config::Role;
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::{DomainSpec, EngineOptions, FleetFile, HallSpec};
use thistlesill_net::engine::{Engines, StreamCall, StreamEvent, StreamOperation};
use thistlesill_policy::serving::{Server, ServerList};
use thistlesill_replay::slopes::{Point, Slope, format_line};
use thistlesill_standins::harness::{Deployment, Kind, Options};

/// How long control is measured at each size.
const CONTROL_TIME: Duration = Duration::from_secs(8);
/// Requests of each measurement of the data path.
const REQUESTS: usize = 800;
/// Requests under way at a time.
const CALLERS: usize = 8;
/// Tokens of a stream that is held open.
const HELD_TOKENS: u32 = 4_000;
/// Time for groups to form.
const FORMED: Duration = Duration::from_secs(60);
/// Members of a group.
const MEMBERS: u32 = 4;
/// The model of the bench.
const MODEL: &str = "minutes-70b";

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        control().await;
        data().await;
    });
}

fn options(instances: u32) -> Options {
    let mut options = Options::deployed("association");
    options.fleet = FleetFile {
        halls: vec![HallSpec {
            hall: "concord".into(),
            domains: vec![DomainSpec {
                domain: "concord-a".into(),
                generation: "old".into(),
                instances,
                accelerators: 4,
            }],
            services: Vec::new(),
        }],
        engine: EngineOptions {
            token_ms: 1,
            prefill_ms: 1,
            slots: 64,
            load_ms: 50,
            ..options.fleet.engine
        },
        ..options.fleet
    };
    let root = options.tree.branches.get_mut("/").expect("a root");
    root.slots = Some(64);
    root.spares = Some(0);
    root.loads = Some(64);
    options
}

/// What one daemon used during a measurement.
struct Use {
    percent: f64,
    resident_mb: f64,
    sent: f64,
    received: f64,
}

async fn control() {
    let sizes = [16_u32, 48, 96];
    let mut planner = Vec::new();
    let mut router = Vec::new();
    for size in sizes {
        let deployment = Deployment::start(options(size)).await;
        deployment.put_settings();
        let groups = (size / MEMBERS) as usize;
        assert!(
            deployment.wait_servers(groups, FORMED).await,
            "groups formed"
        );
        planner.push(measure(&deployment, Role::Planner).await);
        router.push(measure(&deployment, Role::Router).await);
    }
    println!("control of one daemon, three planners that watch all targets, three routers");
    for (name, list) in [("planner", &planner), ("router", &router)] {
        show(name, "% of a core", &sizes, list, |u| u.percent);
        show(name, "MB", &sizes, list, |u| u.resident_mb);
        show(name, "bytes/s sent", &sizes, list, |u| u.sent);
        show(name, "bytes/s received", &sizes, list, |u| u.received);
    }
}

fn show(
    name: &'static str,
    unit: &'static str,
    sizes: &[u32],
    list: &[Use],
    cost: impl Fn(&Use) -> f64,
) {
    let points = sizes.iter().zip(list).map(|(size, used)| Point {
        size: f64::from(*size),
        cost: cost(used),
    });
    let slope = Slope {
        name,
        per: "target",
        unit,
        points: points.collect(),
    };
    print!("{}", format_line(&slope));
}

async fn measure(deployment: &Deployment, role: Role) -> Use {
    let counted = async |d: &Deployment, name: &str| counter(&d.metrics(role, 0).await, name);
    let sent = counted(deployment, "thistlesill_peer_sent_bytes_total").await;
    let received = counted(deployment, "thistlesill_peer_received_bytes_total").await;
    let before = deployment.processor_time(role, 0);
    let begun = Instant::now();
    tokio::time::sleep(CONTROL_TIME).await;
    let seconds = begun.elapsed().as_secs_f64();
    let used = deployment.processor_time(role, 0).saturating_sub(before);
    let sent_after = counted(deployment, "thistlesill_peer_sent_bytes_total").await;
    let received_after = counted(deployment, "thistlesill_peer_received_bytes_total").await;
    let resident = deployment.resident_kb(role, 0);
    Use {
        percent: used.as_secs_f64() * 100.0 / seconds,
        resident_mb: resident as f64 / 1_024.0,
        sent: (sent_after - sent) / seconds,
        received: (received_after - received) / seconds,
    }
}

fn counter(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.split_whitespace().last());
    value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

async fn data() {
    let deployment = Deployment::start(options(16)).await;
    deployment.put_settings();
    assert!(deployment.wait_servers(4, FORMED).await, "groups formed");
    let roster: ServerList = deployment
        .admin_get(Role::Router, 0, "/admin/groups")
        .await
        .expect("the router's groups");
    let mut cost = Vec::new();
    println!("\n{REQUESTS} streamed requests, {CALLERS} at a time");
    for tokens in [1_u32, 8, 32] {
        let direct = direct(&roster.servers, tokens).await;
        let before = deployment.processor_time(Role::Router, 0);
        let routed = routed(&deployment, tokens).await;
        let used = deployment
            .processor_time(Role::Router, 0)
            .saturating_sub(before);
        let each = used.as_secs_f64() * 1e6 / REQUESTS as f64;
        println!(
            "{tokens:>3} tokens: first token direct p50 {:>5} p95 {:>5} us, routed p50 {:>5} p95 {:>5} us, \
             added {:.0} us; rate routed/direct {:.2}; router {each:.0} us of processor per request, \
             {:.0} requests/s per core",
            direct.first.value_at_quantile(0.5),
            direct.first.value_at_quantile(0.95),
            routed.first.value_at_quantile(0.5),
            routed.first.value_at_quantile(0.95),
            routed.first.value_at_quantile(0.5) as f64 - direct.first.value_at_quantile(0.5) as f64,
            routed.rate / direct.rate,
            1e6 / each,
        );
        cost.push(Point {
            size: f64::from(tokens),
            cost: each,
        });
    }
    let slope = Slope {
        name: "router: request",
        per: "piece",
        unit: "us",
        points: cost,
    };
    print!("{}", format_line(&slope));
    memory(&deployment).await;
}

/// Memory by the number of streams under way.
async fn memory(deployment: &Deployment) {
    let mut points = Vec::new();
    for streams in [10_usize, 80, 160] {
        let callers = (0..streams).map(|n| {
            let caller = deployment.caller(0, "lowell");
            tokio::spawn(async move {
                let prompt = format!("held {n}");
                drop(
                    caller
                        .chat(Kind::Streamed, MODEL, &prompt, HELD_TOKENS)
                        .await,
                );
            })
        });
        let callers: Vec<_> = callers.collect();
        let limit = Duration::from_secs(10);
        let under_way = async |wanted: usize| {
            let status = deployment.router_status(0).await;
            status.is_ok_and(|s| s.under_way == wanted && s.waiting == 0)
        };
        let all = deployment.until(limit, async || under_way(streams).await);
        assert!(all.await, "all streams are under way");
        let ended = deployment.until(limit, async || under_way(0).await);
        let resident = deployment.resident_kb(Role::Router, 0);
        points.push(Point {
            size: streams as f64,
            cost: resident as f64,
        });
        for caller in callers {
            caller.abort();
        }
        assert!(ended.await, "the streams end when their callers are gone");
    }
    let slope = Slope {
        name: "router: memory",
        per: "stream under way",
        unit: "KB",
        points,
    };
    print!("{}", format_line(&slope));
}

/// A run of the data path.
struct Run {
    first: Histogram<u64>,
    rate: f64,
}

/// Spreads the requests over the callers and gathers their first tokens.
async fn crowd<F>(ask: F) -> Run
where
    F: AsyncFn(usize) -> Option<Duration> + Clone + 'static,
{
    let begun = Instant::now();
    let local = tokio::task::LocalSet::new();
    let first = local
        .run_until(async {
            let tasks = (0..CALLERS).map(|caller| {
                let ask = ask.clone();
                tokio::task::spawn_local(async move {
                    let mut firsts = Vec::new();
                    for n in 0..REQUESTS / CALLERS {
                        firsts.extend(ask(caller + n * CALLERS).await);
                    }
                    firsts
                })
            });
            let mut first = Histogram::<u64>::new(3).expect("a sound histogram");
            for task in tasks.collect::<Vec<_>>() {
                for took in task.await.unwrap_or_default() {
                    first.record(took.as_micros() as u64).expect("it resizes");
                }
            }
            first
        })
        .await;
    assert!(
        first.len() as usize >= REQUESTS / CALLERS * CALLERS,
        "all answered whole"
    );
    Run {
        rate: first.len() as f64 / begun.elapsed().as_secs_f64(),
        first,
    }
}

async fn direct(servers: &[Server], tokens: u32) -> Run {
    let engines = Engines::new(thistlesill_core::seal::SharedKey::new(
        b"unused by streams".as_slice(),
    ));
    let servers = servers.to_vec();
    crowd(async move |n| {
        let server = &servers[n % servers.len()];
        let body = format!(
            r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"bench {n}"}}],"max_tokens":{tokens},"stream":true}}"#
        );
        let call = StreamCall {
            address: server.address,
            request: RequestId::new(n as u128 + 1_000_000 * u128::from(tokens)),
            group: server.key.group.clone(),
            epoch: server.key.epoch,
            priority: 5,
            adapter: None,
            time_left: Millis::new(30_000),
            operation: StreamOperation::Complete {
                path: "/v1/chat/completions",
                body: bytes::Bytes::from(body),
                offset: 0,
            },
            repeatable: true,
        };
        let begun = Instant::now();
        let mut first = None;
        let mut whole = false;
        engines
            .stream(call, |event| {
                first.get_or_insert_with(|| begun.elapsed());
                whole |= matches!(event, StreamEvent::End { .. });
                true
            })
            .await;
        first.filter(|_| whole)
    })
    .await
}

async fn routed(deployment: &Deployment, tokens: u32) -> Run {
    let caller = deployment.caller(0, "lowell").pooled();
    crowd(async move |n| {
        let prompt = format!("bench {n}");
        let answer = caller.chat(Kind::Streamed, MODEL, &prompt, tokens).await;
        answer.ok().map(|a| a.first)
    })
    .await
}
