//! The start, the life and the stop of an edge daemon.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use snafu::{OptionExt, ResultExt, Snafu};
use thistlesill_core::Millis;
use thistlesill_core::chart::ChartError;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_platform::Malformed;
use thistlesill_platform::settings::{decode_settings, settings_path};
use thistlesill_policy::charts::Charts;
use thistlesill_policy::edge::admission::BALANCER_DETECTION;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

use crate::lines::Line;
use crate::state::Edge;
use crate::{figures, follow, front, limits, peers, planner, quarantine, start, watch};

/// Exit code for settings that do not pass their check.
const BAD_SETTINGS: u8 = 2;
/// Between two rounds of housekeeping.
const SWEEP: Duration = Duration::from_millis(100);
/// Rounds between two of the slower housekeeping.
const SLOW_SWEEPS: u32 = 10;
/// Rounds between two lines about the daemon's state.
const STATUS_SWEEPS: u32 = 50;
/// Time in which connections without a request are closed.
const CLOSE: Millis = Millis::new(150);

/// What a process does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Parts {
    /// It serves callers and forms groups under the lease.
    #[default]
    Both,
    /// It serves callers.
    Serve,
    /// It forms groups under the lease.
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

/// A word that names no part of a daemon.
#[derive(Debug, Snafu)]
#[snafu(display("`{text}` is none of `both`, `serve` and `plan`"))]
pub struct UnknownPart {
    text: String,
}

/// What the command line asks for beside the settings.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// What the process does.
    pub parts: Parts,
    /// Where the metrics are served.
    pub metrics: Option<SocketAddr>,
}

/// Why a daemon did not start.
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
    /// An address or a signal could not be had.
    #[snafu(display("{what}: {source}"))]
    Io {
        /// What was wanted.
        what: String,
        /// The cause.
        source: std::io::Error,
    },
}

/// Reads the settings and runs a daemon, or only checks them.
pub fn main(config: Option<PathBuf>, only_check: bool, options: Options) -> ExitCode {
    let path = config.unwrap_or_else(settings_path);
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("thistlesill-edge: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if only_check {
        println!("{}: fine", path.display());
        return ExitCode::SUCCESS;
    }
    thistlesill_net::admin::install_logger();
    match launch(settings, path, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("thistlesill-edge: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: &Path) -> Result<EdgeSettings, StartError> {
    let text = std::fs::read_to_string(path).context(ReadSnafu { path })?;
    decode_settings(&text).context(SettingsSnafu { path })
}

fn launch(settings: EdgeSettings, path: PathBuf, options: Options) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(IoSnafu { what: "runtime" })?;
    let local = LocalSet::new();
    local.block_on(&runtime, run(settings, path, options))
}

async fn run(settings: EdgeSettings, path: PathBuf, options: Options) -> Result<(), StartError> {
    let settings = match options.parts {
        Parts::Plan => beside(settings),
        Parts::Both | Parts::Serve => settings,
    };
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
    tokio::task::spawn_local(follow::run(edge.clone()));
    tokio::task::spawn_local(quarantine::run(edge.clone()));
    tokio::task::spawn_local(limits::run(edge.clone()));
    tokio::task::spawn_local(quarantine::keep(edge.clone()));
    if options.parts != Parts::Serve {
        tokio::task::spawn_local(planner::run(edge.clone(), charts));
    }
    if options.parts != Parts::Plan {
        let callers = listen(settings.callers.context(NoCallersSnafu)?).await?;
        let health = listen(settings.health.context(NoCallersSnafu)?).await?;
        tokio::task::spawn_local(front::serve_health(edge.clone(), health));
        tokio::task::spawn_local(front::serve_callers(edge.clone(), callers));
    }
    if let Some(handle) = &handle {
        let address = options.metrics.unwrap_or(settings.metrics_address());
        let listener = listen(address).await?;
        tokio::task::spawn_local(figures::serve(listener, handle.clone()));
    }
    let mut rounds = 0;
    loop {
        tokio::select! {
            _ = stop.recv() => begin_stop(&edge),
            _ = reload.recv() => reload_settings(&edge, &path),
            () = tokio::time::sleep(SWEEP) => {}
        }
        rounds += 1;
        note_suspended(&edge);
        sweep(&edge);
        if rounds % SLOW_SWEEPS == 0 {
            edge.lanes.sweep(edge.now());
            edge.cases.retain(edge.now());
            if rounds % STATUS_SWEEPS == 0 {
                note_status(&edge);
                note_traffic(&edge);
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
        .write();
    edge.lines.flush();
    // The writing thread needs a moment for the last batch.
    tokio::time::sleep(Duration::from_millis(5)).await;
    Ok(())
}

/// The settings of a planner beside a daemon that serves on the same machine.
fn beside(mut settings: EdgeSettings) -> EdgeSettings {
    settings.name = format!("{}-plan", settings.name).into();
    settings.peer_port += 1;
    settings.last_port = settings.last_port.saturating_sub(1);
    settings
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
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

/// Whether the daemon was told to stop and may: the balancer has noticed, all
/// requests have ended and the lease is given up, or the time is nearly up.
fn has_stopped(edge: &Edge) -> bool {
    let Some(since) = edge.stopping.get() else {
        return false;
    };
    let gone = edge.now() - since;
    if gone >= BALANCER_DETECTION {
        // No new callers come; connections without a request end.
        edge.stop.notify_waiters();
    }
    let done = edge.active.get() == 0 && !edge.plans.get();
    gone >= edge.grace() || (done && gone >= BALANCER_DETECTION + CLOSE)
}

/// Takes in a changed settings file; a bad one changes nothing.
fn reload_settings(edge: &Edge, path: &Path) {
    match read_settings(path) {
        Ok(settings) => {
            edge.settings.replace(Rc::new(settings));
            edge.lines.line("reload").with("result", "taken").write();
        }
        Err(error) => edge.lines.line("reload").with("result", error).write(),
    }
}

/// Writes a line about the daemon's state.
fn note_status(edge: &Edge) {
    let now = edge.now();
    metrics::gauge!("thistlesill_edge_active_requests").set(edge.active.get() as f64);
    if let Some(age) = edge.targets_age() {
        metrics::gauge!("thistlesill_edge_targets_age_ms").set(age.get() as f64);
    }
    let line = edge.lines.line("status");
    note_store_calls(edge, line)
        .with("ready", edge.is_ready())
        .with("active", edge.active.get())
        .maybe("catalog", edge.catalog().map(|c| c.version))
        .maybe("proof_age_ms", edge.fresh.get().age(now).map(Millis::get))
        .maybe("targets_age_ms", edge.targets_age().map(Millis::get))
        .with("reads", edge.reads.get())
        .with("plans", edge.plans.get())
        .with("peers", edge.peers.borrow().live_count(now))
        .with("targets", edge.book.borrow().count())
        .write();
}

/// Writes a line about what was sent to peers: messages and bytes of each kind.
fn note_traffic(edge: &Edge) {
    let mut line = edge.lines.line("traffic");
    for (kind, sent) in edge.traffic.by_kind() {
        line = line.with(kind, format_args!("{}/{}", sent.messages, sent.bytes));
    }
    line.write();
}

/// Adds to a line, and to the figures, how often the store was called and what for.
fn note_store_calls<'a>(edge: &Edge, line: Line<'a>) -> Line<'a> {
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

/// Notes that the machine was suspended. What was kept open may have ended meanwhile, and
/// nobody hears of it on a connection that nobody uses.
fn note_suspended(edge: &Edge) {
    if let Some(time) = edge.alarm.look() {
        edge.lanes.clear();
        edge.store.drop_idle();
        let line = edge.lines.line("suspended").with("for_ms", time.get());
        line.with("active", edge.active.get()).write();
    }
}

/// Housekeeping: drops what is out of time and writes out the lines.
fn sweep(edge: &Edge) {
    let now = edge.now();
    let catalog = edge.catalog();
    if edge.book.borrow_mut().expire(catalog.as_deref(), now) {
        edge.fleet_news.notify_one();
    }
    let book = edge.book.borrow();
    edge.loads
        .borrow_mut()
        .retain(|id| book.is_current(id), now);
    limits::sweep(edge);
    edge.lines.flush();
}
