//! Messages of the platform's transactional table service.
//!
//! The service uses JSON over HTTP: `POST /table/txn` commits writes if all guards hold, and
//! `POST /table/read` returns a consistent range of rows.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of a row: parts separated by `/`.
pub type RowKey = Arc<str>;

/// A condition on a row, checked when a transaction commits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "guard", rename_all = "snake_case")]
pub enum Guard {
    /// The row does not exist.
    Absent {
        /// Key of the row.
        key: RowKey,
    },
    /// The row exists and was last written at the given version.
    Version {
        /// Key of the row.
        key: RowKey,
        /// Required version of the row.
        version: u64,
    },
}

impl Guard {
    /// Returns the key of the row that must meet the condition.
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
        /// Key of the row.
        key: RowKey,
        /// New value of the row, as JSON text.
        value: String,
    },
    /// Remove a row, if the row exists.
    Delete {
        /// Key of the row.
        key: RowKey,
    },
}

/// A transaction, which applies all of its writes or none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Conditions that must all hold.
    pub guards: Vec<Guard>,
    /// Writes to apply.
    pub writes: Vec<Write>,
}

impl Txn {
    /// Creates an empty transaction.
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

    /// Adds the condition that a row is at `version`; 0 means that the row does not exist.
    #[must_use]
    pub fn at(mut self, key: impl Into<RowKey>, version: u64) -> Self {
        let key = key.into();
        self.guards.push(match version {
            0 => Guard::Absent { key },
            version => Guard::Version { key, version },
        });
        self
    }

    /// Adds a write of a row, with `value` encoded as JSON.
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

/// The service's reply to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TxnReply {
    /// All writes took effect at this version.
    Committed {
        /// Version of the written rows.
        version: u64,
    },
    /// Nothing was written, since conditions failed.
    Refused {
        /// Keys of the rows whose conditions failed.
        failed: Vec<RowKey>,
    },
}

/// The result of a transaction, as far as the sender knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TxnResult {
    /// The service replied.
    Replied(TxnReply),
    /// No reply came: the transaction may have taken effect.
    Unknown,
}

/// A read of all rows whose keys begin with any of the given prefixes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// Key prefixes; the rows of all prefixes are read at one version.
    pub prefixes: Vec<RowKey>,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: RowKey,
    /// Version of the last write to the row.
    pub version: u64,
    /// Value of the row, as JSON text.
    pub value: String,
}

impl Row {
    /// Decodes the value from JSON.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the value does not match the type.
    pub fn decode<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_str(&self.value)
    }
}

/// The rows that a read returned.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
}

impl Rows {
    /// Returns the row with the given key.
    pub fn find(&self, key: &str) -> Option<&Row> {
        self.rows.iter().find(|row| &*row.key == key)
    }
}
