//! Most new channels go to one daemon while clients send bodies of the size that the limits allow.
//!
//! Each client sends one request after the other, each on a new channel, with a body a little below
//! `maxBodyBytes`, at the speed of its own link. The platform kills a process that goes over
//! `memoryMb`, and starts it again.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::json;
use thistlesill_platform_standin::caller::CallerRequest;
use thistlesill_platform_standin::world::{World, catalog};
use thistlesill_review_2::{Case, Record, program};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const DAEMONS: u8 = 9;
/// `clients` of the site, over its zones.
const CLIENTS: usize = 91;
/// Clients while these open new channels more often: 1.7 times as many, as in a burst of the site.
const CROWD: usize = 154;
/// `memory_mb` of the machines of the site, and `memoryMb` in the settings.
const MEMORY: u64 = 260 * 1_000_000;
/// `body_bytes` of the site, and `maxBodyBytes` in the configuration.
const MAX_BODY: usize = 4_194_304;
/// What each client sends.
const BODY: usize = 4_000_000;
/// Time that a client's link takes for a body. All clients together send 123 MB a second, as much as
/// the link of one machine takes.
const UPLOAD: Duration = Duration::from_millis(5_000);
/// Time for which each phase lasts at most.
const PHASE: Duration = Duration::from_secs(30);
const PARTS: usize = 100;

/// Counts of what the clients saw.
#[derive(Default)]
struct Seen {
    served: AtomicUsize,
    lost: AtomicUsize,
    other: AtomicUsize,
}

/// Sends a request at the speed of the client's link; returns the status of the answer.
async fn send(address: SocketAddr, request: &CallerRequest, part: &[u8]) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    let head = request.head_text(&format!("content-length: {}", part.len() * PARTS));
    stream.write_all(head.as_bytes()).await?;
    let start = tokio::time::Instant::now();
    for number in 0..PARTS {
        tokio::time::sleep_until(start + UPLOAD.mul_f64(number as f64 / PARTS as f64)).await;
        stream.write_all(part).await?;
    }
    let mut answer = vec![0; 256];
    let read = stream.read(&mut answer).await?;
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.ok_or_else(|| std::io::Error::other("no answer"))
}

async fn client(
    number: usize,
    addresses: Vec<SocketAddr>,
    crowded: Arc<AtomicUsize>,
    seen: Arc<Seen>,
    record: Record,
    part: Arc<Vec<u8>>,
) {
    let phase = UPLOAD.mul_f64(number as f64 / CROWD as f64);
    tokio::time::sleep(phase).await;
    for turn in 0.. {
        let chosen = crowded.load(Ordering::Relaxed);
        if chosen >= addresses.len() && number >= CLIENTS {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        }
        let daemon = if chosen < addresses.len() {
            chosen
        } else {
            number % addresses.len()
        };
        let id = format!("c{number}-{turn}");
        let request = CallerRequest::new(&id, "POST", "/book/x").deadline(Duration::from_secs(8));
        let begun = Instant::now();
        let answer = send(addresses[daemon], &request, &part).await;
        let took = begun.elapsed().as_millis();
        match &answer {
            Ok(200) => seen.served.fetch_add(1, Ordering::Relaxed),
            Ok(_) => seen.other.fetch_add(1, Ordering::Relaxed),
            Err(_) => seen.lost.fetch_add(1, Ordering::Relaxed),
        };
        record.line(&format!(
            "{id} to edge-{daemon}: {answer:?} after {took} ms"
        ));
        if answer.is_err() {
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    }
}

/// Returns the id of the process that was started with this source address.
fn pid(source: IpAddr) -> Option<u32> {
    let wanted = format!("--source\0{source}\0");
    let processes = std::fs::read_dir("/proc").ok()?;
    let mut ids = processes.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    ids.find(|id: &u32| {
        let line = std::fs::read(format!("/proc/{id}/cmdline")).unwrap_or_default();
        String::from_utf8_lossy(&line).contains(&wanted)
    })
}

/// Returns the memory that a process has now, by what the kernel says of the process.
fn memory(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes * 1_024)
}

#[tokio::main]
async fn main() {
    let case = Case::from_args();
    let mut world = World::start(&program(), &case.folder, 242, DAEMONS).await;
    let mut config = catalog(3, &["k1"]);
    config["limits"]["maxBodyBytes"] = json!(MAX_BODY);
    for route in config["routes"].as_array_mut().into_iter().flatten() {
        route["timeoutMs"] = json!(8_000);
    }
    world.store.put("op", "config", &config);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let addresses: Vec<_> = world.daemons.iter().map(|d| d.caller_address()).collect();
    let (crowded, seen) = (
        Arc::new(AtomicUsize::new(usize::MAX)),
        Arc::new(Seen::default()),
    );
    let part = Arc::new(vec![b'x'; BODY / PARTS]);
    for number in 0..CROWD {
        let task = client(
            number,
            addresses.clone(),
            crowded.clone(),
            seen.clone(),
            case.record.clone(),
            part.clone(),
        );
        tokio::spawn(task);
    }
    let mut pids: Vec<_> = world.daemons.iter().map(|d| pid(d.source())).collect();
    let mut kills = vec![0; world.daemons.len()];
    let mut peaks = vec![0; world.daemons.len()];
    for target in [None, Some(0), Some(1)] {
        let target = target.filter(|_| case.trouble);
        crowded.store(target.unwrap_or(usize::MAX), Ordering::Relaxed);
        case.record.line(&match target {
            Some(daemon) => format!("the platform hands the new channels to edge-{daemon}"),
            None => "the platform spreads the new channels over all daemons".to_owned(),
        });
        let begun = Instant::now();
        let length = if target.is_some() { PHASE } else { PHASE / 2 };
        while begun.elapsed() < length {
            for (number, daemon) in world.daemons.iter_mut().enumerate() {
                let now = pids[number].and_then(memory).unwrap_or(0);
                peaks[number] = now.max(peaks[number]);
                if now > MEMORY {
                    case.record.line(&format!(
                        "{} has {} MB, over its {} MB: the platform kills it and starts it again",
                        daemon.name,
                        now / 1_000_000,
                        MEMORY / 1_000_000
                    ));
                    daemon.kill().await;
                    kills[number] += 1;
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    daemon.start();
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    pids[number] = pid(daemon.source());
                }
            }
            if target.is_some_and(|daemon| kills[daemon] >= 3) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let count = |of: &AtomicUsize| of.load(Ordering::Relaxed);
    case.record.line(&format!(
        "served {}, other answers {}, no answer {}; most memory in MB {:?}; kills {kills:?}",
        count(&seen.served),
        count(&seen.other),
        count(&seen.lost),
        peaks
            .iter()
            .map(|peak| peak / 1_000_000)
            .collect::<Vec<u64>>()
    ));
    let ended = kills.iter().filter(|kills| **kills >= 3).count();
    let broken = (count(&seen.served) > 0).then_some(ended >= 2);
    case.end(world, "Fault", broken).await;
}
