//! The client of the platform's table service and list of instances.

use std::net::SocketAddr;
use std::time::Duration;

use thistlesill_core::report::ListedInstance;
use thistlesill_core::table::{Read, RowKey, Rows, Txn, TxnReply, TxnResult};

use crate::http::{HttpClient, HttpError};

const TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
const LIST_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A client of the platform's services.
#[derive(Debug, Clone)]
pub struct Platform {
    address: SocketAddr,
    http: HttpClient,
}

impl Platform {
    /// Creates a client of the services at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            http: HttpClient::pooled(),
        }
    }

    /// Sends a transaction.
    ///
    /// Every error is reported as [`TxnResult::Unknown`] and never as a failure, because the
    /// transaction may have taken effect.
    pub async fn txn(&self, txn: &Txn) -> TxnResult {
        let call =
            self.http
                .post_json::<_, TxnReply>(self.address, "/table/txn", txn, TABLE_TIMEOUT);
        call.await.map_or(TxnResult::Unknown, TxnResult::Replied)
    }

    /// Reads all rows whose keys begin with one of the prefixes, all at the same version of the
    /// table.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn read(&self, prefixes: Vec<RowKey>) -> Result<Rows, HttpError> {
        let read = Read { prefixes };
        let call = self
            .http
            .post_json(self.address, "/table/read", &read, TABLE_TIMEOUT);
        call.await
    }

    /// Reads the list of live and leaving instances.
    ///
    /// # Errors
    ///
    /// Any [`HttpError`].
    pub async fn instances(&self) -> Result<Vec<ListedInstance>, HttpError> {
        let call = self.http.get_json(self.address, "/instances", LIST_TIMEOUT);
        call.await
    }
}
