//! Applies the platform's host list and the rows that entry hosts share.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use sandshelf_lease::ShardEvent;
use sandshelf_model::{rendezvous_score, HallId, HostId, Millis, ShardId, WorkerId};
use sandshelf_place::WorkerEntry;
use sandshelf_platform::{
    EntryRow, HostEntry, HostKind, HostList, HostState, PlatformClient, ReadRange, RowCheck,
    ShardMap, ShardPlace, StoreFault, TableKey, TableTxn,
};
use sandshelf_route::{MembershipView, RouteEvent, ServerEntry, ServerState};

use super::{ControlEvent, ControlState, SharedRows};
use crate::logging::event;
use crate::meters;

/// The maximum number of workers per shard when the shard map is first created.
const WORKERS_PER_SHARD: usize = 64;

impl ControlState {
    pub(super) fn read_list(&self) {
        let platform = self.platform.clone();
        self.spawn(async move {
            let list = platform.host_list().await;
            meters::note_platform("list", list.is_ok());
            list.ok().map(ControlEvent::ListRead)
        });
    }

    pub(super) fn read_rows(&self) {
        let platform = self.platform.clone();
        self.spawn(async move {
            let rows = read_shared_rows(&platform).await;
            meters::note_platform("read", rows.is_ok());
            rows.ok().map(ControlEvent::RowsRead)
        });
    }

    /// Applies a host list, unless a newer one has been applied.
    pub(super) fn handle_host_list(&mut self, now: Millis, list: HostList) {
        if list.as_of < self.list.as_of {
            return;
        }
        self.list = list;
        self.create_shard_map();
        self.report_servers();
        self.report_workers(now);
        self.publish_view();
    }

    fn report_servers(&self) {
        let mut entries = Vec::new();
        let mut gone = Vec::new();
        let mut leaving = Vec::new();
        for host in &self.list.hosts {
            let HostKind::Backend { service, .. } = &host.kind else {
                continue;
            };
            match host.state {
                HostState::Gone => gone.push(host.server_id()),
                HostState::Leaving => leaving.push(host.server_id()),
                HostState::Live => {}
            }
            if host.state != HostState::Gone {
                entries.push(ServerEntry {
                    server: host.server_id(),
                    service: service.clone(),
                    hall: host.hall.clone(),
                    state: ServerState::Live,
                });
            }
        }
        let router = &self.traffic.router;
        router.handle(RouteEvent::ServersListed(entries));
        router.handle(RouteEvent::ServersLeaving(leaving));
        router.handle(RouteEvent::ServersGone(gone));
    }

    /// Reports to each shard owner the workers of its shard.
    fn report_workers(&mut self, now: Millis) {
        let mut addresses = HashMap::new();
        let mut shards = HashMap::new();
        let mut lists: BTreeMap<ShardId, WorkerLists> = BTreeMap::new();
        for host in &self.list.hosts {
            let HostKind::Worker { .. } = &host.kind else {
                continue;
            };
            addresses.insert(host.worker_id(), host.address);
            if let Some(shard) = self.shard_of(&host.hall, &host.worker_id()) {
                let drained = self.drains.contains(&host.name);
                shards.insert(host.worker_id(), shard.clone());
                lists.entry(shard).or_default().add(host, drained);
            }
        }
        self.worker_addresses = Rc::new(addresses);
        self.worker_shards = shards;
        for (shard, lists) in lists {
            let event = ShardEvent::WorkersListed {
                present: lists.present,
                leaving: lists.leaving,
                gone: lists.gone,
            };
            self.feed(now, &shard, event);
        }
    }

    /// The shard to which a worker belongs, by rendezvous hashing.
    ///
    /// Only the shards of the worker's hall are considered, or all shards where that hall has none. None before the
    /// shard map is known.
    fn shard_of(&self, hall: &HallId, worker: &WorkerId) -> Option<ShardId> {
        let map = self.map.as_ref()?;
        let in_hall = map.shards.iter().any(|place| &place.hall == hall);
        let shards = map
            .shards
            .iter()
            .filter(|place| !in_hall || &place.hall == hall);
        let best =
            shards.max_by_key(|place| rendezvous_score(place.shard.as_str(), 0, worker.as_str()));
        best.map(|place| place.shard.clone())
    }

    /// Writes the shard map where none is known yet; the write takes effect only where no host has written one.
    fn create_shard_map(&mut self) {
        if self.map.is_some() {
            return;
        }
        let mut halls: BTreeMap<HallId, usize> = BTreeMap::new();
        for host in &self.list.hosts {
            if matches!(host.kind, HostKind::Worker { .. }) {
                *halls.entry(host.hall.clone()).or_default() += 1;
            }
        }
        if halls.is_empty() {
            return;
        }
        let mut map = ShardMap::default();
        for (hall, workers) in halls {
            for index in 0..workers.div_ceil(WORKERS_PER_SHARD) {
                map.shards.push(ShardPlace {
                    shard: ShardId::from(format!("{hall}-{index}")),
                    hall: hall.clone(),
                });
            }
        }
        let key = TableKey::Shards.text();
        let text = serde_json::to_string(&map).unwrap_or_default();
        let txn = TableTxn::new(&format!("{}:shards", self.entry.host))
            .check(RowCheck::new(&key, 0))
            .put(&key, &text);
        let platform = self.platform.clone();
        self.spawn(async move {
            let _ = platform.transact(&txn).await;
            None
        });
    }

    pub(super) fn handle_shared_rows(&mut self, now: Millis, rows: SharedRows) {
        if let (None, Some(map)) = (&self.map, rows.shards) {
            self.apply_shard_map(now, map);
        }
        self.apply_entries(rows.entries);
        self.note_members_without_entry(&rows.view.1);
        if rows.drains.contains(self.entry.name.as_str()) && self.stopping_since.is_none() {
            event("drained", &[("host", &self.entry.host)]);
            self.begin_stop(now);
        }
        if rows.drains != self.drains {
            self.drains = rows.drains;
            self.report_workers(now);
        }
        if rows.view.0 > self.view.0 {
            self.view = rows.view;
            let view = self.view.1.clone();
            self.traffic.router.handle(RouteEvent::ViewRead(view));
        }
        if !self.entry_written {
            self.write_entry();
        }
    }

    fn apply_shard_map(&mut self, now: Millis, map: ShardMap) {
        let ids = map.shards.iter().map(|place| place.shard.clone());
        self.shard_ids = Arc::new(ids.collect());
        self.create_owners(&map);
        self.map = Some(map);
        self.report_workers(now);
        self.configure_owners(now);
    }

    /// Applies the entry hosts' rows and records the hosts that are gone.
    ///
    /// A host whose peer address is now this host's is an earlier incarnation and is gone, because an address has
    /// only one listener.
    fn apply_entries(&mut self, entries: Vec<EntryRow>) {
        let own = &self.entry;
        let replaced: Vec<HostId> = entries
            .iter()
            .filter(|entry| entry.host != own.host && entry.peer == own.peer)
            .map(|entry| entry.host.clone())
            .collect();
        self.entry_written |= entries.iter().any(|entry| entry.host == own.host);
        self.entries = entries
            .into_iter()
            .map(|entry| (entry.host.clone(), entry))
            .collect();
        let listed_gone: Vec<HostId> = self
            .entries
            .values()
            .filter(|entry| self.is_listed_gone(&entry.name))
            .map(|entry| entry.host.clone())
            .collect();
        for host in replaced.into_iter().chain(listed_gone) {
            self.note_host_gone(&host);
        }
    }

    /// Records the members of a view that have no entry as gone.
    ///
    /// Such a member has shut down gracefully, or another host found it to be gone.
    fn note_members_without_entry(&mut self, view: &MembershipView) {
        let views = view.earlier.iter().chain([view]);
        let left: BTreeSet<HostId> = views
            .flat_map(|view| &view.members)
            .filter(|member| **member != self.entry.host && !self.entries.contains_key(member))
            .cloned()
            .collect();
        for host in left {
            self.note_host_gone(&host);
        }
    }

    fn is_listed_gone(&self, name: &str) -> bool {
        self.list.hosts.iter().any(|host| {
            host.kind == HostKind::Entry && host.name == name && host.state == HostState::Gone
        })
    }

    fn note_host_gone(&mut self, host: &HostId) {
        self.entries.remove(host);
        if self.members.note_gone(host) {
            event("entry_host_gone", &[("host", host)]);
            self.traffic
                .router
                .handle(RouteEvent::HostsGone(vec![host.clone()]));
            let platform = self.platform.clone();
            let key = TableKey::Entry(host).text();
            let txn = TableTxn::new(&format!("{}:gone:{host}", self.entry.host)).delete(&key);
            self.spawn(async move {
                let _ = platform.transact(&txn).await;
                None
            });
        }
    }

    /// Writes this host's entry with the addresses on which it listens, so that other entry hosts can reach it.
    fn write_entry(&self) {
        let key = TableKey::Entry(&self.entry.host).text();
        let text = serde_json::to_string(&self.entry).unwrap_or_default();
        let txn = TableTxn::new(&format!("{}:entry", self.entry.host)).put(&key, &text);
        let platform = self.platform.clone();
        self.spawn(async move {
            let _ = platform.transact(&txn).await;
            None
        });
    }
}

#[derive(Default)]
struct WorkerLists {
    present: Vec<WorkerEntry>,
    leaving: BTreeSet<WorkerId>,
    gone: BTreeSet<WorkerId>,
}

impl WorkerLists {
    fn add(&mut self, host: &HostEntry, drained: bool) {
        let HostKind::Worker { capacity, services } = &host.kind else {
            return;
        };
        if host.state == HostState::Gone {
            self.gone.insert(host.worker_id());
            return;
        }
        if drained || host.state == HostState::Leaving {
            self.leaving.insert(host.worker_id());
        }
        self.present.push(WorkerEntry {
            worker: host.worker_id(),
            hall: host.hall.clone(),
            rack: host.rack.clone(),
            capacity: *capacity,
            services: services.clone(),
        });
    }
}

async fn read_shared_rows(platform: &PlatformClient) -> Result<SharedRows, StoreFault> {
    // The view is read before the entries: a host writes its entry before it joins the view, so a member of this
    // view without an entry has left.
    let view = platform.read_row(&TableKey::View.text()).await?;
    let entries = ReadRange::prefix(&TableKey::Entries.text());
    let entries = platform.read_range(&entries).await?;
    let drains = ReadRange::prefix(&TableKey::Drains.text());
    let drains = platform.read_range(&drains).await?;
    let shards = platform.read_row(&TableKey::Shards.text()).await?;
    let prefix = TableKey::Drains.text();
    Ok(SharedRows {
        entries: entries
            .iter()
            .filter_map(|row| serde_json::from_str(&row.value).ok())
            .collect(),
        drains: drains
            .iter()
            .filter_map(|row| row.key.strip_prefix(&prefix).map(str::to_owned))
            .collect(),
        shards: shards.and_then(|row| serde_json::from_str(&row.value).ok()),
        view: view
            .and_then(|row| Some((row.version, serde_json::from_str(&row.value).ok()?)))
            .unwrap_or_default(),
    })
}
