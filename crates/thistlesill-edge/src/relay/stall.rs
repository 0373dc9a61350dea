//! How long a silent stream is waited for.

use std::future::pending;

use thistlesill_core::edge::{RouteKind, Target};
use thistlesill_core::{Millis, NodeId};

use crate::forward;
use crate::job::Job;
use crate::reach;

/// Share of the longest allowed pause after which a silent target counts as stalled; the rest is
/// for resuming the stream at another target.
const STALL_RATIO: f64 = 0.8;
/// Share of the objective for the first event after which a silent target counts as stalled.
const FIRST_EVENT_RATIO: f64 = 1.0;
/// Silence after which a target counts as stalled while this daemon's links to all targets are lost;
/// established connections may still carry streams then.
const LOST_SILENCE: Millis = Millis::new(150);

/// Time after which a stream that could not be resumed elsewhere is watched again.
const RETRY_INTERVAL: Millis = Millis::new(300);

/// Returns once the target of a resumable stream has sent nothing to any of this daemon's streams
/// for too long, while other targets did or the links to all are lost; never, if the stream can't be
/// resumed or its deadline has passed.
///
/// The silence counts from `start` at the earliest.
pub(crate) async fn wait_for_stall(job: &Job, target: &Target, start: Millis, first: bool) {
    let route = &job.admission.route;
    let (RouteKind::Stream, true, Some(pause)) = (route.kind, route.resumable, route.pause) else {
        return pending::<()>().await;
    };
    let least = if first {
        scaled(job.begin_timeout(), FIRST_EVENT_RATIO)
    } else {
        scaled(pause, STALL_RATIO)
    };
    let engine = job.admission.service.engine.as_ref();
    let edge = &job.edge;
    loop {
        let lost = edge.links.is_lost(&target.service);
        let (seen, due) = {
            let loads = edge.loads.borrow();
            let seen = loads.progress(&target.id).max(start);
            let timeout = engine.map(|e| loads.stall_timeout(target, e, edge.now()));
            let timeout = timeout.map_or(least, |timeout| timeout.max(least));
            let timeout = if lost {
                timeout.min(LOST_SILENCE)
            } else {
                timeout
            };
            let since = edge.links.silent_since(&target.service, seen);
            (seen, since + timeout)
        };
        if job.is_over() {
            return pending::<()>().await;
        }
        if due <= edge.now() {
            if lost || reach::is_silent_alone(edge, target, seen).await {
                return;
            }
            continue;
        }
        tokio::select! {
            () = edge.alarm.sleep_until(due) => {}
            () = reach::wait_until_lost(edge, &target.service), if !lost => {}
        }
    }
}

/// Returns once a stream that could not be resumed elsewhere may be: through a peer other than
/// `tried`, or once links that were lost work again, if its target then is silent alone; also after a
/// while in which it has stayed so, if another attempt is `allowed`.
pub(super) async fn wait_for_way(
    job: &Job,
    target: &Target,
    tried: &[NodeId],
    first: bool,
    allowed: bool,
) {
    let edge = &job.edge;
    let watch_again = async {
        if !allowed {
            pending::<()>().await;
        }
        edge.alarm.sleep_until(edge.now() + RETRY_INTERVAL).await;
        wait_for_stall(job, target, edge.now(), first).await;
    };
    let find_way = async {
        reach::wait_until_lost(edge, &target.service).await;
        tokio::select! {
            () = forward::wait_until_possible(job, tried) => {}
            () = reach::wait_until_restored(edge, &target.service) => {
                wait_for_stall(job, target, edge.now(), first).await;
            }
        }
    };
    tokio::select! {
        () = watch_again => {}
        () = find_way => {}
    }
}

fn scaled(time: Millis, ratio: f64) -> Millis {
    Millis::new((time.get() as f64 * ratio) as u64)
}
