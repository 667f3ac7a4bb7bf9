//! What the other hosts say of the shard while its owner can't renew its ownership.
//!
//! In an outage that all hosts share nobody can claim the shard, and the owner had better go on. Where only its own way to the store is cut,
//! another host claims. The owner can't tell the two apart by itself; so it asks the hosts that are connected with it. Each says for how long it
//! certainly doesn't claim the shard. Such answers follow one another without a gap, or say nothing: a host may have claimed in
//! between, and be down by now.
//!
//! A host that doesn't answer may be dead, or cut off together with the workers of its hall. So in each hall with workers half of the hosts have
//! to answer. That all do is not asked for: a single dead one would end all work in a long outage.

use std::collections::{BTreeMap, BTreeSet};

use sandshelf_model::{HallId, HostId, Millis};

use super::dispatcher::{RelayDispatcher, RelayNumber};
use super::messages::{RelayMessage, ShardObservation};

/// A host of another version connects time and again; while it does, nobody knows what it would say.
const REFUSED_FOR_MS: Millis = 5_000;
/// How long the owner's own word lasts where it knows of no other host: as long as another's would.
const OWN_WORD_MS: Millis = 1_200;
/// So many questions are remembered: answers to older ones come too late to be of use.
const QUESTIONS_KEPT: usize = 16;

/// One host that is connected with the owner, or was when the owner last renewed.
#[derive(Clone, Debug)]
struct QuorumMember {
    hall: HallId,
    /// Since when its connection has been gone.
    unlinked_at: Option<Millis>,
    /// Before when it doesn't claim the shard.
    free_until: Millis,
}

/// The hosts that an owner asks, and what they have said.
#[derive(Clone, Debug, Default)]
pub(super) struct OutageQuorum {
    seats: BTreeMap<HostId, QuorumMember>,
    /// Before when nobody claims the shard by the owner's newest renewal.
    renewed_until: Millis,
    /// When each of the newest questions was asked.
    asked: BTreeMap<u64, Millis>,
    question_count: u64,
    refused_at: Option<Millis>,
}

impl OutageQuorum {
    pub(super) fn note_linked(&mut self, host: &HostId, hall: &HallId) {
        let seat = self.seats.entry(host.clone());
        let seat = seat.or_insert_with(|| QuorumMember {
            hall: hall.clone(),
            unlinked_at: None,
            free_until: 0,
        });
        seat.unlinked_at = None;
    }

    pub(super) fn note_unlinked(&mut self, now: Millis, host: &HostId) {
        if let Some(seat) = self.seats.get_mut(host) {
            seat.unlinked_at.get_or_insert(now);
        }
    }

    pub(super) fn note_refused(&mut self, now: Millis) {
        self.refused_at = Some(now);
    }

    /// Begins a question of an owner that renewed last at `renewed_at`, by which nobody claims the shard before `renewed_until`. Hosts whose
    /// connections ended before that renewal are forgotten.
    pub(super) fn ask(&mut self, now: Millis, renewed_at: Millis, renewed_until: Millis) -> u64 {
        self.renewed_until = renewed_until;
        let lately = |seat: &QuorumMember| seat.unlinked_at.is_none_or(|at| at >= renewed_at);
        self.seats.retain(|_, seat| lately(seat));
        self.question_count += 1;
        self.asked.insert(self.question_count, now);
        if self.asked.len() > QUESTIONS_KEPT {
            self.asked.pop_first();
        }
        self.question_count
    }

    /// Takes in a host's answer to a question.
    pub(super) fn take(&mut self, host: &HostId, number: u64, sight: ShardObservation) {
        let (Some(seat), Some(asked)) = (self.seats.get_mut(host), self.asked.get(&number)) else {
            return;
        };
        let known = seat.free_until.max(self.renewed_until);
        if *asked <= known {
            // It knew this after it was asked.
            seat.free_until = known.max(asked + sight.claims_after_ms);
        }
    }

    /// Before when no host claims the shard, as far as half of the hosts of each hall say.
    pub(super) fn unclaimed_until<'a>(
        &'a self,
        now: Millis,
        own_hall: &HallId,
        mut halls: BTreeSet<&'a HallId>,
    ) -> Option<Millis> {
        if self.refused_at.is_some_and(|at| now < at + REFUSED_FOR_MS) {
            return None;
        }
        halls.extend(self.seats.values().map(|seat| &seat.hall));
        let vouched = halls
            .into_iter()
            .map(|hall| self.hall_until(hall, own_hall));
        let until = vouched.min().flatten()?;
        Some(until.min(now + OWN_WORD_MS))
    }

    /// Before when half of the hosts of a hall claim nothing; the owner, alone in its hall, never does.
    fn hall_until(&self, hall: &HallId, own_hall: &HallId) -> Option<Millis> {
        let seats = self.seats.values().filter(|seat| seat.hall == *hall);
        let mut until: Vec<Millis> = seats.map(|seat| seat.free_until).collect();
        if until.is_empty() && hall == own_hall {
            return Some(Millis::MAX);
        }
        until.sort_unstable_by(|one, other| other.cmp(one));
        let half = until.len().div_ceil(2);
        until.get(half.checked_sub(1)?).copied()
    }
}

impl RelayDispatcher {
    /// Asks all relays what they know of the shard, for an owner that renewed last at `renewed_at`, by which nobody claims the shard before
    /// `renewed_until`.
    pub fn ask(
        &mut self,
        now: Millis,
        renewed_at: Millis,
        renewed_until: Millis,
    ) -> Vec<(RelayNumber, RelayMessage)> {
        let number = self.quorum.ask(now, renewed_at, renewed_until);
        let relays = self.relays.keys();
        let ask = |relay: &RelayNumber| (*relay, RelayMessage::ShardQuery(self.epoch, number));
        relays.map(ask).collect()
    }

    /// Before when none of the hosts that answer claims the shard, where enough of them do, in each hall with workers; the owner
    /// itself stands in `own_hall`.
    pub fn unclaimed_until(&self, now: Millis, own_hall: &HallId) -> Option<Millis> {
        let halls: BTreeSet<&HallId> = self.halls.values().collect();
        self.quorum.unclaimed_until(now, own_hall, halls)
    }

    /// Notes that a host could not be taken in since it speaks another version: nobody hears what it would say.
    pub fn note_refused(&mut self, now: Millis) {
        self.quorum.note_refused(now);
    }
}
