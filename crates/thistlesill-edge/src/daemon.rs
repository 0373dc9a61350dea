//! The main loop of an edge daemon, with its start and stop.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use thistlesill_core::Millis;
use thistlesill_core::chart::ChartError;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_net::listen::listen_bounded;
use thistlesill_platform::Malformed;
use thistlesill_platform::settings::{decode_settings, settings_path};
use thistlesill_policy::charts::Charts;
use thistlesill_policy::edge::admission::BALANCER_DETECTION;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::lines::Line;
use crate::state::Edge;
use crate::{
    backoffs, figures, follow, forward, front, intake, limits, peers, planner, quarantine, reach,
    start, watch,
};

/// Exit code for settings that do not pass their check.
const INVALID_SETTINGS_EXIT_CODE: u8 = 2;
/// Interval between two rounds of housekeeping.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds between two runs of the slower housekeeping.
const ROUNDS_PER_SLOW_SWEEP: u32 = 10;
/// Rounds between two log lines about the daemon's state.
const ROUNDS_PER_STATUS: u32 = 50;
/// Time to close connections that have no request.
const IDLE_CLOSE_TIME: Millis = Millis::new(150);
/// How long a daemon that stops waits until its last log lines are written; less than the margin
/// before it would be killed.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(200);

/// The tasks of a process, as the `--parts` flag names them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Parts {
    /// Serve callers, and form groups while holding the lease.
    #[default]
    Both,
    /// Serve callers only.
    Serve,
    /// Only form groups while holding the lease.
    Plan,
}

impl FromStr for Parts {
    type Err = UnknownPart;

    fn from_str(text: &str) -> Result<Self, UnknownPart> {
        match text {
            "both" => Ok(Self::Both),
            "serve" => Ok(Self::Serve),
            "plan" => Ok(Self::Plan),
            _ => Err(UnknownPart {
                text: text.to_owned(),
            }),
        }
    }
}

/// A value of `--parts` that names none of the [`Parts`].
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is none of `both`, `serve` and `plan`"))]
pub struct UnknownPart {
    text: String,
}

/// The options of the command line that the settings don't hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// The tasks of the process.
    pub parts: Parts,
    /// Where to serve the metrics; by default the address in the settings.
    pub metrics: Option<SocketAddr>,
    /// The local address of outgoing connections; by default the system chooses it.
    pub source: Option<IpAddr>,
}

/// The reason why a daemon did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The settings file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings do not pass their check.
    #[snafu(display("{}: {source}", path.display()))]
    Settings {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: Malformed,
    },
    /// A state chart does not pass its check.
    #[snafu(display("{source}"))]
    Charts {
        /// The cause.
        source: ChartError,
    },
    /// The settings name no address for callers.
    #[snafu(display("the settings name no address for callers and the balancer"))]
    NoCallers,
    /// A socket, a signal handler or the runtime could not be set up.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What could not be set up.
        what: String,
        /// The cause.
        source: std::io::Error,
    },
}

/// The settings file as it was last read.
struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    fn read(path: PathBuf) -> Result<Self, StartError> {
        let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        Ok(Self { path, text })
    }

    /// Reads the file again; returns whether it has changed.
    fn refresh(&mut self) -> Result<bool, StartError> {
        let read = Self::read(self.path.clone())?;
        let is_changed = read.text != self.text;
        *self = read;
        Ok(is_changed)
    }

    /// Decodes the settings of a process with these tasks.
    fn settings(&self, parts: Parts) -> Result<EdgeSettings, StartError> {
        let path = &self.path;
        let settings = decode_settings(&self.text).context(SettingsSnafu { path })?;
        Ok(match parts {
            Parts::Plan => for_separate_planner(settings),
            Parts::Both | Parts::Serve => settings,
        })
    }
}

/// Returns the settings of a planner process on the machine of a serving daemon, so that names
/// and ports differ.
fn for_separate_planner(mut settings: EdgeSettings) -> EdgeSettings {
    settings.name = format!("{}-plan", settings.name).into();
    settings.peer_port += 1;
    settings.last_port = settings.last_port.saturating_sub(1);
    settings
}

/// Reads the settings and runs a daemon with them, or only checks them.
///
/// Returns exit code 2 if the settings are invalid, and 1 if the daemon could not start.
pub fn main(config: Option<PathBuf>, only_check: bool, options: Options) -> ExitCode {
    let path = config.unwrap_or_else(settings_path);
    let checked = SettingsFile::read(path.clone());
    let checked = checked.and_then(|file| file.settings(options.parts).map(|_| file));
    let file = match checked {
        Ok(file) => file,
        Err(error) => {
            eprintln!("thistlesill-edge: {error}");
            return ExitCode::from(INVALID_SETTINGS_EXIT_CODE);
        }
    };
    if only_check {
        println!("{}: fine", path.display());
        return ExitCode::SUCCESS;
    }
    thistlesill_net::admin::install_logger();
    if let Some(source) = options.source {
        thistlesill_net::lane::bind_source(source);
    }
    match launch(file, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlesill-edge: {error}");
            ExitCode::FAILURE
        }
    }
}

fn launch(file: SettingsFile, options: Options) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(IoSnafu { what: "runtime" })?;
    let local = LocalSet::new();
    local.block_on(&runtime, run(file, options))
}

async fn run(mut file: SettingsFile, options: Options) -> Result<(), StartError> {
    let settings = file.settings(options.parts)?;
    let charts = Charts::load().context(ChartsSnafu)?;
    let handle = figures::install();
    let mut stop = listen_for(SignalKind::terminate())?;
    let mut reload = listen_for(SignalKind::hangup())?;
    let edge = Rc::new(Edge::new(settings));
    let settings = edge.settings();
    edge.lines
        .line("start")
        .with("name", &settings.name)
        .with("hall", &settings.hall)
        .with("boot", format!("{:016x}", edge.boot))
        .write();
    peers::link::open(&edge).await;
    tokio::task::spawn_local(start::run(edge.clone()));
    tokio::task::spawn_local(watch::follow_catalog(edge.clone()));
    tokio::task::spawn_local(watch::follow_targets(edge.clone()));
    tokio::task::spawn_local(peers::roster::run(edge.clone()));
    tokio::task::spawn_local(peers::link::run(edge.clone()));
    tokio::task::spawn_local(peers::transfer::serve(edge.clone()));
    tokio::task::spawn_local(peers::place::run(edge.clone()));
    tokio::task::spawn_local(peers::callers::run(edge.clone()));
    tokio::task::spawn_local(follow::run(edge.clone()));
    tokio::task::spawn_local(quarantine::send_updates(edge.clone()));
    tokio::task::spawn_local(limits::run(edge.clone()));
    tokio::task::spawn_local(quarantine::check_losses(edge.clone()));
    tokio::task::spawn_local(quarantine::confirm_crashes(edge.clone()));
    tokio::task::spawn_local(quarantine::persist(edge.clone()));
    if options.parts != Parts::Serve {
        tokio::task::spawn_local(planner::run(edge.clone(), charts));
    }
    tokio::task::spawn_local(reach::check_lost(edge.clone()));
    tokio::task::spawn_local(reach::check_doubted(edge.clone()));
    tokio::task::spawn_local(reach::check_undecided(edge.clone()));
    if options.parts != Parts::Plan {
        tokio::task::spawn_local(forward::serve(edge.clone()));
        let callers = listen(settings.callers.context(NoCallersSnafu)?)?;
        let health = listen(settings.health.context(NoCallersSnafu)?)?;
        tokio::task::spawn_local(front::serve_health(edge.clone(), health));
        tokio::task::spawn_local(intake::sample_delay(edge.clone()));
        tokio::task::spawn_local(front::serve_callers(edge.clone(), callers));
    }
    if let Some(handle) = &handle {
        let address = options.metrics.unwrap_or(settings.metrics_address());
        let listener = listen(address)?;
        tokio::task::spawn_local(figures::serve(listener, handle.clone()));
    }
    let mut rounds = 0;
    loop {
        tokio::select! {
            _ = stop.recv() => begin_stop(&edge),
            _ = reload.recv() => reload_settings(&edge, &mut file, options.parts, Trigger::Signal),
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
        }
        rounds += 1;
        handle_suspension(&edge);
        sweep(&edge);
        if rounds % ROUNDS_PER_SLOW_SWEEP == 0 {
            reload_settings(&edge, &mut file, options.parts, Trigger::Check);
            edge.lanes.sweep(edge.now());
            edge.quarantine.retain(edge.now());
            edge.ranking.retain(edge.now());
            if rounds % ROUNDS_PER_STATUS == 0 {
                log_status(&edge);
                log_traffic(&edge);
            }
            if let Some(handle) = &handle {
                handle.run_upkeep();
            }
        }
        if has_stopped(&edge) {
            break;
        }
    }
    edge.lines
        .line("stop")
        .with("active", edge.active.get())
        .with("unsent", edge.unsent.count())
        .write();
    edge.lines.finish(LAST_LINES_TIMEOUT);
    Ok(())
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = listen_bounded(address);
    listener.with_context(|_| IoSnafu {
        what: address.to_string(),
    })
}

fn listen_for(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).context(IoSnafu { what: "signals" })
}

fn begin_stop(edge: &Edge) {
    if edge.stopping.get().is_some() {
        return;
    }
    edge.stopping.set(Some(edge.now()));
    edge.stop.notify_waiters();
    edge.lines
        .line("stopping")
        .with("active", edge.active.get())
        .write();
}

/// Returns whether the daemon was told to stop and may exit: the balancer has noticed, all
/// requests have ended, their answers are sent and the lease is given up, or the time for the stop
/// is nearly over.
fn has_stopped(edge: &Edge) -> bool {
    let Some(since) = edge.stopping.get() else {
        return false;
    };
    let elapsed = edge.now() - since;
    if elapsed >= BALANCER_DETECTION {
        // The balancer sends no new callers; closes the connections that have no request.
        edge.stop.notify_waiters();
    }
    if edge.is_ending() {
        edge.ending.notify_waiters();
    }
    let answered = edge.active.get() == 0 && edge.unsent.count() == 0;
    let done = answered && !edge.is_planner.get();
    elapsed >= edge.grace() || (done && elapsed >= BALANCER_DETECTION + IDLE_CLOSE_TIME)
}

/// Why the settings file is read again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trigger {
    /// A signal says that it has changed.
    Signal,
    /// It may have changed without a signal.
    Check,
}

/// Applies a changed settings file; an invalid one changes nothing.
fn reload_settings(edge: &Edge, file: &mut SettingsFile, parts: Parts, trigger: Trigger) {
    let changed = file.refresh();
    match (&changed, trigger) {
        (Ok(false), Trigger::Check) => return,
        // The platform may be replacing the file.
        (Err(error), Trigger::Check) => return log::debug!("settings: {error}"),
        _ => {}
    }
    match changed.and_then(|_| file.settings(parts)) {
        Ok(settings) => {
            edge.set_settings(settings);
            edge.lines.line("reload").with("result", "taken").write();
        }
        Err(error) => edge.lines.line("reload").with("result", error).write(),
    }
}

/// Logs the daemon's state, and sets its gauges.
fn log_status(edge: &Edge) {
    let now = edge.now();
    metrics::gauge!("thistlesill_edge_held_bytes").set(edge.memory.held() as f64);
    metrics::gauge!("thistlesill_edge_active_requests").set(edge.active.get() as f64);
    if let Some(age) = edge.targets_age() {
        metrics::gauge!("thistlesill_edge_targets_age_ms").set(age.get() as f64);
    }
    let line = edge.lines.line("status");
    add_store_calls(edge, line)
        .with("ready", edge.is_ready())
        .with("active", edge.active.get())
        .maybe("catalog", edge.catalog().map(|c| c.version))
        .maybe(
            "proof_age_ms",
            edge.catalog_freshness.get().age(now).map(Millis::get),
        )
        .maybe("targets_age_ms", edge.targets_age().map(Millis::get))
        .with("reads", edge.is_reader.get())
        .with("plans", edge.is_planner.get())
        .with("peers", edge.peers.borrow().live_count(now))
        .with("services_lost", edge.links.lost_services().len())
        .with("targets", edge.registry.borrow().count())
        .write();
}

/// Logs the messages and bytes of each kind that were sent to peers.
fn log_traffic(edge: &Edge) {
    let mut line = edge.lines.line("traffic");
    for (kind, sent) in edge.traffic.by_kind() {
        line = line.with(kind, format_args!("{}/{}", sent.messages, sent.bytes));
    }
    line.write();
}

/// Adds the numbers of store calls, in total and by purpose, to a log line and to the metrics.
fn add_store_calls<'a>(edge: &Edge, line: Line<'a>) -> Line<'a> {
    let mut line = line.with("store_calls", edge.store.calls());
    for (purpose, calls) in edge.store.calls_by_purpose() {
        let name = purpose.name();
        metrics::gauge!("thistlesill_edge_store_calls", "purpose" => name).set(calls as f64);
        if calls > 0 {
            line = line.with(name, calls);
        }
    }
    line
}

/// Detects that the machine was suspended, and drops all idle connections.
///
/// The other side may have closed them meanwhile, which is not noticed on a connection that is
/// not in use.
fn handle_suspension(edge: &Edge) {
    if let Some(time) = edge.alarm.check_suspension() {
        edge.lanes.close_all_idle();
        edge.store.close_idle();
        let line = edge.lines.line("suspended").with("for_ms", time.get());
        line.with("active", edge.active.get()).write();
    }
}

/// Drops expired state and flushes the log lines.
fn sweep(edge: &Edge) {
    let now = edge.now();
    let catalog = edge.catalog();
    if edge.registry.borrow_mut().expire(catalog.as_deref(), now) {
        edge.fleet_changed.notify_one();
    }
    quarantine::review(edge);
    let registry = edge.registry.borrow();
    edge.loads
        .borrow_mut()
        .retain(|id| registry.is_current(id), now);
    edge.links.retain(|id| registry.is_current(id));
    limits::sweep(edge);
    backoffs::sweep(edge);
    edge.lines.flush();
}
