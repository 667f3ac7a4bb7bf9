//! Asks the other hosts about the shard while its owner can't renew its ownership.
//!
//! In a store outage that affects all hosts nobody can claim the shard, and the owner should go on. If only the owner's own connection to the
//! store is cut, another host claims the shard. The owner can't distinguish the two cases by itself, so it queries the hosts that are
//! connected to it. Each replies for how long it certainly doesn't claim the shard. The periods in successive replies of a host have to
//! join without a gap; otherwise a reply is ignored, since the host may have claimed the shard in between and be down by now.
//!
//! A host that doesn't reply may be dead, or cut off together with the workers of its hall. Therefore half of the hosts have to reply in each
//! hall with workers. Not all hosts are required, since a single dead host would end all work in a long outage. An owner that knows no other
//! host can ask nobody: hosts that never connect, or have not connected yet, may claim.
//!
//! A host without the store replies with a whole lease of the shard. One that replies with less has seen the owner's row and may claim it,
//! whatever the other hosts report and although its connection may end before it claims. So the owner relies on no time beyond that
//! host's reply until the host reports that it lost the store, too.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{HallId, HostId, Millis};

use super::messages::ShardObservation;

/// How long the refusal of a host of another version counts. Such a host keeps connecting, and while it does, its replies are unknown.
const REFUSAL_EFFECT_MS: Millis = 5_000;
/// The longest time from now for which the shard counts as unclaimed. It limits an owner that is alone in its hall to the period that another
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
    /// The newest query to which the host replied that it may claim in less than a whole lease; none once it has lost the store.
    may_claim: Option<u64>,
}

/// The hosts that an owner queries, and what they have replied.
#[derive(Clone, Debug, Default)]
pub(super) struct OutageQuorum {
    members: BTreeMap<HostId, QuorumMember>,
    /// By the owner's newest renewal, nobody claims the shard before this time.
    renewed_until: Millis,
    /// How long a host without the store can't claim the shard, in milliseconds.
    lease_ms: Millis,
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
            may_claim: None,
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
    /// `renewed_until`. Hosts whose connections ended before that renewal are forgotten, and so is which hosts might have claimed.
    pub(super) fn ask(&mut self, now: Millis, renewed_at: Millis, renewed_until: Millis) -> u64 {
        if renewed_until > self.renewed_until {
            self.members
                .values_mut()
                .for_each(|member| member.may_claim = None);
        }
        self.renewed_until = renewed_until;
        self.lease_ms = renewed_until.saturating_sub(renewed_at);
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
        let joins = *asked <= known;
        if observation.claims_after_ms < self.lease_ms {
            member.may_claim = member.may_claim.max(Some(number));
        } else if joins && member.may_claim.is_some_and(|query| query < number) {
            member.may_claim = None;
        }
        if joins {
            // The host replied after the query was sent, so its period ends no earlier than counted from the sending.
            member.unclaimed_until = known.max(asked + observation.claims_after_ms);
        }
    }

    /// The time before which no host claims the shard, by the replies of half of the hosts of each hall and of every host that may claim;
    /// none if too few replied.
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
        if self.members.is_empty() {
            return None;
        }
        halls.extend(self.members.values().map(|member| &member.hall));
        let unclaimed = halls
            .into_iter()
            .map(|hall| self.hall_unclaimed_until(hall, own_hall));
        let until = unclaimed.min().flatten()?;
        let claimants = self
            .members
            .values()
            .filter(|member| member.may_claim.is_some());
        let claimed_from = claimants.map(|member| member.unclaimed_until.max(self.renewed_until));
        let until = claimed_from.fold(until, Millis::min);
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
