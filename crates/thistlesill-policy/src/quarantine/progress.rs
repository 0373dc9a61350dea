//! How far the answer to a request had come when its target was lost.

use thistlesill_core::Millis;

use super::LossCause;

/// Time that a target must write an answer for until the answer counts as past its start. Requests
/// that crash their targets do so within the first events.
const START_DURATION: Millis = Millis::new(300);
/// Longest time that one event adds to the time of writing. What arrives after a longer pause, such
/// as a suspension of this daemon, may have been written at the start.
const MAX_EVENT_INTERVAL: Millis = Millis::new(100);

/// The phase of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPhase {
    /// The target had not begun to answer a request that was sent at this time, as far as is known
    /// here: a crash may also take the start of an answer along.
    Waiting(Millis),
    /// The target began to answer at this time, and has not written for long.
    Starting(Millis),
    /// The target is past the start of an answer that began at this time.
    Writing(Millis),
}

impl AnswerPhase {
    /// Returns since when the request may have been crashing its target; `None` if the answer is past
    /// its start.
    #[must_use]
    pub const fn suspect_since(self) -> Option<Millis> {
        match self {
            Self::Waiting(since) | Self::Starting(since) => Some(since),
            Self::Writing(_) => None,
        }
    }

    /// Returns what the loss of the target says of it.
    #[must_use]
    pub const fn loss_cause(self) -> LossCause {
        match self {
            Self::Waiting(_) => LossCause::Unclear,
            Self::Starting(_) | Self::Writing(_) => LossCause::Crash,
        }
    }

    /// Returns the name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Waiting(_) => "waiting",
            Self::Starting(_) => "starting",
            Self::Writing(_) => "writing",
        }
    }
}

/// Measures for how long a target has written an answer.
#[derive(Debug, Clone, Copy)]
pub struct AnswerProgress {
    began: Millis,
    last: Millis,
    written: Millis,
}

impl AnswerProgress {
    /// Creates the progress of an answer whose head arrives now.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            began: now,
            last: now,
            written: Millis::ZERO,
        }
    }

    /// Records an event. Returns whether it is the one with which the answer is past its start.
    pub fn note_event(&mut self, now: Millis) -> bool {
        let before = self.written;
        self.written = before + (now - self.last).min(MAX_EVENT_INTERVAL);
        self.last = now;
        before < START_DURATION && self.written >= START_DURATION
    }

    /// Returns the phase of the answer.
    #[must_use]
    pub fn phase(&self) -> AnswerPhase {
        if self.written < START_DURATION {
            AnswerPhase::Starting(self.began)
        } else {
            AnswerPhase::Writing(self.began)
        }
    }
}
