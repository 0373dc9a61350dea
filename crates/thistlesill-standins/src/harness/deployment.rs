//! One fleet: stand-ins, planners, routers and the files for them.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use thistlesill_cli::client::{DaemonAddress, FleetAddresses};
use thistlesill_core::config::{DaemonConfig, Limits, PeerConfig, Periods, Role};
use thistlesill_core::settings::TreeFile;
use thistlesill_core::{HallId, NodeId, jsonc};
use thistlesill_net::http::{HttpClient, HttpError};
use thistlesill_policy::router::Status;

use super::caller::Caller;
use super::process::{Child, binary};
use crate::faults::Fault;
use crate::platform::PlatformCounts;
use thistlesill_fakes::FleetFile;

const PLATFORM_PORT: u16 = 7_000;
const FIRST_TARGET_PORT: u16 = 7_100;
const CALLER_PORT: u16 = 8_000;
const ADMIN_PORT: u16 = 8_100;
const PEER_PORT: u16 = 8_200;
/// Between two looks at something that is waited for.
const LOOK: Duration = Duration::from_millis(25);
/// Time for a call of the stand-ins or a daemon.
const CALL: Duration = Duration::from_secs(5);
/// The secret shared by the daemons of a test fleet.
const KEY: &str = "0123456789abcdef0123456789abcdef";
/// The operators' token of a test fleet.
pub(super) const TOKEN: &str = "operators-test-token";

static DEPLOYMENTS: AtomicU8 = AtomicU8::new(1);

/// What to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The fleet's file and settings.
    pub fleet: FleetFile,
    /// The tree of settings.
    pub tree: TreeFile,
    /// How many routers.
    pub routers: usize,
    /// How many planners.
    pub planners: usize,
    /// Periods of the daemons.
    pub periods: Periods,
    /// Limits of the daemons.
    pub limits: Limits,
}

impl Options {
    /// The deployment in a folder of `deploy/`, with a router and a planner
    /// per hall.
    ///
    /// # Panics
    ///
    /// If the files are missing or malformed.
    pub fn deployed(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
        let read = |file: &str| {
            let path = dir.join(name).join(file);
            std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
        };
        Self {
            fleet: jsonc::from_str(&read("fleet.jsonc")).expect("a sound fleet file"),
            tree: jsonc::from_str(&read("settings.jsonc")).expect("a sound settings file"),
            routers: 3,
            planners: 3,
            periods: Periods {
                balancer_ms: 300,
                ..Periods::default()
            },
            limits: Limits::default(),
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// Its folder with files and logs.
    pub dir: PathBuf,
    options: Options,
    ip: IpAddr,
    http: HttpClient,
    standins: Option<Child>,
    routers: Vec<Option<Child>>,
    planners: Vec<Option<Child>>,
}

impl Deployment {
    /// Writes the files and starts all processes.
    pub async fn start(options: Options) -> Self {
        let mut deployment = Self::prepare(options);
        deployment.start_standins();
        deployment.wait_platform().await;
        for n in 0..deployment.options.planners {
            deployment.start_planner(n);
        }
        for n in 0..deployment.options.routers {
            deployment.start_router(n);
        }
        deployment
    }

    /// Writes the files only.
    ///
    /// # Panics
    ///
    /// If a file cannot be written.
    pub fn prepare(mut options: Options) -> Self {
        let ip = own_ip();
        let dir = std::env::temp_dir().join(format!("thistlesill-{ip}"));
        drop(std::fs::remove_dir_all(&dir));
        std::fs::create_dir_all(&dir).expect("a folder for files");
        options.fleet.platform = SocketAddr::new(ip, PLATFORM_PORT);
        options.fleet.targets = ip;
        options.fleet.first_port = FIRST_TARGET_PORT;
        options.fleet.key_file = dir.join("key");
        std::fs::write(dir.join("key"), KEY).expect("a file");
        std::fs::write(dir.join("token"), TOKEN).expect("a file");
        let deployment = Self {
            http: HttpClient::pooled(),
            standins: None,
            routers: (0..options.routers).map(|_| None).collect(),
            planners: (0..options.planners).map(|_| None).collect(),
            dir,
            ip,
            options,
        };
        deployment.write_files();
        deployment
    }

    fn write_files(&self) {
        self.write("fleet.jsonc", &self.options.fleet);
        self.write("settings.jsonc", &self.options.tree);
        for (n, _) in self.routers.iter().enumerate() {
            let config = self.config(Role::Router, n);
            self.write(&format!("{}.jsonc", config.name), &config);
        }
        for (n, _) in self.planners.iter().enumerate() {
            let config = self.config(Role::Planner, n);
            self.write(&format!("{}.jsonc", config.name), &config);
        }
        let daemons = self.all_daemons().into_iter();
        let client = FleetAddresses {
            platform: self.options.fleet.platform,
            token_file: self.dir.join("token"),
            daemons: daemons
                .map(|(role, n)| DaemonAddress {
                    name: self.name(role, n),
                    role,
                    admin: self.admin(role, n),
                })
                .collect(),
        };
        self.write("thistlesill.jsonc", &client);
    }

    fn write<T: Serialize>(&self, name: &str, value: &T) {
        let text = serde_json::to_string_pretty(value).expect("files encode");
        std::fs::write(self.dir.join(name), text).expect("a file");
    }

    fn all_daemons(&self) -> Vec<(Role, usize)> {
        let routers = (0..self.routers.len()).map(|n| (Role::Router, n));
        let planners = (0..self.planners.len()).map(|n| (Role::Planner, n));
        routers.chain(planners).collect()
    }

    fn hall(&self, n: usize) -> HallId {
        let halls = &self.options.fleet.halls;
        halls[n % halls.len()].hall.clone()
    }

    fn name(&self, role: Role, n: usize) -> NodeId {
        let letter = match role {
            Role::Router => 'r',
            Role::Planner => 'p',
        };
        NodeId::new(format!("{}-{letter}{n}", self.hall(n)))
    }

    const fn port(base: u16, role: Role, n: usize) -> u16 {
        let offset = match role {
            Role::Router => 0,
            Role::Planner => 50,
        };
        base + offset + n as u16
    }

    const fn admin(&self, role: Role, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, Self::port(ADMIN_PORT, role, n))
    }

    const fn peer(&self, role: Role, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, Self::port(PEER_PORT, role, n))
    }

    fn config(&self, role: Role, n: usize) -> DaemonConfig {
        let me = self.name(role, n);
        let peers = self.all_daemons().into_iter();
        DaemonConfig {
            region: self.options.fleet.region.clone(),
            hall: self.hall(n),
            callers: (role == Role::Router).then(|| self.callers(n)),
            admin: self.admin(role, n),
            peer: self.peer(role, n),
            peers: peers
                .map(|(role, n)| PeerConfig {
                    name: self.name(role, n),
                    hall: self.hall(n),
                    peer: self.peer(role, n),
                    role,
                })
                .filter(|p| p.name != me)
                .collect(),
            platform: self.options.fleet.platform,
            key_file: self.dir.join("key"),
            token_file: self.dir.join("token"),
            limits: self.options.limits,
            periods: self.options.periods,
            name: me,
        }
    }

    /// Where a router answers callers.
    pub const fn callers(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT + n as u16)
    }

    /// A caller of one router with a customer's token.
    pub fn caller(&self, router: usize, customer: &str) -> Caller {
        Caller::new(self.callers(router), format!("{customer}-demo-token"))
    }

    /// Starts the stand-ins.
    pub fn start_standins(&mut self) {
        let file = self.dir.join("fleet.jsonc");
        let log = self.dir.join("standins.log");
        self.standins = Some(Child::start("thistlesill-standins", &[&file], &log));
    }

    /// Starts a router, also anew after its end.
    pub fn start_router(&mut self, n: usize) {
        self.routers[n] = Some(self.daemon(Role::Router, n));
    }

    /// Starts a planner, also anew after its end.
    pub fn start_planner(&mut self, n: usize) {
        self.planners[n] = Some(self.daemon(Role::Planner, n));
    }

    fn daemon(&self, role: Role, n: usize) -> Child {
        let name = self.name(role, n);
        let program = match role {
            Role::Router => "thistlesill-router",
            Role::Planner => "thistlesill-planner",
        };
        let config = self.dir.join(format!("{name}.jsonc"));
        let log = self.dir.join(format!("{name}.log"));
        Child::start(program, &[&config], &log)
    }

    /// A router's process.
    ///
    /// # Panics
    ///
    /// If it was not started.
    pub fn router(&mut self, n: usize) -> &mut Child {
        self.routers[n].as_mut().expect("a started router")
    }

    /// A planner's process.
    ///
    /// # Panics
    ///
    /// If it was not started.
    pub fn planner(&mut self, n: usize) -> &mut Child {
        self.planners[n].as_mut().expect("a started planner")
    }

    /// A daemon's metrics, as text.
    pub async fn metrics(&self, role: Role, n: usize) -> String {
        let head = hyper::Request::get(format!("http://{}/metrics", self.admin(role, n)));
        let Ok(request) = thistlesill_net::http::build_request(head, bytes::Bytes::new()) else {
            return String::new();
        };
        let answer = self.http.call(request, CALL).await;
        let bytes = answer.map(hyper::Response::into_body).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn child(&self, role: Role, n: usize) -> Option<&Child> {
        match role {
            Role::Router => self.routers[n].as_ref(),
            Role::Planner => self.planners[n].as_ref(),
        }
    }

    /// Processor time that a daemon has used so far.
    pub fn processor_time(&self, role: Role, n: usize) -> Duration {
        let child = self.child(role, n);
        child.map_or(Duration::ZERO, Child::processor_time)
    }

    /// Memory that a daemon holds, in kilobytes.
    pub fn resident_kb(&self, role: Role, n: usize) -> u64 {
        self.child(role, n).map_or(0, Child::resident_kb)
    }

    /// How many routers and planners there are.
    pub fn sizes(&self) -> (usize, usize) {
        (self.routers.len(), self.planners.len())
    }

    async fn wait_platform(&self) {
        let up = self
            .until(Duration::from_secs(10), async || {
                self.counts().await.is_ok()
            })
            .await;
        assert!(up, "the stand-ins did not start");
    }

    /// What happened at the platform and its targets.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn counts(&self) -> Result<PlatformCounts, HttpError> {
        let call = self
            .http
            .get_json(self.options.fleet.platform, "/counts", CALL);
        call.await
    }

    /// Makes a failure happen, or end.
    ///
    /// # Panics
    ///
    /// If the stand-ins do not answer.
    pub async fn fault(&self, fault: &Fault) {
        let platform = self.options.fleet.platform;
        let call = self
            .http
            .post_json::<_, String>(platform, "/fault", fault, CALL);
        call.await.expect("the stand-ins answer");
    }

    /// Asks a daemon as an operator.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn admin_get<T: DeserializeOwned>(
        &self,
        role: Role,
        n: usize,
        path: &str,
    ) -> Result<T, HttpError> {
        let url = format!("http://{}{path}", self.admin(role, n));
        let head = hyper::Request::get(url).header("authorization", format!("Bearer {TOKEN}"));
        let request = thistlesill_net::http::build_request(head, bytes::Bytes::new())?;
        thistlesill_net::http::decode(&self.http.call(request, CALL).await?)
    }

    /// A router's figures.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn router_status(&self, n: usize) -> Result<Status, HttpError> {
        self.admin_get(Role::Router, n, "/admin/status").await
    }

    /// Runs the operators' client; returns its exit code and output.
    ///
    /// # Panics
    ///
    /// If it cannot be started.
    pub fn cli(&self, arguments: &[&str]) -> (i32, String) {
        let output = std::process::Command::new(binary("thistlesill"))
            .arg("--fleet")
            .arg(self.dir.join("thistlesill.jsonc"))
            .args(arguments)
            .output()
            .expect("the client starts");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    /// Puts the deployment's settings in force.
    ///
    /// # Panics
    ///
    /// If they are refused.
    pub fn put_settings(&self) {
        let file = self.dir.join("settings.jsonc");
        let (code, text) = self.cli(&["settings", "put", &file.display().to_string()]);
        assert_eq!(code, 0, "{text}");
    }

    /// Puts a changed tree in force; returns its revision.
    ///
    /// # Panics
    ///
    /// If the tree in force cannot be read or the change is refused.
    pub fn edit_settings(&self, change: impl FnOnce(&mut TreeFile)) -> u64 {
        let (code, text) = self.cli(&["settings", "get"]);
        assert_eq!(code, 0, "{text}");
        let mut tree: TreeFile = jsonc::from_str(&text).expect("the client prints a tree");
        change(&mut tree);
        let revision = tree.revision.unwrap_or_default() + 1;
        self.write("edited.jsonc", &tree);
        let file = self.dir.join("edited.jsonc");
        let (code, text) = self.cli(&["settings", "put", &file.display().to_string()]);
        assert_eq!(code, 0, "{text}");
        revision
    }

    /// Waits until every router sees as many servers (groups and services)
    /// as wanted; whether it came so in time.
    pub async fn wait_servers(&self, wanted: usize, limit: Duration) -> bool {
        self.until(limit, async || {
            for n in 0..self.routers.len() {
                let status = self.router_status(n).await;
                if status.map_or(0, |s| s.servers) != wanted {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits until every router has a revision in force; whether it came so
    /// in time.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) -> bool {
        self.until(limit, async || {
            for n in 0..self.routers.len() {
                let status = self.router_status(n).await;
                if status.map_or(0, |s| s.revision) < revision {
                    return false;
                }
            }
            true
        })
        .await
    }

    /// Waits for something to become true; whether it did in time.
    pub async fn until(&self, limit: Duration, mut test: impl AsyncFnMut() -> bool) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if test().await {
                return true;
            }
            tokio::time::sleep(LOOK).await;
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.routers.clear();
        self.planners.clear();
        self.standins = None;
        if !std::thread::panicking() && std::env::var_os("THISTLESILL_KEEP").is_none() {
            drop(std::fs::remove_dir_all(&self.dir));
        }
    }
}

/// An address of the loopback range that no other test process uses, so that
/// fixed ports do not meet.
fn own_ip() -> IpAddr {
    let pid = std::process::id();
    let turn = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
    let high = 1 + (pid >> 8) % 250;
    let low = pid & 0xff;
    IpAddr::V4(Ipv4Addr::new(127, high as u8, low as u8, turn))
}
