//! Connections to targets that are kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_net::lane::{ConnectionError, HttpConnection};
use tokio::time::Instant;

/// Unused connections kept per target, at most.
const MAX_IDLE: usize = 6;
/// Part of the connections that a target accepts from all daemons which may
/// be unused ones; it resets what exceeds its number.
const IDLE_PART: f64 = 0.5;
/// How long an unused connection is kept if its target does not say how long
/// it keeps it; most keep theirs for some seconds.
const USUAL_KEEP: Millis = Millis::new(2_000);
/// Kept away from the end of the time that a target names, since its close
/// and our next request may cross.
const KEEP_MARGIN: Millis = Millis::new(700);

#[derive(Debug)]
struct Idle {
    lane: HttpConnection,
    until: Millis,
}

/// A connection for one request.
#[derive(Debug)]
pub(crate) struct Taken {
    pub(crate) lane: HttpConnection,
    /// Whether it was kept since an earlier request, and may have fallen silent.
    pub(crate) kept: bool,
}

/// The unused connections, by target.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    idle: RefCell<HashMap<TargetId, Vec<Idle>>>,
}

impl Lanes {
    /// A connection that is ready, if one is kept.
    fn take(&self, target: &TargetId, now: Millis) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(target)?;
        while let Some(last) = kept.pop() {
            if last.until > now && last.lane.is_ready() {
                return Some(last.lane);
            }
        }
        None
    }

    /// A connection to a target: a kept one if `reuse`, else a new one.
    pub(crate) async fn get(
        &self,
        target: &Target,
        reuse: bool,
        now: Millis,
        until: Instant,
    ) -> Result<Taken, ConnectionError> {
        let kept = if reuse {
            self.take(&target.id, now)
        } else {
            None
        };
        if let Some(lane) = kept {
            Ok(Taken { lane, kept: true })
        } else {
            metrics::counter!("thistlesill_edge_connections_total").increment(1);
            let lane = HttpConnection::connect(target.address, until).await?;
            Ok(Taken { lane, kept: false })
        }
    }

    /// Keeps a connection whose answer was read whole, if fewer than `most`
    /// are kept.
    pub(crate) fn keep(
        &self,
        target: &TargetId,
        lane: HttpConnection,
        keep: Option<Millis>,
        most: usize,
        now: Millis,
    ) {
        let time = keep.map_or(USUAL_KEEP, |k| k - KEEP_MARGIN);
        if time == Millis::ZERO {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(target.clone()).or_default();
        if kept.len() < most {
            kept.push(Idle {
                lane,
                until: now + time,
            });
        }
    }

    /// Closes the unused connections to a target that failed on one: what
    /// silenced it may have silenced all of its age.
    pub(crate) fn forget(&self, target: &TargetId) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes all unused connections.
    pub(crate) fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that are out of time.
    pub(crate) fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(|i| i.until > now);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}

/// How many unused connections one of `daemons` daemons keeps to a target that
/// accepts `connections` from all of them.
pub(crate) fn most_idle(connections: u32, daemons: usize) -> usize {
    let part = f64::from(connections) * IDLE_PART / daemons.max(1) as f64;
    (part as usize).min(MAX_IDLE)
}
