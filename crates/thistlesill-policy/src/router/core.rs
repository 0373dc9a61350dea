//! State of a router and its step function.

mod admission;
mod attempts;
mod endings;
mod fatal;
mod presence;
mod sending;
mod silence;
mod time;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::{Deserialize, Serialize};
use thistlesill_core::chart::ChartError;
use thistlesill_core::message::Fatal;
use thistlesill_core::settings::Tree;
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{ErrorKind, Millis, Model, RequestId};

use super::request::Request;
use super::{GroupUsage, RouterAction, RouterEvent, RouterOptions};
use crate::budget::RetryBudget;
use crate::charts::Charts;
use crate::claim::Claims;
use crate::drain::Drain;
use crate::pick::GroupLoad;
use crate::presence::View;
use crate::quarantine::{Quarantine, Unanswered};
use crate::serving::{GroupKey, Member, ServerList};
use crate::share::FairQueue;

/// Presence window when the settings have none.
const DEFAULT_PRESENCE_WINDOW: Millis = Millis::new(4_000);
/// Concurrent requests per group when the settings have none.
const DEFAULT_SLOTS: u32 = 16;
/// Interval at which the roster is derived when no sighting has changed; this only extends how long
/// its servers count.
const ROSTER_INTERVAL: Millis = Millis::new(250);
/// Interval between usage messages.
const USAGE_INTERVAL: Millis = Millis::new(1_000);
/// Interval between messages about the settings in force. One more is sent at once when a revision
/// comes into force.
const HEAD_INTERVAL: Millis = Millis::new(2_000);
/// Interval between messages with all verdicts on requests that crash their groups, for routers
/// that missed some or started since.
const VERDICTS_INTERVAL: Millis = Millis::new(1_000);
/// Maximum number of verdicts sent at once; each takes 30 bytes.
const MAX_VERDICTS_PER_MESSAGE: usize = 100;
/// How long a silent watcher is remembered.
const WATCHER_RETENTION: Millis = Millis::new(60_000);
/// How long a request waits for a complete group before it fails with `NoGroup`: about as long as
/// presence takes to follow a planned change.
const NO_GROUP_TIMEOUT: Millis = Millis::new(3_000);
/// Shorter waits do not count as queueing: they come from the time between two checks of the
/// queue.
const MIN_QUEUE_WAIT: Millis = Millis::new(100);
/// Weight of a new observation in the moving average of the answer time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Silence after which a stream is treated as broken.
const STREAM_IDLE_TIMEOUT: Millis = Millis::new(8_000);

/// Counters and state of a router, for operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision of the settings in force; 0 if there are none.
    pub revision: u64,
    /// Requests without a final answer.
    pub under_way: usize,
    /// Requests in the queue.
    pub waiting: usize,
    /// Groups and services that may take requests.
    pub servers: usize,
    /// Groups that some members report but that are not complete.
    pub incomplete: usize,
    /// Attempt events dropped because they belonged to another request, group, epoch or attempt, or
    /// arrived twice.
    pub dropped: u64,
    /// Attempts after a request's first.
    pub retries: u64,
    /// First attempts.
    pub firsts: u64,
    /// Claims granted.
    pub claims: u64,
    /// Transactions sent for claims and outcomes.
    pub transactions: u64,
    /// Steps that a state chart refused.
    pub refused_steps: u64,
    /// Whether the router takes new requests.
    pub ready: bool,
    /// Load of each group.
    pub groups: Vec<GroupUsage>,
}

/// State machine of a router: takes events, returns actions.
#[derive(Debug)]
pub struct RouterCore {
    options: RouterOptions,
    charts: Charts,
    rng: StdRng,
    tree: Option<Arc<Tree>>,
    models: BTreeSet<Model>,
    presence_window: Millis,
    view: View,
    roster: ServerList,
    derived_at: Option<Millis>,
    /// Generation of `view` that the roster was derived from.
    derived_generation: u64,
    loads: BTreeMap<GroupKey, GroupLoad>,
    requests: BTreeMap<RequestId, Request>,
    queue: FairQueue,
    claims: Claims,
    budget: RetryBudget,
    /// Requests suspected of crashing their groups.
    quarantine: Quarantine<GroupKey>,
    /// Requests that ended without an answer while their groups were silent.
    unanswered: Unanswered<GroupKey>,
    /// The members of the groups of these requests, as they were then.
    silent_members: BTreeMap<GroupKey, Vec<Member>>,
    /// Losses and verdicts to send to the other routers.
    unsent_fatal: Fatal,
    last_verdicts_sent: Millis,
    drain: Drain,
    last_usage_sent: Millis,
    last_head_sent: Millis,
    pick_count: u64,
    /// Moving average of the time from sending a request to the end of its answer, in milliseconds.
    mean_service_ms: f64,
    status: Status,
    out: Vec<RouterAction>,
}

impl RouterCore {
    /// Creates a router without settings or known groups.
    ///
    /// # Errors
    ///
    /// A [`ChartError`] if a state chart does not pass its check.
    pub fn new(options: RouterOptions) -> Result<Self, ChartError> {
        let charts = Charts::load()?;
        Ok(Self {
            rng: StdRng::seed_from_u64(options.seed),
            tree: None,
            models: BTreeSet::new(),
            presence_window: DEFAULT_PRESENCE_WINDOW,
            view: View::new(),
            roster: ServerList::default(),
            derived_at: None,
            derived_generation: 0,
            loads: BTreeMap::new(),
            requests: BTreeMap::new(),
            queue: FairQueue::new(options.max_waiting),
            claims: Claims::new(charts.claim.clone(), options.name.clone()),
            budget: RetryBudget::default(),
            quarantine: Quarantine::default(),
            unanswered: Unanswered::default(),
            silent_members: BTreeMap::new(),
            unsent_fatal: Fatal::default(),
            last_verdicts_sent: Millis::ZERO,
            drain: Drain::new(
                charts.drain.clone(),
                options.balancer_grace,
                options.stop_timeout,
            ),
            last_usage_sent: Millis::ZERO,
            last_head_sent: Millis::ZERO,
            pick_count: 0,
            mean_service_ms: 0.0,
            status: Status::default(),
            out: Vec::new(),
            charts,
            options,
        })
    }

    /// Returns whether the router has settings and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.tree.is_some() && self.drain.is_healthy()
    }

    /// Returns whether a request has no final answer yet.
    pub fn is_under_way(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns the settings in force.
    pub const fn tree(&self) -> Option<&Arc<Tree>> {
        self.tree.as_ref()
    }

    /// Returns the groups and services seen, as last derived.
    pub const fn roster(&self) -> &ServerList {
        &self.roster
    }

    /// Returns counters and state for operators.
    pub fn status(&self) -> Status {
        let (claims, transactions) = self.claims.counts();
        let groups = self.loads.iter().map(|(key, load)| GroupUsage {
            group: key.group.clone(),
            running: load.running(),
            occupancy: load.occupancy(),
            limit: load.limit(),
        });
        Status {
            revision: self.tree.as_ref().map_or(0, |t| t.revision()),
            under_way: self.requests.len(),
            waiting: self.queue.len(),
            servers: self.roster.servers.len(),
            incomplete: self.roster.incomplete.len(),
            claims,
            transactions,
            ready: self.is_ready(),
            groups: groups.collect(),
            ..self.status.clone()
        }
    }

    /// Processes an event at time `now` and returns the actions to carry out.
    pub fn step(&mut self, event: RouterEvent, now: Millis) -> Vec<RouterAction> {
        match event {
            RouterEvent::Arrive(arrival) => self.handle_arrival(*arrival, now),
            RouterEvent::Attempt {
                request,
                attempt,
                what,
            } => self.handle_attempt(request, attempt, what, now),
            RouterEvent::CallerGone(request) => self.handle_caller_gone(request, now),
            RouterEvent::Heartbeat {
                from,
                heartbeat,
                lag,
            } => self.handle_heartbeat(&from, &heartbeat, lag, now),
            RouterEvent::Digest { from, part, lag } => self.handle_digest(&from, &part, lag, now),
            RouterEvent::Usage { from, usage } => self.queue.receive_usage(&from, usage, now),
            RouterEvent::Fatal(received) => self.receive_fatal(&received, now),
            RouterEvent::Settings(tree) => self.handle_settings(tree),
            RouterEvent::TxnDone { flight, result } => {
                let steps = self.claims.apply_result(flight, &result);
                self.claim_steps(steps, now);
            }
            RouterEvent::RowsRead { flight, rows } => {
                let steps = self.claims.apply_rows(flight, rows.as_ref());
                self.claim_steps(steps, now);
            }
            RouterEvent::Stop => {
                self.drain.stop(now);
                self.note(TimelineEvent::Stopping);
            }
            RouterEvent::Tick => self.tick(now),
        }
        self.send_fatal();
        std::mem::take(&mut self.out)
    }

    fn note(&mut self, what: TimelineEvent) {
        self.out.push(RouterAction::Note(what));
    }
}

/// How a request has timed out.
enum Timeout {
    /// It waited too long in the queue.
    Waiting(ErrorKind),
    /// Its stream has been silent for too long.
    StreamIdle,
    /// It was sent, and its deadline passed before any piece arrived.
    Unanswered,
}

fn request_may_have_run(requests: &BTreeMap<RequestId, Request>, id: RequestId) -> bool {
    requests.get(&id).is_some_and(|r| r.may_have_run)
}
