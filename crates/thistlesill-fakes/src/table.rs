//! An in-memory table with versions and transactions.

use std::collections::BTreeMap;

use thistlesill_core::table::{Guard, Read, Row, RowKey, Rows, Txn, TxnReply, Write};

/// An in-memory table with versions.
#[derive(Debug, Clone, Default)]
pub struct Table {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    transactions: u64,
    reads: u64,
}

impl Table {
    /// Commits a transaction if all its guards hold.
    pub fn txn(&mut self, txn: &Txn) -> TxnReply {
        self.transactions += 1;
        let failed: Vec<RowKey> = txn
            .guards
            .iter()
            .filter(|g| !self.holds(g))
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

    /// Reads rows by prefix.
    pub fn read(&mut self, read: &Read) -> Rows {
        self.reads += 1;
        let wanted = |key: &RowKey| read.prefixes.iter().any(|p| key.starts_with(&**p));
        let rows = self.rows.iter().filter(|(key, _)| wanted(key));
        Rows {
            rows: rows.map(|(_, row)| row.clone()).collect(),
        }
    }

    /// Transactions and reads so far.
    pub const fn counts(&self) -> (u64, u64) {
        (self.transactions, self.reads)
    }

    fn holds(&self, guard: &Guard) -> bool {
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
