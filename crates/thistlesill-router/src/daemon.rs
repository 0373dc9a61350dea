//! Main loop of the router: receives events, steps the core and carries out its actions.

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
use thistlesill_net::admin::{AdminCommand, AdminReply, AdminRequest};
use thistlesill_net::base::{self, SettingsFeed};
use thistlesill_net::clock::Clock;
use thistlesill_net::engine::Engines;
use thistlesill_net::files::Secrets;
use thistlesill_net::journal::Journal;
use thistlesill_net::peer::{PeerError, PeerLink, PeerMessage};
use thistlesill_net::platform::Platform;
use thistlesill_policy::pick::PickRule;
use thistlesill_policy::router::{
    Arrival, AttemptEvent, Dispatch, Ending, RouterAction, RouterCore, RouterEvent, RouterOptions,
};
use thistlesill_policy::serving::{GroupKey, Runs};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;

use crate::callers;
use crate::pending::{CallerRequest, Pending, Reply, RunningAttempt};
use crate::reply::{complete_reply, recordable_outcome};
use crate::send;

/// Interval between [`RouterEvent::Tick`] events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time for answers that were already written to reach callers that read at once.
const MIN_FLUSH_TIME: Duration = Duration::from_millis(500);

/// Reason why a router could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A state chart does not pass its check.
    #[snafu(display("{source}"))]
    Charts {
        /// Result of the check.
        source: ChartError,
    },
    /// The address for messages from peers could not be bound.
    #[snafu(display("peers: {source}"))]
    Peers {
        /// Underlying error.
        source: PeerError,
    },
}

/// Input of the main loop.
#[derive(Debug)]
pub enum LoopEvent {
    /// A request arrived.
    Arrive {
        /// Part of the request that the core decides on.
        arrival: Box<Arrival>,
        /// Part of the request that the daemon keeps.
        pending: Box<Pending>,
    },
    /// The caller disconnected.
    CallerGone(RequestId),
    /// An event that is passed to the core unchanged.
    Core(Box<RouterEvent>),
    /// A plain service answered.
    Answer {
        /// Request that was answered.
        request: RequestId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Complete answer.
        answer: Box<Response<Bytes>>,
    },
    /// Asks for the models that are served.
    Models(tokio::sync::oneshot::Sender<Vec<Model>>),
    /// Asks whether the router is ready for callers.
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
    /// When the daemon was first asked to stop.
    stop_requested_at: Option<Millis>,
    exit: bool,
}

/// Runs a router until it is asked to stop and all its requests have ended.
///
/// # Errors
///
/// A [`StartError`] if the router could not start.
///
/// # Panics
///
/// If the process cannot install its signal handler.
pub async fn run(config: DaemonConfig, secrets: Secrets) -> Result<(), StartError> {
    let (events, mut loop_events) = mpsc::unbounded_channel();
    let core = RouterCore::new(options(&config)).context(ChartsSnafu)?;
    let base = base::start(&config, &secrets).await.context(PeersSnafu)?;
    let (mut admin_questions, mut datagrams) = (base.admin_requests, base.datagrams);
    let callers = callers::spawn(&config, base.feed.current.clone(), events.clone());
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
        stop_requested_at: None,
        exit: false,
        config,
    };
    log::info!("router: {} started", daemon.config.name);
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut stop = signal(SignalKind::terminate()).expect("signals can be awaited");
    while !daemon.exit {
        tokio::select! {
            Some(event) = loop_events.recv() => daemon.handle_event(event),
            Some(question) = admin_questions.recv() => daemon.answer_admin(question),
            Some(message) = datagrams.recv() => daemon.handle_message(message),
            _ = stop.recv() => daemon.stop(),
            _ = tick.tick() => daemon.tick(),
        }
    }
    // Requests that arrived in the meantime are refused as not run.
    loop_events.close();
    while let Ok(event) = loop_events.try_recv() {
        daemon.handle_event(event);
    }
    let (name, remaining) = (daemon.config.name.clone(), daemon.remaining_stop_time());
    drop(daemon);
    callers.finish(remaining).await;
    log::info!("router: {name} stopped");
    Ok(())
}

fn options(config: &DaemonConfig) -> RouterOptions {
    RouterOptions {
        name: config.name.clone(),
        region: config.region.clone(),
        hall: config.hall.clone(),
        max_waiting: config.limits.waiting,
        balancer_grace: Millis::new(config.periods.balancer_ms),
        stop_timeout: Millis::new(config.periods.stop_ms),
        seed: rand::rng().random(),
        rule: PickRule::default(),
    }
}

impl Daemon {
    fn step(&mut self, event: RouterEvent) {
        let now = self.clock.now();
        let actions = self.core.step(event, now);
        for action in actions {
            self.execute(action);
        }
    }

    fn handle_event(&mut self, event: LoopEvent) {
        match event {
            LoopEvent::Arrive { arrival, pending } => {
                self.pending.insert(arrival.request, *pending);
                self.step(RouterEvent::Arrive(arrival));
            }
            LoopEvent::CallerGone(request) => {
                self.step(RouterEvent::CallerGone(request));
                self.forget_if_ended(request);
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

    /// Drops a request whose caller disconnected, unless the core runs it to its end.
    fn forget_if_ended(&mut self, request: RequestId) {
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
        log::info!("router: {} stopping", self.config.name);
        self.stop_requested_at
            .get_or_insert_with(|| self.clock.now());
        self.step(RouterEvent::Stop);
    }

    /// Returns what remains of the time to stop, for callers that read slowly.
    fn remaining_stop_time(&self) -> Duration {
        let periods = &self.config.periods;
        let limit = Millis::new(periods.balancer_ms + periods.stop_ms);
        let requested_at = self.stop_requested_at.unwrap_or(Millis::ZERO);
        let remaining = limit - (self.clock.now() - requested_at);
        remaining.duration().max(MIN_FLUSH_TIME)
    }

    fn tick(&mut self) {
        self.step(RouterEvent::Tick);
        let on_settings = self.settings_sink();
        self.feed.tick(self.clock.now(), on_settings);
    }

    /// Returns a callback that sends settings to the loop.
    fn settings_sink(&self) -> impl FnOnce(Arc<Tree>) + Send + use<> {
        let events = self.events.clone();
        move |tree| drop(events.send(LoopEvent::Core(Box::new(RouterEvent::Settings(tree)))))
    }

    fn handle_message(&mut self, message: PeerMessage) {
        let PeerMessage { from, lag, body } = message;
        match body {
            PeerBody::Beat(heartbeat) => self.step(RouterEvent::Heartbeat {
                from,
                heartbeat,
                lag,
            }),
            PeerBody::Digest(part) => self.step(RouterEvent::Digest { from, part, lag }),
            PeerBody::Usage(usage) => self.step(RouterEvent::Usage { from, usage }),
            PeerBody::Fatal(fatal) => self.step(RouterEvent::Fatal(fatal)),
            PeerBody::Head { revision } => {
                let on_settings = self.settings_sink();
                self.feed
                    .receive_head(&from, revision, self.clock.now(), on_settings);
            }
            PeerBody::Want => {}
        }
    }

    fn answer_admin(&mut self, question: AdminRequest) {
        let reply = match question.command {
            AdminCommand::Ready if self.core.is_ready() => AdminReply::Yes,
            AdminCommand::Status => AdminReply::value(&self.core.status()),
            AdminCommand::Groups => AdminReply::value(self.core.roster()),
            AdminCommand::Ready | AdminCommand::Instances => AdminReply::No,
            AdminCommand::Drain => {
                self.stop();
                AdminReply::Yes
            }
        };
        drop(question.reply.send(reply));
    }

    fn execute(&mut self, action: RouterAction) {
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
            RouterAction::RequestDigest(to) => {
                let peers = self.config.peers.iter().filter(|p| p.name == to);
                self.link.send(peers, PeerBody::Want);
            }
            RouterAction::SendUsage(usage) => {
                let routers = self.config.peers.iter().filter(|p| p.role == Role::Router);
                self.link.send(routers, PeerBody::Usage(usage));
            }
            RouterAction::SendFatal(fatal) => {
                let routers = self.config.peers.iter().filter(|p| p.role == Role::Router);
                self.link.send(routers, PeerBody::Fatal(fatal));
            }
            RouterAction::SendHead(revision) => {
                if let Some(tree) = self.core.tree() {
                    self.feed.current.update(tree);
                }
                self.link
                    .send(&self.config.peers, PeerBody::Head { revision });
            }
            RouterAction::Note(what) => self.journal.record(what),
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
        let task = match pending.caller_request.clone() {
            CallerRequest::Completion(completion) => {
                let job = send::completion(engines, dispatch, *completion, repeatable, events);
                tokio::spawn(job)
            }
            CallerRequest::Plain(plain_call) => tokio::spawn(send::plain(
                engines,
                dispatch,
                *plain_call,
                repeatable,
                events,
            )),
        };
        pending.attempt = Some(RunningAttempt { address, task });
    }

    fn cancel(&mut self, request: RequestId) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let Some(running) = pending.attempt.take() else {
            return;
        };
        running.task.abort();
        if matches!(pending.caller_request, CallerRequest::Completion(_)) {
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
        let complete = complete_reply(request, &pending, ending);
        if let Some(outcome) = recordable_outcome(&complete) {
            self.core.record(request, outcome);
        }
        drop(pending.reply.send(Reply::Complete(complete)));
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
