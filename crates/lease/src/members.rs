//! The entry hosts that one host has recently heard from, and their ranking for claims of a shard.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{rendezvous_score, HostId, Millis, ShardId};

/// A host that was not heard from for this many milliseconds is not a candidate for
/// claims. Safety doesn't depend on it.
const HOST_SILENT_AFTER_MS: Millis = 3_000;

#[derive(Clone, Copy, Debug)]
struct SeenHost {
    at: Millis,
    stopping: bool,
}

/// The entry hosts with the time at which each was last heard from.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: HostId,
    stopping: bool,
    last_seen: BTreeMap<HostId, SeenHost>,
    gone: BTreeSet<HostId>,
}

impl MemberTable {
    /// Creates a table that knows only the host itself.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            stopping: false,
            last_seen: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Records that this host is stopping, so that it claims no more shards.
    pub fn note_stopping(&mut self) {
        self.stopping = true;
    }

    /// Whether this host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Records that `host` is alive; ignored for hosts that are gone for good and for this host.
    pub fn note_alive(&mut self, now: Millis, host: &HostId, stopping: bool) {
        if *host != self.own && !self.gone.contains(host) {
            self.last_seen
                .insert(host.clone(), SeenHost { at: now, stopping });
        }
    }

    /// Records that `host` is gone for good; returns false if that was known.
    pub fn note_gone(&mut self, host: &HostId) -> bool {
        self.last_seen.remove(host);
        self.gone.insert(host.clone())
    }

    /// The hosts that are gone for good.
    pub fn gone(&self) -> impl Iterator<Item = &HostId> {
        self.gone.iter()
    }

    /// The candidates for claims, sorted: this host and those heard from recently, without hosts that are stopping.
    pub fn candidates(&self, now: Millis) -> Vec<&HostId> {
        let is_recent = |seen: &SeenHost| !seen.stopping && now < seen.at + HOST_SILENT_AFTER_MS;
        let others = self.last_seen.iter().filter(|(_, seen)| is_recent(seen));
        let mut hosts: Vec<&HostId> = others.map(|(host, _)| host).collect();
        if !self.stopping {
            hosts.push(&self.own);
        }
        hosts.sort();
        hosts
    }

    /// This host's position among the candidates for a shard, from 0; none while it is stopping.
    ///
    /// The shard's owner is not counted: the shard can only be claimed once its owner no longer renews the lease.
    pub fn rank(&self, now: Millis, shard: &ShardId, owner: Option<&HostId>) -> Option<u32> {
        if self.stopping {
            return None;
        }
        let own = score(shard, &self.own);
        let ahead = self.candidates(now).into_iter();
        let ahead = ahead.filter(|host| **host != self.own && Some(*host) != owner);
        let ahead = ahead.filter(|host| score(shard, host) > own);
        Some(ahead.count() as u32)
    }
}

fn score(shard: &ShardId, host: &HostId) -> u64 {
    rendezvous_score(shard.as_str(), 0, host.as_str())
}
