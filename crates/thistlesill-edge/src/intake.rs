//! Accepts or closes new connections of callers, by what this daemon is short of.
//!
//! A daemon that is short of processor time also misses answers that come in time. What it then asks in
//! vain says nothing of targets.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_policy::edge::intake::{Intake, MAX_LOOP_DELAY, Shortage};
use tokio::time::Instant;

use crate::lines::Lines;
use crate::state::Edge;

/// Interval between two samples of the delay of the event loop.
const SAMPLE_INTERVAL: Millis = Millis::new(20);
/// Shortest interval between two log lines about connections that were closed.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Connections of callers, and those that were closed unread.
#[derive(Debug)]
pub(crate) struct IntakeState {
    intake: RefCell<Intake>,
    connections: Cell<usize>,
    /// Connections that were closed since the last log line.
    closed: Cell<u64>,
    last_line: Cell<Option<Instant>>,
}

/// An accepted connection of a caller; counts until it is dropped.
#[derive(Debug)]
pub(crate) struct Accepted(Rc<IntakeState>);

impl IntakeState {
    /// Creates the state of a daemon that may open `files` files; `None` if that is not known.
    pub(crate) fn new(files: Option<usize>) -> Rc<Self> {
        Rc::new(Self {
            intake: RefCell::new(Intake::new(files)),
            connections: Cell::new(0),
            closed: Cell::new(0),
            last_line: Cell::new(None),
        })
    }

    /// Accepts a new connection while `active` requests are in progress; returns `None` if it must be
    /// closed unread, so that its caller tries another daemon.
    pub(crate) fn accept(self: &Rc<Self>, active: usize, lines: &Lines) -> Option<Accepted> {
        let connections = self.connections.get();
        if let Some(shortage) = self.intake.borrow().shortage(connections, active) {
            self.note_closed(shortage, active, lines);
            return None;
        }
        self.connections.set(connections + 1);
        Some(Accepted(self.clone()))
    }

    fn note_closed(&self, shortage: Shortage, active: usize, lines: &Lines) {
        metrics::counter!("thistlesill_edge_callers_turned_away_total", "short" => shortage.name())
            .increment(1);
        self.closed.set(self.closed.get() + 1);
        let last = self.last_line.get();
        if last.is_some_and(|at| at.elapsed() < LINE_INTERVAL) {
            return;
        }
        self.last_line.set(Some(Instant::now()));
        lines
            .line("callers_turned_away")
            .with("short", shortage.name())
            .with("connections", self.connections.get())
            .with("active", active)
            .with("closed", self.closed.take())
            .write();
    }
}

impl Drop for Accepted {
    fn drop(&mut self) {
        let connections = &self.0.connections;
        connections.set(connections.get().saturating_sub(1));
    }
}

/// When the event loop was last late to run a task.
#[derive(Debug, Default)]
pub(crate) struct LoopDelay {
    sampled: Cell<Millis>,
    delayed: Cell<Millis>,
}

impl LoopDelay {
    fn note(&self, delay: Millis, now: Millis) {
        self.sampled.set(now);
        if delay > MAX_LOOP_DELAY {
            self.delayed.set(now);
        }
    }

    /// Returns whether the event loop was late after `since`, so that this daemon may have missed what
    /// came in time.
    pub(crate) fn was_late_since(&self, since: Millis, now: Millis) -> bool {
        // The next sample may be late as well.
        let is_late = now - self.sampled.get() > SAMPLE_INTERVAL + MAX_LOOP_DELAY;
        is_late || self.delayed.get() > since
    }
}

/// Samples the delay of the event loop; never returns.
pub(crate) async fn sample_delay(edge: Rc<Edge>, state: Rc<IntakeState>) {
    loop {
        let due = Instant::now() + SAMPLE_INTERVAL.duration();
        tokio::time::sleep_until(due).await;
        let delay = Millis::new(due.elapsed().as_millis() as u64);
        state.intake.borrow_mut().note_delay(delay);
        edge.delay.note(delay, edge.now());
    }
}
