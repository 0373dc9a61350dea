//! Data centres that the operators evacuate.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::HallId;

/// The data centres whose targets are to get no requests, as the store listed them at one
/// version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// The store's version up to which all changes are known.
    pub version: u64,
    /// The data centres.
    pub halls: BTreeSet<HallId>,
}
