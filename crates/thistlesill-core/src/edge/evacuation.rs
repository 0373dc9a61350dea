//! Data centres that operators take out of service.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::HallId;

/// The data centres whose targets must get no requests, as listed in the store at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version of the store up to which all changes are included.
    pub version: u64,
    /// Evacuated data centres.
    pub halls: BTreeSet<HallId>,
}
