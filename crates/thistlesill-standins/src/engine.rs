//! A model engine that streams, and a plain service, as one target.

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

/// What really happened at the targets.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Runs begun, by request id or, for plain calls, by idempotency key.
    pub runs: BTreeMap<String, u32>,
    /// Tokens made while a member of the group was not present.
    pub incomplete_tokens: u64,
    /// Requests accepted by a target after it was told to leave, with the
    /// milliseconds since.
    pub after_leaving: Vec<u64>,
    /// Streams cut off by a target that was reset or lost while they ran.
    pub cut: u64,
    /// Orders refused for a stale fence or a wrong proof.
    pub refused_orders: u64,
}

/// All targets of a fleet, by instance.
pub type Registry = Arc<Mutex<HashMap<InstanceId, Arc<Engine>>>>;

/// One target.
#[derive(Debug)]
pub struct Engine {
    /// Its instance.
    pub instance: InstanceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The plain service that it runs, if any.
    pub service: Option<ServiceName>,
    options: EngineOptions,
    key: SharedKey,
    state: Mutex<EngineState>,
    /// Whether it runs; all its work waits while it is paused.
    power: watch::Sender<Power>,
    registry: Registry,
    weights: WeightStore,
    counts: Arc<Mutex<Counts>>,
    server: Mutex<Option<JoinHandle<()>>>,
}

/// Whether a target runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Power {
    /// Yes.
    On,
    /// It stands still.
    Paused,
    /// It is dead.
    Off,
}

/// What all targets of a fleet share.
#[derive(Debug, Clone)]
pub struct Common {
    /// How they behave.
    pub options: EngineOptions,
    /// The key that orders are proved with.
    pub key: SharedKey,
    /// All targets.
    pub registry: Registry,
    /// The weight store.
    pub weights: WeightStore,
    /// What happened.
    pub counts: Arc<Mutex<Counts>>,
}

impl Engine {
    /// A target that is not started yet.
    pub fn new(
        instance: InstanceId,
        address: SocketAddr,
        service: Option<ServiceName>,
        common: &Common,
    ) -> Arc<Self> {
        let checks = common.options.checks_orders;
        let state = EngineState::new(Target::new(instance.clone(), service.clone(), checks));
        Arc::new(Self {
            instance,
            address,
            service,
            options: common.options.clone(),
            key: common.key.clone(),
            state: Mutex::new(state),
            power: watch::Sender::new(Power::On),
            registry: common.registry.clone(),
            weights: common.weights.clone(),
            counts: common.counts.clone(),
            server: Mutex::new(None),
        })
    }

    /// Starts serving.
    pub fn start(self: &Arc<Self>) {
        let router = handlers::router(self);
        let address = self.address;
        let task = tokio::spawn(thistlesill_net::admin::serve(address, router));
        *lock(&self.server) = Some(task);
    }

    /// Dies: connections break, its port closes, its memory is lost.
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

    /// Starts anew after its death.
    pub fn restart(self: &Arc<Self>) {
        if *self.power.borrow() != Power::Off {
            return;
        }
        self.power.send_replace(Power::On);
        self.start();
    }

    /// Stands still, or goes on.
    pub fn pause(&self, paused: bool) {
        let next = if paused { Power::Paused } else { Power::On };
        self.power.send_if_modified(|power| {
            let change = *power != Power::Off && *power != next;
            if change {
                *power = next;
            }
            change
        });
    }

    /// Turns slower by a factor.
    pub fn slow(&self, factor: u32) {
        lock(&self.state).slowness = factor.max(1);
    }

    /// Says of itself that it is leaving.
    pub fn say_leaving(&self) {
        lock(&self.state).target.leaving = true;
    }

    /// Notes that the platform lists it as leaving, for counting.
    pub fn listed_leaving(&self, leaving: bool) {
        lock(&self.state).told_leaving = leaving.then(std::time::Instant::now);
    }

    /// What it does.
    pub fn duty(&self) -> Duty {
        lock(&self.state).target.duty.clone()
    }

    /// Whether it runs and is a ready or draining member of this group.
    fn is_present(&self, group: &Membership) -> bool {
        let on = *self.power.borrow() == Power::On;
        let duty = self.duty();
        let serving = matches!(duty, Duty::Ready(_) | Duty::Draining(_));
        let same = duty
            .membership()
            .is_some_and(|m| m.group == group.group && m.epoch == group.epoch);
        on && serving && same
    }

    /// Whether all members of a group are present.
    fn is_group_whole(&self, group: &Membership) -> bool {
        let registry = lock(&self.registry);
        let present = registry.values().filter(|e| e.is_present(group));
        present.count() as u32 == group.size
    }

    /// Waits while paused; false once it is dead.
    async fn powered(&self) -> bool {
        let mut power = self.power.subscribe();
        let found = power.wait_for(|p| *p != Power::Paused).await;
        found.is_ok_and(|p| *p == Power::On)
    }

    fn state(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.state)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }
}

/// Locks a mutex, also after a panic of another holder.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
