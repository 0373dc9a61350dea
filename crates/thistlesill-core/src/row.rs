//! The rows that the system keeps in the platform's table service.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::report::Load;
use crate::settings::Branch;
use crate::{CustomerId, DomainId, GroupId, HallId, InstanceId, NodeId, RequestId};

/// Who holds the right to give orders in a hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The holder.
    pub holder: NodeId,
    /// Counts the holders.
    pub term: u64,
    /// Counts the renewals, so that others can see that it is alive.
    pub beat: u64,
    /// Whether the holder gave it up.
    pub free: bool,
}

/// The term alone, which changes only with the holder; plan writes are
/// guarded by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRow {
    /// The term.
    pub term: u64,
}

/// A planned group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// The group.
    pub group: GroupId,
    /// The epoch of its forming.
    pub epoch: u64,
    /// Its fabric domain.
    pub domain: DomainId,
    /// Members in order of rank.
    pub members: Vec<InstanceId>,
    /// What it runs.
    pub load: Load,
}

/// Which group an instance belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Its use.
    pub held: Held,
}

/// How an instance is held by the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "held", rename_all = "snake_case")]
pub enum Held {
    /// Member of a group.
    Member {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: u64,
    },
    /// Left a group, and not to be used until it has taken a reset or has
    /// come back with another incarnation.
    Aside {
        /// The incarnation that left.
        incarnation: u64,
    },
}

/// The claim of a request that may run once only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The request that holds the key.
    pub request: RequestId,
    /// The router that claimed.
    pub router: NodeId,
    /// SHA-256 of the body.
    pub body: String,
    /// The outcome, once it is known.
    pub outcome: Option<Outcome>,
}

/// The recorded answer of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// The body; absent if it was too large to keep.
    pub body: Option<String>,
}

/// The head of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// The revision in force.
    pub revision: u64,
}

/// One accepted edit of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditRow {
    /// The revision that it made.
    pub revision: u64,
    /// Names the edit, so that its writer knows it again.
    pub edit: RequestId,
    /// Who made it.
    pub editor: String,
    /// Why.
    pub note: String,
    /// Changed branches; `None` for a removed one.
    pub changes: BTreeMap<String, Option<Branch>>,
    /// The same branches as they were; `None` for a new one.
    pub before: BTreeMap<String, Option<Branch>>,
}

/// Key of the settings' head.
pub const HEAD_KEY: &str = "settings/head";
/// Prefix of the settings' branches.
pub const BRANCH_PREFIX: &str = "settings/branch";
/// Prefix of all that makes up the settings in force.
pub const SETTINGS_PREFIX: &str = "settings/";
/// Prefix of the settings' edits.
pub const EDIT_PREFIX: &str = "edits/";

/// Key of a branch.
pub fn branch_key(path: &str) -> String {
    format!("{BRANCH_PREFIX}{path}")
}

/// Key of an edit.
pub fn edit_key(revision: u64) -> String {
    format!("{EDIT_PREFIX}{revision:012}")
}

/// Key of a hall's lease.
pub fn lease_key(hall: &HallId) -> String {
    format!("halls/{hall}/lease")
}

/// Key of a hall's term.
pub fn term_key(hall: &HallId) -> String {
    format!("halls/{hall}/term")
}

/// Prefix of a hall's plan.
pub fn plan_prefix(hall: &HallId) -> String {
    format!("halls/{hall}/plan/")
}

/// Key of a group.
pub fn group_key(hall: &HallId, group: &GroupId) -> String {
    format!("halls/{hall}/plan/group/{group}")
}

/// Key of an instance.
pub fn instance_key(hall: &HallId, instance: &InstanceId) -> String {
    format!("halls/{hall}/plan/instance/{instance}")
}

/// Key of a claim.
pub fn claim_key(customer: &CustomerId, key: &str) -> String {
    format!("claims/{customer}/{key}")
}
