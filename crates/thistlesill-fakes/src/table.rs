//! An in-memory table with row versions and guarded transactions.

use std::collections::BTreeMap;

use thistlesill_core::table::{Guard, Read, Row, RowKey, Rows, Txn, TxnReply, Write};

/// An in-memory table in which every committed transaction has a version of its own.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    transactions: u64,
    reads: u64,
}

impl Table {
    /// Commits a transaction if all its guards are satisfied; otherwise returns the keys of the
    /// guards that are not.
    pub fn txn(&mut self, txn: &Txn) -> TxnReply {
        self.transactions += 1;
        let failed: Vec<RowKey> = txn
            .guards
            .iter()
            .filter(|g| !self.is_satisfied(g))
            .map(|g| g.key().clone())
            .collect();
        if !failed.is_empty() {
            return TxnReply::Refused { failed };
        }
        self.version += 1;
        for write in &txn.writes {
            self.write(write);
        }
        TxnReply::Committed {
            version: self.version,
        }
    }

    /// Reads the rows whose keys start with any of the prefixes.
    pub fn read(&mut self, read: &Read) -> Rows {
        self.reads += 1;
        let matches = |key: &RowKey| read.prefixes.iter().any(|p| key.starts_with(&**p));
        let rows = self.rows.iter().filter(|(key, _)| matches(key));
        Rows {
            rows: rows.map(|(_, row)| row.clone()).collect(),
        }
    }

    /// Returns how many transactions and reads there were, including refused transactions.
    pub const fn counts(&self) -> (u64, u64) {
        (self.transactions, self.reads)
    }

    fn is_satisfied(&self, guard: &Guard) -> bool {
        let row = self.rows.get(guard.key());
        match guard {
            Guard::Absent { .. } => row.is_none(),
            Guard::Version { version, .. } => row.is_some_and(|r| r.version == *version),
        }
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value } => {
                let row = Row {
                    key: key.clone(),
                    version: self.version,
                    value: value.clone(),
                };
                self.rows.insert(key.clone(), row);
            }
            Write::Delete { key } => {
                self.rows.remove(key);
            }
        }
    }
}
