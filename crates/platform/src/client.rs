//! HTTP client for the platform's services.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, RequestBuilder, StatusCode};
use sandshelf_lease::{WorkerOrders, WorkerReport};
use sandshelf_transfer::{send_call, CallTimeout, OpenAnswer, TransferFault};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fault::StoreFault;
use crate::list::HostList;
use crate::table::{ReadRange, TableRow, TableTxn, TxnOutcome};

/// The largest accepted body of an answer, in bytes. A snapshot takes 100 bytes a task: 94 MB for 17,000 workers with 55 tasks each.
const MAX_ANSWER_BYTES: usize = 128 * 1024 * 1024;

/// A client of the platform's table service, object store, host list and workers.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    timeout: CallTimeout,
    base_url: String,
}

impl PlatformClient {
    /// Creates a client whose calls fail when the service has sent nothing for `idle_timeout`.
    ///
    /// Whole transfers are not limited to that time: objects and tables can have any size, and each retry starts from the first byte.
    ///
    /// # Errors
    /// The HTTP library can't be set up.
    pub fn new(address: SocketAddr, idle_timeout: Duration) -> Result<Self, StoreFault> {
        let http = Client::builder().no_proxy().build();
        Ok(Self {
            http: http.map_err(|_| StoreFault::NotSent)?,
            timeout: CallTimeout::Idle(idle_timeout),
            base_url: format!("http://{address}"),
        })
    }

    /// Reads one row; `None` if it does not exist.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn read_row(&self, key: &str) -> Result<Option<TableRow>, StoreFault> {
        let range = ReadRange {
            from: key.to_owned(),
            to: key.to_owned(),
        };
        let rows = self.read_range(&range).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads the rows of a range, in ascending order of their keys.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn read_range(&self, range: &ReadRange) -> Result<Vec<TableRow>, StoreFault> {
        self.post("/table/read", range).await
    }

    /// Executes a transaction.
    ///
    /// # Errors
    /// The service did not execute the transaction, or did not answer. After [`StoreFault::Unknown`] it may have taken effect.
    pub async fn transact(&self, txn: &TableTxn) -> Result<TxnOutcome, StoreFault> {
        self.post("/table/transact", txn).await
    }

    /// Stores an object under its digest. Storing it again has no effect.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn put_object(&self, digest: &str, bytes: Vec<u8>) -> Result<(), StoreFault> {
        let url = format!("{}/objects/{digest}", self.base_url);
        self.send(self.http.put(url).body(bytes)).await?;
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// The service did not answer, or the object does not exist.
    pub async fn get_object(&self, digest: &str) -> Result<Vec<u8>, StoreFault> {
        let url = format!("{}/objects/{digest}", self.base_url);
        let open = self.send(self.http.get(url)).await?;
        read_body(open).await
    }

    /// Reads the list of hosts.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn host_list(&self) -> Result<HostList, StoreFault> {
        let url = format!("{}/hosts", self.base_url);
        read_json(self.send(self.http.get(url)).await?).await
    }

    /// Sends orders to a worker, and returns the worker's report.
    ///
    /// # Errors
    /// The worker did not answer. After [`StoreFault::Unknown`] it may have received the orders.
    pub async fn send_orders(
        &self,
        worker: SocketAddr,
        orders: &WorkerOrders,
    ) -> Result<WorkerReport, StoreFault> {
        let url = format!("http://{worker}/lease");
        read_json(self.send(self.http.post(url).json(orders)).await?).await
    }

    async fn post<I: Serialize, O: DeserializeOwned>(
        &self,
        path: &str,
        body: &I,
    ) -> Result<O, StoreFault> {
        let url = format!("{}{path}", self.base_url);
        read_json(self.send(self.http.post(url).json(body)).await?).await
    }

    /// Sends a request and waits for the head of its answer. Any status but success is a fault.
    async fn send(&self, request: RequestBuilder) -> Result<OpenAnswer, StoreFault> {
        let sent = send_call(request, Duration::ZERO, self.timeout).await;
        check_status(sent.map_err(to_store_fault)?)
    }
}

/// A call without a connection was never sent; after any other failure it is unknown whether the call was executed.
fn to_store_fault(fault: TransferFault) -> StoreFault {
    match fault.is_unsent() {
        true => StoreFault::NotSent,
        false => StoreFault::Unknown,
    }
}

fn check_status(open: OpenAnswer) -> Result<OpenAnswer, StoreFault> {
    match open.status() {
        status if status.is_success() => Ok(open),
        StatusCode::NOT_FOUND => Err(StoreFault::Missing),
        status if status.is_client_error() => Err(StoreFault::Refused),
        _ => Err(StoreFault::Unknown),
    }
}

async fn read_body(open: OpenAnswer) -> Result<Vec<u8>, StoreFault> {
    open.read(MAX_ANSWER_BYTES).await.map_err(to_store_fault)
}

async fn read_json<O: DeserializeOwned>(open: OpenAnswer) -> Result<O, StoreFault> {
    let body = read_body(open).await?;
    serde_json::from_slice(&body).map_err(|_| StoreFault::Unknown)
}
