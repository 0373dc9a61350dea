//! Bodies of requests and answers that take the memory of a daemon in their sum, though each keeps within
//! its own bound.

use serde_json::json;
use thistlesill_platform_standin::caller::CallerRequest;
use thistlesill_platform_standin::flood::Flood;
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::slow;
use thistlesill_platform_standin::world::{World, catalog};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{ask, book, read, sleep, stream, world};

/// Memory that the daemon may use, in megabytes.
const MEMORY_MB: u32 = 110;
/// Largest body that the operators allow, and the one that callers send.
const MAX_BODY_BYTES: usize = 4 << 20;
const BODY_BYTES: usize = 4_000_000;
/// Links of the plain targets; those of the engines come before them.
const PLAIN_LINKS: std::ops::Range<usize> = 8..10;

/// Starts a deployment whose daemon may use [`MEMORY_MB`].
async fn small_world(net: u8) -> World {
    let mut world = world(net, 1).await;
    let mut config = catalog(3, &["k1", "k2"]);
    config["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
    world.store.put("op", "config", &config);
    world.daemons[0].set_memory(MEMORY_MB);
    world.daemons[0].kill().await;
    world.daemons[0].start();
    sleep(2_000).await;
    assert_eq!(ask(&world, 0, book("before")).await.status, 200);
    world
}

fn assert_memory(world: &World) {
    let peak = world.daemons[0].peak_memory().unwrap_or(u64::MAX);
    println!("peak memory: {} MB", peak / 1_000_000);
    assert!(peak < u64::from(MEMORY_MB) * 1_000_000, "{peak} bytes");
}

/// Sends most of a large body; returns the status of the answer if there is one before its end.
async fn send_large(world: &World, number: usize) -> std::io::Result<(TcpStream, Option<u16>)> {
    let request = CallerRequest::new(format!("large-{number}"), "POST", "/book/x");
    let mut stream = TcpStream::connect(world.daemons[0].caller_address()).await?;
    let head = request.head_text(&format!("content-length: {BODY_BYTES}"));
    stream.write_all(head.as_bytes()).await?;
    let part = vec![b'x'; BODY_BYTES / 100];
    for _ in 0..95 {
        if stream.write_all(&part).await.is_err() {
            break;
        }
    }
    let mut answer = [0; 64];
    let answered = tokio::time::timeout(
        std::time::Duration::from_millis(300),
        stream.read(&mut answer),
    );
    let status = match answered.await {
        Ok(Ok(length)) => String::from_utf8_lossy(&answer[..length])
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok()),
        _ => None,
    };
    Ok((stream, status))
}

/// Guards against callers whose bodies, each as large as allowed, take all memory together.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_many_callers_take_all_memory() {
    let world = small_world(216).await;
    let calls = (0..40).map(|number| send_large(&world, number));
    let open: Vec<_> = futures_util::future::join_all(calls).await;
    let statuses = open.iter().flatten().filter_map(|(_, status)| *status);
    let statuses: Vec<u16> = statuses.collect();
    assert!(statuses.len() >= 25, "{} have an answer", statuses.len());
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    // The requests of others are served meanwhile.
    for number in 0..10 {
        let got = ask(
            &world,
            0,
            book(&format!("beside-{number}")).body("x".repeat(50_000)),
        )
        .await;
        assert_eq!(got.status, 200, "{got:?}");
    }
    let refused = world.log_lines(0, "outcome=memory_short").len();
    assert!(refused >= 25, "{refused} bodies were refused");
    assert_memory(&world);
    drop(open);
    sleep(300).await;
    let large = book("after").body("x".repeat(BODY_BYTES));
    assert_eq!(
        ask(&world, 0, large).await.status,
        200,
        "the memory is free again"
    );
}

/// Guards against answers without end that take all memory, as their callers read nothing of them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_nobody_reads_take_all_memory() {
    let world = small_world(217).await;
    for link in &world.targets.links[PLAIN_LINKS] {
        link.set_fault(LinkFault::Reset);
    }
    sleep(60).await;
    for link in &world.targets.links[PLAIN_LINKS] {
        link.set_fault(LinkFault::Flood(Flood::Chunks));
    }
    let address = world.daemons[0].caller_address();
    let mut callers = Vec::new();
    for number in 0..380 {
        let request = read(&format!("unread-{number}"));
        callers.push(slow::send(address, &request).await);
        sleep(5).await;
    }
    sleep(1_000).await;
    let got = ask(&world, 0, stream("beside")).await;
    assert_eq!((got.status, got.is_complete), (200, true), "{got:?}");
    assert_memory(&world);
}

/// Sends the head of a request alone; returns the start of the answer, which must come within the request's
/// deadline.
async fn answer_to_head(world: &World, request: CallerRequest, framing: &str) -> String {
    let address = world.daemons[0].caller_address();
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let head = request.head_text(framing);
    stream.write_all(head.as_bytes()).await.expect("a head");
    let mut answer = [0; 64];
    let read = tokio::time::timeout(request.deadline, stream.read(&mut answer)).await;
    let length = read.expect("an answer before the body").expect("an answer");
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

/// Guards against a body that is announced far over the limit and read all the same.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_announced_over_the_limit_is_awaited() {
    let world = small_world(254).await;
    let request = CallerRequest::new("announced", "POST", "/book/x");
    let answer = answer_to_head(&world, request, "content-length: 1073741824").await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against a body that is read before its request is refused for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_a_client_without_a_key_is_awaited() {
    let world = small_world(255).await;
    let request = CallerRequest::new("no-key", "POST", "/book/x").key(None);
    let answer = answer_to_head(&world, request, "content-length: 1000000").await;
    assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
}
