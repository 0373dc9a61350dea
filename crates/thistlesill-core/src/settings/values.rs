//! Branches of the settings: the values that they can set, and what they cover.

use serde::{Deserialize, Serialize};

use crate::{Adapter, CustomerId, DomainId, Generation, HallId, Model, RegionId, Version};

/// The part of the fleet that a branch applies to, within the part that its parent covers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cover {
    /// One region.
    Region(RegionId),
    /// One hall.
    Hall(HallId),
    /// One fabric domain.
    Domain(DomainId),
    /// One hardware generation of accelerators.
    Generation(Generation),
    /// One customer.
    Customer(CustomerId),
}

/// A size of groups that may be formed on one hardware generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Hardware generation of all members.
    pub generation: Generation,
    /// Number of members.
    pub instances: u32,
}

/// Defines [`Values`], [`Branch`] and the conversions between them from one list of values.
macro_rules! values {
    ($($(#[$doc:meta])* $field:ident: $type:ty,)*) => {
        /// The values that a branch sets; absent ones are inherited from the parent.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Values {
            $($(#[$doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $field: Option<$type>,)*
        }

        /// A branch: the part of the fleet that it covers, and the values that it sets.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Branch {
            /// Part of the fleet that the branch covers; `None` for the root and for branches that
            /// only group other branches.
            #[serde(skip_serializing_if = "Option::is_none")]
            pub covers: Option<Cover>,
            $($(#[$doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $field: Option<$type>,)*
        }

        impl Branch {
            /// Returns the values of the branch, without the cover.
            pub fn values(&self) -> Values {
                Values { $($field: self.$field.clone(),)* }
            }
        }

        impl Values {
            /// The names of all values.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($field),)*];

            /// Overrides values by those that `branch` sets.
            pub fn overlay(&mut self, branch: &Branch) {
                $(if branch.$field.is_some() { self.$field.clone_from(&branch.$field); })*
            }

            /// Returns the names of the values that are set.
            pub fn set_names(&self) -> Vec<&'static str> {
                let mut names = Vec::new();
                $(if self.$field.is_some() { names.push(stringify!($field)); })*
                names
            }
        }
    };
}

values! {
    /// Model that groups run.
    model: Model,
    /// Version of the model's weights.
    version: Version,
    /// Adapter that a customer's requests use.
    adapter: Adapter,
    /// Shapes of groups that may be formed, best first.
    shapes: Vec<Shape>,
    /// Weight of group downtime against stranded accelerators, from 0 to 1.
    downtime_weight: f64,
    /// Instances kept ready per fabric domain to replace a lost member.
    spares: u32,
    /// Whether targets refuse orders with a stale fence.
    checks_orders: bool,
    /// Longest time that an order may be in transit, in milliseconds.
    order_delay_ms: u64,
    /// Age at which a member's report becomes invalid, in milliseconds.
    presence_ms: u64,
    /// Time for which a group that is about to change may continue its streams, in milliseconds.
    drain_ms: u64,
    /// Largest number of requests that a group runs concurrently.
    slots: u32,
    /// Largest number of groups in a hall that load weights at the same time.
    loads: u32,
    /// Deadline of a request, in milliseconds; callers may only state an earlier one.
    deadline_ms: u64,
    /// Objective for the time to the first token, which the limits aim at, in milliseconds.
    first_token_ms: u64,
    /// Largest number of attempts of a request, the first included.
    attempts: u32,
    /// Largest number of retries that a router adds per hundred requests.
    retry_percent: u32,
    /// Whether requests may be executed more than once.
    repeatable: bool,
    /// Whether a request that may be executed only once must carry an idempotency key.
    key_required: bool,
    /// Priority of requests at the engine; lower numbers go first.
    priority: u8,
    /// Share of the capacity that the customer gets, relative to other customers.
    share: u32,
    /// SHA-256 of the customer's token, in hexadecimal.
    token_sha256: String,
}
