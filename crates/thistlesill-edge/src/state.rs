//! The state of an edge daemon, which belongs to one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thistlesill_core::edge::{Catalog, EdgeSettings, TargetId};
use thistlesill_core::table::{Txn, TxnResult};
use thistlesill_core::{Millis, ServiceName};
use thistlesill_net::clock::{Alarm, Clock};
use thistlesill_net::memory::MemoryBudget;
use thistlesill_net::stream::BlockedWrites;
use thistlesill_platform::store::Store;
use thistlesill_policy::budget::RetryBudget;
use thistlesill_policy::edge::asked::DemandMeter;
use thistlesill_policy::edge::book::TargetRegistry;
use thistlesill_policy::edge::evacuation::EvacuationTable;
use thistlesill_policy::edge::freshness::Freshness;
use thistlesill_policy::edge::load::LoadTable;
use thistlesill_policy::edge::pending::PendingRequests;
use tokio::sync::Notify;

use crate::backoffs::Backoffs;
use crate::forward::ForwardState;
use crate::intake::{IntakeState, LoopDelay};
use crate::lanes::Lanes;
use crate::limits::Limits;
use crate::lines::Lines;
use crate::peers::packet::StoreUse;
use crate::peers::place::PlacementState;
use crate::peers::traffic::Traffic;
use crate::peers::transfer::PackedCache;
use crate::peers::{Peers, link};
use crate::quarantine::QuarantineState;
use crate::ranking::RankingState;
use crate::reach::Links;
use crate::start::Start;
use thistlesill_policy::edge::feed::Feed;

/// Minimum number of daemons that are assumed to share the retry budget; the smallest fleets have
/// about as many.
const MIN_DAEMONS: usize = 8;
/// Share of the retries allowed beyond the ratio that is divided among the daemons; the rest covers
/// daemons that restart with a new budget.
const SLACK_SHARE: f64 = 0.5;
/// Share of the retry ratio that is used, since requests that never arrive may be counted in
/// another window than their retries.
const RATIO_SHARE: f64 = 0.8;

/// How long a request waits while the daemon loads the catalog and the targets after its start:
/// about four reads of the store at the usual 4 ms each, plus the round trips. If the reads take
/// longer, the store is slow or unreachable, and the caller is told to retry later.
const LOAD_TIMEOUT: Millis = Millis::new(90);

/// Idle timeout of connections to the store. A daemon that forms groups or reads the store for
/// others uses its connection more often (the lease is written every 0.6 s). Daemons that ask
/// their peers call the store rarely, and open a new connection for that.
const STORE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long the store counts as unreachable after a request that got no answer: longer than the
/// interval between the requests of a daemon that keeps asking.
///
/// Without this timeout, daemons that the store had refused once never read the targets again, and
/// their knowledge became up to 29 s old (295 daemons, without faults).
const UNREACHABLE_TIMEOUT: Millis = Millis::new(5_000);
/// Safety margin before the moment at which a stopping process is killed.
const STOP_MARGIN: Millis = Millis::new(400);
/// Share of the memory that bodies may take. Connections and all else take the rest.
const BODIES_SHARE: f64 = 0.3;
/// Bytes that bodies may take if the memory is not limited.
const DEFAULT_BODIES_BYTES: usize = 256 << 20;
/// Time in which the last answers of a stopping daemon reach their callers before it ends.
const LAST_ANSWERS_TIME: Millis = Millis::new(300);

/// Changes of targets that a peer announced and this daemon has not received.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FeedGap {
    /// The newest version among the changes.
    pub(crate) version: u64,
    /// When the gap was noticed, or when the daemon last requested the changes.
    pub(crate) since: Millis,
}

/// The state of a daemon.
pub(crate) struct Edge {
    pub(crate) settings: RefCell<Rc<EdgeSettings>>,
    pub(crate) clock: Clock,
    /// Timer for waits until a time of `clock`.
    pub(crate) alarm: Alarm,
    pub(crate) boot: u64,
    pub(crate) store: Store,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Source text of the catalog in force, for peers that lack it.
    pub(crate) catalog_text: RefCell<Bytes>,
    /// Whether the daemon still waits for peers after its start.
    pub(crate) start: Cell<Start>,
    /// The snapshot for daemons that start, by the versions of the targets and of the catalog.
    pub(crate) packed: PackedCache<(u64, Option<u64>)>,
    /// The packed catalog, by its version.
    pub(crate) packed_catalog: PackedCache<u64>,
    /// The packed list of known daemons, by its revision.
    pub(crate) packed_members: PackedCache<u64>,
    /// Address of a peer that has changes of targets which are no longer sent one by one.
    pub(crate) targets_source: Cell<Option<SocketAddr>>,
    /// Address of a peer that announced a newer catalog.
    pub(crate) catalog_source: Cell<Option<SocketAddr>>,
    /// When the catalog in force was last confirmed as the newest.
    pub(crate) catalog_freshness: Cell<Freshness>,
    /// Requests to peers for a proof of the catalog, with the times when they were sent.
    pub(crate) proof_requests: RefCell<PendingRequests<Millis>>,
    /// When the entries of the targets were last confirmed as the newest.
    pub(crate) targets_freshness: Cell<Freshness>,
    /// When this daemon last sent the store a read of the targets that succeeded.
    pub(crate) last_targets_read: Cell<Option<Millis>>,
    pub(crate) registry: RefCell<TargetRegistry>,
    /// Data centres that are evacuated: their targets get no requests.
    pub(crate) evacuations: RefCell<EvacuationTable>,
    pub(crate) loads: RefCell<LoadTable>,
    /// Demand of the callers of this daemon.
    pub(crate) demand_meter: RefCell<DemandMeter>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) placing: RefCell<PlacementState>,
    /// Decisions on requests to services that rank their callers.
    pub(crate) ranking: RankingState,
    /// Counts of the messages to peers.
    pub(crate) traffic: Traffic,
    /// Requests that crash targets.
    pub(crate) quarantine: QuarantineState,
    /// Rate limits of targets.
    pub(crate) limits: Limits,
    /// Backoffs that targets request from this daemon.
    pub(crate) backoffs: Backoffs,
    pub(crate) lanes: Lanes,
    /// Bytes that are held for callers and targets.
    pub(crate) memory: MemoryBudget,
    /// Peers that requests can be passed to.
    pub(crate) forwarding: ForwardState,
    /// The links to the targets.
    pub(crate) links: Links,
    pub(crate) lines: Lines,
    pub(crate) rng: RefCell<SmallRng>,
    retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Number of requests in progress.
    pub(crate) active: Cell<usize>,
    /// Connections of callers.
    pub(crate) intake: Rc<IntakeState>,
    /// When this daemon was short of processor time.
    pub(crate) delay: LoopDelay,
    /// Connections to callers and peers that cannot write all of an answer.
    pub(crate) unsent: BlockedWrites,
    /// Whether any request has arrived since the start.
    pub(crate) had_requests: Cell<bool>,
    /// When the daemon was told to stop, if so.
    pub(crate) stopping: Cell<Option<Millis>>,
    /// Notified when connections without a request must close.
    pub(crate) stop: Notify,
    /// Notified when requests without an answer must get one, since the daemon ends.
    pub(crate) ending: Notify,
    /// Whether this daemon holds the lease to form groups.
    pub(crate) is_planner: Cell<bool>,
    /// When the daemon started.
    pub(crate) started: Millis,
    /// When this daemon's last request for the catalog got no answer; `None` if it got one.
    pub(crate) store_unreachable_at: Cell<Option<Millis>>,
    /// Whether this daemon reads the store.
    pub(crate) is_reader: Cell<bool>,
    /// Changes of targets that this daemon has not received.
    pub(crate) feed_gap: Cell<Option<FeedGap>>,
    /// Changes of targets that this daemon has not received and a peer no longer keeps.
    pub(crate) unserved_gap: Cell<Option<FeedGap>>,
    /// Changes of targets in the order of their versions.
    pub(crate) feed: RefCell<Feed>,
    /// Notified at the first message of a peer that was not known or has restarted.
    pub(crate) peer_discovered: Notify,
    /// Notified when the store's list of daemons has been read.
    pub(crate) listed: Notify,
    /// Notified when the daemon no longer waits for peers to load its initial state.
    pub(crate) start_ended: Notify,
    /// Notified when the daemon starts or stops reading the store.
    pub(crate) reader_changed: Notify,
    /// Notified when the catalog or all targets have been loaded for the first time.
    pub(crate) loaded: Notify,
    /// Notified when a peer has a newer catalog.
    pub(crate) newer_catalog: Notify,
    /// Notified when a peer has changes of targets that are no longer sent one by one.
    pub(crate) newer_targets: Notify,
    /// Notified when targets changed or are suspected.
    pub(crate) fleet_changed: Notify,
    /// Notified when the store failed to answer.
    pub(crate) store_failed: Notify,
}

impl Edge {
    pub(crate) fn new(settings: EdgeSettings) -> Self {
        let clock = Clock::new();
        let memory = MemoryBudget::default();
        memory.set_limit(bodies_limit(&settings));
        let mut rng = SmallRng::seed_from_u64(rand::random());
        Self {
            store: Store::new(settings.store, STORE_IDLE_TIMEOUT),
            peers: RefCell::new(Peers::default()),
            placing: RefCell::new(PlacementState::new(&mut rng)),
            ranking: RankingState::new(settings.overload),
            traffic: Traffic::default(),
            quarantine: QuarantineState::default(),
            limits: Limits::new(&mut rng),
            backoffs: Backoffs::default(),
            clock,
            alarm: Alarm::new(clock),
            boot: rand::random(),
            catalog: RefCell::new(None),
            catalog_text: RefCell::new(Bytes::new()),
            start: Cell::new(Start::Waiting),
            packed: PackedCache::default(),
            packed_catalog: PackedCache::default(),
            packed_members: PackedCache::default(),
            targets_source: Cell::new(None),
            catalog_source: Cell::new(None),
            catalog_freshness: Cell::new(Freshness::default()),
            proof_requests: RefCell::new(PendingRequests::new(&mut rng)),
            targets_freshness: Cell::new(Freshness::default()),
            last_targets_read: Cell::new(None),
            registry: RefCell::new(TargetRegistry::default()),
            evacuations: RefCell::new(EvacuationTable::default()),
            loads: RefCell::new(LoadTable::default()),
            demand_meter: RefCell::new(DemandMeter::default()),
            lanes: Lanes::default(),
            memory,
            forwarding: ForwardState::default(),
            links: Links::default(),
            lines: Lines::start(std::io::stdout()),
            rng: RefCell::new(rng),
            retries: RefCell::new(HashMap::new()),
            active: Cell::new(0),
            intake: IntakeState::new(&settings),
            delay: LoopDelay::default(),
            unsent: BlockedWrites::default(),
            had_requests: Cell::new(false),
            stopping: Cell::new(None),
            stop: Notify::new(),
            ending: Notify::new(),
            is_planner: Cell::new(false),
            started: clock.now(),
            store_unreachable_at: Cell::new(None),
            is_reader: Cell::new(false),
            feed_gap: Cell::new(None),
            unserved_gap: Cell::new(None),
            feed: RefCell::new(Feed::default()),
            peer_discovered: Notify::new(),
            listed: Notify::new(),
            start_ended: Notify::new(),
            reader_changed: Notify::new(),
            loaded: Notify::new(),
            newer_catalog: Notify::new(),
            newer_targets: Notify::new(),
            fleet_changed: Notify::new(),
            store_failed: Notify::new(),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Brings other settings in force.
    pub(crate) fn set_settings(&self, settings: EdgeSettings) {
        self.ranking.set_limits(settings.overload);
        self.memory.set_limit(bodies_limit(&settings));
        self.intake.set_settings(&settings);
        self.settings.replace(Rc::new(settings));
    }

    pub(crate) fn settings(&self) -> Rc<EdgeSettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns whether the catalog and the targets have been loaded since the start.
    pub(crate) fn has_loaded(&self) -> bool {
        self.catalog.borrow().is_some() && self.feed.borrow().is_known()
    }

    /// Waits until the catalog and the targets have been loaded, for [`LOAD_TIMEOUT`] at most.
    /// Callers connect as soon as a restarted daemon listens.
    pub(crate) async fn wait_until_loaded(&self) {
        let until = self.now() + LOAD_TIMEOUT;
        while !self.has_loaded() {
            let loaded = self.loaded.notified();
            if self.alarm.timeout_at(until, loaded).await.is_none() {
                return;
            }
        }
    }

    /// Writes the system's own rows without guards; returns whether the store confirmed the write.
    ///
    /// `failed` begins the log message about a call that failed.
    pub(crate) async fn write(&self, txn: &Txn, limit: Duration, failed: &str) -> bool {
        match self.store.txn(txn, limit).await {
            Ok(TxnResult::Replied(_)) => true,
            Ok(TxnResult::Unknown) => false,
            Err(error) => {
                log::debug!("{failed}: {error}");
                false
            }
        }
    }

    /// Returns whether the store failed to answer this daemon a short time ago.
    ///
    /// A daemon that no longer asks does not notice that the store is reachable again, so the
    /// state expires.
    pub(crate) fn is_store_unreachable(&self) -> bool {
        self.store_unreachable_at
            .get()
            .is_some_and(|at| self.now() - at < UNREACHABLE_TIMEOUT)
    }

    /// Returns how this daemon uses the store.
    pub(crate) fn store_use(&self) -> StoreUse {
        match (self.is_store_unreachable(), self.is_reader.get()) {
            (true, _) => StoreUse::Unreachable,
            (false, true) => StoreUse::Reads,
            (false, false) => StoreUse::Asks,
        }
    }

    /// Returns how long data from a peer stays valid.
    pub(crate) fn peer_data_lifetime(&self) -> Millis {
        self.peers
            .borrow()
            .peer_timeout(&self.settings.borrow().hall)
    }

    /// Returns whether requests with API keys may be admitted now.
    pub(crate) fn is_fresh(&self) -> bool {
        let bound = self.settings.borrow().bounds.revoke;
        self.catalog_freshness.get().permits(bound, self.now())
    }

    /// Records that the catalog in force was the newest at the time `requested`.
    pub(crate) fn confirm_catalog(&self, requested: Millis) {
        let mut freshness = self.catalog_freshness.get();
        freshness.confirm(requested);
        self.catalog_freshness.set(freshness);
    }

    /// Records that all changes of targets before the time `requested` are known.
    pub(crate) fn confirm_targets(&self, requested: Millis) {
        let mut freshness = self.targets_freshness.get();
        freshness.confirm(requested);
        self.targets_freshness.set(freshness);
    }

    /// Returns the age of the knowledge of the targets, if there is any.
    pub(crate) fn targets_age(&self) -> Option<Millis> {
        self.targets_freshness.get().age(self.now())
    }

    /// Returns whether some peer reaches the targets of a service, as far as this daemon knows.
    pub(crate) fn is_reached_by_peer(&self, service: &ServiceName) -> bool {
        let hall = &self.settings().hall;
        let peers = self.peers.borrow();
        peers.reaching(service, hall, self.now()).next().is_some()
    }

    /// Returns the time in which the daemon must exit after it was told to stop.
    pub(crate) fn grace(&self) -> Millis {
        self.settings.borrow().bounds.grace - STOP_MARGIN
    }

    /// Returns the time after which a daemon that was told to stop answers what is still open.
    pub(crate) fn answer_grace(&self) -> Millis {
        self.grace() - LAST_ANSWERS_TIME
    }

    /// Returns whether the daemon was told to stop so long ago that it answers what is still open.
    pub(crate) fn is_ending(&self) -> bool {
        let since = self.stopping.get();
        since.is_some_and(|since| self.now() - since >= self.answer_grace())
    }

    /// Returns once the daemon answers what is still open, since it must end.
    pub(crate) async fn wait_until_ending(&self) {
        loop {
            let ending = self.ending.notified();
            if self.is_ending() {
                return;
            }
            ending.await;
        }
    }

    /// Returns whether the balancer may send new callers to this daemon.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.catalog.borrow().is_some();
        self.stopping.get().is_none() && known && self.is_fresh()
    }

    /// Adds the share of a retry that a first attempt earns to the budget of its service.
    pub(crate) fn deposit_retry(&self, service: &ServiceName) {
        let retries = self.settings.borrow().bounds.retry_ratio * RATIO_SHARE;
        self.with_budget(service, |budget| budget.deposit(retries));
    }

    /// Takes a retry out of this daemon's share of the service's budget; returns whether there was
    /// one.
    pub(crate) fn withdraw_retry(&self, service: &ServiceName) -> bool {
        let granted = self.with_budget(service, RetryBudget::withdraw);
        if !granted {
            metrics::counter!("thistlesill_edge_retries_denied_total").increment(1);
        }
        granted
    }

    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceName,
        step: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let daemons = self.peers.borrow().daemon_count().max(MIN_DAEMONS);
        let capacity = self.settings.borrow().bounds.retry_slack * SLACK_SHARE / daemons as f64;
        let mut retries = self.retries.borrow_mut();
        let budget = retries
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_capacity(capacity));
        budget.set_capacity(capacity);
        step(budget)
    }

    /// Marks a target that stopped or failed as suspect, and notifies the planner if that is new.
    /// While this daemon's links to the targets of the service are lost, nothing follows for one of
    /// them.
    pub(crate) fn suspect(&self, target: &TargetId, reason: &str) {
        let service = self
            .registry
            .borrow()
            .target(target)
            .map(|t| t.service.clone());
        if service.is_some_and(|service| self.links.is_lost(&service)) {
            return;
        }
        let is_new = self.loads.borrow_mut().suspect(target, self.now());
        self.lanes.close_idle(target);
        if is_new {
            self.lines
                .line("target_suspected")
                .with("target", target)
                .with("why", reason)
                .write();
            self.fleet_changed.notify_one();
            link::report_suspects(self);
        }
    }
}

/// Returns the number of bytes that bodies may take.
fn bodies_limit(settings: &EdgeSettings) -> usize {
    let share = |memory: usize| (memory as f64 * BODIES_SHARE) as usize;
    settings.memory.map_or(DEFAULT_BODIES_BYTES, share)
}
