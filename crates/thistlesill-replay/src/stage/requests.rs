//! Requests on the stage: callers, attempts, and what became of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thistlesill_core::error::Ran;
use thistlesill_core::report::Duty;
use thistlesill_core::{CustomerId, ErrorKind, Millis, RequestId};
use thistlesill_policy::router::{
    Arrival, AttemptEvent, Dispatch, Ending, Mode, RouterAction, RouterEvent,
};

use super::engine::Run;
use super::{Power, Stage};

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It was answered whole.
    Whole,
    /// It was answered with a record of an earlier run.
    Recorded,
    /// It failed.
    Failed(ErrorKind),
}

/// A request that was asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// Who asked.
    pub customer: CustomerId,
    /// When.
    pub at: Millis,
    /// When it is late.
    pub due: Millis,
    /// Tokens wanted.
    pub tokens: u32,
    /// Hash of the prompt's beginning.
    pub prefix: Option<u64>,
    /// When its first token came.
    pub first: Option<Millis>,
    /// When and how it was answered; more than one answer is a fault.
    pub answers: Vec<(Millis, Answer)>,
}

/// Figures over all requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Requests asked.
    pub asked: u64,
    /// Answered whole.
    pub whole: u64,
    /// Whole, but after their deadline.
    pub late: u64,
    /// Turned away, not run.
    pub shed: u64,
    /// Failed though they may have run.
    pub lost: u64,
    /// Attempts.
    pub attempts: u64,
    /// Attempts beyond the first.
    pub retries: u64,
    /// Errors by kind.
    pub kinds: BTreeMap<String, u64>,
}

impl Stage {
    /// Asks a router; `tokens` is the length of the answer.
    pub fn ask(&mut self, router: usize, arrival: Arrival, tokens: u32, due: Millis) {
        let asked = Asked {
            customer: arrival.customer.clone(),
            at: self.now,
            due: self.now + due,
            tokens,
            prefix: arrival.prefix,
            first: None,
            answers: Vec::new(),
        };
        self.tally.asked += 1;
        self.asked.insert(arrival.request, asked);
        self.router_step(router, RouterEvent::Arrive(Box::new(arrival)));
    }

    /// The requests asked so far.
    pub const fn asked(&self) -> &BTreeMap<RequestId, Asked> {
        &self.asked
    }

    /// What became of a request, once it is answered.
    pub fn answer(&self, request: RequestId) -> Option<&Answer> {
        let asked = self.asked.get(&request)?;
        asked.answers.first().map(|(_, a)| a)
    }

    pub(super) fn request_act(&mut self, n: usize, action: RouterAction) {
        match action {
            RouterAction::Send(dispatch) => self.send(n, &dispatch),
            RouterAction::Cancel { request, .. } => {
                for body in self.bodies.values_mut() {
                    body.load.drop_run(request);
                }
            }
            RouterAction::Deliver { request, .. } => {
                let now = self.now;
                if let Some(asked) = self.asked.get_mut(&request) {
                    asked.first.get_or_insert(now);
                }
            }
            RouterAction::Finish { request, ending } => {
                let answer = match *ending {
                    Ending::Recorded(_) => Answer::Recorded,
                    Ending::Streamed { .. } | Ending::Whole => Answer::Whole,
                };
                self.record_outcome(n, request);
                self.answered(request, answer);
            }
            RouterAction::Fail { request, kind, .. } => {
                self.answered(request, Answer::Failed(kind));
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

    fn answered(&mut self, request: RequestId, answer: Answer) {
        let now = self.now;
        let Some(asked) = self.asked.get_mut(&request) else {
            return;
        };
        match &answer {
            Answer::Whole | Answer::Recorded => {
                self.tally.whole += 1;
                self.tally.late += u64::from(now > asked.due);
            }
            Answer::Failed(kind) => {
                let ran = kind.answer().ran;
                self.tally.shed += u64::from(ran == Ran::No);
                self.tally.lost += u64::from(ran != Ran::No);
                *self.tally.kinds.entry(kind.to_string()).or_default() += 1;
            }
        }
        asked.answers.push((now, answer));
    }

    /// Sends an attempt to its leader.
    fn send(&mut self, n: usize, dispatch: &Dispatch) {
        let model = self.options.model.clone();
        let asked = self.asked.get(&dispatch.request);
        let tokens = asked.map_or(1, |a| a.tokens);
        let run = Run::new(
            n,
            dispatch.request,
            dispatch.attempt,
            dispatch.key.clone(),
            dispatch.priority,
            &model,
            tokens,
        )
        .with_prefix(asked.and_then(|a| a.prefix));
        let resumes = matches!(dispatch.mode, Mode::Resume { .. });
        let verdict = match self.body_at(dispatch.address) {
            Some(body) if body.power != Power::Off => match &body.target.duty {
                _ if resumes => Some(AttemptEvent::Forgotten),
                Duty::Ready(m) if m.group == run.key.group && m.epoch == run.key.epoch => {
                    body.load.enter(run.clone());
                    None
                }
                Duty::Service { .. } => Some(AttemptEvent::Whole { status: 200 }),
                _ => Some(AttemptEvent::Refused),
            },
            _ => Some(AttemptEvent::Unsent),
        };
        if let Some(what) = verdict {
            if matches!(what, AttemptEvent::Whole { .. }) {
                *self.runs.entry(dispatch.request.to_string()).or_default() += 1;
            }
            self.tell_attempt(&run, what);
        }
    }

    pub(super) fn tell_attempt(&mut self, run: &Run, what: AttemptEvent) {
        let event = RouterEvent::Attempt {
            request: run.request,
            attempt: run.attempt,
            what,
        };
        self.router_step(run.router, event);
    }
}
