//! Watches the shard's owner, and claims the shard when the owner is gone.

use rand::RngExt;
use sandshelf_adapter::StoreFault;
use sandshelf_jobs::CommitBatch;
use sandshelf_lease::LeaseStage;
use sandshelf_model::Millis;
use tokio::task::spawn_local;

use super::strength::HostStrength;
use super::{OwnerLoop, OwnerMessage};
use crate::clock;
use crate::jobs::writer::{OwnerReading, OwnerWrite};
use crate::logging::event;

/// The factor by which ranks are multiplied for the very first claim of the shard. Hosts start within 0.3 s of each other, some of
/// them slowly, and nothing depends on an owner yet.
const FIRST_CLAIM_RANK_FACTOR: u32 = 5;

impl OwnerLoop {
    /// This host's rank for claiming the shard; the host with the lowest rank claims first.
    fn claim_rank(&self) -> u32 {
        let owned_before = self.lease.row().is_some_and(|seen| seen.row.epoch > 0);
        if owned_before {
            self.rank
        } else {
            self.rank * FIRST_CLAIM_RANK_FACTOR
        }
    }

    /// Whether this host watches a shard whose owner is an earlier incarnation of itself. That has certainly ended, so its lease needn't
    /// be waited out. Always false on a weak host.
    fn owner_is_earlier_incarnation(&self) -> bool {
        let watching = *self.lease.stage() == LeaseStage::Watching;
        let owner = self.lease.row().and_then(|seen| seen.row.owner.as_ref());
        let earlier = owner.is_some_and(|owner| {
            let (name, _) = owner.as_str().rsplit_once('.').unwrap_or_default();
            *owner != self.host && name == self.settings.host.as_str()
        });
        watching && earlier && HostStrength::of(&self.settings) != HostStrength::Weak
    }

    /// Reads the owner row when that is due, and claims the shard if its owner is gone.
    pub(super) fn watch(&mut self, now: Millis) {
        let free = self.lease.may_claim(now, self.claim_rank())
            || self.owner_is_earlier_incarnation()
            || self.watch.may_claim_early(now, &self.lease, self.rank);
        let free = free && now >= self.claims_paused_until;
        if free && !self.write_in_flight && self.stop_deadline.is_none() {
            self.claim(now);
            return;
        }
        if self.watch.wants_read(now) && self.queues.get().is_some() {
            self.watch.begin_read(now);
            let store = self.store.clone();
            let messages = self.messages.clone();
            spawn_local(async move {
                let read = store.read_owner().await;
                let _ = messages.send(OwnerMessage::RowRead(read));
            });
        }
    }

    pub(super) fn handle_owner_row(&mut self, read: Result<OwnerReading, StoreFault>) {
        let now = clock::now();
        self.watch
            .end_read(now, read.as_ref().ok().map(|reading| &reading.row));
        match read {
            Ok(OwnerReading { row, age_ms }) => {
                self.lease.note_aged_read(now, row, age_ms);
            }
            // While the store is out nobody can renew, so the row seen before doesn't show that the owner is gone.
            Err(_) if *self.lease.stage() == LeaseStage::Watching => {
                self.lease.return_to_watching()
            }
            Err(_) => {}
        }
    }

    pub(super) fn claim(&mut self, now: Millis) {
        self.earlier_orders_until = self.lease.earlier_orders_until(now, self.claim_rank());
        let owner_is_earlier_incarnation = self.owner_is_earlier_incarnation();
        let (version, mut row) = self.lease.begin_claim(self.token());
        self.rules_since = row.rules_since;
        if row.rules_since == 0 {
            row.rules_since = row.epoch;
        }
        row.relay_address = self.settings.relay_address;
        event(
            "shard_claimed",
            &[
                ("epoch", &row.epoch),
                ("rank", &self.rank),
                ("own_earlier_life", &owner_is_earlier_incarnation),
                ("early", &(self.earlier_orders_until > 0)),
                ("version", &version),
            ],
        );
        self.claimed_at = now;
        self.write(OwnerWrite {
            version,
            row,
            batch: CommitBatch::default(),
            leftovers: Vec::new(),
        });
    }

    pub(super) fn token(&self) -> String {
        let number: u64 = rand::rng().random();
        format!("{number:016x}")
    }
}
