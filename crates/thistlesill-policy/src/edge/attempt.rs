//! What follows an attempt to have a target answer a request.

use thistlesill_core::ErrorKind;

/// What became of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No byte of it was sent.
    NotSent,
    /// The target promised that it has not run it and never will.
    NotRun,
    /// The target answered with a failure of its own; it ran.
    Failed,
    /// It was sent and there is no usable answer; it may have run.
    MayHaveRun,
    /// The time for the request is up, after it was sent.
    Late,
}

impl Outcome {
    /// The outcome's name in logs and metrics.
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

/// The attempts that were made for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts of which something was sent.
    pub sent: u32,
    /// Attempts that could not be sent.
    pub unsent: u32,
    /// Whether one of them may have run.
    pub may_have_run: bool,
}

/// Attempts that may fail before anything was sent; each costs a connection.
const MAX_UNSENT: u32 = 3;

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Try another target.
    Again,
    /// Hand on the target's failure.
    Deliver,
    /// Answer with an error.
    Fail(ErrorKind),
}

/// Decides what follows an attempt.
///
/// `repeatable` says whether the request may run more than once, `allowed`
/// how many targets it may be sent to, and `spend` takes a retry out of the
/// budget.
pub fn after(
    outcome: Outcome,
    attempts: &mut Attempts,
    repeatable: bool,
    allowed: u32,
    spend: impl FnOnce() -> bool,
) -> Next {
    match outcome {
        Outcome::NotSent => attempts.unsent += 1,
        Outcome::NotRun => attempts.sent += 1,
        Outcome::Failed | Outcome::MayHaveRun | Outcome::Late => {
            attempts.sent += 1;
            attempts.may_have_run = true;
        }
    }
    let again = match outcome {
        Outcome::NotSent => attempts.unsent <= MAX_UNSENT,
        Outcome::NotRun => attempts.sent < allowed && spend(),
        Outcome::Failed | Outcome::MayHaveRun => repeatable && attempts.sent < allowed && spend(),
        Outcome::Late => false,
    };
    if again {
        return Next::Again;
    }
    match outcome {
        Outcome::Failed => Next::Deliver,
        Outcome::Late => Next::Fail(ErrorKind::LateAnswer),
        _ if attempts.may_have_run => Next::Fail(ErrorKind::SentUnknown),
        Outcome::NotSent | Outcome::NotRun => Next::Fail(ErrorKind::TargetRefused),
        Outcome::MayHaveRun => Next::Fail(ErrorKind::SentUnknown),
    }
}
