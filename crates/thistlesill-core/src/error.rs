//! All kinds of errors, and the answer that callers get for each of them.

use serde::{Deserialize, Serialize};

use crate::Millis;

/// Whether a request that ended with an error was executed by a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request was not executed and never will be.
    No,
    /// The request may have been executed.
    Unknown,
    /// The request was executed.
    Yes,
}

/// When the caller should retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Retry {
    /// The same request would fail again.
    Never,
    /// The caller should retry after this time, unless the error carries a better estimate.
    After(Millis),
}

/// The answer to a request that ends with an error of some kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request was executed.
    pub ran: Ran,
    /// When the caller should retry.
    pub retry: Retry,
    /// Description of the error for the caller, in one sentence.
    pub text: &'static str,
}

/// Defines the error kinds and their answers in one table.
macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal, $status:literal, $ran:ident, $retry:expr, $text:literal;)*) => {
        /// The kind of an error that a caller, operator or peer can receive.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds in the order of their definition.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the stable name of the kind, which callers receive as the error code.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$kind => $name,)* }
            }

            /// Returns the answer for errors of this kind.
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
    /// The token is missing or wrong.
    Unauthorized = "unauthorized", 401, No, NEVER, "The token is missing or unknown.";
    /// The path does not exist.
    NotFound = "not_found", 404, No, NEVER, "There is nothing at this path.";
    /// No branch of the settings serves the model to this customer.
    UnknownModel = "unknown_model", 404, No, NEVER, "No branch of the settings serves this model.";
    /// The body exceeds its size limit.
    BodyTooLarge = "body_too_large", 413, No, NEVER, "The body is larger than allowed.";
    /// The header section exceeds its size limit.
    HeadTooLarge = "head_too_large", 431, No, NEVER, "The header section is larger than allowed.";
    /// The request did not arrive within its time limit.
    SlowCaller = "slow_caller", 408, No, SOON, "The request did not arrive in time.";
    /// The customer uses its whole share and the fleet is at capacity.
    OverShare = "over_share", 429, No, SOON, "The customer's share is in use.";
    /// All queues are full, or all targets are at their limits.
    Overloaded = "overloaded", 503, No, SOON, "All groups are at their limit.";
    /// No complete group serves the model now.
    NoGroup = "no_group", 503, No, LATER, "No complete group serves this model now.";
    /// Several targets in a row were lost while they ran this request.
    Withheld = "withheld", 503, No, LATER, "Targets were lost while they ran this request; it is withheld for a while.";
    /// The daemon is stopping, has no settings yet, or cannot confirm that they are current.
    NotReady = "not_ready", 503, No, SOON, "This entry instance takes no requests now.";
    /// The deadline passed before the request was sent to a target.
    DeadlinePassed = "deadline_passed", 504, No, SOON, "The deadline passed before the request was sent.";
    /// Every attempt was refused by the target or could not be sent.
    TargetRefused = "target_refused", 503, No, SOON, "The targets took no request.";
    /// The daemon has lost its links to the targets, and no other daemon takes the request.
    Unreached = "unreached", 503, No, SOON, "This entry instance reaches no target of the service now.";
    /// The retry budget was exhausted, and no target can have executed the request.
    RetryBudget = "retry_budget", 503, No, LATER, "Too many retries are under way.";
    /// The connection broke after the request was sent, before an answer arrived.
    SentUnknown = "sent_unknown", 502, Unknown, NEVER, "The target was lost after the request was sent; it may have run.";
    /// The answer broke off and could not be resumed.
    StreamLost = "stream_lost", 502, Unknown, NEVER, "The answer broke off; the request may have run.";
    /// The deadline passed after the request was sent.
    LateAnswer = "late_answer", 504, Unknown, NEVER, "The deadline passed; the request may have run.";
    /// The target's answer could not be decoded.
    BadTarget = "bad_target", 502, Unknown, NEVER, "The target's answer was malformed; the request may have run.";
    /// The target rejected the request as malformed.
    TargetDenied = "target_denied", 422, No, NEVER, "The target does not take this request.";
    /// A request that may be executed only once carries no idempotency key.
    KeyRequired = "key_required", 400, No, NEVER, "This request needs an Idempotency-Key header.";
    /// The idempotency key was used with a different body.
    KeyReused = "key_reused", 422, No, NEVER, "The Idempotency-Key was used for another request.";
    /// Another request holds the idempotency key and has no recorded outcome.
    KeyHeld = "key_held", 409, Unknown, LATER, "A request with this Idempotency-Key may be running or have run.";
    /// The claim of the idempotency key could not be written, so the request was not sent.
    ClaimDown = "claim_down", 503, No, LATER, "The claim store is out of reach; the request was not run.";
    /// The settings have changed since the revision that an edit was based on.
    Conflict = "conflict", 409, No, NEVER, "The settings have moved on since that revision.";
    /// The settings do not pass their validation.
    BadSettings = "bad_settings", 422, No, NEVER, "The settings do not pass their check.";
    /// The platform's service is unreachable.
    StoreDown = "store_down", 503, Unknown, LATER, "The platform's service is out of reach.";
    /// An error inside the system itself.
    Internal = "internal", 500, Unknown, NEVER, "A fault of the system; the request may have run.";
    /// The bodies of other requests take the memory that there is for them.
    MemoryShort = "memory_short", 503, No, SOON, "This entry instance has no memory for the body now.";
}

impl std::fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// The body of an error answer, in the format that `OpenAI` clients expect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The only field of the body.
    pub error: ErrorDetail,
}

/// What went wrong, whether the request was executed, and when to retry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Kind of the error.
    pub code: ErrorKind,
    /// Description in one sentence.
    pub message: String,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Time in milliseconds after which to retry; `None` if a retry would fail again.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Creates the body for a kind of error.
    ///
    /// `after` replaces the kind's usual time until a retry, unless the kind is never retried.
    pub fn new(kind: ErrorKind, after: Option<Millis>) -> Self {
        let answer = kind.answer();
        let delay_ms = match answer.retry {
            Retry::Never => None,
            Retry::After(ms) => Some(after.unwrap_or(ms).get()),
        };
        Self {
            error: ErrorDetail {
                code: kind,
                message: answer.text.to_owned(),
                ran: answer.ran,
                retry_after_ms: delay_ms,
            },
        }
    }

    /// Replaces the description by a more specific one.
    #[must_use]
    pub fn message(mut self, text: impl Into<String>) -> Self {
        self.error.message = text.into();
        self
    }
}
