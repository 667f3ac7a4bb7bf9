//! Serves the calls of other entry hosts.

use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp::Error;
use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork, RpcSystem};
use sandshelf_http::{AdmittedHost, HostGate, LimitHit};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::news::HostNews;
use crate::peer_capnp::entry_peer;

/// How a daemon answers the calls of other entry hosts.
pub trait PeerHandler: 'static {
    /// Applies another host's update and returns this host's.
    fn exchange(&self, news: HostNews) -> HostNews;

    /// Returns the bytes of the configuration with the given digest, if this host has them.
    fn configuration(&self, digest: &str) -> Option<Vec<u8>>;
}

/// The timeout for the first call on a connection.
const FIRST_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest call that is read, in words of 8 bytes: 1 MiB. Calls carry the state of one host.
const MAX_CALL_WORDS: usize = 128 * 1024;
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The port to which other entry hosts connect.
#[derive(Debug)]
pub struct PeerPort {
    /// The listener.
    pub listener: TcpListener,
    /// Bounds the connections.
    pub gate: HostGate,
}

struct PeerService<H> {
    handler: Rc<H>,
    first_call: Rc<Notify>,
}

impl<H: PeerHandler> entry_peer::Server for PeerService<H> {
    async fn exchange(
        self: capnp::capability::Rc<Self>,
        params: entry_peer::ExchangeParams,
        mut results: entry_peer::ExchangeResults,
    ) -> Result<(), Error> {
        self.first_call.notify_one();
        let news = HostNews::read(params.get()?.get_news()?)?;
        let answer = self.handler.exchange(news);
        answer.write(results.get().init_news());
        Ok(())
    }

    async fn configuration(
        self: capnp::capability::Rc<Self>,
        params: entry_peer::ConfigurationParams,
        mut results: entry_peer::ConfigurationResults,
    ) -> Result<(), Error> {
        self.first_call.notify_one();
        let digest = params.get()?.get_digest()?.to_str()?;
        let bytes = self.handler.configuration(digest);
        results.get().set_found(bytes.is_some());
        if let Some(bytes) = bytes {
            results.get().set_bytes(&bytes);
        }
        Ok(())
    }
}

/// Serves other entry hosts and never returns. It must run within a `LocalSet`.
///
/// A connection on which no call comes in time is closed.
pub async fn serve_peers<H: PeerHandler>(port: PeerPort, handler: Rc<H>) {
    let PeerPort { listener, gate } = port;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            gate.report(LimitHit::Accept);
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let Some(admitted) = gate.admit().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        spawn_local(serve_peer(stream, admitted, handler.clone()));
    }
}

/// Serves a connection until it ends, has to make room or carries no call in time.
async fn serve_peer<H: PeerHandler>(stream: TcpStream, admitted: AdmittedHost, handler: Rc<H>) {
    let first_call = Rc::new(Notify::new());
    let service = PeerService {
        handler,
        first_call: first_call.clone(),
    };
    let client: entry_peer::Client = capnp_rpc::new_client(service);
    let (read, write) = stream.into_split();
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_CALL_WORDS));
    let network = VatNetwork::new(
        futures::io::BufReader::new(read.compat()),
        futures::io::BufWriter::new(write.compat_write()),
        Side::Server,
        options,
    );
    let mut system = RpcSystem::new(Box::new(network), Some(client.client));
    tokio::select! {
        _ = &mut system => return,
        () = admitted.replaced() => return,
        () = sleep(FIRST_CALL_TIMEOUT) => return admitted.report(LimitHit::HeadTime),
        () = first_call.notified() => if !admitted.keep() { return },
    }
    let _ = system.await;
}
