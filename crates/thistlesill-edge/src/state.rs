//! The state of an edge daemon, which one thread owns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use thistlesill_core::edge::{Catalog, EdgeSettings, Service, Target, TargetId};
use thistlesill_core::table::{Txn, TxnResult};
use thistlesill_core::{Millis, Model, ServiceName};
use thistlesill_net::clock::{Alarm, Clock};
use thistlesill_platform::store::Store;
use thistlesill_policy::budget::RetryBudget;
use thistlesill_policy::edge::asked::DemandMeter;
use thistlesill_policy::edge::book::TargetRegistry;
use thistlesill_policy::edge::evacuation::EvacuationTable;
use thistlesill_policy::edge::freshness::Freshness;
use thistlesill_policy::edge::limit::Clearance;
use thistlesill_policy::edge::load::{Knowledge, LoadTable, PickRequest};
use tokio::sync::Notify;

use crate::lanes::Lanes;
use crate::limits::Limits;
use crate::lines::Lines;
use crate::peers::packet::StoreUse;
use crate::peers::place::PlacementState;
use crate::peers::traffic::Traffic;
use crate::peers::transfer::PackedCache;
use crate::peers::{Peers, link};
use crate::quarantine::Cases;
use crate::start::Start;
use thistlesill_policy::edge::feed::Feed;

/// Daemons that are assumed to share the retry budget until more are known;
/// the smallest fleets have about as many.
const FEWEST_DAEMONS: usize = 8;
/// Part of the retries beyond the ratio that is shared out; the rest covers
/// daemons that restart and begin to save anew.
const SLACK_USED: f64 = 0.5;
/// Part of the ratio that is used, since requests that never arrive may be
/// counted in another window than their retries.
const RATIO_USED: f64 = 0.8;

/// How long a request waits for a daemon that has just started: about four reads
/// of the store at its usual 4 ms and their way there and back. When they take
/// longer the store is slow or away, and the caller is told to come back.
const FIRST_READS: Millis = Millis::new(90);

/// How long an unused connection to the store is kept: longer than a daemon that
/// forms groups or reads for others leaves one unused (it writes the lease every
/// 0.6 s). Daemons that ask their peers call the store seldom, on a new one.
const STORE_KEEP: Duration = Duration::from_millis(1_000);

/// How long a question to the store that brought no answer tells of the store: longer
/// than the pauses between the questions of a daemon that asks on. Without this end,
/// daemons that had once been refused never read the targets again, at an age of what
/// they knew of up to 29 s (295 daemons, a calm day).
const AWAY: Millis = Millis::new(5_000);
/// Kept of the time before a stopping process is killed.
const STOP_MARGIN: Millis = Millis::new(400);
/// Time in which a daemon that has just started hears of its peers' load.
const BLIND: Millis = Millis::new(400);

/// A request that asks for a target.
pub(crate) struct Asking<'a> {
    pub(crate) service: &'a Service,
    pub(crate) model: Option<&'a Model>,
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// The latency objective.
    pub(crate) aim: Millis,
    /// Targets that it was sent to, or that its daemon passes over.
    pub(crate) tried: &'a [TargetId],
    /// Whether it may be told to come back.
    pub(crate) first: bool,
}

impl Asking<'_> {
    /// The model that decides which targets serve it.
    pub(crate) fn served_model(&self) -> Option<&Model> {
        self.model.filter(|_| self.service.engine.is_some())
    }

    /// The targets that serve it and that it was not sent to.
    fn untried<'a>(&'a self, book: &'a TargetRegistry) -> impl Iterator<Item = &'a Target> {
        let serving = book.serving(&self.service.name, self.served_model());
        let serving = serving.iter().map(AsRef::as_ref);
        serving.filter(|t| !self.tried.contains(&t.id))
    }
}

/// Where the next attempt of a request goes.
pub(crate) enum Choice {
    /// To this target.
    Target(Box<Target>),
    /// Nowhere now: it would begin too late by this much.
    Overloaded(Millis),
    /// Nowhere now: the targets' limits leave room for it after this time.
    Spent(Millis),
    /// Nowhere: no target serves what it asks for.
    Nobody,
}

/// What was decided on the next attempt of a request.
pub(crate) struct Pick {
    pub(crate) choice: Choice,
    pub(crate) by: PlacedBy,
    /// Until when the request may be sent to the chosen target.
    pub(crate) clearance: Clearance,
}

/// Changes of targets that a daemon heard of and does not have.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Lack {
    /// Their newest version.
    pub(crate) version: u64,
    /// Since when it lacks them, or when it last asked.
    pub(crate) since: Millis,
}

/// Who chose the target of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacedBy {
    /// This daemon, which owns the scope.
    Itself,
    /// The owner of the scope.
    Owner,
    /// This daemon, since no owner is known or answered.
    Alone,
}

impl PlacedBy {
    /// The name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::Owner => "owner",
            Self::Alone => "alone",
        }
    }
}

/// All state of a daemon.
pub(crate) struct Edge {
    pub(crate) settings: RefCell<Rc<EdgeSettings>>,
    pub(crate) clock: Clock,
    /// Ends waits for moments of that clock.
    pub(crate) alarm: Alarm,
    pub(crate) boot: u64,
    pub(crate) store: Store,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// The catalog in force as the operators wrote it, for peers that lack it.
    pub(crate) catalog_text: RefCell<Bytes>,
    /// Whether the daemon, which has just started, waits for peers.
    pub(crate) start: Cell<Start>,
    /// What daemons that start must know, by the versions of the targets and of the catalog.
    pub(crate) packed: PackedCache<(u64, Option<u64>)>,
    /// The catalog, by its version.
    pub(crate) packed_catalog: PackedCache<u64>,
    /// The daemons that are known, by the revision of their list.
    pub(crate) packed_members: PackedCache<u64>,
    /// Where a peer is that knows changes of targets which are not told one by one.
    pub(crate) targets_at: Cell<Option<SocketAddr>>,
    /// Where the newer catalog is that a peer told of.
    pub(crate) catalog_at: Cell<Option<SocketAddr>>,
    /// When the catalog in force was last known to be the newest.
    pub(crate) fresh: Cell<Freshness>,
    /// When the targets' entries were last known to be the newest.
    pub(crate) targets_fresh: Cell<Freshness>,
    /// When this daemon last asked the store itself for what it then knew of the
    /// targets.
    pub(crate) targets_read: Cell<Option<Millis>>,
    pub(crate) book: RefCell<TargetRegistry>,
    /// Data centres whose targets get no requests.
    pub(crate) evacuations: RefCell<EvacuationTable>,
    pub(crate) loads: RefCell<LoadTable>,
    /// The work that callers ask this daemon for.
    pub(crate) asked: RefCell<DemandMeter>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) placing: RefCell<PlacementState>,
    /// What was sent to peers.
    pub(crate) traffic: Traffic,
    /// Requests that end targets.
    pub(crate) cases: Cases,
    /// Limits that targets named.
    pub(crate) limits: Limits,
    pub(crate) lanes: Lanes,
    pub(crate) lines: Lines,
    pub(crate) rng: RefCell<SmallRng>,
    retries: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// Requests that are being answered.
    pub(crate) active: Cell<usize>,
    /// Whether any request has come since the start.
    pub(crate) busy: Cell<bool>,
    /// When the daemon was told to stop.
    pub(crate) stopping: Cell<Option<Millis>>,
    /// Woken when connections without a request are to end.
    pub(crate) stop: Notify,
    /// Whether this daemon holds the lease to form groups.
    pub(crate) plans: Cell<bool>,
    /// When the daemon started.
    pub(crate) started: Millis,
    /// Whether this daemon's last question about the catalog brought no answer.
    pub(crate) away: Cell<Option<Millis>>,
    /// Whether this daemon reads the store for others.
    pub(crate) reads: Cell<bool>,
    /// The changes of targets that this daemon lacks.
    pub(crate) lacks: Cell<Option<Lack>>,
    /// The changes of targets that this daemon lacks and a peer does not keep.
    pub(crate) gap: Cell<Option<Lack>>,
    /// The targets' changes, as far as they are known.
    pub(crate) feed: RefCell<Feed>,
    /// Woken when a peer is heard of which this daemon knew nothing.
    pub(crate) peer_heard: Notify,
    /// Woken when the store's list of daemons has been read.
    pub(crate) listed: Notify,
    /// Woken when the daemon waits for no peer any more to learn what it must.
    pub(crate) start_over: Notify,
    /// Woken when the daemon begins or ceases to read the store.
    pub(crate) reads_changed: Notify,
    /// Woken when the catalog or all targets have been read for the first time.
    pub(crate) learned: Notify,
    /// Woken when a peer has a newer catalog.
    pub(crate) catalog_news: Notify,
    /// Woken when a peer knows changes of targets that nobody keeps.
    pub(crate) targets_news: Notify,
    /// Woken when targets changed or are suspected.
    pub(crate) fleet_news: Notify,
    /// Woken when the store failed to answer.
    pub(crate) store_doubt: Notify,
}

impl Edge {
    pub(crate) fn new(settings: EdgeSettings) -> Self {
        let clock = Clock::new();
        Self {
            store: Store::new(settings.store, STORE_KEEP),
            peers: RefCell::new(Peers::default()),
            placing: RefCell::new(PlacementState::default()),
            traffic: Traffic::default(),
            cases: Cases::default(),
            limits: Limits::default(),
            settings: RefCell::new(Rc::new(settings)),
            clock,
            alarm: Alarm::new(clock),
            boot: rand::random(),
            catalog: RefCell::new(None),
            catalog_text: RefCell::new(Bytes::new()),
            start: Cell::new(Start::Waiting),
            packed: PackedCache::default(),
            packed_catalog: PackedCache::default(),
            packed_members: PackedCache::default(),
            targets_at: Cell::new(None),
            catalog_at: Cell::new(None),
            fresh: Cell::new(Freshness::default()),
            targets_fresh: Cell::new(Freshness::default()),
            targets_read: Cell::new(None),
            book: RefCell::new(TargetRegistry::default()),
            evacuations: RefCell::new(EvacuationTable::default()),
            loads: RefCell::new(LoadTable::default()),
            asked: RefCell::new(DemandMeter::default()),
            lanes: Lanes::default(),
            lines: Lines::start(),
            rng: RefCell::new(SmallRng::seed_from_u64(rand::random())),
            retries: RefCell::new(HashMap::new()),
            active: Cell::new(0),
            busy: Cell::new(false),
            stopping: Cell::new(None),
            stop: Notify::new(),
            plans: Cell::new(false),
            started: clock.now(),
            away: Cell::new(None),
            reads: Cell::new(false),
            lacks: Cell::new(None),
            gap: Cell::new(None),
            feed: RefCell::new(Feed::default()),
            peer_heard: Notify::new(),
            listed: Notify::new(),
            start_over: Notify::new(),
            reads_changed: Notify::new(),
            learned: Notify::new(),
            catalog_news: Notify::new(),
            targets_news: Notify::new(),
            fleet_news: Notify::new(),
            store_doubt: Notify::new(),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn settings(&self) -> Rc<EdgeSettings> {
        self.settings.borrow().clone()
    }

    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Whether the catalog and the targets have been read since the start.
    fn has_learned(&self) -> bool {
        self.catalog.borrow().is_some() && self.feed.borrow().is_known()
    }

    /// Waits until the catalog and the targets have been read, for a short
    /// time at most: callers connect as soon as a daemon listens again.
    pub(crate) async fn wait_to_learn(&self) {
        let until = self.now() + FIRST_READS;
        while !self.has_learned() {
            let learned = self.learned.notified();
            if self.alarm.in_time(until, learned).await.is_none() {
                return;
            }
        }
    }

    /// Writes rows of the system's own under no condition; returns whether the store said
    /// that it did. `failed` begins the line about a call that did nothing.
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

    /// Whether the store did not answer this daemon a short time ago. A daemon that has
    /// ceased to ask does not notice that the store is back.
    pub(crate) fn is_away(&self) -> bool {
        self.away.get().is_some_and(|at| self.now() - at < AWAY)
    }

    /// What this daemon has to do with the store.
    pub(crate) fn store_use(&self) -> StoreUse {
        match (self.is_away(), self.reads.get()) {
            (true, _) => StoreUse::Unreachable,
            (false, true) => StoreUse::Reads,
            (false, false) => StoreUse::Asks,
        }
    }

    /// How long what a peer told is believed.
    pub(crate) fn trust(&self) -> Millis {
        self.peers
            .borrow()
            .peer_timeout(&self.settings.borrow().hall)
    }

    /// Whether requests with keys may pass now.
    pub(crate) fn is_fresh(&self) -> bool {
        let bound = self.settings.borrow().bounds.revoke;
        self.fresh.get().permits(bound, self.now())
    }

    /// Notes that the catalog in force was the newest at the moment `asked`.
    pub(crate) fn confirm(&self, asked: Millis) {
        let mut fresh = self.fresh.get();
        fresh.confirm(asked);
        self.fresh.set(fresh);
    }

    /// Notes that all changes of targets before the moment `asked` are known.
    pub(crate) fn confirm_targets(&self, asked: Millis) {
        let mut fresh = self.targets_fresh.get();
        fresh.confirm(asked);
        self.targets_fresh.set(fresh);
    }

    /// How old the knowledge of the targets is.
    pub(crate) fn targets_age(&self) -> Option<Millis> {
        self.targets_fresh.get().age(self.now())
    }

    /// Time in which the daemon ends once it was told to stop.
    pub(crate) fn grace(&self) -> Millis {
        self.settings.borrow().bounds.grace - STOP_MARGIN
    }

    /// Whether the balancer may send new callers here.
    pub(crate) fn is_ready(&self) -> bool {
        let known = self.catalog.borrow().is_some();
        self.stopping.get().is_none() && known && self.is_fresh()
    }

    /// Whether a request that is late in any case may be sent now.
    pub(crate) fn has_room(&self, service: &Service, model: Option<&Model>) -> bool {
        let (Some(engine), loads) = (&service.engine, self.loads.borrow()) else {
            return true;
        };
        let now = self.now();
        let alone = now - self.started < BLIND && !loads.has_peer_counts();
        let book = self.book.borrow();
        let serving = book.serving(&service.name, model);
        let serving = serving.iter().map(AsRef::as_ref);
        let serving: Vec<&Target> = serving
            .filter(|t| !self.limits.is_spent(&t.id, now))
            .collect();
        !alone && loads.has_room(&serving, engine, now)
    }

    /// Picks the target for the next attempt of a request.
    pub(crate) fn pick(&self, asking: &Asking<'_>, knowledge: Knowledge) -> Choice {
        let service = asking.service;
        let book = self.book.borrow();
        let now = self.now();
        let mut untried: Vec<&Target> = asking.untried(&book).collect();
        let wait = self.limits.wait(untried.iter().copied(), now);
        if let Some(wait) = wait.filter(|wait| *wait > Millis::ZERO) {
            return Choice::Spent(wait);
        }
        untried.retain(|t| !self.limits.is_spent(&t.id, now));
        let settings = self.settings();
        let wanted = PickRequest {
            engine: service.engine.as_ref(),
            prompt: asking.prompt,
            hall: &settings.hall,
        };
        let loads = self.loads.borrow();
        if asking.first
            && let Some(late) = loads.lateness(&untried, &wanted, asking.aim, now)
        {
            return Choice::Overloaded(late);
        }
        let rng = &mut *self.rng.borrow_mut();
        match loads.pick(&untried, &wanted, knowledge, now, rng) {
            Some(target) => Choice::Target(Box::new(target.clone())),
            None => Choice::Nobody,
        }
    }

    /// Notes a first attempt at a service.
    pub(crate) fn earn_retry(&self, service: &ServiceName) {
        let part = self.settings.borrow().bounds.retry_ratio * RATIO_USED;
        self.with_budget(service, |budget| budget.deposit(part));
    }

    /// Takes a retry out of the daemon's part of the service's budget.
    pub(crate) fn spend_retry(&self, service: &ServiceName) -> bool {
        let spent = self.with_budget(service, RetryBudget::withdraw);
        if !spent {
            metrics::counter!("thistlesill_edge_retries_denied_total").increment(1);
        }
        spent
    }

    /// Whether a further attempt may be made now, and there is a target for it.
    pub(crate) fn may_go_elsewhere(&self, asking: &Asking<'_>) -> bool {
        let has_retry = self.with_budget(&asking.service.name, |budget| budget.has_retry());
        let (book, loads, now) = (self.book.borrow(), self.loads.borrow(), self.now());
        let mut untried = asking.untried(&book);
        let may = |t: &Target| !loads.is_suspect(&t.id, now) && !self.limits.is_spent(&t.id, now);
        has_retry && untried.any(may)
    }

    fn with_budget<T>(&self, service: &ServiceName, step: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let daemons = self.peers.borrow().daemon_count().max(FEWEST_DAEMONS);
        let most = self.settings.borrow().bounds.retry_slack * SLACK_USED / daemons as f64;
        let mut retries = self.retries.borrow_mut();
        let budget = retries
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::with_capacity(most));
        budget.set_capacity(most);
        step(budget)
    }

    /// Notes that a target stopped or failed, and tells the planner.
    pub(crate) fn suspect(&self, target: &TargetId, why: &str) {
        let news = self.loads.borrow_mut().suspect(target, self.now());
        self.lanes.forget(target);
        if news {
            self.lines
                .line("target_suspected")
                .with("target", target)
                .with("why", why)
                .write();
            self.fleet_news.notify_one();
            link::report_suspects(self);
        }
    }
}
