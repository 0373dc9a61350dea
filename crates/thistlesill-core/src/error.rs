//! The closed list of error kinds, and the table from kind to answer.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Whether the request behind an error ran at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It truly did not run, and never will.
    No,
    /// It may have run.
    Unknown,
    /// It ran.
    Yes,
}

/// When the caller should come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// The same request will fail again.
    Never,
    /// Try again after this time, unless a better estimate is at hand.
    After(Millis),
}

/// The answer that belongs to an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry: Retry,
    /// One sentence for the caller.
    pub text: &'static str,
}

/// Defines the kinds and their answers in one table.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $ran:ident, $retry:expr, $text:literal;)*) => {
        /// Every kind of error that a caller, operator or peer can meet.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The stable name of the kind, as callers see it.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// The answer that belongs to the kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer { status: $status, ran: Ran::$ran, retry: $retry, text: $text },)*
                }
            }
        }
    };
}

const NEVER: Retry = Retry::Never;
const SOON: Retry = Retry::After(Millis::new(1_000));
const LATER: Retry = Retry::After(Millis::new(5_000));

error_kinds! {
    /// The request could not be understood.
    BadRequest = "bad_request", 400, No, NEVER, "The request is malformed.";
    /// No or a wrong token.
    Unauthorized = "unauthorized", 401, No, NEVER, "The token is missing or unknown.";
    /// The path does not exist.
    NotFound = "not_found", 404, No, NEVER, "There is nothing at this path.";
    /// The model is not served to this customer.
    UnknownModel = "unknown_model", 404, No, NEVER, "No branch of the settings serves this model.";
    /// The body exceeds its limit.
    BodyTooLarge = "body_too_large", 413, No, NEVER, "The body is larger than allowed.";
    /// The head exceeds its limit.
    HeadTooLarge = "head_too_large", 431, No, NEVER, "The header section is larger than allowed.";
    /// The first bytes came too late.
    SlowCaller = "slow_caller", 408, No, SOON, "The request did not arrive in time.";
    /// The customer uses its whole share and the fleet is full.
    OverShare = "over_share", 429, No, SOON, "The customer's share is in use.";
    /// All queues are full.
    Overloaded = "overloaded", 503, No, SOON, "All groups are at their limit.";
    /// No complete group serves the model now.
    NoGroup = "no_group", 503, No, LATER, "No complete group serves this model now.";
    /// Targets were lost under this request, one after the other.
    Withheld = "withheld", 503, No, LATER, "Targets were lost while they ran this request; it is withheld for a while.";
    /// The daemon is stopping or has no settings yet.
    NotReady = "not_ready", 503, No, SOON, "This entry instance takes no requests now.";
    /// The deadline passed before anything was sent.
    DeadlinePassed = "deadline_passed", 504, No, SOON, "The deadline passed before the request was sent.";
    /// Every attempt was refused by the targets or could not be sent.
    TargetRefused = "target_refused", 503, No, SOON, "The targets took no request.";
    /// The retry budget was used up while nothing had been sent.
    RetryBudget = "retry_budget", 503, No, LATER, "Too many retries are under way.";
    /// The connection broke after sending, with no answer.
    SentUnknown = "sent_unknown", 502, Unknown, NEVER, "The target was lost after the request was sent; it may have run.";
    /// The answer broke off and could not be continued.
    StreamLost = "stream_lost", 502, Unknown, NEVER, "The answer broke off; the request may have run.";
    /// The deadline passed after the request was sent.
    LateAnswer = "late_answer", 504, Unknown, NEVER, "The deadline passed; the request may have run.";
    /// The target's answer could not be understood.
    BadTarget = "bad_target", 502, Unknown, NEVER, "The target's answer was malformed; the request may have run.";
    /// The target refused the request as malformed.
    TargetDenied = "target_denied", 422, No, NEVER, "The target does not take this request.";
    /// A request that may run once only came without a key.
    KeyRequired = "key_required", 400, No, NEVER, "This request needs an Idempotency-Key header.";
    /// The key was used with another body.
    KeyReused = "key_reused", 422, No, NEVER, "The Idempotency-Key was used for another request.";
    /// Another request holds the key and has no recorded outcome.
    KeyHeld = "key_held", 409, Unknown, LATER, "A request with this Idempotency-Key may be running or have run.";
    /// The claim could not be written, so nothing was sent.
    ClaimDown = "claim_down", 503, No, LATER, "The claim store is out of reach; the request was not run.";
    /// The settings were changed since the revision an edit was made against.
    Conflict = "conflict", 409, No, NEVER, "The settings have moved on since that revision.";
    /// The settings do not pass their check.
    BadSettings = "bad_settings", 422, No, NEVER, "The settings do not pass their check.";
    /// The platform's service is out of reach.
    StoreDown = "store_down", 503, Unknown, LATER, "The platform's service is out of reach.";
    /// A fault of the system itself.
    Internal = "internal", 500, Unknown, NEVER, "A fault of the system; the request may have run.";
}

impl std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// The body of an error answer, in the shape that `OpenAI` clients read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong, whether the request ran, and when to come back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The kind.
    pub code: ErrorKind,
    /// One sentence.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Milliseconds after which to try again, if at all.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Makes the body of a kind, with a better estimate of `after` if known.
    pub fn new(kind: ErrorKind, after: Option<Millis>) -> Self {
        let answer = kind.answer();
        let stated = match answer.retry {
            Retry::Never => None,
            Retry::After(ms) => Some(after.unwrap_or(ms).get()),
        };
        Self {
            error: ErrorDetail {
                code: kind,
                message: answer.text.to_owned(),
                ran: answer.ran,
                retry_after_ms: stated,
            },
        }
    }

    /// Replaces the sentence by a more exact one.
    #[must_use]
    pub fn message(mut self, text: impl Into<String>) -> Self {
        self.error.message = text.into();
        self
    }
}
