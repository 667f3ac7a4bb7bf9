//! Which entry hosts are there, as far as one of them hears, and whose turn it is to claim a shard.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{rendezvous_score, HostId, Millis, ShardId};

/// Hosts not heard of for so long don't count when shards are claimed; safety never rests on it.
const SILENT_AFTER_MS: Millis = 3_000;

#[derive(Clone, Copy, Debug)]
struct HeardHost {
    at: Millis,
    stopping: bool,
}

/// Entry hosts by when they were last heard of.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: HostId,
    stopping: bool,
    heard: BTreeMap<HostId, HeardHost>,
    gone: BTreeSet<HostId>,
}

impl MemberTable {
    /// Knows only the host itself.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            stopping: false,
            heard: BTreeMap::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Notes that this host is stopping and wants no shard.
    pub fn note_stopping(&mut self) {
        self.stopping = true;
    }

    /// Whether this host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Notes that `host` was heard of.
    pub fn note_alive(&mut self, now: Millis, host: &HostId, stopping: bool) {
        if *host != self.own && !self.gone.contains(host) {
            self.heard
                .insert(host.clone(), HeardHost { at: now, stopping });
        }
    }

    /// Notes that `host` is gone for good; returns whether that was news.
    pub fn note_gone(&mut self, host: &HostId) -> bool {
        self.heard.remove(host);
        self.gone.insert(host.clone())
    }

    /// The hosts that are gone for good.
    pub fn gone(&self) -> impl Iterator<Item = &HostId> {
        self.gone.iter()
    }

    /// The hosts that want shards: this one unless it is stopping, and those heard of lately.
    pub fn candidates(&self, now: Millis) -> Vec<&HostId> {
        let lately = |heard: &HeardHost| !heard.stopping && now < heard.at + SILENT_AFTER_MS;
        let others = self.heard.iter().filter(|(_, heard)| lately(heard));
        let mut hosts: Vec<&HostId> = others.map(|(host, _)| host).collect();
        if !self.stopping {
            hosts.push(&self.own);
        }
        hosts.sort();
        hosts
    }

    /// This host's place among the candidates for a shard, from 0; none while it is stopping.
    ///
    /// The shard's owner doesn't count: the shard is only free to be claimed when its owner no longer renews it.
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
