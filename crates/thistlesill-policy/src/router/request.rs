//! What a router keeps of one request.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::chart::{Chart, Refused};
use thistlesill_core::settings::Values;
use thistlesill_core::{GroupId, Millis, RequestId};

use super::stream::Assembly;
use super::{Arrival, Mode};
use crate::charts::{RequestEvent, RequestState};
use crate::serving::{GroupKey, Runs};
use crate::share::Waiting;

/// Defaults for values that no branch sets.
const DEADLINE: Millis = Millis::new(30_000);
const FIRST_TOKEN: Millis = Millis::new(1_200);
const ATTEMPTS: u32 = 3;
const PRIORITY: u8 = 8;

/// An attempt under way.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) key: GroupKey,
    pub(super) sent: Millis,
    pub(super) heard: Millis,
    /// Requests that were at the group when it was sent.
    pub(super) ahead: u32,
    /// Whether a piece arrived in this attempt.
    pub(super) began: bool,
    /// How many pieces the whole answer has, once known, and why it ended.
    pub(super) end: Option<(u32, Arc<str>)>,
}

/// Limits and marks of a request, taken from the settings once.
#[derive(Debug, Clone)]
pub(super) struct Terms {
    pub(super) deadline: Millis,
    pub(super) first_token: Millis,
    pub(super) attempts: u32,
    pub(super) retry_percent: u32,
    pub(super) repeatable: bool,
    pub(super) priority: u8,
    pub(super) share: u32,
    pub(super) values: Values,
}

impl Terms {
    /// The terms of a request under the values of its customer.
    pub(super) fn new(arrival: &Arrival, values: Values, now: Millis) -> Self {
        let branch_limit = values.deadline_ms.map_or(DEADLINE, Millis::new);
        let limit = arrival
            .deadline
            .map_or(branch_limit, |d| d.min(branch_limit));
        let floor = values.priority.unwrap_or(PRIORITY);
        Self {
            deadline: now + limit,
            first_token: values.first_token_ms.map_or(FIRST_TOKEN, Millis::new),
            attempts: values.attempts.unwrap_or(ATTEMPTS),
            retry_percent: values.retry_percent.unwrap_or(0),
            repeatable: values.repeatable.unwrap_or(true)
                && arrival.repeatable != Some(false)
                && arrival.key.is_none(),
            priority: arrival.priority.map_or(floor, |p| p.max(floor)),
            share: values.share.unwrap_or(1),
            values,
        }
    }
}

/// One request.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) state: RequestState,
    pub(super) terms: Terms,
    pub(super) arrived: Millis,
    pub(super) tries: u32,
    pub(super) attempt: Option<Attempt>,
    /// The group of the last attempt that ended.
    pub(super) attempt_key: Option<GroupKey>,
    /// What the server of the last attempt ran.
    pub(super) runs: Option<Runs>,
    pub(super) mode: Mode,
    /// The only group that may get the next attempt.
    pub(super) pinned: Option<GroupKey>,
    /// Not to be sent before this.
    pub(super) not_before: Millis,
    pub(super) assembly: Assembly,
    /// Whether a claim is held for it.
    pub(super) claimed: bool,
    /// Whether any byte may have reached a target that did not say that it
    /// refused.
    pub(super) exposed: bool,
}

impl Request {
    /// A request that has just arrived.
    pub(super) fn new(arrival: Arrival, terms: Terms, start: RequestState, now: Millis) -> Self {
        let resume = arrival.resume.clone();
        let offset = resume.as_ref().map_or(0, |r| r.offset);
        Self {
            state: start,
            terms,
            arrived: now,
            tries: 0,
            attempt: None,
            attempt_key: None,
            runs: None,
            mode: if resume.is_some() {
                Mode::Resume { offset }
            } else {
                Mode::Fresh
            },
            exposed: resume.is_some(),
            pinned: resume.map(|r| r.key),
            not_before: Millis::ZERO,
            assembly: Assembly::from(offset),
            claimed: false,
            arrival,
        }
    }

    /// The request's id.
    pub(super) const fn id(&self) -> RequestId {
        self.arrival.request
    }

    /// Steps the request's chart.
    pub(super) fn apply(
        &mut self,
        chart: &Chart<RequestState, RequestEvent>,
        event: RequestEvent,
    ) -> Result<(), Refused> {
        self.state = chart.step(self.state, event)?;
        Ok(())
    }

    /// The request's entry for the queue.
    pub(super) fn waiting(&self) -> Waiting {
        Waiting {
            request: self.id(),
            customer: self.arrival.customer.clone(),
            share: self.terms.share,
            priority: self.terms.priority,
            deadline: self.terms.deadline,
        }
    }
}

/// A group as a router uses it, for `thistlesill groups`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupUse {
    /// The group.
    pub group: GroupId,
    /// Requests of this router there.
    pub running: u32,
    /// Requests believed to be there, of all routers.
    pub occupancy: u32,
    /// The limit in force.
    pub limit: u32,
}
