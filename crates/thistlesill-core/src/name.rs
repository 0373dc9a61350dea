//! Typed names of machines, customers, models and other things, cheap to clone.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Defines a name type over a shared immutable string.
macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self::new("")
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_type! {
    /// The name of an instance: one machine of the platform.
    InstanceId;
    /// The name of a hall: one data centre.
    HallId;
    /// The name of a region, which contains several halls.
    RegionId;
    /// The name of a fabric domain: a set of instances joined by one fast network.
    DomainId;
    /// The name of a hardware generation of accelerators.
    Generation;
    /// The name of a customer, whose callers send requests.
    CustomerId;
    /// The name of a group of instances that serve a model together.
    GroupId;
    /// The name of a model.
    Model;
    /// The name of an adapter that is loaded in addition to a model.
    Adapter;
    /// The name of a version of a model's weights.
    Version;
    /// The name of a service: a plain one beside the model engines, or any of the edge daemon's.
    ServiceName;
    /// The name of a daemon.
    NodeId;
}

/// Identifies one request of a caller across all processes and attempts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "String", try_from = "String")]
pub struct RequestId(u128);

impl RequestId {
    /// Creates an id from a random number.
    pub const fn new(number: u128) -> Self {
        Self(number)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> Self {
        id.to_string()
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for RequestId {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
