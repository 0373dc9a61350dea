//! Forms groups while this daemon holds the lease on the fleet.

mod actions;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::edge::{Catalog, GroupRef, RateLimit, Target, TargetId};
use thistlesill_core::row::lease_key;
use thistlesill_core::table::{Txn, TxnReply, TxnResult};
use thistlesill_core::{DomainId, HallId, Millis, Model, ServiceName};
use thistlesill_net::clock::Clock;
use thistlesill_policy::charts::{Charts, LeaseState};
use thistlesill_policy::edge::admission::BALANCER_DETECTION;
use thistlesill_policy::edge::asked::model_urgency;
use thistlesill_policy::edge::fleet::{Demand, FleetPlanner, FleetView, capacity_ratio};
use thistlesill_policy::edge::reach::LinkState;
use thistlesill_policy::edge::shortage::Urgency;
use thistlesill_policy::lease::{Lease, LeaseChange, LeasePeriods, LeaseStep};

use crate::figures;
use crate::follow::{self, DISCOVERY_PERIOD};
use crate::peers::{Reach, link};
use crate::state::Edge;

/// Interval between two passes over the fleet when nothing changes.
const PASS_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest interval between two passes. Each pass goes over all targets, and with hundreds of
/// daemons, one of them suspects a target every few milliseconds.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit of a store call; several fit into a lease period.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Periods of the lease. A holder renews every 0.6 s, so it does not lose the lease by two lost
/// writes; a successor takes over after 2 s.
const LEASE_PERIODS: LeasePeriods = LeasePeriods {
    renew: Millis::new(600),
    length: Millis::new(2_000),
    margin: Millis::new(300),
    grace: Millis::ZERO,
};
/// After this time without a holder, every daemon tries to get the lease. The first daemons of the
/// data centres have had time for two takeovers by then.
const ORPHANED_TIMEOUT: Millis = Millis::new(5_000);
/// Number of daemons in each data centre that watch the fleets, so that they can take over from
/// the planner with what they observed.
const SUCCESSORS: usize = 3;
/// Interval between two log lines with the census of a fleet.
const CENSUS_INTERVAL: Millis = Millis::new(1_000);

/// The part of a daemon that forms groups.
struct Planner {
    edge: Rc<Edge>,
    lease: RefCell<Lease>,
    fleets: RefCell<HashMap<ServiceName, FleetPlanner>>,
    /// When the census of each fleet was last recorded.
    last_census: RefCell<HashMap<ServiceName, Millis>>,
}

/// Forms groups whenever this daemon holds the lease; returns when the daemon stops.
pub(crate) async fn run(edge: Rc<Edge>, charts: Charts) {
    let name = edge.settings().name.clone();
    let planner = Rc::new(Planner {
        lease: RefCell::new(Lease::new(charts.lease, name, scope(), LEASE_PERIODS)),
        fleets: RefCell::new(HashMap::new()),
        last_census: RefCell::new(HashMap::new()),
        edge,
    });
    while !planner.must_stop() {
        if planner.edge.is_planner.get() && planner.is_cut_off() {
            planner.release_lease().await;
        }
        planner.step_lease().await;
        planner.step();
        tokio::time::sleep(MIN_PASS_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(PASS_INTERVAL) => {}
            () = planner.edge.fleet_changed.notified() => {}
        }
    }
    planner.release_lease().await;
}

/// Returns the scope of the lease: all targets of the fleet.
fn scope() -> HallId {
    HallId::from("fleet")
}

impl Planner {
    /// Returns whether the daemon was told to stop and will soon exit.
    fn must_stop(&self) -> bool {
        let stopping = self.edge.stopping.get();
        stopping.is_some_and(|since| self.edge.now() - since >= BALANCER_DETECTION)
    }

    /// Returns whether this daemon has lost its links to engines that another one reaches, which can
    /// then form groups in its place. Engines that accept connections may all stand still for a
    /// moment, and peers notice that later.
    fn is_cut_off(&self) -> bool {
        let Some(catalog) = self.edge.catalog() else {
            return false;
        };
        let (links, now) = (&self.edge.links, self.edge.now());
        let mut services = catalog.services().filter(|s| s.engine.is_some());
        services.any(|s| {
            links.state(&s.name, now) == LinkState::Down && self.edge.is_reached_by_peer(&s.name)
        })
    }

    /// Releases the lease, so that another daemon need not wait for its end. If the write is lost,
    /// the lease expires.
    async fn release_lease(&self) {
        let txn = self.lease.borrow_mut().release(self.edge.now());
        if let Some(txn) = txn {
            let result = self.send(&txn).await;
            let written = matches!(result, TxnResult::Replied(TxnReply::Committed { .. }));
            let line = self.edge.lines.line("lease_given_up");
            line.with("written", written).write();
        }
        self.edge.peers.borrow_mut().lease = None;
        // The process waits for this before it exits.
        self.edge.is_planner.set(false);
        // The next heartbeat may be due after the process has exited.
        link::send_heartbeat(&self.edge, Reach::All);
    }

    /// Claims or renews the lease, as far as that is due.
    async fn step_lease(&self) {
        let now = self.edge.now();
        if let Some(snapshot) = self.edge.peers.borrow_mut().received_lease.take() {
            self.lease.borrow_mut().observe(snapshot, now);
        }
        let watching = matches!(self.lease.borrow().state(), LeaseState::Watching);
        if watching && !self.may_claim_lease(now) {
            return;
        }
        let (step, change) = self.lease.borrow_mut().tick(now);
        self.log_change(change);
        let change = match step {
            LeaseStep::Wait => LeaseChange::None,
            LeaseStep::Read => {
                let rows = self
                    .edge
                    .store
                    .read_own(&lease_key(&scope()), STORE_TIMEOUT)
                    .await;
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
        self.log_change(change);
        let holds = self.lease.borrow().term(self.edge.now()).is_some();
        self.edge.is_planner.set(holds);
        self.edge.peers.borrow_mut().lease = self.lease.borrow().snapshot().filter(|_| holds);
    }

    /// Returns whether this daemon may read and claim the lease now.
    ///
    /// No daemon does so while it receives heartbeats of a holder. At the start, only the daemon
    /// that the store lists first does, since hundreds would cost a store call each. If that one
    /// does not run, or the holder falls silent, the first daemons of the data centres do, and the
    /// others only if none of those succeeds.
    fn may_claim_lease(&self, now: Millis) -> bool {
        if self.is_cut_off() {
            return false;
        }
        let peers = self.edge.peers.borrow();
        if peers.is_planner_alive(now) {
            return false;
        }
        let discovered = now - self.edge.started >= DISCOVERY_PERIOD;
        if !discovered {
            let unknown = self.lease.borrow().holder().is_none();
            return unknown && peers.is_first_listed(&self.edge.settings().name);
        }
        let silence = now - peers.planner_seen_at().unwrap_or(self.edge.started);
        // While the store is unreachable, hundreds of reads of the lease would fail.
        let orphaned = silence >= ORPHANED_TIMEOUT && !self.edge.is_store_unreachable();
        orphaned || follow::reads_for_others(&self.edge)
    }

    /// Sends a transaction; one that was certainly not executed counts as refused.
    async fn send(&self, txn: &Txn) -> TxnResult {
        match self.edge.store.txn(txn, STORE_TIMEOUT).await {
            Ok(result) => result,
            Err(error) => {
                log::debug!("planner: lease not written: {error}");
                TxnResult::Replied(TxnReply::Refused { failed: Vec::new() })
            }
        }
    }

    fn log_change(&self, change: LeaseChange) {
        let lines = &self.edge.lines;
        match change {
            LeaseChange::None => {}
            LeaseChange::Gained { term } => lines.line("lease_gained").with("term", term).write(),
            LeaseChange::Ended { term } => lines.line("lease_ended").with("term", term).write(),
        }
    }

    /// Runs one pass over all fleets, as the planner or as one of its successors.
    fn step(self: &Rc<Self>) {
        let now = self.edge.now();
        let Some(catalog) = self.edge.catalog() else {
            return;
        };
        let (dead, late) = match self.lease.borrow().term(now) {
            Some(term) => self.plan(&catalog, term, now),
            None if self.may_succeed(now) => (Vec::new(), self.watch(&catalog, now)),
            None => {
                // The observations would be too old when this daemon watches again.
                self.fleets.borrow_mut().clear();
                (Vec::new(), None)
            }
        };
        for target in &dead {
            self.edge.suspect(
                target,
                "the target or a member of its group answered no probe",
            );
        }
        self.edge.peers.borrow_mut().late_joins = late;
        self.announce_dead(dead);
    }

    /// Returns whether this daemon is one of those that could take over from the planner. Only
    /// these go over all targets at each pass.
    fn may_succeed(&self, now: Millis) -> bool {
        let (settings, peers) = (self.edge.settings(), self.edge.peers.borrow());
        let unreachable = self.edge.is_store_unreachable();
        !peers.is_listed()
            || peers.ahead(&settings.name, unreachable, &settings.hall, now) < SUCCESSORS
    }

    /// Watches the fleets without the lease; returns the groups that may be joined late, if all of
    /// them are known.
    fn watch(&self, catalog: &Catalog, now: Millis) -> Option<Vec<GroupRef>> {
        let announced = self.edge.peers.borrow_mut().received_late_joins.take();
        let registry = self.edge.registry.borrow();
        let mut fleets = self.fleets.borrow_mut();
        let mut late = Some(Vec::new());
        for service in catalog.services().filter(|s| s.engine.is_some()) {
            let Some(targets) = registry.of_service(&service.name) else {
                continue;
            };
            let fleet = fleets.entry(service.name.clone()).or_default();
            if let Some(announced) = &announced {
                fleet.receive_late_joins(announced);
            }
            fleet.watch(targets, now);
            late = add_late_joins(late, fleet, now);
        }
        late
    }

    /// Plans all fleets; returns the targets that answered no probe, and the groups that may be
    /// joined late, if all of them are known.
    fn plan(
        self: &Rc<Self>,
        catalog: &Catalog,
        term: u64,
        now: Millis,
    ) -> (Vec<TargetId>, Option<Vec<GroupRef>>) {
        let edge = &self.edge;
        let stalled = self.stalled(now);
        let before_traffic = !edge.had_requests.get() && !edge.peers.borrow().any_busy();
        let slow = self.slow(now);
        let working = self.working(now);
        let requests = edge.loads.borrow().requests(now);
        let announced = edge.peers.borrow_mut().received_late_joins.take();
        let evacuations = edge.evacuations.borrow();
        let registry = edge.registry.borrow();
        let (mut dead, mut late) = (Vec::new(), Some(Vec::new()));
        for service in catalog.services() {
            let (Some(engine), Some(targets)) =
                (&service.engine, registry.of_service(&service.name))
            else {
                continue;
            };
            let mut fleets = self.fleets.borrow_mut();
            let fleet = fleets.entry(service.name.clone()).or_default();
            if let Some(announced) = &announced {
                fleet.receive_late_joins(announced);
            }
            let demand = self.demand(&service.name, now);
            let ranks_callers = catalog.ranks_callers(&service.name);
            let urgency = ranks_callers.then(|| self.urgency(&service.name, now));
            let urgency = urgency.unwrap_or_default();
            let capacity_ratios = self.capacity_ratios(&service.name, targets);
            let view = FleetView {
                targets,
                engine,
                stalled: &stalled,
                slow: &slow,
                working: &working,
                requests: &requests,
                demand: &demand,
                urgency: &urgency,
                capacity_ratios: &capacity_ratios,
                evacuated: &evacuations.known().halls,
                term,
                wall: Clock::wall(),
                before_traffic,
            };
            let actions = fleet.step(&view, now);
            self.record_census(&service.name, fleet, &view, now);
            dead.extend(fleet.broken_targets(targets));
            late = add_late_joins(late, fleet, now);
            drop(fleets);
            for action in actions {
                self.execute(&service.name, action);
            }
        }
        (dead, late)
    }

    /// Announces targets that answered no probe to all daemons; at once if one is new, since
    /// requests still go to its group.
    fn announce_dead(&self, dead: Vec<TargetId>) {
        let before = std::mem::replace(&mut self.edge.peers.borrow_mut().unresponsive, dead);
        let any_new = {
            let peers = self.edge.peers.borrow();
            peers.unresponsive.iter().any(|id| !before.contains(id))
        };
        if any_new {
            link::send_heartbeat(&self.edge, Reach::All);
        }
    }

    /// Logs the census of a fleet and updates its metrics, once per [`CENSUS_INTERVAL`].
    fn record_census(
        &self,
        service: &ServiceName,
        fleet: &FleetPlanner,
        view: &FleetView<'_>,
        now: Millis,
    ) {
        let mut last_census = self.last_census.borrow_mut();
        let last = last_census.get(service).copied();
        let elapsed = last.map_or(Millis::ZERO, |at| now - at);
        if last.is_some() && elapsed < CENSUS_INTERVAL {
            return;
        }
        last_census.insert(service.clone(), now);
        let census = fleet.census(view);
        figures::record_census(service, &census, elapsed);
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

    /// Returns the demand of the callers of all daemons, by model of one service.
    fn demand(&self, service: &ServiceName, now: Millis) -> Demand {
        let mut demand = self.edge.peers.borrow().demand(service, now);
        let own = self.edge.demand_meter.borrow_mut().work(now);
        for ((name, model), work) in own {
            if name == *service {
                *demand.entry(model).or_default() += work;
            }
        }
        demand
    }

    /// Returns the urgency of the demand of the callers of all daemons, by model of one service.
    fn urgency(&self, service: &ServiceName, now: Millis) -> BTreeMap<Model, Urgency> {
        let mut reported = self.edge.peers.borrow().urgent_demand(service, now);
        let mut meter = self.edge.demand_meter.borrow_mut();
        let work = meter.work(now);
        for (key, urgency) in meter.urgency(now) {
            if let (true, Some(work)) = (key.0 == *service, work.get(&key)) {
                reported.push((key.1, urgency, *work));
            }
        }
        let mut by_model: BTreeMap<Model, Vec<(Urgency, f64)>> = BTreeMap::new();
        for (model, urgency, work) in reported {
            by_model.entry(model).or_default().push((urgency, work));
        }
        let models = by_model.into_iter();
        let ranked = models.filter_map(|(model, work)| Some((model, model_urgency(work)?)));
        ranked.collect()
    }

    /// Returns the leaders with a rate limit, and the share of their usual capacity that the limit
    /// leaves.
    fn capacity_ratios(
        &self,
        service: &ServiceName,
        targets: &HashMap<TargetId, Target>,
    ) -> HashMap<TargetId, f64> {
        let meter = self.edge.demand_meter.borrow();
        let ratio = |(id, limit): (TargetId, RateLimit)| {
            let model = targets.get(&id)?.model()?;
            let work = meter.work_per_request(service, model)?;
            Some((id, capacity_ratio(limit, work)))
        };
        let limits = self.edge.limits.limits();
        limits.into_iter().filter_map(ratio).collect()
    }

    /// Returns the leaders of which the streams are slow.
    fn slow(&self, now: Millis) -> HashSet<TargetId> {
        let hall = &self.edge.settings().hall;
        let mut slow = self.edge.peers.borrow().slow(hall, now);
        slow.extend(self.edge.loads.borrow().slow(now));
        slow
    }

    /// Returns the leaders of which the streams are stalled.
    fn stalled(&self, now: Millis) -> HashSet<TargetId> {
        let (peers, loads) = (self.edge.peers.borrow(), self.edge.loads.borrow());
        let mut stalled = peers.suspects(&self.edge.settings().hall, now);
        stalled.extend(loads.suspects(now));
        stalled
    }

    /// Returns the leaders at which some daemon has requests without suspecting them, or streams
    /// that make progress.
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
}

/// Adds the late joins of a fleet to those of other fleets; returns `None` unless all are known.
fn add_late_joins(
    late: Option<Vec<GroupRef>>,
    fleet: &FleetPlanner,
    now: Millis,
) -> Option<Vec<GroupRef>> {
    let mut late = late.filter(|_| fleet.knows_late_joins(now))?;
    late.extend(fleet.late_joins(now));
    Some(late)
}
