//! How a daemon stops without cutting off a request.

use thistlesill_core::Millis;
use thistlesill_core::chart::Chart;

use crate::charts::{DrainEvent, DrainState};

/// A daemon's stop, driven by its chart.
#[derive(Debug, Clone)]
pub struct Drain {
    chart: Chart<DrainState, DrainEvent>,
    state: DrainState,
    balancer: Millis,
    limit: Millis,
    since: Millis,
}

impl Drain {
    /// A daemon that serves.
    ///
    /// `balancer` is how long it accepts requests after its health check
    /// fails; `limit` is the longest that it waits for streams after that.
    pub const fn new(
        chart: Chart<DrainState, DrainEvent>,
        balancer: Millis,
        limit: Millis,
    ) -> Self {
        Self {
            state: chart.start(),
            chart,
            balancer,
            limit,
            since: Millis::ZERO,
        }
    }

    /// Where the stop stands.
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Whether new requests are taken.
    pub const fn accepts(&self) -> bool {
        matches!(self.state, DrainState::Serving | DrainState::Failing)
    }

    /// Whether the health check passes.
    pub const fn healthy(&self) -> bool {
        matches!(self.state, DrainState::Serving)
    }

    /// Tells the daemon to stop.
    pub fn stop(&mut self, now: Millis) {
        if self.state == DrainState::Serving {
            self.since = now;
        }
        self.apply(DrainEvent::Stop);
    }

    /// Looks at the time and at the number of requests under way.
    pub fn tick(&mut self, now: Millis, under_way: usize) -> DrainState {
        let spent = now - self.since;
        if spent >= self.balancer {
            self.apply(DrainEvent::BalancerPassed);
        }
        if spent >= self.balancer + self.limit {
            self.apply(DrainEvent::Timeout);
        }
        if under_way == 0 {
            self.apply(DrainEvent::Idle);
        }
        self.state
    }

    fn apply(&mut self, event: DrainEvent) {
        if let Ok(next) = self.chart.step(self.state, event) {
            self.state = next;
        }
    }
}
