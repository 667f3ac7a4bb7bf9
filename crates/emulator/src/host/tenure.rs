//! How long an owner can be sure that no other host has become the owner, and the queries to the other hosts while it can't renew its
//! ownership.

use sandshelf_jobs::{JobEvent, OwnerTenure};
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;

use super::control::SHARD_LEASE_MS;
use super::{EmulatedHost, HostAction, HostFault};
use crate::queue::{Micros, MS};

// Same values as in the daemon's `jobs/owner/tenure.rs`.
const QUERY_AFTER_MS: Millis = 550;
const QUERY_INTERVAL_MS: Millis = 200;
const OVERDUE_AFTER_MS: Millis = 750;
const SLOW_READ_MS: Millis = 200;
/// How long a host may be busy and still reply to a query in time.
const MAX_REPLY_DELAY: Micros = 200 * MS;

/// The state that an owner keeps about its own ownership.
#[derive(Debug)]
pub(super) struct ShardTenure {
    tenure: OwnerTenure,
    /// Nobody claims the shard before this time, by renewals and replies.
    unclaimed_until: Millis,
    /// The last time sent to the scheduler up to which no other host can have become the owner, in milliseconds.
    sure_until: Millis,
    /// Whether the scheduler was told that the ownership is overdue.
    overdue: bool,
    next_query_at: Millis,
}

impl ShardTenure {
    /// Starts the tenure with a claim that was sent at `claimed_at`.
    pub(super) fn new(claimed_at: Millis) -> Self {
        Self {
            tenure: OwnerTenure::new(SHARD_LEASE_MS, claimed_at),
            unclaimed_until: 0,
            sure_until: 0,
            overdue: false,
            next_query_at: 0,
        }
    }
}

impl EmulatedHost {
    /// Notifies the scheduler up to which time no other host can have become the owner, and queries the other hosts while renewals
    /// fail.
    pub(super) fn check_tenure(&mut self, at: Micros) {
        let now = at / MS;
        let renewed_at = self.control.lease.last_renewal();
        let (Some(renewed_at), Some(owned)) = (renewed_at, &mut self.control.owned) else {
            return;
        };
        let state = &mut owned.tenure;
        state.unclaimed_until = state
            .unclaimed_until
            .max(state.tenure.note_renewed(renewed_at));
        if now >= renewed_at + QUERY_AFTER_MS && now >= state.next_query_at {
            state.next_query_at = now + QUERY_INTERVAL_MS;
            self.actions.push((at, HostAction::QueryHosts(now)));
        }
        let mut events = Vec::new();
        let until = state.tenure.sure_until();
        if state.sure_until != until && self.model.fault != HostFault::NeverUnsure {
            state.sure_until = until;
            events.push(JobEvent::SureUntil(until));
        }
        let overdue = now >= renewed_at + OVERDUE_AFTER_MS;
        if state.overdue != overdue {
            state.overdue = overdue;
            events.push(JobEvent::OwnershipOverdue(overdue));
        }
        if !events.is_empty() {
            self.handle_events(at, events);
        }
    }

    /// Handles the other hosts' replies to a query that was sent at `asked`: none of them claims the shard before `until`. If the
    /// earlier period was over by then, a host may have claimed the shard in between.
    pub(super) fn handle_unclaimed(&mut self, at: Micros, asked: Millis, until: Millis) {
        let Some(owned) = &mut self.control.owned else {
            return;
        };
        let state = &mut owned.tenure;
        if asked <= state.unclaimed_until {
            state.unclaimed_until = until.max(state.unclaimed_until);
            state.tenure.note_unclaimed(until);
            self.check_tenure(at);
        }
    }

    /// For how many milliseconds this host won't claim the shard; `None` if it is too busy to reply. A host whose store fails as well
    /// discards the owner row that it has seen, so that it has to watch it for a whole lease before it claims.
    pub fn answer_shard_query(&mut self, at: Micros) -> Option<Millis> {
        if self.processor.free_at() > at + MAX_REPLY_DELAY {
            return None;
        }
        let now = at / MS;
        let control = &mut self.control;
        let read_started_at = control.watch.read_started_at();
        let store_fails = self.store_failures > 0
            || read_started_at.is_some_and(|since| now >= since + SLOW_READ_MS);
        if store_fails && *control.lease.stage() == LeaseStage::Watching {
            control.lease.return_to_watching();
        }
        control.watch.read_soon(now);
        Some(control.lease.claims_after(now))
    }
}
