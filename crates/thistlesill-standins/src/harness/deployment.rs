//! A deployment under test: the processes of the stand-ins, planners and routers, and their files.

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
use super::process::{ChildProcess, binary};
use crate::faults::Fault;
use crate::platform::PlatformCounts;
use thistlesill_fakes::FleetFile;

const PLATFORM_PORT: u16 = 7_000;
const FIRST_TARGET_PORT: u16 = 7_100;
const CALLER_PORT: u16 = 8_000;
const ADMIN_PORT: u16 = 8_100;
const PEER_PORT: u16 = 8_200;
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout of a call of the stand-ins or of a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Secret that the daemons of a test fleet share.
const SHARED_SECRET: &str = "0123456789abcdef0123456789abcdef";
/// Operators' token of a test fleet.
pub(super) const OPERATOR_TOKEN: &str = "operators-test-token";

/// Number of the next deployment of this process, the last byte of its address.
static NEXT_DEPLOYMENT: AtomicU8 = AtomicU8::new(1);

/// Size, files and settings of a deployment to start.
#[derive(Debug, Clone)]
pub struct Options {
    /// The fleet of stand-ins; [`Deployment::prepare`] sets its addresses and key file.
    pub fleet: FleetFile,
    /// The operators' settings tree.
    pub tree: TreeFile,
    /// Number of routers.
    pub routers: usize,
    /// Number of planners.
    pub planners: usize,
    /// Periods of all daemons.
    pub periods: Periods,
    /// Limits of all daemons.
    pub limits: Limits,
}

impl Options {
    /// Returns the deployment in the folder `name` of `deploy/`, with three routers and three
    /// planners.
    ///
    /// # Panics
    ///
    /// If the files are missing or malformed.
    pub fn from_deploy_dir(name: &str) -> Self {
        let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
        let read = |file: &str| {
            let path = dir.join(name).join(file);
            std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
        };
        Self {
            fleet: jsonc::from_str(&read("fleet.jsonc")).expect("a valid fleet file"),
            tree: jsonc::from_str(&read("settings.jsonc")).expect("a valid settings file"),
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

/// A deployment under test; its processes are killed and its files removed on drop.
///
/// The files stay if the test panics or the variable `THISTLESILL_KEEP` is set.
#[derive(Debug)]
pub struct Deployment {
    /// Folder with the deployment's files and logs.
    pub dir: PathBuf,
    options: Options,
    ip: IpAddr,
    http: HttpClient,
    standins: Option<ChildProcess>,
    routers: Vec<Option<ChildProcess>>,
    planners: Vec<Option<ChildProcess>>,
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

    /// Writes the files without starting a process.
    ///
    /// # Panics
    ///
    /// If a file cannot be written.
    pub fn prepare(mut options: Options) -> Self {
        let ip = unused_loopback_ip();
        let dir = std::env::temp_dir().join(format!("thistlesill-{ip}"));
        drop(std::fs::remove_dir_all(&dir));
        std::fs::create_dir_all(&dir).expect("a folder for files");
        options.fleet.platform = SocketAddr::new(ip, PLATFORM_PORT);
        options.fleet.targets = ip;
        options.fleet.first_port = FIRST_TARGET_PORT;
        options.fleet.key_file = dir.join("key");
        std::fs::write(dir.join("key"), SHARED_SECRET).expect("a file");
        std::fs::write(dir.join("token"), OPERATOR_TOKEN).expect("a file");
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
            let config = self.daemon_config(Role::Router, n);
            self.write(&format!("{}.jsonc", config.name), &config);
        }
        for (n, _) in self.planners.iter().enumerate() {
            let config = self.daemon_config(Role::Planner, n);
            self.write(&format!("{}.jsonc", config.name), &config);
        }
        let daemons = self.all_daemons().into_iter();
        let client = FleetAddresses {
            platform: self.options.fleet.platform,
            token_file: self.dir.join("token"),
            daemons: daemons
                .map(|(role, n)| DaemonAddress {
                    name: self.daemon_name(role, n),
                    role,
                    admin: self.admin_address(role, n),
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

    fn daemon_name(&self, role: Role, n: usize) -> NodeId {
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

    const fn admin_address(&self, role: Role, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, Self::port(ADMIN_PORT, role, n))
    }

    const fn peer_address(&self, role: Role, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, Self::port(PEER_PORT, role, n))
    }

    fn daemon_config(&self, role: Role, n: usize) -> DaemonConfig {
        let me = self.daemon_name(role, n);
        let peers = self.all_daemons().into_iter();
        DaemonConfig {
            region: self.options.fleet.region.clone(),
            hall: self.hall(n),
            callers: (role == Role::Router).then(|| self.caller_address(n)),
            admin: self.admin_address(role, n),
            peer: self.peer_address(role, n),
            peers: peers
                .map(|(role, n)| PeerConfig {
                    name: self.daemon_name(role, n),
                    hall: self.hall(n),
                    peer: self.peer_address(role, n),
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

    /// Returns the address at which a router answers callers.
    pub const fn caller_address(&self, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT + n as u16)
    }

    /// Returns a caller of one router with a customer's token.
    pub fn caller(&self, router: usize, customer: &str) -> Caller {
        Caller::new(
            self.caller_address(router),
            format!("{customer}-demo-token"),
        )
    }

    /// Starts the process of the stand-ins.
    pub fn start_standins(&mut self) {
        let file = self.dir.join("fleet.jsonc");
        let log = self.dir.join("standins.log");
        self.standins = Some(ChildProcess::start("thistlesill-standins", &[&file], &log));
    }

    /// Starts a router or restarts one; a process of it that still runs is killed.
    pub fn start_router(&mut self, n: usize) {
        self.routers[n] = Some(self.start_daemon(Role::Router, n));
    }

    /// Starts a planner or restarts one; a process of it that still runs is killed.
    pub fn start_planner(&mut self, n: usize) {
        self.planners[n] = Some(self.start_daemon(Role::Planner, n));
    }

    fn start_daemon(&self, role: Role, n: usize) -> ChildProcess {
        let name = self.daemon_name(role, n);
        let program = match role {
            Role::Router => "thistlesill-router",
            Role::Planner => "thistlesill-planner",
        };
        let config = self.dir.join(format!("{name}.jsonc"));
        let log = self.dir.join(format!("{name}.log"));
        ChildProcess::start(program, &[&config], &log)
    }

    /// Returns a router's process.
    ///
    /// # Panics
    ///
    /// If the router was not started.
    pub fn router(&mut self, n: usize) -> &mut ChildProcess {
        self.routers[n].as_mut().expect("a started router")
    }

    /// Returns a planner's process.
    ///
    /// # Panics
    ///
    /// If the planner was not started.
    pub fn planner(&mut self, n: usize) -> &mut ChildProcess {
        self.planners[n].as_mut().expect("a started planner")
    }

    /// Returns a daemon's metrics as text, empty if the daemon does not answer.
    pub async fn metrics(&self, role: Role, n: usize) -> String {
        let head = hyper::Request::get(format!("http://{}/metrics", self.admin_address(role, n)));
        let Ok(request) = thistlesill_net::http::build_request(head, bytes::Bytes::new()) else {
            return String::new();
        };
        let answer = self.http.call(request, CALL_TIMEOUT).await;
        let bytes = answer.map(hyper::Response::into_body).unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn daemon_process(&self, role: Role, n: usize) -> Option<&ChildProcess> {
        match role {
            Role::Router => self.routers[n].as_ref(),
            Role::Planner => self.planners[n].as_ref(),
        }
    }

    /// Returns the CPU time that a daemon has used so far; zero if the daemon was not started.
    pub fn cpu_time(&self, role: Role, n: usize) -> Duration {
        let child = self.daemon_process(role, n);
        child.map_or(Duration::ZERO, ChildProcess::cpu_time)
    }

    /// Returns a daemon's resident memory in kilobytes; 0 if the daemon was not started.
    pub fn resident_kb(&self, role: Role, n: usize) -> u64 {
        self.daemon_process(role, n)
            .map_or(0, ChildProcess::resident_kb)
    }

    /// Returns the number of routers and of planners.
    pub fn daemon_counts(&self) -> (usize, usize) {
        (self.routers.len(), self.planners.len())
    }

    async fn wait_platform(&self) {
        let up = self
            .wait_until(Duration::from_secs(10), async || {
                self.counts().await.is_ok()
            })
            .await;
        assert!(up, "the stand-ins did not start");
    }

    /// Returns what the platform and the targets have counted.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn counts(&self) -> Result<PlatformCounts, HttpError> {
        let call = self
            .http
            .get_json(self.options.fleet.platform, "/counts", CALL_TIMEOUT);
        call.await
    }

    /// Injects a fault into the stand-ins or ends one.
    ///
    /// # Panics
    ///
    /// If the stand-ins do not answer.
    pub async fn inject(&self, fault: &Fault) {
        let platform = self.options.fleet.platform;
        let call = self
            .http
            .post_json::<_, String>(platform, "/fault", fault, CALL_TIMEOUT);
        call.await.expect("the stand-ins answer");
    }

    /// Fetches a path of a daemon's admin interface with the operators' token.
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
        let url = format!("http://{}{path}", self.admin_address(role, n));
        let head =
            hyper::Request::get(url).header("authorization", format!("Bearer {OPERATOR_TOKEN}"));
        let request = thistlesill_net::http::build_request(head, bytes::Bytes::new())?;
        thistlesill_net::http::decode(&self.http.call(request, CALL_TIMEOUT).await?)
    }

    /// Returns a router's status.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn router_status(&self, n: usize) -> Result<Status, HttpError> {
        self.admin_get(Role::Router, n, "/admin/status").await
    }

    /// Runs the operators' client and returns its exit code and output.
    ///
    /// # Panics
    ///
    /// If the client cannot be started.
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

    /// Puts the deployment's settings in force with the client.
    ///
    /// # Panics
    ///
    /// If the settings are refused.
    pub fn put_settings(&self) {
        let file = self.dir.join("settings.jsonc");
        let (code, text) = self.cli(&["settings", "put", &file.display().to_string()]);
        assert_eq!(code, 0, "{text}");
    }

    /// Changes the settings tree in force and returns the revision of the changed tree.
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

    /// Waits until every router has exactly `wanted` servers (groups and services); returns whether
    /// that was so within `limit`.
    pub async fn wait_servers(&self, wanted: usize, limit: Duration) -> bool {
        self.wait_until(limit, async || {
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

    /// Waits until every router has a revision of the settings or a newer one in force; returns
    /// whether that was so within `limit`.
    pub async fn wait_revision(&self, revision: u64, limit: Duration) -> bool {
        self.wait_until(limit, async || {
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

    /// Polls a condition until it is true; returns whether that was so within `limit`.
    pub async fn wait_until(
        &self,
        limit: Duration,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if condition().await {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
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

/// Returns a loopback address derived from the process id and the number of the deployment, so
/// that the fixed ports of deployments that run at the same time do not collide.
fn unused_loopback_ip() -> IpAddr {
    let pid = std::process::id();
    let deployment = NEXT_DEPLOYMENT.fetch_add(1, Ordering::Relaxed);
    let high = 1 + (pid >> 8) % 250;
    let low = pid & 0xff;
    IpAddr::V4(Ipv4Addr::new(127, high as u8, low as u8, deployment))
}
