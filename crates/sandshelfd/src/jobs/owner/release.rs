//! Gives up the shard: with a write to the store, or at once if another host may own it.

use sandshelf_jobs::CommitBatch;
use sandshelf_model::Millis;

use super::strength::HostStrength;
use super::OwnerLoop;
use crate::clock;
use crate::jobs::leftovers::LeftoverRows;
use crate::jobs::writer::OwnerWrite;
use crate::logging::event;

/// How long a planned stop waits for progress to become durable before it releases the shard.
const RELEASE_TIMEOUT_MS: Millis = 800;

impl OwnerLoop {
    /// Stops owning the shard at once, without a write to the store.
    pub(super) fn lose(&mut self, cause: &str) {
        let epoch = self.lease.row().map_or(0, |row| row.row.epoch);
        event("shard_lost", &[("epoch", &epoch), ("cause", &cause)]);
        self.takeover = None;
        self.published = None;
        self.owned = None;
        self.pending_batch = None;
        self.leftovers = LeftoverRows::default();
        self.rank = HostStrength::of(&self.settings).draw_rank();
        self.lease.return_to_watching();
        if self.stop_deadline.is_some() {
            self.released = true;
        }
    }

    pub(super) fn begin_stop(&mut self) {
        let now = clock::now();
        self.stop_deadline = Some(now + RELEASE_TIMEOUT_MS);
        if self.owned.is_none() && !self.write_in_flight {
            self.released = true;
        }
    }

    /// During a planned stop, releases the shard once progress is durable or the timeout for that has passed.
    pub(super) fn check_stop(&mut self, now: Millis) {
        let Some(stop_deadline) = self.stop_deadline else {
            return;
        };
        if self.write_in_flight || self.released {
            return;
        }
        let Some(owned) = &self.owned else {
            self.released = true;
            return;
        };
        if !owned.scheduler.is_written() && now < stop_deadline {
            return;
        }
        self.owned = None;
        self.release("stop");
    }

    /// Writes an owner row without an owner. The pending batch is discarded: its epoch ends here.
    pub(super) fn release(&mut self, cause: &str) {
        self.pending_batch = None;
        self.leftovers = LeftoverRows::default();
        let (version, mut row) = self.lease.next_row(self.token());
        row.owner = None;
        event(
            "shard_releasing",
            &[
                ("epoch", &row.epoch),
                ("host", &self.host),
                ("cause", &cause),
            ],
        );
        self.write(OwnerWrite {
            version,
            row,
            batch: CommitBatch::default(),
            leftovers: Vec::new(),
        });
    }
}
