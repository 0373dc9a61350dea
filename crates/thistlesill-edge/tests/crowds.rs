//! Crowds of clients that keep to no limit, against a daemon as a process.
//!
//! What is checked does not depend on the speed of the machine: that the process lives, that its memory
//! and descriptors stay within the settings, and that ordinary requests are answered. The tests run one
//! at a time, as `scripts/test` runs no other test beside this program.

use std::path::Path;
use std::time::Duration;

use serde_json::json;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_net::lane::ConnectionError;
use thistlesill_platform_standin::caller::{CallerAnswer, CallerRequest, call};
use thistlesill_platform_standin::crowd::{Crowd, Sends, Usage, Watch};
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::world::{World, catalog};
use tokio::sync::{Mutex, MutexGuard};

/// Memory of the daemon's machine, in megabytes; on the deployments it is 112 or more.
const MEMORY_MB: u32 = 64;
/// Descriptors that the daemon's machine gives it.
const FILES: u32 = 1_200;
/// Largest body that the operators allow.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Links of the plain targets; those of the engines come before them.
const PLAIN_LINKS: std::ops::Range<usize> = 8..10;
/// How often an ordinary caller tries, as callers of a refused request return.
const TRIES: u32 = 40;
/// Pause between two of these.
const TRY_PAUSE_MS: u64 = 250;
/// Time for which a crowd is left alone with the daemon.
const HOLD_MS: u64 = 3_000;

/// How often is looked whether the connections of a crowd are closed.
const CALM_CHECKS: u32 = 240;
/// Connections that a daemon opens by itself meanwhile.
const OTHER_FILES: u64 = 4;

static TURN: Mutex<()> = Mutex::const_new(());

/// A deployment of one daemon whose memory and descriptors are watched.
struct Trial {
    world: World,
    process: u32,
    /// Descriptors before the crowd.
    files_before: u64,
    watch: Watch,
    _turn: MutexGuard<'static, ()>,
}

impl Trial {
    /// Starts the deployment; `net` selects its address range.
    async fn start(net: u8) -> Self {
        let turn = TURN.lock().await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{net}"));
        drop(std::fs::remove_dir_all(&folder));
        let program = Path::new(env!("CARGO_BIN_EXE_thistlesill-edge"));
        let mut world = World::start(program, &folder, net, 1).await;
        let mut config = catalog(3, &["k1", "k2"]);
        config["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
        world.store.put("op", "config", &config);
        let daemon = &mut world.daemons[0];
        daemon.set_memory(MEMORY_MB);
        daemon.set_named_files(FILES);
        daemon.kill().await;
        daemon.start();
        sleep(2_000).await;
        let id = world.daemons[0].process_id().expect("the daemon runs");
        let mut trial = Self {
            world,
            process: id,
            files_before: 0,
            watch: Watch::start(id),
            _turn: turn,
        };
        trial.assert_serves("before").await;
        trial.files_before = Usage::of(id).map_or(0, |usage| usage.files);
        trial
    }

    /// Lets `count` clients send to the daemon.
    fn crowd(&self, count: usize, sends: Sends) -> Crowd {
        self.crowd_with(count, |_| Some("k1"), move |_| sends.clone())
    }

    fn crowd_with(
        &self,
        count: usize,
        key: impl Fn(usize) -> Option<&'static str>,
        sends: impl Fn(usize) -> Sends,
    ) -> Crowd {
        let head = |number: usize, framing: &str| {
            let request = CallerRequest::new(format!("crowd-{number}"), "POST", "/book/x");
            request.key(key(number)).head_text(framing)
        };
        let address = self.world.daemons[0].caller_address();
        Crowd::start(address, count, head, sends)
    }

    async fn ask(&self, request: &CallerRequest) -> Result<CallerAnswer, ConnectionError> {
        call(self.world.daemons[0].caller_address(), request).await
    }

    /// Checks that an ordinary request is answered, by a caller that returns a few times.
    async fn assert_serves(&self, name: &str) {
        for number in 0..TRIES {
            let id = format!("{name}-{number}");
            let request = CallerRequest::new(id, "POST", "/book/x").body("x".repeat(2_000));
            if self
                .ask(&request)
                .await
                .is_ok_and(|answer| is_whole(&answer))
            {
                return;
            }
            sleep(TRY_PAUSE_MS).await;
        }
        panic!("{name}: no ordinary request was answered");
    }

    /// Holds a crowd, checks that ordinary callers are served beside it, and closes it.
    async fn hold(&self, name: &str, crowd: Crowd) {
        sleep(HOLD_MS).await;
        self.assert_serves(&format!("beside-{name}")).await;
        let [success, refused] = crowd.answers();
        crowd.close().await;
        self.assert_serves(&format!("after-{name}")).await;
        let [memory, unread] = [self.watch.memory(), self.watch.unread()];
        println!(
            "{name}: {} MB at most, {} MB unread, {} descriptors, {success} answers, {refused} refusals",
            memory / 1_000_000,
            unread / 1_000_000,
            self.watch.files(),
        );
    }

    /// Waits until the daemon has closed the connections of the crowd, of which the kernel still delivers
    /// bytes after the clients have closed them.
    async fn wait_for_calm(&self) {
        for _ in 0..CALM_CHECKS {
            let usage = Usage::of(self.process).expect("the process runs");
            if usage.files <= self.files_before + OTHER_FILES {
                return;
            }
            sleep(TRY_PAUSE_MS).await;
        }
        panic!("the connections of the crowd stay open");
    }

    /// Checks the bounds, and that a request as large as allowed is served once all is calm.
    async fn finish(mut self) {
        self.wait_for_calm().await;
        let largest = CallerRequest::new("largest", "POST", "/book/x");
        let largest = largest.body("x".repeat(MAX_BODY_BYTES));
        let served = self.ask(&largest).await;
        let ended = self.world.daemons[0].has_ended_by_itself();
        assert!(!ended, "the process has ended");
        let memory = self.watch.memory();
        assert!(
            memory <= u64::from(MEMORY_MB) * 1_000_000,
            "{memory} bytes of memory"
        );
        let files = self.watch.files();
        assert!(files <= u64::from(FILES), "{files} descriptors");
        let served = served.expect("an answer to the largest allowed body in calm");
        assert!(is_whole(&served), "in calm: {served:?}");
    }
}

fn is_whole(answer: &CallerAnswer) -> bool {
    answer.status == 200 && answer.is_complete
}

async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Holds one crowd against a daemon of its own.
async fn hold_one(net: u8, name: &str, count: usize, sends: Sends) {
    let trial = Trial::start(net).await;
    let crowd = trial.crowd(count, sends);
    trial.hold(name, crowd).await;
    trial.finish().await;
}

const LARGE: Sends = Sends::Length {
    bytes: 1_000_000,
    part: 1_000_000,
};
const PIECES: Sends = Sends::Length {
    bytes: 1_000_000,
    part: 25_000,
};
const SMALL: Sends = Sends::Length {
    bytes: 65_000,
    part: 65_000,
};
const LARGE_CHUNKS: Sends = Sends::Chunked {
    bytes: 1_000_000,
    chunk: 64 * 1024,
};
const SMALL_CHUNKS: Sends = Sends::Chunked {
    bytes: 1_000_000,
    chunk: 100,
};
const TINY_CHUNKS: Sends = Sends::Chunked {
    bytes: 60_000,
    chunk: 1,
};
const HEAD: Sends = Sends::Head(15_900);
const ENDLESS: Sends = Sends::Announced { bytes: 4_000_000 };
const ENDLESS_CHUNKS: Sends = Sends::Chunked {
    bytes: 20_000_000,
    chunk: 64 * 1024,
};

/// Guards against large bodies that stop short of their end and keep their memory.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_length_that_stop_short() {
    hold_one(10, "length", 200, LARGE).await;
}

/// Guards against large bodies in pieces that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short() {
    hold_one(11, "pieces", 200, PIECES).await;
}

/// Guards against large chunks of bodies that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short() {
    hold_one(12, "large chunks", 200, LARGE_CHUNKS).await;
}

/// Guards against small chunks of bodies that stop short of their end.
#[tokio::test(flavor = "multi_thread")]
async fn small_chunks_that_stop_short() {
    hold_one(13, "small chunks", 200, SMALL_CHUNKS).await;
}

/// Guards against chunks of one byte that wait unread in the kernel.
#[tokio::test(flavor = "multi_thread")]
async fn tiny_chunks_wait_unread() {
    hold_one(14, "tiny chunks", 400, TINY_CHUNKS).await;
}

/// Guards against many small bodies that take the memory in their sum.
#[tokio::test(flavor = "multi_thread")]
async fn many_small_bodies_that_stop_short() {
    hold_one(15, "small", 600, SMALL).await;
}

/// Guards against heads that stop short of their end and keep the places of ordinary callers.
#[tokio::test(flavor = "multi_thread")]
async fn heads_that_stop_short() {
    hold_one(16, "heads", 600, HEAD).await;
}

/// Guards against connections that send nothing and keep the places of ordinary callers.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_take_all_places() {
    hold_one(17, "silent", 600, Sends::Nothing).await;
}

/// Guards against bodies far over the limit, as the head says.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_far_over_the_limit() {
    hold_one(18, "announced", 200, ENDLESS).await;
}

/// Guards against bodies far over the limit of which the head says nothing.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_far_over_the_limit() {
    hold_one(19, "far over", 200, ENDLESS_CHUNKS).await;
}

/// Guards against whole bodies that wait for targets which stand still.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_wait_for_targets() {
    let trial = Trial::start(20).await;
    let set_fault = |fault| {
        for link in &trial.world.targets.links[PLAIN_LINKS] {
            link.set_fault(fault);
        }
    };
    set_fault(LinkFault::Delay(Duration::from_secs(2)));
    let sends = Sends::Whole {
        bytes: 1_000_000,
        chunk: 1_000,
    };
    let crowd = trial.crowd(200, sends);
    sleep(HOLD_MS).await;
    set_fault(LinkFault::None);
    trial.hold("whole", crowd).await;
    trial.finish().await;
}

/// Guards against bodies of clients without a key that take the memory of those with one.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_a_key() {
    let trial = Trial::start(21).await;
    let crowd = trial.crowd_with(200, |_| None, |_| LARGE);
    trial.hold("no key", crowd).await;
    trial.finish().await;
}

const MIXED: [Sends; 6] = [HEAD, SMALL, TINY_CHUNKS, SMALL_CHUNKS, LARGE, ENDLESS];

/// Guards against clients of all kinds at once.
#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_at_once() {
    let trial = Trial::start(22).await;
    let key = |number| Some("k1").filter(|_| number % 2 == 0);
    let crowd = trial.crowd_with(600, key, |number| MIXED[number % MIXED.len()].clone());
    trial.hold("mixed", crowd).await;
    trial.finish().await;
}

/// Guards against memory that stays taken after a crowd, so that the next one takes more.
#[tokio::test(flavor = "multi_thread")]
async fn one_crowd_after_the_other() {
    let trial = Trial::start(23).await;
    let waves = [
        ("small", 400, SMALL),
        ("heads", 600, HEAD),
        ("length", 200, LARGE),
        ("large chunks", 200, LARGE_CHUNKS),
        ("small chunks", 200, SMALL_CHUNKS),
        ("small again", 400, SMALL),
        ("far over", 200, ENDLESS_CHUNKS),
    ];
    for (name, count, sends) in waves {
        let crowd = trial.crowd(count, sends);
        trial.hold(name, crowd).await;
    }
    trial.finish().await;
}

/// Guards against half a head to the listeners for health checks and metrics, whose descriptors callers
/// then lack.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_to_other_listeners() {
    let trial = Trial::start(24).await;
    let daemon = &trial.world.daemons[0];
    let head =
        |_: usize, framing: &str| CallerRequest::new("other", "GET", "/metrics").head_text(framing);
    let metrics = Crowd::start(daemon.metrics_address(), 900, head, |_| HEAD);
    let health = Crowd::start(daemon.health_address(), 900, head, |_| HEAD);
    sleep(HOLD_MS).await;
    trial.hold("other listeners", metrics).await;
    health.close().await;
    trial.finish().await;
}

/// Guards against half a head to the port for peers' requests, whose descriptors callers then lack.
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_to_the_port_of_peers() {
    let trial = Trial::start(25).await;
    let peers = trial.world.daemons[0].peer_address();
    let address = EdgeSettings::forward_address_of(peers);
    let head =
        |_: usize, framing: &str| CallerRequest::new("other", "POST", "/book/x").head_text(framing);
    let crowd = Crowd::start(address, 1_500, head, |_| HEAD);
    sleep(HOLD_MS).await;
    trial.hold("port of peers", crowd).await;
    trial.finish().await;
}
