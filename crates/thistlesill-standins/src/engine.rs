//! A target of the test fleet: a model engine that streams, or a plain service.

mod handlers;
mod state;
mod stream;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use thistlesill_core::report::{Duty, Membership};
use thistlesill_core::seal::SharedKey;
use thistlesill_core::{InstanceId, ServiceName};
use thistlesill_fakes::{EngineOptions, Target};
use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use state::EngineState;

use crate::weights::WeightStore;

/// What the targets did, counted independently of the daemons under test.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs begun: by request id for completions; for plain calls by idempotency key, or by request
    /// id if the call has none.
    pub runs: BTreeMap<String, u32>,
    /// Tokens generated while a member of the group was not present.
    pub incomplete_tokens: u64,
    /// Milliseconds since the target was marked as leaving, for each request that it accepted
    /// afterwards.
    pub after_leaving: Vec<u64>,
    /// Streams cut off because their target was reset or killed while they ran.
    pub cut: u64,
    /// Orders refused for a stale fence, a wrong proof or a malformed body.
    pub refused_orders: u64,
}

/// All targets of a fleet by instance, shared so that a target can check the other members of
/// its group.
pub type Registry = Arc<Mutex<HashMap<InstanceId, Arc<Engine>>>>;

/// One target with its HTTP server.
#[derive(Debug)]
pub struct Engine {
    /// Instance that the target runs on.
    pub instance: InstanceId,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Plain service that the target runs; `None` for a model engine.
    pub service: Option<ServiceName>,
    options: EngineOptions,
    key: SharedKey,
    state: Mutex<EngineState>,
    // All work of the target waits while it is paused.
    power: watch::Sender<Power>,
    registry: Registry,
    weights: WeightStore,
    counts: Arc<Mutex<Counts>>,
    server: Mutex<Option<JoinHandle<()>>>,
}

/// Whether a target's process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Power {
    /// The target runs.
    On,
    /// The target does nothing, but its memory and connections remain.
    Paused,
    /// The target was killed.
    Off,
}

/// State and settings that all targets of a fleet share.
#[derive(Debug, Clone)]
pub struct EngineContext {
    /// Timing and limits of the engines.
    pub options: EngineOptions,
    /// Key with which the planners authenticate orders.
    pub key: SharedKey,
    /// All targets of the fleet.
    pub registry: Registry,
    /// Store that all engines load weights from.
    pub weights: WeightStore,
    /// Counts of what the targets did.
    pub counts: Arc<Mutex<Counts>>,
}

impl Engine {
    /// Creates a target that is not started yet.
    pub fn new(
        instance: InstanceId,
        address: SocketAddr,
        service: Option<ServiceName>,
        context: &EngineContext,
    ) -> Arc<Self> {
        let checks = context.options.checks_orders;
        let state = EngineState::new(Target::new(instance.clone(), service.clone(), checks));
        Arc::new(Self {
            instance,
            address,
            service,
            options: context.options.clone(),
            key: context.key.clone(),
            state: Mutex::new(state),
            power: watch::Sender::new(Power::On),
            registry: context.registry.clone(),
            weights: context.weights.clone(),
            counts: context.counts.clone(),
            server: Mutex::new(None),
        })
    }

    /// Starts the target's HTTP server in a task.
    pub fn start(self: &Arc<Self>) {
        let router = handlers::router(self);
        let address = self.address;
        let task = tokio::spawn(thistlesill_net::admin::serve(address, router));
        *lock(&self.server) = Some(task);
    }

    /// Kills the target: connections break, the port closes and all state in memory is lost.
    pub fn kill(&self) {
        self.power.send_replace(Power::Off);
        if let Some(task) = lock(&self.server).take() {
            task.abort();
        }
        let mut state = lock(&self.state);
        let mut target = state.target.clone();
        target.restart();
        *state = EngineState::new(target);
    }

    /// Restarts a target that was killed; does nothing if the target was not killed.
    pub fn restart(self: &Arc<Self>) {
        if *self.power.borrow() != Power::Off {
            return;
        }
        self.power.send_replace(Power::On);
        self.start();
    }

    /// Pauses the target or lets it continue; does nothing if the target was killed.
    pub fn set_paused(&self, paused: bool) {
        let next = if paused { Power::Paused } else { Power::On };
        self.power.send_if_modified(|power| {
            let changed = *power != Power::Off && *power != next;
            if changed {
                *power = next;
            }
            changed
        });
    }

    /// Makes the target slower by a factor; 1 is the usual speed.
    pub fn slow_by(&self, factor: u32) {
        lock(&self.state).slowdown = factor.max(1);
    }

    /// Makes the target report that it is leaving.
    pub fn report_leaving(&self) {
        lock(&self.state).target.leaving = true;
    }

    /// Marks the target as leaving from now on, or no longer, for [`Counts::after_leaving`].
    pub fn mark_leaving(&self, leaving: bool) {
        lock(&self.state).leaving_since = leaving.then(std::time::Instant::now);
    }

    /// Returns the target's current duty.
    pub fn duty(&self) -> Duty {
        lock(&self.state).target.duty.clone()
    }

    /// Returns whether the target runs and is a ready or draining member of a group.
    fn is_present(&self, group: &Membership) -> bool {
        let on = *self.power.borrow() == Power::On;
        let duty = self.duty();
        let serving = matches!(duty, Duty::Ready(_) | Duty::Draining(_));
        let same = duty
            .membership()
            .is_some_and(|m| m.group == group.group && m.epoch == group.epoch);
        on && serving && same
    }

    /// Returns whether all members of a group are present.
    fn is_group_complete(&self, group: &Membership) -> bool {
        let registry = lock(&self.registry);
        let present = registry.values().filter(|e| e.is_present(group));
        present.count() as u32 == group.size
    }

    /// Waits while the target is paused; returns false if it was killed.
    async fn wait_until_running(&self) -> bool {
        let mut power = self.power.subscribe();
        let reached = power.wait_for(|p| *p != Power::Paused).await;
        reached.is_ok_and(|p| *p == Power::On)
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }
}

/// Locks a mutex even if another holder has panicked.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
