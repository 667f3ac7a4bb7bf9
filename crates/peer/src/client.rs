//! Client for calls to another entry host.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork, RpcSystem};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::news::HostNews;
use crate::peer_capnp::entry_peer;
use crate::silence::{ByteCounter, CountedRead};

/// Why a call to a peer has no answer. Nothing depends on whether the peer executed such a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// The peer can't be reached.
    Unreachable,
    /// The peer did not answer in time, closed the connection, or sent an invalid answer.
    NoAnswer,
}

impl fmt::Display for PeerFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PeerFault::Unreachable => "the entry host can't be reached",
            PeerFault::NoAnswer => "the entry host did not answer in time",
        })
    }
}

impl std::error::Error for PeerFault {}

/// A connection to another entry host. It must be used within a `LocalSet`.
pub struct PeerClient {
    peer: entry_peer::Client,
    idle_timeout: Duration,
    counter: ByteCounter,
    task: JoinHandle<Result<(), capnp::Error>>,
}

impl Drop for PeerClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PeerClient {
    /// Connects to a host. `idle_timeout` limits the time to connect, and in each call the time without data from the host.
    ///
    /// # Errors
    /// The host can't be reached in time.
    pub async fn connect(address: SocketAddr, idle_timeout: Duration) -> Result<Self, PeerFault> {
        let connected = timeout(idle_timeout, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| PeerFault::Unreachable)?
            .map_err(|_| PeerFault::Unreachable)?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let counter = ByteCounter::default();
        let network = VatNetwork::new(
            futures::io::BufReader::new(CountedRead::new(read, counter.clone()).compat()),
            futures::io::BufWriter::new(write.compat_write()),
            Side::Client,
            Default::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let peer = system.bootstrap(Side::Server);
        let task = tokio::task::spawn_local(system);
        Ok(Self {
            peer,
            idle_timeout,
            counter,
            task,
        })
    }

    /// Sends this host's update to the other host and returns the other host's update.
    ///
    /// # Errors
    /// The host did not answer, or sent an invalid answer.
    pub async fn exchange(&self, news: &HostNews) -> Result<HostNews, PeerFault> {
        let mut request = self.peer.exchange_request();
        news.write(request.get().init_news());
        let sent = request.send().promise;
        let answer = self
            .counter
            .with_idle_timeout(self.idle_timeout, sent)
            .await;
        let answer = answer.ok_or(PeerFault::NoAnswer)?;
        let answer = answer.map_err(|_| PeerFault::NoAnswer)?;
        let read = answer
            .get()
            .and_then(|results| results.get_news())
            .and_then(HostNews::read);
        read.map_err(|_| PeerFault::NoAnswer)
    }

    /// Requests the bytes of the configuration with the given digest; `None` if the host does not have it.
    ///
    /// # Errors
    /// The host did not answer, or sent an invalid answer.
    pub async fn configuration(&self, digest: &str) -> Result<Option<Vec<u8>>, PeerFault> {
        let mut request = self.peer.configuration_request();
        request.get().set_digest(digest);
        let sent = request.send().promise;
        let answer = self
            .counter
            .with_idle_timeout(self.idle_timeout, sent)
            .await;
        let answer = answer.ok_or(PeerFault::NoAnswer)?;
        let answer = answer.map_err(|_| PeerFault::NoAnswer)?;
        let results = answer.get().map_err(|_| PeerFault::NoAnswer)?;
        if !results.get_found() {
            return Ok(None);
        }
        let bytes = results.get_bytes().map_err(|_| PeerFault::NoAnswer)?;
        Ok(Some(bytes.to_vec()))
    }
}
