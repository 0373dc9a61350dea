//! Another writer leaves one entry with a number that is too large among those of the servers. Later
//! the servers of a domain crash and come back.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;
use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::world::World;
use thistlesill_review_2::{Case, Record, program};

const DAEMONS: u8 = 3;
const NET: u8 = 245;
/// The epoch in the entry of the other writer: 2 to the power of 62.
const EPOCH: u64 = 1 << 62;
/// When the entry is written, and when the servers crash, after the start of traffic.
const ENTRY_AT: Duration = Duration::from_secs(8);
const CRASH_AT: Duration = Duration::from_secs(10);
/// `for_s` of `srv_crash` with "domain dark" in the site file.
const DOWN: Duration = Duration::from_millis(8_200);
/// When all processes of the system are killed, for `down_s` of the site's closings.
const FAULT_AT: Duration = Duration::from_secs(26);
const FAULT_FOR: Duration = Duration::from_secs(1);
/// `recoveryS` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time that is judged after that.
const JUDGED: Duration = Duration::from_secs(15);

/// Requests that were sent, by the time since the start of traffic, and whether they were served.
type Sent = Arc<Mutex<Vec<(Duration, bool)>>>;

/// Sends requests until the process ends: of twenty, nine for each model and two for the other service.
async fn client(addresses: Vec<SocketAddr>, begun: Instant, sent: Sent, record: Record) {
    let number = Arc::new(AtomicUsize::new(0));
    loop {
        let n = number.fetch_add(1, Ordering::Relaxed);
        let id = format!("r-{n}");
        let request = match n % 20 {
            0..9 => CallerRequest::new(&id, "POST", "/large/s").model("large"),
            9..18 => CallerRequest::new(&id, "POST", "/large/s").model("small"),
            _ => CallerRequest::new(&id, "GET", "/read/x"),
        };
        let (sent, record) = (sent.clone(), record.clone());
        let addresses = addresses.clone();
        tokio::spawn(async move {
            let at = begun.elapsed();
            let daemon = n % addresses.len();
            // A client retries once, at another daemon.
            let mut answer = call(addresses[daemon], &request).await;
            let served = |answer: &Result<_, _>| matches!(answer, Ok((200, true)));
            let mut first = answer.map(|a| (a.status, a.is_complete));
            if !served(&first) {
                tokio::time::sleep(Duration::from_millis(300)).await;
                let other = CallerRequest {
                    id: format!("{id}-again"),
                    ..request.clone()
                };
                answer = call(addresses[(daemon + 1) % addresses.len()], &other).await;
                first = answer.map(|a| (a.status, a.is_complete));
            }
            let model = request.model.unwrap_or("plain");
            record.line(&format!(
                "{id} ({model}), sent at {:.1} s: {first:?}",
                at.as_secs_f64()
            ));
            if let Ok(mut sent) = sent.lock() {
                sent.push((at, served(&first)));
            }
        });
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

async fn until(begun: Instant, at: Duration) {
    tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
}

#[tokio::main]
async fn main() {
    let case = Case::from_args();
    let mut world = World::start(&program(), &case.folder, NET, DAEMONS).await;
    let addresses: Vec<_> = world.daemons.iter().map(|d| d.caller_address()).collect();
    let (begun, sent) = (Instant::now(), Sent::default());
    tokio::spawn(client(addresses, begun, sent.clone(), case.record.clone()));
    until(begun, ENTRY_AT).await;
    if case.trouble {
        let entry = json!({
            "service": "pool", "address": format!("127.2.{NET}.250:8600"), "zone": "h", "version": "v1",
            "slots": 26, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": 1_790_000_000_000_u64,
            "domain": "odd", "staged": [], "models": [],
            "group": {"name": "odd", "epoch": EPOCH, "rank": 0, "state": "broken"},
        });
        world.store.put("servers", "odd", &entry);
        case.record.line(&format!("another writer writes {entry}"));
    }
    until(begun, CRASH_AT).await;
    let engines = world.engine_count();
    for link in &world.targets.links[..engines] {
        link.take_down(true);
    }
    case.record
        .line(&format!("the {engines} servers of a domain have crashed"));
    tokio::time::sleep(DOWN).await;
    for (number, link) in world.targets.links[..engines].iter().enumerate() {
        world.targets.restart(&format!("i-{number:03}"));
        link.take_down(false);
    }
    case.record.line("the servers are back, as new processes");
    until(begun, FAULT_AT).await;
    for daemon in &mut world.daemons {
        daemon.kill().await;
    }
    case.record
        .line("the final fault: all processes of the system are killed");
    tokio::time::sleep(FAULT_FOR).await;
    for daemon in &mut world.daemons {
        daemon.start();
    }
    let back = begun.elapsed();
    case.record.line("the machines are back");
    until(begun, back + RECOVERY + JUDGED + Duration::from_secs(5)).await;
    let sent = sent.lock().map(|sent| sent.clone()).unwrap_or_default();
    let ratio = |from: Duration, to: Duration| {
        let within: Vec<_> = sent
            .iter()
            .filter(|(at, _)| *at >= from && *at < to)
            .collect();
        let served = within.iter().filter(|(_, served)| *served).count();
        served as f64 / within.len().max(1) as f64
    };
    let before = ratio(Duration::ZERO, FAULT_AT);
    let after = ratio(back + RECOVERY, back + RECOVERY + JUDGED);
    case.record.line(&format!(
        "served before the final fault {before:.2}, from {} s after the machines are back {after:.2}",
        RECOVERY.as_secs()
    ));
    for daemon in 0..world.daemons.len() {
        for line in world.log_lines(daemon, "ev=target_refused").iter().take(2) {
            case.record.line(&format!("edge-{daemon}: {line}"));
        }
    }
    let broken = (before >= 0.25).then_some(after < 0.25);
    case.end(world, "RECOVER", broken).await;
}
