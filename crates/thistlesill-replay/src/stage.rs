//! Cores around the fakes, in virtual time.

mod engine;
mod requests;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::message::{Beat, Digest, Usage};
use thistlesill_core::report::{Fence, Listed, Load, Membership, Order, Pressure, Report, Task};
use thistlesill_core::settings::Tree;
use thistlesill_core::table::{Read, RowKey, Rows, Txn, TxnResult};
use thistlesill_core::time::HybridClock;
use thistlesill_core::timeline::{Happening, Record};
use thistlesill_core::{HallId, InstanceId, Millis, NodeId, RegionId};
use thistlesill_fakes::{Table, Target};
use thistlesill_policy::pick::Rule;
use thistlesill_policy::plan::Strategy;
use thistlesill_policy::planner::{PlannerAction, PlannerCore, PlannerEvent, PlannerOptions};
use thistlesill_policy::presence::Watcher;
use thistlesill_policy::router::{RouterAction, RouterCore, RouterEvent, RouterOptions};

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
    pub places: Vec<Listed>,
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
    pub rule: Rule,
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
    Beat(NodeId, Beat, Millis),
    Digest(NodeId, Digest, Millis),
    Usage(NodeId, Usage),
    Want(NodeId),
}

struct Body {
    target: Target,
    place: Listed,
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
    listed: Vec<Listed>,
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
            probe: Millis::new(1_000),
            beat: Millis::new(500),
            plan: Millis::new(500),
            renew: Millis::new(2_000),
            lease: Millis::new(8_000),
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
            waiting: 512,
            balancer: Millis::new(3_000),
            stop: Millis::new(120_000),
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

    // Failures.

    /// Sets how the table behaves.
    pub const fn set_table(&mut self, mode: TableMode) {
        self.mode = mode;
    }

    /// Sets whether an instance runs; from off to on, it starts anew.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn power(&mut self, instance: &str, power: Power) {
        let body = self.bodies.get_mut(instance).expect("a known instance");
        if power == Power::Off {
            body.loading = None;
            body.warming = None;
            body.target.restart();
        }
        body.power = power;
        if power == Power::Off {
            self.break_runs(instance);
        }
    }

    /// Sets how many times slower than usual an instance is.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn slow(&mut self, instance: &str, factor: u32) {
        let body = self.bodies.get_mut(instance).expect("a known instance");
        body.load.slowness = factor.max(1);
    }

    /// Sets whether an instance is listed as leaving.
    pub fn leave(&mut self, instance: &str, leaving: bool) {
        let instance = InstanceId::from(instance);
        if leaving {
            self.leaving.insert(instance);
        } else {
            self.leaving.remove(&instance);
        }
    }

    /// Makes an instance say itself that it is leaving.
    ///
    /// # Panics
    ///
    /// If there is no such instance.
    pub fn say_leaving(&mut self, instance: &str) {
        let body = self.bodies.get_mut(instance).expect("a known instance");
        body.target.leaving = true;
    }

    /// Stops the list, or lets it follow again.
    pub const fn freeze_list(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// The instances of a fabric domain.
    pub fn domain(&self, domain: &str) -> Vec<InstanceId> {
        let inside = self
            .bodies
            .values()
            .filter(|b| b.place.domain.as_str() == domain);
        inside.map(|b| b.place.instance.clone()).collect()
    }

    /// Sets whether a planner runs; from off to on, it starts anew.
    pub fn planner_power(&mut self, n: usize, power: Power) {
        if self.planners[n].power == Power::Off && power == Power::On {
            self.planners[n].core = self.new_planner(n);
            self.planners[n].inbox.clear();
            self.planners[n].power = power;
            self.spread_settings();
        }
        self.planners[n].power = power;
    }

    /// Sets whether a router runs; from off to on, it starts anew.
    pub fn router_power(&mut self, n: usize, power: Power) {
        if self.routers[n].power == Power::Off && power == Power::On {
            self.routers[n].core = self.new_router(n);
            self.routers[n].inbox.clear();
            self.routers[n].power = power;
            self.spread_settings();
        }
        self.routers[n].power = power;
    }

    /// Cuts a planner off from its peers, or ends that.
    pub fn cut_planner(&mut self, n: usize, cut: bool) {
        self.planners[n].cut = cut;
    }

    /// Holds orders back from now on, or stops doing so.
    pub const fn hold_orders(&mut self, hold: bool) {
        self.holding = hold;
    }

    /// The orders held back so far.
    pub fn take_held(&mut self) -> Vec<HeldOrder> {
        std::mem::take(&mut self.held)
    }

    /// Lets an order through that was held back.
    pub fn release(&mut self, held: &HeldOrder) {
        self.give(held.planner, &held.hall, &held.order);
    }

    /// Tells a planner to stop.
    pub fn stop_planner(&mut self, n: usize) {
        self.planner_step(n, PlannerEvent::Stop);
        self.planners[n].power = Power::Off;
    }

    /// Tells a router to stop.
    pub fn stop_router(&mut self, n: usize) {
        self.router_step(n, RouterEvent::Stop);
    }

    /// Puts settings in force.
    pub fn settings(&mut self, tree: Arc<Tree>) {
        self.options.tree = tree;
        self.spread_settings();
    }

    fn spread_settings(&mut self) {
        for n in 0..self.planners.len() {
            let tree = self.options.tree.clone();
            self.planner_step(n, PlannerEvent::Settings(tree));
        }
        for n in 0..self.routers.len() {
            let tree = self.options.tree.clone();
            self.router_step(n, RouterEvent::Settings(tree));
        }
    }

    // Time.

    /// Lets time pass.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one step of time pass.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        if self.elapsed().get().is_multiple_of(1_000) {
            self.publish_list();
        }
        self.finish_loads();
        self.run_engines();
        for n in 0..self.planners.len() {
            self.read_mail_of_planner(n);
            self.planner_step(n, PlannerEvent::Tick);
        }
        for n in 0..self.routers.len() {
            self.read_mail_of_router(n);
            self.router_step(n, RouterEvent::Tick);
        }
    }

    fn publish_list(&mut self) {
        if !self.frozen {
            for entry in &mut self.listed {
                entry.leaving = self.leaving.contains(&entry.instance);
            }
        }
        for n in 0..self.planners.len() {
            let listed = self.listed.clone();
            self.planner_step(n, PlannerEvent::Listed(listed));
        }
    }

    fn finish_loads(&mut self) {
        for body in self.bodies.values_mut().filter(|b| b.power == Power::On) {
            let done = body.loading.take_if(|(at, _)| *at <= self.now);
            if let Some((_, membership)) = done {
                body.target.loaded(&membership);
            }
            let warm = body.warming.take_if(|(at, _)| *at <= self.now);
            if let Some((_, load)) = warm {
                body.target.warmed(load);
            }
        }
    }

    // Daemons.

    fn planner_step(&mut self, n: usize, event: PlannerEvent) {
        if self.planners[n].power != Power::On {
            return;
        }
        let actions = self.planners[n].core.step(event, self.now);
        for action in actions {
            self.planner_act(n, action);
        }
    }

    fn planner_act(&mut self, n: usize, action: PlannerAction) {
        match action {
            PlannerAction::Probe(address) => {
                if let Some(report) = self.report(address) {
                    let started = self.now;
                    let report = Box::new(report);
                    self.planner_step(n, PlannerEvent::Reported { report, started });
                }
            }
            PlannerAction::SendTxn { hall, flight, txn } => {
                let result = self.txn(&txn);
                let event = PlannerEvent::TxnDone {
                    hall,
                    flight,
                    result,
                };
                self.planner_step(n, event);
            }
            PlannerAction::Read {
                hall,
                flight,
                prefixes,
            } => {
                let rows = self.read(prefixes);
                self.planner_step(n, PlannerEvent::RowsRead { hall, flight, rows });
            }
            PlannerAction::Give { hall, order, .. } => self.give_or_hold(n, hall, order),
            PlannerAction::TellBeat(beat) => self.tell_beat(n, &beat),
            PlannerAction::TellDigest { to, parts } => {
                for part in parts {
                    let from = self.planners[n].seat.name.clone();
                    self.post(n, &to, Mail::Digest(from, part, self.now));
                }
            }
            PlannerAction::AskDigest(to) => {
                let from = self.planners[n].seat.name.clone();
                self.post(n, &to, Mail::Want(from));
            }
            PlannerAction::Note(what) => {
                let wall = self.now.get();
                let daemon = &mut self.planners[n];
                let stamp = daemon.clock.tick(wall);
                let node = daemon.seat.name.clone();
                self.records.push(Record { stamp, node, what });
            }
            PlannerAction::TellHead(_) | PlannerAction::Exit => {}
        }
    }

    fn router_step(&mut self, n: usize, event: RouterEvent) {
        if self.routers[n].power != Power::On {
            return;
        }
        let actions = self.routers[n].core.step(event, self.now);
        for action in actions {
            self.router_act(n, action);
        }
    }

    fn router_act(&mut self, n: usize, action: RouterAction) {
        match action {
            RouterAction::SendTxn { flight, txn } => {
                let result = self.txn(&txn);
                self.router_step(n, RouterEvent::TxnDone { flight, result });
            }
            RouterAction::ReadRows { flight, keys } => {
                let rows = self.read(keys);
                self.router_step(n, RouterEvent::RowsRead { flight, rows });
            }
            RouterAction::AskDigest(to) => {
                let from = self.routers[n].seat.name.clone();
                let planner = self.planners.iter().position(|p| p.seat.name == to);
                if let Some(p) = planner.filter(|p| !self.planners[*p].cut) {
                    self.deliver_to_planner(p, Mail::Want(from));
                }
            }
            RouterAction::TellUsage(usage) => {
                let from = self.routers[n].seat.name.clone();
                for other in (0..self.routers.len()).filter(|o| *o != n) {
                    let mail = Mail::Usage(from.clone(), usage.clone());
                    self.deliver_to_router(other, mail);
                }
            }
            RouterAction::Note(what) => {
                let wall = self.now.get();
                let daemon = &mut self.routers[n];
                let stamp = daemon.clock.tick(wall);
                let node = daemon.seat.name.clone();
                self.note_request(n, &what);
                self.records.push(Record { stamp, node, what });
            }
            RouterAction::TellHead(_) | RouterAction::Exit => {}
            other => self.request_act(n, other),
        }
    }

    /// Counts what the router notes of attempts.
    fn note_request(&mut self, _n: usize, what: &Happening) {
        if let Happening::Sent { attempt, .. } = what {
            self.tally.attempts += 1;
            self.tally.retries += u64::from(*attempt > 1);
        }
    }

    // Mail between daemons.

    fn tell_beat(&mut self, n: usize, beat: &Beat) {
        let from = self.planners[n].seat.name.clone();
        if self.planners[n].cut {
            return;
        }
        for other in (0..self.planners.len()).filter(|o| *o != n) {
            if !self.planners[other].cut {
                let mail = Mail::Beat(from.clone(), beat.clone(), self.now);
                self.deliver_to_planner(other, mail);
            }
        }
        for router in 0..self.routers.len() {
            let mail = Mail::Beat(from.clone(), beat.clone(), self.now);
            self.deliver_to_router(router, mail);
        }
    }

    fn post(&mut self, n: usize, to: &NodeId, mail: Mail) {
        if self.planners[n].cut {
            return;
        }
        if let Some(other) = self.planners.iter().position(|p| p.seat.name == *to) {
            if !self.planners[other].cut {
                self.deliver_to_planner(other, mail);
            }
        } else if let Some(router) = self.routers.iter().position(|r| r.seat.name == *to) {
            self.deliver_to_router(router, mail);
        }
    }

    fn deliver_to_planner(&mut self, n: usize, mail: Mail) {
        if self.planners[n].power != Power::Off {
            self.planners[n].inbox.push(mail);
        }
    }

    fn deliver_to_router(&mut self, n: usize, mail: Mail) {
        if self.routers[n].power != Power::Off {
            self.routers[n].inbox.push(mail);
        }
    }

    fn read_mail_of_planner(&mut self, n: usize) {
        if self.planners[n].power != Power::On {
            return;
        }
        for mail in std::mem::take(&mut self.planners[n].inbox) {
            let lag = |sent: Millis| (self.now - sent).get().cast_signed();
            let event = match mail {
                Mail::Beat(from, beat, sent) => PlannerEvent::Beat {
                    from,
                    beat,
                    lag: lag(sent),
                },
                Mail::Digest(from, part, sent) => PlannerEvent::Digest {
                    from,
                    part,
                    lag: lag(sent),
                },
                Mail::Want(from) => PlannerEvent::Wanted(from),
                Mail::Usage(..) => continue,
            };
            self.planner_step(n, event);
        }
    }

    fn read_mail_of_router(&mut self, n: usize) {
        if self.routers[n].power != Power::On {
            return;
        }
        for mail in std::mem::take(&mut self.routers[n].inbox) {
            let lag = |sent: Millis| (self.now - sent).get().cast_signed();
            let event = match mail {
                Mail::Beat(from, beat, sent) => RouterEvent::Beat {
                    from,
                    beat,
                    lag: lag(sent),
                },
                Mail::Digest(from, part, sent) => RouterEvent::Digest {
                    from,
                    part,
                    lag: lag(sent),
                },
                Mail::Usage(from, usage) => RouterEvent::Usage { from, usage },
                Mail::Want(_) => continue,
            };
            self.router_step(n, event);
        }
    }

    // The platform and the targets.

    fn txn(&mut self, txn: &Txn) -> TxnResult {
        match self.mode {
            TableMode::Down => TxnResult::Unknown,
            TableMode::Up => TxnResult::Replied(self.table.txn(txn)),
            TableMode::LoseAnswers => {
                self.table.txn(txn);
                TxnResult::Unknown
            }
        }
    }

    fn read(&mut self, prefixes: Vec<RowKey>) -> Option<Rows> {
        (self.mode != TableMode::Down).then(|| self.table.read(&Read { prefixes }))
    }

    fn report(&mut self, address: SocketAddr) -> Option<Report> {
        let now = self.now;
        let lag = self.options.model.lag;
        let body = self.body_at(address)?;
        if body.power != Power::On {
            return None;
        }
        let pressure = body.load.lagged(now, lag);
        let cache = body.load.events();
        Some(Report {
            cache,
            ..body.target.report(pressure)
        })
    }

    fn body_at(&mut self, address: SocketAddr) -> Option<&mut Body> {
        let mut bodies = self.bodies.values_mut();
        bodies.find(|b| b.place.address == address)
    }

    fn give_or_hold(&mut self, planner: usize, hall: HallId, order: Order) {
        self.orders += 1;
        if self.holding {
            self.held.push(HeldOrder {
                planner,
                hall,
                order,
            });
        } else {
            self.give(planner, &hall, &order);
        }
    }

    fn give(&mut self, planner: usize, hall: &HallId, order: &Order) {
        let now = self.now;
        let load = self.options.model.load;
        let Some(body) = self.bodies.get_mut(&order.instance) else {
            return;
        };
        let mut reply = None;
        if body.power == Power::On {
            let was = body.target.duty.membership().cloned();
            reply = Some(body.target.take(order));
            if let Task::Join(m) = &order.task
                && body.target.duty.membership() == Some(m)
                && was.as_ref() != Some(m)
            {
                let wait = if body.target.is_warm(m) { STEP } else { load };
                body.loading = Some((now + wait, m.clone()));
            }
            if let Task::Warm { load: wanted } = &order.task {
                body.warming = Some((now + load, wanted.clone()));
            }
        }
        let changed = order.instance.clone();
        self.check_runs(&changed);
        let event = PlannerEvent::Answered {
            hall: hall.clone(),
            instance: order.instance.clone(),
            fence: order.fence,
            reply,
        };
        self.planner_step(planner, event);
    }

    /// An order's fence that precedes any other, for tests of stray orders.
    pub const fn oldest_fence() -> Fence {
        Fence { term: 0, epoch: 0 }
    }

    /// The pressure that a target would report now, without lag.
    pub fn pressure(&self, instance: &str) -> Pressure {
        self.bodies[instance].load.pressure()
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
