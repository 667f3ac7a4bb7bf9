//! Gives the shard up: as planned, or at once where another host owns it.

use sandshelf_jobs::CommitBatch;
use sandshelf_model::Millis;

use super::strength::HostStrength;
use super::OwnerLoop;
use crate::clock;
use crate::jobs::writer::OwnerWrite;
use crate::logging::event;

/// How long a planned stop waits for progress to become durable before the shard is given up.
const RELEASE_WITHIN_MS: Millis = 800;

impl OwnerLoop {
    /// Stops owning the shard at once, without a word to the store.
    pub(super) fn lose(&mut self, cause: &str) {
        let epoch = self.lease.row().map_or(0, |row| row.row.epoch);
        event("shard_lost", &[("epoch", &epoch), ("cause", &cause)]);
        self.takeover = None;
        self.published = None;
        self.owned = None;
        self.waiting_batch = None;
        self.rank = HostStrength::of(&self.settings).draw_rank();
        self.lease.return_to_watching();
        if self.stop_by.is_some() {
            self.released = true;
        }
    }

    pub(super) fn begin_stop(&mut self) {
        let now = clock::now();
        self.stop_by = Some(now + RELEASE_WITHIN_MS);
        if self.owned.is_none() && !self.writing {
            self.released = true;
        }
    }

    /// Gives the shard up once progress is durable, or the time for that is over.
    pub(super) fn check_stop(&mut self, now: Millis) {
        let Some(stop_by) = self.stop_by else {
            return;
        };
        if self.writing || self.released {
            return;
        }
        let Some(owned) = &self.owned else {
            self.released = true;
            return;
        };
        if !owned.scheduler.is_written() && now < stop_by {
            return;
        }
        self.owned = None;
        self.release("stop");
    }

    /// Writes that nobody owns the shard; what waits to be written is of an epoch that ends here.
    pub(super) fn release(&mut self, cause: &str) {
        self.waiting_batch = None;
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
        });
    }
}
