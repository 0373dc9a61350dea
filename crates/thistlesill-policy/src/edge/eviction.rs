//! Which connection of a caller is closed when a daemon has no room for another one.
//!
//! Load pattern: clients open many connections and send nothing, or stop short of the end of a head
//! or a body. Each costs them little, and takes the place or the memory of an ordinary caller, whose
//! request arrives with its connection. So the connections that have sent no request for longest go
//! first, and those with a request in progress never.

use std::collections::HashMap;

use thistlesill_core::Millis;

/// Time for the first request on a new connection, after which the connection is closed before idle ones.
const OPENING_TIME: Millis = Millis::new(500);
/// One in this many connections may wait for its first request. Those of ordinary callers do so for a round
/// trip, so that beyond this the oldest ones are of clients that send nothing, however young they are.
const OPENING_PART: usize = 8;
/// Time without progress after which a body counts as stalled. A segment that is lost and sent again
/// delays a body by less.
const STALL_TIME: Millis = Millis::new(1_000);

/// Identifies a connection.
pub type ConnectionId = u64;

/// What a connection of a caller is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// No request has arrived yet, at most a part of a head.
    Opening,
    /// A part of a body is held.
    Body,
    /// A request is in progress.
    Busy,
    /// The request was refused, and the rest of its body is read and dropped.
    Refused,
    /// The last request has ended.
    Idle,
}

impl Phase {
    /// Returns the name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Opening => "opening",
            Self::Body => "body",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::Idle => "idle",
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Connection {
    phase: Phase,
    /// When the phase began, or last made progress.
    since: Millis,
}

/// The connections of callers that are open.
#[derive(Debug, Clone, Default)]
pub struct Connections {
    open: HashMap<ConnectionId, Connection>,
    next: ConnectionId,
}

impl Connections {
    /// Adds a new connection.
    pub fn open(&mut self, now: Millis) -> ConnectionId {
        let id = self.next;
        self.next += 1;
        let opening = Connection {
            phase: Phase::Opening,
            since: now,
        };
        self.open.insert(id, opening);
        id
    }

    /// Removes a connection; returns whether it was there.
    pub fn close(&mut self, id: ConnectionId) -> bool {
        self.open.remove(&id).is_some()
    }

    /// Records the phase of a connection, or that it has made progress in its phase.
    pub fn note(&mut self, id: ConnectionId, phase: Phase, now: Millis) {
        if let Some(connection) = self.open.get_mut(&id) {
            *connection = Connection { phase, since: now };
        }
    }

    /// Records that the answer to a connection's request has ended, unless the rest of its body is still read.
    pub fn note_answered(&mut self, id: ConnectionId, now: Millis) {
        if self.open.get(&id).is_some_and(|c| c.phase == Phase::Busy) {
            self.note(id, Phase::Idle, now);
        }
    }

    /// Removes the connection that gives way to a new one; returns it with its phase, or `None` if all are in
    /// use.
    pub fn evict_for_place(&mut self, now: Millis) -> Option<(ConnectionId, Phase)> {
        let opening = self
            .open
            .values()
            .filter(|connection| connection.phase == Phase::Opening);
        let is_flooded = opening.count() * OPENING_PART > self.open.len();
        self.evict(|connection| connection.place_rank(now, is_flooded))
    }

    /// Removes the connection whose body has stalled for longest, to free its memory; returns it with its
    /// phase, or `None` if no body has stalled.
    pub fn evict_for_memory(&mut self, now: Millis) -> Option<(ConnectionId, Phase)> {
        self.evict(|connection| connection.is_stalled(now).then_some(0))
    }

    /// Removes the connection with the lowest rank, among these the one without progress for longest.
    fn evict(&mut self, rank: impl Fn(&Connection) -> Option<u8>) -> Option<(ConnectionId, Phase)> {
        let ranked = self
            .open
            .iter()
            .filter_map(|(id, connection)| Some((rank(connection)?, connection.since, *id)));
        let (_, _, id) = ranked.min()?;
        let evicted = self.open.remove(&id)?;
        Some((id, evicted.phase))
    }
}

impl Connection {
    fn is_stalled(&self, now: Millis) -> bool {
        self.phase == Phase::Body && now - self.since >= STALL_TIME
    }

    /// Returns the order in which connections give way to new ones; `None` for those that do not.
    ///
    /// `is_flooded` tells whether more connections than usual wait for their first request.
    fn place_rank(&self, now: Millis, is_flooded: bool) -> Option<u8> {
        match self.phase {
            Phase::Refused => Some(0),
            Phase::Opening if is_flooded || now - self.since >= OPENING_TIME => Some(1),
            Phase::Body if self.is_stalled(now) => Some(2),
            Phase::Idle => Some(3),
            Phase::Opening => Some(4),
            Phase::Body | Phase::Busy => None,
        }
    }
}
