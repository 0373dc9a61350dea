//! Logs and metrics of one request: a log line for each decision, and one when the request ends
//! in any way.

use std::rc::Rc;

use hyper::Response;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::error::Ran;
use thistlesill_core::{ErrorKind, Fingerprint, Millis, NodeId};
use thistlesill_policy::edge::admission::Admission;
use thistlesill_policy::edge::attempt::{NextStep, Outcome};
use thistlesill_policy::edge::load::Work;
use thistlesill_policy::edge::shortage::Urgency;

use crate::choice::PlacedBy;
use crate::destination::Destination;
use crate::figures;
use crate::ranking::Ranking;
use crate::relay::Pause;
use crate::reply::{self, OutBody};
use crate::state::Edge;

/// The state of a target when a request was sent there.
#[derive(Debug, Clone, Copy)]
struct Sent {
    /// Time since the request's arrival.
    after: Millis,
    /// The known work at the target, without this request.
    work: Work,
}

/// The part of an answer that was late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Late {
    /// The first chunk, or all of a plain answer.
    First,
    /// An event of a stream, after too long a pause.
    Pause,
}

impl Late {
    /// Returns the name in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Pause => "pause",
        }
    }
}

/// A request in progress; its last log line is written when it ends or is dropped.
pub(crate) struct Track {
    edge: Rc<Edge>,
    id: String,
    arrived: Millis,
    route: Option<Rc<str>>,
    version: Option<u64>,
    first: Option<Millis>,
    /// The latency objective of the route.
    aim: Option<Millis>,
    /// The longest pause of a stream that is in time.
    max_pause: Option<Millis>,
    /// The state of the last target when the request was sent there.
    sent: Option<Sent>,
    /// The reason for the outcome, where the error kind does not tell it.
    reason: Option<&'static str>,
    retry_after: Option<Millis>,
    /// Which daemon chose the last target before the answer began.
    placed: Option<PlacedBy>,
    /// The rank of the request, if its service ranks its callers.
    urgency: Option<Urgency>,
    /// Hash that is the same for all attempts of the caller, if the service ranks its callers.
    caller: Option<u64>,
    /// Whether this daemon answered with an error that says that the request has not run.
    refused: bool,
    /// The decision on the request by its rank.
    ranking: Option<Ranking>,
    /// The peer that the request was last passed to.
    peer: Option<NodeId>,
    /// The longest pause of the stream.
    pause: Option<Pause>,
    /// How often the stream was resumed at another target.
    resumes: u32,
    /// The fingerprint of the request, if it is withheld.
    fingerprint: Option<Fingerprint>,
    ended: bool,
}

impl Track {
    pub(crate) fn new(edge: &Rc<Edge>, id: &str, arrived: Millis) -> Self {
        edge.active.set(edge.active.get() + 1);
        Self {
            edge: edge.clone(),
            id: id.to_owned(),
            arrived,
            route: None,
            version: None,
            first: None,
            aim: None,
            max_pause: None,
            sent: None,
            reason: None,
            retry_after: None,
            placed: None,
            urgency: None,
            caller: None,
            refused: false,
            ranking: None,
            peer: None,
            pause: None,
            resumes: 0,
            fingerprint: None,
            ended: false,
        }
    }

    /// Moves the tracking of the request to a new value, for an answer that is still being sent.
    pub(crate) fn split(&mut self, edge: &Rc<Edge>) -> Self {
        let mut rest = Self::new(edge, &self.id, self.arrived);
        rest.route.clone_from(&self.route);
        rest.version = self.version;
        rest.placed = self.placed;
        rest.urgency = self.urgency;
        rest.caller = self.caller;
        rest.ranking = self.ranking;
        rest.peer.clone_from(&self.peer);
        rest.aim = self.aim;
        rest.max_pause = self.max_pause;
        rest.sent = self.sent;
        self.ended = true;
        rest
    }

    /// Records that the request was admitted.
    pub(crate) fn admitted(&mut self, admission: &Admission) {
        self.route = Some(Rc::from(&*admission.route.name));
        self.version = Some(admission.version);
        self.aim = Some(admission.route.aim);
        self.max_pause = admission.route.pause;
    }

    /// Records the state of the target to which the request is being sent.
    pub(crate) fn sent(&mut self, target: &Target) {
        let now = self.edge.now();
        self.sent = Some(Sent {
            after: now - self.arrived,
            work: self.edge.loads.borrow().work(&target.id, now),
        });
    }

    /// Returns which part of the answer was late, if any.
    fn late(&self, took: Millis) -> Option<Late> {
        let aim = self.aim?;
        let first = self.first.unwrap_or(took);
        let pause = self.pause.map_or(Millis::ZERO, |p| p.length);
        if first > aim {
            Some(Late::First)
        } else if self.max_pause.is_some_and(|max| pause > max) {
            Some(Late::Pause)
        } else {
            None
        }
    }

    /// Records that the first chunk of the answer goes to the caller.
    pub(crate) fn first_chunk(&mut self) {
        let took = self.edge.now() - self.arrived;
        self.first = Some(took);
        metrics::histogram!("thistlesill_edge_first_piece_ms").record(took.get() as f64);
    }

    /// Records which daemon chose the target.
    pub(crate) const fn placed(&mut self, by: PlacedBy) {
        self.placed = Some(by);
    }

    /// Records the rank of the request, and the key of its caller.
    pub(crate) const fn ranked(&mut self, urgency: Urgency, caller: u64) {
        self.urgency = Some(urgency);
        self.caller = Some(caller);
    }

    /// Records the decision on the request by its rank.
    pub(crate) fn decided(&mut self, ranking: Ranking) {
        figures::record_decision(&ranking);
        self.ranking = Some(ranking);
    }

    /// Records the longest pause of a stream that ends.
    pub(crate) fn paused(&mut self, pause: Pause) {
        metrics::histogram!("thistlesill_edge_longest_pause_ms").record(pause.length.get() as f64);
        self.pause = Some(pause);
    }

    /// Records the peer that the request is passed to.
    pub(crate) fn forwarded(&mut self, peer: &NodeId) {
        metrics::counter!("thistlesill_edge_forwarded_total").increment(1);
        self.peer = Some(peer.clone());
    }

    /// Returns whether the request was passed to a peer.
    pub(crate) const fn is_forwarded(&self) -> bool {
        self.peer.is_some()
    }

    /// Logs an attempt that gave no answer to forward.
    pub(crate) fn attempt_failed(
        &self,
        destination: &Destination,
        outcome: Outcome,
        reason: &str,
        next: NextStep,
    ) {
        metrics::counter!("thistlesill_edge_attempts_failed_total", "outcome" => outcome.name())
            .increment(1);
        let next = match next {
            NextStep::Retry => "again".to_owned(),
            NextStep::Forward => "deliver".to_owned(),
            NextStep::Fail(kind) => format!("fail:{kind}"),
        };
        let line = self.edge.lines.line("attempt_failed").with("id", &self.id);
        let line = match destination {
            Destination::Target(target) => line
                .with("target", &target.id)
                .with("address", target.address),
            Destination::Peer(peer) => line.with("peer", peer),
        };
        line.with("outcome", outcome.name())
            .with("why", reason)
            .with("after_ms", (self.edge.now() - self.arrived).get())
            .with("next", next)
            .write();
    }

    /// Logs that a stream was resumed at another target.
    pub(crate) fn resumed(
        &mut self,
        from: &TargetId,
        to: &Destination,
        last_event: Option<&str>,
        reason: &str,
    ) {
        metrics::counter!("thistlesill_edge_resumed_total").increment(1);
        self.resumes += 1;
        self.edge
            .lines
            .line("stream_resumed")
            .with("id", &self.id)
            .with("from", from)
            .with("to", to)
            .maybe("last_event", last_event)
            .with("why", reason)
            .write();
    }

    /// Records that the request is withheld, with the fingerprint under which the log shows its
    /// losses.
    pub(crate) const fn withheld(&mut self, fingerprint: Fingerprint) {
        self.fingerprint = Some(fingerprint);
    }

    /// Sets the reason for the outcome, where the error kind does not tell it.
    pub(crate) fn with_reason(&mut self, reason: &'static str) -> &mut Self {
        self.reason = Some(reason);
        self
    }

    /// Ends the request with an error answer of this daemon.
    ///
    /// `after` is when the caller may retry, if a better estimate than the usual time is known.
    pub(crate) fn refuse(&mut self, kind: ErrorKind, after: Option<Millis>) -> Response<OutBody> {
        self.retry_after = after;
        self.refused = kind.answer().ran == Ran::No;
        self.end(kind.answer().status, None, 0, kind.name());
        reply::error(kind, after)
    }

    /// Ends the request with a target's answer.
    pub(crate) fn ended(&mut self, status: u16, target: Option<&TargetId>, bytes: usize) {
        self.end(status, target, bytes, "answered");
    }

    /// Ends the request with an answer that broke off.
    pub(crate) fn broke_off(&mut self, target: Option<&TargetId>, bytes: usize, outcome: &str) {
        self.end(200, target, bytes, outcome);
    }

    fn end(&mut self, status: u16, target: Option<&TargetId>, bytes: usize, outcome: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.edge.now();
        let took = now - self.arrived;
        metrics::counter!("thistlesill_edge_requests_total", "outcome" => outcome.to_owned())
            .increment(1);
        metrics::histogram!("thistlesill_edge_request_ms").record(took.get() as f64);
        let age = self.edge.catalog_freshness.get().age(now);
        let late = self.late(took);
        let urgency = self.urgency.map(|u| format!("{}.{}", u.customer, u.route));
        let ranking = self.ranking.as_ref();
        // Links the attempts of a refused caller; other lines don't need it.
        let returned = ranking.is_some_and(|r| r.returned);
        let caller = self.caller.filter(|_| self.refused || returned);
        let settings = self.edge.settings();
        let aim = self.aim.filter(|_| ranking.is_some()).map(Millis::get);
        // The state of the target explains why an answer was late; other lines don't need it.
        let sent = self.sent.filter(|_| late.is_some());
        self.edge
            .lines
            .line("request")
            .with("id", &self.id)
            .with("outcome", outcome)
            .with("status", status)
            .maybe("route", self.route.as_deref())
            .maybe("target", target)
            .maybe("peer", self.peer.as_ref())
            .maybe("placed", self.placed.map(PlacedBy::name))
            .maybe("urgency", urgency)
            .maybe("decision", ranking.map(|r| r.decision.name()))
            .maybe("ground", ranking.and_then(Ranking::ground_name))
            .maybe("begin_ms", ranking.map(|r| r.begin.get()))
            .maybe("aim_ms", aim)
            .maybe("return", ranking.and_then(Ranking::standing_name))
            .maybe("caller", caller.map(|key| format!("{key:016x}")))
            .maybe("daemon", caller.map(|_| &settings.name))
            .maybe("hall", caller.map(|_| &settings.hall))
            .maybe("catalog", self.version)
            .maybe("proof_age_ms", age.map(Millis::get))
            .maybe("targets_age_ms", self.edge.targets_age().map(Millis::get))
            .maybe("first_ms", self.first.map(Millis::get))
            .maybe("pause_ms", self.pause.map(|p| p.length.get()))
            .maybe("pause_waited_ms", self.pause.map(|p| p.waited.get()))
            .maybe("pause_unread", self.pause.map(|p| p.unread))
            .maybe("resumes", Some(self.resumes).filter(|n| *n > 0))
            .maybe("late", late.map(Late::name))
            .maybe("sent_ms", sent.map(|s| s.after.get()))
            .maybe("sent_unread", sent.map(|s| s.work.unread))
            .maybe("sent_requests", sent.map(|s| s.work.requests))
            .maybe("why", self.reason)
            .maybe("print", self.fingerprint)
            .maybe("back_ms", self.retry_after.map(Millis::get))
            .maybe("booked", ranking.filter(|r| r.booked).map(|_| true))
            .with("took_ms", took.get())
            .with("bytes", bytes)
            .write();
    }
}

impl Drop for Track {
    fn drop(&mut self) {
        self.end(0, None, 0, "caller_left");
        let edge = &self.edge;
        edge.active.set(edge.active.get().saturating_sub(1));
    }
}
