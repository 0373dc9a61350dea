//! State that the router keeps for each request.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thistlesill_core::chart::{Chart, Refused};
use thistlesill_core::settings::Values;
use thistlesill_core::{GroupId, Millis, RequestId};

use super::stream::Assembly;
use super::{Arrival, Mode};
use crate::charts::{RequestEvent, RequestState};
use crate::serving::{GroupKey, Member, Runs};
use crate::share::QueueEntry;

/// Time limit of a request when the settings have none.
const DEFAULT_DEADLINE: Millis = Millis::new(30_000);
/// Target time to the first token when the settings have none.
const DEFAULT_FIRST_TOKEN: Millis = Millis::new(1_200);
/// Maximum number of attempts when the settings have none.
const DEFAULT_ATTEMPTS: u32 = 3;
/// Priority when the settings have none; lower goes first.
const DEFAULT_PRIORITY: u8 = 8;

/// An attempt under way.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) key: GroupKey,
    pub(super) members: Vec<Member>,
    pub(super) sent_at: Millis,
    pub(super) last_event: Millis,
    /// Requests at the group when this one was sent.
    pub(super) ahead: u32,
    /// Whether a piece has arrived in this attempt.
    pub(super) streaming: bool,
    /// Total number of pieces and the finish reason, once announced.
    pub(super) end: Option<(u32, Arc<str>)>,
}

/// Limits and priority of a request, from the settings at its arrival.
#[derive(Debug, Clone)]
pub(super) struct RequestPolicy {
    pub(super) deadline: Millis,
    pub(super) first_token: Millis,
    pub(super) attempts: u32,
    pub(super) retry_percent: u32,
    pub(super) repeatable: bool,
    pub(super) priority: u8,
    pub(super) share: u32,
    pub(super) values: Values,
}

impl RequestPolicy {
    /// Combines the settings of the customer with the headers of the request.
    pub(super) fn new(arrival: &Arrival, values: Values, now: Millis) -> Self {
        let branch_limit = values.deadline_ms.map_or(DEFAULT_DEADLINE, Millis::new);
        let limit = arrival
            .deadline
            .map_or(branch_limit, |d| d.min(branch_limit));
        let floor = values.priority.unwrap_or(DEFAULT_PRIORITY);
        Self {
            deadline: now + limit,
            first_token: values
                .first_token_ms
                .map_or(DEFAULT_FIRST_TOKEN, Millis::new),
            attempts: values.attempts.unwrap_or(DEFAULT_ATTEMPTS),
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

/// A request without a final answer.
#[derive(Debug, Clone)]
pub(super) struct Request {
    pub(super) arrival: Arrival,
    pub(super) state: RequestState,
    pub(super) policy: RequestPolicy,
    pub(super) arrived_at: Millis,
    pub(super) attempt_count: u32,
    pub(super) attempt: Option<Attempt>,
    /// Group of the last attempt that ended.
    pub(super) last_group: Option<GroupKey>,
    /// What the server of the last attempt ran.
    pub(super) last_runs: Option<Runs>,
    pub(super) mode: Mode,
    /// The only group that may get the next attempt.
    pub(super) pinned: Option<GroupKey>,
    /// Time before which the request is not sent.
    pub(super) not_before: Millis,
    pub(super) assembly: Assembly,
    /// Whether the router holds a claim on the request's idempotency key.
    pub(super) claimed: bool,
    /// Whether a byte may have reached a target that did not confirm that it refused the request.
    pub(super) may_have_run: bool,
    /// Whether the request is kept until it is known what became of its group.
    pub(super) is_kept: bool,
}

impl Request {
    /// Creates a request that has just arrived.
    pub(super) fn new(
        arrival: Arrival,
        policy: RequestPolicy,
        start: RequestState,
        now: Millis,
    ) -> Self {
        let resume = arrival.resume.clone();
        let offset = resume.as_ref().map_or(0, |r| r.offset);
        Self {
            state: start,
            policy,
            arrived_at: now,
            attempt_count: 0,
            attempt: None,
            last_group: None,
            last_runs: None,
            mode: if resume.is_some() {
                Mode::Resume { offset }
            } else {
                Mode::Fresh
            },
            may_have_run: resume.is_some(),
            is_kept: false,
            pinned: resume.map(|r| r.key),
            not_before: Millis::ZERO,
            assembly: Assembly::starting_at(offset),
            claimed: false,
            arrival,
        }
    }

    /// Returns the id of the request.
    pub(super) const fn id(&self) -> RequestId {
        self.arrival.request
    }

    /// Applies an event to the request's state chart.
    pub(super) fn apply(
        &mut self,
        chart: &Chart<RequestState, RequestEvent>,
        event: RequestEvent,
    ) -> Result<(), Refused> {
        self.state = chart.step(self.state, event)?;
        Ok(())
    }

    /// Returns the request's queue entry.
    pub(super) fn queue_entry(&self) -> QueueEntry {
        QueueEntry {
            request: self.id(),
            customer: self.arrival.customer.clone(),
            share: self.policy.share,
            priority: self.policy.priority,
            deadline: self.policy.deadline,
        }
    }
}

/// Load of a group as seen by one router, for `thistlesill groups`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupUsage {
    /// Name of the group.
    pub group: GroupId,
    /// Requests that this router runs there.
    pub running: u32,
    /// Estimate of the requests of all routers there.
    pub occupancy: u32,
    /// Adaptive limit in force.
    pub limit: u32,
}
