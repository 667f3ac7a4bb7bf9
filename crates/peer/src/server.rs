//! Serves the calls of other entry hosts.

use std::rc::Rc;

use capnp::Error;
use capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork, RpcSystem};
use tokio::net::TcpListener;
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

struct PeerService<H> {
    handler: Rc<H>,
}

impl<H: PeerHandler> entry_peer::Server for PeerService<H> {
    async fn exchange(
        self: capnp::capability::Rc<Self>,
        params: entry_peer::ExchangeParams,
        mut results: entry_peer::ExchangeResults,
    ) -> Result<(), Error> {
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
pub async fn serve_peers<H: PeerHandler>(listener: TcpListener, handler: Rc<H>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = PeerService {
            handler: handler.clone(),
        };
        let client: entry_peer::Client = capnp_rpc::new_client(service);
        let (read, write) = stream.into_split();
        let network = VatNetwork::new(
            futures::io::BufReader::new(read.compat()),
            futures::io::BufWriter::new(write.compat_write()),
            Side::Server,
            Default::default(),
        );
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        tokio::task::spawn_local(system);
    }
}
