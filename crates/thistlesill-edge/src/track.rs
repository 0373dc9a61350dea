//! What is noted about one request: a line for each decision and one at its
//! end, whatever the end is.

use std::rc::Rc;

use hyper::Response;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{ErrorKind, Fingerprint, Millis};
use thistlesill_policy::edge::admission::Admission;
use thistlesill_policy::edge::attempt::{NextStep, Outcome};
use thistlesill_policy::edge::load::Work;

use crate::relay::Pause;
use crate::reply::{self, OutBody};
use crate::state::{Edge, PlacedBy};

/// How a target stood when a request was sent there.
#[derive(Debug, Clone, Copy)]
struct Sent {
    /// How long after the request's arrival.
    after: Millis,
    /// The work there without this request, as far as it was known.
    work: Work,
}

/// What of an answer came late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Late {
    /// Its first piece, or all of a plain one.
    First,
    /// An event of a stream, after a pause.
    Pause,
}

impl Late {
    /// The name in logs.
    const fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Pause => "pause",
        }
    }
}

/// A request under way; its last line is written when it ends or is dropped.
pub(crate) struct Track {
    edge: Rc<Edge>,
    id: String,
    arrived: Millis,
    route: Option<Rc<str>>,
    version: Option<u64>,
    first: Option<Millis>,
    /// Its objective, and the longest pause in time.
    aim: Option<Millis>,
    max_pause: Option<Millis>,
    /// How the last target stood when the request was sent there.
    sent: Option<Sent>,
    /// What decided the end, where its kind does not say it.
    why: Option<&'static str>,
    retry_after: Option<Millis>,
    /// Who chose the last target before the answer began.
    placed: Option<PlacedBy>,
    /// The longest pause of a stream.
    pause: Option<Pause>,
    /// Times at which the stream was taken up elsewhere.
    resumes: u32,
    /// Its fingerprint, if it is withheld.
    print: Option<Fingerprint>,
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
            why: None,
            retry_after: None,
            placed: None,
            pause: None,
            resumes: 0,
            print: None,
            ended: false,
        }
    }

    /// Hands the rest of the request's notes over to a new owner.
    pub(crate) fn split(&mut self, edge: &Rc<Edge>) -> Self {
        let mut rest = Self::new(edge, &self.id, self.arrived);
        rest.route.clone_from(&self.route);
        rest.version = self.version;
        rest.placed = self.placed;
        rest.aim = self.aim;
        rest.max_pause = self.max_pause;
        rest.sent = self.sent;
        self.ended = true;
        rest
    }

    /// Notes that the request may pass.
    pub(crate) fn admitted(&mut self, passage: &Admission) {
        self.route = Some(Rc::from(&*passage.route.name));
        self.version = Some(passage.version);
        self.aim = Some(passage.route.aim);
        self.max_pause = passage.route.pause;
    }

    /// Notes how a target stands to which the request is sent now.
    pub(crate) fn sent(&mut self, target: &Target) {
        let now = self.edge.now();
        self.sent = Some(Sent {
            after: now - self.arrived,
            work: self.edge.loads.borrow().work(&target.id, now),
        });
    }

    /// What of an answer came late, if anything did.
    fn late(&self, took: Millis) -> Option<Late> {
        let aim = self.aim?;
        let first = self.first.unwrap_or(took);
        let pause = self.pause.map_or(Millis::ZERO, |p| p.length);
        if first > aim {
            Some(Late::First)
        } else if self.max_pause.is_some_and(|most| pause > most) {
            Some(Late::Pause)
        } else {
            None
        }
    }

    /// Notes that the first piece of the answer goes to the caller.
    pub(crate) fn first_piece(&mut self) {
        let took = self.edge.now() - self.arrived;
        self.first = Some(took);
        metrics::histogram!("thistlesill_edge_first_piece_ms").record(took.get() as f64);
    }

    /// Notes who chose a target.
    pub(crate) const fn placed(&mut self, by: PlacedBy) {
        self.placed = Some(by);
    }

    /// Notes the longest pause of a stream that ends.
    pub(crate) fn paused(&mut self, pause: Pause) {
        metrics::histogram!("thistlesill_edge_longest_pause_ms").record(pause.length.get() as f64);
        self.pause = Some(pause);
    }

    /// Notes an attempt that brought no answer to hand on.
    pub(crate) fn attempt_failed(
        &self,
        target: &Target,
        outcome: Outcome,
        why: &str,
        next: NextStep,
    ) {
        metrics::counter!("thistlesill_edge_attempts_failed_total", "outcome" => outcome.name())
            .increment(1);
        let next = match next {
            NextStep::Retry => "again".to_owned(),
            NextStep::Forward => "deliver".to_owned(),
            NextStep::Fail(kind) => format!("fail:{kind}"),
        };
        self.edge
            .lines
            .line("attempt_failed")
            .with("id", &self.id)
            .with("target", &target.id)
            .with("address", target.address)
            .with("outcome", outcome.name())
            .with("why", why)
            .with("after_ms", (self.edge.now() - self.arrived).get())
            .with("next", next)
            .write();
    }

    /// Notes that a stream goes on at another target.
    pub(crate) fn resumed(
        &mut self,
        from: &TargetId,
        to: &TargetId,
        last: Option<&str>,
        why: &str,
    ) {
        metrics::counter!("thistlesill_edge_resumed_total").increment(1);
        self.resumes += 1;
        self.edge
            .lines
            .line("stream_resumed")
            .with("id", &self.id)
            .with("from", from)
            .with("to", to)
            .maybe("last_event", last)
            .with("why", why)
            .write();
    }

    /// Notes that the request is withheld, and what leads to the losses under it.
    pub(crate) const fn withheld(&mut self, print: Fingerprint) {
        self.print = Some(print);
    }

    /// Notes what decides the end, where its kind does not say it.
    pub(crate) fn with_reason(&mut self, why: &'static str) -> &mut Self {
        self.why = Some(why);
        self
    }

    /// Ends the request with an error of the system's own.
    pub(crate) fn refuse(&mut self, kind: ErrorKind, back: Option<Millis>) -> Response<OutBody> {
        self.retry_after = back;
        self.end(kind.answer().status, None, 0, kind.name());
        reply::error(kind, back)
    }

    /// Ends the request with a target's answer.
    pub(crate) fn ended(&mut self, status: u16, target: Option<&TargetId>, bytes: usize) {
        self.end(status, target, bytes, "answered");
    }

    /// Ends the request with an answer that breaks off.
    pub(crate) fn broke_off(&mut self, target: &TargetId, bytes: usize, why: &str) {
        self.end(200, Some(target), bytes, why);
    }

    fn end(&mut self, status: u16, target: Option<&TargetId>, bytes: usize, what: &str) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        let now = self.edge.now();
        let took = now - self.arrived;
        metrics::counter!("thistlesill_edge_requests_total", "outcome" => what.to_owned())
            .increment(1);
        metrics::histogram!("thistlesill_edge_request_ms").record(took.get() as f64);
        let age = self.edge.catalog_freshness.get().age(now);
        let late = self.late(took);
        // How the target stood explains why an answer came late; others do without.
        let sent = self.sent.filter(|_| late.is_some());
        self.edge
            .lines
            .line("request")
            .with("id", &self.id)
            .with("outcome", what)
            .with("status", status)
            .maybe("route", self.route.as_deref())
            .maybe("target", target)
            .maybe("placed", self.placed.map(PlacedBy::name))
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
            .maybe("why", self.why)
            .maybe("print", self.print)
            .maybe("back_ms", self.retry_after.map(Millis::get))
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
