//! Schedule of the heartbeats that a daemon sends to its peers.
//!
//! The interval of heartbeats within the own data centre depends on the number of daemons there,
//! and that of heartbeats to all peers on the size of the fleet, so that the rate at which each
//! daemon receives them does not grow with the fleet. What other daemons wait for does not slow
//! down: they consider the daemon that forms groups lost after a second of silence, and read the
//! store themselves.

use thistlesill_core::Millis;

/// Intervals between two heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatIntervals {
    /// For heartbeats to the peers of the own data centre.
    pub near: Millis,
    /// For heartbeats to all peers.
    pub all: Millis,
    /// For heartbeats to the daemon that forms groups.
    pub planner: Millis,
    /// For reports of the demand.
    pub demand: Millis,
}

/// The message that is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueHeartbeat {
    /// A heartbeat to all peers.
    All,
    /// A heartbeat to the peers of the own data centre.
    Near,
    /// A heartbeat to the daemon that forms groups, if that is in another data centre.
    Planner,
    /// A report of the demand.
    Demand,
    /// None is due before this time.
    Wait(Millis),
}

/// Times of the last message of each kind.
#[derive(Debug, Clone)]
pub struct HeartbeatSchedule {
    near: Millis,
    all: Option<Millis>,
    planner: Millis,
    demand: Millis,
}

impl HeartbeatSchedule {
    /// Creates a schedule that begins with one interval of waiting.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            near: now,
            all: None,
            planner: now,
            demand: now,
        }
    }

    /// Returns the message that is due, and counts that message as sent. Heartbeats to all peers
    /// are due only once the list of peers is available (`listed`).
    pub fn next(
        &mut self,
        intervals: &HeartbeatIntervals,
        listed: bool,
        now: Millis,
    ) -> DueHeartbeat {
        let all = self.all.map_or(now, |at| at + intervals.all);
        if listed && now >= all {
            (self.all, self.near, self.planner) = (Some(now), now, now);
            return DueHeartbeat::All;
        }
        if now >= self.near + intervals.near {
            self.near = now;
            return DueHeartbeat::Near;
        }
        if now >= self.planner + intervals.planner {
            self.planner = now;
            return DueHeartbeat::Planner;
        }
        if now >= self.demand + intervals.demand {
            self.demand = now;
            return DueHeartbeat::Demand;
        }
        let next = (self.near + intervals.near).min(self.planner + intervals.planner);
        let next = next.min(self.demand + intervals.demand);
        DueHeartbeat::Wait(if listed { next.min(all) } else { next })
    }
}
