//! Crowds of clients that keep to no limit, against a router as a process.
//!
//! What is checked does not depend on the speed of the machine: that the process lives, that its memory
//! and descriptors stay within bounds, and that ordinary requests are answered. The tests run one at a
//! time, as `scripts/test` runs no other test beside this program.

use std::sync::Arc;
use std::time::Duration;

use thistlesill_platform_standin::crowd::{Crowd, Sends, Usage, Watch};
use thistlesill_standins::harness::{AnswerMode, Deployment};
use tokio::sync::{Mutex, MutexGuard};

use crate::support::{MODEL, serving_with, small_fleet};

#[path = "it/support.rs"]
#[expect(dead_code, reason = "other test programs use the rest")]
mod support;

/// Memory of the smallest machines that the system runs on, in megabytes.
const MEMORY_MB: u64 = 112;
/// Connections of callers in the router's settings.
const CONNECTIONS: usize = 400;
/// Descriptors that the router needs besides those of its callers.
const OTHER_FILES: u64 = 100;
/// How often an ordinary caller tries, as callers of a refused request return.
const TRIES: u32 = 40;
/// Pause between two of these.
const TRY_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a crowd is left alone with the router.
const HOLD: Duration = Duration::from_secs(3);
/// Time for one ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

static TURN: Mutex<()> = Mutex::const_new(());

/// A small fleet whose first router is watched.
struct Trial {
    deployment: Deployment,
    router: u32,
    watch: Watch,
    _turn: MutexGuard<'static, ()>,
}

impl Trial {
    async fn start() -> Self {
        let turn = TURN.lock().await;
        let mut options = small_fleet();
        options.limits.connections = CONNECTIONS;
        let mut deployment = serving_with(options).await;
        let router = deployment.router(0).id();
        let trial = Self {
            deployment,
            router,
            watch: Watch::start(router),
            _turn: turn,
        };
        trial.assert_serves("before").await;
        trial
    }

    /// Checks that an ordinary request is answered, by a caller that returns a few times.
    async fn assert_serves(&self, name: &str) {
        for _ in 0..TRIES {
            let caller = self.deployment.caller(0, "lowell");
            let chat = caller.chat(AnswerMode::Complete, MODEL, "still there", 5);
            let answer = tokio::time::timeout(REQUEST_TIMEOUT, chat).await;
            if answer.is_ok_and(|answer| answer.is_ok()) {
                return;
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        panic!("{name}: no ordinary request was answered");
    }

    /// Holds a crowd of clients with a valid token, checks that ordinary callers are served beside it, and
    /// checks the bounds.
    async fn hold(self, count: usize, sends: Sends) {
        let head = |_: usize, framing: &str| {
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: router\r\n\
                 authorization: Bearer lowell-demo-token\r\n\
                 content-type: application/json\r\n{framing}\r\n\r\n"
            )
        };
        let address = self.deployment.caller_address(0);
        let crowd = Crowd::start(address, count, head, |_| sends.clone());
        tokio::time::sleep(HOLD).await;
        self.assert_serves("beside").await;
        let [success, refused] = crowd.answers();
        crowd.close().await;
        self.assert_serves("after").await;
        let (memory, files) = (self.watch.memory(), self.watch.files());
        println!(
            "{} MB at most, {} MB unread, {files} descriptors, {success} answers, {refused} refusals",
            memory / 1_000_000,
            self.watch.unread() / 1_000_000,
        );
        assert!(Usage::of(self.router).is_some(), "the process has ended");
        assert!(memory <= MEMORY_MB * 1_000_000, "{memory} bytes of memory");
        let most = CONNECTIONS as u64 + OTHER_FILES;
        assert!(files <= most, "{files} descriptors");
    }
}

/// Guards against large bodies that stop short of their end and take all memory of a router.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_holds_bodies_that_stop_short() {
    let sends = Sends::Length {
        bytes: 1_000_000,
        part: 25_000,
    };
    Trial::start().await.hold(300, sends).await;
}

/// Guards against large bodies in chunks that stop short of their end and take all memory of a router.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_holds_chunks_that_stop_short() {
    let sends = Sends::Chunked {
        bytes: 1_000_000,
        chunk: 1_000,
    };
    Trial::start().await.hold(300, sends).await;
}

/// Guards against bodies whose parsed form takes many times their length.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_parses_what_nobody_reads() {
    let filler = "[],".repeat(300_000);
    let text = format!(
        r#"{{"model": "{MODEL}", "messages": [{{"role": "user", "content": "x"}}], "max_tokens": 2, "filler": [{filler}[]]}}"#
    );
    let sends = Sends::Text(Arc::from(text));
    Trial::start().await.hold(60, sends).await;
}

/// Guards against connections that send nothing and keep the places of ordinary callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_keeps_its_places_for_silent_connections() {
    Trial::start().await.hold(900, Sends::Nothing).await;
}
