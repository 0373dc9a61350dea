//! A deployment for one test.

use std::path::Path;
use std::time::Duration;

use thistlesill_platform_standin::caller::{Ask, Got, call};
use thistlesill_platform_standin::world::World;

/// Starts a deployment; `net` keeps the tests' addresses apart.
pub(crate) async fn world(net: u8, daemons: u8) -> World {
    let program = Path::new(env!("CARGO_BIN_EXE_thistlesill-edge"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("world-{net}"));
    drop(std::fs::remove_dir_all(&folder));
    World::start(program, &folder, net, daemons).await
}

/// Sends a request to a daemon that must answer.
pub(crate) async fn ask(world: &World, daemon: usize, ask: Ask) -> Got {
    let got = call(world.daemons[daemon].callers(), &ask).await;
    got.unwrap_or_else(|e| panic!("{}: {e}", ask.id))
}

/// A request that may run only once.
pub(crate) fn book(id: &str) -> Ask {
    Ask::new(id, "POST", "/book/bunk").body("two bunks")
}

/// A request that may run more than once.
pub(crate) fn read(id: &str) -> Ask {
    Ask::new(id, "GET", "/read/x?a=1&b=%2F")
}

/// A stream of the large model.
pub(crate) fn stream(id: &str) -> Ask {
    Ask::new(id, "POST", "/large/s")
        .model("large")
        .body("prompt")
}

pub(crate) async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
