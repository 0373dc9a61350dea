//! An admitted request, with all that is needed to send it to targets.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_net::lane::HttpConnection;
use thistlesill_platform::caller::{self, CallerHead, TargetHead};
use thistlesill_policy::edge::admission::Admission;
use thistlesill_policy::edge::asked::DemandSample;
use thistlesill_policy::edge::attempt::Attempts;
use thistlesill_policy::edge::ranked::engine_priority;
use thistlesill_policy::edge::shortage::{AdmissionDecision, Urgency};
use thistlesill_policy::quarantine::RequestKeys;

use crate::choice::{Pick, Sender, TargetQuery};
use crate::forward::{self, Hop};
use crate::lanes::max_idle;
use crate::peers::place;
use crate::quarantine;
use crate::ranking;
use crate::state::Edge;

/// Added to a request's deadline before an attempt is given up, so that an answer that a target
/// sends just before the deadline still arrives.
const ANSWER_MARGIN: Millis = Millis::new(60);
/// How much earlier a deadline may pass in another process: clocks round to milliseconds.
const DEADLINE_TOLERANCE: Millis = Millis::new(2);

/// Distinguishes the fingerprints of parts of prompts from those of requests.
const PART_LABEL: &[u8] = b"part";

/// Maximum number of parts of a prompt for which evidence is kept.
const MAX_PARTS: usize = 32;

/// An admitted request, with all that is needed to send it to targets.
pub(crate) struct Job {
    pub(crate) edge: Rc<Edge>,
    pub(crate) admission: Admission,
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
    /// When the final answer is due.
    pub(crate) due: Millis,
    /// The rank of the request; `None` if its service does not rank its callers.
    pub(crate) urgency: Option<Urgency>,
    /// The priority that targets receive.
    priority: Cell<u8>,
    /// Predicted time of the first event of a request that was admitted although it will be late;
    /// zero for other requests.
    late_begin: Cell<Millis>,
    /// Predicted time of the first event, in milliseconds, that the observed one is compared with.
    predicted: Cell<Option<f64>>,
    /// The fingerprints of the request and of its parts, computed when first needed.
    cached_keys: OnceCell<RequestKeys>,
    /// The key of the caller, computed when first needed.
    cached_caller: OnceCell<u64>,
    /// What the peer that passed the request on says of it; `None` if a caller sent it here.
    pub(crate) hop: Option<Hop>,
    /// Whether the retry budget of this daemon, or of one before, has counted the request.
    pub(crate) counted: Cell<bool>,
    /// Whose retry budget covers the next attempt, if that is known.
    paid_by: Cell<Option<Payer>>,
    /// Number of targets that this daemon sent the request to.
    pub(crate) sent: Cell<u32>,
    /// The suspects of which this request is the trial.
    pub(crate) tried: RefCell<Vec<Fingerprint>>,
}

/// Whose retry budget covers an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Payer {
    /// That of this daemon.
    Itself,
    /// That of the peer that passed the request on.
    Peer,
}

impl Payer {
    /// Returns the name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Itself => "itself",
            Self::Peer => "peer",
        }
    }
}

/// A request as received from its caller.
pub(crate) struct Arrival {
    pub(crate) head: CallerHead,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) at: Millis,
    pub(crate) hop: Option<Hop>,
}

impl Job {
    /// Creates a job for a request that was admitted.
    pub(crate) fn new(edge: Rc<Edge>, admission: Admission, arrival: Arrival) -> Self {
        let ranks = edge.catalog();
        let ranks = ranks.is_some_and(|c| c.ranks_callers(&admission.service.name));
        let urgency = ranks.then(|| admission.urgency());
        let priority = urgency.map_or(admission.priority, Urgency::engine_priority);
        Self {
            urgency,
            priority: Cell::new(priority),
            late_begin: Cell::default(),
            predicted: Cell::default(),
            hop: arrival.hop,
            paid_by: Cell::new(arrival.hop.and_then(Hop::payer)),
            sent: Cell::default(),
            counted: Cell::new(arrival.hop.is_some_and(|hop| hop.counted)),
            due: arrival.at + admission.timeout,
            headers: caller::forwarded_headers(&arrival.parts.headers),
            edge,
            admission,
            head: arrival.head,
            method: arrival.parts.method,
            uri: arrival.parts.uri,
            body: arrival.body,
            arrived: arrival.at,
            cached_keys: OnceCell::new(),
            cached_caller: OnceCell::new(),
            tried: RefCell::default(),
        }
    }

    /// Returns the time until the request's deadline.
    pub(crate) fn time_left(&self) -> Millis {
        self.due - self.edge.now()
    }

    /// Returns whether the deadline has passed. Targets and peers end their work then, so an answer
    /// that breaks off is no failure of theirs, and no other one has time for the request.
    pub(crate) fn is_over(&self) -> bool {
        self.time_left() <= DEADLINE_TOLERANCE
    }

    /// Returns when an attempt to get an answer is given up.
    pub(crate) fn answer_deadline(&self) -> Millis {
        self.due + ANSWER_MARGIN
    }

    /// Returns a connection to the pool, for the next request to the target.
    pub(crate) fn return_lane(
        &self,
        target: &TargetId,
        lane: HttpConnection,
        keep: Option<Millis>,
    ) {
        let daemons = self.edge.peers.borrow().daemon_count();
        let max = max_idle(self.admission.service.connections, daemons);
        let now = self.edge.now();
        self.edge.lanes.keep(target, lane, keep, max, now);
    }

    /// Returns the number of prompt tokens, or 0 if it is not known.
    pub(crate) fn prompt(&self) -> u32 {
        let tokens = self.head.prompt_tokens.unwrap_or(0);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Records the request's demand on its model.
    pub(crate) fn record_demand(&self, refused: bool) {
        let service = &self.admission.service;
        let (Some(engine), Some(model)) = (&service.engine, &self.head.model) else {
            return;
        };
        let sample = DemandSample {
            engine,
            model,
            prompt: self.prompt(),
            answer: self.head.length_hint.or(self.head.max_answer_tokens),
            refused,
            urgency: self.urgency,
        };
        let now = self.edge.now();
        self.edge
            .demand_meter
            .borrow_mut()
            .record(&service.name, &sample, now);
    }

    /// Returns the fingerprint that identifies repetitions of the same request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.keys().whole
    }

    /// Returns the keys under which evidence about the request is kept.
    pub(crate) fn keys(&self) -> &RequestKeys {
        self.cached_keys.get_or_init(|| RequestKeys {
            whole: self.compute_fingerprint(),
            parts: self.fingerprint_parts(),
        })
    }

    /// Returns a hash that is the same for all attempts of the caller.
    pub(crate) fn caller_key(&self) -> u64 {
        *self.cached_caller.get_or_init(|| ranking::key(self))
    }

    /// Returns the id of the part of the prompt with this fingerprint, for logs.
    pub(crate) fn part_of(&self, print: Fingerprint) -> Option<&str> {
        let at = self.keys().parts.iter().position(|part| *part == print)?;
        self.head.shared_parts.get(at).map(AsRef::as_ref)
    }

    /// Returns the ids of the shared parts of the prompt for logs; `None` if there are none.
    pub(crate) fn part_list(&self) -> Option<String> {
        let parts = &self.head.shared_parts;
        (!parts.is_empty()).then(|| parts.join(","))
    }

    fn compute_fingerprint(&self) -> Fingerprint {
        let customer = self.admission.customer.as_ref();
        let customer = customer.map_or("", thistlesill_core::CustomerId::as_str);
        let host = self.headers.get(HOST).map_or(&b""[..], |h| h.as_bytes());
        Fingerprint::of(&[
            customer.as_bytes(),
            self.method.as_str().as_bytes(),
            host,
            self.uri.to_string().as_bytes(),
            &self.body,
        ])
    }

    /// Computes the fingerprints of the parts of the prompt. They are the same for all customers and
    /// models: a part crashes targets whoever sends it, and whatever they run.
    fn fingerprint_parts(&self) -> Vec<Fingerprint> {
        let service = self.admission.service.name.as_str().as_bytes();
        let parts = self.head.shared_parts.iter().take(MAX_PARTS);
        let print = |id: &str| Fingerprint::of(&[PART_LABEL, service, id.as_bytes()]);
        parts.map(|id| print(id)).collect()
    }

    /// Picks the target of the next attempt, other than `tried`, after the given attempts.
    pub(crate) async fn pick(&self, tried: &[TargetId], attempts: Attempts) -> Pick {
        let first = attempts == Attempts::default();
        let mut avoided = tried.to_vec();
        if !first {
            avoided.extend(self.edge.unresponsive(&self.query(tried)));
        }
        let query = TargetQuery {
            first,
            ranked: first.then(|| ranking::ranked_request(self)).flatten(),
            ..self.query(&avoided)
        };
        let pick = place::pick(&self.edge, query).await;
        self.predicted.set(pick.predicted);
        if let (Some(urgency), Some(ranking)) = (self.urgency, &pick.ranking) {
            self.priority
                .set(engine_priority(urgency, ranking.decision));
            if ranking.decision == AdmissionDecision::Late {
                self.late_begin.set(ranking.begin);
            }
        }
        pick
    }

    /// Takes the predicted time of the first event, in milliseconds, for the attempt that the
    /// decision on the request was made for.
    pub(crate) fn take_prediction(&self) -> Option<f64> {
        self.predicted.take()
    }

    /// Returns how long the target of a request may be silent before the answer begins.
    ///
    /// A target that keeps a late request behind others is silent beyond the objective without a
    /// fault, and must not be suspected for that.
    pub(crate) fn begin_timeout(&self) -> Millis {
        self.admission.route.aim + self.late_begin.get()
    }

    /// Returns the time until some target may get the request; `None` if that is now, or if no target
    /// serves it.
    pub(crate) fn wait_for_target(&self) -> Option<Millis> {
        self.edge.wait_for_any(&self.query(&[]))
    }

    /// Returns whether the request may now be sent to a target that it was not sent to yet.
    pub(crate) fn can_retry_elsewhere(&self, tried: &[TargetId]) -> bool {
        self.edge.can_retry_elsewhere(&self.query(tried))
    }

    /// Returns the targets that the request may now be sent to and was not sent to yet.
    pub(crate) fn retry_targets(&self, tried: &[TargetId]) -> Vec<Target> {
        self.edge.retry_targets(&self.query(tried))
    }

    /// Returns whether the request can still be answered in time by a target that it was not sent to
    /// yet and that has not just failed.
    pub(crate) fn has_sound_target(&self, tried: &[TargetId]) -> bool {
        let elapsed = self.edge.now() - self.arrived;
        elapsed < self.admission.route.aim && self.edge.has_sound_target(&self.query(tried))
    }

    /// Returns whether some target serves the request.
    pub(crate) fn is_served(&self) -> bool {
        self.edge.is_served(&self.query(&[]))
    }

    fn query<'a>(&'a self, tried: &'a [TargetId]) -> TargetQuery<'a> {
        TargetQuery {
            service: &self.admission.service,
            model: self.head.model.as_ref(),
            prompt: self.prompt(),
            aim: self.admission.route.aim,
            tried,
            first: false,
            ranked: None,
            sender: Sender::Itself,
        }
    }

    /// Counts the request in this daemon's retry budget, unless a budget has counted it already.
    pub(crate) fn deposit_retry(&self) {
        if !self.counted.replace(true) {
            self.edge.deposit_retry(&self.admission.service.name);
        }
    }

    /// Takes a retry for the next attempt out of this daemon's budget, unless one was taken that no
    /// attempt has used, or leaves that to a peer that the request can be passed to. Returns whether
    /// an attempt may be made.
    pub(crate) fn withdraw_retry(&self) -> bool {
        let paid_by = self.use_retry();
        self.paid_by.set(paid_by);
        paid_by.is_some() || forward::is_possible(self)
    }

    /// Returns whether a retry was taken out of a budget that no attempt has used.
    pub(crate) fn is_paid(&self) -> bool {
        self.paid_by.get().is_some()
    }

    /// Forgets the retry that was taken out of a budget, since a peer has used it.
    pub(crate) fn forget_retry(&self) {
        self.paid_by.set(None);
    }

    /// Uses the retry that was taken out of a budget, or takes one now; returns whose budget covers
    /// it, or `None` if none does.
    pub(crate) fn use_retry(&self) -> Option<Payer> {
        let withdraw = || {
            let paid = self.edge.withdraw_retry(&self.admission.service.name);
            paid.then_some(Payer::Itself)
        };
        self.paid_by.take().or_else(withdraw)
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.admission.route.may_repeat()
    }

    /// Builds the request to send to a target.
    pub(crate) fn request(
        &self,
        target: &Target,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let customer = self.admission.customer.as_ref();
        let head = TargetHead {
            customer: customer.map(thistlesill_core::CustomerId::as_str),
            target: &target.id,
            remaining: self.time_left(),
            priority: self.priority.get(),
            last_event,
        };
        caller::set_target_headers(&mut headers, &head);
        *request.headers_mut() = headers;
        request
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        quarantine::end_trial(self);
    }
}
