//! Asks the other hosts about the shard while its owner can't renew its ownership.
//!
//! In a store outage that affects all hosts nobody can claim the shard, and the owner should go on. If only the owner's own connection to the
//! store is cut, another host claims the shard. The owner can't distinguish the two cases by itself, so it queries the hosts that are
//! connected to it. Each replies for how long it certainly doesn't claim the shard. The periods in successive replies of a host have to
//! join without a gap; otherwise a reply is ignored, since the host may have claimed the shard in between and be down by now.
//!
//! A host that doesn't reply may be dead, or cut off together with the workers of its hall. Therefore half of the hosts have to reply in each
//! hall with workers. Not all hosts are required, since a single dead host would end all work in a long outage.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{HallId, HostId, Millis};

use super::messages::ShardObservation;

/// How long the refusal of a host of another version counts. Such a host keeps connecting, and while it does, its replies are unknown.
const REFUSAL_EFFECT_MS: Millis = 5_000;
/// The longest time from now for which the shard counts as unclaimed. It limits an owner that knows no other host to the period that another
/// host's reply would give.
const MAX_UNCLAIMED_MS: Millis = 1_200;
/// How many of the newest queries are remembered; replies to older ones arrive too late to be of use.
const MAX_REMEMBERED_QUERIES: usize = 16;

/// A host that is connected to the owner, or was when the owner last renewed its ownership.
#[derive(Clone, Debug)]
struct QuorumMember {
    hall: HallId,
    /// When the connection of the host ended; none while it is connected.
    disconnected_at: Option<Millis>,
    /// The host doesn't claim the shard before this time.
    unclaimed_until: Millis,
}

/// The hosts that an owner queries, and what they have replied.
#[derive(Clone, Debug, Default)]
pub(super) struct OutageQuorum {
    members: BTreeMap<HostId, QuorumMember>,
    /// By the owner's newest renewal, nobody claims the shard before this time.
    renewed_until: Millis,
    /// When each of the newest queries was sent, by query number.
    queried_at: BTreeMap<u64, Millis>,
    query_count: u64,
    refused_at: Option<Millis>,
}

impl OutageQuorum {
    pub(super) fn note_connected(&mut self, host: &HostId, hall: &HallId) {
        let member = self.members.entry(host.clone());
        let member = member.or_insert_with(|| QuorumMember {
            hall: hall.clone(),
            disconnected_at: None,
            unclaimed_until: 0,
        });
        member.disconnected_at = None;
    }

    pub(super) fn note_disconnected(&mut self, now: Millis, host: &HostId) {
        if let Some(member) = self.members.get_mut(host) {
            member.disconnected_at.get_or_insert(now);
        }
    }

    pub(super) fn note_refused(&mut self, now: Millis) {
        self.refused_at = Some(now);
    }

    /// Starts a query and returns its number. The owner last renewed at `renewed_at`, so that nobody claims the shard before
    /// `renewed_until`. Hosts whose connections ended before that renewal are forgotten.
    pub(super) fn ask(&mut self, now: Millis, renewed_at: Millis, renewed_until: Millis) -> u64 {
        self.renewed_until = renewed_until;
        let recent =
            |member: &QuorumMember| member.disconnected_at.is_none_or(|at| at >= renewed_at);
        self.members.retain(|_, member| recent(member));
        self.query_count += 1;
        self.queried_at.insert(self.query_count, now);
        if self.queried_at.len() > MAX_REMEMBERED_QUERIES {
            self.queried_at.pop_first();
        }
        self.query_count
    }

    /// Records a host's reply to a query; ignored if the host or the query is not known any more.
    pub(super) fn record_reply(
        &mut self,
        host: &HostId,
        number: u64,
        observation: ShardObservation,
    ) {
        let (Some(member), Some(asked)) =
            (self.members.get_mut(host), self.queried_at.get(&number))
        else {
            return;
        };
        let known = member.unclaimed_until.max(self.renewed_until);
        if *asked <= known {
            // The host replied after the query was sent, so its period ends no earlier than counted from the sending.
            member.unclaimed_until = known.max(asked + observation.claims_after_ms);
        }
    }

    /// The time before which no host claims the shard, by the replies of half of the hosts of each hall; none if too few replied.
    pub(super) fn unclaimed_until<'a>(
        &'a self,
        now: Millis,
        own_hall: &HallId,
        mut halls: BTreeSet<&'a HallId>,
    ) -> Option<Millis> {
        if self
            .refused_at
            .is_some_and(|at| now < at + REFUSAL_EFFECT_MS)
        {
            return None;
        }
        halls.extend(self.members.values().map(|member| &member.hall));
        let unclaimed = halls
            .into_iter()
            .map(|hall| self.hall_unclaimed_until(hall, own_hall));
        let until = unclaimed.min().flatten()?;
        Some(until.min(now + MAX_UNCLAIMED_MS))
    }

    /// The time before which half of the hosts of a hall don't claim the shard. An owner that is alone in its hall never claims it again.
    fn hall_unclaimed_until(&self, hall: &HallId, own_hall: &HallId) -> Option<Millis> {
        let members = self.members.values().filter(|member| member.hall == *hall);
        let mut until: Vec<Millis> = members.map(|member| member.unclaimed_until).collect();
        if until.is_empty() && hall == own_hall {
            return Some(Millis::MAX);
        }
        until.sort_unstable_by(|one, other| other.cmp(one));
        let half = until.len().div_ceil(2);
        until.get(half.checked_sub(1)?).copied()
    }
}
