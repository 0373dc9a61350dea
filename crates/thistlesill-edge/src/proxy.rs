//! Handles a request of a caller, from its arrival to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use thistlesill_core::edge::RouteKind;
use thistlesill_core::{ErrorKind, Millis, NodeId};
use thistlesill_net::stream::BudgetedBody;
use thistlesill_platform::caller::{self, CallerHead, KeyHeader};
use thistlesill_policy::edge::admission::{self, Admission, Key, LateRequest, SentBy, admit};
use thistlesill_policy::edge::attempt::{Attempts, NextStep, Outcome, last_step, next_step};
use thistlesill_policy::edge::eviction::Phase;

use crate::attempt::{Answered, Failure, attempt};
use crate::body::{self, Sender};
use crate::choice::{Choice, Overload, Pick};
use crate::destination::{Destination, Tried};
use crate::forward::{self, Hop, Way};
use crate::job::{Arrival, Job};
use crate::plain;
use crate::quarantine;
use crate::relay;
use crate::reply::{OutBody, SentTargets};
use crate::start;
use crate::state::Edge;
use crate::track::Track;

/// Minimum time after which a caller may retry. Earlier, little has changed.
const MIN_RETRY_AFTER: Millis = Millis::new(300);
/// Maximum time after which a caller may retry where it follows from the load, which may fall
/// earlier than estimated.
const MAX_RETRY_AFTER: Millis = Millis::new(2_000);
/// Maximum time for which a stream that its caller resumes is deferred in favour of others: well
/// below the two seconds after which callers leave a stream that sends nothing.
const MAX_RESUME_DEFERRAL: Millis = Millis::new(1_000);
/// Interval between two checks for free capacity.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Answers a request of a caller.
pub(crate) async fn handle(
    edge: Rc<Edge>,
    request: Request<BudgetedBody>,
    sender: Sender,
) -> Response<OutBody> {
    let arrived = edge.now();
    let Sender { place, hop } = sender;
    place.note(Phase::Busy, arrived);
    edge.had_requests.set(true);
    let (parts, mut body) = request.into_parts();
    let head = caller::read_caller(&parts.headers);
    let mut track = Track::new(&edge, &head.id, arrived);
    edge.wait_until_loaded().await;
    let checked = edge.now();
    let mut admission = match check_admission(&edge, &parts, &head) {
        Ok(admission) => admission,
        Err(kind) => {
            body::discard(&edge, body, place);
            return refuse_admission(&edge, kind, &mut track);
        }
    };
    let read = tokio::select! {
        read = body::read(&edge, &mut body, &place) => read,
        () = edge.wait_until_ending() => Err(ErrorKind::NotReady),
    };
    let body = match read {
        Ok(bytes) => bytes,
        Err(kind) => {
            if matches!(kind, ErrorKind::BodyTooLarge | ErrorKind::MemoryShort) {
                body::discard(&edge, body, place);
            }
            return track.refuse(kind, None);
        }
    };
    // A key may have been revoked while the body arrived.
    if edge.now() != checked {
        admission = match check_admission(&edge, &parts, &head) {
            Ok(admission) => admission,
            Err(kind) => return refuse_admission(&edge, kind, &mut track),
        };
    }
    track.admitted(&admission);
    if !is_accepted_while_stopping(&edge, &admission, hop) {
        let reason = "the daemon stops before the request would end";
        return track.with_reason(reason).refuse(ErrorKind::NotReady, None);
    }
    let request = Arrival {
        head,
        parts,
        body,
        at: arrived,
        hop,
    };
    let job = Rc::new(Job::new(edge, admission, request));
    if let Some(urgency) = job.urgency {
        track.ranked(urgency, job.caller_key());
    }
    let mut answer = tokio::select! {
        // Its state is many times that of a request whose body is read.
        answer = Box::pin(serve(job.clone(), &mut track)) => answer,
        () = job.edge.wait_until_ending() => end_by_stop(&job, &mut track),
    };
    answer.extensions_mut().insert(SentTargets(job.sent.get()));
    answer
}

/// Returns whether an admitted request is accepted; while the daemon is stopping, only if the request can
/// end in time.
fn is_accepted_while_stopping(edge: &Edge, admission: &Admission, hop: Option<Hop>) -> bool {
    edge.stopping.get().is_none_or(|since| {
        let request = LateRequest {
            sender: hop.map_or(SentBy::Caller, |_| SentBy::Peer),
            limit: admission.timeout,
            usual: usual_time(edge, admission),
        };
        admission::accepts_while_stopping(request, edge.now() - since, edge.answer_grace())
    })
}

/// Returns how long plain requests to the targets of a service usually take, at the slowest of them.
fn usual_time(edge: &Edge, admission: &Admission) -> Option<Millis> {
    let (registry, loads) = (edge.registry.borrow(), edge.loads.borrow());
    let targets = registry.of_service(&admission.service.name)?;
    targets.keys().filter_map(|id| loads.usual_time(id)).max()
}

/// Ends a request that has no answer as the daemon ends. What was sent may have run.
fn end_by_stop(job: &Job, track: &mut Track) -> Response<OutBody> {
    let may_have_run = job.hop.is_some_and(|hop| hop.attempts().may_have_run);
    let kind = if job.sent.get() > 0 || track.is_forwarded() || may_have_run {
        ErrorKind::SentUnknown
    } else {
        ErrorKind::NotReady
    };
    track.with_reason("the daemon stops").refuse(kind, None)
}

/// Refuses a request that is not admitted.
fn refuse_admission(edge: &Edge, kind: ErrorKind, track: &mut Track) -> Response<OutBody> {
    let after = match kind {
        ErrorKind::NotReady => start::retry_after(edge),
        _ => None,
    };
    track.refuse(kind, after)
}

fn check_admission(edge: &Edge, parts: &Parts, head: &CallerHead) -> Result<Admission, ErrorKind> {
    let named = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    let request = admission::AdmissionRequest {
        host,
        path: parts.uri.path(),
        key: match &head.key {
            KeyHeader::Missing => Key::Missing,
            KeyHeader::One(key) => Key::Given(key),
            KeyHeader::Unusable => Key::Unusable,
        },
        deadline: head.deadline,
    };
    let settings = edge.settings();
    let catalog = edge.catalog();
    let freshness = edge.catalog_freshness.get();
    let rng = &mut *edge.rng.borrow_mut();
    admit(
        catalog.as_deref(),
        &freshness,
        &settings.bounds,
        &request,
        edge.now(),
        rng,
    )
}

/// Sends a request to targets, or through peers, until an attempt gives an answer or no further
/// attempt is allowed.
async fn serve(job: Rc<Job>, track: &mut Track) -> Response<OutBody> {
    let mut attempts = job.hop.map_or_else(Attempts::default, Hop::attempts);
    let mut tried = Tried::default();
    let needs_retry = job.hop.is_some_and(Hop::needs_retry);
    if needs_retry && !job.withdraw_retry() {
        return track.refuse(ErrorKind::RetryBudget, None);
    }
    if job.head.last_event.is_some() && attempts.sent == 0 {
        defer_resumed_stream(&job).await;
    }
    loop {
        let way = forward::next_way(&job, &tried.peers, attempts);
        // A request that crashes its targets comes again with another id at any daemon. With three
        // daemons and two targets, it crashed 57 targets in seven seconds without this check, and
        // 4 with it. A peer checks what is passed to it.
        if way == Way::Direct
            && let Some(left) = quarantine::withheld(&job)
        {
            track.withheld(job.fingerprint());
            return if attempts.may_have_run {
                track.refuse(ErrorKind::SentUnknown, None)
            } else {
                track.refuse(ErrorKind::Withheld, Some(left))
            };
        }
        let mut end = match way {
            Way::Direct => try_target(&job, &mut tried, attempts, track).await,
            Way::Peer(peer) => try_peer(&job, peer, &mut tried, attempts, track).await,
            Way::Nowhere if forward::may_wait_for_way(&job, attempts) => {
                if !forward::wait_to_try_again(&job).await {
                    return track.refuse(ErrorKind::LateAnswer, None);
                }
                // What was not sent may be tried there again.
                tried = Tried::default();
                attempts.unsent = 0;
                continue;
            }
            Way::Nowhere => {
                let kind = unreached_error(attempts);
                return track.refuse(kind, Some(MIN_RETRY_AFTER));
            }
        };
        if matches!(end, AttemptEnd::NoTarget)
            && let Some(peer) = forward::peer_for_doubted(&job, &tried.peers).await
        {
            end = try_peer(&job, peer, &mut tried, attempts, track).await;
        }
        let (failure, destination) = match end {
            AttemptEnd::Answered(response) => return response,
            AttemptEnd::NoTarget => {
                return track.refuse(no_target_error(attempts), retry_after(&job));
            }
            AttemptEnd::Failed(failure, destination) => (failure, destination),
        };
        let next = resolve_failure(&job, &destination, &failure, &tried, &mut attempts, track);
        match next {
            // A new connection to the same target may do.
            NextStep::Retry
                if failure.by_connection && !job.can_retry_elsewhere(&tried.targets) =>
            {
                tried.targets.pop();
            }
            NextStep::Retry => {}
            NextStep::Forward => match failure.answer {
                Some(answer) => return forward_failure(&job, *answer, track).await,
                None => return track.refuse(ErrorKind::SentUnknown, None),
            },
            NextStep::Fail(kind) => return track.refuse(kind, retry_after(&job)),
        }
    }
}

/// The end of one attempt, and of the request if it was answered.
enum AttemptEnd {
    /// The request has its answer, which may be a refusal.
    Answered(Response<OutBody>),
    /// The attempt gave no answer to pass on.
    Failed(Failure, Destination),
    /// No target serves the request, or all that do were tried.
    NoTarget,
}

/// Picks a target, sends the request there and passes the answer on. Refuses the request if no
/// target takes it.
async fn try_target(
    job: &Rc<Job>,
    tried: &mut Tried,
    attempts: Attempts,
    track: &mut Track,
) -> AttemptEnd {
    job.deposit_retry();
    let Pick {
        choice,
        by,
        clearance,
        ranking,
        predicted: _,
    } = job.pick(&tried.targets, attempts).await;
    track.placed(by);
    if let Some(ranking) = ranking {
        track.decided(ranking);
    }
    if attempts == Attempts::default() {
        job.record_demand(!matches!(choice, Choice::Target(_)));
    }
    let target = match choice {
        Choice::Target(target) => target,
        Choice::Overloaded(overload) => {
            let after = match overload {
                Overload::TooLate(lateness) => lateness.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
                Overload::Refused(after) => after,
            };
            return AttemptEnd::Answered(track.refuse(ErrorKind::Overloaded, Some(after)));
        }
        Choice::Unavailable(wait) => {
            let reason = "the targets' limits or backoffs allow no request now";
            let after = wait.max(MIN_RETRY_AFTER);
            let track = track.with_reason(reason);
            return AttemptEnd::Answered(track.refuse(unavailable_error(attempts), Some(after)));
        }
        Choice::NoTarget => return AttemptEnd::NoTarget,
    };
    if job.admission.customer.is_some() && !job.edge.is_fresh() {
        return AttemptEnd::Answered(refuse_stale(attempts, track));
    }
    tried.targets.push(target.id.clone());
    track.sent(&target);
    let sent = attempt(job, &target, clearance, &tried.targets, None, attempts).await;
    match pass_on(job, sent, attempts, track).await {
        Ok(response) => AttemptEnd::Answered(response),
        Err(failure) => AttemptEnd::Failed(failure, Destination::Target(target)),
    }
}

/// Refuses the request, since the catalog in force may be outdated.
fn refuse_stale(attempts: Attempts, track: &mut Track) -> Response<OutBody> {
    let track = track.with_reason("the catalog is not confirmed as current");
    track.refuse(stale_error(attempts), None)
}

/// Sends the request to a peer that reaches the targets, and passes the answer on.
async fn try_peer(
    job: &Rc<Job>,
    peer: NodeId,
    tried: &mut Tried,
    attempts: Attempts,
    track: &mut Track,
) -> AttemptEnd {
    if job.admission.customer.is_some() && !job.edge.is_fresh() {
        return AttemptEnd::Answered(refuse_stale(attempts, track));
    }
    tried.peers.push(peer.clone());
    track.forwarded(&peer);
    let sent = forward::attempt(job, &peer, None, attempts).await;
    match pass_on(job, sent, attempts, track).await {
        Ok(response) => AttemptEnd::Answered(response),
        Err(failure) => AttemptEnd::Failed(failure, Destination::Peer(peer)),
    }
}

/// Passes an answer on to the caller, if the attempt gave one.
async fn pass_on(
    job: &Rc<Job>,
    answered: Result<Answered, Failure>,
    attempts: Attempts,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    deliver(job, answered?, attempts, track).await
}

/// Waits a short time at most for free capacity, before a stream that its caller resumes. Ends at
/// once if no target takes the stream within that time.
///
/// The pause of such a stream exceeds the objective already, so streams that can still be in time
/// go first. After many daemons are killed, hundreds of streams are resumed at once.
async fn defer_resumed_stream(job: &Job) {
    let until = job.edge.now() + MAX_RESUME_DEFERRAL;
    let (service, model) = (&job.admission.service, job.head.model.as_ref());
    while job.edge.now() < until && !job.edge.has_room(service, model) {
        let next_available = job.wait_for_target().map(|wait| job.edge.now() + wait);
        if next_available.is_some_and(|at| at >= until) {
            return;
        }
        tokio::time::sleep(CAPACITY_CHECK_INTERVAL).await;
    }
}

/// Records the failure of an attempt and decides the next step.
pub(crate) fn resolve_failure(
    job: &Job,
    destination: &Destination,
    failure: &Failure,
    tried: &Tried,
    attempts: &mut Attempts,
    track: &Track,
) -> NextStep {
    let outcome = failure.outcome;
    attempts.sent += failure.further;
    let next = if job.is_over() {
        last_step(outcome, attempts)
    } else {
        let lost = job.edge.links.is_lost(&job.admission.service.name);
        let allowed = job.admission.route.attempts;
        let withdraw = || job.withdraw_retry();
        let next = next_step(outcome, attempts, job.may_repeat(), allowed, withdraw);
        // What was not sent can go another way, however often connecting failed.
        let has_way = lost || (failure.refused && job.has_sound_target(&tried.targets));
        if has_way && outcome == Outcome::NotSent {
            NextStep::Retry
        } else {
            next
        }
    };
    track.attempt_failed(destination, outcome, &failure.reason, next);
    next
}

/// Returns the time after which a caller may retry, if no target takes requests before that or this
/// daemon is starting.
fn retry_after(job: &Job) -> Option<Millis> {
    let wait = job.wait_for_target();
    wait.map(|wait| wait.max(MIN_RETRY_AFTER))
        .or_else(|| start::retry_after(&job.edge))
}

const fn unavailable_error(attempts: Attempts) -> ErrorKind {
    match no_target_error(attempts) {
        ErrorKind::NoGroup => ErrorKind::Overloaded,
        kind => kind,
    }
}

const fn no_target_error(attempts: Attempts) -> ErrorKind {
    if attempts.may_have_run {
        ErrorKind::SentUnknown
    } else if attempts.sent > 0 {
        ErrorKind::TargetRefused
    } else {
        ErrorKind::NoGroup
    }
}

const fn unreached_error(attempts: Attempts) -> ErrorKind {
    if attempts.may_have_run && !attempts.may_be_declined() {
        ErrorKind::SentUnknown
    } else {
        ErrorKind::Unreached
    }
}

const fn stale_error(attempts: Attempts) -> ErrorKind {
    if attempts.may_have_run && !attempts.may_be_declined() {
        ErrorKind::SentUnknown
    } else {
        ErrorKind::NotReady
    }
}

/// Passes a target's answer on to the caller.
async fn deliver(
    job: &Rc<Job>,
    answered: Answered,
    attempts: Attempts,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    let stream = job.admission.route.kind == RouteKind::Stream && answered.status.is_success();
    if stream {
        return relay::begin(job.clone(), answered, attempts, track);
    }
    plain::deliver(job, answered, track).await
}

/// Forwards a target's own error answer.
async fn forward_failure(
    job: &Rc<Job>,
    answered: Answered,
    track: &mut Track,
) -> Response<OutBody> {
    match plain::deliver(job, answered, track).await {
        Ok(response) => response,
        Err(failure) => {
            let kind = match failure.outcome {
                Outcome::Late => ErrorKind::LateAnswer,
                _ => ErrorKind::SentUnknown,
            };
            track.refuse(kind, None)
        }
    }
}
