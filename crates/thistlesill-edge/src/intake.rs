//! Accepts or closes new connections of callers, by what this daemon is short of, and has others give way
//! to them.
//!
//! A daemon that is short of processor time also misses answers that come in time. What it then asks in
//! vain says nothing of targets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use thistlesill_core::Millis;
use thistlesill_core::edge::EdgeSettings;
use thistlesill_policy::edge::eviction::{ConnectionId, Connections, Phase};
use thistlesill_policy::edge::intake::{Intake, MAX_LOOP_DELAY, Room, Shortage};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::lines::Lines;
use crate::state::Edge;

/// Interval between two samples of the delay of the event loop.
const SAMPLE_INTERVAL: Millis = Millis::new(20);
/// Shortest interval between two log lines about connections that were closed.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Connections of callers and peers, and those that were closed unread.
#[derive(Debug)]
pub(crate) struct IntakeState {
    intake: RefCell<Intake>,
    /// The connections that may give way to others.
    connections: RefCell<Connections>,
    /// Places of these connections.
    places: RefCell<HashMap<ConnectionId, Rc<Eviction>>>,
    /// Number of connections, with those that are being closed.
    count: Cell<usize>,
    /// Connections that were closed for want of room since the last log line.
    closed: Cell<u64>,
    last_line: Cell<Option<Instant>>,
}

/// Whether a connection must give way to another one.
#[derive(Debug, Default)]
struct Eviction {
    /// What the connection was doing when it had to.
    due: Cell<Option<Phase>>,
    notify: Notify,
}

/// The place of a connection of a caller or a peer, which is free again once this value is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    intake: Rc<IntakeState>,
    id: ConnectionId,
    eviction: Rc<Eviction>,
}

impl IntakeState {
    /// Creates the state of a daemon with these settings.
    pub(crate) fn new(settings: &EdgeSettings) -> Rc<Self> {
        Rc::new(Self {
            intake: RefCell::new(Intake::new(room(settings))),
            connections: RefCell::default(),
            places: RefCell::default(),
            count: Cell::new(0),
            closed: Cell::new(0),
            last_line: Cell::new(None),
        })
    }

    /// Brings other settings in force.
    pub(crate) fn set_settings(&self, settings: &EdgeSettings) {
        self.intake.borrow_mut().set_room(room(settings));
    }

    /// Returns the place of a new connection of a caller while `active` requests are in progress, for which
    /// another connection may have to give way; `None` if the new one must be closed unread, so that its caller
    /// tries another daemon.
    pub(crate) async fn accept(
        self: &Rc<Self>,
        active: usize,
        now: Millis,
        lines: &Lines,
    ) -> Option<Rc<Place>> {
        let shortage = self.intake.borrow().shortage(self.count.get(), active);
        let Some(shortage) = shortage else {
            return Some(self.add(now));
        };
        self.note_closed(shortage, active, lines);
        if shortage.allows_eviction() {
            self.replace(now).await
        } else {
            None
        }
    }

    /// Returns the place of a new connection of a peer. It is not closed for want of processor time: of a
    /// request that may run once, the peer cannot tell whether it was read.
    pub(crate) async fn accept_peer(self: &Rc<Self>, now: Millis) -> Option<Rc<Place>> {
        if self.intake.borrow().shortage(self.count.get(), 0).is_none() {
            Some(self.add(now))
        } else {
            self.replace(now).await
        }
    }

    /// Returns the place of a new connection to which another one gives way; `None` if all are in use.
    async fn replace(self: &Rc<Self>, now: Millis) -> Option<Rc<Place>> {
        let evicted = self.connections.borrow_mut().evict_for_place(now);
        if !self.notify_evicted(evicted) {
            return None;
        }
        // It is closed before the next connection is accepted.
        tokio::task::yield_now().await;
        Some(self.add(now))
    }

    fn add(self: &Rc<Self>, now: Millis) -> Rc<Place> {
        let id = self.connections.borrow_mut().open(now);
        let eviction = Rc::new(Eviction::default());
        self.places.borrow_mut().insert(id, eviction.clone());
        self.count.set(self.count.get() + 1);
        Rc::new(Place {
            intake: self.clone(),
            id,
            eviction,
        })
    }

    /// Makes a connection whose body has stalled give way to another body; returns whether one does.
    pub(crate) fn evict_for_memory(&self, now: Millis) -> bool {
        let evicted = self.connections.borrow_mut().evict_for_memory(now);
        self.notify_evicted(evicted)
    }

    /// Tells a connection that it must give way; returns whether there is one.
    fn notify_evicted(&self, evicted: Option<(ConnectionId, Phase)>) -> bool {
        let Some((id, phase)) = evicted else {
            return false;
        };
        metrics::counter!("thistlesill_edge_connections_evicted_total", "phase" => phase.name())
            .increment(1);
        if let Some(eviction) = self.places.borrow_mut().remove(&id) {
            eviction.due.set(Some(phase));
            eviction.notify.notify_waiters();
        }
        true
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
            .with("connections", self.count.get())
            .with("active", active)
            .with("closed", self.closed.take())
            .write();
    }
}

const fn room(settings: &EdgeSettings) -> Room {
    Room {
        files: settings.files,
        memory: settings.memory,
    }
}

impl Place {
    /// Records what the connection does, or that it has made progress in that.
    pub(crate) fn note(&self, phase: Phase, now: Millis) {
        let connections = &self.intake.connections;
        connections.borrow_mut().note(self.id, phase, now);
    }

    /// Records that the answer to the connection's request has ended.
    pub(crate) fn note_answered(&self, now: Millis) {
        let connections = &self.intake.connections;
        connections.borrow_mut().note_answered(self.id, now);
    }

    /// Waits until the connection must give way to another one; returns what it was doing then.
    pub(crate) async fn evicted(&self) -> Phase {
        loop {
            if let Some(phase) = self.eviction.due.get() {
                return phase;
            }
            self.eviction.notify.notified().await;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let intake = &self.intake;
        intake.connections.borrow_mut().close(self.id);
        intake.places.borrow_mut().remove(&self.id);
        intake.count.set(intake.count.get().saturating_sub(1));
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
pub(crate) async fn sample_delay(edge: Rc<Edge>) {
    loop {
        let due = Instant::now() + SAMPLE_INTERVAL.duration();
        tokio::time::sleep_until(due).await;
        let delay = Millis::new(due.elapsed().as_millis() as u64);
        edge.intake.intake.borrow_mut().note_delay(delay);
        edge.delay.note(delay, edge.now());
    }
}
