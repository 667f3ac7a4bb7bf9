//! Keeps this host in the membership view, which divides the backend servers' slots among the entry hosts, and
//! exchanges [`HostNews`] with the other entry hosts.

use rand::seq::SliceRandom;
use sandshelf_lease::HeadRow;
use sandshelf_model::{HostId, Millis, WorkerId};
use sandshelf_peer::HostNews;
use sandshelf_place::LatencyWindow;
use sandshelf_platform::{EntryRow, PlatformClient, RowCheck, TableKey, TableTxn};
use sandshelf_route::{MembershipView, RouteEvent};

use super::{ControlEvent, ControlState, PEERS_PER_EXCHANGE};

impl ControlState {
    /// Writes a new membership view where this host is missing from it or one of its members is gone.
    ///
    /// Does nothing while a write is pending, during a shutdown, or before this host's own entry is written.
    pub(super) fn maintain_view(&mut self) {
        if self.view_writing || self.stopping_since.is_some() || !self.entry_written {
            return;
        }
        let mut members = self.view.1.members.clone();
        members.retain(|member| !self.is_gone(member));
        if !members.contains(&self.entry.host) {
            members.push(self.entry.host.clone());
        }
        members.sort();
        if members == self.view.1.members {
            return;
        }
        self.view_writing = true;
        let txn = self.view_transaction(members);
        let platform = self.platform.clone();
        self.spawn(async move {
            let _ = platform.transact(&txn).await;
            Some(ControlEvent::ViewWritten)
        });
        self.due.rows = 0;
    }

    fn is_gone(&self, host: &HostId) -> bool {
        let router = &self.traffic.router;
        router.inspect(|core| core.share().is_gone(host))
    }

    /// Builds the write of a view with these members, conditional on the row version of the view last read.
    fn view_transaction(&self, members: Vec<HostId>) -> TableTxn {
        let router = &self.traffic.router;
        let view: MembershipView = router.inspect(|core| core.share().next_view(members));
        let key = TableKey::View.text();
        let token = format!("{}:view:{}", self.entry.host, view.version);
        let text = serde_json::to_string(&view).unwrap_or_default();
        TableTxn::new(&token)
            .check(RowCheck::new(&key, self.view.0))
            .put(&key, &text)
    }

    /// Builds the transaction that removes this host's entry and drain rows.
    ///
    /// To be committed after the host's last request: from then on it uses no slot.
    pub(super) fn leave_transaction(&self) -> (PlatformClient, TableTxn) {
        let txn = TableTxn::new(&format!("{}:leave", self.entry.host))
            .delete(&TableKey::Entry(&self.entry.host).text())
            .delete(&TableKey::Drain(&self.entry.name).text());
        (self.platform.clone(), txn)
    }

    /// The state that this host reports to other entry hosts, without latency windows.
    pub(super) fn own_news(&self) -> HostNews {
        let head = self.config.head();
        let router = &self.traffic.router;
        let (view_version, leaving) = router.inspect(|core| (core.view_version(), core.leaving()));
        let held = self.owners.values().filter(|owner| owner.epoch() > 0);
        let rooms = held.map(|owner| owner.room());
        HostNews {
            host: self.entry.host.clone(),
            view_version,
            revision: head.revision,
            digest: head.digest.clone(),
            leaving,
            rooms: rooms.filter(|room| room.cpu_millis > 0).collect(),
            stopping: self.members.is_stopping(),
            latencies: Vec::new(),
        }
    }

    /// Exchanges state with up to [`PEERS_PER_EXCHANGE`] other entry hosts, chosen at random.
    pub(super) fn exchange_with_peers(&mut self) {
        let own = &self.entry.host;
        let mut others: Vec<EntryRow> = self
            .entries
            .values()
            .filter(|entry| entry.host != *own)
            .cloned()
            .collect();
        others.shuffle(&mut rand::rng());
        let news = self.own_news();
        for entry in others.into_iter().take(PEERS_PER_EXCHANGE) {
            let links = self.links.clone();
            let mut news = news.clone();
            news.latencies = self.windows_to_send(&entry.host);
            self.spawn(async move {
                let answer = links.exchange(&entry.host, entry.peer, &news).await;
                answer.ok().map(ControlEvent::PeerAnswered)
            });
        }
    }

    /// The last latency windows of the workers whose shards `host` owns.
    ///
    /// Each window is sent only to the shard's owner, and only once: a second call for the same host in the same
    /// window returns none.
    fn windows_to_send(&mut self, host: &HostId) -> Vec<LatencyWindow> {
        if !self.windows_sent_to.insert(host.clone()) {
            return Vec::new();
        }
        let is_owner = |worker: &WorkerId| {
            let shard = self.worker_shards.get(worker);
            let owner = shard.and_then(|shard| self.owners.get(shard));
            let row = owner.and_then(|owner| owner.row());
            row.is_some_and(|stored| stored.row.owner.as_ref() == Some(host))
        };
        let windows = self.last_windows.iter();
        windows
            .filter(|window| is_owner(&window.worker))
            .cloned()
            .collect()
    }

    /// Applies the state that another entry host reported, in its own call or in its answer to ours.
    pub(super) fn handle_peer_news(&mut self, now: Millis, news: HostNews) {
        self.members.note_alive(now, &news.host, news.stopping);
        if news.view_version > self.view.1.version {
            self.due.rows = 0;
        }
        let router = &self.traffic.router;
        router.handle(RouteEvent::PeerViewReported {
            host: news.host.clone(),
            version: news.view_version,
        });
        if !news.leaving.is_empty() {
            router.handle(RouteEvent::ServersLeaving(news.leaving));
        }
        for room in news.rooms {
            self.rooms.insert(room.shard.clone(), room);
        }
        if !news.latencies.is_empty() {
            self.peer_windows.insert(news.host.clone(), news.latencies);
        }
        let head = HeadRow {
            revision: news.revision,
            digest: news.digest,
            ..HeadRow::default()
        };
        self.handle_head(&head, Some(&news.host));
    }
}
