//! Fetches newer configurations from the store or from another entry host and puts them in force.

use std::sync::Arc;

use sandshelf_lease::{HeadRow, HeadVerdict, ShardEvent};
use sandshelf_model::{HostId, Millis, ShardId};
use sandshelf_platform::TableKey;
use sandshelf_route::RouteEvent;

use super::{ControlEvent, ControlState};
use crate::logging::event;
use crate::meters;

impl ControlState {
    pub(super) fn read_head(&self) {
        let platform = self.platform.clone();
        self.spawn(async move {
            let read = platform.read_row(&TableKey::Head.text()).await;
            meters::note_platform("read", read.is_ok());
            let row = read.ok()??;
            let head = serde_json::from_str(&row.value).ok()?;
            Some(ControlEvent::HeadRead(head))
        });
    }

    /// Fetches the configuration set of `head` where it is newer than the one in force.
    ///
    /// `from` is the entry host that reported the head; it is asked for the set first, then the store. Does nothing
    /// while another fetch is running.
    pub(super) fn handle_head(&mut self, head: &HeadRow, from: Option<&HostId>) {
        if self.fetching {
            return;
        }
        let HeadVerdict::Fetch(head) = self.config.judge(head) else {
            return;
        };
        self.fetching = true;
        let platform = self.platform.clone();
        let links = self.links.clone();
        let peer = from.and_then(|host| self.entries.get(host)).cloned();
        self.spawn(async move {
            if let Some(peer) = peer {
                let fetched = links.configuration(&peer.host, peer.peer, &head.digest);
                if let Some(bytes) = fetched.await {
                    return Some(ControlEvent::SetFetched(head, bytes));
                }
            }
            match platform.get_object(&head.digest).await {
                Ok(bytes) => Some(ControlEvent::SetFetched(head, bytes)),
                Err(_) => Some(ControlEvent::SetFetchFailed),
            }
        });
    }

    pub(super) fn apply_set(&mut self, now: Millis, head: &HeadRow, bytes: &[u8]) {
        self.fetching = false;
        if !self.config.put_in_force(head, bytes) {
            return;
        }
        self.config_bytes = bytes.to_vec();
        event(
            "config_in_force",
            &[("revision", &head.revision), ("digest", &head.digest)],
        );
        meters::show_revision(head.revision);
        self.publish_view();
        if let Some(set) = self.config.set() {
            let slots = set.backends.slots;
            self.traffic.router.handle(RouteEvent::SlotsSet(slots));
        }
        self.configure_owners(now);
    }

    /// Sends the configuration in force to every shard owner, once both a configuration and the shard list are known.
    pub(super) fn configure_owners(&mut self, now: Millis) {
        let Some(set) = self.config.set().cloned() else {
            return;
        };
        if self.shard_ids.is_empty() {
            return;
        }
        let revision = self.config.head().revision;
        let shards: Vec<ShardId> = self.owners.keys().cloned().collect();
        for shard in shards {
            let event = ShardEvent::Configured {
                revision,
                set: Arc::clone(&set),
                shards: self.shard_ids.clone(),
            };
            self.feed(now, &shard, event);
        }
    }
}
