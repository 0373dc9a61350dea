//! The configuration raises `maxHeaderBytes`, and clients use the channels that they have kept.

use std::time::Duration;

use serde_json::json;
use thistlesill_net::lane::{HttpConnection, within};
use thistlesill_platform_standin::caller::{CallerRequest, call, call_on};
use thistlesill_platform_standin::world::{World, catalog};
use thistlesill_review_2::{Case, program};

const DAEMONS: u8 = 3;
/// Channels that clients keep, spread over the daemons.
const CHANNELS: usize = 30;
/// `maxHeaderBytes` before and after the change.
const BEFORE: usize = 16_384;
const AFTER: usize = 65_536;
/// Parts of a prompt that the head of a large request names, each of 20 bytes.
const PARTS: usize = 1_500;
/// Longer than `configApplyMs` (2 s), and less than four fifths of `idleTimeoutMs` (15 s).
const WAIT: Duration = Duration::from_millis(4_000);

fn large(id: &str) -> CallerRequest {
    let parts: Vec<String> = (0..PARTS).map(|part| format!("{part:016x}")).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
    CallerRequest::new(id, "POST", "/large/s")
        .model("large")
        .prompt_parts(&parts)
}

#[tokio::main]
async fn main() {
    let case = Case::from_args();
    let world = World::start(&program(), &case.folder, 205, DAEMONS).await;
    let put = |version: u64, bytes: usize| {
        let mut config = catalog(version, &["k1", "k2"]);
        config["limits"]["maxHeaderBytes"] = json!(bytes);
        world.store.put("op", "config", &config);
        case.record.line(&format!(
            "the store acknowledges version {version}, with maxHeaderBytes {bytes}"
        ));
    };
    put(3, if case.trouble { BEFORE } else { AFTER });
    tokio::time::sleep(WAIT).await;
    let mut channels = Vec::new();
    for number in 0..CHANNELS {
        let daemon = number % world.daemons.len();
        let address = world.daemons[daemon].caller_address();
        let Ok(mut channel) =
            HttpConnection::connect(address, within(Duration::from_secs(1))).await
        else {
            case.end(world, "DENIED", None).await;
        };
        let request = CallerRequest::new(format!("small-{number}"), "GET", "/read/x");
        let answer = call_on(&mut channel, &request).await.map(|a| a.status);
        case.record.line(&format!(
            "small-{number} on channel {number} to edge-{daemon}: {answer:?}"
        ));
        channels.push((daemon, channel));
    }
    put(5, AFTER);
    tokio::time::sleep(WAIT).await;
    let (mut all, mut denied) = (CHANNELS, 0);
    for (number, (daemon, channel)) in channels.iter_mut().enumerate() {
        let id = format!("kept-{number}");
        let answer = call_on(channel, &large(&id)).await.map(|a| a.status);
        let runs = world.targets.ledger.runs(&id).len();
        case.record.line(&format!(
            "{id}, a head of 30 kB, on channel {number} to edge-{daemon}: {answer:?}, ran {runs} times"
        ));
        all += 1;
        denied += usize::from(answer.is_ok_and(|status| (300..500).contains(&status)));
        let id = format!("new-{number}");
        let address = world.daemons[*daemon].caller_address();
        let answer = call(address, &large(&id)).await.map(|a| a.status);
        case.record.line(&format!(
            "{id}, a head of 30 kB, on a new channel to edge-{daemon}: {answer:?}"
        ));
        all += 1;
    }
    case.record
        .line(&format!("of {all} requests, {denied} were denied"));
    let broken = denied > 5 + all / 500;
    case.end(world, "DENIED", Some(broken)).await;
}
