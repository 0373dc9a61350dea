//! The state charts, which are embedded from the files in `charts/` at build time and checked when
//! a daemon starts.

use thistlesill_core::chart::{Chart, ChartError};
use thistlesill_core::symbols;

symbols! {
    /// The state of a request.
    RequestState {
        /// Received; nothing has been decided.
        Arrived = "arrived",
        /// The claim on its key is in flight.
        Claiming = "claiming",
        /// Waits to be sent to a target.
        Queued = "queued",
        /// Sent to a target; no token has arrived.
        Sent = "sent",
        /// Tokens are arriving.
        Streaming = "streaming",
        /// Has its final answer.
        Ended = "ended",
    }
}

symbols! {
    /// An event in the life cycle of a request.
    RequestEvent {
        /// A claim was requested.
        Claim = "claim",
        /// The request joined the queue.
        Queue = "queue",
        /// The request was sent to a target.
        Send = "send",
        /// A token arrived.
        Token = "token",
        /// The request may be sent again.
        Requeue = "requeue",
        /// The answer is complete.
        Finish = "finish",
        /// The request ends with an error.
        Fail = "fail",
    }
}

symbols! {
    /// The state of a claim.
    ClaimState {
        /// Not written yet.
        Waiting = "waiting",
        /// A transaction that inserts the row is in flight.
        Writing = "writing",
        /// The row has to be read to decide the claim.
        Unsure = "unsure",
        /// The request owns the key.
        Granted = "granted",
        /// Another request owns the key.
        Taken = "taken",
        /// Given up before it was decided.
        Refused = "refused",
    }
}

symbols! {
    /// An event in the life cycle of a claim.
    ClaimEvent {
        /// The claim was put into a transaction.
        Write = "write",
        /// The transaction committed.
        Committed = "committed",
        /// The row existed already.
        Conflict = "conflict",
        /// The answer to the transaction was lost.
        Lost = "lost",
        /// The row that was read holds this request.
        Mine = "mine",
        /// The row that was read holds another request.
        Other = "other",
        /// There is no row.
        None = "none",
        /// The claim took too long or its caller disconnected.
        GiveUp = "give_up",
    }
}

symbols! {
    /// The state of a planner with regard to the lease of a hall.
    LeaseState {
        /// Another planner holds the lease, or none does.
        Watching = "watching",
        /// A takeover is in flight.
        Asking = "asking",
        /// The answer to a takeover was lost.
        Unsure = "unsure",
        /// This planner holds the lease.
        Holding = "holding",
        /// Holds the lease; a renewal is in flight.
        Renewing = "renewing",
        /// Holds the lease; the answer to a renewal was lost.
        Doubting = "doubting",
    }
}

symbols! {
    /// An event in the life cycle of a lease.
    LeaseEvent {
        /// A takeover or renewal was sent.
        Ask = "ask",
        /// The write took effect.
        Granted = "granted",
        /// Another planner holds the lease.
        Denied = "denied",
        /// The answer to the write was lost.
        Lost = "lost",
        /// The lease ran out without a renewal.
        Lapse = "lapse",
        /// This planner gave the lease up.
        Release = "release",
    }
}

symbols! {
    /// The state of a planned group.
    GroupState {
        /// In the plan; not all members have taken their orders.
        Planned = "planned",
        /// All members have taken their orders, and some still load weights.
        Loading = "loading",
        /// All members are ready.
        Serving = "serving",
        /// Takes no new requests.
        Draining = "draining",
        /// To be removed from the plan.
        Ended = "ended",
    }
}

symbols! {
    /// An event in the life cycle of a planned group.
    GroupEvent {
        /// All members took their orders.
        Taken = "taken",
        /// All members are ready.
        Complete = "whole",
        /// The group has to end without cutting off streams.
        Drain = "drain",
        /// No streams are left, or the drain reached its time limit.
        Emptied = "emptied",
        /// The group has to end at once.
        End = "end",
    }
}

symbols! {
    /// The state of a daemon's shutdown.
    DrainState {
        /// Not stopping.
        Serving = "serving",
        /// Fails its health check and still accepts requests.
        Failing = "failing",
        /// Accepts no new requests.
        Closing = "closing",
        /// May exit.
        Done = "done",
    }
}

symbols! {
    /// An event in the shutdown of a daemon.
    DrainEvent {
        /// The daemon has to stop.
        Stop = "stop",
        /// Load balancers have had time to notice the failing health check.
        BalancerPassed = "balancer_passed",
        /// No request is in flight.
        Idle = "idle",
        /// The time limit for requests in flight was reached.
        Timeout = "timeout",
    }
}

/// All state charts, parsed and checked.
#[derive(Debug, Clone)]
pub struct Charts {
    /// The chart of a request.
    pub request: Chart<RequestState, RequestEvent>,
    /// The chart of a claim.
    pub claim: Chart<ClaimState, ClaimEvent>,
    /// The chart of a lease.
    pub lease: Chart<LeaseState, LeaseEvent>,
    /// The chart of a planned group.
    pub group: Chart<GroupState, GroupEvent>,
    /// The chart of a daemon's shutdown.
    pub drain: Chart<DrainState, DrainEvent>,
}

impl Charts {
    /// Parses and checks all charts.
    ///
    /// # Errors
    ///
    /// Returns the first [`ChartError`] found.
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
