//! Benchmarks the daemons as separate processes on loopback: the cost of the control plane by
//! number of targets, and the overhead that the router adds to a call of an engine.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use thistlesill_core::config::Role;
use thistlesill_core::{Millis, RequestId};
use thistlesill_fakes::{DomainSpec, EngineOptions, FleetFile, HallSpec};
use thistlesill_net::engine::{Engines, StreamCall, StreamEvent, StreamOperation};
use thistlesill_policy::serving::{Server, ServerList};
use thistlesill_replay::slopes::{Point, Slope, format_line};
use thistlesill_standins::harness::{AnswerMode, Deployment, Options};

/// How long the control plane is measured at each fleet size.
const CONTROL_DURATION: Duration = Duration::from_secs(8);
/// Requests in each measurement of the data path.
const REQUESTS: usize = 800;
/// Concurrent requests in a measurement of the data path.
const CALLERS: usize = 8;
/// Tokens of each stream that stays open while memory is measured.
const OPEN_STREAM_TOKENS: u32 = 4_000;
/// Time within which all groups must have formed.
const FORMATION_TIMEOUT: Duration = Duration::from_secs(60);
/// Instances in a group of the benchmarked model.
const GROUP_MEMBERS: u32 = 4;
/// Model that the deployment `association` serves.
const MODEL: &str = "minutes-70b";

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async {
        measure_control().await;
        measure_data_path().await;
    });
}

fn options(instances: u32) -> Options {
    let mut options = Options::from_deploy_dir("association");
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

/// Resources that one daemon used during a measurement; traffic in bytes per second.
struct DaemonUsage {
    cpu_percent: f64,
    resident_mb: f64,
    sent_rate: f64,
    received_rate: f64,
}

async fn measure_control() {
    let sizes = [16_u32, 48, 96];
    let mut planner = Vec::new();
    let mut router = Vec::new();
    for size in sizes {
        let deployment = Deployment::start(options(size)).await;
        deployment.put_settings();
        let groups = (size / GROUP_MEMBERS) as usize;
        assert!(
            deployment.wait_servers(groups, FORMATION_TIMEOUT).await,
            "groups formed"
        );
        planner.push(measure_daemon(&deployment, Role::Planner).await);
        router.push(measure_daemon(&deployment, Role::Router).await);
    }
    println!("control of one daemon, three planners that watch all targets, three routers");
    for (name, list) in [("planner", &planner), ("router", &router)] {
        print_slope(name, "% of a core", &sizes, list, |u| u.cpu_percent);
        print_slope(name, "MB", &sizes, list, |u| u.resident_mb);
        print_slope(name, "bytes/s sent", &sizes, list, |u| u.sent_rate);
        print_slope(name, "bytes/s received", &sizes, list, |u| u.received_rate);
    }
}

fn print_slope(
    name: &'static str,
    unit: &'static str,
    sizes: &[u32],
    usages: &[DaemonUsage],
    cost: impl Fn(&DaemonUsage) -> f64,
) {
    let points = sizes.iter().zip(usages).map(|(size, usage)| Point {
        size: f64::from(*size),
        cost: cost(usage),
    });
    let slope = Slope {
        name,
        per: "target",
        unit,
        points: points.collect(),
    };
    print!("{}", format_line(&slope));
}

async fn measure_daemon(deployment: &Deployment, role: Role) -> DaemonUsage {
    let read_counter = async |d: &Deployment, name: &str| counter(&d.metrics(role, 0).await, name);
    let sent = read_counter(deployment, "thistlesill_peer_sent_bytes_total").await;
    let received = read_counter(deployment, "thistlesill_peer_received_bytes_total").await;
    let before = deployment.cpu_time(role, 0);
    let begun = Instant::now();
    tokio::time::sleep(CONTROL_DURATION).await;
    let seconds = begun.elapsed().as_secs_f64();
    let used = deployment.cpu_time(role, 0).saturating_sub(before);
    let sent_after = read_counter(deployment, "thistlesill_peer_sent_bytes_total").await;
    let received_after = read_counter(deployment, "thistlesill_peer_received_bytes_total").await;
    let resident = deployment.resident_kb(role, 0);
    DaemonUsage {
        cpu_percent: used.as_secs_f64() * 100.0 / seconds,
        resident_mb: resident as f64 / 1_024.0,
        sent_rate: (sent_after - sent) / seconds,
        received_rate: (received_after - received) / seconds,
    }
}

fn counter(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|l| l.starts_with(name));
    let value = line.and_then(|l| l.split_whitespace().last());
    value.and_then(|v| v.parse().ok()).unwrap_or(0.0)
}

async fn measure_data_path() {
    let deployment = Deployment::start(options(16)).await;
    deployment.put_settings();
    assert!(
        deployment.wait_servers(4, FORMATION_TIMEOUT).await,
        "groups formed"
    );
    let server_list: ServerList = deployment
        .admin_get(Role::Router, 0, "/admin/groups")
        .await
        .expect("the router's groups");
    let mut cost = Vec::new();
    println!("\n{REQUESTS} streamed requests, {CALLERS} at a time");
    for tokens in [1_u32, 8, 32] {
        let direct = measure_direct(&server_list.servers, tokens).await;
        let before = deployment.cpu_time(Role::Router, 0);
        let routed = measure_routed(&deployment, tokens).await;
        let used = deployment.cpu_time(Role::Router, 0).saturating_sub(before);
        let each = used.as_secs_f64() * 1e6 / REQUESTS as f64;
        println!(
            "{tokens:>3} tokens: first token direct p50 {:>5} p95 {:>5} us, routed p50 {:>5} p95 {:>5} us, \
             added {:.0} us; rate routed/direct {:.2}; router {each:.0} us of CPU time per request, \
             {:.0} requests/s per core",
            direct.first_token.value_at_quantile(0.5),
            direct.first_token.value_at_quantile(0.95),
            routed.first_token.value_at_quantile(0.5),
            routed.first_token.value_at_quantile(0.95),
            routed.first_token.value_at_quantile(0.5) as f64
                - direct.first_token.value_at_quantile(0.5) as f64,
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
    measure_memory(&deployment).await;
}

/// Measures the router's memory by the number of open streams.
async fn measure_memory(deployment: &Deployment) {
    let mut points = Vec::new();
    for streams in [10_usize, 80, 160] {
        let callers = (0..streams).map(|n| {
            let caller = deployment.caller(0, "lowell");
            tokio::spawn(async move {
                let prompt = format!("held {n}");
                drop(
                    caller
                        .chat(AnswerMode::Streamed, MODEL, &prompt, OPEN_STREAM_TOKENS)
                        .await,
                );
            })
        });
        let callers: Vec<_> = callers.collect();
        let limit = Duration::from_secs(10);
        let has_streams = async |wanted: usize| {
            let status = deployment.router_status(0).await;
            status.is_ok_and(|s| s.under_way == wanted && s.waiting == 0)
        };
        let all = deployment.wait_until(limit, async || has_streams(streams).await);
        assert!(all.await, "all streams are open");
        let ended = deployment.wait_until(limit, async || has_streams(0).await);
        let resident = deployment.resident_kb(Role::Router, 0);
        points.push(Point {
            size: streams as f64,
            cost: resident as f64,
        });
        for caller in callers {
            caller.abort();
        }
        assert!(ended.await, "the streams end when their callers disconnect");
    }
    let slope = Slope {
        name: "router: memory",
        per: "stream under way",
        unit: "KB",
        points,
    };
    print!("{}", format_line(&slope));
}

/// Time to the first token, in microseconds, and requests per second of one measurement.
struct DataPathResult {
    first_token: Histogram<u64>,
    rate: f64,
}

/// Spreads [`REQUESTS`] over [`CALLERS`] concurrent callers and records the time to the first token
/// of each.
///
/// `send` takes the request's number and returns `None` if its answer was incomplete.
async fn send_all<F>(send: F) -> DataPathResult
where
    F: AsyncFn(usize) -> Option<Duration> + Clone + 'static,
{
    let begun = Instant::now();
    let local = tokio::task::LocalSet::new();
    let first_token = local
        .run_until(async {
            let tasks = (0..CALLERS).map(|caller| {
                let send = send.clone();
                tokio::task::spawn_local(async move {
                    let mut first_tokens = Vec::new();
                    for n in 0..REQUESTS / CALLERS {
                        first_tokens.extend(send(caller + n * CALLERS).await);
                    }
                    first_tokens
                })
            });
            let mut histogram = Histogram::<u64>::new(3).expect("a valid histogram");
            for task in tasks.collect::<Vec<_>>() {
                for took in task.await.unwrap_or_default() {
                    histogram
                        .record(took.as_micros() as u64)
                        .expect("the histogram resizes");
                }
            }
            histogram
        })
        .await;
    assert!(
        first_token.len() as usize >= REQUESTS / CALLERS * CALLERS,
        "all answers are complete"
    );
    DataPathResult {
        rate: first_token.len() as f64 / begun.elapsed().as_secs_f64(),
        first_token,
    }
}

/// Sends the requests to the engines themselves.
async fn measure_direct(servers: &[Server], tokens: u32) -> DataPathResult {
    let engines = Engines::new(thistlesill_core::seal::SharedKey::new(
        b"unused by streams".as_slice(),
    ));
    let servers = servers.to_vec();
    send_all(async move |n| {
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
        let mut complete = false;
        engines
            .stream(call, |event| {
                first.get_or_insert_with(|| begun.elapsed());
                complete |= matches!(event, StreamEvent::End { .. });
                true
            })
            .await;
        first.filter(|_| complete)
    })
    .await
}

/// Sends the requests through a router, over reused connections.
async fn measure_routed(deployment: &Deployment, tokens: u32) -> DataPathResult {
    let caller = deployment.caller(0, "lowell").with_reused_connections();
    send_all(async move |n| {
        let prompt = format!("bench {n}");
        let answer = caller
            .chat(AnswerMode::Streamed, MODEL, &prompt, tokens)
            .await;
        answer.ok().map(|a| a.first_piece)
    })
    .await
}
