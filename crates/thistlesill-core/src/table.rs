//! Messages of the platform's transactional table service.
//!
//! The service speaks JSON over HTTP: `POST /table/txn` commits writes if
//! all guards hold, `POST /table/read` returns a consistent range.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A row's key: parts separated by `/`.
pub type RowKey = Arc<str>;

/// A condition on a row, checked when a transaction commits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "guard", rename_all = "snake_case")]
pub enum Guard {
    /// The row does not exist.
    Absent {
        /// The row.
        key: RowKey,
    },
    /// The row exists and was last written at this version.
    Version {
        /// The row.
        key: RowKey,
        /// The version.
        version: u64,
    },
}

impl Guard {
    /// The row that the condition is on.
    pub const fn key(&self) -> &RowKey {
        match self {
            Self::Absent { key } | Self::Version { key, .. } => key,
        }
    }
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "write", rename_all = "snake_case")]
pub enum Write {
    /// Insert or replace a row.
    Put {
        /// The row.
        key: RowKey,
        /// Its value, JSON text.
        value: String,
    },
    /// Remove a row, if it is there.
    Delete {
        /// The row.
        key: RowKey,
    },
}

/// A transaction: all writes or none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions, all of which must hold.
    pub guards: Vec<Guard>,
    /// Writes.
    pub writes: Vec<Write>,
}

impl Txn {
    /// An empty transaction.
    pub const fn new() -> Self {
        Self {
            guards: Vec::new(),
            writes: Vec::new(),
        }
    }

    /// Adds the condition that a row does not exist.
    #[must_use]
    pub fn absent(mut self, key: impl Into<RowKey>) -> Self {
        self.guards.push(Guard::Absent { key: key.into() });
        self
    }

    /// Adds the condition that a row is at `version`; 0 stands for absent.
    #[must_use]
    pub fn at(mut self, key: impl Into<RowKey>, version: u64) -> Self {
        let key = key.into();
        self.guards.push(match version {
            0 => Guard::Absent { key },
            version => Guard::Version { key, version },
        });
        self
    }

    /// Adds a write of a row.
    ///
    /// # Panics
    ///
    /// Never: the row types of this crate always encode.
    #[must_use]
    pub fn put<T: Serialize>(mut self, key: impl Into<RowKey>, value: &T) -> Self {
        let value = serde_json::to_string(value).expect("row types always encode");
        self.writes.push(Write::Put {
            key: key.into(),
            value,
        });
        self
    }

    /// Adds the removal of a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<RowKey>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}

/// The service's answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TxnReply {
    /// All writes took effect at this version.
    Committed {
        /// The version.
        version: u64,
    },
    /// Nothing was written.
    Refused {
        /// The rows whose conditions failed.
        failed: Vec<RowKey>,
    },
}

/// What became of a transaction, as far as its sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnResult {
    /// The service answered.
    Replied(TxnReply),
    /// No answer came: the transaction may have taken effect.
    Unknown,
}

/// A read of all rows whose keys begin with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Prefixes; the rows of all of them are read at one version.
    pub prefixes: Vec<RowKey>,
}

/// One row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its key.
    pub key: RowKey,
    /// The version of its last write.
    pub version: u64,
    /// Its value, JSON text.
    pub value: String,
}

impl Row {
    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// The decoder's error if the value has another shape.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(&self.value)
    }
}

/// The rows that a read found, in key order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
}

impl Rows {
    /// The row of a key.
    pub fn find(&self, key: &str) -> Option<&Row> {
        self.rows.iter().find(|row| &*row.key == key)
    }
}
