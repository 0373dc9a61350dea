//! The state charts, read from the files in `charts/` at build time and
//! checked when a daemon starts.

use thistlesill_core::chart::{Chart, ChartError};
use thistlesill_core::symbols;

symbols! {
    /// Where a request stands.
    RequestState {
        /// Read, nothing decided.
        Arrived = "arrived",
        /// Its claim is under way.
        Claiming = "claiming",
        /// Waits to be sent.
        Queued = "queued",
        /// Sent, no token yet.
        Sent = "sent",
        /// Tokens arrive.
        Streaming = "streaming",
        /// Has its final answer.
        Ended = "ended",
    }
}

symbols! {
    /// What happens to a request.
    RequestEvent {
        /// A claim is asked for.
        Claim = "claim",
        /// It joins the queue.
        Queue = "queue",
        /// It goes to a target.
        Send = "send",
        /// A token arrives.
        Token = "token",
        /// It may be sent again.
        Requeue = "requeue",
        /// Its answer is whole.
        Finish = "finish",
        /// It gets an error.
        Fail = "fail",
    }
}

symbols! {
    /// Where a claim stands.
    ClaimState {
        /// Not written yet.
        Waiting = "waiting",
        /// A transaction is under way.
        Writing = "writing",
        /// The row must be read to know.
        Unsure = "unsure",
        /// The key is ours.
        Granted = "granted",
        /// The key belongs to another request.
        Taken = "taken",
        /// Given up.
        Refused = "refused",
    }
}

symbols! {
    /// What happens to a claim.
    ClaimEvent {
        /// It goes into a transaction.
        Write = "write",
        /// The transaction committed.
        Committed = "committed",
        /// The row existed.
        Conflict = "conflict",
        /// The answer was lost.
        Lost = "lost",
        /// The row holds this request.
        Mine = "mine",
        /// The row holds another request.
        Other = "other",
        /// There is no row.
        None = "none",
        /// Time is up.
        GiveUp = "give_up",
    }
}

symbols! {
    /// Where a planner stands with a hall's lease.
    LeaseState {
        /// Another holds it, or nobody.
        Watching = "watching",
        /// Asked for it.
        Asking = "asking",
        /// Asked, and the answer was lost.
        Unsure = "unsure",
        /// Holds it.
        Holding = "holding",
        /// Holds it and asked to renew.
        Renewing = "renewing",
        /// Holds it; the answer to a renewal was lost.
        Doubting = "doubting",
    }
}

symbols! {
    /// What happens to a lease.
    LeaseEvent {
        /// A write is sent.
        Ask = "ask",
        /// The write took effect.
        Granted = "granted",
        /// Another holds it.
        Denied = "denied",
        /// The answer was lost.
        Lost = "lost",
        /// Our time is over.
        Lapse = "lapse",
        /// We gave it up.
        Release = "release",
    }
}

symbols! {
    /// Where a planned group stands.
    GroupState {
        /// In the table.
        Planned = "planned",
        /// Its members load.
        Loading = "loading",
        /// All members are ready.
        Serving = "serving",
        /// Takes no new requests.
        Draining = "draining",
        /// To be taken out of the plan.
        Ended = "ended",
    }
}

symbols! {
    /// What happens to a planned group.
    GroupEvent {
        /// All members took their orders.
        Taken = "taken",
        /// All members are ready.
        Complete = "whole",
        /// It is to stop without cutting streams.
        Drain = "drain",
        /// No streams are left, or their time is up.
        Emptied = "emptied",
        /// It is to end at once.
        End = "end",
    }
}

symbols! {
    /// Where a stopping daemon stands.
    DrainState {
        /// Not stopping.
        Serving = "serving",
        /// Fails its health check, still accepts.
        Failing = "failing",
        /// Accepts nothing new.
        Closing = "closing",
        /// May exit.
        Done = "done",
    }
}

symbols! {
    /// What happens to a stopping daemon.
    DrainEvent {
        /// It is told to stop.
        Stop = "stop",
        /// The balancer has had time to notice.
        BalancerPassed = "balancer_passed",
        /// Nothing is under way.
        Idle = "idle",
        /// The time for streams is over.
        Timeout = "timeout",
    }
}

/// The checked charts.
#[derive(Debug, Clone)]
pub struct Charts {
    /// Of a request.
    pub request: Chart<RequestState, RequestEvent>,
    /// Of a claim.
    pub claim: Chart<ClaimState, ClaimEvent>,
    /// Of a lease.
    pub lease: Chart<LeaseState, LeaseEvent>,
    /// Of a group.
    pub group: Chart<GroupState, GroupEvent>,
    /// Of a stopping daemon.
    pub drain: Chart<DrainState, DrainEvent>,
}

impl Charts {
    /// Reads and checks all charts.
    ///
    /// # Errors
    ///
    /// The first [`ChartError`] found.
    pub fn load() -> Result<Self, ChartError> {
        Ok(Self {
            request: Chart::parse("request", include_str!("../../../charts/request.jsonc"))?,
            claim: Chart::parse("claim", include_str!("../../../charts/claim.jsonc"))?,
            lease: Chart::parse("lease", include_str!("../../../charts/lease.jsonc"))?,
            group: Chart::parse("group", include_str!("../../../charts/group.jsonc"))?,
            drain: Chart::parse("drain", include_str!("../../../charts/drain.jsonc"))?,
        })
    }
}
