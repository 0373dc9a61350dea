//! When a daemon tells its peers how it is.
//!
//! Beats to the own data centre are spaced by its size, and those to all by that of the fleet,
//! so that what each daemon hears does not grow. What the others wait for is not: they take the
//! daemon that forms groups for lost after a second of silence, and read the store themselves.

use thistlesill_core::Millis;

/// The times between two beats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BeatGaps {
    /// To the peers of the own data centre.
    pub near: Millis,
    /// To all peers.
    pub all: Millis,
    /// To the daemon that forms groups.
    pub planner: Millis,
    /// Between two accounts of what callers ask for.
    pub asked: Millis,
}

/// What is to be told now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DueBeat {
    /// How this daemon is, to all.
    All,
    /// The same, to its data centre.
    Near,
    /// The same, to the daemon that forms groups if that is elsewhere.
    Planner,
    /// What callers ask for.
    Asked,
    /// Nothing before this moment.
    Wait(Millis),
}

/// When each kind of beat was last told.
#[derive(Debug, Clone)]
pub struct BeatSchedule {
    near: Millis,
    all: Option<Millis>,
    planner: Millis,
    asked: Millis,
}

impl BeatSchedule {
    /// A schedule that begins with a gap.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            near: now,
            all: None,
            planner: now,
            asked: now,
        }
    }

    /// What is to be told now, which counts as told. All peers are told when the list of them
    /// is there, and not before.
    pub fn next(&mut self, gaps: &BeatGaps, listed: bool, now: Millis) -> DueBeat {
        let all = self.all.map_or(now, |at| at + gaps.all);
        if listed && now >= all {
            (self.all, self.near, self.planner) = (Some(now), now, now);
            return DueBeat::All;
        }
        if now >= self.near + gaps.near {
            self.near = now;
            return DueBeat::Near;
        }
        if now >= self.planner + gaps.planner {
            self.planner = now;
            return DueBeat::Planner;
        }
        if now >= self.asked + gaps.asked {
            self.asked = now;
            return DueBeat::Asked;
        }
        let next = (self.near + gaps.near).min(self.planner + gaps.planner);
        let next = next.min(self.asked + gaps.asked);
        DueBeat::Wait(if listed { next.min(all) } else { next })
    }
}
