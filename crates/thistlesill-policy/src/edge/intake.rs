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
    /// Processor time.
    Processor,
}

impl Shortage {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Files => "files",
            Self::Processor => "processor",
        }
    }

    /// Returns whether another connection that is closed makes room for a new one.
    #[must_use]
    pub const fn is_of_places(self) -> bool {
        match self {
            Self::Files => true,
            Self::Processor => false,
        }
    }
}

/// Decides on new connections by the files and the processor time that are left.
#[derive(Debug, Clone)]
pub struct Intake {
    max_connections: usize,
    delayed: u32,
}

impl Intake {
    /// Creates the intake of a daemon that may open `files` files; `None` if that is not known.
    #[must_use]
    pub fn new(files: Option<usize>) -> Self {
        let for_callers = |files: usize| {
            let left = files.saturating_sub(RESERVED_FILES) as f64;
            (left * CALLER_RATIO) as usize
        };
        Self {
            max_connections: files.map_or(usize::MAX, for_callers).max(1),
            delayed: 0,
        }
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
    pub const fn shortage(&self, connections: usize, active: usize) -> Option<Shortage> {
        if connections >= self.max_connections {
            Some(Shortage::Files)
        } else if self.delayed >= DELAYED_SAMPLES && active > MIN_ACTIVE {
            Some(Shortage::Processor)
        } else {
            None
        }
    }
}
