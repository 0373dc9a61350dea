//! The planner's event loop, which passes events to the core and performs the core's actions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::{ResultExt, Snafu};
use thistlesill_core::chart::ChartError;
use thistlesill_core::config::{DaemonConfig, Role};
use thistlesill_core::message::PeerBody;
use thistlesill_core::report::Order;
use thistlesill_core::settings::Tree;
use thistlesill_core::table::{RowKey, Txn};
use thistlesill_core::timeline::TimelineEvent;
use thistlesill_core::{HallId, Millis};
use thistlesill_net::admin::{AdminCommand, AdminReply, AdminRequest};
use thistlesill_net::base::{self, SettingsFeed};
use thistlesill_net::clock::Clock;
use thistlesill_net::engine::Engines;
use thistlesill_net::files::Secrets;
use thistlesill_net::journal::Journal;
use thistlesill_net::peer::{PeerError, PeerLink, PeerMessage};
use thistlesill_net::platform::Platform;
use thistlesill_policy::plan::Strategy;
use thistlesill_policy::planner::{PlannerAction, PlannerCore, PlannerEvent, PlannerOptions};
use thistlesill_policy::presence::Watcher;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

/// The interval of [`PlannerEvent::Tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a stopping planner waits for its transactions, which give up its leases.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// The reason why a planner could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A state chart does not pass its check.
    #[snafu(display("{source}"))]
    Charts {
        /// The cause.
        source: ChartError,
    },
    /// The address for peers could not be bound.
    #[snafu(display("peers: {source}"))]
    Peers {
        /// The cause.
        source: PeerError,
    },
}

struct Daemon {
    config: DaemonConfig,
    core: PlannerCore,
    clock: Clock,
    journal: Journal,
    link: PeerLink,
    platform: Platform,
    engines: Engines,
    feed: SettingsFeed,
    events: mpsc::UnboundedSender<PlannerEvent>,
    last_listed: Option<Millis>,
    pending_txns: usize,
    exit: bool,
}

/// Runs a planner until a `SIGTERM` or an operator's drain command stops it.
///
/// # Errors
///
/// A [`StartError`] if the planner could not start.
///
/// # Panics
///
/// If the process cannot install a signal handler.
pub async fn run(config: DaemonConfig, secrets: Secrets) -> Result<(), StartError> {
    let (events, mut inbox) = mpsc::unbounded_channel();
    let core = PlannerCore::new(options(&config)).context(ChartsSnafu)?;
    let base = base::start(&config, &secrets).await.context(PeersSnafu)?;
    let (mut admin_requests, mut datagrams) = (base.admin_requests, base.datagrams);
    let mut daemon = Daemon {
        core,
        clock: Clock::new(),
        platform: base.platform,
        engines: Engines::new(secrets.key),
        feed: base.feed,
        journal: base.journal,
        link: base.link,
        events,
        last_listed: None,
        pending_txns: 0,
        exit: false,
        config,
    };
    log::info!("planner: {} started", daemon.config.name);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = signal(SignalKind::terminate()).expect("signals can be awaited");
    while !daemon.exit {
        tokio::select! {
            Some(event) = inbox.recv() => daemon.handle(event),
            Some(request) = admin_requests.recv() => daemon.answer(request),
            Some(message) = datagrams.recv() => daemon.receive(message),
            _ = stop.recv() => daemon.stop(),
            _ = tick.tick() => daemon.tick(),
        }
    }
    let released = async {
        while daemon.pending_txns > 0 {
            match inbox.recv().await {
                Some(event) => daemon.handle(event),
                None => break,
            }
        }
    };
    if tokio::time::timeout(RELEASE_TIMEOUT, released)
        .await
        .is_err()
    {
        log::warn!("planner: could not give up its leases, which will expire");
    }
    log::info!("planner: stopped");
    Ok(())
}

fn options(config: &DaemonConfig) -> PlannerOptions {
    let planners = config.peers.iter().filter(|p| p.role == Role::Planner);
    PlannerOptions {
        name: config.name.clone(),
        region: config.region.clone(),
        hall: config.hall.clone(),
        planners: planners
            .map(|p| Watcher {
                name: p.name.clone(),
                hall: p.hall.clone(),
            })
            .collect(),
        run: Clock::wall(),
        probe_interval: Millis::new(config.periods.probe_ms),
        heartbeat_interval: Millis::new(config.periods.beat_ms),
        plan_interval: Millis::new(config.periods.plan_ms),
        renew_interval: Millis::new(config.periods.renew_ms),
        lease_length: Millis::new(config.periods.lease_ms),
        strategy: Strategy::default(),
    }
}

impl Daemon {
    fn handle(&mut self, event: PlannerEvent) {
        if matches!(event, PlannerEvent::TxnDone { .. }) {
            self.pending_txns = self.pending_txns.saturating_sub(1);
        }
        self.step(event);
    }

    fn step(&mut self, event: PlannerEvent) {
        let now = self.clock.now();
        let actions = self.core.step(event, now);
        for action in actions {
            self.perform(action);
        }
    }

    fn stop(&mut self) {
        log::info!("planner: {} is stopping", self.config.name);
        self.step(PlannerEvent::Stop);
    }

    fn tick(&mut self) {
        self.step(PlannerEvent::Tick);
        let now = self.clock.now();
        let on_update = self.on_settings();
        self.feed.tick(now, on_update);
        let list_interval = Millis::new(self.config.periods.list_ms);
        if self.last_listed.is_none_or(|t| now - t >= list_interval) {
            self.last_listed = Some(now);
            self.list_instances();
        }
    }

    /// Returns a callback that passes new settings to the event loop.
    fn on_settings(&self) -> impl FnOnce(Arc<Tree>) + Send + use<> {
        let events = self.events.clone();
        move |tree| drop(events.send(PlannerEvent::Settings(tree)))
    }

    fn list_instances(&self) {
        let (platform, events) = (self.platform.clone(), self.events.clone());
        tokio::spawn(async move {
            if let Ok(listed) = platform.instances().await {
                drop(events.send(PlannerEvent::Listed(listed)));
            }
        });
    }

    fn receive(&mut self, message: PeerMessage) {
        let PeerMessage { from, lag, body } = message;
        match body {
            PeerBody::Beat(heartbeat) => self.step(PlannerEvent::Heartbeat {
                from,
                heartbeat,
                lag,
            }),
            PeerBody::Digest(part) => self.step(PlannerEvent::Digest { from, part, lag }),
            PeerBody::Want => self.step(PlannerEvent::DigestRequested(from)),
            PeerBody::Head { revision } => {
                let on_update = self.on_settings();
                self.feed
                    .receive_head(&from, revision, self.clock.now(), on_update);
            }
            PeerBody::Usage(_) | PeerBody::Fatal(_) => {}
        }
    }

    fn answer(&mut self, request: AdminRequest) {
        let now = self.clock.now();
        let reply = match request.command {
            AdminCommand::Ready if self.core.is_ready() => AdminReply::Yes,
            AdminCommand::Ready => AdminReply::No,
            AdminCommand::Status => AdminReply::value(&self.core.status(now)),
            AdminCommand::Groups => AdminReply::value(&self.core.halls(now)),
            AdminCommand::Instances => AdminReply::value(&self.core.instances(now)),
            AdminCommand::Drain => {
                self.stop();
                AdminReply::Yes
            }
        };
        drop(request.reply.send(reply));
    }

    fn perform(&mut self, action: PlannerAction) {
        match action {
            PlannerAction::Probe(address) => self.probe(address),
            PlannerAction::SendTxn { hall, flight, txn } => self.send_txn(hall, flight, txn),
            PlannerAction::Read {
                hall,
                flight,
                prefixes,
            } => self.read(hall, flight, prefixes),
            PlannerAction::SendOrder {
                hall,
                order,
                address,
            } => self.send_order(hall, order, address),
            PlannerAction::SendHeartbeat(heartbeat) => {
                self.link
                    .send(&self.config.peers, PeerBody::Beat(heartbeat));
            }
            PlannerAction::SendDigest { to, parts } => {
                for part in parts {
                    let peers = self.config.peers.iter().filter(|p| p.name == to);
                    self.link.send(peers, PeerBody::Digest(part));
                }
            }
            PlannerAction::RequestDigest(to) => {
                let peers = self.config.peers.iter().filter(|p| p.name == to);
                self.link.send(peers, PeerBody::Want);
            }
            PlannerAction::SendHead(revision) => {
                if let Some(tree) = self.core.tree() {
                    self.feed.current.update(tree);
                }
                self.link
                    .send(&self.config.peers, PeerBody::Head { revision });
            }
            PlannerAction::Note(event) => {
                log_event(&event);
                self.journal.record(event);
            }
            PlannerAction::Exit => self.exit = true,
        }
    }

    fn probe(&self, address: SocketAddr) {
        let started = self.clock.now();
        let (engines, events) = (self.engines.clone(), self.events.clone());
        tokio::spawn(async move {
            if let Ok(report) = engines.report(address).await {
                let report = Box::new(report);
                drop(events.send(PlannerEvent::Reported { report, started }));
            }
        });
    }

    fn send_txn(&mut self, hall: HallId, flight: u64, txn: Txn) {
        self.pending_txns += 1;
        let (platform, events) = (self.platform.clone(), self.events.clone());
        tokio::spawn(async move {
            let result = platform.txn(&txn).await;
            drop(events.send(PlannerEvent::TxnDone {
                hall,
                flight,
                result,
            }));
        });
    }

    fn read(&self, hall: HallId, flight: u64, prefixes: Vec<RowKey>) {
        let (platform, events) = (self.platform.clone(), self.events.clone());
        tokio::spawn(async move {
            let rows = platform.read(prefixes).await.ok();
            drop(events.send(PlannerEvent::RowsRead { hall, flight, rows }));
        });
    }

    fn send_order(&self, hall: HallId, order: Order, address: SocketAddr) {
        let (engines, events) = (self.engines.clone(), self.events.clone());
        tokio::spawn(async move {
            let reply = engines.order(address, &order).await.ok();
            drop(events.send(PlannerEvent::Answered {
                hall,
                instance: order.instance,
                fence: order.fence,
                reply,
            }));
        });
    }
}

fn log_event(event: &TimelineEvent) {
    match event {
        TimelineEvent::LeaseGained { hall, term } => {
            log::info!("planner: gained the lease of {hall}, term {term}");
        }
        TimelineEvent::LeaseEnded { hall, term } => {
            log::info!("planner: no longer holds the lease of {hall}, term {term}");
        }
        TimelineEvent::GroupPlanned { group, members, .. } => {
            log::info!(
                "planner: planned group {group} with {} members",
                members.len()
            );
        }
        TimelineEvent::GroupEnded { group, why, .. } => {
            log::info!("planner: ended group {group}: {why:?}");
        }
        _ => {}
    }
}
