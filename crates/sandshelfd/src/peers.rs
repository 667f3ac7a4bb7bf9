//! Exchanges news with the other entry hosts, a few at a time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sandshelf_model::HostId;
use sandshelf_peer::{HostNews, PeerClient, PeerFault};

/// How long a peer's answer is waited for.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Connections to the other entry hosts.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<HostId, Rc<PeerClient>>>,
}

impl PeerLinks {
    /// Tells `host` what is known here and returns what it knows.
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

    /// Asks `host` for a configuration's bytes.
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
