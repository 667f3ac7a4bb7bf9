//! Connections to the other entry hosts, kept open between calls.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandshelf_model::HostId;
use sandshelf_peer::{HostNews, PeerClient, PeerFault};

/// The timeout for connecting to another entry host, and the longest that it may send nothing during a call.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The open connections to other entry hosts, by host.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<HostId, Rc<PeerClient>>>,
}

impl PeerLinks {
    /// Sends this host's state to `host` and returns that host's state.
    ///
    /// Connects where there is no connection yet; a connection on which the call failed is dropped.
    pub async fn exchange(
        &self,
        host: &HostId,
        address: SocketAddr,
        news: &HostNews,
    ) -> Result<HostNews, PeerFault> {
        let link = self.link(host, address).await?;
        let answer = link.exchange(news).await;
        if answer.is_err() {
            self.links.borrow_mut().remove(host);
        }
        answer
    }

    /// Fetches the bytes of the configuration with this digest from `host`.
    ///
    /// None where the host does not have it in force or does not answer.
    pub async fn configuration(
        &self,
        host: &HostId,
        address: SocketAddr,
        digest: &str,
    ) -> Option<Vec<u8>> {
        let link = self.link(host, address).await.ok()?;
        link.configuration(digest).await.ok().flatten()
    }

    async fn link(&self, host: &HostId, address: SocketAddr) -> Result<Rc<PeerClient>, PeerFault> {
        let known = self.links.borrow().get(host).cloned();
        if let Some(link) = known {
            return Ok(link);
        }
        let link = Rc::new(PeerClient::connect(address, PEER_CALL_TIMEOUT).await?);
        self.links.borrow_mut().insert(host.clone(), link.clone());
        Ok(link)
    }
}
