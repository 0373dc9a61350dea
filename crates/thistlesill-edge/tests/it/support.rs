//! Deployments for tests, and common requests.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use thistlesill_core::edge::EdgeSettings;
use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::daemon::Daemon;
use thistlesill_platform_standin::ledger::Arrival;
use thistlesill_platform_standin::world::World;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Starts a deployment; `net` selects its address range and differs between tests.
pub(crate) async fn world(net: u8, daemons: u8) -> World {
    let (program, folder) = place(net);
    World::start(program, &folder, net, daemons).await
}

/// Starts a deployment of which the daemons find each other through two seeds and one that is down.
pub(crate) async fn seeded_world(net: u8, daemons: u8) -> World {
    let (program, folder) = place(net);
    World::start_seeded(program, &folder, net, daemons, 2).await
}

/// Starts a deployment of which the daemons read the store while it is still empty.
pub(crate) async fn early_world(net: u8, daemons: u8) -> World {
    let (program, folder) = place(net);
    let early = Duration::from_millis(1_000);
    World::start_early(program, &folder, net, daemons, early).await
}

/// Reserves the address range `net` for one deployment.
///
/// Two tests with the same range would fail only when they happen to run at the same time.
pub(crate) fn claim(net: u8) {
    static TAKEN: Mutex<BTreeSet<u8>> = Mutex::new(BTreeSet::new());
    let mut taken = TAKEN.lock().unwrap_or_else(PoisonError::into_inner);
    assert!(
        taken.insert(net),
        "{net} is the address range of another test"
    );
}

/// Returns the program and an empty folder for the deployment.
pub(crate) fn place(net: u8) -> (&'static Path, PathBuf) {
    claim(net);
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("world-{net}"));
    drop(std::fs::remove_dir_all(&folder));
    (Path::new(env!("CARGO_BIN_EXE_thistlesill-edge")), folder)
}

/// Sends a request to a daemon, which must answer.
pub(crate) async fn ask(world: &World, daemon: usize, ask: CallerRequest) -> CallerAnswer {
    let got = call(world.daemons[daemon].caller_address(), &ask).await;
    got.unwrap_or_else(|e| panic!("{}: {e}", ask.id))
}

/// What a peer says of a request that it passes on for the first time: version of the catalog, then
/// no attempts, none that may have run, not counted and not paid for.
const FIRST_HOP: &str = "thistlesill-hop: 1 0 0 0 0";

/// Passes a request without a body to a daemon, as a peer does for the first time.
pub(crate) async fn pass_on(world: &World, daemon: usize, request: &CallerRequest) -> TcpStream {
    let address = EdgeSettings::forward_address_of(world.daemons[daemon].peer_address());
    let mut peer = TcpStream::connect(address).await.expect("it listens");
    let text = request.head_text(FIRST_HOP);
    let sent = peer.write_all(text.as_bytes()).await;
    sent.expect("the request is sent");
    peer
}

/// Returns the answer to a request that was passed on.
pub(crate) async fn read_answer(mut peer: TcpStream) -> String {
    let mut answer = String::new();
    let read = peer.read_to_string(&mut answer).await;
    read.expect("the answer ends with its connection");
    answer
}

/// Builds a request that may run only once.
pub(crate) fn book(id: &str) -> CallerRequest {
    CallerRequest::new(id, "POST", "/book/bunk").body("two bunks")
}

/// Builds a request that may run more than once.
pub(crate) fn read(id: &str) -> CallerRequest {
    CallerRequest::new(id, "GET", "/read/x?a=1&b=%2F")
}

/// Builds a request for a stream of the large model.
pub(crate) fn stream(id: &str) -> CallerRequest {
    CallerRequest::new(id, "POST", "/large/s")
        .model("large")
        .body("prompt")
}

pub(crate) async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Returns the daemons that read the store, by their last log lines.
pub(crate) fn readers(world: &World) -> Vec<usize> {
    let reads = |daemon: &usize| {
        let lines = world.log_lines(*daemon, "ev=store_reader");
        lines.last().is_some_and(|l| l.contains("reads=true"))
    };
    (0..world.daemons.len()).filter(reads).collect()
}

/// Returns the daemon that forms groups, by its log lines.
pub(crate) fn planner(world: &World) -> usize {
    let plans = |daemon: &usize| !world.log_lines(*daemon, "ev=lease_gained").is_empty();
    let mut planners = (0..world.daemons.len()).filter(plans);
    planners.next().expect("a daemon forms groups")
}

/// An answer and its latency.
pub(crate) type Timed = (CallerAnswer, Duration);

/// Sends requests at a steady rate through all daemons in turn; returns the answers.
pub(crate) async fn send_steadily(
    world: &World,
    per_second: u32,
    time: Duration,
    ask: fn(&str) -> CallerRequest,
) -> Vec<Timed> {
    let addresses: Vec<SocketAddr> = world.daemons.iter().map(Daemon::caller_address).collect();
    send_steadily_to(&addresses, per_second, time, ask).await
}

/// Sends requests at a steady rate to the given daemons in turn; returns the answers.
pub(crate) async fn send_steadily_to(
    addresses: &[SocketAddr],
    per_second: u32,
    time: Duration,
    ask: fn(&str) -> CallerRequest,
) -> Vec<Timed> {
    let numbered: Vec<(usize, SocketAddr)> = addresses.iter().copied().enumerate().collect();
    send_numbered(&numbered, per_second, time, ask).await
}

/// Sends requests at a steady rate through some daemons in turn; returns the answers. The ids begin
/// with the number of the daemon.
pub(crate) async fn send_through(
    world: &World,
    daemons: &[usize],
    per_second: u32,
    time: Duration,
    ask: fn(&str) -> CallerRequest,
) -> Vec<Timed> {
    let address = |daemon: &usize| (*daemon, world.daemons[*daemon].caller_address());
    let numbered: Vec<(usize, SocketAddr)> = daemons.iter().map(address).collect();
    send_numbered(&numbered, per_second, time, ask).await
}

async fn send_numbered(
    daemons: &[(usize, SocketAddr)],
    per_second: u32,
    time: Duration,
    ask: fn(&str) -> CallerRequest,
) -> Vec<Timed> {
    let start = Instant::now();
    let mut calls = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_second);
    while start.elapsed() < time {
        ticks.tick().await;
        let (daemon, address) = daemons[calls.len() % daemons.len()];
        let ask = ask(&format!("{daemon}-{}", start.elapsed().as_nanos()));
        calls.push(tokio::spawn(async move {
            let sent = Instant::now();
            let got = call(address, &ask).await;
            got.map(|got| (got, sent.elapsed()))
        }));
    }
    let mut all = Vec::new();
    for call in calls {
        // A daemon that a test has killed gives no answer.
        if let Ok(got) = call.await.expect("the task ends") {
            all.push(got);
        }
    }
    all
}

/// Returns the number of the daemon that sent a request.
pub(crate) fn daemon_of(arrival: &Arrival) -> &str {
    arrival.id.split('-').next().unwrap_or_default()
}

/// Returns the instance that leads the group of the large model.
pub(crate) fn large_leader(world: &World) -> String {
    let groups = world.targets.serving();
    let group = groups.iter().find(|(_, members)| members.len() == 4);
    group
        .expect("the large model is served")
        .0
        .as_str()
        .to_owned()
}
