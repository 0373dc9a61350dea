//! Requests in the simulation: their attempts and outcomes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::error::Ran;
use thistlesill_core::report::Duty;
use thistlesill_core::{CustomerId, ErrorKind, Millis, RequestId};
use thistlesill_policy::router::{
    Arrival, AttemptEvent, Dispatch, Ending, Mode, RouterAction, RouterEvent,
};

use super::engine::Run;
use super::{Power, Simulation};

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was answered completely.
    Whole,
    /// It was answered with the recorded outcome of an earlier run with the same key.
    Recorded,
    /// It failed with an error.
    Failed(ErrorKind),
}

/// A request that was sent to a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// Customer that sent the request.
    pub customer: CustomerId,
    /// Virtual time of the arrival.
    pub at: Millis,
    /// Virtual time after which the answer is late.
    pub due: Millis,
    /// Length of the answer in tokens.
    pub tokens: u32,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// Virtual time of the first piece of the answer.
    pub first: Option<Millis>,
    /// Virtual times and outcomes of all answers; more than one is a fault.
    pub answers: Vec<(Millis, Answer)>,
}

/// Counts of all requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests sent to routers.
    pub asked: u64,
    /// Requests answered completely, or with a recorded outcome.
    pub whole: u64,
    /// Requests answered so, but after they were due.
    pub late: u64,
    /// Requests that failed and certainly did not run.
    pub shed: u64,
    /// Requests that failed although they may have run.
    pub lost: u64,
    /// Attempts sent to targets.
    pub attempts: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Failed requests by error kind.
    pub kinds: BTreeMap<String, u64>,
}

impl Simulation {
    /// Sends a request to a router. The answer is `tokens` long, and late after `due`.
    pub fn submit(&mut self, router: usize, arrival: Arrival, tokens: u32, due: Millis) {
        let record = RequestRecord {
            customer: arrival.customer.clone(),
            at: self.now,
            due: self.now + due,
            tokens,
            prefix: arrival.prefix,
            first: None,
            answers: Vec::new(),
        };
        self.tally.asked += 1;
        self.requests.insert(arrival.request, record);
        self.router_step(router, RouterEvent::Arrive(Box::new(arrival)));
    }

    /// Returns all requests so far.
    pub const fn requests(&self) -> &BTreeMap<RequestId, RequestRecord> {
        &self.requests
    }

    /// Returns the first outcome of a request, once it has one.
    pub fn answer(&self, request: RequestId) -> Option<&Answer> {
        let record = self.requests.get(&request)?;
        record.answers.first().map(|(_, a)| a)
    }

    pub(super) fn apply_request_action(&mut self, n: usize, action: RouterAction) {
        match action {
            RouterAction::Send(dispatch) => self.send(n, &dispatch),
            RouterAction::Cancel { request, .. } => {
                for instance in self.instances.values_mut() {
                    instance.load.cancel(request);
                }
            }
            RouterAction::Deliver { request, .. } => {
                let now = self.now;
                if let Some(record) = self.requests.get_mut(&request) {
                    record.first.get_or_insert(now);
                }
            }
            RouterAction::Finish { request, ending } => {
                let answer = match *ending {
                    Ending::Recorded(_) => Answer::Recorded,
                    Ending::Streamed { .. } | Ending::Whole => Answer::Whole,
                };
                self.record_outcome(n, request);
                self.record_answer(request, answer);
            }
            RouterAction::Fail { request, kind, .. } => {
                self.record_answer(request, Answer::Failed(kind));
            }
            _ => {}
        }
    }

    fn record_outcome(&mut self, n: usize, request: RequestId) {
        let outcome = thistlesill_core::row::Outcome {
            status: 200,
            media: "application/json".to_owned(),
            body: Some("{}".to_owned()),
        };
        self.routers[n].core.record(request, outcome);
    }

    fn record_answer(&mut self, request: RequestId, answer: Answer) {
        let now = self.now;
        let Some(record) = self.requests.get_mut(&request) else {
            return;
        };
        match &answer {
            Answer::Whole | Answer::Recorded => {
                self.tally.whole += 1;
                self.tally.late += u64::from(now > record.due);
            }
            Answer::Failed(kind) => {
                let ran = kind.answer().ran;
                self.tally.shed += u64::from(ran == Ran::No);
                self.tally.lost += u64::from(ran != Ran::No);
                *self.tally.kinds.entry(kind.to_string()).or_default() += 1;
            }
        }
        record.answers.push((now, answer));
    }

    /// Sends an attempt to the leader of its group and reports an immediate result to the router.
    fn send(&mut self, n: usize, dispatch: &Dispatch) {
        let model = self.options.engine.clone();
        let record = self.requests.get(&dispatch.request);
        let tokens = record.map_or(1, |a| a.tokens);
        let run = Run::new(
            n,
            dispatch.request,
            dispatch.attempt,
            dispatch.key.clone(),
            dispatch.priority,
            &model,
            tokens,
        )
        .with_prefix(record.and_then(|a| a.prefix));
        let is_resume = matches!(dispatch.mode, Mode::Resume { .. });
        let result = match self.instance_at(dispatch.address) {
            Some(instance) if instance.power != Power::Off => match &instance.target.duty {
                _ if is_resume => Some(AttemptEvent::Forgotten),
                Duty::Ready(m) if m.group == run.key.group && m.epoch == run.key.epoch => {
                    instance.load.enqueue(run.clone());
                    None
                }
                Duty::Service { .. } => Some(AttemptEvent::Whole { status: 200 }),
                _ => Some(AttemptEvent::Refused),
            },
            _ => Some(AttemptEvent::Unsent),
        };
        if let Some(what) = result {
            if matches!(what, AttemptEvent::Whole { .. }) {
                *self.runs.entry(dispatch.request.to_string()).or_default() += 1;
            }
            self.send_attempt_event(&run, what);
        }
    }

    pub(super) fn send_attempt_event(&mut self, run: &Run, what: AttemptEvent) {
        let event = RouterEvent::Attempt {
            request: run.request,
            attempt: run.attempt,
            what,
        };
        self.router_step(run.router, event);
    }
}
