//! Cores around the fakes, in virtual time.

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
pub use self::requests::{Answer, Asked, Tally};

/// Virtual time at the start.
const START: Millis = Millis::new(1_000_000_000);
/// Between two steps.
pub const STEP: Millis = Millis::new(50);

/// How the table behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableMode {
    /// As it should.
    #[default]
    Up,
    /// Does nothing and does not answer.
    Down,
    /// Does what it is asked, and the answer is lost.
    LoseAnswers,
}

/// Whether something runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Power {
    /// It runs.
    #[default]
    On,
    /// It stands still.
    Paused,
    /// It is dead.
    Off,
}

/// What to seat.
#[derive(Debug, Clone)]
pub struct StageOptions {
    /// The region.
    pub region: RegionId,
    /// The instances.
    pub places: Vec<ListedInstance>,
    /// The settings.
    pub tree: Arc<Tree>,
    /// A planner for each.
    pub planners: Vec<Seat>,
    /// A router for each.
    pub routers: Vec<Seat>,
    /// Whether targets refuse stale orders.
    pub checks: bool,
    /// How groups are formed.
    pub strategy: Strategy,
    /// How groups are picked.
    pub rule: PickRule,
    /// How engines behave.
    pub model: EngineModel,
    /// Seed of all random sources.
    pub seed: u64,
}

/// A daemon's name and hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seat {
    /// Its name.
    pub name: NodeId,
    /// Its hall.
    pub hall: HallId,
}

impl Seat {
    /// A daemon in a hall.
    pub fn new(name: &str, hall: &str) -> Self {
        Self {
            name: name.into(),
            hall: hall.into(),
        }
    }
}

/// An order that was held back on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldOrder {
    /// Who gave it.
    pub planner: usize,
    /// The hall that it was given for.
    pub hall: HallId,
    /// The order.
    pub order: Order,
}

struct Daemon<C> {
    seat: Seat,
    core: C,
    power: Power,
    /// Whether it is cut off from its peers.
    cut: bool,
    clock: HybridClock,
    /// What reached it while it stood still.
    inbox: Vec<Mail>,
}

#[derive(Debug, Clone)]
enum Mail {
    Beat(NodeId, Heartbeat, Millis),
    Digest(NodeId, Digest, Millis),
    Usage(NodeId, Usage),
    Fatal(Fatal),
    Want(NodeId),
}

struct Body {
    target: Target,
    place: ListedInstance,
    power: Power,
    loading: Option<(Millis, Membership)>,
    warming: Option<(Millis, Load)>,
    load: EngineLoad,
}

/// Cores around fakes.
pub struct Stage {
    options: StageOptions,
    now: Millis,
    table: Table,
    mode: TableMode,
    listed: Vec<ListedInstance>,
    frozen: bool,
    leaving: BTreeSet<InstanceId>,
    bodies: BTreeMap<InstanceId, Body>,
    planners: Vec<Daemon<PlannerCore>>,
    routers: Vec<Daemon<RouterCore>>,
    holding: bool,
    held: Vec<HeldOrder>,
    records: Vec<Record>,
    orders: u64,
    tally: Tally,
    asked: BTreeMap<thistlesill_core::RequestId, Asked>,
    runs: BTreeMap<String, u32>,
}

impl Stage {
    /// Seats everything; nothing has happened yet.
    ///
    /// # Panics
    ///
    /// If a state chart does not pass its check.
    pub fn new(mut options: StageOptions) -> Self {
        for (n, place) in options.places.iter_mut().enumerate() {
            place.address = address(n);
        }
        let bodies = options.places.iter().map(|p| {
            let target = Target::new(p.instance.clone(), p.service.clone(), options.checks);
            let body = Body {
                target,
                place: p.clone(),
                power: Power::On,
                loading: None,
                warming: None,
                load: EngineLoad::default(),
            };
            (p.instance.clone(), body)
        });
        let mut stage = Self {
            now: START,
            table: Table::default(),
            mode: TableMode::Up,
            listed: options.places.clone(),
            frozen: false,
            leaving: BTreeSet::new(),
            bodies: bodies.collect(),
            planners: Vec::new(),
            routers: Vec::new(),
            holding: false,
            held: Vec::new(),
            records: Vec::new(),
            orders: 0,
            tally: Tally::default(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            options,
        };
        for n in 0..stage.options.planners.len() {
            let core = stage.new_planner(n);
            let seat = stage.options.planners[n].clone();
            stage.planners.push(daemon(seat, core));
        }
        for n in 0..stage.options.routers.len() {
            let core = stage.new_router(n);
            let seat = stage.options.routers[n].clone();
            stage.routers.push(daemon(seat, core));
        }
        stage.spread_settings();
        stage
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
        .expect("sound charts")
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
        .expect("sound charts")
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Millis {
        self.now - START
    }

    /// The events of all daemons so far.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Orders given so far.
    pub const fn orders(&self) -> u64 {
        self.orders
    }

    /// What became of the requests.
    pub const fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Runs begun at targets, by request id or idempotency key.
    pub const fn runs(&self) -> &BTreeMap<String, u32> {
        &self.runs
    }

    /// The table.
    pub const fn table(&self) -> &Table {
        &self.table
    }

    /// A planner's core.
    pub fn planner(&self, n: usize) -> &PlannerCore {
        &self.planners[n].core
    }

    /// A router's core.
    pub fn router(&self, n: usize) -> &RouterCore {
        &self.routers[n].core
    }

    /// The time as the cores see it.
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// A target.
    pub fn target(&self, instance: &str) -> &Target {
        &self.bodies[instance].target
    }

    /// The groups that are really whole, by their members' duties.
    pub fn whole_groups(&self) -> BTreeMap<thistlesill_core::GroupId, u32> {
        let mut members: BTreeMap<(thistlesill_core::GroupId, u64), (u32, u32)> = BTreeMap::new();
        for body in self.bodies.values().filter(|b| b.power == Power::On) {
            if let thistlesill_core::report::Duty::Ready(m) = &body.target.duty {
                let entry = members.entry((m.group.clone(), m.epoch)).or_default();
                entry.0 += 1;
                entry.1 = m.size;
            }
        }
        let whole = members.into_iter().filter(|(_, (have, size))| have == size);
        whole.map(|((group, _), (_, size))| (group, size)).collect()
    }

    /// Accelerators of healthy instances, in whole groups and in all.
    pub fn accelerators(&self) -> (u32, u32) {
        let whole = self.whole_groups();
        let healthy = self.bodies.values().filter(|b| {
            b.power == Power::On
                && b.place.service.is_none()
                && !self.leaving.contains(&b.place.instance)
        });
        let (mut used, mut all) = (0, 0);
        for body in healthy {
            all += body.place.accelerators;
            let group = body.target.duty.membership().map(|m| &m.group);
            if group.is_some_and(|g| whole.contains_key(g)) {
                used += body.place.accelerators;
            }
        }
        (used, all)
    }
}

const fn daemon<C>(seat: Seat, core: C) -> Daemon<C> {
    Daemon {
        seat,
        core,
        power: Power::On,
        cut: false,
        clock: HybridClock::new(),
        inbox: Vec::new(),
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 10_000 + n as u16)
}
