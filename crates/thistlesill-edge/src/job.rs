//! A request that passed, and all that is needed to send it.

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Uri};
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_core::{Fingerprint, Millis};
use thistlesill_net::lane::Lane;
use thistlesill_platform::caller::{self, CallerHead, TargetHead};
use thistlesill_policy::edge::admission::Admission;
use thistlesill_policy::edge::asked::DemandSample;

use crate::lanes::most_idle;
use crate::peers::place;
use crate::quarantine;
use crate::state::{Asking, Edge, Pick};

/// Added to the end of a request's time before an attempt is given up, so
/// that an answer that a target sends at the very end still arrives.
const LAST_ANSWER: Millis = Millis::new(60);

/// A request that passed, and all that is needed to send it.
pub(crate) struct Job {
    pub(crate) edge: Rc<Edge>,
    pub(crate) passage: Admission,
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
    /// When the final answer is due.
    pub(crate) due: Millis,
    /// Its fingerprint, once it was needed.
    print: OnceCell<Fingerprint>,
    /// Whether this is the trial of a request that was withheld.
    pub(crate) trial: Cell<bool>,
}

/// A request as its caller sent it.
pub(crate) struct Arrival {
    pub(crate) head: CallerHead,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    pub(crate) at: Millis,
}

impl Job {
    /// A request that may pass.
    pub(crate) fn new(edge: Rc<Edge>, passage: Admission, arrival: Arrival) -> Self {
        Self {
            due: arrival.at + passage.timeout,
            headers: caller::forwarded(&arrival.parts.headers),
            edge,
            passage,
            head: arrival.head,
            method: arrival.parts.method,
            uri: arrival.parts.uri,
            body: arrival.body,
            arrived: arrival.at,
            print: OnceCell::new(),
            trial: Cell::new(false),
        }
    }

    /// Time left to the request.
    pub(crate) fn left(&self) -> Millis {
        self.due - self.edge.now()
    }

    /// When the last bytes of an answer may come.
    pub(crate) fn last_answer(&self) -> Millis {
        self.due + LAST_ANSWER
    }

    /// Keeps a connection for the next request.
    pub(crate) fn keep_lane(&self, target: &TargetId, lane: Lane, keep: Option<Millis>) {
        let daemons = self.edge.peers.borrow().daemon_count();
        let most = most_idle(self.passage.service.connections, daemons);
        let now = self.edge.now();
        self.edge.lanes.keep(target, lane, keep, most, now);
    }

    /// Tokens of the prompt, as far as they are known.
    pub(crate) fn prompt(&self) -> u32 {
        let tokens = self.head.prompt.unwrap_or(0);
        u32::try_from(tokens).unwrap_or(u32::MAX)
    }

    /// Notes what the request asks of its model.
    pub(crate) fn note_asked(&self, refused: bool) {
        let service = &self.passage.service;
        let (Some(engine), Some(model)) = (&service.engine, &self.head.model) else {
            return;
        };
        let asked = DemandSample {
            engine,
            model,
            prompt: self.prompt(),
            answer: self.head.hint.or(self.head.answer),
            refused,
        };
        let now = self.edge.now();
        self.edge
            .asked
            .borrow_mut()
            .record(&service.name, &asked, now);
    }

    /// What tells whether the same request came before.
    pub(crate) fn print(&self) -> Fingerprint {
        *self.print.get_or_init(|| self.fingerprint())
    }

    fn fingerprint(&self) -> Fingerprint {
        let customer = self.passage.customer.as_ref();
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

    /// Picks the next target of the request.
    pub(crate) async fn pick(&self, tried: &[TargetId]) -> Pick {
        place::pick(&self.edge, self.asking(tried)).await
    }

    /// Whether it may be sent to another target than those that it was sent to.
    pub(crate) fn may_go_elsewhere(&self, tried: &[TargetId]) -> bool {
        self.edge.may_go_elsewhere(&self.asking(tried))
    }

    fn asking<'a>(&'a self, tried: &'a [TargetId]) -> Asking<'a> {
        Asking {
            service: &self.passage.service,
            model: self.head.model.as_ref(),
            prompt: self.prompt(),
            aim: self.passage.route.aim,
            tried,
            first: tried.is_empty(),
        }
    }

    /// Whether the request may run more than once.
    pub(crate) fn may_repeat(&self) -> bool {
        self.passage.route.may_repeat()
    }

    /// What is sent to a target.
    pub(crate) fn request(
        &self,
        target: &Target,
        last_event: Option<&str>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let customer = self.passage.customer.as_ref();
        let head = TargetHead {
            customer: customer.map(thistlesill_core::CustomerId::as_str),
            target: &target.id,
            left: self.left(),
            priority: self.passage.priority,
            last_event,
        };
        caller::address(&mut headers, &head);
        *request.headers_mut() = headers;
        request
    }
}

impl Drop for Job {
    fn drop(&mut self) {
        quarantine::end_trial(self);
    }
}
