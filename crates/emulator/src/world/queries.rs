//! Queries of an owner that can't renew its ownership: for how long the other hosts don't claim the shard.

use sandshelf_model::Millis;

use super::cuts::HALLS;
use super::{EmulatedWorld, HostIncarnation, WorldEvent};
use crate::host::WorkItem;
use crate::queue::Micros;

/// The time from a query to its replies.
const REPLY_TIME_US: Micros = 2_000;
/// The longest time from a query for which the shard counts as unclaimed, as in the jobs crate's `relay/quorum.rs`.
const MAX_UNCLAIMED_MS: Millis = 1_200;

impl EmulatedWorld {
    /// Asks all other hosts for an owner, which learns what half of the hosts of each hall reply. A host that is down or cut off does
    /// not reply.
    pub(super) fn query_hosts(&mut self, owner: HostIncarnation, asked: Millis) {
        let halls = (0..HALLS).map(|hall| self.hall_unclaimed_ms(owner.host, hall));
        let halls: Vec<Option<Millis>> = halls.collect();
        let Some(Some(unclaimed_ms)) = halls.into_iter().min() else {
            return;
        };
        let until = asked + unclaimed_ms.min(MAX_UNCLAIMED_MS);
        let replies = WorldEvent::HostReceives(owner, WorkItem::Unclaimed(asked, until));
        self.queue.push(self.now + REPLY_TIME_US, replies);
    }

    /// For how long half of the hosts of a hall don't claim the shard. An owner that is alone in its hall never claims it
    /// again.
    fn hall_unclaimed_ms(&mut self, owner: usize, hall: usize) -> Option<Millis> {
        let members = (0..self.hosts.len())
            .filter(|host| *host != owner && self.halls.hall_of_host(*host) == hall);
        let members: Vec<usize> = members.collect();
        let Some(half) = members.len().div_ceil(2).checked_sub(1) else {
            let alone = self.halls.hall_of_host(owner) == hall;
            return alone.then_some(Millis::MAX);
        };
        let replies = members.iter().map(|host| self.query_host(owner, *host));
        let mut replies: Vec<Option<Millis>> = replies.collect();
        replies.sort_unstable_by(|one, other| other.cmp(one));
        replies[half]
    }

    fn query_host(&mut self, owner: usize, host: usize) -> Option<Millis> {
        let connected = self.hosts[host].up
            && self.hosts[host].hears_hosts(self.now)
            && self.hosts[owner].hears_hosts(self.now)
            && self.halls.reaches_host(self.now, owner, host)
            && self.halls.reaches_host(self.now, host, owner);
        if !connected {
            return None;
        }
        self.hosts[host].answer_shard_query(self.now)
    }
}
