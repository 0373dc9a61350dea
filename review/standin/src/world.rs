//! A small deployment on loopback addresses: the store, servers of one plain service, and edge
//! daemons as processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::server::{Runs, Server};
use crate::store::{Store, Way};

pub const HOST: &str = "ficu95.example";
const SERVICE: &str = "clerk-portal";
const ZONE: &str = "hall-concord";
const STORE_PORT: u16 = 8_223;
const SERVER_PORT: u16 = 8_600;
const CALLER_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const CONTROL_PORT: u16 = 8_229;
const METRICS_PORT: u16 = 9_464;
const PEER_PORTS: [u16; 2] = [7_340, 7_355];
/// Time for a deployment to serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The bounds of a small deployment, as the users' sheet of `anemct-thistle` has them.
pub const REVOKE: Duration = Duration::from_millis(5_000);
pub const GRACE: Duration = Duration::from_secs(8);

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// The option of `prctl` by which a process gets a signal when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// Signals by their numbers on Linux.
#[derive(Debug, Clone, Copy)]
pub enum Signal {
    Kill = 9,
    Term = 15,
    Cont = 18,
    Stop = 19,
}

type Processes = Arc<Mutex<Vec<Child>>>;

/// A daemon; each start is a process of its own.
pub struct Daemon {
    pub name: String,
    ip: Ipv4Addr,
    settings: PathBuf,
    store: SocketAddr,
    seeds: Vec<Ipv4Addr>,
    started: bool,
    pid: Option<u32>,
    /// The daemon's way to the store.
    pub way: Way,
}

pub struct World {
    pub store: Store,
    pub runs: Runs,
    pub record: Record,
    pub daemons: Vec<Daemon>,
    program: PathBuf,
    folder: PathBuf,
    processes: Processes,
}

/// What the servers of a deployment do.
#[derive(Clone, Copy)]
pub struct Work {
    pub time: Duration,
    pub answer_bytes: usize,
}

impl World {
    /// Starts a deployment with two servers and waits until each daemon says that it is ready.
    pub fn start(record: &Record, daemons: u8, config: &str, work: Work) -> io::Result<Self> {
        let net = free_net(daemons)?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let processes = Processes::default();
        end_in_time(&processes);
        let store = Store::new();
        store.put("op", "config", config);
        let runs = Runs::default();
        for number in 0..2 {
            let server = Server {
                id: format!("i-{number}7f3a91c2"),
                service: SERVICE.to_owned(),
                zone: ZONE.to_owned(),
                address: (net.ip(100 + number), SERVER_PORT).into(),
                work: work.time,
                answer_bytes: work.answer_bytes,
            };
            server.start(&store, &runs, record)?;
        }
        let seeds: Vec<Ipv4Addr> = (0..daemons.min(3)).map(|n| net.ip(10 + n)).collect();
        let mut world = Self {
            program: program()?,
            store,
            runs,
            record: record.clone(),
            daemons: Vec::new(),
            folder,
            processes,
        };
        for number in 0..daemons {
            let name = format!("front-{ZONE}-{}", number + 1);
            let address = (net.ip(50 + number), STORE_PORT).into();
            world.daemons.push(Daemon {
                settings: world.folder.join(format!("{name}.json")),
                name,
                ip: net.ip(10 + number),
                store: address,
                seeds: seeds.clone(),
                started: false,
                pid: None,
                way: world.store.serve(address)?,
            });
        }
        for number in 0..world.daemons.len() {
            world.start_daemon(number)?;
        }
        for number in 0..world.daemons.len() {
            world.wait_until_ready(number)?;
        }
        Ok(world)
    }

    /// Starts a daemon's process with the command of the deploy file.
    pub fn start_daemon(&mut self, number: usize) -> io::Result<()> {
        let (program, folder) = (self.program.clone(), self.folder.clone());
        let daemon = &mut self.daemons[number];
        fs::write(&daemon.settings, daemon.settings_text())?;
        daemon.started = true;
        let log = folder.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command
            .args(["--metrics", &format!("{}:{METRICS_PORT}", daemon.ip)])
            .env_clear()
            .env("THISTLESILL_SETTINGS", &daemon.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the call between fork and exec takes two numbers and allocates nothing. No daemon
        // outlives this process, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, Signal::Kill as u64);
                Ok(())
            });
        }
        let child = command.spawn()?;
        daemon.pid = Some(child.id());
        self.record
            .line(format!("daemon    {} started", daemon.name));
        self.processes
            .lock()
            .expect("the lock is sound")
            .push(child);
        Ok(())
    }

    /// Sends a signal to a daemon's process; waits for its end after a kill.
    pub fn signal(&self, number: usize, signal: Signal) {
        let daemon = &self.daemons[number];
        let Some(pid) = daemon.pid else { return };
        self.record
            .line(format!("daemon    {} gets {signal:?}", daemon.name));
        // SAFETY: the call takes two numbers; the process is a child that was not waited for.
        unsafe { kill(pid.cast_signed(), signal as i32) };
        if matches!(signal, Signal::Kill) {
            self.wait_for_end(number, Duration::from_secs(5));
        }
    }

    /// Returns whether a daemon's process has ended.
    pub fn has_ended(&self, number: usize) -> bool {
        let pid = self.daemons[number].pid;
        let mut processes = self.processes.lock().expect("the lock is sound");
        let child = processes.iter_mut().find(|child| Some(child.id()) == pid);
        let ended = child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)));
        if ended {
            let name = &self.daemons[number].name;
            self.record.line(format!("daemon    {name} has ended"));
        }
        ended
    }

    /// Waits until a daemon's process has ended; returns whether it did.
    pub fn wait_for_end(&self, number: usize, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.has_ended(number) {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn is_ready(&self, number: usize) -> bool {
        let request = format!("GET /api/ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n");
        let address = (self.daemons[number].ip, READY_PORT).into();
        let answer = http::call(address, request.as_bytes(), Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_until_ready(&self, number: usize) -> io::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while !self.is_ready(number) {
            if Instant::now() > until {
                let name = &self.daemons[number].name;
                return Err(io::Error::other(format!("{name} does not become ready")));
            }
            thread::sleep(Duration::from_millis(50));
        }
        let name = &self.daemons[number].name;
        self.record
            .line(format!("daemon    {name} says it is ready"));
        Ok(())
    }

    pub fn caller_address(&self, number: usize) -> SocketAddr {
        (self.daemons[number].ip, CALLER_PORT).into()
    }

    /// Writes a config as the operator does.
    pub fn put_config(&self, config: &str, what: &str) -> Instant {
        self.record.line(format!("operator  {what}"));
        let version = self.store.put("op", "config", config);
        self.record.line(format!(
            "store     acknowledges it at its version {version}"
        ));
        Instant::now()
    }

    /// Sends a consumer's request to a daemon; returns the status, or `None` without an answer.
    pub fn send(&self, number: usize, request: &Sent<'_>) -> Option<u16> {
        let name = &self.daemons[number].name;
        self.record.line(format!(
            "consumer  sends {} to {name}: {} {}, {}",
            request.id, request.method, request.path, request.note
        ));
        let limit = request.deadline + Duration::from_secs(1);
        let answer = http::call(self.caller_address(number), &request.encode(), limit);
        let told = match &answer {
            Ok(answer) if answer.complete => format!(
                "answer {} of {} bytes, seal {}",
                answer.status,
                answer.body.len(),
                answer.header("thistlesill-response-seal").unwrap_or("none")
            ),
            Ok(answer) => format!("answer {} cut short", answer.status),
            Err(error) => format!("no answer: {error}"),
        };
        self.record
            .line(format!("consumer  {}: {told}", request.id));
        answer.ok().map(|answer| answer.status)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        end_all(&self.processes);
        // The record tells what was seen from outside; the daemons' own lines are not needed.
        drop(fs::remove_dir_all(&self.folder));
    }
}

impl Daemon {
    /// Returns the settings file as the platform lays it.
    fn settings_text(&self) -> String {
        let Self {
            name, ip, store, ..
        } = self;
        let seeds = self.seeds.iter();
        let seeds: Vec<String> = seeds.map(|s| format!("\"{s}:{CONTROL_PORT}\"")).collect();
        let (seeds, bootstrap) = (seeds.join(","), !self.started);
        let [first, last] = PEER_PORTS;
        let revoke = REVOKE.as_millis();
        let grace = GRACE.as_secs();
        format!(
            r#"{{"nodeName":"{name}","role":"edge","machineClass":"front","serves":["front","control"],
"ip":"{ip}","zone":"{ZONE}","region":"new-england","zones":{{"{ZONE}":"new-england"}},
"listen":{{"frontend":"{ip}:{CALLER_PORT}","readiness":"{ip}:{READY_PORT}","control":"{ip}:{CONTROL_PORT}"}},
"portRange":[{first},{last}],"seeds":[{seeds}],"bootstrap":{bootstrap},"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","gangs"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":{grace},
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"outerMs":5000,"strictRevoke":true,"revokeMs":{revoke},
"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":136,"recoveryS":12,"pass_ms":120,"again_s":0,
"stall_ms":5000,"requireFencing":false,"ceilingWindowS":5,"ceilingOverage":1.1}},
"platform":{{"address":"{store}","form":"table","writes_per_s":400,"reads_per_s":2000,"tx_ms":5.0,
"part_writes_per_s":200,"row_bytes":65536,"across":false,"historyS":20,"blob_bytes":8388608,"blob_ms":25.0,
"blob_mb_per_s":80.0}}}}"#
        )
    }
}

/// A consumer's request.
pub struct Sent<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub deadline: Duration,
    /// What the record says of the request.
    pub note: &'a str,
}

impl Sent<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let key = self.key.map(|key| format!("Thistlesill-Key: {key}\r\n"));
        let (
            Self {
                id, method, path, ..
            },
            key,
        ) = (self, key.unwrap_or_default());
        let deadline = self.deadline.as_millis();
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nThistlesill-Attempt-Id: {id}\r\n\
             Thistlesill-Deadline-Ms: {deadline}\r\n{key}Content-Length: 0\r\n\r\n"
        )
        .into_bytes()
    }
}

/// Returns a config with a version and the keys of two tenants.
pub fn config(version: u64, first: &[&str], second: &[&str]) -> String {
    let list = |keys: &[&str]| {
        let quoted: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        quoted.join(",")
    };
    let (first, second) = (list(first), list(second));
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","kind":"{kind}","timeoutMs":8000,
"targetLatencyMs":300,"priority":2,"service":"{SERVICE}","attempts":{attempts},"anonymous":false,
"sticky":false,"resumable":false}}"#
        )
    };
    let routes = [
        route("posting-notice", "/post/", "non_idempotent", 1),
        route("record-lookup", "/read/", "idempotent", 2),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],
"services":[{{"name":"{SERVICE}","healthCheck":"/health","maxConns":110,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":[{first}],"priority":1}},
{{"name":"zoka112","apiKeys":[{second}],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A range of loopback addresses whose ports are free.
struct Net {
    second: u8,
    third: u8,
}

impl Net {
    const fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.second, self.third, last)
    }

    fn is_free(&self, daemons: u8) -> bool {
        let [first, last] = PEER_PORTS;
        let ports = (first..=last).chain([CALLER_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT]);
        let own = ports.flat_map(|port| (0..daemons).map(move |n| (10 + n, port)));
        let stores = (0..daemons).map(|n| (50 + n, STORE_PORT));
        let servers = [(100, SERVER_PORT), (101, SERVER_PORT)];
        own.chain(stores).chain(servers).all(|(last, port)| {
            let address = (self.ip(last), port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        })
    }
}

fn free_net(daemons: u8) -> io::Result<Net> {
    let seed = std::process::id();
    let nets = (0..50).map(|n| {
        let number = seed.wrapping_mul(7).wrapping_add(n * 131);
        Net {
            second: 64 + (number % 128) as u8,
            third: 1 + (number / 128 % 250) as u8,
        }
    });
    let mut free = nets.filter(|net| net.is_free(daemons));
    free.next().ok_or_else(|| io::Error::other("no free ports"))
}

/// Returns the program of the deploy file: built at the root of the repository.
fn program() -> io::Result<PathBuf> {
    let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".to_owned());
    let path = Path::new(&root).join("target/release/thistlesill-edge");
    path.canonicalize()
}

/// Ends all processes after two minutes less a margin, whatever the case does.
fn end_in_time(processes: &Processes) {
    let processes = processes.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(110));
        end_all(&processes);
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

fn end_all(processes: &Processes) {
    let mut processes = processes.lock().expect("the lock is sound");
    for child in processes.iter_mut() {
        drop(child.kill());
        drop(child.wait());
    }
}
