//! The settings file changes without a signal: the operator demands that removed keys be refused.
//!
//! The daemons start with `strictRevoke` false. The platform lays a new settings file with
//! `strictRevoke` true and `revokeMs` 2000, with SIGHUP (without the disruption) or without any signal
//! (with it). Much later one daemon loses the store for eight seconds, and a key is removed meanwhile.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use serde_json::{Value, json};
use thistlesill_platform_standin::caller::{CallerRequest, call};
use thistlesill_platform_standin::link::LinkFault;
use thistlesill_platform_standin::world::World;
use thistlesill_review_2::{Case, program};

const DAEMONS: u8 = 1;
/// The daemon that loses the store.
const CUT: usize = 0;
const REVOKE: Duration = Duration::from_millis(2_000);
const CUT_FOR: Duration = Duration::from_millis(8_000);

fn edit(path: &Path, change: impl Fn(&mut Value)) {
    let text = std::fs::read_to_string(path).expect("the settings can be read");
    let mut settings: Value = serde_json::from_str(&text).expect("the settings are JSON");
    change(&mut settings);
    // As a platform does it: the whole file is there at once.
    let new = path.with_extension("new");
    std::fs::write(&new, settings.to_string()).expect("the settings can be written");
    std::fs::rename(&new, path).expect("the settings can be laid");
}

#[tokio::main]
async fn main() {
    let case = Case::from_args();
    let world = World::start(&program(), &case.folder, 241, DAEMONS).await;
    let paths: Vec<_> = world
        .daemons
        .iter()
        .map(|daemon| case.folder.join(format!("{}.json", daemon.name)))
        .collect();
    // The deployment begins without strict revocation, and every daemon is told so.
    for (path, daemon) in paths.iter().zip(&world.daemons) {
        edit(path, |settings| {
            settings["bounds"]["strictRevoke"] = json!(false)
        });
        daemon.signal(Signal::SIGHUP);
    }
    case.record
        .line("settings: strictRevoke false, with SIGHUP");
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (path, daemon) in paths.iter().zip(&world.daemons) {
        edit(path, |settings| {
            settings["bounds"]["strictRevoke"] = json!(true);
            settings["bounds"]["revokeMs"] = json!(REVOKE.as_millis() as u64);
        });
        if !case.trouble {
            daemon.signal(Signal::SIGHUP);
        }
    }
    case.record.line(&format!(
        "settings: strictRevoke true, revokeMs {}, {}",
        REVOKE.as_millis(),
        if case.trouble {
            "without a signal"
        } else {
            "with SIGHUP"
        }
    ));
    tokio::time::sleep(Duration::from_secs(20)).await;
    let address = world.daemons[CUT].caller_address();
    let before = CallerRequest::new("before", "POST", "/book/x").key(Some("k2"));
    let before = call(address, &before).await.map(|answer| answer.status);
    case.record.line(&format!(
        "request before, key k2, to {}: {before:?}",
        world.daemons[CUT].name
    ));
    if before.ok() != Some(200) {
        case.end(world, "CONFIG", None).await;
    }
    case.record.line(&format!(
        "the store answers {} no more",
        world.daemons[CUT].name
    ));
    world.links[CUT].set_fault(LinkFault::Stalled);
    tokio::time::sleep(Duration::from_millis(200)).await;
    world.set_catalog(9, &["k1"]);
    let acknowledged = Instant::now();
    case.record
        .line("the store acknowledges version 9, which removes the key k2");
    let (mut number, mut late) = (0, 0);
    while acknowledged.elapsed() < CUT_FOR {
        let id = format!("revoked-{number}");
        let sent = acknowledged.elapsed();
        let request = CallerRequest::new(&id, "POST", "/book/x").key(Some("k2"));
        let answer = call(address, &request).await.map(|answer| answer.status);
        let runs = world.targets.ledger.runs(&id).len();
        case.record.line(&format!(
            "{id}, key k2, sent {:.3} s after the acknowledgement: answer {answer:?}, ran {runs} times",
            sent.as_secs_f64()
        ));
        if sent > REVOKE && runs > 0 {
            late += 1;
        }
        number += 1;
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    world.links[CUT].set_fault(LinkFault::None);
    case.record.line(&format!(
        "requests with the removed key that ran although they were sent over {} ms after: {late}",
        REVOKE.as_millis()
    ));
    case.end(world, "CONFIG", Some(late > 0)).await;
}
