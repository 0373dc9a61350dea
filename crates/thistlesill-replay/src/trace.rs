//! Traces: recorded arrivals and failures, and how they are read from files.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};
use thistlesill_core::jsonc::{self, JsoncError};
use thistlesill_core::settings::{Branch, TreeFile};
use thistlesill_core::{CustomerId, DomainId, InstanceId};
use thistlesill_fakes::FleetFile;

use crate::stage::{EngineModel, TableMode};

/// A recorded trace.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Name of the trace.
    pub name: String,
    /// Directory below `deploy/` with the fleet and its settings.
    pub deployment: String,
    /// Seconds from the start that are not measured, because groups still form.
    pub warm_up: u64,
    /// Total length in seconds, including the warm-up.
    pub seconds: u64,
    /// Seed of the arrivals and of all random sources.
    pub seed: u64,
    /// Behaviour of the engines.
    #[serde(default)]
    pub engine: EngineModel,
    /// Streams of requests, one entry per customer and span of time.
    #[serde(default)]
    pub arrivals: Vec<Arrivals>,
    /// Failures and changes, in the order of their times.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Requests of one customer over a span of time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arrivals {
    /// Customer that sends the requests.
    pub customer: CustomerId,
    /// First second, counted from the start of the trace.
    pub from: u64,
    /// End of the requests, in seconds from the start of the trace; exclusive.
    pub until: u64,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Mean number of tokens per answer.
    pub tokens: u32,
    /// Time after which an answer is late, in milliseconds from the arrival.
    pub due_ms: u64,
    /// Priority that the caller asks for.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Number of different prompts, each with a prefix of its own; without it, requests have no
    /// prefix.
    #[serde(default)]
    pub prompts: Option<u32>,
}

/// A failure or change at a given second.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Second at which the event happens, counted from the start of the trace.
    pub at: u64,
    /// The failure or change.
    pub what: EventKind,
}

/// A failure of the fleet or a change to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EventKind {
    /// An instance is killed.
    Kill(InstanceId),
    /// A killed instance restarts.
    Restart(InstanceId),
    /// An instance is paused.
    Pause(InstanceId),
    /// A paused instance continues.
    Continue(InstanceId),
    /// An instance becomes slower by a factor; 1 is its usual speed.
    Slow(InstanceId, u32),
    /// All instances of a fabric domain are killed.
    Dark(DomainId),
    /// All instances of a fabric domain restart.
    Light(DomainId),
    /// An instance is listed as leaving.
    Leave(InstanceId),
    /// The table changes its mode.
    Table(TableMode),
    /// A planner is killed; the number counts the halls of the fleet from 0.
    KillPlanner(usize),
    /// A killed planner restarts.
    StartPlanner(usize),
    /// A planner is paused.
    PausePlanner(usize),
    /// A paused planner continues.
    ContinuePlanner(usize),
    /// The settings branch at a path is replaced.
    Edit(String, Box<Branch>),
}

/// An error while reading a trace or its deployment.
#[derive(Debug, Snafu)]
pub enum TraceError {
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file does not have the expected contents.
    #[snafu(display("{}:{source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The cause, with its position in the file.
        source: JsoncError,
    },
}

/// A trace with the deployment that it is replayed on.
#[derive(Debug, Clone)]
pub struct LoadedTrace {
    /// The trace as read from its file.
    pub trace: Trace,
    /// The fleet of the deployment.
    pub fleet: FleetFile,
    /// The settings of the deployment.
    pub settings: TreeFile,
}

/// Reads the trace at `path` and its deployment below the directory `deploy`.
///
/// # Errors
///
/// Returns a [`TraceError`] that names the file that is missing or malformed.
pub fn load(path: &Path, deploy: &Path) -> Result<LoadedTrace, TraceError> {
    let trace: Trace = read(path)?;
    let dir = deploy.join(&trace.deployment);
    Ok(LoadedTrace {
        fleet: read(&dir.join("fleet.jsonc"))?,
        settings: read(&dir.join("settings.jsonc"))?,
        trace,
    })
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, TraceError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    jsonc::from_str(&text).context(MalformedSnafu { path })
}
