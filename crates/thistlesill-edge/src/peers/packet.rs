//! Datagrams between daemons.

use serde::{Deserialize, Serialize};
use thistlesill_core::edge::{Evacuations, GroupRef, TargetId};
use thistlesill_core::{Fingerprint, HallId, Millis, Model, NodeId, ServiceName, Verdict};
use thistlesill_policy::edge::feed::Batch;
use thistlesill_policy::edge::limit::{Grant, LimitUpdate};
use thistlesill_policy::edge::load::Work;
use thistlesill_policy::lease::LeaseSnapshot;

/// One datagram.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// How the sender is; goes to all.
    Beat(Box<Beat>),
    /// A question to a daemon that reads the store.
    Ask(Ask),
    /// The answer.
    Vouch(Vouch),
    /// Changes of targets.
    Changes(Changes),
    /// Asks the owner of a scope for a target.
    Place(PlaceAsk),
    /// The answer.
    Placed(PlaceReply),
    /// The sender's requests by target; goes to the owner whose targets' changed.
    Counts(Counts),
    /// All work at the targets of an owner; goes to those of its data centre, and to
    /// the owners of others.
    Totals(Totals),
    /// What callers ask the sender for; goes to the daemon that forms groups.
    Asked(AskedWork),
    /// Targets that the sender lost, and the requests that were there; goes to all.
    Lost(Vec<(Fingerprint, TargetId)>),
    /// What was decided of requests that end targets; goes to all, or to who asked.
    Verdicts(Vec<Verdict>),
    /// Asks for all verdicts, for this daemon.
    AskVerdicts(NodeId),
    /// Limits of targets; go to all.
    Limits(ToldLimits),
    /// Asks a target's keeper whether a request may be sent there.
    AskGrant(GrantAsk),
    /// The answer.
    Grant(GrantReply),
}

impl Packet {
    /// The kind's name in logs and metrics.
    pub(crate) const fn kind(&self) -> &'static str {
        match self {
            Self::Beat(_) => "beat",
            Self::Ask(_) => "ask",
            Self::Vouch(_) => "vouch",
            Self::Changes(_) => "changes",
            Self::Place(_) => "place",
            Self::Placed(_) => "placed",
            Self::Counts(_) => "counts",
            Self::Totals(_) => "totals",
            Self::Asked(_) => "asked",
            Self::Lost(_) => "lost",
            Self::Verdicts(_) => "verdicts",
            Self::AskVerdicts(_) => "ask_verdicts",
            Self::Limits(_) => "limits",
            Self::AskGrant(_) => "ask_grant",
            Self::Grant(_) => "grant",
        }
    }
}

/// What a daemon has to do with the store; in the order in which others prefer
/// to depend on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum StoreUse {
    /// It reads the store itself.
    Reads,
    /// It asks others.
    Asks,
    /// Its last question to the store brought no answer.
    Away,
}

/// What a daemon tells its peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Beat {
    pub(crate) from: NodeId,
    /// Differs with each start of the sender.
    pub(crate) boot: u64,
    pub(crate) hall: HallId,
    /// What it has to do with the store.
    pub(crate) store: StoreUse,
    /// What its machine's connection bears, in Mbit a second.
    pub(crate) link: u32,
    /// Whether it forms groups.
    pub(crate) plans: bool,
    /// Whether any caller has sent a request since its start.
    pub(crate) busy: bool,
    /// Whether it may own scopes: it does not stop, and has heard of its peers' load.
    pub(crate) owns: bool,
    /// Its requests by target.
    pub(crate) counts: Vec<(TargetId, Work)>,
    /// Targets that stopped answering it.
    pub(crate) suspects: Vec<TargetId>,
    /// Those of the suspected targets whose streams to the sender go on.
    pub(crate) going_on: Vec<TargetId>,
    /// Targets whose streams are slow.
    pub(crate) slow: Vec<TargetId>,
    /// As planner: the lease.
    pub(crate) lease: Option<LeaseSnapshot>,
    /// As planner: targets that answered no probe.
    pub(crate) dead: Vec<TargetId>,
    /// Groups whose members may be joined late; `None` if it does not know of all.
    pub(crate) late: Option<Vec<GroupRef>>,
    /// What it read of the targets itself, if it did a short time ago.
    pub(crate) targets: Option<KnownTargets>,
    /// Digest of the verdicts that it knows; 0 without any.
    pub(crate) verdicts: u64,
}

/// Asks for a target for one request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlaceAsk {
    pub(crate) from: NodeId,
    /// Comes back in the answer.
    pub(crate) id: u64,
    pub(crate) service: ServiceName,
    pub(crate) model: Option<Model>,
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// The latency objective.
    pub(crate) aim: Millis,
    /// Whether the request may be told to come back.
    pub(crate) first: bool,
    /// Targets that it was sent to, and those that the asker passes over.
    pub(crate) avoid: Vec<TargetId>,
}

/// What an owner decided.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PlaceReply {
    pub(crate) from: NodeId,
    /// That of the question.
    pub(crate) id: u64,
    pub(crate) placed: Placed,
}

/// Whether a request that was placed at a target may be sent there, as far as the target's
/// limit goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Permit {
    /// It may: who placed it knows of no limit.
    NotNeeded,
    /// It may: who placed it grants the target's requests.
    Given,
    /// Another daemon grants them.
    Needed,
}

/// Where a request goes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Placed {
    /// To this target, which counts it from now on.
    At(TargetId, Permit),
    /// Nowhere now: it would begin too late by this much.
    Overloaded(Millis),
    /// Nowhere now: the targets' limits leave room for it after this time.
    Spent(Millis),
    /// Nowhere: no target serves what it asks for.
    Nobody,
}

/// Limits of targets as a daemon knows them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ToldLimits {
    pub(crate) from: NodeId,
    pub(crate) list: Vec<LimitUpdate>,
}

/// Asks a target's keeper whether a request may be sent there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GrantAsk {
    pub(crate) from: NodeId,
    /// Comes back in the answer.
    pub(crate) id: u64,
    pub(crate) target: TargetId,
    /// What the asker knows of the target's limit.
    pub(crate) known: Option<LimitUpdate>,
}

/// What a keeper decided.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct GrantReply {
    pub(crate) from: NodeId,
    /// That of the question.
    pub(crate) id: u64,
    pub(crate) grant: Grant,
    /// What the keeper knows of the target's limit.
    pub(crate) known: Option<LimitUpdate>,
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

/// Says that a daemon knows all changes of targets up to a moment.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct KnownTargets {
    /// The version of the newest change.
    pub(crate) newest: u64,
    /// How long ago the daemon asked the store for it.
    pub(crate) age: Millis,
}

/// The work that callers ask a daemon for.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct AskedWork {
    pub(crate) from: NodeId,
    /// By service and model; 1 keeps one group fully busy.
    pub(crate) work: Vec<(ServiceName, Model, f32)>,
}

/// Asks how fresh another daemon's knowledge is.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Ask {
    pub(crate) from: NodeId,
    /// When it was asked, on the asker's clock; comes back in the answer.
    pub(crate) asked: Millis,
    /// The version of the targets that the asker knows.
    pub(crate) targets: u64,
}

/// Vouches for a catalog.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Vouch {
    /// Who vouches, and has that catalog.
    pub(crate) from: NodeId,
    /// The asker's time of the question. The proof is at least as young as
    /// `age` at that moment, however long the datagrams took.
    pub(crate) asked: Millis,
    /// The version of the catalog that was the newest.
    pub(crate) catalog: u64,
    /// The age of the proof when the answer was sent.
    pub(crate) age: Millis,
    /// Who knows the targets at an older version must read them whole.
    pub(crate) floor: u64,
    /// The data centres that are evacuated, as of that proof or later.
    pub(crate) evacuated: Evacuations,
}

/// Changes of targets on their way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Changes {
    pub(crate) batch: Batch,
    /// Who read or keeps them.
    pub(crate) from: NodeId,
    /// Whom they are to be passed on to.
    pub(crate) pass: Pass,
}

/// Whom changes are to be passed on to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Pass {
    /// Nobody.
    Nobody,
    /// All of the data centre of who gets them.
    Hall,
    /// These daemons.
    To(Vec<NodeId>),
}
