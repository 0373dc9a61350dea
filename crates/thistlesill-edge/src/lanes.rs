//! A pool of idle connections to targets.

use std::cell::RefCell;
use std::collections::HashMap;

use thistlesill_core::Millis;
use thistlesill_core::edge::{Target, TargetId};
use thistlesill_net::lane::{ConnectionError, HttpConnection};
use tokio::time::Instant;

/// Maximum number of idle connections per target.
const MAX_IDLE: usize = 6;
/// Share of the connections that a target accepts from all daemons that may be idle. A target
/// resets connections beyond its limit.
const IDLE_RATIO: f64 = 0.5;
/// Idle timeout of a connection if its target does not name one; most targets keep idle
/// connections for some seconds.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis::new(2_000);
/// Safety margin before the end of the idle timeout that a target names, since its close and the
/// next request may cross on the network.
const IDLE_TIMEOUT_MARGIN: Millis = Millis::new(700);

#[derive(Debug)]
struct Idle {
    lane: HttpConnection,
    until: Millis,
}

/// A connection for one request.
#[derive(Debug)]
pub(crate) struct PooledLane {
    pub(crate) lane: HttpConnection,
    /// Whether an earlier request used the connection, so that it may be dead without notice.
    pub(crate) reused: bool,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub(crate) struct Lanes {
    idle: RefCell<HashMap<TargetId, Vec<Idle>>>,
}

impl Lanes {
    /// Takes a usable idle connection from the pool, if there is one.
    fn take(&self, target: &TargetId, now: Millis) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(target)?;
        while let Some(last) = pooled.pop() {
            if last.until > now && last.lane.is_ready() {
                return Some(last.lane);
            }
        }
        None
    }

    /// Returns a connection to a target: an idle one if `reuse` and there is one, else a new one.
    pub(crate) async fn get(
        &self,
        target: &Target,
        reuse: bool,
        now: Millis,
        until: Instant,
    ) -> Result<PooledLane, ConnectionError> {
        let pooled = if reuse {
            self.take(&target.id, now)
        } else {
            None
        };
        if let Some(lane) = pooled {
            Ok(PooledLane { lane, reused: true })
        } else {
            metrics::counter!("thistlesill_edge_connections_total").increment(1);
            let lane = HttpConnection::connect(target.address, until).await?;
            Ok(PooledLane {
                lane,
                reused: false,
            })
        }
    }

    /// Returns a connection of which the answer was read completely to the pool, if the pool has
    /// fewer than `max` connections to the target.
    ///
    /// `keep` is the target's idle timeout.
    pub(crate) fn keep(
        &self,
        target: &TargetId,
        lane: HttpConnection,
        keep: Option<Millis>,
        max: usize,
        now: Millis,
    ) {
        let time = keep.map_or(DEFAULT_IDLE_TIMEOUT, |k| k - IDLE_TIMEOUT_MARGIN);
        if time == Millis::ZERO {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(target.clone()).or_default();
        if pooled.len() < max {
            pooled.push(Idle {
                lane,
                until: now + time,
            });
        }
    }

    /// Closes the idle connections to a target after a failure on one connection: the same cause
    /// may have broken the others.
    pub(crate) fn close_idle(&self, target: &TargetId) {
        self.idle.borrow_mut().remove(target);
    }

    /// Closes all idle connections.
    pub(crate) fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the connections of which the idle timeout is over.
    pub(crate) fn sweep(&self, now: Millis) {
        let mut idle = self.idle.borrow_mut();
        for pooled in idle.values_mut() {
            pooled.retain(|i| i.until > now);
        }
        idle.retain(|_, pooled| !pooled.is_empty());
    }
}

/// Returns how many idle connections each of `daemons` daemons may keep to a target that accepts
/// `connections` from all of them together.
pub(crate) fn max_idle(connections: u32, daemons: usize) -> usize {
    let share = f64::from(connections) * IDLE_RATIO / daemons.max(1) as f64;
    (share as usize).min(MAX_IDLE)
}
