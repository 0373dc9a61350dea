//! The servers of a service are replaced by those of a new version, whose event streams end their
//! lines with CR LF, as the format allows.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::json;
use thistlesill_net::lane::{HttpConnection, within};
use thistlesill_platform_standin::caller::{CallerRequest, call_on};
use thistlesill_platform_standin::store::Store;
use thistlesill_platform_standin::world::{World, catalog};
use thistlesill_review_2::{Case, Record, program};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const DAEMONS: u8 = 3;
const NET: u8 = 244;
const SERVICE: &str = "streams";
/// Events of each stream.
const EVENTS: u64 = 12;
/// Streams on kept channels in each phase.
const STREAMS: usize = 30;
/// `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(3_000);

/// A server of the service.
#[derive(Clone)]
struct Server {
    id: &'static str,
    address: SocketAddr,
    version: &'static str,
    /// How it ends the lines of its streams.
    end: &'static str,
}

impl Server {
    fn new(id: &'static str, place: u8, version: &'static str, end: &'static str) -> Self {
        let address = SocketAddr::from((Ipv4Addr::new(127, 2, NET, place), 8_700));
        Self {
            id,
            address,
            version,
            end,
        }
    }

    /// Writes the server's entry.
    fn list(&self, store: &Store, state: &str) {
        let entry = json!({
            "service": SERVICE, "address": self.address, "zone": "h", "version": self.version,
            "slots": 26, "state": state, "coldRemainingMs": 0, "seq": 1, "born": 1_790_000_000_000_u64,
        });
        store.put("servers", self.id, &entry);
    }

    async fn serve(self, record: Record) {
        let listener = TcpListener::bind(self.address)
            .await
            .expect("the address is free");
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve_channel(stream, record.clone()));
        }
    }

    /// Serves the requests of a channel, one after the other.
    async fn serve_channel(self, mut stream: TcpStream, record: Record) -> std::io::Result<()> {
        let mut read = Vec::new();
        loop {
            let head = loop {
                if let Some(end) = read.windows(4).position(|four| four == b"\r\n\r\n") {
                    let rest = read.split_off(end + 4);
                    break String::from_utf8_lossy(&std::mem::replace(&mut read, rest))
                        .to_lowercase();
                }
                let mut part = [0; 4_096];
                match stream.read(&mut part).await? {
                    0 => return Ok(()),
                    length => read.extend_from_slice(&part[..length]),
                }
            };
            let value = |name: &str| {
                let mut lines = head.lines().filter_map(|line| line.split_once(": "));
                lines
                    .find(|(found, _)| *found == name)
                    .map(|(_, value)| value.to_owned())
            };
            let length = value("content-length")
                .and_then(|l| l.parse().ok())
                .unwrap_or(0);
            while read.len() < length {
                let mut part = [0; 4_096];
                match stream.read(&mut part).await? {
                    0 => return Ok(()),
                    length => read.extend_from_slice(&part[..length]),
                }
            }
            read.drain(..length);
            let expected = value("thistlesill-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                stream
                    .write_all(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
                    .await?;
                continue;
            }
            let Some(attempt) = value("thistlesill-attempt-id") else {
                // A status check.
                let ok = format!(
                    "HTTP/1.1 200 OK\r\nthistlesill-instance-id: {}\r\ncontent-length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(ok.as_bytes()).await?;
                continue;
            };
            let after: u64 = value("last-event-id")
                .and_then(|id| id.parse().ok())
                .unwrap_or(0);
            record.line(&format!(
                "server {} ({}) runs {attempt}, after event {after}",
                self.id, self.version
            ));
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nthistlesill-attempt-id: {attempt}\r\n\
                 thistlesill-response-seal: 5ea1\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            for event in after + 1..=EVENTS {
                tokio::time::sleep(Duration::from_millis(15)).await;
                let end = self.end;
                let text = format!("id: {event}{end}data: piece {event}{end}{end}");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await?;
            record.line(&format!("server {} has sent all of {attempt}", self.id));
        }
    }
}

/// Sends streams on kept channels; returns how many ended without a whole answer.
async fn streams(world: &World, case: &Case, name: &str) -> Result<usize, String> {
    let mut channels = Vec::new();
    for daemon in &world.daemons {
        let limit = within(Duration::from_secs(1));
        let channel = HttpConnection::connect(daemon.caller_address(), limit).await;
        channels.push(channel.map_err(|e| e.to_string())?);
    }
    let mut cut = 0;
    for number in 0..STREAMS {
        let daemon = number % channels.len();
        let id = format!("{name}-{number}");
        let request = CallerRequest::new(&id, "POST", "/events/s");
        if !channels[daemon].is_ready() {
            let address = world.daemons[daemon].caller_address();
            let channel = HttpConnection::connect(address, within(Duration::from_secs(1))).await;
            channels[daemon] = channel.map_err(|e| e.to_string())?;
        }
        let answer = call_on(&mut channels[daemon], &request).await;
        let text = match &answer {
            Ok(answer) => format!(
                "status {}, {} events, whole: {}",
                answer.status,
                answer.events().len(),
                answer.is_complete
            ),
            Err(error) => error.to_string(),
        };
        let whole = answer
            .is_ok_and(|a| a.status == 200 && a.is_complete && a.events().len() == EVENTS as usize);
        cut += usize::from(!whole);
        case.record.line(&format!("{id} to edge-{daemon}: {text}"));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(cut)
}

#[tokio::main]
async fn main() {
    let case = Case::from_args();
    let world = World::start(&program(), &case.folder, NET, DAEMONS).await;
    let new_end = if case.trouble { "\r\n" } else { "\n" };
    let old = [
        Server::new("s-1", 101, "v1", "\n"),
        Server::new("s-2", 102, "v1", "\n"),
    ];
    let new = [
        Server::new("s-3", 103, "v2", new_end),
        Server::new("s-4", 104, "v2", new_end),
    ];
    for server in old.iter().chain(&new) {
        tokio::spawn(server.clone().serve(case.record.clone()));
    }
    let mut config = catalog(3, &["k1", "k2"]);
    let route = json!({
        "name": "events", "host": "a.example", "pathPrefix": "/events/", "kind": "streaming",
        "timeoutMs": 4_000, "targetLatencyMs": 400, "priority": 1, "service": SERVICE, "attempts": 2,
        "anonymous": false, "resumable": true, "gap_aim_ms": 200,
    });
    config["routes"]
        .as_array_mut()
        .expect("there are routes")
        .push(route);
    let service = json!({"name": SERVICE, "healthCheck": "/health", "maxConns": 200});
    config["services"]
        .as_array_mut()
        .expect("there are services")
        .push(service);
    world.store.put("op", "config", &config);
    old.iter()
        .for_each(|server| server.list(&world.store, "ready"));
    tokio::time::sleep(Duration::from_secs(4)).await;
    let before = streams(&world, &case, "before").await;
    // The release: a new server starts, an old one drains, and so on.
    for (old, new) in old.iter().zip(&new) {
        new.list(&world.store, "ready");
        case.record
            .line(&format!("server {} ({}) is ready", new.id, new.version));
        tokio::time::sleep(Duration::from_secs(2)).await;
        old.list(&world.store, "draining");
        case.record.line(&format!("server {} drains", old.id));
        tokio::time::sleep(DRAIN).await;
        world.store.remove("servers", old.id);
        case.record.line(&format!("server {} is gone", old.id));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let after = streams(&world, &case, "after").await;
    case.record.line(&format!(
        "streams without a whole answer: before {before:?}, after {after:?}"
    ));
    let broken = match (before, after) {
        (Ok(0), Ok(cut)) => Some(cut > 3),
        _ => None,
    };
    case.end(world, "LOST", broken).await;
}
