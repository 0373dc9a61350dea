//! A simulation of planners and routers around fake targets and a fake table, in virtual time.

mod daemons;
mod failures;
mod mail;
mod platform;
mod time;

mod engine;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::message::{Digest, Fatal, Heartbeat, Usage};
use thistlesill_core::report::{ListedInstance, Load, Membership, Order};
use thistlesill_core::settings::Tree;
use thistlesill_core::time::HybridClock;
use thistlesill_core::timeline::Record;
use thistlesill_core::{HallId, InstanceId, Millis, NodeId, RegionId};
use thistlesill_fakes::{Table, Target};
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::plan::Strategy;
use thistlesill_policy::planner::{PlannerCore, PlannerOptions};
use thistlesill_policy::presence::Watcher;
use thistlesill_policy::router::{RouterCore, RouterOptions};

use self::engine::EngineLoad;
pub use self::engine::EngineModel;
pub use self::requests::{Answer, RequestRecord, Tally};

/// Virtual time at the start of a simulation.
const START: Millis = Millis::new(1_000_000_000);
/// Virtual time that one step takes.
pub const STEP: Millis = Millis::new(50);

/// Failure mode of the table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableMode {
    /// Every call is carried out and answered.
    #[default]
    Up,
    /// No call is carried out or answered.
    Down,
    /// Transactions are carried out, but their answers are lost; reads are answered.
    LoseAnswers,
}

/// Whether an instance or a daemon runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Power {
    /// It runs and answers.
    #[default]
    On,
    /// It is paused: it keeps its state, but does and answers nothing.
    Paused,
    /// It is killed; its state is lost.
    Off,
}

/// The options of a [`Simulation`].
#[derive(Debug, Clone)]
pub struct SimulationOptions {
    /// Region of all daemons.
    pub region: RegionId,
    /// Instances of the fleet; their addresses are replaced.
    pub instances: Vec<ListedInstance>,
    /// Settings in force from the start.
    pub tree: Arc<Tree>,
    /// Planners to create.
    pub planners: Vec<DaemonSpec>,
    /// Routers to create.
    pub routers: Vec<DaemonSpec>,
    /// Whether targets refuse stale orders.
    pub checks_orders: bool,
    /// Strategy that the planners use to form groups.
    pub strategy: Strategy,
    /// Rule that the routers use to pick a group.
    pub rule: PickRule,
    /// Behaviour of the engines.
    pub engine: EngineModel,
    /// Seed of the routers' random sources.
    pub seed: u64,
}

/// Name and hall of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonSpec {
    /// Name of the daemon.
    pub name: NodeId,
    /// Hall in which the daemon runs.
    pub hall: HallId,
}

impl DaemonSpec {
    /// Creates the description of a daemon in a hall.
    pub fn new(name: &str, hall: &str) -> Self {
        Self {
            name: name.into(),
            hall: hall.into(),
        }
    }
}

/// An order held back on its way; see [`Simulation::hold_orders`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldOrder {
    /// Index of the planner that sent the order.
    pub planner: usize,
    /// Hall that the planner sent the order for.
    pub hall: HallId,
    /// The order itself.
    pub order: Order,
}

struct Daemon<C> {
    spec: DaemonSpec,
    core: C,
    power: Power,
    /// Whether it neither sends messages to peers nor receives them.
    isolated: bool,
    clock: HybridClock,
    /// Messages that it has not processed yet, such as those received while paused.
    inbox: Vec<Message>,
}

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(NodeId, Heartbeat, Millis),
    Digest(NodeId, Digest, Millis),
    Usage(NodeId, Usage),
    Fatal(Fatal),
    DigestRequest(NodeId),
}

struct SimulatedInstance {
    target: Target,
    listed: ListedInstance,
    power: Power,
    loading: Option<(Millis, Membership)>,
    warming: Option<(Millis, Load)>,
    load: EngineLoad,
}

/// Cores of planners and routers, connected to fake targets and a fake table.
pub struct Simulation {
    options: SimulationOptions,
    now: Millis,
    table: Table,
    table_mode: TableMode,
    listed: Vec<ListedInstance>,
    list_frozen: bool,
    leaving: BTreeSet<InstanceId>,
    instances: BTreeMap<InstanceId, SimulatedInstance>,
    planners: Vec<Daemon<PlannerCore>>,
    routers: Vec<Daemon<RouterCore>>,
    holds_orders: bool,
    held_orders: Vec<HeldOrder>,
    records: Vec<Record>,
    orders: u64,
    tally: Tally,
    requests: BTreeMap<thistlesill_core::RequestId, RequestRecord>,
    runs: BTreeMap<String, u32>,
}

impl Simulation {
    /// Creates all daemons and targets and puts the settings in force; no time has passed yet.
    ///
    /// # Panics
    ///
    /// Panics if a state chart is invalid.
    pub fn new(mut options: SimulationOptions) -> Self {
        for (n, listed) in options.instances.iter_mut().enumerate() {
            listed.address = address(n);
        }
        let instances = options.instances.iter().map(|p| {
            let target = Target::new(p.instance.clone(), p.service.clone(), options.checks_orders);
            let instance = SimulatedInstance {
                target,
                listed: p.clone(),
                power: Power::On,
                loading: None,
                warming: None,
                load: EngineLoad::default(),
            };
            (p.instance.clone(), instance)
        });
        let mut simulation = Self {
            now: START,
            table: Table::default(),
            table_mode: TableMode::Up,
            listed: options.instances.clone(),
            list_frozen: false,
            leaving: BTreeSet::new(),
            instances: instances.collect(),
            planners: Vec::new(),
            routers: Vec::new(),
            holds_orders: false,
            held_orders: Vec::new(),
            records: Vec::new(),
            orders: 0,
            tally: Tally::default(),
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            options,
        };
        for n in 0..simulation.options.planners.len() {
            let core = simulation.new_planner(n);
            let spec = simulation.options.planners[n].clone();
            simulation.planners.push(daemon(spec, core));
        }
        for n in 0..simulation.options.routers.len() {
            let core = simulation.new_router(n);
            let spec = simulation.options.routers[n].clone();
            simulation.routers.push(daemon(spec, core));
        }
        simulation.distribute_settings();
        simulation
    }

    fn new_planner(&self, n: usize) -> PlannerCore {
        let me = &self.options.planners[n];
        let others = self.options.planners.iter().filter(|s| s.name != me.name);
        PlannerCore::new(PlannerOptions {
            name: me.name.clone(),
            region: self.options.region.clone(),
            hall: me.hall.clone(),
            planners: others
                .map(|s| Watcher {
                    name: s.name.clone(),
                    hall: s.hall.clone(),
                })
                .collect(),
            run: self.now.get(),
            probe_interval: Millis::new(1_000),
            heartbeat_interval: Millis::new(500),
            plan_interval: Millis::new(500),
            renew_interval: Millis::new(2_000),
            lease_length: Millis::new(8_000),
            strategy: self.options.strategy,
        })
        .expect("valid charts")
    }

    fn new_router(&self, n: usize) -> RouterCore {
        let me = &self.options.routers[n];
        RouterCore::new(RouterOptions {
            name: me.name.clone(),
            region: self.options.region.clone(),
            hall: me.hall.clone(),
            max_waiting: 512,
            balancer_grace: Millis::new(3_000),
            stop_timeout: Millis::new(120_000),
            seed: self.options.seed + n as u64,
            rule: self.options.rule,
        })
        .expect("valid charts")
    }

    /// Returns the virtual time since the start.
    pub fn elapsed(&self) -> Millis {
        self.now - START
    }

    /// Returns the timeline records of all daemons so far.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Returns the number of orders that planners have sent, including those held back.
    pub const fn orders(&self) -> u64 {
        self.orders
    }

    /// Returns the counts of requests by outcome.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Returns how often each request ran at a target, by request ID.
    pub const fn runs(&self) -> &BTreeMap<String, u32> {
        &self.runs
    }

    /// Returns the table.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the core of planner `n`.
    pub fn planner(&self, n: usize) -> &PlannerCore {
        &self.planners[n].core
    }

    /// Returns the core of router `n`.
    pub fn router(&self, n: usize) -> &RouterCore {
        &self.routers[n].core
    }

    /// Returns the virtual time as the cores see it.
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// Returns the target on an instance.
    pub fn target(&self, instance: &str) -> &Target {
        &self.instances[instance].target
    }

    /// Returns the groups whose members are all running and ready, with their sizes. Taken from the
    /// targets themselves, not from what daemons know of them.
    pub fn complete_groups(&self) -> BTreeMap<thistlesill_core::GroupId, u32> {
        let mut members: BTreeMap<(thistlesill_core::GroupId, u64), (u32, u32)> = BTreeMap::new();
        for instance in self.instances.values().filter(|i| i.power == Power::On) {
            if let thistlesill_core::report::Duty::Ready(m) = &instance.target.duty {
                let entry = members.entry((m.group.clone(), m.epoch)).or_default();
                entry.0 += 1;
                entry.1 = m.size;
            }
        }
        let complete = members
            .into_iter()
            .filter(|(_, (ready, size))| ready == size);
        complete
            .map(|((group, _), (_, size))| (group, size))
            .collect()
    }

    /// Returns the accelerators of healthy instances: those in complete groups, and all.
    pub fn accelerators(&self) -> (u32, u32) {
        let complete = self.complete_groups();
        let healthy = self.instances.values().filter(|i| {
            i.power == Power::On
                && i.listed.service.is_none()
                && !self.leaving.contains(&i.listed.instance)
        });
        let (mut used, mut all) = (0, 0);
        for instance in healthy {
            all += instance.listed.accelerators;
            let group = instance.target.duty.membership().map(|m| &m.group);
            if group.is_some_and(|g| complete.contains_key(g)) {
                used += instance.listed.accelerators;
            }
        }
        (used, all)
    }
}

const fn daemon<C>(spec: DaemonSpec, core: C) -> Daemon<C> {
    Daemon {
        spec,
        core,
        power: Power::On,
        isolated: false,
        clock: HybridClock::new(),
        inbox: Vec::new(),
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + n as u16)
}
