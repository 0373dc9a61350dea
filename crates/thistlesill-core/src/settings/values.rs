//! The values that a branch can set, and what it covers.

use serde::{Deserialize, Serialize};

use crate::{Adapter, CustomerId, DomainId, Generation, HallId, Model, RegionId, Version};

/// The part of the fleet that a branch applies to, within its parent's.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cover {
    /// A region.
    Region(RegionId),
    /// A hall.
    Hall(HallId),
    /// A fabric domain.
    Domain(DomainId),
    /// A hardware generation.
    Generation(Generation),
    /// A customer.
    Customer(CustomerId),
}

/// A size of group that may be formed on one generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// The generation of all members.
    pub generation: Generation,
    /// How many members.
    pub instances: u32,
}

/// Defines the optional values of a branch, and their union.
macro_rules! values {
    ($($(#[$doc:meta])* $field:ident: $type:ty,)*) => {
        /// The values that a branch sets; absent ones are inherited.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Values {
            $($(#[$doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $field: Option<$type>,)*
        }

        /// A branch: what it covers and what it sets.
        #[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct Branch {
            /// The part of the fleet that it covers; absent for the root and
            /// for branches that only group others.
            #[serde(skip_serializing_if = "Option::is_none")]
            pub covers: Option<Cover>,
            $($(#[$doc])* #[serde(skip_serializing_if = "Option::is_none")] pub $field: Option<$type>,)*
        }

        impl Branch {
            /// The values without the cover.
            pub fn values(&self) -> Values {
                Values { $($field: self.$field.clone(),)* }
            }
        }

        impl Values {
            /// The names of all values.
            pub const NAMES: &'static [&'static str] = &[$(stringify!($field),)*];

            /// Takes over the values that `branch` sets.
            pub fn overlay(&mut self, branch: &Branch) {
                $(if branch.$field.is_some() { self.$field.clone_from(&branch.$field); })*
            }

            /// The names of the values that are set.
            pub fn set_names(&self) -> Vec<&'static str> {
                let mut names = Vec::new();
                $(if self.$field.is_some() { names.push(stringify!($field)); })*
                names
            }
        }
    };
}

values! {
    /// The model that groups run.
    model: Model,
    /// The version of its weights.
    version: Version,
    /// The adapter that a customer's requests use.
    adapter: Adapter,
    /// The shapes of group that may be formed, best first.
    shapes: Vec<Shape>,
    /// Weight of group downtime against stranded accelerators, 0 to 1.
    downtime_weight: f64,
    /// Instances kept ready per fabric domain to replace a lost member.
    spares: u32,
    /// Whether the targets refuse orders with a stale fence.
    checks_orders: bool,
    /// The longest that an order may be under way, in milliseconds.
    order_delay_ms: u64,
    /// The age from which a member's report counts no more, in milliseconds.
    presence_ms: u64,
    /// How long a group that is to change may go on with its streams, in
    /// milliseconds.
    drain_ms: u64,
    /// Requests that a group may run at a time, at most.
    slots: u32,
    /// Group loads that may be under way at a time in a hall.
    loads: u32,
    /// The deadline of a request that states none, in milliseconds.
    deadline_ms: u64,
    /// The time to the first token that limits aim at, in milliseconds.
    first_token_ms: u64,
    /// Attempts of a request, the first included.
    attempts: u32,
    /// Retries per hundred requests that a router may add.
    retry_percent: u32,
    /// Whether requests may be repeated.
    repeatable: bool,
    /// Whether a request that may not be repeated must carry a key.
    key_required: bool,
    /// Priority of requests for the engine; lower goes first.
    priority: u8,
    /// The customer's share of capacity, relative to other customers.
    share: u32,
    /// SHA-256 of the customer's token, in hexadecimal.
    token_sha256: String,
}
