//! The datagrams between daemons.

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::{Evacuations, GroupRef, TargetId};
use thistlesill_core::{Fingerprint, HallId, Millis, Model, NodeId, ServiceName, Verdict};
use thistlesill_policy::edge::feed::Batch;
use thistlesill_policy::edge::limit::{Grant, LimitUpdate};
use thistlesill_policy::edge::load::Work;
use thistlesill_policy::edge::returns::CallerReport;
use thistlesill_policy::edge::shortage::RankedRequest;
use thistlesill_policy::lease::LeaseSnapshot;
use thistlesill_policy::quarantine::{LossCause, Refutation};

use crate::ranking::Ranking;

/// One datagram, encoded by postcard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// The sender's state; goes to all daemons.
    Heartbeat(Box<Heartbeat>),
    /// Asks a daemon that reads the store for a proof of freshness.
    FreshnessRequest(FreshnessRequest),
    /// The answer to [`Packet::FreshnessRequest`].
    FreshnessReply(FreshnessReply),
    /// Changes of targets.
    Changes(Changes),
    /// Asks the owner of a scope for a target.
    Place(PlaceRequest),
    /// The answer to [`Packet::Place`].
    Placed(PlaceReply),
    /// The sender's requests by target; goes to the owner of the targets whose requests changed.
    Counts(Counts),
    /// All work at the targets of an owner; goes to the daemons of its data centre, and to the
    /// owners in other data centres.
    Totals(Totals),
    /// The demand of the sender's callers; goes to the planner.
    DemandReport(DemandReport),
    /// Targets that the sender lost, and the requests that were there; goes to all daemons.
    Lost(Vec<(Fingerprint, TargetId)>),
    /// Verdicts on requests that crash targets; goes to all daemons, or to the daemon that asked.
    Verdicts(Vec<Verdict>),
    /// Asks for all verdicts, on behalf of the named daemon.
    VerdictsRequest(NodeId),
    /// Limits of targets; goes to all daemons.
    Limits(LimitUpdates),
    /// A target that announced that it leaves; goes to all daemons.
    Leaving(TargetId),
    /// Asks the bucket owner of a target whether a request may be sent there.
    GrantRequest(GrantRequest),
    /// The answer to [`Packet::GrantRequest`].
    Grant(GrantReply),
    /// Services to whose targets the sender has lost its own links; goes to all daemons while there
    /// are any, and once when there are none any more.
    LinksLost(LostLinks),
    /// Parts of prompts that targets were starting to answer when the sender lost them; goes to all
    /// daemons.
    PartsLost(Vec<PartLoss>),
    /// The urgency of the demand of the sender's callers; goes to the planner with each
    /// [`Packet::DemandReport`] if some service ranks its callers.
    UrgentDemand(UrgentDemand),
    /// Asks the owner of a scope for a target and a decision on the admission of the request.
    PlaceRanked(Box<RankedPlaceRequest>),
    /// The answer to [`Packet::PlaceRanked`].
    PlacedRanked(RankedPlaceReply),
    /// Losses of targets that did not crash; goes to all daemons.
    LossesRefuted(Vec<Refutation<TargetId>>),
    /// Callers that the sender refused, or served after a refusal; goes to the other owners of the
    /// same service and model.
    RefusedCallers(RefusedCallers),
    /// As [`Packet::PartsLost`], where nothing of an answer had arrived, so that the targets may live.
    UnclearPartsLost(Vec<PartLoss>),
    /// As [`Packet::PartsLost`], where the targets fell silent and were found to have ended later.
    SilentPartsLost(Vec<PartLoss>),
}

impl Packet {
    /// Creates the datagram with losses of parts that have this cause.
    pub(crate) const fn parts_lost(lost: Vec<PartLoss>, cause: LossCause) -> Self {
        match cause {
            LossCause::Crash => Self::PartsLost(lost),
            LossCause::Unclear => Self::UnclearPartsLost(lost),
            LossCause::Silence => Self::SilentPartsLost(lost),
        }
    }

    /// Returns the name of the datagram's kind in logs and metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::FreshnessRequest(_) => "ask",
            Self::FreshnessReply(_) => "vouch",
            Self::Changes(_) => "changes",
            Self::Place(_) => "place",
            Self::Placed(_) => "placed",
            Self::Counts(_) => "counts",
            Self::Totals(_) => "totals",
            Self::DemandReport(_) => "asked",
            Self::Lost(_) => "lost",
            Self::Verdicts(_) => "verdicts",
            Self::VerdictsRequest(_) => "ask_verdicts",
            Self::Limits(_) => "limits",
            Self::Leaving(_) => "leaving",
            Self::GrantRequest(_) => "ask_grant",
            Self::Grant(_) => "grant",
            Self::LinksLost(_) => "links_lost",
            Self::PartsLost(_) => "parts_lost",
            Self::UnclearPartsLost(_) => "unclear_parts_lost",
            Self::SilentPartsLost(_) => "silent_parts_lost",
            Self::UrgentDemand(_) => "urgent_demand",
            Self::PlaceRanked(_) => "place_ranked",
            Self::PlacedRanked(_) => "placed_ranked",
            Self::LossesRefuted(_) => "losses_refuted",
            Self::RefusedCallers(_) => "refused_callers",
        }
    }
}

/// Reports on callers of one service and model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RefusedCallers {
    pub(crate) service: ServiceName,
    pub(crate) model: Option<Model>,
    pub(crate) callers: Vec<CallerReport>,
}

/// A target that was lost with a request whose answer was not past its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PartLoss {
    /// Fingerprint of a part of the prompt.
    pub(crate) part: Fingerprint,
    pub(crate) target: TargetId,
    /// For how long the request may have been crashing the target when the sender sent this.
    pub(crate) suspect_for: Millis,
}

/// How a daemon follows the store, ordered by how much other daemons prefer to depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum StoreUse {
    /// The daemon reads the store itself.
    Reads,
    /// The daemon asks its peers.
    Asks,
    /// The store did not answer the daemon's last request.
    Unreachable,
}

/// The state that a daemon sends to its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Heartbeat {
    pub(crate) from: NodeId,
    /// A random number that differs with each start of the sender.
    pub(crate) boot: u64,
    pub(crate) hall: HallId,
    /// How the sender follows the store.
    pub(crate) store: StoreUse,
    /// Bandwidth of the network connection of the sender's instance, in Mbit/s.
    pub(crate) link: u32,
    /// Whether the sender forms groups.
    pub(crate) plans: bool,
    /// Whether any caller has sent a request since the sender's start.
    pub(crate) busy: bool,
    /// Whether the sender may own scopes: it is not stopping, and has received its peers' load.
    pub(crate) owns: bool,
    /// The sender's requests by target.
    pub(crate) counts: Vec<(TargetId, Work)>,
    /// Targets that stopped answering the sender.
    pub(crate) suspects: Vec<TargetId>,
    /// The suspected targets that still send streams to the sender.
    pub(crate) streaming: Vec<TargetId>,
    /// Targets whose streams are slow.
    pub(crate) slow: Vec<TargetId>,
    /// As planner: the lease.
    pub(crate) lease: Option<LeaseSnapshot>,
    /// As planner: targets that answered no probe.
    pub(crate) unresponsive: Vec<TargetId>,
    /// Groups whose members may be joined late; `None` if the sender does not know of all.
    pub(crate) late_joins: Option<Vec<GroupRef>>,
    /// What the sender itself has recently read of the targets.
    pub(crate) targets: Option<KnownTargets>,
    /// Digest of the verdicts that the sender knows; 0 without any.
    pub(crate) verdicts: u64,
}

/// Asks for a target for one request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlaceRequest {
    pub(crate) from: NodeId,
    /// Number of the request, repeated in the reply.
    pub(crate) id: u64,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<Model>,
    /// Number of tokens of the prompt.
    pub(crate) prompt: u32,
    /// The latency objective.
    pub(crate) aim: Millis,
    /// Whether the caller may be asked to retry later.
    pub(crate) first: bool,
    /// Targets that the request was sent to before, and those that the sender avoids.
    pub(crate) avoid: Vec<TargetId>,
}

/// The decision of an owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlaceReply {
    pub(crate) from: NodeId,
    /// The number in the [`PlaceRequest`].
    pub(crate) id: u64,
    pub(crate) placement: Placement,
}

/// Asks for a target for one request of a service that ranks its callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RankedPlaceRequest {
    pub(crate) request: PlaceRequest,
    pub(crate) ranked: RankedRequest,
}

/// The decision of an owner on a request of a service that ranks its callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RankedPlaceReply {
    pub(crate) reply: PlaceReply,
    /// `None` if no target may get the request now, so that nothing was decided.
    pub(crate) ranking: Option<Ranking>,
}

/// Whether a request that was placed at a target still needs a grant under the target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Permit {
    /// No grant is needed: the daemon that placed the request knows of no limit.
    NotNeeded,
    /// The daemon that placed the request owns the target's bucket and has granted the request.
    Granted,
    /// Another daemon owns the target's bucket and must grant the request.
    Needed,
}

/// Where a request goes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Placement {
    /// To this target; the owner counts the request there from now on.
    At(TargetId, Permit),
    /// Nowhere now: the request would begin too late by this much, or is refused by its rank and may
    /// be retried after this time.
    Overloaded(Millis),
    /// Nowhere now: no target takes the request before this time is over.
    Unavailable(Millis),
    /// Nowhere: no target serves the model or service.
    NoTarget,
}

/// Limits of targets as a daemon knows them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LimitUpdates {
    pub(crate) from: NodeId,
    pub(crate) list: Vec<LimitUpdate>,
}

/// Asks a target's bucket owner whether a request may be sent there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GrantRequest {
    pub(crate) from: NodeId,
    /// Number of the request, repeated in the reply.
    pub(crate) id: u64,
    pub(crate) target: TargetId,
    /// What the sender knows of the target's limit.
    pub(crate) known: Option<LimitUpdate>,
}

/// The decision of a bucket owner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GrantReply {
    pub(crate) from: NodeId,
    /// The number in the [`GrantRequest`].
    pub(crate) id: u64,
    pub(crate) grant: Grant,
    /// What the owner knows of the target's limit.
    pub(crate) known: Option<LimitUpdate>,
}

/// The services to whose targets a daemon has lost its own links.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct LostLinks {
    pub(crate) from: NodeId,
    pub(crate) services: Vec<ServiceName>,
}

/// A daemon's requests by target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Counts {
    pub(crate) from: NodeId,
    pub(crate) counts: Vec<(TargetId, Work)>,
}

/// All work at some targets, as their owner knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Totals {
    pub(crate) list: Vec<(TargetId, Work)>,
}

/// The point up to which a daemon knows all changes of targets.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct KnownTargets {
    /// The version of the newest change.
    pub(crate) newest: u64,
    /// How long ago the sender asked the store for that change.
    pub(crate) age: Millis,
}

/// The work that callers ask a daemon for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct DemandReport {
    pub(crate) from: NodeId,
    /// Work by service and model; 1 keeps one group fully busy.
    pub(crate) work: Vec<(ServiceName, Model, f32)>,
}

/// The urgency of the work that callers ask a daemon for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct UrgentDemand {
    pub(crate) from: NodeId,
    /// Priority of the customer and of the route, by service and model.
    pub(crate) work: Vec<(ServiceName, Model, u8, u8)>,
}

/// Asks how fresh another daemon's knowledge is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FreshnessRequest {
    pub(crate) from: NodeId,
    /// Number of the request, repeated in the reply.
    pub(crate) id: u64,
    /// The version of the targets that the sender knows.
    pub(crate) targets: u64,
}

/// Proof that a catalog was the newest at a certain time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct FreshnessReply {
    /// The daemon that sends the proof and has that catalog.
    pub(crate) from: NodeId,
    /// The number in the [`FreshnessRequest`].
    pub(crate) id: u64,
    /// The version of the catalog that was the newest.
    pub(crate) catalog: u64,
    /// The age of the proof when the reply was sent. When the request was sent, the proof was at
    /// most as old, however long the datagrams took.
    pub(crate) age: Millis,
    /// A daemon that knows the targets at an older version must read all of them.
    pub(crate) floor: u64,
    /// The data centres that are evacuated, as of that proof or later.
    pub(crate) evacuated: Evacuations,
}

/// Changes of targets that a daemon sends or forwards.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) batch: Batch,
    /// The daemon that sent or forwarded the changes, and can be asked for missed ones.
    pub(crate) from: NodeId,
    /// The daemons that the receiver forwards the changes to.
    pub(crate) forwarding: Forwarding,
}

/// The daemons that the receiver forwards changes to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Forwarding {
    /// None.
    Nobody,
    /// All daemons of the receiver's data centre.
    Hall,
    /// These daemons.
    To(Vec<NodeId>),
}
