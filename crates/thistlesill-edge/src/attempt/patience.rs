//! How long an attempt waits for its answer to begin, before its request goes elsewhere.

use std::future::pending;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_core::edge::{RouteKind, Target, TargetId};

use crate::forward;
use crate::job::Job;
use crate::reach;
use crate::relay;

/// Interval between two checks whether a late request may be sent to another target.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns once a stream should be requested from another target instead of awaited: its target
/// has been silent for too long and will not read the request later, and another one that goes on
/// may get the stream, which the retry budget covers, or this one is known to be dead.
///
/// Without these conditions, all of 16 streams of two groups that began 1.2 s late ended as
/// "it may have run"; with them all 16 are served.
pub(super) async fn wait_to_abandon(job: &Job, target: &Target, tried: &[TargetId]) {
    let edge = &job.edge;
    let sent = edge.now();
    loop {
        relay::wait_for_stall(job, target, sent, true).await;
        edge.suspect(&target.id, "no answer begins");
        if !reach::may_read_late(edge, &job.admission.service, target, sent).await {
            if is_known_dead(job, target).await {
                return;
            }
            let has_way = edge.links.is_lost(&target.service) || can_go_elsewhere(job, tried).await;
            if has_way && forward::may_leave_target(job) && job.withdraw_retry() {
                return;
            }
        }
        tokio::time::sleep(RETRY_CHECK_INTERVAL).await;
    }
}

/// Returns whether the planner found a target unresponsive, which shows no sign of life here either.
async fn is_known_dead(job: &Job, target: &Target) -> bool {
    let edge = &job.edge;
    edge.peers.borrow().is_unresponsive(&target.id)
        && !reach::shows_life(edge, &job.admission.service, target).await
}

/// Returns whether a request may be sent to a target that it was not sent to yet and that goes on.
async fn can_go_elsewhere(job: &Job, tried: &[TargetId]) -> bool {
    let targets = job.retry_targets(tried);
    reach::any_shows_life(&job.edge, &job.admission.service, &targets).await
}

/// Returns once a plain request, which was sent at `sent` on a reused connection, has had no answer
/// for the time of the route's objective and its target will not read it later, the connection is at
/// fault or another way is open, and the retry budget covers that; never, if its deadline has passed
/// by then.
///
/// Only a timeout shows that a connection is dead without notice. When all pooled connections
/// are, 6 of 6 requests are answered in time with this check, and none without it.
pub(super) async fn wait_for_silence(
    job: &Job,
    target: &Target,
    tried: &[TargetId],
    sent: Millis,
    reused: bool,
) {
    if !reused || job.admission.route.kind == RouteKind::Stream {
        return pending::<()>().await;
    }
    let edge = &job.edge;
    loop {
        let since = edge.links.silent_since(&target.service, sent);
        edge.alarm.sleep_until(since + job.begin_timeout()).await;
        if job.is_over() {
            return pending::<()>().await;
        }
        if !reach::may_read_late(edge, &job.admission.service, target, sent).await
            && has_way_for_plain(job, target, tried).await
            && forward::may_leave_target(job)
            && job.withdraw_retry()
        {
            return;
        }
        tokio::time::sleep(RETRY_CHECK_INTERVAL).await;
    }
}

/// Returns whether a plain request that a target has may be sent once more: to the same target if it
/// goes on, so that only the connection is at fault, to another one, or through a peer.
async fn has_way_for_plain(job: &Job, target: &Target, tried: &[TargetId]) -> bool {
    let edge = &job.edge;
    edge.links.is_lost(&target.service)
        || reach::shows_life(edge, &job.admission.service, target).await
        || can_go_elsewhere(job, tried).await
}
