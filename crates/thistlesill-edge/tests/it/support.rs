//! Deployments for tests, and common requests.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::world::World;

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
fn place(net: u8) -> (&'static Path, PathBuf) {
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
