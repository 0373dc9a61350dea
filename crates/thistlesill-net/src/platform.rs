//! The client of the platform: its table service and its list of instances.

use std::net::SocketAddr;
use std::time::Duration;

use thistlesill_core::report::ListedInstance;
use thistlesill_core::table::{Read, RowKey, Rows, Txn, TxnReply, TxnResult};

use crate::http::{HttpClient, HttpError};

/// Time for a call of the table service.
const TABLE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for reading the list.
const LIST_LIMIT: Duration = Duration::from_millis(2_000);

/// A client of the platform's service.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    http: HttpClient,
}

impl Platform {
    /// A client of the service at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: HttpClient::pooled(),
        }
    }

    /// Sends a transaction.
    ///
    /// Whatever is not a clear answer is [`TxnResult::Unknown`], never a
    /// failure: the transaction may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> TxnResult {
        let call = self
            .http
            .post_json::<_, TxnReply>(self.address, "/table/txn", txn, TABLE_LIMIT);
        call.await.map_or(TxnResult::Unknown, TxnResult::Replied)
    }

    /// Reads all rows whose keys begin with one of the prefixes, at one
    /// version.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn read(&self, prefixes: Vec<RowKey>) -> Result<Rows, HttpError> {
        let read = Read { prefixes };
        let call = self
            .http
            .post_json(self.address, "/table/read", &read, TABLE_LIMIT);
        call.await
    }

    /// Reads the list of live and leaving instances.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, HttpError> {
        let call = self.http.get_json(self.address, "/instances", LIST_LIMIT);
        call.await
    }
}
