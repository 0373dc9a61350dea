//! Decides what follows an attempt to have a target answer a request.

use thistlesill_core::ErrorKind;

/// Result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of the request was sent.
    NotSent,
    /// The target promised that the request was not run and never will be.
    NotRun,
    /// The request ran, and the target answered with a failure of its own.
    Failed,
    /// The request was sent and there is no usable answer; it may have run.
    MayHaveRun,
    /// The request was sent and its deadline has passed.
    Late,
}

impl Outcome {
    /// Returns the outcome's name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::MayHaveRun => "may_have_run",
            Self::Late => "late",
        }
    }
}

/// Counts of the attempts made for one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts of which at least one byte was sent.
    pub sent: u32,
    /// Attempts of which nothing was sent.
    pub unsent: u32,
    /// Whether any of the attempts may have run.
    pub may_have_run: bool,
    /// The part of `sent` that other daemons made, before they passed the request on.
    pub before: u32,
}

impl Attempts {
    /// Returns the attempts of a request that another daemon passes on after `sent` attempts.
    #[must_use]
    pub const fn passed_on(sent: u32, may_have_run: bool) -> Self {
        Self {
            sent,
            unsent: 0,
            may_have_run,
            before: sent,
        }
    }

    const fn record(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::NotSent => self.unsent += 1,
            Outcome::NotRun => self.sent += 1,
            Outcome::Failed | Outcome::MayHaveRun | Outcome::Late => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns how a request ends whose last attempt had this outcome.
    const fn end(&self, outcome: Outcome) -> NextStep {
        match outcome {
            Outcome::Failed => NextStep::Forward,
            Outcome::Late => NextStep::Fail(ErrorKind::LateAnswer),
            _ if self.may_have_run => NextStep::Fail(ErrorKind::SentUnknown),
            Outcome::NotSent | Outcome::NotRun => NextStep::Fail(ErrorKind::TargetRefused),
            Outcome::MayHaveRun => NextStep::Fail(ErrorKind::SentUnknown),
        }
    }

    /// Returns whether another daemon passed the request on and this one has sent it nowhere, so that
    /// a further daemon may be asked instead.
    #[must_use]
    pub const fn may_be_declined(&self) -> bool {
        self.before > 0 && self.sent == self.before
    }
}

/// Number of attempts that may fail before anything was sent; each costs a connection.
const MAX_UNSENT: u32 = 3;

/// The step that follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Try another target.
    Retry,
    /// Pass the target's failure on to the caller.
    Forward,
    /// Answer the caller with an error.
    Fail(ErrorKind),
}

/// Records the outcome of an attempt and decides the next step.
///
/// `repeatable` says whether the request may run more than once, and `allowed` to how many targets
/// it may be sent. `take_retry` takes a retry out of the retry budget and returns whether there was one
/// left.
pub fn next_step(
    outcome: Outcome,
    attempts: &mut Attempts,
    repeatable: bool,
    allowed: u32,
    take_retry: impl FnOnce() -> bool,
) -> NextStep {
    attempts.record(outcome);
    let again = match outcome {
        Outcome::NotSent => attempts.unsent <= MAX_UNSENT,
        Outcome::NotRun => attempts.sent < allowed && take_retry(),
        Outcome::Failed | Outcome::MayHaveRun => {
            repeatable && attempts.sent < allowed && take_retry()
        }
        Outcome::Late => false,
    };
    if again {
        NextStep::Retry
    } else {
        attempts.end(outcome)
    }
}

/// Records the outcome of an attempt that ended after the deadline of its request, and returns how
/// the request ends.
pub fn last_step(outcome: Outcome, attempts: &mut Attempts) -> NextStep {
    attempts.record(outcome);
    match attempts.end(outcome) {
        NextStep::Fail(ErrorKind::SentUnknown) => NextStep::Fail(ErrorKind::LateAnswer),
        end => end,
    }
}
