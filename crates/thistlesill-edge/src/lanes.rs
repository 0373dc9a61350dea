//! Connections to targets that are kept for the next request.

use std::cell::RefCell;
use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_net::lane::{Lane, LaneError};
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
    lane: Lane,
    until: Millis,
}

/// A connection for one request.
#[derive(Debug)]
pub(crate) struct PooledLane {
    pub(crate) lane: Lane,
    /// Whether it was kept since an earlier request, and may have fallen silent.
    pub(crate) reused: bool,
}

/// The unused connections, by target.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    idle: RefCell<HashMap<TargetId, Vec<Idle>>>,
}

impl Lanes {
    /// A connection that is ready, if one is kept.
    fn take(&self, target: &TargetId, now: Millis) -> Option<Lane> {
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
    ) -> Result<PooledLane, LaneError> {
        let kept = if reuse {
            self.take(&target.id, now)
        } else {
            None
        };
        if let Some(lane) = kept {
            Ok(PooledLane { lane, reused: true })
        } else {
            metrics::counter!("thistlesill_edge_connections_total").increment(1);
            let lane = Lane::open(target.address, until).await?;
            Ok(PooledLane {
                lane,
                reused: false,
            })
        }
    }

    /// Keeps a connection whose answer was read whole, if fewer than `most`
    /// are kept.
    pub(crate) fn keep(
        &self,
        target: &TargetId,
        lane: Lane,
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
    pub(crate) fn close_idle(&self, target: &TargetId) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes all unused connections.
    pub(crate) fn close_all_idle(&self) {
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
pub(crate) fn max_idle(connections: u32, daemons: usize) -> usize {
    let part = f64::from(connections) * IDLE_PART / daemons.max(1) as f64;
    (part as usize).min(MAX_IDLE)
}
