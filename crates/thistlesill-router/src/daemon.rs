//! The router's loop: events in, the core's step, actions out.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use salvo::hyper::Response;
use snafu::{ResultExt, Snafu};
use thistlesill_core::chart::ChartError;
use thistlesill_core::config::{DaemonConfig, Role};
use thistlesill_core::error::ErrorBody;
use thistlesill_core::event_id::EventId;
use thistlesill_core::message::PeerBody;
use thistlesill_core::settings::Tree;
use thistlesill_core::{ErrorKind, Millis, Model, RequestId};
use thistlesill_net::admin::{AdminAsk, AdminReply, Question};
use thistlesill_net::base::{self, SettingsFeed};
use thistlesill_net::clock::Clock;
use thistlesill_net::engine::Engines;
use thistlesill_net::files::Secrets;
use thistlesill_net::journal::Journal;
use thistlesill_net::peer::{Heard, PeerError, PeerLink};
use thistlesill_net::platform::Platform;
use thistlesill_policy::pick::Rule;
use thistlesill_policy::router::{
    Arrival, AttemptEvent, Dispatch, Ending, RouterAction, RouterCore, RouterEvent, RouterOptions,
};
use thistlesill_policy::serving::{GroupKey, Runs};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::callers;
use crate::pending::{Asked, Pending, Reply, Running};
use crate::reply::{outcome_of, whole_reply};
use crate::send;

/// Between two looks at the time.
const TICK: Duration = Duration::from_millis(25);
/// Time in which answers that were written arrive at callers that read them at once.
const LAST_BYTES: Duration = Duration::from_millis(500);

/// Why a router could not start.
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

/// What the loop takes in.
#[derive(Debug)]
pub enum LoopEvent {
    /// A caller's request.
    Arrive {
        /// For the core.
        arrival: Box<Arrival>,
        /// What the daemon keeps.
        pending: Box<Pending>,
    },
    /// The caller went away.
    CallerGone(RequestId),
    /// Something for the core.
    Core(Box<RouterEvent>),
    /// A plain answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// The answer.
        answer: Box<Response<Bytes>>,
    },
    /// The models that are served.
    Models(tokio::sync::oneshot::Sender<Vec<Model>>),
    /// Whether the router is ready for callers.
    Health(tokio::sync::oneshot::Sender<bool>),
}

impl LoopEvent {
    pub(crate) fn attempt(request: RequestId, attempt: u32, what: AttemptEvent) -> Self {
        Self::Core(Box::new(RouterEvent::Attempt {
            request,
            attempt,
            what,
        }))
    }

    pub(crate) fn answer(request: RequestId, attempt: u32, answer: Response<Bytes>) -> Self {
        Self::Answer {
            request,
            attempt,
            answer: Box::new(answer),
        }
    }
}

struct Daemon {
    config: DaemonConfig,
    core: RouterCore,
    clock: Clock,
    journal: Journal,
    link: PeerLink,
    platform: Platform,
    engines: Engines,
    feed: SettingsFeed,
    events: mpsc::UnboundedSender<LoopEvent>,
    pending: HashMap<RequestId, Pending>,
    /// When it was told to stop.
    stopped: Option<Millis>,
    exit: bool,
}

/// Runs a router until it is told to stop and all its requests have ended.
///
/// # Errors
///
/// A [`StartError`] if it could not start.
///
/// # Panics
///
/// If the process cannot await signals.
pub async fn run(config: DaemonConfig, secrets: Secrets) -> Result<(), StartError> {
    let (events, mut inbox) = mpsc::unbounded_channel();
    let core = RouterCore::new(options(&config)).context(ChartsSnafu)?;
    let base = base::start(&config, &secrets).await.context(PeersSnafu)?;
    let (mut asked, mut datagrams) = (base.questions, base.datagrams);
    let callers = callers::spawn(&config, base.feed.shelf.clone(), events.clone());
    let mut daemon = Daemon {
        core,
        clock: Clock::new(),
        platform: base.platform,
        engines: Engines::new(secrets.key),
        feed: base.feed,
        journal: base.journal,
        link: base.link,
        events,
        pending: HashMap::new(),
        stopped: None,
        exit: false,
        config,
    };
    log::info!("router: {} started", daemon.config.name);
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = signal(SignalKind::terminate()).expect("signals can be awaited");
    while !daemon.exit {
        tokio::select! {
            Some(event) = inbox.recv() => daemon.take(event),
            Some(question) = asked.recv() => daemon.answer(question),
            Some(message) = datagrams.recv() => daemon.hear(message),
            _ = stop.recv() => daemon.stop(),
            _ = tick.tick() => daemon.tick(),
        }
    }
    // Who came in the meantime is refused as not run.
    inbox.close();
    while let Ok(event) = inbox.try_recv() {
        daemon.take(event);
    }
    let (name, rest) = (daemon.config.name.clone(), daemon.rest());
    drop(daemon);
    callers.finish(rest).await;
    log::info!("router: {name} stopped");
    Ok(())
}

fn options(config: &DaemonConfig) -> RouterOptions {
    RouterOptions {
        name: config.name.clone(),
        region: config.region.clone(),
        hall: config.hall.clone(),
        waiting: config.limits.waiting,
        balancer: Millis::new(config.periods.balancer_ms),
        stop: Millis::new(config.periods.stop_ms),
        seed: rand::rng().random(),
        rule: Rule::default(),
    }
}

impl Daemon {
    fn step(&mut self, event: RouterEvent) {
        let now = self.clock.now();
        let actions = self.core.step(event, now);
        for action in actions {
            self.act(action);
        }
    }

    fn take(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Arrive { arrival, pending } => {
                self.pending.insert(arrival.request, *pending);
                self.step(RouterEvent::Arrive(arrival));
            }
            LoopEvent::CallerGone(request) => {
                self.step(RouterEvent::CallerGone(request));
                self.forget_gone(request);
            }
            LoopEvent::Core(event) => self.step(*event),
            LoopEvent::Answer {
                request,
                attempt,
                answer,
            } => {
                let status = answer.status().as_u16();
                if let Some(pending) = self.pending.get_mut(&request) {
                    pending.answer = Some(*answer);
                }
                let what = AttemptEvent::Whole { status };
                self.step(RouterEvent::Attempt {
                    request,
                    attempt,
                    what,
                });
            }
            LoopEvent::Models(reply) => drop(reply.send(self.models())),
            LoopEvent::Health(reply) => drop(reply.send(self.core.is_ready())),
        }
    }

    /// Forgets a request whose caller is gone, unless it must run on.
    fn forget_gone(&mut self, request: RequestId) {
        if !self.core.is_under_way(request) {
            self.pending.remove(&request);
        }
    }

    fn models(&self) -> Vec<Model> {
        let servers = self.core.roster().servers.iter();
        let mut models: Vec<Model> = servers
            .filter_map(|s| match &s.runs {
                Runs::Model(load) => Some(load.model.clone()),
                Runs::Service(_) => None,
            })
            .collect();
        models.sort();
        models.dedup();
        models
    }

    fn stop(&mut self) {
        log::info!("router: {} is told to stop", self.config.name);
        self.stopped.get_or_insert_with(|| self.clock.now());
        self.step(RouterEvent::Stop);
    }

    /// What is left of the time to stop, for callers that are slow to read.
    fn rest(&self) -> Duration {
        let periods = &self.config.periods;
        let limit = Millis::new(periods.balancer_ms + periods.stop_ms);
        let begun = self.stopped.unwrap_or(Millis::ZERO);
        let rest = limit - (self.clock.now() - begun);
        rest.duration().max(LAST_BYTES)
    }

    fn tick(&mut self) {
        self.step(RouterEvent::Tick);
        let take = self.settings_sink();
        self.feed.tick(self.clock.now(), take);
    }

    /// Hands settings that were read to the loop.
    fn settings_sink(&self) -> impl FnOnce(Arc<Tree>) + Send + use<> {
        let events = self.events.clone();
        move |tree| drop(events.send(LoopEvent::Core(Box::new(RouterEvent::Settings(tree)))))
    }

    fn hear(&mut self, message: Heard) {
        let Heard { from, lag, body } = message;
        match body {
            PeerBody::Beat(beat) => self.step(RouterEvent::Beat { from, beat, lag }),
            PeerBody::Digest(part) => self.step(RouterEvent::Digest { from, part, lag }),
            PeerBody::Usage(usage) => self.step(RouterEvent::Usage { from, usage }),
            PeerBody::Fatal(told) => self.step(RouterEvent::Fatal(told)),
            PeerBody::Head { revision } => {
                let take = self.settings_sink();
                self.feed.heard(&from, revision, self.clock.now(), take);
            }
            PeerBody::Want => {}
        }
    }

    fn answer(&mut self, question: Question) {
        let reply = match question.ask {
            AdminAsk::Ready if self.core.is_ready() => AdminReply::Yes,
            AdminAsk::Status => AdminReply::value(&self.core.status()),
            AdminAsk::Groups => AdminReply::value(self.core.roster()),
            AdminAsk::Ready | AdminAsk::Instances => AdminReply::No,
            AdminAsk::Drain => {
                self.stop();
                AdminReply::Yes
            }
        };
        drop(question.reply.send(reply));
    }

    fn act(&mut self, action: RouterAction) {
        match action {
            RouterAction::Send(dispatch) => self.send(*dispatch),
            RouterAction::Cancel { request, .. } => self.cancel(request),
            RouterAction::Deliver {
                request,
                key,
                offset,
                text,
            } => self.deliver(request, key, offset, &text),
            RouterAction::Finish { request, ending } => self.finish(request, *ending),
            RouterAction::Fail {
                request,
                kind,
                after,
            } => self.fail(request, kind, after),
            RouterAction::SendTxn { flight, txn } => {
                let (platform, events) = (self.platform.clone(), self.events.clone());
                tokio::spawn(async move {
                    let result = platform.txn(&txn).await;
                    let event = RouterEvent::TxnDone { flight, result };
                    drop(events.send(LoopEvent::Core(Box::new(event))));
                });
            }
            RouterAction::ReadRows { flight, keys } => {
                let (platform, events) = (self.platform.clone(), self.events.clone());
                tokio::spawn(async move {
                    let rows = platform.read(keys).await.ok();
                    let event = RouterEvent::RowsRead { flight, rows };
                    drop(events.send(LoopEvent::Core(Box::new(event))));
                });
            }
            RouterAction::AskDigest(to) => {
                let peers = self.config.peers.iter().filter(|p| p.name == to);
                self.link.tell(peers, PeerBody::Want);
            }
            RouterAction::TellUsage(usage) => {
                let routers = self.config.peers.iter().filter(|p| p.role == Role::Router);
                self.link.tell(routers, PeerBody::Usage(usage));
            }
            RouterAction::TellFatal(told) => {
                let routers = self.config.peers.iter().filter(|p| p.role == Role::Router);
                self.link.tell(routers, PeerBody::Fatal(told));
            }
            RouterAction::TellHead(revision) => {
                if let Some(tree) = self.core.tree() {
                    self.feed.shelf.put(tree);
                }
                self.link
                    .tell(&self.config.peers, PeerBody::Head { revision });
            }
            RouterAction::Note(what) => self.journal.note(what),
            RouterAction::Exit => self.exit = true,
        }
    }

    fn send(&mut self, dispatch: Dispatch) {
        let Some(pending) = self.pending.get_mut(&dispatch.request) else {
            return;
        };
        let (engines, events) = (self.engines.clone(), self.events.clone());
        let address = dispatch.address;
        let repeatable = pending.repeatable;
        let task = match pending.asked.clone() {
            Asked::Completion(ask) => {
                let job = send::completion(engines, dispatch, *ask, repeatable, events);
                tokio::spawn(job)
            }
            Asked::Plain(ask) => {
                tokio::spawn(send::plain(engines, dispatch, *ask, repeatable, events))
            }
        };
        pending.attempt = Some(Running { address, task });
    }

    fn cancel(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(running) = pending.attempt.take() else {
            return;
        };
        running.task.abort();
        if matches!(pending.asked, Asked::Completion(_)) {
            tokio::spawn(send::cancel(self.engines.clone(), running.address, request));
        }
    }

    fn deliver(&self, request: RequestId, key: GroupKey, offset: u32, text: &str) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let id = EventId {
            request,
            group: key.group,
            epoch: key.epoch,
            offset,
        };
        let piece = Reply::Piece {
            id,
            text: text.to_owned(),
        };
        drop(pending.reply.send(piece));
    }

    fn finish(&mut self, request: RequestId, ending: Ending) {
        metrics::counter!("thistlesill_requests_completed_total").increment(1);
        let Some(pending) = self.pending.remove(&request) else {
            return;
        };
        let whole = whole_reply(request, &pending, ending);
        if let Some(outcome) = outcome_of(&whole) {
            self.core.record(request, outcome);
        }
        drop(pending.reply.send(Reply::Whole(whole)));
    }

    fn fail(&mut self, request: RequestId, kind: ErrorKind, after: Option<Millis>) {
        metrics::counter!("thistlesill_requests_failed_total", "kind" => kind.name()).increment(1);
        log::info!("router: request {request} ends with {kind}");
        if let Some(pending) = self.pending.remove(&request) {
            if let Some(running) = pending.attempt {
                running.task.abort();
            }
            drop(
                pending
                    .reply
                    .send(Reply::Failed(ErrorBody::new(kind, after))),
            );
        }
    }
}
