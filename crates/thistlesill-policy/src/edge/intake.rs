//! Whether a daemon accepts another connection of a caller.
//!
//! Load pattern: a balancer gives most new connections of a data centre or region to one daemon,
//! and callers whose connection is closed unread try another daemon at once. A daemon that reads
//! more requests than it can serve fails all of them, including those that it had accepted before.

use thistlesill_core::Millis;

/// Files that are not for connections.
const RESERVED_FILES: usize = 200;
/// Share of the other files that connections of callers may take. Each request needs a connection
/// to a target as well, and peers and idle connections to targets need some.
const CALLER_RATIO: f64 = 0.4;
/// Memory that a connection may take before its body: a head that the codec holds, what the kernel has
/// received, and the tasks.
const CONNECTION_BYTES: usize = 56 * 1024;
/// Share of the memory that connections of callers may take.
const CONNECTIONS_SHARE: f64 = 0.35;
/// Delay of the event loop from which this daemon counts as short of processor time: a request
/// passes the loop several times, so it adds some tenths of a second.
pub const MAX_LOOP_DELAY: Millis = Millis::new(50);
/// Number of delayed samples in a row after which new connections are closed. A single one may be a
/// suspension, or the end of the processor share of a short period.
const DELAYED_SAMPLES: u32 = 3;
/// Number of requests up to which a delay of the loop is not due to callers.
const MIN_ACTIVE: usize = 4;

/// What a daemon is short of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// Files for connections.
    Files,
    /// Memory for connections.
    Memory,
    /// Processor time.
    Processor,
}

impl Shortage {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Files => "files",
            Self::Memory => "memory",
            Self::Processor => "processor",
        }
    }

    /// Returns whether a connection that is closed makes room for a new one.
    #[must_use]
    pub const fn allows_eviction(self) -> bool {
        match self {
            Self::Files | Self::Memory => true,
            Self::Processor => false,
        }
    }
}

/// What a machine gives a daemon; `None` for what is not known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Room {
    /// Number of files that the daemon may open.
    pub files: Option<usize>,
    /// Memory that the daemon may use, in bytes.
    pub memory: Option<usize>,
}

impl Room {
    /// Returns the number of connections of callers that there are files for.
    fn by_files(self) -> usize {
        let for_callers = |files: usize| {
            let left = files.saturating_sub(RESERVED_FILES) as f64;
            (left * CALLER_RATIO) as usize
        };
        self.files.map_or(usize::MAX, for_callers).max(1)
    }

    /// Returns the number of connections of callers that there is memory for.
    fn by_memory(self) -> usize {
        let for_callers = |memory: usize| {
            let bytes = memory as f64 * CONNECTIONS_SHARE;
            bytes as usize / CONNECTION_BYTES
        };
        self.memory.map_or(usize::MAX, for_callers).max(1)
    }
}

/// Decides on new connections by the files, the memory and the processor time that are left.
#[derive(Debug, Clone)]
pub struct Intake {
    room: Room,
    delayed: u32,
}

impl Intake {
    /// Creates the intake of a daemon on a machine with this room.
    #[must_use]
    pub const fn new(room: Room) -> Self {
        Self { room, delayed: 0 }
    }

    /// Replaces the room, as the settings have changed.
    pub const fn set_room(&mut self, room: Room) {
        self.room = room;
    }

    /// Records by how much the event loop was late to run a task.
    pub fn note_delay(&mut self, delay: Millis) {
        self.delayed = if delay > MAX_LOOP_DELAY {
            self.delayed.saturating_add(1)
        } else {
            0
        };
    }

    /// Returns why there is no room for a new connection; `None` if there is.
    ///
    /// `connections` is the number of callers' connections, `active` that of requests in progress.
    #[must_use]
    pub fn shortage(&self, connections: usize, active: usize) -> Option<Shortage> {
        if connections >= self.room.by_files() {
            Some(Shortage::Files)
        } else if connections >= self.room.by_memory() {
            Some(Shortage::Memory)
        } else if self.delayed >= DELAYED_SAMPLES && active > MIN_ACTIVE {
            Some(Shortage::Processor)
        } else {
            None
        }
    }
}
