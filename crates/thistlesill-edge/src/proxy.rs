//! One request, from its arrival to the head of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request::Parts;
use hyper::{Request, Response};
use thistlesill_core::edge::{RouteKind, Target, TargetId};
use thistlesill_core::{ErrorKind, Millis};
use thistlesill_net::lane::within;
use thistlesill_platform::caller::{self, CallerHead, KeyHeader};
use thistlesill_policy::edge::admission::{self, Admission, Key, admit};
use thistlesill_policy::edge::attempt::{Attempts, NextStep, Outcome, next_step};
use tokio::time::timeout_at;

use crate::attempt::{Answered, Failure, Turn, attempt};
use crate::job::{Arrival, Job};
use crate::quarantine;
use crate::relay;
use crate::reply::{self, OutBody};
use crate::state::{Choice, Edge, Pick};
use crate::track::Track;

/// Answers of plain services up to this size are read whole before the first
/// byte goes to the caller, so that one that breaks off can be asked for again.
const MAX_HELD: u64 = 256 * 1024;
/// The bounds of when a caller is told to come back: sooner, little has
/// changed, and later, most of the caller's time is gone.
const SOONEST: Millis = Millis::new(300);
const LATEST: Millis = Millis::new(2_000);
/// How long a stream that its caller takes up again gives way to others: well
/// below the two seconds after which callers leave a stream that says nothing.
const GIVE_WAY: Millis = Millis::new(1_000);
/// Between two looks for room.
const LOOK: Duration = Duration::from_millis(40);
/// Time for a caller's body after its head.
const BODY_TIME: Duration = Duration::from_secs(10);

/// Answers one request of a caller.
pub(crate) async fn handle(edge: Rc<Edge>, request: Request<Incoming>) -> Response<OutBody> {
    let arrived = edge.now();
    edge.busy.set(true);
    let (parts, body) = request.into_parts();
    let head = caller::read_caller(&parts.headers);
    let mut track = Track::new(&edge, &head.id, arrived);
    edge.wait_to_learn().await;
    let body = match read_body(&edge, body).await {
        Ok(body) => body,
        Err(kind) => return track.refuse(kind, None),
    };
    let passage = match pass(&edge, &parts, &head) {
        Ok(passage) => passage,
        Err(kind) => return track.refuse(kind, None),
    };
    track.admitted(&passage);
    if !fits_stop(&edge, passage.timeout) {
        let why = "the daemon stops before it would end";
        return track.because(why).refuse(ErrorKind::NotReady, None);
    }
    let request = Arrival {
        head,
        parts,
        body,
        at: arrived,
    };
    let job = Rc::new(Job::new(edge, passage, request));
    serve(job, track).await
}

/// Whether a request may be taken although the daemon may have been told to
/// stop.
fn fits_stop(edge: &Edge, limit: Millis) -> bool {
    edge.stopping.get().is_none_or(|since| {
        let gone = edge.now() - since;
        admission::accepts_while_stopping(gone, limit, edge.grace())
    })
}

async fn read_body(edge: &Edge, body: Incoming) -> Result<Bytes, ErrorKind> {
    let most = edge.catalog().map_or(0, |c| c.limits().body_bytes);
    if most == 0 {
        return Ok(Bytes::new());
    }
    let read = Limited::new(body, most).collect();
    match timeout_at(within(BODY_TIME), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ErrorKind::BodyTooLarge)
        }
        Ok(Err(_)) => Err(ErrorKind::BadRequest),
        Err(_) => Err(ErrorKind::SlowCaller),
    }
}

fn pass(edge: &Edge, parts: &Parts, head: &CallerHead) -> Result<Admission, ErrorKind> {
    let named = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
    let host = named.or_else(|| parts.uri.host()).unwrap_or_default();
    let asking = admission::AdmissionRequest {
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
    let fresh = edge.fresh.get();
    let rng = &mut *edge.rng.borrow_mut();
    admit(
        catalog.as_deref(),
        &fresh,
        &settings.bounds,
        &asking,
        edge.now(),
        rng,
    )
}

/// Sends a request until an attempt brings an answer or none may follow.
async fn serve(job: Rc<Job>, mut track: Track) -> Response<OutBody> {
    let edge = &job.edge;
    let mut attempts = Attempts::default();
    let mut tried: Vec<TargetId> = Vec::new();
    edge.earn_retry(&job.passage.service.name);
    if job.head.last_event.is_some() {
        give_way(&job).await;
    }
    loop {
        // A request that ends its targets comes again with another id at any daemon: in
        // seven seconds it ended 57 targets, and 4 with this (three daemons, two targets).
        if let Some(left) = quarantine::withheld(&job) {
            track.withheld(job.print());
            return if attempts.may_have_run {
                track.refuse(ErrorKind::SentUnknown, None)
            } else {
                track.refuse(ErrorKind::Withheld, Some(left))
            };
        }
        let Pick {
            choice,
            by,
            clearance,
        } = job.pick(&tried).await;
        track.placed(by);
        if tried.is_empty() {
            job.note_asked(!matches!(choice, Choice::Target(_)));
        }
        let target = match choice {
            Choice::Target(target) => *target,
            Choice::Overloaded(late) => {
                return track.refuse(ErrorKind::Overloaded, Some(come_back(late)));
            }
            Choice::Spent(wait) if attempts == Attempts::default() => {
                let why = "the targets' limits are used up";
                let back = come_back(wait);
                return track.because(why).refuse(ErrorKind::Overloaded, Some(back));
            }
            Choice::Spent(_) | Choice::Nobody => return track.refuse(no_target(attempts), None),
        };
        if job.passage.customer.is_some() && !edge.is_fresh() {
            return track
                .because("no young proof")
                .refuse(stale(attempts), None);
        }
        tried.push(target.id.clone());
        track.sent(&target);
        let turn = Turn::after(attempts.sent, job.passage.route.attempts);
        let failure = match attempt(&job, &target, clearance, &tried, None, turn).await {
            Ok(answered) => match deliver(&job, answered, attempts, &mut track).await {
                Ok(response) => return response,
                Err(failure) => failure,
            },
            Err(failure) => failure,
        };
        let next = settle(&job, &target, &failure, &mut attempts, &track);
        match next {
            NextStep::Retry => {}
            NextStep::Forward => match failure.answer {
                Some(answer) => return hand_on(&job, *answer, &mut track).await,
                None => return track.refuse(ErrorKind::SentUnknown, None),
            },
            NextStep::Fail(kind) => return track.refuse(kind, None),
        }
    }
}

/// Has a stream that its caller takes up again wait for room, for a short time
/// at most. Its pause is longer than the objective already, so it gives way to
/// those that can still be in time; after a kill of many daemons hundreds of
/// such streams come at once.
async fn give_way(job: &Job) {
    let until = job.edge.now() + GIVE_WAY;
    let (service, model) = (&job.passage.service, job.head.model.as_ref());
    while job.edge.now() < until && !job.edge.has_room(service, model) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Notes what became of an attempt and decides what follows.
pub(crate) fn settle(
    job: &Job,
    target: &Target,
    failure: &Failure,
    attempts: &mut Attempts,
    track: &Track,
) -> NextStep {
    let service = &job.passage.service.name;
    let allowed = job.passage.route.attempts;
    let spend = || job.edge.spend_retry(service);
    let next = next_step(failure.outcome, attempts, job.may_repeat(), allowed, spend);
    track.attempt_failed(target, failure.outcome, &failure.why, next);
    next
}

/// When a caller that would be served too late may come back.
fn come_back(late: Millis) -> Millis {
    late.clamp(SOONEST, LATEST)
}

const fn no_target(attempts: Attempts) -> ErrorKind {
    if attempts.may_have_run {
        ErrorKind::SentUnknown
    } else if attempts.sent > 0 {
        ErrorKind::TargetRefused
    } else {
        ErrorKind::NoGroup
    }
}

const fn stale(attempts: Attempts) -> ErrorKind {
    if attempts.may_have_run {
        ErrorKind::SentUnknown
    } else {
        ErrorKind::NotReady
    }
}

/// Hands an answer on to the caller.
async fn deliver(
    job: &Rc<Job>,
    answered: Answered,
    attempts: Attempts,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    let stream = job.passage.route.kind == RouteKind::Stream && answered.status.is_success();
    if stream {
        return Ok(relay::begin(job.clone(), answered, attempts, track));
    }
    hold(job, answered, track).await
}

/// Reads a plain answer whole, if it is small, and hands it on.
async fn hold(
    job: &Rc<Job>,
    answered: Answered,
    track: &mut Track,
) -> Result<Response<OutBody>, Failure> {
    let edge = &job.edge;
    let large = hyper::body::Body::size_hint(&answered.body).lower() > MAX_HELD;
    if large {
        return Ok(relay::pass_on(job.clone(), answered, track));
    }
    let Answered {
        status,
        mut headers,
        body,
        lane,
        info,
        target,
        flight,
    } = answered;
    let read = edge
        .alarm
        .timeout_at(job.last_answer(), body.collect())
        .await;
    drop(flight);
    let body = match read {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(error)) => {
            quarantine::note_lost(job, &target, "the answer broke off");
            return Err(Failure::new(Outcome::MayHaveRun, &error));
        }
        None => {
            return Err(Failure::new(
                Outcome::Late,
                &"the answer did not end in time",
            ));
        }
    };
    let now = edge.now();
    edge.loads
        .borrow_mut()
        .note_time(&target.id, now - job.arrived);
    if status.is_success() {
        quarantine::note_good(job);
    }
    if !info.closing {
        job.keep_lane(&target.id, lane, info.keep);
    }
    caller::remove_hop(&mut headers);
    track.ended(status.as_u16(), Some(&target.id), body.len());
    Ok(reply::whole(status, headers, body))
}

/// Hands on a target's own failure.
async fn hand_on(job: &Rc<Job>, answered: Answered, track: &mut Track) -> Response<OutBody> {
    match hold(job, answered, track).await {
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
