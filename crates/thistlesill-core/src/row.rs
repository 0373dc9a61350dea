//! Rows that the system stores in the platform's table service, and their keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::report::Load;
use crate::settings::Branch;
use crate::{CustomerId, DomainId, GroupId, HallId, InstanceId, NodeId, RequestId};

/// The lease of a hall, whose holder has the right to give orders there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Daemon that holds the lease.
    pub holder: NodeId,
    /// Term, which rises by one whenever a daemon takes over the lease.
    pub term: u64,
    /// Renewal counter, by which other daemons see that the holder is alive.
    pub beat: u64,
    /// Whether the holder has released the lease.
    pub free: bool,
}

/// Highest term or renewal counter that counts as valid: epochs hold the term in their upper bits. Rows
/// with higher ones come from another writer.
const MAX_LEASE_NUMBER: u64 = 1 << 39;

impl LeaseRow {
    /// Returns whether a planner may have written the row.
    pub const fn is_valid(&self) -> bool {
        self.term <= MAX_LEASE_NUMBER && self.beat <= MAX_LEASE_NUMBER
    }
}

/// Returns the term or renewal counter that follows one. After the highest one they begin again.
pub const fn next_lease_number(number: u64) -> u64 {
    if number >= MAX_LEASE_NUMBER {
        1
    } else {
        number + 1
    }
}

/// The term of a hall's lease in a row of its own.
///
/// Unlike the row of the lease, this row does not change with renewals, only when a daemon takes
/// over the lease. Writes of the plan are therefore guarded by this row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermRow {
    /// Term of the current holder.
    pub term: u64,
}

impl TermRow {
    /// Returns whether a planner may have written the row.
    pub const fn is_valid(&self) -> bool {
        self.term <= MAX_LEASE_NUMBER
    }
}

/// A group of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// Name of the group.
    pub group: GroupId,
    /// Epoch of the group's formation.
    pub epoch: u64,
    /// Fabric domain of all members.
    pub domain: DomainId,
    /// Members, in order of their ranks.
    pub members: Vec<InstanceId>,
    /// Model and adapters that the group runs.
    pub load: Load,
}

/// The use of an instance in the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// How the plan uses the instance.
    pub held: Held,
}

/// The way in which the plan uses an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "held", rename_all = "snake_case")]
pub enum Held {
    /// The instance is a member of a group.
    Member {
        /// Name of the group.
        group: GroupId,
        /// Epoch of the group's formation.
        epoch: u64,
    },
    /// The instance has left a group, and must not be used until it has accepted a reset or has
    /// restarted with another incarnation.
    Aside {
        /// Incarnation that left the group.
        incarnation: u64,
    },
}

/// The claim of an idempotency key by a request that may be executed only once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Request that holds the key.
    pub request: RequestId,
    /// Router that wrote the claim.
    pub router: NodeId,
    /// SHA-256 of the request's body.
    pub body: String,
    /// Recorded answer, once known.
    pub outcome: Option<Outcome>,
}

/// The recorded answer of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub media: String,
    /// Body of the answer; `None` if the body was too large to record.
    pub body: Option<String>,
}

/// The head row of the settings, which holds their revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRow {
    /// Revision in force.
    pub revision: u64,
}

/// One accepted edit of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EditRow {
    /// Revision that the edit created.
    pub revision: u64,
    /// Id of the edit, by which its writer can find out whether the edit was accepted.
    pub edit: RequestId,
    /// Author of the edit.
    pub editor: String,
    /// Reason for the edit, given by the author.
    pub note: String,
    /// Changed branches by path; `None` for a removed branch.
    pub changes: BTreeMap<String, Option<Branch>>,
    /// The same branches before the edit; `None` for a new branch.
    pub before: BTreeMap<String, Option<Branch>>,
}

/// Key of the head row of the settings.
pub const HEAD_KEY: &str = "settings/head";
/// Key prefix of the branches of the settings.
pub const BRANCH_PREFIX: &str = "settings/branch";
/// Key prefix of the head row and all branches: the settings in force.
pub const SETTINGS_PREFIX: &str = "settings/";
/// Key prefix of the edits of the settings.
pub const EDIT_PREFIX: &str = "edits/";

/// Returns the key of a branch.
pub fn branch_key(path: &str) -> String {
    format!("{BRANCH_PREFIX}{path}")
}

/// Returns the key of the edit that created a revision.
pub fn edit_key(revision: u64) -> String {
    format!("{EDIT_PREFIX}{revision:012}")
}

/// Returns the key of a hall's lease.
pub fn lease_key(hall: &HallId) -> String {
    format!("halls/{hall}/lease")
}

/// Returns the key of the term of a hall's lease.
pub fn term_key(hall: &HallId) -> String {
    format!("halls/{hall}/term")
}

/// Returns the key prefix of a hall's plan.
pub fn plan_prefix(hall: &HallId) -> String {
    format!("halls/{hall}/plan/")
}

/// Returns the key of a planned group.
pub fn group_key(hall: &HallId, group: &GroupId) -> String {
    format!("halls/{hall}/plan/group/{group}")
}

/// Returns the key of an instance in a hall's plan.
pub fn instance_key(hall: &HallId, instance: &InstanceId) -> String {
    format!("halls/{hall}/plan/instance/{instance}")
}

/// Returns the key of the claim of a customer's idempotency key.
pub fn claim_key(customer: &CustomerId, key: &str) -> String {
    format!("claims/{customer}/{key}")
}
