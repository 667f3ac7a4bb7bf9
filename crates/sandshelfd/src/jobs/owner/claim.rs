//! Watches the shard's owner and claims the shard where that is gone.

use rand::RngExt;
use sandshelf_adapter::StoreFault;
use sandshelf_jobs::CommitBatch;
use sandshelf_lease::{LeaseStage, StoredRow};
use sandshelf_model::Millis;
use tokio::task::spawn_local;

use super::strength::HostStrength;
use super::{OwnerLoop, OwnerMessage};
use crate::clock;
use crate::jobs::writer::OwnerWrite;
use crate::logging::event;

/// How often a host that is not the owner reads the owner's row.
const WATCH_EVERY_MS: Millis = 400;

/// By how much longer hosts wait for one another at the very first claim: they start within 0.3 s, some of them slowly,
/// and nobody waits for an owner yet.
const FIRST_CLAIM_FACTOR: u32 = 5;

impl OwnerLoop {
    /// This host's place among those that would claim the shard.
    fn claim_rank(&self) -> u32 {
        let owned_before = self.lease.row().is_some_and(|seen| seen.row.epoch > 0);
        if owned_before {
            self.rank
        } else {
            self.rank * FIRST_CLAIM_FACTOR
        }
    }

    /// Whether the shard's owner is an earlier life of this host: that is certainly over, and nobody has to wait for it.
    fn follows_itself(&self) -> bool {
        let watching = *self.lease.stage() == LeaseStage::Watching;
        let owner = self.lease.row().and_then(|seen| seen.row.owner.as_ref());
        let earlier = owner.is_some_and(|owner| {
            let (name, _) = owner.as_str().rsplit_once('.').unwrap_or_default();
            *owner != self.host && name == self.settings.host.as_str()
        });
        watching && earlier && HostStrength::of(&self.settings) != HostStrength::Weak
    }

    /// Reads the owner's row from time to time, and claims the shard where its owner is gone.
    pub(super) fn watch(&mut self, now: Millis) {
        let free = self.lease.may_claim(now, self.claim_rank()) || self.follows_itself();
        let free = free && now >= self.gives_way_until;
        if free && !self.writing && self.stop_by.is_none() {
            self.claim(now);
            return;
        }
        if self.reading.is_none() && now >= self.next_read && self.queues.get().is_some() {
            self.reading = Some(now);
            let store = self.store.clone();
            let messages = self.messages.clone();
            spawn_local(async move {
                let read = store.read_owner().await;
                let _ = messages.send(OwnerMessage::RowRead(read));
            });
        }
    }

    pub(super) fn take_row(&mut self, read: Result<StoredRow, StoreFault>) {
        let now = clock::now();
        self.reading = None;
        self.next_read = now + WATCH_EVERY_MS;
        match read {
            Ok(row) => {
                self.lease.note_read(now, row);
            }
            // While the store is out nobody can renew: what was seen before says nothing about the owner.
            Err(_) if *self.lease.stage() == LeaseStage::Watching => {
                self.lease.return_to_watching()
            }
            Err(_) => {}
        }
    }

    pub(super) fn claim(&mut self, now: Millis) {
        let follows_itself = self.follows_itself();
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
                ("own_earlier_life", &follows_itself),
                ("version", &version),
            ],
        );
        self.claimed_at = now;
        self.write(OwnerWrite {
            version,
            row,
            batch: CommitBatch::default(),
        });
    }

    pub(super) fn token(&self) -> String {
        let number: u64 = rand::rng().random();
        format!("{number:016x}")
    }
}
