//! Admission of requests to services that rank their callers.
//!
//! The owner of a request's scope decides whether the request is admitted, together with the choice
//! of its target. A daemon that gets no answer from the owner decides by its own table, which holds
//! only its own requests.

use std::cell::RefCell;

use hyper::header::HOST;
use rapidhash::v3::{RapidSecrets, rapidhash_v3_seeded};
use serde::{Deserialize, Deserializer, Serialize};
use thistlesill_core::edge::{OverloadLimits, Target};
use thistlesill_core::{CustomerId, Millis};
use thistlesill_policy::edge::load::{Knowledge, LoadTable, PickRequest};
use thistlesill_policy::edge::owner::Scope;
use thistlesill_policy::edge::ranked::is_early_enough;
use thistlesill_policy::edge::returns::{CallerReport, Standing};
use thistlesill_policy::edge::shortage::{
    AdmissionDecision, Prospect, RankedRequest, ShortageTable,
};

use tokio::sync::Notify;

use crate::choice::{Choice, Overload, TargetQuery};
use crate::job::Job;
use crate::state::Edge;

/// Fixed seed, since all daemons must compute the same key for all attempts of one caller.
const KEY_SECRETS: RapidSecrets = RapidSecrets::seed(0x7468_6973_746c_6502);

/// The decisions of this daemon, as an owner or alone.
#[derive(Debug)]
pub(crate) struct RankingState {
    table: RefCell<ShortageTable>,
    /// Notified when other owners have to learn of callers.
    reports_added: Notify,
}

impl RankingState {
    pub(crate) fn new(limits: OverloadLimits) -> Self {
        Self {
            table: RefCell::new(ShortageTable::new(limits)),
            reports_added: Notify::new(),
        }
    }

    /// Replaces the limits of the operators' settings.
    pub(crate) fn set_limits(&self, limits: OverloadLimits) {
        self.table.borrow_mut().set_limits(limits);
    }

    /// Drops the state of scopes that this daemon no longer decides for.
    pub(crate) fn retain(&self, now: Millis) {
        self.table.borrow_mut().retain(now);
    }

    /// Waits until other owners have to learn of callers.
    pub(crate) async fn reports_added(&self) {
        while !self.table.borrow().has_reports() {
            self.reports_added.notified().await;
        }
    }

    /// Returns what other owners have to learn of callers since the last call.
    pub(crate) fn take_reports(&self, now: Millis) -> Vec<(Scope, CallerReport)> {
        self.table.borrow_mut().take_reports(now)
    }

    /// Records what another owner reports of callers of a scope.
    pub(crate) fn learn(&self, scope: &Scope, reports: Vec<CallerReport>, now: Millis) {
        let mut table = self.table.borrow_mut();
        for report in reports {
            table.learn(scope, report, now);
        }
    }
}

/// The decision on a request, which an owner's reply carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Ranking {
    pub(crate) decision: AdmissionDecision,
    /// Predicted time of the first event, at the target of the request or, if it is refused, at the
    /// target that would begin it first.
    pub(crate) begin: Millis,
    /// Whether the caller was refused before and has kept its booked time.
    pub(crate) standing: Standing,
    /// Whether the caller was refused before, with or without a booking.
    #[serde(deserialize_with = "or_false")]
    pub(crate) returned: bool,
    /// Whether the retry time of a refused request is booked.
    #[serde(deserialize_with = "or_false")]
    pub(crate) booked: bool,
}

/// Reads a flag at the end of a datagram, which owners of the previous version do not send. Without
/// this, their replies would be dropped, and each daemon would decide alone.
fn or_false<'a, D: Deserializer<'a>>(deserializer: D) -> Result<bool, D::Error> {
    bool::deserialize(deserializer).or(Ok(false))
}

impl Ranking {
    /// Returns the predicted time of the first event in milliseconds, if the observed one is to be
    /// compared with it. The engine keeps a late request behind others, so that its time tells
    /// nothing about requests in time.
    pub(crate) fn measured_prediction(&self) -> Option<f64> {
        let in_time = self.decision == AdmissionDecision::InTime;
        in_time.then(|| self.begin.get() as f64)
    }

    /// Returns the name of the ground in logs and metrics, if the request is refused.
    pub(crate) const fn ground_name(&self) -> Option<&'static str> {
        match self.decision {
            AdmissionDecision::InTime | AdmissionDecision::Late => None,
            AdmissionDecision::Refuse { ground, .. } => Some(ground.name()),
        }
    }

    /// Returns the name of the caller's standing in logs and metrics, if the caller returned.
    pub(crate) const fn standing_name(&self) -> Option<&'static str> {
        match self.standing {
            Standing::New => None,
            Standing::Kept | Standing::Early => Some(self.standing.name()),
        }
    }

    /// Returns the overload of a refused request; `None` if the request is admitted.
    pub(crate) const fn overload(&self) -> Option<Overload> {
        match self.decision {
            AdmissionDecision::InTime | AdmissionDecision::Late => None,
            AdmissionDecision::Refuse { after, .. } => Some(Overload::Refused(after)),
        }
    }
}

/// Returns what the owner receives about a request; `None` if its service does not rank its
/// callers, or if its caller resumes a stream.
pub(crate) fn ranked_request(job: &Job) -> Option<RankedRequest> {
    let urgency = job.urgency?;
    if job.head.last_event.is_some() {
        return None;
    }
    Some(RankedRequest {
        urgency,
        customer: job.admission.customer.clone(),
        key: job.caller_key(),
        aim: job.admission.route.aim,
        left: job.time_left(),
    })
}

/// Returns a hash that is the same for all attempts of one caller, at any daemon.
pub(crate) fn key(job: &Job) -> u64 {
    let customer = job.admission.customer.as_ref();
    let host = job.headers.get(HOST).map_or(&b""[..], |h| h.as_bytes());
    let path = job.uri.path_and_query().map_or("", |path| path.as_str());
    let body = rapidhash_v3_seeded(&job.body, &KEY_SECRETS);
    let parts = [
        customer.map_or("", CustomerId::as_str).as_bytes(),
        job.method.as_str().as_bytes(),
        host,
        path.as_bytes(),
        &body.to_le_bytes(),
    ];
    rapidhash_v3_seeded(&parts.join(&0), &KEY_SECRETS)
}

/// Picks a target for a request and decides whether the request is admitted. No
/// decision is made if no target may get the request now.
pub(crate) fn pick(
    edge: &Edge,
    scope: &Scope,
    query: &TargetQuery<'_>,
    ranked: &RankedRequest,
    knowledge: Knowledge,
) -> (Choice, Option<Ranking>) {
    let (registry, now, settings) = (edge.registry.borrow(), edge.now(), edge.settings());
    let candidates = match edge.available(query, &registry) {
        Ok(candidates) => candidates,
        Err(wait) => return (Choice::Unavailable(wait), None),
    };
    let request = query.pick_request(&settings.hall, true);
    let loads = edge.loads.borrow();
    let Some((prospect, first)) = loads.prospect(&candidates, &request, now) else {
        let choice = edge.pick_among(&loads, &candidates, &request, knowledge);
        return (choice, None);
    };
    let delay = loads.delay(first);
    metrics::histogram!("thistlesill_edge_first_event_delay_ms").record(delay);
    let mut table = edge.ranking.table.borrow_mut();
    let decided = table.decide(scope, ranked, prospect, now);
    if table.has_reports() {
        edge.ranking.reports_added.notify_one();
    }
    let ranking = |begin: f64| Ranking {
        decision: decided.decision,
        begin: Millis::new(begin as u64),
        standing: decided.standing,
        returned: decided.returned,
        booked: decided.booked,
    };
    if let Some(overload) = ranking(prospect.begin).overload() {
        return (Choice::Overloaded(overload), Some(ranking(prospect.begin)));
    }
    let usual = edge.pick_among(&loads, &candidates, &request, knowledge);
    let target = match usual {
        Choice::Target(target) if suits(&loads, &target, &request, &prospect, ranked, now) => {
            target
        }
        _ => Box::new(first.clone()),
    };
    let begin = loads.predict(&target, &request, now);
    (Choice::Target(target), Some(ranking(begin)))
}

/// Returns whether an admitted request may go to the target of the usual choice.
fn suits(
    loads: &LoadTable,
    target: &Target,
    request: &PickRequest<'_>,
    prospect: &Prospect,
    ranked: &RankedRequest,
    now: Millis,
) -> bool {
    is_early_enough(loads.predict(target, request, now), prospect, ranked.aim)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against replies of owners of the previous version being dropped: these end before the
    /// last two flags.
    #[test]
    fn a_decision_of_the_previous_version_is_read() {
        let ranking = Ranking {
            decision: AdmissionDecision::Late,
            begin: Millis::new(300),
            standing: Standing::Kept,
            returned: true,
            booked: true,
        };
        let bytes = postcard::to_stdvec(&ranking).unwrap();
        assert_eq!(postcard::from_bytes(&bytes), Ok(ranking));
        let previous = postcard::from_bytes::<Ranking>(&bytes[..bytes.len() - 2]);
        let unset = Ranking {
            returned: false,
            booked: false,
            ..ranking
        };
        assert_eq!(previous, Ok(unset));
    }
}
