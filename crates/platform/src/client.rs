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

/// The most bytes of one answer's body: a snapshot takes 100 bytes a task, one of 17,000 workers with 55 tasks each 94 MB.
const LARGEST_ANSWER_BYTES: usize = 128 * 1024 * 1024;

/// Talks to the platform's table service, object store, host list and workers.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    patience: CallTimeout,
    base: String,
}

impl PlatformClient {
    /// Makes a client that gives a call up when the service has sent nothing for as long as `silence`.
    ///
    /// Not a limit on whole transfers: objects and tables have any size, and each retry begins from nothing.
    ///
    /// # Errors
    /// The HTTP library can't be set up.
    pub fn new(address: SocketAddr, silence: Duration) -> Result<Self, StoreFault> {
        let http = Client::builder().no_proxy().build();
        Ok(Self {
            http: http.map_err(|_| StoreFault::NotSent)?,
            patience: CallTimeout::Idle(silence),
            base: format!("http://{address}"),
        })
    }

    /// Reads one row; none where it isn't there.
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

    /// Reads the rows of a range, in the order of their keys.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn read_range(&self, range: &ReadRange) -> Result<Vec<TableRow>, StoreFault> {
        self.post("/table/read", range).await
    }

    /// Runs a transaction.
    ///
    /// # Errors
    /// The service did not answer; unless the fault says otherwise it may have taken effect.
    pub async fn transact(&self, txn: &TableTxn) -> Result<TxnOutcome, StoreFault> {
        self.post("/table/transact", txn).await
    }

    /// Stores an object under its digest; storing it again changes nothing.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn put_object(&self, digest: &str, bytes: Vec<u8>) -> Result<(), StoreFault> {
        let url = format!("{}/objects/{digest}", self.base);
        self.send(self.http.put(url).body(bytes)).await?;
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// The service did not answer, or has no such object.
    pub async fn get_object(&self, digest: &str) -> Result<Vec<u8>, StoreFault> {
        let url = format!("{}/objects/{digest}", self.base);
        let open = self.send(self.http.get(url)).await?;
        read_body(open).await
    }

    /// Reads the list of hosts.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn host_list(&self) -> Result<HostList, StoreFault> {
        let url = format!("{}/hosts", self.base);
        read_json(self.send(self.http.get(url)).await?).await
    }

    /// Sends a message to a worker.
    ///
    /// # Errors
    /// The worker did not answer; it may have taken the message in.
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
        let url = format!("{}{path}", self.base);
        read_json(self.send(self.http.post(url).json(body)).await?).await
    }

    /// Sends a request and waits for the head of an answer that says it has run.
    async fn send(&self, request: RequestBuilder) -> Result<OpenAnswer, StoreFault> {
        let sent = send_call(request, Duration::ZERO, self.patience).await;
        check_status(sent.map_err(classify)?)
    }
}

/// A call that found no connection was never sent; any other failure leaves its fate open.
fn classify(fault: TransferFault) -> StoreFault {
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
    open.read(LARGEST_ANSWER_BYTES).await.map_err(classify)
}

async fn read_json<O: DeserializeOwned>(open: OpenAnswer) -> Result<O, StoreFault> {
    let body = read_body(open).await?;
    serde_json::from_slice(&body).map_err(|_| StoreFault::Unknown)
}
