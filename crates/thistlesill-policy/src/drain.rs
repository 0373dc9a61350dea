//! Graceful shutdown of a daemon: finishes the requests in flight before the daemon exits.

use thistlesill_core::Millis;
use thistlesill_core::chart::Chart;

use crate::charts::{DrainEvent, DrainState};

/// The shutdown of a daemon, driven by its state chart.
#[derive(Debug, Clone)]
pub struct Drain {
    chart: Chart<DrainState, DrainEvent>,
    state: DrainState,
    balancer_grace: Millis,
    stop_timeout: Millis,
    stopped_at: Millis,
}

impl Drain {
    /// Creates the state of a daemon that serves.
    ///
    /// `balancer_grace` is how long the daemon accepts requests after its health check starts to
    /// fail, which gives load balancers time to notice. `stop_timeout` is how long it waits after
    /// that for requests in flight.
    pub const fn new(
        chart: Chart<DrainState, DrainEvent>,
        balancer_grace: Millis,
        stop_timeout: Millis,
    ) -> Self {
        Self {
            state: chart.start(),
            chart,
            balancer_grace,
            stop_timeout,
            stopped_at: Millis::ZERO,
        }
    }

    /// Returns the state of the shutdown.
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Returns whether the daemon accepts new requests.
    pub const fn accepts_requests(&self) -> bool {
        matches!(self.state, DrainState::Serving | DrainState::Failing)
    }

    /// Returns whether the health check passes.
    pub const fn is_healthy(&self) -> bool {
        matches!(self.state, DrainState::Serving)
    }

    /// Starts the shutdown.
    pub fn stop(&mut self, now: Millis) {
        if self.state == DrainState::Serving {
            self.stopped_at = now;
        }
        self.apply(DrainEvent::Stop);
    }

    /// Advances the shutdown to `now`, with the number of requests in flight, and returns its
    /// state.
    pub fn tick(&mut self, now: Millis, under_way: usize) -> DrainState {
        let elapsed = now - self.stopped_at;
        if elapsed >= self.balancer_grace {
            self.apply(DrainEvent::BalancerPassed);
        }
        if elapsed >= self.balancer_grace + self.stop_timeout {
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
