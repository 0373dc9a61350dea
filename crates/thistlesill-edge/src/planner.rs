//! Forms groups while this daemon holds the lease on the fleet.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::{Catalog, GroupRef, Order, RateLimit, Target, TargetId};
use thistlesill_core::row::lease_key;
use thistlesill_core::table::{Txn, TxnReply, TxnResult};
use thistlesill_core::{DomainId, HallId, Millis, ServiceName};
use thistlesill_net::clock::Clock;
use thistlesill_net::lane::within;
use thistlesill_platform::engine;
use thistlesill_policy::charts::{Charts, LeaseState};
use thistlesill_policy::edge::admission::BALANCER_DETECTION;
use thistlesill_policy::edge::fleet::{
    Demand, FleetAction, FleetPlanner, FleetView, ProbeOutcome, capacity_ratio,
};
use thistlesill_policy::lease::{Lease, LeaseChange, LeasePeriods, LeaseStep};

use crate::figures;
use crate::follow::{self, DISCOVERY_PERIOD};
use crate::peers::{Reach, link};
use crate::state::Edge;

/// Between two looks at the fleet without news.
const LOOK: Duration = Duration::from_millis(200);
/// The shortest time between two looks. Each goes over all targets, and with hundreds
/// of daemons every few milliseconds one of them suspects something.
const LOOK_LEAST: Duration = Duration::from_millis(20);
/// Time for an order; engines answer within some milliseconds.
const ORDER: Duration = Duration::from_millis(400);
/// Time for a probe; a live engine answers within some milliseconds.
const PROBE: Duration = Duration::from_millis(130);
/// Time for a call of the store; several fit into a lease.
const STORE: Duration = Duration::from_millis(500);
/// Times of the lease. A holder writes every 0.6 s, so two lost writes do not
/// cost it the lease; a successor takes over after 2 s.
const PERIODS: LeasePeriods = LeasePeriods {
    renew: Millis::new(600),
    length: Millis::new(2_000),
    margin: Millis::new(300),
    grace: Millis::ZERO,
};
/// Without a holder for this long, every daemon looks for the lease: the first
/// ones of the data centres have had time for two takeovers.
const ORPHANED: Millis = Millis::new(5_000);
/// Daemons of each data centre that watch the fleets, to take over from the planner with
/// what they saw.
const SUCCESSORS: usize = 3;
/// Between two lines about how a fleet stands.
const CENSUS: Millis = Millis::new(1_000);

/// Times its usual step from which on a target is replaced in its group, which
/// is as slow as its slowest member: the group is away for about two seconds.
const SLOW_PACE: f64 = 2.5;

/// The part of a daemon that forms groups.
struct Planner {
    edge: Rc<Edge>,
    lease: RefCell<Lease>,
    fleets: RefCell<HashMap<ServiceName, FleetPlanner>>,
    /// When each fleet's standing was last noted.
    noted: RefCell<HashMap<ServiceName, Millis>>,
}

/// Forms groups whenever the lease is held, for ever.
pub(crate) async fn run(edge: Rc<Edge>, charts: Charts) {
    let name = edge.settings().name.clone();
    let planner = Rc::new(Planner {
        lease: RefCell::new(Lease::new(charts.lease, name, scope(), PERIODS)),
        fleets: RefCell::new(HashMap::new()),
        noted: RefCell::new(HashMap::new()),
        edge,
    });
    while !planner.must_end() {
        planner.tend_lease().await;
        planner.look();
        tokio::time::sleep(LOOK_LEAST).await;
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = planner.edge.fleet_news.notified() => {}
        }
    }
    planner.give_up().await;
}

/// What the lease is on: all targets of the fleet.
fn scope() -> HallId {
    HallId::from("fleet")
}

impl Planner {
    /// Whether the daemon was told to stop and will soon end.
    fn must_end(&self) -> bool {
        let stopping = self.edge.stopping.get();
        stopping.is_some_and(|since| self.edge.now() - since >= BALANCER_DETECTION)
    }

    /// Gives the lease up, so that another daemon need not wait for its end.
    /// If the write is lost, the lease runs out.
    async fn give_up(&self) {
        let txn = self.lease.borrow_mut().release(self.edge.now());
        if let Some(txn) = txn {
            let result = self.send(&txn).await;
            let given = matches!(result, TxnResult::Replied(TxnReply::Committed { .. }));
            let line = self.edge.lines.line("lease_given_up");
            line.with("written", given).write();
        }
        self.edge.peers.borrow_mut().lease = None;
        // The process waits for this before it ends.
        self.edge.plans.set(false);
        // The next beat may be due after the process has ended.
        link::send_heartbeat(&self.edge, Reach::All);
    }

    async fn tend_lease(&self) {
        let now = self.edge.now();
        if let Some(seen) = self.edge.peers.borrow_mut().received_lease.take() {
            self.lease.borrow_mut().observe(seen, now);
        }
        let watching = matches!(self.lease.borrow().state(), LeaseState::Watching);
        if watching && !self.may_seek(now) {
            return;
        }
        let (step, news) = self.lease.borrow_mut().tick(now);
        self.note(news);
        let news = match step {
            LeaseStep::Wait => LeaseChange::None,
            LeaseStep::Read => {
                let rows = self.edge.store.read_own(&lease_key(&scope()), STORE).await;
                let rows = rows.inspect_err(|e| log::debug!("planner: lease not read: {e}"));
                let now = self.edge.now();
                self.lease.borrow_mut().apply_rows(rows.ok().as_ref(), now)
            }
            LeaseStep::Send(txn) => {
                let result = self.send(&txn).await;
                self.lease
                    .borrow_mut()
                    .apply_result(&result, self.edge.now())
            }
        };
        self.note(news);
        let holds = self.lease.borrow().term(self.edge.now()).is_some();
        self.edge.plans.set(holds);
        self.edge.peers.borrow_mut().lease = self.lease.borrow().snapshot().filter(|_| holds);
    }

    /// Whether this daemon looks for the lease now. Not while a holder is
    /// heard; at the start, only the daemon that the store lists first looks, so
    /// that hundreds do not, each with a call; when that one does not live, or the
    /// holder falls silent, the first daemons of the data centres look, and the
    /// others only if none of them succeeds.
    fn may_seek(&self, now: Millis) -> bool {
        let peers = self.edge.peers.borrow();
        if peers.is_planner_alive(now) {
            return false;
        }
        let found = now - self.edge.started >= DISCOVERY_PERIOD;
        if !found {
            let unknown = self.lease.borrow().holder().is_none();
            return unknown && peers.is_first_listed(&self.edge.settings().name);
        }
        let silence = now - peers.planner_seen_at().unwrap_or(self.edge.started);
        // While the store is away, hundreds that look for the lease find nothing.
        let orphaned = silence >= ORPHANED && !self.edge.is_away();
        orphaned || follow::reads_for_others(&self.edge)
    }

    /// Sends a transaction; what was certainly not done counts as refused.
    async fn send(&self, txn: &Txn) -> TxnResult {
        match self.edge.store.txn(txn, STORE).await {
            Ok(result) => result,
            Err(error) => {
                log::debug!("planner: lease not written: {error}");
                TxnResult::Replied(TxnReply::Refused { failed: Vec::new() })
            }
        }
    }

    fn note(&self, news: LeaseChange) {
        let lines = &self.edge.lines;
        match news {
            LeaseChange::None => {}
            LeaseChange::Gained { term } => lines.line("lease_gained").with("term", term).write(),
            LeaseChange::Ended { term } => lines.line("lease_ended").with("term", term).write(),
        }
    }

    /// Looks at all fleets and does what this daemon's part in them needs.
    fn look(self: &Rc<Self>) {
        let now = self.edge.now();
        let Some(catalog) = self.edge.catalog() else {
            return;
        };
        let (dead, late) = match self.lease.borrow().term(now) {
            Some(term) => self.plan(&catalog, term, now),
            None if self.may_succeed(now) => (Vec::new(), self.watch(&catalog, now)),
            None => {
                // What it knew would be too old when it begins to watch again.
                self.fleets.borrow_mut().clear();
                (Vec::new(), None)
            }
        };
        for target in &dead {
            self.edge
                .suspect(target, "it or a member of its group answered no probe");
        }
        self.edge.peers.borrow_mut().late_joins = late;
        self.tell_dead(dead);
    }

    /// Whether this daemon is one of those that would plan if the planner were lost. Only
    /// these go over all targets at each look.
    fn may_succeed(&self, now: Millis) -> bool {
        let (settings, peers) = (self.edge.settings(), self.edge.peers.borrow());
        let away = self.edge.is_away();
        !peers.is_listed() || peers.ahead(&settings.name, away, &settings.hall, now) < SUCCESSORS
    }

    /// Follows the fleets without the lease; returns which groups may be joined late, if it
    /// knows of all.
    fn watch(&self, catalog: &Catalog, now: Millis) -> Option<Vec<GroupRef>> {
        let told = self.edge.peers.borrow_mut().received_late_joins.take();
        let book = self.edge.book.borrow();
        let mut fleets = self.fleets.borrow_mut();
        let mut late = Some(Vec::new());
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            let Some(targets) = book.of_service(&service.name) else {
                continue;
            };
            let fleet = fleets.entry(service.name.clone()).or_default();
            if let Some(told) = &told {
                fleet.receive_late_joins(told);
            }
            fleet.watch(targets, now);
            late = add_late_joins(late, fleet, now);
        }
        late
    }

    /// Decides what all fleets need; returns targets that answered no probe, and which
    /// groups may be joined late, if it knows of all.
    fn plan(
        self: &Rc<Self>,
        catalog: &Catalog,
        term: u64,
        now: Millis,
    ) -> (Vec<TargetId>, Option<Vec<GroupRef>>) {
        let edge = &self.edge;
        let stalled = self.stalled(now);
        let before_traffic = !edge.busy.get() && !edge.peers.borrow().any_busy();
        let slow = self.slow(now);
        let working = self.working(now);
        let requests = edge.loads.borrow().requests(now);
        let told = edge.peers.borrow_mut().received_late_joins.take();
        let evacuations = edge.evacuations.borrow();
        let book = edge.book.borrow();
        let (mut dead, mut late) = (Vec::new(), Some(Vec::new()));
        for service in catalog.services() {
            let (Some(engine), Some(targets)) = (&service.engine, book.of_service(&service.name))
            else {
                continue;
            };
            let mut fleets = self.fleets.borrow_mut();
            let fleet = fleets.entry(service.name.clone()).or_default();
            if let Some(told) = &told {
                fleet.receive_late_joins(told);
            }
            let demand = self.demand(&service.name, now);
            let rooms = self.rooms(&service.name, targets);
            let view = FleetView {
                targets,
                engine,
                stalled: &stalled,
                slow: &slow,
                working: &working,
                requests: &requests,
                demand: &demand,
                capacity_ratios: &rooms,
                evacuated: &evacuations.known().halls,
                term,
                wall: Clock::wall(),
                before_traffic,
            };
            let actions = fleet.step(&view, now);
            self.note_census(&service.name, fleet, &view, now);
            dead.extend(fleet.broken_targets(targets));
            late = add_late_joins(late, fleet, now);
            drop(fleets);
            for action in actions {
                self.act(&service.name, action);
            }
        }
        (dead, late)
    }

    /// Tells all daemons of targets that answered no probe; at once if one is
    /// news, since requests still go to its group.
    fn tell_dead(&self, dead: Vec<TargetId>) {
        let before = std::mem::replace(&mut self.edge.peers.borrow_mut().unresponsive, dead);
        let news = {
            let peers = self.edge.peers.borrow();
            peers.unresponsive.iter().any(|id| !before.contains(id))
        };
        if news {
            link::send_heartbeat(&self.edge, Reach::All);
        }
    }

    /// Now and then, a line and figures about how the fleet stands.
    fn note_census(
        &self,
        service: &ServiceName,
        fleet: &FleetPlanner,
        view: &FleetView<'_>,
        now: Millis,
    ) {
        let mut noted = self.noted.borrow_mut();
        let last = noted.get(service).copied();
        let passed = last.map_or(Millis::ZERO, |at| now - at);
        if last.is_some() && passed < CENSUS {
            return;
        }
        noted.insert(service.clone(), now);
        let census = fleet.census(view);
        figures::note_fleet(service, &census, passed);
        let mut line = self.edge.lines.line("fleet").with("service", service);
        for model in &census.models {
            line = line.with("model", model);
        }
        for (domain, census) in &census.domains {
            let name = domain.as_ref().map_or("none", DomainId::as_str);
            line = line.with(name, census);
        }
        line.write();
    }

    /// What callers ask all daemons for, of one service.
    fn demand(&self, service: &ServiceName, now: Millis) -> Demand {
        let mut demand = self.edge.peers.borrow().demand(service, now);
        let own = self.edge.asked.borrow_mut().work(now);
        for ((name, model), work) in own {
            if name == *service {
                *demand.entry(model).or_default() += work;
            }
        }
        demand
    }

    /// Leaders that name a limit, with the part of their usual work that it leaves.
    fn rooms(
        &self,
        service: &ServiceName,
        targets: &HashMap<TargetId, Target>,
    ) -> HashMap<TargetId, f64> {
        let asked = self.edge.asked.borrow();
        let room = |(id, limit): (TargetId, RateLimit)| {
            let model = targets.get(&id)?.model()?;
            let each = asked.work_per_request(service, model)?;
            Some((id, capacity_ratio(limit, each)))
        };
        let limits = self.edge.limits.limits();
        limits.into_iter().filter_map(room).collect()
    }

    /// Leaders whose streams are slow.
    fn slow(&self, now: Millis) -> HashSet<TargetId> {
        let hall = &self.edge.settings().hall;
        let mut slow = self.edge.peers.borrow().slow(hall, now);
        slow.extend(self.edge.loads.borrow().slow(now));
        slow
    }

    /// Leaders whose streams stand still.
    fn stalled(&self, now: Millis) -> HashSet<TargetId> {
        let (peers, loads) = (self.edge.peers.borrow(), self.edge.loads.borrow());
        let mut stalled = peers.suspects(&self.edge.settings().hall, now);
        stalled.extend(loads.suspects(now));
        stalled
    }

    /// Leaders at which some daemon has requests without suspecting them, or streams
    /// that go on.
    fn working(&self, now: Millis) -> HashSet<TargetId> {
        let loads = self.edge.loads.borrow();
        let own = loads.counts().into_iter().map(|(id, _)| id);
        let own = own.filter(|id| !loads.is_suspect(id, now));
        let mut working: HashSet<TargetId> = own.collect();
        working.extend(loads.suspects_with_streams(now));
        let hall = &self.edge.settings().hall;
        working.extend(self.edge.peers.borrow().working(hall, now));
        working
    }

    fn act(self: &Rc<Self>, service: &ServiceName, action: FleetAction) {
        let (planner, service) = (self.clone(), service.clone());
        tokio::task::spawn_local(async move {
            match action {
                FleetAction::SendOrder {
                    target,
                    address,
                    order,
                    reason,
                } => {
                    if planner.lease.borrow().term(planner.edge.now()).is_none() {
                        return;
                    }
                    let reply = engine::give(&target, address, &order, within(ORDER)).await;
                    planner.note_order(&target, &order, &format!("{reply:?}"), reason);
                    planner.with_fleet(&service, |fleet, now| {
                        fleet.record_reply(&target, &order, reply, now);
                    });
                }
                FleetAction::Probe { target, address } => {
                    let report = engine::ask_report(&target, address, within(PROBE)).await;
                    let edge = &planner.edge;
                    let line = edge.lines.line("probe").with("target", &target);
                    match &report {
                        Ok(report) => line
                            .with("alive", true)
                            .with("running", report.running)
                            .with("pace", report.pace)
                            .with("orders_taken", report.orders_taken),
                        Err(error) => line.with("alive", false).with("why", error),
                    }
                    .write();
                    let found = report
                        .as_ref()
                        .map_or(ProbeOutcome::Unresponsive, |report| {
                            let (life, pace) = (report.incarnation, report.pace);
                            ProbeOutcome::from_report(&target, life, pace, SLOW_PACE)
                        });
                    planner.with_fleet(&service, |fleet, now| {
                        fleet.record_probe(&target, found, now);
                        if let Ok(report) = &report
                            && found != ProbeOutcome::Restarted
                        {
                            fleet.record_orders_taken(&target, report.orders_taken, now);
                        }
                    });
                }
            }
            planner.edge.fleet_news.notify_one();
        });
    }

    fn with_fleet(&self, service: &ServiceName, step: impl FnOnce(&mut FleetPlanner, Millis)) {
        if let Some(fleet) = self.fleets.borrow_mut().get_mut(service) {
            step(fleet, self.edge.now());
        }
    }

    fn note_order(&self, target: &TargetId, order: &Order, reply: &str, why: &str) {
        metrics::counter!("thistlesill_edge_orders_total", "order" => order.name()).increment(1);
        let line = self.edge.lines.line("order");
        let line = line
            .with("order", order.name())
            .with("target", target)
            .with("reply", reply)
            .with("why", why);
        match order {
            Order::Join {
                to,
                model,
                members,
                orders_taken,
            } => line
                .with("orders_taken", orders_taken)
                .with("group", &to.group)
                .with("epoch", to.epoch)
                .with("model", model)
                .with("members", members.len()),
            Order::Open(group) | Order::Cut(group) | Order::Close(group) | Order::Leave(group) => {
                line.with("group", &group.group).with("epoch", group.epoch)
            }
            Order::Stage(model) => line.with("model", model),
        }
        .write();
    }
}

/// Adds the late joins of a fleet to those of others, if all are known.
fn add_late_joins(
    late: Option<Vec<GroupRef>>,
    fleet: &FleetPlanner,
    now: Millis,
) -> Option<Vec<GroupRef>> {
    let mut late = late.filter(|_| fleet.knows_late_joins(now))?;
    late.extend(fleet.late_joins(now));
    Some(late)
}
